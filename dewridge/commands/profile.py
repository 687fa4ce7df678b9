"""`dewridge profile`: publish, revise, retire and read profiles."""

from typing import Any

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
    help="Profiles: policies, latency targets and cost limits, by name.",
)


@app.command()
def publish(
    file: ObjectFile,
    *,
    address: Addresses,
    token_file: TokenFile = None,
    as_json: AsJson = False,
) -> None:
    """Publish a new profile; rejected if one of that name exists.

    Example: dewridge profile publish examples/profiles/interactive.json
    -a 10.0.0.7:8080 --token-file operator.token
    """
    _put_profile(file, 0, address, token_file, as_json)


@app.command()
def revise(
    file: ObjectFile,
    *,
    revision: Revision,
    address: Addresses,
    token_file: TokenFile = None,
    as_json: AsJson = False,
) -> None:
    """Replace a profile if it is still at the given revision.

    Example: dewridge profile revise examples/profiles/interactive.json
    --revision 3 -a 10.0.0.7:8080 --token-file operator.token
    """
    _put_profile(file, revision, address, token_file, as_json)


def _put_profile(
    file: ObjectFile,
    revision: int,
    address: Addresses,
    token_file: TokenFile,
    as_json: bool,
) -> None:
    profile = read_named_object(file)
    path = make_path("profiles", profile["name"])
    change = call_operator_api(
        address,
        token_file,
        as_json,
        lambda client: client.change("PUT", path, revision, profile),
    )
    print_change(change, as_json)


@app.command()
def retire(
    name: Name,
    *,
    revision: Revision,
    address: Addresses,
    token_file: TokenFile = None,
    as_json: AsJson = False,
) -> None:
    """Retire a profile; rejected while a service runs under it.

    Example: dewridge profile retire interactive --revision 3
    -a 10.0.0.7:8080 --token-file operator.token
    """
    path = make_path("profiles", name)
    change = call_operator_api(
        address,
        token_file,
        as_json,
        lambda client: client.change("DELETE", path, revision),
    )
    print_change(change, as_json)


@app.command("list")
def list_profiles(
    *, address: Addresses, token_file: TokenFile = None, as_json: AsJson = False
) -> None:
    """List the profiles with their revisions and policies.

    Example: dewridge profile list -a 10.0.0.7:8080 --token-file operator.token
    """
    profiles = call_operator_api(
        address, token_file, as_json, lambda client: client.read("/v1/profiles")
    )
    if as_json:
        print_json(profiles)
        return
    for name, published in profiles.items():
        typer.echo(_format_profile(name, published))


def _format_profile(name: str, published: Any) -> str:
    value = published["value"]
    policies = [value[kind]["name"] for kind in ("placement", "admission", "recovery")]
    retired = "  retired" if value.get("retired") else ""
    return f"{name:<24} {published['revision']:>8}  {' '.join(policies)}{retired}"


@app.command()
def show(
    name: Name,
    *,
    address: Addresses,
    token_file: TokenFile = None,
    as_json: AsJson = False,
) -> None:
    """Show a profile and its revision, which `revise` requires.

    Example: dewridge profile show interactive -a 10.0.0.7:8080
    --token-file operator.token
    """
    path = make_path("profiles", name)
    result = call_operator_api(
        address, token_file, as_json, lambda client: client.read(path)
    )
    if not as_json:
        typer.echo(f"revision {result['revision']}", err=True)
    print_json(result if as_json else result["value"])


@app.command()
def report(
    name: Name,
    *,
    address: Addresses,
    token_file: TokenFile = None,
    as_json: AsJson = False,
) -> None:
    """Show what a profile cost and lost, summed over all entry hosts.

    Example: dewridge profile report interactive -a 10.0.0.7:8080
    --token-file operator.token
    """
    path = make_path("profiles", name, "report")
    result = call_operator_api(
        address, token_file, as_json, lambda client: client.read(path)
    )
    if as_json:
        print_json(result)
        return
    for counter, value in result["counters"].items():
        typer.echo(f"{counter:<48} {value:>16.6g}")
