"""Bounded mailboxes for messages between tasks, and promises for replies."""

from typing import Any, Generic, TypeVar

import trio

from dewridge.codes import ResultCode
from dewridge.sentinels import Failure

T = TypeVar("T")


class Mailbox(Generic[T]):
    """A bounded message queue with a single receiving task.

    Attributes:
        dropped: number of messages dropped because the mailbox was full.
    """

    def __init__(self, capacity: int) -> None:
        self._send: trio.MemorySendChannel[T]
        self._receive: trio.MemoryReceiveChannel[T]
        self._send, self._receive = trio.open_memory_channel[T](capacity)
        self.dropped = 0

    def post(self, message: T) -> bool:
        """Queue a message without waiting.

        Returns:
            False if the mailbox is full; the message is then dropped and counted.
        """
        try:
            self._send.send_nowait(message)
        except trio.WouldBlock:
            self.dropped += 1
            return False
        return True

    async def put(self, message: T) -> None:
        """Queue a message, waiting while the mailbox is full."""
        await self._send.send(message)

    async def receive(self) -> T:
        """Wait for the next message."""
        return await self._receive.receive()

    def receive_all(self) -> list[T]:
        """Return all queued messages without waiting."""
        messages: list[T] = []
        while True:
            try:
                messages.append(self._receive.receive_nowait())
            except trio.WouldBlock:
                return messages

    def __len__(self) -> int:
        return self._send.statistics().current_buffer_used


class Promise(Generic[T]):
    """Holds the single reply to a message."""

    def __init__(self) -> None:
        self._event = trio.Event()
        self._value: T | Failure = Failure(ResultCode.INTERNAL, "no reply")

    def fulfil(self, value: T | Failure) -> None:
        """Set the reply; later replies are ignored."""
        if not self._event.is_set():
            self._value = value
            self._event.set()

    @property
    def is_fulfilled(self) -> bool:
        """Whether the reply has been set."""
        return self._event.is_set()

    async def wait(self, timeout: float, on_timeout: Failure) -> T | Failure:
        """Wait for the reply, or return `on_timeout` after `timeout` seconds."""
        with trio.move_on_after(timeout):
            await self._event.wait()
        return self._value if self._event.is_set() else on_timeout


AnyMailbox = Mailbox[Any]
