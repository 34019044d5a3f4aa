"""Simulation that compares rules for holding back poison parts of prompts, in virtual time.

Streams come to any of several gateways. Each has a first part, a second one and a last one of its
own; some parts are common. Engines crash on a poison part as they begin to write on it, or for
reasons of their own. News takes a while from one gateway to the others. The figures of merit are
the engines lost until the part is held, and the sound streams that are refused.

Does no I/O.
"""

import heapq
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import count
from random import Random

from daleroad.modelengines import ModelEngine, ModelEngines, draw_times
from daleroad.onsets import ONSET_SECONDS, Progress
from daleroad.partrules import (
    ENGINES,
    GATEWAYS,
    STREAMS_PER_SECOND,
    CutStream,
    PartRule,
    make_part_rules,
)
from daleroad.promptparts import SharedPart

READ_SECONDS = (0.1, 0.5)
"""Time from the arrival of a stream at its engine until the answer begins."""

SHORT_SECONDS, LONG_SECONDS = (0.3, 1.2), (2.0, 6.0)
SHORT_SHARE = 0.6
"""How long answers last, and the share of short ones."""

FIRST_WEIGHTS = (40, 25, 12, 10, 6, 4, 2, 1)
"""Popularity of the first parts; one is on a tenth of all streams."""

SECOND_WEIGHTS = (20, 10, *([3] * 15), *([1] * 23))
POISON_PER_SECOND = 2.0
POISON_SECONDS = 0.06
"""Time from the beginning of an answer on a poison part until its engine crashes."""

POISON = "poison"


class _EventKind(StrEnum):
    ARRIVE = "stream arrives"
    BEGIN = "answer begins"
    FAR = "answer has gone on for a while"
    FINISH = "answer ends"
    CRASH = "engines crash"
    CUT = "a gateway loses its links"
    RESTART = "all gateways start anew"


@dataclass(frozen=True)
class PartCase:
    """What crashes engines in a simulation.

    :param name: the label in the table; it also seeds the random generator.
    :param poison_depth: place of the poison part; None for no poison.
    :param popular: whether the sound part beside the poison is a common one.
    :param group: number of engines that crash at once for other reasons.
    :param crashes: how often they do.
    :param cuts: how often a gateway loses all of its links to engines, which looks like crashes.
    :param gap: seconds between these crashes or cuts.
    :param restarted: seconds before each of these crashes at which all gateways start anew.
    :param seconds: length of the simulation.
    """

    name: str
    poison_depth: int | None = None
    popular: bool = True
    group: int = 0
    crashes: int = 0
    cuts: int = 0
    gap: float = 1.0
    restarted: float | None = None
    seconds: float = 60.0


CASES = (
    PartCase("a poison second part, beside a common first", 1),
    PartCase("a poison second part, beside a rare first", 1, popular=False),
    PartCase("a poison first part", 0),
    PartCase("a poison part beside single crashes", 1, group=1, crashes=30),
    PartCase("six herds of five engines", group=5, crashes=6, gap=5.0),
    PartCase("thirty single crashes", group=1, crashes=30),
    PartCase("all engines at once, twice", group=ENGINES, crashes=2, gap=15.0),
    PartCase(
        "all engines, a second after all gateways",
        group=ENGINES,
        crashes=2,
        gap=15.0,
        restarted=1.0,
    ),
    PartCase("gateways cut off, six times", cuts=6, gap=5.0),
    PartCase("a poison part beside gateways cut off", 1, cuts=6, gap=5.0),
)


@dataclass
class PartOutcome:
    """The counts of a rule in simulations of one case.

    :param crashed: engines that the poison crashed.
    :param sound: sound streams.
    :param refused: those of them that were held back.
    :param held_parts: sound parts for which streams were held back.
    """

    crashed: int = 0
    sound: int = 0
    refused: int = 0
    held_parts: set[str] = field(default_factory=set)


@dataclass
class _Stream:
    gateway: int
    parts: tuple[SharedPart, ...]
    poison: bool
    seconds: float
    begun_at: float | None = None

    def get_progress(self, now: float) -> Progress:
        if self.begun_at is None:
            return Progress.UNBEGUN
        return Progress.FAR if now - self.begun_at >= ONSET_SECONDS else Progress.BEGUN


_Engine = ModelEngine[_Stream]


