"""Tests of configuration changes: accepted exactly once, never lost or reverted."""

import dataclasses
import json

import msgspec
import trio
import trio.testing

from dewridge.codes import ResultCode
from dewridge.configuration.model import (
    Operation,
    PolicyChoice,
    Profile,
    Service,
)
from dewridge.configuration.service import CONFIRMED_RUMOR, ConfigurationService
from dewridge.ids import OperationName, OperatorName, ProfileName, ServiceName
from dewridge.membership.model import MemberState, Rumor
from dewridge.metrics.registry import Metrics
from dewridge.peers.model import Handler, PeerIdentity
from dewridge.providers.model import Entry
from dewridge.sentinels import Failure
from dewridge.settings.schema import PlatformSettings
from dewridge.tests.fakes import FakeMembership, MemoryKeyValue, make_member

ANA = OperatorName("ana")
HEAD_KEY = "dewridge/configuration/head"


class DirectPeers:
    """Implements `Peers` by calling the handlers of other instances directly."""

    def __init__(self, network: dict[str, "DirectPeers"], address: str) -> None:
        self.handlers: dict[type, Handler] = {}
        self.is_partitioned = False
        self._network = network
        network[address] = self

    def handle(self, kind: type, handler: Handler) -> None:
        self.handlers[kind] = handler

    def send(self, address: str, message: object) -> Failure | None:
        return None

    async def call(self, address: str, message: object, timeout: float) -> object:
        await trio.lowlevel.checkpoint()
        other = self._network[address]
        if self.is_partitioned or other.is_partitioned:
            return Failure(ResultCode.PEER_UNREACHABLE)
        caller = PeerIdentity(make_member(0).host, make_member(0).incarnation, "d")  # type: ignore[arg-type]
        return await other.handlers[type(message)](caller, message)


class Fleet:
    """Configuration services of several entry hosts that share a key-value service."""

    def __init__(self, count: int, key_value: MemoryKeyValue | None = None) -> None:
        self.key_value = key_value or MemoryKeyValue()
        members = [make_member(n) for n in range(count)]
        network: dict[str, DirectPeers] = {}
        self.memberships = [FakeMembership(list(members), m.host) for m in members]
        for membership in self.memberships:
            membership.linked_fakes = [
                m for m in self.memberships if m is not membership
            ]
        self.peers = [DirectPeers(network, m.address) for m in members]
        settings = PlatformSettings(key_value="", host_list="", cloud="")
        self.hosts = [
            ConfigurationService(
                settings=settings,
                key_value=self.key_value,
                peers=peers,
                membership=membership,
                rumors=membership,
                metrics=Metrics(),
                clock=trio.current_time,
                seed=index,
            )
            for index, (peers, membership) in enumerate(
                zip(self.peers, self.memberships, strict=True)
            )
        ]
        for membership in self.memberships:
            for member in members:
                membership.update_member(member)

    def list_revisions(self) -> list[int]:
        return [host.current().revision for host in self.hosts]


def make_profile(name: str, first_token: float = 0.4) -> Profile:
    profile = Profile(
        ProfileName(name),
        PolicyChoice("balanced"),
        PolicyChoice("fair"),
        PolicyChoice("resume"),
    )
    targets = msgspec.structs.replace(profile.targets, first_token=first_token)
    return msgspec.structs.replace(profile, targets=targets)


def make_service(profile: str) -> Service:
    operations = (Operation(OperationName("check")),)
    return Service(ServiceName("registry"), "plain", ProfileName(profile), operations)


async def test_change_is_in_force_on_every_host(
    autojump_clock: trio.testing.MockClock,
) -> None:
    fleet = Fleet(8)
    async with trio.open_nursery() as nursery:
        for host in fleet.hosts:
            nursery.start_soon(host.run)
        revision = await fleet.hosts[0].publish_profile(make_profile("a"), 0, ANA)
        assert revision == 1
        await trio.sleep(2)
        assert fleet.list_revisions() == [1] * 8
        nursery.cancel_scope.cancel()


