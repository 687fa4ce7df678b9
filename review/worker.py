"""A backend server as a process of its own, as PROTOCOL.md describes workers.

Usage: worker.py OPTIONS, with the options as JSON. It prints its address when it
listens, and a line for each request that it begins or ends.
"""

import asyncio
import json
import random
import sys
import time
from dataclasses import dataclass

from wire import (
    EndedError,
    Message,
    format_answer,
    format_head,
    format_json,
    read_head,
    read_sized,
)

SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"


TOKENS_PER_EVENT = 6
SPELL_SECONDS = 5.0
SPELL_PERIOD = 5.5


@dataclass
class Options:
    """What a worker is and how it answers.

    Attributes:
        name: its id.
        service: the service that it serves.
        version: version of its software.
        pause: seconds before each event, or each piece of a plain body.
        pieces: pieces of a plain body.
        unframed: share of the answers that have neither a length nor chunks, in spells
            of `SPELL_SECONDS` with short pauses between them.
    """

    name: str
    service: str
    version: str = "v1"
    pause: float = 0.02
    pieces: int = 1
    unframed: float = 0.0


def count_events(head: Message) -> int:
    """Return the events of a stream, by the output that its request asks for."""
    tokens = int(head.headers["x-token-count"].partition(",")[2])
    return max(1, tokens // TOKENS_PER_EVENT)


def make_event(attempt: str, number: int, parts: int, version: str) -> bytes:
    """Return an event that names its run, its place and the version."""
    mark = " last" if number == parts else ""
    return f"id: {number}\ndata: {attempt} {version}{mark}\n\n".encode()


def make_body(attempt: str, parts: int) -> list[bytes]:
    """Return the pieces of a plain body."""
    pieces = [f"{attempt}:{number};".encode() for number in range(parts)]
    pieces[-1] += b"end"
    return pieces


class Worker:
    """Runs requests of one service."""

    def __init__(self, options: Options) -> None:
        self._options = options
        self._name = options.name
        self._running = 0

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it ends."""
        try:
            while (head := await read_head(reader)) is not None:
                await read_sized(reader, head)
                if not await self._answer(head, writer):
                    break
        except (EndedError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, head: Message, writer: asyncio.StreamWriter) -> bool:
        path = head.target.partition("?")[0]
        if path == "/healthz":
            writer.write(format_answer(200, b"", {"X-Instance": self._name}))
        elif path == "/-/report":
            writer.write(format_json(200, self._describe(), {}))
        elif path.startswith("/-/"):
            writer.write(format_answer(404, b"", {}))
        elif head.headers.get("x-expect-instance") != self._name:
            writer.write(format_answer(421, b"", {"X-Instance": self._name}))
        else:
            return await self._run(head, writer)
        await writer.drain()
        return True

    def _is_unframed(self) -> bool:
        is_spell = time.monotonic() % SPELL_PERIOD < SPELL_SECONDS
        return is_spell and random.random() < self._options.unframed

    def _describe(self) -> dict[str, object]:
        return {
            "stage": "unified",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 1,
            "waiting": 0,
            "running": self._running,
            "kv_used": 0,
            "kv_total": 500_000,
            "handles": 0,
            "runs": [],
        }

    async def _run(self, head: Message, writer: asyncio.StreamWriter) -> bool:
        attempt = head.headers["x-attempt-id"]
        first = int(head.headers.get("last-event-id", "0")) + 1
        print(f"begin {attempt} {first}", flush=True)
        self._running += 1
        try:
            is_framed = not self._is_unframed()
            await self._send(head, attempt, first, writer, is_framed=is_framed)
            print(f"end {attempt}", flush=True)
            return is_framed
        finally:
            self._running -= 1

    async def _send(
        self,
        head: Message,
        attempt: str,
        first: int,
        writer: asyncio.StreamWriter,
        *,
        is_framed: bool,
    ) -> None:
        options = self._options
        is_stream = "x-token-count" in head.headers
        if is_stream:
            count = count_events(head)
            pieces = [
                make_event(attempt, number, count, options.version)
                for number in range(first, count + 1)
            ]
        else:
            pieces = make_body(attempt, options.pieces)
        headers = {"X-Attempt-Id": attempt, "X-Server-Seal": SEAL}
        if is_stream:
            headers["Content-Type"] = "text/event-stream"
            headers["X-Weight-Versions"] = "1"
        if not is_framed:
            headers["Connection"] = "close"
        elif is_stream:
            headers["Transfer-Encoding"] = "chunked"
        else:
            headers["Content-Length"] = str(sum(map(len, pieces)))
        writer.write(format_head("HTTP/1.1 200 OK", headers))
        is_chunked = is_framed and is_stream
        for piece in pieces:
            await asyncio.sleep(options.pause)
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece) if is_chunked else piece)
            await writer.drain()
        if is_chunked:
            writer.write(b"0\r\n\r\n")
            await writer.drain()


async def main(options: Options) -> None:
    """Serve requests on a free port until the process is killed."""
    worker = Worker(options)
    server = await asyncio.start_server(worker.handle, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    print(f"{host}:{port}", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(Options(**json.loads(sys.argv[1]))))
