"""Tests of the routes for operators."""

from typing import Any

import msgspec

from dewridge.tests.frontend.fakes import (
    OPERATOR,
    FakeRequests,
    authorize,
    make_app,
    make_profile,
)

CHEAP = "/v1/profiles/cheap"


def encode_profile(name: str, policy: str = "random") -> Any:
    profile = msgspec.to_builtins(make_profile(name))
    profile["placement"] = {"name": policy}
    profile["admission"] = {"name": "fifo"}
    profile["recovery"] = {"name": "restart"}
    return profile


async def test_concurrent_change_is_rejected_as_a_conflict() -> None:
    # Two operators read the same revision and both change the profile. The second
    # change must be rejected, or it would silently overwrite the first one.
    client = make_app(FakeRequests()).test_client()
    read = await client.get(CHEAP, headers=authorize(OPERATOR))
    headers = {**authorize(OPERATOR), "If-Match": read.headers["ETag"]}
    body = encode_profile("cheap")
    first = await client.put(CHEAP, json=body, headers=headers)
    second = await client.put(CHEAP, json=body, headers=headers)
    assert (first.status_code, second.status_code) == (200, 412)
    assert first.headers["ETag"] == '"4"'
    assert (await second.get_json())["code"] == 500


async def test_change_requires_a_revision() -> None:
    client = make_app(FakeRequests()).test_client()
    body = encode_profile("cheap")
    cases: list[tuple[dict[str, str], int]] = [
        ({}, 428),
        ({"If-Match": "*"}, 400),
        ({"If-Match": '"1"', "If-None-Match": "*"}, 400),
        ({"If-None-Match": "*"}, 412),
        ({"If-Match": '"1"'}, 200),
    ]
    for headers, status in cases:
        answer = await client.put(
            CHEAP, json=body, headers={**authorize(OPERATOR), **headers}
        )
        assert answer.status_code == status, headers


async def test_unknown_policy_error_suggests_the_nearest_name() -> None:
    client = make_app(FakeRequests()).test_client()
    answer = await client.put(
        "/v1/profiles/new",
        json=encode_profile("new", "cost_awar"),
        headers={**authorize(OPERATOR), "If-None-Match": "*"},
    )
    assert answer.status_code == 422
    assert "cost_aware" in (await answer.get_json())["detail"]


async def test_reports_dumps_and_metrics_are_served() -> None:
    client = make_app(FakeRequests()).test_client()
    headers = authorize(OPERATOR)
    report = await client.get(f"{CHEAP}/report", headers=headers)
    assert (await report.get_json())["counters"] == {"cost": 0.5, "tokens": 12.0}
    dump = await client.get("/v1/dump", headers=headers)
    assert "frontend" in (await dump.get_json())["parts"]
    await client.get("/v1/profiles", headers=authorize("wrong"))
    answer = await client.get("/metrics", headers=headers)
    metrics = await answer.get_data(as_text=True)
    assert 'dewridge_frontend_refused_tokens_total{side="operator"} 1.0' in metrics
