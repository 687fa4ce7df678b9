"""A small HTTP/1.1 server for stand-ins, and calls for clients."""

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit

REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed"}


@dataclass
class Request:
    """A request as a stand-in reads it; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The path without the query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """The fields of the query."""
        return dict(parse_qsl(urlsplit(self.target).query))

    def read_json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body or b"{}")


@dataclass
class Response:
    """A complete answer."""

    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass
class Streamed:
    """An answer in chunks, which ends with the last part."""

    headers: dict[str, str]
    parts: AsyncIterator[bytes]
    status: int = 200


def make_json(value: Any, status: int = 200) -> Response:
    """Return an answer with a JSON body."""
    headers = {"Content-Type": "application/json"}
    return Response(status, headers, json.dumps(value).encode())


class DroppedError(Exception):
    """The stand-in closes the connection without an answer."""


Handler = Callable[[Request], Awaitable[Response | Streamed]]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message.

    Raises:
        DroppedError: the connection ended before a head.
    """
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError) as error:
        raise DroppedError from error
    first, *lines = text.rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a body that has a length, chunks, or neither and is empty."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readline()
    return body


def encode_response(response: Response) -> bytes:
    """Return the bytes of an answer."""
    reason = REASONS.get(response.status, "Status")
    headers = {**response.headers, "Content-Length": str(len(response.body))}
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join([f"HTTP/1.1 {response.status} {reason}", *lines, "", ""])
    return head.encode() + response.body


async def write_stream(writer: asyncio.StreamWriter, streamed: Streamed) -> None:
    """Write an answer in chunks; a closed connection ends it."""
    headers = {**streamed.headers, "Transfer-Encoding": "chunked"}
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join([f"HTTP/1.1 {streamed.status} OK", *lines, "", ""])
    writer.write(head.encode())
    async for part in streamed.parts:
        if writer.is_closing():
            raise DroppedError
        writer.write(b"%x\r\n%s\r\n" % (len(part), part))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


async def open_server(
    handler: Handler, host: str = "127.0.0.1", port: int = 0
) -> tuple[asyncio.Server, int]:
    """Serve HTTP; return the server and its port."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                response = await handler(Request(method, target, headers, body))
                if isinstance(response, Streamed):
                    await write_stream(writer, response)
                else:
                    writer.write(encode_response(response))
                await writer.drain()
        except (DroppedError, OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The run has ended.
            pass
        finally:
            with suppress(OSError):
                writer.close()

    server = await asyncio.start_server(serve, host, port, limit=1 << 20)
    return server, server.sockets[0].getsockname()[1]


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> Response:
    """Make one call on a new connection.

    Raises:
        OSError: the connection failed.
        DroppedError: it ended without a complete answer.
    """
    reader, writer = await asyncio.open_connection(*address)
    try:
        fields = {"Host": "registro.example", **(headers or {})}
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        lines = [f"{name}: {value}" for name, value in fields.items()]
        head = "\r\n".join([f"{method} {target} HTTP/1.1", *lines, "", ""])
        writer.write(head.encode() + body)
        await writer.drain()
        first, received = await read_head(reader)
        content = await read_body(reader, received)
        return Response(int(first.split(" ")[1]), received, content)
    except (asyncio.IncompleteReadError, ValueError) as error:
        raise DroppedError from error
    finally:
        with suppress(OSError):
            writer.close()
