"""Choice and order of the entry hosts that a client account connects to."""

from collections.abc import Sequence
from typing import Protocol, TypeVar

import xxhash

from dewridge.ids import FailureDomain, HostId


class EntryHost(Protocol):
    """A host that callers may connect to; `membership.model.Member` conforms."""

    @property
    def host(self) -> HostId:
        """Name of the host."""

    @property
    def failure_domain(self) -> FailureDomain:
        """Failure domain of the host."""

    @property
    def accepts_work(self) -> bool:
        """Whether the host accepts new work."""


AnyHost = TypeVar("AnyHost", bound=EntryHost)


def choose_entry_hosts(
    account: str, members: Sequence[AnyHost], count: int, caller: str = ""
) -> list[AnyHost]:
    """Return the first `count` entry hosts for a client account, in order.

    Callers cache the list and connect by themselves. The order is a hash of the
    account, so that accounts spread evenly over the hosts and every host returns the
    same list for an account. The first hosts are in different failure domains, so that
    the next one remains when the domain of the first is reclaimed.

    Args:
        account: the client account.
        members: known hosts; those that don't accept work are left out.
        count: number of hosts to return.
        caller: names a caller within the account, such as its address. It spreads the
            callers of a large account, which would otherwise all use the same host.
    """
    live = [member for member in members if member.accepts_work]
    subject = f"{account}|{caller}"
    live.sort(key=lambda member: _score(subject, member.host))
    domain_counts: dict[FailureDomain, int] = {}
    rounds = []
    for rank, member in enumerate(live):
        round_number = domain_counts.get(member.failure_domain, 0)
        domain_counts[member.failure_domain] = round_number + 1
        rounds.append((round_number, rank, member))
    rounds.sort(key=lambda item: item[:2])
    return [member for _, _, member in rounds[: max(0, count)]]


def _score(subject: str, host: HostId) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{subject}|{host}".encode()), host
