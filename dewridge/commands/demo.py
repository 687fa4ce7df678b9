"""`dewridge demo`: run a demonstration on a local deployment."""

import typer

from dewridge.commands.options import ExitStatus


def demo() -> None:
    """Start a small deployment on loopback and send sample calls through it.

    Example: dewridge demo
    """
    import trio  # noqa: PLC0415

    from dewridge.testbed.demonstration import run_demonstration  # noqa: PLC0415
    from dewridge.testbed.processes import StartError  # noqa: PLC0415

    def print_line(line: str) -> None:
        typer.echo(line)

    try:
        is_successful = trio.run(run_demonstration, print_line)
    except* StartError as group:
        typer.echo(f"error: {group.exceptions[0]}", err=True)
        is_successful = False
    except* KeyboardInterrupt:
        typer.echo("interrupted", err=True)
        raise typer.Exit(130) from None
    if not is_successful:
        raise typer.Exit(ExitStatus.FAILED)
