"""The soak's clients of streams: short and long ones, at gateways that they know of.

Some clients learn late that a gateway leaves, and go on to send to it, on the connections that
they have and on new ones.
"""

from dataclasses import dataclass
from random import Random

import anyio
import httpx

from tools.soakledger import HELD_BACK, PART_HELD, Asked, Ending, Kind, Ledger
from tools.soakneeds import GATEWAY_HEADER
from tools.soakupstreams import SIZE_HEADER

GAP_SECONDS = 3.0
"""Silence after which a client leaves; longer than a process is paused."""

SPARE_SECONDS = 6.0
"""How much longer than its stream lasts a client waits."""

PROMPT_TOKENS = (50, 3000)
SHARED_PART, SHARED_TOKENS = "5c1e07a2", 40
"""Name and length of the part that all prompts begin with."""

PAUSES = (0.02, 0.05)
"""Shortest and longest pause between the events of longer streams, in seconds."""

SHORT_EVENTS, SHORT_PAUSE = 5, 0.02
MIDDLE_SECONDS = (1.0, 3.0)
LONG_MORE_SECONDS = (1.0, 4.0)
"""By how much long streams last longer than a gateway's time to drain."""

SHORT_SHARE, MIDDLE_SHARE = 0.4, 0.2
"""Parts of the streams that are short and that are middling; the others are long."""

PROMPT_LAG_SECONDS = (1.0, 2.0)
STALE_LAG_SECONDS = (3.0, 8.0)
"""How long after its SIGTERM a gateway is still chosen, by half of the clients each."""

IDLE_SECONDS = (0.0, 0.4)


@dataclass(frozen=True)
class StreamSize:
    """What a request asks of an engine; one event is one token."""

    prompt: int
    events: int
    pause: float

    @property
    def seconds(self) -> float:
        """How long it lasts at an engine."""
        return self.events * self.pause


def draw_size(random: Random, grace: float) -> StreamSize:
    """Return the size of a stream.

    :param random: draws it.
    :param grace: the time that a gateway has to drain, in seconds.
    """
    prompt = random.randint(*PROMPT_TOKENS)
    chance = random.random()
    if chance < SHORT_SHARE:
        return StreamSize(prompt, SHORT_EVENTS, SHORT_PAUSE)
    pause = round(random.uniform(*PAUSES), 4)
    if chance < SHORT_SHARE + MIDDLE_SHARE:
        return StreamSize(prompt, int(random.uniform(*MIDDLE_SECONDS) / pause), pause)
    return StreamSize(prompt, int((grace + random.uniform(*LONG_MORE_SECONDS)) / pause), pause)


class StreamClient:
    """Asks for one stream after the other.

    :param name: begins the ids of its requests.
    :param random: draws sizes and gateways.
    :param ledger: where it notes how each stream ended.
    :param gateways: addresses by name.
    :param grace: the time that a gateway has to drain, in seconds.
    :param stale: whether it learns late that a gateway leaves.
    """

    def __init__(
        self,
        name: str,
        random: Random,
        ledger: Ledger,
        gateways: dict[str, str],
        grace: float,
        stale: bool,
    ) -> None:
        self._name = name
        self._random = random
        self._ledger = ledger
        self._gateways = gateways
        self._grace = grace
        self._lag = random.uniform(*(STALE_LAG_SECONDS if stale else PROMPT_LAG_SECONDS))
        self._number = 0

    async def run(self) -> None:
        """Ask until cancelled."""
        timeout = httpx.Timeout(GAP_SECONDS, connect=1.0)
        async with httpx.AsyncClient(timeout=timeout, trust_env=False) as client:
            while True:
                await self._ask(client, self._choose())
                await anyio.sleep(self._random.uniform(*IDLE_SECONDS))

    def _choose(self) -> str:
        """Return a gateway that this client does not know to be leaving."""
        now = anyio.current_time()
        stops = {name: self._ledger.history.get_stopping(name) for name in self._gateways}
        known = [name for name, at in stops.items() if at is None or now < at + self._lag]
        return self._random.choice(known or list(self._gateways))

    async def _ask(self, client: httpx.AsyncClient, gateway: str) -> None:
        self._number += 1
        request = f"{self._name}-{self._number}"
        size = draw_size(self._random, self._grace)
        limit = size.seconds + SPARE_SECONDS
        own = f"{request.encode().hex()}:{size.prompt - SHARED_TOKENS}"
        headers = {
            "host": "h",
            "x-daleroad-attempt-id": request,
            "x-daleroad-token-usage": f"{size.prompt},{size.events}",
            "x-daleroad-prefix-hash": f"{SHARED_PART}:{SHARED_TOKENS},{own}",
            "x-daleroad-deadline-ms": str(int(limit * 1000)),
            SIZE_HEADER: f"{size.events},{size.pause}",
            GATEWAY_HEADER: gateway,
        }
        sent = anyio.current_time()
        ending: Ending | None = Ending.FAILED
        with anyio.move_on_after(limit):
            route = "brief" if size.events == SHORT_EVENTS else "stream"
            url = f"http://{self._gateways[gateway]}/{route}/x"
            ending = await self._read(client, url, headers, size.events)
        ended = anyio.current_time()
        self._ledger.asked.append(Asked(request, Kind.STREAM, gateway, sent, ended, ending))

    async def _read(
        self, client: httpx.AsyncClient, url: str, headers: dict[str, str], events: int
    ) -> Ending | None:
        """Return how an answer ended; nothing if there was none."""
        request = headers["x-daleroad-attempt-id"]
        begun = False
        ids: list[int] = []
        try:
            async with client.stream("POST", url, headers=headers) as answer:
                if answer.status_code != httpx.codes.OK:
                    text = await answer.aread()
                    self._ledger.held += HELD_BACK.encode() in text
                    self._ledger.part_held += PART_HELD.encode() in text
                    return self._judge_failure(request, answer)
                begun = True
                signature = answer.headers.get("x-daleroad-engine-signature")
                self._ledger.check_answer(request, answer.status_code, signature)
                async for line in answer.aiter_lines():
                    if line.startswith("id:"):
                        ids.append(int(line.removeprefix("id:")))
                    elif line and line != f"data: {request}":
                        self._ledger.broken.append(f"{request} got the line {line[:80]!r}")
        except (httpx.ReadTimeout, httpx.WriteTimeout):
            return Ending.FAILED
        except httpx.HTTPError:
            return Ending.CUT if begun else None
        finally:
            self._check_order(request, ids)
        if len(ids) != events:
            self._ledger.broken.append(f"{request} ended as whole after {len(ids)} of {events}")
        return Ending.WHOLE

    def _judge_failure(self, request: str, answer: httpx.Response) -> Ending:
        signature = answer.headers.get("x-daleroad-engine-signature")
        self._ledger.check_answer(request, answer.status_code, signature, answer.text)
        match answer.status_code:
            case 429 | 503 | 408 | 421:
                self._ledger.promised_not_run.add(request)
                return Ending.REFUSED
            case 500 | 502 | 504:
                return Ending.FAILED
        self._ledger.broken.append(f"{request} got {answer.status_code}")
        return Ending.FAILED

    def _check_order(self, request: str, ids: list[int]) -> None:
        wrong = [number for place, number in enumerate(ids, 1) if number != place]
        if wrong:
            self._ledger.broken.append(f"{request}: event {wrong[0]} is not the next one")
