"""The promises, checked on what was recorded; each returns the broken ones as text."""

from collections import Counter, defaultdict

from dewridge.codes import ResultCode
from dewridge.tests.soak.records import History, Run, Sent

NOT_RUN = frozenset({408, 421, 429, 503})
"""Answers that promise that the request has not run."""
REVOKED_AFTER = 5.0
"""Seconds after which a key taken away must not work, on every host."""
LEFT_AFTER = 2.0
"""Seconds after which a leaving server gets no new work from hosts in touch."""
CONTACT = 3.0
"""Seconds without a fault from which a host counts as in touch."""
LEASE = 3.0
"""Seconds in which two holders must not act by turns."""
RECOVERY = 12.0
"""Seconds after the last fault by which most requests are served again."""
SERVED_SHARE = 0.8
"""Part of the requests that must be served after recovery."""
CRASHES_BORNE = 3
"""Ends of servers after which a request must be known to cause them."""
SENT_AFTER = 3
"""Sendings of such a request that may still reach servers, once hosts must know."""
QUOTA_WINDOW = 8.0
FIRST_EVENT = 1
SET_ASIDE = ResultCode.REQUEST_SET_ASIDE.name.encode()


def check_all(history: History, quotas: dict[str, float]) -> list[str]:
    """Return all broken promises.

    Args:
        history: what was recorded.
        quotas: most units of each account in any `QUOTA_WINDOW`.
    """
    return [
        *check_answers(history),
        *check_runs(history),
        *check_keys(history),
        *check_leaving_servers(history),
        *check_planned_work(history),
        *check_duties(history),
        *check_quotas(history, quotas),
        *check_recovery(history),
        *check_crashing(history),
    ]


def check_answers(history: History) -> list[str]:
    """Each caller gets its own whole answer, or one that does not look whole."""
    broken = []
    for sent in history.sent.values():
        if sent.status == 200 and not sent.is_signed:
            broken.append(f"{sent.id}: a success without a server's signature")
        if sent.status != 200 or sent.kind.is_stream:
            continue
        if sent.is_whole and sent.body != sent.id.encode():
            broken.append(f"{sent.id}: got {sent.body[:60]!r}")
    return broken + [
        fault for sent in history.sent.values() for fault in _check_events(sent)
    ]


def _check_events(sent: Sent) -> list[str]:
    numbers = [number for number, _, _ in sent.events]
    expected = list(range(FIRST_EVENT, FIRST_EVENT + len(numbers)))
    broken = []
    if numbers != expected:
        broken.append(f"{sent.id}: events {numbers}")
    if any(owner != sent.id for _, owner, _ in sent.events):
        broken.append(f"{sent.id}: another request's events")
    looks_whole = sent.kind.is_stream and sent.status == 200 and sent.is_whole
    if looks_whole and not (sent.events and sent.events[-1][2]):
        broken.append(f"{sent.id}: complete after {len(numbers)} events")
    return broken


def check_runs(history: History) -> list[str]:
    """What may not be repeated runs once; what is told as not run never runs."""
    counts = Counter(run.id for run in history.runs)
    broken = [f"{one}: nobody sent it" for one in counts if one not in history.sent]
    for sent in history.sent.values():
        count = counts[sent.id]
        if sent.kind.is_repeatable:
            continue
        if count > 1:
            broken.append(f"{sent.id}: ran {count} times")
        if sent.status in NOT_RUN and count:
            broken.append(f"{sent.id}: told {sent.status}, and ran")
    return broken


def _list_known_runs(history: History) -> list[tuple[Run, Sent]]:
    return [
        (run, history.sent[run.id]) for run in history.runs if run.id in history.sent
    ]


def check_keys(history: History) -> list[str]:
    """A key that was taken away works nowhere after a time."""
    broken = []
    for run, sent in _list_known_runs(history):
        revoked = history.revoked.get(sent.key)
        if revoked is not None and sent.sent_at > revoked + REVOKED_AFTER:
            late = sent.sent_at - revoked
            broken.append(f"{run.id}: ran {late:.1f} s after its key was taken away")
    return broken


def check_leaving_servers(history: History) -> list[str]:
    """A server that leaves gets no new work from hosts in touch."""
    broken = []
    for run, sent in _list_known_runs(history):
        left = history.left.get(run.server)
        if left is None or sent.sent_at <= left + LEFT_AFTER:
            continue
        if not history.is_disturbed(sent.host, left - CONTACT, run.at):
            late = run.at - left
            broken.append(f"{run.id}: reached {run.server} {late:.1f} s after it left")
    return broken


