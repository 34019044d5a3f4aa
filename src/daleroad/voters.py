"""Which processes should vote in a replicated log. Pure.

Without an operator: a process with a new disk takes the vote of one that went silent, and the
number of votes grows, always odd, as long as there are disks for it.
"""

from collections.abc import Collection

from daleroad.logtypes import Member

VOTERS_MOST = 5
"""Votes in one group; five bear the loss of two disks, and more only slow each commit."""

SILENT_SECONDS = 1.5
"""A voter that did not answer its leader for so long may lose its vote to a standby; several
heartbeats, and well below the seconds that a second loss is allowed to follow in."""


def plan_voters(
    members: tuple[Member, ...],
    heard: Collection[str],
    standbys: Collection[Member],
    most: int = VOTERS_MOST,
) -> tuple[Member, ...] | None:
    """Return a better membership, or nothing if the present one will do.

    :param members: the present membership.
    :param heard: names of the members that answered lately, the leader's own included.
    :param standbys: processes with a disk that hold all that is committed.
    :param most: votes at most.
    """
    names = {member.name for member in members}
    spare = sorted((s for s in standbys if s.name not in names), key=lambda s: s.name)
    if not spare:
        return None
    silent = [member for member in members if member.name not in heard]
    if silent:
        return tuple(spare[0] if member == silent[0] else member for member in members)
    size = min(most, len(members) + len(spare))
    size -= 1 - size % 2
    if size <= len(members):
        return None
    return (*members, *spare[: size - len(members)])
