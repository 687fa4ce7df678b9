"""Polls the platform for backend servers and spreads changes to all entry hosts."""

import random
import time
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
import trio
import xxhash
from loguru import logger as log

from dewridge.decoding import Amount, Name, decode_json
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
DUTY_HOLDERS = 2
"""Hosts that poll the platform. With a single one, nobody would poll for a few seconds
after it crashes; more would add calls. If each of 440 hosts polled the host list and
the reclaim notices twice a second, the platform would get 1,760 calls a second instead
of 8."""
HEARTBEAT_PERIODS = 8
"""Polls from one heartbeat to the next. A heartbeat is a rumor that reports that the
host list is being polled."""
STALE_PERIODS = 24
"""Poll periods without a heartbeat after which a host polls on its own: it or the
platform may be partitioned from the holders of the duty."""
MISMATCH_THRESHOLD = 3
"""Successive heartbeats differing from this host's table after which it polls the list
on its own. The first ones may differ because changes are still being spread."""
ABSENT_SECONDS = 5.0
"""Time after which a server missing from the list counts as removed. Otherwise a list
that is wrong for a moment would take live servers out of use."""
JITTER = 0.2
"""Width of the random variation of the poll period, as a share of it; it keeps hosts
from polling at the same moment."""

GONE_RETENTION_SECONDS = 3_600.0
"""Time for which members retain the rumor that a server is removed; it exceeds the lag
of the host list. Without expiry, the servers replaced in a year would fill the memory
of every host."""

KIND_SERVER = "server"
KIND_LEAVING = "server_leaving"
KIND_HOST_RECLAIM = "host_reclaim"
KIND_LISTING = "server_listing"

T = TypeVar("T")

VERSION_WITHOUT_TIME = 1
"""Version of the rumor of a departure without a known time. If the time is known, it is
the version, in ms: all hosts that see the departure then create the same rumor, which
spreads once."""


class ServerPayload(msgspec.Struct):
    """Payload of a rumor with a server's record in the host list."""

    listed: ListedServer
    gone: bool = False


class LeavingPayload(msgspec.Struct):
    """Payload of a rumor that a backend server is leaving."""

    at: Amount | None
    source: Name


class ReclaimPayload(msgspec.Struct):
    """Payload of a rumor that the cloud reclaims an entry host."""

    at: Amount


class ListingPayload(msgspec.Struct):
    """Payload of a heartbeat: digest of the polling host's server table."""

    digest: int


