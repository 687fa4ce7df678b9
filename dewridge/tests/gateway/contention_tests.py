"""Tests of the admission of requests under contention, over the request path."""

import random
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import replace

import msgspec
import pytest
import trio
import trio.testing

from dewridge.codes import ResultCode
from dewridge.gateway.contention.accounts import (
    connect_reports,
    count_unlimited_usage,
)
from dewridge.gateway.contention.admitting import AdmissionControl
from dewridge.gateway.contention.describing import describe_admission, describe_plans
from dewridge.gateway.contention.mode import is_planned, is_suited
from dewridge.gateway.contention.planning import get_service_plan
from dewridge.gateway.hosts import HOSTS_PREFIX, HostEntry
from dewridge.gateway.jobs import Job
from dewridge.gateway.model import (
    Account,
    AccountKey,
    AttemptKey,
    CallerRequest,
    Configuration,
    PromptPart,
    RouteKind,
    Scaling,
    ServerRecord,
    Sizes,
)
from dewridge.gateway.operations import describe_state
from dewridge.gateway.reports import CellReport, Report, ServerTotals, Totals
from dewridge.gateway.state import GatewayState
from dewridge.ids import (
    BackendServerId,
    ClientAccount,
    HostId,
    ServerName,
    ServiceName,
)
from dewridge.platform.store import Item
from dewridge.policy.cells import CellName
from dewridge.policy.shedding import should_shed
from dewridge.settings.gateway import GatewayDecisions
from dewridge.tests.gateway.world import (
    DOMAIN,
    ENGINE,
    PLAIN,
    answer_ok,
    make_configuration,
    make_route,
    make_state,
    open_world,
)

PEER = HostId("host-2")
SERVER = BackendServerId("s-1")
SMALL = ClientAccount("small")
LARGE = ClientAccount("large")
FREE = ClientAccount("free")
URGENT = make_route("urgent", RouteKind.STREAM, ENGINE, priority=0, timeout=12.0)
SLOW = make_route(
    "slow", RouteKind.STREAM, ENGINE, priority=2, timeout=12.0, is_resumable=True
)


def make_unequal_configuration(
    rates: Mapping[ClientAccount, float] | None = None,
) -> Configuration:
    """Return a configuration with two urgencies and accounts of unequal size."""
    rates = rates or {SMALL: 1_000.0, LARGE: 50_000.0}
    accounts = {
        AccountKey(f"key-{name}"): Account(
            name, None, rate, rate, counts_tokens=True, plain_tokens=100
        )
        for name, rate in rates.items()
    }
    configuration = make_configuration(routes=(URGENT, SLOW))
    return replace(configuration, accounts=accounts)


def make_contended_state(
    in_flight: int, *, configuration: Configuration | None = None
) -> GatewayState:
    """Return a state with one server of 8 slots and requests in flight at it."""
    state = make_state(configuration or make_unequal_configuration())
    connect_reports(state)
    record = ServerRecord(
        SERVER, ServerName("s"), ENGINE, "127.0.0.1:9", DOMAIN, 8, is_draining=False
    )
    state.servers.update(record, trio.current_time())
    state.work_in_flight.requests[SERVER] = in_flight
    return state


def make_job(
    state: GatewayState,
    account: ClientAccount = LARGE,
    *,
    is_urgent: bool = False,
    last_event: int | None = None,
    seconds: float = 12.0,
) -> Job:
    """Return a job of a prompt with 5,000 tokens."""
    now = trio.current_time()
    configuration = state.configuration.current
    assert configuration is not None
    request = CallerRequest(
        id=AttemptKey("r"),
        method=b"POST",
        target=b"/slow/",
        hostname="example.test",
        headers=(),
        body=b"",
        key=AccountKey(""),
        sizes=Sizes(5_000, 300, (PromptPart("p", 5_000),), "m"),
        last_event=last_event,
        arrived_at=now,
        deadline=now + seconds,
    )
    known = next(at for at in configuration.accounts.values() if at.name == account)
    route = URGENT if is_urgent else SLOW
    return Job(request, route, known, ENGINE, now + seconds, is_engine=True)


def add_silent_host(state: GatewayState, name: str) -> None:
    """Register a host from which no reports arrive."""
    entry = HostEntry(HostId(name), 1, "127.0.0.1:1", "127.0.0.1:2", DOMAIN, True)
    key = f"{HOSTS_PREFIX}{name}/1"
    state.hosts.update(Item(key, msgspec.json.encode(entry), 1))


