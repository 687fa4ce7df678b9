"""The command line: options in, one call out."""

import typer

from dewridge import __version__
from dewridge.commands import standin

app = typer.Typer(no_args_is_help=True, add_completion=False)
app.add_typer(standin.app, name="standin")


@app.callback()
def main() -> None:
    """Serve language models and plain services on reclaimable hosts."""


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


def run() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    run()
