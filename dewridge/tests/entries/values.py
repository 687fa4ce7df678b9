"""Entries as sound writers make them, and odd ones as other writers may leave them."""

import json
from collections.abc import Iterator
from typing import Any

NESTING = 50_000
"""Levels of nesting; decoders and the interpreter stop at some thousand."""
DEEP_LIST = b"[" * NESTING + b"]" * NESTING
DEEP_MEMBER = b"[" * 2_000 + b"]" * 2_000
DEEP_OBJECT = b'{"a":' * NESTING + b"1" + b"}" * NESTING
LARGE_NUMBERS: tuple[Any, ...] = (
    -1,
    10**30,
    10**400,
    -(10**400),
    1e308,
    0.5,
    2**63,
    2**64,
)
ODD_ADDRESSES = (
    "127.0.0.1:70000",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:" + "9" * 30,
    "127.0.0.1:\u0663\u0663",
    "127.0.0.1",
    "127.0.0.1:",
    "not-an-ip:80",
    "[::1]:80",
    "0.0.0.0:80",
    "224.0.0.1:80",
    "127.0.0.1:80\r\nx: y",
    "",
)
ODD_TEXTS = ("", "x" * 20_000, "a\r\nb: c", "\x00", "\u00e9\u4e2d", " ")
ODD_MEMBERS: tuple[Any, ...] = (
    None,
    True,
    [],
    {},
    [[]],
    {"a": 1},
    *LARGE_NUMBERS,
    *ODD_TEXTS,
    *ODD_ADDRESSES,
)
"""Values of a member of an entry that fit its type or not."""
ODD_BYTES = (
    b"",
    b"garbage",
    b"null",
    b"[]",
    b"{}",
    b'"text"',
    b"\xff\xfe\x00",
    b"\xef\xbb\xbf{}",
    b'{"id":"\xff"}',
    b'{"id":"\\ud800"}',
    b"9" * 5_000,
    b"1e400",
    DEEP_LIST,
    DEEP_OBJECT,
    DEEP_LIST[:NESTING],
    DEEP_OBJECT[: 5 * NESTING],
    b"\x00" * 20_000,
)
"""Values that no sound writer makes for any key."""

HOST_ENTRY = {
    "id": "odd",
    "boot": 1,
    "frontend": "127.0.0.1:9",
    "peers": "127.0.0.1:9",
    "failure_domain": "domain-a",
    "is_ready": False,
    "relay_key": "k",
    "link_mbps": 0.0,
}
SUSPECT_ENTRY = {
    "digest": "odd",
    "account": "account-a",
    "service": "engine",
    "ends": {"engine-odd": [1.0, 1.0]},
    "cleared": [],
    "part": "",
}
PROGRESS_ENTRY = {
    "service": "odd",
    "target": "v2",
    "order": 1,
    "stage": "waiting",
    "share": 0.0,
    "ordered_at": 1.0,
    "duration": 10.0,
}
SERVER_ENTRY = {
    "service": "odd",
    "address": "127.0.0.1:9",
    "zone": "domain-a",
    "slots": 4,
    "state": "ready",
    "spot": False,
    "leaves_ms": None,
    "cold_remaining_ms": 0,
    "version": "v1",
    "born": 1_700_000_000_000,
}
ROLLOUT_ENTRY = {"service": "odd", "target": "v2", "duration_s": 10.0}
COUNTS_ENTRY = {"account-a": 1}
NEEDED_ENTRY = {"engine": 2}
STREAMS_ENTRY = {"streams": {"1": "AAAAAAAB"}, "mixed": {"engine": [1, 2]}}


def make_odd_values(entry: dict[str, Any]) -> Iterator[bytes]:
    """Yield values for a key: no entries at all, and entries with one odd part.

    Args:
        entry: an entry as a sound writer makes it.
    """
    yield from ODD_BYTES
    sound = json.dumps(entry).encode()
    for deep in (DEEP_LIST, DEEP_OBJECT):
        yield sound[:-1] + b',"added":' + deep + b"}"
    yield sound[:-1]
    yield sound + sound
    for name in entry:
        yield json.dumps({key: entry[key] for key in entry if key != name}).encode()
        for odd in ODD_MEMBERS:
            yield json.dumps({**entry, name: odd}).encode()
        others = json.dumps({key: entry[key] for key in entry if key != name}).encode()
        member = b"," + json.dumps(name).encode() + b":"
        yield others[:-1] + member + DEEP_MEMBER + b"}"
        yield others[:-1] + member + b"1e400}"
        yield others[:-1] + member + b"NaN}"
        yield others[:-1] + member + b'"\\ud800"}'
        yield others[:-1] + member + b'"\xff"}'
