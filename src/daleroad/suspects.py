"""Detection of poison requests, which crash the upstreams that run them. No I/O; time is passed in.

When an upstream crashes, every request that it was running is a suspect. These rules tell a poison
request from those that merely ran beside it:

- Only crashes of different instances count, and several are needed.
- A poison request never has a complete response. Each complete response cancels one crash, recorded
  by any gateway, shortly before or after it.
- An instance that is heard from after its supposed crash is alive, so that crash is retracted.
- Crashes of a request that is held and never had a complete response are not counted against
  requests that had one, nor against requests with fewer crashes than it takes to hold them.

The state of each process only grows: crashes by instance, which of them were retracted, and whether
there was a complete response. Processes exchange parts of it in any order, any number of times, and
converge.
"""

from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

MIN_CRASHES_LAST_TRY = 2
"""Crashes after which a request is tried once more, where the least work is lost."""

CRASHES_HELD = 3
"""Crashes after which a request is held: it reaches no upstream. With two, a request that ran
beside two unrelated crashes would be held; the third try goes where the least work is lost."""

HOLD_BACKOFF_SECONDS = (300.0, 3_600.0, 86_400.0)
"""Time since its last crash after which one gateway may try a held request again: after
CRASHES_HELD crashes, after one more, and after any further one. A request held by mistake is free
after minutes; a poison request crashes one more upstream after five minutes, one in the next hour
and then one a day."""

SUCCEEDED_HOLD_SECONDS = 10.0
"""The same time for a request that had a complete response, which one that crashes every upstream
never has; doubled for each further crash, up to the first of HOLD_BACKOFF_SECONDS."""

SUSPECT_RETENTION_SECONDS = 600.0
"""Time since its last crash after which a request that is not held is forgotten."""

HELD_RETENTION_SECONDS = 2 * HOLD_BACKOFF_SECONDS[-1]
"""Time since its last crash after which a held request is forgotten."""

TRIAL_SECONDS = 10.0
"""Minimum time between two trials of one request; by then the outcome of the first is known."""

MAX_SUSPECTS = 2048
"""Requests remembered, at about 600 bytes each. The caller with the most of them loses one of its
own first."""

MAX_CRASHES_KEPT = 16
"""Crashes remembered for one request, and as many retracted ones; far more than it takes to hold
it."""

MAX_CREDITED_REQUESTS = 4096
"""Requests with credits for recent complete responses remembered, at about 150 bytes each."""

MAX_CREDITS = 10
"""Complete responses that one request can have credited at one gateway, each to cancel a later
crash. Identical requests that come all the time are running on any upstream that crashes."""

CREDIT_TTL_SECONDS = 10.0
"""Lifetime of credits: a request that has begun to crash upstreams gets no new ones."""


class Standing(StrEnum):
    """Whether and how a request may run."""

    CLEAR = "clear"
    """It may run anywhere."""
    LAST = "last try"
    """It may run once more, where the least work is lost."""
    TRIAL = "trial"
    """Its hold has expired; one gateway may try it, where the least work is lost."""
    HELD = "held"
    """It must reach no upstream."""


@dataclass(frozen=True)
class Suspicion:
    """A report on one suspected request, as processes exchange it.

    :param fingerprint: identifies the request.
    :param caller: the organisation that sent it, or empty.
    :param route: the route that it took.
    :param crashes: ids of instances that crashed while they ran it.
    :param cleared: ids of instances whose crash was retracted or cancelled.
    :param age: seconds since the last of these crashes.
    :param whole: whether it is known to have had a complete response.
    """

    fingerprint: str
    caller: str
    route: str
    crashes: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()
    age: float = 0.0
    whole: bool = False


@dataclass
class _Suspect:
    caller: str
    route: str
    last_crash_at: float
    revision: int
    crashes: dict[str, None] = field(default_factory=dict)
    retracted: dict[str, None] = field(default_factory=dict)
    flagged: bool = False
    succeeded: bool = False

    def has_recorded(self, instance: str) -> bool:
        """Return whether the crash of an instance is recorded, retracted or not."""
        return instance in self.crashes or instance in self.retracted

    def count_crashes(self) -> int:
        """Return the number of crashes, including those that another request explains."""
        return len(self.crashes)

    def add_crashes(self, instances: Iterable[str]) -> bool:
        """Record unknown crashes, up to MAX_CRASHES_KEPT; return whether any were recorded."""
        fresh = [i for i in instances if i not in self.crashes and i not in self.retracted]
        kept = fresh[: MAX_CRASHES_KEPT - len(self.crashes)]
        self.crashes.update(dict.fromkeys(kept))
        return bool(kept)

    def retract(self, instances: Iterable[str]) -> bool:
        """Retract crashes; return whether any of them was not retracted before."""
        fresh = [i for i in instances if i not in self.retracted]
        self.retracted.update(dict.fromkeys(fresh))
        while len(self.retracted) > MAX_CRASHES_KEPT:
            self.retracted.pop(next(iter(self.retracted)))
        for instance in fresh:
            self.crashes.pop(instance, None)
        return bool(fresh)


