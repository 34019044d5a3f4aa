"""Simulates guarded streams and short prompts on engines of two speeds, in virtual time.

Long streams of the highest rank and short prompts of the next share the engines of a service. A
quarter of the engines is quick. Each engine has slow moments, in which reading a prompt on a slow
engine pauses the streams there for longer than their route allows. The real placer places all
requests, with and without the knowledge that routes compete.
"""

import heapq
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import count
from random import Random
from statistics import mean

from daleroad.contention import NO_CONTENTION, Contention
from daleroad.defaults import MAX_MEMORY_WAIT_OBJECTIVES, MEMORY_WAIT_PAUSE_SECONDS
from daleroad.fleet import Fleet
from daleroad.instances import Instance, InstanceState, Sighting
from daleroad.loads import LoadTotals
from daleroad.notices import Demand, Load, Pace, PlaceRequest
from daleroad.paces import SLOW_QUANTILE
from daleroad.placer import Placer
from daleroad.placing import draw_length
from daleroad.routing import EngineRule, ServiceRule

MEMORY_TOKENS = 26_860
SLOTS = 24
EVENT_TOKENS = 4

STEP_SECONDS = 0.007
STEP_SECONDS_PER_SLOT = 0.00012
CHUNK_SECONDS = 0.008
CHUNK_TOKENS = 112
"""Time of a step, for each running request, and for reading a chunk of a prompt in it."""

QUICK_SPEED = 0.55
SLOW_SPEED = 1.2
"""Durations of the engines' steps relative to normal."""

SLOW_FACTOR = 2.5
SLOW_SECONDS = 0.6
SLOW_SHARE = 0.15
"""How much longer steps take in a slow moment, how long one lasts, and their share of the time."""

PACE_SAMPLES = 300
PACE_SECONDS = 0.5
"""Events behind an engine's pace, and how often it is computed."""

DRAIN_SECONDS = 25.0
"""How long the simulation goes on after the last arrival, for streams to end."""

GUARDED = Contention(frozenset({0}), yields=False, guarded_pause=0.18)
"""How the two kinds of prompts compete."""

_SERVICE = ServiceRule("s", "/", 0, EngineRule(SLOTS, MEMORY_TOKENS, 0.0, True, True, EVENT_TOKENS))
_HEARTBEAT_SECONDS = 1e9
_ZONES = 3


@dataclass(frozen=True)
class StreamKind:
    """One kind of prompt. Times are in seconds, lengths in tokens.

    :param prompt: mean length of the prompt, and its standard deviation over the mean.
    :param output: mean length of the output, and its standard deviation over the mean.
    :param output_memory: memory that placement counts for the output.
    """

    rank: int
    objective: float
    pause: float
    prompt: tuple[float, float]
    output: tuple[float, float]
    output_memory: int


LONG = StreamKind(0, 1.8, 0.18, (3080.0, 0.2), (752.0, 0.3), 750)
SHORT = StreamKind(1, 1.5, 0.18, (2550.0, 0.3), (8.0, 0.0), 16)


@dataclass(frozen=True)
class GuardedCase:
    """A scenario whose disruption lasts for the middle third of the simulated time.

    :param name: its name in the table.
    :param long_rate: long prompts per second.
    :param short_rate: short prompts per second.
    :param long_factor: multiplies the rate of long prompts during the disruption.
    :param short_factor: multiplies the rate of short prompts during the disruption.
    :param leaving_share: share of the engines that are away during it; their streams move.
    :param moved_zone: whether all demand comes from one zone during it.
    :param speeds: durations of the engines' steps relative to normal, assigned in rotation.
    :param seconds: how long prompts arrive.
    """

    name: str
    engines: int = 22
    long_rate: float = 11.0
    short_rate: float = 12.0
    long_factor: float = 1.0
    short_factor: float = 1.0
    leaving_share: float = 0.0
    moved_zone: bool = False
    speeds: tuple[float, ...] = (QUICK_SPEED, SLOW_SPEED, SLOW_SPEED, SLOW_SPEED)
    seconds: float = 60.0

    def is_disturbed(self, now: float) -> bool:
        """Return whether the disruption is under way.

        :param now: the time.
        """
        return self.seconds / 3 <= now < 2 * self.seconds / 3


