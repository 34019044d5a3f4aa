"""What is known of one request or part that is suspected of crashing upstreams.

:class:`Suspicion` is a report of it, as processes exchange it; :class:`Suspect` is what one process
has gathered from such reports.

Does no I/O; the caller passes in the time.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from operator import itemgetter

from daleroad.blame import (
    JOINT_CRASH_SECONDS,
    MIN_CRASH_TIMES_HELD,
    MIN_CRASHES_HELD,
    MIN_CRASHES_LAST_TRY,
    MIN_UNBEGUN_CRASHES_HELD,
    CrashRecord,
    count_times,
)

HOLD_BACKOFF_SECONDS = (300.0, 3_600.0, 86_400.0)
"""Time since its last crash after which a held request may be tried again: with MIN_CRASHES_HELD
counted crashes, with one more, and with any higher number. If the trial crashes an upstream, that
is a further crash; if it has a complete response, that cancels one. A request that is held by
mistake is free again after minutes. One that crashes each upstream crashes one more after five
minutes, one after another hour, and then one a day."""

SUCCEEDED_HOLD_SECONDS = 10.0
"""The same time for a request that had a complete response, with MIN_CRASHES_HELD counted crashes;
doubled for each further one, up to the first of HOLD_BACKOFF_SECONDS. It is shorter since a request
that crashes every upstream never has a complete response."""

MIN_CORRECTION_SECONDS = JOINT_CRASH_SECONDS / 2
"""Least difference for which the time of a crash is corrected and told on."""

MAX_CALLERS_KEPT = 8
"""Organisations remembered for a part; with two of them it is held for all."""

MAX_CRASHES_KEPT = 16
"""Crashes remembered for one request, and as many retracted ones; far more than it takes to hold
it. Of more crashes the first and the latest are kept, of more retractions the latest."""


@dataclass(frozen=True)
class Suspicion:
    """A report on one suspected request or part, as processes exchange it.

    :param fingerprint: identifies it.
    :param caller: the organisation that sent it, or empty; for a part, the first that is known.
    :param route: its host and path at a gateway, or its route's name at an entry.
    :param crashes: ids of instances that crashed while they ran it, without the retracted ones.
    :param cleared: ids of instances whose crash was retracted, or cancelled by a complete response.
    :param age: seconds since the last recorded crash of it.
    :param whole: whether it is known to have had a complete response, a part also one that got far.
    :param part: the name of a part; empty for a request.
    :param depth: the place of a part in its prompt, from 0.
    :param begun: for a part, ids of instances that crashed when they had just begun to answer.
    :param callers: for a part, the organisations whose requests ran on those instances.
    :param ages: for a part, seconds since each of the crashes; empty if all are as old as ``age``.
    """

    fingerprint: str
    caller: str
    route: str
    crashes: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()
    age: float = 0.0
    whole: bool = False
    part: str = ""
    depth: int = 0
    begun: tuple[str, ...] = ()
    callers: tuple[str, ...] = ()
    ages: tuple[float, ...] = ()

    def list_times(self, now: float) -> Iterator[tuple[str, float]]:
        """Yield the instances that crashed, and when.

        :param now: the time.
        """
        ages = self.ages or (self.age,) * len(self.crashes)
        return ((instance, now - age) for instance, age in zip(self.crashes, ages, strict=False))


@dataclass
class Suspect:
    """What one process knows of a suspected request or part.

    :ivar organisation: the first that is known to have sent it, or empty.
    :ivar route: as for :class:`Suspicion`.
    :ivar last_crash_at: when it last crashed an instance.
    :ivar revision: that of its last change.
    :ivar part: the name of a part; empty for a request.
    :ivar depth: the place of a part in its prompt.
    :ivar crashes: when each instance crashed, without the retracted crashes.
    :ivar retracted: the instances whose crash was retracted, the latest last.
    :ivar begun: those that had just begun to answer; only for parts.
    :ivar callers: the organisations whose requests ran on those instances; only for parts.
    :ivar flagged: whether others were told of it.
    :ivar succeeded: whether it is known to have had a complete response.
    """

    organisation: str
    route: str
    last_crash_at: float
    revision: int
    part: str = ""
    depth: int = 0
    crashes: dict[str, float] = field(default_factory=dict)
    retracted: dict[str, None] = field(default_factory=dict)
    begun: dict[str, None] = field(default_factory=dict)
    callers: dict[str, None] = field(default_factory=dict)
    flagged: bool = False
    succeeded: bool = False

    def has_recorded(self, instance: str, begun: bool) -> bool:
        """Return whether the crash of an instance is recorded, retracted or not."""
        counted = instance in self.crashes and (not begun or instance in self.begun)
        return counted or instance in self.retracted

    def count_crashes(self) -> int:
        """Return the number of crashes not retracted, also of those that another explains."""
        return len(self.crashes)

    def add_crashes(self, report: Suspicion, now: float) -> bool:
        """Record unknown crashes; return whether any were recorded.

        Once there are MAX_CRASHES_KEPT, only one that is later than all of them by
        JOINT_CRASH_SECONDS is recorded, in place of the second: a crash of many upstreams at once
        must not hide what crashes later, and the same crashes told again must not replace each
        other.
        """
        added = False
        for instance, at in sorted(report.list_times(now), key=itemgetter(1)):
            if instance in self.crashes or instance in self.retracted:
                continue
            if len(self.crashes) >= MAX_CRASHES_KEPT:
                if at < max(self.crashes.values()) + JOINT_CRASH_SECONDS:
                    continue
                self._drop_second_crash()
            self.crashes[instance] = at
            added = True
        return added

    def _drop_second_crash(self) -> None:
        second = sorted(self.crashes, key=self.crashes.__getitem__)[1]
        del self.crashes[second]
        self.begun.pop(second, None)

    def correct_times(self, report: Suspicion, now: float) -> bool:
        """Take earlier times of known crashes; return whether any is earlier by much.

        News arrives late and several at once, so the earliest time that was told is the best.
        """
        earlier = [
            (instance, at)
            for instance, at in report.list_times(now)
            if at < self.crashes.get(instance, at) - MIN_CORRECTION_SECONDS
        ]
        self.crashes.update(earlier)
        return bool(earlier)

    def retract(self, instances: Iterable[str]) -> bool:
        """Retract crashes; return whether any of them was not retracted before."""
        fresh = [i for i in instances if i not in self.retracted]
        self.retracted.update(dict.fromkeys(fresh))
        while len(self.retracted) > MAX_CRASHES_KEPT:
            self.retracted.pop(next(iter(self.retracted)))
        for instance in fresh:
            self.crashes.pop(instance, None)
            self.begun.pop(instance, None)
        return bool(fresh)

    def add_details(self, report: Suspicion) -> bool:
        """Add what a report says of a part; return whether any of it is new."""
        begun = [i for i in report.begun if i in self.crashes and i not in self.begun]
        callers = [c for c in report.callers if c not in self.callers]
        callers = callers[: MAX_CALLERS_KEPT - len(self.callers)]
        self.begun.update(dict.fromkeys(begun))
        self.callers.update(dict.fromkeys(callers))
        return bool(begun or callers)

    def is_held_for(self, caller: str) -> bool:
        """Return whether a hold of a part covers an organisation's requests."""
        return caller in self.callers or len(self.callers) > 1

    def may_be_blamed(self) -> bool:
        """Return whether it has crashes enough to be restricted."""
        enough = MIN_CRASHES_HELD if self.part else MIN_CRASHES_LAST_TRY
        return self.count_crashes() >= enough

    def make_record(self, fingerprint: str) -> CrashRecord:
        """Return the crashes as they are attributed to it or to another suspect."""
        return CrashRecord(
            fingerprint,
            frozenset(self.crashes),
            frozenset(self.begun),
            self.succeeded,
            self.depth if self.part else None,
            self.crashes,
        )

    def get_hold_seconds(self, count: int) -> float:
        """Return how long a hold lasts with a number of counted crashes."""
        further = max(0, count - (MIN_UNBEGUN_CRASHES_HELD if self.part else MIN_CRASHES_HELD))
        if self.part:
            # Several may be under way when it is held, or crash upstreams at once.
            further = min(
                further, max(0, count_times(self.crashes.values()) - MIN_CRASH_TIMES_HELD)
            )
        if self.succeeded:
            return min(HOLD_BACKOFF_SECONDS[0], SUCCEEDED_HOLD_SECONDS * 2**further)
        if self.part:
            return min(HOLD_BACKOFF_SECONDS[-1], HOLD_BACKOFF_SECONDS[0] * 2**further)
        return HOLD_BACKOFF_SECONDS[min(further, len(HOLD_BACKOFF_SECONDS) - 1)]

    def make_report(self, fingerprint: str, now: float) -> Suspicion:
        """Return all that is known of it, for other processes."""
        return Suspicion(
            fingerprint,
            self.organisation,
            self.route,
            tuple(self.crashes),
            tuple(self.retracted),
            now - self.last_crash_at,
            self.succeeded,
            self.part,
            self.depth,
            tuple(self.begun),
            tuple(self.callers),
            tuple(round(now - at, 3) for at in self.crashes.values()) if self.part else (),
        )
