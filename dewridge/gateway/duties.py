"""Election of the holder of the duties: ordering servers, reporting usage, rollouts.

Only one host at a time may perform them.
"""

import re
from collections.abc import Callable

import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.hosts import LEASE_TTL, SYSTEM_PREFIX, HostTable, Registration
from dewridge.gateway.reports import DutyHolder
from dewridge.ids import HostId
from dewridge.platform.cloud import DutyTerm
from dewridge.platform.store import Item, Store, Write

HOLDER_KEY = SYSTEM_PREFIX + "holder"
HOLDER_PATTERN = re.compile(rb"[!-~]{1,1000}/[0-9]{1,20}")
"""Name and incarnation of the holder."""
POLL_INTERVAL = 0.5
"""Seconds between two checks whether a host holds the duties."""
MIN_LEASE_FOR_CALL = 0.5
"""Seconds that the lease must still last for a call to begin. A call that is sent later
may arrive after the next holder has already acted."""
TAKEOVER_PAUSE = 0.5
"""Seconds between the election and the first call. By then a call that the previous
holder sent at the end of its lease has completed."""
RANK_DELAY = 0.15
"""Seconds that each rank adds to the delay before a host tries to become the holder.
Without it all hosts would write at once, and all but the first would fail."""
RANK_COUNT = 8
"""Number of different delays. With a separate delay for each of many hosts, no host
held the duties for seconds when the first hosts could not reach the store."""
REVISIONS_PER_ERA = 1 << 36
"""Size of the range of fencing tokens reserved for each era of the store. Tokens of up
to 100,000 eras are exactly representable as doubles."""


