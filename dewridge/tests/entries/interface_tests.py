"""Tests of odd input to the product's own interface: a value or a refusal each time."""

import base64
import json
from collections.abc import Iterator
from contextlib import contextmanager
from types import SimpleNamespace
from typing import Any, cast

import httpx
import msgspec
import pytest
import trio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from dewridge.client.client import Client
from dewridge.client.frames import (
    FrameError,
    ListedHosts,
    decode_problem,
    decode_result,
    read_events,
)
from dewridge.client.operators import OperatorClient
from dewridge.codes import ResultCode
from dewridge.configuration.head import (
    Head,
    StoredObject,
    build_configuration,
    decode_head,
    decode_object,
)
from dewridge.configuration.model import Profile, Service
from dewridge.configuration.service import (
    CONFIRMED_RUMOR,
    HEAD_RUMOR,
    ConfigurationService,
)
from dewridge.decoding import MAX_COUNT, is_address
from dewridge.fleet.clients import ClientTable
from dewridge.fleet.dispatch import AttemptSender
from dewridge.fleet.events import EventReader
from dewridge.fleet.model import (
    AttemptEnd,
    AttemptOrder,
    BackendServer,
    Priority,
    ServerState,
)
from dewridge.fleet.orders import ControlClient, allocate_fencing_number
from dewridge.fleet.refusals import read_refusal
from dewridge.fleet.table import ServerTable
from dewridge.fleet.watcher import (
    KIND_HOST_RECLAIM,
    KIND_LEAVING,
    KIND_LISTING,
    KIND_SERVER,
    FleetWatcher,
)
from dewridge.frontend.bodies import RequestBody, decode_body
from dewridge.frontend.events import embed_result
from dewridge.ids import (
    AttemptId,
    BackendServerId,
    ClientAccount,
    FailureDomain,
    HostId,
    Incarnation,
    OperationName,
    ProfileName,
    RequestDigest,
    RequestId,
    RequestKey,
    ServiceName,
)
from dewridge.membership.messages import read_member, read_rumors
from dewridge.membership.model import Member, Rumor
from dewridge.membership.registration import Registration
from dewridge.metrics.registry import Metrics
from dewridge.peers.frames import FrameContent, decode_payload, encode_frame
from dewridge.peers.refusals import read_refusal as read_peer_refusal
from dewridge.peers.transport import _open_stream
from dewridge.peers.wire import ttypes
from dewridge.policy.suspects import QUARANTINE_PERIOD
from dewridge.providers.channel import Answer, Channel
from dewridge.providers.cloud import HttpCloud
from dewridge.providers.hostlist import HttpHostList
from dewridge.providers.keyvalue import HttpKeyValue
from dewridge.providers.model import (
    Entry,
    HostState,
    ListedServer,
    ReclaimNotice,
    ServerKind,
)
from dewridge.requests.claiming import decode_result as decode_claim_result
from dewridge.requests.claims import BucketValue, Grant, decode_bucket
from dewridge.requests.codec import (
    decode_end,
    decode_record,
    encode_end,
    encode_record,
    find_fault,
)
from dewridge.requests.model import EndedEvent
from dewridge.requests.records import Ballot, Record, digest_input, make_generation
from dewridge.requests.suspects import KIND_CRASH, SuspectRequests
from dewridge.sentinels import Failure
from dewridge.settings.schema import PlatformSettings
from dewridge.tests.entries.values import (
    DEEP_LIST,
    DEEP_MEMBER,
    ODD_ADDRESSES,
    ODD_BYTES,
    ODD_MEMBERS,
    make_odd_values,
)
from dewridge.tests.fakes import FakeMembership, MemoryKeyValue

pytestmark = [
    pytest.mark.timeout(120),
    pytest.mark.filterwarnings("ignore:Generating overly large repr"),
]

