"""Messages on the versions of streams between gateways of one process."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import trio

from dewridge.gateway.composition import fan_out
from dewridge.gateway.datagrams import PeerAddress, Urgency
from dewridge.gateway.hosts import HostEntry
from dewridge.gateway.messages.decoding import decode_message
from dewridge.gateway.reports import StreamVersionMessage
from dewridge.gateway.state import GatewayState
from dewridge.gateway.versions.link import VersionLink
from dewridge.gateway.versions.origins import find_only_release
from dewridge.gateway.versions.releaseexchange import ReleaseExchange
from dewridge.gateway.versions.serversearch import ServerSearch
from dewridge.ids import HostId

DELIVERY_TIME = 0.005

Receiver = Callable[[StreamVersionMessage, PeerAddress], None]


@dataclass
class MessageNetwork:
    """Delivers messages between gateways.

    Attributes:
        links: the link of each gateway, by its address.
        receivers: what gets the messages for each address.
        exchanges: the exchange of versions of each gateway.
        silent: addresses that neither send nor receive.
        sent_bytes: bytes of all messages sent.
        sent: number of messages sent.
    """

    nursery: trio.Nursery
    links: dict[str, VersionLink] = field(default_factory=dict)
    receivers: dict[str, Receiver] = field(default_factory=dict)
    exchanges: dict[HostId, ReleaseExchange] = field(default_factory=dict)
    silent: set[str] = field(default_factory=set)
    sent_bytes: int = 0
    sent: int = 0

    def send(self, sender: str, receiver: str, data: bytes) -> None:
        """Deliver a message soon unless one of the two is silent."""
        self.sent += 1
        self.sent_bytes += len(data)
        if sender not in self.silent:
            self.nursery.start_soon(self._deliver, sender, receiver, data)

    async def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        await trio.sleep(DELIVERY_TIME)
        receive = self.receivers.get(receiver)
        if receive is None or receiver in self.silent:
            return
        host, _, port = sender.rpartition(":")
        message = decode_message(data)
        assert isinstance(message, StreamVersionMessage), message
        receive(message, (host, int(port)))


@dataclass
class MemorySocket:
    """Stands in for the paced socket of one gateway."""

    network: MessageNetwork
    address: str

    def enqueue(self, address: PeerAddress, data: bytes, urgency: Urgency) -> None:
        """Send a message."""
        self.network.send(self.address, f"{address[0]}:{address[1]}", data)


def connect_link(
    state: GatewayState,
    network: MessageNetwork,
    address: str,
    list_hosts: Callable[[], list[HostEntry]],
    list_live: Callable[[], list[HostEntry]],
) -> VersionLink:
    """Connect a gateway as the composition root does."""
    link = VersionLink(
        MemorySocket(network, address),  # type: ignore[arg-type]
        state.versions,
        state.host,
        state.failure_domain,
        list_hosts,
        list_live,
        partial(find_only_release, state),
    )
    exchange = ReleaseExchange(state.versions, state.host, list_hosts, link.send)
    search = ServerSearch(
        state.host,
        state.servers,
        state.unknown_servers,
        list_live,
        link.send,
        state.rng,
    )
    network.links[address] = link
    network.exchanges[state.host] = exchange
    network.receivers[address] = fan_out(link.receive, exchange.receive, search.receive)
    state.compare_releases = exchange.compare
    state.find_release_servers = search.find_release
    state.find_service_servers = search.find_service
    network.nursery.start_soon(search.run)
    network.nursery.start_soon(link.run)
    state.ask_peers_for_origin = link.ask
    state.versions.on_due = link.request_report
    state.versions.check_replicas = link.check_replicas
    return link


def list_others(state: GatewayState, silent: set[HostId]) -> list[HostEntry]:
    """Return the registered peers that are not silent."""
    return [peer for peer in state.hosts.list_peers() if peer.id not in silent]
