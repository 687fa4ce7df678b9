"""Asks peers for their version before a host that starts trusts the store.

A store that was restored from a copy returns an older configuration until the operator
writes the newer one again. A host that starts in between can't tell; keys that were
taken away would work there.
"""

import random
import time
from collections.abc import Callable

import trio
from loguru import logger as log

from dewridge.decoding import decode_json
from dewridge.gateway.hosts import HostEntry, HostTable
from dewridge.gateway.usageeras import NO_ERA, USAGE_ERA_KEY, UsageEra
from dewridge.ids import HostId
from dewridge.platform.store import Item, Store

REWRITING_TIME = 10.0
"""Seconds after a restore by which the operator has written the configuration again."""
MAX_WAIT = 1.2
"""Seconds within which the hosts register again after a restore."""
MAX_ANSWER_WAIT = 0.4
"""Seconds for the answers of peers: several of their pauses between receptions."""
RETRY_DELAY = 0.1
MAX_PEERS_ASKED = 5
"""Peers that are asked. One that has run since before the restore is enough."""


class StartCheck:
    """Asks peers once, unless the store has long been in its era.

    Attributes:
        ask: sends a peer the question for its version.
    """

    def __init__(
        self,
        store: Store,
        hosts: HostTable,
        window_seconds: float,
        rng: random.Random,
    ) -> None:
        """Create the check.

        Args:
            store: the store.
            hosts: the registered hosts.
            window_seconds: length of a usage window.
            rng: random generator.
        """
        self._store = store
        self._hosts = hosts
        self._window_seconds = window_seconds
        self._rng = rng
        self.ask: Callable[[HostEntry], None] = lambda peer: None
        self._answered: set[HostId] = set()
        self._changed = trio.Event()

    def record_answer(self, host: HostId) -> None:
        """Record that a peer has told its version."""
        self._answered.add(host)
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def run(self) -> None:
        """Wait for the answers of peers for a moment."""
        if await self._is_era_settled():
            return
        began_at = trio.current_time()
        peers: list[HostEntry] = []
        with trio.move_on_after(MAX_WAIT):
            while not (peers := self._hosts.list_peers()):
                await self._hosts.changed.wait()
        self._rng.shuffle(peers)
        peers = peers[:MAX_PEERS_ASKED]
        with trio.move_on_after(MAX_ANSWER_WAIT):
            while missing := [each for each in peers if each.id not in self._answered]:
                for peer in missing:
                    self.ask(peer)
                with trio.move_on_after(RETRY_DELAY):
                    await self._changed.wait()
        log.bind(
            era=self._store.era.number,
            asked=len(peers),
            answered=sum(peer.id in self._answered for peer in peers),
            waited_s=round(trio.current_time() - began_at, 3),
        ).info("peers asked for their version")

    async def _is_era_settled(self) -> bool:
        """Whether the store can't have been restored since the operator last wrote.

        The holder of the duties writes the entry of an era soon after it began.
        """
        if self._store.era.number == NO_ERA:
            return True
        item = await self._store.read(USAGE_ERA_KEY)
        if not isinstance(item, Item):
            return False
        entry = decode_json(item.value, UsageEra)
        if not isinstance(entry, UsageEra) or entry.era != self._store.era.number:
            return False
        began_by = (entry.first_window + 1) * self._window_seconds
        return time.time() > began_by + REWRITING_TIME
