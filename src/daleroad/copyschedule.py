"""When each generation's memory is copied off an engine that leaves. Pure.

Copies queue on the engine's link, and all gateways with work there use it. Each of them makes the
same schedule from the engine's own list, so nobody's copy waits behind another's, and no run is
stopped while a long copy is under way.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

STOP_MARGIN_SECONDS = 0.28
"""Time before the engine's end at which its runs are stopped at the latest: the rests' copies, and
one far copy that came between. When the rests miss the end, all that was copied is lost."""

STOP_AFTER_SECONDS = 0.03
"""Time between the last first copy and the stop, for the link to be free again."""

DIRECT_MARGIN_SECONDS = 0.03
"""Time before the engine's end at which a copy of a stopped run must be over; a round trip."""

COPY_EACH_SECONDS = 0.015
"""Time of each copy beside its memory's on the link: setting up, the call and its answer. Of 80
copies that waited for no other, half took 7 ms (near) and 17 ms (far) more than their memory."""

STOP_EACH_SECONDS = 0.012
"""Time that each run's rest takes on the link after it was stopped; measured."""

GROWTH_TOKENS = 1000
"""Tokens that an engine should have free beyond a run that moves there: what the run may still
make, and what others there made beyond the half of their limit that is counted for them. With 400
an engine that seemed to have room for 4050 refused a run of 3600."""

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

    :param start: nothing for a run that is stopped and copied at once, with a pause for its client.
    """

    to: str
    start: float | None
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
    rests = STOP_EACH_SECONDS * len(ranked)
    latest = leaves_in - STOP_MARGIN_SECONDS - rests
    placed = list(_place_runs(ranked, list(rooms), token_seconds))
    starts: dict[str, float] = {}
    clock = 0.0
    for run, _, seconds in placed:
        if clock + seconds > latest:
            break
        starts[run.id] = clock
        clock += seconds
    stop = clock + STOP_AFTER_SECONDS
    slots = {r.id: Slot(to, starts[r.id], stop) for r, to, _ in placed if r.id in starts}
    # What is left of the time goes to runs that pause for their whole copy.
    clock = stop + rests
    for run, to, seconds in placed[len(starts) :]:
        if clock + seconds > leaves_in - DIRECT_MARGIN_SECONDS:
            break
        slots[run.id] = Slot(to, None, clock)
        clock += seconds
    return slots


def sum_seconds(runs: Iterable[RunSize], rooms: Iterable[Room], token_seconds: float) -> float:
    """Return how long the first copies of runs take one after the other.

    :param runs: the runs.
    :param rooms: the engines they may move to.
    :param token_seconds: time of one token's memory on the link.
    """
    return sum(seconds for _, _, seconds in _place_runs(list(runs), list(rooms), token_seconds))


def _place_runs(
    ranked: list[RunSize], rooms: list[Room], token_seconds: float
) -> Iterator[tuple[RunSize, str, float]]:
    """Yield each run with the engine that it goes to and the seconds of its copy."""
    free = {room.id: room for room in rooms}
    for run in ranked:
        room = _choose_room(free.values(), run.tokens + GROWTH_TOKENS)
        if room is None:
            return
        left = room.free - run.tokens - GROWTH_TOKENS
        free[room.id] = Room(room.id, room.near, left)
        factor = 1.0 if room.near else FAR_FACTOR
        yield run, room.id, run.tokens * token_seconds * factor + COPY_EACH_SECONDS


def _choose_room(rooms: Iterable[Room], tokens: int) -> Room | None:
    """Return the near room, else the far one, with the most memory left."""
    ranked = sorted(rooms, key=lambda r: (r.free < tokens, not r.near, -r.free, r.id))
    return ranked[0] if ranked else None
