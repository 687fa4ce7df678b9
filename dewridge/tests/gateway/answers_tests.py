"""Tests of backend server answers: what reaches callers, and what must not."""

from dataclasses import replace

import pytest
import trio

from dewridge.tests.gateway.world import (
    ENGINE,
    ServerExchange,
    answer_ok,
    make_event,
    make_request,
    open_world,
    read_answer,
)


async def test_a_request_is_forwarded_with_the_headers_of_its_account() -> None:
    async with open_world() as world:
        server = await world.add_server("s-1", answer_ok)
        answer = await world.request(
            "/write/a?b=c",
            method="POST",
            body=b"reading",
            extra="X-Tenant: another\r\nX-Pin-Ms: 9000\r\nX-Own: kept\r\n",
        )
        seen = server.received[0]
    assert (answer.status, answer.body, answer.is_complete) == (200, b"done", True)
    assert answer.headers[b"x-server-seal"] == b"seal-s-1"
    assert (seen.method, seen.target, seen.body) == (
        b"POST",
        b"/write/a?b=c",
        b"reading",
    )
    assert seen.headers[b"x-tenant"] == b"account-1"
    assert seen.headers[b"x-expect-instance"] == b"s-1"
    assert seen.headers[b"x-own"] == b"kept"
    assert int(seen.headers[b"x-deadline-ms"]) <= 2000
    assert b"x-api-key" not in seen.headers
    assert b"x-pin-ms" not in seen.headers


async def test_a_second_answer_never_reaches_the_next_caller() -> None:
    """Guards against giving a caller the answer to another caller's request.

    A server sends its answer twice. The second copy is pending on the reused connection
    when the next request's answer is due.
    """

    async def answer_twice(exchange: ServerExchange) -> None:
        await exchange.answer(b"for " + exchange.headers[b"x-attempt-id"])
        await exchange.answer(b"for " + exchange.headers[b"x-attempt-id"])

    async with open_world() as world:
        await world.add_server("s-1", answer_twice)
        for number in range(4):
            answer = await world.request("/read/a", request_id=f"r-{number}")
            assert answer.status == 200
            assert answer.body == b"for r-%d" % number


async def test_a_late_second_answer_is_recognized_by_its_id() -> None:
    """A second copy of an answer arrives after the next request was sent.

    Nothing was pending on the connection before, so only the id in the copy shows that
    it answers another request.
    """
    sent: list[bytes] = []

    async def answer_with_previous(exchange: ServerExchange) -> None:
        if sent:
            await exchange.send(sent[-1])
            await trio.sleep(0.05)
        request = exchange.headers[b"x-attempt-id"]
        sent.append(exchange.make_head(200, b"Content-Length: 3\r\n") + request)
        await exchange.send(sent[-1])

    async with open_world() as world:
        await world.add_server("s-1", answer_with_previous)
        first = await world.request("/read/a", request_id="r-1")
        second = await world.request("/read/a", request_id="r-2")
    assert first.body == b"r-1"
    assert second.body in {b"r-2"} or second.status >= 500


