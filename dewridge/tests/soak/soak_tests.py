"""Short runs of the soak test with fixed seeds and real gateway processes."""

import random
from pathlib import Path

import pytest
import trio

from dewridge.tests.soak.documents import LargeDocuments, time_version
from dewridge.tests.soak.runs import SoakSize, run_soak
from dewridge.tests.soak.stage import RESTART_DELAY, SoakEnvironment
from dewridge.tests.soak.versionchecks import MIN_RESUMPTIONS

RANDOM_FAULTS_SEED = 7
FAULT_SECONDS = 6.0
"""Duration of the fault injection."""


CRASHING_SEED = 29
SIGNALS_SEED = 4000
PARTITIONS_SEED = 8000
VERSIONS_SEED = 9500
NEW_VERSION_SEED = 15_235
BAD_PARTS_SEED = 12_000
DOCUMENTS_SEED = 11_000
DEPARTURES_SEED = 20_202
REJECTIONS_SEED = 18_000
LEAVING_SEED = 70_102
LEAVING_SECONDS = 2.0
"""Duration of the fault injection before hosts leave, which takes longer."""
LAPSES_SEED = 85_001
RESTORES_SEED = 85_506
RESTORES, RESTORES_SECONDS = 3, 8.0
MOVES_SEED = 90_401
LOSING_SEED = 91_004
MOVES_SECONDS, MOVES_CALM_SECONDS = 0.2, 1.0
"""Duration of the fault injection, and of the time after it.
The streams of leaving engines and the freeing of memory take some seconds between."""


@pytest.mark.timeout(90)
async def test_crashing_request_crashes_few_servers(
    tmp_path: Path,
) -> None:
    """A request that crashes each server and is retried at any host is quarantined.

    Otherwise its retries would crash one server after the other.
    """
    size = SoakSize(hosts=4, servers=8, callers=6, seconds=FAULT_SECONDS, crashing=1)
    result = await run_soak(CRASHING_SEED, size, tmp_path)
    assert result.violations == []
    assert result.outcomes["servers ended"] >= 3


@pytest.mark.timeout(90)
async def test_guarantees_hold_under_random_faults(tmp_path: Path) -> None:
    """Faults and planned operations that overlap for seconds cause no violation."""
    size = SoakSize(hosts=3, servers=4, callers=8, seconds=FAULT_SECONDS)
    result = await run_soak(RANDOM_FAULTS_SEED, size, tmp_path)
    assert result.violations == []
    assert result.outcomes.get("200", 0) > 100


@pytest.mark.timeout(90)
async def test_servers_that_ask_for_fewer_requests_are_heeded(tmp_path: Path) -> None:
    """Limits, rests and departures in answers are kept while hosts come and go."""
    size = SoakSize(hosts=4, servers=8, callers=10, seconds=FAULT_SECONDS, signals=6)
    result = await run_soak(SIGNALS_SEED, size, tmp_path)
    assert result.violations == []
    assert result.outcomes["answers with limit"] > 0
    assert result.outcomes["answers with rest"] > 0


@pytest.mark.timeout(90)
async def test_partitioned_hosts_and_brittle_servers_serve_on(tmp_path: Path) -> None:
    """Hosts without a path to servers serve their callers, brittle servers stay up."""
    size = SoakSize(
        hosts=4,
        servers=8,
        callers=30,
        seconds=FAULT_SECONDS,
        partitions=2,
        brittle=1,
    )
    result = await run_soak(PARTITIONS_SEED, size, tmp_path)
    assert result.violations == []
    assert result.outcomes["partitions"] == 2
    assert result.outcomes["brittle periods"] == 1


@pytest.mark.timeout(90)
async def test_servers_whose_records_lapse_get_requests_again(tmp_path: Path) -> None:
    """Guards against servers that get no requests after a lapse of their record."""
    size = SoakSize(hosts=3, servers=6, callers=30, seconds=FAULT_SECONDS, lapses=3)
    result = await run_soak(LAPSES_SEED, size, tmp_path)
    assert result.violations == []
    assert result.outcomes["servers returned"] > 0


@pytest.mark.timeout(90)
async def test_usage_is_reported_once_across_restores(tmp_path: Path) -> None:
    """Guards against two sums of a usage window after a restore of the store."""
    size = SoakSize(hosts=2, servers=6, seconds=RESTORES_SECONDS, restores=RESTORES)
    result = await run_soak(RESTORES_SEED, size, tmp_path)
    assert result.violations == []
    assert result.outcomes["restores"] == RESTORES


@pytest.mark.timeout(90)
async def test_streams_stay_at_their_version_over_hosts(tmp_path: Path) -> None:
    """Streams that callers resume at any host hold events of one version only."""
    size = SoakSize(
        hosts=4,
        servers=12,
        callers=6,
        seconds=FAULT_SECONDS,
        versions=3,
        resuming=8,
    )
    result = await run_soak(VERSIONS_SEED, size, tmp_path)
    assert result.violations == []
    assert result.outcomes["resumed at hosts in touch"] >= MIN_RESUMPTIONS


