"""Decoding and validation of the records that backend servers write to the store."""

import ipaddress

import msgspec

from dewridge.codes import ResultCode
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
MAX_PORT = 65_535


class _Record(msgspec.Struct, frozen=True):
    service: str
    address: str
    state: ServerStatus
    slots: int
    zone: str = ""
    spot: bool = False
    leaves_ms: float | None = None
    cold_remaining_ms: float = 0.0
    version: str = ""
    born: int | None = None
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
    try:
        record = msgspec.json.decode(item.value, type=_Record)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return _make_failure(item, str(error))
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
    if not (name.isascii() and name.isprintable()) or " " in name or not name:
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


def is_address(text: str) -> bool:
    """Whether a text is `a.b.c.d:port` with the address of a single host."""
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit()) or len(port) > len(str(MAX_PORT)):
        return False
    if not 0 < int(port) <= MAX_PORT:
        return False
    try:
        address = ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return not (address.is_unspecified or address.is_multicast)