def count_admitted(
    state: GatewayState, jobs: int, account: ClientAccount = LARGE, **options: bool
) -> int:
    """Return how many of some jobs are admitted."""
    control = AdmissionControl(state)
    made = [make_job(state, account, **options) for _ in range(jobs)]
    return sum(control.check(job) is None for job in made)


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test with a clock that jumps over pauses."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(test, clock=clock)


def test_auto_plans_only_for_unequal_accounts_and_several_urgencies() -> None:
    """Deployments without a choice among callers are served as before."""
    configuration = make_unequal_configuration()
    assert is_suited(configuration, ENGINE)
    assert not is_suited(configuration, PLAIN)
    assert not is_suited(configuration, ServiceName("unknown"))
    assert not is_suited(replace(configuration, routes=(URGENT,)), ENGINE)
    equal = make_unequal_configuration({SMALL: 5.0, LARGE: 5.0})
    assert not is_suited(equal, ENGINE)


@pytest.mark.parametrize(("setting", "expected"), [("planned", True), ("ramps", False)])
def test_the_setting_takes_precedence(setting: str, expected: bool) -> None:
    async def check() -> None:
        state = make_state(make_unequal_configuration())
        decisions = GatewayDecisions(admission=setting)
        state.settings = replace(state.settings, decisions=decisions)
        assert is_planned(state, ENGINE) is expected

    run(check)


def test_nothing_is_refused_without_contention() -> None:
    async def check() -> None:
        assert count_admitted(make_contended_state(in_flight=6), 50) == 50

    run(check)


def test_urgent_requests_are_admitted_first() -> None:
    async def check() -> None:
        state = make_contended_state(in_flight=12)
        count_admitted(state, 200)
        state.contention.plans.clear()
        assert count_admitted(state, 5, is_urgent=True) == 5
        assert count_admitted(state, 50) < 25

    run(check)


def test_a_stream_that_was_interrupted_elsewhere_is_not_refused() -> None:
    """Refusing it would lose the work that was done for it."""

    async def check() -> None:
        state = make_contended_state(in_flight=40)
        count_admitted(state, 200)
        control = AdmissionControl(state)
        jobs = [make_job(state, last_event=3) for _ in range(50)]
        assert all(control.check(job) is None for job in jobs)

    run(check)


def test_a_refusal_states_its_reason_and_a_time_that_callers_honour() -> None:
    async def check() -> None:
        state = make_contended_state(in_flight=40)
        count_admitted(state, 200)
        state.contention.record_account_usage(LARGE, 9_000.0, trio.current_time())
        state.contention.plans.clear()
        control = AdmissionControl(state)
        refused = []
        for _ in range(200):
            job = make_job(state)
            failure = control.check(job)
            if failure is not None:
                refused.append((job, failure))
        job, failure = refused[-1]
        assert failure.code is ResultCode.QUEUE_FULL
        assert failure.reason.startswith("contended: share 0.")
        assert failure.retry_after is not None
        assert 2.0 < failure.retry_after <= 4.0
        assert 0 <= describe_admission(job)["admission_share"] < 1
        plan = describe_plans(state, trio.current_time())[ENGINE]
        assert plan["is_contended"]
        assert plan["account_shares"]["2"][LARGE] < 1
        refusals = state.metrics.read(
            "admissions_total", service=ENGINE, urgency="2", outcome="refused"
        )
        assert refusals == len(refused)

    run(check)


def test_a_request_that_cannot_begin_in_time_is_refused_without_contention() -> None:
    async def check() -> None:
        state = make_contended_state(in_flight=0)
        control = AdmissionControl(state, lambda state, job, now: 2.5)
        assert control.check(make_job(state, seconds=6.0)) is None
        failure = control.check(make_job(state, seconds=1.5))
        assert failure is not None
        assert failure.retry_after is not None
        assert failure.retry_after <= 0.5

    run(check)


def test_callers_return_when_ordered_servers_serve_if_all_are_lost() -> None:
    """They would be refused again if they returned before."""

    async def check() -> None:
        configuration = make_unequal_configuration()
        engine = configuration.services[ENGINE]
        scaling = Scaling(1, 2, boot_time=2.5, reclaimable_price=0.5, prices={})
        services = {ENGINE: replace(engine, scaling=scaling)}
        configuration = replace(configuration, services=services)
        state = make_contended_state(0, configuration=configuration)
        control = AdmissionControl(state)
        assert control.check(make_job(state)) is None
        record = state.servers.find(SERVER)
        assert record is not None
        state.servers.update(replace(record, is_draining=True), trio.current_time())
        for seconds, low, high in (
            (0.0, 2.5, 3.25),
            (1.0, 1.5, 1.95),
            (5.0, 0.1, 0.13),
        ):
            await trio.sleep(seconds)
            failure = control.check(make_job(state))
            assert failure is not None
            assert failure.code is ResultCode.NO_BACKEND_SERVER
            assert failure.retry_after is not None
            assert low <= failure.retry_after <= high

    run(check)


