"""Changes of the configuration: accepted once, never lost, never undone."""

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
from dewridge.configuration.service import ConfigurationService
from dewridge.ids import OperationName, OperatorName, ProfileName, ServiceName
from dewridge.membership.model import MemberState
from dewridge.metrics.registry import Metrics
from dewridge.peers.model import Handler, PeerIdentity
from dewridge.sentinels import Failure
from dewridge.settings.schema import PlatformSettings
from dewridge.tests.fakes import FakeMembership, MemoryKeyValue, make_member

ANA = OperatorName("ana")
HEAD = "dewridge/configuration/head"


class DirectPeers:
    """Peers that call each other's handlers in memory."""

    def __init__(self, network: dict[str, "DirectPeers"], address: str) -> None:
        self.handlers: dict[type, Handler] = {}
        self.is_cut = False
        self._network = network
        network[address] = self

    def handle(self, kind: type, handler: Handler) -> None:
        self.handlers[kind] = handler

    def send(self, address: str, message: object) -> Failure | None:
        return None

    async def call(self, address: str, message: object, timeout: float) -> object:
        await trio.lowlevel.checkpoint()
        other = self._network[address]
        if self.is_cut or other.is_cut:
            return Failure(ResultCode.PEER_UNREACHABLE)
        me = PeerIdentity(make_member(0).host, make_member(0).incarnation, "d")  # type: ignore[arg-type]
        return await other.handlers[type(message)](me, message)


class Fleet:
    """Some entry hosts' configuration services over one key-value service."""

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

    def revisions(self) -> list[int]:
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


async def test_a_change_is_in_force_on_every_host(
    autojump_clock: trio.testing.MockClock,
) -> None:
    fleet = Fleet(8)
    async with trio.open_nursery() as nursery:
        for host in fleet.hosts:
            nursery.start_soon(host.run)
        revision = await fleet.hosts[0].publish_profile(make_profile("a"), 0, ANA)
        assert revision == 1
        await trio.sleep(2)
        assert fleet.revisions() == [1] * 8
        nursery.cancel_scope.cancel()


async def test_of_two_operators_at_once_one_is_told_of_a_conflict(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # Two operators revise one profile from the same revision, through two hosts.
    # If both were told "accepted", one of the changes would be gone unnoticed.
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
    refused = [r for r in results if isinstance(r, Failure)]
    assert accepted == [2]
    assert [r.code for r in refused] == [ResultCode.REVISION_CONFLICT]


async def test_a_lost_answer_is_read_back_before_the_operator_is_told(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # The key-value service takes the writes while their answers are lost. An
    # operator who is told "failed" would publish again, or believe that the old
    # profile is still in force.
    fleet = Fleet(3)
    fleet.key_value.answers_to_lose = 2
    assert await fleet.hosts[0].publish_profile(make_profile("a"), 0, ANA) == 1
    head = json.loads(fleet.key_value.entries[HEAD].value)
    assert [change["revision"] for change in head["recent"]] == [1]


async def test_a_write_lost_before_it_took_effect_is_repeated(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # Here the write itself is lost and nobody can tell that from a lost answer.
    fleet = Fleet(3)
    fleet.key_value.writes_to_lose = 2
    assert await fleet.hosts[0].publish_profile(make_profile("a"), 0, ANA) == 1


async def test_an_older_value_restored_in_the_key_value_service_changes_nothing(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # The platform restores its key-value service from an older copy. Services
    # would fall back to profiles that operators had replaced hours ago.
    fleet = Fleet(4)
    async with trio.open_nursery() as nursery:
        for host in fleet.hosts:
            nursery.start_soon(host.run)
        await fleet.hosts[0].publish_profile(make_profile("a"), 0, ANA)
        older = dict(fleet.key_value.entries)
        await fleet.hosts[0].publish_profile(make_profile("a", 0.2), 1, ANA)
        await trio.sleep(2)
        for key, entry in older.items():
            fleet.key_value.write(key, entry.value)
        await trio.sleep(10)
        assert fleet.revisions() == [2] * 4
        for host in fleet.hosts:
            assert host.current().profiles["a"].targets.first_token == 0.2
        head = json.loads(fleet.key_value.entries[HEAD].value)
        assert head["revision"] == 2
        nursery.cancel_scope.cancel()


async def test_a_host_restarted_during_an_outage_has_its_peers_revision(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # A host is replaced while the key-value service is down. Without its peers it
    # would know no service and refuse every caller that is sent to it.
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
        assert fleet.revisions() == [1] * 4
        assert fleet.hosts[3].check_fresh() is None
        nursery.cancel_scope.cancel()


async def test_a_host_cut_off_from_all_stops_admitting_and_takes_no_change(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # A host loses its peers and the key-value service, but callers still reach
    # it. It would serve them under a profile that has been replaced elsewhere.
    fleet = Fleet(4)
    await fleet.hosts[0].publish_profile(make_profile("a"), 0, ANA)
    cut, membership = fleet.hosts[0], fleet.memberships[0]
    assert cut.check_fresh() is None
    for number in range(1, 4):
        dead = dataclasses.replace(make_member(number), state=MemberState.DEAD)
        membership.update_member(dead)
    await trio.sleep(9)
    stale = cut.check_fresh()
    assert stale is not None
    assert stale.code is ResultCode.CONFIGURATION_STALE
    refused = await cut.publish_profile(make_profile("a", 0.1), 1, ANA)
    assert isinstance(refused, Failure)
    assert refused.code is ResultCode.CONFIGURATION_STALE


async def test_a_profile_in_use_or_unknown_is_refused(
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


async def test_a_value_of_a_newer_release_is_read_as_far_as_known(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # During a rolling upgrade a newer release publishes a profile with a field
    # that this one lacks. Dropping the profile would stop its services here.
    fleet = Fleet(3)
    await fleet.hosts[0].publish_profile(make_profile("a"), 0, ANA)
    place = json.loads(fleet.key_value.entries[HEAD].value)["objects"]["profile/a"]
    newer = json.loads(fleet.key_value.entries[place["key"]].value)
    newer["carbon"] = {"limit": 3}
    newer["targets"]["jitter"] = 1
    fleet.key_value.write(place["key"], json.dumps(newer).encode())
    late = Fleet(3, fleet.key_value)
    async with trio.open_nursery() as nursery:
        for host in late.hosts:
            nursery.start_soon(host.run)
        await trio.sleep(2)
        assert late.hosts[0].current().profiles["a"].targets.first_token == 0.4
        nursery.cancel_scope.cancel()


async def test_a_late_read_back_does_not_take_anothers_revision_for_its_own(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # The answer to Ana's change is lost. Before she reads back, Berta revises
    # what Ana published. Told Berta's revision as her own, Ana would overwrite
    # Berta's change without a conflict, and her host would serve her values
    # under Berta's revision.
    fleet = Fleet(2)
    fleet.key_value.answers_to_lose = 2
    told: list[int | Failure] = []

    async def publish() -> None:
        told.append(await fleet.hosts[0].publish_profile(make_profile("a"), 0, ANA))

    async with trio.open_nursery() as nursery:
        for host in fleet.hosts:
            nursery.start_soon(host.run)
        nursery.start_soon(publish)
        await trio.sleep(0.3)
        later = await fleet.hosts[1].publish_profile(
            make_profile("a", 0.2), 1, OperatorName("berta")
        )
        await trio.sleep(2)
        assert (told, later) == ([1], 2)
        for host in fleet.hosts:
            assert host.current().versions == {"profile/a": 2}
            assert host.current().profiles["a"].targets.first_token == 0.2
        nursery.cancel_scope.cancel()
