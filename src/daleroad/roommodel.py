"""Simulates central placement of prompts on engines with scarce memory, in virtual time.

The workload mixes long generations, about six of which fill an engine, with short ones that each
use about a tenth of its memory for half a second. An engine out of memory preempts its newest long
generation and prefills it again later. A request is late if its first token comes after its latency
objective or if it was preempted.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from enum import StrEnum
from random import Random

from daleroad.candidates import CandidateEvaluator
from daleroad.defaults import MAX_MEMORY_WAIT_OBJECTIVES, MEMORY_WAIT_PAUSE_SECONDS
from daleroad.fleet import Fleet
from daleroad.instances import Instance, InstanceState, Sighting
from daleroad.loads import LoadTotals
from daleroad.notices import Load
from daleroad.picking import Candidate, pick_upstream
from daleroad.placing import LONG_OUTPUT, SHORT_OUTPUT, PromptKind, draw_length
from daleroad.routing import EngineRule, ServiceRule

STEP_SECONDS = 0.02
"""Step of virtual time; the prefill of a prompt takes 0.3 to 0.5 s."""

PREFILL_TOKENS_PER_SECOND = 7500.0
"""Prefill rate of an engine that also generates output."""

OUTPUT_TOKEN_SECONDS = 0.0105
"""Time per output token on an engine that spends half of its time on prefill."""

MEMORY_TOKENS = 21_873
SLOTS = 24
"""An engine's memory in tokens, and how many requests it runs concurrently."""

MAX_LONG_OUTPUT_TOKENS = 1768
MAX_SHORT_OUTPUT_TOKENS = 36
"""Output limits. Placement counts half of the limit as the memory of the output."""

_ZONES = 3
_SERVICE = ServiceRule("s", "/", 0, EngineRule(SLOTS, MEMORY_TOKENS, 0.0, True, True))
_HEARTBEAT_SECONDS = 1e9
"""So long an interval of heartbeats that no engine is ever overdue."""


class Policy(StrEnum):
    """How the engine for a prompt is chosen."""

    LEAST_LOAD = "least load"
    FIT_OR_WAIT = "where it fits, else wait"


@dataclass(frozen=True)
class MemoryCase:
    """A scenario whose disruption lasts for the middle third of the simulated time.

    :param name: its name in the table.
    :param engines: number of engines, assigned to three zones in rotation.
    :param rate: prompts per second.
    :param short_factor: multiplies the rate of short prompts during the disruption.
    :param long_factor: multiplies the rate of long prompts during the disruption.
    :param lost_share: share of the engines that are lost during it, with their requests.
    :param evacuated: number of zones that get no prompts during it.
    :param step_factors: durations of the engines' steps relative to normal, assigned in rotation.
    :param seconds: how long prompts arrive.
    """

    name: str
    engines: int = 25
    rate: float = 38.0
    short_factor: float = 1.0
    long_factor: float = 1.0
    lost_share: float = 0.0
    evacuated: int = 0
    step_factors: tuple[float, ...] = (1.0,)
    seconds: float = 36.0


CASES = (
    MemoryCase("short prompts 2.5 times", short_factor=2.5),
    MemoryCase("long prompts twice", long_factor=2.0),
    MemoryCase("a third gone and back", lost_share=0.33),
    MemoryCase("a zone evacuated in a burst", evacuated=1, short_factor=1.3, long_factor=1.3),
    MemoryCase("engines of two speeds", step_factors=(1.0, 1.0, 1.3)),
)


@dataclass
class _Request:
    """A request with its progress."""

    name: str
    kind: PromptKind
    sent_at: float
    prompt: int
    output: int
    prefill_left: float = 0.0
    generated: float = 0.0
    first_token_at: float | None = None
    preemptions: int = 0
    lost: bool = False
    engine: str = ""

    def is_long(self) -> bool:
        return self.kind is LONG_OUTPUT

    def count_tokens(self) -> int:
        """Return the tokens of memory that placement counts for it."""
        return (
            self.prompt
            + (MAX_LONG_OUTPUT_TOKENS if self.is_long() else MAX_SHORT_OUTPUT_TOKENS) // 2
        )

    def is_late(self) -> bool:
        first_token_at = self.first_token_at if self.first_token_at is not None else float("inf")
        return bool(self.preemptions) or first_token_at - self.sent_at > self.kind.objective_seconds


