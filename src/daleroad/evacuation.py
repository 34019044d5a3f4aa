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
class Slot:
    """When a run's first copy starts and when the run is stopped, in seconds from now."""

    start: float
    stop: float


def schedule_copies(
    runs: Iterable[RunSize], leaves_in: float, token_seconds: float
) -> dict[str, Slot]:
    """Return a slot for each run that can get off in time.

    Small ones go first, so that most get off.

    :param runs: all runs on the engine.
    :param leaves_in: seconds until the engine ends.
    :param token_seconds: time of one token's memory on the link.
    """
    ranked = sorted(runs, key=lambda run: (run.tokens, run.id))
    stop = leaves_in - STOP_MARGIN_SECONDS - STOP_EACH_SECONDS * len(ranked)
    slots: dict[str, Slot] = {}
    start = 0.0
    for run in ranked:
        end = start + run.tokens * token_seconds
        if end > stop:
            break
        slots[run.id] = Slot(start, stop)
        start = end
    return slots
