"""Profiles and services as operators publish them."""

from typing import Literal

import msgspec

from dewridge.ids import OperationName, ProfileName, ServiceName


class PolicyChoice(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A policy by its registered name, with its parameters."""

    name: str
    parameters: dict[str, float] = {}


class LatencyTargets(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Targets for 95 in 100 answers, in seconds.

    Attributes:
        first_token: from acceptance to the first token.
        between_tokens: from one token to the next.
        whole_answer: from acceptance to the end of an interactive answer.
    """

    first_token: float = 0.41
    between_tokens: float = 0.041
    whole_answer: float = 2.0


class CostLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on money; 0 sets none.

    Attributes:
        per_hour: money an hour on one entry host.
        per_answer: money for one answer.
    """

    per_hour: float = 0.0
    per_answer: float = 0.0


class Profile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A named bundle of policies, targets and limits."""

    name: ProfileName
    placement: PolicyChoice
    admission: PolicyChoice
    recovery: PolicyChoice
    targets: LatencyTargets = LatencyTargets()
    limits: CostLimits = CostLimits()
    retired: bool = False


class Operation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of call of a service.

    Attributes:
        work_class: interactive work goes before background work.
        idempotent: whether it may run twice. If not, it is claimed first.
        expected_tokens: typical length of an answer; 1 for a plain service.
    """

    name: OperationName
    work_class: Literal["interactive", "background"] = "interactive"
    idempotent: bool = True
    expected_tokens: int = 1


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model or a plain service, with the profile that it runs under.

    Attributes:
        shares: weight of each client account; one not named weighs 1.
    """

    name: ServiceName
    kind: Literal["model", "plain"]
    profile: ProfileName
    operations: tuple[Operation, ...]
    shares: dict[str, float] = {}


class Configuration(msgspec.Struct, frozen=True):
    """All that operators have published, at one revision.

    Attributes:
        versions: revision at which each object (`profile/NAME`,
            `service/NAME`) was last changed.
    """

    revision: int = 0
    profiles: dict[str, Profile] = {}
    services: dict[str, Service] = {}
    versions: dict[str, int] = {}
