"""Simulated plain service: JSON operations, some of which are not idempotent."""

import time
from collections import deque
from itertools import count

import msgspec
import trio
from quart import Response
from quart_trio import QuartTrio

from dewridge.standins.engine import Execution
from dewridge.standins.misbehaviour import (
    Misbehaviour,
    MisbehaviourMode,
    reject_for_rest,
)
from dewridge.standins.serving import make_app, read_body, reply
from dewridge.standins.tokens import digest_prompt

MAX_LOG_ENTRIES = 200_000
SERIAL_OPERATIONS = ("issue_letter", "file_certificate")
CERTIFICATE_STATUSES = ("valid", "valid", "valid", "suspended", "expired")


class OperationCall(msgspec.Struct):
    """Body of a call to an operation."""

    input: str
    attempt: str = ""
    key: str = ""
    account: str = ""


class OperationAnswer(msgspec.Struct):
    """A complete answer."""

    attempt: str
    key: str
    body: dict[str, str]


class PlainOptions(msgspec.Struct, frozen=True):
    """Options of a plain service.

    Attributes:
        work: seconds that one call takes.
        capacity: largest number of concurrent calls.
    """

    work: float = 0.01
    capacity: int = 64


class PlainService:
    """A simulated plain service with its execution log."""

    def __init__(self, name: str, options: PlainOptions) -> None:
        self.name = name
        self.options = options
        self.leaving = False
        self.slowdown = 1.0
        self.running = 0
        self.log: deque[Execution] = deque(maxlen=MAX_LOG_ENTRIES)
        self._serials = count(1)

    def find_rejection(self) -> str | None:
        """Return the error type if a call is rejected before it starts."""
        if self.leaving:
            return "leaving"
        if self.running >= self.options.capacity:
            return "overloaded"
        return None

    async def execute(self, operation: str, call: OperationCall) -> OperationAnswer:
        """Run a call to completion, even if the caller disconnects."""
        execution = Execution(
            time.time(), self.name, operation, call.key, call.attempt, call.account, 0
        )
        self.log.append(execution)
        self.running += 1
        try:
            with trio.CancelScope(shield=True):
                await trio.sleep(self.options.work * self.slowdown)
        finally:
            self.running -= 1
        body = self._make_body(operation, call)
        execution.serial = body.get("serial", "")
        execution.state = "done"
        return OperationAnswer(call.attempt, call.key, body)

    def _make_body(self, operation: str, call: OperationCall) -> dict[str, str]:
        digest = digest_prompt(call.input)
        body = {"operation": operation, "reference": f"{digest:016x}"}
        if operation in SERIAL_OPERATIONS:
            # Like a real service, issues a new number on each execution: executing
            # one call twice issues two numbers.
            body["serial"] = f"{self.name}-{next(self._serials):06d}"
        else:
            body["status"] = CERTIFICATE_STATUSES[digest % len(CERTIFICATE_STATUSES)]
        return body


def build_plain_app(service: PlainService, misbehaviour: Misbehaviour) -> QuartTrio:
    """Return a plain service's HTTP application."""
    app = make_app(service.name)

    @app.post("/v1/operations/<operation>")
    async def execute(operation: str) -> Response:
        call = await read_body(OperationCall)
        rest = reject_for_rest(misbehaviour)
        if rest is not None:
            return rest
        rejection = service.find_rejection()
        if rejection is not None:
            return reply({"error": {"type": rejection}}, 503)
        answer = await service.execute(operation, call)
        return await reply_to_call(answer, misbehaviour)

    @app.get("/v1/load")
    async def read_load() -> Response:
        return reply({"at": time.time(), "queued": 0, "running": service.running})

    return app


async def reply_to_call(
    answer: OperationAnswer, misbehaviour: Misbehaviour
) -> Response:
    """Answer a call that has run, altered according to the active misbehaviour."""
    match misbehaviour.mode:
        case MisbehaviourMode.LATE:
            await trio.sleep(misbehaviour.seconds)
        case MisbehaviourMode.SILENT:
            await trio.sleep_forever()
        case MisbehaviourMode.ERROR:
            return reply({"error": {"type": "failed"}}, 500)
        case MisbehaviourMode.MISDIRECT:
            answer = OperationAnswer(f"other-{answer.attempt}", "", answer.body)
        case MisbehaviourMode.TRUNCATE:
            encoded = msgspec.json.encode(answer)
            return Response(
                encoded[: len(encoded) // 2], content_type="application/json"
            )
    return reply(answer)
