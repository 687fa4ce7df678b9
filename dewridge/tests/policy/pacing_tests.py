"""Tests of the rate limit for datagrams."""

from hypothesis import given
from hypothesis import strategies as st

from dewridge.policy.pacing import BURST_BYTES, DatagramPacer, compute_datagram_rate

MAX_DATAGRAM_BYTES = 3_600


@given(
    sizes=st.lists(st.integers(40, MAX_DATAGRAM_BYTES), min_size=1, max_size=60),
    rate=st.floats(20_000, 1_000_000),
)
def test_any_interval_stays_within_the_rate_and_a_burst(
    sizes: list[int], rate: float
) -> None:
    """In any interval, the bytes sent exceed the rate by at most a burst.

    A host sends a round of reports at once; more than that would overflow the send
    queue of a slow link, which holds some tens of kilobytes.
    """
    pacer = DatagramPacer(rate)
    now = 100.0
    sent: list[tuple[float, int]] = []
    for size in sizes:
        now += pacer.compute_wait(now)
        pacer.record_sent(size, now)
        sent.append((now, size))
    for first, (begin, _) in enumerate(sent):
        total = 0
        for at, size in sent[first:]:
            total += size
            assert total <= rate * (at - begin) + BURST_BYTES + MAX_DATAGRAM_BYTES + 1


def test_a_fast_link_needs_no_pause() -> None:
    pacer = DatagramPacer(compute_datagram_rate(1000.0))
    assert pacer.compute_wait(1.0) == 0.0
    pacer.record_sent(BURST_BYTES - 1, 1.0)
    assert pacer.compute_wait(1.0) == 0.0


def test_an_unknown_bandwidth_counts_as_a_slow_link() -> None:
    assert compute_datagram_rate(0.0) == compute_datagram_rate(10.0)
