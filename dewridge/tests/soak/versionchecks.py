"""Checks of streams while servers of several software versions serve."""

from collections import defaultdict
from collections.abc import Iterable

from dewridge.tests.soak.newversions import is_only_cut_off
from dewridge.tests.soak.records import History, SentRequest

HOST_SYNC_SECONDS = 3.0
"""Seconds without a fault after which a host counts as up to date."""
MIN_RESUMPTIONS = 12
"""Resumed streams from which the share that goes on is checked."""
CUT_SYNC_SECONDS = 1.0
"""Seconds from a cut from the store until a host goes by what peers know."""
MIN_SERVERS = 2
"""Servers of a stream's version that must serve for it to count."""
MIN_SHARE = 0.5
"""Share of resumed streams that must go on, relative to the new ones that begin."""


def check_versions(history: History) -> list[str]:
    """Check that no stream holds events of two versions, and that streams go on."""
    return [
        *_check_joined_events(history),
        *_check_share(history, list(_list_counted_resumptions(history)), "in touch"),
        *_check_share(history, list(_list_resumptions_without_store(history)), "cut"),
    ]


def _check_joined_events(history: History) -> list[str]:
    versions: dict[str, set[str]] = defaultdict(set)
    for request in history.requests.values():
        versions[request.first_attempt or request.id] |= request.versions
    return [
        f"{attempt}: events of versions {sorted(found)}"
        for attempt, found in versions.items()
        if len(found) > 1
    ]


def _check_share(history: History, resumed: list[SentRequest], hosts: str) -> list[str]:
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
        f"{resumed_share:.2f} of {len(resumed)} streams resumed at hosts {hosts} "
        f"went on, {begun_share:.2f} of the new ones began"
    ]


def _list_counted_resumptions(history: History) -> Iterable[SentRequest]:
    """Yield the resumed streams that an up-to-date host could continue."""
    for request in history.requests.values():
        if not _is_disturbed(history, request) and _has_servers(history, request):
            yield request


def _list_resumptions_without_store(history: History) -> Iterable[SentRequest]:
    """Yield the streams resumed at hosts that only do not reach the store.

    Streams of the first second are left out: the connections that break with the cut
    count as a fault of the host.
    """
    for request in history.requests.values():
        begin, end = request.sent_at - HOST_SYNC_SECONDS, request.ended_at
        cuts = [
            cut
            for cut in history.store_cuts
            if cut.host == request.host
            and cut.begin + CUT_SYNC_SECONDS <= request.sent_at <= cut.end
            and is_only_cut_off(
                history.disturbances, cut, begin, end or request.sent_at
            )
        ]
        if cuts and _has_servers(history, request):
            yield request


def _has_servers(history: History, request: SentRequest) -> bool:
    """Return whether the version of a resumed stream has servers."""
    first = history.requests.get(request.first_attempt)
    if first is None or not first.versions:
        return False
    version = min(first.versions)
    serving = sum(
        period.version == version
        and period.begin <= request.sent_at
        and period.end >= (request.ended_at or request.sent_at)
        for period in history.server_periods.values()
    )
    return serving >= MIN_SERVERS


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
    without_store = list(_list_resumptions_without_store(history))
    return {
        "resumed": len(resumed),
        "resumed and went on": sum(bool(request.events) for request in resumed),
        "resumed at hosts in touch": len(list(_list_counted_resumptions(history))),
        "resumed without the store": len(without_store),
        "resumed without the store and went on": sum(
            bool(request.events) for request in without_store
        ),
        "new versions": len(history.new_versions),
    }
