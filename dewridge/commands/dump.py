"""`dewridge dump`: print state dumps of entry hosts."""

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
    """Print the state of each given entry host, one part for each of its tasks.

    A part that does not answer in time is listed under `missing`. The output is
    JSON with and without --json; it contains no token, prompt or answer.

    Example: dewridge dump -a 10.0.0.7:8080 --token-file operator.token
    """
    addresses = check_addresses(address)

    async def collect(client: "OperatorClient") -> dict[str, Any]:
        return {host: await client.read_at(host, "/v1/dump") for host in addresses}

    dumps = call_operator_api(address, token_file, as_json, collect)
    failures = {host: dump for host, dump in dumps.items() if isinstance(dump, Failure)}
    described = {host: describe_failure(failure) for host, failure in failures.items()}
    print_json({**dumps, **described})
    if failures:
        raise typer.Exit(ExitStatus.UNREACHABLE)
