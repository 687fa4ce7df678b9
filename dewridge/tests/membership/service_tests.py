"""Tests of the membership under crashes, partitions and pauses."""

from functools import partial

import trio

from dewridge.ids import HostId
from dewridge.membership.buckets import BUCKET_COUNT
from dewridge.membership.model import FENCED_RUMOR, MemberState, Rumor
from dewridge.peers.model import Message, PeerIdentity
from dewridge.peers.wire import ttypes
from dewridge.tests.membership.networks import Group, run_group


def record_version(versions: list[int], rumor: Rumor) -> None:
    versions.append(rumor.version)


def list_states(group: Group, host: str) -> set[MemberState]:
    """Return the states that the other members have for a host."""
    found = [s.find(HostId(host)) for h, s in group.services.items() if h != host]
    return {member.state for member in found if member is not None}


def test_members_converge_after_failure_domain_crashes() -> None:
    # All hosts of a failure domain crash. Callers whose requests had replicas there
    # wait until the other hosts detect it, and no other host may be terminated.
    async def scenario(group: Group) -> None:
        lost = set(range(2, 36, 3))
        for number in lost:
            group.crash(number)
        await group.wait(lambda: group.has_converged(set(range(36)) - lost), 25)
        await trio.sleep(20)
        assert group.has_converged(set(range(36)) - lost)
        assert not group.fenced

    run_group(36, scenario)


def test_partition_heals_without_losing_members() -> None:
    # A link between regions fails for a while, and each half declares the other
    # dead. When the link is restored, the halves must merge within seconds, and no
    # host may be terminated: together they hold requests that no other host has.
    async def scenario(group: Group) -> None:
        def side(address: str) -> bool:
            return int(address.split(".")[3].split(":", maxsplit=1)[0]) < 6

        group.network.is_link_up = lambda a, b: side(a) == side(b)
        await group.wait(
            lambda: list_states(group, "host-11") >= {MemberState.DEAD}, 30
        )
        await trio.sleep(60)
        rumor = Rumor("configuration", "head", 7, b"seven")
        group.services["host-0"].spread(rumor)
        received: list[Rumor] = []
        group.services["host-11"].subscribe_rumors("configuration", received.append)
        await trio.sleep(5)
        assert not received
        group.network.is_link_up = lambda a, b: True
        await group.wait(lambda: group.has_converged(set(range(12))), 30)
        await group.wait(lambda: received == [rumor], 15)
        assert not group.fenced
        declared_dead = [
            change
            for changes in group.changes.values()
            for change in changes[-3:]
            if change.state is MemberState.DEAD
        ]
        assert not declared_dead

    run_group(12, scenario)


def test_paused_host_is_terminated() -> None:
    # A process is paused for longer than the suspicion time, and others take over
    # its requests. When it resumes, it must detect that and terminate.
    async def scenario(group: Group) -> None:
        group.network.paused.add("10.0.0.5:1")
        await group.wait(lambda: list_states(group, "host-5") == {MemberState.DEAD}, 15)
        group.network.paused.clear()
        await group.wait(lambda: group.fenced == ["host-5"], 30)
        await trio.sleep(5)
        assert list_states(group, "host-5") == {MemberState.DEAD}
        group.crash(5)
        group.start(5, incarnation=2)
        await group.wait(lambda: group.has_converged(set(range(9))), 10)

    run_group(9, scenario)


def test_false_suspicion_is_refuted() -> None:
    # One host's link to another fails, and for a moment no relay answers. The
    # suspected host is healthy and must be alive again before it is declared dead.
    async def scenario(group: Group) -> None:
        service = group.services["host-1"]
        suspect = service.find(HostId("host-4"))
        assert suspect is not None
        service._state.handle_changes(
            service._table.suspect(suspect, trio.current_time())
        )
        assert MemberState.SUSPECT in list_states(group, "host-4")
        await group.wait(lambda: list_states(group, "host-4") == {MemberState.ALIVE}, 2)
        assert group.services["host-4"].local_member.refutation == 1
        await trio.sleep(10)
        assert list_states(group, "host-4") == {MemberState.ALIVE}

    run_group(8, scenario)


def test_slow_host_does_not_declare_others_dead() -> None:
    # Another process takes one host's CPU time, or its link loses nearly all data,
    # so that all others seem silent to it. They are healthy, and no host may
    # declare them dead.
    async def scenario(group: Group) -> None:
        slow = "10.0.0.3:1"
        group.network.is_link_up = lambda a, b: slow not in (a, b)
        await trio.sleep(3)
        group.network.is_link_up = lambda a, b: True
        await trio.sleep(10)
        for changes in (group.changes[f"host-{n}"] for n in range(8)):
            dead = {c.host for c in changes if c.state is MemberState.DEAD}
            assert dead <= {"host-3"}

    run_group(8, scenario)


def test_relay_reaches_member_behind_broken_link() -> None:
    # Two hosts can't reach each other while all others reach both. Without relays,
    # they would declare each other dead although both are healthy.
    async def scenario(group: Group) -> None:
        pair = {"10.0.0.2:1", "10.0.0.6:1"}
        group.network.is_link_up = lambda a, b: {a, b} != pair
        await trio.sleep(30)
        changes = [c for found in group.changes.values() for c in found]
        assert {c.state for c in changes} == {MemberState.ALIVE}

    run_group(8, scenario)


