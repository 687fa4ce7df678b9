"""The committer of claims: its budget of writes, in and after an outage."""

import random

import trio
import trio.testing

from dewridge.ids import ClientAccount, RequestId, make_request_id
from dewridge.metrics.registry import Metrics
from dewridge.requests.claims import ClaimIntent, Grant
from dewridge.requests.committer import Committer
from dewridge.requests.records import Ballot
from dewridge.requests.replicas import RecordTable
from dewridge.requests.shared import Jobs, Shared
from dewridge.settings.schema import RequestSettings
from dewridge.tests.fakes import FakeMembership, MemoryKeyValue, make_member
from dewridge.tests.requests.fakes import make_key, read_clock

MEMBERS = 8
RATE = 200.0
OUTAGE = 60


class Bench:
    """A committer over a key-value service in memory."""

    def __init__(self) -> None:
        self.key_value = MemoryKeyValue()
        members = [make_member(number) for number in range(MEMBERS)]
        metrics = Metrics()
        self.jobs = Jobs(metrics)
        self.shared = Shared(
            RequestSettings(),
            None,  # type: ignore[arg-type]
            FakeMembership(members, "host-0"),
            read_clock,
            metrics,
            RecordTable(members[0].host),
            self.jobs,
        )
        self.committer = Committer(
            self.shared, key_value=self.key_value, prefix="", writes_per_second=RATE
        )
        self._random = random.Random(1)

    def make_intent(self) -> ClaimIntent:
        request: RequestId = make_request_id(
            ClientAccount("oficina"), make_key(self._random)
        )
        me = self.shared.local_member
        return ClaimIntent(request, Ballot(1, me.host, me.incarnation))


async def test_an_outage_leaves_no_debt_of_writes(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # The key-value service is down for a minute while callers go on asking for
    # letters. Each try that failed had been charged to the budget of writes, so
    # that after the outage claims waited for as long again, and callers were
    # refused though everything worked.
    bench = Bench()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(bench.jobs.run)
        bench.key_value.is_down = True
        for _ in range(OUTAGE * 10):
            nursery.start_soon(bench.committer.commit, bench.make_intent(), 3.0)
            await trio.sleep(0.1)
        bench.key_value.is_down = False
        await trio.sleep(1.0)
        started = trio.current_time()
        verdict = await bench.committer.commit(bench.make_intent(), 3.0)
        assert isinstance(verdict, Grant)
        assert trio.current_time() - started < 0.5
        nursery.cancel_scope.cancel()


async def test_claims_keep_to_the_budget_of_writes(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # A flood of letters reaches one host. Its writes must not use up the
    # service's rate, which all hosts and the operators' configuration share.
    bench = Bench()
    granted: list[Grant] = []

    async def ask() -> None:
        verdict = await bench.committer.commit(bench.make_intent(), 3.0)
        if isinstance(verdict, Grant):
            granted.append(verdict)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(bench.jobs.run)
        for _ in range(2000):
            nursery.start_soon(ask)
            await trio.sleep(0.005)
        await trio.sleep(4.0)
        nursery.cancel_scope.cancel()
    writers = min(MEMBERS, bench.shared.settings.claim_buckets)
    assert len(granted) == 2000
    assert len(bench.key_value.calls) <= RATE / writers * 14 + 10
