"""Detection of poison requests and poison parts of prompts, which crash upstreams that run them.

When an upstream crashes, every request that it was running is a suspect, and so are the parts that
their prompts share with others. These rules tell poison from what merely ran beside it:

- Only crashes of different instances count, and several are needed.
- A poison request never has a complete response. Each complete response cancels one crash that is
  recorded already, or else becomes a credit, which cancels one recorded soon after.
- An engine never gets far with an answer on a poison part. Any answer that does cancels all crashes
  of the part, those recorded soon after as well.
- An instance that is heard from after its supposed crash is alive, so that crash is retracted.
- What explains a crash better takes the blame for it, see :mod:`daleroad.blame`.

A part is held for the organisations whose requests crashed upstreams with it, and for all once
there are two of these: no organisation can have a part of another's prompts held by itself.

Processes exchange reports of crashes by instance, of those that were retracted, and of whether
there was a complete response. Merging a report adds to these; a retracted crash doesn't come back
when it is reported again. The reports of ``list_changed`` carry all of these for a suspect, so
processes that exchange them, in any order and repeatedly, agree on the crashes, as far as none was
dropped under the limits below.

Does no I/O; the caller passes in the time.
"""

from collections import Counter, OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from daleroad.answeredparts import AnsweredParts
from daleroad.blame import (
    MIN_CRASHES_HELD,
    MIN_CRASHES_LAST_TRY,
    count_blamed_crashes,
)
from daleroad.promptparts import SharedPart
from daleroad.suspicions import HOLD_BACKOFF_SECONDS, Suspect, Suspicion

PART_SUCCESS_SECONDS = 10.0
"""Time for which an answer on a part cancels crashes that are recorded later: those of upstreams
that crash for other reasons."""

SUSPECT_RETENTION_SECONDS = 600.0
"""Time since its last crash after which a request with fewer than MIN_CRASHES_HELD counted crashes
is forgotten."""

HELD_RETENTION_SECONDS = 2 * HOLD_BACKOFF_SECONDS[-1]
"""Time since its last crash after which a request with MIN_CRASHES_HELD counted crashes or more is
forgotten, whether it is held or may have a trial."""

TRIAL_INTERVAL_SECONDS = 10.0
"""Minimum time between two trials of one request; by then a crash in the first one is known."""

MAX_SUSPECTS = 2048
"""Requests and parts remembered, at about 600 bytes each. When there is no room for a new one, the
organisation with the most of them loses one of its own."""

MAX_CREDITED_REQUESTS = 4096
"""Requests remembered that have credits for recent complete responses. Beyond that, the request is
forgotten whose last complete response is the oldest."""

MAX_CREDITS = 10
"""Credits that one request can have in one process, each to cancel a later crash. There can be
several, since identical requests that come all the time are running on any upstream that crashes.
Their number is limited, so that such a request is still held if it begins to crash upstreams."""

CREDIT_TTL_SECONDS = 10.0
"""Time since a request's last credit after which all its credits lapse. While a crash of it is
recorded here, a complete response cancels that instead of adding a credit. A request that has begun
to crash upstreams has no further complete responses, so it soon has no credits."""


class Standing(StrEnum):
    """Whether and how a request may run, by its counted crashes.

    For a last try and a trial, gateways choose the healthy upstream with the fewest requests, so
    that another crash loses the least work.
    """

    CLEAR = "clear"
    """It may run anywhere."""
    LAST_TRY = "last try"
    """One more counted crash, and it is held. Until then its tries aren't counted."""
    TRIAL = "trial"
    """Its hold has expired. It may be tried; a gateway must claim the trial (:class:`Trials`)."""
    HELD = "held"
    """It must reach no upstream."""


@dataclass(frozen=True)
class _Credits:
    """Complete responses that cancel later crashes, and when the last of them was recorded."""

    count: int
    at: float


