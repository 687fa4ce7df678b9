"""A connection to a peer, run by a task of its own."""

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
    MAX_HELLO_BYTES,
    FrameContent,
    FrameReader,
    encode_frame,
)
from dewridge.peers.greetings import (
    MAX_RECEIVE_BYTES,
    ConnectionOptions,
    exchange_hellos,
)
from dewridge.peers.hello import HandshakeResult
from dewridge.peers.model import Message, PeerIdentity
from dewridge.peers.refusals import (
    make_refusal,
    make_unreachable,
    mask_fenced_code,
    read_reply,
)
from dewridge.policy.memorybudget import ConnectionStage, ConnectionUse
from dewridge.sentinels import Failure
from dewridge.supervision.mailbox import Mailbox, Promise

MAX_QUEUED_FRAMES = 4_096
"""Maximum number of frames queued on a connection. Two hosts exchange 100 to 200 frames
a second, so the queue holds more than is sent within the idle timeout. The limit
bounds the memory used for a peer that has stopped reading. A message that doesn't fit
fails at once as never sent, and the caller chooses another host."""
MAX_IDLE_SECONDS = 60.0
"""Maximum time that an unused connection stays open. With 440 hosts, each host probes
every other one once in a few minutes; if connections stayed open between those
probes, their heartbeats would cost more than all probes (see `_is_unused`)."""

HELD_COPIES = 2
"""Memory of a frame for each byte: the buffer, and the frame that is cut out of it."""

StreamOpener = Callable[[], Awaitable[trio.SocketStream]]
MessageCallback = Callable[["Connection", FrameContent], None]
"""Called with each message that is not a reply; must not block."""


class ConnectionState(Enum):
    """Lifecycle state of a connection."""

    GREETING = "greeting"
    OPEN = "open"
    RETIRED = "retired"
    """Accepts no new message; waits for the replies to earlier ones."""
    CLOSED = "closed"


@dataclass(slots=True, eq=False)
class OutgoingFrame:
    """A frame that is queued or was sent, with the promise of its reply."""

    frame: bytes
    promise: Promise[Message] | None = None
    written_at: float | None = None
    """Time of the write to the socket; None if the frame was certainly not sent."""
    is_withdrawn: bool = False


