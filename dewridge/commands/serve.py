"""`dewridge serve`: run an entry host."""

import sys
from pathlib import Path
from typing import Annotated

import typer

from dewridge.commands.check_settings import print_problems
from dewridge.commands.options import ExitStatus
from dewridge.settings.loading import load_settings


def serve(
    settings: Annotated[
        Path, typer.Option("--settings", "-s", help="The settings file.")
    ],
) -> None:
    """Run an entry host until it is told to leave (SIGTERM, Ctrl-C or a reclaim).

    Example: dewridge serve --settings examples/sello-verde.json
    """
    loaded = load_settings(settings)
    print_problems(loaded)
    if loaded.settings is None:
        raise typer.Exit(ExitStatus.USAGE)
    # httpx's command line brings rich and pygments; a host has no use for them,
    # and they take 3 to 6 of the 64 MB that control may use.
    sys.modules.setdefault("httpx._main", None)  # type: ignore[arg-type]
    import trio  # noqa: PLC0415 - other commands start faster without it

    from dewridge.composition import run_host  # noqa: PLC0415
    from dewridge.lifecycle import ExitReason  # noqa: PLC0415
    from dewridge.logs import set_up_logs  # noqa: PLC0415

    set_up_logs(loaded.settings.log)
    ending = trio.run(run_host, loaded.settings)
    if ending is ExitReason.FAILED:
        raise typer.Exit(ExitStatus.FAILED)
