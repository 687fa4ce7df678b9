"""Converts members and rumors to thrift structures and back, checking every field."""

from typing import Any

from dewridge.decoding import MAX_COUNT, MAX_NAME, is_address
from dewridge.ids import FailureDomain, HostId, Incarnation
from dewridge.membership.model import Member, MemberState, Rumor
from dewridge.membership.table import MemberTable
from dewridge.peers.model import Message
from dewridge.peers.wire import ttypes

RECORD_OVERHEAD = 47
"""Bytes of a member's record, excluding its strings."""

_STATES_WITHOUT_ADDRESSES = (MemberState.SUSPECT, MemberState.DEAD)


def make_record(member: Member, *, with_addresses: bool = False) -> Message:
    """Return a member's record.

    The record of a suspect or dead member has no addresses unless `with_addresses`
    is set, because the receivers know them. This halves the bytes needed to report
    the loss of a failure domain at 440 hosts.
    """
    record = ttypes.MemberRecord(
        host=member.host,
        incarnation=member.incarnation,
        state=member.state.value,
        refutation=member.refutation,
    )
    if with_addresses or member.state not in _STATES_WITHOUT_ADDRESSES:
        record.failure_domain = member.failure_domain
        record.address = member.address
        record.frontend_address = member.frontend_address
    return record


def measure_record(member: Member) -> int:
    """Return the approximate size of a member's record in a message, in bytes."""
    size = RECORD_OVERHEAD + len(member.host)
    if member.state in _STATES_WITHOUT_ADDRESSES:
        return size
    addresses = len(member.address) + len(member.frontend_address)
    return size + len(member.failure_domain) + addresses


def read_member(record: Message | None) -> Member | None:
    """Return the member that a record describes; None if a field is invalid."""
    if record is None:
        return None
    numbers = (record.incarnation, record.state, record.refutation)
    if not _all_instances(int, *numbers) or not isinstance(record.host, str):
        return None
    try:
        state = MemberState(record.state)
    except ValueError:  # a state that only newer releases know
        return None
    failure_domain = record.failure_domain or ""
    if len(record.host) > MAX_NAME or len(failure_domain) > MAX_NAME:
        return None
    addresses = record.address or "", record.frontend_address or ""
    if not all(not address or is_address(address) for address in addresses):
        return None
    return Member(
        HostId(record.host),
        Incarnation(record.incarnation),
        FailureDomain(failure_domain),
        *addresses,
        state,
        record.refutation,
    )


def read_members(records: list[Message] | None) -> list[Member]:
    """Return the members described by the valid records."""
    found = [read_member(record) for record in records or []]
    return [member for member in found if member is not None]


def make_rumor(rumor: Rumor, age: float) -> Message:
    """Return a rumor as a thrift structure.

    Args:
        rumor: the rumor.
        age: seconds since it was first spread.
    """
    return ttypes.Rumor(
        kind=rumor.kind,
        subject=rumor.subject,
        version=rumor.version,
        payload=rumor.payload,
        age=age,
        routine=rumor.routine or None,
        lifetime=rumor.lifetime,
    )


def read_rumors(structures: list[Message] | None) -> list[tuple[Rumor, float]]:
    """Return the valid rumors, each with its age in seconds."""
    found = []
    for item in structures or []:
        has_names = _all_instances(str, item.kind, item.subject)
        if (
            has_names
            and _all_instances(int, item.version)
            and _all_instances(bytes, item.payload)
            and max(len(item.kind), len(item.subject)) <= MAX_NAME
            and _is_time(item.age)
            and _is_time(item.lifetime)
            and (item.lifetime is None or item.lifetime >= 0)
        ):
            rumor = Rumor(
                item.kind,
                item.subject,
                item.version,
                item.payload,
                bool(item.routine),
                item.lifetime,
            )
            found.append((rumor, max(0.0, item.age or 0.0)))
    return found


def make_member_version(member: Member) -> Message:
    """Return the version of what this host knows about a member."""
    return ttypes.MemberVersion(
        host=member.host,
        incarnation=member.incarnation,
        refutation=member.refutation,
        state=member.state.value,
    )


def read_member_versions(versions: list[Message] | None) -> list[Message]:
    """Return the member versions whose fields are all valid."""
    return [
        version
        for version in versions or []
        if isinstance(version.host, str)
        and _all_instances(int, version.incarnation, version.refutation, version.state)
    ]


def read_rumor_versions(versions: list[Message] | None) -> list[Message]:
    """Return the rumor versions whose fields are all valid."""
    return [
        version
        for version in versions or []
        if _all_instances(str, version.kind, version.subject)
        and isinstance(version.version, int)
    ]


def is_behind(version: Message, table: MemberTable) -> bool:
    """Return whether a version reported by another member is newer than this host's."""
    record = ttypes.MemberRecord(
        host=version.host,
        incarnation=version.incarnation,
        refutation=version.refutation,
        state=version.state,
    )
    claim = read_member(record)
    if claim is None:
        return False
    if claim.state is MemberState.DEAD and table.find(claim.host) is None:
        return False
    return table.is_newer(claim)


def _is_time(seconds: float | None) -> bool:
    """Whether a time is absent, or a number that ends; a rumor's is added to others."""
    return seconds is None or seconds <= MAX_COUNT


def _all_instances(kind: type, *values: Any) -> bool:
    return all(isinstance(value, kind) for value in values)
