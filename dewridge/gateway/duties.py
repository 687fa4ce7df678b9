"""Duties that one host at a time may do: who holds them, and their tasks."""

from collections.abc import Callable

import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.hosts import LEASE_TTL, PREFIX, HostTable, Registration
from dewridge.gateway.reports import Holder
from dewridge.ids import HostId
from dewridge.platform.cloud import DutyTerm
from dewridge.platform.store import Item, Store, Write

HOLDER_KEY = PREFIX + "holder"
LOOK_PERIOD = 0.5
"""Seconds between two looks at whether somebody holds the duties."""
CALL_TIME = 0.5
"""Seconds of lease that must be left for a call to begin: a call that is sent late in
the lease may arrive when the next holder has already acted."""
TAKEOVER_PAUSE = 0.5
"""Seconds between taking the duties and the first call: a call that the holder before
sent at the end of its lease is through by then."""
RANK_DELAY = 0.15
"""Seconds by which each further host waits before it tries to become the holder: all
at once would only lose to the first."""
RANKS = 8
"""Different waits: with one for each of many hosts the duties lay idle for seconds when
the first ones could not reach the store."""
REVISIONS_PER_ERA = 1 << 36
"""Size of the range of fencing tokens reserved for each era of the store. Tokens of up
to 100,000 eras are exactly representable as doubles."""


class Tenancy:
    """This host's claim on the duties.

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
        lease: float,
        may_try: Callable[[], bool] = lambda: True,
        on_taken: Callable[[Holder], None] = lambda holder: None,
    ) -> None:
        self._host = host
        self._mark = f"{host}/{boot}".encode()
        self._store = store
        self._registration = registration
        self._table = table
        self._lease = lease
        self._may_try = may_try
        self._on_taken = on_taken
        self._tenure: DutyTerm | None = None
        self._acts_from = float("inf")
        self._has_left = False
        self._restored_at = float("-inf")
        # A start of this host that ended just now may have acted right before.
        self._may_have_acted_at = read_boot_clock()

    def find_tenure(self) -> DutyTerm | None:
        """Return this host's tenure if it may act now.

        A host that was frozen wakes with all its beliefs. The lease's end is on the
        clock that counts suspension, and it is looked at right before each call.
        """
        state = self._registration.state
        if self._tenure is None or not state.is_valid:
            return None
        now = read_boot_clock()
        if now < self._acts_from or now > state.valid_until - CALL_TIME:
            return None
        self._may_have_acted_at = now
        return self._tenure

    async def run(self) -> None:
        """Become the holder whenever nobody is, for ever."""
        while not self._has_left:
            await self._step()
            await trio.sleep(LOOK_PERIOD)

    async def _step(self) -> None:
        state = self._registration.state
        if not state.is_valid or state.lease is None:
            self._end("no lease")
            return
        item = self._table.items.get(HOLDER_KEY)
        if item is None:
            # Hosts that don't follow the store don't know in time that nobody holds,
            # nor does a table from before this host's own registration.
            is_current = self._registration.key in self._table.items
            if self._tenure is None and is_current and self._may_try():
                await self._try_to_hold(state.lease.id)
            return
        self._judge(item, state.lease.id)

    def _judge(self, item: Item, lease: int) -> None:
        is_own = item.value == self._mark and item.lease in {0, lease}
        if not is_own:
            self._end("another host holds the duties")
        elif (
            self._tenure is None
            or self._tenure.fencing_token != self._make_fencing_token(item.revision)
        ):
            self._begin(item.revision)

    async def _try_to_hold(self, lease: int) -> None:
        await trio.sleep(RANK_DELAY * self._find_rank())
        if HOLDER_KEY in self._table.items:
            return
        write = Write(HOLDER_KEY, self._mark, lease)
        revision = await self._store.change(expected={HOLDER_KEY: 0}, writes=(write,))
        if isinstance(revision, int):
            self._begin(revision)
            return
        if revision.code is ResultCode.KEY_VALUE_UNKNOWN:
            # The write may have been carried out: the key itself tells.
            item = await self._store.read(HOLDER_KEY)
            if isinstance(item, Item):
                self._judge(item, lease)

    def _find_rank(self) -> int:
        names = sorted(entry.id for entry in self._table.list_hosts())
        rank = names.index(self._host) if self._host in names else len(names)
        return rank % RANKS

    def _begin(self, revision: int) -> None:
        token = self._make_fencing_token(revision)
        self._tenure = DutyTerm(self._host, token)
        now = read_boot_clock()
        self._acts_from = self._find_first_act(now)
        self._on_taken((token, self._host))
        log.bind(fence=token, acts_in=round(self._acts_from - now, 2)).info(
            "duties taken"
        )

    def _find_first_act(self, now: float) -> float:
        """Return when a tenure that begins now may act.

        Two hosts that hold the duties by turns must not both act again and again
        within one lease: orders that undo each other would be given at that pace. So a
        host that acted waits a lease from then. One that did not has nothing to wait
        for but the last call of the holder before: pausing a whole lease then left a
        fleet without orders for the first seconds after an outage of the store, while
        half of the servers were gone.
        """
        return max(
            now + TAKEOVER_PAUSE,
            self._may_have_acted_at + self._lease,
            self._restored_at + LEASE_TTL,
        )

    def note_restored(self) -> None:
        """Give up the duties, since the restored store may lack the holder's key.

        A holder that is partitioned from the store keeps acting until its lease ends,
        so the next holder does not act before that lease has ended.
        """
        self._restored_at = read_boot_clock()
        self._end("the store was restored")

    def _make_fencing_token(self, revision: int) -> int:
        return self._store.era.number * REVISIONS_PER_ERA + revision

    def _end(self, reason: str) -> None:
        if self._tenure is not None:
            log.bind(fence=self._tenure.fencing_token, reason=reason).info(
                "duties lost"
            )
        self._tenure = None

    def describe(self) -> dict[str, object]:
        """Return what this host believes of the duties, for a dump."""
        tenure = self._tenure
        return {
            "is_holder": tenure is not None,
            "may_act": self.find_tenure() is not None,
            "fence": tenure.fencing_token if tenure else 0,
        }

    async def leave(self) -> None:
        """Give the duties up for good.

        The holder's key goes with the registration a little later; until then this
        host must not take its own key for a new tenure.
        """
        self._has_left = True
        self._end("leaving")
