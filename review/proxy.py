"""A TCP proxy in front of the store that can be cut off."""

import asyncio


class Proxy:
    """Passes connections on; while it is cut off, bytes get lost without a sign.

    Attributes:
        address: address to connect to.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._open = asyncio.Event()
        self._open.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._handle, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def cut(self) -> None:
        """Hold all bytes in both directions, on new connections too."""
        self._open.clear()

    def heal(self) -> None:
        """End the cut; the connections from before it are reset."""
        for writer in self._writers:
            writer.transport.abort()
        self._open.set()

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        far: asyncio.StreamWriter | None = None
        try:
            await self._open.wait()
            host, port = self._target.split(":")
            far_reader, far = await asyncio.open_connection(host, int(port))
            await asyncio.gather(
                self._pass_on(reader, far), self._pass_on(far_reader, writer)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            for end in (writer, far):
                if end is not None:
                    end.close()

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65_536):
            await self._open.wait()
            writer.write(data)
            await writer.drain()
        writer.close()
