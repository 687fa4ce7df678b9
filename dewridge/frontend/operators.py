"""Routes for operators: profiles, services, dumps and metrics."""

from collections.abc import Awaitable, Callable
from functools import wraps
from typing import Annotated, Any, TypeVar

import msgspec
from quart import Response, request
from quart_trio import QuartTrio

from dewridge.codes import ResultCode
from dewridge.configuration.model import Profile, Service
from dewridge.frontend.bodies import MAX_NAME_CHARS, decode_body, parse_count
from dewridge.frontend.callers import read_body
from dewridge.frontend.model import FrontendComponents
from dewridge.frontend.problems import answer_failure, answer_json
from dewridge.ids import OperatorName, ProfileName, ServiceName
from dewridge.policy.registry import check_profile
from dewridge.sentinels import Failure

MUST_BE_NEW = 0
"""Expected revision of an object that must not exist yet."""

T = TypeVar("T", bound=msgspec.Struct)
Handler = Callable[..., Awaitable[Response]]


class MoveBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body that assigns a profile to a service."""

    profile: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS)]


class Published(msgspec.Struct, frozen=True):
    """An object and the revision of its last change."""

    revision: int
    value: Any


class Changed(msgspec.Struct, frozen=True):
    """Response to an accepted change, with the object's new revision."""

    name: str
    revision: int


class Report(msgspec.Struct, frozen=True):
    """Counters of the costs and losses of a profile."""

    profile: str
    counters: dict[str, float]


def add_operator_routes(app: QuartTrio, components: FrontendComponents) -> None:
    """Add the routes that operators use."""
    add_profile_routes(app, components)
    add_service_routes(app, components)
    add_state_routes(app, components)


def add_profile_routes(app: QuartTrio, components: FrontendComponents) -> None:
    """Add the routes for profiles."""

    @app.get("/v1/profiles")
    @_require_operator(components)
    async def list_profiles(operator: OperatorName) -> Response:
        return _answer_objects(
            components, "profile", components.configuration.current().profiles
        )

    @app.get("/v1/profiles/<name>")
    @_require_operator(components)
    async def show_profile(operator: OperatorName, name: str) -> Response:
        profiles = components.configuration.current().profiles
        if name not in profiles:
            return answer_failure(_make_unknown_profile(name))
        return _answer_object(components, f"profile/{name}", profiles[name])

    @app.put("/v1/profiles/<name>")
    @_require_operator(components)
    async def publish_profile(operator: OperatorName, name: str) -> Response:
        profile = await _read_object(Profile, name)
        if isinstance(profile, Failure):
            return answer_failure(profile)
        problems = check_profile(profile)
        if problems:
            reason = "; ".join(problems)
            return answer_failure(Failure(ResultCode.MALFORMED_PROFILE, reason))
        return await _change(
            name, components.configuration.publish_profile, profile, operator
        )

    @app.delete("/v1/profiles/<name>")
    @_require_operator(components)
    async def retire_profile(operator: OperatorName, name: str) -> Response:
        retire = components.configuration.retire_profile
        return await _change(name, retire, ProfileName(name), operator)

    @app.get("/v1/profiles/<name>/report")
    @_require_operator(components)
    async def report_profile(operator: OperatorName, name: str) -> Response:
        if name not in components.configuration.current().profiles:
            return answer_failure(_make_unknown_profile(name))
        counters = await components.usage(ProfileName(name))
        return answer_json(Report(name, dict(sorted(counters.items()))))


def add_service_routes(app: QuartTrio, components: FrontendComponents) -> None:
    """Add the routes for services."""

    @app.get("/v1/services")
    @_require_operator(components)
    async def list_services(operator: OperatorName) -> Response:
        return _answer_objects(
            components, "service", components.configuration.current().services
        )

    @app.get("/v1/services/<name>")
    @_require_operator(components)
    async def show_service(operator: OperatorName, name: str) -> Response:
        services = components.configuration.current().services
        if name not in services:
            return answer_failure(Failure(ResultCode.UNKNOWN_SERVICE, f"`{name}`"))
        return _answer_object(components, f"service/{name}", services[name])

    @app.put("/v1/services/<name>")
    @_require_operator(components)
    async def publish_service(operator: OperatorName, name: str) -> Response:
        service = await _read_object(Service, name)
        if isinstance(service, Failure):
            return answer_failure(service)
        return await _change(
            name, components.configuration.publish_service, service, operator
        )

    @app.put("/v1/services/<name>/profile")
    @_require_operator(components)
    async def move_service(operator: OperatorName, name: str) -> Response:
        body = decode_body(await read_body(), MoveBody)
        if isinstance(body, Failure):
            return answer_failure(body)
        expected = _read_precondition()
        if isinstance(expected, Failure):
            return answer_failure(expected)
        service, profile = ServiceName(name), ProfileName(body.profile)
        move = components.configuration.move_service
        return _answer_change(name, await move(service, profile, expected, operator))


