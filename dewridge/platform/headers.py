"""The platform's headers: parsed from callers, set for backend servers."""

from dataclasses import dataclass

from dewridge.gateway.model import CallerRequest, PromptPart, Sizes
from dewridge.http1.client import Headers, ResponseHead
from dewridge.http1.headers import remove_hop_by_hop_headers
from dewridge.ids import ClientAccount, ServerName
from dewridge.platform import names
from dewridge.platform.engines import CacheCopy

STATUS_MISDIRECTED = 421
MAX_DIGITS = 15
"""Digits of a number that a caller states."""
SINGLE_VALUE_HEADERS = (names.REQUEST_ID, names.ACCOUNT_KEY, names.DEADLINE, b"host")
"""Headers that a request may carry only once. Given two values, two processes could
use different ones and disagree on whose request it is."""


@dataclass(frozen=True, slots=True)
class RequestHeaders:
    """The platform's headers of a caller's request.

    Attributes:
        id: the caller's id of this attempt; empty if missing.
        key: API key of the account; empty without one.
        caller_timeout: seconds for which the caller waits; None if not given.
        sizes: size of the prompt and of the output.
        last_event_id: event after which to resume; None for a new stream.
        resumed_attempt: the attempt that brought the first event of the stream to
            resume; empty if there are several of them, None without one.
    """

    id: str
    key: str
    caller_timeout: float | None
    sizes: Sizes
    last_event_id: int | None
    resumed_attempt: bytes | None


def parse_request_headers(headers: Headers) -> RequestHeaders | str:
    """Parse a caller's headers; returns a description of the fault if invalid."""
    values: dict[bytes, bytes] = {}
    for name, value in headers:
        if name in SINGLE_VALUE_HEADERS and name in values:
            return f"header {name.decode()} is there twice"
        values[name] = value
    timeout_ms = _parse_number(values.get(names.DEADLINE))
    if names.DEADLINE in values and (timeout_ms is None or timeout_ms < 0):
        return "the deadline is not a number of milliseconds"
    sizes = _parse_sizes(values)
    if isinstance(sizes, str):
        return sizes
    last_event_id = _parse_number(values.get(names.LAST_EVENT))
    return RequestHeaders(
        id=values.get(names.REQUEST_ID, b"").decode("latin-1"),
        key=values.get(names.ACCOUNT_KEY, b"").decode("latin-1"),
        caller_timeout=None if timeout_ms is None else timeout_ms / 1000,
        sizes=sizes,
        last_event_id=None if last_event_id is None else int(last_event_id),
        resumed_attempt=_find_resumed_attempt(headers),
    )


def _find_resumed_attempt(headers: Headers) -> bytes | None:
    values = {value for name, value in headers if name == names.RESUMED_ATTEMPT}
    if len(values) > 1:
        return b""
    return next(iter(values), None)


def _parse_number(value: bytes | None) -> float | None:
    if value is None:
        return None
    text = value.strip()
    is_negative = text.startswith(b"-")
    number = parse_whole_number(text.removeprefix(b"-"))
    if number is None:
        return None
    return float(-number if is_negative else number)


def parse_whole_number(text: bytes) -> int | None:
    """Return a whole number of a caller; None if the text is none, or too long.

    The conversion of thousands of digits fails, and so does that of digits beyond
    ASCII, which some checks of strings take for digits.
    """
    is_number = text.isdigit() and len(text) <= MAX_DIGITS
    return int(text) if is_number else None


def _parse_sizes(values: dict[bytes, bytes]) -> Sizes | str:
    prompt = output = 0
    if names.TOKENS in values:
        first, _, second = values[names.TOKENS].partition(b",")
        stated = parse_whole_number(first.strip()), parse_whole_number(second.strip())
        if stated[0] is None or stated[1] is None:
            return "the token count is not two whole numbers"
        prompt, output = stated[0], stated[1]
    parts = _parse_parts(values.get(names.PREFIX, b""))
    model = values.get(names.MODEL, b"").decode("latin-1")
    return Sizes(prompt, output, parts, model)


def _parse_parts(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for entry in value.split(b","):
        name, _, tokens = entry.strip().partition(b":")
        number = parse_whole_number(tokens)
        if name and number is not None:
            parts.append(PromptPart(name.decode("latin-1"), number))
    return tuple(parts)


@dataclass(frozen=True, slots=True)
class Dispatch:
    """What the gateway adds to a request that it sends to a backend server.

    Attributes:
        server: name of the server that may run it; any other server rejects it.
        time_left: seconds after which the server may stop.
        account: account of the request; None on an anonymous route.
        priority: from 0 (most urgent) to 9; None for the server's default.
        last_event_id: event after which to continue; None for a complete response.
        cache_copy: KV cache of the stopped run to continue from; None for a new run.
        cache_holder: `a.b.c.d:port` of an engine from which to copy the KV cache of
            the prompt's shared prefix, if it still has it; None to process the prefix.
    """

    server: ServerName
    time_left: float
    account: ClientAccount | None
    priority: int | None
    last_event_id: int | None
    cache_copy: CacheCopy | None = None
    cache_holder: str | None = None


def make_dispatch_headers(request: CallerRequest, dispatch: Dispatch) -> Headers:
    """Return the headers of a request to a backend server."""
    removed = names.SET_BY_GATEWAY | {names.LAST_EVENT, b"content-length"}
    headers = [
        (name, value)
        for name, value in remove_hop_by_hop_headers(list(request.headers))
        if name not in removed
    ]
    headers.append((names.EXPECTED_SERVER, dispatch.server.encode()))
    time_left_ms = max(1, round(dispatch.time_left * 1000))
    headers.append((names.DEADLINE, str(time_left_ms).encode()))
    if dispatch.account is not None:
        headers.append((names.ACCOUNT, dispatch.account.encode()))
    if dispatch.priority is not None:
        headers.append((names.PRIORITY, str(dispatch.priority).encode()))
    if dispatch.last_event_id is not None:
        headers.append((names.LAST_EVENT, str(dispatch.last_event_id).encode()))
    if dispatch.cache_copy is not None:
        value = f"{dispatch.cache_copy.source}/{dispatch.cache_copy.handle}"
        headers.append((names.CACHE_COPY, value.encode()))
    if dispatch.cache_holder is not None:
        headers.append((names.CACHE_SOURCE, dispatch.cache_holder.encode()))
    if request.body or request.method in {b"POST", b"PUT", b"PATCH"}:
        headers.append((b"content-length", str(len(request.body)).encode()))
    return headers


def shorten_deadline(headers: Headers, seconds: float) -> Headers:
    """Return the headers of a request with less time left."""
    spent_ms = round(seconds * 1000)
    return [
        (name, str(max(1, int(value) - spent_ms)).encode())
        if name == names.DEADLINE
        else (name, value)
        for name, value in headers
    ]


def read_request_id(head: ResponseHead) -> str | None:
    """Return the id of the request that a response names; None if it names none."""
    value = head.find_header(names.REQUEST_ID)
    return None if value is None else value.decode("latin-1")


def has_signature(head: ResponseHead) -> bool:
    """Whether the response carries the signature header of a backend server."""
    return head.find_header(names.SIGNATURE) is not None


def is_not_executed(head: ResponseHead) -> bool:
    """Whether the response states that the server did not run the request."""
    return head.status == STATUS_MISDIRECTED or (
        head.find_header(names.NOT_EXECUTED) is not None
    )


def is_misdirected(head: ResponseHead) -> bool:
    """Whether another server, or a new process of the same one, has the address."""
    return head.status == STATUS_MISDIRECTED
