"""HTTP interface of the simulated engine; completions are server-sent events."""

import time
from collections.abc import AsyncIterator, Callable

import msgspec
import trio
from quart import Response, request
from quart_trio import QuartTrio

from dewridge.standins.engine import (
    CacheExport,
    CompletionRequest,
    Engine,
    EngineStream,
)
from dewridge.standins.misbehaviour import (
    CRASH_PREFIX,
    Misbehaviour,
    MisbehaviourMode,
    apply_misbehaviour,
    reject_for_rest,
)
from dewridge.standins.serving import make_app, read_body, reply
from dewridge.standins.tokens import make_token

KEEPALIVE_SECONDS = 0.5
"""Seconds between the keep-alive comments of a stream that has no new tokens."""
IMPORT_TIMEOUT = 1.0
"""Seconds to fetch an exported KV cache from another engine."""
KEEPALIVE_COMMENT = b": waiting\n\n"
DONE_EVENT = b"data: [DONE]\n\n"


class Choice(msgspec.Struct):
    """Text of an event, in the form of common completion APIs."""

    text: str
    finish_reason: str | None = None
    index: int = 0


class CompletionUsage(msgspec.Struct):
    """Token counts of a completion."""

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int
    recomputed_tokens: int


class CompletionEvent(msgspec.Struct, omit_defaults=True):
    """A server-sent event; `sequence` is its first token's index in the answer."""

    attempt: str
    sequence: int
    tokens: list[str]
    choices: list[Choice]
    usage: CompletionUsage | None = None


class EngineOrder(msgspec.Struct):
    """A control order to an engine."""

    kind: str
    subject: str
    fence: int = 0


def build_engine_app(
    engine: Engine,
    misbehaviour: Misbehaviour,
    get_address: Callable[[], str],
    on_crash: Callable[[], None] = lambda: None,
) -> QuartTrio:
    """Return an engine's HTTP application."""
    app = make_app(engine.name)

    @app.post("/v1/completions")
    async def complete() -> Response:
        completion = await read_body(CompletionRequest)
        rest = reject_for_rest(misbehaviour)
        if rest is not None:
            return rest
        rejection = engine.find_rejection(completion)
        if rejection is not None:
            return reply({"error": {"type": rejection[1]}}, rejection[0])
        imported_tokens = await import_cache(engine, completion)
        stream = engine.accept(completion, imported_tokens)
        if misbehaviour.mode is MisbehaviourMode.CRASH and completion.prompt.startswith(
            CRASH_PREFIX
        ):
            on_crash()
        events = apply_misbehaviour(
            stream_events(engine, stream),
            misbehaviour,
            make_foreign_event(stream),
            make_error_event(),
        )
        answer = Response(events, content_type="text/event-stream")
        answer.timeout = None
        return answer

    @app.post("/v1/attempts/<attempt>/cancel")
    async def cancel(attempt: str) -> Response:
        await block_if_silent(misbehaviour)
        state, tokens = engine.cancel(attempt)
        return reply({"attempt": attempt, "state": state, "tokens": tokens})

    @app.post("/v1/attempts/<attempt>/export")
    async def export(attempt: str) -> Response:
        await block_if_silent(misbehaviour)
        exported = engine.export_cache(attempt, get_address())
        if exported is None:
            return reply({"error": {"type": "unknown_attempt"}}, 404)
        return reply({"cache_handle": exported.handle, "tokens": exported.tokens})

    add_state_routes(app, engine, misbehaviour)
    return app


def add_state_routes(
    app: QuartTrio, engine: Engine, misbehaviour: Misbehaviour
) -> None:
    """Add the routes for control orders and for the state of an engine."""

    @app.get("/v1/cache/<path:handle>")
    async def read_cache(handle: str) -> Response:
        found = engine.find_export(handle)
        return reply(found, 200 if found else 404)

    @app.get("/v1/load")
    async def read_load() -> Response:
        await block_if_silent(misbehaviour)
        at, queued, running = engine.read_load()
        return reply({"at": at, "queued": queued, "running": running})

    @app.get("/v1/cache-events")
    async def read_cache_events() -> Response:
        after = request.args.get("after", 0, type=int)
        return reply({"events": engine.cache.list_events(after, time.time())})

    @app.post("/v1/orders")
    async def execute_order() -> Response:
        await block_if_silent(misbehaviour)
        order = await read_body(EngineOrder)
        if engine.execute_order(order.kind, order.subject, order.fence):
            return reply(describe_engine(engine))
        return reply(
            {"error": {"type": "stale_fence"}, "fence": engine.highest_fencing_token},
            409,
        )

    @app.get("/v1/state")
    async def read_state() -> Response:
        return reply(describe_engine(engine))


