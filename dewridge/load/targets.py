"""Sends calls to entry hosts, or directly to backend servers."""

import itertools
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import httpx
import msgspec
import trio
from uuid6 import uuid7

from dewridge.fleet.events import LineBuffer
from dewridge.load.mixes import Call, CallKind
from dewridge.load.samples import ANSWERED, Sample
from dewridge.standins.tokens import is_expected_answer

RESPONSE_TIMEOUT_SECONDS = 15.0
"""Timeout of connecting, of each read and write, and of fetching the entry list."""
STATUS_OK = 200
CODE_OK = 0

Clock = Callable[[], float]
SendCall = Callable[[Call, Sample], Awaitable[None]]
"""Sends a call, and stores outcome and times in its sample."""


class StreamEvent(msgspec.Struct):
    """An event of an answer stream: fields of entry hosts and of engines."""

    tokens: tuple[str, ...] = ()
    generation: int = 0
    code: int = -1
    choices: list[dict[str, Any]] = []


class ErrorAnswer(msgspec.Struct):
    """Body of an entry host's error response."""

    code: int = -1


def make_client() -> httpx.AsyncClient:
    """Return a client that may open a connection for each call in flight."""
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=256)
    timeout = httpx.Timeout(RESPONSE_TIMEOUT_SECONDS)
    return httpx.AsyncClient(
        limits=limits, timeout=timeout, trust_env=False, verify=False
    )


def make_entry_host_sender(
    client: httpx.AsyncClient, addresses: list[str], tokens: dict[str, str]
) -> SendCall:
    """Return a function that sends calls to the entry hosts in turn."""
    next_addresses = itertools.cycle(addresses)

    async def send(call: Call, sample: Sample) -> None:
        is_model = call.spec.kind is CallKind.MODEL
        body = {
            "key": str(uuid7()),
            "operation": call.spec.operation,
            "input": call.input if is_model else {"text": call.input},
            "deadline_seconds": call.spec.deadline,
            "max_tokens": call.tokens,
            "stream": is_model,
        }
        url = f"http://{next(next_addresses)}/v1/services/{call.spec.service}/requests"
        headers = {"authorization": f"Bearer {tokens[call.account]}"}
        await post_call(client, url, body, headers=headers, call=call, sample=sample)

    return send


def make_backend_sender(
    client: httpx.AsyncClient, addresses: dict[str, list[str]]
) -> SendCall:
    """Return a function that sends calls to each service's backend servers in turn."""
    next_addresses = {
        service: itertools.cycle(service_addresses)
        for service, service_addresses in addresses.items()
    }
    attempt_numbers = itertools.count()

    async def send(call: Call, sample: Sample) -> None:
        spec = call.spec
        if spec.service not in next_addresses:
            raise KeyError(f"no address for service {spec.service}")
        body: dict[str, Any] = {"attempt": f"load-{next(attempt_numbers)}", "key": ""}
        path = f"/v1/operations/{spec.operation}"
        if spec.kind is CallKind.MODEL:
            path = "/v1/completions"
            body |= {
                "prompt": call.input,
                "max_tokens": call.tokens,
                "cache_salt": call.account,
            }
        else:
            body["input"] = call.input
        url = f"http://{next(next_addresses[spec.service])}{path}"
        await post_call(client, url, body, headers={}, call=call, sample=sample)

    return send


async def post_call(
    client: httpx.AsyncClient,
    url: str,
    body: dict[str, Any],
    *,
    headers: dict[str, str],
    call: Call,
    sample: Sample,
) -> None:
    """Send a call, and read its answer as it arrives."""
    content = msgspec.json.encode(body)
    headers = headers | {"content-type": "application/json"}
    try:
        async with client.stream(
            "POST", url, content=content, headers=headers
        ) as response:
            if response.status_code != STATUS_OK:
                sample.outcome = read_rejection(
                    response.status_code, await response.aread()
                )
            elif call.spec.kind is CallKind.PLAIN:
                await response.aread()
                sample.outcome = ANSWERED
            else:
                sample.outcome = await read_stream(response.aiter_raw(), call, sample)
    except httpx.HTTPError as error:
        sample.outcome = type(error).__name__
    sample.completed_at = time.monotonic()


async def read_stream(chunks: AsyncIterator[bytes], call: Call, sample: Sample) -> str:
    """Read a stream of tokens to its end, and return the outcome."""
    buffer = LineBuffer()
    decoder = msgspec.json.Decoder(StreamEvent)
    answer = Answer()
    async for chunk in chunks:
        received_before = answer.received_tokens
        for line in buffer.feed(chunk) or []:
            if line.startswith(b"data:") and b"[DONE]" not in line:
                answer.apply_event(decoder.decode(line[5:]))
        if answer.received_tokens > received_before:
            sample.token_times.append(
                (time.monotonic(), answer.received_tokens - received_before)
            )
    is_correct = is_expected_answer(call.input, call.tokens, answer.tokens)
    return (
        "wrong_answer"
        if answer.outcome == ANSWERED and not is_correct
        else answer.outcome
    )


class Answer:
    """An answer that is being received; a newer generation discards earlier tokens.

    Attributes:
        tokens: tokens of the newest generation.
        received_tokens: number of tokens received, discarded ones included.
    """

    def __init__(self) -> None:
        self.tokens: list[str] = []
        self.received_tokens = 0
        self.outcome = "truncated"
        self._generation = 0

    def apply_event(self, event: StreamEvent) -> None:
        """Apply one event of the stream."""
        if event.generation > self._generation:
            self._generation = event.generation
            self.tokens.clear()
        self.tokens.extend(event.tokens)
        self.received_tokens += len(event.tokens)
        if event.code >= 0:
            self.outcome = ANSWERED if event.code == CODE_OK else f"code_{event.code}"
        elif event.choices and event.choices[0].get("finish_reason"):
            self.outcome = ANSWERED


def read_rejection(status: int, content: bytes) -> str:
    """Return an outcome name from an error's result code, or else its HTTP status."""
    try:
        code = msgspec.json.decode(content, type=ErrorAnswer).code
    except msgspec.DecodeError:
        code = -1
    return f"code_{code}" if code >= 0 else f"status_{status}"


async def fetch_entry_list(
    client: httpx.AsyncClient, seed: str, token: str
) -> list[str]:
    """Fetch the addresses of all entry hosts from one of them."""
    headers = {"authorization": f"Bearer {token}"}
    with trio.fail_after(RESPONSE_TIMEOUT_SECONDS):
        response = await client.get(f"http://{seed}/v1/entry-hosts", headers=headers)
    response.raise_for_status()
    return [host["address"] for host in response.json()["hosts"]]
