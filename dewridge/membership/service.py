"""Service that maintains the membership of the entry hosts and spreads rumors."""

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
"""Seconds to wait for an answer to a join or a comparison."""
JOIN_ATTEMPTS = 3
"""Rounds through the seeds before a host continues alone. If all hosts of a deployment
start at once, none may answer yet, and the first host must not wait forever."""
JOIN_PAUSE = 0.3
"""Mean seconds between two rounds through the seeds."""
MIN_SEARCH_PERIOD = 2.0
"""Minimum seconds between searches for other members, used while a host is alone. Each
search may read seeds from the platform's key-value service."""
MAX_SEARCH_PERIOD = 60.0
"""Maximum seconds between searches by a member for a lost member. The period is one
second per live member, so that all members together search about once a second. The two
sides of a partition between regions then find each other within seconds, and a node
sends no more than one such message a minute."""
SEED_SHARE = 0.25
"""Share of the searches that use seeds and may read the key-value service. This is one
read in four seconds for the whole deployment."""
COMPARE_PERIOD = 3.8
"""Seconds between comparisons with a random member, multiplied by the logarithm of the
member count: 10 s at 440 members, 3.4 s at 8. The gossip occasionally misses a member,
more often in a small group, and a change must be in force everywhere within 13 s. At
440 hosts one comparison costs about 1 KB, which is 100 bytes a second."""
SHORT_COMPARE_PERIOD = 1.0
"""Seconds until the next comparison after one with a large difference."""
LARGE_DIFFERENCE = 10
"""Items transferred by a comparison beyond which the next one follows soon. After a
partition ends, 220 members must become known within seconds."""
LEAVE_CONTACTS = 4
"""Members that are sent the departure of this host before it leaves."""

FindSeeds = Callable[[], Awaitable[list[str]]]


