"""Plan for migrating the runs of one engine that is shutting down.

All gateways with runs on the engine compute the same plan from the engine's report. A run that
began too late to be in that report is scheduled by a second plan, made when all runs of the first
have been copied; otherwise its copy would delay the short final copies of the others.

Does no I/O; the caller passes in the time.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import anyio

from daleroad.copyschedule import (
    FINAL_COPY_SECONDS,
    MIN_STOP_MARGIN_SECONDS,
    STOP_DELAY_SECONDS,
    Destination,
    RunSize,
    Slot,
    schedule_copies,
    schedule_staggered_copies,
    sum_copy_seconds,
)
from daleroad.defaults import NOTICE_SECONDS, REPORT_LAG_SECONDS

_LATE_GATEWAY_MARGIN_SECONDS = 0.1
"""Time that a late gateway adds to its estimate of the others' schedule, which starts when each of
them receives the notice, 0.05 to 0.1 s apart."""


@dataclass
class MigrationPlan:
    """The migration plan of an engine. Times are on the event loop's clock.

    :param made_at: start of the schedule, to which the times of slots are relative.
    :param noticed_at: when the engine's notice was received.
    :param ends_at: when the engine is expected to end.
    :param has_report: whether the engine reported its runs; without a report each gateway migrates
        its runs at once.
    :param runs: the reported runs.
    :param destinations: the possible destinations.
    :param token_seconds: transfer time of one token's memory within the zone.
    :param slots: slots by id of the run.
    :param scheduled: ids of the runs that this plan covers, here or at other gateways.
    :param busy_until: until when the copies of these runs occupy the engine's link.
    :param ready: set when the plan was computed.
    :param extended: set when no more slots will be added.
    :param late_plan: the plan for runs that this one does not cover.
    :param staggered: whether runs are stopped one by one, for streams whose routes allow only
        short pauses.
    :param stopped: ids of this gateway's runs whose final copy was begun.
    """

    made_at: float
    noticed_at: float
    ends_at: float = 0.0
    has_report: bool = False
    runs: tuple[RunSize, ...] = ()
    destinations: tuple[Destination, ...] = ()
    token_seconds: float = 0.0
    slots: dict[str, Slot] = field(default_factory=dict)
    scheduled: frozenset[str] = frozenset()
    busy_until: float = 0.0
    ready: anyio.Event = field(default_factory=anyio.Event)
    extended: anyio.Event = field(default_factory=anyio.Event)
    late_plan: "MigrationPlan | None" = None
    staggered: bool = False
    stopped: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        if not self.ends_at:
            self.ends_at = self.noticed_at + NOTICE_SECONDS

    def postpone_end(self, leaves_in: float | None, now: float) -> None:
        """Postpone the expected end as the engine reports, allowing for the age of the report.

        :param leaves_in: reported seconds until the end, if the engine knows.
        :param now: the time.
        """
        if leaves_in is not None:
            self.ends_at = max(self.ends_at, now + leaves_in - REPORT_LAG_SECONDS)

    def schedule(self) -> None:
        """Assign slots to the runs.

        When repeated with a later end, it keeps the starts that were assigned before.
        """
        seconds = self.ends_at - self.made_at
        schedule = schedule_staggered_copies if self.staggered else schedule_copies
        self.slots = schedule(self.runs, self.destinations, seconds, self.token_seconds)
        self.scheduled = frozenset(self.slots)
        if self.staggered:
            last = max((slot.end for slot in self.slots.values()), default=0.0)
            self.busy_until = self.made_at + last
            return
        last = max((slot.stop for slot in self.slots.values()), default=0.0)
        self.busy_until = self.made_at + last + FINAL_COPY_SECONDS * len(self.slots)

    def should_extend(self) -> bool:
        """Return whether a later end of the engine could improve the schedule."""
        if not self.slots:
            return False
        has_direct = any(slot.start is None for slot in self.slots.values())
        return len(self.slots) < len(self.runs) or (self.staggered and has_direct)

    def get_first_copy(self, run_id: str) -> float:
        """Return when the first copy of a run starts; without a slot, after all the others.

        :param run_id: id of the run.
        """
        slot = self.slots.get(run_id)
        if slot is not None and slot.start is None:
            return self.made_at + slot.stop
        return self.get_start(run_id)

    def wait_for_others(self, own: str) -> None:
        """Assign no slots, since the other gateways have begun to copy; estimate when they end.

        :param own: id of the gateway's own run, which began after the notice; it is not covered.
        """
        others = [run for run in self.runs if run.id != own]
        self.scheduled = frozenset(run.id for run in others)
        pre_copies = sum_copy_seconds(others, self.destinations, self.token_seconds)
        # Pre-copies end by then at the latest. The estimate may be far longer, since the
        # destinations of the others may already look full.
        pre_copies = min(pre_copies, NOTICE_SECONDS - MIN_STOP_MARGIN_SECONDS)
        final_copies = STOP_DELAY_SECONDS + FINAL_COPY_SECONDS * len(others)
        self.busy_until = self.noticed_at + pre_copies + final_copies + _LATE_GATEWAY_MARGIN_SECONDS

    def list_uncovered(self, runs: Iterable[RunSize]) -> tuple[RunSize, ...]:
        """Return the runs that this plan does not cover.

        :param runs: all runs that the engine reported.
        """
        return tuple(run for run in runs if run.id not in self.scheduled)

    def get_start(self, run_id: str) -> float:
        """Return when a run's pre-copy starts; without a scheduled one, after all the others.

        :param run_id: id of the run.
        """
        slot = self.slots.get(run_id)
        if slot is not None and slot.start is not None:
            return self.made_at + slot.start
        return self.busy_until

    def get_stop(self, run_id: str) -> float:
        """Return when a run is stopped for its final copy; without a slot, after all the others.

        :param run_id: id of the run.
        """
        slot = self.slots.get(run_id)
        if slot is not None:
            return self.made_at + slot.stop
        return self.busy_until
