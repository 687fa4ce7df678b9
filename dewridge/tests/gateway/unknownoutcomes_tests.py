"""Tests of calls of unknown outcome: they may have been carried out, or may be.

`docs/design/calls-with-effects.md` lists all such calls.
"""

import random
import time
from typing import Any

import msgspec
import pytest
import trio
import trio.testing

from dewridge.codes import ResultCode
from dewridge.gateway import duties, hosts
from dewridge.gateway.duties import HOLDER_KEY
from dewridge.gateway.hosts import HostEntry, Registration
from dewridge.gateway.reports import RolloutProgress
from dewridge.gateway.rolloutduty import RolloutDuty, make_progress_key
from dewridge.gateway.rollouts import AttemptResult
from dewridge.gateway.scaling import NEEDED_SERVERS_KEY, ScalingDuty
from dewridge.gateway.suspectkeeping import SUSPECTS_PREFIX, SuspectPersistence
from dewridge.gateway.suspects import clear_suspect, merge_suspects
from dewridge.gateway.usage import UsageDuty
from dewridge.gateway.versions.copies import StoredStreams, StreamCopies
from dewridge.gateway.versions.records import StreamVersions
from dewridge.http1.calls import CallFailure, Response, ServiceClient
from dewridge.ids import (
    BackendServerId,
    ClientAccount,
    FailureDomain,
    HostId,
    RequestDigest,
    ServiceName,
)
from dewridge.platform.cloud import Cloud
from dewridge.platform.store import Item, Lease
from dewridge.policy.rollouts import Stage
from dewridge.policy.streamversions import ReleaseHistory
from dewridge.policy.suspects import Crash, Suspect
from dewridge.sentinels import Failure
from dewridge.tests.gateway.duties_tests import AlwaysHolder, Candidate
from dewridge.tests.gateway.memorystore import DOWN, MemoryStore, StoreData
from dewridge.tests.gateway.rollouts_tests import (
    ORDER,
    SERVERS,
    HolderHost,
    record_attempts,
)
from dewridge.tests.gateway.world import PLAIN, make_configuration, make_state

