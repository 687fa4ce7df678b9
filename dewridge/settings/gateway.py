"""The schema of a gateway's settings file."""

from dataclasses import dataclass

from dewridge.settings.common import LogSettings, SupervisionSettings, option


@dataclass(frozen=True)
class GatewayHost:
    """Identity and resources of this host."""

    id: str = option("Name of this host, unique in the deployment.", required=True)
    region: str = option("Region that this host is in.", default="")
    failure_domain: str = option("Failure domain that this host is in.", required=True)
    address: str = option("IP number of this host.", required=True)
    is_first_start: bool = option(
        "Whether the whole deployment starts for the first time.", default=False
    )
    descriptors: float = option(
        "Open files and sockets that the process may have.", default=1024, low=256
    )
    memory_mb: float = option(
        "Memory that the process may take.", default=300.0, unit="MB", low=64
    )
    link_mbps: float = option(
        "Bandwidth of this host's link; 0: not known.",
        default=0.0,
        unit="Mbit/s",
        low=0,
    )


@dataclass(frozen=True)
class GatewayListen:
    """Addresses `a.b.c.d:port` to listen on."""

    callers: str = option("For callers.", required=True)
    readiness: str = option("For the check whether this host is ready.", required=True)
    directory: str = option(
        "For callers who ask which addresses to use; empty: not served.", default=""
    )
    operations: str = option(
        "For operators' counters and dumps; empty: not served.", default=""
    )
    peer_ports: tuple[int, ...] = option(
        "First and last port for the other entry hosts.", required=True
    )


@dataclass(frozen=True)
class GatewayServices:
    """The external services that this host calls."""

    store: str = option("`a.b.c.d:port` of the store.", required=True)
    store_reads: float = option(
        "Reads a second that all hosts together may make.", default=2000.0, low=1
    )
    store_writes: float = option(
        "Writes a second that all hosts together may make.", default=400.0, low=1
    )
    store_timeout: float = option(
        "Time for one call of the store.", default=0.8, unit="s", low=0.05, high=60
    )
    server_heartbeat_ms: float = option(
        "Time between two heartbeats by which servers keep their records.",
        default=1200.0,
        unit="ms",
        low=50,
    )
    cloud: str = option(
        "`a.b.c.d:port` of the cloud API; empty: no duties.", default=""
    )
    cloud_timeout: float = option(
        "Time for one call of the cloud API.", default=2.0, unit="s", low=0.05, high=60
    )


@dataclass(frozen=True)
class GatewayBounds:
    """Service-level bounds of the deployment that operators rely on."""

    revocation_ms: float = option(
        "Time after which a key taken away must not work.",
        default=5000.0,
        unit="ms",
        low=500,
    )
    fails_closed: bool = option(
        "Whether keys are refused while the store is out of reach.", default=True
    )
    grace: float = option(
        "Time between the request to stop and the kill.", default=8.0, unit="s", low=0
    )
    answer_ttl: float = option(
        "Time that callers may keep a list of addresses, at the most.",
        default=5.0,
        unit="s",
        low=0.5,
    )
    retry_ratio: float = option(
        "Repeats for each first sending, over all hosts.", default=0.2, low=0
    )
    retry_slack: float = option(
        "Repeats beyond that in a window, over all hosts.", default=10, low=0
    )
    retry_window: float = option(
        "Window of the retry budget.", default=10.0, unit="s", low=0.1
    )
    quota_window: float = option("Window of quotas.", default=8.0, unit="s", low=0.5)
    quota_overrun: float = option(
        "Part of a quota by which it may be exceeded.", default=0.1, low=0
    )
    quota_slack: float = option("Units beyond a quota in a window.", default=0.0, low=0)
    lease_ms: float = option(
        "Time within which duties must not go back and forth between two holders.",
        default=3000.0,
        unit="ms",
        low=500,
    )
    exposure_share: float = option(
        "Part of a service's requests that may reach a bad version of its servers.",
        default=0.1,
        low=0,
        high=1,
    )
    usage_window: float = option(
        "Length of a window of usage.", default=5.0, unit="s", low=0.5
    )
    usage_due: float = option(
        "Time after a window's end at which its usage is due.",
        default=10.0,
        unit="s",
        low=0.5,
    )


@dataclass(frozen=True)
class GatewayIntake:
    """What all clients together may make this host hold."""

    memory_share: float = option(
        "Part of the memory for connections, requests and answers. At its end, "
        "requests are refused with 503, and connections closed that make no progress.",
        default=0.55,
        low=0.1,
        high=0.8,
    )
    connection_share: float = option(
        "Part of the descriptors for callers; at its end, connections without a "
        "request are closed, and new ones refused with 503.",
        default=0.375,
        low=0.05,
        high=0.4,
    )


@dataclass(frozen=True)
class GatewayDecisions:
    """How requests are placed and admitted."""

    placement: str = option(
        "How a server is chosen for a prompt; auto: by the service.",
        default="auto",
        choices=("auto", "expected_time", "token_load"),
    )
    admission: str = option(
        "How requests are refused under contention; auto: by the service.",
        default="auto",
        choices=("auto", "planned", "ramps"),
    )
    load_probes: str = option(
        "Whether engines are asked for their load before a long prompt is sent, where "
        "placement is by expected time; auto: they are.",
        default="auto",
        choices=("auto", "on", "off"),
    )


@dataclass(frozen=True)
class GatewaySettings:
    """The complete settings file of a gateway."""

    host: GatewayHost = option("Who this host is.", required=True)
    listen: GatewayListen = option("Addresses to listen on.", required=True)
    services: GatewayServices = option("Services that are called.", required=True)
    bounds: GatewayBounds = option("What operators count on.", default=GatewayBounds)
    intake: GatewayIntake = option(
        "What all clients together may make this host hold.", default=GatewayIntake
    )
    decisions: GatewayDecisions = option(
        "How requests are placed and admitted.", default=GatewayDecisions
    )
    log: LogSettings = option("Logs.", default=LogSettings)
    supervision: SupervisionSettings = option("Restarts.", default=SupervisionSettings)