async def test_concurrent_change_is_rejected_as_conflict(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # Two operators revise the same revision of a profile through two hosts. If
    # both changes were reported as accepted, one would be lost unnoticed.
    fleet = Fleet(3)
    first = await fleet.hosts[0].publish_profile(make_profile("a"), 0, ANA)
    assert first == 1
    results: list[int | Failure] = []

    async def revise(host: int, first_token: float) -> None:
        profile = make_profile("a", first_token)
        results.append(await fleet.hosts[host].publish_profile(profile, 1, ANA))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(revise, 0, 0.2)
        nursery.start_soon(revise, 1, 0.3)
    accepted = [r for r in results if isinstance(r, int)]
    rejected = [r for r in results if isinstance(r, Failure)]
    assert accepted == [2]
    assert [r.code for r in rejected] == [ResultCode.REVISION_CONFLICT]


async def test_lost_answer_is_resolved_by_reading_back(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # The key-value service applies the writes, but their answers are lost. If a
    # failure were reported, the operator would publish again or believe that the
    # old profile is still in force.
    fleet = Fleet(3)
    fleet.key_value.answers_to_lose = 2
    assert await fleet.hosts[0].publish_profile(make_profile("a"), 0, ANA) == 1
    head = json.loads(fleet.key_value.entries[HEAD_KEY].value)
    assert [change["revision"] for change in head["recent"]] == [1]


async def test_change_whose_outcome_can_not_be_read_is_unknown(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # The write of the head is carried out, its answer is lost, and then the key-value
    # service is down. If the change were reported as not made, the operator would
    # publish again on the wrong revision.
    fleet = Fleet(3)

    def lose_from_head(key: str) -> None:
        if key == HEAD_KEY:
            fleet.key_value.answers_to_lose = 1
            fleet.key_value.is_down = True

    fleet.key_value.before_swap = lose_from_head
    result = await fleet.hosts[0].publish_profile(make_profile("a"), 0, ANA)
    assert isinstance(result, Failure)
    assert result.code is ResultCode.CHANGE_UNKNOWN
    fleet.key_value.is_down = False
    assert json.loads(fleet.key_value.entries[HEAD_KEY].value)["revision"] == 1


async def test_lost_write_is_retried(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # The write itself is lost, which can't be distinguished from a lost answer.
    fleet = Fleet(3)
    fleet.key_value.writes_to_lose = 2
    assert await fleet.hosts[0].publish_profile(make_profile("a"), 0, ANA) == 1


async def test_older_copy_restored_in_key_value_service_is_overwritten(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # The platform restores its key-value service from an older copy. Without a
    # check, services would return to profiles that were replaced hours ago.
    fleet = Fleet(4)
    async with trio.open_nursery() as nursery:
        for host in fleet.hosts:
            nursery.start_soon(host.run)
        await fleet.hosts[0].publish_profile(make_profile("a"), 0, ANA)
        older_entries = dict(fleet.key_value.entries)
        await fleet.hosts[0].publish_profile(make_profile("a", 0.2), 1, ANA)
        await trio.sleep(2)
        for key, entry in older_entries.items():
            fleet.key_value.write(key, entry.value)
        await trio.sleep(10)
        assert fleet.list_revisions() == [2] * 4
        for host in fleet.hosts:
            assert host.current().profiles["a"].targets.first_token == 0.2
        head = json.loads(fleet.key_value.entries[HEAD_KEY].value)
        assert head["revision"] == 2
        nursery.cancel_scope.cancel()


async def test_host_started_during_outage_pulls_from_peers(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # A host is replaced while the key-value service is down. If it did not pull
    # from peers, it would know no service and reject all its callers.
    fleet = Fleet(4)
    async with trio.open_nursery() as nursery:
        for host in fleet.hosts[:3]:
            nursery.start_soon(host.run)
        await fleet.hosts[0].publish_profile(make_profile("a"), 0, ANA)
        await trio.sleep(1)
        fleet.key_value.is_down = True
        assert fleet.hosts[3].check_fresh() is not None
        nursery.start_soon(fleet.hosts[3].run)
        await trio.sleep(5)
        assert fleet.list_revisions() == [1] * 4
        assert fleet.hosts[3].check_fresh() is None
        nursery.cancel_scope.cancel()


async def test_partitioned_host_stops_admitting_and_rejects_changes(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # A host loses its peers and the key-value service, but callers still reach
    # it. It must not serve them under a profile that was replaced elsewhere.
    fleet = Fleet(4)
    await fleet.hosts[0].publish_profile(make_profile("a"), 0, ANA)
    partitioned_host, membership = fleet.hosts[0], fleet.memberships[0]
    assert partitioned_host.check_fresh() is None
    for number in range(1, 4):
        dead = dataclasses.replace(make_member(number), state=MemberState.DEAD)
        membership.update_member(dead)
    await trio.sleep(9)
    failure = partitioned_host.check_fresh()
    assert failure is not None
    assert failure.code is ResultCode.CONFIGURATION_STALE
    result = await partitioned_host.publish_profile(make_profile("a", 0.1), 1, ANA)
    assert isinstance(result, Failure)
    assert result.code is ResultCode.CONFIGURATION_STALE


async def test_unknown_profile_and_retiring_used_profile_are_rejected(
    autojump_clock: trio.testing.MockClock,
) -> None:
    fleet = Fleet(3)
    host = fleet.hosts[0]
    unknown = await host.publish_service(make_service("b"), 0, ANA)
    assert isinstance(unknown, Failure)
    assert unknown.code is ResultCode.MALFORMED_PROFILE
    await host.publish_profile(make_profile("a"), 0, ANA)
    assert await host.publish_service(make_service("a"), 0, ANA) == 2
    in_use = await host.retire_profile(ProfileName("a"), 1, ANA)
    assert isinstance(in_use, Failure)
    assert in_use.code is ResultCode.PROFILE_IN_USE


async def test_unknown_fields_of_newer_release_are_ignored(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # During a rolling upgrade, a newer release publishes a profile with fields
    # that this release lacks. If hosts dropped the profile, its services would
    # stop here.
    fleet = Fleet(3)
    await fleet.hosts[0].publish_profile(make_profile("a"), 0, ANA)
    location = json.loads(fleet.key_value.entries[HEAD_KEY].value)["objects"][
        "profile/a"
    ]
    profile = json.loads(fleet.key_value.entries[location["key"]].value)
    profile["carbon"] = {"limit": 3}
    profile["targets"]["jitter"] = 1
    fleet.key_value.write(location["key"], json.dumps(profile).encode())
    late_fleet = Fleet(3, fleet.key_value)
    async with trio.open_nursery() as nursery:
        for host in late_fleet.hosts:
            nursery.start_soon(host.run)
        await trio.sleep(2)
        assert late_fleet.hosts[0].current().profiles["a"].targets.first_token == 0.4
        nursery.cancel_scope.cancel()


async def test_read_back_returns_own_revision_after_later_change(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # The answer to a first operator's change is lost. Before the head is read
    # back, a second operator revises the profile. If the second revision were
    # returned to the first operator, the first could overwrite the second change
    # without a conflict, and the host would serve the first values under the
    # second revision.
    fleet = Fleet(2)
    fleet.key_value.answers_to_lose = 2
    results: list[int | Failure] = []

    async def publish() -> None:
        results.append(await fleet.hosts[0].publish_profile(make_profile("a"), 0, ANA))

    async with trio.open_nursery() as nursery:
        for host in fleet.hosts:
            nursery.start_soon(host.run)
        nursery.start_soon(publish)
        await trio.sleep(0.3)
        later_revision = await fleet.hosts[1].publish_profile(
            make_profile("a", 0.2), 1, OperatorName("berta")
        )
        await trio.sleep(2)
        assert (results, later_revision) == ([1], 2)
        for host in fleet.hosts:
            assert host.current().versions == {"profile/a": 2}
            assert host.current().profiles["a"].targets.first_token == 0.2
        nursery.cancel_scope.cancel()


class LossyObjects(MemoryKeyValue):
    """A key-value service that returns no objects until a time."""

    def __init__(self) -> None:
        super().__init__()
        self.lossy_until = 0.0

    async def get(self, key: str) -> Entry | Failure:
        if "/objects/" in key and trio.current_time() < self.lossy_until:
            await trio.lowlevel.checkpoint()
            return Failure(ResultCode.KEY_VALUE_DOWN, "down")
        return await super().get(key)


async def test_revision_whose_objects_could_not_be_read_is_read_again(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a watch without a change that confirms a replaced revision."""
    store = LossyObjects()
    fleet = Fleet(2, store)
    fleet.peers[1].is_partitioned = True
    for membership in fleet.memberships:
        membership.linked_fakes = []
    await fleet.hosts[1].publish_profile(make_profile("a"), 0, ANA)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.hosts[0].run)
        await trio.sleep(2)
        assert fleet.hosts[0].current().revision == 1
        store.lossy_until = trio.current_time() + 0.1
        await fleet.hosts[1].publish_profile(make_profile("a", 0.2), 1, ANA)
        await trio.sleep(10)
        assert fleet.hosts[0].current().revision == 2
        nursery.cancel_scope.cancel()


async def test_confirmation_that_is_no_revision_confirms_nothing(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an empty rumor that counts as a confirmation of any revision."""
    fleet = Fleet(1)
    [host], [membership] = fleet.hosts, fleet.memberships
    for number, payload in enumerate((b"", b"\x00", b"\x00" * 9), 1):
        membership.spread(Rumor(CONFIRMED_RUMOR, "head", number, payload))
    assert host._freshness.confirmed_at == float("-inf")
    membership.spread(Rumor(CONFIRMED_RUMOR, "head", 9, bytes(8)))
    assert host._freshness.confirmed_at == trio.current_time()
