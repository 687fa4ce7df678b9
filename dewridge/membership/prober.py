"""Probes members one after the other, and sends urgent updates at once."""

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

URGENT_BATCH_DELAY = 0.02
"""Seconds between receiving an urgent update and sending it. Updates that arrive
together, such as those of 63 members of a failure domain, are sent in one message
instead of one each."""
URGENT_FANOUT = 2
"""Number of members to which an urgent update is sent at once. Two reach four fifths of
any number of members within a second; the other members get the update by probes within
the next few seconds. Each contact costs a connection, and three would cost half as much
again without finishing sooner."""
URGENT_RATE = 2.0
URGENT_BURST = 10.0
"""Contacts per second for urgent updates, and their maximum burst. 21,000 configuration
changes a day, and as many notices, need 0.7 a second. While updates arrive constantly,
such as during the loss of a failure domain, probes carry the rest within 3 KB/s."""


class ProbeOrder:
    """Shuffled order in which each member occurs once per round.

    Independent random choices could leave a member unprobed for a long time. With
    rounds, each member is probed again within the length of two rounds.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._waiting: list[HostId] = []

    def add(self, host: HostId) -> None:
        """Insert a new member at a random position of the current round."""
        if host not in self._waiting:
            position = self._random.randint(0, len(self._waiting))
            self._waiting.insert(position, host)

    def pop_next(self, members: list[Member]) -> Member | None:
        """Return the next one of the given members; None if there are none."""
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


class TokenBucket:
    """Limits the rate of contacts, with a burst."""

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._counted_at = 0.0

    def acquire(self, now: float) -> bool:
        """Take a token and return True, or return False if there is none."""
        gained = (now - self._counted_at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._counted_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Prober:
    """Runs the tasks that probe members and send urgent updates."""

    def __init__(
        self,
        *,
        settings: MembershipSettings,
        message_exchange: MessageExchange,
        state: GroupState,
        health: LocalHealth,
        random: Random,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._message_exchange = message_exchange
        self._state = state
        self._health = health
        self._random = random
        self._metrics = metrics
        self._order = ProbeOrder(random)
        self._contact_limit = TokenBucket(URGENT_RATE, URGENT_BURST)
        self._has_urgent_updates = trio.Event()
        state.wake_sender = self._wake
        state.subscribe(self._handle_member_change)

    async def run_probes(self) -> None:
        """Probe one member per period until cancelled."""
        async with trio.open_nursery() as nursery:
            due = trio.current_time()
            while True:
                due += self.compute_period() * self._health.timeout_multiplier
                await trio.sleep_until(due)
                delay = trio.current_time() - due
                if delay > self._settings.probe_timeout:
                    self._handle_late_timer(delay)
                    due = trio.current_time()
                if self._message_exchange.is_terminated:
                    continue
                self._state.expire(trio.current_time(), self._health.timeout_multiplier)
                target = self._order.pop_next(self._list_others())
                if target is not None:
                    nursery.start_soon(self._check_member, target)

    async def run_urgent_updates(self) -> None:
        """Send urgent updates after a short batch delay, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._has_urgent_updates.wait()
                await trio.sleep(URGENT_BATCH_DELAY)
                self._has_urgent_updates = trio.Event()
                for target in self._choose_members(URGENT_FANOUT):
                    if self._contact_limit.acquire(trio.current_time()):
                        self._metrics.add("membership_urgent_contacts")
                        nursery.start_soon(
                            self._message_exchange.probe,
                            target,
                            self._compute_timeout(),
                        )

    async def send_updates_now(self, contacts: int) -> None:
        """Send updates to some members, and wait for their answers or timeouts."""
        async with trio.open_nursery() as nursery:
            for target in self._choose_members(contacts):
                nursery.start_soon(
                    self._message_exchange.probe, target, self._compute_timeout()
                )

    def compute_period(self) -> float:
        """Return the seconds between two probes by this host.

        The period grows with the logarithm of the member count, like the suspicion
        time. Updates are sent more often in a larger group: at 440 members, the
        period used for eight would spend the 3 KB/s on connections alone. With the
        longer period, every member is still probed once in 1.3 s.
        """
        count = self._state.table.alive_count
        return self._settings.probe_period * max(1.0, math.log10(count))

    def _wake(self) -> None:
        self._has_urgent_updates.set()

    def _handle_member_change(self, member: Member) -> None:
        if member.state is MemberState.ALIVE:
            self._order.add(member.host)

    def _handle_late_timer(self, delay: float) -> None:
        # This process got no CPU time or was stopped. Probes and suspicions that
        # include this gap say nothing about the other members.
        self._metrics.add("membership_late_timers")
        self._health.record_local_fault()
        if delay > self._settings.suspicion / 2:
            self._state.table.restart_suspicions(trio.current_time())

    async def _check_member(self, target: Member) -> None:
        timeout = self._compute_timeout()
        started_at = trio.current_time()
        if await self._message_exchange.probe(target, timeout):
            self._health.record_answered_probe()
            return
        answers = await self._probe_indirectly(target, timeout)
        if RelayResult.REACHED in answers:
            self._metrics.add("membership_probes_relayed")
            return
        if trio.current_time() - started_at > 4 * timeout:
            # The probes above end after at most three timeouts. These took more than
            # four, so this process was stalled, and replies may have arrived that
            # it has not processed yet.
            self._health.record_local_fault()
            return
        if answers and RelayResult.NOT_REACHED not in answers:
            # None of several members answered. It is more likely that this host is
            # slow or partitioned than that all of them failed.
            self._health.record_local_fault()
        self._metrics.add("membership_probes_failed")
        self._state.handle_changes(
            self._state.table.suspect(target, trio.current_time())
        )

    async def _probe_indirectly(
        self, target: Member, timeout: float
    ) -> list[RelayResult]:
        """Retry the probe directly and through relays, until one succeeds."""
        relays = [
            m for m in self._choose_members(self._settings.relays + 1) if m != target
        ]
        answers: list[RelayResult] = []
        async with trio.open_nursery() as nursery:

            async def probe_by_relay(relay: Member) -> None:
                answers.append(
                    await self._message_exchange.relay(relay, target, timeout)
                )
                if answers[-1] is RelayResult.REACHED:
                    nursery.cancel_scope.cancel()

            async def retry_probe() -> None:
                # The first probe may have used a connection that no longer carries
                # data; after such a failure, the transport opens a new one.
                if await self._message_exchange.probe(target, timeout):
                    answers.append(RelayResult.REACHED)
                    nursery.cancel_scope.cancel()

            nursery.start_soon(retry_probe)
            for relay in relays[: self._settings.relays]:
                nursery.start_soon(probe_by_relay, relay)
        return answers

    def _compute_timeout(self) -> float:
        return self._settings.probe_timeout * self._health.timeout_multiplier

    def _list_others(self) -> list[Member]:
        return self._state.table.list_live()[1:]

    def _choose_members(self, count: int) -> list[Member]:
        usable = [m for m in self._list_others() if m.state is not MemberState.SUSPECT]
        return self._random.sample(usable, min(count, len(usable)))
