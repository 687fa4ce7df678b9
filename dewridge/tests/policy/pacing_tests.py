"""Datagrams on a weak link: what leaves a host in any span of time."""

from hypothesis import given
from hypothesis import strategies as st

from dewridge.policy.pacing import BURST_BYTES, DatagramPacer, find_datagram_rate

LARGEST = 3_600


@given(
    sizes=st.lists(st.integers(40, LARGEST), min_size=1, max_size=60),
    rate=st.floats(20_000, 1_000_000),
)
def test_no_span_holds_more_than_the_rate_and_a_burst(
    sizes: list[int], rate: float
) -> None:
    """A round is posted at once; the queue of the link holds some tens of kilobytes.

    More than a burst beyond the rate, in any span, would overflow it.
    """
    pace = DatagramPacer(rate)
    now = 100.0
    sent: list[tuple[float, int]] = []
    for size in sizes:
        now += pace.find_wait(now)
        pace.record_sent(size, now)
        sent.append((now, size))
    for first, (begin, _) in enumerate(sent):
        total = 0
        for at, size in sent[first:]:
            total += size
            assert total <= rate * (at - begin) + BURST_BYTES + LARGEST + 1


def test_a_strong_link_never_waits() -> None:
    pace = DatagramPacer(find_datagram_rate(1000.0))
    assert pace.find_wait(1.0) == 0.0
    pace.record_sent(BURST_BYTES - 1, 1.0)
    assert pace.find_wait(1.0) == 0.0


def test_a_link_of_unknown_bandwidth_is_taken_for_a_weak_one() -> None:
    assert find_datagram_rate(0.0) == find_datagram_rate(10.0)