def add_state_routes(app: QuartTrio, components: FrontendComponents) -> None:
    """Add the routes that show the state of this process."""

    @app.get("/v1/dump")
    @_require_operator(components)
    async def dump_state(operator: OperatorName) -> Response:
        return answer_json(await components.dumps.collect())

    @app.get("/metrics")
    @_require_operator(components)
    async def show_metrics(operator: OperatorName) -> Response:
        from dewridge.metrics.exposition import CONTENT_TYPE, format_metrics  # noqa: PLC0415

        return Response(format_metrics(components.metrics), content_type=CONTENT_TYPE)


def _require_operator(components: FrontendComponents) -> Callable[[Handler], Handler]:
    def decorate(handler: Handler) -> Handler:
        @wraps(handler)
        async def authenticate(**path_arguments: str) -> Response:
            header = request.headers.get("Authorization")
            operator = components.tokens.find_operator(header)
            if isinstance(operator, Failure):
                components.metrics.add("frontend_refused_tokens", side="operator")
                return answer_failure(operator)
            return await handler(operator, **path_arguments)

        return authenticate

    return decorate


def _make_unknown_profile(name: str) -> Failure:
    return Failure(ResultCode.UNKNOWN_PROFILE, f"`{name[:MAX_NAME_CHARS]}`")


async def _read_object(object_type: type[T], name: str) -> T | Failure:
    code = ResultCode.MALFORMED_PROFILE
    decoded = decode_body(await read_body(), object_type, code)
    if isinstance(decoded, Failure):
        return decoded
    if getattr(decoded, "name", name) != name:
        return Failure(code, "the name in the body is not the one in the path")
    return decoded


def _read_precondition() -> int | Failure:
    # Without the revision on which a change is based, the later of two operators
    # would overwrite the earlier one's change, and neither would notice.
    if_match, if_none_match = request.headers.get("If-Match"), _read_if_none_match()
    if if_match is None and if_none_match is None:
        reason = (
            "name the revision that you read (If-Match), or say that it must be new "
            "(If-None-Match: *)"
        )
        return Failure(ResultCode.PRECONDITION_REQUIRED, reason)
    if if_match is None and if_none_match == "*":
        return MUST_BE_NEW
    revision = parse_count((if_match or "").strip().strip('"') or None, "If-Match")
    if if_none_match is not None or isinstance(revision, Failure) or not revision:
        reason = 'give If-Match: "REVISION" or If-None-Match: *, and only one'
        return Failure(ResultCode.MALFORMED_REQUEST, reason)
    return revision


def _read_if_none_match() -> str | None:
    header = request.headers.get("If-None-Match")
    return None if header is None else header.strip()


async def _change(
    name: str,
    change: Callable[[Any, int | None, OperatorName], Awaitable[int | Failure]],
    subject: Any,
    operator: OperatorName,
) -> Response:
    expected = _read_precondition()
    if isinstance(expected, Failure):
        return answer_failure(expected)
    return _answer_change(name, await change(subject, expected, operator))


def _answer_change(name: str, result: int | Failure) -> Response:
    if isinstance(result, Failure):
        return answer_failure(result)
    response = answer_json(Changed(name, result))
    response.headers["ETag"] = f'"{result}"'
    return response


def _answer_object(
    components: FrontendComponents, object_name: str, value: Any
) -> Response:
    revision = components.configuration.current().versions.get(object_name, 0)
    response = answer_json(Published(revision, value))
    response.headers["ETag"] = f'"{revision}"'
    return response


def _answer_objects(
    components: FrontendComponents, object_type: str, objects: dict[str, Any]
) -> Response:
    versions = components.configuration.current().versions
    published = {
        name: Published(versions.get(f"{object_type}/{name}", 0), value)
        for name, value in sorted(objects.items())
    }
    return answer_json(published)
