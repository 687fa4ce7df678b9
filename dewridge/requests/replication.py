"""Replication of this host's requests: one sender task for each peer."""

from collections.abc import Callable
from typing import Any

import trio
from loguru import logger as log

from dewridge.codes import Outcome, ResultCode
from dewridge.ids import HostId, RequestId
from dewridge.membership.ranking import choose_replicas
from dewridge.peers.wire import ttypes as wire
from dewridge.requests.answers import Answer, renew_generation
from dewridge.requests.codec import decode_end, decode_record, encode_end, encode_record
from dewridge.requests.model import EndedEvent
from dewridge.requests.records import Record
from dewridge.requests.shared import Shared
from dewridge.sentinels import Failure

TARGET_FRAME_TOKENS = 20_000
"""Number of tokens after which no further request is added to a frame. They take
about a megabyte: far below the frame limit, and small enough not to delay the
acknowledgements of other streams."""
MAX_CONCURRENT_RECORDS = 4
"""Full records sent to one peer concurrently. After the loss of a failure domain
each host replicates thousands again; sent all at once they would fill the peers'
connections and delay the tokens of running streams."""
FAILURES_BEFORE_REPLACEMENT = 2
"""Consecutive failed calls after which another replica is chosen. One slow call is
common; two take 1 s at the default timeout, as long as the membership's suspicion
period."""
RETRY_PAUSE = 0.05
"""Seconds between two frames to a peer while calls to it fail."""


class Replicator:
    """Keeps the replicas of the requests that this host owns up to date.

    Attributes:
        on_superseded: called with each record that another ownership has replaced.
    """

    def __init__(self, shared: Shared) -> None:
        self._shared = shared
        self._answers: dict[RequestId, Answer] = {}
        self._senders: dict[HostId, PeerSender] = {}
        self.on_superseded: Callable[[Record], None] = lambda _: None

    def find(self, request: RequestId) -> Answer | None:
        """Return the answer to a request, or None if it is not replicated from here."""
        return self._answers.get(request)

    def add(self, answer: Answer) -> None:
        """Start replicating an answer."""
        self._answers[answer.record.request] = answer

    def remove(self, answer: Answer) -> None:
        """Stop replicating an answer."""
        if self._answers.get(answer.record.request) is answer:
            del self._answers[answer.record.request]

    def list_answers(self) -> list[Answer]:
        """Return the answers that are replicated from here."""
        return list(self._answers.values())

    def queue_update(self, answer: Answer) -> None:
        """Queue what is new in an answer for sending to its replicas."""
        if answer.lost:
            return
        if answer.detached:
            answer.show_all()
        hosts = set(answer.record.replicas)
        if answer.record.outcome is Outcome.NOT_RUN:
            hosts |= answer.holders
        for host in hosts:
            self._get_sender(host).queue_update(answer.record.request)

    def _get_sender(self, host: HostId) -> "PeerSender":
        sender = self._senders.get(host)
        if sender is None:
            sender = PeerSender(self._shared, self, host)
            self._senders[host] = sender
            self._shared.jobs.start(sender.run)
        return sender

    def queue_full_record(self, host: HostId, request: RequestId) -> None:
        """Queue a full record for sending to a peer."""
        self._get_sender(host).queue_full_record(request)

    def assign_replicas(
        self, record: Record, excluded: frozenset[HostId] = frozenset()
    ) -> None:
        """Set a record's replicas according to the current membership."""
        members = [
            member
            for member in self._shared.membership.members()
            if member.host not in excluded
        ]
        chosen = choose_replicas(
            record.request,
            self._shared.local_member,
            members,
            self._shared.settings.replicas,
        )
        record.replicas = tuple(member.host for member in chosen)

    def reassign_replicas(
        self, answer: Answer, excluded: frozenset[HostId] = frozenset()
    ) -> None:
        """Update an answer's replicas after a member joined, left or became silent."""
        before = answer.record.replicas
        self.assign_replicas(answer.record, excluded)
        after = answer.record.replicas
        if not after:
            answer.record.replicas = before
            answer.detach()
            return
        if set(after) != set(before):
            self._shared.metrics.add("requests_rereplicated")
            for host in set(before) - set(after):
                answer.acked_tokens.pop(host, None)
            if answer.replace_replicas(set(after)):
                self.begin_generation(answer)
            for host in after:
                self._get_sender(host).queue_full_record(answer.record.request)

    def begin_generation(self, answer: Answer) -> None:
        """Begin a new generation and send it to all replicas.

        This is needed if a replica may hold more tokens of the present generation.
        """
        renew_generation(answer.record)
        answer.acked_tokens.clear()
        answer.visible_tokens = 0
        answer.notify_followers()
        for host in answer.record.replicas:
            self._get_sender(host).queue_full_record(answer.record.request)

    async def publish_end(self, answer: Answer) -> None:
        """Replicate an end and show it to callers within the replica timeout.

        A replica that never acknowledges would otherwise withhold the end from
        callers. What they get after the timeout is still correct: "not run" becomes
        "unknown", and a complete answer is shown under a generation of its own.
        """
        self.queue_update(answer)
        with trio.move_on_after(self._shared.settings.replica_timeout):
            while not answer.end_visible and not answer.lost:
                await answer.wait_for_change()
        if answer.end_visible or answer.lost:
            return
        record = answer.record
        if record.ended is not None and record.outcome is Outcome.NOT_RUN:
            record.ended = make_unconfirmed_end(record.ended)
            answer.end_acked.clear()
            self._shared.metrics.add("requests_unconfirmed_refusals")
            for host in record.replicas:
                self._get_sender(host).queue_full_record(record.request)
        answer.detach()


