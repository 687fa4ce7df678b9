"""Decides at which software version a stream may continue that its caller resumes.

What two versions of a service write does not fit together, so that a stream continues
at the version that began it, or not at all. The load it is for: callers that resume
streams at any host, while several versions serve and hosts are killed or restarted.
"""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from functools import reduce
from operator import xor

from dewridge.digests import STREAM_KEY_BYTES, make_release
from dewridge.ids import FailureDomain, HostId, Release, ServiceName, StreamKey

RETENTION = 180.0
"""Seconds for which the versions of a service, and those of streams, are remembered: at
least the time between a stream's begin and the last attempt to resume it."""
MAX_STREAMS = 30_000
"""Streams remembered in each of two generations, at most 7 MB each. The older one is
dropped first."""
NEW_VERSION_DELAY = 1.0
"""Seconds during which the first servers of a version get no new streams while others
can take them, and callers get no events of such streams. All hosts know the version
before a stream of it is resumed, or know that they are out of step."""
MAX_VIEW_AGE = NEW_VERSION_DELAY
"""Age in seconds of this host's knowledge of the versions that serve up to which a
version that it does not know has no streams yet."""
MAX_VIEW_GAP = 4.0
"""Seconds between two confirmations of that knowledge from which a version may have
come and gone unseen. Servers take about that long to start."""
REPLICA_COUNT = 2
"""Other hosts that keep the versions of a host's running streams."""
MAX_NAME_LENGTH = 40
"""Characters of a version in a log line or a label."""
SMALL_FLEET_HOSTS = 16
MIN_REPORT_DELAY = 0.05
MAX_REPORT_DELAY = 0.1
"""Seconds for which new streams are collected before they are sent to the replicas. In
a large fleet the headers of more messages would exceed what a host may send."""
CRASH_RESTART_TIME = 5.0
"""Seconds within which a server that left without notice usually serves again."""
RESTART_POLL_INTERVAL = 0.8
"""Mean seconds after which callers return while such a server may start again."""


class OriginSource(Enum):
    """How a host knows the version at which a stream began."""

    LOCAL = "this host"
    """The stream ran here, or its host had this one keep its version."""
    ONLY_VERSION = "only version"
    """All servers of the service had one version since the stream can have begun."""
    PEER = "a peer"
    STORE = "the store"


@dataclass(frozen=True, slots=True)
class Origin:
    """The version at which a stream began.

    Attributes:
        release: the service and the version.
        source: how that is known.
        age: seconds since this host learned it, or since it certainly knew all
            versions if it goes by the only one.
    """

    release: Release
    source: OriginSource
    age: float = 0.0


@dataclass
class StreamLedger:
    """The versions at which recent streams began."""

    _recent: dict[StreamKey, tuple[Release, float]] = field(default_factory=dict)
    _older: dict[StreamKey, tuple[Release, float]] = field(default_factory=dict)
    _turned_at: float = float("-inf")

    def record(self, stream: StreamKey, release: Release, now: float) -> None:
        """Record the version of a stream; the first one recorded is kept."""
        if now - self._turned_at > RETENTION or len(self._recent) >= MAX_STREAMS:
            self._recent, self._older = {}, self._recent
            self._turned_at = now
        if stream not in self._recent:
            known = self._older.get(stream)
            self._recent[stream] = (release if known is None else known[0], now)

    def find(self, stream: StreamKey) -> tuple[Release, float] | None:
        """Return the version of a stream and when it was recorded."""
        return self._recent.get(stream) or self._older.get(stream)

    def __len__(self) -> int:
        return len(self._recent) + len(self._older)


@dataclass(frozen=True, slots=True)
class SeenRelease:
    """A version that had servers recently.

    Attributes:
        service: the service.
        release: the service and the version.
        name: the version, cut to some length.
        seen_at: monotonic time at which a server was last seen.
    """

    service: ServiceName
    release: Release
    name: str
    seen_at: float


