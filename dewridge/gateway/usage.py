"""The duty to report usage for billing: one sum per usage window.

Each report of a window carries the same sum, however often and by whichever holder of
the duties it is sent. After a restore of the store, holders leave out the windows whose
sum may have been lost, unless they know that sum.
"""

import time
from collections.abc import Callable, Iterable

import msgspec
import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.decoding import Count, Name, decode_json
from dewridge.gateway.duties import HolderElection
from dewridge.gateway.hosts import SYSTEM_PREFIX, HostEntry
from dewridge.gateway.state import GatewayState
from dewridge.gateway.usageeras import UsageEra, settle_era
from dewridge.ids import ClientAccount
from dewridge.platform.cloud import CallOutcome, Cloud, DutyTerm
from dewridge.platform.store import Item, Store, Write
from dewridge.sentinels import Failure

USAGE_PREFIX = SYSTEM_PREFIX + "usage/"
POLL_INTERVAL = 0.5
"""Seconds between two checks for windows to report."""
SUM_DELAY = 2.0
"""Seconds after a window's end before its sum is computed: the hosts must count and
report the requests that started in it, and their clocks differ slightly."""
NEW_HOLDER_SUM_DELAY = 2.5
"""Seconds in a large fleet between the start of a holder's term and its first sum: the
hosts learn of the new holder within two rounds of reports, and then also report to it
for departed hosts."""
REPORT_MARGIN = 4.0
"""Seconds before a sum is due at which it is computed even if counts of some hosts are
missing. One call to the store and one to the cloud API may time out in that time."""
RETAINED_WINDOWS = 8
"""Number of windows whose sums stay in the store: more than can be due at any time."""
AccountCounts = dict[ClientAccount, int]


