"""Tests of claims: the merge of claims stored under one key, and writes per claim."""

import pytest
import trio

from dewridge.codes import ResultCode
from dewridge.ids import ClientAccount, HostId, Incarnation, RequestId, RequestKey
from dewridge.requests.claims import BucketValue, ClaimIntent, apply_intents
from dewridge.requests.keys import check_key
from dewridge.requests.records import Ballot
from dewridge.tests.requests.fakes import Cluster, run_cluster

REQUEST = RequestId("cooperative/k")
FIRST_BALLOT = Ballot(1, HostId("host-0"), Incarnation(1))
SECOND_BALLOT = Ballot(2, HostId("host-1"), Incarnation(1))


# Two hosts claim one request, writes are retried because their replies were lost, and
# a claim arrives after its release. If any order of these granted the claim to both
# hosts, the request would run twice and its caller would be sent two letters.
def test_only_one_ballot_is_granted_a_claim() -> None:
    value, grants = apply_intents(BucketValue(), [ClaimIntent(REQUEST, FIRST_BALLOT)])
    assert grants[0].granted
    retried, grants = apply_intents(
        value, [ClaimIntent(REQUEST, FIRST_BALLOT), ClaimIntent(REQUEST, SECOND_BALLOT)]
    )
    assert retried == value
    assert [grant.granted for grant in grants] == [True, False]
    assert grants[1].holder == FIRST_BALLOT
    released_by_other, _ = apply_intents(
        value, [ClaimIntent(REQUEST, SECOND_BALLOT, release=True)]
    )
    _, grants = apply_intents(
        released_by_other,
        [ClaimIntent(REQUEST, FIRST_BALLOT), ClaimIntent(REQUEST, SECOND_BALLOT)],
    )
    assert [grant.granted for grant in grants] == [True, False]
    assert grants[1].holder == FIRST_BALLOT
    released, _ = apply_intents(
        value, [ClaimIntent(REQUEST, FIRST_BALLOT, release=True)]
    )
    delayed, grants = apply_intents(released, [ClaimIntent(REQUEST, FIRST_BALLOT)])
    assert delayed == released and not grants[0].granted
    _, grants = apply_intents(released, [ClaimIntent(REQUEST, SECOND_BALLOT)])
    assert grants[0].granted


# A request key is sent again after its claim was deleted with its time window. If it
# were accepted, the request could run a second time. A retry with an old key gets
# "unknown", because it is not known whether the request ran.
def test_old_and_future_keys_are_rejected() -> None:
    key = RequestKey("01a3185c-500a-7209-a29f-6fbed82c07cd")
    created = int(key.replace("-", "")[:12], 16) / 1000
    limits = {"retention": 900.0, "skew": 5.0}

    def check(number: int, now: float) -> ResultCode:
        failure = check_key(key, number, now, **limits)
        return failure.code if failure is not None else ResultCode.OK

    assert check(1, created + 10) is ResultCode.OK
    assert check(1, created + 901) is ResultCode.KEY_TOO_OLD
    assert check(2, created + 901) is ResultCode.OUTCOME_UNKNOWN
    assert check(1, created - 6) is ResultCode.KEY_IN_FUTURE
    malformed = RequestKey(key.replace("-7", "-4"))
    failure = check_key(malformed, 1, created, **limits)
    assert failure is not None and failure.code is ResultCode.MALFORMED_KEY


# Non-idempotent requests arrive at a steady rate. The key-value service accepts a few
# hundred writes per second in all. If each request made its own calls, a busy minute
# would use them up, and operators could not change a profile.
@pytest.mark.parametrize(
    ("rate", "bound"), [(1, 2.0), (10, 1.5), (100, 0.9), (400, 0.3)]
)
def test_key_value_calls_per_claim(rate: int, bound: float) -> None:
    figures: list[float] = []

    async def scenario(cluster: Cluster) -> None:
        cluster.workers.plain_time = 0.0
        count = 3 * rate + 20
        waits: list[float] = []

        async def run_request(index: int) -> None:
            submission = cluster.make("issue_letter")
            host = f"host-{index % 4}"
            started = trio.current_time()
            await cluster.nodes[host].service.submit(submission)
            seen = await cluster.follow(host, submission.key)
            assert seen.ended is not None and seen.ended.code is ResultCode.OK
            waits.append(trio.current_time() - started)

        async with trio.open_nursery() as nursery:
            for index in range(count):
                nursery.start_soon(run_request, index)
                await trio.sleep(1 / rate)
        waits.sort()
        figures.extend(
            [
                len(cluster.key_value.calls) / count,
                waits[count // 2],
                waits[int(count * 0.95)],
            ]
        )

    run_cluster(scenario)
    calls, median, p95 = figures
    print(f"{rate}/s: {calls:.2f} calls, {median:.4f} s median, {p95:.4f} s p95")
    assert calls <= bound
    assert p95 < 0.25


def test_accounts_do_not_share_keys() -> None:
    async def scenario(cluster: Cluster) -> None:
        submission = cluster.make("check_status")
        await cluster.nodes["host-0"].service.submit(submission)
        other_account = ClientAccount("importer")
        service = cluster.nodes["host-0"].service
        result = await service.look_up(other_account, submission.key)
        assert result.code is ResultCode.UNKNOWN_REQUEST

    run_cluster(scenario)
