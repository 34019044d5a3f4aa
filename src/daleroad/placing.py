"""Simulates how gateways place prompts on engines by stale load figures. In virtual time.

The workload mixes prompts with long and short outputs, whose prefill takes 0.41 and 0.34 s on
average, while a gateway learns of the others' prompts only at intervals of 0.25 s or more. An
engine prefills one prompt after the other, interleaved with decoding. The result is the time to the
first token.
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
from daleroad.picking import (
    Candidate,
    PreferenceOrder,
    estimate_load,
    make_preference_order,
    pick_upstream,
)
from daleroad.reserves import PREFILL_TOKENS_PER_SECOND

DECODE_SECONDS_PER_TOKEN = 0.0085
"""Time per output token while some other generations run on the engine."""

ENGINE_SLOTS = 24
ENGINE_MEMORY_TOKENS = 34_000

EXCHANGE_DELAY_SECONDS = 0.1
"""Delay until the other gateways have the loads that a gateway sends."""

PLACER_DELAY_SECONDS = 0.03
"""Delay until the central placer has learned that a prefill or an output ended."""

_MAX_LENGTH_TOKENS = 6000.0

EventHandler = Callable[[float], Iterator[tuple[float, Any]]]
"""Called with the time of an event; yields the delays and handlers of the events that follow."""


@dataclass(frozen=True)
class PromptKind:
    """One kind of prompt; lengths are drawn from log-normal distributions.

    :param share: fraction of all prompts.
    :param prompt_length: mean of the prompt length, and its standard deviation over the mean.
    :param output_length: mean of the output length, and its standard deviation over the mean.
    :param objective_seconds: objective for the time to the first token, in seconds.
    """

    share: float
    prompt_length: tuple[float, float]
    output_length: tuple[float, float]
    objective_seconds: float


LONG_OUTPUT = PromptKind(0.42, (3080.0, 0.35), (936.0, 0.84), 1.8)
SHORT_OUTPUT = PromptKind(0.58, (2550.0, 0.6), (12.0, 0.9), 1.5)


@dataclass(frozen=True)
class PlacingCase:
    """One workload on one site.

    :param prompts_per_second: rate over all gateways.
    :param exchange_seconds: from when a gateway receives the others' loads to its next exchange.
    :param spread: whether prompts with short outputs follow each gateway's own order of engines.
    :param central_placer: whether one process chooses for all gateways.
    """

    gateways: int
    engines: int
    prompts_per_second: float
    exchange_seconds: float
    spread: bool
    duration_seconds: float = 120.0
    central_placer: bool = False


@dataclass(frozen=True)
class PlacingResult:
    """Times to the first token.

    :param late_share: fraction of prompts whose first token missed the objective.
    :param mean_seconds: mean time to the first token.
    :param p99_seconds: 99th percentile of the time to the first token.
    """

    late_share: float
    mean_seconds: float
    p99_seconds: float


CASES = (
    PlacingCase(2, 8, 8.3, 0.25, False),
    PlacingCase(9, 9, 8.3, 0.25, False),
    PlacingCase(9, 7, 8.3, 0.25, False),
    PlacingCase(9, 8, 12.5, 0.25, False),
    PlacingCase(71, 29, 29.0, 0.74, False),
)
"""Few and many gateways, fewer engines, and a burst of 1.5 times the rate."""


@dataclass
class _Simulation:
    """The state of one run.

    :ivar own: by gateway, its own work at each engine.
    :ivar others: by gateway, the other gateways' work as of the last exchange.
    :ivar prefill_free_at: by engine, when it has prefilled all prompts placed there.
    :ivar waits: for each prompt, the time to its first token and whether that missed the objective.
    :ivar placed: the central placer's view of the work at each engine.
    """

    case: PlacingCase
    random: Random
    engines: list[Instance]
    own: list[dict[str, Load]]
    others: list[dict[str, Load]]
    prefill_free_at: dict[str, float]
    waits: list[tuple[float, bool]] = field(default_factory=list)
    placed: dict[str, Load] = field(default_factory=dict)

    def add_placed(self, load: Load) -> None:
        self.placed[load.instance] = self.placed.get(load.instance, Load(load.instance)).add(load)

    def add_own(self, gateway: int, load: Load) -> None:
        known = self.own[gateway].get(load.instance, Load(load.instance))
        self.own[gateway][load.instance] = known.add(load)

    def make_gateway_spread(self, gateway: int, kind: PromptKind) -> PreferenceOrder:
        gateways = self.case.gateways if self.case.spread and kind is SHORT_OUTPUT else 1
        return make_preference_order(f"gateway-{gateway}", gateways)

    def choose_engine(self, gateway: int, kind: PromptKind, tokens: int) -> str:
        zone = self.engines[gateway % len(self.engines)].zone
        if self.case.central_placer:
            spread = PreferenceOrder()
            candidates = (self.make_placer_candidate(engine, tokens) for engine in self.engines)
        else:
            spread = self.make_gateway_spread(gateway, kind)
            candidates = (
                self.make_gateway_candidate(gateway, engine, tokens) for engine in self.engines
            )
        found = pick_upstream(candidates, zone, self.random, preference=spread)
        assert found is not None
        return found.instance.id

    def make_gateway_candidate(self, gateway: int, engine: Instance, tokens: int) -> Candidate:
        no_load = Load(engine.id)
        own = self.own[gateway].get(engine.id, no_load)
        return _make_candidate(
            engine, tokens, own.add(self.others[gateway].get(engine.id, no_load))
        )

    def make_placer_candidate(self, engine: Instance, tokens: int) -> Candidate:
        return _make_candidate(engine, tokens, self.placed.get(engine.id, Load(engine.id)))

    def sum_others(self, gateway: int) -> dict[str, Load]:
        found: dict[str, Load] = {}
        for other, loads in enumerate(self.own):
            for name, load in loads.items() if other != gateway else ():
                found[name] = found.get(name, Load(name)).add(load)
        return found


def _make_candidate(engine: Instance, tokens: int, load: Load) -> Candidate:
    """Return an engine with its present load as a candidate for one more prompt."""
    expected = Load(engine.id, 1, tokens).add(load)
    return Candidate(engine, estimate_load(expected, ENGINE_SLOTS, ENGINE_MEMORY_TOKENS))


def simulate(case: PlacingCase, seed: int) -> PlacingResult:
    """Run one case and return the times to the first token.

    :param case: the workload and the site.
    :param seed: determines arrivals and lengths.
    """
    simulation = _make_simulation(case, Random(seed))
    # The number keeps events with equal times in the order in which they were added.
    numbers = count()
    events = [(at, next(numbers), handler) for at, handler in _list_initial_events(simulation)]
    heapq.heapify(events)
    while events:
        now, _, handler = heapq.heappop(events)
        for delay, following in handler(now):
            if now + delay < case.duration_seconds:
                heapq.heappush(events, (now + delay, next(numbers), following))
    waits = sorted(wait for wait, _ in simulation.waits)
    late = sum(is_late for _, is_late in simulation.waits) / len(waits)
    return PlacingResult(late, sum(waits) / len(waits), waits[int(0.99 * len(waits))])


def _make_simulation(case: PlacingCase, random: Random) -> _Simulation:
    engines = [
        Instance(f"engine-{n}", "s", f"{n}", f"zone-{n % 3}", ENGINE_SLOTS, InstanceState.READY, 1)
        for n in range(case.engines)
    ]
    own: list[dict[str, Load]] = [{} for _ in range(case.gateways)]
    others: list[dict[str, Load]] = [{} for _ in range(case.gateways)]
    return _Simulation(case, random, engines, own, others, {engine.id: 0.0 for engine in engines})


def _list_initial_events(simulation: _Simulation) -> Iterator[tuple[float, EventHandler]]:
    case = simulation.case
    for gateway in range(case.gateways):
        yield (
            simulation.random.random() * case.exchange_seconds,
            _make_exchange(simulation, gateway),
        )
    at = simulation.random.expovariate(case.prompts_per_second)
    while at < case.duration_seconds:
        yield at, _make_arrival(simulation)
        at += simulation.random.expovariate(case.prompts_per_second)


def _make_exchange(simulation: _Simulation, gateway: int) -> EventHandler:
    def exchange(now: float) -> Iterator[tuple[float, Any]]:
        others = simulation.sum_others(gateway)

        def receive(now: float) -> Iterator[tuple[float, Any]]:
            simulation.others[gateway] = others
            return iter(())

        yield EXCHANGE_DELAY_SECONDS, receive
        yield EXCHANGE_DELAY_SECONDS + simulation.case.exchange_seconds, exchange

    return exchange


def _make_arrival(simulation: _Simulation) -> EventHandler:
    def arrive(now: float) -> Iterator[tuple[float, Any]]:
        random = simulation.random
        kind = LONG_OUTPUT if random.random() < LONG_OUTPUT.share else SHORT_OUTPUT
        gateway = random.randrange(simulation.case.gateways)
        prompt = int(draw_length(random, *kind.prompt_length))
        output = int(draw_length(random, *kind.output_length))
        tokens = prompt + int(kind.output_length[0])
        engine = simulation.choose_engine(gateway, kind, prompt)
        simulation.add_own(gateway, Load(engine, 1, tokens, prompt))
        simulation.add_placed(Load(engine, 1, tokens, prompt))
        begins_at = max(now, simulation.prefill_free_at[engine])
        simulation.prefill_free_at[engine] = begins_at + prompt / PREFILL_TOKENS_PER_SECOND
        wait = simulation.prefill_free_at[engine] - now
        simulation.waits.append((wait, wait > kind.objective_seconds))
        yield wait, _make_load_change(simulation, gateway, Load(engine, 0, 0, -prompt))
        duration = wait + output * DECODE_SECONDS_PER_TOKEN
        yield duration, _make_load_change(simulation, gateway, Load(engine, -1, -tokens))

    return arrive


def _make_load_change(simulation: _Simulation, gateway: int, load: Load) -> EventHandler:
    def change(now: float) -> Iterator[tuple[float, Any]]:
        simulation.add_own(gateway, load)

        def receive(now: float) -> Iterator[tuple[float, Any]]:
            simulation.add_placed(load)
            return iter(())

        yield PLACER_DELAY_SECONDS, receive

    return change


def draw_length(random: Random, mean: float, spread: float) -> float:
    """Draw a length in tokens from a log-normal distribution, truncated at a maximum.

    :param random: source of randomness.
    :param mean: mean of the distribution before truncation, in tokens.
    :param spread: its standard deviation over its mean.
    """
    sigma = math.sqrt(math.log(1 + spread * spread))
    return min(_MAX_LENGTH_TOKENS, mean * math.exp(random.gauss(-sigma * sigma / 2, sigma)))


def format_cases(cases: Iterable[PlacingCase], seeds: int, seconds: float) -> Iterator[str]:
    """Yield a table of cases, each without and with the gateways' own orders of engines.

    :param cases: the cases.
    :param seeds: runs of each, of which the means are shown.
    :param seconds: virtual time of each run.
    """
    yield "gateways  engines  rate  order    late  mean s   p99 s"
    for case in cases:
        for spread in (False, True):
            variant = replace(case, spread=spread, duration_seconds=seconds)
            results = [simulate(variant, seed) for seed in range(seeds)]
            late, wait, p99 = (
                mean(getattr(result, name) for result in results)
                for name in ("late_share", "mean_seconds", "p99_seconds")
            )
            order = "own" if spread else "none"
            site = f"{case.gateways:>8}{case.engines:>9}{case.prompts_per_second:>6.1f}{order:>7}"
            yield f"{site}{late:>8.4f}{wait:>8.3f}{p99:>8.2f}"
