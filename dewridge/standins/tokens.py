"""Tokens that are a function of the prompt, so that a checker knows the answer."""

from collections.abc import Sequence

import xxhash

VOCABULARY = tuple(
    """
    the plant records show that each line was cleaned before the shift and
    lot numbers match while storage logs for one cold room lack two entries
    supervisor must sign segregation of tools is kept gauge readings hold
    within limits valve closed tightly at test and relief opened as stated
    """.split()  # noqa: SIM905 - a list of quoted words reads worse
)


def digest_prompt(prompt: str) -> int:
    """Return what stands for a prompt."""
    return xxhash.xxh3_64_intdigest(prompt.encode())


def make_token(digest: int, index: int) -> str:
    """Return the token at an index of the answer to a prompt.

    It carries four digits of a hash of both, so that a token of another
    answer, or of another place, does not pass for it.
    """
    mark = xxhash.xxh3_64_intdigest(digest.to_bytes(8, "big"), seed=index)
    return f" {VOCABULARY[mark % len(VOCABULARY)]}/{mark >> 48:04x}"


def make_answer(prompt: str, count: int) -> list[str]:
    """Return the whole answer to a prompt."""
    digest = digest_prompt(prompt)
    return [make_token(digest, index) for index in range(count)]


def split_prompt(prompt: str) -> list[str]:
    """Return a prompt's tokens; one a word."""
    return prompt.split()


def is_expected_answer(prompt: str, count: int, tokens: Sequence[str]) -> bool:
    """Whether tokens are the whole answer to a prompt."""
    return list(tokens) == make_answer(prompt, count)
