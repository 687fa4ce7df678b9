"""Conversion of failures to problem details (RFC 9457)."""

import math
from typing import Any

import msgspec
from quart import Response

from dewridge.codes import CODE_TABLE, Outcome, ResultCode
from dewridge.sentinels import Failure

PROBLEM_TYPE = "application/problem+json"
JSON_TYPE = "application/json"


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """The body of an error response.

    Attributes:
        type: URN of the result code.
        code: number of the result code.
        outcome: what is known about whether the request ran.
        advice: what the caller should do.
        retry_after: seconds after which a retry makes sense.
    """

    type: str
    title: str
    status: int
    code: int
    outcome: str
    advice: str = ""
    detail: str = ""
    retry_after: float | None = None


def make_problem(
    failure: Failure, *, status: int | None = None, outcome: Outcome | None = None
) -> Problem:
    """Describe a failure; status and outcome default to those of its result code."""
    entry = CODE_TABLE[failure.code]
    return Problem(
        type=f"urn:dewridge:code:{int(failure.code)}",
        title=entry.title,
        status=status or entry.http_status,
        code=int(failure.code),
        outcome=(outcome or entry.outcome).value,
        advice=entry.advice,
        detail=failure.reason,
        retry_after=failure.retry_after,
    )


def answer_failure(
    failure: Failure, *, status: int | None = None, outcome: Outcome | None = None
) -> Response:
    """Return the HTTP response for a failure."""
    problem = make_problem(failure, status=status, outcome=outcome)
    response = answer_json(problem, problem.status)
    response.content_type = PROBLEM_TYPE
    if problem.retry_after is not None:
        response.headers["Retry-After"] = str(max(0, math.ceil(problem.retry_after)))
    if failure.code is ResultCode.UNAUTHENTICATED:
        response.headers["WWW-Authenticate"] = "Bearer"
    return response


def answer_json(content: Any, status: int = 200) -> Response:
    """Return an HTTP response with JSON content."""
    return Response(msgspec.json.encode(content), status, content_type=JSON_TYPE)
