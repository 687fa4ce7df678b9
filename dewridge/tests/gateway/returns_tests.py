"""Tests of servers whose record lapsed and that register again."""

from collections.abc import Iterator
from dataclasses import replace

import pytest
import trio
import trio.testing

from dewridge.gateway import configuration
from dewridge.gateway.departures import apply_left_report
from dewridge.gateway.documents import following
from dewridge.gateway.documents.following import StoreRole
from dewridge.gateway.model import ServerRecord
from dewridge.gateway.reports import (
    DepartureReport,
    ServerQuery,
    ServerRegistrations,
    StreamVersionMessage,
)
from dewridge.gateway.servers import CACHE_WARMUP_TIME, ServerTable
from dewridge.gateway.streams import RunningStreams
from dewridge.gateway.versions.serversearch import ServerSearch
from dewridge.gateway.versions.unknownservers import UnknownServers
from dewridge.ids import BackendServerId, HostId, Registration
from dewridge.policy.serverregistrations import RegistrationDating
from dewridge.tests.gateway.readers_tests import LaggingStore
from dewridge.tests.gateway.state_tests import (
    WatchingHost,
    list_names,
    make_record,
    write_server,
)
from dewridge.tests.gateway.weaklinks_tests import FleetHost
from dewridge.tests.gateway.world import make_configuration, make_state

HEARTBEAT = 1.2
LAPSE = 3.6
"""Seconds of silence after which the store drops a server's record."""
RETURN_WITHIN = 2.0
"""Seconds after the return of a server's record in which it has to be used again."""
FIRST, SECOND, THIRD = Registration(1, 10), Registration(1, 20), Registration(1, 30)
SERVER = BackendServerId("s-1")
PEER = HostId("host-2")


@pytest.fixture(autouse=True)
def _use_test_clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Replace the boot clock by the test's clock."""
    for module in (following, configuration):
        monkeypatch.setattr(module, "read_boot_clock", trio.current_time)
    yield


def register(
    registration: Registration, *, is_draining: bool = False, born: int | None = None
) -> ServerRecord:
    """Return a record of the server under a registration."""
    record = make_record("s-1", is_draining=is_draining, born=born)
    return replace(record, registration=registration)


def make_table(*, lapsed: bool = True) -> ServerTable:
    """Return a table in which the server registered and, if told so, has lapsed."""
    table = ServerTable()
    table.update(register(FIRST), 0.0)
    if lapsed:
        table.apply_full_list([], 10.0)
        assert list_names(table) == []
    return table


def test_a_server_that_registers_again_is_used_again() -> None:
    """Guards against refusing a live server for good since its record was gone once."""
    table = make_table()
    table.apply_full_list([register(SECOND)], 11.0)
    assert list_names(table) == [SERVER]
    table.apply_full_list([], 20.0)
    assert list_names(table) == []
    table.update(register(THIRD), 21.0)
    assert list_names(table) == [SERVER]


@pytest.mark.parametrize("is_draining", [False, True])
def test_a_record_from_before_the_lapse_is_no_return(is_draining: bool) -> None:
    """Guards against requests to a server that left, by a list that lags."""
    table = make_table()
    record = register(FIRST, is_draining=is_draining)
    assert not table.merge_stale_list([record], 11.0)
    table.update(record, 11.1)
    table.apply_full_list([record], 11.2)
    assert list_names(table) == []


@pytest.mark.parametrize("sign", ["drained", "answer", "address", "peer", "replaced"])
@pytest.mark.parametrize("is_lapsed", [False, True])
def test_a_final_departure_has_no_return(sign: str, is_lapsed: bool) -> None:
    """Guards against a return of a server that said, or showed, that it left."""
    table = make_table(lapsed=is_lapsed)
    match sign:
        case "drained":
            table.update(register(FIRST, is_draining=True), 11.0)
        case "answer":
            table.drop(SERVER, 11.0, "its answer says so")
        case "address":
            table.drop(SERVER, 11.0, "another has its address")
        case "peer":
            table.drop(SERVER, 11.0, "host-2 told", 1.0, is_reported=True)
        case "replaced":
            table.record_replaced(register(FIRST, is_draining=True), 11.0)
    table.apply_full_list([register(SECOND)], 12.0)
    table.apply_reported_return(SERVER, SECOND, 12.1)
    assert list_names(table) == []
    assert not table.list_registrations(12.2).lapsed


