"""Members and rumors as thrift structures, and back with every field checked."""

from typing import Any

from dewridge.ids import FailureDomain, HostId, Incarnation
from dewridge.membership.model import Member, MemberState, Rumor
from dewridge.membership.table import MemberTable
from dewridge.peers.model import Message
from dewridge.peers.wire import ttypes

RECORD_OVERHEAD = 47
"""Bytes of a member's record besides its texts."""

_SHORT_STATES = (MemberState.SUSPECT, MemberState.DEAD)


def make_record(member: Member, *, with_addresses: bool = False) -> Message:
    """Return a member's record.

    A suspect's or dead member's is sent without addresses, which whoever hears
    it has: a failure domain's loss at 440 hosts is told in half the bytes.
    """
    record = ttypes.MemberRecord(
        host=member.host,
        incarnation=member.incarnation,
        state=member.state.value,
        refutation=member.refutation,
    )
    if with_addresses or member.state not in _SHORT_STATES:
        record.failure_domain = member.failure_domain
        record.address = member.address
        record.frontend_address = member.frontend_address
    return record


def measure_record(member: Member) -> int:
    """Return about how many bytes a member's record takes in a message."""
    size = RECORD_OVERHEAD + len(member.host)
    if member.state in _SHORT_STATES:
        return size
    addresses = len(member.address) + len(member.frontend_address)
    return size + len(member.failure_domain) + addresses


def read_member(record: Message | None) -> Member | None:
    """Return the member that a record speaks of; None if a field is unusable."""
    if record is None:
        return None
    numbers = (record.incarnation, record.state, record.refutation)
    if not _are(int, *numbers) or not isinstance(record.host, str):
        return None
    try:
        state = MemberState(record.state)
    except ValueError:  # a state that only a newer release has
        return None
    return Member(
        HostId(record.host),
        Incarnation(record.incarnation),
        FailureDomain(record.failure_domain or ""),
        record.address or "",
        record.frontend_address or "",
        state,
        record.refutation,
    )


def read_members(records: list[Message] | None) -> list[Member]:
    """Return the members of a list of records, without unusable ones."""
    found = [read_member(record) for record in records or []]
    return [member for member in found if member is not None]


def make_rumor(rumor: Rumor, age: float) -> Message:
    """Return a rumor as a structure."""
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
    """Return rumors with their age in seconds, without unusable ones."""
    found = []
    for item in structures or []:
        texts = _are(str, item.kind, item.subject)
        if texts and _are(int, item.version) and _are(bytes, item.payload):
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
    """Return how far a member is known."""
    return ttypes.MemberVersion(
        host=member.host,
        incarnation=member.incarnation,
        refutation=member.refutation,
        state=member.state.value,
    )


def read_member_versions(versions: list[Message] | None) -> list[Message]:
    """Return the versions of members that are whole."""
    return [
        version
        for version in versions or []
        if isinstance(version.host, str)
        and _are(int, version.incarnation, version.refutation, version.state)
    ]


def read_rumor_versions(versions: list[Message] | None) -> list[Message]:
    """Return the versions of rumors that are whole."""
    return [
        version
        for version in versions or []
        if _are(str, version.kind, version.subject) and isinstance(version.version, int)
    ]


def is_behind(version: Message, table: MemberTable) -> bool:
    """Whether another member knows newer of a member than this host."""
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


def _are(kind: type, *values: Any) -> bool:
    return all(isinstance(value, kind) for value in values)