class HolderElection:
    """Elects this host as holder of the duties when no other host holds them.

    The holder's key is attached to the registration's lease. The fencing token combines
    the era of the store (high bits) with the key's revision (low bits). It is unique
    to each holder and increases from one holder to the next, also across restores.
    """

    def __init__(
        self,
        host: HostId,
        boot: int,
        store: Store,
        registration: Registration,
        table: HostTable,
        lease_ttl: float,
        is_candidate: Callable[[], bool] = lambda: True,
        on_elected: Callable[[DutyHolder], None] = lambda holder: None,
    ) -> None:
        self._host = host
        self._holder_value = f"{host}/{boot}".encode()
        self._store = store
        self._registration = registration
        self._table = table
        self._lease_ttl = lease_ttl
        self._is_candidate = is_candidate
        self._on_elected = on_elected
        self._term: DutyTerm | None = None
        self._may_act_from = float("inf")
        self._has_stepped_down = False
        self._restored_at = float("-inf")
        # The previous process on this host may have acted just before it ended.
        self._last_possible_act_at = read_boot_clock()

    def find_active_term(self) -> DutyTerm | None:
        """Return this host's term if it may act now.

        Call this right before each action. A process that was suspended still has its
        old state when it resumes, so the end of the lease is checked on the boot
        clock, which also advances during suspension.
        """
        lease_state = self._registration.lease_state
        if self._term is None or not lease_state.is_valid:
            return None
        now = read_boot_clock()
        if (
            now < self._may_act_from
            or now > lease_state.valid_until - MIN_LEASE_FOR_CALL
        ):
            return None
        self._last_possible_act_at = now
        return self._term

    async def run(self) -> None:
        """Become the holder whenever there is none, until this host steps down."""
        while not self._has_stepped_down:
            await self._update_term()
            await trio.sleep(POLL_INTERVAL)

    async def _update_term(self) -> None:
        lease_state = self._registration.lease_state
        if not lease_state.is_valid or lease_state.lease is None:
            self._end_term("no lease")
            return
        item = self._find_holder_item()
        if item is None:
            # A host that does not follow the store closely, or whose table is older
            # than its own registration, may not know the current holder.
            is_current = self._registration.key in self._table.items
            if self._term is None and is_current and self._is_candidate():
                await self._try_to_acquire(lease_state.lease.id)
            return
        self._apply_holder_item(item, lease_state.lease.id)

    def _find_holder_item(self) -> Item | None:
        """Return the holder's key; None without one that names a host.

        The key of another writer has no lease, and would keep all hosts from the
        duties for good.
        """
        item = self._table.items.get(HOLDER_KEY)
        if item is None or HOLDER_PATTERN.fullmatch(item.value) is None:
            return None
        return item

    def _apply_holder_item(self, item: Item, lease_id: int) -> None:
        is_self = item.value == self._holder_value and item.lease in {0, lease_id}
        if not is_self:
            self._end_term("another host holds the duties")
        elif self._term is None or self._term.fencing_token != self._make_fencing_token(
            item.revision
        ):
            self._begin_term(item.revision)

    async def _try_to_acquire(self, lease_id: int) -> None:
        await trio.sleep(RANK_DELAY * self._compute_rank())
        if self._find_holder_item() is not None:
            return
        write = Write(HOLDER_KEY, self._holder_value, lease_id)
        unreadable = self._table.items.get(HOLDER_KEY)
        expected = {HOLDER_KEY: unreadable.revision if unreadable else 0}
        era = self._store.era.number
        revision = await self._store.change(expected=expected, writes=(write,))
        if isinstance(revision, int):
            if self._store.era.has_followed(era):
                # After the restore, another host may renew the lease of the key, which
                # would then keep all hosts from the duties.
                await self._store.change(
                    expected={HOLDER_KEY: revision}, removed_keys=(HOLDER_KEY,)
                )
                return
            self._begin_term(revision)
            return
        if revision.code is ResultCode.KEY_VALUE_UNKNOWN:
            # The write may have been applied, so read the key.
            item = await self._store.read(HOLDER_KEY)
            if isinstance(item, Item):
                self._apply_holder_item(item, lease_id)

    def _compute_rank(self) -> int:
        host_ids = sorted(entry.id for entry in self._table.list_hosts())
        rank = host_ids.index(self._host) if self._host in host_ids else len(host_ids)
        return rank % RANK_COUNT

    def _begin_term(self, revision: int) -> None:
        if self._has_stepped_down:
            # The write was in flight. The key ends with the registration.
            return
        token = self._make_fencing_token(revision)
        self._term = DutyTerm(self._host, token)
        now = read_boot_clock()
        self._may_act_from = self._compute_first_act_time(now)
        self._on_elected((token, self._host))
        log.bind(fence=token, acts_in=round(self._may_act_from - now, 2)).info(
            "duties taken"
        )

    def _compute_first_act_time(self, now: float) -> float:
        """Return the time from which a term that begins now may act.

        A host that acted before waits for one lease period after its last action.
        Otherwise two hosts that alternate as holder could give conflicting orders in
        quick succession. A host that has not acted only waits for the last call of the
        previous holder. Waiting for a full lease period left a fleet without orders for
        the first seconds after an outage of the store, while half of the servers were
        missing.
        """
        return max(
            now + TAKEOVER_PAUSE,
            self._last_possible_act_at + self._lease_ttl,
            self._restored_at + LEASE_TTL,
        )

    def handle_restore(self) -> None:
        """End the term, since the restored store may lack the holder's key.

        A holder that is partitioned from the store keeps acting until its lease ends,
        so the next holder does not act before that lease has ended.
        """
        self._restored_at = read_boot_clock()
        self._end_term("the store was restored")

    def _make_fencing_token(self, revision: int) -> int:
        return self._store.era.number * REVISIONS_PER_ERA + revision

    def _end_term(self, reason: str) -> None:
        if self._term is not None:
            log.bind(fence=self._term.fencing_token, reason=reason).info("duties lost")
        self._term = None

    def describe(self) -> dict[str, object]:
        """Return this host's view of the duties, for a state dump."""
        term = self._term
        return {
            "is_holder": term is not None,
            "may_act": self.find_active_term() is not None,
            "fence": term.fencing_token if term else 0,
        }

    async def step_down(self) -> None:
        """End the term and take part in no further election.

        The holder's key is removed with the registration a little later. Until then
        this host must not treat its own key as the start of a new term.
        """
        self._has_stepped_down = True
        self._end_term("leaving")