def test_a_server_that_started_again_does_not_return_under_its_old_id() -> None:
    """Guards against a return of the process before the last start."""
    table = ServerTable()
    table.update(register(FIRST, born=1_000), 0.0)
    table.apply_full_list([], 10.0)
    table.update(register(SECOND, born=2_000), 11.0)
    table.update(register(THIRD, born=1_000), 12.0)
    table.apply_reported_return(make_record("s-1", born=1_000).id, THIRD, 12.1)
    assert list_names(table) == ["s-1@2000"]


def test_a_reported_lapse_that_arrives_after_the_return_is_ignored() -> None:
    """Guards against peers' reports of a lapse, which they repeat for seconds."""
    table = make_table()
    table.update(register(SECOND), 11.0)
    for at in (11.1, 13.0, 15.0):
        table.drop(SERVER, at, "told", 0.0, is_reported=True, lapsed=FIRST)
    assert list_names(table) == [SERVER]
    table.drop(SERVER, 15.1, "told", 0.0, is_reported=True, lapsed=SECOND)
    assert list_names(table) == []
    table.update(register(SECOND), 15.2)
    assert list_names(table) == []


def test_a_list_from_before_a_reported_return_drops_no_server() -> None:
    """Guards against a list that was requested before the server registered again."""
    table = make_table()
    table.apply_reported_return(SERVER, SECOND, 11.0)
    table.apply_full_list([], 11.1, requested_at=10.9)
    assert list_names(table) == [SERVER]
    table.apply_full_list([], 12.0, requested_at=11.9)
    assert list_names(table) == []


def test_a_return_takes_back_what_the_departure_changed() -> None:
    """Guards against a returned server that counts as crashed or as just started."""
    table = make_table(lapsed=False)
    returned: list[tuple[BackendServerId, bool]] = []
    table.on_returned = lambda record, is_reported: returned.append(
        (record.id, is_reported)
    )
    table.apply_full_list([], 10.0)
    record = register(SECOND)
    assert table.find_last_crash(record.service, record.release) is not None
    table.update(record, 11.0)
    assert table.find_last_crash(record.service, record.release) is None
    assert table.find_departure(SERVER) is None
    assert not table.list_recently_left(11.1)
    assert table.list_cache_warm(record.service, CACHE_WARMUP_TIME + 0.1) == [record]
    assert table.has_release(record.service, record.release)
    assert returned == [(SERVER, False)]


def test_figures_of_a_server_outlast_a_short_lapse() -> None:
    """Guards against forgetting the limits and failures of a server that returns."""
    table = make_table()
    assert SERVER in table.list_retained(11.0)
    table.drop(SERVER, 12.0, "its answer says so")
    assert SERVER not in table.list_retained(12.1)


