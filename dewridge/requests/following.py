"""Following answers from any entry host, through the death of their owners."""

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
from dewridge.requests.answers import Answer, Close, make_whole
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
from dewridge.requests.replication import Replicator, make_unconfirmed
from dewridge.requests.shared import UNREACHABLE, Shared
from dewridge.sentinels import Failure
from dewridge.supervision.mailbox import Mailbox

LIVENESS = 1.0
"""Seconds of silence after which a follower asks the owner whether the stream is
still there. A connection can go silent for good without an error; the caller
would wait on an answer that has long ended."""
SEARCH_PAUSE = 0.05
UNKNOWN_AFTER = 0.3
"""Seconds of searching before a key that nobody knows is called unknown."""
LOST_AFTER = 8.0
"""Seconds of searching for a request that was known once: suspicion, a takeover
and a second one fit in it."""
EVENTS_WAITING = 16
FRAMES_WAITING = 256
MOVED_ADDRESSES = 3

Emit = Callable[[AnswerEvent], Awaitable[None]]


@dataclass
class Place:
    """How far a follower has come."""

    generation: Generation
    offset: int
    ended: bool = False


@dataclass
class ServedStream:
    """A stream that this host sends to another entry host."""

    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    generation: int = 0
    offset: int = 0


class Followers:
    """Follows answers here and elsewhere, and serves other hosts' followers.

    Attributes:
        moving: followers are told to go on at another entry host.
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
        self.moving = False
        self.open = 0

    @asynccontextmanager
    async def follow(
        self, request: RequestId, generation: Generation, offset: int
    ) -> AsyncIterator["trio.MemoryReceiveChannel[AnswerEvent]"]:
        """Stream an answer from a place on."""
        send, receive = trio.open_memory_channel[AnswerEvent](EVENTS_WAITING)
        self.open += 1
        try:
            async with trio.open_nursery() as nursery:
                place = Place(generation, offset)
                nursery.start_soon(self._feed, request, place, send)
                with receive:
                    yield receive
                nursery.cancel_scope.cancel()
        finally:
            self.open -= 1

    async def _feed(
        self,
        request: RequestId,
        place: Place,
        send: "trio.MemorySendChannel[AnswerEvent]",
    ) -> None:
        with send:
            try:
                await self._search(request, place, send.send)
            except trio.BrokenResourceError:
                return

    async def _search(self, request: RequestId, place: Place, emit: Emit) -> None:
        """Follow wherever the request is, until its end or this host's."""
        was_known = place.generation != 0
        since = trio.current_time()
        while True:
            if self.moving and not self._has_end(request):
                await emit(MovedEvent(self.find_addresses(request)))
                return
            before = place.generation, place.offset
            found = await self._follow_once(request, place, emit)
            if place.ended:
                return
            was_known = was_known or found
            if before != (place.generation, place.offset):
                since = trio.current_time()
            limit = LOST_AFTER if was_known else UNKNOWN_AFTER
            if trio.current_time() > since + limit and not self.moving:
                await emit(make_lost(was_known))
                return
            await trio.sleep(SEARCH_PAUSE)

    def _has_end(self, request: RequestId) -> bool:
        answer = self._replicator.find(request)
        return answer is not None and answer.end_visible

    async def _follow_once(self, request: RequestId, place: Place, emit: Emit) -> bool:
        """Follow at one place while it lasts; whether the request was known."""
        await self.look_for_answer(request)
        answer = self.find_answer(request)
        if answer is not None:
            await self._follow_here(answer, place, emit)
            return True
        located = await self._locator.locate(request)
        if located is None:
            return False
        record = located.record
        if not located.is_owner and record.ended is None:
            return True
        if not located.is_owner and record.outcome is Outcome.NOT_RUN:
            if record.ended is not None:
                await emit(make_unconfirmed(record.ended))
                place.ended = True
            return True
        await self._follow_there(located, place, emit)
        return True

    def find_answer(self, request: RequestId) -> Answer | None:
        """Return an answer that can be followed on this host."""
        answer = self._replicator.find(request)
        record = self._shared.table.find(request)
        is_stale = record is not None and is_late_answer_to(answer, record)
        if answer is not None and not answer.lost and not is_stale:
            return answer
        if record is None or record.ended is None:
            return None
        if record.outcome is Outcome.NOT_RUN:
            return None
        return make_whole(record)

    async def look_for_answer(self, request: RequestId) -> None:
        """Ask other hosts for the answer of a call that ended unknown here.

        A host that was slow or asleep when this one gave the call up may have the
        answer. Without asking, each caller that comes back would be told "unknown"
        again by this host, and get the answer from another one.
        """
        record = self._shared.table.find(request)
        if record is None or record.idempotent:
            return
        if record.outcome is not Outcome.UNKNOWN:
            return
        whole = await self._locator.find_whole(request, frozenset(record.replicas))
        if whole.record is not None:
            log.info("request {}: its answer was found late", request)
            self._shared.table.store(whole.record, self._shared.clock())

    async def _follow_here(self, answer: Answer, place: Place, emit: Emit) -> None:
        close, place.generation, place.offset = await answer.stream(
            place.generation, place.offset, emit, lambda: self.moving
        )
        place.ended = close is Close.ENDED

    async def _follow_there(self, located: Located, place: Place, emit: Emit) -> None:
        stream = next(self._numbers)
        mailbox: Mailbox[Any] = Mailbox(FRAMES_WAITING)
        self._incoming[stream] = mailbox
        request = located.record.request
        try:
            while await self._ask_follow(located.host, request, place, stream):
                going = True
                while going:
                    if self.moving:
                        return
                    frame = None
                    with trio.move_on_after(LIVENESS):
                        frame = await mailbox.take()
                    if frame is None:
                        break
                    if frame.moved:
                        return
                    going = await take_frame(frame, place, emit)
                    if place.ended:
                        return
        finally:
            del self._incoming[stream]
            member = self._shared.find_live(located.host)
            if member is not None and not place.ended:
                message = wire.StopFollow(stream=stream)
                self._shared.peers.send(member.address, message)

    async def _ask_follow(
        self, host: HostId, request: RequestId, place: Place, stream: int
    ) -> bool:
        message = wire.Follow(
            request=request,
            generation=place.generation,
            offset=place.offset,
            stream=stream,
        )
        reply = await self._shared.call(host, message)
        return not isinstance(reply, Failure) and bool(reply.found)

    async def receive(self, peer: PeerIdentity, message: wire.FollowTokens) -> None:
        """Take a frame of a stream that this host follows elsewhere.

        A frame that finds the mailbox full is dropped; the gap shows in the
        next frame's offset and the follower asks again from its place.
        """
        mailbox = self._incoming.get(message.stream)
        if mailbox is not None:
            mailbox.post(message)

    async def serve(self, peer: PeerIdentity, message: wire.Follow) -> wire.FollowReply:
        """Begin a stream for a follower on another host, or confirm it."""
        request = RequestId(message.request)
        answer = self.find_answer(request)
        if answer is None or (self.moving and not answer.end_visible):
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
            refused: Failure | None = UNREACHABLE
            if member is not None:
                refused = self._shared.peers.send(member.address, frame)
            if refused is not None:
                served.scope.cancel()
            await trio.lowlevel.checkpoint()

        generation = Generation(served.generation)
        try:
            with served.scope:
                close, _, _ = await answer.stream(
                    generation, served.offset, emit, lambda: self.moving
                )
                if close is not Close.ENDED:
                    await emit(MovedEvent(()))
        finally:
            if self._served.get(name) is served:
                del self._served[name]

    async def stop(self, peer: PeerIdentity, message: wire.StopFollow) -> None:
        """End a stream whose follower has gone."""
        served = self._served.get((peer.host, peer.incarnation, message.stream))
        if served is not None:
            served.scope.cancel()

    def find_addresses(self, request: RequestId) -> tuple[str, ...]:
        """Return where a caller goes on when this host leaves."""
        members = [
            member
            for member in self._shared.membership.members()
            if member.accepts_work and member.host != self._shared.local_member.host
        ]
        home = make_preference_list(request, members)
        rest = [m for m in rank_members(request, members) if m not in home]
        addresses = [member.frontend_address for member in home + rest]
        return tuple(addresses[:MOVED_ADDRESSES])

    def describe(self) -> dict[str, int]:
        """Return sizes for a dump."""
        return {
            "following": self.open,
            "following_elsewhere": len(self._incoming),
            "served_to_peers": len(self._served),
        }


def is_late_answer_to(answer: Answer | None, record: Record) -> bool:
    """Whether a record brings the whole answer of a call given up as unknown."""
    if answer is None or answer.record is record:
        return False
    return is_late_answer(answer.record, record)


def make_lost(was_known: bool) -> EndedEvent:
    """Return the end of following a request that nobody knows."""
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


async def take_frame(frame: Any, place: Place, emit: Emit) -> bool:
    """Pass a frame on; False if something before it is missing."""
    if frame.generation != place.generation:
        if frame.offset != 0:
            return False
        if place.generation:
            await emit(RestartEvent(Generation(frame.generation)))
        place.generation = Generation(frame.generation)
        place.offset = 0
    if frame.offset > place.offset:
        return False
    tokens = tuple(frame.tokens[place.offset - frame.offset :])
    if tokens:
        await emit(TokensEvent(place.generation, place.offset, tokens))
        place.offset += len(tokens)
    if frame.ended is not None:
        await emit(decode_end(frame.ended))
        place.ended = True
    return True
