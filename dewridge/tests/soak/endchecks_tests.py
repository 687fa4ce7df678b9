"""Tests of the checks of ended answers and stopped runs, on handmade histories."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from dewridge.tests.soak.checks import check_all, check_interruptions
from dewridge.tests.soak.endchecks import MIN_UNFRAMED, count_ends
from dewridge.tests.soak.records import (
    Continuation,
    Disturbance,
    EngineMemory,
    Execution,
    History,
    HostBoot,
    RequestKind,
    SentRequest,
    ServerRun,
    Signal,
    SignalAnswer,
    StopRecord,
)

STREAM = "d-1"
"""Id of a stream that was stopped after two of four events."""
HANDLE = "h-1"
Change = Callable[[History], None]


def make_request(request_id: str, kind: RequestKind) -> SentRequest:
    """Return a request with a whole answer."""
    request = SentRequest(request_id, kind, "host-1", "key-1", 10, 10.0, 14.0, 200)
    request.is_signed = request.is_complete = True
    request.body = request_id.encode()
    if kind.is_stream:
        request.events = [(n, request_id, n == 4) for n in (1, 2, 3, 4)]
    return request


def make_history() -> History:
    """Return a history without a violation: a moved stream and whole answers."""
    history = History(end=100.0)
    upload = make_request("u-1", RequestKind.WRITE)
    upload.upload_bytes = 1_000_000
    requests = [
        make_request(STREAM, RequestKind.DRAFT),
        upload,
        *(make_request(f"w-{n}", RequestKind.READ) for n in range(MIN_UNFRAMED)),
    ]
    for request in requests:
        history.requests[request.id] = request
        history.executions.append(Execution(request.id, "s-1", "account-a", 10.1))
        run = ServerRun(request.id, "s-1", 10.1, 13.0, is_unframed=True)
        run.has_finished = request.id != STREAM
        history.runs.append(run)
    history.stop_records = [
        StopRecord(STREAM, "s-1", 11.0, "lost", is_usable=False),
        StopRecord(STREAM, "s-1", 11.1, "moved", is_usable=True),
    ]
    history.memories[HANDLE] = EngineMemory(
        HANDLE, STREAM, "s-1", "s-2", 11.0, announced_at=11.1
    )
    history.continuations = [Continuation(HANDLE, STREAM, "s-2", 11.2, has_run=True)]
    history.runs.append(ServerRun(STREAM, "s-2", 11.2, 13.9, has_finished=True))
    return history


def cut_stream_but_look_complete(history: History) -> None:
    history.requests[STREAM].events = [(1, STREAM, False), (2, STREAM, False)]


def lose_event_at_move(history: History) -> None:
    del history.requests[STREAM].events[2]


def repeat_event_at_move(history: History) -> None:
    events = history.requests[STREAM].events
    events.insert(2, events[1])


def serve_part_for_upload(history: History) -> None:
    history.requests["u-1"].body = b"u"


def go_on_twice(history: History) -> None:
    history.continuations.append(
        Continuation(HANDLE, STREAM, "s-1", 11.3, has_run=True)
    )


def ask_for_used_memory(history: History) -> None:
    history.continuations.append(
        Continuation(HANDLE, STREAM, "s-1", 11.3, has_run=False)
    )


def run_draft_anew(history: History) -> None:
    history.executions.append(Execution(STREAM, "s-3", "account-a", 12.0))


def cut_sound_unframed(history: History) -> None:
    """Cut half of the sound answers and one more; callers get 502."""
    for number in range(MIN_UNFRAMED // 2 + 2):
        request = history.requests[f"w-{number}"]
        request.status, request.body = 502, b"cut off"


def leave_memory(history: History) -> None:
    history.continuations.clear()


def cut_stopped_stream(history: History) -> None:
    """Cut a stream although a reply told where its memory is."""
    request = history.requests[STREAM]
    request.is_complete, request.events = False, request.events[:2]
    leave_memory(history)
    history.runs = [run for run in history.runs if run.server != "s-2"]
    history.memories[HANDLE].freed_at = 15.0


VIOLATIONS: dict[Change, str] = {
    cut_stream_but_look_complete: "d-1: complete after 2 events",
    lose_event_at_move: "d-1: events [1, 2, 4]",
    repeat_event_at_move: "d-1: events [1, 2, 2, 3, 4]",
    serve_part_for_upload: "u-1: got b'u'",
    go_on_twice: "h-1: went on 2 times",
    ask_for_used_memory: "h-1: asked for again after it was used",
    run_draft_anew: "d-1: ran 2 times",
    cut_sound_unframed: "9 of 21 sound unframed answers were served whole",
    leave_memory: "h-1: neither used nor freed at s-1",
    cut_stopped_stream: "d-1: cut off at host-1 in calm or planned work",
}


def test_whole_answers_and_moved_streams_are_no_violation() -> None:
    history = make_history()
    assert check_all(history, {}) == []
    counts = count_ends(history)
    assert counts["sound unframed, whole"] == counts["sound unframed"] == 21
    assert counts["streams stopped"] == counts["stopped and whole"] == 1


@pytest.mark.parametrize("violate", VIOLATIONS)
def test_violation_is_detected(violate: Change) -> None:
    """Guards against a check that does not see the fault that it is for."""
    history = make_history()
    violate(history)
    assert check_all(history, {}) == [VIOLATIONS[violate]]


def lose_last_reply(history: History) -> None:
    history.stop_records.append(
        StopRecord(STREAM, "s-1", 13.0, "late", is_usable=False)
    )


def test_a_cut_is_excused_if_the_last_reply_to_an_order_is_lost() -> None:
    history = make_history()
    cut_stopped_stream(history)
    lose_last_reply(history)
    assert check_interruptions(history) == []


def test_a_reply_after_the_cut_excuses_nothing() -> None:
    """Guards against a cut that is put down to a later call that frees memory."""
    history = make_history()
    cut_stopped_stream(history)
    lose_last_reply(history)
    history.stop_records[-1] = replace(history.stop_records[-1], at=14.1)
    assert check_interruptions(history) != []


@pytest.mark.parametrize(("notice", "is_excused"), [(4.2, True), (4.4, False)])
def test_a_late_reply_excuses_a_cut_at_the_end_of_the_notice_only(
    notice: float, is_excused: bool
) -> None:
    """Guards against cuts that are excused although the source still takes requests."""
    history = make_history()
    cut_stopped_stream(history)
    history.server_departing_at["s-1"] = 10.0
    history.notices["s-1"] = notice
    assert (check_interruptions(history) == []) is is_excused


def free_memory(history: History) -> None:
    history.memories[HANDLE].freed_at = 12.0


def never_tell_handle(history: History) -> None:
    history.memories[HANDLE].announced_at = None


def forget_at_source(history: History) -> None:
    history.memories[HANDLE].forgotten_by.add("s-1")


def end_source(history: History) -> None:
    history.server_ended_at["s-1"] = 12.0


def end_host(history: History) -> None:
    history.boots.append(HostBoot("host-1", 1.0, exited_at=15.0, status=-9))


def disturb_host(history: History) -> None:
    history.disturbances.append(Disturbance("host-1", 14.0, 16.0))


def rest_source(history: History) -> None:
    history.signal_answers.append(SignalAnswer(Signal.REST, "s-1", "host-1", 0.0, 9.0))


@pytest.mark.parametrize(
    "excuse",
    [
        free_memory,
        never_tell_handle,
        forget_at_source,
        end_source,
        end_host,
        disturb_host,
        rest_source,
    ],
)
def test_memory_that_a_host_can_not_free_is_no_violation(excuse: Change) -> None:
    history = make_history()
    leave_memory(history)
    excuse(history)
    assert check_all(history, {}) == []