def make_unconfirmed_end(ended: EndedEvent) -> EndedEvent:
    """Return the end "unknown" for a "not run" that a replica did not confirm."""
    return EndedEvent(
        ResultCode.OUTCOME_UNKNOWN,
        f"{ended.reason}; a replica did not confirm that it will not run",
        retry_after=ended.retry_after or 1.0,
        summary=ended.summary,
    )


class PeerSender:
    """Sends one peer the records and tokens that it replicates, a frame at a time."""

    def __init__(self, shared: Shared, replicator: Replicator, host: HostId) -> None:
        self._shared = shared
        self._replicator = replicator
        self._host = host
        self._pending_updates: dict[RequestId, None] = {}
        self._pending_records: dict[RequestId, None] = {}
        self._wake = trio.Event()
        self._failures = 0

    def queue_update(self, request: RequestId) -> None:
        """Send what is new in a request with one of the next frames."""
        self._pending_updates[request] = None
        self._wake.set()

    def queue_full_record(self, request: RequestId) -> None:
        """Send the full record of a request."""
        self._pending_records[request] = None
        self._wake.set()

    async def run(self) -> None:
        """Send queued records and tokens until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            if self._pending_records:
                await self._send_full_records()
            if self._pending_updates:
                await self._send_token_runs()
            if self._pending_updates or self._pending_records:
                self._wake.set()
            pause = RETRY_PAUSE if self._failures else self._shared.settings.token_batch
            await trio.sleep(pause)

    async def _send_token_runs(self) -> None:
        batch = self._collect_runs()
        if not batch:
            return
        message = wire.ReplicateTokens(runs=[run for _, run in batch])
        reply = await self._shared.call(self._host, message)
        if isinstance(reply, Failure):
            for answer, _ in batch:
                self._pending_updates[answer.record.request] = None
            self._record_failure([answer for answer, _ in batch])
            return
        self._failures = 0
        unknown = set(reply.unknown)
        superseded = set(reply.superseded)
        for answer, run in batch:
            if run.request in superseded:
                self._handle_superseded(answer)
            elif run.request in unknown:
                self.queue_full_record(answer.record.request)
            else:
                self._acknowledge(answer, run)

    def _collect_runs(self) -> list[tuple[Answer, Any]]:
        batch: list[tuple[Answer, Any]] = []
        count = 0
        for request in list(self._pending_updates):
            if count >= TARGET_FRAME_TOKENS:
                break
            del self._pending_updates[request]
            answer = self._replicator.find(request)
            if answer is None or answer.lost:
                continue
            if self._host not in answer.acked_tokens:
                self._pending_records[request] = None
                continue
            run = make_token_run(answer.record, answer.acked_tokens[self._host])
            count += len(run.tokens)
            batch.append((answer, run))
        return batch

    def _acknowledge(self, answer: Answer, run: Any) -> None:
        tokens = run.offset + len(run.tokens)
        answer.acknowledge(self._host, run.generation, tokens, run.ended is not None)
        record = answer.record
        if len(record.tokens) > tokens or (record.ended and run.ended is None):
            self._pending_updates[record.request] = None

    async def _send_full_records(self) -> None:
        batch = list(self._pending_records)[:MAX_CONCURRENT_RECORDS]
        async with trio.open_nursery() as nursery:
            for request in batch:
                del self._pending_records[request]
                answer = self._replicator.find(request)
                if answer is not None and not answer.lost:
                    nursery.start_soon(self._send_full_record, answer)

    async def _send_full_record(self, answer: Answer) -> None:
        message = make_replicate_message(answer.record)
        answer.holders.add(self._host)
        reply = await self._shared.call(self._host, message)
        if isinstance(reply, Failure):
            if self._host in answer.record.replicas:
                self._pending_records[answer.record.request] = None
            self._record_failure([answer])
            return
        self._failures = 0
        if reply.stored:
            generation = message.record.generation
            tokens = len(message.tokens)
            ended = message.ended is not None
            answer.acknowledge(self._host, generation, tokens, ended)
            answer.extend_trusted(self._host, set(message.record.replicas))
            self._pending_updates[answer.record.request] = None
        else:
            self._handle_superseded(answer, reply)

    def _handle_superseded(self, answer: Answer, reply: Any = None) -> None:
        """End an ownership that a replica reports as superseded.

        This happens when this process was paused and resumed after a takeover. If it
        continued, its callers would read tokens that no other host continues.

        A replica also rejects a record with fewer tokens than the one that it holds of
        an older ownership; a new generation then begins instead.
        """
        if answer.end_visible or answer.lost:
            return
        known = None
        if reply is not None and reply.known is not None:
            known = decode_record(reply.known)
            if reply.ended is not None:
                known.ended = decode_end(reply.ended)
            if known.ballot < answer.record.ballot and known.ended is None:
                self._replicator.begin_generation(answer)
                return
        log.info(
            "request {}: epoch {} is superseded at {}",
            answer.record.request,
            answer.record.ballot.epoch,
            self._host,
        )
        self._shared.metrics.add("requests_superseded")
        answer.mark_lost()
        self._replicator.remove(answer)
        self._shared.table.drop_superseded(answer.record, self._shared.clock())
        self._replicator.on_superseded(answer.record)

    def _record_failure(self, answers: list[Answer]) -> None:
        self._failures += 1
        self._shared.metrics.add("replication_failures", peer=self._host)
        if self._failures < FAILURES_BEFORE_REPLACEMENT:
            return
        for answer in answers:
            if not answer.lost and not answer.end_visible:
                self._replicator.reassign_replicas(answer, frozenset([self._host]))


def make_token_run(record: Record, offset: int) -> Any:
    """Return the message part with the tokens and the end that a replica lacks."""
    ended = encode_end(record.ended, record.number) if record.ended else None
    return wire.TokenRun(
        request=record.request,
        generation=record.generation,
        offset=offset,
        tokens=record.tokens[offset:],
        ended=ended,
        epoch=record.ballot.epoch,
        version=record.version,
    )


def make_replicate_message(record: Record, supersedes: int = 0) -> Any:
    """Return the message that replicates a full record."""
    ended = encode_end(record.ended, record.number) if record.ended else None
    return wire.Replicate(
        record=encode_record(record),
        tokens=list(record.tokens),
        ended=ended,
        supersedes=supersedes,
    )
