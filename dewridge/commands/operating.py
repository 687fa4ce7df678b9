"""Arguments and helpers shared by the operator commands."""

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any
from urllib.parse import quote

import typer

from dewridge.commands.options import (
    check_addresses,
    exit_with_failure,
    exit_with_usage_error,
    print_json,
    read_file,
    read_token,
)
from dewridge.sentinels import Failure

if TYPE_CHECKING:
    from dewridge.client.operators import OperatorClient

Revision = Annotated[
    int,
    typer.Option(
        "--revision", "-r", min=1, help="Revision that the change was made from."
    ),
]
ObjectFile = Annotated[
    Path, typer.Argument(help="JSON file, comments allowed; - is standard input.")
]
Name = Annotated[str, typer.Argument(help="Its name.")]


def call_operator_api(
    addresses: list[str],
    token_file: Path | None,
    as_json: bool,
    call: "Callable[[OperatorClient], Awaitable[Any]]",
) -> Any:
    """Call the operator API once and return the result; a failure ends the command."""
    import trio  # noqa: PLC0415

    from dewridge.client.operators import OperatorClient  # noqa: PLC0415

    checked_addresses, token = check_addresses(addresses), read_token(token_file)

    async def run() -> Any:
        async with OperatorClient(checked_addresses, token) as client:
            return await call(client)

    result = trio.run(run)
    if isinstance(result, Failure):
        exit_with_failure(result, as_json)
    return result


def read_named_object(path: Path) -> dict[str, Any]:
    """Return the named object that a JSON file with comments contains.

    The command ends with a usage error if the file contains none.
    """
    import json5  # noqa: PLC0415

    try:
        content = json5.loads(read_file(path), allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        exit_with_usage_error(f"{path}: not JSON: {str(error).splitlines()[0][:200]}")
    if not isinstance(content, dict) or not isinstance(content.get("name"), str):
        exit_with_usage_error(f"{path}: expected an object with a `name`")
    return content


def make_path(*parts: str) -> str:
    """Return an API path with its parts URL-quoted."""
    return "/v1/" + "/".join(quote(part, safe="") for part in parts)


def print_change(change: Any, as_json: bool) -> None:
    """Print the name and revision of an accepted change."""
    if as_json:
        print_json(change)
    else:
        typer.echo(f"{change['name']} is at revision {change['revision']}")
