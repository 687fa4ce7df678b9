"""Requests that end each backend server that begins to run them."""

from collections import Counter

import msgspec
import pytest
import trio
import trio.testing

from dewridge.gateway.forwarding import Lost
from dewridge.gateway.hosts import PREFIX
from dewridge.gateway.jobs import Job
from dewridge.gateway.losses import LossNotes
from dewridge.gateway.model import AttemptKey, CallerRequest, ServerRecord, Sizes
from dewridge.gateway.reports import SuspectNews
from dewridge.gateway.suspectkeeping import SUSPECTS_PREFIX, SuspectKeeper
from dewridge.gateway.suspects import (
    clear,
    decode_suspect,
    encode_suspect,
    make_news_list,
    take_suspects,
)
from dewridge.ids import BackendServerId, RequestDigest
from dewridge.platform.store import Listing
from dewridge.policy.losses import YOUNG, Loss, Reach
from dewridge.policy.suspects import HOLD, MOST_SUSPECTS, End, Suspect, SuspectLedger
from dewridge.tests.gateway.memorystore import MemoryStore, StoreData
from dewridge.tests.gateway.world import (
    ACCOUNT,
    ENGINE,
    KEY,
    CallerAnswer,
    ScriptedServer,
    ServerExchange,
    World,
    make_configuration,
    make_state,
    open_world,
)

CRASH = b"crash"
SERVERS = 8
SENDINGS = 8
DIGEST = RequestDigest("0123456789abcdef")


async def add_crashing_servers(
    world: World, pause: float = 0.0, events: int = 3
) -> list[ScriptedServer]:
    """Start servers that end when they begin to run a marked request.

    Args:
        world: where.
        pause: seconds before each event of other requests.
        events: events of each of these.
    """
    servers: list[ScriptedServer] = []

    async def answer_or_end(exchange: ServerExchange) -> None:
        await exchange.begin_stream()
        if exchange.body == CRASH:
            next(one for one in servers if one.id == exchange.server).end()
            return
        after = int(exchange.headers.get(b"last-event-id", b"0"))
        for event in range(after + 1, events + 1):
            await trio.sleep(pause)
            await exchange.send_events(event, event)
        await exchange.end_stream()

    for number in range(SERVERS):
        name = f"s-{number}"
        servers.append(await world.add_server(name, answer_or_end, ENGINE))
    return servers


async def send_crashing(world: World, request_id: str) -> CallerAnswer:
    """Send the request that ends servers."""
    return await send(world, CRASH, request_id)


async def send(world: World, body: bytes, request_id: str) -> CallerAnswer:
    """Send a request of the route whose servers may end."""
    return await world.ask("/chat/a", method="POST", body=body, request_id=request_id)


async def test_a_request_that_ends_servers_is_set_aside() -> None:
    """Guards against servers lost one after the other to repeats of one request."""
    async with open_world(retry_slack=100) as world:
        servers = await add_crashing_servers(world)
        for number in range(SENDINGS):
            answer = await send_crashing(world, f"r-{number}")
            await trio.sleep(0.01)
        ended = sum(one.has_ended for one in servers)
        beside = await world.ask("/chat/a", method="POST", body=b"x", request_id="o")
    assert ended == 3
    assert answer.status == 503
    assert float(answer.headers[b"retry-after"]) > 60
    assert beside.status == 200


async def test_streams_beside_a_crashing_request_go_on_elsewhere() -> None:
    """Guards against blaming what ran beside the cause of a server's end."""
    async with open_world(retry_slack=100) as world:
        await add_crashing_servers(world, pause=0.2, events=8)
        answers: list[CallerAnswer] = []

        async def ask_beside(number: int) -> None:
            answers.append(await send(world, b"beside %d" % number, f"b-{number}"))

        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(ask_beside, number)
            await trio.sleep(YOUNG + 0.3)
            for number in range(SENDINGS):
                await send_crashing(world, f"r-{number}")
        held = world.state.suspects.list_held(trio.current_time())
    assert [answer.status for answer in answers] == [200] * 6
    assert all(answer.is_whole for answer in answers)
    assert len(held) == 1