def test_new_incarnation_replaces_old_one() -> None:
    # A host's process crashes and is restarted before any member detects it. The
    # listeners must be notified that the old incarnation is dead, because the
    # requests it held are lost.
    async def scenario(group: Group) -> None:
        group.crash(6)
        group.start(6, incarnation=2)
        host_6 = HostId("host-6")

        def is_replaced() -> bool:
            known = [service.find(host_6) for service in group.services.values()]
            return {member.incarnation for member in known if member} == {2}

        await group.wait(is_replaced, 10)
        assert group.has_converged(set(range(8)))
        for host in group.services:
            seen = [
                (c.incarnation, c.state)
                for c in group.changes[host]
                if c.host == "host-6"
            ]
            if host != "host-6":
                assert seen[-2:] == [(1, MemberState.DEAD), (2, MemberState.ALIVE)]

    run_group(8, scenario)


def test_fenced_incarnation_stays_dead() -> None:
    # A replica fenced a host before it took over its claimed calls. The host is
    # only slow; although it refutes, all must reject it and it must terminate.
    async def scenario(group: Group) -> None:
        group.services["host-1"].spread(Rumor(FENCED_RUMOR, "host-4", 1, b""))
        await group.wait(lambda: group.fenced == ["host-4"], 5)
        await group.wait(lambda: list_states(group, "host-4") == {MemberState.DEAD}, 5)
        await trio.sleep(20)
        assert list_states(group, "host-4") == {MemberState.DEAD}
        assert group.fenced == ["host-4"]

    run_group(8, scenario)


def test_leaving_host_is_known_everywhere_at_once() -> None:
    # The cloud reclaims a host in two seconds. A request or replica that is given
    # to it after that is lost.
    async def scenario(group: Group) -> None:
        await trio.sleep(10)  # the start used up the burst of urgent contacts
        await group.services["host-7"].leave()
        await group.wait(
            lambda: list_states(group, "host-7") == {MemberState.LEAVING}, 2
        )
        assert not group.services["host-7"].local_member.accepts_work

    run_group(24, scenario)


def test_newest_rumor_version_reaches_all_members() -> None:
    # A second version is sent while the first is still in transit. A host that
    # receives them in the wrong order must not return to the first.
    async def scenario(group: Group) -> None:
        received: dict[str, list[int]] = {}
        for host, service in group.services.items():
            received[host] = []
            service.subscribe_rumors("c", partial(record_version, received[host]))
        group.services["host-0"].spread(Rumor("c", "x", 1, b"one"))
        await trio.sleep(0.1)
        group.services["host-9"].spread(Rumor("c", "x", 2, b"two"))
        await group.wait(lambda: all(v[-1:] == [2] for v in received.values()), 5)
        group.services["host-3"].spread(Rumor("c", "x", 1, b"one"))
        await trio.sleep(10)
        assert all(v in ([2], [1, 2]) for v in received.values())

    run_group(30, scenario)


def test_late_host_gets_rumors_no_longer_sent() -> None:
    # A host starts long after a server announced its departure, and another host
    # missed that update because it was partitioned. Both must still get it, so that
    # they send the server no work.
    async def scenario(group: Group) -> None:
        partitioned = "10.0.0.2:1"
        group.network.is_link_up = lambda a, b: partitioned not in (a, b)
        group.services["host-0"].spread(Rumor("server", "s1", 1, b"leaving"))
        await trio.sleep(1)
        group.network.is_link_up = lambda a, b: True
        new_host = group.start(8)
        received: list[Rumor] = []
        for service in (new_host, group.services["host-2"]):
            service.subscribe_rumors("server", received.append)
        await group.wait(lambda: len(received) == 2, 20)

    run_group(8, scenario)


def test_malformed_messages_do_not_stop_membership() -> None:
    # A faulty release omits fields, or sends invalid states and versions. Probes
    # must continue, and no healthy host may be declared dead because of it.
    async def scenario(group: Group) -> None:
        faulty = group.network.peers["10.0.0.3:1"]
        record = ttypes.MemberRecord(host="host-1", incarnation=1, state=99)
        replies = {
            ttypes.Probe: ttypes.ProbeReply(members=[record], rumors=[ttypes.Rumor()]),
            ttypes.Join: ttypes.JoinReply(members=[ttypes.MemberRecord()]),
            ttypes.RelayProbe: ttypes.RelayProbeReply(),
            ttypes.CompareState: ttypes.CompareStateReply(
                differing=[-1, 99, *range(BUCKET_COUNT)],
                members=[ttypes.MemberVersion(host="host-1")],
                rumors=[ttypes.RumorVersion(kind="k", subject="s")],
            ),
            ttypes.ExchangeState: ttypes.ExchangeStateReply(rumors=[ttypes.Rumor()]),
        }

        async def answer(peer: PeerIdentity, message: Message) -> Message:
            return replies[type(message)]

        for kind in replies:
            faulty.handle(kind, answer)
        group.services["host-0"].spread(Rumor("k", "s", 1, b""))
        await trio.sleep(60)
        alive = {f"host-{n}" for n in range(8)} - {"host-3"}
        for host in alive:
            members = group.services[host].members()
            assert alive <= {m.host for m in members if m.accepts_work}

    run_group(8, scenario)
