"""Tests of request limits, malformed requests and the rejections that callers get."""

import os

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.events import EventSplitter
from dewridge.gateway.model import Limits
from dewridge.http1.headers import find_framing_fault, remove_hop_by_hop_headers
from dewridge.ids import ServiceName
from dewridge.platform.headers import parse_request_headers
from dewridge.policy.shutdown import ShutdownSchedule
from dewridge.tests.gateway.world import (
    KEY,
    ServerExchange,
    answer_ok,
    make_configuration,
    make_event,
    make_request,
    open_world,
    read_answer,
)

TIGHT_LIMITS = Limits(
    head_bytes=1_000, body_bytes=5_000, head_timeout=0.3, idle_timeout=0.4
)


async def test_a_head_that_is_too_large_is_rejected() -> None:
    async with open_world(make_configuration(limits=TIGHT_LIMITS)) as world:
        server = await world.add_server("s-1", answer_ok)
        answer = await world.request("/read/a", extra=f"X-Own: {'x' * 3000}\r\n")
    assert answer.status == 431
    assert server.received == []


async def test_a_body_that_is_too_large_is_rejected() -> None:
    async with open_world(make_configuration(limits=TIGHT_LIMITS)) as world:
        server = await world.add_server("s-1", answer_ok)
        answer = await world.request("/write/a", method="POST", body=bytes(6_000))
    assert answer.status == 413
    assert server.received == []


async def test_an_incomplete_head_times_out() -> None:
    """Guards against connections held forever by callers that send half a head."""
    async with open_world(make_configuration(limits=TIGHT_LIMITS)) as world:
        stream = await world.connect()
        await stream.send_all(b"GET /read/a HTTP/1.1\r\nHost: exa")
        with trio.fail_after(1.0):
            answer = await read_answer(stream)
    assert answer.status == 408


async def test_an_idle_connection_is_closed_after_its_timeout() -> None:
    async with open_world(make_configuration(limits=TIGHT_LIMITS)) as world:
        world.state.ingress.idle_timeout = TIGHT_LIMITS.idle_timeout
        stream = await world.connect()
        with trio.fail_after(1.0):
            assert await stream.receive_some(1) == b""


@pytest.mark.parametrize("earlier_requests", [0, 1])
async def test_a_request_that_came_before_idle_connections_are_closed_is_served(
    earlier_requests: int,
) -> None:
    """A leaving host closes idle connections just after a request has arrived.

    If the process was suspended or busy, the request is still unread in the kernel's
    buffer, and closing resets the connection. The caller gets no answer during a
    shutdown that must not interrupt any request, and the request is not logged.
    """
    async with open_world(make_configuration()) as world:
        await world.add_server("s-1", answer_ok)
        stream = await world.connect()
        for number in range(earlier_requests):
            await stream.send_all(make_request("/read/a", request_id=f"e-{number}"))
            assert (await read_answer(stream)).status == 200
        await trio.sleep(0.1)
        # No checkpoint follows, so that the gateway has not read the request yet.
        os.write(stream.socket.fileno(), make_request("/read/a"))
        world.state.ingress.close_idle_connections()
        with trio.fail_after(2.0):
            answer = await read_answer(stream)
    assert answer.status == 200


async def test_only_connections_without_a_request_outlast_idle_ones() -> None:
    """Guards against requests on new connections that a leaving host never answers."""
    async with open_world(make_configuration()) as world:
        await world.add_server("s-1", answer_ok)
        kept, new = await world.connect(), await world.connect()
        await kept.send_all(make_request("/read/a"))
        assert (await read_answer(kept)).status == 200
        world.state.ingress.close_idle_connections()
        with trio.fail_after(2.0):
            assert await kept.receive_some(1) == b""
        late = await world.connect()
        await trio.sleep(0.1)
        for stream in (new, late):
            await stream.send_all(make_request("/read/a"))
            with trio.fail_after(2.0):
                assert (await read_answer(stream)).status == 200
                assert await stream.receive_some(1) == b""


async def test_a_smuggled_request_never_reaches_a_server() -> None:
    """Guards against request smuggling by a body with two lengths.

    If the gateway and the server used different ones, the rest of the body would be
    forwarded as a separate request.
    """
    smuggled = b"GET /read/hidden HTTP/1.1\r\nHost: example.test\r\n\r\n"
    attacks = [
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 4\r\nContent-Length: 60\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        "Transfer-Encoding: xchunked\r\n",
    ]
    async with open_world() as world:
        server = await world.add_server("s-1", answer_ok)
        for attack in attacks:
            stream = await world.connect()
            request = make_request("/write/a", method="POST", extra=attack)
            await stream.send_all(request + b"0\r\n\r\n" + smuggled)
            answer = await read_answer(stream)
            assert answer.status == 400, attack
            await stream.aclose()
        assert all(exchange.target != b"/read/hidden" for exchange in server.received)


async def test_pipelined_requests_are_answered_in_order() -> None:
    async with open_world() as world:
        server = await world.add_server("s-1", answer_ok)
        stream = await world.connect()
        first = make_request("/read/1", request_id="r-1")
        await stream.send_all(first + make_request("/read/2", request_id="r-2"))
        data = b""
        with trio.fail_after(2):
            while data.count(b"done") < 2:
                data += bytes(await stream.receive_some(4096))
        assert [exchange.target for exchange in server.received] == [
            b"/read/1",
            b"/read/2",
        ]


