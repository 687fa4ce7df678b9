"""Tests of the bounds on the servers planned in each failure domain."""

from hypothesis import given
from hypothesis import strategies as st

from dewridge.ids import FailureDomain
from dewridge.policy.scaling import DomainBounds, WantedServers, plan_servers

COUNTS = st.integers(0, 6)


@given(
    bounds=st.lists(st.tuples(COUNTS, COUNTS, COUNTS), min_size=1, max_size=5),
    total=st.integers(0, 20),
    needed=st.integers(0, 20),
)
def test_a_plan_stays_within_the_bounds_of_each_domain(
    bounds: list[tuple[int, int, int]], total: int, needed: int
) -> None:
    """Guards against plans that ignore the minimum number of servers in a domain.

    The servers that operators require beyond the measured demand would be missing. If
    the minimum exceeds the maximum, the maximum applies.
    """
    domains = {
        FailureDomain(str(n)): DomainBounds(low, high, 1.0)
        for n, (low, high, _) in enumerate(bounds)
    }
    serving = {FailureDomain(str(n)): count for n, (_, _, count) in enumerate(bounds)}
    plan = plan_servers(domains, serving, total, needed)
    for domain, limits in domains.items():
        count = plan[domain].on_demand + plan[domain].reclaimable
        assert min(limits.min_servers, limits.max_servers) <= count
        assert count <= limits.max_servers


def test_the_minimum_is_reached_with_reclaimable_servers() -> None:
    """Guards against reaching the minimum with on-demand servers, which cost more."""
    domain = FailureDomain("a")
    domains = {domain: DomainBounds(4, 10, 1.0)}
    plan = plan_servers(domains, {domain: 1}, total=1, needed=3)
    assert plan == {domain: WantedServers(on_demand=2, reclaimable=2)}
