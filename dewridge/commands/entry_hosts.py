"""`dewridge entry-hosts`: list the entry hosts that callers should use."""

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
    """Show the entry hosts for your client account, in order of preference.

    Example: dewridge entry-hosts -a 10.0.0.7:8080 --token-file account.token
    """
    import trio  # noqa: PLC0415

    from dewridge.client.client import Client  # noqa: PLC0415

    addresses, token = check_addresses(address), read_token(token_file)

    async def fetch() -> None:
        async with Client(addresses, token) as client:
            entry_list = await client.list_entry_hosts()
        if isinstance(entry_list, Failure):
            exit_with_failure(entry_list, as_json)
        hosts = [(host.address, host.failure_domain) for host in entry_list.hosts]
        if as_json:
            rows = [
                {"address": host_address, "failure_domain": failure_domain}
                for host_address, failure_domain in hosts
            ]
            print_json({"hosts": rows, "ttl": entry_list.ttl})
            return
        for host_address, domain in hosts:
            typer.echo(f"{host_address:<24} {domain}")
        typer.echo(f"keep for {entry_list.ttl:g} s")

    trio.run(fetch)
