"""`dewridge request`: send a request and print its answer."""

import json
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from dewridge.commands.options import (
    Addresses,
    AsJson,
    TokenFile,
    check_addresses,
    describe_failure,
    exit_with_failure,
    exit_with_usage_error,
    print_json,
    read_file,
    read_token,
)
from dewridge.sentinels import Failure

if TYPE_CHECKING:
    from dewridge.client.model import Answer, Call, OnEvent


def request(
    service: Annotated[str, typer.Argument(help="Name of the service.")],
    operation: Annotated[str, typer.Argument(help="Operation of the service.")],
    *,
    address: Addresses,
    text: Annotated[
        str | None, typer.Option("--text", "-t", help="Input for a model, as text.")
    ] = None,
    data: Annotated[
        str | None, typer.Option("--data", "-d", help="Input as a JSON value.")
    ] = None,
    file: Annotated[
        Path | None,
        typer.Option("--file", "-f", help="Input from a text file; - is stdin."),
    ] = None,
    deadline: Annotated[
        float, typer.Option(min=0.1, help="Seconds until the answer is due.")
    ] = 60.0,
    max_tokens: Annotated[
        int, typer.Option(min=0, max=1_000_000, help="Bound on generated tokens.")
    ] = 0,
    key: Annotated[
        str, typer.Option(help="UUIDv7 of an earlier try of the same request.")
    ] = "",
    token_file: TokenFile = None,
    as_json: AsJson = False,
) -> None:
    """Send a request, wait for the complete answer and print it.

    A retry with the printed key does not run the request a second time. Give the
    input by one of --text, --data and --file.

    Example: dewridge request findings draft_finding -a 10.0.0.7:8080
    --token-file account.token --file examples/plant-dossier.txt --max-tokens 200
    """
    from dewridge.client.model import Call  # noqa: PLC0415
    from dewridge.frontend.keys import parse_key  # noqa: PLC0415

    content = _read_input(text, data, file)
    if key and isinstance(parse_key(key), Failure):
        exit_with_usage_error("--key must be a UUIDv7")
    call = Call(service, operation, content, deadline, max_tokens, key)
    on_event = None if as_json else _print_tokens
    answer = _send_call(
        check_addresses(address), read_token(token_file), call, on_event
    )
    if as_json:
        print_json(_describe_answer(answer))
    else:
        _print_result(answer)
    if not answer.is_complete:
        failure = Failure(answer.code, f"{answer.reason} (key {answer.key})".strip())
        exit_with_failure(Failure(failure.code, failure.reason, answer.retry_after))


def _read_input(text: str | None, data: str | None, file: Path | None) -> Any:
    inputs = [option for option in (text, data, file) if option is not None]
    if len(inputs) != 1:
        exit_with_usage_error("give the input by one of --text, --data and --file")
    if text is not None:
        return text
    if file is not None:
        return read_file(file)
    try:
        return json.loads(data or "")
    except (ValueError, RecursionError):
        exit_with_usage_error("--data is not JSON")


def _send_call(
    addresses: list[str], token: str, call: "Call", on_event: "OnEvent | None"
) -> "Answer":
    import trio  # noqa: PLC0415

    from dewridge.client.client import Client  # noqa: PLC0415

    async def send() -> "Answer":
        async with Client(addresses, token) as client:
            return await client.request(call, on_event)

    return trio.run(send)


def _print_tokens(event: Any) -> None:
    from dewridge.requests.model import RestartEvent, TokensEvent  # noqa: PLC0415

    if isinstance(event, TokensEvent):
        typer.echo("".join(event.tokens), nl=False)
    elif isinstance(event, RestartEvent):
        typer.echo("\n[the answer begins anew]", err=True)


def _print_result(answer: "Answer") -> None:
    if answer.tokens:
        typer.echo()
    if answer.result is not None:
        print_json(answer.result)
    if answer.is_complete:
        summary = answer.summary
        typer.echo(
            f"[{answer.key} {summary.backend_server} in {summary.failure_domain}, "
            f"{summary.tokens} tokens, {summary.attempts} attempts, "
            f"cost {summary.cost:.3g}]",
            err=True,
        )


def _describe_answer(answer: "Answer") -> dict[str, Any]:
    from dataclasses import asdict  # noqa: PLC0415

    failure = Failure(answer.code, answer.reason, answer.retry_after)
    return {
        "key": answer.key,
        **describe_failure(failure),
        "text": answer.text,
        "result": answer.result,
        "summary": asdict(answer.summary),
        "submissions": answer.submissions,
        "connections": answer.connections,
        "restarts": answer.restarts,
        "hosts": list(answer.hosts),
    }