class FleetWatcher:
    """Polls the host list and the cloud while this host holds that duty.

    Changes are spread to all entry hosts as rumors.
    """

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
        on_local_reclaim: Callable[[float], None],
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._period = settings.poll_period
        self._table = table
        self._host_list = host_list
        self._cloud = cloud
        self._membership = membership
        self._rumors = rumors
        self._metrics = metrics
        self._on_local_reclaim = on_local_reclaim
        self._clock = clock
        self._random = random.Random(membership.local_member.host)
        self._absent_since: dict[BackendServerId, float] = {}
        self._versions: dict[str, int] = {}
        self._last_listing_at = 0.0
        self._mismatches = 0
        self._local_reclaim_at: float | None = None
        self._cached_digest: int | None = None
        self._is_polling = False
        self._polls = 0
        rumors.subscribe_rumors(KIND_SERVER, self._receive_server)
        rumors.subscribe_rumors(KIND_LEAVING, self._receive_leaving)
        rumors.subscribe_rumors(KIND_HOST_RECLAIM, self._receive_host_reclaim)
        rumors.subscribe_rumors(KIND_LISTING, self._receive_heartbeat)
        table.subscribe(self._handle_change)

    async def run(self) -> None:
        """Poll periodically while `must_poll` is true; never returns."""
        while True:
            self._set_polling(self.must_poll())
            if self._is_polling:
                await self.poll()
            self._table.drop_expired()
            factor = 1 + JITTER * (self._random.random() - 0.5)
            await trio.sleep(self._period * factor)

    def must_poll(self) -> bool:
        """Whether this host has to poll the platform itself now."""
        if has_duty(DUTY, self._membership, DUTY_HOLDERS):
            return True
        silent_for = self._clock() - self._last_listing_at
        if silent_for > STALE_PERIODS * self._period:
            return True
        return self._mismatches >= MISMATCH_THRESHOLD

    def _set_polling(self, polling: bool) -> None:
        if polling != self._is_polling:
            self._is_polling = polling
            self._metrics.set_gauge("fleet_polling", float(polling))
            log.info(
                "fleet watcher {} the platform", "polls" if polling else "stops polling"
            )

    async def poll(self) -> None:
        """Poll the host list and the reclaim notices once, and spread changes."""
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
            if self._has_changed(listed):
                self._spread_server(listed)
        # An empty list while servers are known is a fault of the list. Applying it
        # would reject every request; failed attempts soon show which servers are
        # down.
        if listing:
            present = {listed.backend_server for listed in listing}
            self._spread_absent(present | self._host_list.unreadable)
        self._last_listing_at = self._clock()
        if self._polls % HEARTBEAT_PERIODS == 1:
            self._spread_heartbeat()

    def _has_changed(self, listed: ListedServer) -> bool:
        known = self._table.find(listed.backend_server)
        if known is None:
            return listed.state is not HostState.GONE
        if known.listed != listed:
            return True
        return known.state is ServerState.GONE and not self._table.is_leaving(known.id)

    def _spread_absent(self, present: set[BackendServerId]) -> None:
        now = self._clock()
        for server in self._table.list_present():
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
        lifetime = GONE_RETENTION_SECONDS if gone else None
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
        payload = msgspec.json.encode(ListingPayload(self._compute_digest()))
        version = int(self._clock() * 1000)
        self._spread(Rumor(KIND_LISTING, "host_list", version, payload, routine=True))

    def _spread(self, rumor: Rumor) -> None:
        self._metrics.add("fleet_rumors_total", kind=rumor.kind)
        self._rumors.spread(rumor)

    def _handle_change(self, server: BackendServer) -> None:
        self._cached_digest = None
        if server.state is ServerState.LEAVING:
            # The host that learns of it first, perhaps because the server rejected
            # a request, spreads it. Otherwise the other hosts would send requests to
            # the server until the lagging host list or a notice shows its departure.
            at = self._table.find_leaving_time(server.id)
            self._spread_leaving(server.id, at, "server")

    def _receive_server(self, rumor: Rumor) -> None:
        self._versions[rumor.subject] = rumor.version
        payload = self._decode(rumor, ServerPayload)
        if payload is None:
            return
        if not payload.listed.has_address:
            self._metrics.add("fleet_rumors_malformed_total", kind=rumor.kind)
            return
        if payload.gone:
            self._table.record_gone(payload.listed.backend_server)
        else:
            self._table.merge(payload.listed)

    def _receive_leaving(self, rumor: Rumor) -> None:
        payload = self._decode(rumor, LeavingPayload)
        if payload is not None:
            server = BackendServerId(rumor.subject)
            self._table.handle_leaving(server, payload.at, payload.source)

    def _receive_host_reclaim(self, rumor: Rumor) -> None:
        local_member = self._membership.local_member
        payload = self._decode(rumor, ReclaimPayload)
        if payload is None or rumor.subject != local_member.host:
            return
        started_at = local_member.incarnation / 1e6
        # A notice from before this process started was for a previous incarnation.
        if payload.at > started_at and payload.at != self._local_reclaim_at:
            self._local_reclaim_at = payload.at
            log.info("the cloud reclaims this host")
            self._on_local_reclaim(payload.at)

    def _receive_heartbeat(self, rumor: Rumor) -> None:
        payload = self._decode(rumor, ListingPayload)
        if payload is None:
            return
        self._last_listing_at = self._clock()
        is_same = payload.digest == self._compute_digest()
        self._mismatches = 0 if is_same else self._mismatches + 1

    def _decode(self, rumor: Rumor, kind: type[T]) -> T | None:
        payload = decode_json(rumor.payload, kind)
        if isinstance(payload, Failure):
            self._metrics.add("fleet_rumors_malformed_total", kind=rumor.kind)
            return None
        return payload

    def _compute_digest(self) -> int:
        if self._cached_digest is None:
            hasher = xxhash.xxh3_64()
            for server in self._table.list_present():
                names = ",".join(server.listed.services)
                line = f"{server.id}|{server.listed.address}|{names};"
                hasher.update(line.encode())
            self._cached_digest = hasher.intdigest()
        return self._cached_digest

    async def describe(self) -> dict[str, Any]:
        """Return the watcher's state for a state dump."""
        return {
            "polls_platform": self._is_polling,
            "polls": self._polls,
            "seconds_since_listing": self._clock() - self._last_listing_at,
            "absent": sorted(self._absent_since),
            "servers": self._table.describe(),
        }
