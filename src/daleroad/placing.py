"""Plays prompts that many gateways place on engines by figures that are late. In virtual time.

The load that it answers: long and short prompts mixed, each read for 0.3 to 0.5 s, while a gateway
hears of the others' prompts a quarter of a second late or more. Engines read one prompt after the
other between the tokens that they generate. What is looked at is when the first token comes.
"""

import heapq
import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace
from itertools import count
from random import Random
from statistics import mean
from typing import Any

from daleroad.instances import Instance, InstanceState
from daleroad.notices import Load
from daleroad.picking import Candidate, Spread, estimate_load, make_spread, pick_upstream

READ_TOKENS_SECOND = 7500.0
"""Prompt tokens that an engine reads in a second while it generates: 112 in a step of 15 ms."""

TOKEN_SECONDS = 0.0085
"""Time of one token of output, with some other generations on the engine."""

SLOTS = 24
MEMORY_TOKENS = 34_000
"""An engine's size."""

TELL_SECONDS = 0.1
"""From a gateway's word of its loads until the others have it."""

CHANGE_SECONDS = 0.03
"""From the end of some work until the process that chooses for all gateways has heard of it."""

_MOST_TOKENS = 6000.0

Act = Callable[[float], Iterator[tuple[float, Any]]]
"""What happens at a time; yields what follows, after how many seconds."""


@dataclass(frozen=True)
class PromptKind:
    """One kind of prompt; lengths are drawn from log-normal distributions.

    :param share: share of all prompts.
    :param tokens: mean length, and its spread over the mean.
    :param output: mean length of the output, and its spread over the mean.
    :param objective: seconds to the first token.
    """

    share: float
    tokens: tuple[float, float]
    output: tuple[float, float]
    objective: float


LONG = PromptKind(0.42, (3080.0, 0.35), (936.0, 0.84), 1.8)
SHORT = PromptKind(0.58, (2550.0, 0.6), (12.0, 0.9), 1.5)


@dataclass(frozen=True)
class PlacingCase:
    """One load and one site.

    :param rate: prompts a second, over all gateways.
    :param interval: seconds between two words of a gateway of its loads.
    :param spread: whether short generations follow orders of the gateways' own.
    :param desk: whether one process chooses for all gateways and is told what changes.
    """

    gateways: int
    engines: int
    rate: float
    interval: float
    spread: bool
    seconds: float = 120.0
    desk: bool = False


@dataclass(frozen=True)
class PlacingResult:
    """What callers got.

    :param late: share of prompts whose first token came after the objective.
    :param mean: mean seconds to the first token.
    :param p99: the 99th of a hundred.
    """

    late: float
    mean: float
    p99: float


CASES = (
    PlacingCase(2, 8, 8.3, 0.25, False),
    PlacingCase(9, 9, 8.3, 0.25, False),
    PlacingCase(9, 7, 8.3, 0.25, False),
    PlacingCase(9, 8, 12.5, 0.25, False),
    PlacingCase(71, 29, 29.0, 0.74, False),
)
"""Few and many gateways, some engines less, and a burst of half as many prompts again."""


@dataclass
class _World:
    case: PlacingCase
    random: Random
    engines: list[Instance]
    own: list[dict[str, Load]]
    seen: list[dict[str, Load]]
    free: dict[str, float]
    waits: list[tuple[float, bool]] = field(default_factory=list)
    booked: dict[str, Load] = field(default_factory=dict)

    def book(self, load: Load) -> None:
        self.booked[load.instance] = self.booked.get(load.instance, Load(load.instance)).add(load)

    def add(self, gateway: int, load: Load) -> None:
        known = self.own[gateway].get(load.instance, Load(load.instance))
        self.own[gateway][load.instance] = known.add(load)

    def get_order(self, gateway: int, kind: PromptKind) -> Spread:
        gateways = self.case.gateways if self.case.spread and kind is SHORT else 1
        return make_spread(f"gateway-{gateway}", gateways)

    def choose(self, gateway: int, kind: PromptKind, tokens: int) -> str:
        zone = self.engines[gateway % len(self.engines)].zone
        if self.case.desk:
            order = Spread()
            candidates = (self.judge_booked(engine, tokens) for engine in self.engines)
        else:
            order = self.get_order(gateway, kind)
            candidates = (self.judge(gateway, engine, tokens) for engine in self.engines)
        found = pick_upstream(candidates, zone, self.random, spread=order)
        assert found is not None
        return found.instance.id

    def judge(self, gateway: int, engine: Instance, tokens: int) -> Candidate:
        nothing = Load(engine.id)
        own = self.own[gateway].get(engine.id, nothing)
        return _judge(engine, tokens, own.add(self.seen[gateway].get(engine.id, nothing)))

    def judge_booked(self, engine: Instance, tokens: int) -> Candidate:
        return _judge(engine, tokens, self.booked.get(engine.id, Load(engine.id)))

    def sum_others(self, gateway: int) -> dict[str, Load]:
        found: dict[str, Load] = {}
        for other, loads in enumerate(self.own):
            for name, load in loads.items() if other != gateway else ():
                found[name] = found.get(name, Load(name)).add(load)
        return found


