"""Tests of the incremental sums of server load over all sources."""

from hypothesis import given
from hypothesis import strategies as st

from dewridge.gateway.reports import ZERO_SERVER_TOTALS, ServerTotals
from dewridge.gateway.serversums import ServerSums, ServerTotalsMap
from dewridge.ids import BackendServerId

totals = st.builds(
    ServerTotals, *[st.integers(0, 9) for _ in ServerTotals.__struct_fields__]
)
servers = st.sampled_from([BackendServerId(f"s-{n}") for n in range(4)])
server_totals = st.dictionaries(servers, totals)
sources = st.sampled_from(["host-1", "host-2", "cell-a"])


@given(st.lists(st.tuples(sources, server_totals | st.none())))
def test_the_sums_are_those_of_the_last_totals_of_each_source(
    changes: list[tuple[str, ServerTotalsMap | None]],
) -> None:
    """Sources report, become silent and report again, in any order.

    A sum that drifts from the reported totals would make a server look busy, or idle,
    for the lifetime of the process.
    """
    sums = ServerSums()
    last: dict[str, ServerTotalsMap] = {}
    for source, reported in changes:
        if reported is None:
            sums.drop(source)
            last.pop(source, None)
        else:
            sums.replace(source, reported)
            last[source] = reported
    expected: dict[BackendServerId, ServerTotals] = {}
    for reported in last.values():
        for server, total in reported.items():
            expected[server] = expected.get(server, ZERO_SERVER_TOTALS) + total
    for server in {*expected, *sums.totals}:
        assert sums.totals.get(server, ZERO_SERVER_TOTALS) == expected.get(
            server, ZERO_SERVER_TOTALS
        )
    assert sums.totals.keys() <= expected.keys()
