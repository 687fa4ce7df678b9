"""Headers of the calls between hosts that relay requests.

A relayed request has the method, the target, the body and the headers that the server
gets, and beside them the headers below, which the relay removes. The relay returns the
answer of the server, or a status of its own with the reason for which there is none.
"""

import hmac
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from dewridge.codes import ResultCode
from dewridge.http1.client import Headers
from dewridge.ids import BackendServerId, HostId
from dewridge.policy.losses import ConnectResult, LossReason
from dewridge.sentinels import Failure

PREFIX = b"dewridge-"
KEY = PREFIX + b"key"
SENDER = PREFIX + b"sender"
SERVER = PREFIX + b"server"
CALL = PREFIX + b"call"
FRESH = PREFIX + b"fresh"
"""Marks a call whose probes begin after it, as the peer judges an answer by them."""
LOSS = PREFIX + b"loss"
LAST_RESORT = PREFIX + b"last-resort"
"""Marks a call that no other relay can pass on."""
ANSWERED = PREFIX + b"answered"
"""Marks the answer of a server; without it, the relay itself answered."""
UNFRAMED = PREFIX + b"unframed"
"""Marks an answer that ends with the server's connection."""
DETAIL = PREFIX + b"detail"
REACH = PREFIX + b"reach"
"""Result of a new connection of the relay to a server that lost a request."""
LEAVING = "leaving"
"""Detail of a relay that leaves: it passes a call on only as a last resort."""
LOST_STATUS = 502
UNUSABLE_STATUS = 503
PROBE_PATH = b"/probe"


class RelayCall(Enum):
    """What a relay is asked for."""

    REQUEST = "request"
    """A request of a caller that may be retried if it is lost."""
    SINGLE_REQUEST = "single request"
    """A request of a caller that may not be retried."""
    CONTROL = "control"
    """A control call to an engine."""
    PROBE = "probe"
    """Whether servers accept connections of the relay."""


@dataclass(frozen=True, slots=True)
class RelayOrder:
    """What a peer asks of this host as a relay.

    Attributes:
        key: the key of this host that the peer read from the store.
        sender: the peer.
        call: what it asks for.
        servers: the server, or the servers to probe.
        is_fresh: whether the peer judges an answer by the reply, so that no results of
            earlier probes may be used.
        is_last_resort: whether no other relay is known.
    """

    key: str
    sender: HostId
    call: RelayCall
    servers: tuple[BackendServerId, ...]
    is_fresh: bool = False
    is_last_resort: bool = False


def encode_order(order: RelayOrder) -> Headers:
    """Return the headers of an order."""
    headers = [
        (KEY, order.key.encode()),
        (SENDER, order.sender.encode()),
        (CALL, order.call.value.encode()),
        (SERVER, ",".join(order.servers).encode()),
    ]
    if order.is_fresh:
        headers.append((FRESH, b"1"))
    if order.is_last_resort:
        headers.append((LAST_RESORT, b"1"))
    return headers


def make_key_check(
    key: str,
) -> Callable[[Iterable[tuple[bytes, bytes]]], Failure | None]:
    """Return a check that refuses calls without a host's key.

    Anybody can connect to the port, and what a stranger sends must not be read.
    """
    expected = key.encode()

    def check_key(headers: Iterable[tuple[bytes, bytes]]) -> Failure | None:
        given = next((value for name, value in headers if name == KEY), b"")
        if hmac.compare_digest(given, expected):
            return None
        return Failure(ResultCode.UNAUTHENTICATED, "not a host of this fleet")

    return check_key


def decode_order(headers: Iterable[tuple[bytes, bytes]]) -> RelayOrder | None:
    """Return the order in the headers of a request; None without a valid one."""
    values = {name: value.decode("latin-1") for name, value in headers}
    try:
        call = RelayCall(values[CALL])
        key, sender, servers = values[KEY], values[SENDER], values[SERVER]
    except (KeyError, ValueError):
        return None
    names = tuple(BackendServerId(name) for name in servers.split(",") if name)
    if not names:
        return None
    return RelayOrder(
        key,
        HostId(sender),
        call,
        names,
        is_fresh=FRESH in values,
        is_last_resort=LAST_RESORT in values,
    )


def remove_relay_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers without those between hosts."""
    return [(name, value) for name, value in headers if not name.startswith(PREFIX)]


def encode_loss(
    loss: LossReason, detail: str, reach: ConnectResult | None = None
) -> Headers:
    """Return the headers of an answer that says why the server gave none."""
    text = detail.encode("ascii", "replace").replace(b"\r", b" ").replace(b"\n", b" ")
    headers = [(LOSS, loss.name.encode()), (DETAIL, text)]
    if reach is not None:
        headers.append((REACH, reach.value.encode()))
    return headers


def decode_reach(headers: Headers) -> ConnectResult | None:
    """Return whether the relay reaches the server of a lost request, if it says so."""
    value = dict(headers).get(REACH, b"").decode("latin-1")
    return next((result for result in ConnectResult if result.value == value), None)


def decode_loss(status: int, headers: Headers) -> tuple[LossReason, str] | None:
    """Return why a relay has no answer; None if the answer is the server's.

    A reply without a reason that is known here says nothing, unless its status promises
    that the relay has not passed the call on.
    """
    values = dict(headers)
    if ANSWERED in values:
        return None
    name = values.get(LOSS, b"").decode("latin-1")
    if name not in LossReason.__members__:
        is_refused = status == UNUSABLE_STATUS or 400 <= status < 500
        loss = LossReason.NO_PATH if is_refused else LossReason.CUT_OFF
        return loss, f"status {status}"
    return LossReason[name], values.get(DETAIL, b"").decode("latin-1")
