"""Deterministic answer tokens, computed from the prompt so that they can be checked."""

from collections.abc import Sequence

import xxhash

VOCABULARY = tuple(
    """
    the plant records show that each line was cleaned before the shift and
    lot numbers match while storage logs for one cold room lack two entries
    supervisor must sign segregation of tools is kept gauge readings hold
    within limits valve closed tightly at test and relief opened as stated
    """.split()  # noqa: SIM905 - a list of quoted words is harder to read
)


def digest_prompt(prompt: str) -> int:
    """Return a 64-bit hash of a prompt, from which its answer is computed."""
    return xxhash.xxh3_64_intdigest(prompt.encode())


def make_token(digest: int, index: int) -> str:
    """Return the token at an index of the answer to a prompt.

    It contains four hex digits of a hash of both, to distinguish it from tokens of
    other answers or at other indexes.
    """
    token_hash = xxhash.xxh3_64_intdigest(digest.to_bytes(8, "big"), seed=index)
    return f" {VOCABULARY[token_hash % len(VOCABULARY)]}/{token_hash >> 48:04x}"


def make_answer(prompt: str, count: int) -> list[str]:
    """Return the complete answer of `count` tokens to a prompt."""
    digest = digest_prompt(prompt)
    return [make_token(digest, index) for index in range(count)]


def split_prompt(prompt: str) -> list[str]:
    """Return a prompt's tokens, one for each word."""
    return prompt.split()


def is_expected_answer(prompt: str, count: int, tokens: Sequence[str]) -> bool:
    """Whether tokens are the complete answer of `count` tokens to a prompt."""
    return list(tokens) == make_answer(prompt, count)
