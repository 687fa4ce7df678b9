"""Signals in the answers of a backend server that ask for fewer requests."""

from dataclasses import dataclass

from dewridge.http1.headers import Headers, parse_decimal, parse_retry_after
from dewridge.platform import names

LEAVING_VALUES = {b"1": True, b"0": False}
REST_STATUSES = frozenset({429, 503})
"""Statuses with which `Retry-After` says for how long the sender should pause."""
MAX_LOGGED_CHARS = 40


@dataclass(frozen=True, slots=True)
class ServerSignals:
    """What an answer shows of its server's needs.

    Attributes:
        limit: requests per second that the server takes from all hosts together; None
            if it names none, or none that can be read.
        has_limit_header: whether it names a limit, readable or not. An unreadable one
            does not show that an earlier limit has ended.
        rest: seconds for which the server wants no requests from this host; None if it
            does not ask for that.
        is_leaving: whether the server leaves.
        tolerance: rejections in a second beyond which the server falls over; None if it
            names none, or none that can be read.
        has_tolerance_header: whether it names a tolerance, readable or not.
        faults: descriptions of headers that can't be read.
    """

    limit: float | None = None
    has_limit_header: bool = False
    rest: float | None = None
    is_leaving: bool = False
    tolerance: float | None = None
    has_tolerance_header: bool = False
    faults: tuple[str, ...] = ()


NO_SIGNALS = ServerSignals()


def decode_signals(status: int, headers: Headers, wall_time: float) -> ServerSignals:
    """Decode the signals of an answer.

    Of several limits the lowest counts, and of several rests the longest. Headers that
    can't be read are reported as faults and change nothing.

    Args:
        status: status of the answer.
        headers: headers of the answer.
        wall_time: current time in seconds since 1970.
    """
    faults: list[str] = []
    limits: list[float] = []
    rests: list[float] = []
    tolerances: list[float] = []
    has_limit_header = has_tolerance_header = is_leaving = False
    for name, value in headers:
        if name == names.SERVER_LIMIT:
            has_limit_header = True
            _collect(parse_decimal(value), name, value, limits, faults)
        elif name == names.SERVER_BRITTLE:
            has_tolerance_header = True
            _collect(parse_decimal(value), name, value, tolerances, faults)
        elif name == names.SERVER_LEAVING:
            if value.strip() in LEAVING_VALUES:
                is_leaving |= LEAVING_VALUES[value.strip()]
            else:
                faults.append(_describe_fault(name, value))
        elif name == b"retry-after" and status in REST_STATUSES:
            _collect(parse_retry_after(value, wall_time), name, value, rests, faults)
    if not (has_limit_header or has_tolerance_header or rests or is_leaving or faults):
        return NO_SIGNALS
    return ServerSignals(
        min(limits, default=None),
        has_limit_header,
        max(rests, default=None),
        is_leaving,
        min(tolerances, default=None),
        has_tolerance_header,
        tuple(faults),
    )


def _collect(
    number: float | None,
    name: bytes,
    value: bytes,
    numbers: list[float],
    faults: list[str],
) -> None:
    if number is None:
        faults.append(_describe_fault(name, value))
    else:
        numbers.append(number)


def _describe_fault(name: bytes, value: bytes) -> str:
    return f"{name.decode()}: {value[:MAX_LOGGED_CHARS]!r}"
