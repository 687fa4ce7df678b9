"""Control calls to model engines: load reports, and moving a running stream."""

import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from typing import Annotated
from urllib.parse import quote

import msgspec

from dewridge.decoding import Amount, Count, Name, decode_json
from dewridge.effects import Effect
from dewridge.gateway.model import AttemptKey
from dewridge.http1.calls import CallFailure, Response
from dewridge.http1.client import Headers
from dewridge.platform import names
from dewridge.sentinels import Failure

MOVE_TIMEOUT = 0.6
"""Seconds for a move: a leaving server is removed before a longer one completes."""
MOVE_PATH = "/-/kv-move"
FREE_PATH = "/-/kv-handle/"
FREE_TIMEOUT = 0.6
"""Seconds for a call that frees memory."""
REPORT_PATH = b"/-/report"
MAX_REPORTED_REQUESTS = 10_000
"""Requests above which a load report is not credible: hundreds of times the slots of
any engine."""
HANDLE_PATTERN = re.compile(r"[!-~]{1,200}")
"""Handles that a header can carry: visible ASCII characters."""
STATUS_OK = 200
STATUS_MOVED = 200
STATUS_NO_RUN = 404
STATUS_MISDIRECTED = 421
STATUS_TARGET_FULL = 503


_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_REPORTED_REQUESTS)]


class _ReportedRun(msgspec.Struct, frozen=True, array_like=True):
    id: Name | Count | None
    tokens: Amount
    events: Count


class _ReportReply(msgspec.Struct, frozen=True):
    waiting: _Count
    running: _Count
    runs: Annotated[list[_ReportedRun], msgspec.Meta(max_length=MAX_REPORTED_REQUESTS)]
    kv_used: Amount | None = None
    kv_total: Amount | None = None
    next_token: Amount | None = None
    born: Count | None = None
    """Start time of the server in milliseconds since the Unix epoch (not a year)."""


@dataclass(frozen=True, slots=True)
class EngineReport:
    """Requests at an engine, as it reports them.

    Attributes:
        waiting: requests that wait for a slot.
        running: requests that have a slot.
        prefilling: those of them that have made no event yet.
        run_ids: ids of the attempts that have a slot.
        started_at_ms: when the process started, in milliseconds since 1970; None if
            the engine does not say.
    """

    waiting: int
    running: int
    prefilling: int
    run_ids: frozenset[str]
    started_at_ms: int | None = None


def decode_report(body: bytes) -> EngineReport | None:
    """Decode a load report; None if it is malformed or its figures are impossible."""
    reply = decode_json(body, _ReportReply)
    if isinstance(reply, Failure):
        return None
    return EngineReport(
        waiting=reply.waiting,
        running=max(reply.running, len(reply.runs)),
        prefilling=sum(run.events == 0 for run in reply.runs),
        run_ids=frozenset(str(run.id) for run in reply.runs if run.id is not None),
        started_at_ms=reply.born,
    )


class ReportedProcess(Enum):
    """Which process a reply to the call for a report comes from."""

    SAME = "same"
    OTHER = "other"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ReportReply:
    """The reply to a call for a report.

    Attributes:
        status: its status.
        report: the report; None without a valid one.
    """

    status: int
    report: EngineReport | None

    def identify_process(self, started_at_ms: int) -> ReportedProcess:
        """Return whether the process of a server's record has replied.

        The call names the server, so that another one that has the address refuses it.

        Args:
            started_at_ms: start of the process by its record; 0 if that names none,
                and a server has another name after each start.
        """
        if self.status == STATUS_MISDIRECTED:
            return ReportedProcess.OTHER
        if self.report is None:
            return ReportedProcess.UNKNOWN
        if not started_at_ms or self.report.started_at_ms == started_at_ms:
            return ReportedProcess.SAME
        is_unnamed = self.report.started_at_ms is None
        return ReportedProcess.UNKNOWN if is_unnamed else ReportedProcess.OTHER


def read_report(status: int, body: bytes) -> ReportReply:
    """Decode the reply to a call for a report."""
    report = decode_report(body) if status == STATUS_OK else None
    return ReportReply(status, report)


CallEngine = Callable[[str, str, bytes, float], Awaitable[Response | CallFailure]]
"""Makes a control call with a method, a path, a JSON body and a timeout in seconds."""


