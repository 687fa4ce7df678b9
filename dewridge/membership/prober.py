"""Probing members one after the other, and telling news that can't wait."""

import math
from random import Random

import trio

from dewridge.ids import HostId
from dewridge.membership.exchanges import MessageExchange, RelayResult
from dewridge.membership.health import LocalHealth
from dewridge.membership.model import Member, MemberState
from dewridge.membership.state import GroupState
from dewridge.metrics.registry import Metrics
from dewridge.settings.schema import MembershipSettings

GATHER_NEWS = 0.02
"""Seconds between hearing news and passing it on at once; news that come in a wave,
63 members of a failure domain, go out together in place of a message for each."""
URGENT_CONTACTS = 2
"""Members that are told at once. Two reach four fifths of any number of members
within a second; the rest hear it by the probes of the next few. Each costs a
connection, and three would cost half as much again for no sooner end."""
URGENT_RATE = 2.0
URGENT_BURST = 10.0
"""Such contacts a second, and how many may be saved up. The aim's 21,000 changes of
configuration a day and as many notices need 0.7 a second; when news never end, as
in a failure domain's loss, probes carry the rest within the 3 KB a second."""


class ProbeOrder:
    """Members in a shuffled order, each once in a round.

    A plain draw would leave a member unprobed for long by chance; in rounds, each
    is probed again within two of them.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._waiting: list[HostId] = []

    def add(self, host: HostId) -> None:
        """Put a new member somewhere into the current round."""
        if host not in self._waiting:
            place = self._random.randint(0, len(self._waiting))
            self._waiting.insert(place, host)

    def take(self, members: list[Member]) -> Member | None:
        """Return the next of the members given; None if there are none."""
        known = {member.host: member for member in members}
        while self._waiting:
            member = known.get(self._waiting.pop())
            if member is not None:
                return member
        if not known:
            return None
        self._waiting = list(known)
        self._random.shuffle(self._waiting)
        return known[self._waiting.pop()]


class Allowance:
    """Contacts that may be made now: a rate with a burst."""

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._left = burst
        self._counted_at = 0.0

    def take(self, now: float) -> bool:
        """Use one up, if there is one."""
        gained = (now - self._counted_at) * self._rate
        self._left = min(self._burst, self._left + gained)
        self._counted_at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True


class Prober:
    """The tasks that probe members and pass on urgent news."""

    def __init__(
        self,
        *,
        settings: MembershipSettings,
        exchanges: MessageExchange,
        state: GroupState,
        health: LocalHealth,
        random: Random,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._exchanges = exchanges
        self._state = state
        self._health = health
        self._random = random
        self._metrics = metrics
        self._order = ProbeOrder(random)
        self._allowance = Allowance(URGENT_RATE, URGENT_BURST)
        self._has_news = trio.Event()
        state.wake_spreader = self._wake
        state.subscribe(self._note_member)

    async def run_probes(self) -> None:
        """Probe one member each period, for ever."""
        async with trio.open_nursery() as nursery:
            due = trio.current_time()
            while True:
                due += self.find_period() * self._health.timeout_multiplier
                await trio.sleep_until(due)
                late = trio.current_time() - due
                if late > self._settings.probe_timeout:
                    self._note_late(late)
                    due = trio.current_time()
                if self._exchanges.is_terminated:
                    continue
                self._state.expire(trio.current_time(), self._health.timeout_multiplier)
                target = self._order.take(self._list_others())
                if target is not None:
                    nursery.start_soon(self._check, target)

    async def run_urgent_updates(self) -> None:
        """Pass on urgent news at once, for ever."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._has_news.wait()
                await trio.sleep(GATHER_NEWS)
                self._has_news = trio.Event()
                for target in self._choose(URGENT_CONTACTS):
                    if self._allowance.take(trio.current_time()):
                        self._metrics.add("membership_urgent_contacts")
                        nursery.start_soon(
                            self._exchanges.probe, target, self._find_timeout()
                        )

    async def send_updates_now(self, contacts: int) -> None:
        """Tell some members the news and wait until they have it."""
        async with trio.open_nursery() as nursery:
            for target in self._choose(contacts):
                nursery.start_soon(self._exchanges.probe, target, self._find_timeout())

    def find_period(self) -> float:
        """Return the seconds between two probes of this host.

        It grows with the logarithm of the count, as a suspect's time to refute
        does. Each piece of news is told more often in a larger group; at 440
        members probes at the period of eight would spend the 3 KB a second on
        connections alone, and every member is still probed once in 1.3 s.
        """
        count = self._state.table.alive_count
        return self._settings.probe_period * max(1.0, math.log10(count))

    def _wake(self) -> None:
        self._has_news.set()

    def _note_member(self, member: Member) -> None:
        if member.state is MemberState.ALIVE:
            self._order.add(member.host)

    def _note_late(self, late: float) -> None:
        # This process did not get its processor, or was stopped. Probes and
        # suspicions measured across that gap say nothing of the others.
        self._metrics.add("membership_late_timers")
        self._health.record_local_fault()
        if late > self._settings.suspicion / 2:
            self._state.table.restart_suspicions(trio.current_time())

    async def _check(self, target: Member) -> None:
        timeout = self._find_timeout()
        began = trio.current_time()
        if await self._exchanges.probe(target, timeout):
            self._health.record_answered_probe()
            return
        answers = await self._ask_others(target, timeout)
        if RelayResult.REACHED in answers:
            self._metrics.add("membership_probes_relayed")
            return
        if trio.current_time() - began > 4 * timeout:
            # The timers above end after three timeouts; this one fired far too late,
            # so the replies may well lie here unread.
            self._health.record_local_fault()
            return
        if answers and RelayResult.NOT_REACHED not in answers:
            # Not one of several members answered. Rather than that all of them are
            # gone, it is this host that is slow or cut off.
            self._health.record_local_fault()
        self._metrics.add("membership_probes_failed")
        self._state.handle_changes(
            self._state.table.suspect(target, trio.current_time())
        )

    async def _ask_others(self, target: Member, timeout: float) -> list[RelayResult]:
        """Try again over a new connection, and over relays, until one reaches it."""
        relays = [m for m in self._choose(self._settings.relays + 1) if m != target]
        answers: list[RelayResult] = []
        async with trio.open_nursery() as nursery:

            async def ask(relay: Member) -> None:
                answers.append(await self._exchanges.relay(relay, target, timeout))
                if answers[-1] is RelayResult.REACHED:
                    nursery.cancel_scope.cancel()

            async def try_again() -> None:
                # The first probe may have gone over a connection that went silent
                # on the way; the transport opens a new one after such a loss.
                if await self._exchanges.probe(target, timeout):
                    answers.append(RelayResult.REACHED)
                    nursery.cancel_scope.cancel()

            nursery.start_soon(try_again)
            for relay in relays[: self._settings.relays]:
                nursery.start_soon(ask, relay)
        return answers

    def _find_timeout(self) -> float:
        return self._settings.probe_timeout * self._health.timeout_multiplier

    def _list_others(self) -> list[Member]:
        return self._state.table.list_live()[1:]

    def _choose(self, count: int) -> list[Member]:
        usable = [m for m in self._list_others() if m.state is not MemberState.SUSPECT]
        return self._random.sample(usable, min(count, len(usable)))
