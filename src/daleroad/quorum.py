"""Quorum rules of the replicated log: memberships in force and majorities over them.

Pure functions. While membership changes are uncommitted, each decision needs a majority of the
last committed membership and of every later one.
"""

from collections.abc import Iterable

from daleroad.logtypes import EntryKind, LogEntry, Member

Membership = tuple[Member, ...]


def list_memberships(
    committed: Membership, log: Iterable[LogEntry], commit: int
) -> list[Membership]:
    """Return the last committed membership and all later, uncommitted ones.

    :param committed: the membership before the log's first entry.
    :param log: entries in order.
    :param commit: index of the last committed entry.
    """
    memberships = [committed]
    for entry in log:
        if entry.kind is not EntryKind.MEMBERS:
            continue
        if entry.index <= commit:
            memberships = [entry.members]
        else:
            memberships.append(entry.members)
    return memberships


def is_majority(memberships: Iterable[Membership], agreeing: set[Member]) -> bool:
    """Return whether a set of members includes a majority of every membership.

    :param memberships: the memberships in force.
    :param agreeing: the members that agree.
    """
    return all(2 * len(agreeing.intersection(members)) > len(members) for members in memberships)


def find_majority_value(memberships: Iterable[Membership], values: dict[Member, float]) -> float:
    """Return the largest value that a majority of every membership has reached.

    :param memberships: the memberships in force.
    :param values: the value that each member has reached; missing members have reached none.
    """
    lowest = float("inf")
    for members in memberships:
        ranked = sorted((values.get(m, float("-inf")) for m in members), reverse=True)
        lowest = min(lowest, ranked[len(members) // 2] if ranked else float("-inf"))
    return lowest
