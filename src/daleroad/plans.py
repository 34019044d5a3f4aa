"""When the generations of one engine that leaves are copied. Pure but for its events.

All gateways with generations there make the same plan from the engine's own list. A generation
that began too late to be in that list has its turn in a second plan, made when all those of the
first have left, or its copy would hold up the last and short copies of the others.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import anyio

from daleroad.copyschedule import (
    STOP_AFTER_SECONDS,
    STOP_EACH_SECONDS,
    STOP_MARGIN_SECONDS,
    Room,
    RunSize,
    Slot,
    schedule_copies,
    sum_seconds,
)
from daleroad.defaults import NOTICE_SECONDS, REPORT_LAG_SECONDS

FOLLOW_SLACK_SECONDS = 0.1
"""What a gateway that came late gives the others for their schedule beyond its own sum of it; their
clocks count from when each of them heard the notice, 0.05 to 0.1 s apart."""


@dataclass
class Plan:
    """When runs of an engine that leaves are copied. Times are on the runtime's clock.

    :param made_at: what the slots count from.
    :param noticed_at: when the notice was heard.
    :param ends_at: when the engine is expected to end.
    :param known: whether the engine said what it runs; else each gateway moves its runs at once.
    :param turns: the runs that leave by this plan, here or at other gateways.
    :param busy_until: until when the engine's link is busy with them.
    :param ready: set when the plan can be read.
    :param extended: set when it has all turns that it will have.
    :param late: the plan for runs without a turn in this one.
    """

    made_at: float
    noticed_at: float
    ends_at: float = 0.0
    known: bool = False
    runs: tuple[RunSize, ...] = ()
    rooms: tuple[Room, ...] = ()
    token_seconds: float = 0.0
    slots: dict[str, Slot] = field(default_factory=dict)
    turns: frozenset[str] = frozenset()
    busy_until: float = 0.0
    ready: anyio.Event = field(default_factory=anyio.Event)
    extended: anyio.Event = field(default_factory=anyio.Event)
    late: "Plan | None" = None

    def __post_init__(self) -> None:
        if not self.ends_at:
            self.ends_at = self.noticed_at + NOTICE_SECONDS

    def note_leaves_in(self, leaves_in: float | None, now: float) -> None:
        """Take in an engine's word of its end, which was true some time ago.

        :param leaves_in: seconds until then, if it knows.
        :param now: the time.
        """
        if leaves_in is not None:
            self.ends_at = max(self.ends_at, now + leaves_in - REPORT_LAG_SECONDS)

    def schedule(self) -> None:
        """Give turns to the runs; earlier turns stay as they were."""
        seconds = self.ends_at - self.made_at
        self.slots = schedule_copies(self.runs, self.rooms, seconds, self.token_seconds)
        self.turns = frozenset(self.slots)
        last = max((slot.stop for slot in self.slots.values()), default=0.0)
        self.busy_until = self.made_at + last + STOP_EACH_SECONDS * len(self.slots)

    def follow_others(self, own: str) -> None:
        """Give no turns: the other gateways have begun theirs long ago.

        :param own: a run that began after the notice.
        """
        others = [run for run in self.runs if run.id != own]
        self.turns = frozenset(run.id for run in others)
        copies = sum_seconds(others, self.rooms, self.token_seconds)
        # The others stop by then at the latest; the sum may be far above, since the rooms that they
        # went to look full by now.
        copies = min(copies, NOTICE_SECONDS - STOP_MARGIN_SECONDS)
        rests = STOP_AFTER_SECONDS + STOP_EACH_SECONDS * len(others)
        self.busy_until = self.noticed_at + copies + rests + FOLLOW_SLACK_SECONDS

    def list_late(self, runs: Iterable[RunSize]) -> tuple[RunSize, ...]:
        """Return the runs that have no turn here.

        :param runs: all runs that the engine lists.
        """
        return tuple(run for run in runs if run.id not in self.turns)

    def get_start(self, run_id: str) -> float:
        """Return when a run's first copy starts; one without a turn comes after the others.

        :param run_id: the run.
        """
        slot = self.slots.get(run_id)
        if slot is not None and slot.start is not None:
            return self.made_at + slot.start
        return self.busy_until

    def get_stop(self, run_id: str) -> float:
        """Return when a run is stopped.

        :param run_id: the run.
        """
        slot = self.slots.get(run_id)
        if slot is not None:
            return self.made_at + slot.stop
        return self.busy_until
