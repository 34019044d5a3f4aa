"""A gateway's evidence on what crashes upstreams: which runs they lost, and which they completed.

A crash may be blamed on the request that was running or on a part that its prompt shares with other
requests (:mod:`daleroad.blame`). Both are looked up here before anything is sent.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import anyio

from daleroad.dispatch import Attempt, ClientRequest
from daleroad.events import Event, log_event
from daleroad.fingerprints import fingerprint_job
from daleroad.fleet import Fleet
from daleroad.instances import Instance, InstanceState
from daleroad.onsets import Progress
from daleroad.promptparts import SharedPart, list_shared_parts
from daleroad.suspects import Standing, Suspects, Suspicion

_SEVERITY = (Standing.CLEAR, Standing.LAST_TRY, Standing.TRIAL, Standing.HELD)


@dataclass(frozen=True)
class Verdict:
    """Whether and how a request may run, and what that rests on.

    :param fingerprint: the request or the part of its prompt that restricts it; empty for none.
    :param part: the name of that part; empty for the request itself.
    """

    standing: Standing
    fingerprint: str = ""
    part: str = ""

    def get_severity(self) -> int:
        """Return how much it restricts; 0 for not at all."""
        return _SEVERITY.index(self.standing)

    def describe(self) -> str:
        """Return the reason for a refusal."""
        if self.part:
            return "upstreams crashed as they began to answer prompts with a part of this one"
        return "upstreams crashed while running this request"


CLEAR = Verdict(Standing.CLEAR)


@dataclass
class CrashEvidence:
    """Records crashes and successes, and judges requests by them.

    :param suspects: the requests and parts suspected of crashing upstreams.
    :param fleet: the known upstreams.
    :param tell: called with the reports on suspects that other processes need.
    """

    suspects: Suspects
    fleet: Fleet
    tell: Callable[[Suspicion], None]

    def find_verdict(self, job: ClientRequest, organisation: str, service: str) -> Verdict:
        """Return whether and how a request may run.

        :param job: the request.
        :param organisation: the organisation that sent it, or empty.
        :param service: the service that is to run it.
        """
        if self.suspects.is_empty():
            # Skips hashing the request in the common case.
            return CLEAR
        now = anyio.current_time()
        fingerprint = fingerprint_job(job, organisation)
        found = [Verdict(self.suspects.get_standing(fingerprint, now), fingerprint)]
        for part in list_shared_parts(job, service):
            standing = self.suspects.get_part_standing(part.fingerprint, organisation, now)
            found.append(Verdict(standing, part.fingerprint, part.name))
        return max(found, key=Verdict.get_severity)

    def record_lost(self, attempt: Attempt, progress: Progress) -> None:
        """Record that an upstream was lost while it may have been running a request.

        :param attempt: the attempt.
        :param progress: how far its answer had got.
        """
        if self._has_left(attempt.instance):
            return
        now = anyio.current_time()
        job, caller, instance = attempt.job, attempt.organisation, attempt.instance.id
        route = f"{job.host}{job.path}"
        fingerprint = fingerprint_job(job, caller)
        self._publish(self.suspects.record_crash(fingerprint, caller, route, instance, now))
        if progress is Progress.FAR:
            return
        begun = progress is Progress.BEGUN
        for part in list_shared_parts(job, attempt.instance.service):
            self._publish(
                self.suspects.record_part_crash(part, caller, route, instance, begun, now)
            )

    def _has_left(self, instance: Instance) -> bool:
        """Return whether an upstream announced its shutdown, which is no crash.

        A replaced instance is taken to have crashed: it is marked as gone when a newer start is
        heard of, even if it announced nothing.
        """
        known = self.fleet.get(instance.id) or instance
        return known.state is not InstanceState.READY and not self.fleet.is_replaced(known)

    def record_success(self, attempt: Attempt, clears_parts: bool = True) -> None:
        """Record that a request had a complete response.

        :param attempt: the attempt.
        :param clears_parts: whether it answers the prompt.
        """
        fingerprint = fingerprint_job(attempt.job, attempt.organisation)
        service = attempt.instance.service
        parts = tuple(list_shared_parts(attempt.job, service)) if clears_parts else ()
        self._note_success(fingerprint, parts)

    def record_far(self, attempt: Attempt) -> None:
        """Record that an upstream has got far with an answer.

        :param attempt: the attempt.
        """
        self._note_parts(list_shared_parts(attempt.job, attempt.instance.service))

    def _note_success(self, fingerprint: str, parts: Iterable[SharedPart]) -> None:
        report = self.suspects.record_success(fingerprint, anyio.current_time())
        if report is not None:
            self.tell(report)
        self._note_parts(parts)

    def _note_parts(self, parts: Iterable[SharedPart]) -> None:
        now = anyio.current_time()
        for part in parts:
            report = self.suspects.record_part_success(part.fingerprint, now)
            if report is not None:
                self.tell(report)

    def _publish(self, report: Suspicion | None) -> None:
        """Log a crash that restricts its request or part, and tell others of it."""
        if report is None:
            return
        now = anyio.current_time()
        standing = self.suspects.get_standing(report.fingerprint, now)
        if standing is not Standing.CLEAR:
            log_suspect(self.suspects.get(report.fingerprint, now), standing)
        self.tell(report)


def log_suspect(known: Suspicion | None, standing: Standing) -> None:
    """Log the crashes recorded for a suspect; ``ended`` has the ids of the instances.

    :param known: the report on it; if None, nothing is logged.
    :param standing: its standing.
    """
    if known is None:
        return
    log_event(
        Event.REQUEST_SUSPECTED,
        fingerprint=known.fingerprint,
        part=known.part,
        caller=known.caller,
        callers=list(known.callers),
        route=known.route,
        standing=standing.value,
        ended=list(known.crashes),
        begun=len(known.begun),
        answered=known.whole,
        age=round(known.age, 3),
    )
