"""Tests of the placement by expected time in a gateway, and of its switch."""

import random
from collections import Counter
from dataclasses import replace

import msgspec
import pytest
import trio

from dewridge.gateway.jobs import Job, make_prefix_name
from dewridge.gateway.model import (
    AttemptKey,
    CallerRequest,
    Configuration,
    Engine,
    PromptPart,
    ServerRecord,
    Service,
    Sizes,
)
from dewridge.gateway.operations import describe_state
from dewridge.gateway.placement import activation, expected, loads, outcomes
from dewridge.gateway.reports import Report, ServerTotals, Totals
from dewridge.gateway.sharing import clear_bad_paces
from dewridge.gateway.state import GatewayState
from dewridge.gateway.weighing import ServerChoice, choose_placement, choose_server
from dewridge.gateway.weighing import list_candidates as list_all_candidates
from dewridge.ids import BackendServerId, HostId, ServerName
from dewridge.policy.choice import score_cache_holder
from dewridge.policy.expectedtime import estimate_placement
from dewridge.policy.servicespeed import MIN_SAMPLES
from dewridge.settings.gateway import GatewayDecisions
from dewridge.tests.gateway.world import (
    DOMAIN,
    ENGINE,
    KEY,
    PLAIN,
    ROUTES,
    ServerExchange,
    make_configuration,
    make_state,
    open_world,
)

NOW = 100.0
SHARED = PromptPart("subject", 1_000)
OWN = PromptPart("own", 200)


def make_engine_state(
    placement: str = "expected_time",
    *,
    servers: int = 6,
    memory_tokens: int = 500_000,
) -> GatewayState:
    """Return the state of a gateway that knows some engines."""
    state = make_state(with_memory(memory_tokens))
    state.settings = replace(
        state.settings, decisions=GatewayDecisions(placement=placement)
    )
    for number in range(servers):
        state.servers.update(make_record(f"s-{number}"), 0.0)
    return state


def with_memory(tokens: int) -> Configuration:
    """Return a configuration whose engines have this memory."""
    configuration = make_configuration()
    engine = Service(ENGINE, 100, Engine(8, tokens, True, True), None)
    return replace(configuration, services={**configuration.services, ENGINE: engine})


def make_record(name: str, born: int = 1) -> ServerRecord:
    """Return the record of an engine."""
    return ServerRecord(
        BackendServerId(f"{name}@{born}"),
        ServerName(name),
        ENGINE,
        "127.0.0.1:9",
        DOMAIN,
        8,
        is_draining=False,
        started_at_ms=born,
    )


def make_job(*parts: PromptPart, number: int = 1, route: int = 3) -> Job:
    """Return a request whose prompt has the given parts."""
    tokens = sum(part.tokens for part in parts)
    request = CallerRequest(
        id=AttemptKey(f"r-{number}"),
        method=b"POST",
        target=b"/chat/a",
        hostname="example.test",
        headers=(),
        body=b"",
        key=KEY,
        sizes=Sizes(tokens, 50, parts, "m"),
        last_event=None,
        arrived_at=NOW,
        deadline=NOW + 2,
    )
    service = ROUTES[route].shares[0].service
    return Job(
        request, ROUTES[route], None, service, NOW + 2, is_engine=service == ENGINE
    )


def place(state: GatewayState, job: Job, now: float = NOW) -> ServerChoice:
    """Choose a server and record the attempt as a gateway does."""
    choice = choose_server(state, job, now)
    assert isinstance(choice, ServerChoice)
    job.expected, job.sent_at = choice.expected, now
    return choice


def report(
    state: GatewayState, servers: dict[BackendServerId, ServerTotals], now: float
) -> None:
    """Apply a report of another host on its load."""
    number = state.sharing.reports_received + 1
    state.sharing.apply_report(
        Report(HostId("host-2"), 1, number, True, 1.0, Totals(servers=servers)), now
    )


