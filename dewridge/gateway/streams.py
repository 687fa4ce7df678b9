"""Streams running on backend servers, and the times at which they have to be moved."""

from collections import defaultdict
from dataclasses import dataclass, field

import trio

from dewridge.ids import BackendServerId
from dewridge.policy.answerends import AnswerRecord

MOVE_LEAD_TIME = 0.5
"""Seconds before a server stops at which its streams are moved. This covers two calls
and the sequential transfer of the memory of all its streams over one link (about 7 ms
each between failure domains). With a longer lead time, streams would be moved that
complete in time anyway."""
DRAIN_TIME = 0.3
"""Seconds to wait for events of a stopped stream that are still in transit."""
MOVE_RETRY_DELAY = 0.12
"""Seconds until a failed move is retried; the stream may not have begun to run yet."""


@dataclass
class RunningStream:
    """A stream on one server; all times are monotonic times.

    Attributes:
        moves_at: time at which it is moved or, once stopped, no longer waited for.
        server_stops_at: time at which its server stops.
        scope: scope in which its task waits for the next event.
        is_direct: whether its events arrive on a connection of this host.
        is_hanging: whether it moves because that connection brings no bytes any more.
        is_stopped: whether its run was stopped for a move.
        silent_at: time at which the wait for the next event ends if no move is due.
        record: what is known of all that could end its answer.
    """

    moves_at: float = float("inf")
    server_stops_at: float = float("inf")
    scope: trio.CancelScope | None = None
    is_direct: bool = True
    is_hanging: bool = False
    is_stopped: bool = False
    silent_at: float = float("inf")
    record: AnswerRecord = field(default_factory=AnswerRecord)

    def schedule_move(self, stops_at: float) -> None:
        """Schedule the move, and have the waiting task wake up for it."""
        self.server_stops_at = stops_at
        self.moves_at = stops_at - MOVE_LEAD_TIME
        if self.scope is not None:
            self.scope.deadline = min(self.scope.deadline, self.moves_at)

    def schedule_return(self, stops_at: float, now: float) -> None:
        """Schedule the move of a stream that has been moved before.

        It is back as no other server had room for it, which takes a moment to change.
        """
        self.schedule_move(stops_at)
        self.moves_at = max(self.moves_at, now + MOVE_RETRY_DELAY)

    def cancel_move(self) -> None:
        """Let the stream run on, unless it is being moved: its server stays."""
        if self.is_hanging or self.is_stopped:
            return
        self.server_stops_at = self.moves_at = float("inf")
        if self.scope is not None:
            self.scope.deadline = self.silent_at

    def move_hanging(self, now: float) -> None:
        """Move the stream now unless that was tried already."""
        if not self.is_direct or self.is_hanging:
            return
        self.is_hanging = True
        self.moves_at = now
        if self.scope is not None:
            self.scope.deadline = min(self.scope.deadline, now)

    def postpone_move(self, now: float) -> None:
        """Schedule another try if the server still serves by then."""
        if self.is_hanging:
            self.moves_at = float("inf")
            return
        retry_at = now + MOVE_RETRY_DELAY
        self.moves_at = retry_at if retry_at < self.server_stops_at else float("inf")

    def await_remaining_events(self, now: float) -> None:
        """Limit the wait for the events in transit of a stopped stream."""
        self.is_stopped = True
        self.moves_at = now + DRAIN_TIME

    def is_due(self, now: float) -> bool:
        """Return whether it is time to move the stream, or to stop waiting for it."""
        return now >= self.moves_at


@dataclass
class RunningStreams:
    """The running streams of this host, by server."""

    _by_server: dict[BackendServerId, list[RunningStream]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def register(self, server: BackendServerId) -> RunningStream:
        """Register a new stream; its owner must `unregister` it."""
        stream = RunningStream()
        self._by_server[server].append(stream)
        return stream

    def unregister(self, server: BackendServerId, stream: RunningStream) -> None:
        """Remove an ended stream."""
        streams = self._by_server[server]
        streams.remove(stream)
        if not streams:
            del self._by_server[server]

    def move_hanging(self, server: BackendServerId, now: float) -> None:
        """Move the streams whose connections to a server hang."""
        for stream in self._by_server.get(server, ()):
            stream.move_hanging(now)

    def schedule_moves(self, server: BackendServerId, stops_at: float) -> None:
        """Schedule moves for all streams on a leaving server."""
        for stream in self._by_server.get(server, ()):
            stream.schedule_move(stops_at)

    def cancel_moves(self, server: BackendServerId) -> None:
        """Cancel the moves of all streams on a server that does not leave."""
        for stream in self._by_server.get(server, ()):
            stream.cancel_move()
