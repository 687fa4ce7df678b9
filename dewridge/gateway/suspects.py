"""Requests under which servers ended: noted here, told to the others, set aside."""

from collections.abc import Callable, Iterable

import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.gateway.jobs import Job
from dewridge.gateway.reports import SuspectUpdate
from dewridge.gateway.state import GatewayState
from dewridge.ids import BackendServerId, ClientAccount, RequestDigest
from dewridge.policy.suspects import End, Suspect
from dewridge.sentinels import Failure

TOLD_FOR = 4.0
"""Seconds for which the others are told what is new of a request: single reports get
lost."""
MOST_AT_ONCE = 64
"""Requests in urgent news: as many as a server commonly runs, some 100 bytes each."""
HELD_LOOK_PERIOD = 0.5
"""Seconds between two looks at what is set aside, for reports: a look goes through all
suspects, and reports are many."""
IN_A_REPORT = 4
"""Requests in a report of which something is new, and as many that are set aside, for
hosts that were away; the rest follows by turns."""


def check_set_aside(state: GatewayState, job: Job) -> Failure | None:
    """Refuse a request under which servers ended, before each of its sendings.

    Made for a request that ends each server that begins to run it and comes again at
    any host. It can't be served, and each sending takes along what runs beside it.
    """
    if state.suspects.is_empty:
        return None
    left = state.suspects.find_hold_left(job.digest, trio.current_time())
    if left <= 0:
        return None
    state.metrics.add("requests_set_aside_total", service=job.service)
    reason = f"servers ended under {job.digest}"
    return Failure(ResultCode.REQUEST_SET_ASIDE, reason, left)


def describe_suspect(state: GatewayState, job: Job | None) -> dict[str, str]:
    """Return a request's digest for its line in the log, if it is suspected."""
    if job is None or state.suspects.is_empty:
        return {}
    return {"digest": job.digest} if state.suspects.find(job.digest) else {}


def note_end(
    state: GatewayState, job: Job, server: BackendServerId, ended_at: float
) -> None:
    """Note that a server ended just as it had begun to run a request."""
    account = job.account.name if job.account else ClientAccount("")
    suspect = Suspect(
        job.digest, account, job.service, {server: End(ended_at, job.sent_at)}
    )
    state.metrics.add("servers_ended_under_requests_total", service=job.service)
    state.seen_ending.add(job.digest)
    is_new = take_suspects(state, [suspect])
    log.bind(
        id=job.request.id,
        digest=job.digest,
        account=account,
        route=job.route.name,
        server=server,
        ends=state.suspects.count_ends(job.digest, trio.current_time()),
    ).warning("server ended under request")
    if is_new:
        state.on_suspects()


def note_answered(state: GatewayState, job: Job) -> None:
    """Note that a server answered a request in full: it does not end servers."""
    if not state.suspects.is_empty:
        clear(state, job.digest, "answered")


def clear(state: GatewayState, digest: RequestDigest, reason: str) -> bool:
    """Let a request through again, on all hosts; returns whether it was suspected."""
    if not state.suspects.clear(digest, trio.current_time()):
        return False
    log.bind(digest=digest, reason=reason).info("request cleared")
    state.on_suspects()
    return True


def take_suspects(state: GatewayState, suspects: Iterable[Suspect]) -> bool:
    """Take over what was seen or told; returns whether any of it was new."""
    now = trio.current_time()
    is_new = False
    for suspect in suspects:
        before = state.suspects.find_hold_left(suspect.digest, now)
        if not state.suspects.merge(suspect, now):
            continue
        is_new = True
        left = state.suspects.find_hold_left(suspect.digest, now)
        if left > 0 and before <= 0:
            _log_set_aside(state, suspect.digest, left)
    return is_new


def _log_set_aside(state: GatewayState, digest: RequestDigest, left: float) -> None:
    suspect = state.suspects.find(digest)
    assert suspect is not None
    log.bind(
        digest=digest,
        account=suspect.account,
        service=suspect.service,
        servers=",".join(sorted(suspect.ends.keys() - suspect.cleared)),
        for_seconds=round(left, 1),
    ).warning("request set aside")


def make_urgent_list(state: GatewayState) -> Callable[[], list[SuspectUpdate]]:
    """Return what lists the news that was not yet told at once."""
    told_until = float("-inf")

    def list_urgent() -> list[SuspectUpdate]:
        nonlocal told_until
        now = trio.current_time()
        fresh = _list_told(state, told_until)[:MOST_AT_ONCE]
        told_until = now
        return [encode_suspect(one, now) for one in fresh]

    return list_urgent


def make_news_list(state: GatewayState) -> Callable[[int], list[SuspectUpdate]]:
    """Return what lists the news of a report: what is new, and what is set aside.

    Both by turns: another part of a long list begins each report.
    """
    held: list[Suspect] = []
    looked_at = float("-inf")

    def list_news(turn: int) -> list[SuspectUpdate]:
        nonlocal held, looked_at
        if state.suspects.is_empty:
            return []
        now = trio.current_time()
        if now - looked_at >= HELD_LOOK_PERIOD:
            held, looked_at = state.suspects.list_held(now), now
        told = take_turn(_list_told(state, now - TOLD_FOR), turn)
        chosen = {one.digest: one for one in [*told, *take_turn(held, turn)]}
        return [encode_suspect(one, now) for one in chosen.values()]

    return list_news


def _list_told(state: GatewayState, begin: float) -> list[Suspect]:
    """Return what is new since then: first where the most servers ended."""
    told = state.suspects.list_told_since(begin)
    return sorted(told, key=lambda one: -len(one.ends))


def take_turn(suspects: list[Suspect], turn: int) -> list[Suspect]:
    """Return the part of a list that is told this time."""
    begin = (turn * IN_A_REPORT) % max(1, len(suspects))
    return [*suspects[begin:], *suspects[:begin]][:IN_A_REPORT]


def encode_suspect(suspect: Suspect, now: float) -> SuspectUpdate:
    """Return a request as hosts tell of it: ages in place of this host's times."""
    return SuspectUpdate(
        digest=suspect.digest,
        account=suspect.account,
        service=suspect.service,
        crashes={
            server: (round((now - end.at) * 1000), round((now - end.sent_at) * 1000))
            for server, end in suspect.ends.items()
        },
        cleared=sorted(suspect.cleared),
    )


def decode_suspect(news: SuspectUpdate, now: float) -> Suspect:
    """Return what another host tells, with times of this host."""
    return Suspect(
        news.digest,
        news.account,
        news.service,
        {
            server: End(now - ended / 1000, now - sent / 1000)
            for server, (ended, sent) in news.crashes.items()
        },
        set(news.cleared),
    )
