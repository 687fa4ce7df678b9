"""`dewridge explain`: reconstruct the history of one request from logs."""

import sys
from pathlib import Path
from typing import Annotated

import typer

from dewridge.commands.options import ExitStatus
from dewridge.explaining import LogLine, explain_request, read_lines


def explain(
    request: Annotated[str, typer.Argument(help="The id of the request.")],
    logs: Annotated[
        list[Path] | None,
        typer.Argument(help="Log files of gateways; none: standard input."),
    ] = None,
) -> None:
    """Print the history of one request from the log lines of several hosts.

    Lines marked with * are about the request itself. The others record changes
    of state that its hosts observed around the same time.

    Example: dewridge explain 3a7f90b2 gateway-1.log gateway-2.log
    """
    history = explain_request(_read_logs(logs or []), request)
    if not history:
        typer.echo(f"dewridge: no line tells of {request}", err=True)
        raise typer.Exit(ExitStatus.FAILED)
    for line in history:
        typer.echo(line)


def _read_logs(logs: list[Path]) -> list[LogLine]:
    if not logs:
        return list(read_lines(sys.stdin))
    lines: list[LogLine] = []
    for path in logs:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                lines += read_lines(file)
        except OSError as error:
            typer.echo(f"dewridge: {path}: {error.strerror or error}", err=True)
            raise typer.Exit(ExitStatus.USAGE) from error
    return lines
