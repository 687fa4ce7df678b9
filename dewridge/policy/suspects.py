"""Requests under which backend servers crashed, and which of them are quarantined."""

from dataclasses import dataclass, field

from dewridge.ids import BackendServerId, ClientAccount, RequestDigest, ServiceName

CRASH_THRESHOLD = 3
"""Crashes under a request at which it is quarantined. One or two also happen to
requests that only run on the same server as the request that causes them."""
QUARANTINE_PERIOD = 600.0
"""Seconds for which a crash counts. A request that was released from quarantine is
quarantined again after one more crash."""
SIMULTANEOUS_CRASH_WINDOW = 0.3
"""Seconds within which crashes count as one, if the servers had the request at the same
time. Messages take tenths of a second over weak links, so that hosts notice such
crashes at different times."""
MAX_CRASHES = 12
"""Crashes stored per request, the newest ones: a few times the threshold, so that those
that no longer count, since the request was answered later, don't displace those
that count."""
MAX_SUSPECTS = 512
"""Requests stored, in half a megabyte. Beyond that, the one with the fewest crashes is
evicted, the oldest among equals. A caller who sends many different requests can thus
evict a quarantined one only with a request that itself crashes three servers."""


@dataclass(frozen=True, slots=True)
class Crash:
    """Crash of a server while it ran a request, in monotonic times of this host.

    Attributes:
        crashed_at: when the crash was noticed.
        sent_at: when the request had been sent to the server.
    """

    crashed_at: float
    sent_at: float


@dataclass
class Suspect:
    """A request under which servers crashed, with monotonic times of this host.

    Attributes:
        digest: identifies the request's content.
        account: the client account; empty on an anonymous route.
        service: the service whose servers crashed.
        crashes: the crash of each server.
        cleared: servers whose crashes no longer count, because the request was answered
            completely since, or an operator released it from quarantine. Identified by
            server and not by time, so that hosts with different clocks agree.
        updated_at: when anything new about it was last learned.
    """

    digest: RequestDigest
    account: ClientAccount
    service: ServiceName
    crashes: dict[BackendServerId, Crash] = field(default_factory=dict)
    cleared: set[BackendServerId] = field(default_factory=set)
    updated_at: float = float("-inf")

    @property
    def last_crash_at(self) -> float:
        """Time of the latest crash."""
        return max(crash.crashed_at for crash in self.crashes.values())

    def list_crash_times(self, now: float) -> list[float]:
        """Return the times of the crashes that count, in order.

        Servers of one failure domain crash together, and copies of a common request may
        be running on all of them: such crashes count once. If the request was sent to a
        server only after the previous crash, the crash of that server counts
        separately, however soon it follows.
        """
        open_crashes = [
            crash
            for server, crash in self.crashes.items()
            if server not in self.cleared and crash.crashed_at > now - QUARANTINE_PERIOD
        ]
        counted: list[float] = []
        for crash in sorted(open_crashes, key=lambda crash: crash.crashed_at):
            last = counted[-1] if counted else float("-inf")
            if (
                crash.sent_at >= last
                or crash.crashed_at - last > SIMULTANEOUS_CRASH_WINDOW
            ):
                counted.append(crash.crashed_at)
        return counted

    def compute_quarantine_left(self, now: float) -> float:
        """Return the seconds of quarantine left; 0 if it is not quarantined."""
        if len(self.crashes) - len(self.cleared) < CRASH_THRESHOLD:
            return 0.0
        counted = self.list_crash_times(now)
        if len(counted) < CRASH_THRESHOLD:
            return 0.0
        return counted[-CRASH_THRESHOLD] + QUARANTINE_PERIOD - now

    def merge(self, update: "Suspect") -> bool:
        """Add crashes and clearances from an update; returns whether any was new."""
        oldest = min(
            (crash.crashed_at for crash in self.crashes.values()), default=float("-inf")
        )
        is_full = len(self.crashes) >= MAX_CRASHES
        added = {
            server: crash
            for server, crash in update.crashes.items()
            if server not in self.crashes
            and not (is_full and crash.crashed_at <= oldest)
        }
        self.crashes.update(added)
        while len(self.crashes) > MAX_CRASHES:
            del self.crashes[
                min(self.crashes, key=lambda key: self.crashes[key].crashed_at)
            ]
        cleared = (update.cleared & self.crashes.keys()) - self.cleared
        self.cleared = (self.cleared | cleared) & self.crashes.keys()
        return bool(added or cleared)


