"""Stand-ins of model workers, and clients that resume their streams."""

import asyncio
import json
import random
import time
from collections.abc import AsyncIterator
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from rig.fleet import Fleet, Worker
from rig.web import DroppedError, Request, Response, Streamed, make_json, read_head

EVENTS = 23
EVENT_SECONDS = 0.5
TOKENS = "830,300"


@dataclass
class EngineRun:
    """A run of a stream at an engine."""

    attempt: str
    worker: str
    version: str
    first: int


@dataclass
class Engine(Worker):
    """A model worker, which makes an event every half a second."""

    slots: int = 64
    streams: list[EngineRun] = field(default_factory=list)
    running: dict[str, int] = field(default_factory=dict)

    async def _serve(self, request: Request) -> Response | Streamed:
        if request.path == "/healthz":
            return Response(200, {"X-Instance": self.name})
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return Response(421, {"X-Instance": self.name})
        if request.path == "/-/report":
            return make_json(self._make_report())
        attempt = request.headers.get("x-attempt-id", "")
        if not attempt:
            return Response(400, {"X-Not-Executed": "1"})
        first = int(request.headers.get("last-event-id", "0")) + 1
        self.streams.append(EngineRun(attempt, self.name, self.version, first))
        self.record.add(f"worker {self.name} {self.version} runs {attempt} at {first}")
        headers = {
            "Content-Type": "text/event-stream",
            "X-Attempt-Id": attempt,
            "X-Server-Seal": f"{self.name}.{attempt}",
            "X-Weight-Versions": "1",
        }
        return Streamed(headers, self._make_events(attempt, first))

    def encode_entry(self, sequence: int) -> bytes:
        """Return the entry of the worker in the store."""
        models = [{"name": "m", "version": 1, "adapters": []}]
        fields = json.loads(super().encode_entry(sequence))
        return json.dumps({**fields, "stage": "unified", "models": models}).encode()

    async def _make_events(self, attempt: str, first: int) -> AsyncIterator[bytes]:
        try:
            await asyncio.sleep(0.05)
            for number in range(first, EVENTS + 1):
                self.running[attempt] = number
                yield f"id: {number}\ndata: {self.version} {number}\n\n".encode()
                await asyncio.sleep(EVENT_SECONDS if number < EVENTS else 0)
        finally:
            self.running.pop(attempt, None)

    def _make_report(self) -> dict[str, Any]:
        runs = [[key, 830 + 6 * made, made, 5] for key, made in self.running.items()]
        return {
            "stage": "unified",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "waiting": 0,
            "running": len(runs),
            "kv_used": 1000 * len(runs),
            "kv_total": 562012,
            "handles": 0,
            "state": "ready",
            "runs": runs,
        }


@dataclass
class StreamRead:
    """What a client has of one stream, over its attempts.

    Attributes:
        first_attempt: attempt that brought the first event.
        versions: software versions whose events it holds.
        last: id of the last event.
        is_whole: whether the stream has ended after its last event.
        host: address that served the current attempt.
        resumed_at: times in seconds since 1970 at which it was taken up again.
        statuses: status of each attempt; 0 for none.
    """

    first_attempt: str = ""
    versions: set[str] = field(default_factory=set)
    last: int = 0
    is_whole: bool = False
    host: str = ""
    began_at: float = 0.0
    resumed_at: list[float] = field(default_factory=list)
    went_on: bool = False
    statuses: list[int] = field(default_factory=list)


class StreamClients:
    """Begin streams at a steady rate, and take broken ones up at another host.

    Attributes:
        streams: all streams.
    """

    def __init__(self, fleet: Fleet, key: str, rate: float, path: str) -> None:
        self._fleet = fleet
        self._key = key
        self._rate = rate
        self._path = path
        self._rng = random.Random(1)
        self._number = 0
        self.hosts = [host.callers for host in fleet.hosts]
        self.streams: list[StreamRead] = []

    async def run(self) -> None:
        """Begin streams until cancelled."""
        while True:
            self._fleet.start_task(self._read_stream())
            await asyncio.sleep(self._rng.uniform(0.5, 1.5) / self._rate)

    async def _read_stream(self) -> None:
        stream = StreamRead(began_at=time.time())
        self.streams.append(stream)
        budget_ends = time.monotonic() + 30.0
        tries = 3
        while not stream.is_whole and tries and time.monotonic() < budget_ends:
            tries -= 1
            wait = await self._attempt(stream)
            if stream.is_whole or (stream.statuses[-1] != 200 and wait is None):
                return
            if stream.last:
                stream.resumed_at.append(time.time())
            await asyncio.sleep(0.1 if wait is None else wait)

    async def _attempt(self, stream: StreamRead) -> float | None:
        """Make one attempt; return the seconds until the next one, if it is told."""
        self._number += 1
        attempt = f"{self._number:016x}"
        choices = [host for host in self.hosts if host[0] != stream.host]
        address = self._rng.choice(choices or self.hosts)
        stream.host = address[0]
        headers = {
            "Host": "registro.example",
            "X-Attempt-Id": attempt,
            "X-Model": "m",
            "X-Token-Count": TOKENS,
            "X-Prefix-Hash": f"5c1e07a2:119,{self._rng.getrandbits(32):08x}:711",
            "X-Deadline-Ms": "30000",
            "X-Api-Key": self._key,
            "Content-Length": "0",
        }
        if stream.last:
            headers["Last-Event-Id"] = str(stream.last)
            headers["Resumes"] = stream.first_attempt
        record, before = self._fleet.record, stream.last
        record.add(f"client sends {attempt} after event {before} to {address[0]}")
        stream.statuses.append(0)
        wait: float | None = None
        with suppress(OSError, DroppedError, TimeoutError, ValueError):
            wait = await self._read(stream, attempt, address, headers)
        if before and stream.last > before:
            stream.went_on = True
        record.add(
            f"client has {stream.last} events of {stream.first_attempt or attempt}"
            f" by {attempt}, status {stream.statuses[-1]}, whole: {stream.is_whole}"
        )
        return wait

    async def _read(
        self,
        stream: StreamRead,
        attempt: str,
        address: tuple[str, int],
        headers: dict[str, str],
    ) -> float | None:
        opened = asyncio.open_connection(*address)
        reader, writer = await asyncio.wait_for(opened, 1.0)
        try:
            lines = [f"{name}: {value}" for name, value in headers.items()]
            head = "\r\n".join([f"POST {self._path}{attempt} HTTP/1.1", *lines, "", ""])
            writer.write(head.encode())
            first, received = await asyncio.wait_for(read_head(reader), 4.8)
            stream.statuses[-1] = int(first.split(" ")[1])
            if stream.statuses[-1] != 200:
                told = received.get("retry-after")
                return None if told is None else float(told)
            text = b""
            while True:
                line = await asyncio.wait_for(reader.readline(), 6.4)
                size = int(line, 16)
                if size == 0:
                    stream.is_whole = stream.last == EVENTS
                    return None
                text += await reader.readexactly(size)
                await reader.readexactly(2)
                *events, text = text.split(b"\n\n")
                for event in events:
                    self._take(stream, attempt, event.decode())
        except asyncio.IncompleteReadError as error:
            raise DroppedError from error
        finally:
            writer.close()

    def _take(self, stream: StreamRead, attempt: str, event: str) -> None:
        fields = dict(line.split(": ", 1) for line in event.split("\n"))
        stream.first_attempt = stream.first_attempt or attempt
        stream.last = int(fields["id"])
        stream.versions.add(fields["data"].split(" ")[0])
