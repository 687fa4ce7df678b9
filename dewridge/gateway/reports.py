"""Messages that entry hosts send each other in datagrams.

Each host reports to the peers of its cell, a group of hosts in one failure domain
(`dewridge.policy.cells`), and reports sums over its cell to hosts of other cells. One
host at a time is the holder of the duties: it runs the tasks that only one host may
run, such as summing the usage of all hosts for billing.
"""

import re
from typing import Annotated, NewType

import msgspec

from dewridge.decoding import MAX_COUNT, MAX_NAME, Amount, Count
from dewridge.gateway.model import ServerRecord, ServerVersion
from dewridge.ids import (
    BackendServerId,
    ClientAccount,
    HostId,
    PartDigest,
    Release,
    RequestDigest,
    ServiceName,
)
from dewridge.policy.cells import CellName
from dewridge.policy.rollouts import Stage
from dewridge.policy.suspects import NO_PART

MAX_KEY = 2 * MAX_NAME
"""Characters of a name in a message, which may be a key made of a name and numbers."""
MAX_WINDOWS = 64
"""Usage windows in a message: several times as many as hosts keep."""
_KEY = msgspec.Meta(max_length=MAX_KEY)
Host = Annotated[HostId, _KEY]
Server = Annotated[BackendServerId, _KEY]
AccountName = Annotated[ClientAccount, _KEY]
Service = Annotated[ServiceName, _KEY]
Key = Annotated[str, _KEY]
Figure = Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
"""A whole number that may be negative, as a total after a correction or an age by the
clock of another host. Sums of many of them still fit into a message."""
Age = Annotated[float, msgspec.Meta(ge=-MAX_COUNT)]
"""Seconds; infinite for what never was, and below zero by the error of a clock."""
ReleaseDigest = Annotated[Release, msgspec.Meta(ge=0, lt=2**32)]

ReportedRegistration = tuple[Count, Count]
"""Era and creating revision of a server's record
(`dewridge.policy.serverregistrations`)."""
DutyHolder = tuple[Count, Host]
"""Fencing token and id of a holder of the duties; each holder has a higher token than
the one before."""
NO_HOLDER: DutyHolder = (0, HostId(""))
UsageCounts = dict[int, dict[ClientAccount, int]]
"""Requests of each account that started to run, by usage window."""
ReportedUsage = Annotated[
    dict[Figure, dict[AccountName, Count]], msgspec.Meta(max_length=MAX_WINDOWS)
]
"""The same in a message."""
HostIncarnation = tuple[HostId, int]
"""A host and the start time of its process, in microseconds since 1970."""
OutcomeKey = NewType("OutcomeKey", str)
"""Key of a counter of rollout outcomes: revision of the rollout order, version, kind of
count and route."""
OUTCOME_KEY = re.compile(r"\d+/(new|old)/(answers|bad)/")
"""Beginning of such a key. The route comes last, as its name may contain slashes."""
REPORTED_WINDOWS = 4
"""Number of usage windows that hosts report: the current one and those whose sum is
still due."""

MAX_STORE_CALL_AGE = 12.0
"""Seconds for which a host reports its last calls to the store."""
TENTHS_PER_SECOND = 10
TENTHS_PER_ATTEMPT = 10
"""Units per attempt in which reports count attempts and failures."""


class ServerRegistrations(msgspec.Struct, frozen=True, array_like=True):
    """Registrations of servers that ended or began recently.

    Attributes:
        lapsed: the registrations that ended, of those departing servers of which no
            more is known than that their record is gone. They may return.
        returned: the registrations of servers that had lapsed and wrote their record
            again.
    """

    lapsed: dict[Server, ReportedRegistration] = {}
    returned: dict[Server, ReportedRegistration] = {}

    def __bool__(self) -> bool:
        return bool(self.lapsed or self.returned)


NO_REGISTRATIONS = ServerRegistrations()


class ServerTotals(msgspec.Struct, array_like=True):
    """Load and recent failures at one server.

    Attributes:
        requests: requests in flight.
        tokens: prompt tokens in flight that the server has not processed yet.
        attempts: recent attempts, in tenths, because the weight of an attempt decays
            below one with its age.
        failures: the failed ones among these attempts, in tenths.
        pace_samples: recent first events that were compared with the expected times,
            in tenths (`dewridge.policy.serverpace`).
        pace_sum: sum of their ratios of actual to expected seconds, in tenths. Older
            builds neither send nor read the last two fields.
    """

    requests: Figure = 0
    tokens: Figure = 0
    attempts: Figure = 0
    failures: Figure = 0
    pace_samples: Figure = 0
    pace_sum: Figure = 0

    def __add__(self, other: "ServerTotals") -> "ServerTotals":
        return ServerTotals(
            self.requests + other.requests,
            self.tokens + other.tokens,
            self.attempts + other.attempts,
            self.failures + other.failures,
            self.pace_samples + other.pace_samples,
            self.pace_sum + other.pace_sum,
        )


