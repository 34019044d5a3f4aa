"""Plays requests of many gateways to upstreams that are cold, in virtual time.

Compares ways to keep a bound on what one cold upstream gets: none, a share of the bound for each
gateway, and grants of one process (``sendlimits``). What is looked at is the fullest second of any
upstream against the bound, and how many requests found no place.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from daleroad.sendlimits import ColdRule, SendLimits

RULE = ColdRule(1.5, 5.0)
"""The bound of a deployment that has one."""

SECONDS = 4.0
_WAY_SECONDS = 0.02
"""From a gateway's question to the arrival of its request, at most; the network is calm."""

_LEADER_SINCE = -10.0


class Way(StrEnum):
    """How the bound is kept."""

    NONE = "none"
    SHARES = "shares"
    GRANTS = "grants"


@dataclass(frozen=True)
class ColdCase:
    """One load and one site.

    :param cold: cold engines; there is no other.
    :param bears: requests a second that one of them bears.
    :param load: requests a second over all, as a multiple of what they bear together.
    """

    gateways: int
    cold: int
    bears: float
    load: float


@dataclass(frozen=True)
class ColdResult:
    """What came of it.

    :param fullest: requests in the fullest second of one engine, as a multiple of the bound.
    :param refused: share of requests that found no place.
    """

    fullest: float
    refused: float


@dataclass
class _Engine:
    name: str
    arrivals: list[float] = field(default_factory=list)


class _Shares:
    """Each gateway sends by itself what its share of the bound allows."""

    def __init__(self, gateways: int, most: int) -> None:
        self._each = max(1, most // gateways)
        self._sent: dict[tuple[int, str], deque[float]] = {}

    def take(self, gateway: int, engine: str, now: float) -> bool:
        sent = self._sent.setdefault((gateway, engine), deque())
        while sent and sent[0] <= now - 1.0:
            sent.popleft()
        if len(sent) >= self._each:
            return False
        sent.append(now)
        return True


class _Granted:
    """One process counts what goes to each engine."""

    def __init__(self) -> None:
        self._limits = SendLimits(RULE)
        self._limits.begin(1, _LEADER_SINCE)

    def take(self, engine: str, bears: float, now: float) -> bool:
        if not self._limits.may_get(engine, (RULE.make_bound(bears),), now):
            return False
        self._limits.grant(engine, now)
        return True


def play(case: ColdCase, way: Way, seed: int) -> ColdResult:
    """Return what came of one case.

    :param case: the load and the site.
    :param way: how the bound is kept.
    :param seed: fixes arrivals and choices.
    """
    random = Random(seed)
    most = RULE.find_most(case.bears)
    engines = [_Engine(f"engine-{number}") for number in range(case.cold)]
    shares, granted = _Shares(case.gateways, most), _Granted()
    rate = case.load * case.bears * case.cold
    asked = refused = 0
    now = random.expovariate(rate)
    while now < SECONDS:
        asked += 1
        gateway = random.randrange(case.gateways)
        for engine in random.sample(engines, len(engines)):
            match way:
                case Way.NONE:
                    allowed = True
                case Way.SHARES:
                    allowed = shares.take(gateway, engine.name, now)
                case Way.GRANTS:
                    allowed = granted.take(engine.name, case.bears, now)
            if allowed:
                engine.arrivals.append(now + random.uniform(0, _WAY_SECONDS))
                break
        else:
            refused += 1
        now += random.expovariate(rate)
    fullest = max(count_fullest(engine.arrivals, 1.0) for engine in engines)
    return ColdResult(fullest / max(1, most), refused / max(1, asked))


def count_fullest(arrivals: Iterable[float], seconds: float) -> int:
    """Return the most arrivals within any span.

    :param arrivals: their times.
    :param seconds: length of the span.
    """
    window: deque[float] = deque()
    fullest = 0
    for at in sorted(arrivals):
        window.append(at)
        while window[0] <= at - seconds:
            window.popleft()
        fullest = max(fullest, len(window))
    return fullest


CASES = tuple(
    ColdCase(gateways, cold, bears, load)
    for gateways in (12, 71, 200)
    for cold in (2, 20)
    for bears in (1.0, 27.0, 200.0)
    for load in (0.8, 3.0)
)
"""Few and many gateways and engines, what one engine bears, and a load below and far above it."""


def format_cases(cases: Iterable[ColdCase], seed: int) -> Iterator[str]:
    """Yield a table of cases with each way: the fullest second over the bound, share refused.

    :param cases: the cases.
    :param seed: fixes arrivals.
    """
    yield "gateways  cold  bears  load" + "".join(f"{way:>20}" for way in Way)
    for case in cases:
        results = (play(case, way, seed) for way in Way)
        cells = "".join(f"{r.fullest:>12.2f}{r.refused:>8.3f}" for r in results)
        yield f"{case.gateways:>8}{case.cold:>6}{case.bears:>7.0f}{case.load:>6.1f}{cells}"
