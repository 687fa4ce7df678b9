"""Claims: the merge of a bucket's value, and the writes that they cost."""

import pytest
import trio

from dewridge.codes import ResultCode
from dewridge.ids import ClientAccount, HostId, Incarnation, RequestId, RequestKey
from dewridge.requests.claims import BucketValue, ClaimIntent, apply_intents
from dewridge.requests.keys import check_key
from dewridge.requests.records import Ballot
from dewridge.tests.requests.fakes import Cluster, run_cluster

REQUEST = RequestId("cooperative/k")
FIRST = Ballot(1, HostId("host-0"), Incarnation(1))
SECOND = Ballot(2, HostId("host-1"), Incarnation(1))


# Two hosts claim one call, writes are repeated because their answers were lost,
# and a claim that was released comes again late. A caller would get two letters
# if any order of these gave the call to both.
def test_one_holder_whatever_the_order() -> None:
    value, grants = apply_intents(BucketValue(), [ClaimIntent(REQUEST, FIRST)])
    assert grants[0].granted
    again, grants = apply_intents(
        value, [ClaimIntent(REQUEST, FIRST), ClaimIntent(REQUEST, SECOND)]
    )
    assert again == value
    assert [grant.granted for grant in grants] == [True, False]
    assert grants[1].holder == FIRST
    foreign, _ = apply_intents(value, [ClaimIntent(REQUEST, SECOND, release=True)])
    _, grants = apply_intents(
        foreign, [ClaimIntent(REQUEST, FIRST), ClaimIntent(REQUEST, SECOND)]
    )
    assert [grant.granted for grant in grants] == [True, False]
    assert grants[1].holder == FIRST
    released, _ = apply_intents(value, [ClaimIntent(REQUEST, FIRST, release=True)])
    late, grants = apply_intents(released, [ClaimIntent(REQUEST, FIRST)])
    assert late == released and not grants[0].granted
    _, grants = apply_intents(released, [ClaimIntent(REQUEST, SECOND)])
    assert grants[0].granted


# A key comes back after its claim was deleted with its window. Accepted, the
# call could run a second time; and of a repeat nobody can say it was not run.
def test_old_and_future_keys() -> None:
    key = RequestKey("01a3185c-500a-7209-a29f-6fbed82c07cd")
    at = int(key.replace("-", "")[:12], 16) / 1000
    limits = {"retention": 900.0, "skew": 5.0}

    def check(number: int, now: float) -> ResultCode:
        failure = check_key(key, number, now, **limits)
        return failure.code if failure is not None else ResultCode.OK

    assert check(1, at + 10) is ResultCode.OK
    assert check(1, at + 901) is ResultCode.KEY_TOO_OLD
    assert check(2, at + 901) is ResultCode.OUTCOME_UNKNOWN
    assert check(1, at - 6) is ResultCode.KEY_IN_FUTURE
    bad = RequestKey(key.replace("-7", "-4"))
    failure = check_key(bad, 1, at, **limits)
    assert failure is not None and failure.code is ResultCode.MALFORMED_KEY


# Letters come at a steady rate. The service takes a few hundred writes a second
# in all; if each letter cost its own calls, a busy minute would use them up and
# operators could change no profile.
@pytest.mark.parametrize(
    ("rate", "bound"), [(1, 2.0), (10, 1.5), (100, 0.9), (400, 0.3)]
)
def test_calls_per_claim(rate: int, bound: float) -> None:
    figures: list[float] = []

    async def scenario(cluster: Cluster) -> None:
        cluster.workers.plain_time = 0.0
        count = 3 * rate + 20
        waits: list[float] = []

        async def pull(place: int) -> None:
            letter = cluster.make("issue_letter")
            host = f"host-{place % 4}"
            began = trio.current_time()
            await cluster.nodes[host].service.submit(letter)
            seen = await cluster.follow(host, letter.key)
            assert seen.ended is not None and seen.ended.code is ResultCode.OK
            waits.append(trio.current_time() - began)

        async with trio.open_nursery() as nursery:
            for place in range(count):
                nursery.start_soon(pull, place)
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
    calls, median, high = figures
    print(f"{rate}/s: {calls:.2f} calls, {median:.4f} s median, {high:.4f} s p95")
    assert calls <= bound
    assert high < 0.25


def test_accounts_do_not_share_keys() -> None:
    async def scenario(cluster: Cluster) -> None:
        submission = cluster.make("check_status")
        await cluster.nodes["host-0"].service.submit(submission)
        stranger = ClientAccount("importer")
        service = cluster.nodes["host-0"].service
        found = await service.look_up(stranger, submission.key)
        assert found.code is ResultCode.UNKNOWN_REQUEST

    run_cluster(scenario)
