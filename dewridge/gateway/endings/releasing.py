"""Frees the engine memory that ended jobs left behind."""

import trio

from dewridge.gateway.moves import free_left_memory
from dewridge.gateway.state import GatewayState

CONCURRENT_RELEASES = 4
"""Calls at a time. An engine that does not respond must not delay the others."""


async def release_memory(state: GatewayState) -> None:
    """Free memory as it is left, forever."""
    async with trio.open_nursery() as nursery:
        for _ in range(CONCURRENT_RELEASES):
            nursery.start_soon(_release_in_turn, state)


async def _release_in_turn(state: GatewayState) -> None:
    while True:
        left = await state.left_memories.wait()
        try:
            await free_left_memory(state, left)
        finally:
            state.left_memories.finish()
