"""Simulation that compares rules for holding back poison requests, in virtual time.

Engines crash for reasons of their own: one at a time, several at once, or one after another. The
requests that were running there are cut, and callers retry them. Some requests are identical to
others and come all the time. In some cases there are also poison requests, which crash each engine
that runs them. The figure of merit is how often a rule holds back an innocent request.

Does no I/O.
"""

import heapq
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from itertools import count
from random import Random
from typing import Protocol

from daleroad.health import Evidence, Sequential
from daleroad.modelengines import ModelEngine, ModelEngines, draw_times
from daleroad.suspects import MIN_CRASHES_HELD, Standing, Suspects

ENGINES = 7
REQUESTS_PER_SECOND = 12.0
MEAN_RUN_SECONDS = 1.5
"""Arrival rate of requests, and their mean run time."""

POPULAR_SHARE = 0.3
POPULAR_REQUESTS = 10
"""Share of arrivals that are one of a few identical requests, and the number of these."""

RETRY_SECONDS = 0.3
RETRIES = 3
"""Mean delay before a cut request is retried, and how many times it is."""

POISON_RUN_SECONDS = 0.08
"""How long a poison request runs before it crashes its engine."""

POISON_RETRY_SECONDS = 0.6
POISON_RETRIES = 30
"""Mean delay before a poison request is retried, and how many times it is."""

_POISON = "poison"


class _EventKind(StrEnum):
    """What happens next in a simulation."""

    ARRIVE = "request arrives"
    FINISH = "run finishes"
    CRASH = "engine crashes"
    GROUP_CRASH = "several engines crash"


class Rule(Protocol):
    """A rule that decides which requests are held back."""

    def record_crash(self, request: str, engine: str, now: float) -> None:
        """Record that an engine crashed while it ran a request."""

    def record_success(self, request: str, now: float) -> None:
        """Record that a request had a complete response."""

    def is_held(self, request: str, now: float) -> bool:
        """Return whether a request is held back."""


class CrashThreshold:
    """Holds a request after a number of crashes, whatever else happened.

    :param crashes: the number of crashes.
    """

    def __init__(self, crashes: int) -> None:
        self._threshold = crashes
        self._crashes: Counter[str] = Counter()

    def record_crash(self, request: str, engine: str, now: float) -> None:
        """Record that an engine crashed while it ran a request."""
        self._crashes[request] += 1

    def record_success(self, request: str, now: float) -> None:
        """Ignore complete responses."""

    def is_held(self, request: str, now: float) -> bool:
        """Return whether a request is held back."""
        return self._crashes[request] >= self._threshold


class SequentialTest:
    """Wald's sequential test of whether a request crashes 90 % or 1 % of engines that run it."""

    _DETECTOR = Sequential(good=0.01, bad=0.9, false_alarm=1e-5, missed=1e-2)

    def __init__(self) -> None:
        self._evidence: dict[str, Evidence] = {}
        self._held: set[str] = set()

    def record_crash(self, request: str, engine: str, now: float) -> None:
        """Record that an engine crashed while it ran a request."""
        if self._evidence.setdefault(request, Evidence(self._DETECTOR)).note(False):
            self._held.add(request)

    def record_success(self, request: str, now: float) -> None:
        """Record that a request had a complete response."""
        if request in self._evidence:
            self._evidence[request].note(True)

    def is_held(self, request: str, now: float) -> bool:
        """Return whether a request is held back."""
        return request in self._held


class CurrentRule:
    """The rule that gateways and entries use, :class:`Suspects`."""

    def __init__(self) -> None:
        self._suspects = Suspects()

    def record_crash(self, request: str, engine: str, now: float) -> None:
        """Record that an engine crashed while it ran a request."""
        self._suspects.record_crash(request, "caller", "route", engine, now)

    def record_success(self, request: str, now: float) -> None:
        """Record that a request had a complete response."""
        self._suspects.record_success(request, now)

    def is_held(self, request: str, now: float) -> bool:
        """Return whether a request is held back."""
        return self._suspects.get_standing(request, now) is Standing.HELD


@dataclass(frozen=True)
class CrashCase:
    """The causes of crashes in a simulation. Intervals are mean seconds; 0 turns a cause off.

    :param name: the label in the table; it also seeds the random generator.
    :param interval: interval between crashes of single engines.
    :param group: number of engines that crash at once.
    :param group_interval: interval between such crashes.
    :param poison_interval: interval between poison requests.
    :param seconds: length of the simulation.
    """

    name: str
    interval: float = 0.0
    group: int = 0
    group_interval: float = 0.0
    poison_interval: float = 0.0
    seconds: float = 300.0


CASES = (
    CrashCase("single ends", interval=5.0),
    CrashCase("many single ends", interval=1.0),
    CrashCase("ends of four at once", group=4, group_interval=20.0),
    CrashCase("all replaced in turn without a word", interval=2.0, group=2, group_interval=30.0),
    CrashCase("a crashing request", poison_interval=60.0),
    CrashCase("a crashing request beside single ends", interval=5.0, poison_interval=60.0),
)


@dataclass
class RuleOutcome:
    """The counts of a rule in simulations of one case.

    :param innocent: arrivals of requests that crash no engine.
    :param held: those of them that were held back.
    :param poison: poison requests, not counting retries.
    :param crashed_engines: engines that poison requests crashed.
    """

    innocent: int = 0
    held: int = 0
    poison: int = 0
    crashed_engines: int = 0


@dataclass(frozen=True)
class _Request:
    name: str
    retries: int


_Engine = ModelEngine[_Request]


