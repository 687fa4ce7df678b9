"""Makes calls: to entry hosts, or past them to a backend server."""

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

SILENCE_SECONDS = 15.0
STATUS_OK = 200
CODE_OK = 0

Clock = Callable[[], float]
Send = Callable[[Call, Sample], Awaitable[None]]
"""Makes a call and fills in its sample; the sample's outcome says how it ended."""


class Frame(msgspec.Struct):
    """All fields of an entry host's events and of an engine's."""

    tokens: tuple[str, ...] = ()
    generation: int = 0
    code: int = -1
    choices: list[dict[str, Any]] = []


class Problem(msgspec.Struct):
    """An error answer of an entry host."""

    code: int = -1


def make_client() -> httpx.AsyncClient:
    """Return a client that opens as many connections as calls are in flight."""
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=256)
    timeout = httpx.Timeout(SILENCE_SECONDS)
    return httpx.AsyncClient(
        limits=limits, timeout=timeout, trust_env=False, verify=False
    )


def call_entry_hosts(
    client: httpx.AsyncClient, addresses: list[str], tokens: dict[str, str]
) -> Send:
    """Return what calls entry hosts in turn, as their callers do."""
    turns = itertools.cycle(addresses)

    async def send(call: Call, sample: Sample) -> None:
        is_model = call.shape.kind is CallKind.MODEL
        body = {
            "key": str(uuid7()),
            "operation": call.shape.operation,
            "input": call.input if is_model else {"text": call.input},
            "deadline_seconds": call.shape.deadline,
            "max_tokens": call.tokens,
            "stream": is_model,
        }
        url = f"http://{next(turns)}/v1/services/{call.shape.service}/requests"
        headers = {"authorization": f"Bearer {tokens[call.account]}"}
        await post(client, url, body, headers=headers, call=call, sample=sample)

    return send


def call_backend_servers(
    client: httpx.AsyncClient, addresses: dict[str, list[str]]
) -> Send:
    """Return what calls each service's backend servers in turn."""
    turns = {service: itertools.cycle(known) for service, known in addresses.items()}
    numbers = itertools.count()

    async def send(call: Call, sample: Sample) -> None:
        shape = call.shape
        if shape.service not in turns:
            raise KeyError(f"no address for service {shape.service}")
        body: dict[str, Any] = {"attempt": f"load-{next(numbers)}", "key": ""}
        path = f"/v1/operations/{shape.operation}"
        if shape.kind is CallKind.MODEL:
            path = "/v1/completions"
            body |= {
                "prompt": call.input,
                "max_tokens": call.tokens,
                "cache_salt": call.account,
            }
        else:
            body["input"] = call.input
        url = f"http://{next(turns[shape.service])}{path}"
        await post(client, url, body, headers={}, call=call, sample=sample)

    return send


async def post(
    client: httpx.AsyncClient,
    url: str,
    body: dict[str, Any],
    *,
    headers: dict[str, str],
    call: Call,
    sample: Sample,
) -> None:
    """Make a call and read its answer as it comes."""
    content = msgspec.json.encode(body)
    headers = headers | {"content-type": "application/json"}
    try:
        async with client.stream(
            "POST", url, content=content, headers=headers
        ) as answer:
            if answer.status_code != STATUS_OK:
                sample.outcome = read_refusal(answer.status_code, await answer.aread())
            elif call.shape.kind is CallKind.PLAIN:
                await answer.aread()
                sample.outcome = ANSWERED
            else:
                sample.outcome = await read_stream(answer.aiter_raw(), call, sample)
    except httpx.HTTPError as error:
        sample.outcome = type(error).__name__
    sample.ends = time.monotonic()


async def read_stream(chunks: AsyncIterator[bytes], call: Call, sample: Sample) -> str:
    """Read a stream of tokens to its end and return the outcome."""
    buffer = LineBuffer()
    decoder = msgspec.json.Decoder(Frame)
    answer = Answer()
    async for chunk in chunks:
        before = answer.arrived
        for line in buffer.feed(chunk) or []:
            if line.startswith(b"data:") and b"[DONE]" not in line:
                answer.take(decoder.decode(line[5:]))
        if answer.arrived > before:
            sample.token_times.append((time.monotonic(), answer.arrived - before))
    whole = is_expected_answer(call.input, call.tokens, answer.tokens)
    return (
        "wrong_answer" if answer.outcome == ANSWERED and not whole else answer.outcome
    )


class Answer:
    """An answer as it comes; a later generation voids the earlier ones.

    Attributes:
        arrived: tokens that came, void ones included.
    """

    def __init__(self) -> None:
        self.tokens: list[str] = []
        self.arrived = 0
        self.outcome = "truncated"
        self._generation = 0

    def take(self, frame: Frame) -> None:
        """Take in one event."""
        if frame.generation > self._generation:
            self._generation = frame.generation
            self.tokens.clear()
        self.tokens.extend(frame.tokens)
        self.arrived += len(frame.tokens)
        if frame.code >= 0:
            self.outcome = ANSWERED if frame.code == CODE_OK else f"code_{frame.code}"
        elif frame.choices and frame.choices[0].get("finish_reason"):
            self.outcome = ANSWERED


def read_refusal(status: int, content: bytes) -> str:
    """Name a refusal by its result code, or by its status."""
    try:
        code = msgspec.json.decode(content, type=Problem).code
    except msgspec.DecodeError:
        code = -1
    return f"code_{code}" if code >= 0 else f"status_{status}"


async def fetch_entry_list(
    client: httpx.AsyncClient, seed: str, token: str
) -> list[str]:
    """Ask one entry host for the addresses to use."""
    headers = {"authorization": f"Bearer {token}"}
    with trio.fail_after(SILENCE_SECONDS):
        answer = await client.get(f"http://{seed}/v1/entry-hosts", headers=headers)
    answer.raise_for_status()
    return [host["address"] for host in answer.json()["hosts"]]