class _MoveReply(msgspec.Struct, frozen=True):
    handle: Name | Count = ""


@dataclass(frozen=True, slots=True)
class CacheCopy:
    """The KV cache of a stopped run, which a single request may continue from.

    Attributes:
        source: `a.b.c.d:port` of the engine that ran it.
        handle: identifier of the cache at that engine.
        is_at_target: whether the target holds the copy; if not, the source retains
            the cache.
    """

    source: str
    handle: str
    is_at_target: bool


@dataclass(frozen=True, slots=True)
class StopReply:
    """What is known of an order to stop a run and move its memory.

    Attributes:
        effect: whether the run was stopped.
        detail: why, for the log.
        memory: memory of the stopped run; None unless the effect is known to be done.
        may_come_late: whether the order was sent and had no reply, so that it may still
            arrive.
        is_final: whether asking again can bring no memory: the engine says that it has
            no such run, or another one has its address.
    """

    effect: Effect
    detail: str
    memory: CacheCopy | None = None
    may_come_late: bool = False
    is_final: bool = False


async def stop_and_move(
    source: str,
    attempt: AttemptKey,
    target: str,
    call: CallEngine,
    on_answer: Callable[[int, Headers], None] = lambda status, headers: None,
) -> StopReply:
    """Stop a run and copy its KV cache to another engine.

    A repeated order returns the memory of a run that an earlier one has stopped.

    Args:
        source: `a.b.c.d:port` of the engine that runs it.
        attempt: the caller's id of the attempt that is running.
        target: `a.b.c.d:port` of the engine that is to continue the run.
        call: makes the call to the engine that runs it.
        on_answer: called with the status and headers of the source's answer.
    """
    body = msgspec.json.encode({"id": attempt, "target": target, "last": True})
    response = await call("POST", MOVE_PATH, body, MOVE_TIMEOUT)
    if isinstance(response, CallFailure):
        if response is CallFailure.NOT_SENT:
            return StopReply(Effect.REFUSED, response.value)
        is_lost = response is CallFailure.LOST
        return StopReply(Effect.UNKNOWN, response.value, may_come_late=is_lost)
    if response.status != STATUS_MISDIRECTED:
        # Otherwise another server's signals would apply to this one.
        on_answer(response.status, response.headers)
    return _decode_stop_reply(source, response)


async def free_memory(memory: CacheCopy, call: CallEngine) -> Effect:
    """Free the memory of a stopped run, at its engine and at the target.

    An engine that does not have the handle, or has forgotten it, has freed nothing.
    Without the call, an engine keeps it for some time, in place of running requests.
    """
    path = FREE_PATH + quote(memory.handle, safe="")
    response = await call("DELETE", path, b"", FREE_TIMEOUT)
    if isinstance(response, CallFailure):
        is_sent = response is not CallFailure.NOT_SENT
        return Effect.UNKNOWN if is_sent else Effect.REFUSED
    if response.status == STATUS_NO_RUN:
        return Effect.REFUSED
    return Effect.DONE if response.status < 300 else Effect.UNKNOWN


def _decode_stop_reply(source: str, response: Response) -> StopReply:
    detail = f"status {response.status}"
    if response.status in {STATUS_NO_RUN, STATUS_MISDIRECTED}:
        return StopReply(Effect.REFUSED, detail, is_final=True)
    if response.find_header(names.NOT_EXECUTED) is not None:
        return StopReply(Effect.REFUSED, detail)
    if response.status not in {STATUS_MOVED, STATUS_TARGET_FULL}:
        return StopReply(Effect.UNKNOWN, detail)
    moved = decode_json(response.body, _MoveReply)
    if isinstance(moved, Failure):
        return StopReply(Effect.UNKNOWN, f"{detail}, malformed: {moved.reason}")
    handle = str(moved.handle)
    if not HANDLE_PATTERN.fullmatch(handle):
        return StopReply(Effect.UNKNOWN, f"{detail} without a usable handle")
    is_at_target = response.status == STATUS_MOVED
    memory = CacheCopy(source, handle, is_at_target)
    return StopReply(Effect.DONE, "moved" if is_at_target else "target full", memory)
