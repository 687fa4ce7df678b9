"""Decoding and validation of the records that backend servers write to the store."""

import msgspec

from dewridge.codes import ResultCode
from dewridge.decoding import Count, Name, decode_json, is_address, is_header_text
from dewridge.gateway.model import ServerRecord, ServerVersion
from dewridge.ids import FailureDomain, ServerName, ServiceName, make_server_id
from dewridge.platform.names import SERVERS_PREFIX, ServerStatus
from dewridge.platform.store import Item
from dewridge.sentinels import Failure

MAX_SLOTS = 100_000
"""Concurrent requests that a record may claim: far more than one server runs, and few
enough that an absurd value does not attract all requests to one address."""
MAX_LEAVE_NOTICE_MS = 86_400_000.0
"""One day. A departure announced further ahead is meaningless here, and its record is
rejected."""


class _Record(msgspec.Struct, frozen=True):
    service: Name
    address: str
    state: ServerStatus
    slots: int
    zone: Name = ""
    spot: bool = False
    leaves_ms: float | None = None
    cold_remaining_ms: float = 0.0
    version: Name = ""
    born: Count | None = None
    """Start time of the server in milliseconds since the Unix epoch (not a year)."""


def parse_server_name(key: str) -> ServerName:
    """Return the name of the server whose record has this key in the store."""
    return ServerName(key.removeprefix(SERVERS_PREFIX))


def decode_server(item: Item) -> ServerRecord | Failure:
    """Decode and validate a server's record; a `Failure` if it is not usable.

    Other programs may write records there too. Every field that is used is validated
    here, since a single invalid record must neither abort the reading of the list,
    which would make all servers unavailable, nor break requests sent later.
    """
    record = decode_json(item.value, _Record)
    if isinstance(record, Failure):
        return _make_failure(item, record.reason)
    name = parse_server_name(item.key)
    fault = _find_fault(name, record)
    if fault is not None:
        return _make_failure(item, fault)
    leaves_ms = record.leaves_ms
    return ServerRecord(
        id=make_server_id(name, record.born),
        name=name,
        service=ServiceName(record.service),
        address=record.address,
        failure_domain=FailureDomain(record.zone),
        slots=record.slots,
        is_draining=record.state is ServerStatus.DRAINING,
        is_reclaimable=record.spot,
        leaves_in=None if leaves_ms is None else max(0.0, leaves_ms / 1000),
        is_cold=record.cold_remaining_ms > 0,
        started_at_ms=record.born or 0,
        version=ServerVersion(record.version),
    )


def _make_failure(item: Item, reason: str) -> Failure:
    return Failure(ResultCode.PLATFORM_MALFORMED, f"{item.key!r}: {reason}")


def _find_fault(name: ServerName, record: _Record) -> str | None:
    # The name is sent in a header: a line break or a space would truncate it.
    if not is_header_text(name) or " " in name:
        return "the name can't be sent in a header"
    if not is_address(record.address):
        return "the address is not a.b.c.d:port"
    if not 0 < record.slots <= MAX_SLOTS:
        return f"{record.slots} slots"
    if record.born is not None and record.born <= 0:
        return f"started at {record.born}"
    if record.leaves_ms is not None and record.leaves_ms > MAX_LEAVE_NOTICE_MS:
        return f"leaves in {record.leaves_ms} ms"
    return None
