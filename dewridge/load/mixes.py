"""What the callers of each deployment ask for, and when."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

WORDS = tuple(
    """
    dossier line inspection storage lot segregation tools supervisor gauge valve
    reading relief history site street pressure certificate plant shift record
    """.split()  # noqa: SIM905 - a list of quoted words reads worse
)
ACCOUNT_WEIGHTS = (0.40, 0.30, 0.20, 0.06, 0.04)
"""Shares of the client accounts, in the order in which they are named: a few large
ones and several small ones. More than five share like the last."""
COMMON_WORDS = 64
"""Words that all prompts of an account and operation begin with, as a template
would; the engines' prefix caches see them again."""


class CallKind(Enum):
    """What answers a call."""

    MODEL = "model"
    PLAIN = "plain"


@dataclass(frozen=True, slots=True)
class CallShape:
    """One operation as callers use it.

    Attributes:
        weight: its share of the calls.
        prompt_words: length of the input, on average.
        tokens: length of the answer, on average; 0 for a plain service.
        deadline: seconds within which the whole answer is wanted.
    """

    service: str
    operation: str
    kind: CallKind
    weight: float
    prompt_words: int = 12
    tokens: int = 0
    deadline: float = 10.0


@dataclass(frozen=True, slots=True)
class Mix:
    """The calls of a deployment."""

    name: str
    calls: tuple[CallShape, ...]


@dataclass(frozen=True, slots=True)
class Call:
    """One call to be made at a time after the start."""

    at: float
    account: str
    shape: CallShape
    input: str
    tokens: int


MODEL, PLAIN = CallKind.MODEL, CallKind.PLAIN

SELLO_VERDE = Mix(
    "sello-verde",
    (
        CallShape("registry", "check_status", PLAIN, 0.60),
        CallShape("registry", "issue_letter", PLAIN, 0.10),
        CallShape("findings", "draft_finding", MODEL, 0.30, 600, 200, 120.0),
    ),
)
KAROO = Mix(
    "karoo",
    (
        CallShape("drafting", "answer_question", MODEL, 0.40, 80, 40, 10.0),
        CallShape("drafting", "draft_certificate", MODEL, 0.10, 800, 300, 300.0),
        CallShape("drafting", "summarize_anomalies", MODEL, 0.20, 300, 60, 300.0),
        CallShape("portal", "lookup_tester", PLAIN, 0.25),
        CallShape("portal", "file_certificate", PLAIN, 0.05),
    ),
)
MIXES = {mix.name: mix for mix in (SELLO_VERDE, KAROO)}


@dataclass(frozen=True, slots=True)
class Arrivals:
    """When calls arrive, and whose they are.

    Attributes:
        rate: calls a second.
        accounts: client accounts, the largest first.
        seed: makes a run repeatable.
        only: the one operation to call; empty: all of the mix.
    """

    rate: float
    seconds: float
    accounts: tuple[str, ...]
    seed: int = 1
    only: str = ""


def make_calls(mix: Mix, arrivals: Arrivals) -> Iterator[Call]:
    """Draw the calls of a run, in order of time.

    Callers do not know of each other, so that arrivals are a Poisson process:
    it has the bursts that an even spacing hides.
    """
    drawn = random.Random(arrivals.seed)
    shapes = [s for s in mix.calls if arrivals.only in ("", s.operation)]
    weights = [shape.weight for shape in shapes]
    surplus = len(arrivals.accounts) - len(ACCOUNT_WEIGHTS)
    shares = [*ACCOUNT_WEIGHTS, *([ACCOUNT_WEIGHTS[-1]] * max(0, surplus))]
    shares = shares[: len(arrivals.accounts)]
    at = drawn.expovariate(arrivals.rate)
    while at < arrivals.seconds:
        shape = drawn.choices(shapes, weights)[0]
        account = drawn.choices(arrivals.accounts, shares)[0]
        yield make_call(at, account, shape, drawn)
        at += drawn.expovariate(arrivals.rate)


def make_call(at: float, account: str, shape: CallShape, drawn: random.Random) -> Call:
    """Draw one call: its input, and a length of a half to one and a half times."""
    count = max(4, round(shape.prompt_words * drawn.uniform(0.5, 1.5)))
    common = min(COMMON_WORDS, count // 2)
    template = [WORDS[n % len(WORDS)] for n in range(common)]
    rest = drawn.choices(WORDS, k=count - common)
    mark = f"{drawn.getrandbits(48):x}"
    prompt = " ".join([account, shape.operation, *template, *rest, mark])
    tokens = (
        max(1, round(shape.tokens * drawn.uniform(0.5, 1.5))) if shape.tokens else 0
    )
    return Call(at, account, shape, prompt, tokens)