CASES = (
    GuardedCase("base load"),
    GuardedCase("short prompts 3 times", short_factor=3.0),
    GuardedCase("long twice, a third leaving", long_factor=2.0, leaving_share=0.33),
    GuardedCase("a zone's demand moved", moved_zone=True),
    GuardedCase("engines alike", speeds=(1.0,)),
)


@dataclass
class _Stream:
    """A request with its progress."""

    name: str
    kind: StreamKind
    zone: str
    sent_at: float
    prompt: int
    output: int
    read_left: int = 0
    produced: int = 0
    first_at: float = float("inf")
    last_at: float = 0.0
    longest_pause: float = 0.0
    ended: bool = False
    engine: str = ""

    def __post_init__(self) -> None:
        self.read_left = self.prompt

    def count_tokens(self) -> int:
        """Return the tokens of memory that placement counts for it."""
        return self.prompt + self.kind.output_memory

    def is_paused(self) -> bool:
        return self.longest_pause > self.kind.pause

    def starts_late(self) -> bool:
        return self.first_at - self.sent_at > self.kind.objective

    def is_in_time(self) -> bool:
        return self.ended and not self.is_paused() and not self.starts_late()


@dataclass
class _Engine:
    """An engine that runs steps while it has work."""

    instance: Instance
    speed: float
    random: Random
    waiting: list[_Stream] = field(default_factory=list)
    running: list[_Stream] = field(default_factory=list)
    gaps: deque[float] = field(default_factory=lambda: deque(maxlen=PACE_SAMPLES))
    pace: Pace | None = None
    stepping: bool = False
    slow: bool = False
    slow_changes_at: float = 0.0

    def step(self, now: float) -> tuple[float, list[_Stream]]:
        """Run one step; return its duration and the streams that produce a token in it."""
        self._admit()
        reader = min(
            (stream for stream in self.running if stream.read_left), key=_get_order, default=None
        )
        producing = [stream for stream in self.running if not stream.read_left]
        if reader is not None:
            reader.read_left = max(0, reader.read_left - CHUNK_TOKENS)
        seconds = STEP_SECONDS + STEP_SECONDS_PER_SLOT * len(self.running)
        seconds += CHUNK_SECONDS * (reader is not None)
        return seconds * self.speed * (SLOW_FACTOR if self._is_slow(now) else 1.0), producing

    def _is_slow(self, now: float) -> bool:
        while now >= self.slow_changes_at:
            self.slow = not self.slow if self.slow_changes_at else False
            share = 1.0 if self.slow else (1 - SLOW_SHARE) / SLOW_SHARE
            self.slow_changes_at += self.random.expovariate(1 / (SLOW_SECONDS * share))
        return self.slow

    def _admit(self) -> None:
        self.waiting.sort(key=_get_order)
        while self.waiting and len(self.running) < SLOTS:
            if self._count_used() + self.waiting[0].prompt > MEMORY_TOKENS:
                break
            self.running.append(self.waiting.pop(0))
        while self._count_used() + len(self.running) > MEMORY_TOKENS:
            victim = max(self.running, key=_get_order)
            self.running.remove(victim)
            victim.read_left = victim.prompt + victim.produced
            self.waiting.append(victim)

    def _count_used(self) -> int:
        return sum(stream.prompt + stream.produced for stream in self.running)


def _get_order(stream: _Stream) -> tuple[int, float]:
    return stream.kind.rank, stream.sent_at


@dataclass(frozen=True)
class KindResult:
    """Shares of the prompts of one kind.

    :param in_time: those that met both objectives.
    :param late_start: those whose first output was late.
    :param paused: those with a longer pause than their route allows.
    """

    in_time: float
    late_start: float
    paused: float


