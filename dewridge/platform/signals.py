"""Signals in the answers of a backend server that ask for fewer requests."""

import re
from dataclasses import dataclass

from dewridge.http1.client import Headers
from dewridge.platform import names

DECIMAL_NUMBER = re.compile(rb"[0-9]{1,15}(\.[0-9]{0,15})?")
"""A number without a sign, an exponent or a name for infinity."""
MAX_LOGGED_CHARS = 40


@dataclass(frozen=True, slots=True)
class ServerSignals:
    """What an answer shows of its server's needs.

    Attributes:
        limit: requests per second that the server takes from all hosts together; None
            if it names none, or none that can be read.
        has_limit_header: whether it names a limit, readable or not. An unreadable one
            does not show that an earlier limit has ended.
        faults: descriptions of headers that can't be read.
    """

    limit: float | None = None
    has_limit_header: bool = False
    faults: tuple[str, ...] = ()


NO_SIGNALS = ServerSignals()


def decode_signals(headers: Headers) -> ServerSignals:
    """Decode the signals of an answer.

    Of several limits the lowest counts. Headers that can't be read are reported as
    faults and change nothing.
    """
    values = [value.strip() for name, value in headers if name == names.SERVER_LIMIT]
    if not values:
        return NO_SIGNALS
    limits = [parse_decimal(value) for value in values]
    readable = [limit for limit in limits if limit is not None]
    faults = tuple(
        f"limit {value[:MAX_LOGGED_CHARS]!r}"
        for value, limit in zip(values, limits, strict=True)
        if limit is None
    )
    return ServerSignals(min(readable, default=None), True, faults)


def parse_decimal(value: bytes) -> float | None:
    """Return a non-negative decimal number; None if the text is not one."""
    return float(value) if DECIMAL_NUMBER.fullmatch(value) else None