async def test_unknown_routes_and_keys_are_denied_with_a_recent_configuration() -> None:
    async with open_world() as world:
        await world.add_server("s-1", answer_ok)
        assert (await world.request("/nowhere/a")).status == 404
        assert (await world.request("/read/a", key="wrong")).status == 401
        assert (await world.request("/read/a", key=KEY)).status == 200


async def test_a_host_with_an_old_configuration_asks_to_retry() -> None:
    """An operator adds a route while this host can't read the store.

    A 404 would deny a valid request permanently.
    """
    async with open_world() as world:
        world.state.configuration.confirmed_at = read_boot_clock() - 2.5
        answer = await world.request("/new/a")
    assert answer.status == 503
    assert b"retry-after" in answer.headers


async def test_keys_are_rejected_while_the_store_is_unreachable() -> None:
    """A key is revoked while this host is partitioned from the store.

    The host can't learn of it and would continue to accept a stolen key. Therefore it
    rejects all keys after some time.
    """
    async with open_world() as world:
        server = await world.add_server("s-1", answer_ok)
        world.state.configuration.confirmed_at = read_boot_clock() - 4.5
        answer = await world.request("/read/a")
    assert answer.status == 503
    assert server.received == []


async def test_a_quota_rejection_states_a_retry_time() -> None:
    async with open_world(make_configuration(rate=20.0)) as world:
        await world.add_server("s-1", answer_ok)
        answers = [
            await world.request("/read/a", request_id=f"r-{n}") for n in range(4)
        ]
    assert [answer.status for answer in answers] == [200, 429, 429, 429]
    assert float(answers[-1].headers[b"retry-after"]) > 0


async def test_a_leaving_host_rejects_requests_that_may_outlast_it() -> None:
    """Guards against streams that are accepted by how long they usually take."""
    async with open_world() as world:
        await world.add_server("s-1", answer_ok)
        world.state.ingress.is_leaving = True
        now = trio.current_time()
        world.state.shutdown = ShutdownSchedule(
            now - 4.0, now - 1.0, now + 1.5, now + 2
        )
        long_stream = await world.request("/draft/a", deadline_ms=2000)
        long_answer = await world.request("/read/a", deadline_ms=2000)
        short_answer = await world.request("/read/a", deadline_ms=1000)
    assert (long_stream.status, long_answer.status) == (503, 503)
    assert long_stream.headers[b"retry-after"] == b"0.000"
    assert short_answer.status == 200
    assert short_answer.headers[b"connection"] == b"close"


@given(st.lists(st.tuples(st.binary(max_size=20), st.binary(max_size=60)), max_size=8))
def test_any_headers_are_parsed_or_rejected(headers: list[tuple[bytes, bytes]]) -> None:
    named = [(name.lower(), value) for name, value in headers]
    parsed = parse_request_headers(named)
    assert isinstance(parsed, str) or parsed.sizes.tokens >= 0
    find_framing_fault(named)
    remove_hop_by_hop_headers(named)


@given(
    st.sampled_from([b"x-token-count", b"x-prefix-hash", b"x-deadline-ms"]),
    st.text(alphabet="0123456789abcdef:,- ", max_size=30),
)
def test_any_sizes_are_parsed_or_rejected(name: bytes, value: str) -> None:
    parsed = parse_request_headers([(name, value.encode())])
    assert (
        isinstance(parsed, str)
        or parsed.caller_timeout is None
        or parsed.caller_timeout >= 0
    )


@settings(max_examples=60)
@given(st.integers(1, 8), st.lists(st.integers(1, 40), max_size=30))
def test_events_do_not_depend_on_how_the_stream_is_split(
    count: int, sizes: list[int]
) -> None:
    body = b"".join(make_event(number) for number in range(count))
    splitter = EventSplitter()
    events = []
    remaining = body
    for size in sizes:
        events += splitter.push(remaining[:size])
        remaining = remaining[size:]
    events += splitter.push(remaining)
    assert b"".join(event.raw for event in events) == body
    assert [event.id for event in events] == list(range(count))
    assert splitter.remainder == b""


async def test_the_status_at_the_exit_says_whether_a_server_may_have_run_it() -> None:
    """Guards against a promise that a request was not run while a server has it."""

    async def stay_silent(exchange: ServerExchange) -> None:
        await trio.sleep_forever()

    async def find_forever(service: ServiceName) -> None:
        await trio.sleep_forever()

    answers: dict[str, int] = {}
    async with open_world() as world:
        server = await world.add_server("s-1", stay_silent)
        world.state.find_service_servers = find_forever

        async def send(path: str) -> None:
            answer = await world.request(path, request_id=path[1:], deadline_ms=5000)
            answers[path] = answer.status

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, "/write/a")
            nursery.start_soon(send, "/draft/a")
            await trio.sleep(0.3)
            assert world.state.served.count_stages() == {
                "waiting": 1,
                "sent": 1,
                "answering": 0,
            }
            world.state.served.prepare_exit()
    assert [exchange.target for exchange in server.received] == [b"/write/a"]
    assert answers == {"/write/a": 502, "/draft/a": 503}
