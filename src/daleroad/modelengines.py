"""Engines that crash, and times that events happen at, for simulations in virtual time.

Does no I/O; the caller passes in the time and the random generator.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Generic, TypeVar

RESTART_SECONDS = 3.0
"""Time from the crash of an engine until its replacement takes requests."""

Run = TypeVar("Run")


@dataclass
class ModelEngine(Generic[Run]):
    """One engine; after a crash it stands for its replacement.

    :param name: differs for each start.
    :param up_at: when it takes requests.
    :param running: what it runs, by number.
    """

    name: str
    up_at: float = 0.0
    running: dict[int, Run] = field(default_factory=dict)


class ModelEngines(Generic[Run]):
    """All engines of a simulation.

    :param number: how many there are.
    :param random: picks among them.
    """

    def __init__(self, number: int, random: Random) -> None:
        self._random = random
        self._starts = count()
        self._engines: list[ModelEngine[Run]] = [
            ModelEngine(self._make_name()) for _ in range(number)
        ]

    def __iter__(self) -> Iterator[ModelEngine[Run]]:
        return iter(self._engines)

    def pick(self, now: float) -> ModelEngine[Run] | None:
        """Return one that is up, or None if there is none.

        :param now: the time.
        """
        alive = self._list_alive(now)
        return self._random.choice(alive) if alive else None

    def pick_several(self, most: int, now: float) -> list[ModelEngine[Run]]:
        """Return some that are up.

        :param most: how many, if as many are up.
        :param now: the time.
        """
        alive = self._list_alive(now)
        return self._random.sample(alive, min(most, len(alive)))

    def crash(self, engine: ModelEngine[Run], now: float) -> list[Run]:
        """Replace an engine by a new start of it; return what it was running.

        :param engine: the engine.
        :param now: the time.
        """
        cut, engine.running = engine.running, {}
        engine.name = self._make_name()
        engine.up_at = now + RESTART_SECONDS
        return list(cut.values())

    def _list_alive(self, now: float) -> list[ModelEngine[Run]]:
        return [engine for engine in self._engines if engine.up_at <= now]

    def _make_name(self) -> str:
        return f"e{next(self._starts)}"


def draw_times(random: Random, rate: float, until: float, since: float = 0.0) -> Iterator[float]:
    """Yield the times of events that happen independently of each other.

    :param random: draws them.
    :param rate: events per second.
    :param until: the end, in seconds.
    :param since: the beginning, in seconds.
    """
    at = since + random.expovariate(rate)
    while at < until:
        yield at
        at += random.expovariate(rate)
