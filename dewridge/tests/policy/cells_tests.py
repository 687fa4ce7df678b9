"""Tests cells: reports reach every host, at a cost that grows slowly with the fleet."""

from collections import defaultdict

import pytest

from dewridge.ids import FailureDomain, HostId
from dewridge.policy.cells import Cells, assign_cells, find_cell, list_receivers


def make_hosts(count: int, domains: int) -> dict[HostId, FailureDomain]:
    """Return hosts spread over failure domains."""
    return {
        HostId(f"host-{number}"): FailureDomain(f"domain-{number % domains}")
        for number in range(count)
    }


def list_received_cells(cells: Cells, number: int) -> dict[HostId, set[str]]:
    """Return the cells whose sums each host receives in a round."""
    received: dict[HostId, set[str]] = defaultdict(set)
    for name, members in cells.items():
        for member in members:
            for host in list_receivers(cells, member, number):
                received[host].add(name)
    return received


def test_a_small_fleet_is_one_cell() -> None:
    cells = assign_cells(make_hosts(9, 4))
    assert len(cells) == 1
    assert list_receivers(cells, HostId("host-0"), 1) == []


@pytest.mark.parametrize(("count", "domains"), [(17, 1), (70, 5), (85, 4), (440, 7)])
def test_every_host_receives_the_sums_of_every_other_cell_each_round(
    count: int, domains: int
) -> None:
    cells = assign_cells(make_hosts(count, domains))
    for number in (1, 2):
        received = list_received_cells(cells, number)
        for host in make_hosts(count, domains):
            assert received[host] == set(cells) - {find_cell(cells, host)}


def test_another_member_sends_in_the_next_round() -> None:
    """Guards against receivers that depend on a single member of a cell.

    If this member crashed, they would count the full cell as silent until the crash is
    detected, and limit accounts to a smaller share of their quotas.
    """
    cells = assign_cells(make_hosts(85, 4))
    host = HostId("host-3")
    for name, members in cells.items():
        if host in members or len(members) < 2:
            continue
        senders = [
            {
                member
                for member in members
                if host in list_receivers(cells, member, number)
            }
            for number in (1, 2)
        ]
        assert senders[0] != senders[1], name


@pytest.mark.parametrize(("count", "most"), [(85, 30), (440, 70)])
def test_messages_per_round_grow_with_the_square_root_of_the_fleet(
    count: int, most: int
) -> None:
    cells = assign_cells(make_hosts(count, 4))
    for host in make_hosts(count, 4):
        cell = find_cell(cells, host)
        assert cell is not None
        messages = len(cells[cell]) - 1 + len(list_receivers(cells, host, 1))
        assert messages <= most


def test_a_departed_host_does_not_move_the_others() -> None:
    hosts = make_hosts(85, 4)
    before = assign_cells(hosts)
    del hosts[HostId("host-11")]
    after = assign_cells(hosts)
    assert all(find_cell(before, host) == find_cell(after, host) for host in hosts)
