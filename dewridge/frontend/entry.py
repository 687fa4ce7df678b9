"""The entry list: which addresses a client account should use."""

import msgspec

from dewridge.ids import ClientAccount
from dewridge.membership.model import MembershipView
from dewridge.policy.entry import choose_entry_hosts


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
    caller: str,
    *,
    size: int,
    ttl: float,
    is_leaving: bool,
) -> EntryList:
    """Choose entry hosts for a caller, spread over failure domains.

    Hosts that are leaving or silent are not in it. A host that is alone still
    names itself, unless it leaves.
    """
    members = list(membership.members())
    if is_leaving:
        members = [
            member for member in members if member.host != membership.local_member.host
        ]
    chosen = choose_entry_hosts(account, members, size, caller)
    hosts = (EntryHost(each.frontend_address, each.failure_domain) for each in chosen)
    return EntryList(tuple(hosts), ttl)
