"""Streams answers from any entry host, also when their owners crash."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from itertools import count
from typing import Any

import trio
from loguru import logger as log

from dewridge.codes import Outcome, ResultCode
from dewridge.ids import Generation, HostId, RequestId
from dewridge.membership.ranking import make_preference_list, rank_members
from dewridge.peers.model import PeerIdentity
from dewridge.peers.wire import ttypes as wire
from dewridge.requests.answers import Answer, CloseReason, make_complete_answer
from dewridge.requests.codec import decode_end, encode_end
from dewridge.requests.locating import Located, Locator
from dewridge.requests.model import (
    AnswerEvent,
    EndedEvent,
    MovedEvent,
    RestartEvent,
    TokensEvent,
)
from dewridge.requests.records import Record
from dewridge.requests.replicas import is_late_answer
from dewridge.requests.replication import Replicator, make_unconfirmed_end
from dewridge.requests.shared import UNREACHABLE, Shared
from dewridge.sentinels import Failure
from dewridge.supervision.mailbox import Mailbox

STREAM_CHECK_INTERVAL = 1.0
"""Seconds without a frame after which a follower asks the owner whether the stream
still exists. A connection can go silent forever without an error; without this check
the caller would wait for an answer that has long ended."""
SEARCH_INTERVAL = 0.05
"""Seconds between two searches for the host to follow."""
UNKNOWN_KEY_TIMEOUT = 0.3
"""Seconds of searching after which a key that no host knows is reported unknown."""
LOST_REQUEST_TIMEOUT = 8.0
"""Seconds of searching for a request that was known before. That is enough for a
failure suspicion and two successive takeovers."""
MAX_BUFFERED_EVENTS = 16
MAX_BUFFERED_FRAMES = 256
MAX_MOVED_ADDRESSES = 3
"""Maximum number of addresses of other entry hosts that are sent to a caller when this
host leaves."""

Emit = Callable[[AnswerEvent], Awaitable[None]]


@dataclass
class StreamPosition:
    """How far a follower has read an answer."""

    generation: Generation
    offset: int
    ended: bool = False


@dataclass
class ServedStream:
    """A stream that this host sends to another entry host.

    Attributes:
        scope: cancels the task that sends the stream.
        generation: generation of the next token to send.
        offset: number of its tokens that were sent.
    """

    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    generation: int = 0
    offset: int = 0


class Followers:
    """Follows answers on this and other hosts, and serves other hosts' followers.

    Attributes:
        is_redirecting: whether followers are redirected to another entry host.
        open_streams: number of streams to callers of this host.
    """

    def __init__(
        self, shared: Shared, replicator: Replicator, locator: Locator
    ) -> None:
        self._shared = shared
        self._replicator = replicator
        self._locator = locator
        self._numbers = count(1)
        self._incoming: dict[int, Mailbox[Any]] = {}
        self._served: dict[tuple[HostId, int, int], ServedStream] = {}
        self.is_redirecting = False
        self.open_streams = 0

    @asynccontextmanager
    async def follow(
        self, request: RequestId, generation: Generation, offset: int
    ) -> AsyncIterator["trio.MemoryReceiveChannel[AnswerEvent]"]:
        """Stream the events of an answer from a position on."""
        send, receive = trio.open_memory_channel[AnswerEvent](MAX_BUFFERED_EVENTS)
        self.open_streams += 1
        try:
            async with trio.open_nursery() as nursery:
                position = StreamPosition(generation, offset)
                nursery.start_soon(self._feed, request, position, send)
                with receive:
                    yield receive
                nursery.cancel_scope.cancel()
        finally:
            self.open_streams -= 1

    async def _feed(
        self,
        request: RequestId,
        position: StreamPosition,
        send: "trio.MemorySendChannel[AnswerEvent]",
    ) -> None:
        with send:
            try:
                await self._follow_until_end(request, position, send.send)
            except trio.BrokenResourceError:
                return

    async def _follow_until_end(
        self, request: RequestId, position: StreamPosition, emit: Emit
    ) -> None:
        """Follow a request across hosts until it ends or callers are redirected."""
        was_known = position.generation != 0
        since = trio.current_time()
        while True:
            if self.is_redirecting and not self._has_end(request):
                await emit(MovedEvent(self.find_addresses(request)))
                return
            start = position.generation, position.offset
            is_found = await self._follow_once(request, position, emit)
            if position.ended:
                return
            was_known = was_known or is_found
            if start != (position.generation, position.offset):
                since = trio.current_time()
            limit = LOST_REQUEST_TIMEOUT if was_known else UNKNOWN_KEY_TIMEOUT
            if trio.current_time() > since + limit and not self.is_redirecting:
                await emit(make_not_found(was_known))
                return
            await trio.sleep(SEARCH_INTERVAL)

    def _has_end(self, request: RequestId) -> bool:
        answer = self._replicator.find(request)
        return answer is not None and answer.end_visible

    async def _follow_once(
        self, request: RequestId, position: StreamPosition, emit: Emit
    ) -> bool:
        """Follow a request on one host until its stream stops.

        Returns:
            Whether the request was found.
        """
        await self.fetch_late_answer(request)
        answer = self.find_answer(request)
        if answer is not None:
            await self._follow_local(answer, position, emit)
            return True
        located = await self._locator.locate(request)
        if located is None:
            return False
        record = located.record
        if not located.is_owner and record.ended is None:
            return True
        if not located.is_owner and record.outcome is Outcome.NOT_RUN:
            if record.ended is not None:
                await emit(make_unconfirmed_end(record.ended))
                position.ended = True
            return True
        await self._follow_remote(located, position, emit)
        return True

    def find_answer(self, request: RequestId) -> Answer | None:
        """Return the answer to follow on this host, or None if it has none."""
        answer = self._replicator.find(request)
        record = self._shared.table.find(request)
        is_stale = record is not None and is_late_answer_to(answer, record)
        if answer is not None and not answer.lost and not is_stale:
            return answer
        if record is None or record.ended is None:
            return None
        if record.outcome is Outcome.NOT_RUN:
            return None
        return make_complete_answer(record)

    async def fetch_late_answer(self, request: RequestId) -> None:
        """Query other hosts for the answer of a request that ended as unknown here.

        A host that was slow or paused when this one abandoned the request may have
        the answer. Without the query, callers that reconnect would be sent "unknown"
        by this host, but the answer by another one.
        """
        record = self._shared.table.find(request)
        if record is None or record.idempotent:
            return
        if record.outcome is not Outcome.UNKNOWN:
            return
        search = await self._locator.find_complete_answer(
            request, frozenset(record.replicas)
        )
        if search.record is not None:
            log.info("request {}: its answer was found late", request)
            self._shared.table.store(search.record, self._shared.clock())

    async def _follow_local(
        self, answer: Answer, position: StreamPosition, emit: Emit
    ) -> None:
        reason, position.generation, position.offset = await answer.stream(
            position.generation, position.offset, emit, lambda: self.is_redirecting
        )
        position.ended = reason is CloseReason.ENDED

    async def _follow_remote(
        self, located: Located, position: StreamPosition, emit: Emit
    ) -> None:
        stream = next(self._numbers)
        mailbox: Mailbox[Any] = Mailbox(MAX_BUFFERED_FRAMES)
        self._incoming[stream] = mailbox
        request = located.record.request
        try:
            while await self._request_stream(located.host, request, position, stream):
                is_contiguous = True
                while is_contiguous:
                    if self.is_redirecting:
                        return
                    frame = None
                    with trio.move_on_after(STREAM_CHECK_INTERVAL):
                        frame = await mailbox.receive()
                    if frame is None:
                        break
                    if frame.moved:
                        return
                    is_contiguous = await apply_frame(frame, position, emit)
                    if position.ended:
                        return
        finally:
            del self._incoming[stream]
            member = self._shared.find_live(located.host)
            if member is not None and not position.ended:
                message = wire.StopFollow(stream=stream)
                self._shared.peers.send(member.address, message)

    async def _request_stream(
        self, host: HostId, request: RequestId, position: StreamPosition, stream: int
    ) -> bool:
        message = wire.Follow(
            request=request,
            generation=position.generation,
            offset=position.offset,
            stream=stream,
        )
        reply = await self._shared.call(host, message)
        return not isinstance(reply, Failure) and bool(reply.found)

    async def receive(self, peer: PeerIdentity, message: wire.FollowTokens) -> None:
        """Receive a frame of a stream that this host follows on another host.

        A frame is dropped if the mailbox is full. The next frame's offset then
        shows the gap, and the follower requests the stream again from its position.
        """
        mailbox = self._incoming.get(message.stream)
        if mailbox is not None:
            mailbox.post(message)

    async def serve(self, peer: PeerIdentity, message: wire.Follow) -> wire.FollowReply:
        """Start a stream for a follower on another host, or confirm a running one."""
        request = RequestId(message.request)
        answer = self.find_answer(request)
        if answer is None or (self.is_redirecting and not answer.end_visible):
            return wire.FollowReply(found=False, generation=0)
        name = (peer.host, peer.incarnation, message.stream)
        running = self._served.get(name)
        if running is not None:
            if (running.generation, running.offset) == (
                message.generation,
                message.offset,
            ):
                return wire.FollowReply(found=True, generation=running.generation)
            running.scope.cancel()
        served = ServedStream(offset=message.offset, generation=message.generation)
        self._served[name] = served
        self._shared.jobs.start(self._send_stream, peer, name, served, answer)
        return wire.FollowReply(found=True, generation=answer.record.generation)

    async def _send_stream(
        self,
        peer: PeerIdentity,
        name: tuple[HostId, int, int],
        served: ServedStream,
        answer: Answer,
    ) -> None:
        async def emit(event: AnswerEvent) -> None:
            frame = make_frame(name[2], event, served, answer)
            member = self._shared.find_live(peer.host)
            failure: Failure | None = UNREACHABLE
            if member is not None:
                failure = self._shared.peers.send(member.address, frame)
            if failure is not None:
                served.scope.cancel()
            await trio.lowlevel.checkpoint()

        generation = Generation(served.generation)
        try:
            with served.scope:
                reason, _, _ = await answer.stream(
                    generation, served.offset, emit, lambda: self.is_redirecting
                )
                if reason is not CloseReason.ENDED:
                    await emit(MovedEvent(()))
        finally:
            if self._served.get(name) is served:
                del self._served[name]

    async def stop(self, peer: PeerIdentity, message: wire.StopFollow) -> None:
        """Stop a stream that its follower no longer reads."""
        served = self._served.get((peer.host, peer.incarnation, message.stream))
        if served is not None:
            served.scope.cancel()

    def find_addresses(self, request: RequestId) -> tuple[str, ...]:
        """Return addresses where a caller can continue when this host leaves."""
        members = [
            member
            for member in self._shared.membership.members()
            if member.accepts_work and member.host != self._shared.local_member.host
        ]
        candidates = make_preference_list(request, members)
        others = [m for m in rank_members(request, members) if m not in candidates]
        addresses = [member.frontend_address for member in candidates + others]
        return tuple(addresses[:MAX_MOVED_ADDRESSES])

    def describe(self) -> dict[str, int]:
        """Return the number of open streams, for a dump."""
        return {
            "following": self.open_streams,
            "following_elsewhere": len(self._incoming),
            "served_to_peers": len(self._served),
        }


def is_late_answer_to(answer: Answer | None, record: Record) -> bool:
    """Whether a record has the complete answer of a request that ended as unknown."""
    if answer is None or answer.record is record:
        return False
    return is_late_answer(answer.record, record)


def make_not_found(was_known: bool) -> EndedEvent:
    """Return the end event for a request that no entry host knows."""
    if was_known:
        return EndedEvent(
            ResultCode.OUTCOME_UNKNOWN, "no entry host knows the request now", 2.0
        )
    return EndedEvent(ResultCode.UNKNOWN_REQUEST, "no entry host knows the key")


def make_frame(
    stream: int, event: AnswerEvent, served: ServedStream, answer: Answer
) -> Any:
    """Return an event as a frame for a follower on another host."""
    frame = wire.FollowTokens(
        stream=stream,
        generation=answer.record.generation,
        offset=served.offset,
        tokens=[],
        moved=isinstance(event, MovedEvent),
    )
    if isinstance(event, TokensEvent):
        frame.generation = event.generation
        frame.offset = event.offset
        frame.tokens = list(event.tokens)
    elif isinstance(event, RestartEvent):
        frame.generation = event.generation
        frame.offset = 0
    elif isinstance(event, EndedEvent):
        frame.ended = encode_end(event, answer.record.number)
    served.generation = frame.generation
    served.offset = frame.offset + len(frame.tokens)
    return frame


async def apply_frame(frame: Any, position: StreamPosition, emit: Emit) -> bool:
    """Emit the events of a frame and advance the position.

    Returns:
        False if frames before this one are missing.
    """
    if frame.generation != position.generation:
        if frame.offset != 0:
            return False
        if position.generation:
            await emit(RestartEvent(Generation(frame.generation)))
        position.generation = Generation(frame.generation)
        position.offset = 0
    if frame.offset > position.offset:
        return False
    tokens = tuple(frame.tokens[position.offset - frame.offset :])
    if tokens:
        await emit(TokensEvent(position.generation, position.offset, tokens))
        position.offset += len(tokens)
    if frame.ended is not None:
        await emit(decode_end(frame.ended))
        position.ended = True
    return True