def test_a_host_that_has_just_started_does_not_assume_a_loss() -> None:
    """Its table of servers is empty until it has read the store."""

    async def check() -> None:
        state = make_state(make_unequal_configuration())
        assert AdmissionControl(state).check(make_job(state)) is None

    run(check)


def test_the_plan_is_computed_at_most_once_per_period() -> None:
    """Guards the CPU time per request."""

    async def check() -> None:
        state = make_contended_state(in_flight=12)
        now = trio.current_time()
        plan = get_service_plan(state, ENGINE, now)
        assert get_service_plan(state, ENGINE, now + 0.09) is plan
        assert get_service_plan(state, ENGINE, now + 0.11) is not plan

    run(check)


def make_demand_report(
    number: int, demand: Mapping[str, int], *, in_flight: int = 0
) -> Report:
    """Return a report of a peer with work demand."""
    totals = Totals(
        servers={SERVER: ServerTotals(requests=in_flight)}, work_demand=dict(demand)
    )
    return Report(
        host=PEER, boot=1, number=number, is_ready=True, age=0.0, totals=totals
    )


def test_demand_of_other_hosts_counts_and_is_summed_over_the_cell() -> None:
    async def check() -> None:
        state = make_contended_state(in_flight=0)
        now = trio.current_time()
        state.sharing.apply_report(make_demand_report(1, {"engine/2": 400}), now)
        state.sharing.apply_report(make_demand_report(2, {"engine/2": 900}), now)
        assert state.contention.demand.compute_rates(ENGINE, now) == {2: 0.9}
        state.contention.demand.record_local(ENGINE, 2, 0.1, now)
        totals = state.sharing.sum_cell_totals(state.make_report(1).totals, now)
        assert totals.work_demand == {"engine/2": 1000}

    run(check)


@pytest.mark.parametrize(
    "demand",
    [
        {"engine/2": -5},
        {"engine/2": 2_000_000},
        {"engine/x": 5},
        {"engine": 5},
        {"engine/9": 5},
    ],
)
def test_impossible_demand_of_a_peer_is_ignored_and_counted(
    demand: Mapping[str, int],
) -> None:
    async def check() -> None:
        state = make_contended_state(in_flight=0)
        now = trio.current_time()
        state.sharing.apply_report(make_demand_report(1, {"engine/2": 10}), now)
        state.sharing.apply_report(make_demand_report(2, demand), now)
        assert state.contention.demand.compute_rates(ENGINE, now) == {2: 0.01}
        assert state.metrics.read("demand_reports_ignored_total") == 1
        # The next possible report counts from then on.
        state.sharing.apply_report(make_demand_report(3, {"engine/2": 50}), now)
        state.sharing.apply_report(make_demand_report(4, {"engine/2": 90}), now)
        rate = state.contention.demand.compute_rates(ENGINE, now)[2]
        assert 0.05 <= rate <= 0.1
        assert state.metrics.read("demand_reports_ignored_total") == 1

    run(check)


def test_impossible_demand_of_a_cell_is_ignored_and_counted() -> None:
    """Merged totals must neither include it nor hide what is reported afterwards."""

    async def check() -> None:
        state = make_contended_state(in_flight=0)
        now = trio.current_time()
        for number, amount in enumerate((100, 5_000_000, 5_000_040, 60, 80)):
            report = CellReport(
                host=PEER,
                boot=1,
                number=number,
                cell=CellName("cell"),
                members=[PEER],
                unready=[],
                totals=Totals(work_demand={"engine/0": amount}),
            )
            state.sharing.apply_report(report, now)
        rates = state.contention.demand.compute_rates(ENGINE, now)
        assert rates == {0: pytest.approx(0.04)}
        assert state.metrics.read("demand_reports_ignored_total") == 1

    run(check)


def test_reports_of_earlier_builds_have_no_demand() -> None:
    """A fleet is updated host by host."""
    encoded = msgspec.msgpack.encode([{}, {}, {"engine": 5}, {}, {}])
    assert msgspec.msgpack.decode(encoded, type=Totals).work_demand == {}
    newer = msgspec.msgpack.encode([{}, {}, {}, {}, {}, {"engine/0": 5}, {"x": 1}])
    assert msgspec.msgpack.decode(newer, type=Totals).work_demand == {"engine/0": 5}


