"""A replay of hosts that retry rejected requests while they start and leave."""

import random
from collections.abc import Iterable

import msgspec
import trio

from dewridge.gateway.hosts import HOSTS_PREFIX, HostEntry
from dewridge.gateway.limits.retries import RetryCause
from dewridge.gateway.state import GatewayState
from dewridge.ids import HostId
from dewridge.platform.store import Item, Listing
from dewridge.tests.gateway.world import DOMAIN, ENGINE, make_state
from dewridge.tests.soak.retrychecks import find_excess

RETRY_RATIO = 0.2
RETRY_WINDOW = 10.0
SLACK_PER_HOST = 6.0
ADDRESS = "127.0.0.1:9"
REQUESTS_PER_HOST = 7.0
"""Requests per second for each host of the fleet, whether it serves or not."""
MAX_RETRIES = 2
"""Retries of one request."""


class RetryReplay:
    """Hosts before one service that rejects requests.

    Attributes:
        rejected_share: share of the requests that servers reject.
        requests: times at which callers sent a request.
        repeats: times at which a request reached a server once more.
        states: the hosts that run.
        slack: retries allowed in a window beside those that requests earn.
    """

    def __init__(self, host_count: int, seed: int = 1) -> None:
        self.rejected_share = 0.0
        self.requests: list[float] = []
        self.repeats: list[float] = []
        self.states: dict[HostId, GatewayState] = {}
        self.hosts = [HostId(f"host-{number}") for number in range(host_count)]
        self.slack = SLACK_PER_HOST * host_count
        self._rng = random.Random(seed)
        self._registered = list(self.hosts)
        self._revision = 0
        for host in self.hosts:
            self.start(host, started_at=float("-inf"))

    def start(
        self, host: HostId, *, started_at: float | None = None, is_listed: bool = True
    ) -> None:
        """Start a host that knows nothing from before.

        Args:
            host: the host.
            started_at: time at which its process started; now if None.
            is_listed: whether it has read the list of hosts.
        """
        self.states[host] = make_state(
            None,
            host=host,
            started_at=trio.current_time() if started_at is None else started_at,
            retry_ratio=RETRY_RATIO,
            retry_slack=self.slack,
            retry_window=RETRY_WINDOW,
        )
        if host not in self._registered:
            self._registered.append(host)
            self._list_hosts(self.states.values())
        elif is_listed:
            self._list_hosts([self.states[host]])

    def kill(self, host: HostId) -> None:
        """Kill a host; its registration outlives it."""
        del self.states[host]

    def leave(self, host: HostId) -> None:
        """Stop a host, which ends its registration."""
        del self.states[host]
        self._registered.remove(host)
        self._list_hosts(self.states.values())

    def _list_hosts(self, states: Iterable[GatewayState]) -> None:
        self._revision += 1
        items = [
            Item(
                f"{HOSTS_PREFIX}{host}/1",
                msgspec.json.encode(
                    HostEntry(host, 1, ADDRESS, ADDRESS, DOMAIN, is_ready=True)
                ),
                self._revision,
            )
            for host in self._registered
        ]
        for state in states:
            state.hosts.replace(Listing(tuple(items), self._revision))

    async def begin_rejecting(self) -> None:
        """Let servers reject most requests, after a window without rejections."""
        await self.run(RETRY_WINDOW)
        self.rejected_share = 0.8

    async def run(self, seconds: float) -> None:
        """Let callers send requests to random hosts for some seconds."""
        end = trio.current_time() + seconds
        interval = 1 / (REQUESTS_PER_HOST * len(self.hosts))
        while trio.current_time() < end:
            self._send_request()
            await trio.sleep(interval)

    def _send_request(self) -> None:
        now = trio.current_time()
        self.requests.append(now)
        if not self.states:
            return
        retries = self._rng.choice(list(self.states.values())).retries
        retries.record_first_attempt(ENGINE, now)
        for _ in range(MAX_RETRIES):
            if self._rng.random() >= self.rejected_share:
                return
            if not retries.acquire(ENGINE, RetryCause.REJECTED, now):
                return
            self.repeats.append(now)

    def count_repeats(self, begin: float, end: float) -> int:
        """Return the repeats in a period."""
        return sum(begin <= at < end for at in self.repeats)

    def find_excess(self) -> str | None:
        """Return the first window with too many repeats; None if there is none."""
        return find_excess(
            self.requests,
            self.repeats,
            ratio=RETRY_RATIO,
            slack=self.slack,
            window=RETRY_WINDOW,
        )
