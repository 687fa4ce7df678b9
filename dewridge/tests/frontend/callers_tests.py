"""Routes for callers, through the application without sockets."""

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


def two_tokens(generation: int) -> TokensEvent:
    return TokensEvent(Generation(generation), 0, (f"g{generation}", " end"))


async def send(requests: FakeRequests, body: Any, token: str = AUDITOR) -> Any:
    client = make_app(requests).test_client()
    return await client.post(FINDINGS, json=body, headers=authorize(token))


async def test_a_whole_answer_is_of_the_last_generation_only() -> None:
    # A backend server is lost after a token; the answer begins anew. A caller
    # that waits for the whole must not get parts of both.

    script: list[AnswerEvent | float]
    script = [two_tokens(1), RestartEvent(Generation(2)), two_tokens(2), DONE]
    answer = await send(FakeRequests(script), make_body())
    document = await answer.get_json()
    assert answer.status_code == 200
    assert (document["text"], document["generation"]) == ("g2 end", 2)
    assert document["summary"]["cost"] == 0.1


async def test_a_refusal_says_not_run_and_when_to_come_back() -> None:
    refusal = Failure(ResultCode.QUEUE_FULL, "full", 1.2)
    answer = await send(FakeRequests(refusal=refusal), make_body())
    problem = await answer.get_json()
    assert answer.status_code == 503
    assert answer.headers["Retry-After"] == "2"
    assert answer.content_type == "application/problem+json"
    assert (problem["code"], problem["outcome"]) == (201, "not_run")
    assert problem["retry_after"] == 1.2


async def test_a_stream_names_its_events() -> None:
    requests = FakeRequests([two_tokens(1), DONE])
    answer = await send(requests, make_body(stream=True))
    text = await answer.get_data(as_text=True)
    names = [line[7:] for line in text.splitlines() if line.startswith("event: ")]
    assert names == ["accepted", "tokens", "end"]


async def test_an_account_learns_nothing_of_anothers_request() -> None:
    # A rival guesses or has seen a key. It must not tell a key that another
    # account uses from one that nobody uses, nor cancel or follow the request.
    requests = FakeRequests([two_tokens(1), DONE])
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
    own = await client.get(f"/v1/requests/{body['key']}", headers=authorize(AUDITOR))
    assert (await own.get_json())["text"] == "g1 end"


async def test_tokens_are_needed_and_kept_apart() -> None:
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


async def test_the_entry_list_leaves_out_hosts_that_leave() -> None:
    # A host is being reclaimed. Callers that still connect to it would be moved
    # or cut off a moment later.
    members = [
        make_member("host-1", "zona-a"),
        make_member("host-2", "zona-a"),
        make_member("host-3", "zona-b"),
        make_member("host-4", "mixco", MemberState.LEAVING),
        make_member("host-5", "mixco", MemberState.SUSPECT),
    ]
    listed = []
    for is_leaving in (False, True):
        membership = FakeMembership(members)
        app = make_app(FakeRequests(), None, membership, is_leaving=is_leaving)
        answer = await app.test_client().get(
            "/v1/entry-hosts", headers=authorize(AUDITOR)
        )
        listed.append([each["address"] for each in (await answer.get_json())["hosts"]])
    one, two, three = (each.frontend_address for each in members[:3])
    assert sorted(listed[0]) == sorted([one, two, three])
    assert three in listed[0][:2]  # the second address is in another domain
    assert sorted(listed[1]) == sorted([two, three])


async def test_a_plain_service_gets_json_and_answers_json() -> None:
    requests = FakeRequests([EndedEvent(ResultCode.OK, body='{"valid":true}')])
    client = make_app(requests).test_client()
    answer = await client.post(
        "/v1/services/registry/requests",
        json=make_body(operation="check_status", input={"certificate": "GT-1"}),
        headers=authorize(AUDITOR),
    )
    assert (await answer.get_json())["result"] == {"valid": True}
    sent = msgspec.json.decode(requests.submissions[0].input)
    assert sent == {"certificate": "GT-1"}
