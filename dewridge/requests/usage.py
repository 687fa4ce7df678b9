"""What each profile cost and lost: counted here, inherited, and summed up."""

from collections import defaultdict
from typing import Any

from dewridge.configuration.model import Service
from dewridge.ids import HostId, Incarnation, ProfileName
from dewridge.peers.wire import ttypes as wire
from dewridge.policy.model import Usage

Source = tuple[HostId, Incarnation]
"""One process; its counters only grow, so of two copies the larger is newer."""
Counters = dict[str, float]


class UsageLedger:
    """Counters by profile of this process, and of others that it keeps."""

    def __init__(self) -> None:
        self._own: dict[str, Counters] = defaultdict(lambda: defaultdict(float))
        self._seen: dict[str, Counters] = {}
        self._kept: dict[Source, dict[str, Counters]] = {}

    def add(self, profile: ProfileName, counter: str, amount: float = 1) -> None:
        """Count something for a profile."""
        self._own[profile][counter] += amount

    def record(self, service: Service, usage: Usage) -> None:
        """Book what a service's scheduler counted since the last time.

        The scheduler counts on through a change of profile, so the difference
        goes to the profile in force until now.
        """
        before = self._seen.get(service.name, {})
        for counter, value in usage.counters.items():
            grown = value - before.get(counter, 0.0)
            if grown:
                self._own[service.profile][counter] += grown
        self._seen[service.name] = dict(usage.counters)

    def read_local(self) -> dict[str, Counters]:
        """Return this process's counters by profile."""
        return {profile: dict(counters) for profile, counters in self._own.items()}

    def store_remote(self, source: Source, usages: dict[str, Counters]) -> None:
        """Keep another process's counters, unless newer ones are here."""
        if is_newer(usages, self._kept.get(source)):
            self._kept[source] = usages

    def read_remote(self) -> dict[Source, dict[str, Counters]]:
        """Return the counters kept of other processes."""
        return dict(self._kept)

    def sum_all(self) -> dict[str, Counters]:
        """Return the counters of this process and of those that it keeps."""
        return sum_counters([self._own, *self._kept.values()])


def is_newer(usages: dict[str, Counters], than: dict[str, Counters] | None) -> bool:
    """Whether counters of one process were read later than others of it."""
    return than is None or _weigh(usages) >= _weigh(than)


def _weigh(usages: dict[str, Counters]) -> float:
    return sum(sum(counters.values()) for counters in usages.values())


def sum_counters(parts: list[dict[str, Counters]]) -> dict[str, Counters]:
    """Sum counters by profile."""
    total: dict[str, Counters] = defaultdict(lambda: defaultdict(float))
    for part in parts:
        for profile, counters in part.items():
            for counter, value in counters.items():
                total[profile][counter] += value
    return {profile: dict(counters) for profile, counters in total.items()}


def encode_usages(source: Source, usages: dict[str, Counters]) -> Any:
    """Return a process's counters as a message."""
    return wire.MergeUsage(
        host=source[0],
        incarnation=source[1],
        usages=[
            wire.Usage(profile=profile, counters=counters)
            for profile, counters in usages.items()
        ],
    )


def decode_usages(message: Any) -> tuple[Source, dict[str, Counters]]:
    """Return the process and its counters of a message."""
    source = HostId(message.host), Incarnation(message.incarnation)
    return source, {u.profile: dict(u.counters) for u in message.usages}
