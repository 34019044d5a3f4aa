"""Schedule of the memory copies that migrate runs off an engine that is shutting down.

Copies queue on the engine's link, which all gateways with runs there use. Each gateway computes the
same schedule from the engine's list of runs, so that copies do not wait for each other and no run
is stopped while a long copy is in progress. Pure functions.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace
from itertools import cycle

MIN_STOP_MARGIN_SECONDS = 0.28
"""Time between the last pre-copy and the engine's end, beyond that of the final copies: one copy to
another zone may come in between. A run whose final copy misses the end loses its pre-copy too."""

STOP_DELAY_SECONDS = 0.03
"""Time between the last pre-copy and stopping the runs, for the link to become idle."""

MIN_DIRECT_COPY_MARGIN_SECONDS = 0.03
"""Time before the engine's end by which the copy of a run without a pre-copy must be complete; one
round trip."""

COPY_OVERHEAD_SECONDS = 0.015
"""Overhead of each copy beside the transfer of its memory: set-up, the call and its response. Of 80
copies that waited for no other, half took 7 ms more than the transfer within a zone, and 17 ms more
to another zone."""

FINAL_COPY_SECONDS = 0.012
"""Time that the final copy of one run takes on the link; measured."""

MIN_HEADROOM_TOKENS = 1000
"""Free tokens that a destination should have beyond the run's own. Covers tokens that the run still
generates, and output of other runs there beyond the half of their limit that is counted. With 400,
an engine that seemed to have room for 4050 tokens refused a run of 3600."""

CROSS_ZONE_FACTOR = 2.0
"""Duration of a copy to another availability zone, relative to one within the zone."""


@dataclass(frozen=True)
class RunSize:
    """A run in its engine's report.

    :param id: id of the run's request.
    :param tokens: tokens that it holds in memory.
    """

    id: str
    tokens: int


@dataclass(frozen=True)
class Destination:
    """A destination engine.

    :param same_zone: whether it is in the same availability zone.
    :param free_tokens: free memory in tokens.
    :param assigned_elsewhere: whether another engine that is shutting down fills it first.
    """

    id: str
    same_zone: bool
    free_tokens: float
    assigned_elsewhere: bool = False


@dataclass(frozen=True)
class Slot:
    """The schedule of one run. Times are in seconds from now.

    :param destination_id: id of the destination.
    :param start: start of the pre-copy; ``None`` if the run is stopped and then copied whole, which
        its client sees as a pause.
    :param stop: when the run is stopped for its final copy.
    :param end: when its last copy is complete; 0 if that is not scheduled run by run.
    """

    destination_id: str
    start: float | None
    stop: float
    end: float = 0.0


def schedule_copies(
    runs: Iterable[RunSize], rooms: Iterable[Destination], leaves_in: float, token_seconds: float
) -> dict[str, Slot]:
    """Return a slot for each run that can be copied in time.

    Small runs are first, which maximises their number; engines in the same zone are filled first.

    :param runs: all runs on the engine.
    :param rooms: the possible destinations.
    :param leaves_in: seconds until the engine ends.
    :param token_seconds: transfer time of one token's memory within the zone.
    """
    ranked = sorted(runs, key=lambda run: (run.tokens, run.id))
    final_copies = FINAL_COPY_SECONDS * len(ranked)
    latest_end = leaves_in - MIN_STOP_MARGIN_SECONDS - final_copies
    assigned = list(_assign_destinations(ranked, list(rooms), token_seconds))
    starts, clock = _schedule_pre_copies(assigned, latest_end)
    stop = clock + STOP_DELAY_SECONDS
    slots = {r.id: Slot(to, starts[r.id], stop) for r, to, _ in assigned if r.id in starts}
    # The remaining time is used for runs that are stopped before their whole copy.
    clock = stop + final_copies
    for run, to, seconds in assigned[len(starts) :]:
        if clock + seconds > leaves_in - MIN_DIRECT_COPY_MARGIN_SECONDS:
            break
        slots[run.id] = Slot(to, None, clock)
        clock += seconds
    return slots


def _schedule_pre_copies(
    assigned: Iterable[tuple[RunSize, str, float]], latest_end: float
) -> tuple[dict[str, float], float]:
    """Return when each pre-copy that fits starts, by the run's id, and when the last one ends.

    :param assigned: each run with its destination's id and the duration of its copy in seconds.
    :param latest_end: seconds from now until the last one must end.
    """
    starts: dict[str, float] = {}
    clock = 0.0
    for run, _, seconds in assigned:
        if clock + seconds > latest_end:
            break
        starts[run.id] = clock
        clock += seconds
    return starts, clock


def schedule_staggered_copies(
    runs: Iterable[RunSize], rooms: Iterable[Destination], leaves_in: float, token_seconds: float
) -> dict[str, Slot]:
    """Return a slot for each run that can be copied in time, so that its client's pause is short.

    Like :func:`schedule_copies`, but each run is stopped only when the link is free for its final
    copy, and a run that is copied after the others' final copies has a pre-copy too if the time
    suffices.

    :param runs: all runs on the engine.
    :param rooms: the possible destinations.
    :param leaves_in: seconds until the engine ends.
    :param token_seconds: transfer time of one token's memory within the zone.
    """
    ranked = sorted(runs, key=lambda run: (run.tokens, run.id))
    rooms = list(rooms)
    finals = {room.id: _get_final_copy_seconds(room) for room in rooms}
    assigned = list(_assign_destinations(ranked, rooms, token_seconds))
    latest_end = leaves_in - MIN_STOP_MARGIN_SECONDS - sum(finals[to] for _, to, _ in assigned)
    starts, clock = _schedule_pre_copies(assigned, latest_end)
    slots = {}
    if starts:
        clock += STOP_DELAY_SECONDS
    for run, to, _ in assigned[: len(starts)]:
        slots[run.id] = Slot(to, starts[run.id], clock, clock + finals[to])
        clock += finals[to]
    latest_end = leaves_in - MIN_DIRECT_COPY_MARGIN_SECONDS
    for run, to, seconds in assigned[len(starts) :]:
        slot = _make_tail_slot(to, clock, seconds, finals[to], latest_end)
        if slot is None:
            break
        slots[run.id] = slot
        clock = slot.end
    return slots


def _get_final_copy_seconds(room: Destination) -> float:
    return FINAL_COPY_SECONDS * (1.0 if room.same_zone else CROSS_ZONE_FACTOR)


def _make_tail_slot(
    to: str, start: float, seconds: float, final_seconds: float, latest_end: float
) -> Slot | None:
    """Return the slot of a run after the others' final copies, with a pre-copy if that fits."""
    stop = start + seconds + STOP_DELAY_SECONDS
    if stop + final_seconds <= latest_end:
        return Slot(to, start, stop, stop + final_seconds)
    if start + seconds <= latest_end:
        return Slot(to, None, start, start + seconds)
    return None


