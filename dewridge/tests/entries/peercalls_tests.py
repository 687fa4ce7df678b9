"""Tests of what hosts read from their peers' answers: documents, probes and losses."""

import tracemalloc
import zlib
from dataclasses import replace

import msgspec
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from dewridge.gateway.documents.parts import DocumentParts
from dewridge.gateway.documents.transfer import (
    MAX_DOCUMENT_BYTES,
    DocumentTransfer,
    compute_digest,
    decode_transfer,
    make_transfer,
    restore_parts,
)
from dewridge.gateway.reach.peers import ask_peer
from dewridge.gateway.reach.protocol import (
    CALL,
    DETAIL,
    KEY,
    LOSS,
    REACH,
    SENDER,
    SERVER,
    RelayOrder,
    decode_loss,
    decode_order,
    decode_reach,
)
from dewridge.ids import HostId
from dewridge.policy.losses import ConnectResult, LossReason
from dewridge.tests.entries.peers_tests import DEEP, list_altered
from dewridge.tests.entries.values import ODD_BYTES
from dewridge.tests.gateway.endless_tests import make_peer
from dewridge.tests.gateway.largedocuments_tests import ROUTES, make_document
from dewridge.tests.gateway.passing_tests import open_fleet, open_hosts
from dewridge.tests.gateway.world import HOST, ServerExchange, open_world

MEGABYTE = 1024 * 1024
BASE = DocumentParts(2, b"{}", tuple(b"%100d" % n for n in range(1_000)), (b"a", b"b"))
PARTS = DocumentParts(3, b"{}", (*BASE.routes[5:], b"new"), (b"b", b"c"))
DEEP_ANSWER = b"[" * 30_000 + b"]" * 30_000
"""Levels of nesting in as many bytes as the answer to a probe may have."""
PROBE_BODIES = (
    *ODD_BYTES,
    DEEP_ANSWER,
    DEEP_ANSWER[:30_000],
    b'["accepted","\xff"]',
    b'["accepted","other"]',
    b"[1e999]",
    b"[" + b"9" * 5_000 + b"]",
)


def measure_peak() -> int:
    """Return the most bytes held since the tracing began, and end it."""
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak


async def test_any_altered_transfer_gives_a_document_or_none() -> None:
    """Guards against a transfer whose figures or nesting raise an exception."""
    encoded = msgspec.msgpack.encode(make_transfer(PARTS, BASE, 7, 1))
    sound = msgspec.msgpack.decode(encoded)
    extended = bytes([encoded[0] + 1]) + encoded[1:] + DEEP[0]
    odd = [msgspec.msgpack.encode(altered) for altered in list_altered(sound)]
    refused = 0
    for data in [extended, *odd, *ODD_BYTES, *DEEP]:
        transfer = await decode_transfer(zlib.compress(data, level=1))
        if transfer is None:
            refused += 1
            continue
        parts = restore_parts(transfer, BASE)
        assert parts is None or compute_digest(parts) == transfer.digest
        assert transfer.version >= 0
        assert transfer.revision >= 0
    assert refused > 0


async def test_a_transfer_that_expands_without_end_is_refused() -> None:
    """Guards against a few bytes that fill the memory when they are decompressed."""
    data = zlib.compress(bytes(60 * MEGABYTE), level=1)
    tracemalloc.start()
    assert await decode_transfer(data) is None
    assert measure_peak() < 3 * MAX_DOCUMENT_BYTES


@pytest.mark.parametrize("has_accounts", [False, True])
def test_runs_that_repeat_a_base_are_refused(*, has_accounts: bool) -> None:
    """Guards against runs of a few bytes that fill the memory with known parts."""
    runs: list[bytes | tuple[int, int]] = [(0, 1_000)] * 4_000
    sound = make_transfer(PARTS, BASE, 7, 1)
    base = replace(BASE, accounts=BASE.routes)
    transfer = msgspec.structs.replace(
        sound, **{"accounts" if has_accounts else "routes": runs}
    )
    tracemalloc.start()
    assert restore_parts(transfer, base) is None
    assert measure_peak() < MAX_DOCUMENT_BYTES


@pytest.mark.parametrize("run", [(0, 1_001), (1_000, 1), (2**40, 1), (1, 2**52)])
def test_runs_beyond_the_base_are_refused(run: tuple[int, int]) -> None:
    """Guards against a document that lacks parts, whose digest fits all the same."""
    parts = DocumentParts(3, b"{}", BASE.routes[run[0] : run[0] + run[1]], None)
    transfer = DocumentTransfer(3, 2, 7, 1, compute_digest(parts), b"{}", [run], None)
    assert restore_parts(transfer, BASE) is None


async def test_a_document_under_another_version_is_refused() -> None:
    """Guards against a version that no document has, and that no change exceeds."""
    async with open_fleet() as fleet:
        await open_hosts(fleet, 2, 2)
        sender, host = fleet.hosts
        newest = sender.library.newest
        assert newest is not None
        era = sender.library._era
        sender.library.add(replace(newest, version=2**40), 2**40, era)
        host.watcher.configuration.receive_version(2**40, HostId("host-0"))
        await trio.sleep(0.5)
        assert host.library.newest is not None
        assert host.library.newest.version == 3
        fleet.write(make_document(4, ROUTES))
        await fleet.wait_for(4, 5.0)


async def test_any_answer_to_a_probe_is_read_or_ignored() -> None:
    """Guards against an answer of a peer that ends the search for a relay."""
    bodies = iter(PROBE_BODIES)

    async def answer(exchange: ServerExchange) -> None:
        await exchange.answer(next(bodies))

    async with open_world() as world:
        server = await world.add_server("peer", answer)
        record = world.state.servers.find(server.id)
        assert record is not None
        for _ in PROBE_BODIES:
            assert not await ask_peer(HOST, make_peer(record.address), [record])


HEADERS = st.lists(
    st.tuples(
        st.sampled_from((KEY, SENDER, SERVER, CALL, LOSS, REACH, DETAIL)),
        st.binary(max_size=12)
        | st.sampled_from((b"request", b"probe", b",,", b"NO_PATH", b"accepted")),
    ),
    max_size=8,
)


@given(HEADERS, st.integers(100, 599))
def test_any_headers_of_a_peer_are_read_or_refused(
    headers: list[tuple[bytes, bytes]], status: int
) -> None:
    """Guards against a header between hosts that raises an exception."""
    order = decode_order(headers)
    assert order is None or (isinstance(order, RelayOrder) and order.servers)
    reach = decode_reach(headers)
    assert reach is None or isinstance(reach, ConnectResult)
    loss = decode_loss(status, headers)
    assert loss is not None
    assert isinstance(loss[0], LossReason)
