"""Checks of a history against the promises: pure, one function a promise."""

import itertools
import math
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TypeVar

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

E = TypeVar("E", bound=Event)

LEAVING_LIMIT = 3.0
"""Seconds after the announcement in which a leaving server may still get work."""

IN_FORCE_LIMIT = 13.0
"""Seconds in which an accepted change must be in force wherever work is admitted."""

KNOWN_WITHIN = 3.0
"""Seconds after a request's third execution that ended a server, by which it must be
known everywhere."""

SENT_AFTER = 3
"""Sendings of it that may reach servers later than that."""

PROMPT_ANSWER = 1.0
"""Seconds past its deadline by which a request has its final answer."""

FIRST_PUT_OFF = 200
"""Codes from here on are about load and faults; those below about the input."""

FINAL_CODES = (209, 210)
"""Deadline passed, cancelled: there is nothing to come back for."""


@dataclass(frozen=True)
class Violation:
    """A promise that a history breaks, with the key, server or object."""

    promise: int
    subject: str
    reason: str


Check = Callable[[History], list[Violation]]


def _pick(history: History, kind: type[E]) -> list[E]:
    return [event for event in history.events if isinstance(event, kind)]


def _group(events: Iterable[E]) -> dict[str, list[E]]:
    groups: dict[str, list[E]] = defaultdict(list)
    for event in events:
        groups[getattr(event, "key", "")].append(event)
    return groups


def _last(history: History) -> dict[str, Concluded]:
    """Return the final word on each key."""
    final: dict[str, Concluded] = {}
    for event in _pick(history, Concluded):
        known = final.get(event.key)
        if known is None or event.number >= known.number:
            final[event.key] = event
    return final


def check_survival(history: History) -> list[Violation]:
    """Promise 1: what was accepted is answered in full."""
    final = _last(history)
    found = []
    for event in _pick(history, Acknowledged):
        end = final.get(event.key)
        if end is None:
            reason = "accepted, and no answer came"
            found.append(Violation(1, event.key, reason))
        elif end.verdict != "done":
            reason = f"accepted, then {end.verdict} with code {end.code}"
            found.append(Violation(1, event.key, reason))
    return found


def check_own_answer(history: History) -> list[Violation]:
    """Promise 2: each caller has the whole answer to its own request."""
    asked = {event.key: event for event in _pick(history, Submitted)}
    found = []
    for end in _pick(history, Concluded):
        if end.verdict != "done":
            continue
        request = asked[end.key]
        if request.expected:
            whole = "".join(make_answer(request.prompt, request.expected))
            is_own = end.text == whole
        else:
            is_own = f"{digest_prompt(request.prompt):016x}" in end.text
        if not is_own:
            found.append(
                Violation(2, end.key, "the answer is not whole or not its own")
            )
    return found


def check_one_answer(history: History) -> list[Violation]:
    """Promise 4: copies of one request are all given the same answer."""
    texts: dict[str, set[str]] = defaultdict(set)
    for end in _pick(history, Concluded):
        if end.verdict == "done":
            texts[end.key].add(end.text)
    return [
        Violation(4, key, f"{len(given)} different answers were given")
        for key, given in texts.items()
        if len(given) > 1
    ]


def check_not_run(history: History) -> list[Violation]:
    """Promise 3: what was said not to have run did not run.

    A later submission of the key may have run; then the word on the earlier
    ones can't be told from outside, and only the last submission is judged.
    """
    ends = _group(_pick(history, Concluded))
    last_number: dict[str, int] = defaultdict(int)
    for event in _pick(history, Submitted):
        last_number[event.key] = max(last_number[event.key], event.number)
    runs = _group(_pick(history, Executed))
    found = []
    for key, concluded in ends.items():
        verdicts = {end.verdict for end in concluded}
        numbers = {end.number for end in concluded}
        if verdicts == {"not_run"} and last_number[key] in numbers and key in runs:
            codes = sorted({end.code for end in concluded})
            reason = f"told not run (codes {codes}), yet it ran {len(runs[key])} times"
            found.append(Violation(3, key, reason))
    return found


