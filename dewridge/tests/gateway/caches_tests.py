"""Cached lists and plans equal new ones after any changes of what they depend on.

A stale list would send requests to servers that left, callers to hosts that ended, and
reports to hosts of another cell.
"""

from functools import partial
from random import Random

import msgspec
import pytest
import trio
import trio.testing
import xxhash

from dewridge.gateway.directory import Directory
from dewridge.gateway.hosts import HOSTS_PREFIX, HostEntry, HostTable
from dewridge.gateway.model import ServerRecord
from dewridge.gateway.servers import ServerTable
from dewridge.gateway.sharing import FleetSummary
from dewridge.gateway.sharinglink import plan_round
from dewridge.ids import BackendServerId, FailureDomain, HostId, ServerName, ServiceName
from dewridge.platform.store import Item, Listing
from dewridge.policy.affinity import score_prefix
from dewridge.policy.choice import score_cache_holder
from dewridge.tests.gateway.weaklinks import use_weak_links
from dewridge.tests.gateway.weaklinks_tests import FleetHost
from dewridge.tests.gateway.world import make_configuration, make_state

SEEDS = range(20)
SERVICES = [ServiceName("engine"), ServiceName("plain")]


def make_item(rng: Random, revision: int) -> Item:
    number, boot = rng.randrange(24), rng.randrange(3)
    entry = HostEntry(
        id=HostId(f"host-{number:02}"),
        boot=boot,
        frontend=f"10.0.0.{number}:80",
        peers=f"10.0.0.{number + 1}:7000",
        failure_domain=FailureDomain(f"domain-{number % 3}"),
        is_ready=rng.random() < 0.7,
    )
    key = f"{HOSTS_PREFIX}{entry.id}/{boot}"
    value = b"{" if rng.random() < 0.05 else msgspec.json.encode(entry)
    return Item(key, value, revision, removed=rng.random() < 0.4)


def change_hosts(table: HostTable, rng: Random, revision: int) -> None:
    draw = rng.random()
    if draw < 0.1:
        items = {item.key: item for item in (make_item(rng, 1) for _ in range(30))}
        table.replace(Listing(tuple(items.values()), revision))
    elif draw < 0.13:
        table.handle_restore()
    else:
        table.update(make_item(rng, revision))


def find_newest(table: HostTable) -> list[HostEntry]:
    newest: dict[HostId, HostEntry] = {}
    for entry in table._entries.values():
        known = newest.get(entry.id)
        if known is None or known.boot < entry.boot:
            newest[entry.id] = entry
    return list(newest.values())


@pytest.mark.parametrize("seed", SEEDS)
async def test_listed_hosts_follow_each_change(
    seed: int, autojump_clock: trio.testing.MockClock
) -> None:
    rng = Random(seed)
    local = HostId("host-03")
    table = HostTable(local)
    for revision in range(200):
        change_hosts(table, rng, revision)
        expected = find_newest(table)
        assert table.list_hosts() == expected
        assert table.list_peers() == [host for host in expected if host.id != local]
        assert table.count() == len(table.list_peers()) + 1
        table.list_hosts().clear()
        await trio.sleep(rng.random())


