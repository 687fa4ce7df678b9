"""Pushback of backend servers: what they ask of the hosts in their answers.

Every request to a server is counted here before it is sent, and every answer is read
here for the server's signals.
"""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import trio
from loguru import logger as log

from dewridge.gateway.brittleservers import BrittleServers
from dewridge.gateway.limits.senders import SenderHosts
from dewridge.gateway.servers import ServerTable
from dewridge.http1.client import Headers, ResponseHead
from dewridge.ids import BackendServerId, HostId
from dewridge.metrics.registry import Metrics
from dewridge.platform.signals import ServerSignals, decode_signals
from dewridge.policy.requestlimits import (
    LimitNotice,
    LimitPacer,
    SendSlot,
    compute_share,
    find_later_send_time,
    rank_sender,
    select_notice,
)
from dewridge.policy.rests import RestTimer

LOGGED_LIMIT_RATIO = 1.25
"""Ratio between a limit and the last one logged from which it is logged again. Servers
may name a slightly different limit in each answer."""
NOTICE_RETENTION = 15.0
"""Seconds for which the end of a limit is remembered. Reports of other hosts may still
repeat the limit for some seconds, and would bring it back."""


@dataclass
class _ServerPushback:
    """What one server asks for, and the requests that this host sent to it.

    Attributes:
        notice: the newest notice of its limit from any host; None if it named none.
        source: the host that received that answer.
        own_notice: the newest notice of this host's own answers.
        logged_limit: limit in the last line of the log; None for no limit.
        is_fault_logged: whether a header that can't be read was logged.
        rest: the rest that it asked of this host.
        pacer: spaces this host's requests.
        rank: rank of this host among the senders, for a version of the list of hosts.
    """

    notice: LimitNotice | None = None
    source: HostId | None = None
    own_notice: LimitNotice | None = None
    logged_limit: float | None = None
    is_fault_logged: bool = False
    rest: RestTimer = field(default_factory=RestTimer)
    pacer: LimitPacer = field(default_factory=LimitPacer)
    rank: tuple[int, int | None] = (-1, None)


