"""Tests of the write budget of the claims' committer, also around an outage."""

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
WRITES_PER_SECOND = 200.0
OUTAGE_SECONDS = 60


class CommitterHarness:
    """A committer that writes to an in-memory key-value service."""

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
            self.shared,
            key_value=self.key_value,
            prefix="",
            writes_per_second=WRITES_PER_SECOND,
        )
        self._random = random.Random(1)

    def make_intent(self) -> ClaimIntent:
        request: RequestId = make_request_id(
            ClientAccount("oficina"), make_key(self._random)
        )
        member = self.shared.local_member
        return ClaimIntent(request, Ballot(1, member.host, member.incarnation))


async def test_failed_writes_do_not_delay_claims_after_an_outage(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # The key-value service is down for a minute while requests keep arriving. If each
    # failed attempt were charged to the write budget, claims would wait for as long
    # again after the outage, and requests would be rejected although all works again.
    harness = CommitterHarness()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(harness.jobs.run)
        harness.key_value.is_down = True
        for _ in range(OUTAGE_SECONDS * 10):
            nursery.start_soon(harness.committer.commit, harness.make_intent(), 3.0)
            await trio.sleep(0.1)
        harness.key_value.is_down = False
        await trio.sleep(1.0)
        started = trio.current_time()
        result = await harness.committer.commit(harness.make_intent(), 3.0)
        assert isinstance(result, Grant)
        assert trio.current_time() - started < 0.5
        nursery.cancel_scope.cancel()


async def test_claims_stay_within_the_write_budget(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # Many non-idempotent requests arrive at one host. Its writes must not use up the
    # key-value service's write rate, which all hosts and operators' changes share.
    harness = CommitterHarness()
    granted: list[Grant] = []

    async def claim() -> None:
        result = await harness.committer.commit(harness.make_intent(), 3.0)
        if isinstance(result, Grant):
            granted.append(result)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(harness.jobs.run)
        for _ in range(2000):
            nursery.start_soon(claim)
            await trio.sleep(0.005)
        await trio.sleep(4.0)
        nursery.cancel_scope.cancel()
    writers = min(MEMBERS, harness.shared.settings.claim_buckets)
    assert len(granted) == 2000
    assert len(harness.key_value.calls) <= WRITES_PER_SECOND / writers * 14 + 10
