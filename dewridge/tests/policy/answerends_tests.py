"""Tests of the decision whether an answer that has ended is whole."""

from itertools import product

import pytest

from dewridge.effects import Effect
from dewridge.policy.answerends import (
    AnswerRecord,
    EndVerdict,
    ProcessEvidence,
    judge_end,
)

ALL_EVIDENCE = [None, *ProcessEvidence]


def list_records() -> list[AnswerRecord]:
    """Return all records that differ in what the decision may depend on."""
    return [
        AnswerRecord(*values)
        for values in product(
            [False, True],
            [False, True],
            ["", "reset"],
            Effect,
            [False, True],
            ALL_EVIDENCE,
        )
    ]


def test_an_answer_is_whole_only_if_nothing_else_can_have_ended_it() -> None:
    """Guards against an end that is taken for whole as nothing speaks against it."""
    for record in list_records():
        is_marked_whole = not (record.is_close_delimited or record.fault)
        is_same = record.process is ProcessEvidence.SAME or (
            record.process is ProcessEvidence.LISTENING and not record.can_identify
        )
        nothing_else = not record.fault and record.stop is Effect.REFUSED and is_same
        is_whole = judge_end(record) is EndVerdict.WHOLE
        assert is_whole is (is_marked_whole or nothing_else), record


def test_a_stopped_run_goes_on_whatever_else_is_known() -> None:
    """Guards against a stopped stream that is cut as its end had a fault."""
    for record in list_records():
        if record.stop is Effect.DONE and (record.is_close_delimited or record.fault):
            assert judge_end(record) is EndVerdict.STOPPED


def test_a_source_is_asked_once_an_order_has_no_reply() -> None:
    """Guards against a run whose memory nobody asks for."""
    for record in list_records():
        has_ended = record.is_close_delimited or record.fault
        if record.stop is Effect.UNKNOWN and has_ended:
            expected = (
                EndVerdict.CUT_OFF if record.is_source_asked else EndVerdict.ASK_SOURCE
            )
            assert judge_end(record) is expected


@pytest.mark.parametrize(
    ("orders", "stop"),
    [
        ([], Effect.REFUSED),
        ([Effect.REFUSED], Effect.REFUSED),
        ([Effect.UNKNOWN, Effect.REFUSED], Effect.UNKNOWN),
        ([Effect.REFUSED, Effect.UNKNOWN], Effect.UNKNOWN),
        ([Effect.UNKNOWN, Effect.DONE], Effect.DONE),
    ],
)
def test_a_refused_order_says_nothing_of_an_earlier_one(
    orders: list[Effect], stop: Effect
) -> None:
    """Guards against an order that is carried out after a later one was refused."""
    record = AnswerRecord()
    for effect in orders:
        record.record_order(effect)
    assert record.stop is stop


def test_a_refused_order_does_not_make_a_part_whole_after_a_lost_one() -> None:
    """Guards against taking a source without the run for a run that ended by itself."""
    record = AnswerRecord(is_close_delimited=True, process=ProcessEvidence.SAME)
    record.record_order(Effect.UNKNOWN)
    record.record_order(Effect.REFUSED)
    record.is_source_asked = True
    assert judge_end(record) is EndVerdict.CUT_OFF


def test_a_process_that_does_not_say_which_one_it_is_proves_nothing() -> None:
    """Guards against a part that looks whole as its server started again."""
    for process in set(ProcessEvidence) - {ProcessEvidence.SAME}:
        record = AnswerRecord(
            is_close_delimited=True, can_identify=True, process=process
        )
        assert judge_end(record) is EndVerdict.CUT_OFF