@pytest.mark.parametrize(
    ("setting", "memory", "is_enabled"),
    [
        ("auto", 500_000, True),
        ("auto", 0, False),
        ("expected_time", 0, True),
        ("token_load", 500_000, False),
    ],
)
def test_the_setting_decides(setting: str, memory: int, is_enabled: bool) -> None:
    state = make_engine_state(setting, memory_tokens=memory, servers=12)
    assert activation.is_enabled(state, ENGINE) is is_enabled
    assert not activation.is_enabled(state, PLAIN)
    assert (place(state, make_job(OWN)).expected is not None) is is_enabled


def test_auto_compares_all_servers_while_they_are_few_and_reports_fresh() -> None:
    """Guards against more late answers in small deployments, as in the replays."""
    state = make_engine_state("auto", servers=11)
    assert place(state, make_job(OWN)).expected is None
    state.sharing.period = 0.5
    assert place(state, make_job(OWN)).expected is not None
    state.sharing.period = 0.1
    state.servers.update(make_record("s-11"), NOW)
    assert place(state, make_job(OWN)).expected is not None


async def test_by_token_load_the_choice_is_as_before() -> None:
    """Guards against a change of behaviour where the feature is switched off."""
    state = make_engine_state("token_load")
    now = trio.current_time()
    other = make_engine_state("token_load")
    for number in range(100):
        job = make_job(SHARED, OWN, number=number)
        choice = place(state, job, now)
        placement = choose_placement(
            job,
            list_all_candidates(other, other.servers.list_service(ENGINE), now),
            other.rng,
            can_copy=False,
            staleness=other.sharing.staleness,
        )
        assert placement is not None
        assert choice.server.id == placement.server
        assert choice.unprocessed_tokens == placement.tokens
        for each in (state, other):
            each.work_in_flight.add(choice.server.id, choice.unprocessed_tokens)
    assert not state.placement.services
    assert expected.estimate_first_event(state, make_job(OWN), now) is None


def test_an_idle_cache_holder_is_chosen_and_a_busy_one_is_not() -> None:
    state = make_engine_state()
    job = make_job(SHARED, OWN)
    prefix = make_prefix_name(job)
    holder = max(
        (record.id for record in state.servers.list_all()),
        key=lambda server: score_cache_holder(prefix, server),
    )
    choice = place(state, job)
    assert choice.server.id == holder
    assert choice.unprocessed_tokens == OWN.tokens
    assert choice.is_idle
    state.work_in_flight.add(holder, 60_000)
    assert place(state, job).server.id != holder


def test_load_at_other_hosts_counts() -> None:
    state = make_engine_state()
    job = make_job(SHARED, OWN)
    holder = place(state, job).server.id
    report(state, {holder: ServerTotals(requests=3, tokens=60_000)}, NOW)
    assert place(state, job).server.id != holder


def test_prompts_without_a_shared_part_spread_over_the_servers() -> None:
    state = make_engine_state()
    chosen = Counter(
        place(state, make_job(OWN, number=n)).server.id for n in range(300)
    )
    assert len(chosen) == 6
    assert min(chosen.values()) > 20


def test_a_server_in_cooldown_is_not_chosen_while_others_are_usable() -> None:
    state = make_engine_state()
    job = make_job(SHARED, OWN)
    holder = place(state, job).server.id
    state.get_health(holder).record_failure(NOW, is_hard=True)
    chosen = {place(state, job).server.id for _ in range(50)}
    assert holder not in chosen
    for record in state.servers.list_all():
        state.get_health(record.id).record_failure(NOW, is_hard=True)
    assert place(state, job).server.id in {r.id for r in state.servers.list_all()}


def test_a_server_that_other_hosts_find_failing_is_not_chosen() -> None:
    state = make_engine_state()
    job = make_job(SHARED, OWN)
    holder = place(state, job).server.id
    report(state, {holder: ServerTotals(attempts=200, failures=190)}, NOW)
    assert holder not in {place(state, job).server.id for _ in range(50)}


def test_a_tried_server_is_not_tried_again_at_once() -> None:
    state = make_engine_state()
    job = make_job(SHARED, OWN)
    for _ in range(6):
        server = place(state, job).server.id
        assert server not in job.tried_servers
        job.tried_servers.append(server)


def test_a_single_server_and_no_server() -> None:
    only = place(make_engine_state(servers=1), make_job(SHARED, OWN))
    assert only.server.id == "s-0@1"
    assert choose_server(make_engine_state(servers=0), make_job(OWN), NOW) is None


