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
    """Run an entry host until it must shut down (SIGTERM, Ctrl-C or a reclaim).

    Example: dewridge serve --settings examples/sello-verde.json
    """
    loaded = load_settings(settings)
    print_problems(loaded)
    if loaded.settings is None:
        raise typer.Exit(ExitStatus.USAGE)
    # Prevents httpx from importing its command line, and with it rich and pygments.
    # A host does not use them, and they take 3 to 6 MB of the 64 MB that the control
    # plane may use on a host.
    sys.modules.setdefault("httpx._main", None)  # type: ignore[arg-type]
    import trio  # noqa: PLC0415 - slows the start of other commands

    from dewridge.composition import run_host  # noqa: PLC0415
    from dewridge.lifecycle import ExitReason  # noqa: PLC0415
    from dewridge.logs import set_up_logs  # noqa: PLC0415

    set_up_logs(loaded.settings.log)
    exit_reason = trio.run(run_host, loaded.settings)
    if exit_reason is ExitReason.FAILED:
        raise typer.Exit(ExitStatus.FAILED)