@dataclass(frozen=True)
class _Credits:
    """Complete responses that cancel crashes, and when the last of them came."""

    count: int
    at: float


class Suspects:
    """The requests that one process suspects of crashing upstreams.

    A request is flagged once it has MIN_CRASHES_LAST_TRY crashes, and stays flagged.

    ``revision`` grows with each change that other processes need; ``marked_revision`` is that of
    the last change of a flagged request.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.marked_revision = 0
        self._known: dict[str, _Suspect] = {}
        self._counts: dict[str, int] = {}
        self._credits: OrderedDict[str, _Credits] = OrderedDict()

    def record_crash(
        self, fingerprint: str, caller: str, route: str, instance: str, now: float
    ) -> Suspicion | None:
        """Record that an instance crashed while it ran a request; return a report for others.

        :param fingerprint: the request.
        :param caller: the organisation that sent it, or empty.
        :param route: the route that it took.
        :param instance: the instance's id.
        :param now: the time.
        """
        suspect = self._known.get(fingerprint)
        if suspect is not None and suspect.has_recorded(instance):
            # Several concurrent runs of a request on one instance count as one crash.
            return None
        crashes = (instance,)
        report = Suspicion(fingerprint, caller, route, crashes)
        if self._use_credits(fingerprint, 1, now):
            report = Suspicion(fingerprint, caller, route, crashes, crashes, whole=True)
        return report if self.merge(report, now) else None

    def record_success(self, fingerprint: str, now: float) -> Suspicion | None:
        """Record that a request had a complete response; return a report for others, if any.

        :param fingerprint: the request.
        :param now: the time.
        """
        suspect = self._known.get(fingerprint)
        if suspect is None or not suspect.crashes:
            self._add_credit(fingerprint, now)
            return None
        first = next(iter(suspect.crashes))
        return self._retract(fingerprint, suspect, [first], now, succeeded=True)

    def refute(self, fingerprint: str, now: float) -> Suspicion | None:
        """Cancel crashes recorded elsewhere with credits held here; return a report for others.

        :param fingerprint: the request.
        :param now: the time.
        """
        suspect = self._known.get(fingerprint)
        if suspect is None:
            return None
        used = self._use_credits(fingerprint, len(suspect.crashes), now)
        if not used:
            return None
        crashes = list(suspect.crashes)[:used]
        return self._retract(fingerprint, suspect, crashes, now, succeeded=True)

    def release(self, fingerprint: str, now: float) -> Suspicion | None:
        """Retract all crashes of a request at an operator's order; return a report for others.

        :param fingerprint: the request.
        :param now: the time.
        """
        suspect = self._known.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return None
        return self._retract(fingerprint, suspect, list(suspect.crashes), now)

    def record_alive(self, instance: str, now: float) -> list[Suspicion]:
        """Retract the crash of an instance that turned out to be alive; return reports for others.

        :param instance: the instance's id.
        :param now: the time.
        """
        found = [(f, s) for f, s in self._known.items() if instance in s.crashes]
        return [self._retract(f, s, [instance], now) for f, s in found]

    def _retract(
        self,
        fingerprint: str,
        suspect: _Suspect,
        instances: list[str],
        now: float,
        succeeded: bool = False,
    ) -> Suspicion:
        cleared = tuple(instances)
        age = now - suspect.last_crash_at
        report = Suspicion(fingerprint, suspect.caller, suspect.route, (), cleared, age, succeeded)
        self.merge(report, now)
        return report

    def merge(self, report: Suspicion, now: float) -> bool:
        """Merge a report into the state here; return whether it changed anything.

        :param report: the report, made here or by another process.
        :param now: the time.
        """
        suspect = self._known.get(report.fingerprint)
        if suspect is None:
            if not report.crashes:
                return False
            self._evict()
            suspect = _Suspect(report.caller, report.route, now - report.age, 0)
            self._known[report.fingerprint] = suspect
        retracted = suspect.retract(report.cleared)
        added = suspect.add_crashes(report.crashes)
        proved = report.whole and not suspect.succeeded
        suspect.succeeded = suspect.succeeded or report.whole
        if added:
            suspect.last_crash_at = max(suspect.last_crash_at, now - report.age)
        if added or retracted or proved:
            self.revision += 1
            suspect.revision = self.revision
            suspect.flagged = suspect.flagged or suspect.count_crashes() >= MIN_CRASHES_LAST_TRY
            if suspect.flagged:
                self.marked_revision = self.revision
            self._update_counts()
        return added or retracted or proved

    def _evict(self) -> None:
        """Make room for a new suspect: drop one of the caller that has the most."""
        if len(self._known) < MAX_SUSPECTS:
            return
        ((caller, _),) = Counter(s.caller for s in self._known.values()).most_common(1)
        own = ((f, s) for f, s in self._known.items() if s.caller == caller)
        least, _ = min(own, key=lambda pair: (pair[1].count_crashes(), pair[1].last_crash_at))
        del self._known[least]

    def _update_counts(self) -> None:
        """Count the crashes of each flagged request that no other request explains."""
        candidates = [
            (f, s) for f, s in self._known.items() if s.count_crashes() >= MIN_CRASHES_LAST_TRY
        ]
        explained: set[str] = set()
        for _, suspect in candidates:
            if suspect.count_crashes() >= CRASHES_HELD and not suspect.succeeded:
                explained |= suspect.crashes.keys()
        self._counts = {}
        for fingerprint, suspect in candidates:
            # A request that may itself be poison keeps its count: another must not explain it away.
            poison = suspect.count_crashes() >= CRASHES_HELD and not suspect.succeeded
            crashes = suspect.crashes.keys()
            self._counts[fingerprint] = len(crashes if poison else crashes - explained)

    def is_empty(self) -> bool:
        """Return whether no request has enough crashes to restrict where it runs."""
        return not self._counts

    def get_standing(self, fingerprint: str, now: float) -> Standing:
        """Return whether and how a request may run.

        :param fingerprint: the request.
        :param now: the time.
        """
        count = self._counts.get(fingerprint, 0)
        if count < MIN_CRASHES_LAST_TRY:
            return Standing.CLEAR
        if count < CRASHES_HELD:
            return Standing.LAST
        return Standing.HELD if self.get_held_left(fingerprint, now) > 0 else Standing.TRIAL

    def get_held_left(self, fingerprint: str, now: float) -> float:
        """Return the seconds until the hold on a request expires.

        :param fingerprint: the request.
        :param now: the time.
        """
        suspect = self._known.get(fingerprint)
        if suspect is None:
            return 0.0
        further = max(0, self._counts.get(fingerprint, 0) - CRASHES_HELD)
        if suspect.succeeded:
            seconds = min(HOLD_BACKOFF_SECONDS[0], SUCCEEDED_HOLD_SECONDS * 2**further)
        else:
            seconds = HOLD_BACKOFF_SECONDS[min(further, len(HOLD_BACKOFF_SECONDS) - 1)]
        return max(0.0, suspect.last_crash_at + seconds - now)

    def count_held(self, now: float) -> int:
        """Return how many requests are held.

        :param now: the time.
        """
        return sum(self.get_standing(f, now) is Standing.HELD for f in self._counts)

    def get(self, fingerprint: str, now: float) -> Suspicion | None:
        """Return the report on a request, or None if it is not suspected.

        :param fingerprint: the request.
        :param now: the time.
        """
        suspect = self._known.get(fingerprint)
        return _make_report(fingerprint, suspect, now) if suspect is not None else None

    def list_changed(
        self, now: float, revision: int = 0, marked: bool = False
    ) -> tuple[Suspicion, ...]:
        """Return reports on the requests that changed after a revision.

        :param now: the time.
        :param revision: the last revision that the recipient knows.
        :param marked: whether to return flagged requests only.
        """
        return tuple(
            _make_report(fingerprint, suspect, now)
            for fingerprint, suspect in self._known.items()
            if suspect.revision > revision and (suspect.flagged or not marked)
        )

    def prune(self, now: float) -> None:
        """Forget requests whose last crash is older than the retention time.

        :param now: the time.
        """
        forgotten = False
        for fingerprint, suspect in list(self._known.items()):
            held = self._counts.get(fingerprint, 0) >= CRASHES_HELD
            retention = HELD_RETENTION_SECONDS if held else SUSPECT_RETENTION_SECONDS
            if now - suspect.last_crash_at > retention:
                del self._known[fingerprint]
                forgotten = True
        if forgotten:
            self._update_counts()

    def _add_credit(self, fingerprint: str, now: float) -> None:
        known = self._credits.pop(fingerprint, _Credits(0, now))
        self._credits[fingerprint] = _Credits(min(MAX_CREDITS, known.count + 1), now)
        if len(self._credits) > MAX_CREDITED_REQUESTS:
            self._credits.popitem(last=False)

    def _use_credits(self, fingerprint: str, most: int, now: float) -> int:
        """Use up to so many credits of a request; return how many were used."""
        known = self._credits.pop(fingerprint, None)
        if known is None or now - known.at > CREDIT_TTL_SECONDS:
            return 0
        used = min(most, known.count)
        if known.count > used:
            self._credits[fingerprint] = _Credits(known.count - used, known.at)
        return used


class Trials:
    """Which trials of held requests were given lately: one at a time for each request."""

    def __init__(self) -> None:
        self._claimed_at: dict[str, float] = {}

    def claim(self, fingerprint: str, now: float) -> bool:
        """Claim the trial of a request; return whether it was free.

        :param fingerprint: the request.
        :param now: the time.
        """
        self._claimed_at = {f: at for f, at in self._claimed_at.items() if now - at < TRIAL_SECONDS}
        if fingerprint in self._claimed_at:
            return False
        self._claimed_at[fingerprint] = now
        return True


def _make_report(fingerprint: str, suspect: _Suspect, now: float) -> Suspicion:
    return Suspicion(
        fingerprint,
        suspect.caller,
        suspect.route,
        tuple(suspect.crashes),
        tuple(suspect.retracted),
        now - suspect.last_crash_at,
        suspect.succeeded,
    )
