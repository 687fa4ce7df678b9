"""Checks of a recorded history against the promises (numbered guarantees).

All checks are pure functions: they take a history and return its violations.
"""

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

MAX_DEPARTING_DISPATCH_DELAY = 3.0
"""Seconds after its departure is announced in which a server may still get new work."""

MAX_PROPAGATION_DELAY = 13.0
"""Seconds in which an accepted change must reach every host that admits work."""

MAX_DETECTION_DELAY = 3.0
"""Seconds after the third server crash that a request caused, by which every host must
have identified the request."""

MAX_LATE_CRASH_EXECUTIONS = 3
"""Executions of a crashing request that may start later than `MAX_DETECTION_DELAY`."""

MAX_ANSWER_DELAY = 1.0
"""Seconds past its deadline by which a request must have its final answer."""

FIRST_SYSTEM_CODE = 200
"""Result codes from here on report load or faults; lower ones concern the input."""

NON_RETRYABLE_CODES = (209, 210)
"""Deadline passed, cancelled: a retry is pointless, so no retry time is required."""


@dataclass(frozen=True)
class Violation:
    """A promise that a history breaks.

    Attributes:
        promise: number of the promise; 0 if the run itself is not conclusive.
        subject: the request key, server, object or operation concerned.
    """

    promise: int
    subject: str
    reason: str


Check = Callable[[History], list[Violation]]


def _select_events(history: History, kind: type[E]) -> list[E]:
    return [event for event in history.events if isinstance(event, kind)]


def _group_by_key(events: Iterable[E]) -> dict[str, list[E]]:
    groups: dict[str, list[E]] = defaultdict(list)
    for event in events:
        groups[getattr(event, "key", "")].append(event)
    return groups


def _find_final_outcomes(history: History) -> dict[str, Concluded]:
    """Return the outcome of the last submission of each key."""
    final_outcomes: dict[str, Concluded] = {}
    for event in _select_events(history, Concluded):
        previous = final_outcomes.get(event.key)
        if previous is None or event.number >= previous.number:
            final_outcomes[event.key] = event
    return final_outcomes


def check_completion(history: History) -> list[Violation]:
    """Promise 1: every accepted request gets a complete answer."""
    final_outcomes = _find_final_outcomes(history)
    violations = []
    for event in _select_events(history, Acknowledged):
        conclusion = final_outcomes.get(event.key)
        if conclusion is None:
            reason = "accepted, and no answer came"
            violations.append(Violation(1, event.key, reason))
        elif conclusion.verdict != "done":
            reason = f"accepted, then {conclusion.verdict} with code {conclusion.code}"
            violations.append(Violation(1, event.key, reason))
    return violations


def check_answer_integrity(history: History) -> list[Violation]:
    """Promise 2: each caller gets the complete answer to its own request."""
    submissions = {event.key: event for event in _select_events(history, Submitted)}
    violations = []
    for conclusion in _select_events(history, Concluded):
        if conclusion.verdict != "done":
            continue
        request = submissions[conclusion.key]
        if request.expected:
            full_answer = "".join(make_answer(request.prompt, request.expected))
            is_correct = conclusion.text == full_answer
        else:
            is_correct = f"{digest_prompt(request.prompt):016x}" in conclusion.text
        if not is_correct:
            violations.append(
                Violation(2, conclusion.key, "the answer is not whole or not its own")
            )
    return violations


def check_answer_consistency(history: History) -> list[Violation]:
    """Promise 4: all duplicates of one request get the same answer."""
    texts: dict[str, set[str]] = defaultdict(set)
    for conclusion in _select_events(history, Concluded):
        if conclusion.verdict == "done":
            texts[conclusion.key].add(conclusion.text)
    return [
        Violation(4, key, f"{len(distinct_answers)} different answers were given")
        for key, distinct_answers in texts.items()
        if len(distinct_answers) > 1
    ]


def check_not_run_outcomes(history: History) -> list[Violation]:
    """Promise 3: a request reported as not run was never executed.

    Executions are recorded by key, not by submission, so an execution can't be
    assigned to one of several submissions. A key is therefore checked only if all
    its outcomes are `not_run` and the last submission has one.
    """
    conclusions = _group_by_key(_select_events(history, Concluded))
    last_numbers: dict[str, int] = defaultdict(int)
    for event in _select_events(history, Submitted):
        last_numbers[event.key] = max(last_numbers[event.key], event.number)
    executions = _group_by_key(_select_events(history, Executed))
    violations = []
    for key, concluded in conclusions.items():
        verdicts = {conclusion.verdict for conclusion in concluded}
        numbers = {conclusion.number for conclusion in concluded}
        if (
            verdicts == {"not_run"}
            and last_numbers[key] in numbers
            and key in executions
        ):
            codes = sorted({conclusion.code for conclusion in concluded})
            reason = (
                f"told not run (codes {codes}), yet it ran {len(executions[key])} times"
            )
            violations.append(Violation(3, key, reason))
    return violations