EXAMPLES = settings(
    max_examples=250,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
LISTED = {
    "backend_server": "engine-1",
    "address": "127.0.0.1:9",
    "failure_domain": "domain-a",
    "kind": "engine",
    "services": ["engine"],
    "machine_class": "standard",
    "price": 1.0,
    "reclaimable": True,
    "capacity": 8,
    "checks_fencing": True,
    "state": "live",
    "version": "v1",
}
STORED = {"key": "k", "value": base64.b64encode(b"x").decode(), "revision": 1}
NOTICE = {"subject": "engine-1", "at": 1_700_000_000.0}
EVENT = {
    "attempt": "a",
    "sequence": 0,
    "tokens": ["t"],
    "choices": [{"text": "t", "finish_reason": None}],
    "usage": {"prompt_tokens": 1, "completion_tokens": 1, "recomputed_tokens": 1},
    "error": None,
}
OPERATION_ANSWER = {"attempt": "a", "body": {"x": 1}}
ENGINE_STATE = {"services": ["engine"], "role": "decode", "fence": 1, "leaving": False}
LOAD = {"at": 1.0, "queued": 1, "running": 1}
REFUSAL = {"error": {"type": "overloaded"}}
CRASH = {"account": "a", "service": "engine", "at": 1.0, "sent_at": 1.0}
HEAD = {
    "format": 1,
    "revision": 1,
    "objects": {"service/engine": {"revision": 1, "key": "k"}},
    "recent": [{"revision": 1, "name": "n", "mark": "m", "operator": "o"}],
}
PROFILE = {
    "name": "p",
    "placement": {"name": "x", "parameters": {"a": 1.0}},
    "admission": {"name": "x"},
    "recovery": {"name": "x"},
    "targets": {"first_token": 0.4},
    "limits": {"per_hour": 1.0},
    "retired": False,
}
SERVICE = {
    "name": "s",
    "kind": "plain",
    "profile": "p",
    "operations": [{"name": "read", "expected_tokens": 1}],
    "shares": {"a": 1.0},
}
REQUEST = {
    "key": "0190b8f0-0000-7000-8000-000000000000",
    "operation": "read",
    "input": "x",
    "submission": 1,
    "deadline_seconds": 1.0,
}
FRAME = {
    "generation": 1,
    "offset": 0,
    "tokens": ["t"],
    "addresses": ["127.0.0.1:9"],
    "code": 0,
    "reason": "r",
    "retry_after": 1.0,
    "result": {"x": 1},
}
PROBLEM = {
    "code": 1,
    "title": "t",
    "detail": "d",
    "outcome": "not_run",
    "retry_after": 1.0,
}
HOSTS = {"hosts": [{"address": "127.0.0.1:9", "failure_domain": "a"}], "ttl": 5.0}
PLATFORM = PlatformSettings(key_value="", host_list="", cloud="", poll_period=0.5)

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(st.characters(codec="utf-8"), max_size=20)
    | st.sampled_from(ODD_MEMBERS),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)


def make_values(entry: dict[str, Any]) -> st.SearchStrategy[bytes]:
    """Return any bytes, odd values, and an entry with odd members."""
    members = st.fixed_dictionaries({}, optional=dict.fromkeys(entry, JSON))
    mutated = members.map(lambda odd: json.dumps({**entry, **odd}).encode())
    return (
        st.binary(max_size=200)
        | st.sampled_from([*ODD_BYTES, json.dumps(entry).encode()])
        | st.sampled_from([*make_odd_values(entry)])
        | JSON.map(lambda value: json.dumps(value).encode())
        | mutated
    )


class FixedChannel(Channel):
    """Answers all calls with the same bytes."""

    def __init__(self, content: bytes) -> None:
        super().__init__("fixed", cast(Any, None), 1.0, Metrics())
        self._content = content

    async def call(self, *args: Any, **options: Any) -> Answer:
        return Answer(200, self._content)


class FixedClients(ClientTable):
    """Answers all requests with the same bytes."""

    def __init__(self, content: bytes) -> None:
        super().__init__()
        self._content = content

    @contextmanager
    def use(self, address: str) -> Iterator[httpx.AsyncClient]:
        yield make_client(self._content)


def make_client(content: bytes, status: int = 200) -> httpx.AsyncClient:
    """Return a client all whose requests are answered with the same bytes."""
    transport = httpx.MockTransport(
        lambda request: httpx.Response(status, stream=httpx.ByteStream(content))
    )
    return httpx.AsyncClient(transport=transport, base_url="http://127.0.0.1:9")