ZERO_SERVER_TOTALS = ServerTotals()


def limit_figure(figure: int) -> int:
    """Return a figure that a message can carry, for a sum of several hosts."""
    return max(-MAX_COUNT, min(MAX_COUNT, figure))


class Totals(msgspec.Struct, frozen=True, array_like=True):
    """Running totals since the sender's start, and its current load on servers.

    Attributes:
        quota_usage: units of quota that each account used.
        quota_demand: units of quota that each account requested, including those of
            refused requests.
        token_demand: prompt tokens that arrived for each service.
        servers: load and recent failures at each server. One table of integers takes
            half the bytes of two tables of fractions, and datagrams above 4 KB get
            lost.
        outcomes: counts of answers and bad answers of both versions of each rollout
            in progress.
        work_demand: work that arrived, in ms of one server, by `SERVICE/URGENCY`;
            missing in the reports of earlier builds, which ignore it.
    """

    quota_usage: dict[AccountName, Figure] = {}
    quota_demand: dict[AccountName, Figure] = {}
    token_demand: dict[Service, Figure] = {}
    servers: dict[Server, ServerTotals] = {}
    outcomes: dict[Annotated[OutcomeKey, _KEY], Figure] = {}
    work_demand: dict[Key, Figure] = {}


class RolloutProgress(msgspec.Struct, frozen=True):
    """Progress of the rollout of a version of a service.

    Attributes:
        service: the service.
        target: the version to move to.
        order: store revision at which the rollout was ordered.
        stage: the current stage.
        share: share of the requests that a trial sends to the target version.
        ordered_at: time at which the order was first seen, in seconds since 1970.
        duration: seconds after `ordered_at` within which the rollout must complete.
    """

    service: Service
    target: Annotated[ServerVersion, _KEY]
    order: Count
    stage: Stage
    share: Annotated[float, msgspec.Meta(ge=0, le=1)]
    ordered_at: Amount
    duration: Amount


class SuspectUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A suspect: a request during which servers crashed.

    Attributes:
        digest: digest of the request's content.
        account: the account that sent it; empty on an anonymous route.
        service: the service whose servers crashed.
        crashes: milliseconds since each server crashed, and since the request was sent
            to it.
        cleared: servers whose crashes no longer count.
        part: digest of the suspected prompt part; empty for a whole request.
    """

    digest: Annotated[RequestDigest, _KEY]
    account: AccountName
    service: Service
    crashes: dict[Server, tuple[Figure, Figure]]
    cleared: list[Server] = []
    part: Annotated[PartDigest, _KEY] = NO_PART


class LimitUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What an answer of a server showed of its request limit.

    Attributes:
        server: the server process.
        limit: thousandths of a request per second.
        age_ms: milliseconds since the answer.
        has_ended: whether the answer named no limit any more; `limit` is the last one.
    """

    server: BackendServerId
    limit: Figure
    age_ms: Figure
    has_ended: bool = False


class Report(msgspec.Struct, frozen=True, array_like=True, tag="host"):
    """Periodic report of one host to the peers of its cell.

    Attributes:
        host: the sender.
        boot: start time of its process, in microseconds since 1970.
        number: sequence number, increasing with each report.
        is_ready: whether callers may be directed to the sender.
        age: seconds since the start of its process.
        totals: totals of the sender alone.
        usage_counts: requests of each account that started to run at the sender, by
            usage window.
        version: configuration version in force at the sender; 0 for none.
        departing_servers: servers that left recently, with the seconds until each stops
            serving.
        confirmed_age: seconds since that version was last known to be the newest.
        last_received: boot time and number of the last report that the sender received
            from each host of its cell.
        holder: the latest holder of the duties that the sender knows.
        suspects: requests during which servers crashed.
        rollouts: progress of the rollouts that the sender knows.
        limits: request limits in the sender's own answers from servers.
        is_partitioned: whether the sender does not reach the servers of some service
            by itself; missing in the reports of earlier builds, as the next field.
        rejections: milliseconds since the last rejection of brittle servers.
        releases: digest of the versions that the sender saw recently; None in the
            reports of earlier builds, as the next field.
        versions_age_ms: milliseconds since the sender certainly knew all versions.
        store_answer_age: tenths of a second since the store answered the sender; None
            if that is long ago, as in the reports of earlier builds.
        store_failure_age: tenths of a second since a call of the sender to the store
            failed; None likewise.
        registrations: registrations of servers that ended or began recently; missing in
            the reports of earlier builds, which take a lapse for a departure for good.
    """

    host: Host
    boot: Count
    number: Count
    is_ready: bool
    age: Amount
    totals: Totals
    usage_counts: ReportedUsage = {}
    version: Count = 0
    departing_servers: dict[Server, Amount] = {}
    confirmed_age: Age = float("inf")
    last_received: dict[Host, tuple[Count, Count]] = {}
    holder: DutyHolder = NO_HOLDER
    suspects: list[SuspectUpdate] = []
    rollouts: list[RolloutProgress] = []
    limits: list[LimitUpdate] = []
    is_partitioned: bool = False
    rejections: dict[Server, Figure] = {}
    releases: Figure | None = None
    versions_age_ms: Figure | None = None
    store_answer_age: Figure | None = None
    store_failure_age: Figure | None = None
    registrations: ServerRegistrations = NO_REGISTRATIONS