@pytest.mark.timeout(90)
async def test_streams_of_a_new_version_go_on_at_a_host_without_the_store(
    tmp_path: Path,
) -> None:
    """Guards against hosts that hear nothing of a version until the store is back."""
    size = SoakSize(
        hosts=4,
        servers=12,
        callers=6,
        seconds=FAULT_SECONDS,
        versions=1,
        resuming=14,
        new_versions=1,
    )
    result = await run_soak(NEW_VERSION_SEED, size, tmp_path)
    assert result.violations == []
    assert result.outcomes["resumed without the store"] >= MIN_RESUMPTIONS


@pytest.mark.timeout(90)
async def test_a_crashing_prompt_part_crashes_few_servers(tmp_path: Path) -> None:
    """Requests that share a crashing part are refused, and sound ones are served."""
    size = SoakSize(hosts=4, servers=16, callers=4, seconds=FAULT_SECONDS, bad_parts=1)
    result = await run_soak(BAD_PARTS_SEED, size, tmp_path)
    assert result.violations == []
    assert result.outcomes["servers ended"] >= 3


@pytest.mark.timeout(90)
async def test_retries_stay_within_the_limit_while_hosts_start_again(
    tmp_path: Path,
) -> None:
    """Guards against hosts that forget at a start which retries were sent before."""
    size = SoakSize(hosts=4, servers=12, callers=40, seconds=FAULT_SECONDS, rejecting=1)
    result = await run_soak(REJECTIONS_SEED, size, tmp_path)
    assert result.violations == []
    assert result.outcomes["repeats"] > 0


@pytest.mark.timeout(90)
async def test_no_request_reaches_a_server_late_after_it_has_left(
    tmp_path: Path,
) -> None:
    """Guards against departures that are missed right after a trouble of all hosts."""
    size = SoakSize(
        hosts=6, servers=14, callers=20, seconds=FAULT_SECONDS, departures=4
    )
    result = await run_soak(DEPARTURES_SEED, size, tmp_path)
    assert result.violations == []
    assert result.outcomes["servers left"] >= 4


@pytest.mark.timeout(120)
async def test_hosts_that_leave_lose_no_request_of_callers_that_hold_on(
    tmp_path: Path,
) -> None:
    """Guards against long streams that are cut at the exit of their host."""
    size = SoakSize(hosts=4, servers=12, callers=6, seconds=LEAVING_SECONDS, leaving=1)
    result = await run_soak(LEAVING_SEED, size, tmp_path)
    assert result.violations == []
    assert result.outcomes["hosts that left"] >= 2
    assert result.outcomes["sent to leaving hosts"] > 0


@pytest.mark.timeout(60)
async def test_no_part_of_a_stopped_or_unframed_answer_looks_whole(
    tmp_path: Path,
) -> None:
    """Guards against streams cut by an order of unknown outcome that look whole."""
    size = SoakSize(
        hosts=3,
        servers=10,
        callers=6,
        seconds=MOVES_SECONDS,
        unframed=50,
        moves=2,
        uploads=1,
        calm_seconds=MOVES_CALM_SECONDS,
    )
    result = await run_soak(MOVES_SEED, size, tmp_path)
    assert result.violations == []
    assert result.outcomes["orders without a usable reply"] > 0
    assert result.outcomes["stopped and whole"] > 0
    assert result.outcomes["sound unframed, whole"] > 0


@pytest.mark.timeout(60)
async def test_no_part_looks_whole_as_its_engine_has_no_run_or_its_server_closed(
    tmp_path: Path,
) -> None:
    """Guards against parts that count as whole as nothing is found that cut them."""
    size = SoakSize(
        hosts=3,
        servers=12,
        callers=4,
        seconds=MOVES_SECONDS,
        unframed=70,
        moves=2,
        losing=100,
        uploads=2,
        closing=60,
        calm_seconds=MOVES_CALM_SECONDS,
    )
    result = await run_soak(LOSING_SEED, size, tmp_path)
    assert result.violations == []
    assert result.outcomes["memory forgotten"] > 0
    assert result.outcomes["uploads answered in part"] > 0
    assert result.outcomes["sound unframed, whole"] > 0


@pytest.mark.timeout(90)
async def test_large_configurations_are_in_force_in_time(tmp_path: Path) -> None:
    """Versions of 2,000 routes reach hosts with links of 10 Mbit/s within 3 s."""
    size = SoakSize(
        hosts=4,
        servers=4,
        callers=4,
        seconds=FAULT_SECONDS,
        routes=2_000,
        store_rate=1_250_000.0,
    )
    result = await run_soak(DOCUMENTS_SEED, size, tmp_path)
    assert result.violations == []
    assert result.outcomes["versions probed in touch"] > 0


@pytest.mark.timeout(90)
async def test_all_hosts_start_again_with_a_large_configuration(tmp_path: Path) -> None:
    """Guards against hosts that all read 2,000 routes at once and never get them."""
    async with trio.open_nursery() as nursery:
        environment = SoakEnvironment(random.Random(1), tmp_path, nursery)
        environment.make_routes = LargeDocuments(2_000).list_routes
        environment.store_rate = 1_250_000.0
        try:
            await environment.start(hosts=4, servers=2)
            assert max(await time_version(environment, limit=10.0)) < 10.0
            for gateway in environment.gateways:
                assert gateway.process is not None
                gateway.process.kill()
            await trio.sleep(RESTART_DELAY)
            assert max(await time_version(environment, limit=8.0)) < 8.0
        finally:
            await environment.close()
            nursery.cancel_scope.cancel()