def make_listed(kind: ServerKind = ServerKind.PLAIN) -> BackendServer:
    """Return a server as decoded."""
    listed = ListedServer(
        BackendServerId("engine-1"),
        "127.0.0.1:9",
        FailureDomain("domain-a"),
        kind,
        (ServiceName("engine"),),
        "standard",
        1.0,
        True,
        8,
        False,
        HostState.LIVE,
    )
    return BackendServer(listed, ServerState.LIVE)


def make_membership() -> FakeMembership:
    """Return the membership of a single host."""
    member = Member(HostId("host-1"), Incarnation(1), FailureDomain("a"), "", "")
    return FakeMembership([member], "host-1")


def list_with(name: str, sound: dict[str, Any], odd: bytes) -> bytes:
    """Return a listing of a sound entry, an odd one and another sound one."""
    entry = json.dumps(sound).encode()
    return b'{"%s":[%s,%s,%s]}' % (name.encode(), entry, odd, entry)


def is_json(value: bytes) -> bool:
    """Return whether a value can stand in a listing without ending it early."""
    try:
        json.loads(value.decode(), parse_constant=float.fromhex)
    except (ValueError, RecursionError):
        return False
    return True


# ---- key-value service, host list, cloud ------------------------------------


@EXAMPLES
@given(make_values(STORED))
def test_an_answer_of_the_key_value_service_is_an_entry_or_a_refusal(
    content: bytes,
) -> None:
    """Guards against an answer of the service that ends the tasks that call it."""
    store = HttpKeyValue(FixedChannel(content))
    for call in (
        lambda: store.get("k"),
        lambda: store.watch("k", 0, 1.0),
        lambda: store.compare_and_swap("k", b"", 0),
        lambda: store.delete("k", 0),
    ):
        result = trio.run(call)
        assert isinstance(result, Entry | Failure)
        if isinstance(result, Entry):
            assert 0 <= result.revision <= MAX_COUNT
    assert isinstance(trio.run(store.list_entries, "k"), list | Failure)


@EXAMPLES
@given(make_values(STORED).filter(is_json))
def test_an_odd_entry_of_a_listing_costs_only_itself(odd: bytes) -> None:
    """Guards against an entry of another writer that hides those of all hosts."""
    content = list_with("entries", STORED, odd)
    entries = trio.run(HttpKeyValue(FixedChannel(content)).list_entries, "k")
    assert isinstance(entries, list)
    assert entries.count(Entry("k", b"x", 1)) >= 2


@EXAMPLES
@given(make_values(LISTED))
def test_any_answer_of_the_host_list_is_servers_or_a_refusal(content: bytes) -> None:
    """Guards against a host list that ends the hosts that poll it."""
    for answer in (content, list_with("hosts", LISTED, content)):
        listing = trio.run(HttpHostList(FixedChannel(answer)).fetch)
        assert isinstance(listing, list | Failure)
        for listed in [] if isinstance(listing, Failure) else listing:
            assert is_address(listed.address)
            assert 0 <= listed.capacity <= MAX_COUNT
            assert 0 <= listed.price <= MAX_COUNT


@EXAMPLES
@given(make_values(LISTED).filter(is_json))
def test_an_odd_record_of_the_host_list_costs_only_itself(odd: bytes) -> None:
    """Guards against a record that hides all servers."""
    content = list_with("hosts", LISTED, odd)
    listing = trio.run(HttpHostList(FixedChannel(content)).fetch)
    assert isinstance(listing, list)
    assert len([one for one in listing if one.backend_server == "engine-1"]) >= 2


@EXAMPLES
@given(make_values(NOTICE))
def test_any_answer_of_the_cloud_is_notices_or_a_refusal(content: bytes) -> None:
    """Guards against reclaim notices that end the hosts that read them."""
    for answer in (content, list_with("notices", NOTICE, content)):
        notices = trio.run(HttpCloud(FixedChannel(answer)).fetch_notices)
        assert isinstance(notices, list | Failure)
        for notice in [] if isinstance(notices, Failure) else notices:
            assert 0 <= notice.at <= MAX_COUNT


