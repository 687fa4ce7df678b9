"""Tests of what hosts read from their peers: any bytes, and messages with odd figures.

Peers run other builds, have other clocks, and may be damaged. The port is also open to
whatever else sends datagrams to it.
"""

import dataclasses
import math
from collections.abc import Callable, Iterator
from typing import Any

import msgspec
import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from dewridge.gateway.messages.decoding import decode_message
from dewridge.gateway.model import ServerVersion
from dewridge.gateway.reports import (
    CellReport,
    DepartureReport,
    HostMessage,
    HostUsage,
    LimitUpdate,
    OutcomeKey,
    RecentReleases,
    Report,
    ReportedRelease,
    RolloutProgress,
    ServerAnswer,
    ServerQuery,
    ServerTotals,
    StreamVersionAnswer,
    StreamVersionQuery,
    StreamVersionReport,
    SuspectReport,
    SuspectUpdate,
    Totals,
    UsageConfirmation,
    UsageReport,
    UsageRequest,
    VersionNotice,
    VersionQuery,
)
from dewridge.ids import (
    BackendServerId,
    HostId,
    PartDigest,
    Release,
    RequestDigest,
    ServerName,
    ServiceName,
)
from dewridge.policy.cells import CellName
from dewridge.policy.rollouts import Stage
from dewridge.policy.suspects import CRASH_THRESHOLD, QUARANTINE_PERIOD
from dewridge.sentinels import Failure
from dewridge.tests.entries.peerhost import (
    ROLLOUT_ORDER,
    SERVERS,
    PeerHost,
    make_server,
    open_host,
)
from dewridge.tests.entries.values import NESTING, ODD_ADDRESSES, ODD_BYTES, ODD_TEXTS
from dewridge.tests.gateway.world import ACCOUNT, HOST, PLAIN

PEER = HostId("peer-1")
SERVER = BackendServerId(SERVERS[0])
SUSPECT = SuspectUpdate(
    digest=RequestDigest("digest-1"),
    account=ACCOUNT,
    service=PLAIN,
    crashes={SERVER: (10, 20), BackendServerId(SERVERS[1]): (500, 520)},
    cleared=[SERVER],
    part=PartDigest("part-1"),
)
PROGRESS = RolloutProgress(
    service=ServiceName("engine"),
    target=ServerVersion("v3"),
    order=6,
    stage=Stage.TRIAL,
    share=0.1,
    ordered_at=1.0,
    duration=30.0,
)
TOTALS = Totals(
    quota_usage={ACCOUNT: 10},
    quota_demand={ACCOUNT: 12},
    token_demand={PLAIN: 100},
    servers={SERVER: ServerTotals(2, 30, 40, 5, 20, 30)},
    outcomes={
        OutcomeKey(f"{ROLLOUT_ORDER}/{side}/{kind}/read"): 3
        for side in ("new", "old")
        for kind in ("answers", "bad")
    },
    work_demand={"plain/1": 50},
)
REPORT = Report(
    host=PEER,
    boot=1,
    number=1,
    is_ready=True,
    age=0.0,
    totals=TOTALS,
    usage_counts={7: {ACCOUNT: 3}},
    version=1,
    departing_servers={BackendServerId("s-9@1"): 1.5},
    confirmed_age=0.5,
    last_received={HOST: (1, 1)},
    holder=(3, PEER),
    suspects=[SUSPECT],
    rollouts=[PROGRESS],
    limits=[LimitUpdate(SERVER, 2_000, 50, False)],
    rejections={SERVER: 100},
    releases=0,
    versions_age_ms=100,
    store_answer_age=1,
    store_failure_age=2,
)
CELL_REPORT = CellReport(
    host=HostId("peer-3"),
    boot=1,
    number=1,
    cell=CellName("domain-b/0-1"),
    members=[HostId("peer-3"), HostId("peer-5")],
    unready=[HostId("peer-5")],
    totals=TOTALS,
    version=1,
    departing_servers={BackendServerId("s-9@1"): 1.5},
    holder=(3, PEER),
    suspects=[SUSPECT],
    rollouts=[PROGRESS],
    limits=[LimitUpdate(SERVER, 2_000, 50, True)],
    partitioned=[HostId("peer-5")],
    rejections={SERVER: 100},
    releases=5,
)
STREAMS = {Release(7): bytes(12)}
MESSAGES: tuple[HostMessage, ...] = (
    REPORT,
    CELL_REPORT,
    DepartureReport(PEER, {SERVER: 0.5}, False),
    SuspectReport(PEER, [SUSPECT], False),
    VersionNotice(PEER, 2, False),
    VersionQuery(PEER),
    UsageReport(PEER, 1, 1, 7, [HostUsage(PEER, 1, {7: {ACCOUNT: 3}})]),
    UsageConfirmation((3, PEER), 1, 1),
    UsageRequest((3, PEER)),
    StreamVersionReport(PEER, STREAMS),
    StreamVersionQuery(PEER, 1, PLAIN, bytes(12)),
    StreamVersionAnswer(PEER, 1, STREAMS, Release(7)),
    RecentReleases(PEER, [ReportedRelease(PLAIN, Release(7), "v1", 100)], True),
    ServerQuery(PEER, 1, [SERVER], [Release(7)], [PLAIN]),
    ServerAnswer(PEER, 1, [make_server("s-3")], {SERVER: 0.5}),
)

