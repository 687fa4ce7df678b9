"""Tests of the admission of requests under contention, over the request path."""

from collections.abc import Mapping
from dataclasses import replace

import pytest
import trio

from dewridge.gateway.contention.accounts import connect_reports
from dewridge.gateway.contention.admitting import AdmissionControl
from dewridge.gateway.contention.mode import is_planned, is_suited
from dewridge.gateway.jobs import Job
from dewridge.gateway.model import (
    Account,
    AccountKey,
    AttemptKey,
    CallerRequest,
    Configuration,
    PromptPart,
    RouteKind,
    ServerRecord,
    Sizes,
)
from dewridge.gateway.state import GatewayState
from dewridge.ids import (
    BackendServerId,
    ClientAccount,
    HostId,
    ServerName,
    ServiceName,
)
from dewridge.settings.gateway import GatewayDecisions
from dewridge.tests.gateway.world import (
    DOMAIN,
    ENGINE,
    PLAIN,
    make_configuration,
    make_route,
    make_state,
)

PEER = HostId("host-2")
SERVER = BackendServerId("s-1")
SMALL = ClientAccount("small")
LARGE = ClientAccount("large")
URGENT = make_route("urgent", RouteKind.STREAM, ENGINE, priority=0, timeout=12.0)
SLOW = make_route(
    "slow", RouteKind.STREAM, ENGINE, priority=2, timeout=12.0, is_resumable=True
)


def make_unequal_configuration(
    rates: Mapping[ClientAccount, float] | None = None,
) -> Configuration:
    """Return a configuration with two urgencies and accounts of unequal size."""
    rates = rates or {SMALL: 1_000.0, LARGE: 50_000.0}
    accounts = {
        AccountKey(f"key-{name}"): Account(
            name, None, rate, rate, counts_tokens=True, plain_tokens=100
        )
        for name, rate in rates.items()
    }
    configuration = make_configuration(routes=(URGENT, SLOW))
    return replace(configuration, accounts=accounts)


def make_contended_state(
    in_flight: int, *, configuration: Configuration | None = None
) -> GatewayState:
    """Return a state with one server of 8 slots and requests in flight at it."""
    state = make_state(configuration or make_unequal_configuration())
    connect_reports(state)
    record = ServerRecord(
        SERVER, ServerName("s"), ENGINE, "127.0.0.1:9", DOMAIN, 8, is_draining=False
    )
    state.servers.update(record, trio.current_time())
    state.work_in_flight.requests[SERVER] = in_flight
    return state


def make_job(
    state: GatewayState,
    account: ClientAccount = LARGE,
    *,
    is_urgent: bool = False,
    last_event: int | None = None,
    seconds: float = 12.0,
) -> Job:
    """Return a job of a prompt with 5,000 tokens."""
    now = trio.current_time()
    configuration = state.configuration.current
    assert configuration is not None
    request = CallerRequest(
        id=AttemptKey("r"),
        method=b"POST",
        target=b"/slow/",
        hostname="example.test",
        headers=(),
        body=b"",
        key=AccountKey(""),
        sizes=Sizes(5_000, 300, (PromptPart("p", 5_000),), "m"),
        last_event=last_event,
        arrived_at=now,
        deadline=now + seconds,
    )
    known = next(at for at in configuration.accounts.values() if at.name == account)
    route = URGENT if is_urgent else SLOW
    return Job(request, route, known, ENGINE, now + seconds, is_engine=True)


def count_admitted(
    state: GatewayState, jobs: int, account: ClientAccount = LARGE, **options: bool
) -> int:
    """Return how many of some jobs are admitted."""
    control = AdmissionControl(state)
    made = [make_job(state, account, **options) for _ in range(jobs)]
    return sum(control.check(job) is None for job in made)


def run(test: object) -> None:
    """Run a test within trio."""
    trio.run(test)  # type: ignore[arg-type]


def test_auto_plans_only_for_unequal_accounts_and_several_urgencies() -> None:
    """Deployments without a choice among callers are served as before."""
    configuration = make_unequal_configuration()
    assert is_suited(configuration, ENGINE)
    assert not is_suited(configuration, PLAIN)
    assert not is_suited(configuration, ServiceName("unknown"))
    assert not is_suited(replace(configuration, routes=(URGENT,)), ENGINE)
    equal = make_unequal_configuration({SMALL: 5.0, LARGE: 5.0})
    assert not is_suited(equal, ENGINE)


@pytest.mark.parametrize(("setting", "expected"), [("planned", True), ("ramps", False)])
def test_the_setting_takes_precedence(setting: str, expected: bool) -> None:
    async def check() -> None:
        state = make_state(make_unequal_configuration())
        decisions = GatewayDecisions(admission=setting)
        state.settings = replace(state.settings, decisions=decisions)
        assert is_planned(state, ENGINE) is expected

    run(check)


def test_nothing_is_refused_without_contention() -> None:
    async def check() -> None:
        assert count_admitted(make_contended_state(in_flight=6), 50) == 50

    run(check)


def test_urgent_requests_are_admitted_first() -> None:
    async def check() -> None:
        state = make_contended_state(in_flight=12)
        count_admitted(state, 200)
        state.contention.plans.clear()
        assert count_admitted(state, 5, is_urgent=True) == 5
        assert count_admitted(state, 50) < 25

    run(check)
