"""The mix of calls of each deployment, and random arrivals for it."""

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
"""Weights of the client accounts in the order given: a few large ones and several
small ones. Accounts after the fifth get the last weight."""
TEMPLATE_WORDS = 64
"""Most words of the prefix that the prompts of an account and operation share, like a
prompt template; engines can serve it from their prefix caches."""


class CallKind(Enum):
    """Kind of service that answers a call."""

    MODEL = "model"
    PLAIN = "plain"


@dataclass(frozen=True, slots=True)
class CallSpec:
    """An operation in a mix of calls.

    Attributes:
        weight: share of the calls.
        prompt_words: mean length of the input, in words.
        tokens: mean length of the answer, in tokens; 0 for a plain service.
        deadline: seconds within which the complete answer is due.
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
    """The mix of calls of a deployment."""

    name: str
    calls: tuple[CallSpec, ...]


@dataclass(frozen=True, slots=True)
class Call:
    """A call to send at a time.

    Attributes:
        at: seconds after the start of the run.
        tokens: length of the answer; 0 for a plain service.
    """

    at: float
    account: str
    spec: CallSpec
    input: str
    tokens: int


MODEL, PLAIN = CallKind.MODEL, CallKind.PLAIN

SELLO_VERDE = Mix(
    "sello-verde",
    (
        CallSpec("registry", "check_status", PLAIN, 0.60),
        CallSpec("registry", "issue_letter", PLAIN, 0.10),
        CallSpec("findings", "draft_finding", MODEL, 0.30, 600, 200, 120.0),
    ),
)
KAROO = Mix(
    "karoo",
    (
        CallSpec("drafting", "answer_question", MODEL, 0.40, 80, 40, 10.0),
        CallSpec("drafting", "draft_certificate", MODEL, 0.10, 800, 300, 300.0),
        CallSpec("drafting", "summarize_anomalies", MODEL, 0.20, 300, 60, 300.0),
        CallSpec("portal", "lookup_tester", PLAIN, 0.25),
        CallSpec("portal", "file_certificate", PLAIN, 0.05),
    ),
)
MIXES = {mix.name: mix for mix in (SELLO_VERDE, KAROO)}


@dataclass(frozen=True, slots=True)
class Arrivals:
    """Parameters of the arrivals.

    Attributes:
        rate: calls per second.
        seconds: duration of the arrivals.
        accounts: client accounts, the largest first.
        seed: seed of the random numbers; the same seed gives the same calls.
        only_operation: the only operation to call; empty for all of the mix.
    """

    rate: float
    seconds: float
    accounts: tuple[str, ...]
    seed: int = 1
    only_operation: str = ""


def draw_calls(mix: Mix, arrivals: Arrivals) -> Iterator[Call]:
    """Yield the random calls of a run, in order of time.

    Callers are independent, so arrivals are a Poisson process. Unlike evenly spaced
    calls, it has bursts.
    """
    rng = random.Random(arrivals.seed)
    specs = [
        candidate
        for candidate in mix.calls
        if arrivals.only_operation in ("", candidate.operation)
    ]
    weights = [spec.weight for spec in specs]
    unweighted_accounts = len(arrivals.accounts) - len(ACCOUNT_WEIGHTS)
    shares = [*ACCOUNT_WEIGHTS, *([ACCOUNT_WEIGHTS[-1]] * max(0, unweighted_accounts))]
    shares = shares[: len(arrivals.accounts)]
    at = rng.expovariate(arrivals.rate)
    while at < arrivals.seconds:
        spec = rng.choices(specs, weights)[0]
        account = rng.choices(arrivals.accounts, shares)[0]
        yield draw_call(at, account, spec, rng)
        at += rng.expovariate(arrivals.rate)


def draw_call(at: float, account: str, spec: CallSpec, rng: random.Random) -> Call:
    """Draw one call, with input and answer of 0.5 to 1.5 times the mean length."""
    length = max(4, round(spec.prompt_words * rng.uniform(0.5, 1.5)))
    template_length = min(TEMPLATE_WORDS, length // 2)
    template = [WORDS[n % len(WORDS)] for n in range(template_length)]
    variable_words = rng.choices(WORDS, k=length - template_length)
    unique_suffix = f"{rng.getrandbits(48):x}"
    prompt = " ".join(
        [account, spec.operation, *template, *variable_words, unique_suffix]
    )
    tokens = max(1, round(spec.tokens * rng.uniform(0.5, 1.5))) if spec.tokens else 0
    return Call(at, account, spec, prompt, tokens)
