"""Policies that operators choose by name, their parameters and their validation."""

from collections.abc import Sequence
from dataclasses import dataclass
from difflib import get_close_matches
from enum import Enum

from dewridge.configuration.model import PolicyChoice, Profile


class PolicyKind(Enum):
    """What a policy decides."""

    PLACEMENT = "placement"
    ADMISSION = "admission"
    RECOVERY = "recovery"


@dataclass(frozen=True, slots=True)
class Parameter:
    """A number that tunes a policy.

    Attributes:
        description: one line for the operators' guide.
        low: lowest value allowed.
        high: highest value allowed.
    """

    name: str
    description: str
    default: float
    low: float
    high: float
    unit: str = ""


@dataclass(frozen=True, slots=True)
class PolicySpec:
    """A policy as operators see it.

    Attributes:
        is_baseline: whether it is a simple policy for comparisons, not for production.
    """

    kind: PolicyKind
    name: str
    description: str
    parameters: tuple[Parameter, ...] = ()
    is_baseline: bool = False


_SUBSET = Parameter(
    "subset_size",
    "Backend servers that one entry host sends work to, about.",
    12,
    1,
    256,
)
_RESERVE = Parameter(
    "interactive_reserve",
    "Most of the credits that background work leaves free for interactive work.",
    0.5,
    0.0,
    0.8,
)
_IN_FLIGHT = Parameter(
    "in_flight_limit",
    "Requests in flight to one server; 0 sets no limit.",
    0,
    0,
    10_000,
)

_SPECS = (
    PolicySpec(
        PolicyKind.PLACEMENT,
        "cost_aware",
        "The cheapest server that is expected to meet the latency target.",
        (
            _SUBSET,
            _RESERVE,
            Parameter(
                "latency_share",
                "Part of the latency target that a prediction may use.",
                0.6,
                0.1,
                1.0,
            ),
            Parameter(
                "affinity_load",
                "Multiple of the mean load up to which a prefix keeps its server.",
                1.25,
                1.0,
                4.0,
            ),
            Parameter(
                "reclaim_risk",
                "Chance that a server is reclaimed in a minute in a failure domain "
                "under notice, as a weight on the work that would be lost.",
                1.0,
                0.0,
                10.0,
            ),
        ),
    ),
    PolicySpec(
        PolicyKind.PLACEMENT,
        "balanced",
        "Of a few servers drawn at random, the one expected to be done first.",
        (
            _SUBSET,
            _RESERVE,
            Parameter("choices", "Servers drawn for a decision.", 2, 1, 16),
        ),
    ),
    PolicySpec(
        PolicyKind.PLACEMENT,
        "random",
        "Any server of the whole fleet.",
        (_IN_FLIGHT,),
        is_baseline=True,
    ),
    PolicySpec(
        PolicyKind.PLACEMENT,
        "round_robin",
        "Each server of the whole fleet in its turn.",
        (_IN_FLIGHT,),
        is_baseline=True,
    ),
    PolicySpec(
        PolicyKind.PLACEMENT,
        "least_loaded",
        "The server with the least load by its last, stale report.",
        (_IN_FLIGHT,),
        is_baseline=True,
    ),
    PolicySpec(
        PolicyKind.ADMISSION,
        "fair",
        "Fair shares by account, deadlines that can be met, bounded work.",
        (
            Parameter(
                "queue_seconds",
                "Work that may wait, as seconds of the service's present pace.",
                20.0,
                0.5,
                3600.0,
                "s",
            ),
            Parameter(
                "background_share",
                "Part of the work that background keeps while interactive waits.",
                0.1,
                0.01,
                0.9,
            ),
            Parameter(
                "deadline_margin",
                "Multiple of the expected time that must fit before the deadline.",
                1.5,
                0.5,
                10.0,
            ),
            Parameter(
                "retry_spread",
                "Longest random part added to the time when to come back.",
                2.0,
                0.0,
                600.0,
                "s",
            ),
        ),
    ),
    PolicySpec(
        PolicyKind.ADMISSION,
        "fifo",
        "Takes everything, in the order of arrival, without a bound.",
        (
            Parameter(
                "drops_expired",
                "1 gives up what can't meet its deadline; 0 runs it all the same.",
                1,
                0,
                1,
            ),
        ),
        is_baseline=True,
    ),
    PolicySpec(
        PolicyKind.RECOVERY,
        "resume",
        "Goes on elsewhere from the tokens kept, within a budget of retries.",
        (
            Parameter(
                "retry_share",
                "Retries allowed for each request that is sent a first time.",
                0.1,
                0.0,
                1.0,
            ),
            Parameter("attempts", "Attempts that a request may lose.", 6, 1, 100),
            Parameter("backoff", "First pause before a retry.", 0.05, 0.001, 60.0, "s"),
            Parameter("backoff_limit", "Longest pause.", 5.0, 0.01, 600.0, "s"),
            Parameter(
                "export_tokens",
                "Context from which the KV cache is exported, not computed again.",
                512,
                0,
                10_000_000,
                "tokens",
            ),
            Parameter(
                "move_margin",
                "Time before a server goes by which its work is moved.",
                1.0,
                0.0,
                60.0,
                "s",
            ),
        ),
    ),
    PolicySpec(
        PolicyKind.RECOVERY,
        "restart",
        "Starts again from the first token, at once, as often as it takes.",
        is_baseline=True,
    ),
)