def test_a_restarted_server_starts_without_a_pace() -> None:
    """Guards against avoiding a new process for what its predecessor did."""
    state = make_engine_state(servers=1)
    job = make_job(OWN)
    choice = place(state, job)
    outcomes.record_first_event(state, job, NOW + 0.3)
    assert loads.open_loads(state, NOW + 0.3).read_pace(choice.server.id) > 1
    state.servers.update(make_record("s-0", born=2), NOW + 0.4)
    renewed = place(state, make_job(OWN), NOW + 0.4)
    assert renewed.server.id != choice.server.id
    assert renewed.expected is not None
    assert renewed.expected.load.pace == 1.0
    state.placement.drop_departed({renewed.server.id})
    assert choice.server.id not in state.placement.paces


def test_paces_of_other_hosts_are_used_and_expire_with_them() -> None:
    """Guards against using the paces of hosts that this host no longer hears."""
    state = make_engine_state()
    server = BackendServerId("s-0@1")
    report(state, {server: ServerTotals(pace_samples=200, pace_sum=600)}, NOW)
    assert loads.open_loads(state, NOW).read_pace(server) > 2
    assert loads.open_loads(state, NOW + 5).read_pace(server) == 1.0


def test_without_reports_the_figures_count_as_stale() -> None:
    state = make_engine_state()
    assert loads.compute_staleness(state, NOW) == state.sharing.staleness
    report(state, {}, NOW)
    assert loads.compute_staleness(state, NOW) == state.sharing.staleness
    assert loads.compute_staleness(state, NOW + 2) == pytest.approx(2)
    assert loads.compute_staleness(state, NOW + 60) == loads.MAX_STALENESS


def test_a_pace_that_no_server_can_have_is_ignored_and_counted() -> None:
    """Guards against a faulty host whose report spoils the sums of all hosts."""
    state = make_engine_state()
    bad = [
        ServerTotals(requests=1, pace_samples=-10, pace_sum=10),
        ServerTotals(requests=1, pace_samples=0, pace_sum=10),
        ServerTotals(requests=1, pace_samples=10, pace_sum=0),
        ServerTotals(requests=1, pace_samples=10, pace_sum=-10),
        ServerTotals(requests=1, pace_samples=10, pace_sum=201),
    ]
    servers = {BackendServerId(f"s-{n}@1"): totals for n, totals in enumerate(bad)}
    report(state, servers, NOW)
    assert state.metrics.read("pace_reports_ignored_total") == len(bad)
    for server in servers:
        assert loads.open_loads(state, NOW).read_pace(server) == 1.0
        assert (
            loads.open_loads(state, NOW).read_load(make_record(server[:3])).requests
            == 1
        )
    assert (
        clear_bad_paces({BackendServerId("s"): ServerTotals(1, 2, 3, 4, 10, 15)}) == 0
    )


def test_reported_paces_are_never_ones_that_receivers_ignore() -> None:
    """Guards against rounding that makes valid samples look invalid."""
    state = make_engine_state(servers=1)
    rng = random.Random(1)
    server = BackendServerId("s-0@1")
    meter = state.placement.get_pace(server)
    now = 0.0
    for _ in range(2_000):
        now += rng.expovariate(1.0)
        meter.add(0.1 * 20 ** rng.uniform(-2, 1), 0.1 * rng.random(), now)
        samples, ratio_sum = state.placement.read_reported_pace(server, now + 0.5)
        totals = ServerTotals(pace_samples=samples, pace_sum=ratio_sum)
        assert clear_bad_paces({server: totals}) == 0


def test_builds_with_and_without_paces_understand_each_other() -> None:
    class OldServerTotals(msgspec.Struct, array_like=True):
        requests: int = 0
        tokens: int = 0
        attempts: int = 0
        failures: int = 0

    new = msgspec.msgpack.encode(ServerTotals(1, 2, 3, 4, 50, 60))
    old = msgspec.msgpack.encode(OldServerTotals(1, 2, 3, 4))
    assert msgspec.msgpack.decode(new, type=OldServerTotals).failures == 4
    assert msgspec.msgpack.decode(old, type=ServerTotals) == ServerTotals(1, 2, 3, 4)


