"""Orders the registrations of a server, and tells which of them are later ones.

A server that is cut off from the store loses its record, though it still serves, and
writes it again when it is back. Hosts hear of both from several sources and in any
order: current lists, lists that lag, lists of a restored store, and peers. A record is
the return of a server only if the server wrote it after the removal.
"""

from dataclasses import dataclass

from dewridge.ids import Registration
from dewridge.policy.storeoutages import EXPIRY_HEARTBEATS

NO_ERA = 0
"""The era of a store that names none, and so is never restored from a copy."""
MATURITY_EXPIRIES = 2
"""Multiple of the time in which the record of a silent server expires, after which a
record that a restored store still has is not one that the copy brought back."""


@dataclass
class RegistrationDating:
    """Finds the era in which a record was written.

    A restored store has records of servers that have left since. The same holds for a
    store that was restored just before this host started. A record counts as written in
    the current era if its revision is higher than that of the first list in that era,
    or if it is still there after it would have expired.

    Attributes:
        heartbeat: seconds between two heartbeats of a server.
    """

    heartbeat: float
    _era: int = NO_ERA
    _began_at: float = float("-inf")
    _first_revision: int | None = None

    def record_list(self, era: int, revision: int, now: float) -> None:
        """Record the revision of a list that was current when it was read."""
        self._observe(era, now)
        if self._first_revision is None:
            self._first_revision = revision

    def _observe(self, era: int, now: float) -> None:
        if era != self._era:
            self._era, self._began_at = era, now
            self._first_revision = None

    def is_dated(
        self, era: int, revision: int, now: float, listed_at: float = float("-inf")
    ) -> bool:
        """Return whether a record is known to have been written in the current era.

        Args:
            era: the era of the answer that has the record.
            revision: the revision of the record.
            now: monotonic time.
            listed_at: monotonic time at which the list with the record was requested,
                if the list was current then.
        """
        self._observe(era, now)
        is_new = self._first_revision is not None and revision > self._first_revision
        expiry = EXPIRY_HEARTBEATS * self.heartbeat
        is_mature = listed_at > self._began_at + MATURITY_EXPIRIES * expiry
        return era == NO_ERA or is_new or is_mature


def is_later(
    registration: Registration, earlier: Registration, *, is_dated: bool
) -> bool:
    """Return whether a registration is later than another.

    A record that is not dated may have been restored. The copy's revisions are those
    of the earlier era, and revisions of this era are higher than the copy's, so that a
    higher one is later in either case.

    Args:
        registration: the registration of a record.
        earlier: the registration of an earlier record of the same server.
        is_dated: whether the record is known to have been written in its era.
    """
    if is_dated or registration.era == earlier.era:
        return registration > earlier
    return registration.created > earlier.created
