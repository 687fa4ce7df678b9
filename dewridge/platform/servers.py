"""The records that backend servers keep in the store."""

import ipaddress

import msgspec

from dewridge.codes import ResultCode
from dewridge.gateway.model import ServerRecord, ServerVersion
from dewridge.ids import FailureDomain, ServerName, ServiceName, make_server_id
from dewridge.platform.names import SERVERS_PREFIX, Status
from dewridge.platform.store import Item
from dewridge.sentinels import Failure

MOST_SLOTS = 100_000
"""Requests at once that a record may claim: far beyond what one server runs, and small
enough that a senseless figure does not draw all requests to one address."""
LONGEST_NOTICE_MS = 86_400_000.0
"""A day: a server that leaves later is not leaving in any sense that matters here."""
LAST_PORT = 65_535


class _Record(msgspec.Struct, frozen=True):
    service: str
    address: str
    state: Status
    slots: int
    zone: str = ""
    spot: bool = False
    leaves_ms: float | None = None
    cold_remaining_ms: float = 0.0
    version: str = ""
    born: int | None = None
    """Start of the server in milliseconds since 1970, though it reads like a year."""


def read_server_name(key: str) -> ServerName:
    """Return the name of the server that a key of the store belongs to."""
    return ServerName(key.removeprefix(SERVERS_PREFIX))


def decode_server(item: Item) -> ServerRecord | Failure:
    """Decode a server's record; a `Failure` names no server to use.

    Other programs may write there too. One record of theirs that ended the reading of
    the list, or that later broke a request sent by it, would take all servers along:
    whatever is used of a record is checked here.
    """
    try:
        record = msgspec.json.decode(item.value, type=_Record)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return _refuse(item, str(error))
    name = read_server_name(item.key)
    fault = _find_fault(name, record)
    if fault is not None:
        return _refuse(item, fault)
    leaves_ms = record.leaves_ms
    return ServerRecord(
        id=make_server_id(name, record.born),
        name=name,
        service=ServiceName(record.service),
        address=record.address,
        failure_domain=FailureDomain(record.zone),
        slots=record.slots,
        is_draining=record.state is Status.DRAINING,
        is_reclaimable=record.spot,
        leaves_in=None if leaves_ms is None else max(0.0, leaves_ms / 1000),
        is_cold=record.cold_remaining_ms > 0,
        started_at_ms=record.born or 0,
        version=ServerVersion(record.version),
    )


def _refuse(item: Item, reason: str) -> Failure:
    return Failure(ResultCode.PLATFORM_MALFORMED, f"{item.key!r}: {reason}")


def _find_fault(name: ServerName, record: _Record) -> str | None:
    # The name goes into a header: a line break or a space would end it early.
    if not (name.isascii() and name.isprintable()) or " " in name or not name:
        return "the name can't be sent in a header"
    if not is_address(record.address):
        return "the address is not a.b.c.d:port"
    if not 0 < record.slots <= MOST_SLOTS:
        return f"{record.slots} slots"
    if record.born is not None and record.born <= 0:
        return f"started at {record.born}"
    if record.leaves_ms is not None and record.leaves_ms > LONGEST_NOTICE_MS:
        return f"leaves in {record.leaves_ms} ms"
    return None


def is_address(text: str) -> bool:
    """Whether a text is `a.b.c.d:port` of one host."""
    number, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit()) or len(port) > len(str(LAST_PORT)):
        return False
    if not 0 < int(port) <= LAST_PORT:
        return False
    try:
        place = ipaddress.IPv4Address(number)
    except ValueError:
        return False
    return not (place.is_unspecified or place.is_multicast)
