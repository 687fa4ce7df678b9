"""Bodies and parameters of requests, checked."""

import time
from typing import Annotated, TypeVar

import msgspec

from dewridge.codes import ResultCode
from dewridge.configuration.model import Service
from dewridge.frontend.keys import parse_key
from dewridge.ids import (
    ClientAccount,
    Generation,
    OperationName,
    ServiceName,
)
from dewridge.requests.model import Submission
from dewridge.sentinels import Failure
from dewridge.settings.schema import FrontendSettings

MAX_INT32 = 2**31 - 1
"""Largest number that the messages between hosts carry."""
MAX_REQUESTED_TOKENS = 1_000_000
MAX_NAME_CHARS = 128
MAX_REASON_CHARS = 300

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT32)]
T = TypeVar("T")


class RequestBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a caller sends to have work done.

    Attributes:
        key: UUIDv7 that names the request, the same in every repeat.
        submission: counts the sendings of the key from 1.
        input: text for a model, any JSON value for a plain service.
        deadline_seconds: time from now by which the whole answer is wanted.
        deadline: the same as seconds since 1970; one of both.
        stream: answer with server-sent events in place of one JSON document.
    """

    key: str
    operation: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS)]
    input: msgspec.Raw
    submission: Annotated[int, msgspec.Meta(ge=1, le=MAX_INT32)] = 1
    deadline_seconds: Annotated[float, msgspec.Meta(gt=0)] | None = None
    deadline: Annotated[float, msgspec.Meta(gt=0)] | None = None
    max_tokens: Annotated[int, msgspec.Meta(ge=0, le=MAX_REQUESTED_TOKENS)] = 0
    stream: bool = False


def decode_body(
    body: bytes, kind: type[T], code: ResultCode = ResultCode.MALFORMED_REQUEST
) -> T | Failure:
    """Decode a JSON body; a failure names the place, never the content."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(code, str(error)[:MAX_REASON_CHARS])
    except RecursionError:
        return Failure(code, "nested too deeply")


def parse_count(text: str | None, name: str) -> int | Failure:
    """Read a whole number of a query; absent is 0."""
    if not text:
        return 0
    if text.isascii() and text.isdigit() and len(text) <= 10 and int(text) <= MAX_INT32:
        return int(text)
    reason = f"`{name}` must be a whole number from 0 to {MAX_INT32}"
    return Failure(ResultCode.MALFORMED_REQUEST, reason)


def parse_position(
    generation: str | None, offset: str | None
) -> tuple[Generation, int] | Failure:
    """Read the place in an answer from which a caller wants to follow it."""
    first = parse_count(generation, "generation")
    if isinstance(first, Failure):
        return first
    second = parse_count(offset, "offset")
    if isinstance(second, Failure):
        return second
    return Generation(first), second


def make_submission(
    body: RequestBody,
    account: ClientAccount,
    name: ServiceName,
    service: Service | None,
    settings: FrontendSettings,
) -> Submission | Failure:
    """Check a decoded body and make a submission of it.

    A service that is not known here is left to the requests part to refuse:
    this host's configuration may lag, and an earlier submission of the key may
    be running elsewhere, which "not run" would deny.
    """
    key = parse_key(body.key)
    if isinstance(key, Failure):
        return key
    deadline = _find_deadline(body, settings, time.time())
    if isinstance(deadline, Failure):
        return deadline
    text = _read_input(body.input, service)
    if isinstance(text, Failure):
        return text
    return Submission(
        account=account,
        service=name,
        operation=OperationName(body.operation),
        key=key,
        number=body.submission,
        deadline=deadline,
        input=text,
        max_tokens=body.max_tokens,
    )


def _find_deadline(
    body: RequestBody, settings: FrontendSettings, now: float
) -> float | Failure:
    if body.deadline is not None and body.deadline_seconds is not None:
        reason = "give `deadline` or `deadline_seconds`, not both"
        return Failure(ResultCode.MALFORMED_REQUEST, reason)
    if body.deadline is not None:
        deadline = body.deadline
    else:
        deadline = now + (body.deadline_seconds or settings.default_deadline)
    if deadline > now + settings.deadline_limit:
        reason = f"the deadline is over {settings.deadline_limit:g} s away"
        return Failure(ResultCode.MALFORMED_REQUEST, reason)
    return deadline


def _read_input(raw: msgspec.Raw, service: Service | None) -> str | Failure:
    content = bytes(raw)
    is_text = content.lstrip()[:1] == b'"'
    if service is not None and service.kind == "plain":
        return _decode_text(content)
    if is_text:
        return decode_body(content, str)
    if service is None:
        return _decode_text(content)
    reason = "`input` must be a string: the service is a model"
    return Failure(ResultCode.MALFORMED_REQUEST, reason)


def _decode_text(content: bytes) -> str | Failure:
    try:
        return content.decode()
    except UnicodeDecodeError as error:
        reason = f"`input` is not UTF-8 at byte {error.start}"
        return Failure(ResultCode.MALFORMED_REQUEST, reason)
