"""A TCP relay that can stop forwarding without closing its connections."""

import trio


class Relay:
    """Forwards connections to an address until `silence` is called."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._silenced = trio.Event()
        self.address = ""
        self.connection_count = 0

    def silence(self) -> None:
        """Stop forwarding on all open connections; later connections work."""
        self._silenced.set()
        self._silenced = trio.Event()

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Forward connections until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        task_status.started()
        await trio.serve_listeners(self._forward, listeners)

    async def _forward(self, client_stream: trio.SocketStream) -> None:
        self.connection_count += 1
        silenced = self._silenced
        host, _, port = self._target.rpartition(":")
        target_stream = await trio.open_tcp_stream(host, int(port))
        async with client_stream, target_stream, trio.open_nursery() as nursery:
            nursery.start_soon(
                self._copy, client_stream, target_stream, nursery, silenced
            )
            nursery.start_soon(
                self._copy, target_stream, client_stream, nursery, silenced
            )

    async def _copy(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        nursery: trio.Nursery,
        silenced: trio.Event,
    ) -> None:
        try:
            while data := await source.receive_some():
                if silenced.is_set():
                    await trio.sleep_forever()
                await sink.send_all(data)
        except trio.BrokenResourceError:
            pass
        if silenced.is_set():
            await trio.sleep_forever()
        nursery.cancel_scope.cancel()
