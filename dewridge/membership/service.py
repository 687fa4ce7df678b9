"""Membership of the entry hosts: who is there, and rumors that all should hear."""

import math
from collections.abc import Awaitable, Callable, Sequence
from random import Random
from typing import Any

import trio

from dewridge.codes import ResultCode
from dewridge.ids import HostId
from dewridge.membership.exchanges import MessageExchange
from dewridge.membership.health import LocalHealth
from dewridge.membership.model import Member, MemberState, Rumor
from dewridge.membership.prober import Prober
from dewridge.membership.state import GroupState
from dewridge.metrics.registry import Metrics
from dewridge.peers.model import PeerIdentity, Peers
from dewridge.sentinels import Failure
from dewridge.settings.schema import MembershipSettings

JOIN_TIMEOUT = 1.0
JOIN_ATTEMPTS = 3
"""Rounds through the seeds before a host goes on alone. All hosts of a deployment may
start at once and not one answer yet; nor may the first one wait for ever."""
JOIN_PAUSE = 0.3
ALONE_PERIOD = 2.0
"""Seconds between tries to find others while alone; each may read the platform's
key-value service for seeds."""
LONGEST_SEARCH = 60.0
"""Seconds between a member's tries to reach a lost one. The period is a second for
each live member, so that all together try about once a second, and the two sides of
a cut between regions find each other within seconds without costing a node more than
a message a minute."""
SEED_SHARE = 0.25
"""Part of those tries that ask for seeds, which may read the key-value service: a read
in four seconds for the whole deployment."""
COMPARE_PERIOD = 3.8
"""Seconds between comparisons with a random member, times the logarithm of the count:
10 s at 440 members, 3.4 s at 8. The epidemic misses one member in a while, more often
in a small group, and a change must be in force everywhere within 13 s. At 440 hosts
one costs about 1 KB, so 100 bytes a second."""
COMPARE_AGAIN = 1.0
LARGE_DIFFERENCE = 10
"""Items beyond which the next comparison follows soon: a cut healed, and 220 members
are to be heard of in seconds."""
LEAVE_CONTACTS = 4

FindSeeds = Callable[[], Awaitable[list[str]]]