@EXAMPLES
@given(make_values(NOTICE).filter(is_json))
def test_an_odd_notice_costs_only_itself(odd: bytes) -> None:
    """Guards against a notice that hides the reclaims of all other hosts."""
    content = list_with("notices", NOTICE, odd)
    notices = trio.run(HttpCloud(FixedChannel(content)).fetch_notices)
    assert isinstance(notices, list)
    assert notices.count(ReclaimNotice("engine-1", 1_700_000_000.0)) >= 2


@pytest.mark.parametrize("member", ["address", "capacity", "state", "services"])
@pytest.mark.parametrize("odd", ["127.0.0.1:70000", None, 10**30, "\ud800"])
def test_a_record_that_is_left_out_names_its_server(member: str, odd: object) -> None:
    """Guards against a record left out that looks like a server that is gone."""
    odd_record = {**LISTED, "backend_server": "engine-2", member: odd}
    content = json.dumps({"hosts": [LISTED, odd_record]}).encode()
    host_list = HttpHostList(FixedChannel(content))
    listing = trio.run(host_list.fetch)
    assert isinstance(listing, list)
    assert [listed.backend_server for listed in listing] == ["engine-1"]
    assert host_list.unreadable == {"engine-2"}


# ---- backend servers ---------------------------------------------------------


@EXAMPLES
@given(make_values(REFUSAL))
def test_any_body_of_an_error_answer_is_a_failure(content: bytes) -> None:
    """Guards against an error answer that ends the attempt's task."""
    assert isinstance(read_refusal(503, content), Failure)


@EXAMPLES
@given(make_values(EVENT))
def test_any_event_of_an_engine_is_read(content: bytes) -> None:
    """Guards against an event that ends the attempt's task, or cannot be stored."""
    reader = EventReader(AttemptId("a"), 0)
    end = {**EVENT, "sequence": 1, "choices": [{"finish_reason": "stop"}]}
    lines = [b"data: " + content.replace(b"\n", b" "), b"data: [DONE]"]
    for line in (lines, [b"data: " + json.dumps(end).encode()]):
        for event in reader.read(line):
            if isinstance(event, AttemptEnd):
                assert 0 <= event.recomputed <= 2**31 - 1
    reader.finish()


@EXAMPLES
@given(make_values(EVENT["usage"]))  # type: ignore[arg-type]
def test_counts_of_an_engine_are_small_enough_to_store(usage: bytes) -> None:
    """Guards against a count that no message between hosts can carry."""
    reader = EventReader(AttemptId("a"), 0)
    content = (
        b'data: {"attempt":"a","sequence":0,"choices":[{"finish_reason":"stop"}],'
        b'"usage":%s}'
    ) % usage.replace(b"\n", b" ")
    for event in reader.read([content]):
        if isinstance(event, AttemptEnd):
            for count in (event.recomputed, event.cached, *event.usage.values()):
                assert 0 <= count <= 2**31 - 1


@EXAMPLES
@given(make_values(OPERATION_ANSWER))
def test_any_answer_of_a_plain_service_is_an_end_or_a_failure(content: bytes) -> None:
    """Guards against an answer of a plain service that ends the attempt's task."""
    order = AttemptOrder(
        AttemptId("a"),
        ServiceName("engine"),
        OperationName("read"),
        ClientAccount("a"),
        RequestKey("k"),
        "1",
        1,
        Priority.INTERACTIVE,
        1.0,
    )
    sender = AttemptSender(FixedClients(content), Metrics(), 1.0)

    async def run() -> list[Any]:
        async with sender.dispatch(make_listed(), order) as events:
            return [event async for event in events]

    [event] = trio.run(run)
    assert isinstance(event, AttemptEnd | Failure)


@EXAMPLES
@given(make_values(ENGINE_STATE), make_values(LOAD))
def test_any_answer_to_a_control_call_is_a_reply_or_a_failure(
    state: bytes, load: bytes
) -> None:
    """Guards against a server's answer that ends the tasks that give orders."""

    async def run() -> None:
        server = make_listed()
        for content in (state, load):
            client = ControlClient(make_client(content), Metrics(), 1.0)
            await client.cancel(server, AttemptId("a"))
            await client.export_cache(server, AttemptId("a"))
            await client.read_state(server)
            report = await client.read_load(server)
            if not isinstance(report, Failure):
                for number in (report.at, report.queued, report.running):
                    assert 0 <= number <= MAX_COUNT

    trio.run(run)


