"""A short part of the proofs: one seed of a few scenarios on real processes."""

import pytest
import trio

from dewridge.proofs.runs import run_scenario
from dewridge.proofs.scenarios import SCENARIOS

SHORT = (
    "reclaim-domain",
    "kill-hosts",
    "copies-kill",
    "operators",
    "crashing-request",
)
"""Between them they look at all eight promises but the graceful shutdown, which
the frontend's and the requests part's own tests cover."""


@pytest.mark.timeout(150)
@pytest.mark.parametrize("name", SHORT)
def test_a_scenario_breaks_no_promise(name: str) -> None:
    # A failure domain is reclaimed, hosts die, submissions are copied, operators
    # race, each while callers wait. What a user would notice: an answer that
    # never comes, comes twice or is another's, or a profile that reverts.
    scenario = next(each for each in SCENARIOS if each.name == name)
    result = trio.run(run_scenario, scenario, 1, None)
    assert result.violations == ()
