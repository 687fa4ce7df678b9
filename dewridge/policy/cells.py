"""Assigns entry hosts to cells, so that usage reports stay cheap in a large fleet.

A cell holds about sqrt(n) of the fleet's n hosts, all in one failure domain. A host
sends its own totals to its cell peers, and the sums of its cell to one host of each
other cell. Every host thus has the sums of all cells after two messages, and sends
about 2 * sqrt(n) messages per round instead of n. No host is a dedicated collector, so
that the crash of any host loses only its own report.
"""

import math
from collections import defaultdict
from collections.abc import Mapping
from typing import NewType

import xxhash

from dewridge.ids import FailureDomain, HostId

CellName = NewType("CellName", str)

MAX_SINGLE_CELL_HOSTS = 16
"""Hosts up to which the fleet is a single cell, in which every host sends to all
others: one message to each is then cheaper than two steps of about eight messages, and
updates are half as old."""

Cells = Mapping[CellName, list[HostId]]


def assign_cells(hosts: Mapping[HostId, FailureDomain]) -> Cells:
    """Assign hosts to cells; all hosts get the same result without coordination.

    A host's cell follows from the hash of its id, so that a host that joins or leaves
    moves no other host, except where the number of cells itself changes.
    """
    if len(hosts) <= MAX_SINGLE_CELL_HOSTS:
        return {CellName("all"): sorted(hosts)}
    by_domain: dict[FailureDomain, list[HostId]] = defaultdict(list)
    for host in sorted(hosts):
        by_domain[hosts[host]].append(host)
    cells: dict[CellName, list[HostId]] = defaultdict(list)
    for domain, members in by_domain.items():
        cell_count = max(1, round(len(members) / math.sqrt(len(hosts))))
        for host in members:
            index = xxhash.xxh3_64_intdigest(host.encode()) % cell_count
            cells[CellName(f"{domain}/{index}-{cell_count}")].append(host)
    return dict(cells)


def find_cell(cells: Cells, host: HostId) -> CellName | None:
    """Return a host's cell, or None if it is in none."""
    return next((name for name, members in cells.items() if host in members), None)


def list_receivers(cells: Cells, sender: HostId, round_number: int) -> list[HostId]:
    """Return the hosts of other cells to which a host sends its cell's sums.

    In each round, every host of another cell gets the sums from a member of this cell.
    Two members alternate between rounds: if one of them crashes, the report of the
    other still arrives every second round.

    Args:
        cells: all cells.
        sender: the host that sends.
        round_number: number of the round.
    """
    own_cell = find_cell(cells, sender)
    if own_cell is None:
        return []
    members = cells[own_cell]
    rank = members.index(sender)
    shift = round_number % 2 if len(members) > 1 else 0
    receivers = []
    for name, others in cells.items():
        if name == own_cell:
            continue
        for position in range(max(len(members), len(others))):
            if (position + shift) % len(members) == rank:
                receivers.append(others[position % len(others)])
    return receivers
