"""Backend servers as the store lists them; a start that left never comes back."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from loguru import logger as log

from dewridge.gateway.model import ServerRecord
from dewridge.ids import (
    BackendServerId,
    FailureDomain,
    ServerName,
    ServiceName,
)

REREGISTRATION_TIME = 2.2
"""Seconds after an outage of the store during which a missing record may come back:
the two that servers need to write it again, and one call's slack."""
TOLD_FOR = 4.0
"""Seconds for which the others are told that a server left: they must know within 2 s,
and single reports get lost."""
USUAL_NOTICE = 2.0
"""Seconds that a server which leaves without saying when goes on serving at least."""
MISSING_FOR = 3.0
"""Seconds for which a server must be missing from lists that may lag before the current
one is asked for: readers tell of servers that left long before."""
SETTLED_AFTER = 8.0
"""Seconds after which a server has read most of the prefixes that it is the home of:
twice what the busier half of them take to be asked for again."""
LAST_USE = 0.4
"""Seconds before a leaving server's end from which nothing is copied from it any more:
a copy takes some hundredths, and the prompt may wait before it."""
FORGET_AFTER = 120.0
"""Seconds that a start which left is remembered. Reads may be answered seconds late;
two minutes outlast any of them, and bound the memory."""


@dataclass(frozen=True, slots=True)
class Leaving:
    """A start of a server that left.

    Attributes:
        known_at: when this host learned of it.
        gone_at: when it stops serving, as far as is known.
    """

    known_at: float
    gone_at: float


class ServerTable:
    """The servers that may be sent work, by start.

    Attributes:
        on_left: told of each start that leaves, when it is gone, and whether another
            host told this one.
        drained_at: when a reclaimable server of a service last began to leave, by
            failure domain.
    """

    def __init__(self) -> None:
        self.on_left: Callable[[ServerRecord, float, bool], None] = lambda *_: None
        self.drained_at: dict[tuple[ServiceName, FailureDomain], float] = {}
        self._records: dict[BackendServerId, ServerRecord] = {}
        self._left: dict[BackendServerId, Leaving] = {}
        self._leaving: dict[BackendServerId, ServerRecord] = {}
        self._joined_at: dict[BackendServerId, float] = {}
        self._missing_since: dict[BackendServerId, float] = {}
        self._newest: dict[ServerName, ServerRecord] = {}
        self._doubt_until = float("-inf")
        self.version = 0

    def record_outage(self, now: float) -> None:
        """Note that the store could not be read: records may lapse meanwhile."""
        self._doubt_until = now + REREGISTRATION_TIME

    def apply_full_list(self, records: Iterable[ServerRecord], now: float) -> None:
        """Take over a whole list.

        Records lapse while the store is away although their servers live. For the
        time that these need to write them again, a missing record is no sign that
        the server is gone: dropping them all would leave nothing to serve with.
        """
        listed = {record.id: record for record in records}
        for record in listed.values():
            self.update(record, now)
        self._missing_since.clear()
        if now < self._doubt_until:
            return
        for server in [known for known in self._records if known not in listed]:
            self.drop(server, now, "its record is gone")

    def merge_stale_list(self, records: Iterable[ServerRecord], now: float) -> bool:
        """Take over a list that may be seconds old; returns whether it leaves a doubt.

        A server that is missing there may have started since, or its record may have
        lapsed and come back, so that nothing is dropped for it: a server dropped by
        mistake never gets work again. One that stays missing raises a doubt.
        """
        listed = {record.id: record for record in records}
        for record in listed.values():
            self.update(record, now)
        self._missing_since = {
            server: self._missing_since.get(server, now)
            for server in self._records
            if server not in listed
        }
        return any(now - since > MISSING_FOR for since in self._missing_since.values())

    def update(self, record: ServerRecord, now: float) -> None:
        """Take over one record; one that says it leaves counts as left.

        A server that crashed may start again under its name, and a read that lags
        still brings its earlier start. Taken for the later one, its leaving would end
        a server that just came; and what ran, was read or was counted there is gone.
        """
        if record.is_draining:
            # Also of a server that another host told of: that word has no reason.
            self._note_draining(record, now)
        if record.id in self._left or not self._is_newest_start(record, now):
            return
        if record.is_draining:
            self.drop(record.id, now, "it drains", record.leaves_in)
            return
        if self._records.get(record.id) != record:
            if record.id not in self._records:
                log.bind(server=record.id, service=record.service).info("server joined")
                self._joined_at[record.id] = now
            self._records[record.id] = record
            self.version += 1

    def _note_draining(self, record: ServerRecord, now: float) -> None:
        self._leaving[record.id] = record
        if record.is_reclaimable:
            self.drained_at[record.service, record.failure_domain] = now

    def _is_newest_start(self, record: ServerRecord, now: float) -> bool:
        """Whether no later start has the name; ends the earlier start if this has."""
        known = self._newest.get(record.name)
        if known is not None and record.started_at_ms < known.started_at_ms:
            return False
        self._newest[record.name] = record
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
    ) -> None:
        """Send nothing more to a start of a server, whatever is read later.

        Args:
            server: the start.
            now: steady time.
            reason: for the log.
            leaves_in: seconds until it stops serving; None if unknown.
            is_reported: whether another host told this one.
        """
        if server in self._left:
            return
        notice = USUAL_NOTICE if leaves_in is None else leaves_in
        leaving = self._left[server] = Leaving(now, now + notice)
        record = self._records.pop(server, None)
        self._joined_at.pop(server, None)
        if record is not None:
            log.bind(server=server, reason=reason, leaves_in=round(notice, 2)).info(
                "server left"
            )
            self.version += 1
            self.on_left(record, leaving.gone_at, is_reported)
        if len(self._left) > 1000:
            self._forget(now)

    def find_leaving(self, server: BackendServerId) -> Leaving | None:
        """Return when a start that left is gone; None if it did not leave."""
        return self._left.get(server)

    def list_recently_left(self, now: float) -> dict[BackendServerId, float]:
        """Return the starts that left lately, to tell other hosts.

        Returns:
            Seconds until each stops serving, by start.
        """
        recent = {}
        for server, leaving in reversed(self._left.items()):
            if now - leaving.known_at > TOLD_FOR:
                break
            recent[server] = round(max(0.0, leaving.gone_at - now), 2)
        return recent

    def _forget(self, now: float) -> None:
        self._left = {
            server: leaving
            for server, leaving in self._left.items()
            if now - leaving.known_at < FORGET_AFTER
        }
        self._newest = {
            name: record
            for name, record in self._newest.items()
            if record.id in self._records or record.id in self._left
        }

    def list_service(self, service: ServiceName) -> list[ServerRecord]:
        """Return the servers of a service."""
        return [
            record for record in self._records.values() if record.service == service
        ]

    def list_settled(self, service: ServiceName, now: float) -> list[ServerRecord]:
        """Return the servers of a service that have been there for some time.

        Among them those that leave, as long as they surely serve.
        """
        self._leaving = {
            server: record
            for server, record in self._leaving.items()
            if server in self._left and self._left[server].gone_at > now + LAST_USE
        }
        leaving = [one for one in self._leaving.values() if one.service == service]
        settled = [
            record
            for record in self.list_service(service)
            if now - self._joined_at[record.id] > SETTLED_AFTER
        ]
        return [*settled, *leaving]

    def find(self, server: BackendServerId) -> ServerRecord | None:
        """Return a server's record; None if it is not there any more."""
        return self._records.get(server)

    def list_all(self) -> list[ServerRecord]:
        """Return all servers."""
        return list(self._records.values())
