"""Hop-by-hop headers, the framing of request bodies, and values of headers."""

import re
from email.utils import parsedate_to_datetime

Headers = list[tuple[bytes, bytes]]

DECIMAL_NUMBER = re.compile(rb"[0-9]{1,15}(\.[0-9]{0,15})?")
"""A number without a sign, an exponent or a name for infinity."""
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)


def remove_hop_by_hop_headers(headers: Headers) -> Headers:
    """Return the headers without those that apply to a single connection only."""
    removed = set(HOP_BY_HOP_HEADERS)
    for name, value in headers:
        if name == b"connection":
            removed |= {part.strip().lower() for part in value.split(b",")}
    return [(name, value) for name, value in headers if name not in removed]


def find_framing_fault(headers: Headers) -> str | None:
    """Return why the end of a request's body is ambiguous; None if it is not.

    Two processes that assume different ends disagree on where the next request begins,
    so that part of a body would be run as a request (request smuggling).
    """
    names = [name for name, _ in headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        return "both a length and a transfer coding"
    if names.count(b"transfer-encoding") > 1 or names.count(b"content-length") > 1:
        return "the body's length is given twice"
    for name, value in headers:
        if name == b"transfer-encoding" and value.strip().lower() != b"chunked":
            return "a transfer coding other than chunked"
    return None


def parse_decimal(value: bytes) -> float | None:
    """Return a non-negative decimal number; None if the text is not one."""
    text = value.strip()
    return float(text) if DECIMAL_NUMBER.fullmatch(text) else None


def parse_retry_after(value: bytes, wall_time: float) -> float | None:
    """Return the seconds of a `Retry-After` header, which may also be a date.

    Returns:
        The seconds; 0 for a date in the past, None if the text is neither.
    """
    seconds = parse_decimal(value)
    if seconds is not None:
        return seconds
    try:
        date = parsedate_to_datetime(value.decode("ascii"))
        return max(0.0, date.timestamp() - wall_time)
    except (ValueError, TypeError, OverflowError):
        return None
