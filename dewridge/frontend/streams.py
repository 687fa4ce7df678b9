"""Response bodies: event streams and complete answers."""

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
    embed_result,
    encode_accepted,
    encode_events,
)
from dewridge.frontend.model import FrontendComponents
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
MAX_BATCH_EVENTS = 256
"""Maximum events in one write. Bounded so that a follower that is far behind does not
delay the writes of others while it catches up."""

Position = tuple[Generation, int]
"""A generation of an answer and the number of its tokens that the caller has."""
FROM_START: Position = (Generation(0), 0)

Channel = trio.MemoryReceiveChannel[AnswerEvent]


class Follower:
    """Follows an answer on behalf of a caller, starting at a position.

    Attributes:
        accepted: sent as the first event; None unless the caller has just
            submitted the request.
    """

    def __init__(
        self,
        components: FrontendComponents,
        account: ClientAccount,
        key: RequestKey,
        position: Position = FROM_START,
        *,
        accepted: Accepted | None = None,
    ) -> None:
        self._components = components
        self.account = account
        self.key = key
        self.accepted = accepted
        self._position = position

    async def open(self, stack: AsyncExitStack) -> Channel:
        """Open the event channel and count the stream until the stack closes."""
        stack.enter_context(self._components.streams.track_stream(self.account))
        stream = self._components.requests.follow(
            self.account, self.key, *self._position
        )
        return await stack.enter_async_context(stream)


class EventStreamBody(ResponseBody):
    """Response body that streams server-sent events.

    A context manager instead of a generator, so that the server closes it in the
    task that opened it and the follower ends as soon as the caller disconnects.
    """

    def __init__(self, follower: Follower, heartbeat: float) -> None:
        self._follower = follower
        self._heartbeat = heartbeat
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> AsyncIterator[bytes]:
        self._channel = await self._follower.open(self._stack)
        return self._iterate_chunks()

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        tb: TracebackType | None,
    ) -> None:
        await self._stack.__aexit__(exc_type, exc_value, tb)

    async def _iterate_chunks(self) -> AsyncIterator[bytes]:
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
        # A network hop that loses track of a connection does not close it. The
        # caller detects this by missing heartbeats and resumes at another host.
        event: AnswerEvent = HeartbeatEvent()
        with trio.move_on_after(self._heartbeat):
            try:
                event = await self._channel.receive()
            except trio.EndOfChannel:
                return []
        return (
            [event, *_receive_ready(self._channel)] if not is_last(event) else [event]
        )


def is_last(event: AnswerEvent) -> bool:
    """Whether an event is the last one of its stream."""
    return isinstance(event, EndedEvent | MovedEvent)


def _receive_ready(channel: Channel) -> list[AnswerEvent]:
    ready: list[AnswerEvent] = []
    while len(ready) < MAX_BATCH_EVENTS:
        try:
            ready.append(channel.receive_nowait())
        except (trio.WouldBlock, trio.EndOfChannel):
            break
        if is_last(ready[-1]):
            break
    return ready


def answer_stream(components: FrontendComponents, follower: Follower) -> Response:
    """Answer with server-sent events."""
    body = EventStreamBody(follower, components.settings.frontend.heartbeat)
    response = Response(body, content_type=EVENT_STREAM)
    # The library's default timeout of one minute would interrupt long answers.
    response.timeout = None
    response.headers["Cache-Control"] = "no-store"
    return response


class CompleteAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """A complete answer in one document.

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
    """Reports that the request continues and is to be followed by its key.

    Attributes:
        addresses: hosts at which to follow it if this host is departing.
    """

    key: str
    code: int
    outcome: str
    addresses: tuple[str, ...] = ()


class _AnswerCollector:
    """Collects the events of an answer."""

    def __init__(self) -> None:
        self.generation = 0
        self.tokens: list[str] = []
        self.addresses: tuple[str, ...] = ()
        self.ended: EndedEvent | None = None

    def add(self, event: AnswerEvent) -> bool:
        """Add an event and return whether it is the last one."""
        match event:
            case TokensEvent():
                self._append_tokens(event)
            case RestartEvent():
                self.generation = event.generation
                self.tokens.clear()
            case MovedEvent():
                self.addresses = event.addresses
            case EndedEvent():
                self.ended = event
        return is_last(event)

    def _append_tokens(self, event: TokensEvent) -> None:
        if event.generation != self.generation:
            self.generation = event.generation
            self.tokens.clear()
        known = len(self.tokens) - event.offset
        if known >= 0:  # negative if tokens are missing; `is_complete` is False then
            self.tokens.extend(event.tokens[known:])

    @property
    def is_complete(self) -> bool:
        """Whether all tokens that the end event counts were received."""
        if self.ended is None:
            return False
        has_all_tokens = len(self.tokens) >= self.ended.summary.tokens
        return (
            self.ended.code is not ResultCode.OK
            or bool(self.ended.body)
            or has_all_tokens
        )


async def answer_complete(
    components: FrontendComponents, follower: Follower, timeout: float
) -> Response:
    """Wait for the complete answer and return it in one document."""
    collector = _AnswerCollector()
    async with AsyncExitStack() as stack:
        channel = await follower.open(stack)
        with trio.move_on_after(timeout):
            async for event in channel:
                if collector.add(event):
                    break
    if collector.ended is None or not collector.is_complete:
        return _answer_unfinished(follower.key, collector.addresses)
    return _answer_ended(follower.key, collector, collector.ended)


def _answer_unfinished(key: RequestKey, addresses: tuple[str, ...]) -> Response:
    code = ResultCode.ACCEPTED
    entry = CODE_TABLE[code]
    content = UnfinishedAnswer(key, int(code), entry.outcome.value, addresses)
    response = answer_json(content, entry.http_status)
    response.headers["Location"] = f"/v1/requests/{key}"
    return response


def _answer_ended(
    key: RequestKey, collector: _AnswerCollector, ended: EndedEvent
) -> Response:
    if ended.code is not ResultCode.OK:
        return answer_failure(Failure(ended.code, ended.reason, ended.retry_after))
    content: Any = CompleteAnswer(
        key=key,
        code=int(ended.code),
        outcome=CODE_TABLE[ended.code].outcome.value,
        generation=collector.generation,
        summary=ended.summary,
        text="".join(collector.tokens) if not ended.body else None,
        result=embed_result(ended.body),
    )
    return answer_json(content)
