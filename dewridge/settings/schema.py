"""Schema of the settings file, with a one-line description of each setting.

A section is a frozen dataclass; a setting is a field declared with `option`. The
loader, the checks, `dewridge check-settings` and the settings page of the
operators' guide all use these declarations.
"""

from dataclasses import dataclass

from dewridge.settings.common import LogSettings, SupervisionSettings, option


@dataclass(frozen=True)
class HostSettings:
    """Identity of this host."""

    id: str = option("Name of this host, unique in the deployment.", required=True)
    deployment: str = option(
        "Name of the deployment; hosts of others are refused.", default="default"
    )
    region: str = option("Region that this host is in.", required=True)
    failure_domain: str = option("Failure domain that this host is in.", required=True)
    memory_mb: float = option(
        "Memory that the process may take.",
        default=300.0,
        unit="MB",
        low=64,
        high=1_000_000,
    )
    intake_share: float = option(
        "Part of the memory for connections and what is received on them. At its end, "
        "requests are refused with 503, and connections closed that make no progress.",
        default=0.55,
        low=0.1,
        high=0.8,
    )


@dataclass(frozen=True)
class FrontendSettings:
    """The HTTP interface for callers and operators."""

    address: str = option("IP number to listen on.", default="127.0.0.1")
    port: int = option(
        "TCP port for callers and operators.", default=8080, low=0, high=65535
    )
    advertised: str = option(
        "IP number and port given to callers; empty: address and port.", default=""
    )
    entry_list_seconds: float = option(
        "Time that callers may keep the entry list.",
        default=10.0,
        unit="s",
        low=0.5,
        high=3600,
    )
    entry_list_size: int = option(
        "Addresses in the entry list.", default=4, low=1, high=64
    )
    body_limit: int = option(
        "Largest body of a request.",
        default=4_000_000,
        unit="bytes",
        low=1024,
        high=64_000_000,
    )
    connection_limit: int = option(
        "Connections open at once.", default=2000, low=8, high=100_000
    )
    account_stream_limit: int = option(
        "Answers that one client account may follow at once on this host.",
        default=500,
        low=1,
        high=100_000,
    )
    heartbeat: float = option(
        "Time between heartbeats on an idle stream.",
        default=2.0,
        unit="s",
        low=0.05,
        high=60,
    )
    drain_seconds: float = option(
        "Time for open streams to end or move at shutdown.",
        default=30.0,
        unit="s",
        low=0,
        high=3600,
    )
    default_deadline: float = option(
        "Deadline of a request that names none.",
        default=60.0,
        unit="s",
        low=0.1,
        high=86_400,
    )
    deadline_limit: float = option(
        "Longest deadline that a request may name.",
        default=600.0,
        unit="s",
        low=1,
        high=86_400,
    )
    header_limit: int = option(
        "Largest head of a request.",
        default=16_384,
        unit="bytes",
        low=1024,
        high=1_000_000,
    )
    body_timeout: float = option(
        "Time that a caller has to send the body.",
        default=30.0,
        unit="s",
        low=0.1,
        high=600,
    )
    keep_alive: float = option(
        "Time that a connection may stay without a request.",
        default=20.0,
        unit="s",
        low=0.1,
        high=600,
    )
    write_timeout: float = option(
        "A caller that takes nothing this long is cut off and may resume.",
        default=15.0,
        unit="s",
        low=0.1,
        high=600,
    )


@dataclass(frozen=True)
class PeerSettings:
    """Connections to the other entry hosts."""

    address: str = option("IP number to listen on.", default="127.0.0.1")
    port: int = option("TCP port for peers.", default=8081, low=0, high=65535)
    advertised: str = option(
        "IP number and port given to peers; empty: address and port.", default=""
    )
    seeds: tuple[str, ...] = option(
        "Peer addresses to join through, `a.b.c.d:port`.", default=()
    )
    frame_limit: int = option(
        "Largest frame.", default=8_000_000, unit="bytes", low=4096, high=64_000_000
    )
    connect_timeout: float = option(
        "Time to connect and greet.", default=1.0, unit="s", low=0.05, high=60
    )
    idle_timeout: float = option(
        "A connection on which nothing comes this long is abandoned.",
        default=3.0,
        unit="s",
        low=0.2,
        high=600,
    )


@dataclass(frozen=True)
class MembershipSettings:
    """Failure detection among entry hosts."""

    probe_period: float = option(
        "Time between two probes.", default=0.5, unit="s", low=0.02, high=60
    )
    probe_timeout: float = option(
        "Time to wait for a direct probe's reply.",
        default=0.25,
        unit="s",
        low=0.01,
        high=60,
    )
    relays: int = option(
        "Members asked to probe a silent one.", default=3, low=0, high=16
    )
    suspicion: float = option(
        "Time a suspect has to refute before it counts as dead.",
        default=2.0,
        unit="s",
        low=0.1,
        high=600,
    )
    retransmissions: int = option(
        "Times a rumor is sent, times the logarithm of the member count.",
        default=3,
        low=1,
        high=20,
    )


