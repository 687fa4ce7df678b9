"""Reading and writing of HTTP/1.1 messages on asyncio streams."""

import asyncio
import json
from dataclasses import dataclass
from typing import Any

MAX_HEAD_BYTES = 65_536


class EndedError(Exception):
    """The connection ended before a message was complete."""


@dataclass
class Message:
    """The head of a request or an answer; header names are in lower case."""

    start: str
    headers: dict[str, str]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start.split(" ")[1])

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.start.split(" ")[1]

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ")[0]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; return None if the connection ends before its first byte."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise EndedError from error
    except (ConnectionError, asyncio.LimitOverrunError) as error:
        raise EndedError from error
    start, *lines = raw[:-4].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Message(start, {name.lower(): value.strip() for name, _, value in pairs})


async def read_sized(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Read a body with a length or in chunks; empty without either."""
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while (part := await read_chunk(reader)) is not None:
            parts.append(part)
        return b"".join(parts)
    length = int(message.headers.get("content-length", "0"))
    return await read_exactly(reader, length) if length else b""


async def read_chunk(reader: asyncio.StreamReader) -> bytes | None:
    """Read one chunk; return None for the one that ends the body."""
    size = int((await read_line(reader)).split(b";")[0], 16)
    data = await read_exactly(reader, size + 2)
    return data[:-2] if size else None


async def read_line(reader: asyncio.StreamReader) -> bytes:
    """Read a line; raise if the connection ends within it."""
    try:
        line = await reader.readline()
    except ConnectionError as error:
        raise EndedError from error
    if not line.endswith(b"\n"):
        raise EndedError
    return line.strip()


async def read_exactly(reader: asyncio.StreamReader, size: int) -> bytes:
    """Read some bytes; raise if the connection ends before."""
    try:
        return await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise EndedError from error


def format_head(start: str, headers: dict[str, str]) -> bytes:
    """Return the bytes of a head."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def format_answer(status: int, body: bytes, headers: dict[str, str]) -> bytes:
    """Return the bytes of an answer with a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    return format_head(f"HTTP/1.1 {status} Answer", fields) + body


def format_json(status: int, value: Any, headers: dict[str, str]) -> bytes:
    """Return the bytes of an answer with a value as JSON."""
    fields = {**headers, "Content-Type": "application/json"}
    return format_answer(status, json.dumps(value).encode(), fields)
