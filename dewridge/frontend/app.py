"""The HTTP application for callers and operators."""

import traceback
from collections.abc import Awaitable, Callable

from loguru import logger as log
from quart import Response, request
from quart_trio import QuartTrio
from werkzeug.exceptions import (
    HTTPException,
    RequestEntityTooLarge,
    RequestTimeout,
)

from dewridge.codes import Outcome, ResultCode
from dewridge.frontend.callers import add_caller_routes, record_received
from dewridge.frontend.limits import StreamLimiter
from dewridge.frontend.model import ConfigurationStore, FrontendComponents, ReadUsage
from dewridge.frontend.operators import add_operator_routes
from dewridge.frontend.problems import answer_failure
from dewridge.frontend.tokens import TokenAuthenticator
from dewridge.membership.model import MembershipView
from dewridge.metrics.registry import Metrics
from dewridge.requests.model import Requests
from dewridge.sentinels import Failure
from dewridge.settings.schema import Settings
from dewridge.supervision.dumps import DumpCollector

BODYLESS_METHODS = frozenset({"GET", "HEAD", "DELETE"})


def build_app(
    *,
    settings: Settings,
    requests: Requests,
    configuration: ConfigurationStore,
    membership: MembershipView,
    usage: ReadUsage,
    dumps: DumpCollector,
    metrics: Metrics,
    is_leaving: Callable[[], bool],
) -> QuartTrio:
    """Build the application on top of the given components."""
    components = FrontendComponents(
        settings=settings,
        requests=requests,
        configuration=configuration,
        membership=membership,
        usage=usage,
        dumps=dumps,
        metrics=metrics,
        tokens=TokenAuthenticator(settings.accounts, settings.operators),
        streams=StreamLimiter(settings.frontend.account_stream_limit),
        is_leaving=is_leaving,
    )
    app = QuartTrio("dewridge")
    app.config["MAX_CONTENT_LENGTH"] = settings.frontend.body_limit
    app.config["BODY_TIMEOUT"] = settings.frontend.body_timeout
    # The wait for a complete answer is bounded by the request's deadline, so the
    # library's fixed timeout is disabled.
    app.config["RESPONSE_TIMEOUT"] = None
    app.before_request(record_bodyless_request)
    add_caller_routes(app, components)
    add_operator_routes(app, components)
    _add_error_handlers(app, metrics)
    dumps.add("frontend", _make_dump_provider(components))
    return app


async def record_bodyless_request() -> None:
    """Record that a request has been received as a whole if it has no body."""
    if request.method in BODYLESS_METHODS:
        record_received()


def _add_error_handlers(app: QuartTrio, metrics: Metrics) -> None:
    @app.errorhandler(HTTPException)
    async def answer_http_error(error: HTTPException) -> Response:
        status = error.code or 400
        if isinstance(error, RequestEntityTooLarge):
            return answer_failure(Failure(ResultCode.BODY_TOO_LARGE))
        if isinstance(error, RequestTimeout):
            reason = "the body did not arrive in time"
            failure = Failure(ResultCode.MALFORMED_REQUEST, reason)
            return answer_failure(failure, status=status)
        failure = Failure(ResultCode.MALFORMED_REQUEST, error.name)
        response = answer_failure(
            failure, status=status, outcome=Outcome.NOT_APPLICABLE
        )
        for name, value in error.get_headers():
            if name == "Allow":
                response.headers[name] = value
        return response

    @app.errorhandler(Exception)
    async def answer_internal_error(error: Exception) -> Response:
        metrics.add("frontend_faults")
        # The message may quote a caller's input, so only type and location are logged.
        frames = traceback.extract_tb(error.__traceback__)
        location = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else "?"
        log.error("HTTP handler failed: {} at {}", type(error).__name__, location)
        return answer_failure(Failure(ResultCode.INTERNAL))


def _make_dump_provider(
    components: FrontendComponents,
) -> Callable[[], Awaitable[dict[str, object]]]:
    async def describe() -> dict[str, object]:
        return {
            "streams": components.streams.describe(),
            "leaving": components.is_leaving(),
            "accounts": [account.name for account in components.settings.accounts],
        }

    return describe
