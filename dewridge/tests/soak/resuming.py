"""A caller whose connections break in the middle of streams that it then resumes."""

import random
from dataclasses import dataclass, field

import h11
import trio

from dewridge.tests.soak.callers import REQUEST_TIMEOUTS, STREAM_TOKENS, send_request
from dewridge.tests.soak.records import History, RequestKind, SentRequest
from dewridge.tests.soak.stage import Gateway

MEAN_PAUSE = 0.1
"""Average seconds between two attempts."""
MAX_RESUMPTIONS = 3
BREAK_TIMES = (0.1, 0.7)
"""Seconds after which the caller's connection breaks: a stream takes half a second."""


@dataclass
class ResumingCaller:
    """Sends streams one after the other, and resumes each at a random host.

    Attributes:
        name: prefix of the ids.
        key: account key that is never revoked.
        history: records the attempts.
        gateways: the hosts to choose from.
        rng: random generator of its choices.
        outdated_hosts: hosts at which it only resumes streams, and resumes all.
    """

    name: str
    key: str
    history: History
    gateways: list[Gateway]
    rng: random.Random
    outdated_hosts: set[str] = field(default_factory=set)
    _request_count: int = 0

    async def run(self) -> None:
        """Send and resume streams until cancelled."""
        while True:
            first = await self._send(None)
            last = first
            for _ in range(MAX_RESUMPTIONS):
                if first is None or last is None or not first.events:
                    break
                if last.events and last.events[-1][2]:
                    break
                last = await self._send(first)

    async def _send(self, first: SentRequest | None) -> SentRequest | None:
        """Send an attempt; return None if there was no connection."""
        await trio.sleep(self.rng.expovariate(1 / MEAN_PAUSE))
        gateway = self.rng.choice(self._list_gateways(is_resumed=first is not None))
        host, _, port = gateway.caller_address.rpartition(":")
        try:
            stream = await trio.open_tcp_stream(host, int(port))
        except OSError:
            return None
        async with stream:
            request = self._make_request(gateway.name, first)
            state = h11.Connection(h11.CLIENT)
            timeout = REQUEST_TIMEOUTS[RequestKind.CHAT]
            if self.rng.random() < 0.5:
                request.breaks_off = True
                timeout = self.rng.uniform(*BREAK_TIMES)
            await send_request(stream, state, request, self.history, timeout)
        return request

    def _list_gateways(self, *, is_resumed: bool) -> list[Gateway]:
        if not self.outdated_hosts:
            return self.gateways
        return [
            gateway
            for gateway in self.gateways
            if (gateway.name in self.outdated_hosts) is is_resumed
        ] or self.gateways

    def _make_request(self, host: str, first: SentRequest | None) -> SentRequest:
        self._request_count += 1
        request_id = f"{self.name}-{self._request_count}"
        request = SentRequest(
            request_id, RequestKind.CHAT, host, self.key, STREAM_TOKENS, 0.0
        )
        request.content = request_id if first is None else first.content
        if first is not None:
            request.first_attempt = first.id
            request.resumes_after = max(
                sent.events[-1][0]
                for sent in self.history.requests.values()
                if first.id in {sent.id, sent.first_attempt} and sent.events
            )
        return request
