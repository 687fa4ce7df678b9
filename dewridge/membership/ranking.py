"""Rendezvous hashing: assigns subjects to members without an election."""

from collections.abc import Iterable

import xxhash

from dewridge.ids import RequestId
from dewridge.membership.model import Member, MembershipView


def rank_members(subject: str, members: Iterable[Member]) -> list[Member]:
    """Order members by their score for a subject, highest first.

    Each host has its own hash as score for a subject, so a host that joins or
    leaves only changes the assignment of the subjects that rank it first.
    """
    return sorted(members, key=lambda member: _score(subject, member), reverse=True)


def _score(subject: str, member: Member) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{subject}|{member.host}".encode()), member.host


def make_preference_list(request: RequestId, members: Iterable[Member]) -> list[Member]:
    """Return the ranked members that may hold a request, one per failure domain.

    Of each failure domain, only the host ranked first is included, so that the
    loss of a failure domain costs at most one replica.
    """
    preference_list: list[Member] = []
    domains = set()
    for member in rank_members(request, (m for m in members if m.accepts_work)):
        if member.failure_domain not in domains:
            domains.add(member.failure_domain)
            preference_list.append(member)
    return preference_list


def choose_replicas(
    request: RequestId, owner: Member, members: Iterable[Member], count: int
) -> list[Member]:
    """Choose the hosts that hold replicas of an owner's request.

    These are the first `count` members of the preference list outside the owner's
    failure domain, so they are always among the first `count + 1` of the full list.
    Any two owners of one request therefore share a replica, and a second owner
    learns of the first one before it accepts the request. If there are too few
    failure domains, other hosts of any failure domain are added.
    """
    known = list(members)
    others = [m for m in make_preference_list(request, known) if m.host != owner.host]
    chosen = [m for m in others if m.failure_domain != owner.failure_domain][:count]
    spare = [m for m in rank_members(request, known) if m.accepts_work]
    for member in spare:
        if len(chosen) >= count:
            break
        if member.host != owner.host and member not in chosen:
            chosen.append(member)
    return chosen


def has_duty(duty: str, view: MembershipView, holders: int = 1) -> bool:
    """Return whether this host is among the first `holders` members for a duty.

    Views of the membership may differ for a while, so more than `holders` hosts
    may carry out the duty. It must therefore be harmless if carried out twice.
    """
    live = [member for member in view.members() if member.accepts_work]
    first = rank_members(duty, live)[:holders]
    return any(member.host == view.local_member.host for member in first)
