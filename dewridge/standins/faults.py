"""Faults that a control endpoint sets on a stand-in's services."""

import random
from collections import Counter
from enum import Enum

import msgspec
import trio
from quart import Response

from dewridge.standins.serving import reply


class FaultMode(Enum):
    """How a service misbehaves."""

    NONE = "none"
    DOWN = "down"
    """Connections are refused."""
    SILENT = "silent"
    """Connections open, and no call is answered or carried out."""
    ERROR = "error"
    """Each call is answered with status 503 and not carried out."""
    SLOW = "slow"
    """Each call waits `seconds` before it is carried out."""
    LOSE_ANSWERS = "lose_answers"
    """Calls are carried out; no answer ever comes."""
    GARBLE = "garble"
    """Answers are not what the interface says."""


class Fault(msgspec.Struct):
    """A fault of one service.

    Attributes:
        target: the service.
        seconds: the wait of SLOW.
        share: share of the calls that it strikes.
        kinds: kinds of calls that it strikes; empty: all.
        prefix: it strikes only keys that begin so.
        count: number of calls after which it ends; 0: stays.
    """

    target: str
    mode: FaultMode
    seconds: float = 0.0
    share: float = 1.0
    kinds: tuple[str, ...] = ()
    prefix: str = ""
    count: int = 0


class FaultInjector:
    """The faults in force and the calls counted, by service and kind."""

    def __init__(self, seed: int = 0) -> None:
        self._faults: dict[str, Fault] = {}
        self._random = random.Random(seed)
        self.calls: Counter[str] = Counter()

    def set_fault(self, fault: Fault) -> None:
        """Put a fault in force in place of the target's earlier one."""
        self._faults[fault.target] = fault

    def list_faults(self) -> list[Fault]:
        """Return the faults in force."""
        return list(self._faults.values())

    def intercept(self, target: str, kind: str, key: str = "") -> Fault:
        """Count a call and return the fault that it meets."""
        self.calls[f"{target}.{kind}"] += 1
        fault = self._faults.get(target)
        if fault is None or not self._hits(fault, kind, key):
            return Fault(target, FaultMode.NONE)
        if fault.count:
            fault.count -= 1
            if fault.count == 0:
                del self._faults[target]
        return fault

    def _hits(self, fault: Fault, kind: str, key: str) -> bool:
        if fault.kinds and kind not in fault.kinds:
            return False
        if not key.startswith(fault.prefix):
            return False
        return self._random.random() < fault.share


async def inject_before_call(fault: Fault) -> Response | None:
    """Carry out what a fault does before a call; an answer replaces the call's."""
    match fault.mode:
        case FaultMode.SILENT:
            await trio.sleep_forever()
        case FaultMode.ERROR:
            return reply({"error": {"type": "unavailable"}}, 503)
        case FaultMode.SLOW:
            await trio.sleep(fault.seconds)
    return None


async def inject_after_call(fault: Fault, answer: Response) -> Response:
    """Carry out what a fault does to the answer of a call that took effect."""
    match fault.mode:
        case FaultMode.LOSE_ANSWERS:
            await trio.sleep_forever()
        case FaultMode.GARBLE:
            return Response('{"garbled', content_type="application/json")
    return answer
