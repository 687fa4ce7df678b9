"""Options shared by the commands, and their exit statuses and error output."""

import json
import os
import sys
from enum import IntEnum
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer

from dewridge.codes import Outcome, ResultCode
from dewridge.sentinels import Failure

TOKEN_VARIABLE = "DEWRIDGE_TOKEN"
ADDRESS_VARIABLE = "DEWRIDGE_ADDRESSES"


class ExitStatus(IntEnum):
    """Exit statuses of all commands, as documented in the operators' guide."""

    DONE = 0
    """The command succeeded."""
    FAILED = 1
    """The operation ran and failed."""
    USAGE = 2
    """Usage error: an option, a file or the settings are invalid."""
    NOT_RUN = 3
    """Rejected: nothing was run or changed; retry later."""
    UNKNOWN = 4
    """The outcome is unknown; query it by the request key."""
    UNREACHABLE = 5
    """No entry host could be reached."""
    CONFLICT = 6
    """A concurrent change came first; read the object again."""
    REFUSED = 7
    """The token is missing or does not permit the operation."""


STATUSES_HELP = (
    "Exit statuses: 0 done, 1 ran and failed, 2 wrong call or settings, "
    "3 not run (refused), 4 outcome unknown, 5 no entry host reached, "
    "6 changed by someone else, 7 token refused."
)

Addresses = Annotated[
    list[str],
    typer.Option(
        "--address",
        "-a",
        envvar=ADDRESS_VARIABLE,
        help="IP number and port of an entry host; may be given more than once.",
    ),
]
TokenFile = Annotated[
    Path | None,
    typer.Option(
        "--token-file", help=f"File with the token; otherwise ${TOKEN_VARIABLE}."
    ),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print one JSON document.")]

_STATUS_BY_CODE = {
    ResultCode.PEER_UNREACHABLE: ExitStatus.UNREACHABLE,
    ResultCode.REVISION_CONFLICT: ExitStatus.CONFLICT,
    ResultCode.UNAUTHENTICATED: ExitStatus.REFUSED,
    ResultCode.FORBIDDEN: ExitStatus.REFUSED,
    ResultCode.CHANGE_UNKNOWN: ExitStatus.UNKNOWN,
}
_STATUS_BY_OUTCOME = {
    Outcome.DONE: ExitStatus.DONE,
    Outcome.RUNNING: ExitStatus.DONE,
    Outcome.NOT_RUN: ExitStatus.NOT_RUN,
    Outcome.UNKNOWN: ExitStatus.UNKNOWN,
    Outcome.FAILED: ExitStatus.FAILED,
    Outcome.NOT_APPLICABLE: ExitStatus.FAILED,
}


def get_exit_status(failure: Failure) -> ExitStatus:
    """Return the exit status for a failure."""
    return _STATUS_BY_CODE.get(failure.code) or _STATUS_BY_OUTCOME[failure.outcome]


def read_token(path: Path | None) -> str:
    """Return the token from its file or the environment.

    Without a usable token the command ends with a usage error.
    """
    token = read_file(path) if path else os.environ.get(TOKEN_VARIABLE, "")
    token = token.strip()
    if not token or not token.isascii() or not token.isprintable():
        exit_with_usage_error(
            f"no usable token: give --token-file or set {TOKEN_VARIABLE}"
        )
    return token


def read_file(path: Path) -> str:
    """Return a text file's content; `-` is standard input.

    The command ends with a usage error if the file can't be read.
    """
    try:
        return sys.stdin.read() if str(path) == "-" else path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        exit_with_usage_error(
            f"can't read {path}: {getattr(error, 'strerror', 'not UTF-8')}"
        )


def check_addresses(addresses: list[str]) -> list[str]:
    """Return the given addresses, split at commas and spaces.

    A malformed address ends the command with a usage error.
    """
    from dewridge.settings.checks import is_address  # noqa: PLC0415

    split = [part for text in addresses for part in text.replace(",", " ").split()]
    for address in split:
        if not is_address(address):
            exit_with_usage_error(
                f"`{address}` is not an IP number and port such as 10.0.0.7:8080"
            )
    return split


def print_json(document: Any) -> None:
    """Print a document as JSON."""
    typer.echo(json.dumps(document, ensure_ascii=False, indent=2))


def exit_with_usage_error(text: str) -> NoReturn:
    """Print a one-line message and exit with the status for usage errors."""
    typer.echo(f"dewridge: {text}", err=True)
    raise typer.Exit(ExitStatus.USAGE)


def exit_with_failure(failure: Failure, as_json: bool = False) -> NoReturn:
    """Print a failure as one line or as JSON, and exit with its status."""
    if as_json:
        print_json(describe_failure(failure))
    else:
        typer.echo(f"dewridge: {format_failure(failure)}", err=True)
    raise typer.Exit(get_exit_status(failure))


def describe_failure(failure: Failure) -> dict[str, Any]:
    """Return a failure as a JSON object."""
    return {
        "code": int(failure.code),
        "name": failure.code.name,
        "outcome": failure.outcome.value,
        "reason": failure.reason,
        "retry_after": failure.retry_after,
    }


def format_failure(failure: Failure) -> str:
    """Return a failure as one human-readable line."""
    from dewridge.codes import CODE_TABLE  # noqa: PLC0415

    parts = [f"{int(failure.code)} {CODE_TABLE[failure.code].title}"]
    if failure.reason:
        parts.append(failure.reason)
    if failure.outcome is not Outcome.NOT_APPLICABLE:
        parts.append(f"outcome: {failure.outcome.value.replace('_', ' ')}")
    if failure.retry_after is not None:
        parts.append(f"come back in {failure.retry_after:g} s")
    return "; ".join(parts)
