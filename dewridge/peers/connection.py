"""One connection to a peer, owned by its own task."""

import itertools
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from enum import Enum
from typing import Any

import trio

from dewridge.codes import ResultCode
from dewridge.peers.frames import (
    HEARTBEAT,
    HELLO_LIMIT,
    FrameReader,
    Parcel,
    encode_frame,
)
from dewridge.peers.greetings import RECEIVE_BYTES, ConnectionOptions, greet
from dewridge.peers.hello import Greeted
from dewridge.peers.model import Message, PeerIdentity
from dewridge.peers.refusals import hide_code, make_refusal, read_reply, unreachable
from dewridge.sentinels import Failure
from dewridge.supervision.mailbox import Mailbox, Promise

OUTGOING_FRAMES = 4_096
"""Frames waiting for one connection. A pair of hosts exchanges a hundred or two a
second, so this is more than the idle timeout can gather; beyond it a peer that
stands still would cost this host its memory. What doesn't fit fails at once as
never sent, and the caller takes another host."""
LONGEST_KEEP = 60.0
"""Seconds that a connection in steady use is kept without a message. At 440 hosts
each probes every other one once in a few minutes; connections kept for that would
spend more on heartbeats than all probes together (see `_is_spent`)."""

OpenStream = Callable[[], Awaitable[trio.SocketStream]]
Deliver = Callable[["Connection", Parcel], None]
"""Takes a message that is no reply, at once."""


class ConnectionState(Enum):
    """How far a connection has come."""

    GREETING = "greeting"
    OPEN = "open"
    RETIRED = "retired"
    """Takes no new message; waits for the replies to earlier ones."""
    CLOSED = "closed"


@dataclass(slots=True, eq=False)
class Outgoing:
    """A frame on its way to the peer."""

    frame: bytes
    promise: Promise[Message] | None = None
    written_at: float | None = None
    """When it was given to the kernel; None while it provably never left."""
    is_withdrawn: bool = False


