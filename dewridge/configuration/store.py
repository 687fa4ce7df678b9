"""The configuration in the platform's key-value service."""

import uuid
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import trio

from dewridge.codes import ResultCode
from dewridge.configuration.head import (
    Head,
    ObjectLocation,
    StoredObject,
    advance_head,
    decode_head,
    find_revision_by_mark,
)
from dewridge.providers.model import Entry, KeyValue
from dewridge.sentinels import Failure

COMMIT_ATTEMPTS = 8
"""Races and lost answers gone through before an operator is told. At 21,000
changes a day two meet rarely; eight lost races in a row mean something else."""

SETTLE_PAUSE = 0.2
"""Seconds before a write whose answer was lost is repeated, so that a service
that is slow is not asked faster than it can answer."""


@dataclass(frozen=True)
class VersionedHead:
    """A head with the key-value service's own revision of its key."""

    head: Head
    key_revision: int


@dataclass(frozen=True)
class ProposedChange:
    """What an operator wants to change.

    Attributes:
        name: `profile/NAME` or `service/NAME`.
        expected: the object's revision that the change was made from; 0 if it
            must be new, None if any will do.
        check: looks at the head once more before each try; a Failure ends it.
    """

    name: str
    value: bytes
    expected: int | None
    operator: str
    check: Callable[[Head], Failure | None]


@dataclass(frozen=True)
class AcceptedChange:
    """A change that was accepted.

    Attributes:
        head: a head that holds it, perhaps with later changes.
        revision: the one that this change made.
    """

    head: Head
    revision: int


class ConfigurationStore:
    """Reads and changes the configuration in the key-value service."""

    def __init__(self, key_value: KeyValue, prefix: str) -> None:
        self._key_value = key_value
        self._prefix = f"{prefix}configuration/"

    @property
    def head_key(self) -> str:
        """Key of the head."""
        return f"{self._prefix}head"

    async def read_head(self) -> VersionedHead | Failure:
        """Read the head; errors as `KeyValue.get`, or PLATFORM_MALFORMED."""
        return self._decode(await self._key_value.get(self.head_key))

    async def watch_head(self, after: int, timeout: float) -> VersionedHead | Failure:
        """Wait for another head than the one of key revision `after`."""
        return self._decode(await self._key_value.watch(self.head_key, after, timeout))

    def _decode(self, entry: Entry | Failure) -> VersionedHead | Failure:
        if isinstance(entry, Failure):
            return entry
        head = decode_head(entry.value)
        if isinstance(head, Failure):
            return head
        return VersionedHead(head, entry.revision)

    async def read_objects(
        self, head: Head, known: dict[str, StoredObject]
    ) -> dict[str, StoredObject] | Failure:
        """Read the objects of a head, only those that `known` lacks."""
        found: dict[str, StoredObject] = {}
        for name, place in head.objects.items():
            mine = known.get(name)
            if mine is not None and mine.revision == place.revision:
                found[name] = mine
                continue
            entry = await self._key_value.get(place.key)
            if isinstance(entry, Failure):
                return entry
            if entry.is_absent:
                return Failure(ResultCode.PLATFORM_MALFORMED, f"{place.key} is absent")
            found[name] = StoredObject(name, place.revision, entry.value)
        return found

    async def commit(self, change: ProposedChange) -> AcceptedChange | Failure:
        """Make one change, accepted when the head was swapped.

        Returns:
            The change as accepted, or a failure: REVISION_CONFLICT or the check's own
            (not changed), KEY_VALUE_DOWN (not changed), CHANGE_UNKNOWN (the
            key-value service took the write, perhaps, and can't be asked).
        """
        mark = uuid.uuid4().hex
        key = f"{self._prefix}objects/{change.name}/{mark}"
        written = await self._write_object(key, change.value)
        if isinstance(written, Failure):
            return written
        in_doubt = False
        last = Failure(ResultCode.KEY_VALUE_DOWN, "no try was made")
        for _ in range(COMMIT_ATTEMPTS):
            read = await self.read_head()
            if isinstance(read, Failure):
                last = read
                await trio.sleep(SETTLE_PAUSE)
                continue
            revision = find_revision_by_mark(read.head, mark)
            if revision is not None:
                return AcceptedChange(read.head, revision)
            # The mark is absent from a head that was read after the doubtful
            # write, yet that write may still be on its way. It expects the old
            # key revision, so the next swap, ours or anyone's, defeats it.
            place = read.head.objects.get(change.name)
            present = place.revision if place else 0
            if change.expected is not None and present != change.expected:
                return Failure(
                    ResultCode.REVISION_CONFLICT,
                    f"{change.name} is at revision {present}, not {change.expected}",
                )
            refusal = change.check(read.head)
            if refusal is not None:
                return refusal if not in_doubt else self._tell_doubt(refusal.reason)
            head = advance_head(read.head, change.name, key, mark, change.operator)
            swapped = await self._key_value.compare_and_swap(
                self.head_key, msgspec.json.encode(head), read.key_revision
            )
            if isinstance(swapped, Entry):
                await self._forget(read.head, change.name)
                return AcceptedChange(head, head.revision)
            last = swapped
            if swapped.code is ResultCode.KEY_VALUE_UNKNOWN:
                in_doubt = True
                await trio.sleep(SETTLE_PAUSE)
        return self._tell_doubt(last.reason) if in_doubt else last

    def _tell_doubt(self, reason: str) -> Failure:
        return Failure(ResultCode.CHANGE_UNKNOWN, reason)

    async def _write_object(self, key: str, value: bytes) -> Entry | Failure:
        """Write an object under its own key; nobody sees it before the head."""
        reason = ""
        for _ in range(COMMIT_ATTEMPTS):
            result = await self._key_value.compare_and_swap(key, value, 0)
            if isinstance(result, Entry):
                return result
            if result.code is ResultCode.KEY_VALUE_CONFLICT:
                # The key is unique to this write, so an earlier try of ours
                # took effect though its answer was lost.
                return Entry(key, value, 1)
            reason = result.reason
            await trio.sleep(SETTLE_PAUSE)
        return Failure(ResultCode.KEY_VALUE_DOWN, reason)

    async def _forget(self, old: Head, name: str) -> None:
        """Delete the bytes that the new head no longer names, as far as may be."""
        place = old.objects.get(name)
        if place is None:
            return
        entry = await self._key_value.get(place.key)
        if isinstance(entry, Entry) and not entry.is_absent:
            await self._key_value.delete(place.key, entry.revision)

    async def restore(
        self, revision: int, objects: dict[str, StoredObject], read: VersionedHead
    ) -> Failure | None:
        """Write back a revision that the key-value service has lost.

        The service was restored from an older copy. Hosts that know the later
        revision stay on it, but a host that starts would read the older one,
        and a change made from it would carry a revision already used.
        """
        mark = uuid.uuid4().hex
        places: dict[str, ObjectLocation] = {}
        for stored in objects.values():
            key = f"{self._prefix}objects/{stored.name}/{mark}"
            written = await self._write_object(key, stored.value)
            if isinstance(written, Failure):
                return written
            places[stored.name] = ObjectLocation(stored.revision, key)
        head = Head(revision=revision, objects=places, recent=read.head.recent)
        swapped = await self._key_value.compare_and_swap(
            self.head_key, msgspec.json.encode(head), read.key_revision
        )
        return swapped if isinstance(swapped, Failure) else None
