"""Bodies of answers: streams of events, and waits for the whole."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Any

import msgspec
import trio
from quart import Response
from quart.wrappers.response import ResponseBody

from dewridge.codes import CODE_TABLE, ResultCode
from dewridge.frontend.events import (
    encode_accepted,
    encode_events,
    read_result,
)
from dewridge.frontend.model import FrontendParts
from dewridge.frontend.problems import answer_failure, answer_json
from dewridge.ids import ClientAccount, Generation, RequestKey
from dewridge.requests.model import (
    Accepted,
    AnswerEvent,
    AnswerSummary,
    EndedEvent,
    HeartbeatEvent,
    MovedEvent,
    RestartEvent,
    TokensEvent,
)
from dewridge.sentinels import Failure

EVENT_STREAM = "text/event-stream"
GATHER_LIMIT = 256
"""Events put into one write; a follower far behind catches up in steps that
leave room for the others' writes."""

Place = tuple[Generation, int]
"""A generation of an answer and the count of its tokens that the caller has."""
FROM_START: Place = (Generation(0), 0)

Channel = trio.MemoryReceiveChannel[AnswerEvent]


class Follower:
    """An answer that a caller follows from a place on.

    Attributes:
        accepted: told first, if the caller has just submitted the request.
    """

    def __init__(
        self,
        parts: FrontendParts,
        account: ClientAccount,
        key: RequestKey,
        place: Place = FROM_START,
        *,
        accepted: Accepted | None = None,
    ) -> None:
        self._parts = parts
        self.account = account
        self.key = key
        self.accepted = accepted
        self._place = place

    async def open(self, stack: AsyncExitStack) -> Channel:
        """Follow the answer until the stack closes, counted for the account."""
        stack.enter_context(self._parts.streams.hold(self.account))
        stream = self._parts.requests.follow(self.account, self.key, *self._place)
        return await stack.enter_async_context(stream)


class EventStreamBody(ResponseBody):
    """The body of a stream of events.

    A class of its own and no generator: the server closes it in the task that
    opened it, so the follower ends as soon as its caller is gone.
    """

    def __init__(self, follower: Follower, heartbeat: float) -> None:
        self._follower = follower
        self._heartbeat = heartbeat
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> AsyncIterator[bytes]:
        self._channel = await self._follower.open(self._stack)
        return self._list_chunks()

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        tb: TracebackType | None,
    ) -> None:
        await self._stack.__aexit__(exc_type, exc_value, tb)

    async def _list_chunks(self) -> AsyncIterator[bytes]:
        if self._follower.accepted is not None:
            yield encode_accepted(self._follower.key, self._follower.accepted)
        while True:
            events = await self._receive()
            if not events:
                return
            yield encode_events(events)
            if is_last(events[-1]):
                return

    async def _receive(self) -> list[AnswerEvent]:
        # A hop that has lost track of the connection closes nothing; the caller
        # notices only that heartbeats stay away, and resumes elsewhere.
        event: AnswerEvent = HeartbeatEvent()
        with trio.move_on_after(self._heartbeat):
            try:
                event = await self._channel.receive()
            except trio.EndOfChannel:
                return []
        return [event, *_take_ready(self._channel)] if not is_last(event) else [event]


def is_last(event: AnswerEvent) -> bool:
    """Whether nothing follows an event on its stream."""
    return isinstance(event, EndedEvent | MovedEvent)


def _take_ready(channel: Channel) -> list[AnswerEvent]:
    ready: list[AnswerEvent] = []
    while len(ready) < GATHER_LIMIT:
        try:
            ready.append(channel.receive_nowait())
        except (trio.WouldBlock, trio.EndOfChannel):
            break
        if is_last(ready[-1]):
            break
    return ready


def answer_stream(parts: FrontendParts, follower: Follower) -> Response:
    """Answer with server-sent events."""
    body = EventStreamBody(follower, parts.settings.frontend.heartbeat)
    answer = Response(body, content_type=EVENT_STREAM)
    # The library ends an answer after a minute unless told not to, which would
    # cut off long drafts.
    answer.timeout = None
    answer.headers["Cache-Control"] = "no-store"
    return answer


class WholeAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """A whole answer in one document.

    Attributes:
        text: a model's answer.
        result: a plain service's answer.
    """

    key: str
    code: int
    outcome: str
    generation: int
    summary: AnswerSummary
    text: str | None = None
    result: msgspec.Raw | None = None


class UnfinishedAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """The request goes on; follow it by its key.

    Attributes:
        addresses: where to follow it, if this host goes.
    """

    key: str
    code: int
    outcome: str
    addresses: tuple[str, ...] = ()


class _Gathered:
    """What has come of an answer so far."""

    def __init__(self) -> None:
        self.generation = 0
        self.tokens: list[str] = []
        self.addresses: tuple[str, ...] = ()
        self.ended: EndedEvent | None = None

    def take(self, event: AnswerEvent) -> bool:
        """Add an event; True if it was the last."""
        match event:
            case TokensEvent():
                self._take_tokens(event)
            case RestartEvent():
                self.generation = event.generation
                self.tokens.clear()
            case MovedEvent():
                self.addresses = event.addresses
            case EndedEvent():
                self.ended = event
        return is_last(event)

    def _take_tokens(self, event: TokensEvent) -> None:
        if event.generation != self.generation:
            self.generation = event.generation
            self.tokens.clear()
        known = len(self.tokens) - event.offset
        if known >= 0:  # below 0 tokens are missing, and `is_whole` will say so
            self.tokens.extend(event.tokens[known:])

    @property
    def is_whole(self) -> bool:
        """Whether every token that the end counts has come."""
        if self.ended is None:
            return False
        has_all = len(self.tokens) >= self.ended.summary.tokens
        return self.ended.code is not ResultCode.OK or bool(self.ended.body) or has_all


async def answer_whole(
    parts: FrontendParts, follower: Follower, timeout: float
) -> Response:
    """Wait for the whole answer and give it in one document."""
    gathered = _Gathered()
    async with AsyncExitStack() as stack:
        channel = await follower.open(stack)
        with trio.move_on_after(timeout):
            async for event in channel:
                if gathered.take(event):
                    break
    if gathered.ended is None or not gathered.is_whole:
        return _answer_unfinished(follower.key, gathered.addresses)
    return _answer_ended(follower.key, gathered, gathered.ended)


def _answer_unfinished(key: RequestKey, addresses: tuple[str, ...]) -> Response:
    code = ResultCode.ACCEPTED
    entry = CODE_TABLE[code]
    content = UnfinishedAnswer(key, int(code), entry.outcome.value, addresses)
    answer = answer_json(content, entry.http_status)
    answer.headers["Location"] = f"/v1/requests/{key}"
    return answer


def _answer_ended(key: RequestKey, gathered: _Gathered, ended: EndedEvent) -> Response:
    if ended.code is not ResultCode.OK:
        return answer_failure(Failure(ended.code, ended.reason, ended.retry_after))
    content: Any = WholeAnswer(
        key=key,
        code=int(ended.code),
        outcome=CODE_TABLE[ended.code].outcome.value,
        generation=gathered.generation,
        summary=ended.summary,
        text="".join(gathered.tokens) if not ended.body else None,
        result=read_result(ended.body),
    )
    return answer_json(content)
