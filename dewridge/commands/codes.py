"""`dewridge codes`: list the result codes."""

from typing import Annotated

import typer

from dewridge.codes import CODE_TABLE
from dewridge.commands.options import AsJson, exit_with_usage_error, print_json


def codes(
    number: Annotated[
        int | None, typer.Argument(help="Show only this code.", show_default=False)
    ] = None,
    as_json: AsJson = False,
) -> None:
    """List the result codes with their meaning and the advised action.

    Example: dewridge codes 204
    """
    selected = {
        code: CODE_TABLE[code] for code in CODE_TABLE if number in (None, int(code))
    }
    if not selected:
        exit_with_usage_error(f"there is no code {number}")
    if as_json:
        print_json(
            [
                {
                    "code": int(code),
                    "name": code.name,
                    "http_status": entry.http_status,
                    "outcome": entry.outcome.value,
                    "title": entry.title,
                    "advice": entry.advice,
                }
                for code, entry in selected.items()
            ]
        )
        return
    for code, entry in selected.items():
        typer.echo(f"{int(code):>4}  {entry.outcome.value:<14}  {entry.title}.")
        typer.echo(f"      {entry.advice}")
