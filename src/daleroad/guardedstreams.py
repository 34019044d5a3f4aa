"""Keeps prompts and guarded streams apart where reading the one would pause the other too long.

An engine reads prompts between the outputs of its streams. On a quick engine that pauses them
for no longer than their route allows; on a slow one it pauses them for longer in a slow moment.
This module states, as load to add to a candidate, what a request would lose at an engine and what
it would cost the guarded streams there. Guarded streams then fill quick engines. Prompts are placed
away from the guarded streams on slow engines, and guarded streams away from engines that read much.
So each has engines of its own, which follow the load and stay the same while it lasts.

A load of 1 is a full engine, where a prompt misses its latency objective. A stream that is certain
to be late weighs as much.

Does no I/O; the caller passes in the time.
"""

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from statistics import median

from daleroad.contention import Contention
from daleroad.fleet import Fleet
from daleroad.instances import Instance
from daleroad.notices import Demand, Load
from daleroad.paces import GetPace
from daleroad.routing import ServiceRule

Penalty = Callable[[Instance], float]
"""Returns the load to add for an engine, for the request at hand."""

MIN_PACE_SAMPLES = 20.0
"""Fewest events behind a pace. A 95th percentile of fewer is the longest of them."""

MIN_PACE_SPREAD = 1.3
"""Ratio of the slowest engine's pace to a quick one's from which engines are told apart. Callers
notice no smaller one: a slow moment costs them more."""

QUICK_ENGINE_SHARE = 0.1
"""Share of the engines that are quicker than the pace that counts as quick, so that one engine with
a wrong pace does not make all others slow."""

SLOW_WEIGHT = 1.0
"""Load added for a guarded stream on an engine that takes twice as long as a quick one: it is
exposed to twice as many prompts, slow moments and leaving engines. As much as a full memory, so
that quick engines are filled first."""

MAX_SLOWNESS = 3.0
"""Largest slowness that counts. Such an engine is used after all others in any case."""

READ_TOKENS_PER_STEP = 112
"""Prompt tokens whose reading takes an engine as long as a step of output. Used to tell an engine
that is slow from one that reads much."""

READING_FACTOR = 2.0
"""How much longer an event takes while a prompt is read in each of its steps."""

SAFE_PAUSE_SHARE = 0.5
"""Share of the allowed pause up to which a foreseen pause is no risk. The 95th percentile of an
engine's events may miss its slow moments, and then the pause is twice as long as foreseen."""

TOKENS_PER_LONG_PAUSE = 15_000.0
"""Prompt tokens whose reading pauses a stream beside it for too long once, at a risk of 1: one
prompt of 2,500 tokens in six meets a slow moment."""

STREAM_SECONDS = 8.0
"""How long a guarded stream stays on an engine that is not quick."""

READING_WINDOW_SECONDS = 4.0
"""Time over which the reading rate of an engine is averaged: short against a stream's duration, and
long against the time between two prompts."""

OBJECTIVE_SHARE = 0.33
"""Share of the time left to its objective that a prompt may wait longer for guarded streams. Its
own reading and the backlog that all engines have take the rest."""

FULL_LOAD_SECONDS = 1.0
"""Time by which a backlog of load 1 delays a first output."""

_MIN_READING_RATE = 1.0
"""Tokens per second below which an engine's reading rate is dropped."""


class ReadingRates:
    """Prompt tokens per second that were lately sent to each engine, averaged with decay."""

    def __init__(self) -> None:
        self._rates: dict[str, tuple[float, float]] = {}

    def record(self, instance_id: str, tokens: int, now: float) -> None:
        """Record a prompt that was sent to an engine.

        :param instance_id: the engine.
        :param tokens: tokens of the prompt.
        :param now: the time.
        """
        if instance_id not in self._rates:
            self._drop_idle(now)
        rate = self.get_rate(instance_id, now) + tokens / READING_WINDOW_SECONDS
        self._rates[instance_id] = (rate, now)

    def get_rate(self, instance_id: str, now: float) -> float:
        """Return an engine's reading rate in tokens per second.

        :param instance_id: the engine.
        :param now: the time.
        """
        rate, at = self._rates.get(instance_id, (0.0, now))
        return rate * math.exp((at - now) / READING_WINDOW_SECONDS)

    def forget(self, instance_id: str) -> None:
        """Remove the rate of an engine that left.

        :param instance_id: the engine.
        """
        self._rates.pop(instance_id, None)

    def _drop_idle(self, now: float) -> None:
        rates = {name: self.get_rate(name, now) for name in self._rates}
        self._rates = {n: (rate, now) for n, rate in rates.items() if rate > _MIN_READING_RATE}


@dataclass(frozen=True)
class EngineTraits:
    """How an engine serves guarded streams.

    :param relative_pace: time of an event without reading, relative to a quick engine; 1 if no pace
        is known or if all engines are alike.
    :param risk: how likely a prompt read in a slow moment pauses a guarded stream for too long, 0
        to 1.
    """

    relative_pace: float = 1.0
    risk: float = 0.0