NUMBERS: tuple[Any, ...] = (
    *(-(2**63), -(2**53) - 1, -(2**53), -1, 0, 1, 9, 1_000, 2**31, 2**32, 2**53),
    *(2**53 + 1, 2**63 - 1, 2**63, 2**64 - 1),
)
FLOATS: tuple[Any, ...] = (
    *(math.nan, math.inf, -math.inf, -1e308, -1.0, 0.0, 1e-300, 0.5, 2.0**53, 1e16),
    1e308,
)
NAMES: tuple[Any, ...] = (
    *(*ODD_TEXTS, *ODD_ADDRESSES, *SERVERS, "/", "5/", "5/new", "5/new/bad"),
    *("5/new/bad/read", "5/x/bad/read", "5/old/y/read", "5/new/answers/", "6/x"),
    *("plain/9", "plain/-1", "/1", "host-1", "peer-1", "all", "domain-b/0-1"),
)
OTHERS: tuple[Any, ...] = (None, True, False, b"", bytes(5), bytes(600), [], {})


def list_others(value: Any) -> tuple[Any, ...]:
    """Return values to take the place of another one, mostly of the same type."""
    match value:
        case bool():
            return OTHERS
        case int():
            return (*NUMBERS, 0.5, math.nan, None, "")
        case float():
            return (*FLOATS, *NUMBERS, None, "")
        case str():
            return (*NAMES, *OTHERS, 0)
    return (*OTHERS, -1, 2**64 - 1, math.nan, "")


def list_altered(value: Any) -> Iterator[Any]:
    """Yield values of basic types with one part replaced, added or left out."""
    yield from list_others(value)
    if isinstance(value, list):
        for index, part in enumerate(value):
            before, after = value[:index], value[index + 1 :]
            yield before
            yield [*before, part, part, *after]
            for altered in list_altered(part):
                yield [*before, altered, *after]
    if isinstance(value, dict):
        for key, part in value.items():
            others = {name: value[name] for name in value if name != key}
            yield others
            for altered in list_altered(part):
                yield {**others, key: altered}
            for other in list_others(key):
                if isinstance(other, str | int | float | None):
                    yield {**value, other: part}


def draw_other(draw: st.DrawFn, value: Any) -> Any:
    """Draw a value to take the place of another one, mostly of the same type."""
    if draw(st.integers(0, 9)) == 0:
        return draw(st.sampled_from((*NUMBERS, *FLOATS, *NAMES, *OTHERS)))
    return draw(st.sampled_from(list_others(value)))


def alter(draw: st.DrawFn, value: Any) -> Any:
    """Return a value of basic types with one part replaced, added or left out."""
    if isinstance(value, list) and value and draw(st.integers(0, 19)):
        index = draw(st.integers(0, len(value) - 1))
        if draw(st.integers(0, 19)) == 0:
            return value[:index]
        return [*value[:index], alter(draw, value[index]), *value[index + 1 :]]
    if isinstance(value, dict) and value and draw(st.integers(0, 19)):
        key = draw(st.sampled_from(sorted(value, key=str)))
        others = {name: value[name] for name in value if name != key}
        if draw(st.booleans()):
            return {**others, key: alter(draw, value[key])}
        other = draw_other(draw, key)
        is_key = not isinstance(other, list | dict)
        return {**value, other: value[key]} if is_key else others
    return draw_other(draw, value)


