"""Profiles and services, as published by operators."""

from typing import Annotated, Literal

import msgspec

from dewridge.decoding import MAX_COUNT, Name
from dewridge.ids import OperationName, ProfileName, ServiceName

Number = Annotated[float, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
"""A number to calculate with; the checks of a change name those of a wrong sign."""


class PolicyChoice(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A policy by its registered name, with its parameters."""

    name: Name
    parameters: dict[Name, Number] = {}


class LatencyTargets(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Latency targets for the 95th percentile of answers, in seconds.

    Attributes:
        first_token: from acceptance to the first token.
        between_tokens: from one token to the next.
        whole_answer: from acceptance to the last token of an interactive answer.
    """

    first_token: Number = 0.41
    between_tokens: Number = 0.041
    whole_answer: Number = 2.0


class CostLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Cost limits; 0 means no limit.

    Attributes:
        per_hour: cost per hour on one entry host.
        per_answer: cost of one answer.
    """

    per_hour: Number = 0.0
    per_answer: Number = 0.0


class Profile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A named set of policies, latency targets and cost limits."""

    name: ProfileName
    placement: PolicyChoice
    admission: PolicyChoice
    recovery: PolicyChoice
    targets: LatencyTargets = LatencyTargets()
    limits: CostLimits = CostLimits()
    retired: bool = False


class Operation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of request that a service accepts.

    Attributes:
        work_class: interactive requests take precedence over background requests.
        idempotent: whether a request may run twice. If not, it is claimed before it
            runs.
        expected_tokens: typical length of an answer; 1 for a plain service.
    """

    name: OperationName
    work_class: Literal["interactive", "background"] = "interactive"
    idempotent: bool = True
    expected_tokens: Annotated[int, msgspec.Meta(le=MAX_COUNT)] = 1


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model or a plain service, and the profile that applies to it.

    Attributes:
        shares: weight of each client account; an account not listed has weight 1.
    """

    name: ServiceName
    kind: Literal["model", "plain"]
    profile: ProfileName
    operations: tuple[Operation, ...]
    shares: dict[Name, Number] = {}


class Configuration(msgspec.Struct, frozen=True):
    """All published profiles and services at one revision.

    Attributes:
        versions: revision at which each object (`profile/NAME`,
            `service/NAME`) was last changed.
    """

    revision: int = 0
    profiles: dict[str, Profile] = {}
    services: dict[str, Service] = {}
    versions: dict[str, int] = {}
