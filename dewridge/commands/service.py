"""`dewridge service`: list and publish services, and move them between profiles."""

from typing import Annotated

import typer

from dewridge.commands.operating import (
    Name,
    ObjectFile,
    Revision,
    call_operator_api,
    make_path,
    print_change,
    read_named_object,
)
from dewridge.commands.options import Addresses, AsJson, TokenFile, print_json

app = typer.Typer(
    no_args_is_help=True,
    rich_markup_mode=None,
    help="Services: their operations and the profile each runs under.",
)


@app.command("list")
def list_services(
    *, address: Addresses, token_file: TokenFile = None, as_json: AsJson = False
) -> None:
    """List the services with their revisions and profiles.

    Example: dewridge service list -a 10.0.0.7:8080 --token-file operator.token
    """
    services = call_operator_api(
        address, token_file, as_json, lambda client: client.read("/v1/services")
    )
    if as_json:
        print_json(services)
        return
    for name, published in services.items():
        value = published["value"]
        operations = " ".join(item["name"] for item in value["operations"])
        typer.echo(
            f"{name:<24} {published['revision']:>8}  {value['kind']:<6} "
            f"{value['profile']:<20} {operations}"
        )


@app.command()
def publish(
    file: ObjectFile,
    *,
    revision: Annotated[
        int,
        typer.Option("--revision", "-r", min=0, help="Revision replaced; 0 if new."),
    ] = 0,
    address: Addresses,
    token_file: TokenFile = None,
    as_json: AsJson = False,
) -> None:
    """Publish a service with its operations, or replace one.

    Example: dewridge service publish examples/services/registry.json
    -a 10.0.0.7:8080 --token-file operator.token
    """
    service = read_named_object(file)
    path = make_path("services", service["name"])
    change = call_operator_api(
        address,
        token_file,
        as_json,
        lambda client: client.change("PUT", path, revision, service),
    )
    print_change(change, as_json)


@app.command()
def move(
    name: Name,
    profile: Annotated[str, typer.Argument(help="The profile to run under.")],
    *,
    revision: Revision,
    address: Addresses,
    token_file: TokenFile = None,
    as_json: AsJson = False,
) -> None:
    """Put a service under another profile; requests in progress continue.

    Example: dewridge service move findings interactive --revision 4
    -a 10.0.0.7:8080 --token-file operator.token
    """
    path = make_path("services", name, "profile")
    body = {"profile": profile}
    change = call_operator_api(
        address,
        token_file,
        as_json,
        lambda client: client.change("PUT", path, revision, body),
    )
    print_change(change, as_json)
