"""The store's copy of the requests that are set aside, for hosts that start.

Hosts tell each other of them, but all hosts may be killed in one moment. Each such
request has a key under a lease as long as its hold, beside the hosts' registrations:
every host reads that list anyway, so that the copy costs two calls a request.
"""

import time
from collections.abc import Callable

import msgspec
import trio
from loguru import logger as log

from dewridge.gateway.hosts import PREFIX
from dewridge.gateway.state import GatewayState
from dewridge.gateway.suspects import merge_suspects
from dewridge.ids import BackendServerId, ClientAccount, RequestDigest, ServiceName
from dewridge.platform.store import Item, Store, Write
from dewridge.policy.suspects import End, Suspect
from dewridge.sentinels import Failure

SUSPECTS_PREFIX = PREFIX + "suspects/"
LOOK_PERIOD = 0.25
"""Seconds between two looks at what has to be written."""
OTHERS_WRITE_FOR = 3.0
"""Seconds that the host which saw the last end has to write it, until the holder of
the duties does: the host may be gone, or cut off from the store."""
MOST_KEPT = 64
"""Requests in the store at the most; its list is read by all hosts."""
SHORTEST_LEASE = 5.0
"""Seconds of hold that must be left for a copy to be worth its calls."""


class KeptSuspect(msgspec.Struct, frozen=True):
    """A request that is set aside, as the store keeps it.

    Attributes:
        digest: names its content.
        account: whose it is.
        service: whose servers ended.
        ends: when each server ended, and when the request was sent there, in seconds
            since 1970.
        cleared: servers whose ends count no more.
    """

    digest: RequestDigest
    account: ClientAccount
    service: ServiceName
    ends: dict[BackendServerId, tuple[float, float]]
    cleared: list[BackendServerId] = []


class SuspectPersistence:
    """Writes what this host set aside, or as holder of the duties what all did."""

    def __init__(
        self, state: GatewayState, store: Store, has_duties: Callable[[], bool]
    ) -> None:
        self._state = state
        self._store = store
        self._has_duties = has_duties
        self._written: set[RequestDigest] = set()
        self._dropped: set[str] = set()

    def apply_item(self, item: Item) -> None:
        """Take over a copy from the store."""
        if not item.key.startswith(SUSPECTS_PREFIX):
            return
        try:
            kept = msgspec.json.decode(item.value, type=KeptSuspect)
        except msgspec.DecodeError as error:
            log.bind(key=item.key, reason=str(error)).error("suspect can't be read")
            return
        merge_suspects(self._state, [decode_kept(kept)])

    def handle_restore(self) -> None:
        """Write all copies again; the restored store may lack them."""
        self._written.clear()
        self._dropped.clear()

    async def run(self) -> None:
        """Write for ever; what the store does not take is tried again."""
        while True:
            await trio.sleep(LOOK_PERIOD)
            if self._state.suspects.is_empty:
                continue
            await self._drop_cleared()
            now = trio.current_time()
            for suspect in self._state.suspects.list_held(now):
                if self._must_write(suspect, now):
                    await self._write(suspect, now)

    def _must_write(self, suspect: Suspect, now: float) -> bool:
        items = self._state.hosts.items
        if suspect.digest in self._written or find_key(suspect.digest) in items:
            return False
        kept = sum(key.startswith(SUSPECTS_PREFIX) for key in items)
        if kept >= MOST_KEPT or suspect.find_hold_left(now) < SHORTEST_LEASE:
            return False
        if suspect.digest in self._state.seen_ending:
            return True
        return self._has_duties() and now - suspect.told_at > OTHERS_WRITE_FOR

    async def _write(self, suspect: Suspect, now: float) -> None:
        lease = await self._store.grant_lease(suspect.find_hold_left(now))
        if isinstance(lease, Failure):
            return
        value = msgspec.json.encode(encode_kept(suspect, now))
        write = Write(find_key(suspect.digest), value, lease.id)
        result = await self._store.change(writes=(write,))
        if not isinstance(result, Failure):
            self._written.add(suspect.digest)
            self._dropped.discard(write.key)

    async def _drop_cleared(self) -> None:
        """Take copies away of requests that were let through again.

        A host that starts would set them aside anew, on the word of the store alone.
        """
        for key in self._list_cleared():
            result = await self._store.change(drop=(key,))
            if isinstance(result, Failure):
                return
            self._dropped.add(key)

    def _list_cleared(self) -> list[str]:
        now = trio.current_time()
        cleared = []
        for suspect in self._state.suspects.list_all():
            key = find_key(suspect.digest)
            is_own = suspect.digest in self._written or self._has_duties()
            is_kept = key in self._state.hosts.items and key not in self._dropped
            if is_own and is_kept and suspect.find_hold_left(now) <= 0:
                cleared.append(key)
        return cleared


def find_key(digest: RequestDigest) -> str:
    """Return the key of a request's copy."""
    return SUSPECTS_PREFIX + digest


def encode_kept(suspect: Suspect, now: float) -> KeptSuspect:
    """Return the store's form of a request: its times are those of the calendar."""
    offset = time.time() - now
    return KeptSuspect(
        suspect.digest,
        suspect.account,
        suspect.service,
        {
            server: (end.at + offset, end.sent_at + offset)
            for server, end in suspect.ends.items()
        },
        sorted(suspect.cleared),
    )


def decode_kept(kept: KeptSuspect) -> Suspect:
    """Return a request from the store's form, with steady times of this host."""
    now = trio.current_time()
    offset = now - time.time()
    return Suspect(
        kept.digest,
        kept.account,
        kept.service,
        {
            server: End(min(now, ended + offset), sent + offset)
            for server, (ended, sent) in kept.ends.items()
        },
        set(kept.cleared),
    )