class UsageDuty:
    """Sums the hosts' counts, persists each sum in the store and reports it."""

    def __init__(
        self,
        state: GatewayState,
        election: HolderElection,
        store: Store,
        cloud: Cloud,
        request_usage: Callable[[Iterable[HostEntry]], None] = lambda hosts: None,
    ) -> None:
        self._request_usage = request_usage
        self._state = state
        self._election = election
        self._store = store
        self._cloud = cloud
        self._reported_windows: set[int] = set()
        self._persisted_counts: dict[int, AccountCounts] = {}
        self._term: DutyTerm | None = None
        self._term_seen_at = 0.0
        self._first_window_of_term = 0
        self._era: UsageEra | None = None
        self._first_window_after_restore: int | None = None

    async def run(self) -> None:
        """Report each window that is due, forever."""
        while True:
            term = self._election.find_active_term()
            if await self._update_era(term) and term is not None:
                await self._report_due_windows(term)
            await trio.sleep(POLL_INTERVAL)

    async def _report_due_windows(self, term: DutyTerm) -> None:
        if not self._has_settled(term):
            return
        for window in self._list_due_windows():
            if self._is_ready_to_report(window):
                await self._report(term, window)

    async def _update_era(self, term: DutyTerm | None) -> bool:
        """Store or read which windows may be summed; return whether that is known.

        The holder at the time of a restore stores it, even if its term has ended since,
        because it knows best which windows were not reported.
        """
        is_known = self._era is not None and self._era.era == self._store.era.number
        if is_known:
            return True
        if term is None and self._first_window_after_restore is None:
            return False
        self._era = await settle_era(self._store, self._find_first_window)
        return self._era is not None

    def _find_first_window(self) -> int:
        """Return the first window that can't have been reported in an earlier era."""
        if self._first_window_after_restore is not None:
            return self._first_window_after_restore
        return self._state.compute_window(self._store.era.seen_at)

    def handle_restore(self) -> None:
        """Note which windows this host, if it is the holder, has not reported.

        Has to be called before the term ends. A window that had not ended when the term
        began can't have been reported by an earlier holder.
        """
        self._first_window_after_restore = None
        term = self._election.find_active_term()
        if term is not None and term == self._term:
            newest = max(self._persisted_counts, default=self._first_window_of_term - 1)
            self._first_window_after_restore = max(
                self._first_window_of_term, newest + 1
            )

    def _has_settled(self, term: DutyTerm) -> bool:
        """Whether the hosts have had time to report their counts to a new holder.

        The first sum of a window is final. Computed immediately, it lacked the counts
        that hosts had reported to the previous holder: sums were off by a third after
        each change of the holder.
        """
        now = trio.current_time()
        if term != self._term:
            self._term = term
            self._term_seen_at = now
            self._first_window_of_term = self._state.compute_window(time.time())
        settle_time = NEW_HOLDER_SUM_DELAY if self._state.sharing.has_cells else 0.0
        return now - self._term_seen_at >= settle_time

    def _list_due_windows(self) -> list[int]:
        bounds = self._state.settings.bounds
        now = time.time()
        newest = self._state.compute_window(now - SUM_DELAY) - 1
        oldest = self._state.compute_window(now - bounds.usage_due) - 1
        windows = range(oldest, newest + 1)
        self._reported_windows = {
            window for window in self._reported_windows if window >= oldest
        }
        self._persisted_counts = {
            window: counts
            for window, counts in self._persisted_counts.items()
            if window >= oldest
        }
        return [window for window in windows if window not in self._reported_windows]

    def _is_ready_to_report(self, window: int) -> bool:
        """Whether a sum would cover all registered hosts, or must not wait any longer.

        The first sum of a window is final. A sum computed while counts were missing
        left out requests permanently, and nothing showed which hosts' requests they
        were. So the hosts whose counts are missing are asked for them first, and
        logged.
        """
        missing = self._list_missing_hosts(window)
        if not missing:
            return True
        bounds = self._state.settings.bounds
        ended_at = (window + 1) * bounds.usage_window
        wait_until = ended_at + max(SUM_DELAY, bounds.usage_due - REPORT_MARGIN)
        may_wait = time.time() < wait_until
        log.bind(
            window=window, hosts=[host.id for host in missing], waits=may_wait
        ).info("usage lacks hosts")
        if may_wait:
            self._request_usage(missing)
        return not may_wait

    def _list_missing_hosts(self, window: int) -> list[HostEntry]:
        """Return the registered hosts whose counts of a window are incomplete."""
        sharing = self._state.sharing
        if not sharing.has_cells:
            return []
        return [
            host
            for host in self._state.hosts.list_peers()
            if sharing.usage.is_incomplete((host.id, host.boot), window)
        ]

    async def _report(self, term: DutyTerm, window: int) -> None:
        counts = await self._persist_counts(window)
        if counts is None or self._election.find_active_term() != term:
            return
        outcome = await self._cloud.report_usage(term, window, counts)
        if outcome is CallOutcome.ACCEPTED:
            self._reported_windows.add(window)
        log.bind(
            window=window,
            outcome=outcome.name,
            total=sum(counts.values()),
            told=sum(self._sum_counts(window).values()),
            starts=len(self._state.sharing.usage.counts_by_window.get(window, {})) + 1,
        ).info("usage reported")

    async def _persist_counts(self, window: int) -> AccountCounts | None:
        """Persist the counts of a window, and return them as every holder reports them.

        A report whose answer was lost may have been accepted, and the next holder may
        have received different last reports. The first sum written to the store is
        final, so that each holder reports the same counts.
        """
        key = f"{USAGE_PREFIX}{window}"
        if self._era is None or self._era.era != self._store.era.number:
            return None
        known = self._find_persisted_counts(window, key)
        if known is None and window < self._era.first_window:
            return await self._read_restored_counts(window, key)
        counts = known or self._sum_counts(window)
        if not counts:
            return None
        return await self._write_counts(window, key, counts, is_known=known is not None)

    async def _write_counts(
        self, window: int, key: str, counts: AccountCounts, *, is_known: bool
    ) -> AccountCounts | None:
        """Write counts, unless the window has some; return those that the store has.

        Args:
            window: the usage window.
            key: its key.
            counts: the counts.
            is_known: whether they are those that were persisted before a restore.
        """
        era = self._store.era.number
        old = f"{USAGE_PREFIX}{window - RETAINED_WINDOWS}"
        result = await self._store.change(
            expected={key: 0},
            writes=(Write(key, msgspec.json.encode(counts)),),
            removed_keys=(old,) if old in self._state.hosts.items else (),
        )
        if isinstance(result, int):
            if not is_known and self._store.era.number != era:
                # The restore that came before the write may have lost another sum.
                await self._store.change(expected={key: result}, removed_keys=(key,))
                return None
            self._persisted_counts[window] = counts
            return counts
        if result.code not in {
            ResultCode.KEY_VALUE_CONFLICT,
            ResultCode.KEY_VALUE_UNKNOWN,
        }:
            return None
        item = await self._store.read(key)
        if not isinstance(item, Item):
            return None
        return await self._apply_stored_counts(window, item, counts)

    async def _apply_stored_counts(
        self, window: int, item: Item, counts: AccountCounts
    ) -> AccountCounts | None:
        """Return the stored counts; replace them by `counts` if they can't be read."""
        found = decode_counts(item)
        if isinstance(found, Failure):
            log.bind(key=item.key, reason=found.reason).error("counts can't be read")
            return await self._replace_counts(window, item, counts)
        self._persisted_counts[window] = found
        return found

    async def _read_restored_counts(
        self, window: int, key: str
    ) -> AccountCounts | None:
        """Return the counts of a window that must not be summed, if the store has them.

        Without them the window is left out: a report with other counts would
        contradict one that may have been accepted.
        """
        item = await self._store.read(key)
        if isinstance(item, Failure):
            return None
        found = None if item is None else decode_counts(item)
        if found is None or isinstance(found, Failure):
            self._reported_windows.add(window)
            log.bind(window=window).warning("usage window left out after a restore")
            return None
        self._persisted_counts[window] = found
        return found

    async def _replace_counts(
        self, window: int, item: Item, counts: AccountCounts
    ) -> AccountCounts | None:
        """Persist counts in place of an entry that no holder can have reported."""
        result = await self._store.change(
            expected={item.key: item.revision},
            writes=(Write(item.key, msgspec.json.encode(counts)),),
        )
        if not isinstance(result, int):
            return None
        self._persisted_counts[window] = counts
        return counts

    def _find_persisted_counts(self, window: int, key: str) -> AccountCounts | None:
        """Return the persisted counts of a window, even if the store lost them.

        They may have been reported; reporting different counts for the same window
        would be inconsistent.
        """
        if window in self._persisted_counts:
            return self._persisted_counts[window]
        item = self._state.hosts.lost_items.get(key)
        counts = None if item is None else decode_counts(item)
        return None if isinstance(counts, Failure) else counts

    def _sum_counts(self, window: int) -> AccountCounts:
        local = self._state.usage_counts.get(window, {})
        return self._state.sharing.usage.sum(window, local)


def decode_counts(item: Item) -> AccountCounts | Failure:
    """Decode the persisted counts of a window; a `Failure` if they are not usable."""
    counts = decode_json(item.value, dict[Name, Count])
    if isinstance(counts, Failure):
        return counts
    return {ClientAccount(account): count for account, count in counts.items()}