UNKNOWN = Failure(ResultCode.KEY_VALUE_UNKNOWN, "no answer")
BEGIN = 1000.0
"""Wall-clock time in seconds at which each test begins."""
WINDOW = int(BEGIN // 5.0)
"""The usage window in which each test begins."""


@pytest.fixture(autouse=True)
def _use_test_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Replace the clocks by the clock of the test."""
    monkeypatch.setattr(hosts, "read_boot_clock", trio.current_time)
    monkeypatch.setattr(duties, "read_boot_clock", trio.current_time)
    monkeypatch.setattr(time, "time", lambda: BEGIN + trio.current_time())


class LateStore(MemoryStore):
    """A store that carries changes out late, after its client has given up.

    Attributes:
        late: number of the next changes that are late.
        delay: seconds until a late change is carried out.
        outcomes: what became of the late changes.
    """

    def __init__(self, data: StoreData, nursery: trio.Nursery) -> None:
        super().__init__(data)
        self.late = 0
        self.delay = 0.0
        self.outcomes: list[int | Failure] = []
        self._nursery = nursery

    async def change(self, **arguments: Any) -> int | Failure:
        """Carry a change out, now or late."""
        if not self.late:
            return await super().change(**arguments)
        self.late -= 1
        self._nursery.start_soon(self._change_late, arguments)
        await trio.sleep(0.3)
        return UNKNOWN

    async def _change_late(self, arguments: dict[str, Any]) -> None:
        await trio.sleep(self.delay)
        self.outcomes.append(await super().change(**arguments))


class RecordingClient(ServiceClient):
    """Records the bodies of calls and gives the same answer to each.

    Attributes:
        bodies: the bodies.
        answer: the answer.
    """

    def __init__(self, answer: Response | CallFailure) -> None:
        self.bodies: list[bytes] = []
        self.answer = answer

    async def call(
        self, method: str, path: str, *, body: bytes = b"", **options: Any
    ) -> Response | CallFailure:
        """Record a call."""
        if msgspec.json.decode(body)["window_id"] == WINDOW:
            self.bodies.append(body)
        return self.answer


async def report(
    store: MemoryStore, client: ServiceClient, counts: dict[str, int], seconds: float
) -> None:
    """Run a holder of the duties whose counts grow."""
    state = make_state(make_configuration())
    state.usage_counts[WINDOW].update(
        {ClientAccount(name): count for name, count in counts.items()}
    )
    duty = UsageDuty(state, AlwaysHolder(), store, Cloud(client))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(duty.run)
        for _ in range(round(seconds / 0.2)):
            await trio.sleep(0.2)
            for name in counts:
                state.usage_counts[WINDOW][ClientAccount(name)] += 1
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("loses_answers", [False, True])
@pytest.mark.parametrize(
    "answer", [CallFailure.LOST, Response(500, b""), Response(503, b"")]
)
async def test_usage_of_unknown_outcome_is_repeated_byte_for_byte(
    answer: Response | CallFailure,
    loses_answers: bool,
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against two different reports for one window.

    The holder repeats its report, then restarts, then another host follows. Each counts
    differently and in another order, and the sum has to be the first in each byte.
    """
    data = StoreData()
    client = RecordingClient(answer)
    reports: list[int] = []
    for counts in ({"b": 5, "a": 2}, {"a": 9, "b": 1, "c": 3}, {"c": 1}):
        store = MemoryStore(data)
        store.loses_answers = loses_answers
        await report(store, client, counts, 8.0 if not reports else 1.6)
        reports.append(len(client.bodies))
    assert 0 < reports[0] < reports[1] < reports[2]
    assert len(set(client.bodies)) == 1


@pytest.mark.parametrize("delay", [0.2, 0.7, 1.5])
async def test_usage_is_reported_once_if_its_first_sum_is_written_late(
    delay: float, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a report of a sum that a late write then replaces."""
    async with trio.open_nursery() as nursery:
        store = LateStore(StoreData(), nursery)
        store.late, store.delay = 1, delay
        client = RecordingClient(CallFailure.LOST)
        await report(store, client, {"a": 5}, 12.0)
    assert store.outcomes
    assert len(client.bodies) > 2
    assert len(set(client.bodies)) == 1


async def test_usage_whose_write_had_no_answer_outlasts_a_restore(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against different sums if the store loses one that was read back."""
    data = StoreData(era=1)
    snapshot = data.take_snapshot()
    client = RecordingClient(CallFailure.LOST)
    store = MemoryStore(data)
    store.loses_answers = True
    async with trio.open_nursery() as nursery:
        nursery.start_soon(report, store, client, {"a": 5}, 10.0)
        await trio.sleep(8.0)
        assert client.bodies
        data.restore(snapshot)
    assert len(client.bodies) > 2
    assert len(set(client.bodies)) == 1


@pytest.mark.parametrize("delay", [0.1, 0.5, 1.2, 2.5])
async def test_late_write_of_the_holder_begins_one_term(
    delay: float, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against two fencing tokens in use, and against duties without a holder."""
    data = StoreData()
    async with trio.open_nursery() as nursery:
        late = LateStore(data, nursery)
        first = Candidate("host-1", data, late)
        second = Candidate("host-2", data)
        first.start(nursery)
        await trio.sleep(0.3)
        # The registration has been written; the next change is that of the holder.
        late.late, late.delay = 1, delay
        await trio.sleep(0.5)
        second.start(nursery)
        tokens: list[tuple[int, HostId]] = []
        for _ in range(100):
            await trio.sleep(0.1)
            terms = [
                term
                for term in (
                    first.election.find_active_term(),
                    second.election.find_active_term(),
                )
                if term is not None
            ]
            assert len(terms) <= 1
            if terms:
                tokens.append((terms[0].fencing_token, terms[0].host))
        assert not late.late
        assert late.outcomes
        assert tokens
        assert tokens[-1][0] == data.items[HOLDER_KEY].revision
        assert tokens == sorted(tokens)
        assert len({token for token, _ in tokens}) == len(set(tokens)) == 1
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("delay", [0.1, 0.6, 1.5])
async def test_late_registration_does_not_replace_a_newer_one(
    delay: float, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against callers that are sent to a host which is not ready any more."""
    data = StoreData()
    async with trio.open_nursery() as nursery:
        store = LateStore(data, nursery)
        registration = make_registration(store)
        nursery.start_soon(registration.run)
        await trio.sleep(1.0)
        registration.set_ready(False)
        await trio.sleep(1.0)
        store.late, store.delay = 1, delay
        registration.set_ready(True)
        await trio.sleep(0.05)
        registration.set_ready(False)
        await trio.sleep(4.0)
        assert store.outcomes
        item = data.items[registration.key]
        assert not msgspec.json.decode(item.value, type=HostEntry).is_ready
        nursery.cancel_scope.cancel()


def make_registration(store: MemoryStore) -> Registration:
    """Return the registration of a host that is ready."""
    entry = HostEntry(
        HostId("host-1"), 1, "host-1:1", "host-1:2", FailureDomain("a"), True
    )
    return Registration(store, entry, random.Random(1))


class LossyLeaseStore(MemoryStore):
    """A store that carries calls of leases out and loses their answers.

    Attributes:
        lost: kinds of calls whose answers are lost.
    """

    def __init__(self, data: StoreData) -> None:
        super().__init__(data)
        self.lost: set[str] = set()

    async def grant_lease(self, ttl: float) -> Lease | Failure:
        """Grant a lease."""
        lease = await super().grant_lease(ttl)
        return DOWN if "grant" in self.lost else lease

    async def renew_lease(self, lease: int) -> Lease | Failure:
        """Renew a lease."""
        renewed = await super().renew_lease(lease)
        return DOWN if "renew" in self.lost else renewed

    async def end_lease(self, lease: int) -> Failure | None:
        """End a lease."""
        ended = await super().end_lease(lease)
        return UNKNOWN if "end" in self.lost else ended


async def test_lost_grant_of_a_lease_leaves_one_registration(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an entry that ends with a lease that nobody renews."""
    data = StoreData()
    store = LossyLeaseStore(data)
    registration = make_registration(store)
    store.lost = {"grant"}
    async with trio.open_nursery() as nursery:
        nursery.start_soon(registration.run)
        await trio.sleep(0.9)
        assert data.leases
        assert not registration.lease_state.is_valid
        store.lost = set()
        for _ in range(80):
            await trio.sleep(0.1)
            item = data.items.get(registration.key)
            held = registration.lease_state.lease
            if item is not None:
                assert held is not None
                assert item.lease == held.id
        assert item is not None
        assert len(data.leases) == 1
        nursery.cancel_scope.cancel()


async def test_lost_renewals_do_not_lengthen_a_lease(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a holder that acts by a renewal of which it has no answer."""
    data = StoreData()
    store = LossyLeaseStore(data)
    candidate = Candidate("host-1", data, store)
    async with trio.open_nursery() as nursery:
        candidate.start(nursery)
        await trio.sleep(6.0)
        before = candidate.election.find_active_term()
        assert before is not None
        store.lost = {"renew"}
        await trio.sleep(hosts.LEASE_TTL)
        assert candidate.election.find_active_term() is None
        # The store has the lease and the key, as it got the renewals.
        assert HOLDER_KEY in data.items
        store.lost = set()
        await trio.sleep(hosts.LEASE_TTL + 1.5)
        after = candidate.election.find_active_term()
        assert after is not None
        assert after.fencing_token == data.items[HOLDER_KEY].revision
        nursery.cancel_scope.cancel()


async def test_lost_end_of_a_lease_ends_the_registration(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a host that registers again as the end of its lease was lost."""
    data = StoreData()
    store = LossyLeaseStore(data)
    registration = make_registration(store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(registration.run)
        await trio.sleep(1.0)
        registration.set_ready(False)
        await trio.sleep(0.1)
        store.lost = {"end"}
        await registration.unregister()
        for _ in range(50):
            await trio.sleep(0.1)
            assert registration.key not in data.items
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("delay", [0.5, 2.0])
async def test_late_copy_of_a_released_request_is_deleted(
    delay: float, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a starting host that refuses a request that was released.

    The copy is written again after the answer to its first write was lost, then it is
    deleted, and then the first write is carried out.
    """
    data = StoreData()
    state = make_state(make_configuration())
    digest = RequestDigest("0123456789abcdef")
    key = SUSPECTS_PREFIX + digest
    async with trio.open_nursery() as nursery:
        store = LateStore(data, nursery)
        persistence = SuspectPersistence(state, store, lambda: True)
        nursery.start_soon(persistence.run)
        nursery.start_soon(follow, data, state.hosts.items)
        store.late, store.delay = 1, delay
        crashes = {
            BackendServerId(f"s-{n}"): Crash(trio.current_time(), trio.current_time())
            for n in range(3)
        }
        suspect = Suspect(digest, ClientAccount("a"), PLAIN, crashes)
        merge_suspects(state, [suspect])
        state.observed_crashes.add(digest)
        await trio.sleep(1.0)
        assert key in data.items
        clear_suspect(state, digest, "test")
        await trio.sleep(0.5)
        if delay > 1.5:
            assert key not in data.items
        await trio.sleep(delay + 1.0)
        assert store.outcomes
        assert key not in data.items
        nursery.cancel_scope.cancel()


async def follow(data: StoreData, items: dict[str, Item]) -> None:
    """Keep a host's table of items current."""
    while True:
        changed = data.changed
        items.clear()
        items.update(data.items)
        await changed.wait()


@pytest.mark.parametrize("last", [2, 4])
@pytest.mark.parametrize("delay", [0.5, 2.5])
async def test_late_write_of_the_needed_servers_does_not_stay(
    delay: float, last: int, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a next holder that plans by numbers of before."""
    data = StoreData()
    async with trio.open_nursery() as nursery:
        store = LateStore(data, nursery)
        duty = ScalingDuty(
            make_state(make_configuration()),
            AlwaysHolder(),
            store,
            Cloud(RecordingClient(CallFailure.LOST)),
        )
        nursery.start_soon(duty.run)
        duty._needed[PLAIN] = 4
        await trio.sleep(1.5)
        store.late, store.delay = 1, delay
        duty._needed[PLAIN] = 9
        await trio.sleep(1.0)
        assert not store.late
        duty._needed[PLAIN] = last
        await trio.sleep(5.0)
        assert store.outcomes
        written = msgspec.json.decode(data.items[NEEDED_SERVERS_KEY].value)
        assert written == {PLAIN: last}
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("delay", [0.1, 1.0, 3.0])
async def test_late_write_of_a_stage_does_not_undo_a_decision(
    delay: float, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a version that is tried again although it was reverted."""
    data = StoreData()
    holder = HolderHost(data)
    async with trio.open_nursery() as nursery:
        store = LateStore(data, nursery)
        store.late, store.delay = 1, delay
        duty = RolloutDuty(holder.state, AlwaysHolder(), store)
        holder.state.rollouts.apply_order(ORDER)
        nursery.start_soon(duty.run)
        await trio.sleep(0.6)
        await record_attempts(
            holder.state.rollouts, SERVERS[-1], AttemptResult.FAILED, 10
        )
        await trio.sleep(6.0)
        assert store.outcomes
        progress = data.items[make_progress_key(PLAIN)]
        stored = msgspec.json.decode(progress.value, type=RolloutProgress)
        assert stored.stage is Stage.REVERTED
        assert holder.state.rollouts.find_stage(PLAIN) is Stage.REVERTED
        assert holder.read_status() == "reverted"
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("delay", [0.1, 1.5])
async def test_late_copy_of_streams_does_not_replace_a_newer_one(
    delay: float, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a resumed stream that goes on at another version.

    After a loss of all hosts, a service that is not in the copy counts as one whose
    servers had one version.
    """
    data = StoreData()
    services = [ServiceName("first"), ServiceName("second")]
    versions = StreamVersions(ReleaseHistory(complete_since=0.0))
    async with trio.open_nursery() as nursery:
        store = LateStore(data, nursery)
        copies = StreamCopies(versions, store, "streams/host-1/1", lambda: 2, 400.0)
        versions.on_mixed = copies.handle_mixed
        nursery.start_soon(copies.run)
        store.late, store.delay = 1, delay
        for service in services:
            for name in ("v1", "v2"):
                versions.history.record(service, name, trio.current_time())
            copies.handle_mixed()
            await trio.sleep(1.0)
        await trio.sleep(2.0)
        assert store.outcomes
        item = data.items["streams/host-1/1"]
        stored = msgspec.json.decode(item.value, type=StoredStreams)
        assert set(stored.mixed) == set(services)
        assert copies._lease is not None
        assert item.lease == copies._lease.id
        nursery.cancel_scope.cancel()
