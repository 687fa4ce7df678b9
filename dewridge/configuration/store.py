"""Storage of the configuration in the platform's key-value service."""

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

MAX_WRITE_ATTEMPTS = 8
"""Attempts of a write, after lost races or lost answers, before it fails. At 21,000
changes a day two rarely collide; eight lost races in a row have another cause."""

RETRY_PAUSE = 0.2
"""Seconds before a write whose answer was lost is retried, so that a slow service
is not sent requests faster than it can answer."""


@dataclass(frozen=True)
class VersionedHead:
    """A head, and the revision of its key in the key-value service."""

    head: Head
    key_revision: int


@dataclass(frozen=True)
class ProposedChange:
    """An object to publish or revise.

    Attributes:
        name: `profile/NAME` or `service/NAME`.
        expected: revision that the object must have; 0 if it must not exist yet,
            None to accept any.
        check: called with the current head before each attempt; a Failure stops
            the commit.
    """

    name: str
    value: bytes
    expected: int | None
    operator: str
    check: Callable[[Head], Failure | None]


@dataclass(frozen=True)
class AcceptedChange:
    """An accepted change.

    Attributes:
        head: a head that includes the change, possibly with later changes.
        revision: revision that this change made.
    """

    head: Head
    revision: int


class ConfigurationStore:
    """Reads and writes the configuration in the key-value service."""

    def __init__(self, key_value: KeyValue, prefix: str) -> None:
        self._key_value = key_value
        self._prefix = f"{prefix}configuration/"

    @property
    def head_key(self) -> str:
        """Key under which the head is stored."""
        return f"{self._prefix}head"

    async def read_head(self) -> VersionedHead | Failure:
        """Read the head; errors as `KeyValue.get`, or PLATFORM_MALFORMED."""
        return self._decode(await self._key_value.get(self.head_key))

    async def watch_head(self, after: int, timeout: float) -> VersionedHead | Failure:
        """Wait until the key's revision differs from `after`, and return the head."""
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
        """Return the objects of a head, reading only those that `known` lacks."""
        found: dict[str, StoredObject] = {}
        for name, location in head.objects.items():
            known_object = known.get(name)
            if known_object is not None and known_object.revision == location.revision:
                found[name] = known_object
                continue
            entry = await self._key_value.get(location.key)
            if isinstance(entry, Failure):
                return entry
            if entry.is_absent:
                return Failure(
                    ResultCode.PLATFORM_MALFORMED, f"{location.key} is absent"
                )
            found[name] = StoredObject(name, location.revision, entry.value)
        return found

    async def commit(self, change: ProposedChange) -> AcceptedChange | Failure:
        """Commit a change by a compare-and-swap of the head.

        Returns:
            The accepted change, or a failure: REVISION_CONFLICT, KEY_VALUE_DOWN or
            that of the change's check if nothing changed; CHANGE_UNKNOWN if the
            key-value service may have applied the write and can't be read.
        """
        mark = uuid.uuid4().hex
        key = f"{self._prefix}objects/{change.name}/{mark}"
        written = await self._write_object(key, change.value)
        if isinstance(written, Failure):
            return written
        is_uncertain = False
        last_failure = Failure(ResultCode.KEY_VALUE_DOWN, "no try was made")
        for _ in range(MAX_WRITE_ATTEMPTS):
            read = await self.read_head()
            if isinstance(read, Failure):
                last_failure = read
                await trio.sleep(RETRY_PAUSE)
                continue
            revision = find_revision_by_mark(read.head, mark)
            if revision is not None:
                return AcceptedChange(read.head, revision)
            # The mark is absent from a head that was read after a write with
            # unknown outcome, but that write may still be in transit. It expects
            # the old key revision, so it fails after the next swap by any host.
            location = read.head.objects.get(change.name)
            current = location.revision if location else 0
            if change.expected is not None and current != change.expected:
                return Failure(
                    ResultCode.REVISION_CONFLICT,
                    f"{change.name} is at revision {current}, not {change.expected}",
                )
            rejection = change.check(read.head)
            if rejection is not None:
                return (
                    rejection
                    if not is_uncertain
                    else self._make_unknown_outcome(rejection.reason)
                )
            head = advance_head(read.head, change.name, key, mark, change.operator)
            swapped = await self._key_value.compare_and_swap(
                self.head_key, msgspec.json.encode(head), read.key_revision
            )
            if isinstance(swapped, Entry):
                await self._delete_replaced(read.head, change.name)
                return AcceptedChange(head, head.revision)
            last_failure = swapped
            if swapped.code is ResultCode.KEY_VALUE_UNKNOWN:
                is_uncertain = True
                await trio.sleep(RETRY_PAUSE)
        return (
            self._make_unknown_outcome(last_failure.reason)
            if is_uncertain
            else last_failure
        )

    def _make_unknown_outcome(self, reason: str) -> Failure:
        return Failure(ResultCode.CHANGE_UNKNOWN, reason)

    async def _write_object(self, key: str, value: bytes) -> Entry | Failure:
        """Write an object under a new key; no reader uses it before a head lists it."""
        reason = ""
        for _ in range(MAX_WRITE_ATTEMPTS):
            result = await self._key_value.compare_and_swap(key, value, 0)
            if isinstance(result, Entry):
                return result
            if result.code is ResultCode.KEY_VALUE_CONFLICT:
                # The key is unique to this write, so an earlier attempt took
                # effect although its answer was lost.
                return Entry(key, value, 1)
            reason = result.reason
            await trio.sleep(RETRY_PAUSE)
        return Failure(ResultCode.KEY_VALUE_DOWN, reason)

    async def _delete_replaced(self, old: Head, name: str) -> None:
        """Delete an object's bytes that the new head no longer lists; best effort."""
        location = old.objects.get(name)
        if location is None:
            return
        entry = await self._key_value.get(location.key)
        if isinstance(entry, Entry) and not entry.is_absent:
            await self._key_value.delete(location.key, entry.revision)

    async def restore(
        self, revision: int, objects: dict[str, StoredObject], read: VersionedHead
    ) -> Failure | None:
        """Write back a revision that the key-value service has lost.

        This is needed after the service was restored from an older copy. Hosts
        that have the later revision retain it, but a starting host would read the
        older one, and a change based on that would reuse a revision number.
        """
        mark = uuid.uuid4().hex
        locations: dict[str, ObjectLocation] = {}
        for stored in objects.values():
            key = f"{self._prefix}objects/{stored.name}/{mark}"
            written = await self._write_object(key, stored.value)
            if isinstance(written, Failure):
                return written
            locations[stored.name] = ObjectLocation(stored.revision, key)
        head = Head(revision=revision, objects=locations, recent=read.head.recent)
        swapped = await self._key_value.compare_and_swap(
            self.head_key, msgspec.json.encode(head), read.key_revision
        )
        return swapped if isinstance(swapped, Failure) else None
