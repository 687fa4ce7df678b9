"""Options that commands share, and how commands end."""

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
    """Exit statuses of every command; documented in the operators' guide."""

    DONE = 0
    """Done as asked."""
    FAILED = 1
    """It ran and failed."""
    USAGE = 2
    """A wrong call: an option, a file or the settings are at fault."""
    NOT_RUN = 3
    """Refused: nothing was run or changed; come back later."""
    UNKNOWN = 4
    """The outcome is unknown; ask again by the key."""
    UNREACHABLE = 5
    """No entry host could be reached."""
    CONFLICT = 6
    """Someone changed it first; read it again."""
    REFUSED = 7
    """The token does not allow this, or there is none."""


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

_BY_CODE = {
    ResultCode.PEER_UNREACHABLE: ExitStatus.UNREACHABLE,
    ResultCode.REVISION_CONFLICT: ExitStatus.CONFLICT,
    ResultCode.UNAUTHENTICATED: ExitStatus.REFUSED,
    ResultCode.FORBIDDEN: ExitStatus.REFUSED,
    ResultCode.CHANGE_UNKNOWN: ExitStatus.UNKNOWN,
}
_BY_OUTCOME = {
    Outcome.DONE: ExitStatus.DONE,
    Outcome.RUNNING: ExitStatus.DONE,
    Outcome.NOT_RUN: ExitStatus.NOT_RUN,
    Outcome.UNKNOWN: ExitStatus.UNKNOWN,
    Outcome.FAILED: ExitStatus.FAILED,
    Outcome.NOT_APPLICABLE: ExitStatus.FAILED,
}


def get_exit_status(failure: Failure) -> ExitStatus:
    """Return the exit status for a failure."""
    return _BY_CODE.get(failure.code) or _BY_OUTCOME[failure.outcome]


def read_token(path: Path | None) -> str:
    """Return the token from its file or the environment; ends if there is none."""
    token = read_file(path) if path else os.environ.get(TOKEN_VARIABLE, "")
    token = token.strip()
    if not token or not token.isascii() or not token.isprintable():
        exit_with_usage_error(
            f"no usable token: give --token-file or set {TOKEN_VARIABLE}"
        )
    return token


def read_file(path: Path) -> str:
    """Return a text file's content; `-` is standard input. Ends if it can't."""
    try:
        return sys.stdin.read() if str(path) == "-" else path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        exit_with_usage_error(
            f"can't read {path}: {getattr(error, 'strerror', 'not UTF-8')}"
        )


def check_addresses(addresses: list[str]) -> list[str]:
    """Return the addresses given, commas split; ends on a malformed one."""
    from dewridge.settings.checks import is_address  # noqa: PLC0415

    split = [part for text in addresses for part in text.replace(",", " ").split()]
    for address in split:
        if not is_address(address):
            exit_with_usage_error(
                f"`{address}` is not an IP number and port such as 10.0.0.7:8080"
            )
    return split


def print_json(document: Any) -> None:
    """Print a document for machines."""
    typer.echo(json.dumps(document, ensure_ascii=False, indent=2))


def exit_with_usage_error(text: str) -> NoReturn:
    """End a wrong call with one plain line."""
    typer.echo(f"dewridge: {text}", err=True)
    raise typer.Exit(ExitStatus.USAGE)


def exit_with_failure(failure: Failure, as_json: bool = False) -> NoReturn:
    """End a command that failed with one plain line, or a JSON document."""
    if as_json:
        print_json(describe_failure(failure))
    else:
        typer.echo(f"dewridge: {format_failure(failure)}", err=True)
    raise typer.Exit(get_exit_status(failure))


def describe_failure(failure: Failure) -> dict[str, Any]:
    """Return a failure for machines."""
    return {
        "code": int(failure.code),
        "name": failure.code.name,
        "outcome": failure.outcome.value,
        "reason": failure.reason,
        "retry_after": failure.retry_after,
    }


def format_failure(failure: Failure) -> str:
    """Return a failure in one line for people."""
    from dewridge.codes import CODE_TABLE  # noqa: PLC0415

    parts = [f"{int(failure.code)} {CODE_TABLE[failure.code].title}"]
    if failure.reason:
        parts.append(failure.reason)
    if failure.outcome is not Outcome.NOT_APPLICABLE:
        parts.append(f"outcome: {failure.outcome.value.replace('_', ' ')}")
    if failure.retry_after is not None:
        parts.append(f"come back in {failure.retry_after:g} s")
    return "; ".join(parts)
