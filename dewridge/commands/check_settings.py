"""`dewridge check-settings`: report errors and warnings of a settings file."""

from pathlib import Path
from typing import Annotated, Any

import typer

from dewridge.commands.options import AsJson, ExitStatus, print_json
from dewridge.settings.loading import LoadedSettings, load_settings
from dewridge.settings.problems import Problem


def check_settings(
    file: Annotated[Path, typer.Argument(help="The settings file.")],
    as_json: AsJson = False,
) -> None:
    """Check a settings file and show every error and warning at once.

    Example: dewridge check-settings examples/sello-verde.json
    """
    loaded = load_settings(file)
    if as_json:
        print_json(
            {
                "errors": [describe_problem(problem) for problem in loaded.errors],
                "warnings": [describe_problem(problem) for problem in loaded.warnings],
            }
        )
    else:
        print_problems(loaded)
        if loaded.settings is not None:
            typer.echo("settings are valid")
    if loaded.settings is None:
        raise typer.Exit(ExitStatus.USAGE)


def describe_problem(problem: Problem) -> dict[str, str]:
    """Return a problem as a JSON object."""
    return {"path": problem.path, "text": problem.text}


def print_problems(loaded: LoadedSettings[Any]) -> None:
    """Print the problems of a settings file, one on each line."""
    for problem in loaded.errors:
        typer.echo(f"error: {problem}", err=True)
    for problem in loaded.warnings:
        typer.echo(f"warning: {problem}", err=True)
