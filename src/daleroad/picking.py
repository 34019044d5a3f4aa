"""Which upstream a request goes to. Pure.

A gateway knows its own work exactly and that of the others a fraction of a second late, so a
little noise keeps gateways that see the same figures from choosing the same upstream.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from xxhash import xxh3_64_intdigest

from daleroad.instances import Instance
from daleroad.notices import Load

NOISE = 0.06
"""Range of the noise on a load between 0 and 1: about one run of a small engine."""

ZONE_BONUS = 0.05
"""How much fuller an upstream of the gateway's own zone may be; traffic between zones is paid."""

COPY_ZONE_BONUS = 0.5
"""The same for the engine that a generation moves to: half of its memory."""

UNREAD_TOKENS = 8000.0
"""Prompt tokens that weigh as much as a full memory: an engine that also generates reads about
seven in a millisecond, so this is a second's wait, most of the objective for a first output."""

COLD_PENALTY = 0.25
"""Load that stands for the slowness of an upstream that has just started."""

LIMITED_PENALTY = 0.25
"""Load that stands for the need of an upstream that names a limit."""

OVERDUE_PENALTY = 0.4
"""Load that stands for a heartbeat that is overdue: the upstream may have ended without a word, and
a generation begun there would be lost. Less than full, since heartbeats may be held up."""

LONE_PENALTY = 0.3
"""Load that stands for having no neighbour in the availability zone: when such an engine leaves,
its generations move far, which takes twice as long, and fewer of them get off in time."""


SPREAD_EACH = 0.17
"""How much fuller, for each other gateway, the engine that a gateway likes best may look than the
one that it likes least. Each gateway has an order of its own, so that those which see the same late
figures do not all choose the same engine. With few gateways what each knows of its own work is most
of what there is to know, and the order matters little. What it gains: ``daleroad placing``."""

SPREAD_MOST = 6.0
"""Largest spread: at 71 gateways that exchange their loads every 0.74 s more gains nothing."""

FRESH_GATEWAYS = 12
"""Gateways whose choices between two exchanges of load are few enough to look at all upstreams; of
more gateways each looks at a random part, or all would choose the same upstream."""

SAMPLE_LEAST = 2
"""Upstreams that are compared at least; one would be no choice."""


@dataclass(frozen=True)
class Candidate:
    """An upstream with what is known of it.

    :param load: from 0 to 1 when full; above 1 when work waits.
    :param lone: whether generations there would have to move far.
    :param doubtful: whether its heartbeat is missing or its answers failed of late.
    :param overdue: whether a heartbeat should have come by now.
    :param crowded: whether the request does not fit into what memory is expected to be left.
    :param limited: whether it names a limit on its requests.
    """

    instance: Instance
    load: float
    doubtful: bool = False
    cold: bool = False
    lone: bool = False
    overdue: bool = False
    crowded: bool = False
    limited: bool = False


@dataclass(frozen=True)
class Spread:
    """The order in which one gateway likes the engines.

    :param owner: the gateway.
    :param weight: load that lies between the engines that it likes best and least.
    """

    owner: str = ""
    weight: float = 0.0

    def rate(self, instance_id: str) -> float:
        """Return the load that stands for an engine's place in the order.

        :param instance_id: the engine.
        """
        if not self.weight:
            return 0.0
        return self.weight * xxh3_64_intdigest(f"{self.owner} {instance_id}".encode()) / 2**64


def make_spread(owner: str, gateways: int) -> Spread:
    """Return the order of one of some gateways.

    :param owner: the gateway.
    :param gateways: how many choose by figures that are late.
    """
    return Spread(owner, min(SPREAD_MOST, SPREAD_EACH * (gateways - 1)))


def pick_upstream(
    candidates: Iterable[Candidate],
    zone: str,
    random: Random,
    bonus: float = ZONE_BONUS,
    spread: Spread = Spread(),
) -> Candidate | None:
    """Return the candidate to use, or nothing without any.

    Doubtful ones are used only when no other is there, crowded ones only when no other fits: there
    the request or another would be preempted, read in again and late by it.

    :param candidates: all that may serve the request.
    :param zone: the availability zone to prefer.
    :param random: source of noise.
    :param bonus: how much fuller an upstream of that availability zone may be.
    :param spread: the gateway's own order. What speaks against an upstream weighs more beside it.
    """
    scale = 1 + spread.weight
    best: Candidate | None = None
    best_score = (True, True, 0.0)
    for candidate in candidates:
        score = candidate.load + random.uniform(0, NOISE)
        score -= bonus * (candidate.instance.zone == zone)
        score += spread.rate(candidate.instance.id)
        score += scale * COLD_PENALTY * candidate.cold + scale * LONE_PENALTY * candidate.lone
        score += scale * OVERDUE_PENALTY * candidate.overdue
        score += scale * LIMITED_PENALTY * candidate.limited
        ranked = (candidate.doubtful, candidate.crowded, score)
        if best is None or ranked < best_score:
            best, best_score = candidate, ranked
    return best


def draw_sample(candidates: Iterable[Candidate], gateways: int, random: Random) -> list[Candidate]:
    """Return the candidates that one of many gateways should compare.

    :param candidates: all that may serve the request.
    :param gateways: gateways that choose by the same late figures.
    :param random: draws the part.
    """
    found = list(candidates)
    sound = [candidate for candidate in found if not candidate.doubtful]
    pool = sound or found
    size = max(SAMPLE_LEAST, round(len(pool) * FRESH_GATEWAYS / max(1, gateways)))
    return pool if size >= len(pool) else random.sample(pool, size)


def estimate_load(load: Load, slots: int, memory: int) -> float:
    """Return how full an upstream is: by the scarcer of slots and memory, and by what it must read.

    Prompts are read one after the other, so those that wait decide when the next one answers.

    :param load: the work there.
    :param slots: requests that it works on at a time.
    :param memory: tokens that fit, or 0 where memory does not matter.
    """
    by_slots = load.runs / max(1, slots)
    if not memory:
        return by_slots
    return max(by_slots, load.tokens / memory) + load.unread / UNREAD_TOKENS
