"""Usage counters by profile: those of this process and copies of others'."""

from collections import defaultdict
from typing import Any

from dewridge.configuration.model import Service
from dewridge.ids import HostId, Incarnation, ProfileName
from dewridge.peers.wire import ttypes as wire
from dewridge.policy.model import Usage

ProcessKey = tuple[HostId, Incarnation]
"""Identifies a process. Its counters only grow: the larger of two copies is newer."""
Counters = dict[str, float]


class UsageLedger:
    """Stores the counters by profile of this process and copies of other processes'."""

    def __init__(self) -> None:
        self._local: dict[str, Counters] = defaultdict(lambda: defaultdict(float))
        self._last_read: dict[str, Counters] = {}
        self._remote: dict[ProcessKey, dict[str, Counters]] = {}

    def add(self, profile: ProfileName, counter: str, amount: float = 1) -> None:
        """Increase a counter of a profile."""
        self._local[profile][counter] += amount

    def record(self, service: Service, usage: Usage) -> None:
        """Add what a service's scheduler counted since the last call.

        The scheduler's counters are not reset when the profile changes, so the
        difference is added to the profile that was in force until now.
        """
        previous = self._last_read.get(service.name, {})
        for counter, value in usage.counters.items():
            increase = value - previous.get(counter, 0.0)
            if increase:
                self._local[service.profile][counter] += increase
        self._last_read[service.name] = dict(usage.counters)

    def read_local(self) -> dict[str, Counters]:
        """Return this process's counters by profile."""
        return {profile: dict(counters) for profile, counters in self._local.items()}

    def store_remote(self, process: ProcessKey, usages: dict[str, Counters]) -> None:
        """Store another process's counters, unless the stored ones are newer."""
        if is_newer(usages, self._remote.get(process)):
            self._remote[process] = usages

    def read_remote(self) -> dict[ProcessKey, dict[str, Counters]]:
        """Return the stored counters of other processes."""
        return dict(self._remote)

    def sum_all(self) -> dict[str, Counters]:
        """Return the sum of this process's counters and the stored ones."""
        return sum_counters([self._local, *self._remote.values()])


def is_newer(usages: dict[str, Counters], than: dict[str, Counters] | None) -> bool:
    """Whether a copy of a process's counters is at least as new as another copy."""
    return than is None or _sum_values(usages) >= _sum_values(than)


def _sum_values(usages: dict[str, Counters]) -> float:
    return sum(sum(counters.values()) for counters in usages.values())


def sum_counters(parts: list[dict[str, Counters]]) -> dict[str, Counters]:
    """Sum counters by profile."""
    total: dict[str, Counters] = defaultdict(lambda: defaultdict(float))
    for part in parts:
        for profile, counters in part.items():
            for counter, value in counters.items():
                total[profile][counter] += value
    return {profile: dict(counters) for profile, counters in total.items()}


def encode_usages(process: ProcessKey, usages: dict[str, Counters]) -> Any:
    """Return the wire message for a process's counters."""
    return wire.MergeUsage(
        host=process[0],
        incarnation=process[1],
        usages=[
            wire.Usage(profile=profile, counters=counters)
            for profile, counters in usages.items()
        ],
    )


def decode_usages(message: Any) -> tuple[ProcessKey, dict[str, Counters]]:
    """Return the process and the counters in a wire message."""
    process = HostId(message.host), Incarnation(message.incarnation)
    return process, {u.profile: dict(u.counters) for u in message.usages}
