"""`dewridge version`: print the release."""

import typer

from dewridge import __version__
from dewridge.commands.options import AsJson, print_json


def version(as_json: AsJson = False) -> None:
    """Print the version.

    Example: dewridge version
    """
    if as_json:
        print_json({"version": __version__})
    else:
        typer.echo(__version__)