class Suspects:
    """The requests and parts of prompts that one process suspects of crashing upstreams.

    A suspect is flagged once it has MIN_CRASHES_LAST_TRY crashes, and stays flagged when crashes
    are retracted, so that those who heard of it hear of the retraction.

    :ivar revision: grows with each change that a report makes here.
    :ivar flagged_revision: the revision of the last change to a flagged suspect.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.flagged_revision = 0
        self._known: dict[str, Suspect] = {}
        self._counts: Mapping[str, int] = {}
        self._credits: OrderedDict[str, _Credits] = OrderedDict()
        self._answered = AnsweredParts()

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
        if suspect is not None and suspect.has_recorded(instance, begun=False):
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

    def record_part_crash(
        self,
        part: SharedPart,
        caller: str,
        route: str,
        instance: str,
        begun: bool,
        now: float,
        age: float = 0.0,
    ) -> Suspicion | None:
        """Record that an instance crashed which had not got far with an answer on a part.

        Return a report for others, if any.

        :param part: the part.
        :param caller: the organisation that sent the request, or empty.
        :param route: the route that it took.
        :param instance: the instance's id.
        :param begun: whether the answer had begun to arrive.
        :param now: the time.
        :param age: seconds since the crash.
        """
        suspect = self._known.get(part.fingerprint)
        known = suspect is not None and caller in suspect.callers
        if known and suspect is not None and suspect.has_recorded(instance, begun):
            return None
        crashes = (instance,)
        answered_at = self._answered.get(part.fingerprint)
        recent = answered_at is not None and now - age - answered_at <= PART_SUCCESS_SECONDS
        report = Suspicion(
            part.fingerprint,
            caller,
            route,
            crashes,
            crashes if recent else (),
            age,
            whole=answered_at is not None,
            part=part.name,
            depth=part.depth,
            begun=crashes if begun else (),
            callers=(caller,),
            ages=(age,),
        )
        # Others get all that is known here, as only this process knows how far apart crashes were.
        return self.get(part.fingerprint, now) if self.merge(report, now) else None

    def record_part_success(self, fingerprint: str, caller: str, now: float) -> Suspicion | None:
        """Record that an engine got far with an answer on a part; return a report for others.

        :param fingerprint: the part.
        :param caller: the organisation that sent the request, or empty.
        :param now: the time.
        """
        self._answered.add(fingerprint, caller, now)
        return self._clear_part(fingerprint, now)

    def _clear_part(self, fingerprint: str, now: float) -> Suspicion | None:
        """Cancel the crashes of a part that had an answer here; return a report for others."""
        suspect = self._known.get(fingerprint)
        answered_at = self._answered.get(fingerprint)
        if suspect is None or answered_at is None:
            return None
        recent = now - answered_at <= PART_SUCCESS_SECONDS
        crashes = list(suspect.crashes) if recent else []
        if not crashes and suspect.succeeded:
            return None
        return self._retract(fingerprint, suspect, crashes, now, succeeded=True)

    def apply_credits(self, fingerprint: str, now: float) -> Suspicion | None:
        """Cancel crashes with what succeeded here; return a report for others, if any.

        Called after reports of other processes were merged.

        :param fingerprint: the request or part.
        :param now: the time.
        """
        suspect = self._known.get(fingerprint)
        if suspect is None:
            return None
        if suspect.part:
            return self._clear_part(fingerprint, now)
        used = self._use_credits(fingerprint, len(suspect.crashes), now)
        if not used:
            return None
        crashes = list(suspect.crashes)[:used]
        return self._retract(fingerprint, suspect, crashes, now, succeeded=True)

    def release(self, fingerprint: str, instances: Iterable[str], now: float) -> Suspicion | None:
        """Retract crashes of a suspect at an operator's order; return a report for others, if any.

        :param fingerprint: the request or part.
        :param instances: the instances whose crashes are retracted; others are left as they are.
        :param now: the time.
        """
        suspect = self._known.get(fingerprint)
        crashes = [] if suspect is None else [i for i in instances if i in suspect.crashes]
        if suspect is None or not crashes:
            return None
        return self._retract(fingerprint, suspect, crashes, now)

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
        suspect: Suspect,
        instances: list[str],
        now: float,
        succeeded: bool = False,
    ) -> Suspicion:
        retracted = tuple(instances)
        age = now - suspect.last_crash_at
        report = Suspicion(
            fingerprint, suspect.organisation, suspect.route, (), retracted, age, succeeded
        )
        self.merge(report, now)
        return report

    def merge(self, report: Suspicion, now: float) -> bool:
        """Merge a report into the state here; return whether it changed anything.

        A report without crashes is ignored if its request is unknown here.

        :param report: the report, made here or by another process.
        :param now: the time.
        """
        suspect = self._known.get(report.fingerprint)
        if suspect is None:
            if not report.crashes:
                return False
            self._evict()
            suspect = Suspect(
                report.caller, report.route, now - report.age, 0, report.part, report.depth
            )
            self._known[report.fingerprint] = suspect
        retracted = suspect.retract(report.cleared)
        added = suspect.add_crashes(report, now)
        detailed = suspect.add_details(report)
        detailed |= bool(report.ages) and suspect.correct_times(report, now)
        newly_succeeded = report.whole and not suspect.succeeded
        suspect.succeeded = suspect.succeeded or report.whole
        if added:
            suspect.last_crash_at = max(suspect.last_crash_at, now - report.age)
        changed = added or retracted or detailed or newly_succeeded
        if changed:
            self.revision += 1
            suspect.revision = self.revision
            suspect.flagged = suspect.flagged or suspect.count_crashes() >= MIN_CRASHES_LAST_TRY
            if suspect.flagged:
                self.flagged_revision = self.revision
            if self._affects_counts(report.fingerprint, suspect):
                self._update_counts()
        return changed

    def _evict(self) -> None:
        """Make room for a new suspect: drop one of the organisation that has the most.

        It is the one with the fewest crashes, and among these with the oldest last crash.
        """
        if len(self._known) < MAX_SUSPECTS:
            return
        ((organisation, _),) = Counter(s.organisation for s in self._known.values()).most_common(1)
        own = ((f, s) for f, s in self._known.items() if s.organisation == organisation)
        least, _ = min(own, key=lambda pair: (pair[1].count_crashes(), pair[1].last_crash_at))
        del self._known[least]

    def _update_counts(self) -> None:
        """Attribute the crashes to the suspects that have several."""
        self._counts = count_blamed_crashes(
            suspect.make_record(fingerprint)
            for fingerprint, suspect in self._known.items()
            if suspect.may_be_blamed()
        )

    def _affects_counts(self, fingerprint: str, suspect: Suspect) -> bool:
        """Return whether a change of a suspect may change what is blamed."""
        return suspect.may_be_blamed() or fingerprint in self._counts

    def is_empty(self) -> bool:
        """Return whether nothing has enough crashes to restrict where it runs."""
        return not self._counts

    def get_part_standing(self, fingerprint: str, caller: str, now: float) -> Standing:
        """Return whether and how an organisation's requests with a part may run.

        :param fingerprint: the part.
        :param caller: the organisation, or empty.
        :param now: the time.
        """
        suspect = self._known.get(fingerprint)
        if suspect is None or not suspect.is_held_for(caller):
            return Standing.CLEAR
        return self.get_standing(fingerprint, now)

    def get_standing(self, fingerprint: str, now: float) -> Standing:
        """Return whether and how a request may run, or requests with a part.

        :param fingerprint: the request or part.
        :param now: the time.
        """
        count = self._counts.get(fingerprint, 0)
        if count < MIN_CRASHES_LAST_TRY:
            return Standing.CLEAR
        if count < MIN_CRASHES_HELD:
            return Standing.LAST_TRY
        return Standing.HELD if self.get_hold_remaining(fingerprint, now) > 0 else Standing.TRIAL

    def get_hold_remaining(self, fingerprint: str, now: float) -> float:
        """Return the seconds until the hold on a request expires; 0 if it has.

        Returns 0 for an unknown request. Doesn't check that a known one has enough crashes to be
        held.

        :param fingerprint: the request.
        :param now: the time.
        """
        suspect = self._known.get(fingerprint)
        if suspect is None:
            return 0.0
        seconds = suspect.get_hold_seconds(self._counts.get(fingerprint, 0))
        return max(0.0, suspect.last_crash_at + seconds - now)

    def has_succeeded(self, fingerprint: str) -> bool:
        """Return whether a suspect is known to have had a complete response.

        :param fingerprint: the request or part.
        """
        suspect = self._known.get(fingerprint)
        return suspect is not None and suspect.succeeded

    def count_held(self, now: float) -> int:
        """Return how many requests and parts are held.

        :param now: the time.
        """
        return sum(self.get_standing(f, now) is Standing.HELD for f in self._counts)

    def count_held_parts(self, now: float) -> int:
        """Return how many parts are held.

        :param now: the time.
        """
        parts = (f for f in self._counts if self._known[f].part)
        return sum(self.get_standing(f, now) is Standing.HELD for f in parts)

    def get(self, fingerprint: str, now: float) -> Suspicion | None:
        """Return the report on a request, or None if it is not suspected.

        :param fingerprint: the request.
        :param now: the time.
        """
        suspect = self._known.get(fingerprint)
        return suspect.make_report(fingerprint, now) if suspect is not None else None

    def list_changed(
        self, now: float, revision: int = 0, flagged_only: bool = False
    ) -> tuple[Suspicion, ...]:
        """Return reports on the requests that changed after a revision.

        :param now: the time.
        :param revision: the last revision that the recipient knows.
        :param flagged_only: whether to return reports on flagged requests only.
        """
        return tuple(
            suspect.make_report(fingerprint, now)
            for fingerprint, suspect in self._known.items()
            if suspect.revision > revision and (suspect.flagged or not flagged_only)
        )

    def prune(self, now: float) -> None:
        """Forget requests whose last crash is older than the retention time.

        :param now: the time.
        """
        forgotten = False
        for fingerprint, suspect in list(self._known.items()):
            has_hold = self._counts.get(fingerprint, 0) >= MIN_CRASHES_HELD
            retention = HELD_RETENTION_SECONDS if has_hold else SUSPECT_RETENTION_SECONDS
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
        """Use up at most ``most`` credits of a request that have not lapsed; return how many."""
        known = self._credits.pop(fingerprint, None)
        if known is None or now - known.at > CREDIT_TTL_SECONDS:
            return 0
        used = min(most, known.count)
        if known.count > used:
            self._credits[fingerprint] = _Credits(known.count - used, known.at)
        return used


class Trials:
    """The trials claimed in the last TRIAL_INTERVAL_SECONDS, one for each request."""

    def __init__(self) -> None:
        self._claimed_at: dict[str, float] = {}

    def claim(self, fingerprint: str, now: float) -> bool:
        """Claim the trial of a request; return whether it was free.

        :param fingerprint: the request.
        :param now: the time.
        """
        self._claimed_at = {
            f: at for f, at in self._claimed_at.items() if now - at < TRIAL_INTERVAL_SECONDS
        }
        if fingerprint in self._claimed_at:
            return False
        self._claimed_at[fingerprint] = now
        return True
