"""HTTP endpoints for address lists (callers) and readiness (the platform)."""

import trio

from dewridge.codes import ResultCode
from dewridge.gateway.hosts import HostEntry
from dewridge.gateway.ingress import send_failure
from dewridge.gateway.model import CallerRequest
from dewridge.gateway.responder import Responder
from dewridge.gateway.state import GatewayState
from dewridge.ids import HostId
from dewridge.platform.directory import (
    MAX_ADDRESSES,
    READY_PATH,
    RESOLVE_PATH,
    encode_addresses,
)
from dewridge.policy.reachability import select_listed
from dewridge.sentinels import Failure

ADDRESS_TTL = 1.0
"""Seconds for which callers may use a list of addresses. Some use it for three times as
long, and a leaving host must serve them until then: at 1 s, the last stream that they
start still has five of the eight seconds of the grace period."""
LARGE_FLEET_ADDRESS_TTL = 2.0
"""The same in a large fleet. With its connection, a lookup takes about 3 ms of
processor time; at 1 s, lookups would take a tenth of all processor time. One departed
host is only a small part of a list."""
JSON_HEADERS = [(b"content-type", b"application/json")]


def compute_address_ttl(state: GatewayState) -> float:
    """Return the seconds for which callers may use a list of addresses."""
    ttl = LARGE_FLEET_ADDRESS_TTL if state.sharing.has_cells else ADDRESS_TTL
    return min(ttl, state.settings.bounds.answer_ttl)


class Directory:
    """Answers lookups from local state, without waiting for other processes."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._basis: (
            tuple[
                bool, frozenset[HostId], frozenset[HostId], set[HostId], list[HostEntry]
            ]
            | None
        ) = None
        self._candidates: list[str] = []

    async def serve(self, request: CallerRequest, responder: Responder) -> None:
        """Answer a lookup."""
        path = request.path
        if path == READY_PATH:
            await self._send_readiness(responder)
        elif path == RESOLVE_PATH:
            await self._send_addresses(responder)
        else:
            await send_failure(
                responder, Failure(ResultCode.UNKNOWN_OPERATION, "no such call")
            )

    async def _send_readiness(self, responder: Responder) -> None:
        is_ready = self._state.is_ready
        await responder.send_complete(200 if is_ready else 503, JSON_HEADERS, b"{}")

    async def _send_addresses(self, responder: Responder) -> None:
        addresses = self.list_addresses()
        if not addresses:
            failure = Failure(ResultCode.NO_BACKEND_SERVER, "no host is ready", 0.3)
            await send_failure(responder, failure)
            return
        ttl = compute_address_ttl(self._state)
        await responder.send_complete(
            200, JSON_HEADERS, encode_addresses(addresses, ttl)
        )

    def list_addresses(self) -> list[str]:
        """Return the addresses of ready and live hosts.

        A registration remains for seconds after its host has crashed, and a host that
        is partitioned from the store can't update its own. Therefore hosts that are
        silent or report that they are not ready are excluded. If no other host remains,
        this host is partitioned or the store is unavailable to all hosts, and the
        registrations are the more reliable source.
        """
        addresses = self._list_candidates()
        count = min(MAX_ADDRESSES, len(addresses))
        return self._state.rng.sample(addresses, count)

    def _list_candidates(self) -> list[str]:
        """Return the addresses to draw from, kept until what they depend on changes."""
        summary = self._state.sharing.get_summary(trio.current_time())
        basis = (
            self._state.is_ready,
            summary.live_hosts,
            summary.unready_hosts,
            self._list_partitioned(summary.partitioned_hosts),
            self._state.hosts.list_hosts(),
        )
        if basis == self._basis:
            return self._candidates
        is_ready, live_hosts, unready_hosts, partitioned, hosts = basis
        registered = [host for host in hosts if host.is_ready]
        local = [host for host in registered if host.id == self._state.host]
        if not is_ready:
            local = []
        others = [
            host
            for host in registered
            if host.id in live_hosts and host.id not in unready_hosts
        ]
        chosen = [*local, *others] if others else registered
        listed = set(select_listed([entry.id for entry in chosen], partitioned))
        self._basis = basis
        self._candidates = [entry.frontend for entry in chosen if entry.id in listed]
        return self._candidates

    def _list_partitioned(self, peers: frozenset[HostId]) -> set[HostId]:
        is_local = self._state.links.is_partitioned
        return {*peers, self._state.host} if is_local else set(peers)
