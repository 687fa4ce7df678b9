"""Input, output and state of a socket with few system calls and task switches.

trio's own `send_all` and `receive_some` cost one more pass of the event loop for each
write that succeeds at once, and one more system call for each read that has to wait. In
a gateway that relays streams in small events, these were a large part of its processor
time.
"""

import fcntl
import os
import socket
import struct
import termios

import trio

RECEIVE_BUFFER_BYTES = 65_536
"""Bytes that the kernel holds of a connection's input before it is read. Its own limit
is some megabytes, which a crowd could fill while the process is busy."""
MAX_NOT_SENT_BYTES = 1 << 30
"""Bytes that the kernel may hold and not have sent: as many as its buffer takes."""


async def send_all(stream: trio.SocketStream, data: bytes | memoryview) -> None:
    """Send data; not a checkpoint if the kernel accepts all of it at once.

    No other task runs between a system call that reports the end of the connection and
    the exception here. The kernel reports a reset only once: a task that read in
    between would get an end of input, and not know of the reset. The `send` of trio's
    own sockets lets other tasks run there.

    Raises:
        trio.BrokenResourceError: the connection has ended; its cause is the `OSError`.
        trio.ClosedResourceError: the stream was closed on this side.
    """
    rest = memoryview(data)
    while rest:
        descriptor = stream.socket.fileno()
        if descriptor < 0:
            raise trio.ClosedResourceError("this socket was already closed")
        try:
            rest = rest[os.write(descriptor, rest) :]
        except BlockingIOError:
            await trio.lowlevel.wait_writable(stream.socket)
        except OSError as error:
            raise trio.BrokenResourceError(
                f"socket connection broken: {error}"
            ) from error


def enlarge_send_buffer(connection: trio.socket.SocketType, size: int) -> None:
    """Let the kernel take more bytes of a write that waits for its peer to read.

    What the kernel holds reaches the peer also after this process has ended, unless
    input is left unread. The system limits the size.

    Args:
        connection: the socket.
        size: bytes that the kernel has not taken yet.
    """
    try:
        # The kernel doubles the requested size, for its own overhead.
        held = connection.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF) // 2
        # trio has the kernel hold little that is not sent, however large the buffer is.
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_NOT_SENT_BYTES
        )
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, held + size)
    except OSError:
        # The connection has ended, or the system does not allow it.
        return


def limit_receive_buffers(listener: trio.SocketListener) -> None:
    """Limit what the kernel holds unread of each connection that is accepted."""
    # Accepted connections take it over.
    listener.socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )


async def receive_some(stream: trio.SocketStream, size: int) -> bytes:
    """Wait for data and return up to `size` bytes; empty at the end of the connection.

    Raises:
        trio.BrokenResourceError: the connection was reset.
        trio.ClosedResourceError: the stream was closed on this side.
    """
    while True:
        if stream.socket.fileno() < 0:
            raise trio.ClosedResourceError("this socket was already closed")
        await trio.lowlevel.wait_readable(stream.socket)
        try:
            return os.read(stream.socket.fileno(), size)
        except BlockingIOError:
            continue
        except OSError as error:
            if stream.socket.fileno() < 0:
                raise trio.ClosedResourceError("another task closed it") from error
            raise trio.BrokenResourceError(
                f"socket connection broken: {error}"
            ) from error


def count_unacknowledged(connection: trio.socket.SocketType) -> int:
    """Return the bytes written that the other side's kernel has not acknowledged.

    Returns 0 for a connection that is closed on this side, or if the system can't say.
    """
    if connection.fileno() < 0:
        return 0
    try:
        answer = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    count: int = struct.unpack("i", answer)[0]
    return count


def has_input(connection: trio.socket.SocketType) -> bool:
    """Whether the kernel holds unread input, or the end of the connection.

    The check is not a checkpoint: no other task runs during it, so that the caller can
    close a connection found without input, or send a request on it, before any input
    is processed. Returns False for a connection that is closed on this side.
    """
    if connection.fileno() < 0:
        return False
    # trio's own `recv` would wait; the file descriptor is non-blocking.
    duplicate = socket.socket(fileno=connection.fileno())
    try:
        duplicate.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        duplicate.detach()
    return True