async def test_a_success_without_its_signature_is_not_forwarded() -> None:
    """Guards against an unsigned body that the caller takes for a valid document.

    A server sends a success status without the headers that belong to it.
    """

    async def answer_unsigned(exchange: ServerExchange) -> None:
        await exchange.send(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake")

    async with open_world() as world:
        await world.add_server("s-1", answer_unsigned)
        answer = await world.request("/write/a", method="POST", body=b"x")
    assert answer.status == 502
    assert b"x-server-seal" not in answer.headers


async def test_bytes_that_are_not_http_lead_to_a_failure() -> None:
    """A server sends something that is not HTTP.

    The caller gets a failure that does not claim that the request has not run.
    """

    async def answer_malformed(exchange: ServerExchange) -> None:
        await exchange.send(b"\x00\x01rubbish\r\n\r\n")

    async with open_world() as world:
        await world.add_server("s-1", answer_malformed)
        answer = await world.request("/write/a", method="POST", body=b"x")
    assert answer.status == 502


async def test_a_request_with_a_cut_answer_is_retried_if_the_route_allows_it() -> None:
    """A server closes the connection in the middle of an answer.

    An idempotent request is sent to another server, and its caller sees no failure.
    """
    sent = 0

    async def cut_once(exchange: ServerExchange) -> None:
        nonlocal sent
        sent += 1
        if sent == 1:
            await exchange.send(
                exchange.make_head(200, b"Content-Length: 9\r\n") + b"ha"
            )
            exchange.reset()
        else:
            await exchange.answer()

    async with open_world(retry_slack=20) as world:
        await world.add_server("s-1", cut_once)
        await world.add_server("s-2", cut_once)
        answer = await world.request("/read/a")
    assert (answer.status, answer.body) == (200, b"done")
    assert sent == 2


async def test_a_request_that_may_have_run_is_not_retried_or_called_not_run() -> None:
    """Guards against running a non-idempotent request twice.

    A server resets the connection after it has read an upload. A retry could record the
    uploaded value twice, and a 503 would invite the caller to retry by itself.
    """

    async def reset(exchange: ServerExchange) -> None:
        exchange.reset()

    async with open_world(retry_slack=20) as world:
        servers = [await world.add_server(f"s-{n}", reset) for n in range(3)]
        answer = await world.request("/write/a", method="POST", body=b"x")
    assert answer.status == 502
    assert sum(len(server.received) for server in servers) == 1


async def test_a_rejected_request_goes_to_another_server() -> None:
    """A full server reports that it did not run the request; another has free slots."""

    async def refuse(exchange: ServerExchange) -> None:
        await exchange.answer(b"", 503, b"X-Not-Executed: 1\r\n")

    async with open_world(retry_slack=40) as world:
        await world.add_server("s-1", refuse)
        await world.add_server("s-2", answer_ok)
        answers = [
            await world.request(
                "/write/a", method="POST", body=b"x", request_id=f"r-{n}"
            )
            for n in range(4)
        ]
    assert [answer.status for answer in answers] == [200] * 4


async def test_requests_to_a_full_service_are_refused_with_a_retry_time() -> None:
    """All servers are full: the caller learns at once, and when to retry."""

    async def refuse(exchange: ServerExchange) -> None:
        await exchange.answer(b"", 503, b"X-Not-Executed: 1\r\n")

    async with open_world(retry_slack=40) as world:
        await world.add_server("s-1", refuse)
        answer = await world.request("/write/a", method="POST", body=b"x")
    assert answer.status == 503
    assert 0 < float(answer.headers[b"retry-after"]) < 1


async def test_an_address_that_was_assigned_to_another_server_is_not_used() -> None:
    """A server left, and its address was assigned to a server of another service.

    That server reports the mismatch. The request must reach the right service, and the
    departed server process must not be used again.
    """

    async def misdirect(exchange: ServerExchange) -> None:
        await exchange.answer(b"", 421, b"X-Instance: s-other\r\n")

    async with open_world(retry_slack=40) as world:
        old = await world.add_server("s-1", misdirect)
        await world.add_server("s-2", answer_ok)
        for number in range(5):
            answer = await world.request("/read/a", request_id=f"r-{number}")
            assert answer.status == 200
    assert len(old.received) <= 1


async def test_an_early_answer_to_a_long_upload_does_not_spoil_the_connection() -> None:
    """A server answers before it has read a long body, and continues reading.

    If the connection were reused, the server would read the next request as the rest of
    that body.
    """

    async def answer_early(stream: trio.SocketStream) -> None:
        head = b""
        while b"\r\n\r\n" not in head:
            head += bytes(await stream.receive_some(1000))
        name = next(
            line.partition(b":")[2].strip()
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"x-attempt-id")
        )
        await stream.send_all(
            b"HTTP/1.1 413 x\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\n"
            b"Content-Length: 0\r\n\r\n" % name
        )
        try:
            while await stream.receive_some(65536):
                pass
        except trio.BrokenResourceError:
            return

    async with open_world() as world:
        server = await world.add_server("s-1", answer_ok)
        server.handle = answer_early  # type: ignore[method-assign]
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        world.nursery.start_soon(trio.serve_listeners, answer_early, listeners)
        record = world.state.servers.find(server.id)
        assert record is not None
        port = listeners[0].socket.getsockname()[1]
        moved = replace(record, address=f"127.0.0.1:{port}")
        world.state.servers.update(moved, trio.current_time())
        answer = await world.request("/write/a", method="POST", body=bytes(3_000_000))
        assert answer.status == 413
        assert world.state.pool.acquire_idle(moved, is_non_retryable=False) is None