def test_old_demand_does_not_count() -> None:
    """A host that was suspended, or hears no others, goes by its own figures."""

    async def check() -> None:
        state = make_contended_state(in_flight=0)
        now = trio.current_time()
        report = make_demand_report(1, {"engine/2": 900}, in_flight=50)
        state.sharing.apply_report(report, now)
        assert get_service_plan(state, ENGINE, now).plan.is_contended
        await trio.sleep(3.0)
        now = trio.current_time()
        later = get_service_plan(state, ENGINE, now)
        assert not later.plan.is_contended
        assert later.in_flight == 0
        assert state.contention.demand.compute_rates(ENGINE, now) == {2: 0.0}

    run(check)


def test_a_partitioned_host_plans_for_its_part_of_the_fleet() -> None:
    async def check() -> None:
        state = make_contended_state(in_flight=3)
        for number in range(3):
            add_silent_host(state, f"host-{number + 5}")
        plan = get_service_plan(state, ENGINE, trio.current_time())
        assert plan.slots == 2.0
        assert plan.servers == 0.25
        assert plan.plan.is_contended

    run(check)


def test_an_account_without_a_quota_is_counted_and_reported() -> None:
    """Otherwise it would be outside of all shares."""

    async def check() -> None:
        configuration = make_unequal_configuration({SMALL: 5.0, LARGE: 9.0, FREE: 0.0})
        state = make_contended_state(in_flight=0, configuration=configuration)
        now = trio.current_time()
        count_unlimited_usage(state, FREE, 700.0, now)
        assert state.contention.compute_account_rates(now)[FREE] == 350.0
        assert state.make_report(1).totals.quota_usage == {FREE: 700}
        assert state.contention.weights.get(configuration)[FREE] == 7.0
        report = Report(
            host=PEER,
            boot=1,
            number=1,
            is_ready=True,
            age=0.0,
            totals=Totals(quota_usage={FREE: 100, SMALL: 4}),
        )
        state.sharing.apply_report(report, now)
        assert state.contention.compute_account_rates(now) == {FREE: 400.0, SMALL: 2.0}
        assert FREE not in state.ledger._early_usage

    run(check)


def test_ramps_report_and_count_nothing() -> None:
    """With the setting `ramps`, hosts behave and report as before."""

    async def check() -> None:
        state = make_contended_state(in_flight=0)
        decisions = GatewayDecisions(admission="ramps")
        state.settings = replace(state.settings, decisions=decisions)
        assert count_admitted(state, 50) == 50
        count_unlimited_usage(state, FREE, 700.0, trio.current_time())
        totals = state.make_report(1).totals
        assert totals.work_demand == {}
        assert totals.quota_usage == {}
        state.work_in_flight.requests[SERVER] = 12
        expected = random.Random(1)
        state.rng = random.Random(1)
        for _ in range(200):
            # Load 1.5 of the least urgent ramp, which refuses all.
            refusal = AdmissionControl(state).check(make_job(state))
            is_refused = should_shed(12, 8, 2, expected.random())
            assert (refusal is not None) is is_refused
            assert refusal is None or refusal.retry_after is None

    run(check)


def test_records_of_removed_services_and_accounts_are_dropped() -> None:
    async def check() -> None:
        state = make_contended_state(in_flight=12)
        count_admitted(state, 20)
        now = trio.current_time()
        state.contention.record_account_usage(LARGE, 5.0, now)
        state.contention.drop_unknown(make_configuration())
        assert state.contention.compute_account_rates(now) == {}
        assert not state.contention.output_times
        assert ENGINE in state.contention.plans
        without = replace(make_configuration(), services={})
        state.contention.drop_unknown(without)
        assert not state.contention.plans
        assert state.contention.demand.list_totals_ms() == {}

    run(check)


def test_a_contended_service_refuses_over_http_with_a_return_time() -> None:
    """Covers the path from a caller's request to the refusal that it gets."""

    async def check() -> None:
        configuration = make_unequal_configuration()
        async with open_world(configuration) as world:
            await world.add_server("s-1", answer_ok, ENGINE)
            world.state.work_in_flight.requests[SERVER] = 40
            now = trio.current_time()
            for _ in range(100):
                world.state.contention.demand.record_local(ENGINE, 2, 0.5, now)
            answers = [
                await world.request(
                    "/slow/", method="POST", key="key-large", deadline_ms=9000
                )
                for _ in range(10)
            ]
            refused = [answer for answer in answers if answer.status == 503]
            assert len(refused) >= 8
            for answer in refused:
                assert 1.5 < float(answer.headers[b"retry-after"]) <= 3.0
            assert msgspec.json.encode(describe_state(world.state), enc_hook=str)

    trio.run(check)
