"""A gateway's evidence on what crashes upstreams: which runs they lost, and which they completed.

A crash may be blamed on the request that was running or on a part that its prompt shares with other
requests (:mod:`daleroad.blame`). Both are looked up here before anything is sent.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

import anyio

from daleroad.dispatch import Attempt, ClientRequest
from daleroad.events import Event, log_event
from daleroad.fingerprints import fingerprint_job
from daleroad.fleet import Fleet
from daleroad.instances import Instance, InstanceState
from daleroad.lifesigns import LifeSigns
from daleroad.onsets import Progress
from daleroad.promptparts import SharedPart, list_shared_parts
from daleroad.sharedsuspects import UNCONFIRMED_SECONDS
from daleroad.suspects import Standing, Suspects
from daleroad.suspicions import Suspicion

CUT_TOGETHER_SECONDS = 0.2
"""Time within which the connections to an upstream that crashes end."""

MAX_UNCONFIRMED = 256
"""Answers that wait to be confirmed; beyond that the oldest is dropped."""

MAX_ROUTE_CHARS = 256
"""Length to which the host and path of a suspected request are cut; clients choose the path."""

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


@dataclass(frozen=True)
class _Run:
    """What is known of one attempt once it is over."""

    instance: Instance
    caller: str
    route: str
    fingerprint: str
    parts: tuple[SharedPart, ...]


@dataclass(frozen=True)
class _Unconfirmed:
    """An answer that ended with its connection: complete, or cut between two events by a crash."""

    run: _Run
    ended_at: float
    progress: Progress


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
    _unconfirmed: deque[_Unconfirmed] = field(default_factory=lambda: deque(maxlen=MAX_UNCONFIRMED))

    def __post_init__(self) -> None:
        self._life_signs = LifeSigns(self.fleet)

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
        now = anyio.current_time()
        self._record_crash(_describe_run(attempt), progress, now, now)
        ended_beside = [
            answer
            for answer in self._unconfirmed
            if answer.run.instance.id == attempt.instance.id
            and now - answer.ended_at <= CUT_TOGETHER_SECONDS
        ]
        for answer in ended_beside:
            self._unconfirmed.remove(answer)
            self._record_crash(answer.run, answer.progress, answer.ended_at, now)

    def _record_crash(self, run: _Run, progress: Progress, crashed_at: float, now: float) -> None:
        """Record a crash against a request, and against its parts unless its answer had got far."""
        if self._has_left(run.instance):
            return
        instance = run.instance.id
        self._publish(
            self.suspects.record_crash(run.fingerprint, run.caller, run.route, instance, now)
        )
        begun, age = progress is Progress.BEGUN, now - crashed_at
        for part in run.parts if progress is not Progress.FAR else ():
            self._publish(
                self.suspects.record_part_crash(
                    part, run.caller, run.route, instance, begun, now, age
                )
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
        run = _describe_run(attempt)
        self._record_whole(run if clears_parts else replace(run, parts=()))

    def record_undelimited(self, attempt: Attempt, progress: Progress) -> None:
        """Record a response that ended with its connection, and looks complete.

        What it shows is known once its upstream is heard from again, or is not.

        :param attempt: the attempt.
        :param progress: how far it had got.
        """
        run = _describe_run(attempt)
        self._unconfirmed.append(_Unconfirmed(run, anyio.current_time(), progress))

    def record_far(self, attempt: Attempt) -> None:
        """Record that an upstream has got far with an answer.

        :param attempt: the attempt.
        """
        parts = list_shared_parts(attempt.job, attempt.instance.service)
        self._note_parts(parts, attempt.organisation)

    def settle_undelimited(self, now: float) -> None:
        """Count the responses that ended with their connections, as far as more is known now.

        :param now: the time.
        """
        waiting, self._unconfirmed = self._unconfirmed, deque(maxlen=MAX_UNCONFIRMED)
        for answer in waiting:
            instance = answer.run.instance
            if self._life_signs.prove_alive(instance.id, answer.ended_at, now):
                self._record_whole(answer.run)
            elif self.fleet.is_replaced(instance) or self.fleet.is_late(instance.id):
                self._record_crash(answer.run, answer.progress, answer.ended_at, now)
            elif now - answer.ended_at <= UNCONFIRMED_SECONDS:
                self._unconfirmed.append(answer)
        self._life_signs.keep_only({answer.run.instance.id for answer in self._unconfirmed})

    def count_unconfirmed(self) -> int:
        """Return how many responses that ended with their connections still wait to be counted."""
        return len(self._unconfirmed)

    def _record_whole(self, run: _Run) -> None:
        report = self.suspects.record_success(run.fingerprint, anyio.current_time())
        if report is not None:
            self.tell(report)
        self._note_parts(run.parts, run.caller)

    def _note_parts(self, parts: Iterable[SharedPart], caller: str) -> None:
        now = anyio.current_time()
        for part in parts:
            report = self.suspects.record_part_success(part.fingerprint, caller, now)
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


def _describe_run(attempt: Attempt) -> _Run:
    job, caller = attempt.job, attempt.organisation
    return _Run(
        attempt.instance,
        caller,
        f"{job.host}{job.path}"[:MAX_ROUTE_CHARS],
        fingerprint_job(job, caller),
        tuple(list_shared_parts(job, attempt.instance.service)),
    )


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