async def test_streams_stay_on_a_server_that_returns(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against moves, or cuts for silence, of streams on a returned server."""
    streams = RunningStreams()
    stream = streams.register(SERVER)
    stopped = streams.register(SERVER)
    began_at = trio.current_time()
    with trio.move_on_after(9.0) as scope:
        stream.scope, stream.silent_at = scope, scope.deadline
        streams.schedule_moves(SERVER, began_at + 2.0)
        stopped.await_remaining_events(began_at)
        streams.cancel_moves(SERVER)
        await trio.sleep(5.0)
    assert not scope.cancelled_caught
    assert not stream.is_due(trio.current_time())
    assert stopped.is_due(trio.current_time())


@pytest.mark.parametrize("times", [1, 2])
@pytest.mark.parametrize("are_watches_silent", [False, True])
async def test_a_host_uses_a_returned_server_within_two_seconds(
    autojump_clock: trio.testing.MockClock, times: int, are_watches_silent: bool
) -> None:
    """Guards against a server that gets no request after it was cut off for a while."""
    host = WatchingHost(live_peers=1)
    async with trio.open_nursery() as nursery:
        for name in ("s-1", "s-2"):
            write_server(host.store, name)
        host.start(nursery)
        await trio.sleep(5.0)
        host.watch_store.is_down = are_watches_silent
        for _ in range(times):
            host.store.remove("servers/s-1")
            await trio.sleep(LAPSE)
            assert list_names(host.servers) == ["s-2"]
            write_server(host.store, "s-1")
            await trio.sleep(RETURN_WITHIN)
            assert list_names(host.servers) == ["s-1", "s-2"]
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("is_draining", [False, True])
@pytest.mark.parametrize("writes_again_after", [None, 0.6])
async def test_a_restored_record_is_no_return_until_the_server_writes_it(
    autojump_clock: trio.testing.MockClock,
    is_draining: bool,
    writes_again_after: float | None,
) -> None:
    """Guards against requests to a server that a restored copy still lists."""
    host = WatchingHost(live_peers=1)
    data = host.store.data
    data.era = 1
    host.watch_store.era = host.store.era
    host.store.era.on_restored.append(
        lambda: host.servers.record_restore(trio.current_time())
    )
    async with trio.open_nursery() as nursery:
        for name in ("s-1", "s-2"):
            write_server(host.store, name)
        host.start(nursery)
        await trio.sleep(10.0)
        snapshot = data.take_snapshot()
        if is_draining:
            write_server(host.store, "s-1", "draining")
        host.store.remove("servers/s-1")
        await trio.sleep(2.5)
        assert list_names(host.servers) == ["s-2"]
        data.restore(snapshot)
        await trio.sleep(0.6)
        assert list_names(host.servers) == ["s-2"]
        if writes_again_after is None:
            await trio.sleep(LAPSE - 0.6)
            assert list_names(host.servers) == ["s-2"]
            host.store.remove("servers/s-1")
        else:
            write_server(host.store, "s-1")
        await trio.sleep(RETURN_WITHIN)
        is_back = writes_again_after is not None and not is_draining
        assert (SERVER in list_names(host.servers)) is is_back
        nursery.cancel_scope.cancel()


def test_a_restored_record_counts_as_written_once_it_would_have_expired() -> None:
    """Guards against a live server that wrote before a host's first list of an era."""
    dating = RegistrationDating(HEARTBEAT)
    dating.record_list(2, 50, now=100.0)
    assert not dating.is_dated(2, 45, 100.0, listed_at=99.9)
    assert dating.is_dated(2, 51, 101.0)
    assert not dating.is_dated(2, 45, 104.0, listed_at=103.9)
    mature_at = 100.0 + 2 * LAPSE
    assert dating.is_dated(2, 45, mature_at + 0.2, mature_at + 0.1)
    assert not dating.is_dated(2, 45, mature_at + 0.2)
    assert not dating.is_dated(3, 90, mature_at + 0.3)
    assert dating.is_dated(0, 45, mature_at + 0.4)


def test_a_host_that_has_just_started_ignores_a_lapse_before_the_return() -> None:
    """Guards against a dated lapse that outweighs a return read after a start."""
    table = ServerTable()
    table.update(replace(register(SECOND), is_dated=False), 0.0)
    table.drop(SERVER, 0.1, "told", 0.0, is_reported=True, lapsed=FIRST)
    assert list_names(table) == [SERVER]
    table.drop(SERVER, 0.2, "told", 0.0, is_reported=True, lapsed=SECOND)
    assert list_names(table) == []


def test_a_restored_record_does_not_outweigh_a_lapse_of_the_era_before() -> None:
    """Guards against requests to a server that left just before a restore."""
    table = make_table(lapsed=False)
    restored = replace(register(Registration(2, 10)), is_dated=False)
    table.update(restored, 1.0)
    table.drop(SERVER, 1.1, "told", 0.0, is_reported=True, lapsed=FIRST)
    assert list_names(table) == []
    assert table.merge_stale_list([restored], 1.2)
    table.update(restored, 1.3)
    assert list_names(table) == []
    table.update(replace(restored, is_dated=True), 2.0)
    assert list_names(table) == [SERVER]
    table.drop(SERVER, 2.1, "told", 0.0, is_reported=True, lapsed=FIRST)
    assert list_names(table) == [SERVER]


async def test_a_listener_uses_a_server_whose_return_a_peer_reports(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against seconds in which only the readers use a returned server."""
    state = make_state(make_configuration())
    state.servers.update(register(FIRST), 0.0)
    link = FleetHost(1).link

    def report(registrations: ServerRegistrations, *departing: str) -> None:
        departures = {BackendServerId(server): 0.0 for server in departing}
        message = DepartureReport(PEER, departures, True, registrations)
        apply_left_report(state, link, message)

    report(ServerRegistrations(lapsed={SERVER: FIRST}), SERVER)
    assert list_names(state.servers) == []
    report(ServerRegistrations(returned={SERVER: SECOND}))
    assert list_names(state.servers) == [SERVER]
    report(ServerRegistrations(lapsed={SERVER: FIRST}), SERVER)
    assert list_names(state.servers) == [SERVER]
    report(ServerRegistrations(), SERVER)
    report(ServerRegistrations(returned={SERVER: THIRD}))
    assert list_names(state.servers) == []


async def test_a_listener_asks_for_a_returned_server_that_it_never_knew(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a returned server of which only the lapse was heard."""
    state = make_state(make_configuration())
    state.servers.drop(SERVER, 0.0, "told", 0.0, is_reported=True, lapsed=FIRST)
    returned = ServerRegistrations(returned={SERVER: SECOND})
    apply_left_report(
        state, FleetHost(1).link, DepartureReport(PEER, {}, True, returned)
    )
    assert state.unknown_servers.take_queries() == {PEER: [SERVER]}


async def test_a_query_for_servers_tells_which_may_return(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a lapse that becomes final at the host that asked a peer."""
    sent: list[StreamVersionMessage] = []
    tables = [make_table(), make_table(lapsed=False)]
    searches = [
        ServerSearch(
            HostId(f"host-{number}"),
            table,
            UnknownServers(table.has_known),
            list,
            lambda address, message: sent.append(message),
            make_state(make_configuration()).rng,
        )
        for number, table in enumerate(tables)
    ]
    query = ServerQuery(PEER, 1, [SERVER])
    searches[0].receive(query, ("10.0.0.9", 1))
    searches[1].receive(sent[0], ("10.0.0.8", 1))
    assert list_names(tables[1]) == []
    tables[1].update(register(SECOND), 12.0)
    assert list_names(tables[1]) == [SERVER]


async def test_a_lagging_list_shows_a_listener_the_return(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a return that only current lists could show."""
    host = WatchingHost(StoreRole.LISTENER)
    lagging = LaggingStore(host.store.data)
    assert lagging.is_lagging
    write_server(host.store, "s-1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(host.watcher.poll_servers)
        await trio.sleep(5.0)
        record = host.servers.find(SERVER)
        assert record is not None
        host.store.remove("servers/s-1")
        host.servers.drop(
            SERVER, trio.current_time(), "told", lapsed=record.registration
        )
        await trio.sleep(LAPSE)
        write_server(host.store, "s-1")
        await trio.sleep(3.0)
        assert list_names(host.servers) == [SERVER]
        nursery.cancel_scope.cancel()