@dataclass(frozen=True)
class RequestSettings:
    """Acceptance, storage and recovery of requests."""

    replicas: int = option(
        "Copies of a request in other failure domains.", default=2, low=1, high=4
    )
    retention: float = option(
        "Time that a key is remembered; older keys are refused.",
        default=900.0,
        unit="s",
        low=5,
        high=86_400,
    )
    clock_skew: float = option(
        "How far ahead of this host's clock a key may be.",
        default=5.0,
        unit="s",
        low=0,
        high=300,
    )
    replica_timeout: float = option(
        "Time to wait for a replica's acknowledgement.",
        default=0.5,
        unit="s",
        low=0.02,
        high=30,
    )
    token_batch: float = option(
        "Longest time that tokens wait for a batch to a replica.",
        default=0.01,
        unit="s",
        low=0,
        high=1,
    )
    silence_timeout: float = option(
        "A backend server that sends nothing this long counts as silent.",
        default=3.0,
        unit="s",
        low=0.1,
        high=600,
    )
    input_limit: int = option(
        "Memory for the inputs of all requests that have not ended, with copies for "
        "other hosts. At its end, submissions with large inputs are refused with 503.",
        default=32_000_000,
        unit="bytes",
        low=1_000_000,
        high=4_000_000_000,
    )
    claim_buckets: int = option(
        "Buckets for claims in each window; 1,000 claims/s fit in one of 10 s.",
        default=2,
        low=1,
        high=4096,
    )
    claim_window: float = option(
        "Length of a window of claims.", default=10.0, unit="s", low=1, high=3600
    )
    claim_batch: float = option(
        "Longest time that claims wait for a common write.",
        default=0.005,
        unit="s",
        low=0,
        high=2,
    )
    claim_timeout: float = option(
        "Time to wait for a claim before the call is refused.",
        default=3.0,
        unit="s",
        low=0.1,
        high=60,
    )
    notice_limit: float = option(
        "A leaving backend server's work is moved this long before it goes.",
        default=1.0,
        unit="s",
        low=0,
        high=60,
    )


@dataclass(frozen=True)
class PlatformSettings:
    """The platform services that an entry host uses."""

    key_value: str = option("URL of the key-value service.", required=True)
    host_list: str = option("URL of the host list.", required=True)
    cloud: str = option("URL of the cloud API.", required=True)
    prefix: str = option("Prefix of this deployment's keys.", default="dewridge/")
    call_timeout: float = option(
        "Time for one call of a platform service.",
        default=1.0,
        unit="s",
        low=0.05,
        high=60,
    )
    watch_timeout: float = option(
        "Time that one watch waits.", default=10.0, unit="s", low=0.2, high=300
    )
    poll_period: float = option(
        "Time between two reads of the host list and of the notices.",
        default=0.5,
        unit="s",
        low=0.05,
        high=60,
    )
    writes_per_second: float = option(
        "Writes a second that this deployment may use.",
        default=200.0,
        low=1,
        high=100_000,
    )
    stale_limit: float = option(
        "Without confirming its configuration this long a host admits nothing.",
        default=8.0,
        unit="s",
        low=1,
        high=600,
    )


@dataclass(frozen=True)
class AccountSettings:
    """A client account and the digest of its token."""

    name: str = option("Name of the client account.", required=True)
    token_sha256: str = option(
        "SHA-256 of its token, in hexadecimal.", required=True, secret=True
    )


@dataclass(frozen=True)
class OperatorSettings:
    """An operator and the digest of their token."""

    name: str = option("Name of the operator.", required=True)
    token_sha256: str = option(
        "SHA-256 of their token, in hexadecimal.", required=True, secret=True
    )


@dataclass(frozen=True)
class Settings:
    """The complete settings file of an entry host."""

    host: HostSettings = option("Who this host is.", required=True)
    platform: PlatformSettings = option("The platform's services.", required=True)
    frontend: FrontendSettings = option(
        "HTTP towards callers and operators.", default=FrontendSettings
    )
    peers: PeerSettings = option(
        "Connections to other entry hosts.", default=PeerSettings
    )
    membership: MembershipSettings = option("Probing.", default=MembershipSettings)
    requests: RequestSettings = option("Requests.", default=RequestSettings)
    accounts: tuple[AccountSettings, ...] = option("Client accounts.", default=())
    operators: tuple[OperatorSettings, ...] = option("Operators.", default=())
    log: LogSettings = option("Logs.", default=LogSettings)
    supervision: SupervisionSettings = option("Restarts.", default=SupervisionSettings)