class MembershipService:
    """Maintains the membership; implements `MembershipView` and `Rumors`."""

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
        """Create the service.

        Args:
            settings: periods and timeouts.
            peers: transport for messages to other hosts.
            local_member: the member that represents this host.
            find_seeds: returns peer addresses to join.
            metrics: receives the counters.
            seed: seed of all random choices.
            on_fenced: called once, when this incarnation must end because it was
                fenced, a newer one exists, or it was declared dead while paused or
                partitioned.
        """
        self._random = Random(seed)
        self._find_seeds = find_seeds
        self._metrics = metrics
        self._joined = trio.Event()
        self._health = LocalHealth()
        self._state = GroupState(local_member, settings, metrics)
        self._table = self._state.table
        self._message_exchange = MessageExchange(
            peers=peers,
            state=self._state,
            health=self._health,
            metrics=metrics,
            on_fenced=on_fenced,
        )
        self._prober = Prober(
            settings=settings,
            message_exchange=self._message_exchange,
            state=self._state,
            health=self._health,
            random=self._random,
            metrics=metrics,
        )

    # -- MembershipView and Rumors -------------------------------------------------

    @property
    def local_member(self) -> Member:
        """The member that represents this host."""
        return self._table.local_member

    def members(self) -> Sequence[Member]:
        """Return all known members that are not DEAD, including this host."""
        return self._table.list_live()

    def find(self, host: HostId) -> Member | None:
        """Return the newest known incarnation of a host, even if it is DEAD."""
        return self._table.find(host)

    def subscribe(self, listener: Callable[[Member], None]) -> None:
        """Call `listener` synchronously on each change; it must not block."""
        self._state.subscribe(listener)

    def spread(self, rumor: Rumor) -> None:
        """Send a rumor to all members, unless a version as high is already known."""
        self._state.receive_rumor(rumor, 0.0, trio.current_time())
        self._message_exchange.handle_local_claims()

    def subscribe_rumors(self, kind: str, listener: Callable[[Rumor], None]) -> None:
        """Call `listener` on each new version, and now with each known rumor."""
        self._state.subscribe_rumors(kind, listener)

    def check_peer(self, peer: PeerIdentity) -> Failure | None:
        """Return why a peer must be rejected, if so; for `PeerTransport.check_peer`."""
        if self._table.is_obsolete(peer.host, peer.incarnation):
            return Failure(ResultCode.FENCED, "fenced or superseded incarnation")
        return None

    # -- tasks ---------------------------------------------------------------------

    async def run(self) -> None:
        """Run the tasks that join, probe, send updates and compare, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_joining)
            nursery.start_soon(self._prober.run_probes)
            nursery.start_soon(self._prober.run_urgent_updates)
            nursery.start_soon(self._run_comparisons)

    async def wait_joined(self) -> None:
        """Wait until a seed has answered or this host continues alone for now."""
        await self._joined.wait()

    async def leave(self) -> None:
        """Announce the departure of this host, and send it to some members."""
        if self.local_member.state is not MemberState.LEAVING:
            self._state.broadcast_local_member(self._table.leave())
        await self._prober.send_updates_now(LEAVE_CONTACTS)

    async def describe(self) -> dict[str, Any]:
        """Return this host's view of the membership, for a diagnostic dump."""
        return {
            "me": _describe(self.local_member),
            "joined": self._joined.is_set(),
            "given_up": self._message_exchange.is_terminated,
            "stretch": self._health.timeout_multiplier,
            "members": [_describe(member) for member in self._table.others()],
            "rumors": len(self._state.rumors),
            "news": self._state.pending_update_count,
        }

    async def _run_joining(self) -> None:
        for _ in range(JOIN_ATTEMPTS):
            if await self._join():
                break
            await trio.sleep(JOIN_PAUSE * self._random.uniform(0.5, 1.5))
        self._joined.set()
        while True:
            await trio.sleep(
                self._compute_search_period() * self._random.uniform(0.5, 1.5)
            )
            if self._message_exchange.is_terminated:
                continue
            if self._is_alone():
                await self._join()
            else:
                await self._search()

    async def _join(self) -> bool:
        """Join through the first seed that answers; return False if none did."""
        addresses = await self._find_unknown_seeds()
        if not addresses:
            return True
        self._random.shuffle(addresses)
        for address in addresses:
            if await self._message_exchange.join(address, JOIN_TIMEOUT):
                return True
        return False

    async def _search(self) -> None:
        """Compare state with a random DEAD member, or a seed that is not a member."""
        addresses = [
            m.address for m in self._table.others() if m.state is MemberState.DEAD
        ]
        if not addresses or self._random.random() < SEED_SHARE:
            addresses = await self._find_unknown_seeds()
        if addresses:
            self._metrics.add("membership_searches")
            await self._message_exchange.compare(
                self._random.choice(addresses), JOIN_TIMEOUT
            )

    async def _find_unknown_seeds(self) -> list[str]:
        known = {member.address for member in self._table.list_live()}
        return [address for address in await self._find_seeds() if address not in known]

    async def _run_comparisons(self) -> None:
        pause = self._compute_compare_period()
        while True:
            await trio.sleep(pause * self._random.uniform(0.5, 1.5))
            others = [m for m in self._table.list_live()[1:] if m.accepts_work]
            if not others or self._message_exchange.is_terminated:
                continue
            address = self._random.choice(others).address
            transferred = await self._message_exchange.compare(address, JOIN_TIMEOUT)
            self._metrics.add("membership_compared_items", transferred or 0)
            is_large = transferred is not None and transferred > LARGE_DIFFERENCE
            pause = SHORT_COMPARE_PERIOD if is_large else self._compute_compare_period()

    def _compute_compare_period(self) -> float:
        return COMPARE_PERIOD * math.log10(max(3, self._table.alive_count))

    def _compute_search_period(self) -> float:
        return min(
            max(MIN_SEARCH_PERIOD, float(self._table.alive_count)), MAX_SEARCH_PERIOD
        )

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