def learn_speed(state: GatewayState) -> None:
    """Let the gateway measure engines of 100,000 tokens per second."""
    for number in range(MIN_SAMPLES * 10):
        tokens = 100.0 * number
        state.placement.get_figures(ENGINE).speed.add_first_event(
            tokens, 0.01 + tokens / 100_000
        )


async def test_the_first_event_is_estimated_once_the_speed_is_known() -> None:
    state = make_engine_state()
    now = trio.current_time()
    job = make_job(OWN)
    assert expected.estimate_first_event(state, job, now) is None
    learn_speed(state)
    estimate = expected.estimate_first_event(state, job, now)
    assert estimate == pytest.approx(0.012, abs=0.005)
    empty = make_engine_state(servers=0)
    learn_speed(empty)
    assert expected.estimate_first_event(empty, job, now) is None


def test_the_estimate_is_that_of_the_best_server_if_most_are_busy() -> None:
    """Guards against refusing a request because the few servers drawn are busy."""
    state = make_engine_state(servers=40)
    learn_speed(state)
    for record in state.servers.list_all()[1:]:
        state.work_in_flight.add(record.id, 200_000)
    estimate = expected.estimate_first_event(state, make_job(SHARED, OWN), NOW)
    assert estimate is not None
    assert estimate < 0.1
    free = state.servers.list_all()[0]
    state.work_in_flight.add(free.id, 200_000)
    estimate = expected.estimate_first_event(state, make_job(SHARED, OWN), NOW)
    assert estimate == pytest.approx(2.0, rel=0.1)


def test_a_request_does_not_hash_all_servers_again() -> None:
    """Guards against a cost of O(servers) hashes and scores for each request."""
    state = make_engine_state(servers=40)
    rankings = state.placement.get_figures(ENGINE).rankings
    calls = 0
    rank_all = rankings.rank_all

    def count(*arguments: object) -> tuple[BackendServerId, ...]:
        nonlocal calls
        calls += 1
        return rank_all(*arguments)  # type: ignore[arg-type]

    rankings.rank_all = count  # type: ignore[method-assign, assignment]
    for _ in range(2):
        place(state, make_job(SHARED, OWN))
    assert calls == 1
    state.servers.update(make_record("s-new"), NOW)
    place(state, make_job(SHARED, OWN))
    assert calls == 2


async def test_the_choice_is_learned_from_logged_counted_and_dumped() -> None:
    async def answer(exchange: ServerExchange) -> None:
        await exchange.begin_stream()
        await exchange.send_events(1, 2)
        await exchange.end_stream()

    async with open_world(with_memory(500_000)) as world:
        world.state.settings = replace(
            world.state.settings, decisions=GatewayDecisions("expected_time")
        )
        await world.add_server("s-1", answer, ENGINE)
        caller_answer = await world.request("/chat/a", method="POST", body=b"x")
        assert caller_answer.is_complete
        state = world.state
        assert state.placement.get_figures(ENGINE).speed.samples == 1
        assert state.placement.paces["s-1"].samples > 0  # type: ignore[index]
        labels = {"service": str(ENGINE), "choice": "other"}
        assert state.metrics.read("placements_total", **labels) == 1
        dump = describe_state(state)
    assert dump["placement"][0]["service"] == ENGINE
    assert dump["placement"][0]["is_by_expected_time"]
    assert dump["servers"][0]["pace"] > 0


def test_the_log_says_why_a_server_was_chosen() -> None:
    state = make_engine_state()
    job = make_job(SHARED, OWN)
    assert outcomes.describe_choice(job) == {}
    place(state, job)
    fields = outcomes.describe_choice(job)
    assert fields["placed_at"] == "holder"
    assert fields["expected_tokens"] == OWN.tokens
    assert fields["server_requests"] == 0
    assert job.expected is not None
    assert job.expected == estimate_placement(
        loads.open_loads(state, NOW).read_load(
            make_record(job.expected.load.id[:3]), is_holder=True
        ),
        expected.make_prompt(job, can_copy=False),
        loads.read_speed(state, ENGINE),
    )