@dataclass
class _Engine:
    instance: Instance
    step_factor: float
    waiting: list[_Request] = field(default_factory=list)
    running: list[_Request] = field(default_factory=list)
    recomputed: float = 0.0

    def step(self, now: float) -> Iterator[_Request]:
        """Run one step; yield the requests that got their first token or ended."""
        self._admit()
        yield from self._prefill(now)
        for request in list(self.running):
            if request.prefill_left:
                continue
            request.generated += STEP_SECONDS / (OUTPUT_TOKEN_SECONDS * self.step_factor)
            if request.generated >= request.output:
                self.running.remove(request)
                yield request
        self._free_memory()

    def _admit(self) -> None:
        self.waiting.sort(key=lambda request: (request.is_long(), request.sent_at))
        for request in list(self.waiting):
            if not request.is_long():
                self._free_memory(request.prompt)
            if (
                self._count_used_tokens() + request.prompt > MEMORY_TOKENS
                or len(self.running) >= SLOTS
            ):
                return
            self.waiting.remove(request)
            request.prefill_left = request.prompt + request.generated
            self.running.append(request)

    def _prefill(self, now: float) -> Iterator[_Request]:
        left = PREFILL_TOKENS_PER_SECOND * STEP_SECONDS / self.step_factor
        for request in sorted(self.running, key=lambda request: request.is_long()):
            tokens = min(left, request.prefill_left)
            left -= tokens
            finishes = 0 < request.prefill_left <= tokens
            request.prefill_left -= tokens
            if finishes and request.first_token_at is None:
                request.first_token_at = now
                yield request

    def _count_used_tokens(self) -> float:
        return sum(request.prompt + request.generated for request in self.running)

    def _free_memory(self, needed: float = 0.0) -> None:
        """Preempt the newest long generations until the needed tokens are free."""
        while self._count_used_tokens() + needed > MEMORY_TOKENS:
            newest = max(
                (request for request in self.running if request.is_long()),
                key=lambda request: request.sent_at,
                default=None,
            )
            if newest is None:
                return
            self.running.remove(newest)
            newest.preemptions += 1
            self.recomputed += newest.prompt + newest.generated - newest.prefill_left
            self.waiting.append(newest)


@dataclass(frozen=True)
class KindShares:
    """Shares of the prompts of one kind by result."""

    in_time: float
    late: float
    lost: float


@dataclass(frozen=True)
class MemoryResult:
    """Results of one case.

    :param preemptions: number of preemptions.
    :param recomputed: tokens that were prefilled again after preemptions.
    """

    long: KindShares
    short: KindShares
    preemptions: int
    recomputed: float


