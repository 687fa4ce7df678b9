"""Runs a few fault-injection scenarios with one seed on real processes."""

import pytest
import trio

from dewridge.proofs.runs import run_scenario
from dewridge.proofs.scenarios import SCENARIOS

SHORT_RUN_SCENARIOS = (
    "reclaim-domain",
    "kill-hosts",
    "copies-kill",
    "operators",
    "crashing-request",
    "answers-rest",
)
"""Together they check all eight promises except the graceful shutdown, which the tests
of the frontend and of request processing cover."""


@pytest.mark.timeout(150)
@pytest.mark.parametrize("name", SHORT_RUN_SCENARIOS)
def test_scenario_breaks_no_promise(name: str) -> None:
    # Guards against answers that never arrive, arrive twice or belong to another
    # request, and against profiles that revert, when a failure domain is
    # reclaimed, hosts are killed, submissions are duplicated, operators conflict or
    # requests crash servers, or servers ask for rest, while callers wait.
    scenario = next(candidate for candidate in SCENARIOS if candidate.name == name)
    result = trio.run(run_scenario, scenario, 1, None)
    assert result.violations == ()
