"""Queries of a socket's state that consume none of its input."""

import socket

import trio


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
