"""What stand-in upstreams say of themselves in a soak, and whether gateways keep to it.

By turns an upstream names a limit, asks for rest, or says that it leaves and ends. Its answers
alone tell gateways; its heartbeats go on as if nothing were.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

import anyio

from daleroad.coldmodel import count_peak_requests
from tools.soakledger import Ledger

GATEWAY_HEADER = "x-soak-gateway"
"""Names the gateway that a client asked; gateways pass it on."""

GAP_SECONDS = (1.0, 4.0)
SPAN_SECONDS = (3.0, 6.0)
LIMITS = (1.0, 6.0)
"""Requests a second that are named."""

RESTS = (1, 3)
"""Seconds of rest that are asked for."""

TOLD_SECONDS = 0.5
"""From an answer that says something until its gateway must keep to it."""

LEAVE_TOLD_SECONDS = 1.5
"""The same for an upstream that leaves; the users grant 2.5 s."""

WINDOW_SECONDS = 4.0
OVERAGE, TOLERANCE = 1.5, 5
REST_BORNE = 2
"""What the users allow beyond a limit, and in a rest."""


def find_allowed(rate: float) -> float:
    """Return how many requests the users allow in a window to one that names a limit.

    :param rate: the limit in requests a second.
    """
    return OVERAGE * rate * WINDOW_SECONDS + TOLERANCE


class Need(StrEnum):
    """What an upstream says of itself."""

    LIMIT = "names a limit"
    REST = "asks for rest"
    LEAVING = "leaves"


@dataclass
class Episode:
    """A time in which an upstream says one thing.

    :param value: the limit or the rest.
    :param told: when each gateway was first told, since it was hurt last.
    :param rests: when each rest was asked for, and of which gateway.
    """

    need: Need
    value: float = 0.0
    told: dict[str, float] = field(default_factory=dict)
    rests: list[tuple[float, str]] = field(default_factory=list)
    arrivals: list[tuple[float, str]] = field(default_factory=list)


class Needs:
    """What one upstream needs over time.

    :param name: the upstream.
    :param link: the link before it; what is hurt there may not arrive.
    :param random: draws it.
    :param ledger: knows who was hurt, and notes what is wrong.
    :param end: ends the upstream; it is back under its id a little later.
    """

    def __init__(
        self, name: str, link: str, random: Random, ledger: Ledger, end: Callable[[], None]
    ) -> None:
        self._name = name
        self._link = link
        self._random = random
        self._ledger = ledger
        self._end = end
        self._now: Episode | None = None
        self.episodes: list[Episode] = []

    async def run(self) -> None:
        """Need one thing after the other until cancelled."""
        while True:
            await anyio.sleep(self._random.uniform(*GAP_SECONDS))
            self._now = self._draw()
            self.episodes.append(self._now)
            await anyio.sleep(self._random.uniform(*SPAN_SECONDS))
            leaves = self._now.need is Need.LEAVING
            self._now = None
            if leaves:
                self._end()

    def finish(self) -> None:
        """Need nothing more."""
        self._now = None

    def _draw(self) -> Episode:
        need = self._random.choice(list(Need))
        match need:
            case Need.LIMIT:
                return Episode(need, round(self._random.uniform(*LIMITS), 1))
            case Need.REST:
                return Episode(need, float(self._random.randint(*RESTS)))
        return Episode(need)

    def turns_away(self) -> bool:
        """Return whether the next request is turned away."""
        return self._now is not None and self._now.need is Need.REST

    def take(self, gateway: str) -> None:
        """Note that a gateway's request came."""
        if self._now is not None:
            self._now.arrivals.append((anyio.current_time(), gateway))

    def list_words(self) -> list[str]:
        """Return the headers that an answer has now."""
        match self._now:
            case Episode(Need.LIMIT, limit):
                return [f"Server-Limit: {limit}"]
            case Episode(Need.REST, rest):
                return [f"Retry-After: {rest:g}"]
            case Episode(Need.LEAVING):
                return ["Server-Leaving: 1"]
        return []

    def note_told(self, gateway: str, words: list[str]) -> None:
        """Note that an answer with some headers was sent to a gateway."""
        episode = self._now
        if episode is None or words != self.list_words():
            return
        now = anyio.current_time()
        told = episode.told.get(gateway)
        if told is None or self._was_hurt(gateway, told, now):
            episode.told[gateway] = now
        if episode.need is Need.REST:
            episode.rests.append((now, gateway))

    def _was_hurt(self, gateway: str, since: float, until: float) -> bool:
        """Return whether a gateway may have forgotten what it was told, or was not told."""
        history = self._ledger.history
        stops = history.stops.get(gateway, ())
        started = any(since <= stop.gone <= until for stop in stops)
        return started or history.is_hurt({gateway, self._link}, since, until)

    def check(self) -> None:
        """Note what was sent against what this upstream said."""
        for episode in self.episodes:
            for fault in self._list_faults(episode):
                said = f"{self._name} {episode.need} {episode.value:g}"
                self._ledger.broken.append(f"{said}: {fault}")

    def _list_faults(self, episode: Episode) -> Iterator[str]:
        match episode.need:
            case Need.LIMIT:
                late = (at for at, _ in self._list_late(episode, TOLD_SECONDS))
                most = count_peak_requests(late, WINDOW_SECONDS)
                if most > find_allowed(episode.value):
                    yield f"{most} requests in {WINDOW_SECONDS:g} s"
            case Need.REST:
                yield from self._list_unrested(episode)
            case Need.LEAVING:
                late = Counter(
                    gateway for _, gateway in self._list_late(episode, LEAVE_TOLD_SECONDS)
                )
                if late:
                    yield f"requests after that: {dict(late)}"

    def _list_late(self, episode: Episode, seconds: float) -> Iterator[tuple[float, str]]:
        """Yield what gateways sent that had been told for some time."""
        for at, gateway in episode.arrivals:
            told = episode.told.get(gateway, float("inf"))
            if at >= told + seconds and not self._was_hurt(gateway, told, at):
                yield at, gateway

    def _list_unrested(self, episode: Episode) -> Iterator[str]:
        for asked_at, gateway in episode.rests:
            begin, end = asked_at + TOLD_SECONDS, asked_at + episode.value
            late = [at for at, by in episode.arrivals if by == gateway and begin <= at < end]
            if len(late) > REST_BORNE and not self._was_hurt(gateway, asked_at, late[-1]):
                yield f"{len(late)} requests of {gateway}"
                return
