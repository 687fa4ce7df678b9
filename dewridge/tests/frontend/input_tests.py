"""Tests that invalid input gets a clear error and causes no internal error."""

from typing import Any

import msgspec
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.requests.model import EndedEvent
from dewridge.tests.frontend.fakes import (
    AUDITOR,
    OPERATOR,
    FakeRequests,
    authorize,
    make_app,
    make_body,
    make_key,
)

FINDINGS = "/v1/services/findings/requests"

values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=9), children, max_size=3)
    ),
    max_leaves=6,
)
names = st.sampled_from([*make_body(), "submission", "deadline", "max_tokens", "x"])
bodies = st.dictionaries(names, values, max_size=4).map(
    lambda changes: msgspec.json.encode({**make_body(), **changes})
)
raw_bodies = bodies | st.binary(max_size=80)
header_values = st.text(st.characters(min_codepoint=32, max_codepoint=255), max_size=40)
headers = st.dictionaries(
    st.sampled_from(["Authorization", "If-Match", "If-None-Match", "Accept"]),
    header_values | st.sampled_from(["*", '"3"', f"Bearer {OPERATOR}"]),
)


def send_and_check(
    path: str, body: bytes, given_headers: dict[str, str], method: str
) -> Any:
    """Send a request and check that it returns no 5xx status or malformed error."""
    requests = FakeRequests([EndedEvent(ResultCode.OK)])

    async def call() -> tuple[int, Any]:
        client: Any = make_app(requests).test_client()
        answer = await client.open(
            path, method=method, data=body, headers=given_headers
        )
        return answer.status_code, await answer.get_json(force=True)

    status, document = trio.run(call)
    assert status < 500
    if status >= 400:
        assert document["status"] == status
        assert document["title"] and isinstance(document["code"], int)
    return status, document, requests


@given(raw_bodies)
@settings(max_examples=60, deadline=None)
def test_request_bodies_cause_no_internal_error(body: bytes) -> None:
    status, _, requests = send_and_check(FINDINGS, body, authorize(AUDITOR), "POST")
    assert (status == 200) == bool(requests.submissions)


@given(raw_bodies, headers)
@settings(max_examples=60, deadline=None)
def test_operator_changes_cause_no_internal_error(
    body: bytes, extra_headers: dict[str, str]
) -> None:
    given_headers = {**authorize(OPERATOR), **extra_headers}
    for path in ("/v1/profiles/cheap", "/v1/services/findings/profile"):
        send_and_check(path, body, given_headers, "PUT")


@given(st.text(max_size=40), st.text(max_size=12), st.text(max_size=12))
@settings(max_examples=60, deadline=None)
def test_keys_and_positions_cause_no_internal_error(
    key: str, generation: str, offset: str
) -> None:
    from urllib.parse import quote, urlencode  # noqa: PLC0415

    query = urlencode({"generation": generation, "offset": offset})
    for tried_key in (quote(key, safe="") or "x", make_key()):
        send_and_check(
            f"/v1/requests/{tried_key}?{query}", b"", authorize(AUDITOR), "GET"
        )


async def test_caller_input_does_not_appear_in_errors_or_logs() -> None:
    # A handler raises an error that quotes the caller's input. Neither the response
    # nor the logs, which other people read, may contain it.
    class FailingRequests(FakeRequests):
        async def submit(self, submission: Any) -> Any:
            raise ValueError(f"can't handle {submission.input}")

    lines: list[str] = []
    sink = log.add(lines.append, level=0, diagnose=False)
    client = make_app(FailingRequests()).test_client()
    answer = await client.post(
        FINDINGS, json=make_body(input="the plant's secret"), headers=authorize(AUDITOR)
    )
    log.remove(sink)
    text = await answer.get_data(as_text=True) + "".join(lines)
    assert answer.status_code == 500
    assert "ValueError" in text
    assert "secret" not in text and AUDITOR not in text


async def test_body_over_the_limit_is_rejected() -> None:
    requests = FakeRequests()
    client = make_app(requests).test_client()
    answer = await client.post(
        FINDINGS, data=b"x" * 5_000_000, headers=authorize(AUDITOR)
    )
    assert (answer.status_code, (await answer.get_json())["code"]) == (413, 104)
    assert not requests.submissions