@dataclass(frozen=True)
class StreamGuard:
    """Computes the penalty of each engine for a request.

    :param fleet: the live engines.
    :param get_load: returns the load of an engine, summed over all gateways.
    :param get_pace: returns the pace of an engine.
    :param rates: reading rates of the engines.
    """

    fleet: Fleet
    get_load: Callable[[str], Load]
    get_pace: GetPace
    rates: ReadingRates

    def make_penalty(
        self,
        service: ServiceRule,
        contention: Contention,
        demand: Demand | None,
        unread: int,
        now: float,
    ) -> Penalty:
        """Return the penalty for a request: 0 where no streams are guarded.

        :param service: the service that the request is for.
        :param contention: how the routes of the service compete.
        :param demand: what the request demands.
        :param unread: prompt tokens that the engine has to read; 0 for a stream that moves.
        :param now: the time.
        """
        if demand is None or service.engine is None or not contention.guards_streams():
            return no_penalty
        names = [instance.id for instance in self.fleet.list_ready(service.name)]
        read_tokens = READ_TOKENS_PER_STEP * service.engine.event_tokens
        traits = self._find_traits(names, read_tokens, contention.guarded_pause, now)
        if demand.guarded:
            return lambda instance: self._penalize_guarded(
                instance.id, traits[instance.id], unread, now
            )
        if not any(self.get_load(name).guarded for name in names):
            return no_penalty
        bound = OBJECTIVE_SHARE * max(0.0, demand.objective - demand.age) / FULL_LOAD_SECONDS
        return lambda instance: bound_penalty(
            self._count_late_streams(instance.id, traits[instance.id], unread), bound
        )

    def _penalize_guarded(
        self, instance_id: str, trait: EngineTraits, unread: int, now: float
    ) -> float:
        """Return the load to add for a guarded stream: longer exposure, reading, and its own."""
        reading = self._get_reading_rate(instance_id, now) * STREAM_SECONDS
        late = trait.risk * (1 - math.exp(-reading / TOKENS_PER_LONG_PAUSE))
        slowness = min(MAX_SLOWNESS, trait.relative_pace - 1)
        return SLOW_WEIGHT * slowness + late + self._count_late_streams(instance_id, trait, unread)

    def _count_late_streams(self, instance_id: str, trait: EngineTraits, unread: int) -> float:
        """Return how many guarded streams a prompt is expected to make late."""
        return self.get_load(instance_id).guarded * trait.risk * unread / TOKENS_PER_LONG_PAUSE

    def _get_reading_rate(self, instance_id: str, now: float) -> float:
        """Return an engine's reading rate; other processes' prompts show only in its load."""
        unread = self.get_load(instance_id).unread
        return max(self.rates.get_rate(instance_id, now), unread / READING_WINDOW_SECONDS)

    def _find_traits(
        self, names: Sequence[str], read_tokens: int, pause: float, now: float
    ) -> Mapping[str, EngineTraits]:
        """Return the traits of each engine; one of unknown pace counts as typical."""
        known = {name: self._find_pace_without_reading(name, read_tokens, now) for name in names}
        bases = sorted(base for base, _ in known.values() if base)
        if not bases:
            return dict.fromkeys(names, EngineTraits())
        typical = median(bases), median(slow for _, slow in known.values() if slow)
        quick = bases[int(QUICK_ENGINE_SHARE * len(bases))]
        alike = bases[-1] < MIN_PACE_SPREAD * quick

        def describe(name: str) -> EngineTraits:
            base, slow = known[name] if known[name][0] else typical
            relative_pace = 1.0 if alike else max(1.0, base / quick)
            return EngineTraits(relative_pace, estimate_risk(slow, pause))

        return {name: describe(name) for name in names}

    def _find_pace_without_reading(
        self, instance_id: str, read_tokens: int, now: float
    ) -> tuple[float, float]:
        """Return an engine's median and slow event seconds without reading; 0 if unknown."""
        pace = self.get_pace(instance_id)
        if pace is None or pace.samples < MIN_PACE_SAMPLES:
            return 0.0, 0.0
        reading = self._get_reading_rate(instance_id, now) * pace.event_seconds / read_tokens
        return pace.event_seconds / (1 + reading), pace.slow_event_seconds / (1 + reading)


def no_penalty(instance: Instance) -> float:
    """Return no load to add, for any engine.

    :param instance: the engine.
    """
    return 0.0


def estimate_risk(slow_event_seconds: float, pause: float) -> float:
    """Return how likely reading in a slow moment pauses a stream for too long, 0 to 1.

    :param slow_event_seconds: time of a slow event without reading, in seconds.
    :param pause: the longest pause that the stream's route allows, in seconds; 0 for no limit.
    """
    if not pause:
        return 0.0
    share = READING_FACTOR * slow_event_seconds / pause
    return min(1.0, max(0.0, (share - SAFE_PAUSE_SHARE) / (1 - SAFE_PAUSE_SHARE)))


def bound_penalty(cost: float, bound: float) -> float:
    """Return a penalty that rises with the cost and stays below a bound.

    :param cost: the cost, as load.
    :param bound: the bound, as load.
    """
    return bound * cost / (bound + cost) if cost else 0.0
