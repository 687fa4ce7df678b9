"""A short run of the soak with a fixed seed: real processes, kept promises."""

from pathlib import Path

import pytest

from dewridge.tests.soak.runs import Size, run_soak

SEED = 7
SECONDS = 6.0


CRASHING_SEED = 29


@pytest.mark.timeout(90)
async def test_a_crashing_request_ends_few_servers_of_real_hosts(
    tmp_path: Path,
) -> None:
    """One request ends each server that begins to run it, and comes again anywhere."""
    size = Size(hosts=4, servers=8, callers=6, seconds=SECONDS, crashing=1)
    result = await run_soak(CRASHING_SEED, size, tmp_path)
    assert result.broken == []
    assert result.outcomes["servers ended"] >= 3


@pytest.mark.timeout(90)
async def test_promises_hold_under_drawn_faults(tmp_path: Path) -> None:
    """Faults and planned work overlap on real processes for some seconds."""
    size = Size(hosts=3, servers=4, callers=8, seconds=SECONDS)
    result = await run_soak(SEED, size, tmp_path)
    assert result.broken == []
    assert result.outcomes.get("200", 0) > 100
