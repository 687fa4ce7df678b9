"""Prompt prefix cache of a simulated engine, with delayed and lossy cache events."""

import random
from collections import OrderedDict, deque
from collections.abc import Sequence

import msgspec
import xxhash

BLOCK_TOKENS = 16
"""Tokens in a block, the unit of caching."""
MAX_EVENTS = 10_000


class CacheEvent(msgspec.Struct, frozen=True):
    """A stored or evicted block; gaps in the event numbers show lost events."""

    number: int
    kind: str
    block: int
    at: float


class PrefixCache:
    """Cache of prompt blocks with LRU eviction.

    A block is identified by a hash of the salt and of the prompt up to its end.
    """

    def __init__(self, capacity_tokens: int, lag: float, loss: float, seed: int = 0):
        self._capacity = max(1, capacity_tokens // BLOCK_TOKENS)
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._last_number = 0
        self._event_lag = lag
        self._event_loss = loss
        self._random = random.Random(seed)

    def match(self, salt: str, tokens: Sequence[str]) -> int:
        """Return the number of leading tokens of a prompt that are cached."""
        matched = 0
        for block in hash_blocks(salt, tokens):
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            matched += BLOCK_TOKENS
        return matched

    def store(self, salt: str, tokens: Sequence[str], now: float) -> None:
        """Cache the complete blocks of a prompt."""
        for block in hash_blocks(salt, tokens):
            if block not in self._blocks:
                self._publish("stored", block, now)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish("evicted", evicted, now)

    def list_events(self, after: int, now: float) -> list[CacheEvent]:
        """Return the visible events with numbers above `after`."""
        visible_until = now - self._event_lag
        return [e for e in self._events if e.number > after and e.at <= visible_until]

    def _publish(self, kind: str, block: int, now: float) -> None:
        self._last_number += 1
        if self._random.random() >= self._event_loss:
            self._events.append(CacheEvent(self._last_number, kind, block, now))


def hash_blocks(salt: str, tokens: Sequence[str]) -> list[int]:
    """Return a hash of each complete block, which covers salt and earlier blocks."""
    hashes = []
    state = xxhash.xxh3_64(salt.encode())
    complete_length = len(tokens) // BLOCK_TOKENS * BLOCK_TOKENS
    for start in range(0, complete_length, BLOCK_TOKENS):
        state.update(" ".join(tokens[start : start + BLOCK_TOKENS]).encode() + b"\0")
        hashes.append(state.intdigest())
    return hashes
