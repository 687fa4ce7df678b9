"""Bad input of every kind gets a clear error and breaks nothing."""

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
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=9), inner, max_size=3)
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


def post(path: str, body: bytes, given_headers: dict[str, str], verb: str) -> Any:
    """Send a request and check that its answer is one that callers can read."""
    requests = FakeRequests([EndedEvent(ResultCode.OK)])

    async def call() -> tuple[int, Any]:
        client: Any = make_app(requests).test_client()
        answer = await client.open(path, method=verb, data=body, headers=given_headers)
        return answer.status_code, await answer.get_json(force=True)

    status, document = trio.run(call)
    assert status < 500
    if status >= 400:
        assert document["status"] == status
        assert document["title"] and isinstance(document["code"], int)
    return status, document, requests


@given(raw_bodies)
@settings(max_examples=60, deadline=None)
def test_no_body_of_a_request_breaks_it(body: bytes) -> None:
    status, _, requests = post(FINDINGS, body, authorize(AUDITOR), "POST")
    assert (status == 200) == bool(requests.submissions)


@given(raw_bodies, headers)
@settings(max_examples=60, deadline=None)
def test_no_change_by_an_operator_breaks_it(body: bytes, more: dict[str, str]) -> None:
    given_headers = {**authorize(OPERATOR), **more}
    for path in ("/v1/profiles/cheap", "/v1/services/findings/profile"):
        post(path, body, given_headers, "PUT")


@given(st.text(max_size=40), st.text(max_size=12), st.text(max_size=12))
@settings(max_examples=60, deadline=None)
def test_no_key_or_place_breaks_it(key: str, generation: str, offset: str) -> None:
    from urllib.parse import quote, urlencode  # noqa: PLC0415

    query = urlencode({"generation": generation, "offset": offset})
    for known in (quote(key, safe="") or "x", make_key()):
        post(f"/v1/requests/{known}?{query}", b"", authorize(AUDITOR), "GET")


async def test_what_a_caller_sends_is_not_told_to_others() -> None:
    # A handler fails with an error that quotes the caller's input. Neither the
    # answer nor the logs, which others read, may repeat it.
    class Broken(FakeRequests):
        async def submit(self, submission: Any) -> Any:
            raise ValueError(f"can't handle {submission.input}")

    lines: list[str] = []
    sink = log.add(lines.append, level=0, diagnose=False)
    client = make_app(Broken()).test_client()
    answer = await client.post(
        FINDINGS, json=make_body(input="the plant's secret"), headers=authorize(AUDITOR)
    )
    log.remove(sink)
    text = await answer.get_data(as_text=True) + "".join(lines)
    assert answer.status_code == 500
    assert "ValueError" in text
    assert "secret" not in text and AUDITOR not in text


async def test_a_body_over_the_limit_is_refused() -> None:
    requests = FakeRequests()
    client = make_app(requests).test_client()
    answer = await client.post(
        FINDINGS, data=b"x" * 5_000_000, headers=authorize(AUDITOR)
    )
    assert (answer.status_code, (await answer.get_json())["code"]) == (413, 104)
    assert not requests.submissions
