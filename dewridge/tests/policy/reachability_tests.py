"""Tests of the decisions of a host that can't connect to servers."""

import random
from collections import Counter

import pytest

from dewridge.ids import FailureDomain, HostId
from dewridge.policy.losses import ConnectResult
from dewridge.policy.reachability import (
    PeerHost,
    ServerPath,
    choose_relay,
    classify_path,
    select_listed,
)

ACCEPTED, REFUSED = ConnectResult.ACCEPTED, ConnectResult.REFUSED
RESET, SILENT = ConnectResult.RESET, ConnectResult.SILENT
LOCAL, OTHER = FailureDomain("local"), FailureDomain("other")
PEER = HostId("peer")


@pytest.mark.parametrize("failed", [REFUSED, RESET, SILENT])
def test_host_is_partitioned_if_a_peer_reaches_what_it_does_not(
    failed: ConnectResult,
) -> None:
    own = [failed] * 3
    assert classify_path(own, {PEER: [failed, ACCEPTED]}) is ServerPath.BY_PEER


@pytest.mark.parametrize("failed", [REFUSED, SILENT])
def test_servers_that_nobody_reaches_partition_no_host(failed: ConnectResult) -> None:
    """Guards against a lost service or failure domain taken for a partition."""
    assert classify_path([failed] * 3, {PEER: [failed] * 3}) is ServerPath.NONE
    assert classify_path([failed] * 3, {}) is ServerPath.NONE


def test_one_server_that_accepts_shows_a_direct_path() -> None:
    """Guards against a lost server, or half of them, taken for a partition."""
    own = [SILENT, REFUSED, ACCEPTED]
    assert classify_path(own, {PEER: [ACCEPTED]}) is ServerPath.DIRECT


def test_servers_with_too_many_connections_are_still_used() -> None:
    """Guards against refusals while idle connections to full servers are left."""
    assert classify_path([RESET] * 3, {PEER: [RESET]}) is ServerPath.DIRECT


def test_service_without_servers_has_a_direct_path() -> None:
    assert classify_path([], {}) is ServerPath.DIRECT


def make_peers(domain: FailureDomain, count: int) -> list[PeerHost]:
    return [PeerHost(HostId(f"{domain}-{number}"), domain) for number in range(count)]


def relay_requests(
    relays: list[PeerHost], domain_size: int, count: int = 1000
) -> Counter[HostId]:
    """Return the requests in flight by relay after many that do not end."""
    rng = random.Random(1)
    in_flight: Counter[HostId] = Counter()
    for _ in range(count):
        relay = choose_relay(relays, in_flight, LOCAL, domain_size, rng)
        assert relay is not None
        in_flight[relay.id] += 1
    return in_flight


def test_relays_share_the_requests_evenly() -> None:
    """Guards against a peer that is overloaded by a partitioned host."""
    counts = relay_requests(make_peers(LOCAL, 4), domain_size=5)
    assert max(counts.values()) <= 1.05 * min(counts.values())


def test_requests_stay_in_a_failure_domain_with_enough_relays() -> None:
    relays = make_peers(LOCAL, 3) + make_peers(OTHER, 5)
    counts = relay_requests(relays, domain_size=5)
    assert all(host.startswith("local") for host in counts)


def test_few_relays_of_a_failure_domain_do_not_serve_all_its_hosts() -> None:
    """Guards against one peer that relays for the rest of its failure domain."""
    relays = make_peers(LOCAL, 1) + make_peers(OTHER, 7)
    counts = relay_requests(relays, domain_size=8)
    assert counts[HostId("local-0")] < 1000 / 5


def test_no_relay_is_chosen_without_candidates() -> None:
    assert choose_relay([], {}, LOCAL, 3, random.Random(1)) is None


@pytest.mark.parametrize(
    ("host_count", "partitioned_count", "listed_count"),
    [
        (9, 0, 9),
        (9, 2, 7),
        (2, 1, 1),
        (9, 5, 9),
        (60, 40, 60),
        (195, 120, 195),
        (9, 9, 9),
    ],
)
def test_partitioned_hosts_are_listed_unless_half_are_left(
    host_count: int, partitioned_count: int, listed_count: int
) -> None:
    """Guards against all callers of a large partition meeting at the few others."""
    hosts = [HostId(f"host-{number}") for number in range(host_count)]
    listed = select_listed(hosts, set(hosts[:partitioned_count]))
    assert len(listed) == listed_count
