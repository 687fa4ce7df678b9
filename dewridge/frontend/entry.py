"""The entry list: which addresses a client account should use."""

import msgspec

from dewridge.ids import ClientAccount
from dewridge.membership.model import Member, MembershipView
from dewridge.membership.ranking import rank_members


class EntryHost(msgspec.Struct, frozen=True):
    """One address that callers may use."""

    address: str
    failure_domain: str


class EntryList(msgspec.Struct, frozen=True):
    """Addresses in the order of preference, and how long to keep them."""

    hosts: tuple[EntryHost, ...]
    ttl: float


def make_entry_list(
    membership: MembershipView,
    account: ClientAccount,
    size: int,
    ttl: float,
    is_leaving: bool,
) -> EntryList:
    """Choose entry hosts for an account, spread over failure domains.

    Hosts that are leaving or silent are not in it. A host that is alone still
    names itself, unless it leaves.
    """
    members = [member for member in membership.members() if member.takes_work]
    if is_leaving:
        members = [member for member in members if member.host != membership.me.host]
    chosen = _alternate_domains(rank_members(account, members))[:size]
    hosts = (EntryHost(each.frontend_address, each.failure_domain) for each in chosen)
    return EntryList(tuple(hosts), ttl)


def _alternate_domains(ranked: list[Member]) -> list[Member]:
    # A reclaim takes a failure domain at once; the next address of a caller
    # must then not be in the same one.
    rounds: dict[str, int] = {}
    placed: list[tuple[int, Member]] = []
    for member in ranked:
        turn = rounds.get(member.failure_domain, 0)
        rounds[member.failure_domain] = turn + 1
        placed.append((turn, member))
    return [member for _, member in sorted(placed, key=lambda pair: pair[0])]