def _lacks_time(end: Concluded) -> bool:
    """Whether a caller was put off without being told until when."""
    is_put_off = end.verdict in ("not_run", "unknown") and end.code >= FIRST_PUT_OFF
    return is_put_off and end.retry_after is None and end.code not in FINAL_CODES


def check_final_answer_at_once(history: History) -> list[Violation]:
    """Promise 3: a request that was given up has its answer, and when to return."""
    found = []
    for end in _pick(history, Concluded):
        if _lacks_time(end):
            reason = f"code {end.code} without a time to come back"
            found.append(Violation(3, end.key, reason))
        if end.at > end.deadline + PROMPT_ANSWER and end.code != -1:
            reason = f"answered {end.at - end.deadline:.1f} s after its deadline"
            found.append(Violation(3, end.key, reason))
    return found


def check_at_most_once(history: History) -> list[Violation]:
    """Promise 4: a call that may not be repeated ran at most once.

    For a model the whole may be made by several engines in turn, each going on
    where a cancelled one stopped; two whole answers are one too many.
    """
    once = {e.key: e for e in _pick(history, Submitted) if not e.idempotent}
    runs = _group(_pick(history, Executed))
    found = []
    for key, request in once.items():
        mine = runs.get(key, [])
        whole = [run for run in mine if run.state == "done"]
        if len(whole) > 1:
            found.append(Violation(4, key, f"ran to its end {len(whole)} times"))
        elif not request.expected and len(mine) > 1:
            found.append(Violation(4, key, f"began {len(mine)} times"))
    return found


def check_at_least_once(history: History) -> list[Violation]:
    """Promise 4: what was said to be done has run."""
    runs = _group(_pick(history, Executed))
    return [
        Violation(4, end.key, "told done, yet nothing ran")
        for end in _pick(history, Concluded)
        if end.verdict == "done" and end.key not in runs
    ]


def check_leaving(history: History) -> list[Violation]:
    """Promise 5: a leaving server gets no new work after a few seconds."""
    found = []
    for server, delay in list_late_dispatches(history):
        if delay > LEAVING_LIMIT:
            reason = f"got new work {delay:.2f} s after it was announced to leave"
            found.append(Violation(5, server, reason))
    return found


def list_late_dispatches(history: History) -> list[tuple[str, float]]:
    """Return each server's work after its announcement: id and seconds after."""
    announced: dict[str, float] = {}
    for event in _pick(history, Leaving):
        announced[event.server] = min(event.at, announced.get(event.server, event.at))
    return [
        (run.server, run.at - announced[run.server])
        for run in _pick(history, Executed)
        if run.server in announced and run.at > announced[run.server]
    ]


def check_graceful(history: History) -> list[Violation]:
    """Promise 6: a graceful shutdown cuts off no request in flight."""
    return [
        Violation(6, broken.subject, broken.reason)
        for broken in check_survival(history)
    ]


def check_in_force(history: History) -> list[Violation]:
    """Promise 7: an accepted change is in force everywhere and never reverts."""
    return [
        *_check_reverts(history),
        *_check_delays(history),
        *_check_races(history),
    ]


def _check_reverts(history: History) -> list[Violation]:
    seen: dict[tuple[str, str], int] = {}
    found = []
    for event in sorted(_pick(history, Observed), key=lambda each: each.at):
        place = event.host, event.name
        if event.revision < seen.get(place, 0):
            reason = f"{event.host} went from {seen[place]} back to {event.revision}"
            found.append(Violation(7, event.name, reason))
        seen[place] = max(event.revision, seen.get(place, 0))
    return found


