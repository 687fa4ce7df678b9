"""Tests of the client with entry hosts that fail, hang or reject calls."""

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
        call_to_send = Call("findings", "draft_finding", "Dossier", deadline, **changes)
        return await client.request(call_to_send)


@asynccontextmanager
async def run_silent_host() -> AsyncIterator[str]:
    """Accept connections and never respond."""

    async def ignore_input(stream: trio.SocketStream) -> None:
        async with stream:
            await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, ignore_input, 0)
        port = listeners[0].socket.getsockname()[1]
        yield f"127.0.0.1:{port}"
        nursery.cancel_scope.cancel()


async def test_call_continues_at_another_host_when_its_host_departs() -> None:
    # A host that is reclaimed during an answer names another host. The client must
    # return the complete answer without duplicate tokens.
    second = FakeRequests([tokens(1, " end"), DONE])
    async with run_frontend(second) as second_host:
        first = FakeRequests([tokens(0, "begin"), MovedEvent((second_host.address,))])
        async with run_frontend(first) as first_host:
            second.submissions = first.submissions  # both hosts know the request
            answer = await call([first_host.address])
    assert (answer.text, answer.code) == ("begin end", ResultCode.OK)
    assert answer.hosts == (first_host.address, second_host.address)
    assert (answer.submissions, answer.connections) == (1, 2)


async def test_silent_stream_is_resumed_at_another_host() -> None:
    # A network hop has lost track of the connection: the client receives neither
    # an error nor heartbeats on it, while new connections work.
    second = FakeRequests([tokens(1, " end"), DONE])
    first = FakeRequests([tokens(0, "begin"), 30.0])
    async with (
        run_frontend(first, heartbeat=30) as first_host,
        run_frontend(second) as second_host,
    ):
        second.submissions = first.submissions
        with trio.fail_after(4):
            answer = await call([first_host.address, second_host.address])
    assert answer.text == "begin end"


async def test_unreachable_and_silent_hosts_are_skipped() -> None:
    # One host refuses connections, another accepts them and never responds.
    requests = FakeRequests([tokens(0, "a", "b"), DONE])
    async with run_silent_host() as silent, run_frontend(requests) as alive:
        answer = await call(["127.0.0.1:1", silent, alive.address])
    assert answer.text == "ab"
    assert {submission.key for submission in requests.submissions} == {answer.key}
    numbers = [submission.number for submission in requests.submissions]
    assert numbers == sorted(set(numbers))


async def test_hanging_host_does_not_use_up_a_short_deadline() -> None:
    # The first host of the list accepts a call with a deadline of a few seconds and
    # hangs. The client must switch to another host early enough.
    requests = FakeRequests([tokens(0, "a", "b"), DONE])
    limits = ClientLimits(min_host_timeout=0.2)
    async with (
        run_silent_host() as silent,
        run_frontend(requests) as alive,
        Client([alive.address], AUDITOR, limits=limits) as client,
    ):
        await client.list_entry_hosts()  # caches the entry list
        client.prefer([silent])
        with trio.fail_after(2.5):
            answer = await client.request(Call("findings", "draft_finding", "D", 3))
    assert (answer.text, answer.hosts[0]) == ("ab", silent)


async def test_rejected_call_is_retried_after_the_given_delay() -> None:
    requests = FakeRequests([tokens(0, "a", "b"), DONE])
    requests.rejection = Failure(ResultCode.QUEUE_FULL, "full", 0.3)
    async with run_frontend(requests) as frontend, trio.open_nursery() as nursery:

        async def accept_again() -> None:
            await trio.sleep(0.2)
            requests.rejection = None

        nursery.start_soon(accept_again)
        answer = await call([frontend.address])
    assert answer.is_complete
    assert [submission.number for submission in requests.submissions] == [1, 2]


async def test_rejection_past_the_deadline_is_returned_immediately() -> None:
    requests = FakeRequests()
    requests.rejection = Failure(ResultCode.QUEUE_FULL, "full", 60.0)
    async with run_frontend(requests) as frontend:
        with trio.fail_after(2):
            answer = await call([frontend.address], deadline=10)
    assert (answer.code, answer.outcome) == (ResultCode.QUEUE_FULL, Outcome.NOT_RUN)
    assert answer.retry_after == 60.0


async def test_call_without_a_final_result_has_unknown_outcome() -> None:
    # A request was accepted and its outcome never arrived. Reporting "not run" would
    # make the caller submit it under a new key and run it twice.
    requests = FakeRequests([30.0])
    async with run_frontend(requests, heartbeat=0.1) as frontend:
        answer = await call([frontend.address], deadline=0.6)
    assert answer.outcome is Outcome.UNKNOWN
    unreachable = await call(["127.0.0.1:1"], deadline=0.5)
    assert unreachable.code is ResultCode.PEER_UNREACHABLE


async def test_restarted_answer_contains_no_tokens_of_the_old_generation() -> None:
    restarted_tokens = tokens(0, "a", "b", generation=2)
    requests = FakeRequests(
        [tokens(0, "old"), RestartEvent(Generation(2)), restarted_tokens, DONE]
    )
    async with run_frontend(requests) as frontend:
        answer = await call([frontend.address])
    assert (answer.text, answer.restarts) == ("ab", 1)
