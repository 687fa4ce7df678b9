"""Builders of profiles, services, servers, requests and schedulers for tests."""

from dewridge.configuration.model import (
    CostLimits,
    LatencyTargets,
    Operation,
    PolicyChoice,
    Profile,
    Service,
)
from dewridge.ids import (
    BackendServerId,
    ClientAccount,
    FailureDomain,
    OperationName,
    ProfileName,
    RequestId,
    ServiceName,
)
from dewridge.policy.model import ServerView, Work, WorkClass
from dewridge.policy.scheduler import Scheduler

DOMAINS = ("zona-a", "zona-b", "mixco", "villa-nueva")


def make_profile(
    placement: str = "cost_aware",
    admission: str = "fair",
    recovery: str = "resume",
    *,
    parameters: dict[str, float] | None = None,
    limits: CostLimits | None = None,
) -> Profile:
    return Profile(
        name=ProfileName("p"),
        placement=PolicyChoice(placement),
        admission=PolicyChoice(admission, parameters or {}),
        recovery=PolicyChoice(recovery),
        targets=LatencyTargets(),
        limits=limits or CostLimits(),
    )


def make_service(
    kind: str = "model", shares: dict[str, float] | None = None
) -> Service:
    return Service(
        name=ServiceName("findings"),
        kind="plain" if kind == "plain" else "model",
        profile=ProfileName("p"),
        operations=(Operation(name=OperationName("draft")),),
        shares=shares or {},
    )


def make_server(
    number: int, *, capacity: int = 4, price: float = 1.0, domains: int = 4
) -> ServerView:
    return ServerView(
        id=BackendServerId(f"server-{number}"),
        failure_domain=FailureDomain(DOMAINS[number % domains]),
        machine_class="standard",
        price=price,
        reclaimable=True,
        capacity=capacity,
    )


def make_work(
    number: int,
    *,
    account: str = "one",
    is_interactive: bool = True,
    arrival: float = 0.0,
    deadline: float = 1000.0,
    prompt: int = 0,
    tokens: int = 10,
    idempotent: bool = True,
    prefix: int = 0,
) -> Work:
    return Work(
        request=RequestId(f"{account}/{number}"),
        account=ClientAccount(account),
        operation=OperationName("draft"),
        work_class=WorkClass.INTERACTIVE if is_interactive else WorkClass.BACKGROUND,
        arrival=arrival,
        deadline=deadline,
        prompt_tokens=prompt,
        expected_tokens=tokens,
        idempotent=idempotent,
        prefix=prefix,
    )


def make_scheduler(
    servers: int = 1, *, profile: Profile | None = None, kind: str = "model"
) -> Scheduler:
    scheduler = Scheduler(make_service(kind), profile or make_profile(), seed=1)
    scheduler.update_servers([make_server(n) for n in range(servers)], 0.0)
    return scheduler