@st.composite
def draw_altered(draw: st.DrawFn) -> bytes:
    """Draw a message whose parts were altered."""
    value = msgspec.msgpack.decode(msgspec.msgpack.encode(draw(MESSAGE)))
    for _ in range(draw(st.integers(1, 4))):
        value = alter(draw, value)
    return msgspec.msgpack.encode(value)


@st.composite
def draw_damaged(draw: st.DrawFn) -> bytes:
    """Draw a message with bytes that were changed, added or lost."""
    data = bytearray(msgspec.msgpack.encode(draw(MESSAGE)))
    for _ in range(draw(st.integers(1, 3))):
        start = draw(st.integers(0, len(data)))
        end = start + draw(st.integers(0, 2))
        data[start:end] = draw(st.binary(max_size=3))
    return bytes(data)


MESSAGE = st.sampled_from((REPORT, CELL_REPORT)) | st.sampled_from(MESSAGES)
DEEP = (
    b"\x91" * NESTING + b"\xc0",
    b"\x81\xa1a" * NESTING + b"\xc0",
    b"\xdc\x00\x20\xa4host" + b"\x91" * NESTING,
    b"\x9f\xa4left\xa1h\x80\xc3" + b"\x91" * NESTING + b"\xc0",
)


def list_odd_datagrams() -> Iterator[bytes]:
    """Yield datagrams that no sound peer sends."""
    yield from ODD_BYTES
    yield from DEEP
    yield b"\x94\xa4left\xa1\xff\x80\xc3"
    for message in MESSAGES:
        data = msgspec.msgpack.encode(message)
        yield data[:-1]
        yield data + data
        yield data[:1] + b"\xc1" + data[2:]


