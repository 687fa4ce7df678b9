"""Decides whose fault it is that connections to the servers of a service fail."""

import random
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from dewridge.ids import FailureDomain, HostId
from dewridge.policy.losses import ConnectResult

MIN_DIRECT_SHARE = 0.5
"""Share of the ready hosts that must reach the servers by themselves for the others to
be left out of address lists. Below it, the callers of many hosts would meet at few."""
MIN_DOMAIN_SHARE = 0.5
"""Share of the hosts of a failure domain that must be able to relay for the others of
the domain to use only them. Below it, few hosts would relay for many."""


class ServerPath(Enum):
    """How this host reaches the servers of a service."""

    DIRECT = "direct"
    BY_PEER = "by a peer"
    """Only another host reaches them: this host is partitioned from the servers."""
    NONE = "none"
    """Neither this host nor the peers that were asked reach any of them."""


@dataclass(frozen=True, slots=True)
class PeerHost:
    """Another host that may relay requests."""

    id: HostId
    failure_domain: FailureDomain


def classify_path(
    own: Collection[ConnectResult], by_peers: Mapping[HostId, Collection[ConnectResult]]
) -> ServerPath:
    """Return how the servers of a service are reached.

    A server that has ended, a failure domain that was lost and a service without any
    running server fail at all hosts alike. Only a server that accepts connections of a
    peer, while none accepts those of this host, shows that this host is partitioned. A
    server that resets connections may have too many of them, so that it may still
    answer on those that are open.

    Args:
        own: results of this host's connections to servers of the service.
        by_peers: results of the connections of peers to some of these servers.
    """
    if not own or ConnectResult.ACCEPTED in own:
        return ServerPath.DIRECT
    if any(ConnectResult.ACCEPTED in results for results in by_peers.values()):
        return ServerPath.BY_PEER
    if ConnectResult.RESET in own:
        return ServerPath.DIRECT
    return ServerPath.NONE


def choose_relay(
    relays: Sequence[PeerHost],
    in_flight: Mapping[HostId, int],
    local_domain: FailureDomain,
    domain_size: int,
    rng: random.Random,
) -> PeerHost | None:
    """Choose the peer that relays a request: the less busy one of two drawn.

    Args:
        relays: peers known to reach the servers.
        in_flight: this host's requests in flight by relay.
        local_domain: failure domain of this host.
        domain_size: number of live hosts in that failure domain.
        rng: draws the two.
    """
    local = [relay for relay in relays if relay.failure_domain == local_domain]
    is_enough = len(local) >= max(1, domain_size * MIN_DOMAIN_SHARE)
    candidates = local if is_enough else relays
    if not candidates:
        return None
    drawn = rng.sample(candidates, min(2, len(candidates)))
    return min(drawn, key=lambda relay: in_flight.get(relay.id, 0))


def select_listed(
    ready: Sequence[HostId], partitioned: Collection[HostId]
) -> list[HostId]:
    """Return the hosts that callers are sent to.

    Partitioned hosts are left out while enough others remain: the relay costs
    processor time and bytes.
    """
    direct = [host for host in ready if host not in partitioned]
    return direct if len(direct) >= MIN_DIRECT_SHARE * len(ready) else list(ready)
