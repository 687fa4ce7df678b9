"""Which entry hosts report to which, at a cost that stays small in a large fleet.

Hosts are dealt into cells of about the square root of their number, each within one
failure domain. A host tells its own totals to its cell, and its cell's sums to one host
of each other cell. So every host has every cell's sums after two messages, while it
sends about two square roots of messages in place of one to each host; nobody is set
aside to collect them, and no host's death leaves more than its own word missing.
"""

import math
from collections import defaultdict
from collections.abc import Mapping
from typing import NewType

import xxhash

from dewridge.ids import FailureDomain, HostId

CellName = NewType("CellName", str)

FLAT_LIMIT = 16
"""Hosts up to which all tell all: one message each is then cheaper than two steps of
some eight, and news is half as old."""

Cells = Mapping[CellName, list[HostId]]


def assign_cells(hosts: Mapping[HostId, FailureDomain]) -> Cells:
    """Deal hosts into cells; every host comes to the same cells without talk.

    A host's cell follows from its name, so that a host that comes or goes changes no
    other's cell, except where the number of cells itself changes.
    """
    if len(hosts) <= FLAT_LIMIT:
        return {CellName("all"): sorted(hosts)}
    by_domain: dict[FailureDomain, list[HostId]] = defaultdict(list)
    for host in sorted(hosts):
        by_domain[hosts[host]].append(host)
    cells: dict[CellName, list[HostId]] = defaultdict(list)
    for domain, members in by_domain.items():
        count = max(1, round(len(members) / math.sqrt(len(hosts))))
        for host in members:
            number = xxhash.xxh3_64_intdigest(host.encode()) % count
            cells[CellName(f"{domain}/{number}-{count}")].append(host)
    return dict(cells)


def find_cell(cells: Cells, host: HostId) -> CellName | None:
    """Return a host's cell; None if it is in none."""
    return next((name for name, members in cells.items() if host in members), None)


def list_receivers(cells: Cells, own: HostId, number: int) -> list[HostId]:
    """Return the hosts of other cells to which a host tells its cell's sums.

    Each host of another cell hears one member a round, and two of them by turns: when
    one of the two dies, the other's word still comes every second round.

    Args:
        cells: all cells.
        own: the host that tells.
        number: of the round.
    """
    cell = find_cell(cells, own)
    if cell is None:
        return []
    members = cells[cell]
    rank = members.index(own)
    turn = number % 2 if len(members) > 1 else 0
    receivers = []
    for name, others in cells.items():
        if name == cell:
            continue
        for place in range(max(len(members), len(others))):
            if (place + turn) % len(members) == rank:
                receivers.append(others[place % len(others)])
    return receivers