class Connection:
    """A connection, dialled or accepted; `run` owns its socket and its end."""

    def __init__(
        self,
        options: ConnectionOptions,
        deliver: Deliver,
        *,
        address: str,
        dialled: bool,
    ) -> None:
        self.address = address
        self.dialled = dialled
        self.state = ConnectionState.GREETING
        self.peer: PeerIdentity | None = None
        self.version = 0
        self._options = options
        self._deliver = deliver
        self._mailbox: Mailbox[Outgoing] = Mailbox(OUTGOING_FRAMES)
        self._queued_bytes = 0
        self._pending: dict[int, Outgoing] = {}
        self._numbers = itertools.count(1)
        self._reader = FrameReader(HELLO_LIMIT)
        self._scope = trio.CancelScope()
        self._ending: Failure | None = None
        now = trio.current_time()
        self._opened_at = now
        self._used_at = now
        self._received_at = now
        self._sent_at = now
        self._checked_at = now

    # -- used by other tasks ---------------------------------------------------

    @property
    def is_usable(self) -> bool:
        """Whether new messages may be given to it."""
        return self.state in (ConnectionState.GREETING, ConnectionState.OPEN)

    @property
    def was_open(self) -> bool:
        """Whether the peer has greeted."""
        return self.peer is not None

    async def call(self, message: Message, timeout: float) -> Message | Failure:
        """Send a message and wait for its reply; see `Peers.call`."""
        number = next(self._numbers)
        frame = encode_frame(Parcel(number, 0, message), self._options.frame_limit)
        if isinstance(frame, Failure):
            return frame
        promise: Promise[Message] = Promise()
        outgoing = Outgoing(frame, promise)
        refusal = self._post(outgoing)
        if refusal is not None:
            return refusal
        self._pending[number] = outgoing
        try:
            reply = await promise.wait(timeout, _TOO_LATE)
        finally:
            self._pending.pop(number, None)
        return self._give_up(outgoing) if reply is _TOO_LATE else reply

    def send(self, message: Message) -> Failure | None:
        """Queue a message that needs no reply."""
        frame = encode_frame(Parcel(0, 0, message), self._options.frame_limit)
        return frame if isinstance(frame, Failure) else self._post(Outgoing(frame))

    def reply(self, call: int, result: Message | Failure) -> None:
        """Queue the reply to a message of the peer's."""
        message = make_refusal(result) if isinstance(result, Failure) else result
        limit = self._options.frame_limit
        frame = encode_frame(Parcel(0, call, message), limit)
        if isinstance(frame, Failure):
            refusal = make_refusal(Failure(ResultCode.INTERNAL, frame.reason))
            frame = encode_frame(Parcel(0, call, refusal), limit)
        if isinstance(frame, Failure) or self._post(Outgoing(frame)) is not None:
            self._options.metrics.add("peer_replies_dropped")

    def describe(self) -> dict[str, Any]:
        """Return its state for a dump."""
        now = trio.current_time()
        return {
            "peer": self.peer.host if self.peer else None,
            "address": self.address,
            "direction": "dialled" if self.dialled else "accepted",
            "state": self.state.value,
            "version": self.version,
            "queued_frames": len(self._mailbox),
            "queued_bytes": self._queued_bytes,
            "pending_calls": len(self._pending),
            "seconds_since_received": round(now - self._received_at, 3),
        }

    def _post(self, outgoing: Outgoing) -> Failure | None:
        if self.state is ConnectionState.CLOSED:
            return Failure(ResultCode.PEER_UNREACHABLE, "connection closed")
        size = len(outgoing.frame)
        too_many = self._queued_bytes + size > self._options.frame_limit + 4
        if (too_many and self._queued_bytes) or not self._mailbox.post(outgoing):
            self._options.metrics.add("peer_frames_dropped", reason="queue_full")
            return Failure(ResultCode.PEER_UNREACHABLE, "outgoing queue is full")
        self._queued_bytes += size
        return None

    def _give_up(self, outgoing: Outgoing) -> Failure:
        if outgoing.written_at is None:
            outgoing.is_withdrawn = True
            return Failure(ResultCode.PEER_UNREACHABLE, "not sent in time")
        if self._received_at < outgoing.written_at:
            # Nothing at all came since the message left. Something between the two
            # ends may have lost track of this connection while new ones work;
            # calls would go on timing out until the idle timeout ends it. The next
            # message opens a new connection, and this one only waits for replies.
            self._retire()
        return Failure(ResultCode.PEER_TIMEOUT, "no reply in time")

    def _retire(self) -> None:
        if self.state is ConnectionState.OPEN and self.dialled:
            self.state = ConnectionState.RETIRED
            self._options.metrics.add("peer_connections_retired")

    # -- the connection's own tasks --------------------------------------------

    async def run(self, open_stream: OpenStream) -> None:
        """Open, greet and serve the connection until it ends."""
        try:
            async with AsyncExitStack() as stack:
                stack.enter_context(self._scope)
                await self._work(stack, open_stream)
        finally:
            self._settle()

    def abandon(self, ending: Failure, reason: str) -> None:
        """End the connection; the first reason given counts."""
        if self._ending is None:
            self._ending = ending
            self._options.metrics.add("peer_connections_ended", reason=reason)
            if ending.code is ResultCode.FRAME_MALFORMED:
                self._options.metrics.add("peer_frames_malformed")
        self.state = ConnectionState.CLOSED
        self._scope.cancel()

    async def _work(self, stack: AsyncExitStack, open_stream: OpenStream) -> None:
        with trio.move_on_after(self._options.connect_timeout) as opening:
            try:
                stream = await open_stream()
            except (OSError, ValueError) as error:
                kind = type(error).__name__
                return self.abandon(unreachable(f"can't connect: {kind}"), "refused")
            stack.push_async_callback(trio.aclose_forcefully, stream)
            greeted = await greet(stream, self._reader, self._options, self.dialled)
            if isinstance(greeted, Failure):
                return self.abandon(greeted, "no_greeting")
            self._open(greeted)
        if opening.cancelled_caught:
            return self.abandon(unreachable("no greeting in time"), "no_greeting")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read, stream)
            nursery.start_soon(self._write, stream)
        return None

    def _open(self, greeted: Greeted) -> None:
        self.peer = greeted.peer
        self.version = greeted.version
        self.state = ConnectionState.OPEN
        self._reader.limit = self._options.frame_limit
        now = trio.current_time()
        self._opened_at = self._used_at = now
        self._received_at = self._sent_at = self._checked_at = now
        direction = "dialled" if self.dialled else "accepted"
        self._options.metrics.add("peer_connections_opened", direction=direction)

    async def _read(self, stream: trio.SocketStream) -> None:
        metrics = self._options.metrics
        while True:
            if not self._take_frames():
                return None
            try:
                data = await stream.receive_some(RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return self.abandon(unreachable("connection broke"), "broken")
            if not data:
                return self.abandon(unreachable("closed by the peer"), "closed")
            self._received_at = trio.current_time()
            metrics.add("peer_bytes_received", len(data))
            self._reader.feed(data)

    def _take_frames(self) -> bool:
        count = 0
        while (parcel := self._reader.take()) is not None:
            count += 1
            if isinstance(parcel, Failure):
                self.abandon(parcel, "malformed")
                return False
            if not parcel.is_heartbeat and not self._accept(parcel):
                return False
        if count:
            self._options.metrics.add("peer_frames_received", count)
        return True

    def _accept(self, parcel: Parcel) -> bool:
        assert self.peer is not None
        refusal = self._options.is_refused(self.peer)
        if refusal is not None:
            # A host that was paused wakes up, is fenced by now, and goes on over
            # the connections that it had. Its hellos are refused, but these are
            # open already; it would act on behalf of work that others took over.
            self.abandon(hide_code(refusal), "peer_refused")
            return False
        self._used_at = self._received_at
        if not parcel.reply_to:
            self._deliver(self, parcel)
            return True
        outgoing = self._pending.get(parcel.reply_to)
        if outgoing is None or outgoing.promise is None:
            self._options.metrics.add("peer_replies_late")
            return True
        outgoing.promise.fulfil(read_reply(parcel.message))
        return True

    async def _write(self, stream: trio.SocketStream) -> None:
        pause = self._options.heartbeat / 2
        while True:
            first: list[Outgoing] = []
            with trio.move_on_after(pause):
                first.append(await self._mailbox.receive())
            data = self._gather(first)
            if trio.current_time() - self._checked_at >= pause:
                if not self._check_idle(pause):
                    return
                data = data or self._make_heartbeat()
            if data and not await self._send_bytes(stream, data):
                return

    def _gather(self, first: list[Outgoing]) -> bytes:
        frames = []
        now = trio.current_time()
        for outgoing in first + (self._mailbox.receive_all() if first else []):
            self._queued_bytes -= len(outgoing.frame)
            if not outgoing.is_withdrawn:
                outgoing.written_at = now
                frames.append(outgoing.frame)
        if frames:
            self._used_at = now
            self._options.metrics.add("peer_frames_sent", len(frames))
        return frames[0] if len(frames) == 1 else b"".join(frames)

    async def _send_bytes(self, stream: trio.SocketStream, data: bytes) -> bool:
        # A peer that stands still with a full receive buffer blocks the write for
        # as long as the kernel keeps trying, a quarter of an hour; without this
        # deadline every later message would wait behind it.
        with trio.move_on_after(self._options.idle_timeout) as deadline:
            try:
                await stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self.abandon(unreachable("connection broke"), "broken")
                return False
        if deadline.cancelled_caught:
            self.abandon(unreachable("write blocked"), "write_blocked")
            return False
        self._sent_at = trio.current_time()
        self._options.metrics.add("peer_bytes_sent", len(data))
        return True

    def _check_idle(self, pause: float) -> bool:
        """Look for silence and disuse; False when the connection has ended."""
        now = trio.current_time()
        was_paused = now - self._checked_at > pause + self._options.heartbeat
        self._checked_at = now
        if was_paused:
            # This process itself stood still. What the peer sent meanwhile lies in
            # the kernel unread, so the silence is no sign of a dead connection.
            self._received_at = now
        if now - self._received_at > self._options.idle_timeout:
            self.abandon(Failure(ResultCode.PEER_TIMEOUT, "went silent"), "silent")
            return False
        if self._is_spent(now):
            self.abandon(unreachable("closed as unused"), "unused")
            return False
        return True

    def _is_spent(self, now: float) -> bool:
        # The side that dialled closes it, as only that side starts calls on it. A
        # connection may idle as long as it was in use: one that carried a single
        # probe goes before its first heartbeat, one that carries requests stays.
        if not self.dialled or self._pending or len(self._mailbox):
            return False
        if self.state is ConnectionState.RETIRED:
            return True
        in_use = self._used_at - self._opened_at
        shortest = self._options.heartbeat / 2
        return now - self._used_at >= min(max(in_use, shortest), LONGEST_KEEP)

    def _make_heartbeat(self) -> bytes:
        # Both sides send them: each must notice on its own when the path back has
        # gone silent.
        if trio.current_time() - self._sent_at < self._options.heartbeat:
            return b""
        frame = encode_frame(HEARTBEAT, self._options.frame_limit)
        return frame if isinstance(frame, bytes) else b""

    def _settle(self) -> None:
        """Give every call that still waits its final answer."""
        self.state = ConnectionState.CLOSED
        ending = self._ending
        if ending is None:
            ending = unreachable("shut down")
        if ending.code is ResultCode.PEER_TIMEOUT:
            never_sent = unreachable(ending.reason)
        else:
            never_sent = ending
        maybe_sent = Failure(ResultCode.PEER_TIMEOUT, ending.reason)
        for outgoing in self._pending.values():
            if outgoing.promise is not None:
                was_sent = outgoing.written_at is not None
                outgoing.promise.fulfil(maybe_sent if was_sent else never_sent)
        lost = sum(
            1 for outgoing in self._mailbox.receive_all() if not outgoing.promise
        )
        if lost:
            self._options.metrics.add("peer_frames_dropped", lost, reason="closed")


_TOO_LATE = Failure(ResultCode.PEER_TIMEOUT, "no reply in time")
