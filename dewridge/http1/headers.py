"""Hop-by-hop headers and the framing of request bodies."""

Headers = list[tuple[bytes, bytes]]

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