class CellReport(msgspec.Struct, frozen=True, array_like=True, tag="cell"):
    """Periodic report of one host on its cell, sent to hosts of other cells.

    Attributes:
        host: the sender.
        boot: start time of its process, in microseconds since 1970.
        number: sequence number, increasing with each report.
        cell: the sender's cell.
        members: the live hosts of the cell, including the sender.
        unready: the members to which callers should not be directed.
        totals: sums over the cell, counted since the sender's start.
        version: configuration version in force at the sender; 0 for none.
        departing_servers: servers that left recently, with the seconds until each stops
            serving.
        holder: the latest holder of the duties that the sender knows.
        suspects: requests during which servers crashed.
        rollouts: progress of the rollouts that the sender knows.
        limits: request limits in the answers that the cell's hosts got from servers.
        partitioned: the members that do not reach the servers of some service by
            themselves; missing in the reports of earlier builds, as the next field.
        rejections: milliseconds since the last rejection of brittle servers.
        releases: digest of the versions that the sender saw recently; None in the
            reports of earlier builds.
        registrations: registrations of servers that ended or began recently; missing in
            the reports of earlier builds.
    """

    host: Host
    boot: Count
    number: Count
    cell: Annotated[CellName, _KEY]
    members: list[Host]
    unready: list[Host]
    totals: Totals
    version: Count = 0
    departing_servers: dict[Server, Amount] = {}
    holder: DutyHolder = NO_HOLDER
    suspects: list[SuspectUpdate] = []
    rollouts: list[RolloutProgress] = []
    limits: list[LimitUpdate] = []
    partitioned: list[Host] = []
    rejections: dict[Server, Figure] = {}
    releases: Figure | None = None
    registrations: ServerRegistrations = NO_REGISTRATIONS


class HostUsage(msgspec.Struct, frozen=True, array_like=True):
    """Requests that started at one incarnation of a host, counted for billing."""

    host: Host
    boot: Count
    usage_counts: ReportedUsage


class DepartureReport(msgspec.Struct, frozen=True, array_like=True, tag="left"):
    """Urgent message about servers that left or returned; periodic reports repeat it.

    Attributes:
        host: the sender.
        departing_servers: seconds until each server stops serving.
        is_cell_local: whether the sender is in the receiver's cell; the receiver then
            does not forward the message.
        registrations: registrations of servers that ended or began recently; missing in
            the messages of earlier builds.
    """

    host: Host
    departing_servers: dict[Server, Amount]
    is_cell_local: bool
    registrations: ServerRegistrations = NO_REGISTRATIONS


class SuspectReport(msgspec.Struct, frozen=True, array_like=True, tag="suspects"):
    """Urgent message about suspect requests; the periodic reports repeat it.

    Attributes:
        host: the sender.
        suspects: the requests.
        is_cell_local: whether the sender is in the receiver's cell; the receiver then
            does not forward the message.
    """

    host: Host
    suspects: list[SuspectUpdate]
    is_cell_local: bool


class VersionNotice(msgspec.Struct, frozen=True, array_like=True, tag="version"):
    """Urgent message that a host has a version; the periodic reports repeat it.

    Attributes:
        host: the host that has the version.
        version: the version of the configuration.
        is_cell_local: whether the sender is in the receiver's cell; the receiver then
            does not forward the message.
    """

    host: Host
    version: Count
    is_cell_local: bool


class VersionQuery(msgspec.Struct, frozen=True, array_like=True, tag="version?"):
    """Request of a host that starts for a notice of the receiver's version."""

    host: Host


