"""The entry list: the addresses that a client account should use."""

import msgspec

from dewridge.ids import ClientAccount
from dewridge.membership.model import MembershipView
from dewridge.policy.entry import choose_entry_hosts


class EntryHost(msgspec.Struct, frozen=True):
    """One address that callers may use."""

    address: str
    failure_domain: str


class EntryList(msgspec.Struct, frozen=True):
    """Addresses in order of preference.

    Attributes:
        ttl: seconds for which a client may cache the list.
    """

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

    Departing and silent hosts are omitted. A single host lists itself unless it
    is departing.
    """
    members = list(membership.members())
    if is_leaving:
        members = [
            member for member in members if member.host != membership.local_member.host
        ]
    chosen = choose_entry_hosts(account, members, size, caller)
    hosts = (
        EntryHost(entry.frontend_address, entry.failure_domain) for entry in chosen
    )
    return EntryList(tuple(hosts), ttl)