class MembershipService:
    """Keeps the membership; implements `MembershipView` and `Rumors`."""

    def __init__(
        self,
        *,
        settings: MembershipSettings,
        peers: Peers,
        local_member: Member,
        find_seeds: FindSeeds,
        metrics: Metrics,
        seed: int,
        on_fenced: Callable[[], None] = lambda: None,
    ) -> None:
        """Make the service.

        Args:
            settings: periods and timeouts.
            peers: carries the messages.
            local_member: this host's own entry.
            find_seeds: finds peer addresses to join through.
            metrics: counters.
            seed: for all random choices.
            on_fenced: called once, when this incarnation must end: it was fenced,
                a newer one exists, or it was declared dead while cut off.
        """
        self._random = Random(seed)
        self._seeds = find_seeds
        self._metrics = metrics
        self._joined = trio.Event()
        self._health = LocalHealth()
        self._state = GroupState(local_member, settings, metrics)
        self._table = self._state.table
        self._exchanges = MessageExchange(
            peers=peers,
            state=self._state,
            health=self._health,
            metrics=metrics,
            on_fenced=on_fenced,
        )
        self._prober = Prober(
            settings=settings,
            exchanges=self._exchanges,
            state=self._state,
            health=self._health,
            random=self._random,
            metrics=metrics,
        )

    # -- MembershipView and Rumors -------------------------------------------------

    @property
    def local_member(self) -> Member:
        """This host's own entry."""
        return self._table.local_member

    def members(self) -> Sequence[Member]:
        """All known members, this host included, in any state but DEAD."""
        return self._table.list_live()

    def find(self, host: HostId) -> Member | None:
        """Look up the newest known incarnation of a host, DEAD included."""
        return self._table.find(host)

    def subscribe(self, listener: Callable[[Member], None]) -> None:
        """Call `listener` at once and briefly on each change of a member."""
        self._state.subscribe(listener)

    def spread(self, rumor: Rumor) -> None:
        """Tell all members, unless a version as high is known already."""
        self._state.receive_rumor(rumor, 0.0, trio.current_time())
        self._exchanges.handle_local_claims()

    def subscribe_rumors(self, kind: str, listener: Callable[[Rumor], None]) -> None:
        """Call `listener` on each new version, and now with those known."""
        self._state.subscribe_rumors(kind, listener)

    def check_peer(self, peer: PeerIdentity) -> Failure | None:
        """Say why a peer must not be listened to; for `PeerTransport.is_refused`."""
        if self._table.is_obsolete(peer.host, peer.incarnation):
            return Failure(ResultCode.FENCED, "fenced or superseded incarnation")
        return None

    # -- tasks ---------------------------------------------------------------------

    async def run(self) -> None:
        """Join, probe, spread and compare until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_joined)
            nursery.start_soon(self._prober.run_probes)
            nursery.start_soon(self._prober.run_urgent_updates)
            nursery.start_soon(self._compare_in_turn)

    async def wait_joined(self) -> None:
        """Wait until a seed answered, or this host goes on alone for now."""
        await self._joined.wait()

    async def leave(self) -> None:
        """Announce that this host goes, to some members before returning."""
        if self.local_member.state is not MemberState.LEAVING:
            self._state.broadcast_local_member(self._table.leave())
        await self._prober.send_updates_now(LEAVE_CONTACTS)

    async def describe(self) -> dict[str, Any]:
        """Return the membership as this host sees it, for a dump."""
        return {
            "me": _describe(self.local_member),
            "joined": self._joined.is_set(),
            "given_up": self._exchanges.is_terminated,
            "stretch": self._health.timeout_multiplier,
            "members": [_describe(member) for member in self._table.others()],
            "rumors": len(self._state.rumors),
            "news": self._state.pending_update_count,
        }

    async def _keep_joined(self) -> None:
        for _ in range(JOIN_ATTEMPTS):
            if await self._join():
                break
            await trio.sleep(JOIN_PAUSE * self._random.uniform(0.5, 1.5))
        self._joined.set()
        while True:
            await trio.sleep(
                self._find_search_period() * self._random.uniform(0.5, 1.5)
            )
            if self._exchanges.is_terminated:
                continue
            if self._is_alone():
                await self._join()
            else:
                await self._search()

    async def _join(self) -> bool:
        """Introduce this host to the first seed that answers."""
        addresses = await self._find_strangers()
        if not addresses:
            return True
        self._random.shuffle(addresses)
        for address in addresses:
            if await self._exchanges.join(address, JOIN_TIMEOUT):
                return True
        return False

    async def _search(self) -> None:
        """Try to reach a member that was lost, or a seed that is not a member."""
        lost = [m.address for m in self._table.others() if m.state is MemberState.DEAD]
        if not lost or self._random.random() < SEED_SHARE:
            lost = await self._find_strangers()
        if lost:
            self._metrics.add("membership_searches")
            await self._exchanges.compare(self._random.choice(lost), JOIN_TIMEOUT)

    async def _find_strangers(self) -> list[str]:
        known = {member.address for member in self._table.list_live()}
        return [address for address in await self._seeds() if address not in known]

    async def _compare_in_turn(self) -> None:
        pause = self._find_compare_period()
        while True:
            await trio.sleep(pause * self._random.uniform(0.5, 1.5))
            others = [m for m in self._table.list_live()[1:] if m.accepts_work]
            if not others or self._exchanges.is_terminated:
                continue
            address = self._random.choice(others).address
            moved = await self._exchanges.compare(address, JOIN_TIMEOUT)
            self._metrics.add("membership_compared_items", moved or 0)
            is_large = moved is not None and moved > LARGE_DIFFERENCE
            pause = COMPARE_AGAIN if is_large else self._find_compare_period()

    def _find_compare_period(self) -> float:
        return COMPARE_PERIOD * math.log10(max(3, self._table.alive_count))

    def _find_search_period(self) -> float:
        return min(max(ALONE_PERIOD, float(self._table.alive_count)), LONGEST_SEARCH)

    def _is_alone(self) -> bool:
        return self._table.alive_count == 1


def _describe(member: Member) -> dict[str, Any]:
    return {
        "host": member.host,
        "incarnation": member.incarnation,
        "failure_domain": member.failure_domain,
        "address": member.address,
        "state": member.state.name,
        "refutation": member.refutation,
    }
