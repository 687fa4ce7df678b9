"""Requests and prompt parts under which backend servers crashed, and their quarantine.

A part is judged by the crashes under all requests that have it. That servers answer
other requests with the part clears it, and a part counts only for crashes that no
single request, and no other part with more crashes, explains.
"""

from collections import defaultdict
from collections.abc import Collection, Container, Iterable
from dataclasses import dataclass, field

from dewridge.ids import (
    BackendServerId,
    ClientAccount,
    PartDigest,
    RequestDigest,
    ServiceName,
)

NO_PART = PartDigest("")

CRASH_THRESHOLD = 3
"""Crashes under a request at which it is quarantined. One or two also happen to
requests that only run on the same server as the request that causes them."""
QUARANTINE_PERIOD = 600.0
"""Seconds for which a crash counts. A request that was released from quarantine is
quarantined again after one more crash."""
MIN_CRASH_SHARE = 0.4
"""Share of the crashes of a service at which a part has to have been to be the cause:
less than half, as two parts may crash servers at the same time."""
MIN_ALTERNATIVE_SHARE = 0.5
"""Share of the crashes of a part at which another one has to have been to be the cause
instead. Each crash under the part alone lowers the share of the others."""
RELATED_TIME = 5.0
"""Seconds before the first crash under a part in which other crashes are compared."""
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

