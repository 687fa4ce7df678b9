"""A caller of uploads, some of which servers answer before they have read them."""

import random
from dataclasses import dataclass

import h11
import trio

from dewridge.tests.soak.callers import PLAIN_TOKENS, send_request
from dewridge.tests.soak.records import History, RequestKind, SentRequest
from dewridge.tests.soak.stage import Gateway

MEAN_PAUSE = 0.3
"""Average seconds between two uploads."""
MIN_BYTES, MAX_BYTES = 500_000, 4_000_000
"""Range of the size of an upload; hosts take 4.19 MB."""
TIMEOUT = 4.0
"""Seconds after which an upload is abandoned; also its deadline."""


@dataclass
class UploadingCaller:
    """Sends uploads one after the other, each on a new connection to a random host.

    Attributes:
        name: prefix of the ids.
        key: account key that is never revoked.
        history: records the requests.
        gateways: the hosts to choose from.
        rng: random generator of its choices.
    """

    name: str
    key: str
    history: History
    gateways: list[Gateway]
    rng: random.Random
    _request_count: int = 0

    async def run(self) -> None:
        """Send uploads until cancelled."""
        while True:
            await trio.sleep(self.rng.expovariate(1 / MEAN_PAUSE))
            await self._send(self.rng.choice(self.gateways))

    async def _send(self, gateway: Gateway) -> None:
        host, _, port = gateway.caller_address.rpartition(":")
        request = self._make_request(gateway.name)
        with trio.move_on_after(1.0) as connecting:
            try:
                stream = await trio.open_tcp_stream(host, int(port))
            except OSError:
                return
        if connecting.cancelled_caught:
            return
        async with stream:
            state = h11.Connection(h11.CLIENT)
            await send_request(stream, state, request, self.history, TIMEOUT)

    def _make_request(self, host: str) -> SentRequest:
        self._request_count += 1
        request_id = f"{self.name}-{self._request_count}"
        kind = self.rng.choice([RequestKind.READ, RequestKind.WRITE])
        request = SentRequest(request_id, kind, host, self.key, PLAIN_TOKENS, 0.0)
        request.content = request_id
        request.timeout = TIMEOUT
        request.upload_bytes = self.rng.randint(MIN_BYTES, MAX_BYTES)
        return request
