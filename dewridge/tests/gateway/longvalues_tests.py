"""Tests of numbers, names and other values that callers make very long."""

import pytest

from dewridge.gateway.jobs import MAX_PREFIX_NAME, Job, make_prefix_name
from dewridge.gateway.logs import MAX_VALUE_CHARS, shorten
from dewridge.gateway.model import AccountKey, AttemptKey, CallerRequest
from dewridge.platform.headers import parse_request_headers
from dewridge.tests.gateway.world import PLAIN, ROUTES


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"x-token-count", b"9" * 5_000 + b",1"),
        (b"x-token-count", "²,1".encode("latin-1")),
        (b"x-prefix-hash", b"a:" + b"9" * 5_000),
        (b"x-prefix-hash", "a:²".encode("latin-1")),
        (b"x-deadline-ms", b"9" * 5_000),
        (b"x-deadline-ms", b"9" * 400),
        (b"last-event-id", b"9" * 400),
    ],
)
def test_no_number_of_a_caller_raises(name: bytes, value: bytes) -> None:
    """Guards against numbers that end a connection by an internal error."""
    parsed = parse_request_headers([(name, value)])
    assert isinstance(parsed, str) or not parsed.sizes.parts


def test_names_of_prefixes_are_short() -> None:
    """Guards against tables that keep thousands of names as large as a head."""
    parsed = parse_request_headers(
        [(b"x-prefix-hash", b"a" * 8_000 + b":1," + b"b:1"), (b"x-model", b"m")]
    )
    assert not isinstance(parsed, str)
    request = CallerRequest(
        id=AttemptKey("r"),
        method=b"GET",
        target=b"/",
        hostname="",
        headers=(),
        body=b"",
        key=AccountKey(""),
        sizes=parsed.sizes,
        last_event=None,
        arrived_at=0.0,
        deadline=1.0,
    )
    job = Job(request, ROUTES[0], None, PLAIN, 1.0, is_engine=True)
    assert len(make_prefix_name(job)) <= MAX_PREFIX_NAME


def test_values_in_log_lines_are_short() -> None:
    """Guards against log lines as large as the heads that callers send."""
    assert len(shorten("x" * 16_000)) == MAX_VALUE_CHARS
    assert shorten(5) == 5
