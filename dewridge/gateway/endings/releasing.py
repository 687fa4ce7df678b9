"""Frees the engine memory that ended jobs left behind."""

from dewridge.gateway.moves import free_left_memory
from dewridge.gateway.state import GatewayState


async def release_memory(state: GatewayState) -> None:
    """Free memory forever, one call at a time."""
    while True:
        left = await state.left_memories.wait()
        try:
            await free_left_memory(state, left)
        finally:
            state.left_memories.finish()