async def test_a_caller_that_disconnects_stops_its_request() -> None:
    """Guards against servers that work on requests whose callers have disconnected.

    The connection to the server is closed within half a second.
    """
    is_reached = trio.Event()
    is_stopped = trio.Event()

    async def work_until_cut(exchange: ServerExchange) -> None:
        is_reached.set()
        if not await exchange.stream.receive_some(1):
            is_stopped.set()

    async with open_world() as world:
        await world.add_server("s-1", work_until_cut)
        stream = await world.connect()
        await stream.send_all(make_request("/write/a", method="POST", body=b"x"))
        await is_reached.wait()
        await stream.aclose()
        with trio.fail_after(0.5):
            await is_stopped.wait()


async def test_a_request_is_abandoned_at_its_routes_timeout() -> None:
    """A server never answers.

    The caller gets a failure at the timeout that the operator configured for the route,
    not at its own much later deadline.
    """

    async def hang(exchange: ServerExchange) -> None:
        await trio.sleep_forever()

    async with open_world() as world:
        await world.add_server("s-1", hang)
        started_at = trio.current_time()
        answer = await world.request(
            "/write/a", method="POST", body=b"x", deadline_ms=60_000
        )
    assert answer.status == 504
    assert trio.current_time() - started_at < 2.4


async def test_events_are_forwarded_as_they_arrive() -> None:
    has_received = trio.Event()

    async def stream_two_parts(exchange: ServerExchange) -> None:
        await exchange.begin_stream()
        await exchange.send_events(0, 1)
        await has_received.wait()
        await exchange.send_events(2, 3)
        await exchange.end_stream()

    async with open_world() as world:
        await world.add_server("s-1", stream_two_parts, ENGINE)
        stream = await world.connect()
        await stream.send_all(make_request("/draft/a", method="POST", body=b"x"))
        received = b""
        with trio.fail_after(1.5):
            while make_event(1) not in received:
                received += bytes(await stream.receive_some(1000))
        assert make_event(2) not in received
        has_received.set()
        with trio.fail_after(1.5):
            while make_event(3) not in received:
                received += bytes(await stream.receive_some(1000))


async def test_a_resumable_stream_continues_elsewhere_without_a_gap() -> None:
    """A server crashes in the middle of an event.

    Another one continues after the last complete event, and the caller reads each event
    once.
    """

    async def crash_or_resume(exchange: ServerExchange) -> None:
        await exchange.begin_stream()
        after = exchange.headers.get(b"last-event-id")
        if after is None:
            await exchange.send_events(0, 2)
            await exchange.send(b"8\r\nid: 3\nda\r\n")
            exchange.reset()
            return
        await exchange.send_events(int(after) + 1, 5)
        await exchange.end_stream()

    async with open_world(retry_slack=20) as world:
        await world.add_server("s-1", crash_or_resume, ENGINE)
        await world.add_server("s-2", crash_or_resume, ENGINE)
        answer = await world.request("/chat/a", method="POST", body=b"x")
    assert answer.is_complete
    assert answer.body == b"".join(make_event(number) for number in range(6))


async def test_a_cut_stream_that_may_not_be_resumed_does_not_look_complete() -> None:
    """Guards against a partial document that the caller takes for a complete one.

    A server crashes in the middle of a stream that may not be resumed.
    """

    async def crash(exchange: ServerExchange) -> None:
        await exchange.begin_stream()
        await exchange.send_events(0, 2)
        exchange.reset()

    async with open_world(retry_slack=20) as world:
        servers = [await world.add_server(f"s-{n}", crash, ENGINE) for n in range(2)]
        answer = await world.request("/draft/a", method="POST", body=b"x")
    assert answer.status == 200
    assert not answer.is_complete
    assert sum(len(server.received) for server in servers) == 1


