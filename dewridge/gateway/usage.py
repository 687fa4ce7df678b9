"""The duty to report usage: one sum for each window, the same however often sent."""

import time
from collections.abc import Callable, Iterable

import msgspec
import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.gateway.duties import Tenancy
from dewridge.gateway.hosts import PREFIX, HostEntry
from dewridge.gateway.state import GatewayState
from dewridge.ids import ClientAccount
from dewridge.platform.cloud import CallOutcome, Cloud, DutyTerm
from dewridge.platform.store import Item, Store, Write
from dewridge.sentinels import Failure

USAGE_PREFIX = PREFIX + "usage/"
LOOK_PERIOD = 0.5
SETTLE = 2.0
"""Seconds after a window's end before its sum is made: requests that began in it are
counted and heard from all hosts, and clocks differ a little."""
NEW_HOLDER_SETTLE = 2.5
"""Seconds from the begin of a tenure in a large fleet until its first sum: the news of
the holder takes two rounds of reports, and hosts tell it of starts that are gone."""
REPORT_TIME = 4.0
"""Seconds before a sum is due at which it is made of what is there, though counts of
hosts are missing: the store and the cloud API may each let one call time out."""
KEPT_WINDOWS = 8
"""Windows whose records are kept: longer than any is due."""
Counts = dict[ClientAccount, int]


class UsageDuty:
    """Sums the hosts' counts, fixes the sum in the store and reports it."""

    def __init__(
        self,
        state: GatewayState,
        tenancy: Tenancy,
        store: Store,
        cloud: Cloud,
        ask: Callable[[Iterable[HostEntry]], None] = lambda hosts: None,
    ) -> None:
        self._ask = ask
        self._state = state
        self._tenancy = tenancy
        self._store = store
        self._cloud = cloud
        self._done: set[int] = set()
        self._fixed_counts: dict[int, Counts] = {}
        self._tenure: DutyTerm | None = None
        self._held_since = 0.0

    async def run(self) -> None:
        """Report each window that is due, for ever."""
        while True:
            tenure = self._tenancy.find_tenure()
            if tenure is not None and self._has_settled(tenure):
                for window in self._list_due():
                    if self._is_complete(window):
                        await self._report(tenure, window)
            await trio.sleep(LOOK_PERIOD)

    def _has_settled(self, tenure: DutyTerm) -> bool:
        """Whether the other hosts have had the time to tell a new holder their counts.

        The first sum of a window stands. Made at once, it lacked what other hosts told
        the holder before: sums were off by a third after each change of the holder.
        """
        now = trio.current_time()
        if tenure != self._tenure:
            self._tenure = tenure
            self._held_since = now
        needs = NEW_HOLDER_SETTLE if self._state.sharing.has_cells else 0.0
        return now - self._held_since >= needs

    def _list_due(self) -> list[int]:
        bounds = self._state.settings.bounds
        now = time.time()
        newest = self._state.find_window(now - SETTLE) - 1
        oldest = self._state.find_window(now - bounds.usage_due) - 1
        windows = range(oldest, newest + 1)
        self._done = {window for window in self._done if window >= oldest}
        self._fixed_counts = {
            window: counts
            for window, counts in self._fixed_counts.items()
            if window >= oldest
        }
        return [window for window in windows if window not in self._done]

    def _is_complete(self, window: int) -> bool:
        """Whether a sum would hold all live hosts, or can't wait for them any longer.

        The first sum stands. Made while hosts' counts were missing, it left out
        requests for good, and nothing told whose; so these are asked first.
        """
        lacking = self._list_lacking(window)
        if not lacking:
            return True
        bounds = self._state.settings.bounds
        ended_at = (window + 1) * bounds.usage_window
        waits_until = ended_at + max(SETTLE, bounds.usage_due - REPORT_TIME)
        may_wait = time.time() < waits_until
        log.bind(
            window=window, hosts=[host.id for host in lacking], waits=may_wait
        ).info("usage lacks hosts")
        if may_wait:
            self._ask(lacking)
        return not may_wait

    def _list_lacking(self, window: int) -> list[HostEntry]:
        """Return the registered hosts whose counts of a window are not complete."""
        sharing = self._state.sharing
        if not sharing.has_cells:
            return []
        return [
            host
            for host in self._state.hosts.list_peers()
            if sharing.usage.is_incomplete((host.id, host.boot), window)
        ]

    async def _report(self, tenure: DutyTerm, window: int) -> None:
        counts = await self._fix_counts(window)
        if counts is None or self._tenancy.find_tenure() != tenure:
            return
        outcome = await self._cloud.report_usage(tenure, window, counts)
        if outcome is CallOutcome.ACCEPTED:
            self._done.add(window)
        log.bind(
            window=window,
            outcome=outcome.name,
            total=sum(counts.values()),
            told=sum(self._sum_counts(window).values()),
            starts=len(self._state.sharing.usage.began.get(window, {})) + 1,
        ).info("usage reported")

    async def _fix_counts(self, window: int) -> Counts | None:
        """Return the counts of a window as all holders will report them.

        A report whose answer was lost may have been accepted, and the next holder may
        count a host's last words differently. The first sum written to the store
        stands, so that whoever reports sends the same.
        """
        key = f"{USAGE_PREFIX}{window}"
        counts = self._find_fixed_counts(window, key) or self._sum_counts(window)
        if not counts:
            return None
        old = f"{USAGE_PREFIX}{window - KEPT_WINDOWS}"
        result = await self._store.change(
            expected={key: 0},
            writes=(Write(key, msgspec.json.encode(counts)),),
            drop=(old,) if old in self._state.hosts.items else (),
        )
        if isinstance(result, int):
            self._fixed_counts[window] = counts
            return counts
        if result.code not in {
            ResultCode.KEY_VALUE_CONFLICT,
            ResultCode.KEY_VALUE_UNKNOWN,
        }:
            return None
        item = await self._store.read(key)
        if isinstance(item, Failure) or not isinstance(item, Item):
            return None
        return msgspec.json.decode(item.value, type=Counts)

    def _find_fixed_counts(self, window: int, key: str) -> Counts | None:
        """Return the counts already fixed for a window, even if the store lost them.

        They may have been reported; reporting different counts for the same window
        would be inconsistent.
        """
        if window in self._fixed_counts:
            return self._fixed_counts[window]
        item = self._state.hosts.lost_items.get(key)
        if item is None:
            return None
        return msgspec.json.decode(item.value, type=Counts)

    def _sum_counts(self, window: int) -> Counts:
        own = self._state.began.get(window, {})
        return self._state.sharing.usage.sum(window, own)
