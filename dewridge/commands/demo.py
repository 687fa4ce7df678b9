"""`dewridge demo`: the main job on a deployment of this machine."""

import typer

from dewridge.commands.options import ExitStatus


def demo() -> None:
    """Start a small deployment on loopback and run the main job through it.

    Example: dewridge demo
    """
    import trio  # noqa: PLC0415

    from dewridge.testbed.demonstration import run_demonstration  # noqa: PLC0415
    from dewridge.testbed.processes import StartError  # noqa: PLC0415

    def tell(line: str) -> None:
        typer.echo(line)

    try:
        good = trio.run(run_demonstration, tell)
    except* StartError as group:
        typer.echo(f"error: {group.exceptions[0]}", err=True)
        good = False
    except* KeyboardInterrupt:
        typer.echo("interrupted", err=True)
        raise typer.Exit(130) from None
    if not good:
        raise typer.Exit(ExitStatus.FAILED)
