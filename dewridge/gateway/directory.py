"""What callers and the platform ask beside requests: addresses, and readiness."""

import trio

from dewridge.codes import ResultCode
from dewridge.gateway.ingress import send_failure
from dewridge.gateway.model import CallerRequest
from dewridge.gateway.responder import Responder
from dewridge.gateway.state import GatewayState
from dewridge.platform.directory import (
    ADDRESS_LIMIT,
    READY_PATH,
    RESOLVE_PATH,
    encode_addresses,
)
from dewridge.sentinels import Failure

ANSWER_TTL = 1.0
"""Seconds that callers keep the addresses. Some keep them three times as long, and a
leaving host has to serve them until then: at 1 s a stream that the last of them
begins still has five of the eight seconds of grace."""
CELL_ANSWER_TTL = 2.0
"""The same in a large fleet. A question costs about 3 ms of processor time with its
connection, at 1 s a tenth of all; one host that goes is a small part of each list."""
JSON = [(b"content-type", b"application/json")]


def find_address_ttl(state: GatewayState) -> float:
    """Return the seconds that callers may keep a list of addresses."""
    ttl = CELL_ANSWER_TTL if state.sharing.has_cells else ANSWER_TTL
    return min(ttl, state.settings.bounds.answer_ttl)


class Directory:
    """Answers from what this host knows; nothing here waits for another."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    async def serve(self, request: CallerRequest, out: Responder) -> None:
        """Answer one question."""
        path = request.path
        if path == READY_PATH:
            await self._tell_readiness(out)
        elif path == RESOLVE_PATH:
            await self._tell_addresses(out)
        else:
            await send_failure(
                out, Failure(ResultCode.UNKNOWN_OPERATION, "no such call")
            )

    async def _tell_readiness(self, out: Responder) -> None:
        is_ready = self._state.is_ready
        await out.send_complete(200 if is_ready else 503, JSON, b"{}")

    async def _tell_addresses(self, out: Responder) -> None:
        addresses = self.list_addresses()
        if not addresses:
            failure = Failure(ResultCode.NO_BACKEND_SERVER, "no host is ready", 0.3)
            await send_failure(out, failure)
            return
        ttl = find_address_ttl(self._state)
        await out.send_complete(200, JSON, encode_addresses(addresses, ttl))

    def list_addresses(self) -> list[str]:
        """Return the addresses of hosts that are ready and heard.

        A registration outlives its host by seconds, and one that is cut off from the
        store can't change its own. Hosts that have gone silent are left out sooner,
        and so are those that say they are not ready. When that leaves none, this host
        is the one that is cut off, or the store is away from all, and the
        registrations are the better word.
        """
        summary = self._state.sharing.find_summary(trio.current_time())
        registered = [one for one in self._state.hosts.list_hosts() if one.is_ready]
        own = [one for one in registered if one.id == self._state.host]
        if not self._state.is_ready:
            own = []
        others = [
            one
            for one in registered
            if one.id in summary.live_hosts and one.id not in summary.unready_hosts
        ]
        chosen = [*own, *others] if others else registered
        addresses = [entry.frontend for entry in chosen]
        self._state.rng.shuffle(addresses)
        return addresses[:ADDRESS_LIMIT]
