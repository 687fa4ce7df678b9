"""HTTP transport to backend servers whose streams gather what they read."""

from collections.abc import AsyncIterator, Iterable, Iterator
from contextlib import contextmanager
from typing import Any

import httpcore
import httpx
import trio


class GatheringStream(httpcore.AsyncNetworkStream):
    """A connection on which reads can be made to lie some time apart.

    An engine sends an event a step, every few milliseconds, and each read
    costs the same whether it brings one token or five. What comes between two
    reads waits in the kernel's buffer.

    Attributes:
        gather: seconds between two reads; the next request sets it back to 0.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._read_at = 0.0
        self.gather = 0.0

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read what has come, once the time since the last read has passed."""
        if self.gather:
            await trio.sleep_until(self._read_at + self.gather)
        content = await self._stream.read(max_bytes, timeout)
        self._read_at = trio.current_time()
        return content

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write, and read the answer without delay."""
        self.gather = 0.0
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return what the library knows of the connection."""
        return self._stream.get_extra_info(info)


class GatheringBackend(httpcore.AsyncNetworkBackend):
    """Makes connections whose streams can gather."""

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
        """Connect to an address."""
        return GatheringStream(
            await self._backend.connect_tcp(
                host, port, timeout, local_address, socket_options
            )
        )

    async def sleep(self, seconds: float) -> None:
        """Wait."""
        await trio.sleep(seconds)


class GatheringTransport(httpx.AsyncBaseTransport):
    """Transport of an `httpx.AsyncClient` over gathering connections."""

    def __init__(self, idle_connections: int, keepalive: float) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=None,
            max_keepalive_connections=idle_connections,
            keepalive_expiry=keepalive,
            network_backend=GatheringBackend(),
        )

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and return the beginning of its answer."""
        url = request.url
        assert isinstance(request.stream, httpx.AsyncByteStream)
        with map_errors():
            answer = await self._pool.handle_async_request(
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
        return httpx.Response(
            status_code=answer.status,
            headers=answer.headers,
            stream=Body(answer),
            extensions=answer.extensions,
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


class Body(httpx.AsyncByteStream):
    """The body of an answer as it comes."""

    def __init__(self, answer: httpcore.Response) -> None:
        self._answer = answer

    async def __aiter__(self) -> AsyncIterator[bytes]:
        with map_errors():
            async for part in self._answer.aiter_stream():
                yield part

    async def aclose(self) -> None:
        """Close the answer; its connection is reused if it was read to its end."""
        await self._answer.aclose()


@contextmanager
def map_errors() -> Iterator[None]:
    """Turn the lower library's errors into those of the same name above it."""
    try:
        yield
    except (
        httpcore.TimeoutException,
        httpcore.NetworkError,
        httpcore.ProtocolError,
    ) as error:
        made: type[httpx.TransportError] = getattr(httpx, type(error).__name__)
        raise made(str(error)) from error


def gather_reads(answer: httpx.Response, seconds: float) -> None:
    """Let the rest of an answer be read at some distance of time."""
    stream = answer.extensions.get("network_stream")
    if isinstance(stream, GatheringStream):
        stream.gather = seconds
