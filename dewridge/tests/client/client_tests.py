"""The client against frontends that fail in the ways that hosts do."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import trio

from dewridge.client.client import Client
from dewridge.client.model import Answer, Call, ClientLimits
from dewridge.codes import Outcome, ResultCode
from dewridge.ids import Generation
from dewridge.requests.model import (
    AnswerSummary,
    EndedEvent,
    MovedEvent,
    RestartEvent,
    TokensEvent,
)
from dewridge.sentinels import Failure
from dewridge.tests.frontend.fakes import (
    AUDITOR,
    FakeRequests,
    run_frontend,
)

LIMITS = ClientLimits(
    connect_timeout=0.5,
    silence_timeout=0.5,
    list_timeout=0.5,
    accept_timeout=0.8,
    max_backoff=0.2,
    grace=0.3,
)
DONE = EndedEvent(ResultCode.OK, summary=AnswerSummary(tokens=2))


def tokens(offset: int, *texts: str, generation: int = 1) -> TokensEvent:
    return TokensEvent(Generation(generation), offset, texts)


async def call(addresses: list[str], deadline: float = 5, **changes: Any) -> Answer:
    async with Client(addresses, AUDITOR, limits=LIMITS, seed=1) as client:
        wanted = Call("findings", "draft_finding", "Dossier", deadline, **changes)
        return await client.request(wanted)


@asynccontextmanager
async def run_silent_host() -> AsyncIterator[str]:
    """Accept connections and never answer."""

    async def hold(stream: trio.SocketStream) -> None:
        async with stream:
            await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, hold, 0)
        port = listeners[0].socket.getsockname()[1]
        yield f"127.0.0.1:{port}"
        nursery.cancel_scope.cancel()


async def test_a_call_moves_on_when_its_host_leaves() -> None:
    # The host is reclaimed midway and names another one. The caller gets the
    # whole answer with no token twice.
    second = FakeRequests([tokens(1, " end"), DONE])
    async with run_frontend(second) as two:
        first = FakeRequests([tokens(0, "begin"), MovedEvent((two.address,))])
        async with run_frontend(first) as one:
            second.submissions = first.submissions  # both hosts know the request
            answer = await call([one.address])
    assert (answer.text, answer.code) == ("begin end", ResultCode.OK)
    assert answer.hosts == (one.address, two.address)
    assert (answer.submissions, answer.connections) == (1, 2)


async def test_a_stream_that_goes_silent_is_resumed_elsewhere() -> None:
    # Something between the two ends has lost track of the connection: no error,
    # no heartbeat, nothing. New connections work.
    second = FakeRequests([tokens(1, " end"), DONE])
    first = FakeRequests([tokens(0, "begin"), 30.0])
    async with (
        run_frontend(first, heartbeat=30) as one,
        run_frontend(second) as two,
    ):
        second.submissions = first.submissions
        with trio.fail_after(4):
            answer = await call([one.address, two.address])
    assert answer.text == "begin end"


async def test_hosts_that_are_dead_or_silent_are_passed_over() -> None:
    # One host refuses connections, one takes them and says nothing.
    requests = FakeRequests([tokens(0, "a", "b"), DONE])
    async with run_silent_host() as silent, run_frontend(requests) as alive:
        answer = await call(["127.0.0.1:1", silent, alive.address])
    assert answer.text == "ab"
    assert {each.key for each in requests.submissions} == {answer.key}
    numbers = [each.number for each in requests.submissions]
    assert numbers == sorted(set(numbers))


async def test_a_host_that_hangs_does_not_use_up_a_short_deadline() -> None:
    # An importer asks for a certificate's status with a deadline of a few
    # seconds, and the first host on its list takes the call and hangs.
    requests = FakeRequests([tokens(0, "a", "b"), DONE])
    limits = ClientLimits(min_host_timeout=0.2)
    async with (
        run_silent_host() as silent,
        run_frontend(requests) as alive,
        Client([alive.address], AUDITOR, limits=limits) as client,
    ):
        await client.list_entry_hosts()  # kept for a while from now on
        client.prefer([silent])
        with trio.fail_after(2.5):
            answer = await client.request(Call("findings", "draft_finding", "D", 3))
    assert (answer.text, answer.hosts[0]) == ("ab", silent)


async def test_a_refused_call_comes_back_when_told() -> None:
    requests = FakeRequests([tokens(0, "a", "b"), DONE])
    requests.refusal = Failure(ResultCode.QUEUE_FULL, "full", 0.3)
    async with run_frontend(requests) as frontend, trio.open_nursery() as nursery:

        async def make_room() -> None:
            await trio.sleep(0.2)
            requests.refusal = None

        nursery.start_soon(make_room)
        answer = await call([frontend.address])
    assert answer.is_complete
    assert [each.number for each in requests.submissions] == [1, 2]


async def test_a_refusal_that_outlasts_the_deadline_is_told_at_once() -> None:
    requests = FakeRequests()
    requests.refusal = Failure(ResultCode.QUEUE_FULL, "full", 60.0)
    async with run_frontend(requests) as frontend:
        with trio.fail_after(2):
            answer = await call([frontend.address], deadline=10)
    assert (answer.code, answer.outcome) == (ResultCode.QUEUE_FULL, Outcome.NOT_RUN)
    assert answer.retry_after == 60.0


async def test_a_call_without_a_final_word_is_told_as_unknown() -> None:
    # The request was accepted and then nothing more came of it. Saying "not
    # run" would make the caller send it under a new key, and run twice.
    requests = FakeRequests([30.0])
    async with run_frontend(requests, heartbeat=0.1) as frontend:
        answer = await call([frontend.address], deadline=0.6)
    assert answer.outcome is Outcome.UNKNOWN
    never_sent = await call(["127.0.0.1:1"], deadline=0.5)
    assert never_sent.code is ResultCode.PEER_UNREACHABLE


async def test_an_answer_that_begins_anew_holds_no_old_token() -> None:
    anew = tokens(0, "a", "b", generation=2)
    requests = FakeRequests([tokens(0, "old"), RestartEvent(Generation(2)), anew, DONE])
    async with run_frontend(requests) as frontend:
        answer = await call([frontend.address])
    assert (answer.text, answer.restarts) == ("ab", 1)