MAX_SURVIVALS = 4_096
"""Parts for which it is known that servers answer them: those of the last minutes on a
busy host, in half a megabyte."""
SURVIVAL_PERIOD = 60.0
"""Seconds for which a part that servers answered is not suspected. Parts that most
requests share are in flight on each server that crashes."""


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
        part: digest of the prompt part that is suspected in the account's requests;
            empty if a whole request is.
    """

    digest: RequestDigest
    account: ClientAccount
    service: ServiceName
    crashes: dict[BackendServerId, Crash] = field(default_factory=dict)
    cleared: set[BackendServerId] = field(default_factory=set)
    updated_at: float = float("-inf")
    part: PartDigest = NO_PART

    @property
    def last_crash_at(self) -> float:
        """Time of the latest crash."""
        return max(crash.crashed_at for crash in self.crashes.values())

    def list_open(self, now: float) -> dict[BackendServerId, Crash]:
        """Return the crashes that are neither cleared nor too old."""
        return {
            server: crash
            for server, crash in self.crashes.items()
            if server not in self.cleared and crash.crashed_at > now - QUARANTINE_PERIOD
        }

    def list_crash_times(self, now: float) -> list[float]:
        """Return the times of the crashes that count, in order."""
        return count_crashes(self.list_open(now).values())

    def compute_quarantine_left(self, now: float) -> float:
        """Return the seconds of quarantine left; 0 if it is not quarantined."""
        if len(self.crashes) - len(self.cleared) < CRASH_THRESHOLD:
            return 0.0
        return compute_time_left(self.list_crash_times(now), now)

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


def count_crashes(crashes: Iterable[Crash]) -> list[float]:
    """Return the times of crashes, in order; simultaneous ones count once.

    Servers of one failure domain crash together, and copies of a common request may be
    running on all of them: such crashes count once. If the request was sent to a server
    only after the previous crash, the crash of that server counts separately, however
    soon it follows.
    """
    counted: list[float] = []
    for crash in sorted(crashes, key=lambda crash: crash.crashed_at):
        last = counted[-1] if counted else float("-inf")
        if crash.sent_at >= last or crash.crashed_at - last > SIMULTANEOUS_CRASH_WINDOW:
            counted.append(crash.crashed_at)
    return counted


def compute_time_left(counted: list[float], now: float) -> float:
    """Return the seconds of quarantine left after crashes at the given times."""
    if len(counted) < CRASH_THRESHOLD:
        return 0.0
    return counted[-CRASH_THRESHOLD] + QUARANTINE_PERIOD - now


@dataclass
class SuspectLedger:
    """What this host and its peers know of requests under which servers crashed.

    A request that crashes servers may come again and again, at any host and under new
    ids. Each host sees only some of the crashes; if it counted only these, the request
    could crash three servers for each host. Reports are merged by server, so that a
    crash that several hosts report counts once.
    """

    _suspects: dict[RequestDigest, Suspect] = field(default_factory=dict)
    _parts: dict[PartDigest, set[RequestDigest]] = field(default_factory=dict)
    _survivals: dict[RequestDigest, float] = field(default_factory=dict)
    """When a part of an account's requests was last answered, the oldest first."""
    _probed_at: float = float("-inf")
    _part_times: dict[PartDigest, float] = field(default_factory=dict)
    """End of the quarantine of each part, computed on first use after a change."""

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
        if suspect is None:
            return 0.0
        if suspect.part and suspect.list_open(now):
            return self._compute_part_left(suspect.part, now)
        return 0.0 if suspect.part else suspect.compute_quarantine_left(now)

    def compute_part_left(
        self, part: PartDigest, digest: RequestDigest, now: float
    ) -> float:
        """Return the seconds of quarantine left of a part in an account's requests.

        Crashes under the requests of one account set the part aside for this account
        only: otherwise it could block the parts of others. Crashes under requests of
        two accounts set it aside for all.

        Args:
            part: the part.
            digest: digest of the part in the account's requests.
            now: monotonic time.
        """
        members = self._parts.get(part)
        if not members:
            return 0.0
        if digest in members:
            left = self.compute_quarantine_left(digest, now)
            if left > 0:
                return left
        accounts = {
            self._suspects[member].account
            for member in members
            if self._suspects[member].list_open(now)
        }
        return self._compute_part_left(part, now) if len(accounts) > 1 else 0.0

    def acquire_probe(
        self, parts: Collection[PartDigest], now: float, interval: float
    ) -> bool:
        """Return whether a request may be sent to find out which part is the cause.

        A part that all requests share is at the crashes of another one, and may be at
        more of them by chance. Without it being known that servers answer it, it would
        be refused for the whole quarantine. A request that has the part, but not all
        others that were at half of its crashes, tells them apart: it is answered, or
        the part is at one crash more than the others.

        Args:
            parts: all shared parts of the request.
            now: monotonic time.
            interval: seconds between two such requests of this host.
        """
        blamed = [part for part in parts if self._compute_part_left(part, now) > 0]
        for part in blamed:
            servers = self._list_part_crashes(part, now).keys()
            needed = MIN_ALTERNATIVE_SHARE * len(servers)
            alternatives = {
                other
                for other in self._parts
                if len(self._list_part_crashes(other, now).keys() & servers) >= needed
            }
            if alternatives <= set(parts):
                return False
        if now - self._probed_at < interval:
            return False
        self._probed_at = now
        return True

    def _compute_part_left(self, part: PartDigest, now: float) -> float:
        if part not in self._part_times:
            crashes = self._list_part_crashes(part, now)
            left = compute_time_left(count_crashes(crashes.values()), now)
            is_cause = (
                left > 0
                and self._is_frequent(part, crashes, now)
                and not self._is_explained(part, crashes, now)
            )
            self._part_times[part] = now + left if is_cause else float("-inf")
        return max(0.0, self._part_times[part] - now)

    def _list_part_crashes(
        self, part: PartDigest, now: float
    ) -> dict[BackendServerId, Crash]:
        crashes: dict[BackendServerId, Crash] = {}
        for member in self._parts.get(part, ()):
            crashes.update(self._suspects[member].list_open(now))
        return crashes

    def _is_frequent(
        self, part: PartDigest, crashes: dict[BackendServerId, Crash], now: float
    ) -> bool:
        """Return whether a part was at enough of the crashes while it was at some.

        When many servers are lost for another reason, a part that many requests have is
        at some of them by chance.
        """
        counted = count_crashes(crashes.values())
        service = next(self._suspects[member].service for member in self._parts[part])
        others: dict[BackendServerId, Crash] = {}
        for suspect in self._suspects.values():
            if suspect.service == service:
                others.update(suspect.crashes)
        meanwhile = [
            crash
            for crash in others.values()
            if counted[0] - RELATED_TIME <= crash.crashed_at <= counted[-1]
        ]
        return len(counted) >= MIN_CRASH_SHARE * len(count_crashes(meanwhile))

    def _is_explained(
        self, part: PartDigest, crashes: Container[BackendServerId], now: float
    ) -> bool:
        """Return whether a request, or another part, explains all crashes of a part.

        A request does if it was at all servers; another part if it was at further ones
        that crashed as well.
        """
        size = len(self._list_part_crashes(part, now))
        by_part: dict[PartDigest, set[BackendServerId]] = defaultdict(set)
        for suspect in self._suspects.values():
            if suspect.part == part:
                continue
            servers = suspect.list_open(now).keys()
            if suspect.part:
                by_part[suspect.part] |= servers
            elif sum(server in crashes for server in servers) == size:
                return True
        return any(
            len(servers) > size and sum(server in crashes for server in servers) == size
            for servers in by_part.values()
        )

    def list_quarantined(self, now: float) -> list[Suspect]:
        """Return the requests that are quarantined."""
        return [
            suspect
            for suspect in self._suspects.values()
            if self.compute_quarantine_left(suspect.digest, now) > 0
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
            known = Suspect(
                update.digest, update.account, update.service, part=update.part
            )
            self._suspects[update.digest] = known
            if update.part:
                self._parts.setdefault(update.part, set()).add(update.digest)
        is_new = known.merge(update)
        if is_new:
            known.updated_at = now
            self._part_times.clear()
            if known.part and self._has_survived(update.digest, now):
                known.cleared = set(known.crashes)
        return is_new

    def clear(self, digest: RequestDigest, now: float) -> bool:
        """Stop counting a request's crashes so far; returns whether any counted."""
        suspect = self._suspects.get(digest)
        if suspect is None or not suspect.list_crash_times(now):
            return False
        suspect.cleared = set(suspect.crashes)
        suspect.updated_at = now
        self._part_times.clear()
        return True

    def record_survival(self, digest: RequestDigest, now: float) -> bool:
        """Record that a server answers a request with a part; it is not the cause.

        Returns:
            Whether crashes counted against the part until now.
        """
        self._survivals.pop(digest, None)
        self._survivals[digest] = now
        if len(self._survivals) > MAX_SURVIVALS:
            del self._survivals[next(iter(self._survivals))]
        return self.clear(digest, now)

    def _has_survived(self, digest: RequestDigest, now: float) -> bool:
        return now - self._survivals.get(digest, float("-inf")) < SURVIVAL_PERIOD

    def _remove(self, digest: RequestDigest) -> None:
        suspect = self._suspects.pop(digest)
        self._part_times.clear()
        members = self._parts.get(suspect.part, set())
        members.discard(digest)
        if not members:
            self._parts.pop(suspect.part, None)

    def drop_expired(self, now: float) -> None:
        """Remove suspects whose crashes are all older than `QUARANTINE_PERIOD`."""
        for digest in [
            digest
            for digest, suspect in self._suspects.items()
            if suspect.last_crash_at < now - QUARANTINE_PERIOD
        ]:
            self._remove(digest)

    def _evict_if_full(self, now: float) -> None:
        if len(self._suspects) < MAX_SUSPECTS:
            return
        self.drop_expired(now)
        if len(self._suspects) >= MAX_SUSPECTS:
            evicted = min(
                self._suspects.values(),
                key=lambda suspect: _make_eviction_key(suspect, now),
            )
            self._remove(evicted.digest)


def _make_eviction_key(suspect: Suspect, now: float) -> tuple[int, float]:
    return len(suspect.list_crash_times(now)), suspect.last_crash_at
