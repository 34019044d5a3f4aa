"""The bench: policies on engine models in virtual time, through the decisions' own events.

It models no network and no cluster. The same seed gives the same run.
"""

import heapq
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import count
from random import Random
from typing import TypeAlias

from hdrh.histogram import HdrHistogram

from daleroad.admission import (
    AdmissionController,
    Admitted,
    FixedLimitPolicy,
    MeanLengthPolicy,
    PeakMemoryPolicy,
    Policy,
    Refused,
    UnlimitedPolicy,
    UpstreamReport,
)
from daleroad.enginemodel import EngineModel, EngineParameters, Sequence
from daleroad.lengths import OutputLengths
from daleroad.messages import Work
from daleroad.ranking import rank_upstreams
from daleroad.records import Upstream
from daleroad.workload import LENGTH_MOST, PARTNERS, Arrival, generate_arrivals

MICROSECONDS = 1_000_000
STALL_SECONDS = 0.25
_MOST = 3_600 * MICROSECONDS
_REPORT_SECONDS = 0.5
_ADVANCE_SECONDS = 0.1
_TRY_MOST = 3
_FOREVER = 1e9


class PolicyName(StrEnum):
    """The policies that are compared."""

    ROUND_ROBIN = "round-robin"
    LEAST_CONNECTIONS = "least-connections"
    MEAN_LENGTH = "mean-length"
    OURS = "ours"


@dataclass(frozen=True)
class RunOptions:
    """One run of the bench. Times in seconds of virtual time.

    :param load: offered tokens over the pool's capacity in tokens a second.
    :param floods: factor on a partner's part of the load, by partner.
    :param warm_up: part of the run that is not counted.
    """

    policy: PolicyName
    load: float
    capacity: float
    seconds: float = 120.0
    engines: int = 4
    seed: int = 1
    shape: EngineParameters = EngineParameters(capacity=12_000, slots=32)
    floods: tuple[tuple[str, float], ...] = ()
    warm_up: float = 0.25


@dataclass(frozen=True)
class Arrived:
    """A request came."""

    arrival: Arrival


@dataclass(frozen=True)
class Stepped:
    """An engine's step is over."""

    engine: int


@dataclass(frozen=True)
class Reported:
    """An engine reports."""

    engine: int


@dataclass(frozen=True)
class Advanced:
    """Time passes for the queues."""


Happening: TypeAlias = Arrived | Stepped | Reported | Advanced


@dataclass
class _Request:
    """A request on its way."""

    arrival: Arrival
    engine: int = -1
    last_at: float = 0.0
    first_at: float = -1.0
    stalled: float = 0.0


def make_histogram() -> HdrHistogram:
    """Return a histogram of microseconds up to an hour."""
    return HdrHistogram(1, _MOST, 3)


@dataclass
class RunResult:
    """What a run gave. Histograms in microseconds."""

    options: RunOptions
    counted_seconds: float
    asked: int = 0
    whole: int = 0
    lost: int = 0
    preemptions: int = 0
    tokens: Counter[str] = field(default_factory=Counter)
    whole_by_partner: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    refused_by_partner: Counter[str] = field(default_factory=Counter)
    stall: HdrHistogram = field(default_factory=make_histogram)
    gap: HdrHistogram = field(default_factory=make_histogram)
    urgent_first: HdrHistogram = field(default_factory=make_histogram)
    long_first: HdrHistogram = field(default_factory=make_histogram)


def make_policy(name: PolicyName) -> Policy:
    """Return a policy with its usual parameters.

    :param name: which.
    """
    match name:
        case PolicyName.ROUND_ROBIN:
            return UnlimitedPolicy()
        case PolicyName.LEAST_CONNECTIONS:
            return FixedLimitPolicy(24)
        case PolicyName.MEAN_LENGTH:
            return MeanLengthPolicy()
        case PolicyName.OURS:
            return PeakMemoryPolicy()


