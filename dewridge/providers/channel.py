"""HTTP calls to one of the platform's services, with metrics and typed failures."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

import trio
from loguru import logger as log

from dewridge.bodies import IDENTITY_HEADERS, read_bounded
from dewridge.metrics.registry import Metrics
from dewridge.sentinels import Failure

if TYPE_CHECKING:
    import httpx

CONNECT_SHARE = 0.5
"""Share of a call's timeout that connecting may take. A timeout while connecting proves
that nothing was sent; a later one leaves the outcome unknown. If connecting could take
the full timeout, the two could not be distinguished."""
KEEPALIVE_SECONDS = 4.0
"""Time after which an idle connection is closed. Servers commonly close theirs after
5 s, and a write sent at that moment has an unknown outcome."""
MAX_ANSWER_BYTES = 32_000_000
"""Bytes of an answer, which is held in memory: thousands of hosts or entries."""
MAX_CONNECTIONS = 32
"""Open connections to one service."""


class CallFailure(Enum):
    """Reason for which a call has no answer."""

    NOT_SENT = "not_sent"
    """The call was certainly not sent."""
    LOST = "lost"
    """The call may have been carried out."""


@dataclass(frozen=True, slots=True)
class Answer:
    """An HTTP answer of any status."""

    status: int
    content: bytes

    @property
    def is_server_error(self) -> bool:
        """Whether the status reports a failure of the service (5xx)."""
        return self.status >= 500


class Channel:
    """Calls one service and records metrics of the calls."""

    def __init__(
        self,
        service: str,
        client: "httpx.AsyncClient",
        timeout: float,
        metrics: Metrics,
    ) -> None:
        self._service = service
        self._client = client
        self._timeout = timeout
        self._metrics = metrics
        self._is_up = True
        self._has_skipped = False

    async def call(
        self,
        kind: str,
        method: str,
        path: str,
        *,
        params: dict[str, Any] | None = None,
        content: bytes | None = None,
        wait: float = 0.0,
    ) -> Answer | CallFailure:
        """Make one call.

        Args:
            kind: name of the call in metrics.
            method: HTTP method.
            path: path below the service's URL.
            params: query parameters.
            content: body.
            wait: seconds for which the service may delay its answer (long poll).
        """
        service = self._service
        self._metrics.add("platform_calls_total", service=service, kind=kind)
        started_at = trio.current_time()
        result = await self._send(method, path, params, content, self._timeout + wait)
        if wait == 0.0:
            elapsed = trio.current_time() - started_at
            self._metrics.observe(
                "platform_call_seconds", elapsed, service=service, kind=kind
            )
        self._record_result(result, kind)
        return result

    async def _send(
        self,
        method: str,
        path: str,
        params: dict[str, Any] | None,
        content: bytes | None,
        timeout: float,
    ) -> Answer | CallFailure:
        import httpx  # noqa: PLC0415 - heavy

        limits = httpx.Timeout(timeout, connect=CONNECT_SHARE * self._timeout)
        with trio.move_on_after(timeout):
            try:
                async with self._client.stream(
                    method, path, params=params, content=content, timeout=limits
                ) as answer:
                    body = await read_bounded(answer.aiter_raw(), MAX_ANSWER_BYTES)
            except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
                return CallFailure.NOT_SENT
            except httpx.HTTPError:
                return CallFailure.LOST
            if body is not None:
                return Answer(answer.status_code, body)
        return CallFailure.LOST

    def _record_result(self, result: Answer | CallFailure, kind: str) -> None:
        failed = isinstance(result, CallFailure) or result.is_server_error
        if failed:
            reason = result.value if isinstance(result, CallFailure) else "server_error"
            self._count_failure(kind, reason)
        if failed == self._is_up:
            self._is_up = not failed
            self._metrics.set_gauge(
                "platform_up", float(self._is_up), service=self._service
            )
            log.info(
                "platform service {} is {}", self._service, "down" if failed else "up"
            )

    def record_malformed(self, kind: str) -> None:
        """Count an answer that cannot be decoded."""
        self._count_failure(kind, "malformed")

    def record_skipped(self, failures: Sequence[Failure]) -> None:
        """Count the records of a listing that cannot be decoded.

        The first is logged when a listing has any for the first time, or again after
        one without: a listing is read several times a second.
        """
        for _ in failures:
            self.record_malformed("record")
        if failures and not self._has_skipped:
            log.bind(reason=failures[0].reason, records=len(failures)).warning(
                "the {} lists records that can't be read", self._service
            )
        self._has_skipped = bool(failures)

    def _count_failure(self, kind: str, reason: str) -> None:
        self._metrics.add(
            "platform_failures_total", service=self._service, kind=kind, reason=reason
        )


@asynccontextmanager
async def open_channel(
    service: str, url: str, timeout: float, metrics: Metrics
) -> AsyncIterator[Channel]:
    """Open a channel to a service; it connects on the first call."""
    import httpx  # noqa: PLC0415 - heavy

    limits = httpx.Limits(
        max_connections=MAX_CONNECTIONS, keepalive_expiry=KEEPALIVE_SECONDS
    )
    # The platform is mostly reached over plain HTTP at addresses from the settings.
    # Proxy settings of the environment are ignored and redirects not followed.
    # Certificates are loaded for https URLs only; they take megabytes per process.
    client = httpx.AsyncClient(
        base_url=url,
        limits=limits,
        headers=IDENTITY_HEADERS,
        trust_env=False,
        verify=url.startswith("https:"),
    )
    async with client:
        yield Channel(service, client, timeout, metrics)
