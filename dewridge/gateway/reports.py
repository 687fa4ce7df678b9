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

Holder = tuple[int, HostId]
"""Fencing token and name of a holder of the duties; a later one has a higher token."""
NOBODY: Holder = (0, HostId(""))
UsageCounts = dict[int, dict[ClientAccount, int]]
"""Requests of each account that began to run, by usage window."""
Start = tuple[HostId, int]
"""One start of a host."""
OutcomeName = NewType("OutcomeName", str)
"""Key of a counter: revision of a rollout order, version, kind of count and route."""
REPORTED_WINDOWS = 4
"""Usage windows that hosts tell of: the one that runs and those whose sum is due."""

TENTHS = 10
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


NOTHING = ServerTotals()


class Totals(msgspec.Struct, frozen=True, array_like=True):
    """Running totals since the sender's start, and what goes on now.

    Attributes:
        used: units of quota that each account used.
        asked: units of quota that each account asked for, refused ones included.
        demand: prompt tokens that arrived for each service.
        servers: what goes on at each server. One table of whole numbers takes half of
            the bytes of two with fractions, and datagrams beyond 4 KB get lost.
        outcomes: counts of answers and bad answers of both versions of each rollout
            in progress.
    """

    used: dict[ClientAccount, int] = {}
    asked: dict[ClientAccount, int] = {}
    demand: dict[ServiceName, int] = {}
    servers: dict[BackendServerId, ServerTotals] = {}
    outcomes: dict[OutcomeName, int] = {}


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


class SuspectNews(msgspec.Struct, frozen=True, array_like=True):
    """A request under which servers ended.

    Attributes:
        digest: names its content.
        account: whose it is; empty on an anonymous route.
        service: whose servers ended.
        ends: milliseconds since each server ended, and since the request went there.
        cleared: servers whose ends count no more.
    """

    digest: RequestDigest
    account: ClientAccount
    service: ServiceName
    ends: dict[BackendServerId, tuple[int, int]]
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
        began: requests of each account that began to run, by usage window.
        version: configuration in force there; 0 for none.
        left: servers that left lately, with the seconds until each stops serving; none
            of them comes back under that name.
        confirmed_age: seconds since that version was surely the newest.
        heard: start and number of the last report that the sender heard of each host.
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
    began: UsageCounts = {}
    version: int = 0
    left: dict[BackendServerId, float] = {}
    confirmed_age: float = float("inf")
    heard: dict[HostId, tuple[int, int]] = {}
    holder: Holder = NOBODY
    suspects: list[SuspectNews] = []
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
        left: servers that left lately, with the seconds until each stops serving.
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
    left: dict[BackendServerId, float] = {}
    holder: Holder = NOBODY
    suspects: list[SuspectNews] = []
    rollouts: list[RolloutProgress] = []


class HostUsage(msgspec.Struct, frozen=True, array_like=True):
    """What one start of a host counted."""

    host: HostId
    boot: int
    began: UsageCounts


class LeftReport(msgspec.Struct, frozen=True, array_like=True, tag="left"):
    """Urgent news of servers that left; the usual reports repeat it.

    Attributes:
        host: who tells it.
        left: seconds until each stops serving.
        is_for_mates: whether it comes from the own cell and goes no further.
    """

    host: HostId
    left: dict[BackendServerId, float]
    is_for_mates: bool


class SuspectReport(msgspec.Struct, frozen=True, array_like=True, tag="suspects"):
    """Urgent news of requests under which servers ended; the usual reports repeat it.

    Attributes:
        host: who tells it.
        suspects: the requests.
        is_for_mates: whether it comes from the own cell and goes no further.
    """

    host: HostId
    suspects: list[SuspectNews]
    is_for_mates: bool


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


class UsageHeard(msgspec.Struct, frozen=True, array_like=True, tag="heard"):
    """The holder's confirmation of a word on usage.

    Attributes:
        holder: who confirms it.
        boot: start of the process that told it.
        number: of the word.
    """

    holder: Holder
    boot: int
    number: int


class UsageQuestion(msgspec.Struct, frozen=True, array_like=True, tag="question"):
    """The holder of the duties lacks a host's counts and asks for them."""

    holder: Holder


News = Report | CellReport
Message = (
    Report
    | CellReport
    | LeftReport
    | SuspectReport
    | UsageReport
    | UsageHeard
    | UsageQuestion
)
