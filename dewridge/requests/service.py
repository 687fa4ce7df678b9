"""Request processing on an entry host: wiring of its modules and its interface."""

import time
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import Any

import trio

from dewridge.codes import Outcome, ResultCode
from dewridge.configuration.model import Configuration
from dewridge.fleet.model import Dispatch
from dewridge.http1.reach import probe_server
from dewridge.ids import (
    ClientAccount,
    Generation,
    HostId,
    ProfileName,
    RequestId,
    RequestKey,
    make_request_id,
)
from dewridge.membership.model import MembershipView, Rumors
from dewridge.membership.ranking import rank_members
from dewridge.metrics.registry import Metrics
from dewridge.peers.model import PeerIdentity, Peers
from dewridge.peers.wire import ttypes as wire
from dewridge.policy.losses import ConnectResult
from dewridge.policy.scheduler import Scheduler
from dewridge.providers.model import KeyValue
from dewridge.requests.acceptance import Acceptor
from dewridge.requests.answers import Answer
from dewridge.requests.attempts import Attempts
from dewridge.requests.claiming import Claimer
from dewridge.requests.codec import check_messages, encode_end
from dewridge.requests.committer import Committer
from dewridge.requests.ending import RequestFinisher
from dewridge.requests.failover import Failover
from dewridge.requests.following import Followers
from dewridge.requests.handlers import ReplicaHandlers
from dewridge.requests.handoff import Handoff, describe_drain
from dewridge.requests.locating import Locator
from dewridge.requests.model import (
    Accepted,
    AnswerEvent,
    RequestStatus,
    Submission,
)
from dewridge.requests.records import Record, find_state
from dewridge.requests.refusals import MemberFailureLog, RefusalConfirmer
from dewridge.requests.replicas import RecordTable
from dewridge.requests.replication import Replicator, make_unconfirmed_end
from dewridge.requests.scheduling import MakeScheduler, Scheduling, Servers
from dewridge.requests.shared import Jobs, Shared
from dewridge.requests.stopping import AttemptStopper, EngineOrders, StopCause
from dewridge.requests.suspects import SuspectRequests
from dewridge.requests.taking import HandoffReceiver
from dewridge.requests.usage import (
    UsageLedger,
    decode_usages,
    encode_usages,
    is_newer,
    sum_counters,
)
from dewridge.sentinels import Failure
from dewridge.settings.schema import RequestSettings
from dewridge.supervision.tree import TaskFunction

CLEANUP_INTERVAL = 2.0
"""Seconds between two removals of expired records and answers."""
MAX_ANSWER_BYTES = 12_000_000
"""Memory limit for ended answers; a fifth of a host's total memory allowance."""
USAGE_INTERVAL = 5.0
"""Seconds between two copies of the usage counters to peers. When a host crashes, at
most the usage of this period is lost."""
USAGE_REPLICAS = 2
"""Number of peers that store a copy of this process's usage counters."""


