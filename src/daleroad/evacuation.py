"""When each generation's memory is copied off an engine that leaves. Pure.

Copies queue on the engine's link, and all gateways with work there use it. Each of them makes the
same schedule from the engine's own list, so nobody's copy waits behind another's, and no run is
stopped while a long copy is under way.
"""

from collections.abc import Iterable
from dataclasses import dataclass

STOP_MARGIN_SECONDS = 0.2
"""Time before the engine's end at which its runs are stopped; a rest's copy and a round trip."""

STOP_EACH_SECONDS = 0.012
"""Time that each run's rest takes on the link after it was stopped; measured."""

GROWTH_TOKENS = 400
"""Tokens that a run may still make, for which the engine that it moves to should have room."""

LINK_SHARE = 0.9
"""Part of the link's speed that is counted on."""

FAR_FACTOR = 2.0
"""A copy to another availability zone takes so many times as long."""


@dataclass(frozen=True)
class RunSize:
    """A run as its engine lists it.

    :param tokens: tokens that it has in memory.
    """

    id: str
    tokens: int


@dataclass(frozen=True)
class Room:
    """An engine that runs may move to.

    :param near: whether it is in the same availability zone.
    :param free: tokens of memory that it has left.
    """

    id: str
    near: bool
    free: float


@dataclass(frozen=True)
class Slot:
    """Where a run goes, when its first copy starts and when it is stopped.

    Times are in seconds from now.
    """

    to: str
    start: float
    stop: float


def schedule_copies(
    runs: Iterable[RunSize], rooms: Iterable[Room], leaves_in: float, token_seconds: float
) -> dict[str, Slot]:
    """Return a slot for each run that can get off in time.

    Small ones go first, so that most get off; near engines are filled before far ones.

    :param runs: all runs on the engine.
    :param rooms: the engines they may move to.
    :param leaves_in: seconds until the engine ends.
    :param token_seconds: time of one token's memory on the link.
    """
    ranked = sorted(runs, key=lambda run: (run.tokens, run.id))
    stop = leaves_in - STOP_MARGIN_SECONDS - STOP_EACH_SECONDS * len(ranked)
    free = {room.id: room for room in rooms}
    slots: dict[str, Slot] = {}
    start = 0.0
    for run in ranked:
        room = _choose_room(free.values(), run.tokens + GROWTH_TOKENS)
        if room is None:
            break
        end = start + run.tokens * token_seconds / LINK_SHARE * (1 if room.near else FAR_FACTOR)
        if end > stop:
            break
        slots[run.id] = Slot(room.id, start, stop)
        free[room.id] = Room(room.id, room.near, room.free - run.tokens - GROWTH_TOKENS)
        start = end
    return slots


def _choose_room(rooms: Iterable[Room], tokens: int) -> Room | None:
    """Return the near room, else the far one, with the most memory left."""
    ranked = sorted(rooms, key=lambda r: (r.free < tokens, not r.near, -r.free, r.id))
    return ranked[0] if ranked else None
