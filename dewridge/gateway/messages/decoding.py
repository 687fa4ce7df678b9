"""Decodes the datagrams of other hosts.

Peers may run other builds or be damaged, and anybody may send to the port. The types of
the messages bound their figures, so that no message that is accepted breaks a step that
applies it.
"""

from collections.abc import Callable

from dewridge.codes import ResultCode
from dewridge.decoding import (
    MAX_COUNT,
    is_address,
    is_header_text,
    make_msgpack_decoder,
)
from dewridge.gateway.model import ServerRecord
from dewridge.gateway.reports import MAX_KEY, HostMessage, ServerAnswer
from dewridge.ids import make_server_id
from dewridge.platform.servers import MAX_LEAVE_NOTICE_MS, MAX_SLOTS
from dewridge.sentinels import Failure

_decode: Callable[[bytes], HostMessage | Failure] = make_msgpack_decoder(HostMessage)


def decode_message(data: bytes) -> HostMessage | Failure:
    """Decode a datagram; a `Failure` if it is no message, or if a figure can't be.

    Args:
        data: any bytes.
    """
    message = _decode(data)
    if isinstance(message, ServerAnswer):
        for record in message.records:
            fault = find_fault(record)
            if fault is not None:
                reason = f"record of {record.id[:MAX_KEY]!r}: {fault}"
                return Failure(ResultCode.PLATFORM_MALFORMED, reason)
    return message


def find_fault(record: ServerRecord) -> str | None:
    """Return why a peer's record of a server is not usable; None if it is.

    The limits are those for the records in the store, from which peers have theirs.
    """
    fault = None
    leaves_in = 0.0 if record.leaves_in is None else record.leaves_in
    names = (record.service, record.failure_domain, record.version)
    if record.id != make_server_id(record.name, record.started_at_ms or None):
        fault = "the id is not that of the name"
    elif not is_header_text(record.id) or " " in record.id:
        fault = "the id can't be sent in a header"
    elif not is_address(record.address):
        fault = "the address is not a.b.c.d:port"
    elif not 0 < record.slots <= MAX_SLOTS:
        fault = f"{record.slots} slots"
    elif not 0 <= record.started_at_ms <= MAX_COUNT:
        fault = f"started at {record.started_at_ms}"
    elif not 0 <= leaves_in <= MAX_LEAVE_NOTICE_MS / 1000:
        fault = f"leaves in {leaves_in} s"
    elif max(map(len, names)) > MAX_KEY:
        fault = "a name is too long"
    return fault