def list_delays(history: History) -> list[tuple[str, str, float]]:
    """Return object, host and seconds until each accepted change was seen there.

    A host that never showed a change while it admitted work counts up to the
    last time that it was seen without it.
    """
    delays = []
    observed = sorted(_pick(history, Observed), key=lambda each: each.at)
    for change in _pick(history, ChangeAnswered):
        if not change.revision:
            continue
        by_host: dict[str, float] = {}
        reached: set[str] = set()
        for event in observed:
            if event.name != change.name or event.at < change.at:
                continue
            if event.host in reached or not event.admits:
                continue
            by_host[event.host] = event.at - change.at
            if event.revision >= change.revision:
                reached.add(event.host)
        delays += [(change.name, host, delay) for host, delay in by_host.items()]
    return delays


def _check_delays(history: History) -> list[Violation]:
    return [
        Violation(7, name, f"{host} was without a change {delay:.1f} s on")
        for name, host, delay in list_delays(history)
        if delay > IN_FORCE_LIMIT
    ]


def _check_races(history: History) -> list[Violation]:
    """Of the changes made from one revision at most one is accepted.

    Each object is a register with compare-and-swap: accepted changes must form
    one chain, each made from the revision that the one before it left.
    """
    asked = {event.change: event for event in _pick(history, ChangeAsked)}
    chains: dict[str, list[tuple[int, int]]] = defaultdict(list)
    for answer in _pick(history, ChangeAnswered):
        if answer.revision:
            expected = asked[answer.change].expected
            chains[answer.name].append((answer.revision, expected))
    found = []
    for name, links in chains.items():
        for (_, first), (_, second) in itertools.combinations(sorted(links), 2):
            if first == second:
                reason = f"two changes made from revision {first} were accepted"
                found.append(Violation(7, name, reason))
        for (before, _), (after, expected) in itertools.pairwise(sorted(links)):
            if not before <= expected < after:
                reason = f"revision {after} was made from {expected}, not {before}"
                found.append(Violation(7, name, reason))
    return found


def check_crashing(history: History) -> list[Violation]:
    """Promise 8: a request that ends servers is hardly sent to further ones.

    Each execution of it ends a server. Hosts have some seconds from the third one to
    know of it.
    """
    contents = {
        event.key: (event.account, event.operation, event.prompt)
        for event in _pick(history, Submitted)
        if event.prompt.startswith(CRASH_PREFIX)
    }
    runs = defaultdict(list)
    for event in _pick(history, Executed):
        if event.key in contents:
            runs[contents[event.key]].append(event.at)
    found = []
    for content, times in runs.items():
        known_at = [*sorted(times), math.inf, math.inf, math.inf][2] + KNOWN_WITHIN
        late = sum(at > known_at for at in times)
        if late > SENT_AFTER:
            reason = f"ran {len(times)} times, {late} of them too late"
            found.append(Violation(8, content[1], reason))
    return found


def check_exercised(history: History) -> list[Violation]:
    """A run that met no fault while work was in flight proves nothing."""
    faults = _pick(history, Injected)
    if any(fault.in_flight for fault in faults):
        return []
    return [Violation(0, "run", f"none of {len(faults)} faults met work in flight")]


CHECKS: dict[int, tuple[Check, ...]] = {
    1: (check_survival,),
    2: (check_own_answer,),
    3: (check_not_run, check_final_answer_at_once),
    4: (check_at_most_once, check_at_least_once, check_one_answer),
    5: (check_leaving,),
    6: (check_graceful,),
    7: (check_in_force,),
    8: (check_crashing,),
}

ALWAYS = (2, 3, 4)
"""Promises that hold under every fault, announced or not."""


def check_history(history: History, promises: Iterable[int]) -> list[Violation]:
    """Check a history against promises, and against those that always hold."""
    wanted = sorted({*promises, *ALWAYS})
    checks = [check for promise in wanted for check in CHECKS[promise]]
    return [violation for check in checks for violation in check(history)]
