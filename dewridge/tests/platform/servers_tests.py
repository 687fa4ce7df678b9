"""Records of servers in the store, of other writers too."""

import json
from typing import Any

import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st
from loguru import logger as log

from dewridge.gateway.model import ServerRecord
from dewridge.platform.servers import decode_server, is_address
from dewridge.platform.store import Item
from dewridge.sentinels import Failure
from dewridge.tests.gateway.state_tests import WatchingHost, list_names, write_server

GOOD: dict[str, Any] = {
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
    """Decode a record as the store holds it."""
    value = fields if isinstance(fields, bytes) else json.dumps(fields).encode()
    return decode_server(Item(key, value))


def test_a_start_is_told_by_name_and_time() -> None:
    record = decode(GOOD)
    assert isinstance(record, ServerRecord)
    assert (record.name, record.started_at_ms) == ("i-1", 1_700_000_000_000)
    again = decode(GOOD | {"born": 1_700_000_000_001})
    assert isinstance(again, ServerRecord)
    assert (again.name, again.id) != (record.name, record.id)


def test_a_record_without_the_time_of_its_start_is_used() -> None:
    record = decode({name: GOOD[name] for name in GOOD if name != "born"})
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
def test_a_record_with_a_senseless_field_names_no_server(
    fields: dict[str, Any],
) -> None:
    assert isinstance(decode(GOOD | fields), Failure)


@pytest.mark.parametrize("missing", ["service", "address", "slots", "state"])
def test_a_record_without_a_needed_field_names_no_server(missing: str) -> None:
    fields = {name: value for name, value in GOOD.items() if name != missing}
    assert isinstance(decode(fields), Failure)


@pytest.mark.parametrize(
    "key", ["servers/", "servers/a b", "servers/a\r\nX: y", "servers/\u00e9"]
)
def test_a_name_that_would_break_a_header_names_no_server(key: str) -> None:
    """Another program writes a record under a key with a line break in it.

    Put into a request's header as it is, it would end the header there, and each
    request to that server would fail with an error of this host's own.
    """
    assert isinstance(decode(GOOD, key), Failure)


@given(st.dictionaries(st.sampled_from([*GOOD, "leaves_ms", "spot"]), JSON))
def test_any_fields_give_a_usable_record_or_none(fields: dict[str, Any]) -> None:
    record = decode(GOOD | fields)
    if isinstance(record, Failure):
        return
    assert is_address(record.address)
    assert record.slots > 0
    assert record.leaves_in is None or record.leaves_in >= 0
    assert record.started_at_ms >= 0


@given(st.binary(max_size=120), TEXT)
def test_any_bytes_are_decoded_or_refused(value: bytes, key: str) -> None:
    decode(value, "servers/" + key)


def test_deep_nesting_is_refused() -> None:
    assert isinstance(decode(b'{"service":' + b"[" * 100_000), Failure)


async def test_other_writers_records_leave_the_others_in_place(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Another program writes records that no server would write.

    The servers beside them keep their work, and the log tells of each once and not at
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