def _lacks_retry_after(conclusion: Concluded) -> bool:
    """Whether a caller should retry later but was given no retry time."""
    is_retryable = (
        conclusion.verdict in ("not_run", "unknown")
        and conclusion.code >= FIRST_SYSTEM_CODE
    )
    return (
        is_retryable
        and conclusion.retry_after is None
        and conclusion.code not in NON_RETRYABLE_CODES
    )


def check_final_answers(history: History) -> list[Violation]:
    """Promise 3: a final answer arrives in time and has a retry time if needed.

    A retry time is needed if a retry makes sense.
    Code -1 is exempt from the time limit: the client itself stopped waiting.
    """
    violations = []
    for conclusion in _select_events(history, Concluded):
        if _lacks_retry_after(conclusion):
            reason = f"code {conclusion.code} without a time to come back"
            violations.append(Violation(3, conclusion.key, reason))
        if (
            conclusion.at > conclusion.deadline + MAX_ANSWER_DELAY
            and conclusion.code != -1
        ):
            reason = (
                f"answered {conclusion.at - conclusion.deadline:.1f} s "
                "after its deadline"
            )
            violations.append(Violation(3, conclusion.key, reason))
    return violations


def check_at_most_once(history: History) -> list[Violation]:
    """Promise 4: a non-idempotent call ran at most once.

    A model's answer may be generated by several engines in turn, each continuing
    where a cancelled one stopped, so only a second completed execution violates
    the promise. A plain service must not even start a second one.
    """
    non_idempotent = {
        e.key: e for e in _select_events(history, Submitted) if not e.idempotent
    }
    executions = _group_by_key(_select_events(history, Executed))
    violations = []
    for key, request in non_idempotent.items():
        key_executions = executions.get(key, [])
        completed = [run for run in key_executions if run.state == "done"]
        if len(completed) > 1:
            violations.append(
                Violation(4, key, f"ran to its end {len(completed)} times")
            )
        elif not request.expected and len(key_executions) > 1:
            violations.append(Violation(4, key, f"began {len(key_executions)} times"))
    return violations


def check_at_least_once(history: History) -> list[Violation]:
    """Promise 4: a request reported as done was executed."""
    executions = _group_by_key(_select_events(history, Executed))
    return [
        Violation(4, conclusion.key, "told done, yet nothing ran")
        for conclusion in _select_events(history, Concluded)
        if conclusion.verdict == "done" and conclusion.key not in executions
    ]


def check_departing_servers(history: History) -> list[Violation]:
    """Promise 5: a departing server gets no new work after a few seconds."""
    violations = []
    for server, delay in list_late_dispatches(history):
        if delay > MAX_DEPARTING_DISPATCH_DELAY:
            reason = f"got new work {delay:.2f} s after it was announced to leave"
            violations.append(Violation(5, server, reason))
    return violations


def list_late_dispatches(history: History) -> list[tuple[str, float]]:
    """Return the server and delay of each execution after an announced departure.

    The delay is the number of seconds since the first announcement.
    """
    announced: dict[str, float] = {}
    for event in _select_events(history, Leaving):
        announced[event.server] = min(event.at, announced.get(event.server, event.at))
    return [
        (run.server, run.at - announced[run.server])
        for run in _select_events(history, Executed)
        if run.server in announced and run.at > announced[run.server]
    ]


def check_graceful_shutdown(history: History) -> list[Violation]:
    """Promise 6: a graceful shutdown interrupts no request in flight."""
    return [
        Violation(6, violation.subject, violation.reason)
        for violation in check_completion(history)
    ]


def check_configuration_changes(history: History) -> list[Violation]:
    """Promise 7: an accepted change takes effect on every host and never reverts."""
    return [
        *_check_reverts(history),
        *_check_propagation_delays(history),
        *_check_concurrent_changes(history),
    ]


def _check_reverts(history: History) -> list[Violation]:
    revisions: dict[tuple[str, str], int] = {}
    violations = []
    for event in sorted(_select_events(history, Observed), key=lambda item: item.at):
        replica = event.host, event.name
        if event.revision < revisions.get(replica, 0):
            reason = (
                f"{event.host} went from {revisions[replica]} back to {event.revision}"
            )
            violations.append(Violation(7, event.name, reason))
        revisions[replica] = max(event.revision, revisions.get(replica, 0))
    return violations


