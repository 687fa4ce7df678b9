"""Search for the records of servers that only peers know.

A host that does not reach the store learns of servers from peers: of those that peers
send requests to, and of those that a stream or a service needs. Requests that need the
same servers share a search.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import trio
from loguru import logger as log

from dewridge.gateway.datagrams import PeerAddress
from dewridge.gateway.hosts import HostEntry
from dewridge.gateway.model import ServerRecord
from dewridge.gateway.reports import (
    NO_REGISTRATIONS,
    ServerAnswer,
    ServerQuery,
    ServerRegistrations,
    StreamVersionMessage,
)
from dewridge.gateway.servers import ServerTable
from dewridge.gateway.versions.releaseexchange import SendMessage
from dewridge.gateway.versions.unknownservers import UnknownServers
from dewridge.ids import BackendServerId, HostId, Registration, Release, ServiceName

SEARCH_DELAY = 0.2
"""Seconds that the store has to show a server that a peer uses, and between two
queries for it."""
MAX_SEARCH_TIME = 0.4
"""Seconds that a request waits for servers that peers may know: a few of their pauses
between receptions."""
RESULT_LIFETIME = 0.5
"""Seconds for which requests go by a search that found nothing."""
MAX_PEERS_ASKED = 3
"""Peers that are asked for the servers of a version or of a service."""
MAX_SERVERS_PER_QUERY = 40
RECORDS_PER_DATAGRAM = 4
"""Some 1,300 bytes, which fit into one packet."""
MAX_RECORDS = 24
"""Records in the answers to one query for a version or a service; the servers that
peers use are asked for by their ids."""


@dataclass
class _Search:
    """A search that requests wait for.

    Attributes:
        number: number of the query.
        began_at: monotonic time at which it began.
        asked: peers that have not answered.
        changed: set when an answer arrives.
    """

    number: int
    began_at: float
    asked: set[HostId] = field(default_factory=set)
    changed: trio.Event = field(default_factory=trio.Event)


class ServerSearch:
    """Asks peers for servers that this host does not know, and answers peers.

    Attributes:
        on_added: called when a server was taken from a peer. The peer may not know that
            it has left, so that the list of the store has to be read.
    """

    def __init__(
        self,
        local_host: HostId,
        servers: ServerTable,
        unknown: UnknownServers,
        rank_peers: Callable[[], list[HostEntry]],
        send: SendMessage,
        rng: random.Random,
    ) -> None:
        """Create the search.

        Args:
            local_host: this host.
            servers: the servers that this host knows.
            unknown: the servers that peers use and this host does not know.
            rank_peers: returns the live peers, those with the newest list first.
            send: sends a message.
            rng: random generator.
        """
        self._local_host = local_host
        self._servers = servers
        self._unknown = unknown
        self._rank_peers = rank_peers
        self._send = send
        self._rng = rng
        self.on_added: Callable[[], None] = lambda: None
        self._number = 0
        self._searches: dict[Release | ServiceName, _Search] = {}

    async def run(self) -> None:
        """Ask for the servers that peers use and this host does not know, forever."""
        while True:
            await self._unknown.wait()
            await trio.sleep(SEARCH_DELAY * self._rng.uniform(0.8, 1.2))
            self._unknown.drop_known(trio.current_time())
            peers = {entry.id: entry for entry in self._rank_peers()}
            for host, servers in self._unknown.take_queries().items():
                if host in peers:
                    query = ServerQuery(
                        self._local_host, 0, servers[:MAX_SERVERS_PER_QUERY]
                    )
                    self._send(peers[host].peers, query)

    async def find_release(self, release: Release) -> None:
        """Wait until a server of a version is known, or peers know none."""
        number = self._number + 1
        query = ServerQuery(self._local_host, number, releases=[release])
        await self._find(
            release, query, lambda: self._servers.has_any_of_release(release)
        )

    async def find_service(self, service: ServiceName) -> None:
        """Wait until a server of a service is known, or peers know none."""
        number = self._number + 1
        query = ServerQuery(self._local_host, number, services=[service])
        await self._find(
            service, query, lambda: bool(self._servers.list_service(service))
        )

    async def _find(
        self,
        key: Release | ServiceName,
        query: ServerQuery,
        is_found: Callable[[], bool],
    ) -> None:
        now = trio.current_time()
        search = self._searches.get(key)
        if search is None or now - search.began_at > RESULT_LIFETIME:
            search = self._begin(key, query, now)
        with trio.move_on_at(search.began_at + MAX_SEARCH_TIME):
            while search.asked and not is_found():
                await search.changed.wait()

    def _begin(
        self, key: Release | ServiceName, query: ServerQuery, now: float
    ) -> _Search:
        self._searches = {
            known: search
            for known, search in self._searches.items()
            if now - search.began_at <= RESULT_LIFETIME
        }
        self._number = query.number
        search = self._searches[key] = _Search(query.number, now)
        for peer in self._rank_peers()[:MAX_PEERS_ASKED]:
            search.asked.add(peer.id)
            self._send(peer.peers, query)
        return search

    def receive(self, message: StreamVersionMessage, sender: PeerAddress) -> None:
        """Answer a query of a peer, or apply its answer."""
        match message:
            case ServerQuery():
                self._answer(message, f"{sender[0]}:{sender[1]}")
            case ServerAnswer():
                self._apply(message)

    def _answer(self, query: ServerQuery, address: str) -> None:
        asked = query.servers[:MAX_SERVERS_PER_QUERY]
        records = [record for server in asked if (record := self._servers.find(server))]
        needed = [
            record
            for record in self._servers.list_all()
            if record.service in query.services
            or (query.releases and record.release in query.releases)
        ]
        records += self._rng.sample(needed, min(len(needed), MAX_RECORDS))
        departed = self._list_departed(asked)
        registrations = self._list_lapsed(departed)
        last = max(0, len(records) - 1) // RECORDS_PER_DATAGRAM
        for index in range(last + 1):
            first = index * RECORDS_PER_DATAGRAM
            answer = ServerAnswer(
                self._local_host,
                query.number,
                records[first : first + RECORDS_PER_DATAGRAM],
                departed if index == 0 else {},
                is_last=index == last,
                registrations=registrations if index == 0 else NO_REGISTRATIONS,
            )
            self._send(address, answer)

    def _list_departed(
        self, servers: list[BackendServerId]
    ) -> dict[BackendServerId, float]:
        now = trio.current_time()
        departures = {
            server: departure
            for server in servers
            if (departure := self._servers.find_departure(server))
        }
        return {
            server: round(max(0.0, departure.stops_at - now), 2)
            for server, departure in departures.items()
        }

    def _list_lapsed(self, departed: Iterable[BackendServerId]) -> ServerRegistrations:
        """Return the registrations that ended, of the departures that are not final."""
        return ServerRegistrations(
            {
                server: departure.lapsed
                for server in departed
                if (departure := self._servers.find_departure(server)) is not None
                and departure.lapsed is not None
            }
        )

    def _apply(self, answer: ServerAnswer) -> None:
        now = trio.current_time()
        is_any_added = False
        for record in answer.records:
            is_known = self._servers.has_known(record.id)
            if not is_known:
                self._log(record, answer.host)
            self._servers.update(record, now)
            is_any_added |= not is_known and self._servers.find(record.id) is not None
        if is_any_added:
            self.on_added()
        for server, leaves_in in answer.departed.items():
            reason = f"reported by {answer.host}"
            lapsed = answer.registrations.lapsed.get(server)
            self._servers.drop(
                server,
                now,
                reason,
                leaves_in,
                is_reported=True,
                lapsed=None if lapsed is None else Registration(*lapsed),
            )
        for search in self._searches.values():
            if search.number == answer.number:
                if answer.is_last:
                    search.asked.discard(answer.host)
                changed, search.changed = search.changed, trio.Event()
                changed.set()

    def _log(self, record: ServerRecord, peer: HostId) -> None:
        log.bind(server=record.id, peer=peer).info("server record taken from a peer")
