"""A trial with real processes: parts of prompts end each upstream that begins to write on them.

    python tools/parttrial.py CASE [SECONDS] [SEED] [NETWORK]

CASE is second-part, first-part, two-parts, own-ends or none.

The site of :mod:`tools.crashtrial`. Twelve callers ask for streams of three parts: two first parts,
forty second ones, the last its own. Two more ask, at any gateway, for streams with a part that
crashes upstreams, no two alike. With ``own-ends`` seven upstreams end of themselves instead, one
second apart.
"""

import sys
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import count
from pathlib import Path
from random import Random

import anyio
import httpx
from anyio.abc import TaskGroup

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tools.crashtrial import (  # noqa: E402
    AGAIN_SECONDS,
    CONTACT_SECONDS,
    CRASHERS,
    GATEWAY_KILLED,
    IDLE_SECONDS,
    NOT_CONNECTED,
    REQUEST_SECONDS,
    CrashTrial,
    TrialKind,
)
from tools.soakupstreams import CRASHING_PARTS, Framing  # noqa: E402

SECONDS = 26.0
NETWORK = "127.7"
QUIET_SECONDS = 4.0
"""Time before the first crash."""

CALLERS = 12
FIRST_PARTS = ("5c1e07a2", "91bd3f06")
SECOND_PARTS = tuple(f"e4402b{number:02x}" for number in range(40))

CRASHES_BORNE = 5
"""Crashes under one part after which requests with it should reach no upstream any more."""

FRAMINGS = {Framing.CHUNKS: 0.45, Framing.CLOSE: 0.45, Framing.TORN: 0.1}
"""Shares of the sound streams by how they end."""

OWN_ENDS, OWN_END_GAP_SECONDS = 7, 1.0


class PartCase(StrEnum):
    """What ends upstreams."""

    SECOND = "second-part"
    FIRST = "first-part"
    TWO = "two-parts"
    OWN = "own-ends"
    NONE = "none"


@dataclass(frozen=True)
class SoundStream:
    """A stream that crashes nothing.

    :param sent: when it was sent.
    :param beside: whether its first part is that of the crashing requests.
    :param whole: whether it came whole at the first try.
    """

    sent: float
    beside: bool
    whole: bool


@dataclass
class PartReport:
    """What a trial saw; times in seconds from its beginning.

    :param crashed: when an upstream ended under a part, by part.
    :param reached: when a request with a part reached an upstream, by part.
    :param ends: when upstreams ended of themselves.
    :param torn: whether each stream that ended inside an event looked whole.
    :param killed: streams that were cut when their gateway was killed.
    :param empty: streams that looked whole without an event.
    :param refused: why streams without a crashing part were refused, and how often.
    :param sound: the other streams that crash nothing, but for those that should end inside an
        event.
    """

    crashed: dict[str, list[float]] = field(default_factory=dict)
    reached: dict[str, list[float]] = field(default_factory=dict)
    ends: list[float] = field(default_factory=list)
    torn: list[bool] = field(default_factory=list)
    killed: int = 0
    empty: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    sound: list[SoundStream] = field(default_factory=list)

    def count_late(self) -> int:
        """Return the most sends of one part after all gateways should have held it."""
        return max((self._count_late(part) for part in self.reached), default=0)

    def _count_late(self, part: str) -> int:
        crashed = sorted(self.crashed.get(part, ()))
        if len(crashed) < CRASHES_BORNE:
            return 0
        known_at = crashed[CRASHES_BORNE - 1] + CONTACT_SECONDS
        return sum(at > known_at for at in self.reached[part])

    def find_known_at(self) -> float:
        """Return when sound streams must be served again: twice the time to hear of the crashes."""
        fifths = (sorted(times)[:CRASHES_BORNE][-1] for times in self.crashed.values() if times)
        return max(fifths, default=max(self.ends, default=QUIET_SECONDS)) + 2 * CONTACT_SECONDS

    def find_whole(self, beside: bool, since: float, until: float) -> tuple[int, int]:
        """Return how many sound streams of a span were whole, and how many there were."""
        found = [s.whole for s in self.sound if s.beside is beside and since <= s.sent < until]
        return sum(found), len(found)

    def describe(self) -> str:
        """Return the report as a line."""
        first = min([*self.ends, *(at for times in self.crashed.values() for at in times), SECONDS])
        spans = ((0.0, first), (first, self.find_known_at()), (self.find_known_at(), float("inf")))
        shares = (self.find_whole(beside, *span) for beside in (True, False) for span in spans)
        return (
            f"crashes {[len(times) for times in self.crashed.values()]}, {self.count_late()} sends "
            f"later than {CONTACT_SECONDS:g} s after the fifth; sound streams whole before, amid "
            f"and after, same first part, then the other: "
            + ", ".join(f"{whole} of {sent}" for whole, sent in shares)
            + f"; {self.killed} cut with their gateway"
            + f"; {sum(self.torn)} of {len(self.torn)} torn ones looked whole"
            + f"; {self.empty} without an event"
            + f"; sound ones refused: {dict(self.refused)}"
        )