@EXAMPLES
@given(st.binary(max_size=50) | st.sampled_from(ODD_BYTES))
def test_any_fencing_number_is_followed_or_refused(value: bytes) -> None:
    """Guards against a stored number that ends the task that draws the next."""
    store = MemoryKeyValue()
    store.write("dewridge/fence", value)

    async def run() -> int | Failure:
        return await allocate_fencing_number(store, "dewridge/")

    number = trio.run(run)
    assert isinstance(number, Failure) or 0 < number <= MAX_COUNT


# ---- rumors -------------------------------------------------------------------


@EXAMPLES
@given(
    st.sampled_from([KIND_SERVER, KIND_LEAVING, KIND_HOST_RECLAIM, KIND_LISTING]),
    make_values({"listed": LISTED, "gone": False})
    | make_values({"at": 1.0, "source": "cloud", "digest": 1})
    | make_values(LISTED).map(lambda value: b'{"listed":%s}' % value),
)
def test_any_rumor_of_the_fleet_is_applied_or_left_out(
    kind: str, payload: bytes
) -> None:
    """Guards against a rumor about a server that ends all hosts it reaches."""
    membership = make_membership()
    table = ServerTable()
    reclaims: list[float] = []
    FleetWatcher(
        settings=PLATFORM,
        table=table,
        host_list=cast(Any, None),
        cloud=cast(Any, None),
        membership=membership,
        rumors=membership,
        metrics=Metrics(),
        on_local_reclaim=reclaims.append,
    )
    table.merge(make_listed().listed)
    for subject in ("engine-1", "host-1"):
        membership.spread(Rumor(kind, subject, 1, payload))
    assert all(0 <= at <= MAX_COUNT for at in reclaims)
    assert all(is_address(one.listed.address) for one in table.list_present())


@EXAMPLES
@given(make_values(CRASH))
def test_any_rumor_of_a_crash_is_applied_or_left_out(payload: bytes) -> None:
    """Guards against a rumor about a crash that ends all hosts it reaches."""
    membership = make_membership()

    class SharedClock:
        clock = staticmethod(lambda: 1_000.0)

    SuspectRequests(
        cast(Any, SharedClock()), membership, cast(Any, None), lambda service: []
    )
    membership.spread(Rumor(KIND_CRASH, "digest/engine-1", 1, payload))


@EXAMPLES
@given(st.floats(0, MAX_COUNT), st.floats(0, MAX_COUNT))
def test_a_crash_in_the_future_quarantines_no_longer_than_others(
    at: float, sent_at: float
) -> None:
    """Guards against a time that keeps a request from all servers for ever."""
    membership = make_membership()
    now = 1_700_000_000.0
    shared = SimpleNamespace(clock=lambda: now)
    suspects = SuspectRequests(
        cast(Any, shared), membership, cast(Any, None), lambda service: []
    )
    for number in range(4):
        payload = {**CRASH, "at": at + number, "sent_at": sent_at}
        content = json.dumps(payload).encode()
        membership.spread(Rumor(KIND_CRASH, f"digest/s-{number}", 1, content))
    ledger = suspects._ledger
    left = ledger.compute_quarantine_left(RequestDigest("digest"), now)
    assert left <= QUARANTINE_PERIOD


@EXAMPLES
@given(
    st.sampled_from([HEAD_RUMOR, CONFIRMED_RUMOR]),
    make_values({"address": "127.0.0.1:9"}),
)
def test_any_rumor_of_the_configuration_is_applied_or_left_out(
    kind: str, payload: bytes
) -> None:
    """Guards against a rumor of a revision that ends all hosts it reaches."""
    membership = make_membership()

    class NoPeers:
        def handle(self, kind: type, handler: object) -> None:
            pass

    async def run() -> None:
        ConfigurationService(
            settings=PLATFORM,
            key_value=MemoryKeyValue(),
            peers=cast(Any, NoPeers()),
            membership=membership,
            rumors=membership,
            metrics=Metrics(),
        )
        membership.spread(Rumor(kind, "head", 1, payload))

    trio.run(run)


