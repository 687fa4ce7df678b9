"""Plain service: JSON operations, some of which may not be repeated."""

import time
from collections import deque
from itertools import count

import msgspec
import trio
from quart import Response
from quart_trio import QuartTrio

from dewridge.standins.engine import Execution
from dewridge.standins.misbehaviour import Misbehaviour, MisbehaviourMode
from dewridge.standins.serving import make_app, read_body, reply
from dewridge.standins.tokens import digest_prompt

MAX_LOG_ENTRIES = 200_000
SERIAL_OPERATIONS = ("issue_letter", "file_certificate")
CERTIFICATE_STATUSES = ("valid", "valid", "valid", "suspended", "expired")


class OperationCall(msgspec.Struct):
    """Body of a call."""

    input: str
    attempt: str = ""
    key: str = ""
    account: str = ""


class OperationAnswer(msgspec.Struct):
    """A whole answer."""

    attempt: str
    key: str
    body: dict[str, str]


class PlainOptions(msgspec.Struct, frozen=True):
    """How a plain service works: seconds for one call, calls side by side."""

    work: float = 0.01
    capacity: int = 64


class PlainService:
    """One worker, with its log of each execution."""

    def __init__(self, name: str, options: PlainOptions) -> None:
        self.name = name
        self.options = options
        self.leaving = False
        self.slowdown = 1.0
        self.running = 0
        self.log: deque[Execution] = deque(maxlen=MAX_LOG_ENTRIES)
        self._serials = count(1)

    def find_rejection(self) -> str | None:
        """Return the type of a refusal, before anything has started."""
        if self.leaving:
            return "leaving"
        if self.running >= self.options.capacity:
            return "overloaded"
        return None

    async def execute(self, operation: str, call: OperationCall) -> OperationAnswer:
        """Run a call to its end, whether or not the caller still waits."""
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
        body = self._answer(operation, call)
        execution.serial = body.get("serial", "")
        execution.state = "done"
        return OperationAnswer(call.attempt, call.key, body)

    def _answer(self, operation: str, call: OperationCall) -> dict[str, str]:
        digest = digest_prompt(call.input)
        body = {"operation": operation, "reference": f"{digest:016x}"}
        if operation in SERIAL_OPERATIONS:
            # A real service draws a number each time that it runs: two runs
            # of one call put two numbers into circulation.
            body["serial"] = f"{self.name}-{next(self._serials):06d}"
        else:
            body["status"] = CERTIFICATE_STATUSES[digest % len(CERTIFICATE_STATUSES)]
        return body


def build_plain_app(service: PlainService, wrong: Misbehaviour) -> QuartTrio:
    """Return a plain service's HTTP application."""
    app = make_app(service.name)

    @app.post("/v1/operations/<operation>")
    async def execute(operation: str) -> Response:
        call = await read_body(OperationCall)
        refusal = service.find_rejection()
        if refusal is not None:
            return reply({"error": {"type": refusal}}, 503)
        answer = await service.execute(operation, call)
        return await reply_to_call(answer, wrong)

    @app.get("/v1/load")
    async def read_load() -> Response:
        return reply({"at": time.time(), "queued": 0, "running": service.running})

    return app


async def reply_to_call(answer: OperationAnswer, wrong: Misbehaviour) -> Response:
    """Answer a call that has run, as the misbehaviour in force has it."""
    match wrong.mode:
        case MisbehaviourMode.LATE:
            await trio.sleep(wrong.seconds)
        case MisbehaviourMode.SILENT:
            await trio.sleep_forever()
        case MisbehaviourMode.ERROR:
            return reply({"error": {"type": "failed"}}, 500)
        case MisbehaviourMode.MISDIRECT:
            answer = OperationAnswer(f"other-{answer.attempt}", "", answer.body)
        case MisbehaviourMode.TRUNCATE:
            whole = msgspec.json.encode(answer)
            return Response(whole[: len(whole) // 2], content_type="application/json")
    return reply(answer)
