"""Members find out about each other through losses, cuts and pauses."""

from functools import partial

import trio

from dewridge.ids import HostId
from dewridge.membership.buckets import BUCKET_COUNT
from dewridge.membership.model import FENCED_RUMOR, MemberState, Rumor
from dewridge.peers.model import Message, PeerIdentity
from dewridge.peers.wire import ttypes
from dewridge.tests.membership.networks import Group, run_group


def note_version(versions: list[int], rumor: Rumor) -> None:
    versions.append(rumor.version)


def states(group: Group, host: str) -> set[MemberState]:
    """Return what the other members believe of a host."""
    found = [s.find(HostId(host)) for h, s in group.services.items() if h != host]
    return {member.state for member in found if member is not None}


def test_the_rest_agrees_after_a_third_vanishes() -> None:
    # A failure domain is lost with all hosts in it. Callers whose requests had
    # copies there wait until the others know, and nobody else may be given up.
    async def scenario(group: Group) -> None:
        lost = set(range(2, 36, 3))
        for number in lost:
            group.kill(number)
        await group.wait(lambda: group.agrees(set(range(36)) - lost), 25)
        await trio.sleep(20)
        assert group.agrees(set(range(36)) - lost)
        assert not group.fenced

    run_group(36, scenario)


def test_both_sides_of_a_cut_meet_again_without_losing_anyone() -> None:
    # A link between regions fails for a while and each half gives up the other.
    # When it heals, all must meet again within seconds, and no host may be told
    # to start anew: together they hold requests that nobody else has.
    async def scenario(group: Group) -> None:
        def side(address: str) -> bool:
            return int(address.split(".")[3].split(":", maxsplit=1)[0]) < 6

        group.network.passes = lambda a, b: side(a) == side(b)
        await group.wait(lambda: states(group, "host-11") >= {MemberState.DEAD}, 30)
        await trio.sleep(60)
        rumor = Rumor("configuration", "head", 7, b"seven")
        group.services["host-0"].spread(rumor)
        heard: list[Rumor] = []
        group.services["host-11"].subscribe_rumors("configuration", heard.append)
        await trio.sleep(5)
        assert not heard
        group.network.passes = lambda a, b: True
        await group.wait(lambda: group.agrees(set(range(12))), 30)
        await group.wait(lambda: heard == [rumor], 15)
        assert not group.fenced
        gone = [
            change
            for changes in group.changes.values()
            for change in changes[-3:]
            if change.state is MemberState.DEAD
        ]
        assert not gone

    run_group(12, scenario)


def test_a_host_that_stood_still_gives_way() -> None:
    # A process is paused for longer than a suspect may be, and others took over
    # what it held. On waking it must learn so and end, and not act any more.
    async def scenario(group: Group) -> None:
        group.network.stopped.add("10.0.0.5:1")
        await group.wait(lambda: states(group, "host-5") == {MemberState.DEAD}, 15)
        group.network.stopped.clear()
        await group.wait(lambda: group.fenced == ["host-5"], 30)
        await trio.sleep(5)
        assert states(group, "host-5") == {MemberState.DEAD}
        group.kill(5)
        group.start(5, incarnation=2)
        await group.wait(lambda: group.agrees(set(range(9))), 10)

    run_group(9, scenario)


def test_a_false_suspicion_is_refuted() -> None:
    # One host's link to another fails, and for a moment nobody relays. The host
    # it suspects is well; it must be back in use before it is given up.
    async def scenario(group: Group) -> None:
        accuser = group.services["host-1"]
        victim = accuser.find(HostId("host-4"))
        assert victim is not None
        accuser._state.handle_changes(
            accuser._table.suspect(victim, trio.current_time())
        )
        assert MemberState.SUSPECT in states(group, "host-4")
        await group.wait(lambda: states(group, "host-4") == {MemberState.ALIVE}, 2)
        assert group.services["host-4"].local_member.refutation == 1
        await trio.sleep(10)
        assert states(group, "host-4") == {MemberState.ALIVE}

    run_group(8, scenario)


def test_a_slow_host_does_not_take_all_others_for_dead() -> None:
    # A neighbour takes one host's processor, or its link loses nearly all. To it,
    # all others look silent. They are fine and must stay in use everywhere.
    async def scenario(group: Group) -> None:
        slow = "10.0.0.3:1"
        group.network.passes = lambda a, b: slow not in (a, b)
        await trio.sleep(3)
        group.network.passes = lambda a, b: True
        await trio.sleep(10)
        for changes in (group.changes[f"host-{n}"] for n in range(8)):
            dead = {c.host for c in changes if c.state is MemberState.DEAD}
            assert dead <= {"host-3"}

    run_group(8, scenario)