@dataclass
class ReleaseHistory:
    """The versions of each service that had servers recently.

    Attributes:
        complete_since: monotonic time since which this host has seen all versions.
    """

    complete_since: float
    _first_seen: dict[Release, float] = field(default_factory=dict)
    _names: dict[Release, str] = field(default_factory=dict)
    _last_seen: dict[ServiceName, dict[Release, float]] = field(
        default_factory=lambda: defaultdict(dict)
    )

    def record(self, service: ServiceName, version: str, now: float) -> bool:
        """Record that a server of a version serves now; return whether it is new."""
        release = make_release(service, version)
        name = version[:MAX_NAME_LENGTH]
        return self.merge(SeenRelease(service, release, name, now), now)

    def merge(self, seen: SeenRelease, now: float) -> bool:
        """Record a version that had servers recently; return whether it is new here."""
        if now - seen.seen_at > RETENTION:
            return False
        is_new = seen.release not in self._first_seen
        self._first_seen.setdefault(seen.release, now)
        self._names.setdefault(seen.release, seen.name)
        releases = self._last_seen[seen.service]
        releases[seen.release] = max(seen.seen_at, releases.get(seen.release, 0.0))
        return is_new

    def list_seen(self, now: float) -> list[SeenRelease]:
        """Return the recent versions of all services."""
        return [
            SeenRelease(service, release, self._names[release], seen_at)
            for service, releases in self._last_seen.items()
            if self.list_recent(service, now)
            for release, seen_at in releases.items()
        ]

    def compute_digest(self, now: float) -> int:
        """Return a digest of the recent versions of all services."""
        releases = [
            release
            for service in self._last_seen
            for release in self.list_recent(service, now)
        ]
        return reduce(xor, releases, 0)

    def name_release(self, release: Release) -> str:
        """Return the version of a digest for logs, cut to some length."""
        return self._names.get(release, f"#{release:08x}")

    def is_new(self, release: Release, now: float) -> bool:
        """Whether other hosts may not know the version yet."""
        return now - self._first_seen.get(release, now) < NEW_VERSION_DELAY

    def compute_delay(self, release: Release, now: float) -> float:
        """Return the seconds until other hosts know a version or are out of step."""
        first_seen = self._first_seen.get(release, now)
        return max(0.0, first_seen + NEW_VERSION_DELAY - now)

    def list_services(self) -> list[ServiceName]:
        """Return the services that have had servers."""
        return sorted(self._last_seen)

    def list_recent(self, service: ServiceName, now: float) -> list[Release]:
        """Return the versions that had servers within the retention period."""
        seen = self._last_seen.get(service, {})
        for release in [known for known, at in seen.items() if now - at > RETENTION]:
            del seen[release]
            self._first_seen.pop(release, None)
            self._names.pop(release, None)
        return list(seen)

    def is_mixed(self, service: ServiceName, now: float) -> bool:
        """Whether streams of more than one version may run or be resumed."""
        return len(self.list_recent(service, now)) > 1

    def list_mixed(self, now: float) -> dict[ServiceName, list[Release]]:
        """Return the recent versions of each service that has several."""
        recent = {
            service: self.list_recent(service, now) for service in self._last_seen
        }
        return {
            service: sorted(releases)
            for service, releases in recent.items()
            if len(releases) > 1
        }

    def find_only(self, service: ServiceName, now: float) -> Release | None:
        """Return the only version that a recent stream can have begun at.

        Returns:
            None if there were several, or if this host started too recently to know.
        """
        recent = self.list_recent(service, now)
        if len(recent) != 1 or now - self.complete_since < RETENTION:
            return None
        return recent[0]


def find_longest_running(starts: Mapping[Release, list[int]]) -> Release | None:
    """Return the version whose servers began to run before those of all others.

    Args:
        starts: start times of the servers of each version; 0 if unknown.

    Returns:
        None if that is not known.
    """
    first = {release: min(times, default=0) for release, times in starts.items()}
    earliest = min(first.values(), default=0)
    found = [release for release, started_at in first.items() if started_at == earliest]
    return found[0] if earliest > 0 and len(found) == 1 else None


def choose_replicas(
    local_host: HostId,
    domains: Mapping[HostId, FailureDomain],
    count: int = REPLICA_COUNT,
) -> list[HostId]:
    """Return the hosts that keep the versions of a host's running streams.

    They are in other failure domains, because the hosts of a domain end together. A
    host has the replicas of its own rank there, so that each stores as many streams.

    Args:
        local_host: the host whose streams are kept.
        domains: failure domains of the live hosts, including this one.
        count: number of replicas.
    """
    members: dict[FailureDomain, list[HostId]] = defaultdict(list)
    for host in sorted(domains):
        members[domains[host]].append(host)
    names = sorted(members)
    start = names.index(domains[local_host])
    rank = members[names[start]].index(local_host)
    others = [members[name] for name in [*names[start + 1 :], *names[:start]]]
    longest = max(map(len, others), default=0)
    ranked = [
        hosts[(rank + step) % len(hosts)] for step in range(longest) for hosts in others
    ]
    own = members[names[start]]
    ranked += [own[(rank + step) % len(own)] for step in range(1, len(own))]
    return list(dict.fromkeys(ranked))[:count]


def compute_report_delay(hosts: int) -> float:
    """Return the seconds from a stream's first event until replicas are notified."""
    return MIN_REPORT_DELAY if hosts <= SMALL_FLEET_HOSTS else MAX_REPORT_DELAY


def compute_return_delay(seconds_since_crash: float | None) -> float | None:
    """Return after which delay a stream may find a server of its version again.

    Args:
        seconds_since_crash: seconds since the last server of the version left without
            notice; None if all of them left as planned, and so for good.

    Returns:
        None if waiting does not help.
    """
    if seconds_since_crash is None or seconds_since_crash > CRASH_RESTART_TIME:
        return None
    return RESTART_POLL_INTERVAL


def pack_streams(streams: list[StreamKey]) -> bytes:
    """Return the bytes of stream digests for a message."""
    return b"".join(stream.to_bytes(STREAM_KEY_BYTES) for stream in streams)


def unpack_streams(data: bytes) -> list[StreamKey]:
    """Return the stream digests of a message; an incomplete last one is ignored."""
    count = len(data) // STREAM_KEY_BYTES
    return [
        StreamKey(
            int.from_bytes(data[i * STREAM_KEY_BYTES : (i + 1) * STREAM_KEY_BYTES])
        )
        for i in range(count)
    ]