class Run:
    """One run: engine models, one admission each, and the events between them.

    :param options: what to run.
    """

    def __init__(self, options: RunOptions) -> None:
        self.options = options
        self.plain = options.policy is not PolicyName.OURS
        self.random = Random(options.seed)
        lengths = OutputLengths()
        policy = make_policy(options.policy)
        shape = options.shape
        reserve = 0.0 if self.plain else 0.1
        self.batches = [EngineModel(shape) for _ in range(options.engines)]
        self.admissions = [
            AdmissionController(shape.capacity, shape.slots, lengths, policy, 100_000, reserve)
            for _ in range(options.engines)
        ]
        if not self.plain:
            for admission in self.admissions:
                admission.set_shares(dict.fromkeys(PARTNERS, 0.5))
        self.upstreams = [
            Upstream(str(i), "", "pool", "", shape.capacity) for i in range(options.engines)
        ]
        self.now = 0.0
        self.result = RunResult(options, options.seconds * (1 - options.warm_up))
        self._requests: dict[str, _Request] = {}
        self._reports: list[list[UpstreamReport]] = [[] for _ in range(options.engines)]
        self._stepping = [False] * options.engines
        self._turn = 0
        self._agenda: list[tuple[float, int, Happening]] = []
        self._order = count()

    def run(self) -> RunResult:
        """Run to the end of the time and return what it gave."""
        options = self.options
        for arrival in generate_arrivals(self.random, options.seconds, self._get_rates()):
            self._plan(arrival.at, Arrived(arrival))
        for engine in range(options.engines):
            self._plan(_REPORT_SECONDS * (1 + engine / options.engines), Reported(engine))
        self._plan(_ADVANCE_SECONDS, Advanced())
        while self._agenda:
            self.now, _, happening = heapq.heappop(self._agenda)
            if self.now > options.seconds:
                break
            self._handle(happening)
        return self.result

    def _get_rates(self) -> dict[str, float]:
        floods = dict(self.options.floods)
        each = self.options.load * self.options.capacity / len(PARTNERS)
        return {partner: each * floods.get(partner, 1.0) for partner in PARTNERS}

    def _plan(self, at: float, happening: Happening) -> None:
        heapq.heappush(self._agenda, (at, next(self._order), happening))

    def _handle(self, happening: Happening) -> None:
        match happening:
            case Arrived(arrival):
                self._arrive(arrival)
            case Stepped(engine):
                self._stepping[engine] = False
                self._start_step(engine)
            case Reported(engine):
                self._report(engine)
                self._plan(self.now + _REPORT_SECONDS, happening)
            case Advanced():
                for engine in range(self.options.engines):
                    self._advance(engine)
                self._plan(self.now + _ADVANCE_SECONDS, happening)

    def _is_counted(self, arrival: Arrival) -> bool:
        return arrival.at >= self.options.seconds * self.options.warm_up

    # Placement and admission.

    def _arrive(self, arrival: Arrival) -> None:
        if self._is_counted(arrival):
            self.result.asked += 1
        if self.plain:
            engine = self._pick_plainly()
            self._ask(arrival, engine, may_wait=True)
            return
        ranked = rank_upstreams(
            self.upstreams,
            f"{arrival.kind.route}{arrival.organisation}",
            lambda name: self.admissions[int(name)].get_load(),
            self.random,
        )
        least, best = _FOREVER, ranked[0]
        for upstream in ranked[:_TRY_MOST]:
            wait = self._ask(arrival, int(upstream.name), may_wait=False)
            if wait is None:
                return
            if wait < least:
                least, best = wait, upstream
        self._ask(arrival, int(best.name), may_wait=True)

    def _pick_plainly(self) -> int:
        self._turn += 1
        if self.options.policy is PolicyName.ROUND_ROBIN:
            return self._turn % self.options.engines
        loads = [
            (len(a) + a.count_queued(), (i + self._turn) % self.options.engines, i)
            for i, a in enumerate(self.admissions)
        ]
        return min(loads)[2]

    def _ask(self, arrival: Arrival, engine: int, may_wait: bool) -> float | None:
        """Ask for admission; return the expected wait if it was only declined."""
        work = self._make_work(arrival)
        decision = self.admissions[engine].ask(work, self.now, 1.0, may_wait)
        match decision:
            case Admitted():
                self._dispatch(arrival, engine)
            case Refused(_, failure) if may_wait:
                self._refuse(arrival, failure.kind.value)
            case Refused(_, failure):
                return failure.retry_after or 0.0
            case _:
                self._requests[work.generation] = _Request(arrival, engine)
        return None

    def _make_work(self, arrival: Arrival) -> Work:
        kind = arrival.kind
        if self.plain:
            return Work(
                str(arrival.number),
                "",
                "",
                kind.route,
                "m",
                False,
                kind.prompt,
                LENGTH_MOST,
                _FOREVER,
            )
        return Work(
            str(arrival.number),
            arrival.organisation,
            kind.partner,
            kind.route,
            "m",
            kind.urgent,
            kind.prompt,
            LENGTH_MOST,
            kind.deadline,
        )

    def _refuse(self, arrival: Arrival, reason: str) -> None:
        self._requests.pop(str(arrival.number), None)
        if self._is_counted(arrival):
            self.result.refused[reason] += 1
            self.result.refused_by_partner[arrival.kind.partner] += 1

    def _dispatch(self, arrival: Arrival, engine: int) -> None:
        request = self._requests.setdefault(str(arrival.number), _Request(arrival))
        request.engine = engine
        urgent = arrival.kind.urgent and not self.plain
        prefix = f"{arrival.kind.route}{arrival.organisation}"
        sequence = Sequence(
            str(arrival.number),
            arrival.kind.prompt,
            arrival.length,
            0 if urgent else 10,
            prefix,
        )
        self.batches[engine].add(sequence)
        self._start_step(engine)

    def _advance(self, engine: int) -> None:
        for decision in self.admissions[engine].process_queues(self.now):
            request = self._requests[decision.work.generation]
            match decision:
                case Admitted():
                    self._dispatch(request.arrival, engine)
                case Refused(_, failure):
                    self._refuse(request.arrival, failure.kind.value)

    def _report(self, engine: int) -> None:
        """Report with a lag of one report, as the stand-in engine does."""
        batch = self.batches[engine]
        produced = {s.generation: s.produced for s in [*batch.running, *batch.waiting]}
        reports = self._reports[engine]
        reports.append(UpstreamReport(batch.used, batch.preemptions, produced))
        self.admissions[engine].report(reports[max(0, len(reports) - 2)], self.now)
        del reports[:-2]

    # Engines.

    def _start_step(self, engine: int) -> None:
        batch = self.batches[engine]
        if self._stepping[engine] or batch.is_idle():
            return
        step = batch.step()
        self._stepping[engine] = True
        done_at = self.now + step.seconds
        self._plan(done_at, Stepped(engine))
        counted = self.now >= self.options.seconds * self.options.warm_up
        if counted:
            self.result.preemptions += len(step.preempted)
        self._note_tokens(step.produced, done_at, counted)
        for sequence in step.finished:
            self._end(sequence, engine, done_at)

    def _note_tokens(self, produced: tuple[Sequence, ...], at: float, counted: bool) -> None:
        result = self.result
        gaps: Counter[float] = Counter()
        for sequence in produced:
            request = self._requests[sequence.generation]
            if request.first_at < 0:
                request.first_at = at
                self._note_first(request, at)
            else:
                gap = at - request.last_at
                gaps[gap] += 1
                if gap > STALL_SECONDS:
                    request.stalled += gap
            request.last_at = at
            if counted:
                result.tokens[request.arrival.kind.partner] += 1
        if counted:
            for gap, times in gaps.items():
                result.gap.record_value(max(1, int(gap * MICROSECONDS)), times)

    def _note_first(self, request: _Request, at: float) -> None:
        arrival = request.arrival
        if self._is_counted(arrival):
            target = self.result.urgent_first if arrival.kind.urgent else self.result.long_first
            target.record_value(max(1, int((at - arrival.at) * MICROSECONDS)))

    def _end(self, sequence: Sequence, engine: int, at: float) -> None:
        request = self._requests.pop(sequence.generation)
        self.admissions[engine].finish(sequence.generation, sequence.produced)
        if at >= self.options.seconds * self.options.warm_up:
            self.result.whole += 1
            self.result.whole_by_partner[request.arrival.kind.partner] += 1
            self.result.stall.record_value(max(1, int(request.stalled * MICROSECONDS)))
        self._advance(engine)


def measure_capacity(options: RunOptions) -> float:
    """Return the pool's capacity in tokens a second: the best policy's at a flood of work.

    :param options: the pool; policy and load are replaced.
    """
    best = 0.0
    for name in (PolicyName.LEAST_CONNECTIONS, PolicyName.MEAN_LENGTH):
        flood = RunOptions(
            name, 1.0, 1e4, options.seconds, options.engines, options.seed, options.shape
        )
        result = Run(flood).run()
        best = max(best, sum(result.tokens.values()) / result.counted_seconds)
    return best


def run_matrix(
    loads: tuple[float, ...], seconds: float, engines: int, seed: int
) -> Iterator[RunResult]:
    """Yield the results of all policies at several loads.

    :param loads: offered load over capacity.
    :param seconds: virtual time of each run.
    :param engines: engines of the pool.
    :param seed: seed of arrivals and lengths.
    """
    base = RunOptions(PolicyName.OURS, 1.0, 0.0, seconds, engines, seed)
    capacity = measure_capacity(base)
    for load in loads:
        for policy in PolicyName:
            yield Run(RunOptions(policy, load, capacity, seconds, engines, seed)).run()
