"""The requests part of an entry host: wiring of its modules and its interface."""

import time
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import Any

import trio

from dewridge.codes import Outcome, ResultCode
from dewridge.configuration.model import Configuration
from dewridge.fleet.model import Dispatch
from dewridge.http1.reach import look
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
from dewridge.requests.codec import encode_end
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
from dewridge.requests.refusals import FailureLog, Refuser
from dewridge.requests.replicas import RecordTable
from dewridge.requests.replication import Replicator, make_unconfirmed
from dewridge.requests.scheduling import MakeScheduler, Scheduling, Servers
from dewridge.requests.shared import Jobs, Shared
from dewridge.requests.stopping import EngineOrders, StopCause, Stopping
from dewridge.requests.suspects import SuspectRequests
from dewridge.requests.taking import Taker
from dewridge.requests.usage import (
    UsageLedger,
    decode_usages,
    encode_usages,
    is_newer,
    sum_counters,
)
from dewridge.sentinels import Failure
from dewridge.settings.schema import RequestSettings
from dewridge.supervision.tree import Run

FORGET_PERIOD = 2.0
ANSWER_BYTES = 12_000_000
"""Memory for answers that have ended; a fifth of a host's whole allowance."""
USAGE_PERIOD = 5.0
"""Seconds between two copies of the usage counters to peers; a host that dies
takes at most this much of the accounts with it."""
USAGE_KEEPERS = 2