class _Simulation:
    """One simulation of a case under a rule."""

    def __init__(self, case: CrashCase, rule: Rule, seed: int) -> None:
        self._case = case
        self._rule = rule
        self._random = Random(f"{case.name} {seed}")
        self._numbers = count()
        self._engines: ModelEngines[_Request] = ModelEngines(ENGINES, self._random)
        self._heap: list[tuple[float, int, _EventKind, _Request | None, _Engine | None]] = []
        self.outcome = RuleOutcome()

    def run(self) -> RuleOutcome:
        """Run the simulation and return the rule's counts."""
        for at, event, request in self._generate_events():
            self._push(at, event, request)
        while self._heap:
            now, number, event, request, engine = heapq.heappop(self._heap)
            match event:
                case _EventKind.ARRIVE if request is not None:
                    self._arrive(request, now)
                case _EventKind.FINISH if engine is not None:
                    self._finish(engine, number, now)
                case _EventKind.CRASH:
                    self._crash_random(1, now)
                case _EventKind.GROUP_CRASH:
                    self._crash_random(self._case.group, now)
        return self.outcome

    def _generate_events(self) -> Iterator[tuple[float, _EventKind, _Request | None]]:
        case, random = self._case, self._random
        for at in self._draw_times(1 / REQUESTS_PER_SECOND):
            yield at, _EventKind.ARRIVE, _Request(self._pick_request_name(), RETRIES)
        if case.interval:
            yield from ((at, _EventKind.CRASH, None) for at in self._draw_times(case.interval))
        if case.group_interval:
            yield from (
                (at, _EventKind.GROUP_CRASH, None) for at in self._draw_times(case.group_interval)
            )
        if case.poison_interval:
            for number, at in enumerate(self._draw_times(case.poison_interval)):
                self.outcome.poison += 1
                yield (
                    at + random.random(),
                    _EventKind.ARRIVE,
                    _Request(f"{_POISON} {number}", POISON_RETRIES),
                )

    def _draw_times(self, mean_interval: float) -> Iterator[float]:
        return draw_times(self._random, 1 / mean_interval, self._case.seconds)

    def _pick_request_name(self) -> str:
        if self._random.random() < POPULAR_SHARE:
            return f"popular {self._random.randrange(POPULAR_REQUESTS)}"
        return f"request {next(self._numbers)}"

    def _push(
        self, at: float, event: _EventKind, request: _Request | None, engine: _Engine | None = None
    ) -> int:
        number = next(self._numbers)
        heapq.heappush(self._heap, (at, number, event, request, engine))
        return number

    def _arrive(self, request: _Request, now: float) -> None:
        poison = request.name.startswith(_POISON)
        self.outcome.innocent += not poison
        if self._rule.is_held(request.name, now):
            self.outcome.held += not poison
            return
        engine = self._engines.pick(now)
        if engine is None:
            return
        seconds = POISON_RUN_SECONDS if poison else self._random.expovariate(1 / MEAN_RUN_SECONDS)
        engine.running[self._push(now + seconds, _EventKind.FINISH, request, engine)] = request

    def _finish(self, engine: _Engine, number: int, now: float) -> None:
        request = engine.running.get(number)
        if request is None:
            return
        if request.name.startswith(_POISON):
            self.outcome.crashed_engines += 1
            self._crash(engine, now)
            return
        del engine.running[number]
        self._rule.record_success(request.name, now)

    def _crash_random(self, number: int, now: float) -> None:
        for engine in self._engines.pick_several(number, now):
            self._crash(engine, now)

    def _crash(self, engine: _Engine, now: float) -> None:
        name = engine.name
        for request in self._engines.crash(engine, now):
            self._rule.record_crash(request.name, name, now)
            if request.retries:
                poison = request.name.startswith(_POISON)
                delay = POISON_RETRY_SECONDS if poison else RETRY_SECONDS
                at = now + delay * self._random.uniform(0.5, 1.5)
                self._push(at, _EventKind.ARRIVE, _Request(request.name, request.retries - 1))


def make_rules() -> dict[str, Rule]:
    """Return a new instance of each rule by its name."""
    return {
        "plain count of 2": CrashThreshold(2),
        "plain count of 3": CrashThreshold(3),
        "sequential test": SequentialTest(),
        f"in use ({MIN_CRASHES_HELD}, retracted)": CurrentRule(),
    }


def simulate(case: CrashCase, rule: Rule, seed: int) -> RuleOutcome:
    """Return the counts of a rule in one simulation of a case.

    :param case: the case.
    :param rule: a new instance of the rule.
    :param seed: seeds the random generator, with the case's name.
    """
    return _Simulation(case, rule, seed).run()


def compare_rules(cases: Iterable[CrashCase], seeds: int) -> Iterator[str]:
    """Yield a table: innocent requests held, also per million; engines lost per poison request.

    :param cases: the cases.
    :param seeds: simulations of each case and rule.
    """
    yield f"{'case':42}{'rule':26}{'innocent':>10}{'held':>7}{'per 1e6':>11}{'lost each':>12}"
    for case in cases:
        for name in make_rules():
            found = [simulate(case, make_rules()[name], seed) for seed in range(seeds)]
            innocent, held = sum(f.innocent for f in found), sum(f.held for f in found)
            lost = sum(f.crashed_engines for f in found) / max(1, sum(f.poison for f in found))
            rate = 1e6 * held / max(1, innocent)
            yield f"{case.name:42}{name:26}{innocent:>10}{held:>7}{rate:>11.0f}{lost:>12.2f}"
