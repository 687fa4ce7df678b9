"""Requests under which servers ended, and which of them are not sent any more."""

from dataclasses import dataclass, field

from dewridge.ids import BackendServerId, ClientAccount, RequestDigest, ServiceName

ENDS_BORNE = 3
"""Ends of servers under a request until it is set aside. One or two happen to requests
that only run beside the cause."""
HOLD = 600.0
"""Seconds for which an end counts. A request that is let through again ends one more
server, and is set aside at once."""
SAME_MOMENT = 0.3
"""Seconds within which servers count as ended together, if they had the request at the
same time. News takes tenths over weak links, so that hosts see such ends apart."""
MOST_ENDS = 12
"""Ends that are remembered of one request, the newest ones: a few times what sets it
aside, so that those that were answered since don't displace those that count."""
MOST_SUSPECTS = 512
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
        ends: the end of each server.
        cleared: servers whose ends count no more: the request was answered in full
            since, or an operator lets it through. Named and not dated, so that hosts
            with different clocks agree.
        told_at: when something new was last learned of it.
    """

    digest: RequestDigest
    account: ClientAccount
    service: ServiceName
    ends: dict[BackendServerId, End] = field(default_factory=dict)
    cleared: set[BackendServerId] = field(default_factory=set)
    told_at: float = float("-inf")

    @property
    def last_end(self) -> float:
        """When the last of the servers ended."""
        return max(end.at for end in self.ends.values())

    def list_ends(self, now: float) -> list[float]:
        """Return when servers ended, as far as it counts.

        Servers of one failure domain end together, and copies of a common request may
        be at all of them: those ends count once. A request that was sent again after
        one end and meets the next is another matter, however quickly it does.
        """
        open_ends = [
            end
            for server, end in self.ends.items()
            if server not in self.cleared and end.at > now - HOLD
        ]
        counted: list[float] = []
        for end in sorted(open_ends, key=lambda one: one.at):
            last = counted[-1] if counted else float("-inf")
            if end.sent_at >= last or end.at - last > SAME_MOMENT:
                counted.append(end.at)
        return counted

    def find_hold_left(self, now: float) -> float:
        """Return the seconds for which it is set aside; 0 if it is not."""
        if len(self.ends) - len(self.cleared) < ENDS_BORNE:
            return 0.0
        counted = self.list_ends(now)
        if len(counted) < ENDS_BORNE:
            return 0.0
        return counted[-ENDS_BORNE] + HOLD - now

    def merge(self, news: "Suspect") -> bool:
        """Take over ends and clearances; returns whether any was new."""
        oldest = min((end.at for end in self.ends.values()), default=float("-inf"))
        is_full = len(self.ends) >= MOST_ENDS
        fresh = {
            server: end
            for server, end in news.ends.items()
            if server not in self.ends and not (is_full and end.at <= oldest)
        }
        self.ends.update(fresh)
        while len(self.ends) > MOST_ENDS:
            del self.ends[min(self.ends, key=lambda one: self.ends[one].at)]
        cleared = (news.cleared & self.ends.keys()) - self.cleared
        self.cleared = (self.cleared | cleared) & self.ends.keys()
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

    def count_ends(self, digest: RequestDigest, now: float) -> int:
        """Return under how many ends of servers a request stands."""
        suspect = self._suspects.get(digest)
        return 0 if suspect is None else len(suspect.list_ends(now))

    def find_hold_left(self, digest: RequestDigest, now: float) -> float:
        """Return the seconds for which a request is set aside; 0 if it is not."""
        suspect = self._suspects.get(digest)
        return 0.0 if suspect is None else suspect.find_hold_left(now)

    def list_held(self, now: float) -> list[Suspect]:
        """Return the requests that are set aside."""
        return [one for one in self._suspects.values() if one.find_hold_left(now) > 0]

    def list_all(self) -> list[Suspect]:
        """Return all that is known."""
        return list(self._suspects.values())

    def list_told_since(self, begin: float) -> list[Suspect]:
        """Return those of which something new was learned, the newest first."""
        fresh = [one for one in self._suspects.values() if one.told_at >= begin]
        return sorted(fresh, key=lambda one: one.told_at, reverse=True)

    def merge(self, news: Suspect, now: float) -> bool:
        """Take over what was seen or told; returns whether any of it was new."""
        known = self._suspects.get(news.digest)
        if known is None:
            if not news.ends:
                return False
            self._make_room(now)
            known = Suspect(news.digest, news.account, news.service)
            self._suspects[news.digest] = known
        is_new = known.merge(news)
        if is_new:
            known.told_at = now
        return is_new

    def clear(self, digest: RequestDigest, now: float) -> bool:
        """Count the ends so far no more; returns whether any counted."""
        suspect = self._suspects.get(digest)
        if suspect is None or not suspect.list_ends(now):
            return False
        suspect.cleared = set(suspect.ends)
        suspect.told_at = now
        return True

    def forget_old(self, now: float) -> None:
        """Drop what does not count any more."""
        for digest in [
            digest
            for digest, one in self._suspects.items()
            if one.last_end < now - HOLD
        ]:
            del self._suspects[digest]

    def _make_room(self, now: float) -> None:
        if len(self._suspects) < MOST_SUSPECTS:
            return
        self.forget_old(now)
        if len(self._suspects) >= MOST_SUSPECTS:
            first = min(self._suspects.values(), key=lambda one: _rank(one, now))
            del self._suspects[first.digest]


def _rank(suspect: Suspect, now: float) -> tuple[int, float]:
    return len(suspect.list_ends(now)), suspect.last_end