class RequestService:
    """Accepts, runs, stores and follows requests on one entry host."""

    def __init__(
        self,
        *,
        settings: RequestSettings,
        peers: Peers,
        membership: MembershipView,
        rumors: Rumors,
        key_value: KeyValue,
        key_prefix: str,
        writes_per_second: float,
        configuration: Callable[[], Configuration],
        servers: Servers,
        dispatch: Dispatch,
        admission_gate: Callable[[], Failure | None],
        metrics: Metrics,
        clock: Callable[[], float] = time.time,
        seed: int = 0,
        make_scheduler: MakeScheduler = Scheduler,
        orders: EngineOrders | None = None,
        probe_server: Callable[[str], Awaitable[ConnectResult]] = probe_server,
    ) -> None:
        self._shared = shared = Shared(
            settings=settings,
            peers=peers,
            membership=membership,
            clock=clock,
            metrics=metrics,
            table=RecordTable(membership.local_member.host),
            jobs=Jobs(metrics),
        )
        suspects = SuspectRequests(shared, rumors, probe_server, servers.servers)
        self._usage = UsageLedger()
        self._replicator = Replicator(shared)
        self._scheduling = Scheduling(
            shared,
            configuration=configuration,
            servers=servers,
            make_scheduler=make_scheduler,
            usage=self._usage,
            seed=seed,
        )
        self._committer = Committer(
            shared,
            key_value=key_value,
            prefix=key_prefix,
            writes_per_second=writes_per_second,
        )
        self._claims = Claimer(shared, self._committer)
        self._finisher = RequestFinisher(shared, self._replicator, self._usage)
        self._attempts = Attempts(
            shared,
            replicator=self._replicator,
            scheduling=self._scheduling,
            claims=self._claims,
            finisher=self._finisher,
            servers=servers,
            dispatch=dispatch,
            stopping=AttemptStopper(shared, servers, orders),
            suspects=suspects,
        )
        self._refusals = RefusalConfirmer(shared, MemberFailureLog(shared))
        self._acceptor = Acceptor(
            shared,
            self._replicator,
            self._scheduling,
            self._refusals,
            configuration=configuration,
            admission_gate=admission_gate,
            suspects=suspects,
        )
        self._locator = Locator(shared)
        self._followers = Followers(shared, self._replicator, self._locator)
        self._failover = Failover(
            shared,
            replicator=self._replicator,
            locator=self._locator,
            attempts=self._attempts,
            finisher=self._finisher,
        )
        self._handoff = Handoff(
            shared,
            replicator=self._replicator,
            scheduling=self._scheduling,
            attempts=self._attempts,
            claims=self._claims,
            followers=self._followers,
            failover=self._failover,
        )
        self._handoff_receiver = HandoffReceiver(
            shared,
            replicator=self._replicator,
            attempts=self._attempts,
            claims=self._claims,
        )
        self._handlers = ReplicaHandlers(
            shared,
            self._replicator,
            self._attempts,
            self._usage,
            self._scheduling.sync_usage,
        )
        self._connect()

    def _connect(self) -> None:
        self._shared.table.on_replaced = self._handle_replaced
        self._scheduling.on_abandoned = self._handle_abandoned
        self._finisher.on_not_run = self._attempts.release_claim
        peers = self._shared.peers
        for kind, handler in self._handlers.list_handlers():
            peers.handle(kind, check_messages(handler))
        peers.handle(wire.Follow, self._followers.serve)
        peers.handle(wire.FollowTokens, check_messages(self._followers.receive))
        peers.handle(wire.StopFollow, self._followers.stop)
        peers.handle(wire.Claim, self._claims.serve)
        receive_handoff = self._handoff_receiver.receive_handoff
        peers.handle(wire.Handoff, check_messages(receive_handoff))
        peers.handle(wire.Cancel, self._serve_cancel)

    def list_tasks(self) -> list[tuple[str, TaskFunction]]:
        """Return the names and functions of the tasks that the supervisor runs."""
        return [
            ("jobs", self._shared.jobs.run),
            ("scheduling", self._scheduling.run),
            ("failover", self._failover.run),
            ("claims-cleaning", self._committer.delete_expired_windows),
            ("forgetting", self._run_cleanup),
            ("usage", self._run_usage_copies),
        ]

    async def submit(self, submission: Submission) -> Accepted | Failure:
        """Accept a submission, attach it to the request of its key, or refuse it."""
        return await self._acceptor.submit(submission)

    def follow(
        self,
        account: ClientAccount,
        key: RequestKey,
        generation: Generation,
        offset: int,
    ) -> AbstractAsyncContextManager["trio.MemoryReceiveChannel[AnswerEvent]"]:
        """Stream an answer from an offset on, whichever host owns the request."""
        request = make_request_id(account, key)
        return self._followers.follow(request, generation, offset)

    async def look_up(
        self, account: ClientAccount, key: RequestKey
    ) -> RequestStatus | Failure:
        """Return the status of a request, whichever host owns it."""
        request = make_request_id(account, key)
        await self._followers.fetch_late_answer(request)
        answer = self._followers.find_answer(request)
        if answer is not None:
            return make_status(answer)
        located = await self._locator.locate(request)
        if located is None:
            return Failure(ResultCode.UNKNOWN_REQUEST, "no entry host knows the key")
        record = located.record
        ended = record.ended
        if ended and record.outcome is Outcome.NOT_RUN and not located.is_owner:
            ended = make_unconfirmed_end(ended)
        state = find_state(ended.code) if ended else record.state
        return RequestStatus(request, state, record.generation, located.tokens, ended)

    async def cancel(
        self, account: ClientAccount, key: RequestKey
    ) -> RequestStatus | Failure:
        """Cancel a request as early as possible and return its status."""
        request = make_request_id(account, key)
        answer = self._replicator.find(request)
        if answer is None or answer.lost:
            located = await self._locator.locate(request)
            if located is not None and located.record.ended is None:
                await self._shared.call(
                    located.host,
                    wire.Cancel(request=request),
                    self._shared.settings.replica_timeout * 3,
                )
        else:
            await self._cancel_owned(answer)
        return await self.look_up(account, key)

    async def _cancel_owned(self, answer: Answer) -> None:
        """Cancel a request that this host owns.

        A sent non-idempotent call continues unless its engine confirms that it
        stopped: dropping the connection would make its outcome unknown.
        """
        record = answer.record
        attempt = self._attempts.find(record.request)
        if record.ended is None:
            is_sent = attempt is not None and attempt.dispatched
            code = ResultCode.CANCELLED
            if attempt is not None and is_sent and not record.idempotent:
                if not await self._attempts.stopping.stop_with_confirmation(attempt):
                    return
                code = ResultCode.CANCELLED_RUNNING
            if attempt is not None:
                attempt.stop(StopCause.CANCELLED)
            self._scheduling.withdraw(record)
            cancelled = Failure(code, "cancelled by the caller")
            self._finisher.fail(answer, cancelled)
        with trio.move_on_after(2 * self._shared.settings.replica_timeout):
            while not answer.end_visible and not answer.lost:
                await answer.wait_for_change()

    async def _serve_cancel(
        self, peer: PeerIdentity, message: wire.Cancel
    ) -> wire.CancelReply:
        answer = self._replicator.find(RequestId(message.request))
        if answer is None or answer.lost:
            return wire.CancelReply(found=False)
        await self._cancel_owned(answer)
        record = answer.record
        visible = record.ended if answer.end_visible else None
        return wire.CancelReply(
            found=True, ended=encode_end(visible, record.number) if visible else None
        )

    def _handle_abandoned(self, request: RequestId, failure: Failure) -> None:
        answer = self._replicator.find(request)
        if answer is not None:
            self._finisher.fail(answer, failure)

    def _handle_replaced(self, old: Record, new: Record | None) -> None:
        """Stop this host's work on a record that another owner's record replaced."""
        if not self._shared.is_local_ballot(old.ballot) or old.ended is not None:
            return
        if new is not None and self._shared.is_local_ballot(new.ballot):
            return
        answer = self._replicator.find(old.request)
        if answer is not None and answer.record is old:
            answer.mark_lost()
            self._replicator.remove(answer)
        attempt = self._attempts.find(old.request)
        if attempt is not None and attempt.record is old:
            if attempt.dispatched and not old.idempotent:
                return
            attempt.stop(StopCause.LOST)
        self._scheduling.withdraw(old)
        self._attempts.unpark(old.request)
        self._attempts.release_claim(old)

    async def drain(self, timeout: float, answer_timeout: float = 0.0) -> None:
        """Leave gracefully: finish or hand off every request, then return.

        Args:
            timeout: seconds in which requests are handed off.
            answer_timeout: seconds after that during which answers to calls already
                sent are still awaited.
        """
        await self._handoff.drain(timeout, self._is_accepting, answer_timeout)
        self._scheduling.sync_usage()
        await self._send_usage()

    def _is_accepting(self) -> bool:
        return not self._acceptor.is_idle

    async def _run_cleanup(self) -> None:
        while True:
            await trio.sleep(CLEANUP_INTERVAL)
            table = self._shared.table
            evicted = table.prune(
                self._shared.clock(), self._shared.settings.retention, MAX_ANSWER_BYTES
            )
            self._claims.expire_releases()
            if evicted:
                self._shared.metrics.add("answers_evicted", evicted)
            for answer in self._replicator.list_answers():
                if table.find(answer.record.request) is not answer.record:
                    self._replicator.remove(answer)

    async def _run_usage_copies(self) -> None:
        while True:
            await trio.sleep(USAGE_INTERVAL)
            self._scheduling.sync_usage()
            await self._send_usage()

    async def _send_usage(self) -> None:
        """Copy usage counters to peers, so that they survive the end of this process.

        A leaving host also copies the counters that it stores for other processes.
        """
        local_member = self._shared.local_member
        members = [
            m
            for m in self._shared.membership.members()
            if m.accepts_work and m.host != local_member.host
        ]
        local_usage = self._usage.read_local()
        usage_by_process = {(local_member.host, local_member.incarnation): local_usage}
        if self._shared.leaving:
            usage_by_process |= self._usage.read_remote()
        for member in rank_members(f"usage/{local_member.host}", members)[
            :USAGE_REPLICAS
        ]:
            for process, usages in usage_by_process.items():
                if usages:
                    message = encode_usages(process, usages)
                    await self._shared.call(member.host, message)

    def read_usage(self) -> dict[str, dict[str, float]]:
        """Return counters by profile: this process's plus those stored for others."""
        self._scheduling.sync_usage()
        return self._usage.sum_all()

    async def read_usage_everywhere(self, profile: ProfileName) -> dict[str, float]:
        """Return the sum of a profile's counters over all processes."""
        self._scheduling.sync_usage()
        local_member = self._shared.local_member
        newest = self._usage.read_remote()
        newest[local_member.host, local_member.incarnation] = self._usage.read_local()

        async def query(host: HostId) -> None:
            reply = await self._shared.call(host, wire.ReadUsage(profile=profile))
            if isinstance(reply, Failure):
                return
            for message in reply.usages:
                process, usages = decode_usages(message)
                known_counters = newest.get(process, {}).get(profile, {})
                is_self = process == (local_member.host, local_member.incarnation)
                if not is_self and is_newer(usages, {str(profile): known_counters}):
                    newest[process] = usages

        async with trio.open_nursery() as nursery:
            for member in self._shared.membership.members():
                if member.host != local_member.host:
                    nursery.start_soon(query, member.host)
        return sum_counters(list(newest.values())).get(profile, {})

    async def describe(self) -> dict[str, Any]:
        """Return the state for a diagnostic dump, without inputs and answers."""
        return {
            "records": self._shared.table.count(),
            "drain": describe_drain(self._shared, self._followers),
            "streams": self._followers.describe(),
            "claims": self._committer.describe(),
            "services": self._scheduling.describe(),
        }


def make_status(answer: Answer) -> RequestStatus:
    """Return the status of an answer that its callers may see."""
    record = answer.record
    ended = record.ended if answer.end_visible else None
    state = find_state(ended.code) if ended else record.state
    return RequestStatus(
        record.request, state, record.generation, answer.visible_tokens, ended
    )