@pytest.mark.parametrize("is_cut", [True, False])
async def test_a_cut_stream_does_not_look_complete_to_a_caller_without_chunks(
    is_cut: bool,
) -> None:
    """Guards against HTTP/1.0 callers that take the cut of a stream for its end."""

    async def stream(exchange: ServerExchange) -> None:
        await exchange.begin_stream()
        await exchange.send_events(1, 2)
        if is_cut:
            exchange.reset()
        else:
            await exchange.end_stream()

    async with open_world() as world:
        await world.add_server("s-1", stream, ENGINE)
        caller = await world.connect()
        request = make_request("/draft/a", extra="Connection: close\r\n")
        await caller.send_all(request.replace(b"HTTP/1.1", b"HTTP/1.0"))
        received = b""
        has_ended = False
        try:
            while data := await caller.receive_some(65536):
                received += data
            has_ended = True
        except trio.BrokenResourceError:
            pass
    assert has_ended is not is_cut
    assert is_cut or received.endswith(make_event(1) + make_event(2))


async def test_an_answer_without_length_that_is_reset_is_not_complete() -> None:
    """Guards against a partial answer that the caller takes for a complete one.

    A server marks the end of a stream only by closing the connection, which is reset.
    """

    async def reset_unframed(exchange: ServerExchange) -> None:
        await exchange.send(exchange.make_head(200, b"Connection: close\r\n"))
        await exchange.send(make_event(0) + make_event(1))
        await trio.sleep(0.05)
        exchange.reset()

    async with open_world() as world:
        await world.add_server("s-1", reset_unframed, ENGINE)
        answer = await world.request("/draft/a", method="POST", body=b"x")
    assert not answer.is_complete


async def test_persistent_connections_carry_many_requests() -> None:
    async with open_world() as world:
        await world.add_server("s-1", answer_ok)
        stream = await world.connect()
        async with stream:
            for number in range(5):
                await stream.send_all(make_request("/read/a", request_id=f"r-{number}"))
                answer = await read_answer(stream)
                assert answer.status == 200


async def test_no_failure_is_sent_after_a_stream_has_begun() -> None:
    """A stream is interrupted, and the next server answers its retry with a failure.

    The caller already has the head of a success and would read a second head as events.
    """
    resumed_after: list[bytes] = []

    async def cut_or_fail(exchange: ServerExchange) -> None:
        resumed_after.append(exchange.headers.get(b"last-event-id", b""))
        if len(resumed_after) > 1:
            await exchange.answer(b"out of order", 500)
            return
        await exchange.begin_stream()
        await exchange.send_events(1, 2)
        exchange.reset()

    async with open_world(retry_slack=100) as world:
        for name in ("s-1", "s-2"):
            await world.add_server(name, cut_or_fail, ENGINE)
        answer = await world.request("/chat/a")
        failed = world.state.metrics.read(
            "requests_total", kind="stream", outcome="cut", code="OUTCOME_UNKNOWN"
        )
    assert resumed_after == [b"", b"2"]
    assert answer.status == 200
    assert not answer.is_complete
    assert answer.body == make_event(1) + make_event(2)
    assert failed == 1


async def test_requests_to_overloaded_engines_are_refused_at_once() -> None:
    """Guards against callers that wait until their deadline before they can retry.

    Half of the engines were reclaimed, and the other engines have far more requests
    than they can run.
    """

    async def stream(exchange: ServerExchange) -> None:
        await exchange.begin_stream()
        await exchange.end_stream()

    async with open_world() as world:
        server = await world.add_server("s-1", stream, ENGINE)
        world.state.work_in_flight.requests[server.id] = 8 * 4
        started_at = trio.current_time()
        answer = await world.request("/draft/a")
        seconds = trio.current_time() - started_at
    assert answer.status == 503
    assert float(answer.headers[b"retry-after"]) > 0
    assert seconds < 0.5
    assert server.received == []