def test_a_relay_vouches_for_a_member_behind_a_broken_link() -> None:
    # Two hosts can't reach each other while all others reach both. Giving one up
    # would take a healthy host out of use.
    async def scenario(group: Group) -> None:
        pair = {"10.0.0.2:1", "10.0.0.6:1"}
        group.network.passes = lambda a, b: {a, b} != pair
        await trio.sleep(30)
        changes = [c for found in group.changes.values() for c in found]
        assert {c.state for c in changes} == {MemberState.ALIVE}

    run_group(8, scenario)


def test_a_new_incarnation_replaces_the_old_one() -> None:
    # A host's process dies and is started again at once, before anyone noticed.
    # Others must hear that the old one ended, for its work is lost.
    async def scenario(group: Group) -> None:
        group.kill(6)
        group.start(6, incarnation=2)
        host_6 = HostId("host-6")

        def is_replaced() -> bool:
            known = [service.find(host_6) for service in group.services.values()]
            return {member.incarnation for member in known if member} == {2}

        await group.wait(is_replaced, 10)
        assert group.agrees(set(range(8)))
        for host in group.services:
            seen = [
                (c.incarnation, c.state)
                for c in group.changes[host]
                if c.host == "host-6"
            ]
            if host != "host-6":
                assert seen[-2:] == [(1, MemberState.DEAD), (2, MemberState.ALIVE)]

    run_group(8, scenario)


def test_a_fenced_incarnation_stays_dead() -> None:
    # A replica fenced a host before it took over its claimed calls. The host is
    # only slow; however it refutes, it must be refused everywhere and end.
    async def scenario(group: Group) -> None:
        group.services["host-1"].spread(Rumor(FENCED_RUMOR, "host-4", 1, b""))
        await group.wait(lambda: group.fenced == ["host-4"], 5)
        await group.wait(lambda: states(group, "host-4") == {MemberState.DEAD}, 5)
        await trio.sleep(20)
        assert states(group, "host-4") == {MemberState.DEAD}
        assert group.fenced == ["host-4"]

    run_group(8, scenario)


def test_a_leaving_host_is_known_everywhere_at_once() -> None:
    # The cloud reclaims a host in two seconds. Whoever gives it a request or a
    # copy after that loses it.
    async def scenario(group: Group) -> None:
        await trio.sleep(10)  # the allowance for urgent news was used up by the start
        await group.services["host-7"].leave()
        await group.wait(lambda: states(group, "host-7") == {MemberState.LEAVING}, 2)
        assert not group.services["host-7"].local_member.accepts_work

    run_group(24, scenario)


def test_a_rumor_reaches_all_and_only_the_newest_version_counts() -> None:
    # Two revisions follow each other while the first is still on its way, and a
    # host that hears them in the wrong order must not go back.
    async def scenario(group: Group) -> None:
        heard: dict[str, list[int]] = {}
        for host, service in group.services.items():
            heard[host] = []
            service.subscribe_rumors("c", partial(note_version, heard[host]))
        group.services["host-0"].spread(Rumor("c", "x", 1, b"one"))
        await trio.sleep(0.1)
        group.services["host-9"].spread(Rumor("c", "x", 2, b"two"))
        await group.wait(lambda: all(v[-1:] == [2] for v in heard.values()), 5)
        group.services["host-3"].spread(Rumor("c", "x", 1, b"one"))
        await trio.sleep(10)
        assert all(v in ([2], [1, 2]) for v in heard.values())

    run_group(30, scenario)


def test_a_late_host_catches_up_on_rumors_that_nobody_tells_any_more() -> None:
    # A host starts long after a server was announced as leaving, and another one
    # missed the news behind a cut. Neither may send work there.
    async def scenario(group: Group) -> None:
        cut = "10.0.0.2:1"
        group.network.passes = lambda a, b: cut not in (a, b)
        group.services["host-0"].spread(Rumor("server", "s1", 1, b"leaving"))
        await trio.sleep(1)
        group.network.passes = lambda a, b: True
        newest = group.start(8)
        heard: list[Rumor] = []
        for service in (newest, group.services["host-2"]):
            service.subscribe_rumors("server", heard.append)
        await group.wait(lambda: len(heard) == 2, 20)

    run_group(8, scenario)


def test_a_peer_with_a_fault_does_not_stop_the_membership() -> None:
    # A release with a fault leaves out fields, or sends states and versions that
    # make no sense. Probes must go on, and nobody be lost by it.
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
