"""Streams that run on backend servers, and when each has to be moved away."""

from collections import defaultdict
from dataclasses import dataclass, field

import trio

from dewridge.ids import BackendServerId

MOVE_LEAD_TIME = 0.5
"""Seconds before a server goes at which its streams are moved: two calls, and the
memory of all streams of one server over its link one after the other (about 7 ms each
between failure domains). Sooner, streams would be moved that end by themselves."""
REST_TIME = 0.3
"""Seconds for the events of a stopped stream that are still on their way."""
RETRY_PAUSE = 0.12
"""Seconds until a stream that could not be moved is tried again: it may not have begun
to run."""


@dataclass
class RunningStream:
    """One stream on one server; its task waits for the next event in `scope`."""

    moves_at: float = float("inf")
    gone_at: float = float("inf")
    scope: trio.CancelScope | None = None

    def note_leaving(self, gone_at: float) -> None:
        """Plan the move, and let the task that waits wake for it."""
        self.gone_at = gone_at
        self.moves_at = gone_at - MOVE_LEAD_TIME
        if self.scope is not None:
            self.scope.deadline = min(self.scope.deadline, self.moves_at)

    def put_off(self, now: float) -> None:
        """Try again a little later if there is time."""
        later = now + RETRY_PAUSE
        self.moves_at = later if later < self.gone_at else float("inf")

    def note_stopped(self, now: float) -> None:
        """Wait a little for the rest of a stream that was stopped."""
        self.moves_at = now + REST_TIME

    def is_due(self, now: float) -> bool:
        """Whether the stream should be moved, or left, now."""
        return now >= self.moves_at


@dataclass
class RunningStreams:
    """All streams of this host, by server."""

    _by_server: dict[BackendServerId, list[RunningStream]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def register(self, server: BackendServerId) -> RunningStream:
        """Register a stream; its owner must `close` it."""
        stream = RunningStream()
        self._by_server[server].append(stream)
        return stream

    def unregister(self, server: BackendServerId, stream: RunningStream) -> None:
        """Forget a stream that ended."""
        streams = self._by_server[server]
        streams.remove(stream)
        if not streams:
            del self._by_server[server]

    def schedule_moves(self, server: BackendServerId, gone_at: float) -> None:
        """Plan to move what runs on a server that leaves."""
        for stream in self._by_server.get(server, ()):
            stream.note_leaving(gone_at)
