"""Copies of this host's requests on their replicas: one sender for each peer."""

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

FRAME_TOKENS = 20_000
"""Tokens in one frame, about a megabyte; far below the frame limit, and small
enough that the acknowledgements of other streams do not wait behind it."""
WHOLE_COPIES = 4
"""Whole records sent to one peer side by side. After the loss of a failure
domain each host copies thousands anew; all at once they would fill the peers'
connections and hold up the tokens of running streams."""
FAILURES_TO_REPLACE = 2
"""Calls in a row that fail before another replica is chosen. One slow call is
common; two are 1 s at the default timeout, as long as a membership's suspicion."""
RETRY_PAUSE = 0.05


class Replicator:
    """Keeps the replicas of this host's requests up to date.

    Attributes:
        on_superseded: told of a record that another ownership has replaced.
    """

    def __init__(self, shared: Shared) -> None:
        self._shared = shared
        self._answers: dict[RequestId, Answer] = {}
        self._senders: dict[HostId, PeerSender] = {}
        self.on_superseded: Callable[[Record], None] = lambda _: None

    def find(self, request: RequestId) -> Answer | None:
        """Return the answer to a request of this host, live or just ended."""
        return self._answers.get(request)

    def add(self, answer: Answer) -> None:
        """Keep an answer's replicas up to date from now on."""
        self._answers[answer.record.request] = answer

    def remove(self, answer: Answer) -> None:
        """Stop caring for an answer."""
        if self._answers.get(answer.record.request) is answer:
            del self._answers[answer.record.request]

    def list_answers(self) -> list[Answer]:
        """Return the answers that this host cares for."""
        return list(self._answers.values())

    def note(self, answer: Answer) -> None:
        """Send what is new in an answer to its replicas."""
        if answer.lost:
            return
        if answer.detached:
            answer.show_all()
        hosts = set(answer.record.replicas)
        if answer.record.outcome is Outcome.NOT_RUN:
            hosts |= answer.holders
        for host in hosts:
            self._find_sender(host).note(answer.record.request)

    def _find_sender(self, host: HostId) -> "PeerSender":
        sender = self._senders.get(host)
        if sender is None:
            sender = PeerSender(self._shared, self, host)
            self._senders[host] = sender
            self._shared.jobs.start(sender.run)
        return sender

    def send_whole(self, host: HostId, request: RequestId) -> None:
        """Send a peer a whole record."""
        self._find_sender(host).note_whole(request)

    def choose(self, record: Record, avoid: frozenset[HostId] = frozenset()) -> None:
        """Choose the replicas that a record should have now."""
        members = [
            member
            for member in self._shared.membership.members()
            if member.host not in avoid
        ]
        chosen = choose_replicas(
            record.request,
            self._shared.me,
            members,
            self._shared.settings.replicas,
        )
        record.replicas = tuple(member.host for member in chosen)

    def repair(self, answer: Answer, avoid: frozenset[HostId] = frozenset()) -> None:
        """Choose replicas anew after a member came, went or fell silent."""
        before = answer.record.replicas
        self.choose(answer.record, avoid)
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
                self.renew(answer)
            for host in after:
                self._find_sender(host).note_whole(answer.record.request)

    def renew(self, answer: Answer) -> None:
        """Begin a new generation where a replica has more of the present one."""
        renew_generation(answer.record)
        answer.acked_tokens.clear()
        answer.visible_tokens = 0
        answer.notify_followers()
        for host in answer.record.replicas:
            self._find_sender(host).note_whole(answer.record.request)

    async def settle_end(self, answer: Answer) -> None:
        """See to it that callers hear of an end soon, in words that hold.

        A replica that never acknowledges would otherwise keep the final answer
        from its caller. What is told then is still true: "not run" turns into
        "unknown", and a whole answer is shown under its own generation.
        """
        self.note(answer)
        with trio.move_on_after(self._shared.settings.replica_timeout):
            while not answer.end_visible and not answer.lost:
                await answer.wait_for_change()
        if answer.end_visible or answer.lost:
            return
        record = answer.record
        if record.ended is not None and record.outcome is Outcome.NOT_RUN:
            record.ended = make_unconfirmed(record.ended)
            answer.end_acked.clear()
            self._shared.metrics.add("requests_unconfirmed_refusals")
            for host in record.replicas:
                self._find_sender(host).note_whole(record.request)
        answer.detach()


def make_unconfirmed(ended: EndedEvent) -> EndedEvent:
    """Turn a "not run" that a replica did not confirm into "unknown"."""
    return EndedEvent(
        ResultCode.OUTCOME_UNKNOWN,
        f"{ended.reason}; a replica did not confirm that it will not run",
        retry_after=ended.retry_after or 1.0,
        summary=ended.summary,
    )


