"""Decides whether an answer that has ended is whole.

A body with neither a length nor chunks ends with its connection. So does a body that
its server, its host or an order cuts short. It is whole only if everything that could
have ended it is known not to have done so.
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
    """An order to stop the run had no usable reply."""
    PROBE_SERVER = "probe the server"


@dataclass
class AnswerRecord:
    """What is known of all that could have ended the answer of one attempt.

    Attributes:
        is_close_delimited: whether the body ends with its connection.
        fault: why the body is known to be incomplete; empty if nothing shows it.
        stop: whether the run was stopped by an order; REFUSED without an order.
        replies: what came back for each order, for the log.
        is_source_asked: whether the source was asked after the end, in vain.
        server: whether the server accepted a connection after the end; None before it
            was tried.
    """

    is_close_delimited: bool = False
    fault: str = ""
    stop: Effect = Effect.REFUSED
    is_source_asked: bool = False
    server: ConnectResult | None = None
    replies: list[str] = field(default_factory=list)

    def record_order(self, effect: Effect, reply: str = "") -> None:
        """Record the outcome of an order to stop the run.

        An earlier order without a reply may still be carried out after one that was
        refused.
        """
        self.replies.append(reply)
        if effect is not Effect.REFUSED:
            self.stop = effect

    def record_stopped_for_good(self) -> None:
        """Record that the run was stopped and may not go on anywhere."""
        self.stop = Effect.REFUSED
        self.fault = self.fault or "stopped without a retry"

    def record_run_ended(self) -> None:
        """Record that the source has no such run after the end of the answer."""
        self.stop = Effect.REFUSED


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
    return EndVerdict.CUT_OFF if record.fault else _judge_by_server(record.server)


def _judge_by_server(server: ConnectResult | None) -> EndVerdict:
    if server is None:
        return EndVerdict.PROBE_SERVER
    is_running = server in {ConnectResult.ACCEPTED, ConnectResult.RESET}
    return EndVerdict.WHOLE if is_running else EndVerdict.CUT_OFF


def describe_cut(record: AnswerRecord) -> str:
    """Return why an answer counts as cut off, for the log."""
    if record.stop is Effect.UNKNOWN:
        return f"may have been stopped {record.fault}".rstrip()
    if record.fault:
        return record.fault
    if record.server is ConnectResult.SILENT:
        return "the server may have ended"
    return "the server ended"
