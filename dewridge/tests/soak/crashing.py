"""A caller whose request ends each server that runs it, sent again and again."""

import random
from dataclasses import dataclass

import h11
import trio

from dewridge.tests.soak.callers import PATIENCE, TOKENS, exchange
from dewridge.tests.soak.records import History, Kind, Sent
from dewridge.tests.soak.servers import CRASH_BODY
from dewridge.tests.soak.stage import Gateway

PAUSE = 0.4
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
    kind: Kind
    key: str
    history: History
    gateways: list[Gateway]
    rng: random.Random
    _count: int = 0

    async def run(self) -> None:
        """Send for ever."""
        while True:
            await trio.sleep(self.rng.expovariate(1 / PAUSE))
            gateway = self.rng.choice(self.gateways)
            host, _, port = gateway.callers.rpartition(":")
            try:
                stream = await trio.open_tcp_stream(host, int(port))
            except OSError:
                continue
            async with stream:
                sent = self._make_request(gateway.name)
                state = h11.Connection(h11.CLIENT)
                patience = PATIENCE[self.kind]
                await exchange(stream, state, sent, self.history, patience)

    def _make_request(self, host: str) -> Sent:
        self._count += 1
        return Sent(
            f"{self.name}-{self._count}",
            self.kind,
            host,
            self.key,
            TOKENS,
            0.0,
            content=f"{CRASH_BODY.decode()}{self.name}",
            crashes=True,
        )
