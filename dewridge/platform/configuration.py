"""Decoding of the operator's configuration document from the store."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from dewridge.codes import ResultCode
from dewridge.decoding import decode_json, is_finite
from dewridge.gateway.documents.parts import DocumentParts
from dewridge.gateway.model import (
    Account,
    AccountKey,
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
MAX_VERSION = 2**63
MAX_TIMEOUT_MS = 86_400_000.0
"""A day: a longer timeout is a mistake, and protects nothing."""


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


class _Head(msgspec.Struct, frozen=True):
    version: int
    services: list[_Service] = []
    limits: _Limits = _Limits()


@dataclass(frozen=True, slots=True)
class ConfigurationHead:
    """What a document holds beside its routes and accounts."""

    version: int
    services: Mapping[ServiceName, Service]
    limits: Limits


@dataclass(frozen=True, slots=True)
class AccountEntry:
    """An account and its keys."""

    account: Account
    keys: tuple[AccountKey, ...]


def split_document(value: bytes) -> DocumentParts | Failure:
    """Split a document without decoding its parts; a `Failure` if it is malformed."""
    fields = decode_json(value, dict[str, msgspec.Raw])
    if isinstance(fields, Failure):
        return _fail(fields.reason)
    routes = _split_list(fields.pop("routes", None))
    accounts = _split_list(fields.pop("tenants", None))
    head = msgspec.json.encode(fields)
    decoded = decode_json(head, _Head)
    for part in (routes, accounts, decoded):
        if isinstance(part, Failure):
            return _fail(part.reason)
    assert isinstance(decoded, _Head)
    assert not isinstance(routes, Failure)
    assert not isinstance(accounts, Failure)
    return DocumentParts(decoded.version, head, routes or (), accounts)


def _split_list(raw: msgspec.Raw | None) -> tuple[bytes, ...] | Failure | None:
    if raw is None or bytes(raw) == b"null":
        return None
    parts = decode_json(bytes(raw), list[msgspec.Raw])
    if isinstance(parts, Failure):
        return parts
    return tuple(bytes(part) for part in parts)


def decode_head(head: bytes) -> ConfigurationHead | Failure:
    """Decode what a document holds beside its lists."""
    decoded = decode_json(head, _Head)
    if isinstance(decoded, Failure):
        return _fail(decoded.reason)
    fault = _find_head_fault(decoded)
    if fault:
        return _fail(fault)
    limits = decoded.limits
    services = map(_make_service, decoded.services)
    return ConfigurationHead(
        decoded.version,
        {service.name: service for service in services},
        Limits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
    )


def _find_head_fault(head: _Head) -> str:
    limits = head.limits
    bounds = (
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms,
        limits.idle_timeout_ms,
    )
    if not 0 < head.version < MAX_VERSION:
        return f"version {head.version} is out of range"
    if min(bounds) <= 0 or not is_finite(*bounds):
        return "a limit is out of range"
    if len({service.name for service in head.services}) < len(head.services):
        return "a service is defined twice"
    if not all(map(_has_valid_numbers, head.services)):
        return "a number of a service is out of range"
    return ""


def _has_valid_numbers(service: _Service) -> bool:
    engine, scaling = service.engine or _Engine(), service.scaling or _Scaling()
    numbers = (
        service.max_connections,
        engine.slots,
        engine.kv_capacity_tokens,
        scaling.min,
        scaling.boot_time_s,
        scaling.spot_price,
        scaling.max,
        *scaling.zone_prices.values(),
    )
    return _are_in_range(numbers) and scaling.min <= scaling.max


def _are_in_range(numbers: Sequence[float]) -> bool:
    return min(numbers) >= 0 and is_finite(*numbers)


def decode_route(raw: bytes) -> Route | Failure:
    """Decode a route; a `Failure` if it is malformed or a number is out of range."""
    route = decode_json(raw, _Route)
    if isinstance(route, Failure):
        return _fail(route.reason)
    if route.route_type not in ROUTE_KINDS:
        return _fail(f"route {route.name!r} is of an unknown type")
    numbers = (
        route.target_latency_ms,
        route.gap_target_ms,
        route.priority,
        route.max_attempts,
        *(part.weight for part in route.traffic_split),
    )
    if not 0 < route.timeout_ms <= MAX_TIMEOUT_MS or not _are_in_range(numbers):
        return _fail(f"a number of route {route.name!r} is out of range")
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        return _fail(f"the prefix of route {route.name!r} is not a path")
    return _make_route(route)


def decode_account(raw: bytes) -> AccountEntry | Failure:
    """Decode an account; a `Failure` if it is malformed or a number is out of range."""
    tenant = decode_json(raw, _Tenant)
    if isinstance(tenant, Failure):
        return _fail(tenant.reason)
    numbers = (tenant.rate_per_s, tenant.burst, tenant.plain_tokens)
    if min(numbers) < 0 or not is_finite(*numbers, tenant.priority or 0):
        return _fail(f"a number of account {tenant.name!r} is out of range")
    return _make_account(tenant)


def _fail(reason: str) -> Failure:
    return Failure(ResultCode.PLATFORM_MALFORMED, f"configuration: {reason}")


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


def _make_account(tenant: _Tenant) -> AccountEntry:
    account = Account(
        name=ClientAccount(tenant.name),
        priority=tenant.priority,
        rate=tenant.rate_per_s,
        burst=tenant.burst,
        counts_tokens=tenant.unit == TOKENS_UNIT,
        plain_tokens=tenant.plain_tokens,
    )
    return AccountEntry(account, tuple(map(AccountKey, tenant.api_keys)))