def list_propagation_delays(history: History) -> list[tuple[str, str, float]]:
    """Return object, host and seconds until each accepted change was observed there.

    For a host that admitted work but never showed a change, the delay runs to the
    last observation without it.
    """
    delays = []
    observed = sorted(_select_events(history, Observed), key=lambda item: item.at)
    for change in _select_events(history, ChangeAnswered):
        if not change.revision:
            continue
        delay_by_host: dict[str, float] = {}
        updated_hosts: set[str] = set()
        for event in observed:
            if event.name != change.name or event.at < change.at:
                continue
            if event.host in updated_hosts or not event.admits:
                continue
            delay_by_host[event.host] = event.at - change.at
            if event.revision >= change.revision:
                updated_hosts.add(event.host)
        delays += [(change.name, host, delay) for host, delay in delay_by_host.items()]
    return delays


def _check_propagation_delays(history: History) -> list[Violation]:
    return [
        Violation(7, name, f"{host} was without a change {delay:.1f} s on")
        for name, host, delay in list_propagation_delays(history)
        if delay > MAX_PROPAGATION_DELAY
    ]


def _check_concurrent_changes(history: History) -> list[Violation]:
    """Check that at most one of the changes based on one revision was accepted.

    Each object is a compare-and-swap register: accepted changes must form one
    chain, each based on the revision that its predecessor wrote.
    """
    asked = {event.change: event for event in _select_events(history, ChangeAsked)}
    chains: dict[str, list[tuple[int, int]]] = defaultdict(list)
    for answer in _select_events(history, ChangeAnswered):
        if answer.revision:
            expected = asked[answer.change].expected
            chains[answer.name].append((answer.revision, expected))
    violations = []
    for name, links in chains.items():
        for (_, first), (_, second) in itertools.combinations(sorted(links), 2):
            if first == second:
                reason = f"two changes made from revision {first} were accepted"
                violations.append(Violation(7, name, reason))
        for (before, _), (after, expected) in itertools.pairwise(sorted(links)):
            if not before <= expected < after:
                reason = f"revision {after} was made from {expected}, not {before}"
                violations.append(Violation(7, name, reason))
    return violations


def check_crash_containment(history: History) -> list[Violation]:
    """Promise 8: a request that crashes servers soon stops being sent to others.

    Each execution of such a request crashes a server. Hosts have
    `MAX_DETECTION_DELAY` after the third execution to identify it. Requests with the
    same account, operation and input count as one.
    """
    crashing_requests = {
        event.key: (event.account, event.operation, event.prompt)
        for event in _select_events(history, Submitted)
        if event.prompt.startswith(CRASH_PREFIX)
    }
    executions = defaultdict(list)
    for event in _select_events(history, Executed):
        if event.key in crashing_requests:
            executions[crashing_requests[event.key]].append(event.at)
    violations = []
    for content, times in executions.items():
        due_at = [*sorted(times), math.inf, math.inf, math.inf][2] + MAX_DETECTION_DELAY
        late = sum(at > due_at for at in times)
        if late > MAX_LATE_CRASH_EXECUTIONS:
            reason = f"ran {len(times)} times, {late} of them too late"
            violations.append(Violation(8, content[1], reason))
    return violations


def check_fault_coverage(history: History) -> list[Violation]:
    """Require that a fault occurred while requests or changes were in flight.

    Without one a run shows nothing about the promises.
    """
    faults = _select_events(history, Injected)
    if any(fault.in_flight for fault in faults):
        return []
    return [Violation(0, "run", f"none of {len(faults)} faults met work in flight")]


CHECKS_BY_PROMISE: dict[int, tuple[Check, ...]] = {
    1: (check_completion,),
    2: (check_answer_integrity,),
    3: (check_not_run_outcomes, check_final_answers),
    4: (check_at_most_once, check_at_least_once, check_answer_consistency),
    5: (check_departing_servers,),
    6: (check_graceful_shutdown,),
    7: (check_configuration_changes,),
    8: (check_crash_containment,),
}

UNIVERSAL_PROMISES = (2, 3, 4)
"""Promises that hold under every fault, announced or not; checked in each run."""


def check_history(history: History, promises: Iterable[int]) -> list[Violation]:
    """Check a history against the given promises and the universal ones."""
    selected = sorted({*promises, *UNIVERSAL_PROMISES})
    checks = [check for promise in selected for check in CHECKS_BY_PROMISE[promise]]
    return [violation for check in checks for violation in check(history)]
