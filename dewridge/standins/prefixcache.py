"""Prompt-prefix cache of an engine in limited memory, with its late events."""

import random
from collections import OrderedDict, deque
from collections.abc import Sequence

import msgspec
import xxhash

BLOCK_TOKENS = 16
MAX_EVENTS = 10_000


class CacheEvent(msgspec.Struct, frozen=True):
    """A block that was stored or evicted; numbers have gaps where events are lost."""

    number: int
    kind: str
    block: int
    at: float


class PrefixCache:
    """Blocks of prompts by salt and all that comes before them, oldest evicted."""

    def __init__(self, capacity_tokens: int, lag: float, loss: float, seed: int = 0):
        self._capacity = max(1, capacity_tokens // BLOCK_TOKENS)
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._number = 0
        self._lag = lag
        self._loss = loss
        self._random = random.Random(seed)

    def match(self, salt: str, tokens: Sequence[str]) -> int:
        """Return how many tokens of a prompt are cached from its start."""
        matched = 0
        for block in hash_blocks(salt, tokens):
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            matched += BLOCK_TOKENS
        return matched

    def store(self, salt: str, tokens: Sequence[str], now: float) -> None:
        """Cache the whole blocks of a prompt."""
        for block in hash_blocks(salt, tokens):
            if block not in self._blocks:
                self._publish("stored", block, now)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish("evicted", evicted, now)

    def list_events(self, after: int, now: float) -> list[CacheEvent]:
        """Return the events after a number that are old enough to be seen."""
        seen = now - self._lag
        return [e for e in self._events if e.number > after and e.at <= seen]

    def _publish(self, kind: str, block: int, now: float) -> None:
        self._number += 1
        if self._random.random() >= self._loss:
            self._events.append(CacheEvent(self._number, kind, block, now))


def hash_blocks(salt: str, tokens: Sequence[str]) -> list[int]:
    """Return a hash for each whole block, over the salt and all before it."""
    hashes = []
    state = xxhash.xxh3_64(salt.encode())
    whole = len(tokens) // BLOCK_TOKENS * BLOCK_TOKENS
    for start in range(0, whole, BLOCK_TOKENS):
        state.update(" ".join(tokens[start : start + BLOCK_TOKENS]).encode() + b"\0")
        hashes.append(state.intdigest())
    return hashes
