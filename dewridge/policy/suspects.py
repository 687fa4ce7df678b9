"""Requests under which servers ended, and which of them are not sent any more."""

from dataclasses import dataclass, field

from dewridge.ids import BackendServerId, ClientAccount, RequestDigest, ServiceName

CRASH_THRESHOLD = 3
"""Ends of servers under a request until it is set aside. One or two happen to requests
that only run beside the cause."""
QUARANTINE_PERIOD = 600.0
"""Seconds for which an end counts. A request that is let through again ends one more
server, and is set aside at once."""
SIMULTANEOUS_CRASH_WINDOW = 0.3
"""Seconds within which servers count as ended together, if they had the request at the
same time. News takes tenths over weak links, so that hosts see such ends apart."""
MOST_ENDS = 12
"""Ends that are remembered of one request, the newest ones: a few times what sets it
aside, so that those that were answered since don't displace those that count."""
MAX_SUSPECTS = 512
"""Requests that are remembered, in half a megabyte. Past this, the one with the fewest
ends goes first, the oldest among equals: whoever sends many different ones has to end
three servers for each that displaces one that is set aside."""


@dataclass(frozen=True, slots=True)
class End:
    """A server's end under a request; steady times of this host.

    Attributes:
        at: when it was noticed.
        sent_at: when the request had been sent there.
    """

    at: float
    sent_at: float


@dataclass
class Suspect:
    """A request under which servers ended; times are steady times of this host.

    Attributes:
        digest: names its content.
        account: whose it is; empty on an anonymous route.
        service: whose servers ended.
        crashes: the end of each server.
        cleared: servers whose ends count no more: the request was answered in full
            since, or an operator lets it through. Named and not dated, so that hosts
            with different clocks agree.
        updated_at: when something new was last learned of it.
    """

    digest: RequestDigest
    account: ClientAccount
    service: ServiceName
    crashes: dict[BackendServerId, End] = field(default_factory=dict)
    cleared: set[BackendServerId] = field(default_factory=set)
    updated_at: float = float("-inf")

    @property
    def last_end(self) -> float:
        """When the last of the servers ended."""
        return max(end.at for end in self.crashes.values())

    def list_crash_times(self, now: float) -> list[float]:
        """Return when servers ended, as far as it counts.

        Servers of one failure domain end together, and copies of a common request may
        be at all of them: those ends count once. A request that was sent again after
        one end and meets the next is another matter, however quickly it does.
        """
        open_ends = [
            end
            for server, end in self.crashes.items()
            if server not in self.cleared and end.at > now - QUARANTINE_PERIOD
        ]
        counted: list[float] = []
        for end in sorted(open_ends, key=lambda one: one.at):
            last = counted[-1] if counted else float("-inf")
            if end.sent_at >= last or end.at - last > SIMULTANEOUS_CRASH_WINDOW:
                counted.append(end.at)
        return counted

    def find_quarantine_left(self, now: float) -> float:
        """Return the seconds for which it is set aside; 0 if it is not."""
        if len(self.crashes) - len(self.cleared) < CRASH_THRESHOLD:
            return 0.0
        counted = self.list_crash_times(now)
        if len(counted) < CRASH_THRESHOLD:
            return 0.0
        return counted[-CRASH_THRESHOLD] + QUARANTINE_PERIOD - now

    def merge(self, news: "Suspect") -> bool:
        """Take over ends and clearances; returns whether any was new."""
        oldest = min((end.at for end in self.crashes.values()), default=float("-inf"))
        is_full = len(self.crashes) >= MOST_ENDS
        fresh = {
            server: end
            for server, end in news.crashes.items()
            if server not in self.crashes and not (is_full and end.at <= oldest)
        }
        self.crashes.update(fresh)
        while len(self.crashes) > MOST_ENDS:
            del self.crashes[min(self.crashes, key=lambda one: self.crashes[one].at)]
        cleared = (news.cleared & self.crashes.keys()) - self.cleared
        self.cleared = (self.cleared | cleared) & self.crashes.keys()
        return bool(fresh or cleared)


@dataclass
class SuspectLedger:
    """What all hosts together know of requests under which servers ended.

    Made for one request that comes again and again, at any host and under new ids:
    each host sees a part of the ends, and set aside by its own count alone it would
    end three servers for each host. What is learned is merged by server, so that
    an end that several hosts tell of counts once.
    """

    _suspects: dict[RequestDigest, Suspect] = field(default_factory=dict)

    @property
    def is_empty(self) -> bool:
        """Whether nothing is suspected, so that no digest is needed."""
        return not self._suspects

    def find(self, digest: RequestDigest) -> Suspect | None:
        """Return what is known of a request."""
        return self._suspects.get(digest)

    def count_crashes(self, digest: RequestDigest, now: float) -> int:
        """Return under how many ends of servers a request stands."""
        suspect = self._suspects.get(digest)
        return 0 if suspect is None else len(suspect.list_crash_times(now))

    def find_quarantine_left(self, digest: RequestDigest, now: float) -> float:
        """Return the seconds for which a request is set aside; 0 if it is not."""
        suspect = self._suspects.get(digest)
        return 0.0 if suspect is None else suspect.find_quarantine_left(now)

    def list_quarantined(self, now: float) -> list[Suspect]:
        """Return the requests that are set aside."""
        return [
            one for one in self._suspects.values() if one.find_quarantine_left(now) > 0
        ]

    def list_all(self) -> list[Suspect]:
        """Return all that is known."""
        return list(self._suspects.values())

    def list_updated_since(self, begin: float) -> list[Suspect]:
        """Return those of which something new was learned, the newest first."""
        fresh = [one for one in self._suspects.values() if one.updated_at >= begin]
        return sorted(fresh, key=lambda one: one.updated_at, reverse=True)

    def merge(self, news: Suspect, now: float) -> bool:
        """Take over what was seen or told; returns whether any of it was new."""
        known = self._suspects.get(news.digest)
        if known is None:
            if not news.crashes:
                return False
            self._make_room(now)
            known = Suspect(news.digest, news.account, news.service)
            self._suspects[news.digest] = known
        is_new = known.merge(news)
        if is_new:
            known.updated_at = now
        return is_new

    def clear(self, digest: RequestDigest, now: float) -> bool:
        """Count the ends so far no more; returns whether any counted."""
        suspect = self._suspects.get(digest)
        if suspect is None or not suspect.list_crash_times(now):
            return False
        suspect.cleared = set(suspect.crashes)
        suspect.updated_at = now
        return True

    def drop_expired(self, now: float) -> None:
        """Drop what does not count any more."""
        for digest in [
            digest
            for digest, one in self._suspects.items()
            if one.last_end < now - QUARANTINE_PERIOD
        ]:
            del self._suspects[digest]

    def _make_room(self, now: float) -> None:
        if len(self._suspects) < MAX_SUSPECTS:
            return
        self.drop_expired(now)
        if len(self._suspects) >= MAX_SUSPECTS:
            first = min(self._suspects.values(), key=lambda one: _rank(one, now))
            del self._suspects[first.digest]


def _rank(suspect: Suspect, now: float) -> tuple[int, float]:
    return len(suspect.list_crash_times(now)), suspect.last_end