def describe_engine(engine: Engine) -> dict[str, object]:
    """Return an engine's state."""
    return {
        "services": sorted(engine.services),
        "role": engine.role,
        "fence": engine.highest_fencing_token,
        "leaving": engine.leaving,
    }


async def block_if_silent(misbehaviour: Misbehaviour) -> None:
    """Block forever if the server is set to be silent."""
    if misbehaviour.mode is MisbehaviourMode.SILENT:
        await trio.sleep_forever()


async def import_cache(engine: Engine, completion: CompletionRequest) -> int:
    """Fetch an exported KV cache from its engine.

    Returns:
        The number of tokens in the cache; 0 if it is unavailable or its salt differs.
    """
    handle = completion.cache_handle
    if not handle:
        return 0
    import httpx  # noqa: PLC0415 - needed only by engines that import a cache

    address = handle.split("/", 1)[0]
    try:
        async with httpx.AsyncClient(timeout=IMPORT_TIMEOUT) as client:
            answer = await client.get(f"http://{address}/v1/cache/{handle}")
        exported = msgspec.json.decode(answer.content, type=CacheExport)
    except (httpx.HTTPError, msgspec.DecodeError):
        return 0
    is_same_salt = exported.salt == completion.cache_salt
    return exported.tokens if is_same_salt else 0


async def stream_events(engine: Engine, stream: EngineStream) -> AsyncIterator[bytes]:
    """Yield a stream's events; the stream is aborted if the caller disconnects."""
    yield KEEPALIVE_COMMENT
    try:
        while True:
            with trio.move_on_after(KEEPALIVE_SECONDS):
                await stream.updated.wait()
            if not stream.updated.is_set():
                yield KEEPALIVE_COMMENT
                continue
            stream.updated = trio.Event()
            is_finished = stream.is_finished
            if stream.outbox:
                yield encode_tokens(stream)
            if is_finished:
                break
        if stream.execution.state == "done":
            yield encode_final_event(stream)
            yield DONE_EVENT
    finally:
        engine.abort(stream)


def encode_tokens(stream: EngineStream) -> bytes:
    """Encode the tokens generated since the last event, and mark them as sent."""
    tokens = list(stream.outbox)
    stream.outbox.clear()
    sequence = stream.sent_tokens
    stream.sent_tokens += len(tokens)
    choices = [Choice("".join(tokens))]
    attempt = stream.completion.attempt
    return encode_event(CompletionEvent(attempt, sequence, tokens, choices))


def encode_final_event(stream: EngineStream) -> bytes:
    """Encode the final event of a complete answer."""
    usage = CompletionUsage(
        len(stream.prompt), stream.next_index, stream.cached, stream.recomputed
    )
    attempt = stream.completion.attempt
    choices = [Choice("", "length")]
    return encode_event(CompletionEvent(attempt, stream.next_index, [], choices, usage))


def make_foreign_event(stream: EngineStream) -> bytes:
    """Encode an event that belongs to another attempt."""
    token = make_token(stream.digest + 1 & 0xFFFFFFFFFFFFFFFF, stream.next_index)
    attempt = f"other-{stream.completion.attempt}"
    return encode_event(
        CompletionEvent(attempt, stream.next_index, [token], [Choice(token)])
    )


def make_error_event() -> bytes:
    """Encode an event that reports a failure of the engine."""
    return b'data: {"error": {"type": "failed"}}\n\n'


def encode_event(event: CompletionEvent) -> bytes:
    """Encode an event as a server-sent event."""
    return b"data: " + msgspec.json.encode(event) + b"\n\n"