# ---- members and peers ---------------------------------------------------------


@EXAMPLES
@given(make_values({"host": "odd", "address": "127.0.0.1:9"}))
def test_an_odd_registration_costs_only_itself(value: bytes) -> None:
    """Guards against a registered address that keeps a host from joining others."""
    store = MemoryKeyValue()
    store.write("dewridge/hosts/a", b'{"host":"a","address":"127.0.0.1:7"}')
    store.write("dewridge/hosts/odd", value)
    store.write("dewridge/hosts/z", b'{"host":"z","address":"127.0.0.1:8"}')
    local = make_membership().local_member
    seeds = trio.run(Registration(store, "dewridge/", (), local).find_seeds)
    assert {"127.0.0.1:7", "127.0.0.1:8"} <= set(seeds)
    assert all(is_address(seed) for seed in seeds)


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_a_connection_to_an_odd_address_fails_as_other_ones(address: str) -> None:
    """Guards against a member's address that ends the task of its connection."""

    async def run() -> None:
        with trio.move_on_after(1.0):
            stream = await _open_stream(address)
            await stream.aclose()

    with pytest.raises((OSError, ValueError)):
        trio.run(run)


@EXAMPLES
@given(st.binary(max_size=300) | st.sampled_from(ODD_BYTES))
def test_any_payload_of_a_frame_is_a_message_or_a_refusal(payload: bytes) -> None:
    """Guards against a frame that ends the connection's task by an exception."""
    decode_payload(payload)


@EXAMPLES
@given(
    st.sampled_from([*ODD_ADDRESSES, "127.0.0.1:9", "x" * 20_000]),
    st.text(max_size=3) | st.just("x" * 20_000),
    st.integers(-(2**31), 2**31 - 1),
)
def test_any_record_of_a_member_is_one_or_left_out(
    address: str, host: str, number: int
) -> None:
    """Guards against a member's record that no later message can carry."""
    record = ttypes.MemberRecord(
        host=host,
        incarnation=number,
        state=0,
        refutation=number,
        failure_domain=host,
        address=address,
        frontend_address=address,
    )
    member = read_member(record)
    if member is not None:
        assert len(member.host) <= 1_000
        assert len(member.failure_domain) <= 1_000
        assert len(member.address) <= 1_000
        assert len(member.frontend_address) <= 1_000


@EXAMPLES
@given(st.floats() | st.none(), st.floats() | st.none())
def test_ages_and_lifetimes_of_rumors_are_numbers_that_end(
    age: float | None, lifetime: float | None
) -> None:
    """Guards against a rumor that no host ever drops, as its age is no number."""
    structure = ttypes.Rumor(
        kind="k", subject="s", version=1, payload=b"", age=age, lifetime=lifetime
    )
    for rumor, known_age in read_rumors([structure]):
        assert 0 <= known_age <= MAX_COUNT
        assert rumor.lifetime is None or 0 <= rumor.lifetime <= MAX_COUNT


@EXAMPLES
@given(st.floats() | st.none())
def test_a_peers_refusal_carries_a_time_that_ends(retry_after: float | None) -> None:
    """Guards against a refusal whose `retry_after` no answer can carry."""
    message = ttypes.Refusal(code=1, reason="", retry_after=retry_after)
    seconds = read_peer_refusal(message).retry_after
    assert seconds is None or 0 <= seconds <= MAX_COUNT


# ---- claims and configuration ---------------------------------------------------


@EXAMPLES
@given(
    st.binary(max_size=300)
    | st.sampled_from(ODD_BYTES)
    | JSON.filter(lambda value: len(repr(value)) < 5_000).map(
        lambda value: _pack({"claims": {"r": value}})
    )
    | st.integers(-(2**63), 2**64 - 1).map(
        lambda number: _pack({"claims": {"r": ["h", number, number]}})
    )
    | st.just(b"\x81\xa6claims" + b"\x91" * 50_000)
)
def test_any_bucket_of_claims_is_one_or_refused(value: bytes) -> None:
    """Guards against a bucket that ends the committer, and with it all claims."""
    bucket = decode_bucket(value)
    assert isinstance(bucket, BucketValue | Failure)


