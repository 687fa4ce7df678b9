"""HTTP transport to backend servers that can batch the reads of a stream."""

from collections.abc import AsyncIterator, Iterable, Iterator
from contextlib import contextmanager
from typing import Any

import httpcore
import httpx
import trio

MAX_HEAD_BYTES = 262_144
"""Bytes up to the end of a response's head, interim responses included. The HTTP
library limits each head, and not their number: they could go on without end."""


class BatchingStream(httpcore.AsyncNetworkStream):
    """A connection with a minimum time between two reads.

    An engine sends an event per step, every few milliseconds, and a read costs the
    same whether it returns one token or five. Data that arrives between two reads
    stays in the kernel's buffer.

    Attributes:
        batch_delay: seconds between two reads; a write resets it to 0.
        awaits_head: whether a response's head has yet to arrive; a write sets it.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._read_at = 0.0
        self._head_bytes = 0
        self.batch_delay = 0.0
        self.awaits_head = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read available data, once the batch delay since the last read has passed.

        Raises:
            httpcore.RemoteProtocolError: the head of a response has no end.
        """
        if self.awaits_head and self._head_bytes > MAX_HEAD_BYTES:
            raise httpcore.RemoteProtocolError("the head has no end")
        if self.batch_delay:
            await trio.sleep_until(self._read_at + self.batch_delay)
        content = await self._stream.read(max_bytes, timeout)
        self._read_at = trio.current_time()
        self._head_bytes += len(content)
        return content

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write, and reset the batch delay so that the response is read at once."""
        self.batch_delay = 0.0
        self.awaits_head = True
        self._head_bytes = 0
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the underlying connection."""
        return self._stream.get_extra_info(info)


class BatchingBackend(httpcore.AsyncNetworkBackend):
    """Opens TCP connections that can batch reads."""

    def __init__(self) -> None:
        self._backend = httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a TCP connection."""
        return BatchingStream(
            await self._backend.connect_tcp(
                host, port, timeout, local_address, socket_options
            )
        )

    async def sleep(self, seconds: float) -> None:
        """Sleep for a number of seconds."""
        await trio.sleep(seconds)


class BatchingTransport(httpx.AsyncBaseTransport):
    """Transport for `httpx.AsyncClient` over connections that can batch reads."""

    def __init__(self, idle_connections: int, keepalive_seconds: float) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=None,
            max_keepalive_connections=idle_connections,
            keepalive_expiry=keepalive_seconds,
            network_backend=BatchingBackend(),
        )

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and return its response once the head has arrived."""
        url = request.url
        assert isinstance(request.stream, httpx.AsyncByteStream)
        with map_errors():
            response = await self._pool.handle_async_request(
                httpcore.Request(
                    method=request.method,
                    url=httpcore.URL(
                        scheme=url.raw_scheme,
                        host=url.raw_host,
                        port=url.port,
                        target=url.raw_path,
                    ),
                    headers=request.headers.raw,
                    content=request.stream,
                    extensions=request.extensions,
                )
            )
        stream = response.extensions.get("network_stream")
        if isinstance(stream, BatchingStream):
            stream.awaits_head = False
        return httpx.Response(
            status_code=response.status,
            headers=response.headers,
            stream=ResponseBody(response),
            extensions=response.extensions,
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


class ResponseBody(httpx.AsyncByteStream):
    """A response body that is streamed as it arrives."""

    def __init__(self, response: httpcore.Response) -> None:
        self._response = response

    async def __aiter__(self) -> AsyncIterator[bytes]:
        with map_errors():
            async for part in self._response.aiter_stream():
                yield part

    async def aclose(self) -> None:
        """Close the response; a connection read to the end of the body is reused."""
        await self._response.aclose()


@contextmanager
def map_errors() -> Iterator[None]:
    """Re-raise httpcore errors as the httpx errors of the same name."""
    try:
        yield
    except (
        httpcore.TimeoutException,
        httpcore.NetworkError,
        httpcore.ProtocolError,
    ) as error:
        error_type: type[httpx.TransportError] = getattr(httpx, type(error).__name__)
        raise error_type(str(error)) from error


def set_batch_delay(response: httpx.Response, seconds: float) -> None:
    """Set the minimum time between two reads for the rest of a response."""
    stream = response.extensions.get("network_stream")
    if isinstance(stream, BatchingStream):
        stream.batch_delay = seconds
