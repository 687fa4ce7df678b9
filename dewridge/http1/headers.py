"""Headers that concern one connection only, and bodies' framing."""

Headers = list[tuple[bytes, bytes]]

HOP_HEADERS = frozenset(
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
    """Return the headers without those that concern one connection only."""
    dropped = set(HOP_HEADERS)
    for name, value in headers:
        if name == b"connection":
            dropped |= {part.strip().lower() for part in value.split(b",")}
    return [(name, value) for name, value in headers if name not in dropped]


def find_framing_fault(headers: Headers) -> str | None:
    """Return what makes the end of a request's body ambiguous, if anything.

    Two readers that take different ends would disagree on where the next request
    begins, and the rest of a body would run as a request of its own.
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
