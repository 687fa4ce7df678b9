"""Answers on their owner: what callers may see of them, and who follows them."""

from collections.abc import Awaitable, Callable
from enum import Enum

import trio

from dewridge.codes import Outcome
from dewridge.ids import Generation, HostId
from dewridge.requests.model import (
    AnswerEvent,
    RestartEvent,
    TokensEvent,
)
from dewridge.requests.records import Ballot, Record, make_generation

TOKENS_PER_EVENT = 256
"""Tokens in one event; a caller that resumes a long answer would otherwise be
sent it in one piece, and all other streams of the host would wait for that."""


class CloseReason(Enum):
    """Why following an answer here came to its end."""

    ENDED = "ended"
    LOST = "lost"
    """Another host owns the request now."""
    LEAVING = "leaving"
    """This host goes."""


class Answer:
    """The answer to one request that this host owns, or holds whole.

    Attributes:
        visible_tokens: tokens that a replica has acknowledged. Callers see no more,
            so that whoever takes over has all that a caller saw.
        trusted: replicas whose acknowledgement counts. A successor must learn of
            each of them from the others, or it would go on without the tokens
            that only that one has.
        holders: hosts that may hold a copy, also ones replaced since.
        former_replicas: replicas of earlier owners; they may hold an end that this one missed.
        accepted: set once a replica holds the record, or the answer is lost.
        detached: no replica can be had; tokens are shown as they come, under a
            generation that nobody else continues.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.acked_tokens: dict[HostId, int] = {}
        self.end_acked: set[HostId] = set()
        self.holders: set[HostId] = set()
        self.former_replicas: set[HostId] = set()
        self.trusted = set(record.replicas)
        self.visible_tokens = 0
        self.end_visible = False
        self.lost = False
        self.detached = False
        self.accepted = trio.Event()
        self._changed = trio.Event()

    async def wait_for_change(self) -> None:
        """Wait until something changes."""
        await self._changed.wait()

    def notify_followers(self) -> None:
        """Wake the followers."""
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def acknowledge(
        self, host: HostId, generation: Generation, tokens: int, ended: bool
    ) -> None:
        """Record what a replica holds."""
        if self.lost or generation != self.record.generation:
            return
        self.acked_tokens[host] = max(tokens, self.acked_tokens.get(host, 0))
        if ended:
            self.end_acked.add(host)
        self._show()

    def replace_replicas(self, after: set[HostId]) -> bool:
        """Note other replicas; whether the answer needs a new generation.

        It does if none of the old ones stays: a successor among those would go
        on without ever hearing of the new ones, under the same generation.
        """
        self.trusted &= after
        if not self.trusted:
            self.trusted = set(self.record.replicas)
            return True
        return False

    def extend_trusted(self, host: HostId, replicas: set[HostId]) -> None:
        """Count all of a record's replicas, since one that counts knows them."""
        if host in self.trusted:
            self.trusted |= replicas
            self._show()

    def _show(self) -> None:
        counted = [n for host, n in self.acked_tokens.items() if host in self.trusted]
        self.visible_tokens = max([self.visible_tokens, *counted])
        self._show_end()
        self.notify_followers()

    def _show_end(self) -> None:
        """Let callers see the end as soon as that is safe.

        "Not run" needs the word of all that hold a copy: one that has not heard
        it would take the request over after this host's death and run what the
        caller was told was not run. Any other end needs one.
        """
        record = self.record
        if record.ended is None or self.end_visible:
            return
        if record.outcome is Outcome.NOT_RUN:
            self.end_visible = self.end_acked >= self.holders
        elif self.end_acked & self.trusted:
            self.visible_tokens = len(record.tokens)
            self.end_visible = True

    def show_all(self) -> None:
        """Show everything now, acknowledged or not."""
        self.visible_tokens = len(self.record.tokens)
        self.end_visible = self.record.ended is not None
        self.notify_followers()

    def detach(self) -> None:
        """Go on without replicas, under a generation of this process alone."""
        if not self.detached:
            self.detached = True
            renew_generation(self.record)
            self.acked_tokens.clear()
        self.show_all()

    def mark_lost(self) -> None:
        """Tell followers that another host owns the request."""
        if not self.end_visible:
            self.lost = True
            self.accepted.set()
            self.notify_followers()

    async def stream(
        self,
        generation: Generation,
        offset: int,
        emit: Callable[[AnswerEvent], Awaitable[None]],
        is_leaving: Callable[[], bool],
    ) -> tuple[CloseReason, Generation, int]:
        """Send events from a place on; returns why it stopped, and the place."""
        record = self.record
        if not generation:
            generation, offset = record.generation, 0
        while True:
            changed = self._changed
            if self.lost:
                return CloseReason.LOST, generation, offset
            if generation != record.generation:
                generation, offset = record.generation, 0
                await emit(RestartEvent(generation))
            elif offset < self.visible_tokens:
                last = min(self.visible_tokens, offset + TOKENS_PER_EVENT)
                tokens = tuple(record.tokens[offset:last])
                await emit(TokensEvent(generation, offset, tokens))
                offset += len(tokens)
            elif self.end_visible and record.ended is not None:
                await emit(record.ended)
                return CloseReason.ENDED, generation, offset
            elif is_leaving():
                return CloseReason.LEAVING, generation, offset
            else:
                await changed.wait()


def renew_generation(record: Record) -> None:
    """Begin a new token sequence that keeps the tokens already computed."""
    record.renewals += 1
    record.generation = make_generation(record.ballot, record.renewals)


def make_complete_answer(record: Record) -> Answer:
    """Return an answer that is followed on a host that merely holds it."""
    answer = Answer(record)
    answer.show_all()
    answer.accepted.set()
    return answer


def take_ownership(record: Record, ballot: Ballot, *, keep_generation: bool) -> None:
    """Make a record this host's own, under a new ballot."""
    record.ballot = ballot
    record.renewals = 0
    record.claimed = False
    record.claim_asked = False
    record.pending = False
    if not keep_generation:
        record.generation = make_generation(ballot)
