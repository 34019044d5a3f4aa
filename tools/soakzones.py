"""Evacuates availability zones during a soak, and checks that nothing reaches them.

One zone at a time, held long enough for the bound; orders go to any coordinator and are sent again
until one acknowledges them, also right behind each other. When a coordinator is paused, the operator
takes an evacuation back through it first, and often evacuates the zone again at once: a copy of the
last order then still waits there.
"""

from dataclasses import dataclass
from math import inf
from random import Random

import anyio
import httpx

from tools.soakledger import Ledger

BOUND_SECONDS = 4.0
"""From an order's acknowledgement until nothing may reach the zone; the users grant five seconds. A
gateway that was paused or killed meanwhile is well again by then."""

HELD_SECONDS = (BOUND_SECONDS + 0.5, BOUND_SECONDS + 2.5)
PAUSE_SECONDS = (0.0, 2.0)
"""How long a zone stays evacuated, and the time until the next."""

AGAIN_RATIO = 0.5
AGAIN_PAUSE_SECONDS = (0.0, 0.5)
"""How often the same zone is evacuated again soon, and after how long."""

ANSWER_SECONDS = 1.0
"""How long the operator waits for one coordinator."""

_AGAIN_SECONDS = 0.1
_DONE = range(200, 300)
_UNCLEAR = 500


@dataclass
class Span:
    """A time in which a zone was evacuated.

    :param acknowledged: when its order was.
    :param taken_back: when the order that takes it back was first sent.
    """

    zone: str
    acknowledged: float
    taken_back: float = inf


class ZoneOperator:
    """An operator who evacuates zones and takes that back.

    :param seed: fixes what is ordered when.
    :param ledger: notes what is wrong.
    :param entries: IP:PORT of the coordinators for operators.
    :param zones: the zones.
    """

    def __init__(self, seed: str, ledger: Ledger, entries: list[str], zones: list[str]) -> None:
        self._paused = ""
        self._pause_begun = anyio.Event()
        self._random = Random(seed)
        self._ledger = ledger
        self._entries = entries
        self._zones = zones
        self.spans: list[Span] = []

    def note_paused(self, entry: str) -> None:
        """Take the evacuation back, first through a coordinator that is paused now.

        :param entry: IP:PORT of the coordinator for operators.
        """
        self._paused = entry
        self._pause_begun.set()

    async def run(self, client: httpx.AsyncClient) -> None:
        """Order until cancelled."""
        zone = self._random.choice(self._zones)
        while True:
            if self.spans and self._random.random() < AGAIN_RATIO:
                await anyio.sleep(self._random.uniform(*AGAIN_PAUSE_SECONDS))
            else:
                await anyio.sleep(self._random.uniform(*PAUSE_SECONDS))
                zone = self._random.choice(self._zones)
            await self._order(client, "POST", zone)
            span = Span(zone, anyio.current_time())
            self.spans.append(span)
            self._pause_begun = anyio.Event()
            with anyio.move_on_after(self._random.uniform(*HELD_SECONDS)):
                await self._pause_begun.wait()
            span.taken_back = anyio.current_time()
            await self._order(client, "DELETE", zone)

    async def _order(self, client: httpx.AsyncClient, method: str, zone: str) -> None:
        """Send an order until it is acknowledged; none may be refused."""
        while True:
            place = self._paused or self._random.choice(self._entries)
            self._paused = ""
            try:
                answer = await client.request(
                    method,
                    f"http://{place}/-/evacuations/{zone}",
                    timeout=ANSWER_SECONDS,
                    follow_redirects=True,
                )
            except httpx.HTTPError:
                await anyio.sleep(_AGAIN_SECONDS)
                continue
            if answer.status_code in _DONE:
                return
            if answer.status_code < _UNCLEAR:
                self._ledger.broken.append(f"{method} {zone}: {answer.status_code}")
                return
            await anyio.sleep(_AGAIN_SECONDS)

    def was_evacuated(self, zone: str, begin: float, end: float) -> bool:
        """Return whether a zone was evacuated for some of a time.

        :param zone: the zone.
        :param begin: the time's begin.
        :param end: its end.
        """
        spans = (span for span in self.spans if span.zone == zone)
        return any(span.acknowledged < end and begin < span.taken_back for span in spans)

    def check(self, zone: str, arrivals: list[tuple[float, str]]) -> None:
        """Note what reached an upstream that should get nothing.

        :param zone: where the upstream is.
        :param arrivals: when requests reached it.
        """
        for span in self.spans:
            if span.zone != zone:
                continue
            begin, end = span.acknowledged + BOUND_SECONDS, span.taken_back
            late = [(at, request) for at, request in arrivals if begin < at < end]
            for at, request in late[:3]:
                after = at - span.acknowledged
                self._ledger.broken.append(
                    f"{request} reached {zone} {after:.2f} s after its order"
                )