class PartTrial(CrashTrial):
    """One trial.

    :param case: what ends upstreams.
    :param seconds: its length.
    :param seed: fixes what callers do.
    :param network: begins its addresses; trials beside each other need one each.
    """

    def __init__(
        self, case: PartCase, seconds: float = SECONDS, seed: int = 1, network: str = NETWORK
    ) -> None:
        super().__init__(TrialKind.STREAMS, seconds, seed, network=network)
        self._case = case
        self._seed = seed
        self.parts = PartReport()

    async def play(self) -> PartReport:
        """Play the trial and return what was seen."""
        await self.run()
        self.parts.torn = [request in self.whole for u in self.upstreams for request in u.torn]
        self.parts.empty = self.empty
        for shared, reason in self.refusals:
            if not any(part in shared for part in CRASHING_PARTS):
                self.parts.refused[reason] += 1
        for part in CRASHING_PARTS:
            crashed = (at for u in self.upstreams for at in u.crashed_at[part])
            reached = (at for u in self.upstreams for at, _ in u.reached[part])
            self.parts.crashed[part] = [at - self.began for at in crashed]
            self.parts.reached[part] = [at - self.began for at in reached]
        return self.parts

    def _start_callers(self, tasks: TaskGroup) -> None:
        for number in range(CALLERS):
            tasks.start_soon(self._ask_sound, Random(f"{self._seed} sound {number}"))
        match self._case:
            case PartCase.OWN:
                tasks.start_soon(self._end_upstreams)
            case PartCase.SECOND | PartCase.FIRST | PartCase.TWO:
                for number in range(CRASHERS):
                    tasks.start_soon(self._ask_with_part, Random(f"{self._seed} part {number}"))

    async def _ask_sound(self, random: Random) -> None:
        async with httpx.AsyncClient(timeout=REQUEST_SECONDS, trust_env=False) as client:
            for number in count():
                first = random.choice(FIRST_PARTS)
                sent = anyio.current_time() - self.began
                shared = f"{first}:40,{random.choice(SECOND_PARTS)}:30"
                (framing,) = random.choices(list(FRAMINGS), FRAMINGS.values())
                status = await self._ask(client, f"{sent} {number}".encode(), shared, framing)
                whole = status == httpx.codes.OK
                if status == GATEWAY_KILLED:
                    self.parts.killed += 1
                elif framing is not Framing.TORN and status != NOT_CONNECTED:
                    self.parts.sound.append(SoundStream(sent, first == FIRST_PARTS[0], whole))
                await anyio.sleep(random.uniform(*IDLE_SECONDS))

    async def _ask_with_part(self, random: Random) -> None:
        await anyio.sleep(QUIET_SECONDS)
        async with httpx.AsyncClient(timeout=REQUEST_SECONDS, trust_env=False) as client:
            for shared in self._draw_shared(random):
                framing = random.choice((Framing.CHUNKS, Framing.CLOSE))
                await self._ask(client, f"part {random.random()}".encode(), shared, framing)
                await anyio.sleep(random.uniform(*AGAIN_SECONDS))

    def _draw_shared(self, random: Random) -> Iterator[str]:
        while True:
            match self._case:
                case PartCase.FIRST:
                    yield f"{CRASHING_PARTS[0]}:40,{random.choice(SECOND_PARTS)}:30"
                case PartCase.TWO:
                    yield f"{FIRST_PARTS[0]}:40,{random.choice(CRASHING_PARTS)}:30"
                case _:
                    yield f"{FIRST_PARTS[0]}:40,{CRASHING_PARTS[0]}:30"

    async def _end_upstreams(self) -> None:
        await anyio.sleep(QUIET_SECONDS)
        for number in range(OWN_ENDS):
            self.upstreams[number % len(self.upstreams)].go_down()
            self.parts.ends.append(anyio.current_time() - self.began)
            await anyio.sleep(OWN_END_GAP_SECONDS)


def main() -> None:
    """Play the trial that the command line names, and print what was seen."""
    case = PartCase(sys.argv[1])
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else SECONDS
    seed = int(sys.argv[3]) if len(sys.argv) > 3 else 1
    network = sys.argv[4] if len(sys.argv) > 4 else NETWORK
    found = anyio.run(PartTrial(case, seconds, seed, network).play)
    print(f"{case}, seed {seed}: {found.describe()}", flush=True)


if __name__ == "__main__":
    main()