class _Simulation:
    """One simulation of a case under a rule."""

    FIRST_CRASH_SECONDS = 5.0

    def __init__(self, case: PartCase, rule: PartRule, seed: int) -> None:
        self._case = case
        self._rule = rule
        self._random = Random(f"{case.name} {seed}")
        self._numbers = count()
        self._engines: ModelEngines[_Stream] = ModelEngines(ENGINES, self._random)
        self._heap: list[tuple[float, int, _EventKind, int, _Stream | None, _Engine | None]] = []
        self.outcome = PartOutcome()

    def run(self) -> PartOutcome:
        """Run the simulation and return the rule's counts."""
        for at, kind, stream in self._generate_events():
            self._push(at, kind, stream)
        while self._heap:
            now, _, kind, number, stream, engine = heapq.heappop(self._heap)
            match kind:
                case _EventKind.ARRIVE if stream is not None:
                    self._arrive(stream, now)
                case _EventKind.CRASH:
                    self._crash_random(now)
                case _EventKind.RESTART:
                    self._restart_gateways()
                case _EventKind.CUT:
                    self._cut_off(self._random.randrange(GATEWAYS), now)
                case _ if engine is not None and number in engine.running:
                    self._advance(kind, number, engine, now)
        return self.outcome

    def _generate_events(self) -> Iterator[tuple[float, _EventKind, _Stream | None]]:
        for at in draw_times(self._random, STREAMS_PER_SECOND, self._case.seconds):
            self.outcome.sound += 1
            yield at, _EventKind.ARRIVE, self._draw_stream()
        if self._case.poison_depth is not None:
            for at in draw_times(
                self._random, POISON_PER_SECOND, self._case.seconds, self.FIRST_CRASH_SECONDS
            ):
                yield at, _EventKind.ARRIVE, self._draw_poison(self._case.poison_depth)
        for number in range(self._case.crashes):
            at = self.FIRST_CRASH_SECONDS + number * self._case.gap
            yield at, _EventKind.CRASH, None
            if self._case.restarted is not None:
                yield at - self._case.restarted, _EventKind.RESTART, None
        for number in range(self._case.cuts):
            yield self.FIRST_CRASH_SECONDS + number * self._case.gap, _EventKind.CUT, None

    def _draw_part(self, depth: int) -> SharedPart:
        weights = (FIRST_WEIGHTS, SECOND_WEIGHTS)[depth]
        (number,) = self._random.choices(range(len(weights)), weights)
        return SharedPart(f"{depth}-{number}", f"{depth}-{number}", depth)

    def _draw_stream(self) -> _Stream:
        short = self._random.random() < SHORT_SHARE
        seconds = self._random.uniform(*(SHORT_SECONDS if short else LONG_SECONDS))
        parts = (self._draw_part(0), self._draw_part(1))
        return _Stream(self._random.randrange(GATEWAYS), parts, False, seconds)

    def _draw_poison(self, depth: int) -> _Stream:
        poison = SharedPart(POISON, POISON, depth)
        common = 0 if self._case.popular else len(FIRST_WEIGHTS) - 1
        beside = SharedPart(f"0-{common}", f"0-{common}", 0) if depth else self._draw_part(1)
        parts = (beside, poison) if depth else (poison, beside)
        return _Stream(self._random.randrange(GATEWAYS), parts, True, POISON_SECONDS)

    def _push(
        self,
        at: float,
        kind: _EventKind,
        stream: _Stream | None = None,
        engine: _Engine | None = None,
        run: int = 0,
    ) -> None:
        heapq.heappush(self._heap, (at, next(self._numbers), kind, run, stream, engine))

    def _arrive(self, stream: _Stream, now: float) -> None:
        held = self._rule.find_held(stream.gateway, stream.parts, now)
        if held is not None:
            self.outcome.refused += not stream.poison
            if not stream.poison:
                self.outcome.held_parts.add(held.fingerprint)
            return
        engine = self._engines.pick(now)
        if engine is not None:
            run = next(self._numbers)
            engine.running[run] = stream
            self._push(
                now + self._random.uniform(*READ_SECONDS), _EventKind.BEGIN, None, engine, run
            )

    def _advance(self, kind: _EventKind, run: int, engine: _Engine, now: float) -> None:
        stream = engine.running[run]
        match kind:
            case _EventKind.BEGIN:
                stream.begun_at = now
                self._push(now + stream.seconds, _EventKind.FINISH, None, engine, run)
                if stream.seconds > ONSET_SECONDS:
                    self._push(now + ONSET_SECONDS, _EventKind.FAR, None, engine, run)
            case _EventKind.FAR:
                self._rule.record_success(stream.gateway, stream.parts, now)
            case _ if stream.poison:
                self.outcome.crashed += 1
                self._crash(engine, now)
            case _:
                del engine.running[run]
                self._rule.record_success(stream.gateway, stream.parts, now)

    def _crash_random(self, now: float) -> None:
        for engine in self._engines.pick_several(self._case.group, now):
            self._crash(engine, now)

    def _restart_gateways(self) -> None:
        """Let all gateways forget; what they ran ends, and no engine has crashed."""
        self._rule.forget()
        for engine in self._engines:
            engine.running.clear()

    def _cut_off(self, gateway: int, now: float) -> None:
        for engine in self._engines:
            cut = {
                run: stream for run, stream in engine.running.items() if stream.gateway == gateway
            }
            for run, stream in cut.items():
                del engine.running[run]
                self._record_cut(engine.name, stream, now)

    def _record_cut(self, engine: str, stream: _Stream, now: float) -> None:
        progress = stream.get_progress(now)
        cut = CutStream(stream.gateway, stream.parts, engine, progress)
        self._rule.record_crash(cut, now)

    def _crash(self, engine: _Engine, now: float) -> None:
        name = engine.name
        for stream in self._engines.crash(engine, now):
            self._record_cut(name, stream, now)


def simulate_parts(case: PartCase, rule: PartRule, seed: int) -> PartOutcome:
    """Return the counts of a rule in one simulation of a case.

    :param case: the case.
    :param rule: a new instance of the rule.
    :param seed: seeds the random generator, with the case's name.
    """
    return _Simulation(case, rule, seed).run()


def compare_part_rules(cases: Iterable[PartCase], seeds: int) -> Iterator[str]:
    """Yield a table: engines lost to the poison, the most of any run; sound streams refused.

    :param cases: the cases.
    :param seeds: simulations of each case and rule.
    """
    yield f"{'case':46}{'rule':22}{'lost':>6}{'most':>6}{'sound':>8}{'refused':>9}{'parts':>7}"
    for case in cases:
        for name in make_part_rules():
            found = [simulate_parts(case, make_part_rules()[name], n) for n in range(seeds)]
            lost = [f.crashed for f in found]
            yield (
                f"{case.name:46}{name:22}{sum(lost) / seeds:>6.1f}{max(lost):>6}"
                f"{sum(f.sound for f in found):>8}{sum(f.refused for f in found):>9}"
                f"{sum(len(f.held_parts) for f in found) / seeds:>7.1f}"
            )
