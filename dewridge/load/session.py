"""Sets up and runs the load generator from its options."""

from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any

from dewridge.load.mixes import MIXES, Arrivals, Mix, draw_calls
from dewridge.load.runner import LoadRun, RunPlan
from dewridge.load.targets import (
    fetch_entry_list,
    make_backend_sender,
    make_client,
    make_entry_host_sender,
)

DIRECT_ACCOUNTS = tuple(f"account-{n}" for n in range(1, 6))
"""Account names for direct calls, where no entry host defines the accounts. They begin
the prompts and are sent as cache salt."""


class OptionError(Exception):
    """The options are inconsistent or incomplete."""


@dataclass(frozen=True)
class LoadOptions:
    """Options of a load run.

    Attributes:
        rate: calls per second.
        seconds: time during which calls are counted.
        warmup: seconds before it, during which calls are sent but not counted.
        entry_hosts: addresses of entry hosts; the first is asked for the entry list.
        only_given_hosts: whether to call just these hosts instead of the list.
        tokens: access token by client account, the largest account first.
        direct: addresses of backend servers by service.
        only_operation: the only operation to call; empty for all of the mix.
    """

    mix: str
    rate: float
    seconds: float
    warmup: float
    entry_hosts: tuple[str, ...] = ()
    only_given_hosts: bool = False
    tokens: dict[str, str] | None = None
    direct: dict[str, list[str]] | None = None
    only_operation: str = ""
    seed: int = 1
    quiet: bool = False


def check_options(options: LoadOptions) -> Mix:
    """Check the options, and return the mix that they name.

    Raises:
        OptionError: the options are inconsistent or incomplete.
    """
    mix = MIXES.get(options.mix)
    if mix is None:
        raise OptionError(f"no mix {options.mix!r}; there are {', '.join(MIXES)}")
    operations = {spec.operation for spec in mix.calls}
    if options.only_operation and options.only_operation not in operations:
        raise OptionError(f"mix {mix.name} has no operation {options.only_operation!r}")
    if bool(options.entry_hosts) == bool(options.direct):
        raise OptionError("give either --entry-host or --direct")
    if options.direct:
        needed = {
            candidate.service
            for candidate in mix.calls
            if options.only_operation in ("", candidate.operation)
        }
        missing = ", ".join(sorted(needed - set(options.direct)))
        if missing:
            raise OptionError(f"give --direct for {missing}, or another --only")
        return mix
    if not options.tokens:
        raise OptionError("give --token ACCOUNT=TOKEN or --token-file")
    return mix


async def run_load(options: LoadOptions) -> dict[str, Any]:
    """Run the load generator, and return the measured figures."""
    mix = check_options(options)
    tokens = options.tokens or {}
    arrivals = Arrivals(
        rate=options.rate,
        seconds=options.warmup + options.seconds,
        accounts=tuple(tokens) or DIRECT_ACCOUNTS,
        seed=options.seed,
        only_operation=options.only_operation,
    )
    async with AsyncExitStack() as stack:
        client = await stack.enter_async_context(make_client())
        if options.direct:
            send = make_backend_sender(client, options.direct)
        else:
            hosts = list(options.entry_hosts)
            if not options.only_given_hosts:
                token = next(iter(tokens.values()))
                hosts = await fetch_entry_list(client, hosts[0], token)
            send = make_entry_host_sender(client, hosts, tokens)
        plan = RunPlan(options.seconds, options.warmup)
        return await LoadRun(plan, send, options.quiet).run(draw_calls(mix, arrivals))