@pytest.mark.parametrize("seed", SEEDS)
async def test_planned_rounds_and_silent_hosts_follow_each_change(
    seed: int,
    autojump_clock: trio.testing.MockClock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    rng = Random(seed)
    use_weak_links(monkeypatch, rate=1.0, queue=1)
    host = FleetHost(3)
    state, link = host.state, host.link
    live: frozenset[HostId] = frozenset()
    for revision in range(100):
        if rng.random() < 0.7:
            change_hosts(state.hosts, rng, revision)
        if rng.random() < 0.5:
            numbers = rng.sample(range(24), rng.randrange(24))
            live = frozenset(HostId(f"host-{number:02}") for number in numbers)
            summary = FleetSummary(live, frozenset(), {})
            monkeypatch.setattr(
                state.sharing, "get_summary", partial(return_first, summary)
            )
        link._number += 1
        members = state.hosts.list_members(live)
        assert link._plan_round() == plan_round(
            {entry.id: entry for entry in members},
            host.id,
            link._local_domain,
            link._number,
        )
        view = state.make_fleet_view()
        peers = state.hosts.list_peers()
        assert view.hosts == len(peers) + 1
        assert view.silent == sum(peer.id not in live for peer in peers)
        await trio.sleep(rng.random())


def return_first(summary: FleetSummary, _now: float) -> FleetSummary:
    return summary


@pytest.mark.parametrize("seed", SEEDS)
def test_listed_servers_follow_each_change(seed: int) -> None:
    rng = Random(seed)
    table = ServerTable()

    def check_lists(*_: object) -> None:
        for service in SERVICES:
            expected = [
                record for record in table.list_all() if record.service == service
            ]
            assert table.list_service(service) == expected

    # Called within a change; its streams are moved by what the table lists then.
    table.on_left = check_lists
    for now in range(200):
        record = make_server(rng)
        draw = rng.random()
        if draw < 0.1:
            table.apply_full_list([make_server(rng) for _ in range(8)], float(now))
        elif draw < 0.2:
            table.merge_stale_list([make_server(rng) for _ in range(8)], float(now))
        elif draw < 0.3:
            table.drop(record.id, float(now), "test")
        else:
            table.update(record, float(now))
        check_lists()
        table.list_service(SERVICES[0]).clear()


def make_server(rng: Random) -> ServerRecord:
    number, started_at = rng.randrange(12), rng.randrange(4)
    return ServerRecord(
        id=BackendServerId(f"s-{number}@{started_at}"),
        name=ServerName(f"s-{number}"),
        service=rng.choice(SERVICES),
        address="127.0.0.1:1",
        failure_domain=FailureDomain("domain-a"),
        slots=rng.randrange(1, 3),
        is_draining=rng.random() < 0.1,
        started_at_ms=started_at,
    )


def test_scores_of_cache_holders_do_not_depend_on_earlier_ones() -> None:
    # More names than the cache of hashes holds.
    rng = Random(1)
    for _ in range(20_000):
        prefix, server = f"p-{rng.randrange(3000)}", f"s-{rng.randrange(5000)}"
        assert score_cache_holder(prefix, BackendServerId(server)) == score_prefix(
            xxhash.xxh3_64_intdigest(prefix.encode()),
            xxhash.xxh3_64_intdigest(server.encode()),
        )


@pytest.mark.parametrize("seed", SEEDS)
async def test_addresses_follow_each_change(
    seed: int,
    autojump_clock: trio.testing.MockClock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    rng = Random(seed)
    state = make_state(make_configuration())
    directory = Directory(state)
    local = state.host
    state.hosts._local_host = local
    entry = HostEntry(local, 1, "local:80", "local:7000", FailureDomain("d"), True)
    live: frozenset[HostId] = frozenset()
    unready: frozenset[HostId] = frozenset()
    for revision in range(100):
        if rng.random() < 0.5:
            change_hosts(state.hosts, rng, revision)
        if rng.random() < 0.1:
            value = msgspec.json.encode(entry)
            state.hosts.update(Item(f"{HOSTS_PREFIX}{local}/1", value, revision))
        if rng.random() < 0.5:
            names = [HostId(f"host-{number:02}") for number in range(24)]
            live = frozenset(rng.sample(names, rng.randrange(24)))
            unready = frozenset(rng.sample(names, rng.randrange(8)))
            summary = FleetSummary(live, unready, {})
            monkeypatch.setattr(
                state.sharing, "get_summary", partial(return_first, summary)
            )
        state.is_ready = rng.random() < 0.8
        ready = [host for host in state.hosts.list_hosts() if host.is_ready]
        others = [h for h in ready if h.id in live and h.id not in unready]
        own = [h for h in ready if h.id == local and state.is_ready]
        expected = [host.frontend for host in ([*own, *others] if others else ready)]
        assert sorted(directory.list_addresses()) == sorted(expected)
