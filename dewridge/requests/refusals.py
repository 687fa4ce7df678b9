"""Refusing a submission so that "not run" holds.

Three ways lead from a refusal to a lie: an earlier sending of the key runs at
another entry host; a delayed copy of this sending is accepted later; a replica
revives a record that was given up. So the refusal is first left with the hosts
where any acceptance of the key would have to leave a copy.
"""

from dataclasses import replace
from typing import Any

import trio

from dewridge.codes import ResultCode
from dewridge.ids import HostId, RequestId
from dewridge.membership.model import Member, MemberState
from dewridge.membership.ranking import find_home
from dewridge.peers.wire import ttypes as wire
from dewridge.requests.codec import decode_end, decode_record, encode_end
from dewridge.requests.keys import read_request_time
from dewridge.requests.model import EndedEvent
from dewridge.requests.records import Ballot, Record
from dewridge.requests.shared import Shared
from dewridge.sentinels import Failure

RETRY_AFTER = 1.0
"""Seconds until an unconfirmed refusal is worth repeating: by then the membership
has noticed a host that does not answer."""
CUT_OFF_MARGIN = 10.0
"""A host that is cut off stops admitting after some seconds; keys made later than
this after its failure can't have been accepted by it."""


class FailureLog:
    """Remembers when members failed without having said that they leave."""

    def __init__(self, shared: Shared) -> None:
        self._shared = shared
        self._failed: dict[HostId, float] = {}
        self._leaving: set[HostId] = set()
        shared.membership.subscribe(self._note)

    def _note(self, member: Member) -> None:
        if member.state is MemberState.LEAVING:
            self._leaving.add(member.host)
        elif member.state is MemberState.ALIVE:
            self._leaving.discard(member.host)
            if member.host in self._failed and member.refutation:
                del self._failed[member.host]
        elif member.host not in self._leaving:
            self._failed.setdefault(member.host, self._shared.clock())

    def has_doubt(self, request: RequestId) -> bool:
        """Whether a failed host may be the only one that knows a request.

        A crashed owner and a crashed replica, or a part of the deployment that
        is cut off, may have accepted an earlier sending. Nobody here could
        tell, so "not run" must not be said of a repeated key.
        """
        now = self._shared.clock()
        limit = now - self._shared.settings.retention
        self._failed = {h: at for h, at in self._failed.items() if at > limit}
        made = read_request_time(request)
        suspects = [h for h, at in self._failed.items() if at > made - CUT_OFF_MARGIN]
        if not suspects:
            return False
        members = {m.host: m for m in self._shared.membership.members()}
        for host in suspects:
            member = self._shared.membership.find(host)
            if member is not None:
                members[host] = replace(member, state=MemberState.ALIVE)
        home = find_home(request, members.values())
        reach = {m.host for m in home[: self._shared.reach]}
        return any(host in reach for host in suspects)


class Refuser:
    """Leaves refusals with the home of a key."""

    def __init__(self, shared: Shared, failures: FailureLog) -> None:
        self._shared = shared
        self._failures = failures

    async def refuse(
        self,
        request: RequestId,
        number: int,
        failure: Failure,
        ballot: Ballot,
        also: frozenset[HostId] = frozenset(),
    ) -> Failure | Record:
        """Confirm a refusal.

        Args:
            request: what is refused.
            number: submission number that the refusal holds for.
            failure: what the caller is to be told.
            ballot: ownership under which copies may have been left.
            also: hosts that may hold such a copy.

        Returns:
            The failure if it is certain, OUTCOME_UNKNOWN if it is not, or the
            record of the request if it lives or has ended elsewhere.
        """
        ended = EndedEvent(failure.code, failure.reason, failure.retry_after)
        now = self._shared.clock()
        record = self._shared.table.close_submissions(
            request, number, ended, ballot, now
        )
        if record is not None:
            return record
        replies = await self._ask(request, number, ended, ballot, also)
        known = pick_known(replies)
        if known is not None:
            return known
        if self._is_certain(request, number, replies):
            return failure
        self._shared.metrics.add("requests_unconfirmed_refusals")
        return Failure(
            ResultCode.OUTCOME_UNKNOWN,
            f"{failure.reason}; not every host that may know the key confirmed it",
            retry_after=failure.retry_after or RETRY_AFTER,
        )

    def _is_certain(
        self, request: RequestId, number: int, replies: dict[HostId, Any]
    ) -> bool:
        """Whether nobody that could have accepted the key stayed silent.

        A host that can't be reached may be the only one that knows a copy of
        this very submission, sent to two entry hosts at once.
        """
        if any(isinstance(reply, Failure) for reply in replies.values()):
            return False
        return number <= 1 or not self._failures.has_doubt(request)

    async def _ask(
        self,
        request: RequestId,
        number: int,
        ended: EndedEvent,
        ballot: Ballot,
        also: frozenset[HostId],
    ) -> dict[HostId, Any]:
        home = find_home(request, self._shared.membership.members())
        reach = {m.host for m in home[: self._shared.reach]} | also
        reach.discard(self._shared.me.host)
        message = wire.CloseSubmission(
            request=request,
            ended=encode_end(ended, number),
            owner=ballot.host,
            owner_incarnation=ballot.incarnation,
            epoch=ballot.epoch,
            withdraw=False,
        )
        replies: dict[HostId, Any] = {}

        async def ask(host: HostId) -> None:
            replies[host] = await self._shared.call(host, message)

        async with trio.open_nursery() as nursery:
            for host in reach:
                nursery.start_soon(ask, host)
        return replies

    async def withdraw(
        self, request: RequestId, ballot: Ballot, hosts: frozenset[HostId]
    ) -> None:
        """Take back copies of a record whose caller joined another owner's."""
        message = wire.CloseSubmission(
            request=request,
            ended=encode_end(EndedEvent(ResultCode.CANCELLED), 0),
            owner=ballot.host,
            owner_incarnation=ballot.incarnation,
            epoch=ballot.epoch,
            withdraw=True,
        )
        async with trio.open_nursery() as nursery:
            for host in hosts:
                nursery.start_soon(self._shared.call, host, message)


def pick_known(replies: dict[HostId, Any]) -> Record | None:
    """Return the record of the greatest ballot that a peer knows."""
    found: list[Record] = []
    for reply in replies.values():
        if isinstance(reply, Failure) or reply.known is None:
            continue
        record = decode_record(reply.known)
        if reply.known_end is not None:
            record.ended = decode_end(reply.known_end)
        found.append(record)
    return max(found, key=lambda record: record.ballot, default=None)