def find_assigned_elsewhere(
    origin: str, leaving: Mapping[str, str], rooms: Mapping[str, str]
) -> frozenset[str]:
    """Return the destinations that other engines that are shutting down fill first.

    Copies of several engines to one destination queue on its link, and would count its free memory
    twice. A destination is shared out among the engines that leave its zone; if none does, among
    all that are shutting down.

    :param origin: id of the engine that the runs leave.
    :param leaving: zone of each engine that is shutting down, by id, with the origin.
    :param rooms: zone of each possible destination, by id.
    """
    # Under "": the destinations in zones that no engine leaves.
    by_zone: dict[str, list[str]] = {}
    for room_id, zone in sorted(rooms.items()):
        by_zone.setdefault(zone if zone in leaving.values() else "", []).append(room_id)
    assigned: set[str] = set()
    for zone, room_ids in by_zone.items():
        origins = sorted(id_ for id_, left_zone in leaving.items() if zone in ("", left_zone))
        owners = zip(room_ids, cycle(origins), strict=False)
        assigned.update(room_id for room_id, owner in owners if owner != origin)
    return frozenset(assigned)


def sum_copy_seconds(
    runs: Iterable[RunSize], rooms: Iterable[Destination], token_seconds: float
) -> float:
    """Return the total duration of the pre-copies of runs, made one at a time.

    :param runs: the runs.
    :param rooms: the possible destinations.
    :param token_seconds: transfer time of one token's memory within the zone.
    """
    return sum(
        seconds for _, _, seconds in _assign_destinations(list(runs), list(rooms), token_seconds)
    )


def _assign_destinations(
    ranked: list[RunSize], rooms: list[Destination], token_seconds: float
) -> Iterator[tuple[RunSize, str, float]]:
    """Yield each run with its destination's id and the duration of its copy in seconds.

    Ends at the first run for which no destination exists at all.
    """
    free = {room.id: room for room in rooms}
    for run in ranked:
        room = _choose_destination(free.values(), run.tokens + MIN_HEADROOM_TOKENS)
        if room is None:
            return
        left = room.free_tokens - run.tokens - MIN_HEADROOM_TOKENS
        free[room.id] = replace(room, free_tokens=left)
        factor = 1.0 if room.same_zone else CROSS_ZONE_FACTOR
        yield run, room.id, run.tokens * token_seconds * factor + COPY_OVERHEAD_SECONDS


def _choose_destination(rooms: Iterable[Destination], tokens: int) -> Destination | None:
    """Return a destination: with enough memory if any, then in the same zone, then the freest.

    One that another engine fills first comes after the others of its zone.
    """
    return min(
        rooms,
        key=lambda r: (
            r.free_tokens < tokens,
            not r.same_zone,
            r.assigned_elsewhere,
            -r.free_tokens,
            r.id,
        ),
        default=None,
    )
