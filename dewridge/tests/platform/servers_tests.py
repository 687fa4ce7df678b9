"""Tests of decoding server records, including records written by other programs."""

import json
from typing import Any

import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st
from loguru import logger as log

from dewridge.decoding import is_address
from dewridge.gateway.model import ServerRecord
from dewridge.platform.servers import decode_server
from dewridge.platform.store import Item
from dewridge.sentinels import Failure
from dewridge.tests.gateway.state_tests import WatchingHost, list_names, write_server

VALID: dict[str, Any] = {
    "service": "plain",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 3,
    "born": 1_700_000_000_000,
}
TEXT = st.text("ab1.:\r \u00e9\u0660", max_size=20)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | TEXT,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(TEXT, inner, max_size=3)
    ),
    max_leaves=6,
)


def decode(
    fields: dict[str, Any] | bytes, key: str = "servers/i-1"
) -> ServerRecord | Failure:
    """Decode a record in its stored form."""
    value = fields if isinstance(fields, bytes) else json.dumps(fields).encode()
    return decode_server(Item(key, value))


def test_server_process_is_identified_by_name_and_start_time() -> None:
    record = decode(VALID)
    assert isinstance(record, ServerRecord)
    assert (record.name, record.started_at_ms) == ("i-1", 1_700_000_000_000)
    restarted = decode(VALID | {"born": 1_700_000_000_001})
    assert isinstance(restarted, ServerRecord)
    assert (restarted.name, restarted.id) != (record.name, record.id)


def test_record_without_start_time_is_accepted() -> None:
    record = decode({name: VALID[name] for name in VALID if name != "born"})
    assert isinstance(record, ServerRecord)
    assert (record.id, record.name) == ("i-1", "i-1")


@pytest.mark.parametrize(
    "fields",
    [
        {"state": "resting"},
        {"state": None},
        {"service": 7},
        {"address": "10.0.0.1"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:70000"},
        {"address": "10.0.0.1:8\u0660"},
        {"address": "somewhere:80"},
        {"address": "0.0.0.0:80"},
        {"slots": 0},
        {"slots": -3},
        {"slots": "6"},
        {"slots": 10**30},
        {"born": 1.5},
        {"born": "1700000000000"},
        {"born": True},
        {"born": -1},
        {"leaves_ms": 1e300},
        {"zone": ["a"]},
        {"spot": 1},
    ],
)
def test_record_with_invalid_field_is_rejected(
    fields: dict[str, Any],
) -> None:
    assert isinstance(decode(VALID | fields), Failure)


@pytest.mark.parametrize("missing", ["service", "address", "slots", "state"])
def test_record_without_required_field_is_rejected(missing: str) -> None:
    fields = {name: value for name, value in VALID.items() if name != missing}
    assert isinstance(decode(fields), Failure)


@pytest.mark.parametrize(
    "key", ["servers/", "servers/a b", "servers/a\r\nX: y", "servers/\u00e9"]
)
def test_name_that_is_invalid_in_a_header_is_rejected(key: str) -> None:
    """Another program writes a record under a key that contains a line break.

    Sent unchecked, the name would truncate the request header, and every request to
    that server would fail with an internal error of this host.
    """
    assert isinstance(decode(VALID, key), Failure)


@given(st.dictionaries(st.sampled_from([*VALID, "leaves_ms", "spot"]), JSON))
def test_any_fields_give_a_usable_record_or_a_failure(fields: dict[str, Any]) -> None:
    record = decode(VALID | fields)
    if isinstance(record, Failure):
        return
    assert is_address(record.address)
    assert record.slots > 0
    assert record.leaves_in is None or record.leaves_in >= 0
    assert record.started_at_ms >= 0


@given(st.binary(max_size=120), TEXT)
def test_any_bytes_are_decoded_or_rejected(value: bytes, key: str) -> None:
    decode(value, "servers/" + key)


def test_deep_nesting_is_rejected() -> None:
    assert isinstance(decode(b'{"service":' + b"[" * 100_000), Failure)


async def test_invalid_records_do_not_affect_other_servers(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Another program writes invalid records beside those of servers.

    The valid servers stay in use, and each invalid record is logged once instead of at
    each poll.
    """
    lines: list[str] = []
    sink = log.add(lambda line: lines.append(str(line)), level="ERROR")
    host = WatchingHost()
    write_server(host.store, "s-1")
    host.store.write("servers/x-1", b"\xff\xfe not a record")
    host.store.write("servers/x-2", b'{"service":"plain","state":"asleep"}')
    try:
        async with trio.open_nursery() as nursery:
            host.start(nursery)
            await trio.sleep(10.0)
            assert list_names(host.servers) == ["s-1"]
            nursery.cancel_scope.cancel()
    finally:
        log.remove(sink)
    assert sum("record can't be read" in line for line in lines) == 2
