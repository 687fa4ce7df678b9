"""Messages between hosts on the versions of streams.

Each host has two others keep the versions of its running streams. A host that does not
know a stream asks all others, since it can't know at which of them the stream ran.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import trio

from dewridge.gateway.datagrams import PacedSocket, PeerAddress, Urgency, read_address
from dewridge.gateway.hosts import HostEntry
from dewridge.gateway.reports import (
    StreamVersionAnswer,
    StreamVersionMessage,
    StreamVersionQuery,
    StreamVersionReport,
)
from dewridge.gateway.versions.records import (
    PeerKnowledge,
    Streams,
    StreamVersions,
)
from dewridge.ids import (
    FailureDomain,
    HostId,
    Release,
    ServiceName,
    StreamKey,
)
from dewridge.policy.streamversions import (
    Origin,
    OriginSource,
    choose_replicas,
    compute_report_delay,
    pack_streams,
    unpack_streams,
)

QUERY_DELAY = 0.01
"""Seconds for which streams are collected into one query: the streams of a host that
ends are resumed at about the same time."""
ANSWER_TIMEOUT = 0.6
"""Seconds that hosts have to answer: a few of their pauses between receptions."""
QUERY_PERIOD = 0.2
"""Seconds after which hosts that have not answered are asked again."""
MAX_STREAMS_PER_DATAGRAM = 200
"""Some 1,200 bytes, which fit into one packet."""


@dataclass
class _Query:
    """A query that waits for answers.

    Attributes:
        streams: the streams asked for.
        asked: hosts that have not answered.
        only_releases: the only version of the service by each answer; 0 if that host
            knows several, None if it does not know.
        found: versions of the streams that hosts named.
        sent: set when the hosts are asked.
        changed: set when an answer arrives or their time is over.
        has_timed_out: whether their time is over.
    """

    number: int
    service: ServiceName
    streams: list[StreamKey]
    asked: dict[HostId, HostEntry] = field(default_factory=dict)
    only_releases: list[Release | None] = field(default_factory=list)
    found: Streams = field(default_factory=dict)
    sent: trio.Event = field(default_factory=trio.Event)
    changed: trio.Event = field(default_factory=trio.Event)
    has_timed_out: bool = False

    @property
    def is_open(self) -> bool:
        """Whether more answers may tell more."""
        return bool(self.asked) and not self.has_timed_out

    @property
    def has_several(self) -> bool:
        """Whether a host has seen several versions of the service."""
        return Release(0) in self.only_releases

    def find(self, stream: StreamKey) -> Release | None:
        """Return the version of a stream by the answers so far."""
        return self.found.get(stream) or self._find_only()

    def _find_only(self) -> Release | None:
        """Return the only version of the service if most hosts are of one mind.

        A host that is cut off from the store may have missed a version, but not most
        of them: while the store is down for all, no version can come.
        """
        named = {release for release in self.only_releases if release is not None}
        has_majority = len(self.only_releases) > len(self.asked)
        if len(named) != 1 or self.has_several or not has_majority:
            return None
        return named.pop()


class VersionLink:
    """Sends the versions of streams to other hosts and asks them for versions."""

    def __init__(
        self,
        socket: PacedSocket,
        versions: StreamVersions,
        local_host: HostId,
        local_domain: FailureDomain,
        list_hosts: Callable[[], list[HostEntry]],
        list_live_hosts: Callable[[], list[HostEntry]],
        find_only: Callable[[ServiceName], Release | None],
    ) -> None:
        """Create the link.

        Args:
            socket: socket to send with.
            versions: the versions that this host knows.
            local_host: this host.
            local_domain: its failure domain.
            list_hosts: returns the other registered hosts.
            list_live_hosts: returns those of them that are not silent.
            find_only: returns the only version that a service had recently; 0 if it
                had several, None if this host can't know.
        """
        self._socket = socket
        self._versions = versions
        self._local_host = local_host
        self._local_domain = local_domain
        self._list_hosts = list_hosts
        self._list_live_hosts = list_live_hosts
        self._find_only = find_only
        self._encoder = msgspec.msgpack.Encoder()
        self._due = trio.Event()
        self._replicas: list[tuple[HostId, int]] = []
        self._queries: dict[int, _Query] = {}
        self._collecting: dict[ServiceName, _Query] = {}
        self._number = 0
        self._nursery: trio.Nursery | None = None

    def request_report(self) -> None:
        """Have new streams sent to their replicas soon."""
        self._due.set()

    async def run(self) -> None:
        """Send the versions of new streams to their replicas forever, and queries."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await self._send_reports()
            finally:
                self._nursery = None

    async def _send_reports(self) -> None:
        while True:
            await self._due.wait()
            hosts = 1 + len(self._list_live_hosts())
            await trio.sleep(compute_report_delay(hosts))
            self._due = trio.Event()
            self.send_report()

    def send_report(self) -> None:
        """Send the versions of new streams to the replicas of this host's streams."""
        hosts = {entry.id: entry for entry in self._list_replica_candidates()}
        domains = {host: entry.failure_domain for host, entry in hosts.items()}
        domains[self._local_host] = self._local_domain
        replicas = choose_replicas(self._local_host, domains)
        processes = [(replica, hosts[replica].boot) for replica in replicas]
        if processes != self._replicas:
            self._replicas = processes
            self._versions.resend()
        streams = list(self._versions.take_unsent(trio.current_time()).items())
        for first in range(0, len(streams), MAX_STREAMS_PER_DATAGRAM):
            part = dict(streams[first : first + MAX_STREAMS_PER_DATAGRAM])
            report = StreamVersionReport(self._local_host, group_by_release(part))
            for replica in replicas:
                self.send(hosts[replica].peers, report)

    def check_replicas(self) -> None:
        """Have running streams sent again if a replica is silent or started again."""
        if not self._replicas:
            return
        live = {(entry.id, entry.boot) for entry in self._list_replica_candidates()}
        if not live.issuperset(self._replicas):
            self.request_report()

    def _list_replica_candidates(self) -> list[HostEntry]:
        """Return the live hosts, or all registered ones if no reports arrive.

        A leaving host gets no reports any more, but still runs streams.
        """
        return self._list_live_hosts() or self._list_hosts()

    def send(self, address: str, message: StreamVersionMessage) -> None:
        """Send a message to a peer."""
        data = self._encoder.encode(message)
        self._socket.enqueue(read_address(address), data, Urgency.URGENT)

    async def ask(self, service: ServiceName, stream: StreamKey) -> PeerKnowledge:
        """Ask the other hosts at which version a stream began."""
        if self._nursery is None:
            return PeerKnowledge(None, len(self._list_hosts()))
        query = self._join_query(service, stream)
        with trio.move_on_after(QUERY_DELAY + ANSWER_TIMEOUT):
            await query.sent.wait()
            while query.find(stream) is None and query.is_open:
                await query.changed.wait()
        release = query.find(stream)
        origin = None if release is None else Origin(release, OriginSource.PEER)
        return PeerKnowledge(origin, len(query.asked), query.has_several)

    def _join_query(self, service: ServiceName, stream: StreamKey) -> _Query:
        """Return the query that asks for a stream, together with others."""
        assert self._nursery is not None
        query = self._collecting.get(service)
        if query is None or len(query.streams) >= MAX_STREAMS_PER_DATAGRAM:
            self._number += 1
            query = _Query(self._number, service, [])
            self._collecting[service] = query
            self._nursery.start_soon(self._run_query, query)
        query.streams.append(stream)
        return query

    async def _run_query(self, query: _Query) -> None:
        """Send a query until all hosts have answered or their time is over."""
        await trio.sleep(QUERY_DELAY)
        if self._collecting.get(query.service) is query:
            del self._collecting[query.service]
        # A host that started just now has not received reports of all hosts yet.
        query.asked = {entry.id: entry for entry in self._list_hosts()}
        query.sent.set()
        self._queries[query.number] = query
        try:
            with trio.move_on_after(ANSWER_TIMEOUT):
                while query.asked and len(query.found) < len(set(query.streams)):
                    self._send_query(query)
                    with trio.move_on_after(QUERY_PERIOD):
                        await self._wait_for_answers(query)
        finally:
            query.has_timed_out = True
            del self._queries[query.number]
            query.changed.set()

    async def _wait_for_answers(self, query: _Query) -> None:
        while query.asked and len(query.found) < len(set(query.streams)):
            await query.changed.wait()

    def _send_query(self, query: _Query) -> None:
        missing = [stream for stream in query.streams if stream not in query.found]
        message = StreamVersionQuery(
            self._local_host, query.number, query.service, pack_streams(missing)
        )
        for entry in query.asked.values():
            self.send(entry.peers, message)

    def receive(self, message: StreamVersionMessage, sender: PeerAddress) -> None:
        """Apply a message of a peer."""
        match message:
            case StreamVersionReport():
                self.receive_report(message)
            case StreamVersionQuery():
                self.receive_query(message, sender)
            case StreamVersionAnswer():
                self.receive_answer(message)

    def receive_report(self, report: StreamVersionReport) -> None:
        """Keep the versions of a peer's streams."""
        now = trio.current_time()
        for release, data in report.streams.items():
            for stream in unpack_streams(data):
                self._versions.ledger.record(stream, release, now)

    def receive_query(self, query: StreamVersionQuery, sender: PeerAddress) -> None:
        """Answer a peer, also if this host knows nothing, so that it need not wait."""
        now = trio.current_time()
        known: Streams = {}
        for stream in unpack_streams(query.streams):
            origin = self._versions.find(stream, now)
            if origin is not None:
                known[stream] = origin.release
        answer = StreamVersionAnswer(
            self._local_host,
            query.number,
            group_by_release(known),
            self._find_only(query.service),
        )
        self.send(f"{sender[0]}:{sender[1]}", answer)

    def receive_answer(self, answer: StreamVersionAnswer) -> None:
        """Apply an answer to a query of this host."""
        query = self._queries.get(answer.number)
        if query is None or query.asked.pop(answer.host, None) is None:
            return
        query.only_releases.append(answer.only)
        now = trio.current_time()
        for release, data in answer.streams.items():
            for stream in unpack_streams(data):
                query.found[stream] = release
                self._versions.ledger.record(stream, release, now)
        changed, query.changed = query.changed, trio.Event()
        changed.set()


def group_by_release(streams: Streams) -> dict[Release, bytes]:
    """Return the packed digests of streams by version."""
    grouped: dict[Release, list[StreamKey]] = defaultdict(list)
    for stream, release in streams.items():
        grouped[release].append(stream)
    return {release: pack_streams(group) for release, group in grouped.items()}