def check_planned_work(history: History) -> list[str]:
    """A graceful stop, a reload or a change cuts no request off."""
    ran = {run.id: run.server for run in history.runs}
    broken = []
    for sent in history.sent.values():
        if sent.is_whole or sent.has_left or sent.ended_at is None:
            continue
        if sent.ended_at > history.end:
            continue
        if history.is_disturbed("", sent.sent_at - CONTACT, sent.ended_at):
            continue
        if history.is_disturbed(sent.host, sent.sent_at - CONTACT, sent.ended_at):
            continue
        if sent.id in ran:
            broken.append(f"{sent.id}: cut off at {sent.host} in calm or planned work")
    return broken


def check_duties(history: History) -> list[str]:
    """One holder at a time, growing numbers, one sum a window."""
    broken = []
    by_subject = defaultdict(list)
    for call in history.calls:
        by_subject[call.subject].append(call)
    for subject, calls in by_subject.items():
        counts = {call.counts for call in calls}
        if subject.startswith("usage ") and len(counts) > 1:
            broken.append(f"{subject}: told {len(counts)} different sums")
    holders: dict[int, str] = {}
    highest = 0
    for call in history.calls:
        known = holders.setdefault(call.fence, call.holder)
        if known != call.holder:
            broken.append(f"number {call.fence}: used by {known} and {call.holder}")
        if call.fence < highest:
            broken.append(f"{call.subject}: number {call.fence} after {highest}")
        highest = max(highest, call.fence)
    return broken + _check_turns(history)


def _check_turns(history: History) -> list[str]:
    broken = []
    changes = [history.calls[0]] if history.calls else []
    last_by_holder: dict[str, float] = {}
    for call in history.calls:
        if changes[-1].holder != call.holder:
            before = last_by_holder.get(call.holder)
            if before is not None and call.at - before < LEASE:
                broken.append(f"{call.holder} acted again {call.at - before:.1f} s on")
            changes.append(call)
        last_by_holder[call.holder] = call.at
    return broken


def check_quotas(history: History, quotas: dict[str, float]) -> list[str]:
    """No account gets more than its quota in any window, over all hosts."""
    used = defaultdict(list)
    for run, sent in _list_known_runs(history):
        used[run.account].append((run.at, sent.tokens))
    broken = []
    for account, limit in quotas.items():
        times = sorted(used[account])
        for begin, _ in times:
            total = sum(n for at, n in times if begin <= at <= begin + QUOTA_WINDOW)
            if total > limit:
                broken.append(f"{account}: {total} of {limit:.0f} from {begin:.1f}")
                break
    return broken


def check_recovery(history: History) -> list[str]:
    """Some time after the last fault nearly all requests are served again."""
    begin = history.final_fault_end + RECOVERY
    late = [
        sent
        for sent in history.sent.values()
        if begin < sent.sent_at < history.end - 2.0
        and sent.key not in history.revoked
        and sent.status != 429
        and not sent.crashes
    ]
    served = sum(sent.status == 200 and sent.is_whole for sent in late)
    if len(late) >= 20 and served < SERVED_SHARE * len(late):
        return [f"{served} of {len(late)} served after recovery"]
    return []


def check_crashing(history: History) -> list[str]:
    """A request under which three servers ended is hardly sent to any further one."""
    ends = defaultdict(list)
    for crash in history.crashes:
        ends[crash.content].append(crash.at)
    broken = []
    for content, times in ends.items():
        if len(times) < CRASHES_BORNE:
            continue
        known_at = sorted(times)[CRASHES_BORNE - 1] + CONTACT
        late = [
            run
            for run, sent in _list_arrivals(history)
            if sent.content == content
            and run.at > known_at
            and not history.is_disturbed(
                sent.host, run.at - CONTACT, run.at, counts_servers=False
            )
        ]
        if len(late) > SENT_AFTER:
            broken.append(f"{content}: sent {len(late)} times, {len(times)} ended")
    return broken


def _list_arrivals(history: History) -> list[tuple[Run, Sent]]:
    return [(run, history.sent[run.id]) for run in history.arrivals]


def count_outcomes(history: History) -> dict[str, int]:
    """Return how many requests ended how, for the run's line."""
    counts: Counter[str] = Counter()
    for sent in history.sent.values():
        whole = "" if sent.is_whole else " cut"
        counts[f"{sent.status}{whole}"] += 1
        if sent.body.startswith(SET_ASIDE):
            counts["set aside" if sent.crashes else "set aside wrongly"] += 1
    if history.crashes:
        counts["servers ended"] = len(history.crashes)
    return dict(sorted(counts.items()))
