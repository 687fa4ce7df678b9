"""Learns of backend servers and spreads what it learns to all entry hosts."""

import random
import time
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
import trio
import xxhash
from loguru import logger as log

from dewridge.fleet.model import BackendServer, ServerState
from dewridge.fleet.table import ServerTable
from dewridge.ids import BackendServerId, HostId
from dewridge.membership.model import MembershipView, Rumor, Rumors
from dewridge.membership.ranking import has_duty
from dewridge.metrics.registry import Metrics
from dewridge.providers.model import (
    Cloud,
    HostList,
    HostState,
    ListedServer,
    ReclaimNotice,
)
from dewridge.sentinels import Failure
from dewridge.settings.schema import PlatformSettings

DUTY = "fleet"
HOLDERS = 2
"""Hosts that poll the platform. One would leave a gap of a few seconds whenever it
dies; more would add calls. At 440 hosts polling each by itself, twice a second,
the platform would see 1,760 calls a second in place of 8."""
HEARTBEAT_PERIODS = 8
"""Polls between two rumors that only say that the list is still being read."""
STALE_PERIODS = 24
"""A host that heard no listing for this many periods polls by itself: the holders
of the duty may be cut off from it or from the platform."""
MISMATCHES = 3
"""Heartbeats that may disagree with this host's table before it reads the list
itself; changes still on their way explain the first ones."""
ABSENT_SECONDS = 5.0
"""A server missing from the list this long counts as gone. A list that is wrong
for a moment would otherwise take live servers out of use."""
JITTER = 0.2
"""Share by which periods vary, so that hosts do not poll at the same moment."""

GONE_KEPT = 3_600.0
"""Seconds that members remember a server as gone: longer than the host list lags.
For ever, the servers replaced in a year would fill every host's memory."""

KIND_SERVER = "server"
KIND_LEAVING = "server_leaving"
KIND_HOST_RECLAIM = "host_reclaim"
KIND_LISTING = "server_listing"

T = TypeVar("T")

VERSION_WITHOUT_TIME = 1
"""A leaving whose time is known has that time, in ms, as its version: all hosts
that see it make the same rumor, and it spreads once."""


class ServerPayload(msgspec.Struct):
    """Payload of a rumor of what the host list says of a server."""

    listed: ListedServer
    gone: bool = False


class LeavingPayload(msgspec.Struct):
    """Payload of a rumor that a backend server leaves."""

    at: float | None
    source: str


class ReclaimPayload(msgspec.Struct):
    """Payload of a rumor that the cloud takes an entry host back."""

    at: float


class ListingPayload(msgspec.Struct):
    """Payload of a heartbeat: what the list held, in short."""

    digest: int