class Connection:
    """A dialled or accepted connection; `run` owns its socket and closes it."""

    def __init__(
        self,
        options: ConnectionOptions,
        on_message: MessageCallback,
        *,
        address: str,
        is_dialled: bool,
    ) -> None:
        self.address = address
        self.is_dialled = is_dialled
        self.state = ConnectionState.GREETING
        self.peer: PeerIdentity | None = None
        self.version = 0
        self._options = options
        self._on_message = on_message
        self._mailbox: Mailbox[OutgoingFrame] = Mailbox(MAX_QUEUED_FRAMES)
        self._queued_bytes = 0
        self._pending_calls: dict[int, OutgoingFrame] = {}
        self._call_ids = itertools.count(1)
        self._reader = FrameReader(MAX_HELLO_BYTES)
        self._cancel_scope = trio.CancelScope()
        self._end_failure: Failure | None = None
        now = trio.current_time()
        self._use = ConnectionUse(self._give_up, advanced_at=now)
        self._opened_at = now
        self._used_at = now
        self._received_at = now
        self._sent_at = now
        self._checked_at = now

    # -- called by other tasks -------------------------------------------------

    @property
    def is_usable(self) -> bool:
        """Whether the connection accepts new messages."""
        return self.state in (ConnectionState.GREETING, ConnectionState.OPEN)

    @property
    def was_established(self) -> bool:
        """Whether the handshake with the peer has completed, now or earlier."""
        return self.peer is not None

    async def call(self, message: Message, timeout: float) -> Message | Failure:
        """Send a message and wait for its reply; see `Peers.call`."""
        call_id = next(self._call_ids)
        frame = encode_frame(
            FrameContent(call_id, 0, message), self._options.frame_limit
        )
        if isinstance(frame, Failure):
            return frame
        promise: Promise[Message] = Promise()
        outgoing = OutgoingFrame(frame, promise)
        failure = self._enqueue(outgoing)
        if failure is not None:
            return failure
        self._pending_calls[call_id] = outgoing
        try:
            reply = await promise.wait(timeout, _CALL_TIMED_OUT)
        finally:
            self._pending_calls.pop(call_id, None)
        return self._time_out_call(outgoing) if reply is _CALL_TIMED_OUT else reply

    def send(self, message: Message) -> Failure | None:
        """Queue a message that needs no reply."""
        frame = encode_frame(FrameContent(0, 0, message), self._options.frame_limit)
        return (
            frame if isinstance(frame, Failure) else self._enqueue(OutgoingFrame(frame))
        )

    def reply(self, call_id: int, result: Message | Failure) -> None:
        """Queue the reply to a call of the peer, given the id of the call."""
        message = make_refusal(result) if isinstance(result, Failure) else result
        limit = self._options.frame_limit
        frame = encode_frame(FrameContent(0, call_id, message), limit)
        if isinstance(frame, Failure):
            refusal = make_refusal(Failure(ResultCode.INTERNAL, frame.reason))
            frame = encode_frame(FrameContent(0, call_id, refusal), limit)
        if (
            isinstance(frame, Failure)
            or self._enqueue(OutgoingFrame(frame)) is not None
        ):
            self._options.metrics.add("peer_replies_dropped")

    def describe(self) -> dict[str, Any]:
        """Return the state of the connection for a dump."""
        now = trio.current_time()
        return {
            "peer": self.peer.host if self.peer else None,
            "address": self.address,
            "direction": "dialled" if self.is_dialled else "accepted",
            "state": self.state.value,
            "version": self.version,
            "queued_frames": len(self._mailbox),
            "queued_bytes": self._queued_bytes,
            "pending_calls": len(self._pending_calls),
            "seconds_since_received": round(now - self._received_at, 3),
        }

    def _enqueue(self, outgoing: OutgoingFrame) -> Failure | None:
        if self.state is ConnectionState.CLOSED:
            return Failure(ResultCode.PEER_UNREACHABLE, "connection closed")
        size = len(outgoing.frame)
        exceeds_limit = self._queued_bytes + size > self._options.frame_limit + 4
        if (exceeds_limit and self._queued_bytes) or not self._mailbox.post(outgoing):
            self._options.metrics.add("peer_frames_dropped", reason="queue_full")
            return Failure(ResultCode.PEER_UNREACHABLE, "outgoing queue is full")
        self._queued_bytes += size
        return None

    def _time_out_call(self, outgoing: OutgoingFrame) -> Failure:
        if outgoing.written_at is None:
            outgoing.is_withdrawn = True
            return Failure(ResultCode.PEER_UNREACHABLE, "not sent in time")
        if self._received_at < outgoing.written_at:
            # Nothing was received since the message was sent. A device between the
            # hosts may have lost track of this connection while new connections
            # work, and calls would time out until the idle timeout closes it. So
            # the next message opens a new one, and this one only awaits replies.
            self._retire()
        return Failure(ResultCode.PEER_TIMEOUT, "no reply in time")

    def _retire(self) -> None:
        if self.state is ConnectionState.OPEN and self.is_dialled:
            self.state = ConnectionState.RETIRED
            self._options.metrics.add("peer_connections_retired")

    # -- the connection's own tasks --------------------------------------------

    async def run(self, open_stream: StreamOpener) -> None:
        """Open the connection, exchange hellos and serve it until it ends."""
        try:
            async with AsyncExitStack() as stack:
                stack.enter_context(self._cancel_scope)
                await self._open_and_serve(stack, open_stream)
        finally:
            self._options.memory.remove(self._use)
            self._fail_pending_calls()

    def close(self, failure: Failure, reason: str) -> None:
        """Close the connection; only the first failure and reason are used."""
        if self._end_failure is None:
            self._end_failure = failure
            self._options.metrics.add("peer_connections_ended", reason=reason)
            if failure.code is ResultCode.FRAME_MALFORMED:
                self._options.metrics.add("peer_frames_malformed")
        self.state = ConnectionState.CLOSED
        self._cancel_scope.cancel()

    async def _open_and_serve(
        self, stack: AsyncExitStack, open_stream: StreamOpener
    ) -> None:
        with trio.move_on_after(self._options.connect_timeout) as open_scope:
            try:
                stream = await open_stream()
            except (OSError, ValueError) as error:
                error_name = type(error).__name__
                return self.close(
                    make_unreachable(f"can't connect: {error_name}"), "refused"
                )
            stack.push_async_callback(trio.aclose_forcefully, stream)
            handshake = await exchange_hellos(
                stream, self._reader, self._options, self.is_dialled
            )
            if isinstance(handshake, Failure):
                return self.close(handshake, "no_greeting")
            self._mark_open(handshake)
        if open_scope.cancelled_caught:
            return self.close(make_unreachable("no greeting in time"), "no_greeting")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_frames, stream)
            nursery.start_soon(self._send_frames, stream)
        return None

    def _mark_open(self, handshake: HandshakeResult) -> None:
        self.peer = handshake.peer
        self.version = handshake.version
        self.state = ConnectionState.OPEN
        self._reader.limit = self._options.frame_limit
        now = trio.current_time()
        self._opened_at = self._used_at = now
        self._received_at = self._sent_at = self._checked_at = now
        direction = "dialled" if self.is_dialled else "accepted"
        self._options.metrics.add("peer_connections_opened", direction=direction)

    async def _receive_frames(self, stream: trio.SocketStream) -> None:
        metrics = self._options.metrics
        while True:
            if not self._handle_frames():
                return None
            try:
                await trio.lowlevel.wait_readable(stream.socket)
                if not self._reserve_input():
                    return self.close(make_unreachable("no memory left"), "no_memory")
                data = await stream.receive_some(MAX_RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return self.close(make_unreachable("connection broke"), "broken")
            if not data:
                return self.close(make_unreachable("closed by the peer"), "closed")
            self._received_at = trio.current_time()
            self._use.advance(len(data), self._received_at)
            metrics.add("peer_bytes_received", len(data))
            self._reader.feed(data)

    def _reserve_input(self) -> bool:
        """Count an incomplete frame, and the next read; return whether it may be."""
        memory, now = self._options.memory, trio.current_time()
        buffered = self._reader.buffered
        stage = ConnectionStage.READING if buffered else ConnectionStage.IDLE
        if stage is not self._use.stage:
            self._use.enter(stage, now)
        memory.release(self._use, self._use.size)
        return memory.reserve(
            self._use, buffered * HELD_COPIES + MAX_RECEIVE_BYTES, now
        )

    def _give_up(self) -> bool:
        """Close the connection for others, whose frame makes no progress."""
        self.close(make_unreachable("closed for others"), "no_memory")
        return True

    def _handle_frames(self) -> bool:
        count = 0
        while (content := self._reader.next_frame()) is not None:
            count += 1
            if isinstance(content, Failure):
                self.close(content, "malformed")
                return False
            if not content.is_heartbeat and not self._handle_frame(content):
                return False
        if count:
            self._options.metrics.add("peer_frames_received", count)
        return True

    def _handle_frame(self, content: FrameContent) -> bool:
        assert self.peer is not None
        rejection = self._options.check_peer(self.peer)
        if rejection is not None:
            # A host that resumes after a pause may have been fenced meanwhile, yet
            # its connections are still open and only new hellos are rejected.
            # Without this check it could act on work that other hosts took over.
            self.close(mask_fenced_code(rejection), "peer_refused")
            return False
        self._used_at = self._received_at
        if not content.reply_to:
            self._on_message(self, content)
            return True
        outgoing = self._pending_calls.get(content.reply_to)
        if outgoing is None or outgoing.promise is None:
            self._options.metrics.add("peer_replies_late")
            return True
        outgoing.promise.fulfil(read_reply(content.message))
        return True

    async def _send_frames(self, stream: trio.SocketStream) -> None:
        check_interval = self._options.heartbeat_interval / 2
        while True:
            first_frames: list[OutgoingFrame] = []
            with trio.move_on_after(check_interval):
                first_frames.append(await self._mailbox.receive())
            data = self._join_frames(first_frames)
            if trio.current_time() - self._checked_at >= check_interval:
                if not self._check_liveness(check_interval):
                    return
                data = data or self._make_heartbeat()
            if data and not await self._send_bytes(stream, data):
                return

    def _join_frames(self, first_frames: list[OutgoingFrame]) -> bytes:
        frames = []
        now = trio.current_time()
        for outgoing in first_frames + (
            self._mailbox.receive_all() if first_frames else []
        ):
            self._queued_bytes -= len(outgoing.frame)
            if not outgoing.is_withdrawn:
                outgoing.written_at = now
                frames.append(outgoing.frame)
        if frames:
            self._used_at = now
            self._options.metrics.add("peer_frames_sent", len(frames))
        return frames[0] if len(frames) == 1 else b"".join(frames)

    async def _send_bytes(self, stream: trio.SocketStream, data: bytes) -> bool:
        # A peer that stops reading with a full receive buffer blocks the write for
        # as long as the kernel retries, about 15 minutes. Without this deadline
        # every later message would wait behind it.
        with trio.move_on_after(self._options.idle_timeout) as deadline:
            try:
                await stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self.close(make_unreachable("connection broke"), "broken")
                return False
        if deadline.cancelled_caught:
            self.close(make_unreachable("write blocked"), "write_blocked")
            return False
        self._sent_at = trio.current_time()
        self._options.metrics.add("peer_bytes_sent", len(data))
        return True

    def _check_liveness(self, check_interval: float) -> bool:
        """Close a silent or unused connection; return whether it is still open."""
        now = trio.current_time()
        was_paused = (
            now - self._checked_at > check_interval + self._options.heartbeat_interval
        )
        self._checked_at = now
        if was_paused:
            # This process was paused. What the peer sent meanwhile is still unread
            # in the kernel, so the silence does not mean a dead connection.
            self._received_at = now
        if now - self._received_at > self._options.idle_timeout:
            self.close(Failure(ResultCode.PEER_TIMEOUT, "went silent"), "silent")
            return False
        if self._is_unused(now):
            self.close(make_unreachable("closed as unused"), "unused")
            return False
        return True

    def _is_unused(self, now: float) -> bool:
        # Only the side that dialled starts calls, so only that side closes an unused
        # connection. It may be idle for as long as it was in use before: after a
        # single probe it is closed before its first heartbeat, while a connection
        # that carries requests stays open.
        if not self.is_dialled or self._pending_calls or len(self._mailbox):
            return False
        if self.state is ConnectionState.RETIRED:
            return True
        time_in_use = self._used_at - self._opened_at
        min_idle = self._options.heartbeat_interval / 2
        return now - self._used_at >= min(max(time_in_use, min_idle), MAX_IDLE_SECONDS)

    def _make_heartbeat(self) -> bytes:
        # Both sides send heartbeats, as each must detect on its own that it no
        # longer receives anything.
        if trio.current_time() - self._sent_at < self._options.heartbeat_interval:
            return b""
        frame = encode_frame(HEARTBEAT, self._options.frame_limit)
        return frame if isinstance(frame, bytes) else b""

    def _fail_pending_calls(self) -> None:
        """Fail every pending call and count the messages that were dropped."""
        self.state = ConnectionState.CLOSED
        end_failure = self._end_failure
        if end_failure is None:
            end_failure = make_unreachable("shut down")
        if end_failure.code is ResultCode.PEER_TIMEOUT:
            never_sent = make_unreachable(end_failure.reason)
        else:
            never_sent = end_failure
        maybe_sent = Failure(ResultCode.PEER_TIMEOUT, end_failure.reason)
        for outgoing in self._pending_calls.values():
            if outgoing.promise is not None:
                was_sent = outgoing.written_at is not None
                outgoing.promise.fulfil(maybe_sent if was_sent else never_sent)
        dropped = sum(
            1 for outgoing in self._mailbox.receive_all() if not outgoing.promise
        )
        if dropped:
            self._options.metrics.add("peer_frames_dropped", dropped, reason="closed")


_CALL_TIMED_OUT = Failure(ResultCode.PEER_TIMEOUT, "no reply in time")
