"""Fault injection into the simulated platform services."""

import random
from collections import Counter
from enum import Enum

import msgspec
import trio
from quart import Response

from dewridge.standins.serving import reply


class FaultMode(Enum):
    """Kind of fault of a service."""

    NONE = "none"
    DOWN = "down"
    """Connections are refused."""
    SILENT = "silent"
    """Connections are accepted; calls are neither executed nor answered."""
    ERROR = "error"
    """Each call is answered with status 503 and not executed."""
    SLOW = "slow"
    """Each call waits `seconds` before it is executed."""
    LOSE_ANSWERS = "lose_answers"
    """Calls are executed; their answers are never sent."""
    GARBLE = "garble"
    """Calls are executed and answered with malformed JSON."""


class Fault(msgspec.Struct):
    """A fault of one service.

    Attributes:
        target: the service.
        seconds: delay of SLOW.
        share: fraction of the calls that are affected.
        kinds: kinds of calls that are affected; empty: all.
        prefix: only calls for keys with this prefix are affected.
        count: number of affected calls after which the fault ends; 0: never.
    """

    target: str
    mode: FaultMode
    seconds: float = 0.0
    share: float = 1.0
    kinds: tuple[str, ...] = ()
    prefix: str = ""
    count: int = 0


class FaultInjector:
    """Active faults by service, and call counts by service and kind."""

    def __init__(self, seed: int = 0) -> None:
        self._faults: dict[str, Fault] = {}
        self._random = random.Random(seed)
        self.calls: Counter[str] = Counter()

    def set_fault(self, fault: Fault) -> None:
        """Activate a fault; it replaces the target's earlier fault."""
        self._faults[fault.target] = fault

    def list_faults(self) -> list[Fault]:
        """Return the active faults."""
        return list(self._faults.values())

    def intercept(self, target: str, kind: str, key: str = "") -> Fault:
        """Count a call and return the fault to inject into it (NONE if none)."""
        self.calls[f"{target}.{kind}"] += 1
        fault = self._faults.get(target)
        if fault is None or not self._matches(fault, kind, key):
            return Fault(target, FaultMode.NONE)
        if fault.count:
            fault.count -= 1
            if fault.count == 0:
                del self._faults[target]
        return fault

    def _matches(self, fault: Fault, kind: str, key: str) -> bool:
        if fault.kinds and kind not in fault.kinds:
            return False
        if not key.startswith(fault.prefix):
            return False
        return self._random.random() < fault.share


async def inject_before_call(fault: Fault) -> Response | None:
    """Apply a fault before a call is executed.

    Returns:
        A response to send without executing the call, or None to execute it.
    """
    match fault.mode:
        case FaultMode.SILENT:
            await trio.sleep_forever()
        case FaultMode.ERROR:
            return reply({"error": {"type": "unavailable"}}, 503)
        case FaultMode.SLOW:
            await trio.sleep(fault.seconds)
    return None


async def inject_after_call(fault: Fault, answer: Response) -> Response:
    """Apply a fault to the answer of a call that has been executed."""
    match fault.mode:
        case FaultMode.LOSE_ANSWERS:
            await trio.sleep_forever()
        case FaultMode.GARBLE:
            return Response('{"garbled', content_type="application/json")
    return answer
