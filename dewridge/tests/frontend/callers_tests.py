"""Tests of the routes for callers, through the application without sockets."""

from typing import Any

import msgspec

from dewridge.codes import ResultCode
from dewridge.ids import Generation
from dewridge.membership.model import MemberState
from dewridge.requests.model import (
    AnswerEvent,
    AnswerSummary,
    EndedEvent,
    RestartEvent,
    TokensEvent,
)
from dewridge.sentinels import Failure
from dewridge.tests.frontend.fakes import (
    AUDITOR,
    OPERATOR,
    RIVAL,
    FakeMembership,
    FakeRequests,
    authorize,
    make_app,
    make_body,
    make_member,
)

FINDINGS = "/v1/services/findings/requests"
DONE = EndedEvent(ResultCode.OK, summary=AnswerSummary(tokens=2, cost=0.1))


def make_two_tokens(generation: int) -> TokensEvent:
    return TokensEvent(Generation(generation), 0, (f"g{generation}", " end"))


async def send(requests: FakeRequests, body: Any, token: str = AUDITOR) -> Any:
    client = make_app(requests).test_client()
    return await client.post(FINDINGS, json=body, headers=authorize(token))


async def test_complete_answer_contains_only_the_last_generation() -> None:
    # A backend server crashes after some tokens and the answer restarts. A caller
    # that waits for the complete answer must not get tokens of both generations.

    script: list[AnswerEvent | float]
    script = [make_two_tokens(1), RestartEvent(Generation(2)), make_two_tokens(2), DONE]
    answer = await send(FakeRequests(script), make_body())
    document = await answer.get_json()
    assert answer.status_code == 200
    assert (document["text"], document["generation"]) == ("g2 end", 2)
    assert document["summary"]["cost"] == 0.1


async def test_rejection_reports_not_run_and_retry_delay() -> None:
    rejection = Failure(ResultCode.QUEUE_FULL, "full", 1.2)
    answer = await send(FakeRequests(rejection=rejection), make_body())
    problem = await answer.get_json()
    assert answer.status_code == 503
    assert answer.headers["Retry-After"] == "2"
    assert answer.content_type == "application/problem+json"
    assert (problem["code"], problem["outcome"]) == (201, "not_run")
    assert problem["retry_after"] == 1.2


async def test_stream_contains_named_events() -> None:
    requests = FakeRequests([make_two_tokens(1), DONE])
    answer = await send(requests, make_body(stream=True))
    text = await answer.get_data(as_text=True)
    names = [line[7:] for line in text.splitlines() if line.startswith("event: ")]
    assert names == ["accepted", "tokens", "end"]


async def test_account_cannot_detect_requests_of_another_account() -> None:
    # Another account knows or guesses a key. It must not be able to distinguish a
    # used key from an unused one, nor to cancel or follow the request.
    requests = FakeRequests([make_two_tokens(1), DONE])
    body = make_body()
    client = make_app(requests).test_client()
    await client.post(FINDINGS, json=body, headers=authorize(AUDITOR))
    unused = make_body()["key"]
    for method in (client.get, client.delete):
        answers = []
        for key in (body["key"], unused):
            answer = await method(f"/v1/requests/{key}", headers=authorize(RIVAL))
            answers.append((answer.status_code, await answer.get_data()))
        assert answers[0] == answers[1]
        assert answers[0][0] == 404
    response = await client.get(
        f"/v1/requests/{body['key']}", headers=authorize(AUDITOR)
    )
    assert (await response.get_json())["text"] == "g1 end"


async def test_account_and_operator_tokens_are_required_and_distinguished() -> None:
    client = make_app(FakeRequests()).test_client()
    cases = [
        ({}, 401),
        ({"Authorization": "Bearer nobody"}, 401),
        ({"Authorization": f"Basic {AUDITOR}"}, 401),
        (authorize(OPERATOR), 403),
        (authorize(AUDITOR), 200),
    ]
    for headers, status in cases:
        answer = await client.get("/v1/entry-hosts", headers=headers)
        assert answer.status_code == status
    for path in ("/v1/profiles", "/v1/dump", "/metrics"):
        answer = await client.get(path, headers=authorize(AUDITOR))
        assert answer.status_code == 403


async def test_entry_list_omits_departing_hosts() -> None:
    # Callers that connect to a host that is being reclaimed would be moved or
    # interrupted a moment later.
    members = [
        make_member("host-1", "zona-a"),
        make_member("host-2", "zona-a"),
        make_member("host-3", "zona-b"),
        make_member("host-4", "mixco", MemberState.LEAVING),
        make_member("host-5", "mixco", MemberState.SUSPECT),
    ]
    addresses = []
    for is_leaving in (False, True):
        membership = FakeMembership(members)
        app = make_app(FakeRequests(), None, membership, is_leaving=is_leaving)
        answer = await app.test_client().get(
            "/v1/entry-hosts", headers=authorize(AUDITOR)
        )
        addresses.append(
            [host["address"] for host in (await answer.get_json())["hosts"]]
        )
    first, second, third = (member.frontend_address for member in members[:3])
    assert sorted(addresses[0]) == sorted([first, second, third])
    assert third in addresses[0][:2]  # the second address is in another failure domain
    assert sorted(addresses[1]) == sorted([second, third])


async def test_plain_service_receives_and_returns_json() -> None:
    requests = FakeRequests([EndedEvent(ResultCode.OK, body='{"valid":true}')])
    client = make_app(requests).test_client()
    answer = await client.post(
        "/v1/services/registry/requests",
        json=make_body(operation="check_status", input={"certificate": "GT-1"}),
        headers=authorize(AUDITOR),
    )
    assert (await answer.get_json())["result"] == {"valid": True}
    submitted_input = msgspec.json.decode(requests.submissions[0].input)
    assert submitted_input == {"certificate": "GT-1"}
