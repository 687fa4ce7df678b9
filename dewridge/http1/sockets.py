"""What can be told of a connection without reading from it."""

import socket

import trio


def has_input(connection: trio.socket.SocketType) -> bool:
    """Whether input, or the connection's end, waits in the kernel unread.

    Nothing runs meanwhile, so that a connection found without any can be closed, or
    a request sent on it, before something comes. A closed connection has none.
    """
    if connection.fileno() < 0:
        return False
    # trio's own `recv` would wait; the file descriptor is non-blocking.
    copy = socket.socket(fileno=connection.fileno())
    try:
        copy.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        copy.detach()
    return True
