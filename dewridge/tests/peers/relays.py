"""A relay between two ends that stops forwarding without closing anything."""

import trio


class Relay:
    """Forwards connections to an address until told to go silent."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._silenced = trio.Event()
        self.address = ""
        self.opened = 0

    def silence(self) -> None:
        """Stop forwarding on the connections open now; new ones work."""
        self._silenced.set()
        self._silenced = trio.Event()

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Forward connections until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        task_status.started()
        await trio.serve_listeners(self._forward, listeners)

    async def _forward(self, near: trio.SocketStream) -> None:
        self.opened += 1
        silenced = self._silenced
        host, _, port = self._target.rpartition(":")
        far = await trio.open_tcp_stream(host, int(port))
        async with near, far, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, near, far, nursery, silenced)
            nursery.start_soon(self._copy, far, near, nursery, silenced)

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