def _pack(value: object) -> bytes:
    try:
        return msgspec.msgpack.encode(value)
    except OverflowError:
        return b""


@EXAMPLES
@given(make_values(HEAD))
def test_any_head_of_the_configuration_is_one_or_refused(value: bytes) -> None:
    """Guards against a stored head that ends the hosts that watch it."""
    head = decode_head(value)
    assert isinstance(head, Head | Failure)
    if isinstance(head, Head):
        assert 0 <= head.revision <= MAX_COUNT


@EXAMPLES
@given(make_values(PROFILE), make_values(SERVICE))
def test_any_object_of_the_configuration_is_one_or_left_out(
    profile: bytes, service: bytes
) -> None:
    """Guards against a stored object that keeps hosts from all other objects."""
    assert isinstance(decode_object(profile, Profile), Profile | Failure)
    assert isinstance(decode_object(service, Service), Service | Failure)
    stored = {
        "profile/p": StoredObject("profile/p", 1, profile),
        "service/s": StoredObject("service/s", 1, service),
        "service/t": StoredObject("service/t", 1, json.dumps(SERVICE).encode()),
    }
    configuration, _ = build_configuration(1, stored)
    assert "t" in configuration.services


# ---- callers and the client ------------------------------------------------------


@EXAMPLES
@given(make_values(REQUEST))
def test_any_body_of_a_caller_is_a_request_or_a_refusal(body: bytes) -> None:
    """Guards against a caller's body that is answered as a fault of the host."""
    assert isinstance(decode_body(body, RequestBody), RequestBody | Failure)


@EXAMPLES
@given(
    st.text(max_size=50) | st.sampled_from(ODD_BYTES).map(lambda b: b.decode("latin-1"))
)
def test_any_result_of_a_service_is_embedded(body: str) -> None:
    """Guards against a service's answer that cannot be sent to its caller."""
    raw = embed_result(body)
    assert raw is None or msgspec.json.encode({"result": raw})


@EXAMPLES
@given(
    st.sampled_from(["accepted", "tokens", "restart", "moved", "heartbeat", "end"]),
    make_values(FRAME),
)
def test_any_event_of_a_host_is_an_event_or_a_violation(
    name: str, content: bytes
) -> None:
    """Guards against a host's event that ends the client's caller."""

    async def chunks() -> Any:
        data = content.replace(b"\n", b" ").replace(b"\r", b" ")
        yield b"event: %b\ndata: %b\n\n" % (name.encode(), data)

    async def run() -> list[Any]:
        try:
            return [item async for item in read_events(chunks())]
        except FrameError:
            return []

    for item in trio.run(run):
        for address in getattr(item, "addresses", ()):
            assert is_address(address)
        seconds = getattr(item, "retry_after", None)
        assert seconds is None or 0 <= seconds <= MAX_COUNT
        body = getattr(item, "body", "")
        decode_result(body)


@EXAMPLES
@given(make_values(PROBLEM), st.none() | st.text(max_size=20))
def test_any_error_answer_of_a_host_is_a_rejection(
    content: bytes, header: str | None
) -> None:
    """Guards against an error answer that ends the client's caller."""
    seconds = decode_problem(content, 500, header).failure.retry_after
    assert seconds is None or 0 <= seconds <= MAX_COUNT


@EXAMPLES
@given(
    st.text(max_size=20) | st.sampled_from([DEEP_LIST, DEEP_MEMBER]).map(bytes.decode)
)
def test_any_result_is_decoded_for_the_caller(body: str) -> None:
    """Guards against a result that raises where the caller expects an answer."""
    decode_result(body)


