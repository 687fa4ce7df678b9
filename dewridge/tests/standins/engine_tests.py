"""Simulated engine: batching, prefix cache, resumption, cancellation and fencing."""

from dewridge.standins.engine import (
    CompletionRequest,
    Engine,
    EngineOptions,
    EngineStream,
    StreamState,
)
from dewridge.standins.tokens import is_expected_answer, make_answer

PROMPT = "site history of valve " * 40
PROMPT_TOKENS = len(PROMPT.split())


def make_engine(**options: float) -> Engine:
    return Engine("engine-1", ("drafting",), EngineOptions(**options))  # type: ignore[arg-type]


def run_to_completion(engine: Engine, stream: EngineStream) -> list[str]:
    while not stream.is_finished:
        engine.step()
    return list(stream.outbox)


def test_an_answer_is_checked_against_its_prompt() -> None:
    engine = make_engine()
    tokens = run_to_completion(engine, engine.accept(CompletionRequest(PROMPT, 12), 0))
    assert is_expected_answer(PROMPT, 12, tokens)
    assert not is_expected_answer(PROMPT + "x", 12, tokens)
    assert not is_expected_answer(PROMPT, 12, tokens[:-1])


def test_a_resumed_stream_continues_and_counts_recomputed_tokens() -> None:
    # An engine is reclaimed after five tokens and another one resumes the answer.
    # The caller gets one complete answer; the number of recomputed tokens is
    # recorded, and is 0 if the KV cache was imported.
    done_tokens = tuple(make_answer(PROMPT, 5))
    completion = CompletionRequest(PROMPT, 12, tokens_done=done_tokens)
    waiting = make_engine().accept(completion, 0)
    imported_engine = make_engine()
    imported = imported_engine.accept(completion, PROMPT_TOKENS + 5)
    engine = make_engine()
    resumed = engine.accept(completion, 0)
    tokens = run_to_completion(engine, resumed)
    assert is_expected_answer(PROMPT, 12, [*done_tokens, *tokens])
    assert resumed.recomputed == PROMPT_TOKENS + 5
    run_to_completion(imported_engine, imported)
    assert imported.recomputed == 0
    assert waiting.state is StreamState.WAITING


def test_prefixes_are_cached_by_salt_with_limited_capacity() -> None:
    engine = make_engine(cache_tokens=PROMPT_TOKENS)
    run_to_completion(
        engine, engine.accept(CompletionRequest(PROMPT, 1, cache_salt="a"), 0)
    )
    repeated = engine.accept(CompletionRequest(PROMPT, 1, cache_salt="a"), 0)
    run_to_completion(engine, repeated)
    other_salt = engine.accept(CompletionRequest(PROMPT, 1, cache_salt="b"), 0)
    run_to_completion(engine, other_salt)
    evicted = engine.accept(CompletionRequest(PROMPT, 1, cache_salt="a"), 0)
    run_to_completion(engine, evicted)
    assert repeated.cached == PROMPT_TOKENS
    assert other_salt.cached == 0
    assert evicted.cached == 0


def test_interactive_requests_enter_the_batch_first() -> None:
    engine = make_engine(capacity=1)
    background = engine.accept(CompletionRequest(PROMPT, 2, priority=1), 0)
    interactive = engine.accept(CompletionRequest(PROMPT, 2, priority=0), 0)
    engine.step()
    assert interactive.state is StreamState.RUNNING
    assert background.state is StreamState.WAITING


def test_a_cancelled_attempt_does_not_start_later() -> None:
    # The cancellation arrives before the request that it cancels. The request must
    # be rejected when it arrives, because its cancellation was already confirmed.
    engine = make_engine()
    assert engine.cancel("late") == ("unknown", 0)
    assert engine.find_rejection(CompletionRequest(PROMPT, 2, "late")) == (
        409,
        "cancelled",
    )


def test_only_an_engine_with_fencing_rejects_a_stale_token() -> None:
    # A host resumes after a pause and sends an order that a newer one superseded.
    with_fencing = make_engine()
    without_fencing = make_engine(checks_fencing=False)
    for engine in (with_fencing, without_fencing):
        assert engine.execute_order("load", "summaries", 7)
    assert not with_fencing.execute_order("unload", "summaries", 6)
    assert without_fencing.execute_order("unload", "summaries", 6)
    assert "summaries" in with_fencing.services
    assert "summaries" not in without_fencing.services
