"""Workloads for the bench: both partners' kinds of work with heavy-tailed lengths. Does no I/O."""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random


@dataclass(frozen=True)
class WorkKind:
    """A kind of work. Lengths in tokens, times in seconds.

    :param median: median output length.
    :param spread: sigma of the lognormal distribution of lengths.
    :param part: its part of its partner's requests.
    """

    route: str
    partner: str
    organisations: int
    urgent: bool
    prompt: int
    median: int
    spread: float
    part: float
    deadline: float


KINDS = (
    WorkKind("bulletin", "stoyanov", 3, False, 300, 500, 1.0, 0.30, 120.0),
    WorkKind("frost-alert", "stoyanov", 2, True, 120, 60, 0.6, 0.25, 10.0),
    WorkKind("station-lookup", "stoyanov", 3, True, 40, 12, 0.5, 0.45, 10.0),
    WorkKind("ledger-draft", "tamarack", 3, False, 400, 450, 1.1, 0.25, 120.0),
    WorkKind("classification", "tamarack", 2, False, 200, 10, 0.4, 0.25, 60.0),
    WorkKind("tag-lookup", "tamarack", 2, True, 40, 10, 0.5, 0.30, 10.0),
    WorkKind("gate-check-in", "tamarack", 2, True, 40, 8, 0.5, 0.20, 10.0),
)

PARTNERS = ("stoyanov", "tamarack")
LENGTH_MOST = 6_000


@dataclass(frozen=True)
class Arrival:
    """A request of a workload. ``length`` is known to the engine alone."""

    at: float
    number: int
    kind: WorkKind
    organisation: str
    length: int


def get_mean_tokens(kind: WorkKind) -> float:
    """Return a kind's mean output length.

    :param kind: the kind.
    """
    return kind.median * math.exp(kind.spread**2 / 2)


def get_tokens_per_request(partner: str) -> float:
    """Return the mean output length of a partner's requests.

    :param partner: the partner.
    """
    return sum(k.part * get_mean_tokens(k) for k in KINDS if k.partner == partner)


def generate_arrivals(
    random: Random, seconds: float, token_rates: dict[str, float]
) -> Iterator[Arrival]:
    """Yield arrivals in order of time.

    :param random: source of times, kinds and lengths.
    :param seconds: until when.
    :param token_rates: offered output tokens a second by partner.
    """
    streams = [
        list(_generate_partner(Random(random.random()), partner, seconds, rate))
        for partner, rate in token_rates.items()
        if rate > 0
    ]
    merged = sorted((item for stream in streams for item in stream), key=lambda i: i[0])
    for number, (at, kind, organisation, length) in enumerate(merged):
        yield Arrival(at, number, kind, organisation, length)


def _generate_partner(
    random: Random, partner: str, seconds: float, rate: float
) -> Iterator[tuple[float, WorkKind, str, int]]:
    kinds = [kind for kind in KINDS if kind.partner == partner]
    weights = [kind.part for kind in kinds]
    requests = rate / get_tokens_per_request(partner)
    now = 0.0
    while (now := now + random.expovariate(requests)) < seconds:
        kind = random.choices(kinds, weights)[0]
        organisation = f"{kind.route}-{random.randrange(kind.organisations)}"
        length = int(kind.median * random.lognormvariate(0.0, kind.spread))
        yield now, kind, organisation, max(1, min(length, LENGTH_MOST))
