"""`dewridge dump`: the state of entry hosts' processes."""

from typing import TYPE_CHECKING, Any

import typer

from dewridge.commands.operating import call_operator_api
from dewridge.commands.options import (
    Addresses,
    AsJson,
    ExitStatus,
    TokenFile,
    check_addresses,
    describe_failure,
    print_json,
)
from dewridge.sentinels import Failure

if TYPE_CHECKING:
    from dewridge.client.operators import OperatorClient


def dump(
    *, address: Addresses, token_file: TokenFile = None, as_json: AsJson = False
) -> None:
    """Print each given entry host's state: one part for each of its tasks.

    A part that does not answer in time is named under `missing`. The document
    is JSON with and without --json; it holds no token, prompt or answer.

    Example: dewridge dump -a 10.0.0.7:8080 --token-file operator.token
    """
    addresses = check_addresses(address)

    async def collect(client: "OperatorClient") -> dict[str, Any]:
        return {each: await client.read_at(each, "/v1/dump") for each in addresses}

    dumps = call_operator_api(address, token_file, as_json, collect)
    failed = {key: value for key, value in dumps.items() if isinstance(value, Failure)}
    shown = {key: describe_failure(value) for key, value in failed.items()}
    print_json({**dumps, **shown})
    if failed:
        raise typer.Exit(ExitStatus.UNREACHABLE)
