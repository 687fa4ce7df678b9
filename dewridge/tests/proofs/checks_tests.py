"""The checker rejects a handmade bad history of each promise, and passes a good one."""

import msgspec
import pytest

from dewridge.proofs.checks import check_exercised, check_history
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
WHOLE = "".join(make_answer(PROMPT, 3))
LETTER = f'{{"reference": "{digest_prompt(PROMPT):016x}", "serial": "w-1"}}'

ASKED = Submitted(1, "c", "a", "k", 1, "draft_finding", PROMPT, 3, True)
LETTER_ASKED = Submitted(1, "c", "a", "k", 1, "issue_letter", PROMPT, 0, False)
HEARD = Acknowledged(2, "k", 1)
RAN = Executed(3, "s", "k", "t1", "draft_finding", 0, 3, "done")
DONE = Concluded(4, "k", 1, "done", 0, WHOLE, 10)
LETTER_DONE = msgspec.structs.replace(DONE, text=LETTER)
REFUSED = Concluded(4, "k", 1, "not_run", 201, "", 10, retry_after=1.0)
CHANGED = ChangeAsked(1, "x", "profile/a", 1, 0.4)
ACCEPTED = ChangeAnswered(2, "x", "profile/a", 2, 0)
CRASHING = msgspec.structs.replace(ASKED, prompt=f"{CRASH_PREFIX}page 3")
CRASHES = [msgspec.structs.replace(RAN, at=n, attempt=f"t{n}") for n in (3, 4, 5)]
CRASHES_LATE = [
    msgspec.structs.replace(RAN, at=n, attempt=f"t{n}") for n in (9, 10, 11)
]


def change(event: Event, **fields: object) -> Event:
    return msgspec.structs.replace(event, **fields)


GOOD: dict[int, list[Event]] = {
    1: [ASKED, HEARD, RAN, DONE],
    2: [ASKED, RAN, DONE],
    3: [ASKED, REFUSED],
    4: [LETTER_ASKED, RAN, LETTER_DONE],
    5: [Leaving(2, "s", 9), RAN],
    6: [ASKED, HEARD, RAN, DONE],
    7: [CHANGED, ACCEPTED, Observed(3, "h", "profile/a", 2, 0.4)],
    8: [CRASHING, *CRASHES, *CRASHES_LATE],
}

BAD: list[tuple[int, list[Event]]] = [
    (8, [CRASHING, *CRASHES, *CRASHES_LATE, change(RAN, at=12.0, attempt="t12")]),
    (1, [ASKED, HEARD, RAN]),
    (1, [ASKED, HEARD, RAN, change(DONE, verdict="failed", code=400)]),
    (2, [ASKED, RAN, change(DONE, text=WHOLE[:-3])]),
    (2, [ASKED, RAN, change(DONE, text="".join(make_answer("another", 3)))]),
    (2, [LETTER_ASKED, RAN, change(DONE, text='{"reference": "00"}')]),
    (3, [ASKED, RAN, REFUSED]),
    (3, [ASKED, change(REFUSED, retry_after=None)]),
    (3, [ASKED, change(REFUSED, at=30.0)]),
    (4, [LETTER_ASKED, RAN, change(RAN, attempt="t2", state="running"), LETTER_DONE]),
    (4, [change(ASKED, idempotent=False), RAN, change(RAN, attempt="t2"), DONE]),
    (4, [LETTER_ASKED, LETTER_DONE]),
    (
        4,
        [
            LETTER_ASKED,
            RAN,
            LETTER_DONE,
            change(LETTER_DONE, text=LETTER.replace("w-1", "w-2")),
        ],
    ),
    (5, [Leaving(2, "s", 9), change(RAN, at=6.0)]),
    (6, [ASKED, HEARD, RAN, change(DONE, verdict="unknown", code=300, retry_after=1)]),
    (7, [CHANGED, ACCEPTED, Observed(20, "h", "profile/a", 1, 0.2)]),
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
            CHANGED,
            ACCEPTED,
            change(CHANGED, change="y"),
            change(ACCEPTED, change="y", revision=3),
        ],
    ),
]


@pytest.mark.parametrize("promise", GOOD)
def test_a_good_history_passes(promise: int) -> None:
    assert check_history(History(GOOD[promise]), [promise]) == []


@pytest.mark.parametrize("number", range(len(BAD)))
def test_a_bad_history_is_rejected(number: int) -> None:
    promise, events = BAD[number]
    found = check_history(History(events), [promise])
    assert promise in {violation.promise for violation in found}


def test_a_run_in_which_no_fault_met_work_proves_nothing() -> None:
    idle = History([ASKED, DONE, Injected(5, "kill", "h", 0)])
    busy = History([ASKED, DONE, Injected(5, "kill", "h", 3)])
    assert check_exercised(idle)
    assert not check_exercised(busy)
