"""Rules for holding back poison parts of prompts, as :mod:`daleroad.partmodel` compares them.

Does no I/O.
"""

import math
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Protocol

from daleroad.onsets import ONSET_SECONDS, Progress
from daleroad.promptparts import SharedPart
from daleroad.suspects import Standing, Suspects
from daleroad.suspicions import Suspicion

GATEWAYS = 12
NEWS_SECONDS = 0.3
"""Time until the other gateways hear of a report."""

ENGINES = 14
STREAMS_PER_SECOND = 12.0


@dataclass(frozen=True)
class CutStream:
    """A stream that an engine ran when it crashed.

    :param gateway: the gateway that passed it on.
    :param parts: the shared parts of its prompt.
    :param engine: the engine.
    :param progress: how far its answer had got.
    """

    gateway: int
    parts: tuple[SharedPart, ...]
    engine: str
    progress: Progress


class PartRule(Protocol):
    """A rule that decides which parts are held back at each gateway."""

    def record_crash(self, cut: CutStream, now: float) -> None:
        """Record that an engine crashed while it ran a stream."""

    def record_success(self, gateway: int, parts: tuple[SharedPart, ...], now: float) -> None:
        """Record that an answer went on for a while, or was complete."""

    def find_held(
        self, gateway: int, parts: tuple[SharedPart, ...], now: float
    ) -> SharedPart | None:
        """Return the part for which a gateway holds a stream back, if there is one."""

    def forget(self) -> None:
        """Forget everything, as gateways do that start anew."""


class CurrentPartRule:
    """The rule that gateways use, :class:`Suspects`, at each of them."""

    def __init__(self) -> None:
        self._suspects: list[Suspects] = []
        self._news: deque[tuple[float, int, Suspicion]] = deque()
        self.forget()

    def forget(self) -> None:
        """Forget everything, as gateways do that start anew."""
        self._suspects = [Suspects() for _ in range(GATEWAYS)]
        self._news.clear()

    def record_crash(self, cut: CutStream, now: float) -> None:
        """Record that an engine crashed while it ran a stream."""
        self._deliver(now)
        if cut.progress is Progress.FAR:
            return
        for part in cut.parts:
            begun = cut.progress is Progress.BEGUN
            suspects = self._suspects[cut.gateway]
            report = suspects.record_part_crash(part, "caller", "route", cut.engine, begun, now)
            self._publish(cut.gateway, report, now)

    def record_success(self, gateway: int, parts: tuple[SharedPart, ...], now: float) -> None:
        """Record that an answer went on for a while, or was complete."""
        self._deliver(now)
        for part in parts:
            report = self._suspects[gateway].record_part_success(part.fingerprint, "caller", now)
            self._publish(gateway, report, now)

    def find_held(
        self, gateway: int, parts: tuple[SharedPart, ...], now: float
    ) -> SharedPart | None:
        """Return the part for which a gateway holds a stream back, if there is one."""
        self._deliver(now)
        suspects = self._suspects[gateway]
        for part in parts:
            standing = suspects.get_part_standing(part.fingerprint, "caller", now)
            if standing in (Standing.HELD, Standing.TRIAL):
                return part
        return None

    def _publish(self, gateway: int, report: Suspicion | None, now: float) -> None:
        if report is not None:
            self._news.append((now + NEWS_SECONDS, gateway, report))

    def _deliver(self, now: float) -> None:
        while self._news and self._news[0][0] <= now:
            at, sender, report = self._news.popleft()
            for gateway, suspects in enumerate(self._suspects):
                if gateway == sender:
                    continue
                suspects.merge(report, at)
                self._publish(gateway, suspects.apply_credits(report.fingerprint, at), at)


@dataclass
class _Tally:
    crashes: set[str] = field(default_factory=set)
    score: float = 0.0


class CountRule:
    """Holds a part after three crashes of engines that ran it; each whole answer cancels one.

    Counts every run on the engine, however far its answer had got, and knows all at once.
    """

    THRESHOLD = 3

    def __init__(self) -> None:
        self._tallies: dict[str, _Tally] = {}

    def forget(self) -> None:
        """Forget everything, as gateways do that start anew."""
        self._tallies.clear()

    def record_crash(self, cut: CutStream, now: float) -> None:
        """Record that an engine crashed while it ran a stream."""
        for part in cut.parts:
            self._tallies.setdefault(part.fingerprint, _Tally()).crashes.add(cut.engine)

    def record_success(self, gateway: int, parts: tuple[SharedPart, ...], now: float) -> None:
        """Record that an answer went on for a while, or was complete."""
        for part in parts:
            tally = self._tallies.get(part.fingerprint)
            if tally is not None and tally.crashes:
                tally.crashes.pop()

    def find_held(
        self, gateway: int, parts: tuple[SharedPart, ...], now: float
    ) -> SharedPart | None:
        """Return the part for which a gateway holds a stream back, if there is one."""
        return next((p for p in parts if self._is_held(p.fingerprint)), None)

    def _is_held(self, fingerprint: str) -> bool:
        tally = self._tallies.get(fingerprint)
        return tally is not None and len(tally.crashes) >= self.THRESHOLD


class LikelihoodRule:
    """Wald's sequential test with the popularity of each part, which knows all at once.

    A crash with a part that hardly any engine runs weighs more than one with a part that most do.
    """

    POISON_CRASHES, POISON_SUCCEEDS = 0.95, 0.02
    LIMIT = math.log(1e5)

    def __init__(self) -> None:
        self._tallies: dict[str, _Tally] = {}
        self._begun: Counter[str] = Counter()
        self._streams = 0

    def forget(self) -> None:
        """Forget everything, as gateways do that start anew."""
        self._tallies.clear()
        self._begun.clear()
        self._streams = 0

    def record_crash(self, cut: CutStream, now: float) -> None:
        """Record that an engine crashed while it ran a stream."""
        for part in cut.parts:
            tally = self._tallies.setdefault(part.fingerprint, _Tally())
            if cut.progress is Progress.FAR or cut.engine in tally.crashes:
                continue
            tally.crashes.add(cut.engine)
            share = (self._begun[part.fingerprint] + 1) / (self._streams + 2)
            beside = 1 - (1 - share) ** (STREAMS_PER_SECOND * ONSET_SECONDS / ENGINES + 1)
            tally.score += math.log(self.POISON_CRASHES / min(0.9, beside))

    def record_success(self, gateway: int, parts: tuple[SharedPart, ...], now: float) -> None:
        """Record that an answer went on for a while, or was complete."""
        self._streams += 1
        for part in parts:
            self._begun[part.fingerprint] += 1
            tally = self._tallies.setdefault(part.fingerprint, _Tally())
            tally.score = max(0.0, tally.score + math.log(self.POISON_SUCCEEDS))

    def find_held(
        self, gateway: int, parts: tuple[SharedPart, ...], now: float
    ) -> SharedPart | None:
        """Return the part for which a gateway holds a stream back, if there is one."""
        for part in parts:
            tally = self._tallies.get(part.fingerprint)
            if tally is not None and tally.score >= self.LIMIT:
                return part
        return None


def make_part_rules() -> dict[str, PartRule]:
    """Return a new instance of each rule by its name."""
    return {
        "count of 3, each run": CountRule(),
        "likelihood ratio": LikelihoodRule(),
        "in use": CurrentPartRule(),
    }