class PushbackTable:
    """What the servers ask for, by server process.

    Attributes:
        brittle: the servers that fall over if they have to reject many requests.
    """

    def __init__(
        self,
        local_host: HostId,
        senders: SenderHosts,
        draw_random: Callable[[], float],
        servers: ServerTable,
        metrics: Metrics,
    ) -> None:
        """Create a table without servers.

        Args:
            local_host: this host.
            senders: the hosts among which limits are divided.
            draw_random: returns a random number from 0 up to 1.
            servers: table of the servers; leaving ones are dropped from it.
            metrics: counts the signals.
        """
        self._local_host = local_host
        self._senders = senders
        self._draw_random = draw_random
        self._servers = servers
        self._metrics = metrics
        self._by_server: dict[BackendServerId, _ServerPushback] = {}
        self.brittle = BrittleServers(servers, metrics, self._rank_host)

    def record_head(
        self, server: BackendServerId, head: ResponseHead, is_current: bool
    ) -> None:
        """Apply the signals in the head of an answer; see `record_answer`."""
        self.record_answer(server, head.status, head.headers, is_current=is_current)

    def record_answer(
        self,
        server: BackendServerId,
        status: int,
        headers: Headers,
        *,
        is_current: bool = True,
    ) -> None:
        """Apply the signals of an answer.

        Args:
            server: the process that sent the answer.
            status: status of the answer.
            headers: headers of the answer.
            is_current: whether it answers the request that was just sent. A second
                answer to an earlier request may be old: that it lacks a signal shows
                nothing.
        """
        signals = decode_signals(status, headers, time.time())
        self._log_faults(server, signals)
        now = trio.current_time()
        if signals.rest is not None:
            self._metrics.add("answers_with_pushback_total", signal="rest")
            self.apply_rest(server, signals.rest, now)
        if signals.is_leaving:
            self._metrics.add("answers_with_pushback_total", signal="leaving")
            self._servers.drop(server, now, "its answer says so")
        if signals.limit is not None:
            self._metrics.add("answers_with_pushback_total", signal="limit")
            self._apply_own_notice(server, LimitNotice(signals.limit, now))
        elif is_current and not signals.has_limit_header and server in self._by_server:
            notice = self._by_server[server].notice
            if notice is not None and not notice.has_ended:
                ended = LimitNotice(notice.limit, now, has_ended=True)
                self._apply_own_notice(server, ended)
        if is_current:
            self.brittle.record_answer(server, status, headers, signals)

    def apply_rest(self, server: BackendServerId, seconds: float, now: float) -> None:
        """Send a server nothing for some seconds."""
        if self._get(server).rest.extend(seconds, now):
            log.bind(server=server, seconds=round(seconds, 2)).info("server rests")

    def _apply_own_notice(self, server: BackendServerId, notice: LimitNotice) -> None:
        self._get(server).own_notice = notice
        self.merge_notice(server, notice, self._local_host)

    def merge_notice(
        self, server: BackendServerId, notice: LimitNotice, source: HostId
    ) -> None:
        """Apply a notice of this or another host unless a newer one is known."""
        known = self._get(server)
        selected = select_notice(known.notice, notice)
        if selected is known.notice:
            return
        known.notice, known.source = selected, source
        limit = None if selected.has_ended else selected.limit
        if not _is_similar(limit, known.logged_limit):
            known.logged_limit = limit
            log.bind(server=server, limit=limit, source=source).info(
                "server limit ended" if limit is None else "server limit"
            )

    def _log_faults(self, server: BackendServerId, signals: ServerSignals) -> None:
        if not signals.faults or self._get(server).is_fault_logged:
            return
        self._get(server).is_fault_logged = True
        log.bind(server=server, reason="; ".join(signals.faults)).warning(
            "server signal can't be read"
        )

    def _get(self, server: BackendServerId) -> _ServerPushback:
        return self._by_server.setdefault(server, _ServerPushback())

    def find_send_time(self, server: BackendServerId, now: float) -> float:
        """Return the earliest time at which the server may get one more request.

        Returns:
            A monotonic time; infinite if only other hosts may send to it.
        """
        room_at = self.brittle.find_send_time(server, now)
        known = self._by_server.get(server)
        if known is None:
            return room_at
        pacer = self._find_pacer(server, now)
        send_at = now if pacer is None else pacer.find_send_time(now)
        return max(send_at, known.rest.until, room_at)

    def find_later_send_time(
        self, servers: Iterable[BackendServerId], position: int, now: float
    ) -> float:
        """Return when one of several servers may get a request, behind others.

        Args:
            servers: servers that may get no request now.
            position: number of requests that wait before this one.
            now: monotonic time.
        """
        slots = []
        for server in servers:
            pacer = self._find_pacer(server, now)
            interval = 0.0 if pacer is None else pacer.share.interval
            slots.append(SendSlot(self.find_send_time(server, now), interval))
        return find_later_send_time(slots, position)

    def acquire(
        self, server: BackendServerId, now: float, *, is_essential: bool = False
    ) -> bool:
        """Return whether a request may be sent now, and count it if so.

        Args:
            server: the server.
            now: monotonic time.
            is_essential: whether a running stream would be lost without the request.
                It exceeds a limit, and later ones wait longer for it; a rest has room
                for few of them.
        """
        if not self._may_use(server, now, is_essential=is_essential):
            return False
        room_at = self.brittle.find_send_time(server, now, is_counted=True)
        if not is_essential and room_at > now:
            return False
        known = self._by_server.get(server)
        if known is None:
            return True
        pacer = self._find_pacer(server, now)
        if pacer is not None and not is_essential and pacer.find_send_time(now) > now:
            return False
        if not known.rest.acquire(now, is_essential=is_essential):
            return False
        if pacer is not None:
            pacer.record_sent(now)
        return True

    def acquire_control(
        self, server: BackendServerId, now: float, *, is_essential: bool = True
    ) -> bool:
        """Return whether a call about a run that has ended may be made, and count it.

        It is no request, so a leaving server may get it as long as it runs.

        Args:
            server: the server.
            now: monotonic time.
            is_essential: whether a running stream would be lost without the call. A
                rest has room for few of them, and for no others.
        """
        known = self._by_server.get(server)
        return known is None or known.rest.acquire(now, is_essential=is_essential)

    def acquire_relayed(
        self, server: BackendServerId, now: float, *, is_essential: bool = False
    ) -> bool:
        """Return whether a request of a peer may be sent now, and count it if so.

        The peer sends it within its own share of the server's limit. A rest is asked
        of the host that sends to the server, which is this one.
        """
        if not self._may_use(server, now, is_essential=is_essential):
            return False
        known = self._by_server.get(server)
        return known is None or known.rest.acquire(now, is_essential=is_essential)

    def _may_use(
        self, server: BackendServerId, now: float, *, is_essential: bool
    ) -> bool:
        departure = self._servers.find_departure(server)
        if departure is None:
            return True
        if not is_essential:
            return False
        may_use = now < departure.usable_until
        log.bind(
            server=server,
            left_s=round(now - departure.learned_at, 2),
            is_sent=may_use,
        ).info("stream for a leaving server")
        return may_use

    def _find_pacer(self, server: BackendServerId, now: float) -> LimitPacer | None:
        """Return a server's pacer with the share in force; None without a limit."""
        known = self._by_server.get(server)
        if known is None or known.notice is None or known.notice.is_expired(now):
            return None
        rank, host_count = self._rank_host(server, now)
        share = compute_share(known.notice, rank, host_count, now)
        known.pacer.set_share(share, now, self._draw_random())
        return known.pacer

    def _rank_host(self, server: BackendServerId, now: float) -> tuple[int | None, int]:
        """Return this host's rank among the senders of a server, and their number."""
        self._senders.poll(now)
        hosts = self._senders.hosts
        known = self._get(server)
        if known.rank[0] != self._senders.version:
            rank = rank_sender(server, self._local_host, hosts)
            known.rank = self._senders.version, rank
        return known.rank[1], len(hosts)

    def is_withheld(self, server: BackendServerId, now: float) -> bool:
        """Whether a server asks for fewer requests than it would get."""
        known = self._by_server.get(server)
        if known is None:
            return False
        has_limit = known.notice is not None and not known.notice.is_expired(now)
        return has_limit or known.rest.is_resting(now)

    def is_resting(self, server: BackendServerId, now: float) -> bool:
        """Whether a server wants no requests from this host now."""
        known = self._by_server.get(server)
        return known is not None and known.rest.is_resting(now)

    def list_rests(self, now: float) -> dict[BackendServerId, float]:
        """Return the seconds for which each resting server still rests."""
        return {
            server: known.rest.until - now
            for server, known in self._by_server.items()
            if known.rest.is_resting(now)
        }

    @property
    def is_empty(self) -> bool:
        """Whether no server asks for anything."""
        return not self._by_server and self.brittle.is_empty

    def list_own_notices(self) -> dict[BackendServerId, LimitNotice]:
        """Return the newest notice of this host's own answers, by server."""
        return {
            server: known.own_notice
            for server, known in self._by_server.items()
            if known.own_notice is not None
        }

    def list_limits(self, now: float) -> dict[BackendServerId, float]:
        """Return the requests per second that limited servers get from all hosts."""
        return {
            server: known.notice.compute_rate(now)
            for server, known in self._by_server.items()
            if known.notice is not None and not known.notice.is_expired(now)
        }

    def describe(self, server: BackendServerId, now: float) -> str:
        """Return what withholds requests from a server, for logs; empty if nothing."""
        known = self._by_server.get(server)
        if known is None:
            return self.brittle.describe(server, now)
        if known.rest.is_resting(now):
            return (
                f"asked this host for rest {now - known.rest.begun_at:.1f} s ago,"
                f" {known.rest.until - now:.1f} s left"
            )
        if known.notice is None or known.notice.is_expired(now):
            return self.brittle.describe(server, now)
        notice = known.notice
        verb = "ended" if notice.has_ended else "named"
        return (
            f"limit {notice.limit:g}/s {verb} {now - notice.observed_at:.1f} s ago"
            f" to {known.source}"
        )

    def drop_expired(self, servers: set[BackendServerId], now: float) -> None:
        """Drop what no longer applies, and what is known of all other servers."""
        self.brittle.drop_expired(servers, now)
        self._by_server = {
            server: known
            for server, known in self._by_server.items()
            if server in servers and (known.is_fault_logged or _is_in_use(known, now))
        }


def _is_in_use(known: _ServerPushback, now: float) -> bool:
    notice = known.notice
    if known.rest.is_resting(now):
        return True
    if notice is None:
        return False
    return not notice.has_ended or now - notice.observed_at < NOTICE_RETENTION


def _is_similar(limit: float | None, logged: float | None) -> bool:
    if limit is None or logged is None:
        return limit is logged
    low, high = sorted((limit, logged))
    return high <= low * LOGGED_LIMIT_RATIO