class _Simulation:
    def __init__(self, case: MemoryCase, policy: Policy, seed: int) -> None:
        self.case = case
        self.policy = policy
        self.random = Random(seed)
        self.fleet = Fleet()
        self.loads = LoadTotals(float("inf"))
        self.engines: dict[str, _Engine] = {}
        self.pending: list[tuple[float, _Request]] = []
        self.all: list[_Request] = []
        for number in range(case.engines):
            zone = f"zone-{number % _ZONES}"
            ready = InstanceState.READY
            instance = Instance(f"e{number}", "s", f"{number}", zone, SLOTS, ready, 1)
            self.fleet.note(Sighting(instance, 0.0), 0.0)
            step_factor = case.step_factors[number % len(case.step_factors)]
            self.engines[instance.id] = _Engine(instance, step_factor)

    def is_disturbed(self, now: float) -> bool:
        """Return whether the disruption of the case is under way."""
        return self.case.seconds / 3 <= now < 2 * self.case.seconds / 3

    def run(self) -> MemoryResult:
        now = 0.0
        while now < self.case.seconds + 25.0:
            if now < self.case.seconds:
                self._add_arrivals(now)
            self._drop_lost_engines(now)
            self._place_pending(now)
            for engine in self.engines.values():
                for request in engine.step(now):
                    self._report_load(request, now)
            now += STEP_SECONDS
        return MemoryResult(
            _summarize(request for request in self.all if request.is_long()),
            _summarize(request for request in self.all if not request.is_long()),
            sum(request.preemptions for request in self.all),
            sum(engine.recomputed for engine in self.engines.values()),
        )

    def _add_arrivals(self, now: float) -> None:
        disturbed = self.is_disturbed(now)
        for kind, factor in (
            (LONG_OUTPUT, self.case.long_factor),
            (SHORT_OUTPUT, self.case.short_factor),
        ):
            rate = self.case.rate * kind.share * (factor if disturbed else 1.0)
            if self.random.random() < rate * STEP_SECONDS:
                prompt = int(draw_length(self.random, *kind.prompt_length))
                mean = 650.0 if kind is LONG_OUTPUT else kind.output_length[0]
                limit = MAX_LONG_OUTPUT_TOKENS if kind is LONG_OUTPUT else MAX_SHORT_OUTPUT_TOKENS
                output = max(
                    1, min(limit, int(draw_length(self.random, mean, kind.output_length[1])))
                )
                request = _Request(f"w{len(self.all)}", kind, now, prompt, output)
                self.all.append(request)
                self.pending.append((now, request))

    def _drop_lost_engines(self, now: float) -> None:
        """Drop the requests of the engines that are lost during the disruption."""
        if not self.case.lost_share or not self.is_disturbed(now):
            return
        for engine in list(self.engines.values())[: int(self.case.lost_share * self.case.engines)]:
            for request in (*engine.running, *engine.waiting):
                request.lost = True
                self.loads.set_report(request.name, (), now)
            engine.running, engine.waiting = [], []

    def _place_pending(self, now: float) -> None:
        due = [(at, request) for at, request in self.pending if at <= now]
        self.pending = [(at, request) for at, request in self.pending if at > now]
        for _, request in due:
            picked = self._pick(request, now)
            waited = now - request.sent_at
            may_wait = (
                request.is_long()
                and waited < MAX_MEMORY_WAIT_OBJECTIVES * request.kind.objective_seconds
            )
            if picked.lacks_memory and may_wait:
                self.pending.append((now + MEMORY_WAIT_PAUSE_SECONDS, request))
                continue
            request.engine = picked.instance.id
            load = Load(request.engine, 1, request.count_tokens(), request.prompt)
            self.loads.add_load(request.name, load, now)
            self.engines[request.engine].waiting.append(request)

    def _pick(self, request: _Request, now: float) -> Candidate:
        disturbed = self.is_disturbed(now)
        zones = [f"zone-{n}" for n in range(self.case.evacuated if disturbed else 0)]
        lost = int(self.case.lost_share * self.case.engines) if disturbed else 0
        excluded = [f"e{number}" for number in range(lost)]
        judge = CandidateEvaluator(
            self.fleet, _HEARTBEAT_SECONDS, self.loads.get_total, lambda name: False, zones
        )
        candidates = judge.list_candidates(_SERVICE, request.count_tokens(), excluded, now)
        if self.policy is Policy.LEAST_LOAD:
            candidates = (replace(candidate, lacks_memory=False) for candidate in candidates)
        picked = pick_upstream(candidates, "", self.random)
        assert picked is not None
        return picked

    def _report_load(self, request: _Request, now: float) -> None:
        """Report to the placer that a request got its first token or ended."""
        ended = request.generated >= request.output
        loads = () if ended else (Load(request.engine, 1, request.count_tokens()),)
        self.loads.set_report(request.name, loads, now)


def _summarize(requests: Iterable[_Request]) -> KindShares:
    listed = list(requests)
    lost = sum(request.lost for request in listed)
    late = sum(request.is_late() and not request.lost for request in listed)
    count = max(1, len(listed))
    return KindShares((count - lost - late) / count, late / count, lost / count)


def simulate(case: MemoryCase, policy: Policy, seed: int) -> MemoryResult:
    """Run one case and return its results.

    :param case: the scenario.
    :param policy: how engines are chosen.
    :param seed: seed of arrivals, lengths and noise.
    """
    return _Simulation(case, policy, seed).run()


def format_cases(cases: Iterable[MemoryCase], seed: int) -> Iterator[str]:
    """Yield the rows of a table that compares the policies in each case.

    :param cases: the cases.
    :param seed: seed of arrivals, lengths and noise.
    """
    yield f"{'load':<30}{'policy':<26}{'long':>7}{'short':>7}{'preempted':>11}{'read again':>12}"
    for case in cases:
        for policy in Policy:
            result = simulate(case, policy, seed)
            shares = f"{result.long.in_time:>7.3f}{result.short.in_time:>7.3f}"
            recomputation = f"{result.preemptions:>11}{result.recomputed:>12.0f}"
            yield f"{case.name:<30}{policy:<26}{shares}{recomputation}"
