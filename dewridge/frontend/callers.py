"""Routes for callers: the entry list, requests and their answers."""

import time
from typing import Any

import msgspec
import trio
from quart import Response, request
from quart_trio import QuartTrio

from dewridge.codes import Outcome, ResultCode
from dewridge.frontend.bodies import (
    RequestBody,
    decode_body,
    make_submission,
    parse_position,
)
from dewridge.frontend.entry import make_entry_list
from dewridge.frontend.events import make_end_frame
from dewridge.frontend.keys import parse_key
from dewridge.frontend.model import FrontendComponents
from dewridge.frontend.problems import answer_failure, answer_json
from dewridge.frontend.streams import (
    EVENT_STREAM,
    Follower,
    Position,
    answer_complete,
    answer_stream,
)
from dewridge.ids import ClientAccount, RequestKey, ServiceName
from dewridge.requests.model import Accepted, RequestStatus, Submission
from dewridge.sentinels import Failure

DEADLINE_GRACE = 5.0
"""Seconds past the deadline that a whole answer is waited for, so that the final
word on a missed deadline still arrives on the same connection."""

SUBMIT_TIMEOUT = 30.0
"""Seconds for accepting a submission; the steps in it have shorter timeouts."""
RETRY_AFTER = 1.0


def add_caller_routes(app: QuartTrio, parts: FrontendComponents) -> None:
    """Add the routes that client accounts use."""

    @app.get("/v1/entry-hosts")
    async def list_entry_hosts() -> Response:
        account = find_account(parts)
        if isinstance(account, Failure):
            return answer_failure(account)
        frontend = parts.settings.frontend
        entries = make_entry_list(
            parts.membership,
            account,
            request.remote_addr or "",
            size=frontend.entry_list_size,
            ttl=frontend.entry_list_seconds,
            is_leaving=parts.is_leaving(),
        )
        return answer_json(entries)

    @app.post("/v1/services/<service>/requests")
    async def submit_request(service: str) -> Response:
        received = await _receive_submission(parts, ServiceName(service))
        if isinstance(received, Failure):
            return answer_failure(received)
        submission, wants_stream = received
        account = submission.account
        full = parts.streams.check(account)
        if full is not None:
            # An earlier submission of the key may be running elsewhere, which
            # was not asked: "not run" would be a guess.
            return answer_failure(full, outcome=Outcome.UNKNOWN)
        accepted = await _submit(parts, submission)
        if isinstance(accepted, Failure):
            return answer_failure(accepted)
        follower = Follower(parts, account, submission.key, accepted=accepted)
        if wants_stream:
            return answer_stream(parts, follower)
        timeout = submission.deadline - time.time() + DEADLINE_GRACE
        return await answer_complete(parts, follower, max(DEADLINE_GRACE, timeout))

    @app.get("/v1/requests/<key>")
    async def follow_request(key: str) -> Response:
        found = _find_request(parts, key)
        place = parse_position(
            request.args.get("generation"), request.args.get("offset")
        )
        if isinstance(found, Failure):
            return answer_failure(found)
        if isinstance(place, Failure):
            return answer_failure(place)
        return await _answer_request(parts, *found, place)

    @app.delete("/v1/requests/<key>")
    async def cancel_request(key: str) -> Response:
        found = _find_request(parts, key)
        if isinstance(found, Failure):
            return answer_failure(found)
        status = await parts.requests.cancel(*found)
        if isinstance(status, Failure):
            return answer_failure(status)
        return answer_status(found[1], status)


def find_account(parts: FrontendComponents) -> ClientAccount | Failure:
    """Return the account whose token the request carries."""
    account = parts.tokens.find_account(request.headers.get("Authorization"))
    if isinstance(account, Failure):
        parts.metrics.add("frontend_refused_tokens", side="account")
    return account


async def read_body() -> bytes:
    """Return the whole body, within the limits on size and time."""
    body: Any = await request.get_data()
    return bytes(body)


async def _receive_submission(
    parts: FrontendComponents, name: ServiceName
) -> tuple[Submission, bool] | Failure:
    account = find_account(parts)
    if isinstance(account, Failure):
        return account
    body = decode_body(await read_body(), RequestBody)
    if isinstance(body, Failure):
        return body
    service = parts.configuration.current().services.get(name)
    frontend = parts.settings.frontend
    submission = make_submission(body, account, name, service, frontend)
    return submission if isinstance(submission, Failure) else (submission, body.stream)


async def _answer_request(
    parts: FrontendComponents,
    account: ClientAccount,
    key: RequestKey,
    place: Position,
) -> Response:
    status = await parts.requests.look_up(account, key)
    if isinstance(status, Failure):
        return answer_failure(status)
    if not _wants_stream() and status.ended is None:
        return answer_status(key, status)
    full = parts.streams.check(account)
    if full is not None:
        return answer_failure(full, outcome=Outcome.UNKNOWN)
    if _wants_stream():
        follower = Follower(parts, account, key, place)
        return answer_stream(parts, follower)
    return await answer_complete(parts, Follower(parts, account, key), DEADLINE_GRACE)


async def _submit(
    parts: FrontendComponents, submission: Submission
) -> Accepted | Failure:
    started = trio.current_time()
    # The server cancels this handler when the caller drops its connection.
    # Halfway through acceptance that could leave copies that nobody owns, so
    # acceptance may end; the limit keeps a hung one from holding up a shutdown.
    accepted: Accepted | Failure = Failure(
        ResultCode.OUTCOME_UNKNOWN, "acceptance took too long", RETRY_AFTER
    )
    scope = trio.CancelScope(shield=True, deadline=started + SUBMIT_TIMEOUT)
    with parts.streams.track_stream(submission.account), scope:
        accepted = await parts.requests.submit(submission)
    parts.metrics.observe("frontend_submit_seconds", trio.current_time() - started)
    code = accepted.code if isinstance(accepted, Failure) else 1
    parts.metrics.add("frontend_submissions", code=str(int(code)))
    return accepted


def _find_request(
    parts: FrontendComponents, key: str
) -> tuple[ClientAccount, RequestKey] | Failure:
    account = find_account(parts)
    if isinstance(account, Failure):
        return account
    parsed = parse_key(key)
    return parsed if isinstance(parsed, Failure) else (account, parsed)


def _wants_stream() -> bool:
    named = request.args.get("stream")
    if named is not None:
        return named.lower() in ("1", "true")
    return EVENT_STREAM in request.headers.get("Accept", "")


class StatusDocument(msgspec.Struct, frozen=True):
    """How far a request has come."""

    key: str
    state: str
    generation: int
    tokens: int
    end: Any = None


def answer_status(key: RequestKey, status: RequestStatus) -> Response:
    """Answer with how far a request has come."""
    content = StatusDocument(
        key=key,
        state=status.state.value,
        generation=status.generation,
        tokens=status.tokens,
        end=make_end_frame(status.ended) if status.ended else None,
    )
    return answer_json(content, 200 if status.ended else 202)
