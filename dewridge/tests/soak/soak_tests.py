"""A short run of the soak with a fixed seed: real processes, kept promises."""

from pathlib import Path

import pytest

from dewridge.tests.soak.runs import SoakSize, run_soak

RANDOM_FAULTS_SEED = 7
SECONDS = 6.0


CRASHING_SEED = 29


@pytest.mark.timeout(90)
async def test_crashing_request_crashes_few_servers(
    tmp_path: Path,
) -> None:
    """One request ends each server that begins to run it, and comes again anywhere."""
    size = SoakSize(hosts=4, servers=8, callers=6, seconds=SECONDS, crashing=1)
    result = await run_soak(CRASHING_SEED, size, tmp_path)
    assert result.violations == []
    assert result.outcomes["servers ended"] >= 3


@pytest.mark.timeout(90)
async def test_guarantees_hold_under_random_faults(tmp_path: Path) -> None:
    """Faults and planned work overlap on real processes for some seconds."""
    size = SoakSize(hosts=3, servers=4, callers=8, seconds=SECONDS)
    result = await run_soak(RANDOM_FAULTS_SEED, size, tmp_path)
    assert result.violations == []
    assert result.outcomes.get("200", 0) > 100
