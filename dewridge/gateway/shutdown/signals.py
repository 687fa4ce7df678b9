"""Signals of the platform: SIGTERM stops the process gracefully, SIGHUP reloads."""

import signal
from collections.abc import Callable
from types import FrameType

import trio
from loguru import logger as log


def handle_signals(
    on_reload: Callable[[], None], on_terminate: Callable[[], None]
) -> trio.Event:
    """Handle signals until the process has ended; return the event that SIGTERM sets.

    The handlers are never removed: a signal that arrives while the host leaves, or at
    its very end, would have its default effect and end the process at once.

    Args:
        on_reload: called after each SIGHUP, also while the host leaves.
        on_terminate: called at once at each SIGTERM, between any two instructions.
    """
    token = trio.lowlevel.current_trio_token()
    leaving = trio.Event()

    def apply(number: int) -> None:
        if number == signal.SIGHUP:
            on_reload()
        elif leaving.is_set():
            log.info("leaving already")
        else:
            leaving.set()

    def handle(number: int, frame: FrameType | None) -> None:
        try:
            if number == signal.SIGTERM:
                on_terminate()
            token.run_sync_soon(apply, number)
        except trio.RunFinishedError:
            return

    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, handle)
    return leaving
