"""A caller that keeps retrying a request that crashes each server that runs it."""

import random
from dataclasses import dataclass

import h11
import trio

from dewridge.tests.soak.callers import REQUEST_TIMEOUTS, STREAM_TOKENS, send_request
from dewridge.tests.soak.records import History, RequestKind, SentRequest
from dewridge.tests.soak.servers import CRASH_BODY_PREFIX
from dewridge.tests.soak.stage import Gateway

MEAN_PAUSE = 0.4
"""Average seconds between two attempts."""


@dataclass
class CrashingCaller:
    """Retries one request until cancelled, each time with a new id and a random host.

    Attributes:
        name: prefix of the ids; part of the content, so that crashing requests differ.
        kind: kind of the request.
        key: account key that is never revoked.
        history: records the attempts.
        gateways: the hosts to choose from.
        rng: random generator of its choices.
    """

    name: str
    kind: RequestKind
    key: str
    history: History
    gateways: list[Gateway]
    rng: random.Random
    _request_count: int = 0

    async def run(self) -> None:
        """Send the request until cancelled."""
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
