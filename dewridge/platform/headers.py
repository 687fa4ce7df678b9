"""The platform's headers: read from callers, written to backend servers."""

from dataclasses import dataclass

from dewridge.gateway.model import CallerRequest, PromptPart, Sizes
from dewridge.http1.client import Headers, ResponseHead
from dewridge.http1.headers import remove_hop_by_hop_headers
from dewridge.ids import ClientAccount, ServerName
from dewridge.platform import names
from dewridge.platform.engines import CacheCopy

STATUS_MISDIRECTED = 421
SINGLE = (names.REQUEST_ID, names.ACCOUNT_KEY, names.DEADLINE, b"host")
"""Headers that a request may carry once. Two processes that pick different ones of
two values would disagree on whose request it is."""


@dataclass(frozen=True, slots=True)
class RequestMarks:
    """What the headers of a caller's request say.

    Attributes:
        id: the caller's name for this sending; empty if missing.
        key: the account's key; empty without one.
        caller_timeout: seconds that the caller waits; None if not said.
        sizes: size of the work.
        last_event_id: event after which to resume.
    """

    id: str
    key: str
    caller_timeout: float | None
    sizes: Sizes
    last_event_id: int | None


def parse_request_headers(headers: Headers) -> RequestMarks | str:
    """Read a caller's headers; a text says what is wrong with them."""
    found: dict[bytes, bytes] = {}
    for name, value in headers:
        if name in SINGLE and name in found:
            return f"header {name.decode()} is there twice"
        found[name] = value
    patience = _read_number(found.get(names.DEADLINE))
    if names.DEADLINE in found and (patience is None or patience < 0):
        return "the deadline is not a number of milliseconds"
    sizes = _read_sizes(found)
    if isinstance(sizes, str):
        return sizes
    last_event = _read_number(found.get(names.LAST_EVENT))
    return RequestMarks(
        id=found.get(names.REQUEST_ID, b"").decode("latin-1"),
        key=found.get(names.ACCOUNT_KEY, b"").decode("latin-1"),
        caller_timeout=None if patience is None else patience / 1000,
        sizes=sizes,
        last_event_id=None if last_event is None else int(last_event),
    )


def _read_number(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        return float(int(value))
    except ValueError:
        return None


def _read_sizes(found: dict[bytes, bytes]) -> Sizes | str:
    prompt = output = 0
    if names.TOKENS in found:
        first, _, second = found[names.TOKENS].partition(b",")
        if not (first.strip().isdigit() and second.strip().isdigit()):
            return "the token count is not two whole numbers"
        prompt, output = int(first), int(second)
    parts = _read_parts(found.get(names.PREFIX, b""))
    model = found.get(names.MODEL, b"").decode("latin-1")
    return Sizes(prompt, output, parts, model)


def _read_parts(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for entry in value.decode("latin-1").split(","):
        name, _, tokens = entry.strip().partition(":")
        if name and tokens.isdigit():
            parts.append(PromptPart(name, int(tokens)))
    return tuple(parts)


@dataclass(frozen=True, slots=True)
class Dispatch:
    """What the gateway says to a backend server about one request.

    Attributes:
        server: name of the server that may run it; another one refuses.
        time_left: seconds until the server may stop.
        account: whose request it is; None on an anonymous route.
        priority: urgency from 0 to 9, 0 first; None for the server's own default.
        last_event_id: event after which to go on; None for a whole answer.
        cache_copy: memory of the stopped run to go on from; None for a new run.
        cache_holder: `a.b.c.d:port` of an engine to copy the shared part of the
            prompt from, as far as it keeps it; None to read it.
    """

    server: ServerName
    time_left: float
    account: ClientAccount | None
    priority: int | None
    last_event_id: int | None
    cache_copy: CacheCopy | None = None
    cache_holder: str | None = None


def make_dispatch_headers(request: CallerRequest, dispatch: Dispatch) -> Headers:
    """Return the headers with which a request goes to a backend server."""
    left_out = names.SET_BY_GATEWAY | {names.LAST_EVENT, b"content-length"}
    headers = [
        (name, value)
        for name, value in remove_hop_by_hop_headers(list(request.headers))
        if name not in left_out
    ]
    headers.append((names.EXPECTED_SERVER, dispatch.server.encode()))
    left = max(1, round(dispatch.time_left * 1000))
    headers.append((names.DEADLINE, str(left).encode()))
    if dispatch.account is not None:
        headers.append((names.ACCOUNT, dispatch.account.encode()))
    if dispatch.priority is not None:
        headers.append((names.PRIORITY, str(dispatch.priority).encode()))
    if dispatch.last_event_id is not None:
        headers.append((names.LAST_EVENT, str(dispatch.last_event_id).encode()))
    if dispatch.cache_copy is not None:
        value = f"{dispatch.cache_copy.source}/{dispatch.cache_copy.handle}"
        headers.append((names.MEMORY_COPY, value.encode()))
    if dispatch.cache_holder is not None:
        headers.append((names.CACHE_SOURCE, dispatch.cache_holder.encode()))
    if request.body or request.method in {b"POST", b"PUT", b"PATCH"}:
        headers.append((b"content-length", str(len(request.body)).encode()))
    return headers


def read_request_id(head: ResponseHead) -> str | None:
    """Return the request that an answer says it belongs to; None if it doesn't."""
    value = head.find_header(names.REQUEST_ID)
    return None if value is None else value.decode("latin-1")


def has_signature(head: ResponseHead) -> bool:
    """Whether a backend server signed this answer as its own."""
    return head.find_header(names.SIGNATURE) is not None


def is_not_executed(head: ResponseHead) -> bool:
    """Whether a backend server says that it did not run the request."""
    return head.status == STATUS_MISDIRECTED or (
        head.find_header(names.NOT_EXECUTED) is not None
    )


def is_misdirected(head: ResponseHead) -> bool:
    """Whether another server, or another start of it, has the address now."""
    return head.status == STATUS_MISDIRECTED
