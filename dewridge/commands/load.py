"""`dewridge load`: puts a deployment's mix of calls on entry hosts or on servers."""

import json
from pathlib import Path
from typing import Annotated

import typer

from dewridge.commands.options import ExitStatus, end_usage, read_file

DEFAULT_RATE = 20.0
DEFAULT_SECONDS = 20.0


def load(
    *,
    mix: Annotated[str, typer.Option(help="sello-verde or karoo.")] = "sello-verde",
    rate: Annotated[float, typer.Option(help="Calls a second.")] = DEFAULT_RATE,
    seconds: Annotated[
        float, typer.Option(help="Length of the measured part.")
    ] = DEFAULT_SECONDS,
    warmup: Annotated[float, typer.Option(help="Seconds before it.")] = 2.0,
    entry_host: Annotated[
        list[str], typer.Option(help="a.b.c.d:port of an entry host; repeatable.")
    ] = [],  # noqa: B006 - typer reads it and never changes it
    only_these: Annotated[
        bool, typer.Option(help="Use these hosts, not their entry list.")
    ] = False,
    token: Annotated[
        list[str], typer.Option(help="ACCOUNT=TOKEN; repeatable, largest first.")
    ] = [],  # noqa: B006
    token_file: Annotated[
        Path | None, typer.Option(help="File with ACCOUNT=TOKEN lines.")
    ] = None,
    direct: Annotated[
        list[str],
        typer.Option(help="SERVICE=a.b.c.d:port, past the entry hosts; repeatable."),
    ] = [],  # noqa: B006
    only: Annotated[str, typer.Option(help="One operation of the mix.")] = "",
    seed: Annotated[int, typer.Option(help="Makes a run repeatable.")] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Call entry hosts, or backend servers directly, and print what it measured.

    Calls arrive at their own times, whether or not the earlier ones have been
    answered, and all latencies count from the time at which a call should have
    been sent. Exit status 0 when every call was answered in full, 1 when some
    were not, 2 for a wrong call.

    Example: dewridge load --entry-host 127.0.0.1:8080 --token cooperativa=TOKEN
    """
    # Late imports: only this command needs the libraries below it.
    import httpx  # noqa: PLC0415
    import trio  # noqa: PLC0415

    from dewridge.load.samples import ANSWERED, format_report  # noqa: PLC0415
    from dewridge.load.session import (  # noqa: PLC0415
        LoadOptions,
        OptionError,
        run_load,
    )

    pairs = token + (read_file(token_file).split() if token_file else [])
    direct_addresses: dict[str, list[str]] = {}
    for service, address in split_pairs(direct, "--direct SERVICE=ADDRESS"):
        direct_addresses.setdefault(service, []).append(address)
    options = LoadOptions(
        mix=mix,
        rate=rate,
        seconds=seconds,
        warmup=warmup,
        entry_hosts=tuple(entry_host),
        only_given_hosts=only_these,
        tokens=dict(split_pairs(pairs, "each token as ACCOUNT=TOKEN")),
        direct=direct_addresses,
        only_operation=only,
        seed=seed,
        quiet=as_json,
    )
    try:
        figures = trio.run(run_load, options)
    except OptionError as error:
        end_usage(str(error))
    except httpx.HTTPError as error:
        end_usage(f"no entry list from {entry_host[0]}: {error}")
    typer.echo(json.dumps(figures) if as_json else format_report(figures))
    if set(figures["total"]["outcomes"]) - {ANSWERED}:
        raise typer.Exit(ExitStatus.FAILED)


def split_pairs(pairs: list[str], form: str) -> list[tuple[str, str]]:
    """Split options of the form NAME=VALUE; the value is never repeated."""
    split = [pair.partition("=") for pair in pairs]
    if not all(name and value for name, _, value in split):
        end_usage(f"write {form}")
    return [(name, value) for name, _, value in split]
