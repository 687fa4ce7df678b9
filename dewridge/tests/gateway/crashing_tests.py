"""Tests of requests that crash each backend server that begins to run them."""

from collections import Counter

import msgspec
import pytest
import trio
import trio.testing

from dewridge.gateway.forwarding import LostAttempt
from dewridge.gateway.hosts import SYSTEM_PREFIX
from dewridge.gateway.jobs import Job
from dewridge.gateway.losses import LossHandler
from dewridge.gateway.model import AttemptKey, CallerRequest, ServerRecord, Sizes
from dewridge.gateway.reports import SuspectUpdate
from dewridge.gateway.suspectkeeping import SUSPECTS_PREFIX, SuspectPersistence
from dewridge.gateway.suspects import (
    clear_suspect,
    decode_suspect,
    encode_suspect,
    make_update_lister,
    merge_suspects,
)
from dewridge.ids import BackendServerId, RequestDigest
from dewridge.platform.store import Listing
from dewridge.policy.losses import CRASH_BLAME_SECONDS, ConnectResult, LossReason
from dewridge.policy.suspects import (
    MAX_SUSPECTS,
    QUARANTINE_PERIOD,
    Crash,
    Suspect,
    SuspectLedger,
)
from dewridge.tests.gateway.memorystore import MemoryStore, StoreData
from dewridge.tests.gateway.world import (
    ACCOUNT,
    ENGINE,
    KEY,
    PLAIN,
    CallerAnswer,
    ScriptedServer,
    ServerExchange,
    World,
    make_configuration,
    make_state,
    open_world,
)

CRASH_BODY = b"crash"
SERVER_COUNT = 8
REQUEST_COUNT = 8
DIGEST = RequestDigest("0123456789abcdef")


async def add_crashing_servers(
    world: World, pause: float = 0.0, events: int = 3
) -> list[ScriptedServer]:
    """Start servers that crash when they begin to run a request with `CRASH_BODY`.

    Args:
        world: the world to add them to.
        pause: seconds before each event of the answer to another request.
        events: number of these events.
    """
    servers: list[ScriptedServer] = []

    async def answer_or_crash(exchange: ServerExchange) -> None:
        await exchange.begin_stream()
        if exchange.body == CRASH_BODY:
            next(server for server in servers if server.id == exchange.server).crash()
            return
        after = int(exchange.headers.get(b"last-event-id", b"0"))
        for event in range(after + 1, events + 1):
            await trio.sleep(pause)
            await exchange.send_events(event, event)
        await exchange.end_stream()

    for number in range(SERVER_COUNT):
        name = f"s-{number}"
        servers.append(await world.add_server(name, answer_or_crash, ENGINE))
    return servers


async def send_crashing_request(world: World, request_id: str) -> CallerAnswer:
    """Send the request that crashes servers."""
    return await send_request(world, CRASH_BODY, request_id)


async def send_request(world: World, body: bytes, request_id: str) -> CallerAnswer:
    """Send a request to the route whose servers may crash."""
    return await world.request(
        "/chat/a", method="POST", body=body, request_id=request_id
    )


async def test_a_request_that_crashes_servers_is_quarantined() -> None:
    """Guards against losing server after server to repetitions of one request."""
    async with open_world(retry_slack=100) as world:
        servers = await add_crashing_servers(world)
        for number in range(REQUEST_COUNT):
            answer = await send_crashing_request(world, f"r-{number}")
            await trio.sleep(0.01)
        crashed = sum(server.has_crashed for server in servers)
        other = await world.request("/chat/a", method="POST", body=b"x", request_id="o")
    assert crashed == 3
    assert answer.status == 503
    assert float(answer.headers[b"retry-after"]) > 60
    assert other.status == 200


async def test_streams_beside_a_crashing_request_continue_elsewhere() -> None:
    """Guards against blaming requests that ran beside the cause of a crash."""
    async with open_world(retry_slack=100) as world:
        await add_crashing_servers(world, pause=0.2, events=8)
        answers: list[CallerAnswer] = []

        async def send_other(number: int) -> None:
            answers.append(
                await send_request(world, b"beside %d" % number, f"b-{number}")
            )

        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(send_other, number)
            await trio.sleep(CRASH_BLAME_SECONDS + 0.3)
            for number in range(REQUEST_COUNT):
                await send_crashing_request(world, f"r-{number}")
        quarantined = world.state.suspects.list_quarantined(trio.current_time())
    assert [answer.status for answer in answers] == [200] * 6
    assert all(answer.is_complete for answer in answers)
    assert len(quarantined) == 1


