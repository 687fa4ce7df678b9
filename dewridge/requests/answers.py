"""Answers on their owner: which tokens callers may see, and streams of them."""

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

MAX_TOKENS_PER_EVENT = 256
"""Maximum tokens in one event. Without a limit, a caller that resumes a long answer
would be sent all of it at once, and all other streams of the host would wait."""


class CloseReason(Enum):
    """Why streaming an answer on this host stopped."""

    ENDED = "ended"
    LOST = "lost"
    """Another host owns the request now."""
    LEAVING = "leaving"
    """This host is leaving the cluster."""


class Answer:
    """The answer to one request that this host owns, or holds completely.

    Attributes:
        acked_tokens: number of tokens that each replica has acknowledged.
        end_acked: replicas that have acknowledged the end.
        holders: hosts that may hold a copy, including replicas replaced since.
        former_replicas: replicas of earlier owners. They may hold an end that this
            host has not received.
        trusted: replicas whose acknowledgement counts. A successor must be able to
            find each of them through the other replicas, or it would continue without
            the tokens that only that replica holds.
        visible_tokens: number of tokens that a replica has acknowledged. Callers see
            no more, so that the next owner has everything that a caller saw.
        end_visible: whether callers may see the end.
        lost: whether another host owns the request now.
        detached: whether no replica is available. Tokens are then shown at once,
            under a generation that no other host continues.
        accepted: set once a replica holds the record, or the answer is lost.
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
        """Wait for the next change of the answer."""
        await self._changed.wait()

    def notify_followers(self) -> None:
        """Wake the tasks that wait for a change."""
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def acknowledge(
        self, host: HostId, generation: Generation, tokens: int, ended: bool
    ) -> None:
        """Record how many tokens, and whether the end, a replica has stored."""
        if self.lost or generation != self.record.generation:
            return
        self.acked_tokens[host] = max(tokens, self.acked_tokens.get(host, 0))
        if ended:
            self.end_acked.add(host)
        self._update_visibility()

    def replace_replicas(self, replicas: set[HostId]) -> bool:
        """Update the trusted replicas after a change of replicas.

        Returns:
            Whether the answer needs a new generation. That is so if no trusted
            replica remains: a successor among the old ones would not know the new
            ones and would continue without them under the same generation.
        """
        self.trusted &= replicas
        if not self.trusted:
            self.trusted = set(self.record.replicas)
            return True
        return False

    def extend_trusted(self, host: HostId, replicas: set[HostId]) -> None:
        """Trust all replicas that a record lists, if a trusted one stored it."""
        if host in self.trusted:
            self.trusted |= replicas
            self._update_visibility()

    def _update_visibility(self) -> None:
        counts = [n for host, n in self.acked_tokens.items() if host in self.trusted]
        self.visible_tokens = max([self.visible_tokens, *counts])
        self._update_end_visibility()
        self.notify_followers()

    def _update_end_visibility(self) -> None:
        """Let callers see the end as soon as that is safe.

        "Not run" must be acknowledged by all hosts that may hold a copy: one
        without it would take the request over after this host's crash and run it,
        although the caller was sent "not run". Any other end needs one trusted
        replica's acknowledgement.
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
        """Make all tokens and the end visible, acknowledged or not."""
        self.visible_tokens = len(self.record.tokens)
        self.end_visible = self.record.ended is not None
        self.notify_followers()

    def detach(self) -> None:
        """Continue without replicas, under a generation that only this process uses."""
        if not self.detached:
            self.detached = True
            renew_generation(self.record)
            self.acked_tokens.clear()
        self.show_all()

    def mark_lost(self) -> None:
        """Record that another host owns the request, and wake its followers.

        An answer whose end is already visible stays unchanged.
        """
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
        """Emit the answer's events from a position on, until it ends or must stop.

        Args:
            generation: generation of the position; 0 starts at the beginning.
            offset: number of tokens of the generation to skip.
            emit: called with each event.
            is_leaving: whether to stop when no further event is available.

        Returns:
            Why the stream stopped, and the position reached.
        """
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
                end = min(self.visible_tokens, offset + MAX_TOKENS_PER_EVENT)
                tokens = tuple(record.tokens[offset:end])
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
    """Start a new token sequence that retains the tokens already computed."""
    record.renewals += 1
    record.generation = make_generation(record.ballot, record.renewals)


def make_complete_answer(record: Record) -> Answer:
    """Return a fully visible answer on a host that holds a copy but isn't the owner."""
    answer = Answer(record)
    answer.show_all()
    answer.accepted.set()
    return answer


def take_ownership(record: Record, ballot: Ballot, *, keep_generation: bool) -> None:
    """Make a new ballot the owner of a record, and reset the state of the old owner.

    Args:
        record: the request's record.
        ballot: the new ownership.
        keep_generation: whether the new owner continues the same token sequence.
    """
    record.ballot = ballot
    record.renewals = 0
    record.claimed = False
    record.claim_requested = False
    record.pending = False
    if not keep_generation:
        record.generation = make_generation(ballot)
