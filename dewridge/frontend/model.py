"""What the frontend needs of the other parts, and how it names callers."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from dewridge.configuration.model import Configuration, Profile, Service
from dewridge.frontend.limits import StreamLimits
from dewridge.frontend.tokens import TokenBook
from dewridge.ids import OperatorName, ProfileName, ServiceName
from dewridge.membership.model import MembershipView
from dewridge.metrics.registry import Metrics
from dewridge.requests.model import Requests
from dewridge.sentinels import Failure
from dewridge.settings.schema import Settings
from dewridge.supervision.dumps import DumpCollector

ReadUsage = Callable[[ProfileName], Awaitable[dict[str, float]]]
"""Reads what a profile cost and lost, summed over the entry hosts."""


class ConfigurationStore(Protocol):
    """Profiles and services, as operators read and change them.

    `expected` is the object's revision that a change was made from, 0 if it
    must be new.
    """

    def current(self) -> Configuration:
        """Return the configuration in force on this host."""

    async def publish_profile(
        self, profile: Profile, expected: int | None, operator: OperatorName
    ) -> int | Failure:
        """Accept a profile and return its new revision."""

    async def publish_service(
        self, service: Service, expected: int | None, operator: OperatorName
    ) -> int | Failure:
        """Accept a service and return its new revision."""

    async def retire_profile(
        self, name: ProfileName, expected: int | None, operator: OperatorName
    ) -> int | Failure:
        """Retire a profile that no service runs under."""

    async def move_service(
        self,
        name: ServiceName,
        profile: ProfileName,
        expected: int | None,
        operator: OperatorName,
    ) -> int | Failure:
        """Put a service under another profile."""


@dataclass(frozen=True, slots=True)
class FrontendParts:
    """The parts that the routes use."""

    settings: Settings
    requests: Requests
    configuration: ConfigurationStore
    membership: MembershipView
    usage: ReadUsage
    dumps: DumpCollector
    metrics: Metrics
    tokens: TokenBook
    streams: StreamLimits
    is_leaving: Callable[[], bool]
