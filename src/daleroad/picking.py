"""Scores candidate upstreams and picks the best one for a request.

A gateway knows its own load exactly and that of the others with a delay of a fraction of a second.
Noise on the scores keeps gateways with equal views from all picking the same upstream.

Does no I/O.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from xxhash import xxh3_64_intdigest

from daleroad.instances import Instance
from daleroad.notices import Load

MAX_LOAD_NOISE = 0.06
"""Largest noise added to a load, where 1 is full: about one run on a small engine."""

ZONE_BONUS = 0.05
"""Load subtracted for an upstream in the gateway's own zone, since cross-zone traffic is billed."""

MIGRATION_ZONE_BONUS = 0.5
"""Load subtracted for an engine in the same zone as the origin of a migration: half a memory."""

FULL_LOAD_PREFILL_TOKENS = 8000.0
"""Prompt tokens awaiting prefill that weigh as much as a full memory. An engine that also generates
output prefills about seven tokens per millisecond, so these delay a first token by about a second,
most of its latency objective."""

COLD_PENALTY = 0.25
"""Load added for an upstream that has just started and is still slow."""

LIMITED_PENALTY = 0.25
"""Load added for an upstream that advertises a rate limit."""

OVERDUE_PENALTY = 0.4
"""Load added for an overdue heartbeat: the upstream may have crashed, and a generation started
there would be lost. Less than 1, since heartbeats may also be delayed."""

SOLE_IN_ZONE_PENALTY = 0.3
"""Load added for the only engine of a zone. When it leaves, its generations migrate to another
zone, which takes twice as long, so fewer of them complete in time."""


PREFERENCE_WEIGHT_PER_GATEWAY = 0.17
"""Load difference, for each other gateway, between the engines that a gateway ranks first and last.
Gateways rank engines differently, so that those with the same delayed view don't all pick the same
engine. With few gateways a gateway's own load is most of the total, and the ranking matters little.
``daleroad placing`` compares results with and without it."""

MAX_PREFERENCE_WEIGHT = 6.0
"""Largest such load difference, however many gateways there are. At 71 gateways that exchange their
loads every 0.74 s, a larger one gains nothing."""

MAX_FULL_COMPARISON_GATEWAYS = 12
"""Up to so many gateways each compare all upstreams: they make few picks between two load reports.
With more, each compares a random sample, or all would pick the same upstream."""

MIN_SAMPLE_SIZE = 2
"""Fewest upstreams to compare; a sample of one would ignore the loads."""


@dataclass(frozen=True)
class Candidate:
    """An upstream with its load and health.

    :param load: 0 when idle, 1 when full, and more when work is queued.
    :param unhealthy: whether heartbeats are missing or recent requests failed.
    :param sole_in_zone: whether generations there could migrate only to another zone.
    :param overdue: whether the next heartbeat is overdue.
    :param lacks_memory: whether the request exceeds the memory that is expected to be free.
    :param rate_limited: whether the upstream advertises a rate limit.
    :param penalty: load to add for what the request would lose there, or cost others.
    """

    instance: Instance
    load: float
    unhealthy: bool = False
    cold: bool = False
    sole_in_zone: bool = False
    overdue: bool = False
    lacks_memory: bool = False
    rate_limited: bool = False
    penalty: float = 0.0


@dataclass(frozen=True)
class PreferenceOrder:
    """One gateway's preference order of engines, derived from a hash.

    :param gateway: the gateway's address.
    :param weight: load difference between the most and the least preferred engine.
    """

    gateway: str = ""
    weight: float = 0.0

    def get_penalty(self, instance_id: str) -> float:
        """Return the load to add for an engine's rank in the order.

        :param instance_id: the engine.
        """
        if not self.weight:
            return 0.0
        return self.weight * xxh3_64_intdigest(f"{self.gateway} {instance_id}".encode()) / 2**64


def make_preference_order(gateway: str, gateways: int) -> PreferenceOrder:
    """Return a gateway's preference order.

    :param gateway: the gateway's address.
    :param gateways: number of gateways that pick by delayed loads.
    """
    return PreferenceOrder(
        gateway, min(MAX_PREFERENCE_WEIGHT, PREFERENCE_WEIGHT_PER_GATEWAY * (gateways - 1))
    )


def pick_upstream(
    candidates: Iterable[Candidate],
    zone: str,
    random: Random,
    zone_bonus: float = ZONE_BONUS,
    preference: PreferenceOrder = PreferenceOrder(),
) -> Candidate | None:
    """Return the candidate with the lowest score, or nothing if there are no candidates.

    Unhealthy candidates are used only when all are, and then ones that lack memory only when no
    other is left: an engine short of memory preempts a generation and has to prefill it again.

    :param candidates: all that may serve the request.
    :param zone: the availability zone to prefer.
    :param random: source of noise.
    :param zone_bonus: load subtracted for upstreams in that availability zone.
    :param preference: the gateway's preference order; penalties are scaled up with its weight.
    """
    scale = 1 + preference.weight
    best: Candidate | None = None
    best_rank = (True, True, 0.0)
    for candidate in candidates:
        score = candidate.load + scale * candidate.penalty + random.uniform(0, MAX_LOAD_NOISE)
        score -= zone_bonus * (candidate.instance.zone == zone)
        score += preference.get_penalty(candidate.instance.id)
        score += scale * COLD_PENALTY * candidate.cold + (
            scale * SOLE_IN_ZONE_PENALTY * candidate.sole_in_zone
        )
        score += scale * OVERDUE_PENALTY * candidate.overdue
        score += scale * LIMITED_PENALTY * candidate.rate_limited
        rank = (candidate.unhealthy, candidate.lacks_memory, score)
        if best is None or rank < best_rank:
            best, best_rank = candidate, rank
    return best


def sample_candidates(
    candidates: Iterable[Candidate], gateways: int, random: Random
) -> list[Candidate]:
    """Return the candidates that a gateway should compare: all of them, or a random sample.

    Unhealthy candidates are left out unless all are unhealthy.

    :param candidates: all that may serve the request.
    :param gateways: number of gateways that pick by the same delayed loads.
    :param random: source of the sample.
    """
    listed = list(candidates)
    healthy = [candidate for candidate in listed if not candidate.unhealthy]
    pool = healthy or listed
    size = max(MIN_SAMPLE_SIZE, round(len(pool) * MAX_FULL_COMPARISON_GATEWAYS / max(1, gateways)))
    return pool if size >= len(pool) else random.sample(pool, size)


def estimate_load(load: Load, slots: int, memory: int) -> float:
    """Return an upstream's load: the fuller of its slots and memory, plus its prefill backlog.

    Prompts are prefilled one after the other, so the backlog delays the next first token.

    :param load: the work assigned to it.
    :param slots: requests that it processes concurrently.
    :param memory: its capacity in tokens, or 0 where memory does not matter.
    """
    by_slots = load.runs / max(1, slots)
    if not memory:
        return by_slots
    return max(by_slots, load.tokens / memory) + load.unread / FULL_LOAD_PREFILL_TOKENS
