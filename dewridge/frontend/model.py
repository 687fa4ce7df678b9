"""Interfaces of the components that the frontend depends on."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from dewridge.configuration.model import Configuration, Profile, Service
from dewridge.frontend.limits import StreamLimiter
from dewridge.frontend.tokens import TokenAuthenticator
from dewridge.ids import OperatorName, ProfileName, ServiceName
from dewridge.membership.model import MembershipView
from dewridge.metrics.registry import Metrics
from dewridge.requests.model import Requests
from dewridge.sentinels import Failure
from dewridge.settings.schema import Settings
from dewridge.supervision.dumps import DumpCollector

CONNECTION_KEY = "connection"
"""Key of the state of a request under which its connection is found."""

ReadUsage = Callable[[ProfileName], Awaitable[dict[str, float]]]
"""Returns the cost and loss counters of a profile, summed over the entry hosts."""


class ConfigurationStore(Protocol):
    """Store of profiles and services that operators read and change.

    `expected` is the object's revision on which a change is based; 0 if the object
    must not exist yet.
    """

    def current(self) -> Configuration:
        """Return the configuration in effect on this host."""

    async def publish_profile(
        self, profile: Profile, expected: int | None, operator: OperatorName
    ) -> int | Failure:
        """Create or change a profile and return its new revision."""

    async def publish_service(
        self, service: Service, expected: int | None, operator: OperatorName
    ) -> int | Failure:
        """Create or change a service and return its new revision."""

    async def retire_profile(
        self, name: ProfileName, expected: int | None, operator: OperatorName
    ) -> int | Failure:
        """Retire a profile that no service uses."""

    async def move_service(
        self,
        name: ServiceName,
        profile: ProfileName,
        expected: int | None,
        operator: OperatorName,
    ) -> int | Failure:
        """Assign another profile to a service."""


@dataclass(frozen=True, slots=True)
class FrontendComponents:
    """The components that the routes use."""

    settings: Settings
    requests: Requests
    configuration: ConfigurationStore
    membership: MembershipView
    usage: ReadUsage
    dumps: DumpCollector
    metrics: Metrics
    tokens: TokenAuthenticator
    streams: StreamLimiter
    is_leaving: Callable[[], bool]
