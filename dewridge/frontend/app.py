"""The HTTP application towards callers and operators."""

import traceback
from collections.abc import Awaitable, Callable

from loguru import logger as log
from quart import Response
from quart_trio import QuartTrio
from werkzeug.exceptions import (
    HTTPException,
    RequestEntityTooLarge,
    RequestTimeout,
)

from dewridge.codes import Outcome, ResultCode
from dewridge.frontend.callers import add_caller_routes
from dewridge.frontend.limits import StreamLimits
from dewridge.frontend.model import ConfigurationStore, FrontendParts, ReadUsage
from dewridge.frontend.operators import add_operator_routes
from dewridge.frontend.problems import answer_failure
from dewridge.frontend.tokens import TokenBook
from dewridge.membership.model import MembershipView
from dewridge.metrics.registry import Metrics
from dewridge.requests.model import Requests
from dewridge.sentinels import Failure
from dewridge.settings.schema import Settings
from dewridge.supervision.dumps import DumpCollector


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
    """Build the application; the parts given do the work."""
    parts = FrontendParts(
        settings=settings,
        requests=requests,
        configuration=configuration,
        membership=membership,
        usage=usage,
        dumps=dumps,
        metrics=metrics,
        tokens=TokenBook(settings.accounts, settings.operators),
        streams=StreamLimits(settings.frontend.account_stream_limit),
        is_leaving=is_leaving,
    )
    app = QuartTrio("dewridge")
    app.config["MAX_CONTENT_LENGTH"] = settings.frontend.body_limit
    app.config["BODY_TIMEOUT"] = settings.frontend.body_timeout
    # Waiting for a whole answer ends by the request's deadline, not by a fixed
    # time of the library.
    app.config["RESPONSE_TIMEOUT"] = None
    add_caller_routes(app, parts)
    add_operator_routes(app, parts)
    _add_error_answers(app, metrics)
    dumps.add("frontend", _make_describe(parts))
    return app


def _add_error_answers(app: QuartTrio, metrics: Metrics) -> None:
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
        answer = answer_failure(failure, status=status, outcome=Outcome.NOT_APPLICABLE)
        for name, value in error.get_headers():
            if name == "Allow":
                answer.headers[name] = value
        return answer

    @app.errorhandler(Exception)
    async def answer_fault(error: Exception) -> Response:
        metrics.add("frontend_faults")
        # The message may quote a caller's input; place and type do not.
        frames = traceback.extract_tb(error.__traceback__)
        place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else "?"
        log.error("a handler failed: {} at {}", type(error).__name__, place)
        return answer_failure(Failure(ResultCode.INTERNAL))


def _make_describe(parts: FrontendParts) -> Callable[[], Awaitable[dict[str, object]]]:
    async def describe() -> dict[str, object]:
        return {
            "streams": parts.streams.describe(),
            "leaving": parts.is_leaving(),
            "accounts": [account.name for account in parts.settings.accounts],
        }

    return describe
