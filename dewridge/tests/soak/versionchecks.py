"""Checks of streams while servers of several software versions serve."""

from collections import defaultdict
from collections.abc import Iterable

from dewridge.tests.soak.records import History, SentRequest

HOST_SYNC_SECONDS = 3.0
"""Seconds without a fault after which a host counts as up to date."""
MIN_RESUMPTIONS = 12
"""Resumed streams from which the share that goes on is checked."""
MIN_SERVERS = 2
"""Servers of a stream's version that must serve for it to count."""
MIN_SHARE = 0.5
"""Share of resumed streams that must go on, relative to the new ones that begin."""


def check_versions(history: History) -> list[str]:
    """Check that no stream holds events of two versions, and that streams go on."""
    return [*_check_joined_events(history), *_check_share(history)]


def _check_joined_events(history: History) -> list[str]:
    versions: dict[str, set[str]] = defaultdict(set)
    for request in history.requests.values():
        versions[request.first_attempt or request.id] |= request.versions
    return [
        f"{attempt}: events of versions {sorted(found)}"
        for attempt, found in versions.items()
        if len(found) > 1
    ]


def _check_share(history: History) -> list[str]:
    resumed = list(_list_counted_resumptions(history))
    begun = [
        request
        for request in history.requests.values()
        if request.kind.is_stream
        and not request.first_attempt
        and not request.is_abandoned
        and not request.crashes_servers
        and not _is_disturbed(history, request)
    ]
    if len(resumed) < MIN_RESUMPTIONS or not begun:
        return []
    resumed_share = sum(bool(request.events) for request in resumed) / len(resumed)
    begun_share = sum(bool(request.events) for request in begun) / len(begun)
    if resumed_share >= MIN_SHARE * begun_share:
        return []
    return [
        f"{resumed_share:.2f} of {len(resumed)} resumed streams went on, "
        f"{begun_share:.2f} of the new ones began"
    ]


def _list_counted_resumptions(history: History) -> Iterable[SentRequest]:
    """Yield the resumed streams that an up-to-date host could continue."""
    for request in history.requests.values():
        first = history.requests.get(request.first_attempt)
        if first is None or not first.versions or _is_disturbed(history, request):
            continue
        version = min(first.versions)
        serving = sum(
            period.version == version
            and period.begin <= request.sent_at
            and period.end >= (request.ended_at or request.sent_at)
            for period in history.server_periods.values()
        )
        if serving >= MIN_SERVERS:
            yield request


def _is_disturbed(history: History, request: SentRequest) -> bool:
    return history.is_disturbed(
        request.host,
        request.sent_at - HOST_SYNC_SECONDS,
        request.ended_at or request.sent_at,
    )


def count_resumptions(history: History) -> dict[str, int]:
    """Return how many streams were resumed, and how many of these went on."""
    resumed = [
        request for request in history.requests.values() if request.first_attempt
    ]
    return {
        "resumed": len(resumed),
        "resumed and went on": sum(bool(request.events) for request in resumed),
        "resumed at hosts in touch": len(list(_list_counted_resumptions(history))),
    }
