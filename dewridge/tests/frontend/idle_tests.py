"""Tests of connections that callers keep open between requests."""

import httpx
import trio

from dewridge.tests.frontend.fakes import AUDITOR, FakeRequests, authorize, run_frontend


async def test_shutdown_does_not_wait_for_idle_callers() -> None:
    # A caller keeps its connection open after an answer, as HTTP clients do. The
    # graceful shutdown then took its full limit of 30 s, so a host with a reclaim
    # notice of 2 s was terminated before the shutdown completed.
    async with (
        run_frontend(FakeRequests([])) as frontend,
        httpx.AsyncClient(headers=authorize(AUDITOR)) as client,
    ):
        url = f"http://{frontend.address}/v1/entry-hosts"
        assert (await client.get(url)).status_code == 200
        frontend.shutdown.set()
        with trio.fail_after(1):
            await frontend.ended.wait()


async def test_idle_connection_is_closed_after_the_keep_alive_time() -> None:
    # Callers that never return leave their connections open until the connection
    # limit is exhausted.
    async with (
        run_frontend(FakeRequests([]), keep_alive=0.1) as frontend,
        httpx.AsyncClient(headers=authorize(AUDITOR)) as client,
    ):
        url = f"http://{frontend.address}/v1/entry-hosts"
        response = await client.get(url)
        stream = response.extensions["network_stream"]
        with trio.fail_after(1):
            assert await stream.read(1) == b""
