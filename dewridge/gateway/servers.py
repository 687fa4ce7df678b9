"""Table of backend server processes, as the store lists them.

A server that restarts under its name is a new process with a new id. A process that has
announced its departure, or started again, is never used again. One of which no more is
known than that its record is gone may have been cut off from the store; it is used
again once it has registered anew.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from loguru import logger as log

from dewridge.gateway.model import ServerRecord
from dewridge.gateway.reports import ServerRegistrations
from dewridge.ids import (
    BackendServerId,
    FailureDomain,
    Registration,
    Release,
    ServerName,
    ServiceName,
)
from dewridge.policy.serverregistrations import is_later
from dewridge.policy.storeoutages import StoreOutages
from dewridge.policy.streamversions import (
    MAX_NAME_LENGTH,
)

DEPARTURE_REPORT_TIME = 4.0
"""Seconds for which a departure or a return is included in reports to other hosts. They
have to know within 2 s, and single reports get lost."""
DEFAULT_NOTICE = 2.0
"""Seconds for which a leaving server is assumed to keep serving if it gives no time."""
ARRIVAL_MARGIN = 0.2
"""Seconds by which a request to a leaving server is sent before the end of its notice:
the departure was learned after it began, and the request takes time to arrive."""
MIN_NOTICE_CHANGE = 0.2
"""Seconds by which two times of one departure may differ because of the delay of
reports."""
MAX_MISSING_TIME = 3.0
"""Seconds for which a server may be missing from lists that may be stale; after that,
the current list has to be read. Hosts that read the store report real departures much
sooner than this."""
CACHE_WARMUP_TIME = 8.0
"""Seconds after which a server has cached most of the prefixes that it is responsible
for: twice the time within which the more frequent half of them is requested again."""
COPY_CUTOFF = 0.4
"""Length in seconds of the period before a server stops in which nothing is copied from
it. A copy takes a few hundredths of a second, but the prompt that needs it may have to
wait in a queue first."""
DEPARTURE_RETENTION = 120.0
"""Seconds for which a departed process is remembered. Store reads may be answered
seconds late; two minutes outlast them and bound the memory used."""


@dataclass(frozen=True, slots=True)
class Departure:
    """Departure of a server process; monotonic times.

    Attributes:
        learned_at: when this host learned of it.
        stops_at: when the process stops serving, as far as is known.
        is_notice_known: whether that time is from the server's record in the store.
        is_notice_assumed: whether nothing has said when the process stops.
        record: the last record of the process; None if it had none.
        lapsed: the registration that ended, if nothing else shows that the process has
            left; None if the departure is final.
        joined_at: when the process joined; None if this host had no record of it.
        reported_from: time from which the departure is reported to other hosts.
    """

    learned_at: float
    stops_at: float
    is_notice_known: bool
    is_notice_assumed: bool
    record: ServerRecord | None
    lapsed: Registration | None
    joined_at: float | None
    reported_from: float

    @property
    def notice_ends_at(self) -> float:
        """Time by which no request may reach the process, though it may still serve."""
        return min(self.stops_at, self.learned_at + DEFAULT_NOTICE)

    @property
    def usable_until(self) -> float:
        """Time until which a stream that moves may still be sent to the process."""
        return self.notice_ends_at - ARRIVAL_MARGIN


class ServerTable:
    """The server processes that may be sent requests.

    Attributes:
        on_left: called for each process that leaves, with its record, the time at which
            it stops, and whether the other hosts know it already; called again if that
            time turns out to be another.
        on_returned: called with the record of each process that is used again although
            it had left, and whether the other hosts know it already.
        on_serving: called with each record that is new or has changed, and the time;
            also with those of servers that leave.
        drained_at: when a reclaimable server last began to drain, by service and
            failure domain.
        version: number of changes to the table.
        outages: tells whether a missing record shows that its server has left.
        recheck_at: monotonic time at which the list has to be read again, since a
            missing server was kept; None if none was.
    """

    def __init__(self, outages: StoreOutages | None = None) -> None:
        self.on_left: Callable[[ServerRecord, float, bool], None] = lambda *_: None
        self.on_returned: Callable[[ServerRecord, bool], None] = lambda *_: None
        self.on_serving: Callable[[ServerRecord, float], None] = lambda *_: None
        self.drained_at: dict[tuple[ServiceName, FailureDomain], float] = {}
        self._records: dict[BackendServerId, ServerRecord] = {}
        self._departures: dict[BackendServerId, Departure] = {}
        self._departing_records: dict[BackendServerId, ServerRecord] = {}
        self._joined_at: dict[BackendServerId, float] = {}
        self._registered_at: dict[BackendServerId, float] = {}
        self._returned_at: dict[BackendServerId, float] = {}
        self._missing_since: dict[BackendServerId, float] = {}
        self._newest_processes: dict[ServerName, ServerRecord] = {}
        self.outages = StoreOutages() if outages is None else outages
        self.recheck_at: float | None = None
        self.version = 0
        self._by_service: dict[ServiceName, list[ServerRecord]] = {}
        self._by_release: dict[Release, list[ServerRecord]] = {}
        self._by_service_version = 0

    def record_restore(self, now: float) -> None:
        """Record that the store was restored, so that it may lack records."""
        self.outages.record_restore(now)

    def apply_full_list(
        self,
        records: Iterable[ServerRecord],
        now: float,
        requested_at: float = float("inf"),
    ) -> None:
        """Update the table from a complete list that was current when it was requested.

        Servers without a record are dropped, except those that joined or returned after
        the request and, if the list was requested shortly after an outage of the store,
        those that may not have registered again. The list has to be read again at
        `recheck_at` then. Records expire during an outage although the servers still
        run, and dropping them all would leave no server to send requests to.

        Args:
            records: the list.
            now: monotonic time.
            requested_at: monotonic time at which the list was requested.
        """
        listed = {record.id: record for record in records}
        for record in listed.values():
            self.update(record, now)
        missing = [
            known
            for known in self._records
            if known not in listed and self._registered_at[known] < requested_at
        ]
        self._missing_since = {
            server: self._missing_since.get(server, now) for server in missing
        }
        self.recheck_at = None
        if not missing:
            return
        grace_end = self.outages.find_grace_end(now)
        if min(requested_at, now) < grace_end:
            self.recheck_at = grace_end
            self._log_kept(now, grace_end - now)
            return
        for server in missing:
            lapsed = self._records[server].registration
            self.drop(server, now, "its record is gone", lapsed=lapsed)
        self._missing_since.clear()

    def _log_kept(self, now: float, seconds_left: float) -> None:
        """Log the servers that are missing in the list that was just read."""
        for server, since in self._missing_since.items():
            if since == now:
                log.bind(server=server, seconds_left=round(seconds_left, 2)).info(
                    "missing server kept"
                )

    def merge_stale_list(self, records: Iterable[ServerRecord], now: float) -> bool:
        """Update the table from a list that may be seconds old.

        A server missing from the list is not dropped: it may have started since, or its
        record may have expired and been written again.

        Returns:
            Whether the current list has to be read: some server has been missing for
            long, or may have returned.
        """
        listed = {record.id: record for record in records}
        for record in listed.values():
            self.update(record, now)
        self._missing_since = {
            server: self._missing_since.get(server, now)
            for server in self._records
            if server not in listed
        }
        is_long_missing = any(
            now - since > MAX_MISSING_TIME for since in self._missing_since.values()
        )
        return is_long_missing or any(map(self._may_have_returned, listed.values()))

    def _may_have_returned(self, record: ServerRecord) -> bool:
        """Whether only a current list can show if a server that had lapsed is back."""
        departure = self._departures.get(record.id)
        if departure is None or departure.lapsed is None or record.is_dated:
            return False
        return record.registration.era > departure.lapsed.era

    def update(self, record: ServerRecord, now: float) -> None:
        """Update the table from one record; a draining server counts as departed.

        A record of an earlier process under the same name is ignored. A crashed server
        may restart while a stale read still returns its earlier process; taken for the
        new one, a draining record of that process would remove a running server.
        Requests, caches and counters of the earlier process do not carry over.

        A server whose record had lapsed returns with a later registration. A record
        that is not later is one from before: it was read late, or restored.
        """
        if record.is_draining:
            if record.leaves_in is not None:
                self._refine_notice(record.id, now, record.leaves_in, is_known=True)
            # Applies also if another host reported the departure: such a report does
            # not say whether the server drains.
            self._record_draining(record, now)
        if record.is_draining or record.id in self._departures:
            # This host may have missed the time in which the server got new requests.
            self.on_serving(record, now)
        if not self._is_newest_process(record, now):
            return
        if record.is_draining:
            self.drop(record.id, now, "it drains", record.leaves_in)
            return
        departure = self._departures.get(record.id)
        if departure is None:
            self._apply_record(record, now)
        elif departure.lapsed is not None and _has_registered_since(
            record, departure.lapsed
        ):
            self._apply_return(departure, record, now, is_reported=False)

    def _apply_record(self, record: ServerRecord, now: float) -> None:
        known = self._records.get(record.id)
        if known is not None and _rank_registration(known) > _rank_registration(record):
            record = replace(
                record, registration=known.registration, is_dated=known.is_dated
            )
        elif known is None or known.registration < record.registration:
            self._registered_at[record.id] = now
        self._records[record.id] = record
        if known == record:
            return
        if known is None:
            log.bind(
                server=record.id,
                service=record.service,
                server_version=record.version[:MAX_NAME_LENGTH],
            ).info("server joined")
            self._joined_at[record.id] = now
        self.version += 1
        self.on_serving(record, now)

    def _apply_return(
        self,
        departure: Departure,
        record: ServerRecord,
        now: float,
        *,
        is_reported: bool,
    ) -> None:
        """Use a server again that had left, as far as this host knew."""
        del self._departures[record.id]
        self._returned_at[record.id] = now
        log.bind(
            server=record.id,
            service=record.service,
            absent_s=round(now - departure.learned_at, 2),
            is_reported=is_reported,
        ).info("server returned")
        self._apply_record(record, now)
        if departure.joined_at is not None:
            self._joined_at[record.id] = departure.joined_at
        self.on_returned(record, is_reported)

    def apply_reported_return(
        self, server: BackendServerId, registration: Registration, now: float
    ) -> None:
        """Apply that another host saw a server return.

        Reports of an earlier lapse may still arrive, and no longer apply afterwards.
        """
        departure = self._departures.get(server)
        if departure is None:
            known = self._records.get(server)
            if known is not None and known.registration < registration:
                record = replace(known, registration=registration, is_dated=True)
                self._apply_record(record, now)
            return
        if departure.lapsed is None or departure.lapsed >= registration:
            return
        if departure.record is None:
            # A list has the record.
            del self._departures[server]
            return
        if not self.has_later_process(departure.record):
            record = replace(departure.record, registration=registration, is_dated=True)
            self._apply_return(departure, record, now, is_reported=True)

    def record_replaced(self, record: ServerRecord, now: float) -> None:
        """Record that a server had a record that was removed or written again."""
        if record.is_draining:
            self.update(record, now)
            return
        known = self._records.get(record.id)
        if known is None or known.version != record.version:
            self.on_serving(record, now)

    def _record_draining(self, record: ServerRecord, now: float) -> None:
        self._departing_records[record.id] = record
        if record.is_reclaimable:
            self.drained_at[record.service, record.failure_domain] = now

    def has_later_process(self, record: ServerRecord) -> bool:
        """Return whether a server is known to have started again since a record."""
        known = self._newest_processes.get(record.name)
        return known is not None and known.started_at_ms > record.started_at_ms

    def _is_newest_process(self, record: ServerRecord, now: float) -> bool:
        """Return whether no later process has the name; drop the earlier one if so."""
        known = self._newest_processes.get(record.name)
        if known is not None and record.started_at_ms < known.started_at_ms:
            return False
        self._newest_processes[record.name] = record
        if known is not None and known.id != record.id:
            self.drop(known.id, now, "it started again", leaves_in=0.0)
        return True

    def drop(
        self,
        server: BackendServerId,
        now: float,
        reason: str,
        leaves_in: float | None = None,
        *,
        is_reported: bool = False,
        lapsed: Registration | None = None,
    ) -> None:
        """Remove a server process, for good unless only its registration lapsed.

        Args:
            server: the process.
            now: monotonic time.
            reason: reason for the log.
            leaves_in: seconds until it stops serving; None if unknown.
            is_reported: whether another host reported the departure.
            lapsed: the registration that ended, if nothing else shows that the process
                has left.
        """
        if server in self._departures:
            self._confirm_departure(
                server, now, reason, lapsed, is_reported=is_reported
            )
            if is_reported and leaves_in is not None:
                self._refine_notice(server, now, leaves_in, is_known=False)
            return
        known = self._records.get(server)
        if lapsed is not None and known and _has_registered_since(known, lapsed):
            return
        missing = now - self._missing_since.pop(server, now)
        assumed_notice = max(0.0, DEFAULT_NOTICE - missing)
        notice = assumed_notice if leaves_in is None else leaves_in
        record = self._records.pop(server, None)
        is_notice_known = leaves_in is not None and not is_reported
        departure = Departure(
            learned_at=now,
            stops_at=now + notice,
            is_notice_known=is_notice_known,
            is_notice_assumed=leaves_in is None,
            record=record,
            lapsed=lapsed,
            joined_at=self._joined_at.pop(server, None),
            reported_from=now,
        )
        self._departures[server] = departure
        self._registered_at.pop(server, None)
        self._returned_at.pop(server, None)
        if record is not None:
            log.bind(
                server=server,
                reason=reason,
                leaves_in=round(notice, 2),
                missing_s=round(missing, 2),
                may_return=lapsed is not None,
            ).info("server left")
            self.version += 1
            self.on_left(record, departure.stops_at, is_reported)
        if len(self._departures) > 1000:
            self._drop_expired(now)

    def _confirm_departure(
        self,
        server: BackendServerId,
        now: float,
        reason: str,
        lapsed: Registration | None,
        *,
        is_reported: bool,
    ) -> None:
        """Apply another sign of a known departure, which may show that it is final."""
        departure = self._departures[server]
        if departure.lapsed is None:
            return
        if lapsed is not None:
            lapsed = max(lapsed, departure.lapsed)
            self._departures[server] = replace(departure, lapsed=lapsed)
            return
        log.bind(server=server, reason=reason).info("server left for good")
        # The departures are in the order in which they are reported from.
        del self._departures[server]
        self._departures[server] = replace(departure, lapsed=None, reported_from=now)
        if departure.record is not None:
            self.on_left(departure.record, departure.stops_at, is_reported)

    def _refine_notice(
        self, server: BackendServerId, now: float, leaves_in: float, *, is_known: bool
    ) -> None:
        """Replace the assumed time at which a departed server stops.

        The first sign of a departure may not say when the server stops. Streams would
        then be moved at the assumed time, which may be too late. A time that another
        host reported is replaced by an earlier one only: a record that is read late
        gives a later time than the true one, and a report may repeat an assumption.
        """
        departure = self._departures.get(server)
        if departure is None or departure.is_notice_known:
            return
        stops_at = now + leaves_in
        is_earlier = stops_at < departure.stops_at - MIN_NOTICE_CHANGE
        if not (is_earlier or (is_known and departure.is_notice_assumed)):
            return
        self._departures[server] = replace(
            departure,
            stops_at=stops_at,
            is_notice_known=is_known,
            is_notice_assumed=False,
        )
        is_news = is_known and abs(stops_at - departure.stops_at) > MIN_NOTICE_CHANGE
        if departure.record is not None:
            self.on_left(departure.record, stops_at, not is_news)

    def find_departure(self, server: BackendServerId) -> Departure | None:
        """Return the departure of a server process; None if it has not left."""
        return self._departures.get(server)

    def find_last_crash(
        self, service: ServiceName, release: Release | None
    ) -> float | None:
        """Return when a server of a version last left without notice; None if never."""
        return max(
            (
                departure.learned_at
                for departure in self._departures.values()
                if departure.is_notice_assumed
                and departure.record is not None
                and departure.record.service == service
                and departure.record.release == release
            ),
            default=None,
        )

    def list_recently_left(self, now: float) -> dict[BackendServerId, float]:
        """Return the server processes that left recently, for reports to other hosts.

        Returns:
            Seconds until each of them stops serving.
        """
        recent = {}
        for server, departure in reversed(self._departures.items()):
            if now - departure.reported_from > DEPARTURE_REPORT_TIME:
                break
            recent[server] = round(max(0.0, departure.stops_at - now), 2)
        return recent

    def list_registrations(self, now: float) -> ServerRegistrations:
        """Return what qualifies the recent departures, for reports to other hosts."""
        lapsed: dict[BackendServerId, tuple[int, int]] = {
            server: departure.lapsed
            for server in self.list_recently_left(now)
            if (departure := self._departures[server]).lapsed is not None
        }
        self._returned_at = {
            server: returned_at
            for server, returned_at in self._returned_at.items()
            if now - returned_at <= DEPARTURE_REPORT_TIME
        }
        returned: dict[BackendServerId, tuple[int, int]] = {
            server: self._records[server].registration for server in self._returned_at
        }
        return ServerRegistrations(lapsed, returned)

    def list_retained(self, now: float) -> set[BackendServerId]:
        """Return the servers in use, and those that may still return."""
        return self._records.keys() | {
            server
            for server, departure in self._departures.items()
            if departure.lapsed is not None
            and now - departure.learned_at < DEPARTURE_RETENTION
        }

    def _drop_expired(self, now: float) -> None:
        self._departures = {
            server: departure
            for server, departure in self._departures.items()
            if now - departure.learned_at < DEPARTURE_RETENTION
        }
        self._newest_processes = {
            name: record
            for name, record in self._newest_processes.items()
            if record.id in self._records or record.id in self._departures
        }

    def list_service(self, service: ServiceName) -> list[ServerRecord]:
        """Return the servers of a service."""
        return self._find_service(service).copy()

    def _find_service(self, service: ServiceName) -> list[ServerRecord]:
        if self._by_service_version != self.version:
            self._by_service.clear()
            self._by_release.clear()
            self._by_service_version = self.version
        records = self._by_service.get(service)
        if records is None:
            records = self._by_service[service] = [
                record for record in self._records.values() if record.service == service
            ]
        return records

    def list_release(
        self, service: ServiceName, release: Release
    ) -> list[ServerRecord]:
        """Return the servers of one version of a service."""
        servers = self._find_service(service)
        if release not in self._by_release:
            self._by_release[release] = [
                record for record in servers if record.release == release
            ]
        return self._by_release[release].copy()

    def has_release(self, service: ServiceName, release: Release) -> bool:
        """Return whether a version of a service has servers."""
        self._find_service(service)
        known = self._by_release.get(release)
        return bool(self.list_release(service, release) if known is None else known)

    def has_any_of_release(self, release: Release) -> bool:
        """Return whether a version has servers, in whichever service."""
        return any(record.release == release for record in self._records.values())

    def list_cache_warm(self, service: ServiceName, now: float) -> list[ServerRecord]:
        """Return the servers of a service that have had time to fill their caches.

        Leaving servers are included as long as they certainly still serve.
        """
        if self._departing_records:
            self._departing_records = {
                server: record
                for server, record in self._departing_records.items()
                if server in self._departures
                and self._departures[server].stops_at > now + COPY_CUTOFF
            }
        departing = [
            leaving_server
            for leaving_server in self._departing_records.values()
            if leaving_server.service == service
        ]
        cache_warm = [
            record
            for record in self._find_service(service)
            if now - self._joined_at[record.id] > CACHE_WARMUP_TIME
        ]
        return [*cache_warm, *departing]

    def find(self, server: BackendServerId) -> ServerRecord | None:
        """Return the record of a server process; None if it is not in the table."""
        return self._records.get(server)

    def has_known(self, server: BackendServerId) -> bool:
        """Return whether a server process is in the table, or has left it."""
        return server in self._records or server in self._departures

    def list_all(self) -> list[ServerRecord]:
        """Return the records of all servers."""
        return list(self._records.values())


def _has_registered_since(record: ServerRecord, lapsed: Registration) -> bool:
    return is_later(record.registration, lapsed, is_dated=record.is_dated)


def _rank_registration(record: ServerRecord) -> tuple[Registration, bool]:
    return record.registration, record.is_dated