DEFAULT_NAMES = {
    PolicyKind.PLACEMENT: "cost_aware",
    PolicyKind.ADMISSION: "fair",
    PolicyKind.RECOVERY: "resume",
}
"""Policies used instead of a name that this release does not know. A newer release may
have published it; a host that stopped serving because of it would turn a rolling
upgrade into an outage."""


def list_policies() -> Sequence[PolicySpec]:
    """Return all policies, for the documentation and the command line."""
    return _SPECS


def find_policy(kind: PolicyKind, name: str) -> PolicySpec | None:
    """Return a policy by its name, or None if there is none."""
    for spec in _SPECS:
        if spec.kind is kind and spec.name == name:
            return spec
    return None


def resolve_policy(
    kind: PolicyKind, choice: PolicyChoice
) -> tuple[PolicySpec, dict[str, float]]:
    """Return the policy to run and all its parameters, clamped to their bounds."""
    spec = find_policy(kind, choice.name) or find_policy(kind, DEFAULT_NAMES[kind])
    assert spec is not None
    values = {}
    for parameter in spec.parameters:
        value = float(choice.parameters.get(parameter.name, parameter.default))
        values[parameter.name] = min(parameter.high, max(parameter.low, value))
    return spec, values


def check_profile(profile: Profile) -> list[str]:
    """Return all problems of a profile, each with its path; empty if it is valid."""
    problems = []
    for kind in PolicyKind:
        choice: PolicyChoice = getattr(profile, kind.value)
        problems += _check_choice(kind, choice)
    for section in ("targets", "limits"):
        problems += _check_numbers(profile, section)
    return problems


def _check_choice(kind: PolicyKind, choice: PolicyChoice) -> list[str]:
    spec = find_policy(kind, choice.name)
    if spec is None:
        known = [s.name for s in _SPECS if s.kind is kind]
        return [f"{kind.value}.name: {_describe_unknown(choice.name, known)}"]
    problems = []
    parameters = {parameter.name: parameter for parameter in spec.parameters}
    for name, value in choice.parameters.items():
        path = f"{kind.value}.parameters.{name}"
        parameter = parameters.get(name)
        if parameter is None:
            problems.append(f"{path}: {_describe_unknown(name, list(parameters))}")
        # Written as a negation because every comparison with a NaN is false.
        elif not parameter.low <= value <= parameter.high:
            unit = f" {parameter.unit}" if parameter.unit else ""
            problems.append(
                f"{path}: {value:g} is not within "
                f"{parameter.low:g} to {parameter.high:g}{unit}"
            )
    return problems


def _check_numbers(profile: Profile, section: str) -> list[str]:
    problems = []
    numbers = getattr(profile, section)
    for name in numbers.__struct_fields__:
        value = getattr(numbers, name)
        if section == "targets" and not 0 < value <= 86_400:
            problems.append(f"{section}.{name}: {value:g} is not within 0 to 86400 s")
        if section == "limits" and not 0 <= value < float("inf"):
            problems.append(f"{section}.{name}: {value:g} is not 0 or more")
    return problems


def _describe_unknown(name: str, known: list[str]) -> str:
    matches = get_close_matches(name, known, n=1, cutoff=0.5)
    hint = f"; did you mean {matches[0]!r}?" if matches else ""
    listed = ", ".join(known) or "none"
    return f"{name!r} is not known{hint} (known: {listed})"
