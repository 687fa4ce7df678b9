"""A caller as PROTOCOL.md describes clients."""

import asyncio
import json
import secrets
import time
from dataclasses import dataclass, field

from deployment import HOSTNAME, KEY, Gateway
from wire import (
    EndedError,
    Message,
    format_head,
    read_chunk,
    read_exactly,
    read_head,
    read_sized,
)

EVENT_END = b"\n\n"


@dataclass
class Reply:
    """What a caller got for one attempt.

    Attributes:
        attempt: id of the attempt.
        status: status of the answer; 0 without a head.
        has_seal: whether it bears a worker's seal.
        body: the bytes of the body that arrived.
        is_complete: whether the answer came to its end by its framing.
    """

    attempt: str
    status: int = 0
    has_seal: bool = False
    body: bytes = b""
    is_complete: bool = False

    @property
    def events(self) -> list[bytes]:
        """The whole events."""
        return self.body.split(EVENT_END)[:-1]


@dataclass
class AddressList:
    """Addresses that a host named, and until when a caller may use them."""

    addresses: list[str] = field(default_factory=list)
    asked_at: float = 0.0
    ttl: float = 0.0


def make_attempt_id() -> str:
    """Return a new id of an attempt."""
    return secrets.token_hex(8)


class Call:
    """One attempt on a channel of its own."""

    def __init__(self, address: str, path: str, *, budget_ms: int) -> None:
        self.reply = Reply(make_attempt_id())
        self._address = address
        self._path = path
        self._budget_ms = budget_ms
        self._writer: asyncio.StreamWriter | None = None

    def abort(self) -> None:
        """Reset the channel."""
        if self._writer is not None:
            self._writer.transport.abort()

    async def run(self, headers: dict[str, str], body: bytes = b"") -> Reply:
        """Send the request and read the answer as far as it comes."""
        host, port = self._address.split(":")
        try:
            reader, self._writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return self.reply
        fields = {
            "Host": HOSTNAME,
            "X-Attempt-Id": self.reply.attempt,
            "X-Deadline-Ms": str(self._budget_ms),
            "X-Api-Key": KEY,
            **headers,
            "Content-Length": str(len(body)),
        }
        try:
            head = format_head(f"POST {self._path} HTTP/1.1", fields)
            self._writer.write(head + body)
            await self._read(reader)
        except (EndedError, ConnectionError):
            pass
        finally:
            self._writer.close()
        return self.reply

    async def _read(self, reader: asyncio.StreamReader) -> None:
        head = await read_head(reader)
        if head is None:
            return
        self.reply.status = head.status
        self.reply.has_seal = "x-server-seal" in head.headers
        await self._read_body(reader, head)
        self.reply.is_complete = True

    async def _read_body(self, reader: asyncio.StreamReader, head: Message) -> None:
        if head.headers.get("transfer-encoding", "").lower() != "chunked":
            length = int(head.headers["content-length"])
            self.reply.body = await read_exactly(reader, length)
            return
        while (part := await read_chunk(reader)) is not None:
            self.reply.body += part


async def resolve(gateway: Gateway) -> AddressList:
    """Ask a host for the addresses to use."""
    host, port = gateway.directory.split(":")
    asked_at = time.monotonic()
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        target = f"/-/resolve?name={HOSTNAME}&region=region-a&zone=zone-a"
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {HOSTNAME}\r\n\r\n".encode())
        head = await read_head(reader)
        if head is None or head.status != 200:
            return AddressList()
        found = json.loads(await read_sized(reader, head))
        return AddressList(found["addresses"], asked_at, found["ttl_s"])
    finally:
        writer.close()
