"""Automatic voter selection for a replicated log. Pure functions.

A standby that has caught up replaces an unresponsive voter, and the number of voters grows, always
odd, while standbys are available.
"""

from collections.abc import Collection

from daleroad.logtypes import Member

MAX_VOTERS = 5
"""Maximum voters in a group. Five tolerate the loss of two; more would slow each commit."""

MAX_VOTER_SILENCE_SECONDS = 1.5
"""Time without an answer to the leader after which a standby may replace a voter.

It spans several heartbeats and is well below the time after which a second loss must be tolerated.
"""


def plan_voters(
    members: tuple[Member, ...],
    heard: Collection[str],
    standbys: Collection[Member],
    max_voters: int = MAX_VOTERS,
) -> tuple[Member, ...] | None:
    """Return an improved membership, or ``None`` if the current one needs no change.

    :param members: the current membership.
    :param heard: names of the members that answered recently, including the leader itself.
    :param standbys: members that hold all committed entries; voters among them are ignored.
    :param max_voters: maximum number of voters.
    """
    names = {member.name for member in members}
    candidates = sorted((s for s in standbys if s.name not in names), key=lambda s: s.name)
    if not candidates:
        return None
    silent = [member for member in members if member.name not in heard]
    if silent:
        return tuple(candidates[0] if member == silent[0] else member for member in members)
    size = min(max_voters, len(members) + len(candidates))
    size -= 1 - size % 2
    if size <= len(members):
        return None
    return (*members, *candidates[: size - len(members)])
