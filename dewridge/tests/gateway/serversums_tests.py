"""Sums over all hosts' words on servers, kept up word by word."""

from hypothesis import given
from hypothesis import strategies as st

from dewridge.gateway.reports import ZERO_SERVER_TOTALS, ServerTotals
from dewridge.gateway.serversums import ServerSums, ServerTotalsMap
from dewridge.ids import BackendServerId

totals = st.builds(
    ServerTotals, *[st.integers(0, 9) for _ in ServerTotals.__struct_fields__]
)
servers = st.sampled_from([BackendServerId(f"s-{n}") for n in range(4)])
words = st.dictionaries(servers, totals)
sources = st.sampled_from(["host-1", "host-2", "cell-a"])


@given(st.lists(st.tuples(sources, words | st.none())))
def test_the_sums_are_those_of_all_last_words(
    changes: list[tuple[str, ServerTotalsMap | None]],
) -> None:
    """Hosts tell, fall silent and are heard again, in any order.

    A sum that drifted away from what is told would make a server look busy, or idle,
    for as long as the process lives.
    """
    sums = ServerSums()
    last: dict[str, ServerTotalsMap] = {}
    for source, told in changes:
        if told is None:
            sums.drop(source)
            last.pop(source, None)
        else:
            sums.replace(source, told)
            last[source] = told
    expected: dict[BackendServerId, ServerTotals] = {}
    for told in last.values():
        for server, total in told.items():
            expected[server] = expected.get(server, ZERO_SERVER_TOTALS) + total
    for server in {*expected, *sums.totals}:
        assert sums.totals.get(server, ZERO_SERVER_TOTALS) == expected.get(
            server, ZERO_SERVER_TOTALS
        )
    assert sums.totals.keys() <= expected.keys()
