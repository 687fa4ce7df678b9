"""What one host has learned about the engines, for placement by expected time."""

from dataclasses import dataclass, field

from dewridge.gateway.placement.rankings import HolderRankings
from dewridge.gateway.reports import TENTHS_PER_ATTEMPT
from dewridge.ids import BackendServerId, ServiceName
from dewridge.policy.loadprobes import ProbeRecord
from dewridge.policy.prefixdemand import PrefixDemand
from dewridge.policy.serverpace import MAX_RATIO, PaceMeter
from dewridge.policy.servicespeed import MEAN_WEIGHT, SpeedMeter


@dataclass
class ServiceFigures:
    """Figures of one service.

    Attributes:
        speed: speed of its engines.
        demand: its recent requests by prefix.
        rankings: order of the cache holders of its prefixes.
        median_share: median failure share of its servers.
        median_computed_at: when that was computed.
        prompt_tokens: mean tokens that a prompt has to prefill; 0 before the first one.
    """

    speed: SpeedMeter = field(default_factory=SpeedMeter)
    demand: PrefixDemand = field(default_factory=PrefixDemand)
    rankings: HolderRankings = field(default_factory=HolderRankings)
    median_share: float = 0.0
    median_computed_at: float = float("-inf")
    prompt_tokens: float = 0.0

    def add_prompt(self, tokens: float) -> None:
        """Add the tokens that a prompt has to prefill to their mean."""
        if self.prompt_tokens == 0:
            self.prompt_tokens = tokens
        self.prompt_tokens += (tokens - self.prompt_tokens) * MEAN_WEIGHT


@dataclass
class PlacementTable:
    """Figures by service and by server process; a restarted server starts with none."""

    services: dict[ServiceName, ServiceFigures] = field(default_factory=dict)
    paces: dict[BackendServerId, PaceMeter] = field(default_factory=dict)
    probes: dict[BackendServerId, ProbeRecord] = field(default_factory=dict)

    def get_figures(self, service: ServiceName) -> ServiceFigures:
        """Return the figures of a service."""
        figures = self.services.get(service)
        if figures is None:
            figures = self.services[service] = ServiceFigures()
        return figures

    def get_pace(self, server: BackendServerId) -> PaceMeter:
        """Return the pace meter of a server."""
        meter = self.paces.get(server)
        if meter is None:
            meter = self.paces[server] = PaceMeter()
        return meter

    def get_probes(self, server: BackendServerId) -> ProbeRecord:
        """Return what is known of a server from load probes."""
        record = self.probes.get(server)
        if record is None:
            record = self.probes[server] = ProbeRecord()
        return record

    def read_reported_pace(
        self, server: BackendServerId, now: float
    ) -> tuple[int, int]:
        """Return samples and sum of ratios of a server in tenths, for reports."""
        meter = self.paces.get(server)
        if meter is None:
            return 0, 0
        samples, ratio_sum = meter.read(now)
        tenths = round(samples * TENTHS_PER_ATTEMPT)
        # Rounding must not give a pair that the receivers take for an invalid one.
        if not tenths:
            return 0, 0
        largest = round(MAX_RATIO * tenths)
        return tenths, min(largest, max(1, round(ratio_sum * TENTHS_PER_ATTEMPT)))

    def drop_departed(self, listed: set[BackendServerId]) -> None:
        """Remove the figures of servers that are no longer listed."""
        for server in [known for known in self.paces if known not in listed]:
            del self.paces[server]
        for server in [known for known in self.probes if known not in listed]:
            del self.probes[server]
