"""Memberships of a replicated log, and the majorities that decide in them. Pure.

While a change of the membership is not committed, each decision needs a majority of the last
committed membership and of each one after it.
"""

from collections.abc import Iterable

from daleroad.logtypes import EntryKind, LogEntry, Member

Membership = tuple[Member, ...]


def list_memberships(
    committed: Membership, log: Iterable[LogEntry], commit: int
) -> list[Membership]:
    """Return the last committed membership and those after it.

    :param committed: the membership before the log's first entry.
    :param log: entries in order.
    :param commit: index of the last committed entry.
    """
    found = [committed]
    for entry in log:
        if entry.kind is not EntryKind.MEMBERS:
            continue
        if entry.index <= commit:
            found = [entry.members]
        else:
            found.append(entry.members)
    return found


def is_majority(memberships: Iterable[Membership], yes: set[Member]) -> bool:
    """Return whether some members are a majority of every membership.

    :param memberships: those that must agree.
    :param yes: the members that agree.
    """
    return all(2 * len(yes.intersection(members)) > len(members) for members in memberships)


def find_majority_value(memberships: Iterable[Membership], values: dict[Member, float]) -> float:
    """Return the largest value that a majority of every membership has reached.

    :param memberships: those that must have reached it.
    :param values: what each member has reached; one that is missing has reached nothing.
    """
    worst = float("inf")
    for members in memberships:
        ranked = sorted((values.get(m, float("-inf")) for m in members), reverse=True)
        worst = min(worst, ranked[len(members) // 2] if ranked else float("-inf"))
    return worst
