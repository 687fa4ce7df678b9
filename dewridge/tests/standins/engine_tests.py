"""The engine stand-in batches, caches prefixes, resumes and obeys orders."""

from dewridge.standins.engine import (
    CompletionRequest,
    Engine,
    EngineOptions,
    EngineStream,
    StreamState,
)
from dewridge.standins.tokens import is_expected_answer, make_answer

PROMPT = "site history of valve " * 40
WORDS = len(PROMPT.split())


def make_engine(**options: float) -> Engine:
    return Engine("engine-1", ("drafting",), EngineOptions(**options))  # type: ignore[arg-type]


def run_whole(engine: Engine, stream: EngineStream) -> list[str]:
    while not stream.is_finished:
        engine.step()
    return list(stream.outbox)


def test_an_answer_belongs_to_its_prompt() -> None:
    engine = make_engine()
    tokens = run_whole(engine, engine.accept(CompletionRequest(PROMPT, 12), 0))
    assert is_expected_answer(PROMPT, 12, tokens)
    assert not is_expected_answer(PROMPT + "x", 12, tokens)
    assert not is_expected_answer(PROMPT, 12, tokens[:-1])


def test_a_resumed_stream_goes_on_and_counts_what_it_recomputes() -> None:
    # An engine is reclaimed after five tokens and another one goes on with
    # them. The caller sees one answer; the operator sees what was recomputed,
    # which an imported KV cache saves.
    done = tuple(make_answer(PROMPT, 5))
    completion = CompletionRequest(PROMPT, 12, tokens_done=done)
    resumed = make_engine().accept(completion, 0)
    imported_engine = make_engine()
    imported = imported_engine.accept(completion, WORDS + 5)
    engine = make_engine()
    plain = engine.accept(completion, 0)
    tokens = run_whole(engine, plain)
    assert is_expected_answer(PROMPT, 12, [*done, *tokens])
    assert plain.recomputed == WORDS + 5
    run_whole(imported_engine, imported)
    assert imported.recomputed == 0
    assert resumed.state is StreamState.WAITING


def test_prefixes_are_cached_by_salt_in_limited_memory() -> None:
    engine = make_engine(cache_tokens=WORDS)
    run_whole(engine, engine.accept(CompletionRequest(PROMPT, 1, cache_salt="a"), 0))
    again = engine.accept(CompletionRequest(PROMPT, 1, cache_salt="a"), 0)
    run_whole(engine, again)
    stranger = engine.accept(CompletionRequest(PROMPT, 1, cache_salt="b"), 0)
    run_whole(engine, stranger)
    evicted = engine.accept(CompletionRequest(PROMPT, 1, cache_salt="a"), 0)
    run_whole(engine, evicted)
    assert again.cached == WORDS
    assert stranger.cached == 0
    assert evicted.cached == 0


def test_interactive_work_enters_the_batch_first() -> None:
    engine = make_engine(capacity=1)
    draft = engine.accept(CompletionRequest(PROMPT, 2, priority=1), 0)
    question = engine.accept(CompletionRequest(PROMPT, 2, priority=0), 0)
    engine.step()
    assert question.state is StreamState.RUNNING
    assert draft.state is StreamState.WAITING


def test_a_cancelled_attempt_does_not_start_later() -> None:
    # The cancellation overtakes the call that it cancels. The call must be
    # refused when it arrives, or the confirmed cancellation was a lie.
    engine = make_engine()
    assert engine.cancel("late") == ("unknown", 0)
    assert engine.find_rejection(CompletionRequest(PROMPT, 2, "late")) == (
        409,
        "cancelled",
    )


def test_only_a_checking_engine_refuses_an_old_fencing_number() -> None:
    # A paused host wakes up and sends an order that a newer one overruled.
    checking = make_engine()
    ignoring = make_engine(checks_fencing=False)
    for engine in (checking, ignoring):
        assert engine.execute_order("load", "summaries", 7)
    assert not checking.execute_order("unload", "summaries", 6)
    assert ignoring.execute_order("unload", "summaries", 6)
    assert "summaries" in checking.services
    assert "summaries" not in ignoring.services
