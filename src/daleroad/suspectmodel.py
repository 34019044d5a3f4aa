"""How often an innocent request is held back, by the rule in use and others, in virtual time. Pure.

Engines end for reasons of their own: one at a time, several at once, or in turn. What ran there is
cut, and callers send it again. Some callers ask for the same thing to the letter all the time. Now
and then there is a request that ends each engine which begins it.
"""

import heapq
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import count
from random import Random
from typing import Protocol

from daleroad.health import Evidence, Sequential
from daleroad.suspects import CRASHES_HELD, Standing, Suspects

ENGINES = 7
DOWN_SECONDS = 3.0
"""Time from an engine's end until another one takes its place."""

REQUESTS_A_SECOND = 12.0
MEAN_SECONDS = 1.5
"""Requests that come, and how long one runs in the mean."""

POPULAR_SHARE = 0.3
POPULAR = 10
"""Part of the requests that are the same as others to the letter, and how many such there are."""

AGAIN_SECONDS = 0.3
RETRIES = 3
"""How soon a request that was cut comes again, and how often."""

CRASHER_SECONDS = 0.08
"""How long a request runs until its engine ends under it."""

CRASHER_AGAIN_SECONDS = 0.6
CRASHER_TIMES = 30
"""How soon it comes again, and how often."""

_CRASHER = "crasher"


class _What(StrEnum):
    """What happens next in a play."""

    ARRIVE = "a request comes"
    FINISH = "a run is over"
    END = "an engine ends"
    HERD = "some engines end at once"


class Rule(Protocol):
    """Decides which requests are held back."""

    def note_crash(self, request: str, engine: str, now: float) -> None:
        """Note that an engine ended while it ran a request."""

    def note_whole(self, request: str, now: float) -> None:
        """Note that a request had a whole answer."""

    def is_held(self, request: str, now: float) -> bool:
        """Return whether a request is held back."""


class PlainCount:
    """Holds a request after so many ends, whatever came between.

    :param most: the ends.
    """

    def __init__(self, most: int) -> None:
        self._most = most
        self._ends: Counter[str] = Counter()

    def note_crash(self, request: str, engine: str, now: float) -> None:
        """Note that an engine ended while it ran a request."""
        self._ends[request] += 1

    def note_whole(self, request: str, now: float) -> None:
        """Note nothing: a whole answer does not count."""

    def is_held(self, request: str, now: float) -> bool:
        """Return whether a request is held back."""
        return self._ends[request] >= self._most


class SequentialTest:
    """Wald's test of each request: it ends nine engines of ten, or one of a hundred."""

    _DETECTOR = Sequential(good=0.01, bad=0.9, false_alarm=1e-5, missed=1e-2)

    def __init__(self) -> None:
        self._evidence: dict[str, Evidence] = {}
        self._held: set[str] = set()

    def note_crash(self, request: str, engine: str, now: float) -> None:
        """Note that an engine ended while it ran a request."""
        if self._evidence.setdefault(request, Evidence(self._DETECTOR)).note(False):
            self._held.add(request)

    def note_whole(self, request: str, now: float) -> None:
        """Note that a request had a whole answer."""
        if request in self._evidence:
            self._evidence[request].note(True)

    def is_held(self, request: str, now: float) -> bool:
        """Return whether a request is held back."""
        return request in self._held


class Suspicions:
    """The rule in use."""

    def __init__(self) -> None:
        self._suspects = Suspects()

    def note_crash(self, request: str, engine: str, now: float) -> None:
        """Note that an engine ended while it ran a request."""
        self._suspects.note_crash(request, "caller", "route", engine, now)

    def note_whole(self, request: str, now: float) -> None:
        """Note that a request had a whole answer."""
        self._suspects.note_whole(request, now)

    def is_held(self, request: str, now: float) -> bool:
        """Return whether a request is held back."""
        return self._suspects.get_standing(request, now) is Standing.HELD


@dataclass(frozen=True)
class CrashCase:
    """What engines end of.

    :param each: seconds between ends of single engines, 0 for none.
    :param herd: engines that end at once.
    :param herd_each: seconds between such ends, 0 for none.
    :param crasher_each: seconds between requests that end engines, 0 for none.
    :param seconds: length of a play.
    """

    name: str
    each: float = 0.0
    herd: int = 0
    herd_each: float = 0.0
    crasher_each: float = 0.0
    seconds: float = 300.0


CASES = (
    CrashCase("single ends", each=5.0),
    CrashCase("many single ends", each=1.0),
    CrashCase("ends of four at once", herd=4, herd_each=20.0),
    CrashCase("all replaced in turn without a word", each=2.0, herd=2, herd_each=30.0),
    CrashCase("a crashing request", crasher_each=60.0),
    CrashCase("a crashing request beside single ends", each=5.0, crasher_each=60.0),
)


@dataclass
class HeldCount:
    """What a rule did in plays of one case.

    :param innocent: requests that end no engine, and how many of them were held back.
    :param crashers: requests that end engines, and the engines that ended under them.
    """

    innocent: int = 0
    held: int = 0
    crashers: int = 0
    ended: int = 0


@dataclass(frozen=True)
class _Asked:
    request: str
    again: int


@dataclass
class _Engine:
    name: str
    up_at: float = 0.0
    runs: dict[int, _Asked] = field(default_factory=dict)


