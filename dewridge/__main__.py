"""Entry point of the command line."""

import sys

import typer
from typer._click.exceptions import (  # typer includes its own copy of click
    ClickException,
    NoArgsIsHelpError,
)

from dewridge.commands import profile, service, standin
from dewridge.commands.check_settings import check_settings
from dewridge.commands.codes import codes
from dewridge.commands.demo import demo
from dewridge.commands.dump import dump
from dewridge.commands.entry_hosts import entry_hosts
from dewridge.commands.explain import explain
from dewridge.commands.load import load
from dewridge.commands.options import STATUSES_HELP, ExitStatus
from dewridge.commands.proofs import prove
from dewridge.commands.request import request
from dewridge.commands.serve import serve
from dewridge.commands.version import version

INTERRUPTED = 130
"""Exit status after Ctrl-C: 128 plus the number of SIGINT, as shells expect."""

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,
    # Typer's own tracebacks print the values of variables, such as tokens and prompts.
    pretty_exceptions_enable=False,
    epilog=STATUSES_HELP,
)


@app.callback()
def main() -> None:
    """Serve language models and plain services on reclaimable hosts."""


app.command()(serve)
app.command()(demo)
app.command("check-settings")(check_settings)
app.command("entry-hosts")(entry_hosts)
app.command()(request)
app.add_typer(profile.app, name="profile")
app.add_typer(service.app, name="service")
app.command()(dump)
app.command()(explain)
app.command()(codes)
app.command()(version)
app.add_typer(standin.app, name="standin")
app.command()(load)
app.command("proofs")(prove)


def run() -> None:
    """Run the command line; a usage error prints one line, without a traceback."""
    try:
        status = app(standalone_mode=False)
    except NoArgsIsHelpError as error:
        error.show()
        sys.exit(ExitStatus.USAGE)
    except ClickException as error:
        text = " ".join(error.format_message().split())
        typer.echo(f"dewridge: {text}", err=True)
        sys.exit(ExitStatus.USAGE)
    except (typer.Abort, KeyboardInterrupt):
        sys.exit(INTERRUPTED)
    sys.exit(status if isinstance(status, int) else ExitStatus.DONE)


if __name__ == "__main__":
    run()