@EXAMPLES
@given(
    make_values(HOSTS)
    | make_values(HOSTS["hosts"][0]).map(  # type: ignore[index]
        lambda host: b'{"hosts":[%s],"ttl":1}' % host
    )
)
def test_any_entry_list_is_one_or_a_failure(content: bytes) -> None:
    """Guards against an entry list that ends the client's caller."""
    client = object.__new__(Client)

    async def run() -> Any:
        client._http = make_client(content)
        client._limits = cast(Any, type("Limits", (), {"list_timeout": 1.0}))
        return await client._fetch_entry_list("127.0.0.1:9")

    listed = trio.run(run)
    if not isinstance(listed, Failure):
        assert isinstance(listed, ListedHosts)
        assert all(is_address(host.address) for host in listed.hosts)
        assert 0 <= listed.ttl <= MAX_COUNT


@EXAMPLES
@given(make_values(PROBLEM), st.sampled_from([200, 409, 500]))
def test_any_answer_to_an_operator_is_a_document_or_a_failure(
    content: bytes, status: int
) -> None:
    """Guards against a host's answer that ends an operator's command."""
    client = object.__new__(OperatorClient)

    async def run() -> None:
        client._http = make_client(content, status)
        client._addresses = cast(Any, ["127.0.0.1:9"])
        await client.read("/v1/x")
        await client.change("PUT", "/v1/x", 1, {})

    trio.run(run)


# ---- records of other hosts -------------------------------------------------------

WIRE_VALUES = st.none() | st.sampled_from(
    [
        *(0, -1, 2**31 - 1, 2**63 - 1, -(2**63), True),
        *("", "x" * 20_000, "g", "0f"),
        *(float("nan"), float("inf"), -1.0, 1e308),
        *([], ["a"], ["x" * 20_000]),
    ]
)


def make_wire_record() -> Any:
    """Return a record as a host sends it."""
    ballot = Ballot(1, HostId("host-1"), Incarnation(1))
    record = Record(
        request=RequestId("a/0190b8f0-0000-7000-8000-000000000000"),
        service=ServiceName("engine"),
        operation=OperationName("read"),
        number=1,
        deadline=1.0,
        input="x",
        max_tokens=1,
        idempotent=True,
        profile=ProfileName("p"),
        accepted_at=1.0,
        ballot=ballot,
        generation=make_generation(ballot),
        digest=digest_input(ServiceName("engine"), OperationName("read"), "x"),
    )
    return encode_record(record)


@EXAMPLES
@given(st.sampled_from(ttypes.RequestRecord.__slots__), WIRE_VALUES)
def test_any_record_of_a_reply_is_one_or_refused(name: str, odd: Any) -> None:
    """Guards against a record of another host that ends the task that asked for it."""
    record = make_wire_record()
    reply = ttypes.FindReply(found=True, record=record, tokens=0)
    assert find_fault(reply) is None
    assert find_fault(ttypes.FindReply(found=True, tokens=0)) is not None
    assert find_fault(ttypes.FindReply(found=False, tokens=0)) is None
    setattr(record, name, odd)
    if find_fault(reply) is None:
        found = decode_record(record)
        encoded = FrameContent(0, 1, ttypes.FindReply(True, encode_record(found)))
        assert isinstance(encode_frame(encoded, 1_000_000), bytes)
        assert found.deadline == found.deadline
        assert isinstance(found.request, str)


@EXAMPLES
@given(st.sampled_from(ttypes.RequestEnd.__slots__), WIRE_VALUES)
def test_any_end_of_a_reply_is_one_or_refused(name: str, odd: Any) -> None:
    """Guards against an end of another host that ends the task that asked for it."""
    end = encode_end(EndedEvent(ResultCode.OK, body="1"), 1)
    reply = ttypes.ReplicateReply(stored=False, ended=end)
    assert find_fault(reply) is None
    setattr(end, name, odd)
    if find_fault(reply) is None:
        found = decode_end(end)
        assert isinstance(found.code, ResultCode)
        assert found.retry_after is None or 0 <= found.retry_after <= MAX_COUNT


@pytest.mark.parametrize("reason", ["", "x", "9" * 5_000, "-1", None])
def test_any_result_of_a_claim_is_one_or_unavailable(reason: str | None) -> None:
    """Guards against a committer's reply that ends the task that claims."""
    message = ttypes.ClaimResult(
        code=int(ResultCode.PEER_REFUSED),
        holder="host-1",
        holder_incarnation=1,
        reason=reason,
    )
    assert isinstance(decode_claim_result(message), Grant | Failure)
