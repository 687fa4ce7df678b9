"""A caller whose request ends each server that runs it, sent again and again."""

import random
from dataclasses import dataclass

import h11
import trio

from dewridge.tests.soak.callers import REQUEST_TIMEOUTS, STREAM_TOKENS, send_request
from dewridge.tests.soak.records import History, RequestKind, SentRequest
from dewridge.tests.soak.servers import CRASH_BODY_PREFIX
from dewridge.tests.soak.stage import Gateway

MEAN_PAUSE = 0.4
"""Seconds between two sendings, on average."""


@dataclass
class CrashingCaller:
    """Sends one request for ever, each time under a new id to any host.

    Attributes:
        name: begins the ids, and tells this request from others of its kind.
        kind: what is asked.
        key: an account's key that is never taken away.
        history: where it records.
        gateways: the hosts to choose from.
        rng: its choices.
    """

    name: str
    kind: RequestKind
    key: str
    history: History
    gateways: list[Gateway]
    rng: random.Random
    _request_count: int = 0

    async def run(self) -> None:
        """Send for ever."""
        while True:
            await trio.sleep(self.rng.expovariate(1 / MEAN_PAUSE))
            gateway = self.rng.choice(self.gateways)
            host, _, port = gateway.caller_address.rpartition(":")
            try:
                stream = await trio.open_tcp_stream(host, int(port))
            except OSError:
                continue
            async with stream:
                request = self._make_request(gateway.name)
                state = h11.Connection(h11.CLIENT)
                timeout = REQUEST_TIMEOUTS[self.kind]
                await send_request(stream, state, request, self.history, timeout)

    def _make_request(self, host: str) -> SentRequest:
        self._request_count += 1
        return SentRequest(
            f"{self.name}-{self._request_count}",
            self.kind,
            host,
            self.key,
            STREAM_TOKENS,
            0.0,
            content=f"{CRASH_BODY_PREFIX.decode()}{self.name}",
            crashes_servers=True,
        )
