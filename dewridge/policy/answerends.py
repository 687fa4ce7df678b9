"""Decides whether an answer that has ended is whole.

A body with neither a length nor chunks ends with its connection. So does a body that
its server, its host or an order cuts short. It is whole only if everything that could
have ended it is known not to have done so. That nothing is found proves nothing: an
engine that has no run may have stopped and forgotten it, or may have started again.
"""

from dataclasses import dataclass, field
from enum import Enum

from dewridge.effects import Effect
from dewridge.policy.losses import ConnectResult


class EndVerdict(Enum):
    """What the end of an answer means, or what has to be found out first."""

    WHOLE = "whole"
    STOPPED = "stopped"
    """This host stopped the run; the stream goes on from the run's memory."""
    CUT_OFF = "cut off"
    ASK_SOURCE = "ask the source"
    """An order to stop the run had no usable reply; the source may have its memory."""
    EXAMINE_PROCESS = "examine the process"


class ProcessEvidence(Enum):
    """What is known, after the end of an answer, of the process that sent it."""

    SAME = "same process"
    """It has said which process it is since then."""
    OTHER = "another process"
    """Another one has its address, or its name."""
    ENDED = "ended"
    """Nothing listens at its address."""
    LISTENING = "listening"
    """Some process accepts connections at its address."""
    SILENT = "silent"


CONNECT_RESULTS = {
    ProcessEvidence.OTHER: ConnectResult.ACCEPTED,
    ProcessEvidence.ENDED: ConnectResult.REFUSED,
    ProcessEvidence.SAME: ConnectResult.ACCEPTED,
    ProcessEvidence.LISTENING: ConnectResult.ACCEPTED,
    ProcessEvidence.SILENT: ConnectResult.SILENT,
}
"""What a new connection shows. The process before another one may have ended before it
got the request, which is not to blame then."""


@dataclass
class AnswerRecord:
    """What is known of all that could have ended the answer of one attempt.

    Attributes:
        is_close_delimited: whether the body ends with its connection.
        can_identify: whether the server's process says which one it is.
        fault: why the body is known to be incomplete; empty if nothing shows it.
        stop: whether the run was stopped by an order; REFUSED without an order.
        is_source_asked: whether the source was asked after the end, in vain.
        process: what the server's process showed after the end; None before it was
            examined.
        replies: what came back for each order, for the log.
    """

    is_close_delimited: bool = False
    can_identify: bool = False
    fault: str = ""
    stop: Effect = Effect.REFUSED
    is_source_asked: bool = False
    process: ProcessEvidence | None = None
    replies: list[str] = field(default_factory=list)

    @property
    def reach(self) -> ConnectResult | None:
        """Whether the process accepts connections; None if that is not known."""
        return None if self.process is None else CONNECT_RESULTS[self.process]

    def record_order(self, effect: Effect, reply: str = "") -> None:
        """Record the outcome of an order to stop the run.

        An earlier order without a reply may still be carried out after one that was
        refused, or may have been before it: the source then has no such run either.
        """
        self.replies.append(reply)
        if effect is not Effect.REFUSED:
            self.stop = effect

    def record_stopped_for_good(self) -> None:
        """Record that the run was stopped and may not go on anywhere."""
        self.stop = Effect.REFUSED
        self.fault = self.fault or "stopped without a retry"


def judge_end(record: AnswerRecord) -> EndVerdict:
    """Return what the end of an answer means.

    It is for the end of every answer. A part that counts as whole is a success for its
    caller. A whole answer that counts as a part is lost, or its request runs again.
    """
    if not (record.is_close_delimited or record.fault):
        return EndVerdict.WHOLE
    match record.stop:
        case Effect.DONE:
            return EndVerdict.STOPPED
        case Effect.UNKNOWN if not record.is_source_asked:
            return EndVerdict.ASK_SOURCE
        case Effect.UNKNOWN:
            return EndVerdict.CUT_OFF
    return EndVerdict.CUT_OFF if record.fault else _judge_by_process(record)


def _judge_by_process(record: AnswerRecord) -> EndVerdict:
    match record.process:
        case None:
            return EndVerdict.EXAMINE_PROCESS
        case ProcessEvidence.SAME:
            return EndVerdict.WHOLE
        case ProcessEvidence.LISTENING if not record.can_identify:
            # Nothing that such a server says names its process.
            return EndVerdict.WHOLE
    return EndVerdict.CUT_OFF


def describe_cut(record: AnswerRecord) -> str:
    """Return why an answer counts as cut off, for the log."""
    if record.stop is Effect.UNKNOWN:
        return f"may have been stopped {record.fault}".rstrip()
    if record.fault:
        return record.fault
    match record.process:
        case ProcessEvidence.SILENT | ProcessEvidence.LISTENING:
            return "the server may have ended"
        case ProcessEvidence.OTHER:
            return "the server started again"
    return "the server ended"