@dataclass
class SuspectLedger:
    """What this host and its peers know of requests under which servers crashed.

    A request that crashes servers may come again and again, at any host and under new
    ids. Each host sees only some of the crashes; if it counted only these, the request
    could crash three servers for each host. Reports are merged by server, so that a
    crash that several hosts report counts once.
    """

    _suspects: dict[RequestDigest, Suspect] = field(default_factory=dict)

    @property
    def is_empty(self) -> bool:
        """Whether there are no suspects, so that no request needs a digest."""
        return not self._suspects

    def find(self, digest: RequestDigest) -> Suspect | None:
        """Return a suspect by its digest."""
        return self._suspects.get(digest)

    def count_crashes(self, digest: RequestDigest, now: float) -> int:
        """Return the number of crashes that count for a request."""
        suspect = self._suspects.get(digest)
        return 0 if suspect is None else len(suspect.list_crash_times(now))

    def compute_quarantine_left(self, digest: RequestDigest, now: float) -> float:
        """Return the seconds of quarantine left; 0 if it is not quarantined."""
        suspect = self._suspects.get(digest)
        return 0.0 if suspect is None else suspect.compute_quarantine_left(now)

    def list_quarantined(self, now: float) -> list[Suspect]:
        """Return the requests that are quarantined."""
        return [
            suspect
            for suspect in self._suspects.values()
            if suspect.compute_quarantine_left(now) > 0
        ]

    def list_all(self) -> list[Suspect]:
        """Return all suspects."""
        return list(self._suspects.values())

    def list_updated_since(self, begin: float) -> list[Suspect]:
        """Return the suspects that were updated at or after a time, newest first."""
        updated = [
            suspect
            for suspect in self._suspects.values()
            if suspect.updated_at >= begin
        ]
        return sorted(updated, key=lambda suspect: suspect.updated_at, reverse=True)

    def merge(self, update: Suspect, now: float) -> bool:
        """Merge a local observation or a peer's report; returns whether any was new."""
        known = self._suspects.get(update.digest)
        if known is None:
            if not update.crashes:
                return False
            self._evict_if_full(now)
            known = Suspect(update.digest, update.account, update.service)
            self._suspects[update.digest] = known
        is_new = known.merge(update)
        if is_new:
            known.updated_at = now
        return is_new

    def clear(self, digest: RequestDigest, now: float) -> bool:
        """Stop counting a request's crashes so far; returns whether any counted."""
        suspect = self._suspects.get(digest)
        if suspect is None or not suspect.list_crash_times(now):
            return False
        suspect.cleared = set(suspect.crashes)
        suspect.updated_at = now
        return True

    def drop_expired(self, now: float) -> None:
        """Remove suspects whose crashes are all older than `QUARANTINE_PERIOD`."""
        for digest in [
            digest
            for digest, suspect in self._suspects.items()
            if suspect.last_crash_at < now - QUARANTINE_PERIOD
        ]:
            del self._suspects[digest]

    def _evict_if_full(self, now: float) -> None:
        if len(self._suspects) < MAX_SUSPECTS:
            return
        self.drop_expired(now)
        if len(self._suspects) >= MAX_SUSPECTS:
            evicted = min(
                self._suspects.values(),
                key=lambda suspect: _make_eviction_key(suspect, now),
            )
            del self._suspects[evicted.digest]


def _make_eviction_key(suspect: Suspect, now: float) -> tuple[int, float]:
    return len(suspect.list_crash_times(now)), suspect.last_crash_at