class FleetWatcher:
    """Polls the host list and the cloud if that is this host's duty."""

    def __init__(
        self,
        *,
        settings: PlatformSettings,
        table: ServerTable,
        host_list: HostList,
        cloud: Cloud,
        membership: MembershipView,
        rumors: Rumors,
        metrics: Metrics,
        on_own_notice: Callable[[float], None],
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._period = settings.poll_period
        self._table = table
        self._host_list = host_list
        self._cloud = cloud
        self._membership = membership
        self._rumors = rumors
        self._metrics = metrics
        self._on_own_notice = on_own_notice
        self._clock = clock
        self._random = random.Random(membership.local_member.host)
        self._absent_since: dict[BackendServerId, float] = {}
        self._versions: dict[str, int] = {}
        self._last_heard = 0.0
        self._mismatches = 0
        self._own_notice: float | None = None
        self._known_digest: int | None = None
        self._is_polling = False
        self._polls = 0
        rumors.subscribe_rumors(KIND_SERVER, self._hear_server)
        rumors.subscribe_rumors(KIND_LEAVING, self._hear_leaving)
        rumors.subscribe_rumors(KIND_HOST_RECLAIM, self._hear_host_reclaim)
        rumors.subscribe_rumors(KIND_LISTING, self._hear_listing)
        table.subscribe(self._note_change)

    async def run(self) -> None:
        """Poll when it is this host's turn, for as long as the host runs."""
        while True:
            self._set_polling(self.must_poll())
            if self._is_polling:
                await self.poll()
            self._table.forget_gone()
            spread = 1 + JITTER * (self._random.random() - 0.5)
            await trio.sleep(self._period * spread)

    def must_poll(self) -> bool:
        """Whether this host reads the platform itself now."""
        if has_duty(DUTY, self._membership, HOLDERS):
            return True
        silence = self._clock() - self._last_heard
        if silence > STALE_PERIODS * self._period:
            return True
        return self._mismatches >= MISMATCHES

    def _set_polling(self, polling: bool) -> None:
        if polling != self._is_polling:
            self._is_polling = polling
            self._metrics.set_gauge("fleet_polling", float(polling))
            log.info("fleet watcher {} the platform", "polls" if polling else "leaves")

    async def poll(self) -> None:
        """Read the host list and the notices once, and spread what is new."""
        self._polls += 1
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_host_list)
            nursery.start_soon(self._poll_notices)

    async def _poll_host_list(self) -> None:
        listing = await self._host_list.fetch()
        if isinstance(listing, Failure):
            self._metrics.add("fleet_poll_failures_total", source="host_list")
            return
        self._mismatches = 0
        for listed in listing:
            self._absent_since.pop(listed.backend_server, None)
            if self._is_news(listed):
                self._spread_server(listed)
        # An empty list while servers are known is a fault of the list: to
        # believe it would refuse every request, and attempts show soon enough
        # which servers are gone.
        if listing:
            self._find_absent({listed.backend_server for listed in listing})
        self._last_heard = self._clock()
        if self._polls % HEARTBEAT_PERIODS == 1:
            self._spread_heartbeat()

    def _is_news(self, listed: ListedServer) -> bool:
        known = self._table.find(listed.backend_server)
        if known is None:
            return listed.state is not HostState.GONE
        if known.listed != listed:
            return True
        return known.state is ServerState.GONE and not self._table.is_leaving(known.id)

    def _find_absent(self, present: set[BackendServerId]) -> None:
        now = self._clock()
        for server in self._table.all():
            if server.id in present:
                continue
            since = self._absent_since.setdefault(server.id, now)
            if now - since >= ABSENT_SECONDS:
                del self._absent_since[server.id]
                self._spread_server(server.listed, gone=True)

    async def _poll_notices(self) -> None:
        notices = await self._cloud.fetch_notices()
        if isinstance(notices, Failure):
            self._metrics.add("fleet_poll_failures_total", source="cloud")
            return
        for notice in notices:
            if self._membership.find(HostId(notice.subject)) is not None:
                self._spread_host_reclaim(notice)
            else:
                server = BackendServerId(notice.subject)
                self._table.handle_leaving(server, notice.at, "cloud")
                self._spread_leaving(server, notice.at, "cloud")

    def _spread_server(self, listed: ListedServer, gone: bool = False) -> None:
        subject = listed.backend_server
        version = max(int(self._clock() * 1000), self._versions.get(subject, 0) + 1)
        payload = msgspec.json.encode(ServerPayload(listed, gone))
        lifetime = GONE_KEPT if gone else None
        self._spread(Rumor(KIND_SERVER, subject, version, payload, lifetime=lifetime))

    def _spread_leaving(
        self, server: BackendServerId, at: float | None, source: str
    ) -> None:
        version = VERSION_WITHOUT_TIME if at is None else int(at * 1000)
        payload = msgspec.json.encode(LeavingPayload(at, source))
        self._spread(Rumor(KIND_LEAVING, server, version, payload))

    def _spread_host_reclaim(self, notice: ReclaimNotice) -> None:
        payload = msgspec.json.encode(ReclaimPayload(notice.at))
        version = int(notice.at * 1000)
        self._spread(Rumor(KIND_HOST_RECLAIM, notice.subject, version, payload))

    def _spread_heartbeat(self) -> None:
        payload = msgspec.json.encode(ListingPayload(self._find_digest()))
        version = int(self._clock() * 1000)
        self._spread(Rumor(KIND_LISTING, "host_list", version, payload, routine=True))

    def _spread(self, rumor: Rumor) -> None:
        self._metrics.add("fleet_rumors_total", kind=rumor.kind)
        self._rumors.spread(rumor)

    def _note_change(self, server: BackendServer) -> None:
        self._known_digest = None
        if server.state is ServerState.LEAVING:
            # Whoever sees it first, a refusal of the server's own included,
            # tells all: others would go on sending to it for as long as the
            # host list and the notices lag.
            at = self._table.find_announced(server.id)
            self._spread_leaving(server.id, at, "server")

    def _hear_server(self, rumor: Rumor) -> None:
        self._versions[rumor.subject] = rumor.version
        payload = self._decode(rumor, ServerPayload)
        if payload is None:
            return
        if payload.gone:
            self._table.note_gone(payload.listed.backend_server)
        else:
            self._table.merge(payload.listed)

    def _hear_leaving(self, rumor: Rumor) -> None:
        payload = self._decode(rumor, LeavingPayload)
        if payload is not None:
            server = BackendServerId(rumor.subject)
            self._table.handle_leaving(server, payload.at, payload.source)

    def _hear_host_reclaim(self, rumor: Rumor) -> None:
        me = self._membership.local_member
        payload = self._decode(rumor, ReclaimPayload)
        if payload is None or rumor.subject != me.host:
            return
        started = me.incarnation / 1e6
        # A notice from before this start was for the host's predecessor.
        if payload.at > started and payload.at != self._own_notice:
            self._own_notice = payload.at
            log.info("the cloud takes this host back")
            self._on_own_notice(payload.at)

    def _hear_listing(self, rumor: Rumor) -> None:
        payload = self._decode(rumor, ListingPayload)
        if payload is None:
            return
        self._last_heard = self._clock()
        agrees = payload.digest == self._find_digest()
        self._mismatches = 0 if agrees else self._mismatches + 1

    def _decode(self, rumor: Rumor, kind: type[T]) -> T | None:
        try:
            return msgspec.json.decode(rumor.payload, type=kind)
        except msgspec.DecodeError:
            self._metrics.add("fleet_rumors_malformed_total", kind=rumor.kind)
            return None

    def _find_digest(self) -> int:
        if self._known_digest is None:
            state = xxhash.xxh3_64()
            for server in self._table.all():
                names = ",".join(server.listed.services)
                line = f"{server.id}|{server.listed.address}|{names};"
                state.update(line.encode())
            self._known_digest = state.intdigest()
        return self._known_digest

    async def describe(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            "polls_platform": self._is_polling,
            "polls": self._polls,
            "seconds_since_listing": self._clock() - self._last_heard,
            "absent": sorted(self._absent_since),
            "servers": self._table.describe(),
        }
