"""Finds the owner of a request, or a host that holds a copy of it."""

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
        host: the host that replied.
        record: the record of the request on that host.
        is_owner: whether that host owns the request; otherwise it holds a copy.
        tokens: number of tokens that callers may see there.
    """

    host: HostId
    record: Record
    is_owner: bool
    tokens: int


@dataclass(slots=True)
class AnswerSearch:
    """The result of a search for a complete answer.

    Attributes:
        record: the record with the answer, if one was found.
        is_conclusive: whether every live host has replied.
    """

    record: Record | None = None
    is_conclusive: bool = True


class Locator:
    """Finds requests on their owners and on the candidate hosts of their keys."""

    def __init__(self, shared: Shared) -> None:
        self._shared = shared

    async def locate(self, request: RequestId) -> Located | None:
        """Return the owner of a request, else the best copy; None if it is unknown."""
        found: list[Located] = []
        local = self._shared.table.find(request)
        if local is not None:
            owned = await self._query_owner(local)
            if owned is not None:
                return owned
            host = self._shared.local_member.host
            found.append(Located(host, local, False, len(local.tokens)))
        found += await self._query_candidates(request)
        best = max(found, key=rank_located, default=None)
        if best is None or best.is_owner:
            return best
        return await self._query_owner(best.record) or best

    async def _query_owner(self, record: Record) -> Located | None:
        owner = record.ballot.host
        if owner == self._shared.local_member.host:
            return None
        found = await self.query_host(owner, record.request)
        return found if found is not None and found.is_owner else None

    async def _query_candidates(self, request: RequestId) -> list[Located]:
        candidates = make_preference_list(request, self._shared.membership.members())
        hosts = [m.host for m in candidates[: self._shared.query_fanout]]
        found: list[Located] = []

        async def query(host: HostId) -> None:
            located = await self.query_host(host, request)
            if located is not None:
                found.append(located)

        async with trio.open_nursery() as nursery:
            for host in hosts:
                if host != self._shared.local_member.host:
                    nursery.start_soon(query, host)
        return found

    async def find_complete_answer(
        self, request: RequestId, extra_hosts: frozenset[HostId] = frozenset()
    ) -> "AnswerSearch":
        """Search for a complete answer on every host that may hold a copy.

        Used for a non-idempotent request whose claim holder has departed. The only
        host with the answer may be slow and therefore suspected. It is queried too;
        otherwise the caller would be sent "unknown" for an answered request.

        Args:
            request: the request.
            extra_hosts: hosts to query besides the candidate hosts of the key.
        """
        members = [
            replace(member, state=MemberState.ALIVE)
            for member in self._shared.membership.members()
        ]
        candidates = make_preference_list(request, members)
        hosts = {m.host for m in candidates[: self._shared.query_fanout]} | extra_hosts
        hosts.discard(self._shared.local_member.host)
        search = AnswerSearch()

        async def query(host: HostId) -> None:
            message = wire.Find(request=request, with_tokens=True)
            reply = await self._shared.call(host, message)
            if isinstance(reply, Failure):
                search.is_conclusive &= self._shared.find_live(host) is None
            elif reply.found:
                located = decode_find_reply(host, reply)
                if located.record.outcome is Outcome.DONE:
                    search.record = located.record

        async with trio.open_nursery() as nursery:
            for host in hosts:
                nursery.start_soon(query, host)
        return search

    async def query_host(
        self, host: HostId, request: RequestId, with_tokens: bool = False
    ) -> Located | None:
        """Query one host; None if it does not know the request or does not reply."""
        message = wire.Find(request=request, with_tokens=with_tokens)
        reply = await self._shared.call(host, message)
        if isinstance(reply, Failure) or not reply.found:
            return None
        return decode_find_reply(host, reply)


def decode_find_reply(host: HostId, reply: Any) -> Located:
    """Return the located request from the reply of a host that knows it."""
    record = decode_record(reply.record, reply.token_list)
    if reply.ended is not None:
        record.ended = decode_end(reply.ended)
    return Located(host, record, record.ballot.host == host, reply.tokens)


def rank_located(found: Located) -> tuple[bool, bool, object]:
    """Return a sort key: complete answers rank highest, then owners, then ballots."""
    is_done = found.record.outcome is Outcome.DONE
    return is_done, found.is_owner, found.record.ballot
