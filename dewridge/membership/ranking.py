"""Rendezvous hashing: which members a subject falls to, without an election."""

from collections.abc import Iterable

import xxhash

from dewridge.ids import RequestId
from dewridge.membership.model import Member, MembershipView


def rank_members(subject: str, members: Iterable[Member]) -> list[Member]:
    """Order members for a subject, first the one that it falls to.

    Each host draws its own score for the subject, so a host that comes or goes
    moves only the subjects that fall to it.
    """
    return sorted(members, key=lambda member: _score(subject, member), reverse=True)


def _score(subject: str, member: Member) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{subject}|{member.host}".encode()), member.host


def make_preference_list(request: RequestId, members: Iterable[Member]) -> list[Member]:
    """Order the members that may hold a request: one a failure domain.

    Of each failure domain it takes the host ranked first, so that the loss of
    a failure domain costs at most one copy.
    """
    home: list[Member] = []
    domains = set()
    for member in rank_members(request, (m for m in members if m.accepts_work)):
        if member.failure_domain not in domains:
            domains.add(member.failure_domain)
            home.append(member)
    return home


def choose_replicas(
    request: RequestId, owner: Member, members: Iterable[Member], count: int
) -> list[Member]:
    """Choose the hosts that keep copies of an owner's request.

    The first `count + 1` members of the home without the owner's failure
    domain, cut to `count`: any two owners of one request share a replica, so
    a second owner learns of the first before it accepts. With fewer failure
    domains than that, other hosts of any failure domain fill the places.
    """
    known = list(members)
    home = [m for m in make_preference_list(request, known) if m.host != owner.host]
    chosen = [m for m in home if m.failure_domain != owner.failure_domain][:count]
    spare = [m for m in rank_members(request, known) if m.accepts_work]
    for member in spare:
        if len(chosen) >= count:
            break
        if member.host != owner.host and member not in chosen:
            chosen.append(member)
    return chosen


def has_duty(duty: str, view: MembershipView, holders: int = 1) -> bool:
    """Whether this host is among the first `holders` members for a duty.

    Views of the membership differ for a while, so two hosts may both say yes;
    a duty must be harmless when carried out twice.
    """
    live = [member for member in view.members() if member.accepts_work]
    first = rank_members(duty, live)[:holders]
    return any(member.host == view.local_member.host for member in first)
