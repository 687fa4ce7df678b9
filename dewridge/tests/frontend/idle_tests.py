"""Connections that callers keep open between their requests."""

import httpx
import trio

from dewridge.tests.frontend.fakes import AUDITOR, FakeRequests, authorize, run_frontend


async def test_a_shutdown_does_not_wait_for_idle_callers() -> None:
    # A caller keeps its connection after an answer, as every HTTP client does.
    # The host's graceful shutdown then took its whole limit of 30 s, and a host
    # with 2 s of notice was taken away before it had closed.
    async with (
        run_frontend(FakeRequests([])) as frontend,
        httpx.AsyncClient(headers=authorize(AUDITOR)) as client,
    ):
        url = f"http://{frontend.address}/v1/entry-hosts"
        assert (await client.get(url)).status_code == 200
        frontend.shutdown.set()
        with trio.fail_after(1):
            await frontend.ended.wait()


async def test_an_idle_connection_has_an_end() -> None:
    # Callers that never come back leave their connections open; in the end no
    # caller finds room.
    async with (
        run_frontend(FakeRequests([]), keep_alive=0.1) as frontend,
        httpx.AsyncClient(headers=authorize(AUDITOR)) as client,
    ):
        url = f"http://{frontend.address}/v1/entry-hosts"
        response = await client.get(url)
        stream = response.extensions["network_stream"]
        with trio.fail_after(1):
            assert await stream.read(1) == b""
