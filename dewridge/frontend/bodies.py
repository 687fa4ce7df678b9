"""Decoding and validation of request bodies and parameters."""

import time
from typing import Annotated, TypeVar

import msgspec

from dewridge.codes import ResultCode
from dewridge.configuration.model import Service
from dewridge.decoding import decode_json
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
"""Largest integer that messages between hosts can carry."""
MAX_REQUESTED_TOKENS = 1_000_000
MAX_NAME_CHARS = 128

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT32)]
T = TypeVar("T")


class RequestBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body with which a caller submits a request.

    Attributes:
        key: UUIDv7 that identifies the request, the same in every retry.
        submission: number of this submission of the key, starting at 1.
        input: text for a model, any JSON value for a plain service.
        deadline_seconds: time from now by which the complete answer is needed.
        deadline: the same as seconds since 1970; excludes `deadline_seconds`.
        stream: answer with server-sent events instead of one JSON document.
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
    body: bytes, body_type: type[T], code: ResultCode = ResultCode.MALFORMED_REQUEST
) -> T | Failure:
    """Decode a JSON body; a failure names the location, never the content."""
    return decode_json(body, body_type, code)


def parse_count(text: str | None, name: str) -> int | Failure:
    """Parse a non-negative integer of a query; 0 if it is absent."""
    if not text:
        return 0
    if text.isascii() and text.isdigit() and len(text) <= 10 and int(text) <= MAX_INT32:
        return int(text)
    reason = f"`{name}` must be a whole number from 0 to {MAX_INT32}"
    return Failure(ResultCode.MALFORMED_REQUEST, reason)


def parse_position(
    generation: str | None, offset: str | None
) -> tuple[Generation, int] | Failure:
    """Parse the position in an answer from which a caller follows it."""
    parsed_generation = parse_count(generation, "generation")
    if isinstance(parsed_generation, Failure):
        return parsed_generation
    parsed_offset = parse_count(offset, "offset")
    if isinstance(parsed_offset, Failure):
        return parsed_offset
    return Generation(parsed_generation), parsed_offset


def make_submission(
    body: RequestBody,
    account: ClientAccount,
    name: ServiceName,
    service: Service | None,
    settings: FrontendSettings,
) -> Submission | Failure:
    """Validate a decoded body and convert it to a submission.

    An unknown service is not rejected here but by the `Requests` component: this
    host's configuration may be stale, and an earlier submission of the key may be
    running on another host, so "not run" could be wrong.
    """
    key = parse_key(body.key)
    if isinstance(key, Failure):
        return key
    deadline = _compute_deadline(body, settings, time.time())
    if isinstance(deadline, Failure):
        return deadline
    text = _decode_input(body.input, service)
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


def _compute_deadline(
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


def _decode_input(raw: msgspec.Raw, service: Service | None) -> str | Failure:
    content = bytes(raw)
    is_string = content.lstrip()[:1] == b'"'
    if service is not None and service.kind == "plain":
        return _decode_text(content)
    if is_string:
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