class _Play:
    """One play of a case under a rule."""

    def __init__(self, case: CrashCase, rule: Rule, seed: int) -> None:
        self._case = case
        self._rule = rule
        self._random = Random(f"{case.name} {seed}")
        self._numbers = count()
        self._engines = [_Engine(f"e{next(self._numbers)}") for _ in range(ENGINES)]
        self._heap: list[tuple[float, int, _What, _Asked | None, _Engine | None]] = []
        self.found = HeldCount()

    def run(self) -> HeldCount:
        """Play the case and return what the rule did."""
        for at, what, asked in self._plan():
            self._push(at, what, asked)
        while self._heap:
            now, number, what, asked, engine = heapq.heappop(self._heap)
            match what:
                case _What.ARRIVE if asked is not None:
                    self._arrive(asked, now)
                case _What.FINISH if engine is not None:
                    self._finish(engine, number, now)
                case _What.END:
                    self._crash_some(1, now)
                case _What.HERD:
                    self._crash_some(self._case.herd, now)
        return self.found

    def _plan(self) -> Iterator[tuple[float, _What, _Asked | None]]:
        case, random = self._case, self._random
        for at in self._draw(1 / REQUESTS_A_SECOND):
            yield at, _What.ARRIVE, _Asked(self._draw_request(), RETRIES)
        if case.each:
            yield from ((at, _What.END, None) for at in self._draw(case.each))
        if case.herd_each:
            yield from ((at, _What.HERD, None) for at in self._draw(case.herd_each))
        if case.crasher_each:
            for number, at in enumerate(self._draw(case.crasher_each)):
                self.found.crashers += 1
                yield (
                    at + random.random(),
                    _What.ARRIVE,
                    _Asked(f"{_CRASHER} {number}", CRASHER_TIMES),
                )

    def _draw(self, gap: float) -> Iterator[float]:
        at = self._random.expovariate(1 / gap)
        while at < self._case.seconds:
            yield at
            at += self._random.expovariate(1 / gap)

    def _draw_request(self) -> str:
        if self._random.random() < POPULAR_SHARE:
            return f"popular {self._random.randrange(POPULAR)}"
        return f"request {next(self._numbers)}"

    def _push(
        self, at: float, what: _What, asked: _Asked | None, engine: _Engine | None = None
    ) -> int:
        number = next(self._numbers)
        heapq.heappush(self._heap, (at, number, what, asked, engine))
        return number

    def _arrive(self, asked: _Asked, now: float) -> None:
        crasher = asked.request.startswith(_CRASHER)
        self.found.innocent += not crasher
        if self._rule.is_held(asked.request, now):
            self.found.held += not crasher
            return
        alive = [engine for engine in self._engines if engine.up_at <= now]
        if not alive:
            return
        engine = self._random.choice(alive)
        seconds = CRASHER_SECONDS if crasher else self._random.expovariate(1 / MEAN_SECONDS)
        engine.runs[self._push(now + seconds, _What.FINISH, asked, engine)] = asked

    def _finish(self, engine: _Engine, number: int, now: float) -> None:
        asked = engine.runs.get(number)
        if asked is None:
            return
        if asked.request.startswith(_CRASHER):
            self.found.ended += 1
            self._crash(engine, now)
            return
        del engine.runs[number]
        self._rule.note_whole(asked.request, now)

    def _crash_some(self, most: int, now: float) -> None:
        alive = [engine for engine in self._engines if engine.up_at <= now]
        for engine in self._random.sample(alive, min(most, len(alive))):
            self._crash(engine, now)

    def _crash(self, engine: _Engine, now: float) -> None:
        cut, engine.runs = engine.runs, {}
        for asked in cut.values():
            self._rule.note_crash(asked.request, engine.name, now)
            if asked.again:
                crasher = asked.request.startswith(_CRASHER)
                pause = CRASHER_AGAIN_SECONDS if crasher else AGAIN_SECONDS
                at = now + pause * self._random.uniform(0.5, 1.5)
                self._push(at, _What.ARRIVE, _Asked(asked.request, asked.again - 1))
        engine.name = f"e{next(self._numbers)}"
        engine.up_at = now + DOWN_SECONDS


def make_rules() -> dict[str, Rule]:
    """Return new rules by their names."""
    return {
        "plain count of 2": PlainCount(2),
        "plain count of 3": PlainCount(3),
        "sequential test": SequentialTest(),
        f"in use ({CRASHES_HELD}, taken back)": Suspicions(),
    }


def play(case: CrashCase, rule: Rule, seed: int) -> HeldCount:
    """Return what a rule did in one play of a case.

    :param case: the case.
    :param rule: the rule, new.
    :param seed: fixes what happens.
    """
    return _Play(case, rule, seed).run()


def compare_rules(cases: Iterable[CrashCase], seeds: int) -> Iterator[str]:
    """Yield a table: of a million innocent requests those held; engines lost to a crashing one.

    :param cases: the cases.
    :param seeds: plays of each.
    """
    yield f"{'case':42}{'rule':26}{'innocent':>10}{'held':>7}{'a million':>11}{'ended each':>12}"
    for case in cases:
        for name in make_rules():
            found = [play(case, make_rules()[name], seed) for seed in range(seeds)]
            innocent, held = sum(f.innocent for f in found), sum(f.held for f in found)
            ended = sum(f.ended for f in found) / max(1, sum(f.crashers for f in found))
            rate = 1e6 * held / max(1, innocent)
            yield f"{case.name:42}{name:26}{innocent:>10}{held:>7}{rate:>11.0f}{ended:>12.2f}"
