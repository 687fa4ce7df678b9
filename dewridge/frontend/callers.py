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
from dewridge.frontend.connections import TimedStream
from dewridge.frontend.entry import make_entry_list
from dewridge.frontend.events import make_end_frame
from dewridge.frontend.keys import parse_key
from dewridge.frontend.model import CONNECTION_KEY, FrontendComponents
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
"""Seconds past the deadline for which a complete answer is awaited, so that the
report of a missed deadline still arrives on the same connection."""

SUBMIT_TIMEOUT = 30.0
"""Seconds for accepting a submission; its individual steps have shorter timeouts."""
RETRY_AFTER = 1.0
"""Seconds after which a caller may retry a submission whose acceptance timed out."""


def add_caller_routes(app: QuartTrio, components: FrontendComponents) -> None:
    """Add the routes that client accounts use."""

    @app.get("/v1/entry-hosts")
    async def list_entry_hosts() -> Response:
        account = find_account(components)
        if isinstance(account, Failure):
            return answer_failure(account)
        frontend = components.settings.frontend
        entries = make_entry_list(
            components.membership,
            account,
            request.remote_addr or "",
            size=frontend.entry_list_size,
            ttl=frontend.entry_list_seconds,
            is_leaving=components.is_leaving(),
        )
        return answer_json(entries)

    @app.post("/v1/services/<service>/requests")
    async def submit_request(service: str) -> Response:
        received = await _receive_submission(components, ServiceName(service))
        if isinstance(received, Failure):
            return answer_failure(received)
        submission, wants_stream = received
        account = submission.account
        over_limit = components.streams.check(account)
        if over_limit is not None:
            # An earlier submission of the key may be running on a host that was
            # not queried, so "not run" could be wrong.
            return answer_failure(over_limit, outcome=Outcome.UNKNOWN)
        accepted = await _submit(components, submission)
        if isinstance(accepted, Failure):
            return answer_failure(accepted)
        follower = Follower(components, account, submission.key, accepted=accepted)
        if wants_stream:
            return answer_stream(components, follower)
        timeout = submission.deadline - time.time() + DEADLINE_GRACE
        return await answer_complete(components, follower, max(DEADLINE_GRACE, timeout))

    @app.get("/v1/requests/<key>")
    async def follow_request(key: str) -> Response:
        account_and_key = _identify_request(components, key)
        position = parse_position(
            request.args.get("generation"), request.args.get("offset")
        )
        if isinstance(account_and_key, Failure):
            return answer_failure(account_and_key)
        if isinstance(position, Failure):
            return answer_failure(position)
        return await _answer_request(components, *account_and_key, position)

    @app.delete("/v1/requests/<key>")
    async def cancel_request(key: str) -> Response:
        account_and_key = _identify_request(components, key)
        if isinstance(account_and_key, Failure):
            return answer_failure(account_and_key)
        status = await components.requests.cancel(*account_and_key)
        if isinstance(status, Failure):
            return answer_failure(status)
        return answer_status(account_and_key[1], status)


def find_account(components: FrontendComponents) -> ClientAccount | Failure:
    """Return the client account that the request's token identifies."""
    account = components.tokens.find_account(request.headers.get("Authorization"))
    if isinstance(account, Failure):
        components.metrics.add("frontend_refused_tokens", side="account")
    return account


async def read_body() -> bytes:
    """Return the complete body, within the limits on size and time."""
    body: Any = await request.get_data()
    record_received()
    request.body.clear()
    return bytes(body)


def record_received() -> None:
    """Record that the request has been received, and is not closed for others."""
    connection = request.scope.get("state", {}).get(CONNECTION_KEY)
    if isinstance(connection, TimedStream):
        connection.begin_request()


async def _receive_submission(
    components: FrontendComponents, name: ServiceName
) -> tuple[Submission, bool] | Failure:
    account = find_account(components)
    if isinstance(account, Failure):
        return account
    body = decode_body(await read_body(), RequestBody)
    if isinstance(body, Failure):
        return body
    service = components.configuration.current().services.get(name)
    frontend = components.settings.frontend
    submission = make_submission(body, account, name, service, frontend)
    return submission if isinstance(submission, Failure) else (submission, body.stream)


async def _answer_request(
    components: FrontendComponents,
    account: ClientAccount,
    key: RequestKey,
    position: Position,
) -> Response:
    status = await components.requests.look_up(account, key)
    if isinstance(status, Failure):
        return answer_failure(status)
    if not _wants_stream() and status.ended is None:
        return answer_status(key, status)
    over_limit = components.streams.check(account)
    if over_limit is not None:
        return answer_failure(over_limit, outcome=Outcome.UNKNOWN)
    if _wants_stream():
        follower = Follower(components, account, key, position)
        return answer_stream(components, follower)
    return await answer_complete(
        components, Follower(components, account, key), DEADLINE_GRACE
    )


async def _submit(
    components: FrontendComponents, submission: Submission
) -> Accepted | Failure:
    started = trio.current_time()
    # The server cancels this handler when the caller drops its connection. That
    # could leave replicas without an owner, so acceptance is shielded and runs to
    # its end; the timeout keeps a hung one from delaying a shutdown.
    accepted: Accepted | Failure = Failure(
        ResultCode.OUTCOME_UNKNOWN, "acceptance took too long", RETRY_AFTER
    )
    scope = trio.CancelScope(shield=True, deadline=started + SUBMIT_TIMEOUT)
    with components.streams.track_stream(submission.account), scope:
        accepted = await components.requests.submit(submission)
    components.metrics.observe("frontend_submit_seconds", trio.current_time() - started)
    code = accepted.code if isinstance(accepted, Failure) else 1
    components.metrics.add("frontend_submissions", code=str(int(code)))
    return accepted


def _identify_request(
    components: FrontendComponents, key: str
) -> tuple[ClientAccount, RequestKey] | Failure:
    account = find_account(components)
    if isinstance(account, Failure):
        return account
    parsed = parse_key(key)
    return parsed if isinstance(parsed, Failure) else (account, parsed)


def _wants_stream() -> bool:
    value = request.args.get("stream")
    if value is not None:
        return value.lower() in ("1", "true")
    return EVENT_STREAM in request.headers.get("Accept", "")


class StatusDocument(msgspec.Struct, frozen=True):
    """Progress of a request."""

    key: str
    state: str
    generation: int
    tokens: int
    end: Any = None


def answer_status(key: RequestKey, status: RequestStatus) -> Response:
    """Answer with the status document of a request."""
    content = StatusDocument(
        key=key,
        state=status.state.value,
        generation=status.generation,
        tokens=status.tokens,
        end=make_end_frame(status.ended) if status.ended else None,
    )
    return answer_json(content, 200 if status.ended else 202)
