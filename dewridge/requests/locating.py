"""Finding a request: its owner, or whoever holds a copy of it."""

from dataclasses import dataclass, replace
from typing import Any

import trio

from dewridge.codes import Outcome
from dewridge.ids import HostId, RequestId
from dewridge.membership.model import MemberState
from dewridge.membership.ranking import make_preference_list
from dewridge.peers.wire import ttypes as wire
from dewridge.requests.codec import decode_end, decode_record
from dewridge.requests.records import Record
from dewridge.requests.shared import Shared
from dewridge.sentinels import Failure


@dataclass(frozen=True, slots=True)
class Located:
    """Where a request was found.

    Attributes:
        host: the host that answered for it.
        is_owner: whether that host owns it; otherwise it holds a copy.
        tokens: tokens that callers may see there.
    """

    host: HostId
    record: Record
    is_owner: bool
    tokens: int


@dataclass(slots=True)
class Whole:
    """What a search for a whole answer brought.

    Attributes:
        record: the record with the answer, if one was found.
        is_sure: whether no host that is up stayed silent.
    """

    record: Record | None = None
    is_sure: bool = True


class Locator:
    """Looks for requests at their owners and in their homes."""

    def __init__(self, shared: Shared) -> None:
        self._shared = shared

    async def locate(self, request: RequestId) -> Located | None:
        """Find the owner of a request, else the best copy; None if unknown."""
        found: list[Located] = []
        local = self._shared.table.find(request)
        if local is not None:
            owned = await self._ask_owner(local)
            if owned is not None:
                return owned
            me = self._shared.local_member.host
            found.append(Located(me, local, False, len(local.tokens)))
        found += await self._ask_home(request)
        best = max(found, key=rate, default=None)
        if best is None or best.is_owner:
            return best
        return await self._ask_owner(best.record) or best

    async def _ask_owner(self, record: Record) -> Located | None:
        owner = record.ballot.host
        if owner == self._shared.local_member.host:
            return None
        found = await self.ask(owner, record.request)
        return found if found is not None and found.is_owner else None

    async def _ask_home(self, request: RequestId) -> list[Located]:
        home = make_preference_list(request, self._shared.membership.members())
        reach = [m.host for m in home[: self._shared.query_fanout]]
        found: list[Located] = []

        async def ask(host: HostId) -> None:
            reply = await self.ask(host, request)
            if reply is not None:
                found.append(reply)

        async with trio.open_nursery() as nursery:
            for host in reach:
                if host != self._shared.local_member.host:
                    nursery.start_soon(ask, host)
        return found

    async def find_whole(
        self, request: RequestId, also: frozenset[HostId] = frozenset()
    ) -> "Whole":
        """Look for a whole answer at every host that may hold a copy.

        Made for a call whose holder is gone. One slow host may be the only one
        that has the answer, and it counts as suspect just then; left out, the
        caller would hear "unknown" of a call that was answered.
        """
        members = [
            replace(member, state=MemberState.ALIVE)
            for member in self._shared.membership.members()
        ]
        home = make_preference_list(request, members)
        hosts = {m.host for m in home[: self._shared.query_fanout]} | also
        hosts.discard(self._shared.local_member.host)
        whole = Whole()

        async def ask(host: HostId) -> None:
            message = wire.Find(request=request, with_tokens=True)
            reply = await self._shared.call(host, message)
            if isinstance(reply, Failure):
                whole.is_sure &= self._shared.find_live(host) is None
            elif reply.found:
                located = decode_found(host, reply)
                if located.record.outcome is Outcome.DONE:
                    whole.record = located.record

        async with trio.open_nursery() as nursery:
            for host in hosts:
                nursery.start_soon(ask, host)
        return whole

    async def ask(
        self, host: HostId, request: RequestId, with_tokens: bool = False
    ) -> Located | None:
        """Ask one host; None if it does not know the request or is silent."""
        message = wire.Find(request=request, with_tokens=with_tokens)
        reply = await self._shared.call(host, message)
        if isinstance(reply, Failure) or not reply.found:
            return None
        return decode_found(host, reply)


def decode_found(host: HostId, reply: Any) -> Located:
    """Return what a host said of a request that it knows."""
    record = decode_record(reply.record, reply.token_list)
    if reply.ended is not None:
        record.ended = decode_end(reply.ended)
    return Located(host, record, record.ballot.host == host, reply.tokens)


def rate(found: Located) -> tuple[bool, bool, object]:
    """Order findings: a whole answer first, then by ownership."""
    is_done = found.record.outcome is Outcome.DONE
    return is_done, found.is_owner, found.record.ballot
