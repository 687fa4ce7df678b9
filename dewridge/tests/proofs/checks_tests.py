"""Checks accept a correct history for each promise and report violating ones."""

import msgspec
import pytest

from dewridge.proofs.checks import check_fault_coverage, check_history
from dewridge.proofs.history import (
    Acknowledged,
    ChangeAnswered,
    ChangeAsked,
    Concluded,
    Event,
    Executed,
    History,
    Injected,
    Leaving,
    Observed,
    Submitted,
)
from dewridge.standins.misbehaviour import CRASH_PREFIX
from dewridge.standins.tokens import digest_prompt, make_answer

PROMPT = "plant 7, line 2"
FULL_ANSWER = "".join(make_answer(PROMPT, 3))
LETTER = f'{{"reference": "{digest_prompt(PROMPT):016x}", "serial": "w-1"}}'

SUBMITTED = Submitted(1, "c", "a", "k", 1, "draft_finding", PROMPT, 3, True)
LETTER_SUBMITTED = Submitted(1, "c", "a", "k", 1, "issue_letter", PROMPT, 0, False)
ACKNOWLEDGED = Acknowledged(2, "k", 1)
EXECUTED = Executed(3, "s", "k", "t1", "draft_finding", 0, 3, "done")
DONE = Concluded(4, "k", 1, "done", 0, FULL_ANSWER, 10)
LETTER_DONE = msgspec.structs.replace(DONE, text=LETTER)
NOT_RUN = Concluded(4, "k", 1, "not_run", 201, "", 10, retry_after=1.0)
CHANGE_ASKED = ChangeAsked(1, "x", "profile/a", 1, 0.4)
CHANGE_ACCEPTED = ChangeAnswered(2, "x", "profile/a", 2, 0)
CRASHING_SUBMITTED = msgspec.structs.replace(SUBMITTED, prompt=f"{CRASH_PREFIX}page 3")
CRASHES = [msgspec.structs.replace(EXECUTED, at=n, attempt=f"t{n}") for n in (3, 4, 5)]
LATE_CRASHES = [
    msgspec.structs.replace(EXECUTED, at=n, attempt=f"t{n}") for n in (9, 10, 11)
]


def replace_fields(event: Event, **fields: object) -> Event:
    return msgspec.structs.replace(event, **fields)


CORRECT_HISTORIES: dict[int, list[Event]] = {
    1: [SUBMITTED, ACKNOWLEDGED, EXECUTED, DONE],
    2: [SUBMITTED, EXECUTED, DONE],
    3: [SUBMITTED, NOT_RUN],
    4: [LETTER_SUBMITTED, EXECUTED, LETTER_DONE],
    5: [Leaving(2, "s", 9), EXECUTED],
    6: [SUBMITTED, ACKNOWLEDGED, EXECUTED, DONE],
    7: [CHANGE_ASKED, CHANGE_ACCEPTED, Observed(3, "h", "profile/a", 2, 0.4)],
    8: [CRASHING_SUBMITTED, *CRASHES, *LATE_CRASHES],
}

VIOLATING_HISTORIES: list[tuple[int, list[Event]]] = [
    (
        8,
        [
            CRASHING_SUBMITTED,
            *CRASHES,
            *LATE_CRASHES,
            replace_fields(EXECUTED, at=12.0, attempt="t12"),
        ],
    ),
    (1, [SUBMITTED, ACKNOWLEDGED, EXECUTED]),
    (
        1,
        [
            SUBMITTED,
            ACKNOWLEDGED,
            EXECUTED,
            replace_fields(DONE, verdict="failed", code=400),
        ],
    ),
    (2, [SUBMITTED, EXECUTED, replace_fields(DONE, text=FULL_ANSWER[:-3])]),
    (
        2,
        [
            SUBMITTED,
            EXECUTED,
            replace_fields(DONE, text="".join(make_answer("another", 3))),
        ],
    ),
    (2, [LETTER_SUBMITTED, EXECUTED, replace_fields(DONE, text='{"reference": "00"}')]),
    (3, [SUBMITTED, EXECUTED, NOT_RUN]),
    (3, [SUBMITTED, replace_fields(NOT_RUN, retry_after=None)]),
    (3, [SUBMITTED, replace_fields(NOT_RUN, at=30.0)]),
    (
        4,
        [
            LETTER_SUBMITTED,
            EXECUTED,
            replace_fields(EXECUTED, attempt="t2", state="running"),
            LETTER_DONE,
        ],
    ),
    (
        4,
        [
            replace_fields(SUBMITTED, idempotent=False),
            EXECUTED,
            replace_fields(EXECUTED, attempt="t2"),
            DONE,
        ],
    ),
    (4, [LETTER_SUBMITTED, LETTER_DONE]),
    (
        4,
        [
            LETTER_SUBMITTED,
            EXECUTED,
            LETTER_DONE,
            replace_fields(LETTER_DONE, text=LETTER.replace("w-1", "w-2")),
        ],
    ),
    (5, [Leaving(2, "s", 9), replace_fields(EXECUTED, at=6.0)]),
    (
        6,
        [
            SUBMITTED,
            ACKNOWLEDGED,
            EXECUTED,
            replace_fields(DONE, verdict="unknown", code=300, retry_after=1),
        ],
    ),
    (7, [CHANGE_ASKED, CHANGE_ACCEPTED, Observed(20, "h", "profile/a", 1, 0.2)]),
    (
        7,
        [
            Observed(1, "h", "profile/a", 2, 0.4),
            Observed(2, "h", "profile/a", 1, 0.2),
        ],
    ),
    (
        7,
        [
            CHANGE_ASKED,
            CHANGE_ACCEPTED,
            replace_fields(CHANGE_ASKED, change="y"),
            replace_fields(CHANGE_ACCEPTED, change="y", revision=3),
        ],
    ),
]


@pytest.mark.parametrize("promise", CORRECT_HISTORIES)
def test_correct_history_passes(promise: int) -> None:
    assert check_history(History(CORRECT_HISTORIES[promise]), [promise]) == []


@pytest.mark.parametrize("number", range(len(VIOLATING_HISTORIES)))
def test_violating_history_is_reported(number: int) -> None:
    promise, events = VIOLATING_HISTORIES[number]
    violations = check_history(History(events), [promise])
    assert promise in {violation.promise for violation in violations}


def test_run_without_fault_during_work_is_reported() -> None:
    idle = History([SUBMITTED, DONE, Injected(5, "kill", "h", 0)])
    busy = History([SUBMITTED, DONE, Injected(5, "kill", "h", 3)])
    assert check_fault_coverage(idle)
    assert not check_fault_coverage(busy)