class PeerSender:
    """The task that sends one peer its copies, one frame at a time."""

    def __init__(self, shared: Shared, replicator: Replicator, host: HostId) -> None:
        self._shared = shared
        self._replicator = replicator
        self._host = host
        self._dirty: dict[RequestId, None] = {}
        self._whole: dict[RequestId, None] = {}
        self._wake = trio.Event()
        self._failures = 0

    def note(self, request: RequestId) -> None:
        """Send what is new in a request with the next frame."""
        self._dirty[request] = None
        self._wake.set()

    def note_whole(self, request: RequestId) -> None:
        """Send the whole record."""
        self._whole[request] = None
        self._wake.set()

    async def run(self) -> None:
        """Send frames while there is something to send."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            if self._whole:
                await self._send_whole_records()
            if self._dirty:
                await self._send_tokens()
            if self._dirty or self._whole:
                self._wake.set()
            pause = RETRY_PAUSE if self._failures else self._shared.settings.token_batch
            await trio.sleep(pause)

    async def _send_tokens(self) -> None:
        sent = self._gather()
        if not sent:
            return
        message = wire.ReplicateTokens(runs=[run for _, run in sent])
        reply = await self._shared.call(self._host, message)
        if isinstance(reply, Failure):
            for answer, _ in sent:
                self._dirty[answer.record.request] = None
            self._note_failure([answer for answer, _ in sent])
            return
        self._failures = 0
        unknown = set(reply.unknown)
        superseded = set(reply.superseded)
        for answer, run in sent:
            if run.request in superseded:
                self._give_up(answer)
            elif run.request in unknown:
                self.note_whole(answer.record.request)
            else:
                self._acknowledge(answer, run)

    def _gather(self) -> list[tuple[Answer, Any]]:
        sent: list[tuple[Answer, Any]] = []
        count = 0
        for request in list(self._dirty):
            if count >= FRAME_TOKENS:
                break
            del self._dirty[request]
            answer = self._replicator.find(request)
            if answer is None or answer.lost:
                continue
            if self._host not in answer.acked_tokens:
                self._whole[request] = None
                continue
            run = make_run(answer.record, answer.acked_tokens[self._host])
            count += len(run.tokens)
            sent.append((answer, run))
        return sent

    def _acknowledge(self, answer: Answer, run: Any) -> None:
        tokens = run.offset + len(run.tokens)
        answer.acknowledge(self._host, run.generation, tokens, run.ended is not None)
        record = answer.record
        if len(record.tokens) > tokens or (record.ended and run.ended is None):
            self._dirty[record.request] = None

    async def _send_whole_records(self) -> None:
        batch = list(self._whole)[:WHOLE_COPIES]
        async with trio.open_nursery() as nursery:
            for request in batch:
                del self._whole[request]
                answer = self._replicator.find(request)
                if answer is not None and not answer.lost:
                    nursery.start_soon(self._send_whole, answer)

    async def _send_whole(self, answer: Answer) -> None:
        message = make_copy(answer.record)
        answer.holders.add(self._host)
        reply = await self._shared.call(self._host, message)
        if isinstance(reply, Failure):
            if self._host in answer.record.replicas:
                self._whole[answer.record.request] = None
            self._note_failure([answer])
            return
        self._failures = 0
        if reply.stored:
            generation = message.record.generation
            tokens = len(message.tokens)
            ended = message.ended is not None
            answer.acknowledge(self._host, generation, tokens, ended)
            answer.extend_trusted(self._host, set(message.record.replicas))
            self._dirty[answer.record.request] = None
        else:
            self._give_up(answer, reply)

    def _give_up(self, answer: Answer, reply: Any = None) -> None:
        """Stop an ownership that a replica knows to be superseded.

        Happens when this process was paused and woke up after a takeover. If
        it went on, callers here would read tokens that nobody else continues.
        """
        if answer.end_visible or answer.lost:
            return
        known = None
        if reply is not None and reply.known is not None:
            known = decode_record(reply.known)
            if reply.ended is not None:
                known.ended = decode_end(reply.ended)
            if known.ballot < answer.record.ballot and known.ended is None:
                self._replicator.renew(answer)
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
        self._shared.table.lose(answer.record, self._shared.clock())
        self._replicator.on_superseded(answer.record)

    def _note_failure(self, answers: list[Answer]) -> None:
        self._failures += 1
        self._shared.metrics.add("replication_failures", peer=self._host)
        if self._failures < FAILURES_TO_REPLACE:
            return
        for answer in answers:
            if not answer.lost and not answer.end_visible:
                self._replicator.repair(answer, frozenset([self._host]))


def make_run(record: Record, offset: int) -> Any:
    """Return the tokens and the end that a replica lacks."""
    ended = encode_end(record.ended, record.number) if record.ended else None
    return wire.TokenRun(
        request=record.request,
        generation=record.generation,
        offset=offset,
        tokens=record.tokens[offset:],
        ended=ended,
        epoch=record.ballot.epoch,
    )


def make_copy(record: Record, supersedes: int = 0) -> Any:
    """Return a whole record as a message."""
    ended = encode_end(record.ended, record.number) if record.ended else None
    return wire.Replicate(
        record=encode_record(record),
        tokens=list(record.tokens),
        ended=ended,
        supersedes=supersedes,
    )
