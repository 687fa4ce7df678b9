"""What entry hosts tell each other, as it goes over the wire."""

from typing import NewType

import msgspec

from dewridge.gateway.model import ServerVersion
from dewridge.ids import (
    BackendServerId,
    ClientAccount,
    HostId,
    RequestDigest,
    ServiceName,
)
from dewridge.policy.cells import CellName
from dewridge.policy.rollouts import Stage

DutyHolder = tuple[int, HostId]
"""Fencing token and name of a holder of the duties; a later one has a higher token."""
NO_HOLDER: DutyHolder = (0, HostId(""))
UsageCounts = dict[int, dict[ClientAccount, int]]
"""Requests of each account that began to run, by usage window."""
HostIncarnation = tuple[HostId, int]
"""One start of a host."""
OutcomeKey = NewType("OutcomeKey", str)
"""Key of a counter: revision of a rollout order, version, kind of count and route."""
REPORTED_WINDOWS = 4
"""Usage windows that hosts tell of: the one that runs and those whose sum is due."""

TENTHS_PER_ATTEMPT = 10
"""Parts of an attempt that outcomes are told in."""


class ServerTotals(msgspec.Struct, array_like=True):
    """What goes on at one server.

    Attributes:
        requests: in flight.
        tokens: of prompts in flight that are not read yet.
        attempts: recent ones, in tenths, since older ones count less than one.
        failures: those of them that failed, in tenths.
    """

    requests: int = 0
    tokens: int = 0
    attempts: int = 0
    failures: int = 0

    def __add__(self, other: "ServerTotals") -> "ServerTotals":
        return ServerTotals(
            self.requests + other.requests,
            self.tokens + other.tokens,
            self.attempts + other.attempts,
            self.failures + other.failures,
        )


ZERO_SERVER_TOTALS = ServerTotals()


class Totals(msgspec.Struct, frozen=True, array_like=True):
    """Running totals since the sender's start, and what goes on now.

    Attributes:
        quota_usage: units of quota that each account used.
        quota_demand: units of quota that each account asked for, refused ones included.
        token_demand: prompt tokens that arrived for each service.
        servers: what goes on at each server. One table of whole numbers takes half of
            the bytes of two with fractions, and datagrams beyond 4 KB get lost.
        outcomes: counts of answers and bad answers of both versions of each rollout
            in progress.
    """

    quota_usage: dict[ClientAccount, int] = {}
    quota_demand: dict[ClientAccount, int] = {}
    token_demand: dict[ServiceName, int] = {}
    servers: dict[BackendServerId, ServerTotals] = {}
    outcomes: dict[OutcomeKey, int] = {}


class RolloutProgress(msgspec.Struct, frozen=True):
    """Progress of the rollout of a version of a service.

    Attributes:
        service: the service.
        target: the version to move to.
        order: the store's revision of the order.
        stage: the current stage.
        share: of the requests that a trial sends to the target version.
        ordered_at: when the order was first seen, in seconds since 1970.
        duration: seconds after the order by which the rollout must have ended.
    """

    service: ServiceName
    target: ServerVersion
    order: int
    stage: Stage
    share: float
    ordered_at: float
    duration: float


class SuspectUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A request under which servers ended.

    Attributes:
        digest: names its content.
        account: whose it is; empty on an anonymous route.
        service: whose servers ended.
        crashes: milliseconds since each server ended, and since the request went there.
        cleared: servers whose ends count no more.
    """

    digest: RequestDigest
    account: ClientAccount
    service: ServiceName
    crashes: dict[BackendServerId, tuple[int, int]]
    cleared: list[BackendServerId] = []


class Report(msgspec.Struct, frozen=True, array_like=True, tag="host"):
    """One host's word to its cell.

    Attributes:
        host: the sender.
        boot: start of its process.
        number: grows with each report.
        is_ready: whether callers may be sent to it.
        age: seconds since the start.
        totals: the host's own.
        usage_counts: requests of each account that began to run, by usage window.
        version: configuration in force there; 0 for none.
        departing_servers: servers that left lately, with the seconds until each stops
            serving; none of them comes back under that name.
        confirmed_age: seconds since that version was surely the newest.
        last_received: start and number of the last report that the sender heard of
            each host.
        holder: the holder of the duties that the sender knows.
        suspects: requests under which servers ended.
        rollouts: progress of the rollouts that the sender knows.
    """

    host: HostId
    boot: int
    number: int
    is_ready: bool
    age: float
    totals: Totals
    usage_counts: UsageCounts = {}
    version: int = 0
    departing_servers: dict[BackendServerId, float] = {}
    confirmed_age: float = float("inf")
    last_received: dict[HostId, tuple[int, int]] = {}
    holder: DutyHolder = NO_HOLDER
    suspects: list[SuspectUpdate] = []
    rollouts: list[RolloutProgress] = []


class CellReport(msgspec.Struct, frozen=True, array_like=True, tag="cell"):
    """One host's word on its whole cell to hosts of other cells.

    Attributes:
        host: the sender.
        boot: start of its process.
        number: grows with each report.
        cell: the sender's cell.
        members: the hosts of the cell that the sender hears, itself included.
        unready: those of them to which callers should not be sent.
        totals: sums over the cell, counted since the sender's start.
        version: configuration in force at the sender; 0 for none.
        departing_servers: servers that left lately, with the seconds until each stops
            serving.
        holder: the holder of the duties that the sender knows.
        suspects: requests under which servers ended.
        rollouts: progress of the rollouts that the sender knows.
    """

    host: HostId
    boot: int
    number: int
    cell: CellName
    members: list[HostId]
    unready: list[HostId]
    totals: Totals
    version: int = 0
    departing_servers: dict[BackendServerId, float] = {}
    holder: DutyHolder = NO_HOLDER
    suspects: list[SuspectUpdate] = []
    rollouts: list[RolloutProgress] = []


class HostUsage(msgspec.Struct, frozen=True, array_like=True):
    """What one start of a host counted."""

    host: HostId
    boot: int
    usage_counts: UsageCounts


class DepartureReport(msgspec.Struct, frozen=True, array_like=True, tag="left"):
    """Urgent news of servers that left; the usual reports repeat it.

    Attributes:
        host: who tells it.
        departing_servers: seconds until each stops serving.
        is_cell_local: whether it comes from the own cell and goes no further.
    """

    host: HostId
    departing_servers: dict[BackendServerId, float]
    is_cell_local: bool


class SuspectReport(msgspec.Struct, frozen=True, array_like=True, tag="suspects"):
    """Urgent news of requests under which servers ended; the usual reports repeat it.

    Attributes:
        host: who tells it.
        suspects: the requests.
        is_cell_local: whether it comes from the own cell and goes no further.
    """

    host: HostId
    suspects: list[SuspectUpdate]
    is_cell_local: bool


class UsageReport(msgspec.Struct, frozen=True, array_like=True, tag="usage"):
    """Usage told to the holder of the duties in a large fleet.

    Attributes:
        host: the sender.
        boot: start of its process.
        number: grows with each word on usage; the holder confirms it.
        window: the usage window in which it was made. Counts of earlier ones, told by
            now, are complete.
        usage: its own, or that of a start of another host that is gone.
    """

    host: HostId
    boot: int
    number: int
    window: int
    usage: list[HostUsage]


class UsageConfirmation(msgspec.Struct, frozen=True, array_like=True, tag="heard"):
    """The holder's confirmation of a word on usage.

    Attributes:
        holder: who confirms it.
        boot: start of the process that told it.
        number: of the word.
    """

    holder: DutyHolder
    boot: int
    number: int


class UsageRequest(msgspec.Struct, frozen=True, array_like=True, tag="question"):
    """The holder of the duties lacks a host's counts and asks for them."""

    holder: DutyHolder


PeriodicReport = Report | CellReport
HostMessage = (
    Report
    | CellReport
    | DepartureReport
    | SuspectReport
    | UsageReport
    | UsageConfirmation
    | UsageRequest
)
