"""`dewridge standin`: run test doubles of the platform and of backend servers."""

from typing import Annotated

import typer

app = typer.Typer(
    no_args_is_help=True,
    help="Run a stand-in of the platform's services or of backend servers.",
)

DieWithParent = Annotated[
    bool, typer.Option(help="End when standard input closes.", show_default=False)
]
Port = Annotated[int, typer.Option(help="First port; 0 lets the kernel choose.")]
HostListUrl = Annotated[
    str, typer.Option("--platform", help="URL of the host list to register at.")
]
Count = Annotated[int, typer.Option(help="Servers in this process.", min=1, max=64)]
Services = Annotated[list[str], typer.Option("--service", help="Service; repeatable.")]
Domains = Annotated[
    list[str],
    typer.Option("--failure-domain", help="Failure domains, taken in turn."),
]
Prices = Annotated[
    list[float], typer.Option("--price", help="Prices an hour, taken in turn.")
]


@app.command()
def platform(port: Port = 0, die_with_parent: DieWithParent = False) -> None:
    """Run key-value service, host list, cloud notices and a control endpoint.

    Example: dewridge standin platform --port 7000
    """
    from dewridge.standins.platform import Platform  # noqa: PLC0415
    from dewridge.standins.serving import run_process  # noqa: PLC0415

    run_process(lambda nursery: Platform(port).start(nursery), die_with_parent)


@app.command()
def engine(
    *,
    service: Services,
    failure_domain: Domains,
    name: Annotated[str, typer.Option(help="Name; numbered if several.")] = "engine",
    count: Count = 1,
    host_list: HostListUrl = "",
    price: Prices = [1.0],  # noqa: B006 - typer reads it and never changes it
    machine_class: Annotated[str, typer.Option(help="Machine class.")] = "standard",
    on_demand: Annotated[bool, typer.Option(help="Never reclaimed.")] = False,
    step: Annotated[float, typer.Option(help="Milliseconds of a step.")] = 8.0,
    prefill: Annotated[int, typer.Option(help="Prompt tokens a step.")] = 2048,
    capacity: Annotated[int, typer.Option(help="Streams in the batch.")] = 8,
    queue: Annotated[int, typer.Option(help="Streams that may wait.")] = 64,
    cache_tokens: Annotated[int, typer.Option(help="Prefix cache.")] = 65_536,
    load_lag: Annotated[float, typer.Option(help="Lag of load, seconds.")] = 0.5,
    ignore_fencing: Annotated[
        bool, typer.Option(help="Obey orders with old fencing numbers.")
    ] = False,
    port: Port = 0,
    die_with_parent: DieWithParent = False,
) -> None:
    """Run model engines that batch step by step and stream tokens.

    Example: dewridge standin engine --service findings --failure-domain zona-a
    """
    from dewridge.standins.backend import BackendGroup, BackendPlan  # noqa: PLC0415
    from dewridge.standins.engine import EngineOptions  # noqa: PLC0415
    from dewridge.standins.serving import run_process  # noqa: PLC0415

    plan = BackendPlan(
        name,
        count,
        tuple(service),
        tuple(failure_domain),
        host_list,
        tuple(price),
        machine_class,
        not on_demand,
        port,
    )
    options = EngineOptions(
        step=step / 1000,
        prefill=prefill,
        capacity=capacity,
        queue=queue,
        cache_tokens=cache_tokens,
        load_lag=load_lag,
        checks_fencing=not ignore_fencing,
    )

    run_process(
        lambda nursery: BackendGroup(plan, options).start(nursery), die_with_parent
    )


@app.command()
def plain(
    *,
    service: Services,
    failure_domain: Domains,
    name: Annotated[str, typer.Option(help="Name; numbered if several.")] = "plain",
    count: Count = 1,
    host_list: HostListUrl = "",
    price: Prices = [0.2],  # noqa: B006 - typer reads it and never changes it
    machine_class: Annotated[str, typer.Option(help="Machine class.")] = "small",
    on_demand: Annotated[bool, typer.Option(help="Never reclaimed.")] = False,
    work: Annotated[float, typer.Option(help="Milliseconds of a call.")] = 10.0,
    capacity: Annotated[int, typer.Option(help="Calls side by side.")] = 64,
    port: Port = 0,
    die_with_parent: DieWithParent = False,
) -> None:
    """Run workers of a plain service; some calls draw a serial number.

    Example: dewridge standin plain --service registry --failure-domain mixco
    """
    from dewridge.standins.backend import BackendGroup, BackendPlan  # noqa: PLC0415
    from dewridge.standins.plain import PlainOptions  # noqa: PLC0415
    from dewridge.standins.serving import run_process  # noqa: PLC0415

    plan = BackendPlan(
        name,
        count,
        tuple(service),
        tuple(failure_domain),
        host_list,
        tuple(price),
        machine_class,
        not on_demand,
        port,
    )
    options = PlainOptions(work / 1000, capacity)

    run_process(
        lambda nursery: BackendGroup(plan, options).start(nursery), die_with_parent
    )


@app.command()
def relay(
    target: Annotated[list[str], typer.Option(help="a.b.c.d:port; repeatable.")],
    port: Port = 0,
    die_with_parent: DieWithParent = False,
) -> None:
    """Run a TCP relay that can stop forwarding without closing connections.

    Example: dewridge standin relay --target 127.0.0.1:8081
    """
    from dewridge.standins.relay import Relay  # noqa: PLC0415
    from dewridge.standins.serving import run_process  # noqa: PLC0415

    run_process(
        lambda nursery: Relay(tuple(target), port).start(nursery), die_with_parent
    )
