"""Specifications of two example deployments: pools, services and profiles."""

from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True)
class ServerPoolSpec:
    """Backend servers of one service, spread over the failure domains.

    Attributes:
        service: name of the service.
        is_model: whether the servers are model engines rather than plain services.
        prices: price per hour, one for each failure domain.
        counts: number of servers, one for each failure domain.
    """

    service: str
    is_model: bool
    machine_class: str
    prices: tuple[float, ...]
    counts: tuple[int, ...]


@dataclass(frozen=True)
class DeploymentSpec:
    """Specification of a deployment: region, services, servers and profiles.

    Attributes:
        accounts: names of the client accounts, the largest account first.
    """

    name: str
    region: str
    failure_domains: tuple[str, ...]
    accounts: tuple[str, ...]
    server_pools: tuple[ServerPoolSpec, ...]
    profiles: tuple[dict[str, Any], ...]
    services: tuple[dict[str, Any], ...] = field(default=())


def _make_profile(name: str, placement: str, **changes: Any) -> dict[str, Any]:
    return {
        "name": name,
        "placement": {"name": placement},
        "admission": {"name": "fair"},
        "recovery": {"name": "resume"},
        **changes,
    }


def _make_operation(
    name: str, work_class: str, tokens: int = 1, idempotent: bool = True
) -> dict[str, Any]:
    return {
        "name": name,
        "work_class": work_class,
        "idempotent": idempotent,
        "expected_tokens": tokens,
    }


SELLO_VERDE = DeploymentSpec(
    name="sello-verde",
    region="gt-central",
    failure_domains=("zona-a", "zona-b", "mixco", "villa-nueva"),
    accounts=("matadero", "aduana", "importador", "cooperativa", "oficina"),
    server_pools=(
        ServerPoolSpec(
            "findings", True, "gpu-standard", (2.0, 2.4, 1.8, 2.2), (3, 2, 2, 2)
        ),
        ServerPoolSpec(
            "registry", False, "cpu-small", (0.2, 0.2, 0.2, 0.2), (1, 1, 1, 1)
        ),
    ),
    profiles=(
        _make_profile("prompt-answers", "cost_aware"),
        _make_profile("cheap-drafts", "cost_aware"),
    ),
    services=(
        {
            "name": "findings",
            "kind": "model",
            "profile": "cheap-drafts",
            "operations": [_make_operation("draft_finding", "background", 200)],
        },
        {
            "name": "registry",
            "kind": "plain",
            "profile": "prompt-answers",
            "operations": [
                _make_operation("check_status", "interactive"),
                _make_operation("issue_letter", "interactive", idempotent=False),
            ],
        },
    ),
)

KAROO = DeploymentSpec(
    name="karoo",
    region="gauteng",
    failure_domains=("midrand-a", "midrand-b", "isando-1", "isando-2"),
    accounts=(
        "vaal-testers",
        "highveld-flow",
        "umgeni-valves",
        "inspectorate",
        "portal",
    ),
    server_pools=(
        ServerPoolSpec(
            "drafting", True, "gpu-standard", (1.6, 1.9, 2.1, 1.7), (3, 2, 2, 2)
        ),
        ServerPoolSpec(
            "portal", False, "cpu-small", (0.2, 0.2, 0.2, 0.2), (1, 1, 1, 1)
        ),
    ),
    profiles=(
        _make_profile("at-the-valve", "cost_aware"),
        _make_profile("keep-tokens", "cost_aware"),
    ),
    services=(
        {
            "name": "drafting",
            "kind": "model",
            "profile": "keep-tokens",
            "operations": [
                _make_operation(
                    "draft_certificate", "background", 400, idempotent=False
                ),
                _make_operation("answer_question", "interactive", 60),
                _make_operation("summarize_anomalies", "background", 120),
            ],
        },
        {
            "name": "portal",
            "kind": "plain",
            "profile": "at-the-valve",
            "operations": [
                _make_operation("lookup_tester", "interactive"),
                _make_operation("file_certificate", "interactive", idempotent=False),
            ],
        },
    ),
)

DEPLOYMENT_SPECS = {spec.name: spec for spec in (SELLO_VERDE, KAROO)}
