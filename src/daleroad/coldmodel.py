"""Simulates requests of many gateways to cold upstreams, in virtual time.

Compares ways to enforce a limit on each cold upstream: none, a share of the limit for each gateway,
and grants of one process (``sendlimits``). Reports the most requests that any upstream got in a
second, relative to the limit, and the share of requests that no upstream could take.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from daleroad.sendlimits import ColdRule, GrantLimiter

RULE = ColdRule(1.5, 5.0)
"""The rule of a deployment that limits cold upstreams."""

SIMULATED_SECONDS = 4.0
_MAX_REQUEST_DELAY_SECONDS = 0.02
"""Longest time from when a gateway asks for a grant to the arrival of its request."""

_LEADER_STARTED_AT = -10.0


class Policy(StrEnum):
    """How the limit is enforced."""

    NONE = "none"
    SHARES = "shares"
    GRANTS = "grants"


@dataclass(frozen=True)
class ColdCase:
    """A site and its load.

    :param cold_engines: number of engines, all of them cold.
    :param engine_rate: requests a second that one engine can handle.
    :param load: requests a second in all, as a multiple of what the engines can handle together.
    """

    gateways: int
    cold_engines: int
    engine_rate: float
    load: float


@dataclass(frozen=True)
class ColdResult:
    """The outcome of one case.

    :param peak_ratio: most requests in any second at one engine, as a multiple of the limit.
    :param refused_share: share of requests that no engine could take.
    """

    peak_ratio: float
    refused_share: float


@dataclass
class _Engine:
    name: str
    arrivals: list[float] = field(default_factory=list)


class _GatewayShares:
    """Lets each gateway send what its share of the limit allows."""

    def __init__(self, gateways: int, max_requests: int) -> None:
        self._share = max(1, max_requests // gateways)
        self._send_times: dict[tuple[int, str], deque[float]] = {}

    def try_acquire(self, gateway: int, engine: str, now: float) -> bool:
        send_times = self._send_times.setdefault((gateway, engine), deque())
        while send_times and send_times[0] <= now - 1.0:
            send_times.popleft()
        if len(send_times) >= self._share:
            return False
        send_times.append(now)
        return True


class _LeaderGrants:
    """Lets one process count the requests to each engine and grant them."""

    def __init__(self) -> None:
        self._limits = GrantLimiter(RULE)
        self._limits.start_term(1, _LEADER_STARTED_AT)

    def try_acquire(self, engine: str, engine_rate: float, now: float) -> bool:
        if not self._limits.may_grant(engine, (RULE.make_window_limit(engine_rate),), now):
            return False
        self._limits.record_grant(engine, now)
        return True


def simulate(case: ColdCase, policy: Policy, seed: int) -> ColdResult:
    """Simulate one case.

    :param case: the site and its load.
    :param policy: how the limit is enforced.
    :param seed: seed of arrivals and choices.
    """
    random = Random(seed)
    max_requests = RULE.compute_max_requests(case.engine_rate)
    engines = [_Engine(f"engine-{number}") for number in range(case.cold_engines)]
    shares, grants = _GatewayShares(case.gateways, max_requests), _LeaderGrants()
    rate = case.load * case.engine_rate * case.cold_engines
    sent = refused = 0
    now = random.expovariate(rate)
    while now < SIMULATED_SECONDS:
        sent += 1
        gateway = random.randrange(case.gateways)
        for engine in random.sample(engines, len(engines)):
            match policy:
                case Policy.NONE:
                    allowed = True
                case Policy.SHARES:
                    allowed = shares.try_acquire(gateway, engine.name, now)
                case Policy.GRANTS:
                    allowed = grants.try_acquire(engine.name, case.engine_rate, now)
            if allowed:
                engine.arrivals.append(now + random.uniform(0, _MAX_REQUEST_DELAY_SECONDS))
                break
        else:
            refused += 1
        now += random.expovariate(rate)
    peak = max(count_peak_requests(engine.arrivals, 1.0) for engine in engines)
    return ColdResult(peak / max(1, max_requests), refused / max(1, sent))


def count_peak_requests(arrivals: Iterable[float], seconds: float) -> int:
    """Return the most arrivals within any window.

    :param arrivals: their times.
    :param seconds: length of the window.
    """
    window: deque[float] = deque()
    peak = 0
    for at in sorted(arrivals):
        window.append(at)
        while window[0] <= at - seconds:
            window.popleft()
        peak = max(peak, len(window))
    return peak


CASES = tuple(
    ColdCase(gateways, cold_engines, engine_rate, load)
    for gateways in (12, 71, 200)
    for cold_engines in (2, 20)
    for engine_rate in (1.0, 27.0, 200.0)
    for load in (0.8, 3.0)
)
"""Few and many gateways and engines, slow and fast engines, and loads below and far above what they
can handle."""


def format_cases(cases: Iterable[ColdCase], seed: int) -> Iterator[str]:
    """Yield a table of cases, with the peak ratio and the refused share for each policy.

    :param cases: the cases.
    :param seed: seed of arrivals and choices.
    """
    yield "gateways  cold   rate  load" + "".join(f"{policy:>20}" for policy in Policy)
    for case in cases:
        results = (simulate(case, policy, seed) for policy in Policy)
        cells = "".join(f"{r.peak_ratio:>12.2f}{r.refused_share:>8.3f}" for r in results)
        yield (
            f"{case.gateways:>8}{case.cold_engines:>6}{case.engine_rate:>7.0f}{case.load:>6.1f}"
            f"{cells}"
        )
