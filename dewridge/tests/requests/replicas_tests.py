"""Tests of the table of records that a host stores as owner or as replica."""

from dataclasses import replace

import pytest

from dewridge.ids import (
    ClientAccount,
    HostId,
    Incarnation,
    OperationName,
    ProfileName,
    RequestKey,
    ServiceName,
    make_request_id,
)
from dewridge.requests.records import Ballot, Record, make_generation
from dewridge.requests.replicas import RecordTable

HOST = HostId("host-0")
REQUEST = make_request_id(ClientAccount("oficina"), RequestKey("key"))
RETENTION = 900.0


def make_record(epoch: int) -> Record:
    """Return a record that this process owns."""
    ballot = Ballot(epoch, HOST, Incarnation(1))
    return Record(
        request=REQUEST,
        service=ServiceName("findings"),
        operation=OperationName("draft"),
        number=1,
        deadline=1e9,
        input="text",
        max_tokens=8,
        idempotent=True,
        profile=ProfileName("p"),
        accepted_at=0.0,
        ballot=ballot,
        generation=make_generation(ballot),
        digest=1,
    )


def make_next_ballot(table: RecordTable) -> Ballot:
    """Return the ballot of a new ownership of the request by this process."""
    return Ballot(table.find_max_epoch(REQUEST) + 1, HOST, Incarnation(1))


def test_a_new_ownership_differs_from_a_dropped_one() -> None:
    """Guards against reuse of the ballot and generation of a dropped ownership.

    An ownership is superseded, its successor is lost, and the caller submits the
    request to the same process again. With the same generation, a caller that
    reconnects would get the start of one answer and the rest of another. With the same
    ballot, a late withdrawal of the first ownership would remove the second.
    """
    table = RecordTable(HOST)
    dropped = make_record(1)
    table.put(dropped)
    table.drop_superseded(dropped, now=0.0)
    ballot = make_next_ballot(table)
    assert ballot > dropped.ballot
    assert make_generation(ballot) != dropped.generation
    table.put(replace(dropped, ballot=ballot))
    table.drop(REQUEST, dropped.ballot, now=1.0)
    assert table.find(REQUEST) is not None


def test_the_greatest_dropped_epoch_is_retained() -> None:
    """Guards against losing an epoch when a late copy of an older one is dropped."""
    table = RecordTable(HOST)
    for epoch in (5, 2):
        record = make_record(epoch)
        table.put(record)
        table.drop_superseded(record, now=float(epoch))
    assert table.find_max_epoch(REQUEST) == 5


@pytest.mark.parametrize(("now", "epoch"), [(RETENTION, 3), (RETENTION + 1.0, 0)])
def test_dropped_epochs_are_removed_after_the_retention(now: float, epoch: int) -> None:
    """Guards against memory that grows with each dropped ownership."""
    table = RecordTable(HOST)
    record = make_record(3)
    table.put(record)
    table.drop_superseded(record, now=0.0)
    table.prune(now, RETENTION, limit=0)
    assert table.find_max_epoch(REQUEST) == epoch
