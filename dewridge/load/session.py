"""Puts together a run of the load generator from its options."""

from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any

from dewridge.load.mixes import MIXES, Arrivals, Mix, make_calls
from dewridge.load.runner import Run, RunPlan
from dewridge.load.targets import (
    call_backend_servers,
    call_entry_hosts,
    fetch_entry_list,
    make_client,
)

DIRECT_ACCOUNTS = tuple(f"account-{n}" for n in range(1, 6))
"""Names that salt prompts when there is no entry host to give accounts."""


class OptionError(Exception):
    """The options do not go together."""


@dataclass(frozen=True)
class LoadOptions:
    """What to call, how often and for how long.

    Attributes:
        entry_hosts: addresses to ask for the entry list.
        only_these: whether to use just these, not the list.
        tokens: token by client account, the largest account first.
        direct: addresses of backend servers by service.
        only: the one operation to call; empty: all of the mix.
    """

    mix: str
    rate: float
    seconds: float
    warmup: float
    entry_hosts: tuple[str, ...] = ()
    only_these: bool = False
    tokens: dict[str, str] | None = None
    direct: dict[str, list[str]] | None = None
    only: str = ""
    seed: int = 1
    quiet: bool = False


def check_options(options: LoadOptions) -> Mix:
    """Return the mix that the options ask for.

    Raises:
        OptionError: they do not go together.
    """
    mix = MIXES.get(options.mix)
    if mix is None:
        raise OptionError(f"no mix {options.mix!r}; there are {', '.join(MIXES)}")
    operations = {shape.operation for shape in mix.calls}
    if options.only and options.only not in operations:
        raise OptionError(f"mix {mix.name} has no operation {options.only!r}")
    if bool(options.entry_hosts) == bool(options.direct):
        raise OptionError("give either --entry-host or --direct")
    if options.direct:
        needed = {s.service for s in mix.calls if options.only in ("", s.operation)}
        missing = ", ".join(sorted(needed - set(options.direct)))
        if missing:
            raise OptionError(f"give --direct for {missing}, or another --only")
        return mix
    if not options.tokens:
        raise OptionError("give --token ACCOUNT=TOKEN or --token-file")
    return mix


async def run_load(options: LoadOptions) -> dict[str, Any]:
    """Run the generator and return the figures."""
    mix = check_options(options)
    tokens = options.tokens or {}
    arrivals = Arrivals(
        rate=options.rate,
        seconds=options.warmup + options.seconds,
        accounts=tuple(tokens) or DIRECT_ACCOUNTS,
        seed=options.seed,
        only=options.only,
    )
    async with AsyncExitStack() as stack:
        client = await stack.enter_async_context(make_client())
        if options.direct:
            send = call_backend_servers(client, options.direct)
        else:
            hosts = list(options.entry_hosts)
            if not options.only_these:
                token = next(iter(tokens.values()))
                hosts = await fetch_entry_list(client, hosts[0], token)
            send = call_entry_hosts(client, hosts, tokens)
        plan = RunPlan(options.seconds, options.warmup)
        return await Run(plan, send, options.quiet).run(make_calls(mix, arrivals))