@dataclass(frozen=True)
class GuardedResult:
    """Results of one case."""

    long: KindResult
    short: KindResult


_Handler = Callable[[float], None]


class _Simulation:
    def __init__(self, case: GuardedCase, contention: Contention, seed: int) -> None:
        self.case = case
        self.contention = contention
        self.fleet = Fleet()
        self.loads = LoadTotals(float("inf"))
        self.engines: dict[str, _Engine] = {}
        self.streams: list[_Stream] = []
        self.events: list[tuple[float, int, _Handler]] = []
        self.numbers = count()
        for number in range(case.engines):
            zone = f"zone-{number % _ZONES}"
            ready = InstanceState.READY
            instance = Instance(f"e{number}", "s", f"{number}", zone, SLOTS, ready, 1)
            self.fleet.note(Sighting(instance, 0.0), 0.0)
            speed = case.speeds[number % len(case.speeds)]
            self.engines[instance.id] = _Engine(instance, speed, Random(f"{seed} {number}"))
        self.placer = Placer(
            self.fleet,
            self.loads,
            _HEARTBEAT_SECONDS,
            Random(seed),
            get_pace=lambda name: self.engines[name].pace,
        )

    def run(self, seed: int) -> GuardedResult:
        self._add_arrivals(Random(f"arrivals {seed}"))
        self._add(0.0, self._update_paces)
        if self.case.leaving_share:
            self._add(self.case.seconds / 3, self._move_streams)
        while self.events:
            now, _, handler = heapq.heappop(self.events)
            if now > self.case.seconds + DRAIN_SECONDS:
                break
            handler(now)
        return GuardedResult(
            _summarize(stream for stream in self.streams if stream.kind is LONG),
            _summarize(stream for stream in self.streams if stream.kind is SHORT),
        )

    def _add(self, at: float, handler: _Handler) -> None:
        heapq.heappush(self.events, (at, next(self.numbers), handler))

    def _add_arrivals(self, random: Random) -> None:
        case = self.case
        for kind, rate, factor in (
            (LONG, case.long_rate, case.long_factor),
            (SHORT, case.short_rate, case.short_factor),
        ):
            now = random.expovariate(rate)
            while now < case.seconds:
                disturbed = case.is_disturbed(now)
                zone = 0 if disturbed and case.moved_zone else random.randrange(_ZONES)
                prompt = int(draw_length(random, *kind.prompt))
                output = int(draw_length(random, *kind.output))
                name = f"w{len(self.streams)}"
                stream = _Stream(name, kind, f"zone-{zone}", now, prompt, max(EVENT_TOKENS, output))
                self.streams.append(stream)
                self._add(now, lambda at, stream=stream: self._place(stream, at))  # type: ignore
                now += random.expovariate(rate * (factor if disturbed else 1.0))

    def _place(self, stream: _Stream, now: float) -> None:
        kind = stream.kind
        waited = now - stream.sent_at
        patient = kind is LONG and waited < MAX_MEMORY_WAIT_OBJECTIVES * kind.objective
        demand = Demand(
            "", kind.rank, kind.objective, kind.pause, waited, 30.0, kind is LONG, "", kind is LONG
        )
        request = PlaceRequest(
            stream.name,
            stream.zone,
            "s",
            stream.count_tokens(),
            stream.read_left,
            self._list_away(now),
            (),
            patient=patient,
            demand=demand,
        )
        answer = self.placer.place(request, _SERVICE, now, (), self.contention)
        if answer.crowded:
            again = now + MEMORY_WAIT_PAUSE_SECONDS
            self._add(again, lambda at: self._place(stream, at))
            return
        stream.engine = answer.instance
        engine = self.engines[answer.instance]
        (engine.waiting if stream.read_left else engine.running).append(stream)
        self._start_step(engine, now)

    def _list_away(self, now: float) -> tuple[str, ...]:
        if not self.case.is_disturbed(now):
            return ()
        return tuple(list(self.engines)[: int(self.case.leaving_share * self.case.engines)])

    def _move_streams(self, now: float) -> None:
        """Place the streams of the leaving engines elsewhere, with their memory."""
        for name in self._list_away(now):
            engine = self.engines[name]
            moved = [*engine.running, *engine.waiting]
            engine.running, engine.waiting = [], []
            for stream in moved:
                self.loads.set_report(stream.name, (), now)
                self._place(stream, now)

    def _start_step(self, engine: _Engine, now: float) -> None:
        if engine.stepping or not (engine.running or engine.waiting):
            return
        engine.stepping = True
        seconds, producing = engine.step(now)

        def finish(now: float) -> None:
            engine.stepping = False
            for stream in producing:
                if stream in engine.running:
                    self._produce(engine, stream, now)
            self._start_step(engine, now)

        self._add(now + seconds, finish)

    def _produce(self, engine: _Engine, stream: _Stream, now: float) -> None:
        stream.produced += 1
        stream.ended = stream.produced >= stream.output
        if stream.produced % EVENT_TOKENS == 0 or stream.ended:
            if stream.produced > EVENT_TOKENS:
                gap = now - stream.last_at
                engine.gaps.append(gap)
                stream.longest_pause = max(stream.longest_pause, gap)
            else:
                stream.first_at = now
                self._report(stream, now)
            stream.last_at = now
        if stream.ended:
            engine.running.remove(stream)
            self.loads.set_report(stream.name, (), now)

    def _report(self, stream: _Stream, now: float) -> None:
        """Report to the placer that a stream's prompt was read."""
        guarded = int(stream.kind is LONG)
        load = Load(stream.engine, 1, stream.count_tokens(), 0, guarded)
        self.loads.set_report(stream.name, (load,), now)

    def _update_paces(self, now: float) -> None:
        for name, engine in self.engines.items():
            gaps = sorted(engine.gaps)
            if gaps:
                median, slow = gaps[len(gaps) // 2], gaps[int(SLOW_QUANTILE * len(gaps))]
                engine.pace = Pace(name, median, slow, len(gaps))
        self._add(now + PACE_SECONDS, self._update_paces)


def _summarize(streams: Iterable[_Stream]) -> KindResult:
    listed = list(streams)
    return KindResult(
        mean(stream.is_in_time() for stream in listed),
        mean(stream.starts_late() for stream in listed),
        mean(stream.is_paused() for stream in listed),
    )


def simulate(case: GuardedCase, contention: Contention, seed: int) -> GuardedResult:
    """Run one case and return its results.

    :param case: the scenario.
    :param contention: how the routes compete, as far as the placer knows.
    :param seed: seed of arrivals, lengths, slow moments and noise.
    """
    return _Simulation(case, contention, seed).run(seed)


def format_cases(cases: Iterable[GuardedCase], seeds: int) -> Iterator[str]:
    """Yield the rows of a table that compares placement by load with guarded streams.

    :param cases: the cases.
    :param seeds: paired runs of each, of which the means are shown.
    """
    heads = f"{'long':>7}{'started':>9}{'paused':>8}{'short':>8}{'started':>9}"
    yield f"{'load':<28}{'placed by':<16}{heads}"
    for case in cases:
        for name, contention in (("load", NO_CONTENTION), ("guarded", GUARDED)):
            results = [simulate(case, contention, seed) for seed in range(seeds)]
            long = [result.long for result in results]
            short = [result.short for result in results]
            yield (
                f"{case.name:<28}{name:<16}{mean(r.in_time for r in long):>7.3f}"
                f"{1 - mean(r.late_start for r in long):>9.3f}{mean(r.paused for r in long):>8.3f}"
                f"{mean(r.in_time for r in short):>8.3f}"
                f"{1 - mean(r.late_start for r in short):>9.3f}"
            )
