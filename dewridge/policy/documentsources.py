"""Decides from where a host takes a configuration that it does not have yet.

The load that this answers: a large document changes, or many hosts start, while the
hosts' links also carry answers. If all hosts read it from the store, the store's link
carries it once for each of them, and each slow link carries it uncompressed. Peers that
have it pass on what has changed, compressed. Few hosts, those with the fastest links,
watch the document itself.
"""

import random
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from dewridge.ids import HostId

MIN_WATCHERS = 3
"""Hosts of a small fleet that watch a large document: if the store rejects a third of
the hosts, one of them is left. The polls of all hosts cover the rest."""
LARGE_DOCUMENT_BYTES = 65_536
"""Bytes of a document from which not all hosts of a small fleet watch it: 70 ms on a
link of 10 Mbit/s."""
MAX_PEERS_ASKED = 3
"""Peers that are asked for a version before the store is."""
PEER_TIME = 0.6
"""Seconds from the notice of a version until the store is asked, unless a peer is just
sending it. This leaves most of the time in which a change has to be in force."""
UNKNOWN_LINK_MBPS = 10.0
"""Bandwidth that is assumed for a host that does not state it: that of a slow one."""


@dataclass(frozen=True, slots=True)
class Holder:
    """A peer that has a version.

    Attributes:
        host: the peer.
        link_mbps: bandwidth of its link; 0 if unknown.
    """

    host: HostId
    link_mbps: float


def choose_holder(
    holders: Collection[Holder], asked: Collection[HostId], rng: random.Random
) -> Holder | None:
    """Return the peer to ask, at random in proportion to the links; None to stop.

    With equal chances, a slow host that has the version first would send it to all.
    """
    if len(asked) >= MAX_PEERS_ASKED:
        return None
    left = [holder for holder in holders if holder.host not in asked]
    if not left:
        return None
    weights = [holder.link_mbps or UNKNOWN_LINK_MBPS for holder in left]
    return rng.choices(left, weights)[0]


def rank_hosts(links: Mapping[HostId, float]) -> list[HostId]:
    """Return hosts by their links' bandwidth in Mbit/s, the fastest first.

    All hosts get the same order without coordination.
    """
    return sorted(links, key=lambda host: (-(links[host] or UNKNOWN_LINK_MBPS), host))


def is_watcher(
    host: HostId, links: Mapping[HostId, float], document_bytes: int
) -> bool:
    """Return whether a host of a small fleet watches the document itself.

    Args:
        host: the host.
        links: bandwidth in Mbit/s of the links of the live hosts, with this one.
        document_bytes: size of the document in force.
    """
    if document_bytes < LARGE_DOCUMENT_BYTES:
        return True
    return host in rank_hosts(links)[:MIN_WATCHERS]
