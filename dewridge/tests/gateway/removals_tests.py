"""Tests of how soon a host stops using a server whose record was removed."""

import pytest
import trio
import trio.testing

from dewridge.tests.gateway.state_tests import WatchingHost, list_names, write_server

LONG_PERIOD_PEERS = 8
"""Live peers with which a host polls the servers every 3.5 s."""
NOTICE = 2.0
"""Seconds after a removal within which no request may be sent to the server."""


async def run_for(host: WatchingHost, nursery: trio.Nursery, seconds: float) -> None:
    """Start a host's loops and let them run."""
    host.start(nursery)
    await trio.sleep(seconds)


def set_down(host: WatchingHost, *, is_down: bool) -> None:
    """Have the calls of a host to the store fail, or work again."""
    host.store.is_down = host.watch_store.is_down = is_down


@pytest.mark.parametrize("delay", [0.1, 0.6, 1.2, 1.8, 2.4])
async def test_a_removal_after_failed_reads_is_acted_on_in_time(
    autojump_clock: trio.testing.MockClock, delay: float
) -> None:
    """Guards against a removal that is seen in doubt and not looked at again."""
    host = WatchingHost(live_peers=LONG_PERIOD_PEERS)
    write_server(host.store, "s-1")
    write_server(host.store, "s-2")
    async with trio.open_nursery() as nursery:
        await run_for(host, nursery, 3.0)
        set_down(host, is_down=True)
        await trio.sleep(0.3)
        set_down(host, is_down=False)
        await trio.sleep(delay)
        host.store.remove("servers/s-1")
        await trio.sleep(max(NOTICE, 3.0 - delay))
        assert list_names(host.servers) == ["s-2"]
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("seed", ["1", "2", "3", "4", "5"])
async def test_a_removal_between_two_watches_is_seen(
    autojump_clock: trio.testing.MockClock, seed: str
) -> None:
    """Guards against a removal that is in no event: no watch ran when it happened."""
    host = WatchingHost(live_peers=LONG_PERIOD_PEERS, seed=seed)
    write_server(host.store, "s-1")
    write_server(host.store, "s-2")
    async with trio.open_nursery() as nursery:
        await run_for(host, nursery, 3.0)
        host.watch_store.is_down = True
        await trio.sleep(0.03)
        host.watch_store.is_down = False
        host.store.remove("servers/s-1")
        await trio.sleep(NOTICE)
        assert list_names(host.servers) == ["s-2"]
        nursery.cancel_scope.cancel()
