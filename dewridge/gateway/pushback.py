"""Pushback of backend servers: what they ask of the hosts in their answers."""

from dataclasses import dataclass

from loguru import logger as log

from dewridge.http1.client import Headers
from dewridge.ids import BackendServerId
from dewridge.metrics.registry import Metrics
from dewridge.platform.signals import ServerSignals, decode_signals

LOGGED_LIMIT_RATIO = 1.25
"""Ratio between a limit and the last one logged from which it is logged again. Servers
may name a slightly different limit in each answer."""


@dataclass
class _ServerPushback:
    """What one server asks for.

    Attributes:
        limit: requests per second that it takes from all hosts; None for no limit.
        logged_limit: limit in the last line of the log.
        is_fault_logged: whether a header that can't be read was logged.
    """

    limit: float | None = None
    logged_limit: float | None = None
    is_fault_logged: bool = False


class PushbackTable:
    """What the servers ask for, by server process."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._servers: dict[BackendServerId, _ServerPushback] = {}

    def record_answer(
        self, server: BackendServerId, headers: Headers, *, is_current: bool = True
    ) -> None:
        """Apply the signals of an answer.

        Args:
            server: the process that sent the answer.
            headers: headers of the answer.
            is_current: whether it answers the request that was just sent. A second
                answer to an earlier request may be old: that it lacks a signal shows
                nothing.
        """
        signals = decode_signals(headers)
        self._log_faults(server, signals)
        if signals.limit is not None:
            self._metrics.add("answers_with_pushback_total", signal="limit")
            self._set_limit(server, signals.limit)
        elif is_current and not signals.has_limit_header and server in self._servers:
            self._set_limit(server, None)

    def _set_limit(self, server: BackendServerId, limit: float | None) -> None:
        known = self._get(server)
        known.limit = limit
        if not _is_similar(limit, known.logged_limit):
            known.logged_limit = limit
            log.bind(server=server, limit=limit).info(
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
        return self._servers.setdefault(server, _ServerPushback())

    def list_limits(self) -> dict[BackendServerId, float]:
        """Return the limits in force, in requests per second."""
        return {
            server: known.limit
            for server, known in self._servers.items()
            if known.limit is not None
        }

    def retain(self, servers: set[BackendServerId]) -> None:
        """Drop what is known of all other servers."""
        self._servers = {
            server: known
            for server, known in self._servers.items()
            if server in servers
        }


def _is_similar(limit: float | None, logged: float | None) -> bool:
    if limit is None or logged is None:
        return limit is logged
    low, high = sorted((limit, logged))
    return high <= low * LOGGED_LIMIT_RATIO