class UsageReport(msgspec.Struct, frozen=True, array_like=True, tag="usage"):
    """Usage that a host of a large fleet reports to the holder of the duties.

    Attributes:
        host: the sender.
        boot: start time of its process, in microseconds since 1970.
        number: sequence number of the usage report, which the holder confirms.
        window: the usage window in which the report was made. The sender's counts of
            earlier windows, reported by now, are complete.
        usage: usage of the sender, or of a departed incarnation of another host.
    """

    host: Host
    boot: Count
    number: Count
    window: Figure
    usage: list[HostUsage]


class UsageConfirmation(msgspec.Struct, frozen=True, array_like=True, tag="heard"):
    """Confirmation of a usage report by the holder of the duties.

    Attributes:
        holder: the holder that confirms it.
        boot: `boot` of the confirmed report.
        number: `number` of the confirmed report.
    """

    holder: DutyHolder
    boot: Count
    number: Count


class UsageRequest(msgspec.Struct, frozen=True, array_like=True, tag="question"):
    """Request of the holder of the duties for usage counts that it is missing."""

    holder: DutyHolder


class StreamVersionReport(msgspec.Struct, frozen=True, array_like=True, tag="streams"):
    """Versions of the sender's running streams, for the hosts that keep them.

    Attributes:
        host: the sender.
        streams: digests of the streams, 6 bytes each, by the version's digest
            (`dewridge.policy.streamversions`).
    """

    host: Host
    streams: dict[ReleaseDigest, bytes]


class StreamVersionQuery(msgspec.Struct, frozen=True, array_like=True, tag="streams?"):
    """Request for the versions of streams that the sender does not know.

    Attributes:
        host: the sender.
        number: number of the request, which the answer repeats.
        service: the service that ran the streams.
        streams: digests of the streams, 6 bytes each.
    """

    host: Host
    number: Count
    service: Service
    streams: bytes


class StreamVersionAnswer(msgspec.Struct, frozen=True, array_like=True, tag="streams!"):
    """What a host knows of the streams that a peer asked for.

    Attributes:
        host: the sender.
        number: number of the request.
        streams: digests of the streams that it knows, by the version's digest.
        only: the only version that the service had recently; 0 if it had several, None
            if the sender does not know.
    """

    host: Host
    number: Count
    streams: dict[ReleaseDigest, bytes]
    only: ReleaseDigest | None = None


class ReportedRelease(msgspec.Struct, frozen=True, array_like=True):
    """A version that had servers recently.

    Attributes:
        service: the service.
        release: digest of the service and the version.
        name: the version, cut to some length.
        age_ms: milliseconds since a server was last seen.
    """

    service: Service
    release: ReleaseDigest
    name: Key
    age_ms: Figure


class RecentReleases(msgspec.Struct, frozen=True, array_like=True, tag="releases"):
    """The versions that the sender saw recently, for a peer that saw other ones.

    Attributes:
        host: the sender.
        releases: the versions.
        wants_answer: whether the receiver has to send its own.
    """

    host: Host
    releases: list[ReportedRelease]
    wants_answer: bool


class ServerQuery(msgspec.Struct, frozen=True, array_like=True, tag="servers?"):
    """Request for the records of servers that the sender does not know.

    Attributes:
        host: the sender.
        number: number of the request, which the answers repeat; 0 if none waits.
        servers: servers that the receiver uses.
        releases: versions whose servers the sender needs.
        services: services whose servers the sender needs.
    """

    host: Host
    number: Count
    servers: list[Server] = []
    releases: list[ReleaseDigest] = []
    services: list[Service] = []


class ServerAnswer(msgspec.Struct, frozen=True, array_like=True, tag="servers!"):
    """Records of servers, for a peer that asked for them.

    Attributes:
        host: the sender.
        number: number of the request.
        records: some of the servers.
        departed: servers asked for that have left, with the seconds until they stop.
        is_last: whether no further answer to the request follows.
        registrations: the registrations that ended, of those departed servers that may
            return.
    """

    host: Host
    number: Count
    records: list[ServerRecord] = []
    departed: dict[Server, Amount] = {}
    is_last: bool = True
    registrations: ServerRegistrations = NO_REGISTRATIONS


PeriodicReport = Report | CellReport
StreamVersionMessage = (
    StreamVersionReport
    | StreamVersionQuery
    | StreamVersionAnswer
    | RecentReleases
    | ServerQuery
    | ServerAnswer
)
HostMessage = (
    Report
    | CellReport
    | DepartureReport
    | SuspectReport
    | VersionNotice
    | VersionQuery
    | UsageReport
    | UsageConfirmation
    | UsageRequest
    | StreamVersionMessage
)
