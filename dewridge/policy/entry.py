"""Order and choice of entry addresses for a client account."""

from collections.abc import Sequence
from typing import Protocol, TypeVar

import xxhash

from dewridge.ids import FailureDomain, HostId


class EntryHost(Protocol):
    """What the choice needs of a member; `membership.model.Member` has it."""

    @property
    def host(self) -> HostId:
        """Name of the host."""

    @property
    def failure_domain(self) -> FailureDomain:
        """Failure domain that it is in."""

    @property
    def takes_work(self) -> bool:
        """Whether new work may be given to it."""


AnyHost = TypeVar("AnyHost", bound=EntryHost)


def choose_entry_hosts(
    account: str, members: Sequence[AnyHost], count: int, caller: str = ""
) -> list[AnyHost]:
    """Order entry hosts for a client account and take the first `count`.

    Made for callers that keep the answer a while and connect by themselves.
    Each account draws its own order, so that accounts spread evenly and all
    hosts give the same account the same answer; `caller` (an address, say)
    spreads the callers of one large account, which would otherwise all sit on
    one host. The first addresses lie in different failure domains, so that the
    next one on the list outlives the reclaim of the first one's domain.
    """
    live = [member for member in members if member.takes_work]
    subject = f"{account}|{caller}"
    live.sort(key=lambda member: _score(subject, member.host))
    turn: dict[FailureDomain, int] = {}
    rounds = []
    for place, member in enumerate(live):
        seen = turn.get(member.failure_domain, 0)
        turn[member.failure_domain] = seen + 1
        rounds.append((seen, place, member))
    rounds.sort(key=lambda item: item[:2])
    return [member for _, _, member in rounds[: max(0, count)]]


def _score(subject: str, host: HostId) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{subject}|{host}".encode()), host
