"""Confirmation of refusals, so that a submission reported as "not run" never runs.

A refused submission could still run in three ways: an earlier submission of the
key runs on another entry host; a delayed duplicate of this submission is accepted
later; a replica restores a record that was abandoned. The refusal is therefore
first stored on the hosts where any acceptance of the key must store a copy.
"""

from dataclasses import replace
from typing import Any

import trio

from dewridge.codes import ResultCode
from dewridge.ids import HostId, Incarnation, RequestId
from dewridge.membership.model import Member, MemberState
from dewridge.membership.ranking import make_preference_list
from dewridge.peers.wire import ttypes as wire
from dewridge.requests.codec import decode_end, decode_record, encode_end
from dewridge.requests.keys import read_request_time
from dewridge.requests.model import EndedEvent
from dewridge.requests.records import Ballot, Record
from dewridge.requests.shared import Shared
from dewridge.sentinels import Failure

RETRY_AFTER = 1.0
"""Seconds after which a caller may retry an unconfirmed refusal; by then the membership
has detected a host that does not answer."""
PARTITION_MARGIN = 10.0
"""Keys created more than this many seconds after a host's failure can't have been
accepted by it, since a partitioned host stops admitting after some seconds."""


class MemberFailureLog:
    """Records when processes of members failed without announcing that they leave.

    A member that starts again has none of the requests of its earlier process. That it
    does not know a key, or refutes a suspicion, says nothing about that process, whose
    failure may have been too short for others to notice.
    """

    def __init__(self, shared: Shared) -> None:
        self._shared = shared
        self._failed_at: dict[tuple[HostId, Incarnation], float] = {}
        self._leaving: set[tuple[HostId, Incarnation]] = set()
        self._newest: dict[HostId, Incarnation] = {}
        shared.membership.subscribe(self._handle_member_change)

    def _handle_member_change(self, member: Member) -> None:
        process = member.host, member.incarnation
        newest = self._newest.setdefault(member.host, member.incarnation)
        if newest < member.incarnation:
            self._newest[member.host] = member.incarnation
            self._record_failure((member.host, newest))
            self._leaving.discard((member.host, newest))
        if member.state is MemberState.LEAVING:
            self._leaving.add(process)
        elif member.state is MemberState.ALIVE:
            self._leaving.discard(process)
            if member.refutation:
                self._failed_at.pop(process, None)
        else:
            self._record_failure(process)

    def _record_failure(self, process: tuple[HostId, Incarnation]) -> None:
        if process not in self._leaving:
            self._failed_at.setdefault(process, self._shared.clock())

    def is_uncertain(self, request: RequestId) -> bool:
        """Whether a failed host may be the only one that knows a request.

        A crashed owner and its crashed replica, or a partitioned part of the
        deployment, may have accepted an earlier submission. No reachable host can
        rule that out, so a retried key must not be reported as "not run".
        """
        now = self._shared.clock()
        limit = now - self._shared.settings.retention
        self._failed_at = {p: at for p, at in self._failed_at.items() if at > limit}
        key_time = read_request_time(request)
        failed_hosts = {
            host
            for (host, _), at in self._failed_at.items()
            if at > key_time - PARTITION_MARGIN
        }
        if not failed_hosts:
            return False
        members = {m.host: m for m in self._shared.membership.members()}
        for host in failed_hosts:
            member = self._shared.membership.find(host)
            if member is not None:
                members[host] = replace(member, state=MemberState.ALIVE)
        preference_list = make_preference_list(request, members.values())
        queried_hosts = {m.host for m in preference_list[: self._shared.query_fanout]}
        return any(host in queried_hosts for host in failed_hosts)


class RefusalConfirmer:
    """Stores refusals on the hosts that may hold a copy of a request."""

    def __init__(self, shared: Shared, failures: MemberFailureLog) -> None:
        self._shared = shared
        self._failures = failures

    async def confirm(
        self,
        request: RequestId,
        number: int,
        failure: Failure,
        ballot: Ballot,
        extra_hosts: frozenset[HostId] = frozenset(),
    ) -> Failure | Record:
        """Confirm a refusal.

        Args:
            request: the refused request.
            number: highest submission number that the refusal applies to.
            failure: result to return to the caller.
            ballot: ownership under which copies may have been stored.
            extra_hosts: further hosts that may hold such a copy.

        Returns:
            The failure if the refusal is certain, OUTCOME_UNKNOWN if it is not, or
            the record of the request if it is live or has ended elsewhere.
        """
        ended = EndedEvent(failure.code, failure.reason, failure.retry_after)
        now = self._shared.clock()
        record = self._shared.table.close_submissions(
            request, number, ended, ballot, now
        )
        if record is not None:
            return record
        replies = await self._send_refusal(request, number, ended, ballot, extra_hosts)
        newest = find_newest(replies)
        if newest is not None:
            return newest
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
        """Whether every host that may have accepted the key confirmed the refusal.

        An unreachable host may be the only one that knows of a duplicate of this
        submission, if it was sent to two entry hosts at once.
        """
        if any(isinstance(reply, Failure) for reply in replies.values()):
            return False
        return number <= 1 or not self._failures.is_uncertain(request)

    async def _send_refusal(
        self,
        request: RequestId,
        number: int,
        ended: EndedEvent,
        ballot: Ballot,
        extra_hosts: frozenset[HostId],
    ) -> dict[HostId, Any]:
        preference_list = make_preference_list(
            request, self._shared.membership.members()
        )
        queried_hosts = {
            m.host for m in preference_list[: self._shared.query_fanout]
        } | extra_hosts
        queried_hosts.discard(self._shared.local_member.host)
        message = wire.CloseSubmission(
            request=request,
            ended=encode_end(ended, number),
            owner=ballot.host,
            owner_incarnation=ballot.incarnation,
            epoch=ballot.epoch,
            withdraw=False,
        )
        replies: dict[HostId, Any] = {}

        async def send(host: HostId) -> None:
            replies[host] = await self._shared.call(host, message)

        async with trio.open_nursery() as nursery:
            for host in queried_hosts:
                nursery.start_soon(send, host)
        return replies

    async def withdraw(
        self, request: RequestId, ballot: Ballot, hosts: frozenset[HostId]
    ) -> None:
        """Remove copies of a record whose caller was attached to another owner's."""
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


def find_newest(replies: dict[HostId, Any]) -> Record | None:
    """Return the record with the greatest ballot among the replies."""
    found: list[Record] = []
    for reply in replies.values():
        if isinstance(reply, Failure) or reply.known is None:
            continue
        record = decode_record(reply.known)
        if reply.known_end is not None:
            record.ended = decode_end(reply.known_end)
        found.append(record)
    return max(found, key=lambda record: record.ballot, default=None)
