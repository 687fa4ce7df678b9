"""In-memory fakes of interfaces, for tests of single components."""

from collections.abc import Callable

import trio

from dewridge.codes import ResultCode
from dewridge.ids import FailureDomain, HostId, Incarnation
from dewridge.membership.model import Member, Rumor
from dewridge.providers.model import Entry
from dewridge.sentinels import Failure


class MemoryKeyValue:
    """An in-memory key-value service that can simulate faults.

    Attributes:
        entries: the stored entries by key.
        is_down: every call fails as if it had not been sent.
        answers_to_lose: number of writes that take effect while their answer is lost.
        writes_to_lose: number of writes that fail with an unknown outcome and have
            no effect.
        calls: kinds of the received calls, in order.
        before_swap: called with the key before each compare-and-swap.
    """

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.is_down = False
        self.answers_to_lose = 0
        self.writes_to_lose = 0
        self.calls: list[str] = []
        self._revision = 0
        self._changed = trio.Event()
        self.before_swap: Callable[[str], None] = lambda key: None

    def _record_call(self, call: str) -> Failure | None:
        self.calls.append(call)
        return Failure(ResultCode.KEY_VALUE_DOWN, "down") if self.is_down else None

    async def get(self, key: str) -> Entry | Failure:
        await trio.lowlevel.checkpoint()
        return self._record_call("get") or self.entries.get(key, Entry(key, b"", 0))

    async def list_entries(self, prefix: str) -> list[Entry] | Failure:
        await trio.lowlevel.checkpoint()
        failure = self._record_call("list")
        if failure is not None:
            return failure
        return [
            entry
            for key, entry in sorted(self.entries.items())
            if key.startswith(prefix)
        ]

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int
    ) -> Entry | Failure:
        await trio.lowlevel.checkpoint()
        failure = self._record_call("swap")
        if failure is not None:
            return failure
        self.before_swap(key)
        if self.writes_to_lose > 0:
            self.writes_to_lose -= 1
            return Failure(ResultCode.KEY_VALUE_UNKNOWN, "lost")
        stored = self.entries.get(key)
        if (stored.revision if stored else 0) != expected_revision:
            return Failure(ResultCode.KEY_VALUE_CONFLICT, "conflict")
        return self._reply_to_write(self.write(key, value))

    def _reply_to_write(self, entry: Entry) -> Entry | Failure:
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            return Failure(ResultCode.KEY_VALUE_UNKNOWN, "answer lost")
        return entry

    def write(self, key: str, value: bytes) -> Entry:
        """Write a key without a revision check, as another client would."""
        self._revision += 1
        self.entries[key] = Entry(key, value, self._revision)
        self._changed.set()
        self._changed = trio.Event()
        return self.entries[key]

    async def delete(self, key: str, expected_revision: int) -> Entry | Failure:
        await trio.lowlevel.checkpoint()
        failure = self._record_call("delete")
        if failure is not None:
            return failure
        stored = self.entries.get(key)
        if (stored.revision if stored else 0) != expected_revision:
            return Failure(ResultCode.KEY_VALUE_CONFLICT, "conflict")
        self.entries.pop(key, None)
        return self._reply_to_write(Entry(key, b"", 0))

    async def watch(
        self, key: str, after_revision: int, timeout: float
    ) -> Entry | Failure:
        failure = self._record_call("watch")
        if failure is not None:
            await trio.lowlevel.checkpoint()
            return failure
        with trio.move_on_after(timeout):
            while True:
                entry = self.entries.get(key, Entry(key, b"", 0))
                if entry.revision != after_revision:
                    await trio.lowlevel.checkpoint()
                    return entry
                await self._changed.wait()
        return Failure(ResultCode.KEY_VALUE_TIMEOUT, "no change")


class FakeMembership:
    """A membership that a test controls; rumors spread to the linked fakes.

    Attributes:
        members_by_host: all members, dead ones included.
        rumors: the latest rumor by kind and subject.
        linked_fakes: memberships of other hosts that receive the rumors.
    """

    def __init__(self, members: list[Member], host: str) -> None:
        self.members_by_host = {member.host: member for member in members}
        self._host = HostId(host)
        self._listeners: list[Callable[[Member], None]] = []
        self._rumor_listeners: dict[str, list[Callable[[Rumor], None]]] = {}
        self.rumors: dict[tuple[str, str], Rumor] = {}
        self.linked_fakes: list[FakeMembership] = []

    @property
    def local_member(self) -> Member:
        return self.members_by_host[self._host]

    def members(self) -> list[Member]:
        return [
            member for member in self.members_by_host.values() if member.state.value < 3
        ]

    def find(self, host: HostId) -> Member | None:
        return self.members_by_host.get(host)

    def subscribe(self, listener: Callable[[Member], None]) -> None:
        self._listeners.append(listener)

    def update_member(self, member: Member) -> None:
        """Update a member and notify the listeners, as failure detection would."""
        self.members_by_host[member.host] = member
        for listener in self._listeners:
            listener(member)

    def spread(self, rumor: Rumor) -> None:
        identity = rumor.kind, rumor.subject
        known = self.rumors.get(identity)
        if known is not None and known.version >= rumor.version:
            return
        self.rumors[identity] = rumor
        for listener in self._rumor_listeners.get(rumor.kind, []):
            listener(rumor)
        for linked_fake in self.linked_fakes:
            linked_fake.spread(rumor)

    def subscribe_rumors(self, kind: str, listener: Callable[[Rumor], None]) -> None:
        self._rumor_listeners.setdefault(kind, []).append(listener)


def make_member(number: int, failure_domain: str | None = None) -> Member:
    """Return the entry host `host-N`, by default in one of four failure domains."""
    return Member(
        HostId(f"host-{number}"),
        Incarnation(number + 1),
        FailureDomain(failure_domain or f"domain-{number % 4}"),
        f"127.0.0.1:{20_000 + number}",
        f"127.0.0.1:{30_000 + number}",
    )