async def test_a_stream_survives_more_crashes_than_its_attempt_limit() -> None:
    """Guards against counting attempts whose server crashed against the limit.

    The stream has run long enough not to be blamed for the crashes.
    """
    async with open_world(retry_slack=100) as world:
        servers = await add_crashing_servers(world, pause=0.1, events=16)
        answers: list[CallerAnswer] = []

        async def ask() -> None:
            answers.append(await send_request(world, b"innocent", "r-1"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            for _ in range(2):
                await trio.sleep(CRASH_BLAME_SECONDS + 0.2)
                next(
                    server
                    for server in servers
                    if server.received and not server.has_crashed
                ).crash()
    assert answers[0].status == 200
    assert answers[0].is_complete


async def test_a_common_request_survives_the_loss_of_a_failure_domain() -> None:
    """Guards against blaming a request for a failure domain that is lost at once.

    Copies of the same lookup are in flight on all of its servers.
    """
    async with open_world(retry_slack=100) as world:
        servers: list[ScriptedServer] = []

        async def answer_later(exchange: ServerExchange) -> None:
            await trio.sleep(0.3)
            await exchange.answer()

        for number in range(SERVER_COUNT):
            servers.append(await world.add_server(f"s-{number}", answer_later))
        statuses: list[int] = []

        async def look_up(number: int) -> None:
            answer = await world.request("/read/a", request_id=f"r-{number}")
            statuses.append(answer.status)

        async with trio.open_nursery() as nursery:
            for number in range(SERVER_COUNT):
                nursery.start_soon(look_up, number)
            await trio.sleep(0.1)
            for server in servers[: SERVER_COUNT // 2]:
                server.crash()
    assert statuses == [200] * SERVER_COUNT
    assert world.state.suspects.list_quarantined(trio.current_time()) == []


async def test_a_lost_answer_of_a_running_server_blames_no_request() -> None:
    """Guards against quarantining requests for resets and lost answers."""

    async def reset(exchange: ServerExchange) -> None:
        exchange.reset()

    async with open_world(retry_slack=100) as world:
        for number in range(SERVER_COUNT):
            await world.add_server(f"s-{number}", reset)
        for number in range(REQUEST_COUNT):
            answer = await world.request("/read/a", request_id=f"r-{number}")
    assert answer.status == 502
    assert world.state.suspects.is_empty


async def test_the_end_of_a_leaving_server_blames_no_request() -> None:
    """Guards against quarantining requests for reclaims that were announced."""
    async with open_world(retry_slack=100) as world:
        servers = await add_crashing_servers(world)

        async def leave_and_end(exchange: ServerExchange) -> None:
            server = next(match for match in servers if match.id == exchange.server)
            world.state.servers.drop(server.id, trio.current_time(), "it drains")
            server.crash()

        for server in servers:
            server.script = leave_and_end
        for number in range(3):
            await send_crashing_request(world, f"r-{number}")
    assert world.state.suspects.is_empty


async def test_a_request_without_retries_runs_once_until_it_is_quarantined() -> None:
    """Guards against reporting "not run" for an attempt that ran.

    Attempts that ran have an unknown outcome (502); only those refused in quarantine
    have not run (503).
    """
    async with open_world(retry_slack=100) as world:
        servers: list[ScriptedServer] = []

        async def crash(exchange: ServerExchange) -> None:
            next(server for server in servers if server.id == exchange.server).crash()

        for number in range(SERVER_COUNT):
            servers.append(await world.add_server(f"s-{number}", crash))
        statuses = []
        for number in range(5):
            answer = await world.request(
                "/write/a", method="POST", body=CRASH_BODY, request_id=f"r-{number}"
            )
            statuses.append(answer.status)
        runs = Counter(
            exchange.headers[b"x-attempt-id"]
            for server in servers
            for exchange in server.received
        )
    assert statuses == [502, 502, 502, 503, 503]
    assert runs == {b"r-0": 1, b"r-1": 1, b"r-2": 1}


def test_hosts_quarantine_requests_reported_by_other_hosts() -> None:
    """Guards against each host losing three servers of its own to one request."""
    ledger = SuspectLedger()
    updates = []
    for number in range(3):
        crash = Crash(10.0 + number, 9.9 + number)
        suspect = Suspect(
            DIGEST, ACCOUNT, ENGINE, {BackendServerId(f"s-{number}"): crash}
        )
        updates.append(encode_suspect(suspect, 12.5))
    for update in updates:
        received = msgspec.msgpack.decode(
            msgspec.msgpack.encode(update), type=SuspectUpdate
        )
        ledger.merge(decode_suspect(received, 500.0), 500.0)
    assert ledger.compute_quarantine_left(DIGEST, 500.0) > 0


async def test_updates_of_many_suspects_stay_small() -> None:
    """Guards against reports that grow with the number of suspects.

    All suspects are reported in turn, in reports of bounded size.
    """
    state = make_state(make_configuration())
    now = trio.current_time()
    for number in range(MAX_SUSPECTS):
        ends = {
            BackendServerId(f"i-{number}{age}-0123456789"): Crash(now - age, now - age)
            for age in range(3)
        }
        digest = RequestDigest(f"{number:016x}")
        state.suspects.merge(Suspect(digest, ACCOUNT, ENGINE, ends), now)
    list_updates = make_update_lister(state)
    turns = [list_updates(turn) for turn in range(MAX_SUSPECTS)]
    assert max(len(msgspec.msgpack.encode(updates)) for updates in turns) < 1_500
    assert len({update.digest for updates in turns for update in updates}) == (
        MAX_SUSPECTS
    )


@pytest.mark.parametrize("is_down_first", [False, True])
async def test_a_starting_host_reads_quarantined_requests_from_the_store(
    is_down_first: bool, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against losing three more servers after all hosts were killed at once."""
    data = StoreData()
    before = make_state(make_configuration())
    store = MemoryStore(data)
    store.is_down = is_down_first
    async with trio.open_nursery() as nursery:
        persistence = SuspectPersistence(before, store, lambda: False)
        nursery.start_soon(persistence.run)
        for number in range(3):
            at = trio.current_time()
            server = BackendServerId(f"s-{number}")
            before.observed_crashes.add(DIGEST)
            merge_suspects(
                before,
                [Suspect(DIGEST, ACCOUNT, ENGINE, {server: Crash(at, at - 0.1)})],
            )
            await trio.sleep(1.0)
        store.is_down = False
        await trio.sleep(2.0)
        nursery.cancel_scope.cancel()
    after = make_state(make_configuration())
    after.hosts.on_item = SuspectPersistence(
        after, MemoryStore(data), lambda: False
    ).apply_item
    listing = await MemoryStore(data).list_items(SYSTEM_PREFIX)
    assert isinstance(listing, Listing)
    after.hosts.replace(listing)
    assert (
        after.suspects.compute_quarantine_left(DIGEST, trio.current_time())
        > QUARANTINE_PERIOD - 10
    )
    assert store.calls <= 12


def make_quarantined() -> Suspect:
    """Return a request that three servers crashed on recently."""
    now = trio.current_time()
    ends = {
        BackendServerId(f"s-{n}"): Crash(now - 3 + n, now - 3.1 + n) for n in range(3)
    }
    return Suspect(DIGEST, ACCOUNT, ENGINE, ends)


async def test_the_holder_of_the_duties_writes_copies_that_another_host_could_not(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against losing a quarantine with the only host that saw the last crash."""
    data = StoreData()
    state = make_state(make_configuration())
    persistence = SuspectPersistence(state, MemoryStore(data), lambda: True)
    merge_suspects(state, [make_quarantined()])
    with trio.move_on_after(10.0):
        await persistence.run()
    assert [key for key in data.items if key.startswith(SUSPECTS_PREFIX)] != []


async def test_a_released_request_stays_released_for_hosts_that_start(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a copy in the store that quarantines a released request again."""
    data = StoreData()
    state = make_state(make_configuration())
    persistence = SuspectPersistence(state, MemoryStore(data), lambda: True)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(persistence.run)
        merge_suspects(state, [make_quarantined()])
        await trio.sleep(6.0)
        state.hosts.replace(Listing(tuple(data.items.values()), data.revision))
        clear_suspect(state, DIGEST, "operator")
        await trio.sleep(2.0)
        nursery.cancel_scope.cancel()
    assert data.items == {}


async def test_an_operator_releases_a_request_from_quarantine() -> None:
    """Guards against quarantines that outlast the fault that caused them."""
    async with open_world(retry_slack=100) as world:
        servers = await add_crashing_servers(world)
        for number in range(4):
            answer = await send_crashing_request(world, f"r-{number}")
        assert answer.status == 503
        for server in servers:
            server.script = answer_events
        digest = world.state.suspects.list_all()[0].digest
        assert clear_suspect(world.state, digest, "operator")
        answer = await send_crashing_request(world, "r-9")
    assert answer.status == 200


def make_job(world: World, body: bytes) -> Job:
    """Return a job for a request to the engine service."""
    now = trio.current_time()
    request = CallerRequest(
        id=AttemptKey(body.decode()),
        method=b"POST",
        target=b"/chat/a",
        hostname="example.test",
        headers=(),
        body=body,
        key=KEY,
        sizes=Sizes(),
        last_event=None,
        arrived_at=now,
        deadline=now + 2.0,
    )
    configuration = world.state.configuration.current
    assert configuration is not None
    route = configuration.find_route("example.test", "/chat/a")
    assert route is not None
    account = configuration.accounts[KEY]
    return Job(request, route, account, ENGINE, now + 2.0, is_engine=True)


async def answer_events(exchange: ServerExchange) -> None:
    """Answer with a complete stream, as a healthy engine does."""
    await exchange.begin_stream()
    await exchange.send_events(1, 3)
    await exchange.end_stream()


async def test_a_disconnected_caller_hides_no_crash_from_other_requests() -> None:
    """Guards against a crash that is not counted because one caller disconnected.

    Two requests are lost with a server and share one probe of it. The probe is
    cancelled, as the caller of the first request disconnects.
    """
    async with open_world(retry_slack=100) as world:
        servers = await add_crashing_servers(world)
        has_probed = trio.Event()
        probe = world.state.pool.probe
        probes = 0

        async def probe_slowly(server: ServerRecord) -> ConnectResult:
            nonlocal probes
            probes += 1
            if probes == 1:
                has_probed.set()
                await trio.sleep_forever()
            return await probe(server)

        world.state.pool.probe = probe_slowly  # type: ignore[method-assign]
        handler = LossHandler(world.state)
        record = world.state.servers.list_all()[0]
        next(server for server in servers if server.id == record.id).crash()
        await trio.sleep(0.01)
        lost = LostAttempt(LossReason.CUT_OFF)
        async with trio.open_nursery() as staying, trio.open_nursery() as leaving:
            leaving.start_soon(handler.handle, make_job(world, b"left"), record, lost)
            await has_probed.wait()
            staying.start_soon(handler.handle, make_job(world, b"stays"), record, lost)
            await trio.sleep(0.01)
            leaving.cancel_scope.cancel()
        suspects = world.state.suspects.list_all()
    assert [suspect.crashes.keys() for suspect in suspects] == [{record.id}]


async def test_a_crash_is_counted_although_the_server_was_probed_before() -> None:
    """Guards against a crash that is hidden by a probe from half a second before."""
    async with open_world(retry_slack=100) as world:
        servers = await add_crashing_servers(world)
        handler = LossHandler(world.state)
        record = world.state.servers.list_all()[0]
        lost = LostAttempt(LossReason.CUT_OFF)
        await handler.handle(make_job(world, b"sound"), record, lost)
        assert world.state.suspects.is_empty
        next(server for server in servers if server.id == record.id).crash()
        await trio.sleep(0.01)
        await handler.handle(make_job(world, b"crash"), record, lost)
        suspects = world.state.suspects.list_all()
    assert [suspect.crashes.keys() for suspect in suspects] == [{record.id}]


async def test_requests_that_are_lost_together_share_probes() -> None:
    """Guards against a connection to a server in trouble for each lost request."""
    count = 20
    go = trio.Event()

    async def reset(exchange: ServerExchange) -> None:
        await go.wait()
        exchange.reset()

    async with open_world() as world:
        server = await world.add_server("s-1", reset, PLAIN)

        async def ask(number: int) -> None:
            await world.request("/write/a", method="POST", request_id=f"r-{number}")

        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(ask, number)
            while len(server.received) < count:  # noqa: ASYNC110
                await trio.sleep(0.001)
            go.set()
        probes = world.state.pool.opened - count
    assert 1 <= probes <= 3


async def test_an_answer_clears_earlier_crashes() -> None:
    """Guards against requests that accumulate crashes during an outage of servers.

    A request that a server answers in full did not cause the earlier crashes.
    """
    async with open_world(retry_slack=100) as world:
        servers = await add_crashing_servers(world)
        await send_crashing_request(world, "r-1")
        for server in servers:
            if not server.has_crashed:
                server.script = answer_events
        answer = await send_crashing_request(world, "r-2")
        suspect = world.state.suspects.list_all()[0]
        counted = suspect.list_crash_times(trio.current_time())
    assert answer.status == 200
    assert len(suspect.crashes) == 2
    assert counted == []


async def test_an_attempt_that_ran_is_not_reported_as_not_run() -> None:
    """Guards against a false "not run" when the third crash causes the quarantine."""
    async with open_world(retry_slack=100) as world:
        await add_crashing_servers(world)
        statuses = [
            (await send_crashing_request(world, f"r-{number}")).status
            for number in range(3)
        ]
    assert statuses == [502, 502, 503]


async def test_a_quarantined_request_uses_no_quota() -> None:
    """Guards against refused requests that reduce the quota of their account."""
    async with open_world(make_configuration(rate=1000.0), retry_slack=100) as world:
        await add_crashing_servers(world)
        for number in range(2):
            await send_crashing_request(world, f"r-{number}")
        used = world.state.ledger.usage_totals[ACCOUNT]
        answer = await send_crashing_request(world, "r-9")
    assert answer.status == 503
    assert world.state.ledger.usage_totals[ACCOUNT] == used