def list_basic(message: HostMessage) -> Any:
    """Return a message as a list of values of basic types."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message))


def number_report(
    altered: Any, report: Report | CellReport, number: int
) -> tuple[bytes, bytes]:
    """Return an altered report as the second one of a host, and a sound first one.

    Args:
        altered: the altered report in basic types.
        report: the sound report.
        number: makes up the name of the host.
    """
    name = HostId(f"altered-{number}")
    first = msgspec.structs.replace(report, host=name, number=1)
    if altered[1:2] == [report.host]:
        altered = [altered[0], name, *altered[2:]]
    if altered[3:4] == [report.number]:
        altered = [*altered[:3], 2, *altered[4:]]
    return msgspec.msgpack.encode(altered), msgspec.msgpack.encode(first)


def run(check: Callable[[PeerHost], Any]) -> None:
    """Run a check with a host on a clock that skips waiting times."""

    async def run_check() -> None:
        await check(open_host())

    trio.run(run_check, clock=trio.testing.MockClock(autojump_threshold=0))


async def check_outlasted(host: PeerHost, *odd: bytes) -> None:
    """Check that odd datagrams cost a host nothing but themselves."""
    sound = msgspec.structs.replace(REPORT, host=HostId("sound"), rollouts=[])
    kept = StreamVersionReport(HostId("sound"), {Release(9): b"\0\0\0\0\0\x63"})
    await host.receive(
        *odd, msgspec.msgpack.encode(sound), msgspec.msgpack.encode(kept)
    )
    assert host.state.sharing.cell_peers[sound.host].report == sound
    found = host.state.versions.ledger.find(99)  # type: ignore[arg-type]
    assert found is not None
    for data in await host.work():
        assert not isinstance(decode_message(data), Failure)


@pytest.mark.parametrize(
    "message", MESSAGES, ids=lambda message: type(message).__name__
)
def test_sound_messages_are_decoded_and_applied(message: HostMessage) -> None:
    """Guards against bounds that refuse what sound peers send."""
    data = msgspec.msgpack.encode(message)
    assert decode_message(data) == message
    run(lambda host: check_outlasted(host, data))


def test_odd_datagrams_cost_only_themselves() -> None:
    """Guards against a single datagram that ends the receiving of all messages."""
    run(lambda host: check_outlasted(host, *list_odd_datagrams()))


@pytest.mark.parametrize(
    "message", MESSAGES, ids=lambda message: type(message).__name__
)
def test_each_figure_of_a_message_may_be_odd(message: HostMessage) -> None:
    """Guards against a figure, a name or a key that breaks a step after decoding."""
    sound = list_basic(message)
    refused: list[Failure] = []

    async def check(host: PeerHost) -> None:
        for number, altered in enumerate(list_altered(sound)):
            odd = msgspec.msgpack.encode(altered)
            decoded = decode_message(odd)
            if isinstance(decoded, Failure):
                refused.append(decoded)
                continue
            if isinstance(message, Report | CellReport):
                # The growth since the report before is what is counted.
                odd, before = number_report(altered, message, number)
                await host.receive(before)
            await host.receive(odd)
            if number % 50 == 0:
                await host.work()
        await check_outlasted(host)

    run(check)
    assert refused


@settings(max_examples=400)
@given(st.binary(max_size=60) | draw_damaged() | draw_altered())
def test_any_datagram_is_a_message_or_refused(data: bytes) -> None:
    """Guards against a datagram whose decoding raises an exception."""
    message = decode_message(data)
    assert isinstance(message, Failure | HostMessage)


@settings(max_examples=400, deadline=None)
@given(st.lists(draw_altered() | draw_damaged(), min_size=1, max_size=3))
def test_any_accepted_message_can_be_applied(datagrams: list[bytes]) -> None:
    """Guards against figures that a message may carry and that break a later step."""
    run(lambda host: check_outlasted(host, *datagrams))


def test_bad_answers_without_answers_are_judged() -> None:
    """Guards against a division by the answers of a version that no host reported."""
    bad = {
        OutcomeKey(f"{ROLLOUT_ORDER}/old/bad/read"): 1,
        OutcomeKey(f"{ROLLOUT_ORDER}/new/answers/read"): 10,
        OutcomeKey(f"{ROLLOUT_ORDER}/new/bad/read"): 1,
    }
    report = msgspec.structs.replace(REPORT, totals=Totals(outcomes=bad))
    run(lambda host: check_outlasted(host, msgspec.msgpack.encode(report)))


def test_sums_of_large_totals_fit_into_a_report() -> None:
    """Guards against totals of many incarnations that no message can carry."""
    largest = msgspec.structs.replace(
        REPORT, totals=Totals(quota_usage={ACCOUNT: 2**53}, token_demand={PLAIN: 2**53})
    )
    reports = [
        msgspec.msgpack.encode(msgspec.structs.replace(largest, boot=boot))
        for boot in range(1, 2_100)
    ]
    run(lambda host: check_outlasted(host, *reports))


@pytest.mark.parametrize("age", [-(2**53), -1, 0, 2**53])
def test_a_crash_counts_for_the_quarantine_period_at_most(age: int) -> None:
    """Guards against a crash in the future, which blocks a request for years."""
    crashes = {BackendServerId(f"s-{n}"): (age, age) for n in range(CRASH_THRESHOLD)}
    suspect = SuspectUpdate(SUSPECT.digest, ACCOUNT, PLAIN, crashes)

    async def check(host: PeerHost) -> None:
        report = SuspectReport(PEER, [suspect], True)
        await host.receive(msgspec.msgpack.encode(report))
        left = host.state.suspects.compute_quarantine_left(
            suspect.digest, trio.current_time()
        )
        assert left <= QUARANTINE_PERIOD
        await check_outlasted(host)

    run(check)


def test_a_limit_from_the_future_ends_with_the_next_answer() -> None:
    """Guards against a notice that is newer than all answers of the server."""
    limit = LimitUpdate(SERVER, 1, -(2**53), False)
    report = msgspec.structs.replace(REPORT, limits=[limit])

    async def check(host: PeerHost) -> None:
        await host.receive(msgspec.msgpack.encode(report))
        assert host.state.pushback.is_withheld(SERVER, trio.current_time())
        await trio.sleep(1)
        host.state.pushback.record_answer(SERVER, 200, [])
        later = trio.current_time() + 60
        assert not host.state.pushback.is_withheld(SERVER, later)

    run(check)


@pytest.mark.parametrize("age", [math.nan, -1e300, -60.0, math.inf])
def test_no_report_confirms_the_configuration_for_the_future(age: float) -> None:
    """Guards against a revoked key that goes on working without the store."""
    report = msgspec.structs.replace(REPORT, confirmed_age=age)

    async def check(host: PeerHost) -> None:
        await host.receive(msgspec.msgpack.encode(report))
        assert 0 <= host.state.configuration.age < 60

    run(check)


def test_usage_of_windows_far_ahead_is_discarded() -> None:
    """Guards against counts that are never too old, and fill the memory."""
    usage = [HostUsage(PEER, 1, {2**53: {ACCOUNT: 1}, -(2**53): {ACCOUNT: 1}})]
    report = UsageReport(PEER, 1, 1, 2**53, usage)

    async def check(host: PeerHost) -> None:
        await host.receive(msgspec.msgpack.encode(report))
        host.state.drop_expired()
        assert not host.state.sharing.usage.counts_by_window
        assert not host.state.sharing.usage.complete_before

    run(check)


def test_a_notice_in_the_name_of_this_host_is_not_repeated() -> None:
    """Guards against a version that this host does not have, told to all hosts."""
    notice = VersionNotice(HOST, 2**40, is_cell_local=False)

    async def check(host: PeerHost) -> None:
        await host.receive(msgspec.msgpack.encode(notice))
        sent = [decode_message(data) for data in await host.work()]
        assert sent
        assert not any(isinstance(message, VersionNotice) for message in sent)

    run(check)


@pytest.mark.parametrize("seconds", [math.nan, math.inf, -math.inf, 1e300, -1.0])
def test_a_departure_without_a_time_is_refused(seconds: float) -> None:
    """Guards against a deadline of a stream that is no time."""
    departing = {SERVER: seconds}
    for message in (
        DepartureReport(PEER, departing, True),
        ServerAnswer(PEER, 1, departed=departing),
        msgspec.structs.replace(REPORT, departing_servers=departing),
    ):
        assert isinstance(decode_message(msgspec.msgpack.encode(message)), Failure)


@pytest.mark.parametrize(
    "changes",
    [
        *({"address": address} for address in ODD_ADDRESSES),
        *({"slots": slots} for slots in (-1, 0, 2**53)),
        *({"leaves_in": seconds} for seconds in (math.nan, math.inf, -1.0, 1e300)),
        *({"id": BackendServerId(name)} for name in (*ODD_TEXTS, "s-4@5")),
        {"id": BackendServerId("a\r\nb: c@5"), "name": ServerName("a\r\nb: c")},
        {"started_at_ms": 2**60},
        {"service": ServiceName("x" * 20_000)},
    ],
)
def test_a_record_that_the_store_could_not_have_is_refused(
    changes: dict[str, Any],
) -> None:
    """Guards against a server of a peer whose address or id breaks each request."""
    record = dataclasses.replace(make_server("s-3"), **changes)
    answer = ServerAnswer(PEER, 1, [make_server("s-4"), record])
    assert isinstance(decode_message(msgspec.msgpack.encode(answer)), Failure)


@pytest.mark.parametrize("report", [REPORT, CELL_REPORT], ids=["host", "cell"])
def test_a_wrong_order_of_reports_hides_a_host_for_seconds_only(
    report: Report | CellReport,
) -> None:
    """Guards against one report whose number is above all later ones of its host."""

    async def check(host: PeerHost) -> None:
        state = host.state
        odd = msgspec.structs.replace(report, boot=2**53, number=2**53)
        await host.receive(msgspec.msgpack.encode(odd))
        await trio.sleep(15)
        state.drop_expired()
        for number in (1, 2):
            sound = msgspec.structs.replace(report, number=number)
            await host.receive(msgspec.msgpack.encode(sound))
        assert not state.sharing.is_silent(report.host, trio.current_time())
        assert state.sharing.reports_missed == 0
        await check_outlasted(host)

    run(check)