async def test_a_stream_survives_more_server_losses_than_its_attempt_limit() -> None:
    """Guards against counting attempts whose server ended against the limit."""
    async with open_world(retry_slack=100) as world:
        servers = await add_crashing_servers(world, pause=0.1, events=16)
        answers: list[CallerAnswer] = []

        async def ask() -> None:
            answers.append(await send(world, b"innocent", "r-1"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            for _ in range(2):
                await trio.sleep(YOUNG + 0.2)
                next(one for one in servers if one.seen and not one.has_ended).end()
    assert answers[0].status == 200
    assert answers[0].is_whole


async def test_a_common_request_survives_the_loss_of_a_failure_domain() -> None:
    """Guards against blaming a lookup whose copies were at servers lost together.

    The same lookup is in flight at all of them; none of them ended because of it.
    """
    async with open_world(retry_slack=100) as world:
        servers: list[ScriptedServer] = []

        async def hold(exchange: ServerExchange) -> None:
            await trio.sleep(0.3)
            await exchange.answer()

        for number in range(SERVERS):
            servers.append(await world.add_server(f"s-{number}", hold))
        statuses: list[int] = []

        async def look_up(number: int) -> None:
            answer = await world.ask("/read/a", request_id=f"r-{number}")
            statuses.append(answer.status)

        async with trio.open_nursery() as nursery:
            for number in range(SERVERS):
                nursery.start_soon(look_up, number)
            await trio.sleep(0.1)
            for server in servers[: SERVERS // 2]:
                server.end()
    assert statuses == [200] * SERVERS
    assert world.state.suspects.list_held(trio.current_time()) == []


async def test_a_lost_answer_of_a_server_that_lives_blames_no_request() -> None:
    """Guards against setting requests aside for resets and lost answers."""

    async def lose(exchange: ServerExchange) -> None:
        exchange.reset()

    async with open_world(retry_slack=100) as world:
        for number in range(SERVERS):
            await world.add_server(f"s-{number}", lose)
        for number in range(SENDINGS):
            answer = await world.ask("/read/a", request_id=f"r-{number}")
    assert answer.status == 502
    assert world.state.suspects.is_empty


async def test_the_end_of_a_server_that_leaves_blames_no_request() -> None:
    """Guards against setting requests aside for reclaims that were announced."""
    async with open_world(retry_slack=100) as world:
        servers = await add_crashing_servers(world)

        async def leave_first(exchange: ServerExchange) -> None:
            server = next(one for one in servers if one.id == exchange.server)
            world.state.servers.drop(server.id, trio.current_time(), "it drains")
            server.end()

        for server in servers:
            server.script = leave_first
        for number in range(3):
            await send_crashing(world, f"r-{number}")
    assert world.state.suspects.is_empty


async def test_what_may_not_be_repeated_runs_once_and_is_then_refused() -> None:
    """Guards against a refusal that says "not run" of a sending that ran."""
    async with open_world(retry_slack=100) as world:
        servers: list[ScriptedServer] = []

        async def end_all(exchange: ServerExchange) -> None:
            next(one for one in servers if one.id == exchange.server).end()

        for number in range(SERVERS):
            servers.append(await world.add_server(f"s-{number}", end_all))
        statuses = []
        for number in range(5):
            answer = await world.ask(
                "/write/a", method="POST", body=CRASH, request_id=f"r-{number}"
            )
            statuses.append(answer.status)
        runs = Counter(
            one.headers[b"x-attempt-id"] for server in servers for one in server.seen
        )
    assert statuses == [502, 502, 502, 503, 503]
    assert runs == {b"r-0": 1, b"r-1": 1, b"r-2": 1}


def test_hosts_refuse_what_other_hosts_saw() -> None:
    """Guards against each host losing three servers of its own to one request."""
    ledger = SuspectLedger()
    told = []
    for number in range(3):
        end = End(10.0 + number, 9.9 + number)
        seen = Suspect(DIGEST, ACCOUNT, ENGINE, {BackendServerId(f"s-{number}"): end})
        told.append(encode_suspect(seen, 12.5))
    for news in told:
        wire = msgspec.msgpack.decode(msgspec.msgpack.encode(news), type=SuspectNews)
        ledger.merge(decode_suspect(wire, 500.0), 500.0)
    assert ledger.find_hold_left(DIGEST, 500.0) > 0


async def test_news_of_many_suspects_stays_small() -> None:
    """Guards against reports that swell with each request a server's end touches."""
    state = make_state(make_configuration())
    now = trio.current_time()
    for number in range(MOST_SUSPECTS):
        ends = {
            BackendServerId(f"i-{number}{one}-0123456789"): End(now - one, now - one)
            for one in range(3)
        }
        digest = RequestDigest(f"{number:016x}")
        state.suspects.merge(Suspect(digest, ACCOUNT, ENGINE, ends), now)
    list_news = make_news_list(state)
    turns = [list_news(turn) for turn in range(MOST_SUSPECTS)]
    assert max(len(msgspec.msgpack.encode(news)) for news in turns) < 1_500
    assert len({one.digest for news in turns for one in news}) == MOST_SUSPECTS


@pytest.mark.parametrize("is_down_first", [False, True])
async def test_a_host_that_starts_learns_from_the_store(
    is_down_first: bool, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against three more servers lost after all hosts were killed at once."""
    data = StoreData()
    before = make_state(make_configuration())
    store = MemoryStore(data)
    store.is_down = is_down_first
    async with trio.open_nursery() as nursery:
        keeper = SuspectKeeper(before, store, lambda: False)
        nursery.start_soon(keeper.run)
        for number in range(3):
            at = trio.current_time()
            server = BackendServerId(f"s-{number}")
            before.seen_ending.add(DIGEST)
            take_suspects(
                before, [Suspect(DIGEST, ACCOUNT, ENGINE, {server: End(at, at - 0.1)})]
            )
            await trio.sleep(1.0)
        store.is_down = False
        await trio.sleep(2.0)
        nursery.cancel_scope.cancel()
    after = make_state(make_configuration())
    after.hosts.on_item = SuspectKeeper(after, MemoryStore(data), lambda: False).take
    listing = await MemoryStore(data).list_items(PREFIX)
    assert isinstance(listing, Listing)
    after.hosts.replace(listing)
    assert after.suspects.find_hold_left(DIGEST, trio.current_time()) > HOLD - 10
    assert store.calls <= 12


def make_held() -> Suspect:
    """Return a request under which three servers ended lately."""
    now = trio.current_time()
    ends = {
        BackendServerId(f"s-{n}"): End(now - 3 + n, now - 3.1 + n) for n in range(3)
    }
    return Suspect(DIGEST, ACCOUNT, ENGINE, ends)


async def test_the_holder_of_the_duties_writes_what_another_host_could_not(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against knowledge lost with the one host that saw the last end."""
    data = StoreData()
    state = make_state(make_configuration())
    keeper = SuspectKeeper(state, MemoryStore(data), lambda: True)
    take_suspects(state, [make_held()])
    with trio.move_on_after(10.0):
        await keeper.run()
    assert [key for key in data.items if key.startswith(SUSPECTS_PREFIX)] != []


async def test_a_request_let_through_stays_so_for_hosts_that_start(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a copy in the store that sets a request aside for ever."""
    data = StoreData()
    state = make_state(make_configuration())
    keeper = SuspectKeeper(state, MemoryStore(data), lambda: True)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(keeper.run)
        take_suspects(state, [make_held()])
        await trio.sleep(6.0)
        state.hosts.replace(Listing(tuple(data.items.values()), data.revision))
        clear(state, DIGEST, "operator")
        await trio.sleep(2.0)
        nursery.cancel_scope.cancel()
    assert data.items == {}


async def test_an_operator_lets_a_request_through_again() -> None:
    """Guards against holds that outlast the fault that they were made for."""
    async with open_world(retry_slack=100) as world:
        servers = await add_crashing_servers(world)
        for number in range(4):
            answer = await send_crashing(world, f"r-{number}")
        assert answer.status == 503
        for server in servers:
            server.script = answer_events
        digest = world.state.suspects.list_all()[0].digest
        assert clear(world.state, digest, "operator")
        answer = await send_crashing(world, "r-9")
    assert answer.status == 200


def make_job(world: World, body: bytes) -> Job:
    """Return a request of the engine's service on its way."""
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
    """Answer a stream as a healthy engine does."""
    await exchange.begin_stream()
    await exchange.send_events(1, 3)
    await exchange.end_stream()


async def test_a_caller_that_leaves_hides_no_end_from_the_others() -> None:
    """Guards against an end that counts for nobody since one caller left."""
    async with open_world(retry_slack=100) as world:
        servers = await add_crashing_servers(world)
        looked = trio.Event()
        look = world.state.pool.probe
        looks = 0

        async def look_slowly(server: ServerRecord) -> Reach:
            nonlocal looks
            looks += 1
            if looks == 1:
                looked.set()
                await trio.sleep_forever()
            return await look(server)

        world.state.pool.probe = look_slowly  # type: ignore[method-assign]
        notes = LossNotes(world.state)
        record = world.state.servers.list_all()[0]
        next(one for one in servers if one.id == record.id).end()
        await trio.sleep(0.01)
        lost = Lost(Loss.CUT_OFF)
        async with trio.open_nursery() as staying, trio.open_nursery() as leaving:
            leaving.start_soon(notes.note, make_job(world, b"left"), record, lost)
            await looked.wait()
            staying.start_soon(notes.note, make_job(world, b"stays"), record, lost)
            await trio.sleep(0.01)
            leaving.cancel_scope.cancel()
        suspects = world.state.suspects.list_all()
    assert [one.ends.keys() for one in suspects] == [{record.id}]


async def test_an_answer_takes_earlier_ends_back() -> None:
    """Guards against requests that gather ends of servers over a bad hour."""
    async with open_world(retry_slack=100) as world:
        servers = await add_crashing_servers(world)
        await send_crashing(world, "r-1")
        for server in servers:
            if not server.has_ended:
                server.script = answer_events
        answer = await send_crashing(world, "r-2")
        suspect = world.state.suspects.list_all()[0]
        counted = suspect.list_ends(trio.current_time())
    assert answer.status == 200
    assert len(suspect.ends) == 2
    assert counted == []


async def test_a_call_that_ran_is_not_told_that_it_did_not() -> None:
    """Guards against a false "not run" where the third end sets a request aside."""
    async with open_world(retry_slack=100) as world:
        await add_crashing_servers(world)
        statuses = [
            (await send_crashing(world, f"r-{number}")).status for number in range(3)
        ]
    assert statuses == [502, 502, 503]


async def test_what_is_set_aside_takes_nothing_out_of_a_quota() -> None:
    """Guards against an account's other requests paying for refused ones."""
    async with open_world(make_configuration(rate=1000.0), retry_slack=100) as world:
        await add_crashing_servers(world)
        for number in range(2):
            await send_crashing(world, f"r-{number}")
        used = world.state.ledger.totals[ACCOUNT]
        answer = await send_crashing(world, "r-9")
    assert answer.status == 503
    assert world.state.ledger.totals[ACCOUNT] == used