class RequestService:
    """Accepts, runs, keeps and follows requests on one entry host."""

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
        look: Callable[[str], Awaitable[ConnectResult]] = look,
    ) -> None:
        self._shared = shared = Shared(
            settings=settings,
            peers=peers,
            membership=membership,
            clock=clock,
            metrics=metrics,
            table=RecordTable(membership.me.host),
            jobs=Jobs(metrics),
        )
        suspects = SuspectRequests(shared, rumors, look)
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
        self._ender = RequestFinisher(shared, self._replicator, self._usage)
        self._attempts = Attempts(
            shared,
            replicator=self._replicator,
            scheduling=self._scheduling,
            claims=self._claims,
            ender=self._ender,
            servers=servers,
            dispatch=dispatch,
            stopping=Stopping(shared, servers, orders),
            suspects=suspects,
        )
        self._refuser = Refuser(shared, FailureLog(shared))
        self._acceptor = Acceptor(
            shared,
            self._replicator,
            self._scheduling,
            self._refuser,
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
            finisher=self._ender,
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
        self._taker = Taker(
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
            self._scheduling.read_usage,
        )
        self._connect()

    def _connect(self) -> None:
        self._shared.table.on_replaced = self._note_replaced
        self._scheduling.on_abandoned = self._note_abandoned
        self._ender.on_not_run = self._attempts.release
        peers = self._shared.peers
        for kind, handler in self._handlers.list_handlers():
            peers.handle(kind, handler)
        peers.handle(wire.Follow, self._followers.serve)
        peers.handle(wire.FollowTokens, self._followers.receive)
        peers.handle(wire.StopFollow, self._followers.stop)
        peers.handle(wire.Claim, self._claims.serve)
        peers.handle(wire.Handoff, self._taker.take)
        peers.handle(wire.Cancel, self._serve_cancel)

    def list_tasks(self) -> list[tuple[str, Run]]:
        """Return the tasks for the supervisor."""
        return [
            ("jobs", self._shared.jobs.run),
            ("scheduling", self._scheduling.run),
            ("failover", self._failover.run),
            ("claims-cleaning", self._committer.delete_expired_windows),
            ("forgetting", self._forget),
            ("usage", self._spread_usage),
        ]

    async def submit(self, submission: Submission) -> Accepted | Failure:
        """Accept a request, join the one that runs, or refuse it."""
        return await self._acceptor.submit(submission)

    def follow(
        self,
        account: ClientAccount,
        key: RequestKey,
        generation: Generation,
        offset: int,
    ) -> AbstractAsyncContextManager["trio.MemoryReceiveChannel[AnswerEvent]"]:
        """Stream an answer from a place on, wherever it runs."""
        request = make_request_id(account, key)
        return self._followers.follow(request, generation, offset)

    async def look_up(
        self, account: ClientAccount, key: RequestKey
    ) -> RequestStatus | Failure:
        """Say how far a request has come."""
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
            ended = make_unconfirmed(ended)
        state = find_state(ended.code) if ended else record.state
        return RequestStatus(request, state, record.generation, located.tokens, ended)

    async def cancel(
        self, account: ClientAccount, key: RequestKey
    ) -> RequestStatus | Failure:
        """End a request as soon as may be; says what became of it."""
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
            await self._cancel_here(answer)
        return await self.look_up(account, key)

    async def _cancel_here(self, answer: Answer) -> None:
        """Cancel a request of this host.

        A call that may not be repeated and was sent goes on unless its engine
        confirms the stop: to listen no more would make its outcome unknown.
        """
        record = answer.record
        attempt = self._attempts.find(record.request)
        if record.ended is None:
            sent = attempt is not None and attempt.dispatched
            code = ResultCode.CANCELLED
            if attempt is not None and sent and not record.idempotent:
                if not await self._attempts.stopping.stop_surely(attempt):
                    return
                code = ResultCode.CANCELLED_RUNNING
            if attempt is not None:
                attempt.stop(StopCause.CANCELLED)
            self._scheduling.withdraw(record)
            cancelled = Failure(code, "cancelled by the caller")
            self._ender.fail(answer, cancelled)
        with trio.move_on_after(2 * self._shared.settings.replica_timeout):
            while not answer.end_visible and not answer.lost:
                await answer.wait_for_change()

    async def _serve_cancel(
        self, peer: PeerIdentity, message: wire.Cancel
    ) -> wire.CancelReply:
        answer = self._replicator.find(RequestId(message.request))
        if answer is None or answer.lost:
            return wire.CancelReply(found=False)
        await self._cancel_here(answer)
        record = answer.record
        visible = record.ended if answer.end_visible else None
        return wire.CancelReply(
            found=True, ended=encode_end(visible, record.number) if visible else None
        )

    def _note_abandoned(self, request: RequestId, failure: Failure) -> None:
        answer = self._replicator.find(request)
        if answer is not None:
            self._ender.fail(answer, failure)

    def _note_replaced(self, old: Record, new: Record | None) -> None:
        """Stop this host's work on a record that another ownership replaced."""
        if not self._shared.is_own(old.ballot) or old.ended is not None:
            return
        if new is not None and self._shared.is_own(new.ballot):
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
        self._attempts.release(old)

    async def drain(self, timeout: float, patience: float = 0.0) -> None:
        """Leave gracefully: finish or hand off every request, then return.

        Args:
            timeout: seconds in which requests are handed off.
            patience: seconds after that in which answers to calls that were sent
                may still come.
        """
        await self._handoff.drain(timeout, self._is_accepting, patience)
        self._scheduling.read_usage()
        await self._send_usage()

    def _is_accepting(self) -> bool:
        return not self._acceptor.is_idle

    async def _forget(self) -> None:
        while True:
            await trio.sleep(FORGET_PERIOD)
            table = self._shared.table
            evicted = table.forget(
                self._shared.clock(), self._shared.settings.retention, ANSWER_BYTES
            )
            self._claims.expire_releases()
            if evicted:
                self._shared.metrics.add("answers_evicted", evicted)
            for answer in self._replicator.list_answers():
                if table.find(answer.record.request) is not answer.record:
                    self._replicator.remove(answer)

    async def _spread_usage(self) -> None:
        while True:
            await trio.sleep(USAGE_PERIOD)
            self._scheduling.read_usage()
            await self._send_usage()

    async def _send_usage(self) -> None:
        """Leave this process's counters with peers, so that they outlast it."""
        me = self._shared.me
        members = [
            m
            for m in self._shared.membership.members()
            if m.takes_work and m.host != me.host
        ]
        own = self._usage.read_own()
        sources = {(me.host, me.incarnation): own}
        if self._shared.leaving:
            sources |= self._usage.read_kept()
        for member in rank_members(f"usage/{me.host}", members)[:USAGE_KEEPERS]:
            for source, usages in sources.items():
                if usages:
                    message = encode_usages(source, usages)
                    await self._shared.call(member.host, message)

    def read_usage(self) -> dict[str, dict[str, float]]:
        """Return what each profile cost and lost here, inherited counts included."""
        self._scheduling.read_usage()
        return self._usage.sum_up()

    async def read_usage_everywhere(self, profile: ProfileName) -> dict[str, float]:
        """Sum a profile's counters over all processes that counted them."""
        self._scheduling.read_usage()
        me = self._shared.me
        newest = self._usage.read_kept()
        newest[me.host, me.incarnation] = self._usage.read_own()

        async def ask(host: HostId) -> None:
            reply = await self._shared.call(host, wire.ReadUsage(profile=profile))
            if isinstance(reply, Failure):
                return
            for message in reply.usages:
                source, usages = decode_usages(message)
                mine = newest.get(source, {}).get(profile, {})
                is_me = source == (me.host, me.incarnation)
                if not is_me and is_newer(usages, {str(profile): mine}):
                    newest[source] = usages

        async with trio.open_nursery() as nursery:
            for member in self._shared.membership.members():
                if member.host != me.host:
                    nursery.start_soon(ask, member.host)
        return sum_counters(list(newest.values())).get(profile, {})

    async def describe(self) -> dict[str, Any]:
        """Return the state for a dump: counts and figures, no inputs or answers."""
        return {
            "records": self._shared.table.count(),
            "drain": describe_drain(self._shared, self._followers),
            "streams": self._followers.describe(),
            "claims": self._committer.describe(),
            "services": self._scheduling.describe(),
        }


def make_status(answer: Answer) -> RequestStatus:
    """Return the status of an answer as its callers may see it."""
    record = answer.record
    ended = record.ended if answer.end_visible else None
    state = find_state(ended.code) if ended else record.state
    return RequestStatus(
        record.request, state, record.generation, answer.visible_tokens, ended
    )
