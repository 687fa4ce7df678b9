"""Decoding of the operator's configuration document from the store."""

from collections import defaultdict

import msgspec

from dewridge.codes import ResultCode
from dewridge.gateway.model import (
    Account,
    AccountKey,
    Configuration,
    Engine,
    Limits,
    Route,
    RouteKind,
    RouteName,
    Scaling,
    Service,
    Share,
)
from dewridge.ids import ClientAccount, FailureDomain, ServiceName
from dewridge.sentinels import Failure

ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
TOKENS_UNIT = "tokens"


class _TrafficShare(msgspec.Struct, frozen=True):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, frozen=True):
    name: str
    hostname: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    gap_target_ms: float = 0.0
    max_attempts: int = 1
    priority: int = 0
    service: str = ""
    traffic_split: list[_TrafficShare] = []
    anonymous: bool = False
    session_affinity: bool = False
    stream_resume: bool = False


class _Engine(msgspec.Struct, frozen=True):
    slots: int = 1
    kv_capacity_tokens: int = 0
    backups: bool = False
    moves: bool = False


class _Scaling(msgspec.Struct, frozen=True):
    min: int = 0
    max: int = 1
    boot_time_s: float = 0.0
    spot_price: float = 1.0
    zone_prices: dict[str, float] = {}


class _Service(msgspec.Struct, frozen=True):
    name: str
    max_connections: int = 100
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Tenant(msgspec.Struct, frozen=True):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    unit: str = ""
    plain_tokens: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Document(msgspec.Struct, frozen=True):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] | None = None
    limits: _Limits = _Limits()


def decode_configuration(value: bytes) -> Configuration | Failure:
    """Decode and convert the document; a `Failure` if it is malformed."""
    try:
        document = msgspec.json.decode(value, type=_Document)
        routes = tuple(_make_route(route) for route in document.routes)
    except (msgspec.DecodeError, KeyError) as error:
        return Failure(ResultCode.PLATFORM_MALFORMED, f"configuration: {error}")
    limits = document.limits
    return Configuration(
        version=document.version,
        routes=routes,
        services={
            ServiceName(service.name): _make_service(service)
            for service in document.services
        },
        accounts=_make_accounts(document.tenants or []),
        limits=Limits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
        has_accounts=document.tenants is not None,
        by_hostname=_group_routes(routes),
    )


def _make_route(route: _Route) -> Route:
    if route.traffic_split:
        shares = tuple(
            Share(ServiceName(part.service), part.weight)
            for part in route.traffic_split
        )
    else:
        shares = (Share(ServiceName(route.service), 1.0),)
    return Route(
        name=RouteName(route.name),
        hostname=route.hostname.lower(),
        path_prefix=route.path_prefix,
        kind=ROUTE_KINDS[route.route_type],
        timeout=route.timeout_ms / 1000,
        latency_target=route.target_latency_ms / 1000,
        gap_target=route.gap_target_ms / 1000,
        attempts_limit=max(1, route.max_attempts),
        priority=route.priority,
        shares=shares,
        is_anonymous=route.anonymous,
        has_prefixes=route.session_affinity,
        is_resumable=route.stream_resume,
    )


def _make_service(service: _Service) -> Service:
    engine = scaling = None
    if service.engine is not None:
        engine = Engine(
            service.engine.slots,
            service.engine.kv_capacity_tokens,
            service.engine.backups,
            service.engine.moves,
        )
    if service.scaling is not None:
        scaling = _make_scaling(service.scaling)
    name = ServiceName(service.name)
    return Service(name, service.max_connections, engine, scaling)


def _make_scaling(scaling: _Scaling) -> Scaling:
    return Scaling(
        min_servers=scaling.min,
        max_servers=scaling.max,
        boot_time=scaling.boot_time_s,
        reclaimable_price=scaling.spot_price,
        prices={
            FailureDomain(zone): price for zone, price in scaling.zone_prices.items()
        },
    )


def _make_accounts(tenants: list[_Tenant]) -> dict[AccountKey, Account]:
    accounts = {}
    for tenant in tenants:
        account = Account(
            name=ClientAccount(tenant.name),
            priority=tenant.priority,
            rate=tenant.rate_per_s,
            burst=tenant.burst,
            counts_tokens=tenant.unit == TOKENS_UNIT,
            plain_tokens=tenant.plain_tokens,
        )
        for key in tenant.api_keys:
            accounts[AccountKey(key)] = account
    return accounts


def _group_routes(routes: tuple[Route, ...]) -> dict[str, tuple[Route, ...]]:
    grouped: dict[str, list[Route]] = defaultdict(list)
    for route in routes:
        grouped[route.hostname].append(route)
    return {
        hostname: tuple(sorted(group, key=lambda route: -len(route.path_prefix)))
        for hostname, group in grouped.items()
    }
