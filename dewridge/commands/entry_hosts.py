"""`dewridge entry-hosts`: which addresses callers should use."""

import typer

from dewridge.commands.options import (
    Addresses,
    AsJson,
    TokenFile,
    check_addresses,
    exit_with_failure,
    print_json,
    read_token,
)
from dewridge.sentinels import Failure


def entry_hosts(
    address: Addresses, token_file: TokenFile = None, as_json: AsJson = False
) -> None:
    """Show the entry hosts for your client account, the best first.

    Example: dewridge entry-hosts -a 10.0.0.7:8080 --token-file account.token
    """
    import trio  # noqa: PLC0415

    from dewridge.client.client import Client  # noqa: PLC0415

    addresses, token = check_addresses(address), read_token(token_file)

    async def fetch() -> None:
        async with Client(addresses, token) as client:
            listed = await client.list_entry_hosts()
        if isinstance(listed, Failure):
            exit_with_failure(listed, as_json)
        hosts = [(host.address, host.failure_domain) for host in listed.hosts]
        if as_json:
            rows = [{"address": where, "failure_domain": at} for where, at in hosts]
            print_json({"hosts": rows, "ttl": listed.ttl})
            return
        for where, domain in hosts:
            typer.echo(f"{where:<24} {domain}")
        typer.echo(f"keep for {listed.ttl:g} s")

    trio.run(fetch)