def _judge(engine: Instance, tokens: int, load: Load) -> Candidate:
    """Return an engine with some work there as a candidate for one more prompt."""
    expected = Load(engine.id, 1, tokens).add(load)
    return Candidate(engine, estimate_load(expected, SLOTS, MEMORY_TOKENS))


def play(case: PlacingCase, seed: int) -> PlacingResult:
    """Return what callers got of one case.

    :param case: the load and the site.
    :param seed: fixes arrivals and lengths.
    """
    world = _make_world(case, Random(seed))
    # A number keeps events of one time in their order.
    numbers = count()
    events = [(at, next(numbers), act) for at, act in _list_arrivals(world)]
    heapq.heapify(events)
    while events:
        now, _, act = heapq.heappop(events)
        for delay, following in act(now):
            if now + delay < case.seconds:
                heapq.heappush(events, (now + delay, next(numbers), following))
    waits = sorted(wait for wait, _ in world.waits)
    late = sum(is_late for _, is_late in world.waits) / len(waits)
    return PlacingResult(late, sum(waits) / len(waits), waits[int(0.99 * len(waits))])


def _make_world(case: PlacingCase, random: Random) -> _World:
    engines = [
        Instance(f"engine-{n}", "s", f"{n}", f"zone-{n % 3}", SLOTS, InstanceState.READY, 1)
        for n in range(case.engines)
    ]
    own: list[dict[str, Load]] = [{} for _ in range(case.gateways)]
    seen: list[dict[str, Load]] = [{} for _ in range(case.gateways)]
    return _World(case, random, engines, own, seen, {engine.id: 0.0 for engine in engines})


def _list_arrivals(world: _World) -> Iterator[tuple[float, Act]]:
    case = world.case
    for gateway in range(case.gateways):
        yield world.random.random() * case.interval, _make_exchange(world, gateway)
    at = world.random.expovariate(case.rate)
    while at < case.seconds:
        yield at, _make_arrival(world)
        at += world.random.expovariate(case.rate)


def _make_exchange(world: _World, gateway: int) -> Act:
    def exchange(now: float) -> Iterator[tuple[float, Any]]:
        others = world.sum_others(gateway)

        def hear(now: float) -> Iterator[tuple[float, Any]]:
            world.seen[gateway] = others
            return iter(())

        yield TELL_SECONDS, hear
        yield TELL_SECONDS + world.case.interval, exchange

    return exchange


def _make_arrival(world: _World) -> Act:
    def arrive(now: float) -> Iterator[tuple[float, Any]]:
        random = world.random
        kind = LONG if random.random() < LONG.share else SHORT
        gateway = random.randrange(world.case.gateways)
        prompt = int(draw(random, *kind.tokens))
        output = int(draw(random, *kind.output))
        tokens = prompt + int(kind.output[0])
        engine = world.choose(gateway, kind, prompt)
        world.add(gateway, Load(engine, 1, tokens, prompt))
        world.book(Load(engine, 1, tokens, prompt))
        begun = max(now, world.free[engine])
        world.free[engine] = begun + prompt / READ_TOKENS_SECOND
        wait = world.free[engine] - now
        world.waits.append((wait, wait > kind.objective))
        yield wait, _make_change(world, gateway, Load(engine, 0, 0, -prompt))
        ended = wait + output * TOKEN_SECONDS
        yield ended, _make_change(world, gateway, Load(engine, -1, -tokens))

    return arrive


def _make_change(world: _World, gateway: int, load: Load) -> Act:
    def change(now: float) -> Iterator[tuple[float, Any]]:
        world.add(gateway, load)

        def hear(now: float) -> Iterator[tuple[float, Any]]:
            world.book(load)
            return iter(())

        yield CHANGE_SECONDS, hear

    return change


def draw(random: Random, mean: float, spread: float) -> float:
    """Return a length of a log-normal distribution, bounded as prompts are.

    :param random: draws it.
    :param mean: its mean in tokens.
    :param spread: its standard deviation over its mean.
    """
    sigma = math.sqrt(math.log(1 + spread * spread))
    return min(_MOST_TOKENS, mean * math.exp(random.gauss(-sigma * sigma / 2, sigma)))


def format_cases(cases: Iterable[PlacingCase], seeds: int, seconds: float) -> Iterator[str]:
    """Yield a table of cases, each without and with orders of the gateways' own.

    :param cases: the cases.
    :param seeds: runs of each, of which the means are shown.
    :param seconds: virtual time of each run.
    """
    yield "gateways  engines  rate  order    late  mean s   p99 s"
    for case in cases:
        for spread in (False, True):
            played = replace(case, spread=spread, seconds=seconds)
            found = [play(played, seed) for seed in range(seeds)]
            late, wait, p99 = (mean(getattr(r, n) for r in found) for n in ("late", "mean", "p99"))
            order = "own" if spread else "none"
            site = f"{case.gateways:>8}{case.engines:>9}{case.rate:>6.1f}{order:>7}"
            yield f"{site}{late:>8.4f}{wait:>8.3f}{p99:>8.2f}"
