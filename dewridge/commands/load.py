"""`dewridge load`: generate load on entry hosts or backend servers."""

import json
from pathlib import Path
from typing import Annotated

import typer

from dewridge.commands.options import ExitStatus, exit_with_usage_error, read_file

DEFAULT_RATE = 20.0  # calls a second
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
    """Call entry hosts, or backend servers directly, and print the measurements.

    The load is open-loop: calls are sent on schedule, whether or not earlier ones
    have been answered, and latencies are measured from the scheduled send time.
    Exit status 0 when every call was answered in full, 1 when some were not,
    2 for a usage error.

    Example: dewridge load --entry-host 127.0.0.1:8080 --token cooperativa=TOKEN
    """
    # Imported here since only this command needs these libraries.
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
        report = trio.run(run_load, options)
    except OptionError as error:
        exit_with_usage_error(str(error))
    except httpx.HTTPError as error:
        exit_with_usage_error(f"no entry list from {entry_host[0]}: {error}")
    typer.echo(json.dumps(report) if as_json else format_report(report))
    if set(report["total"]["outcomes"]) - {ANSWERED}:
        raise typer.Exit(ExitStatus.FAILED)


def split_pairs(pairs: list[str], expected_form: str) -> list[tuple[str, str]]:
    """Split options of the form NAME=VALUE.

    The error message shows only the expected form, since values may be tokens.
    """
    parts = [pair.partition("=") for pair in pairs]
    if not all(name and value for name, _, value in parts):
        exit_with_usage_error(f"write {expected_form}")
    return [(name, value) for name, _, value in parts]
