"""How the prompt routes of one service compete for its engines, as the configuration shows.

Requests that describe their prompt share the memory and the time of a service's engines. How they
are placed and queued depends on what their routes may cost each other:

- *Guarded streams.* A route whose streams outrank those of another route, although that one has to
  start sooner, is long work that matters more than short work. Its running streams are guarded:
  prompts of lower urgency are kept away from engines where reading them would pause such a stream
  for longer than its route allows.
- *Yielding.* A route whose objective is at least ``YIELD_OBJECTIVES`` times that of a more urgent
  route can let the other go first and still start in time, so prompts are queued by urgency.

A service whose routes do neither places its prompts by load alone.

Does no I/O.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import permutations

from daleroad.routing import RouteRule, RoutingConfig

YIELD_OBJECTIVES = 2.0
"""Ratio of two routes' objectives from which the one with the longer can yield. A request that
waits for a whole objective of the other route still has as much time to start itself."""


@dataclass(frozen=True)
class Contention:
    """How the prompt routes of one service compete.

    :param guarded_ranks: ranks of the routes whose running streams are guarded.
    :param yields: whether some route can yield to a more urgent one.
    :param guarded_pause: shortest of the pauses that the guarded routes allow, in seconds.
    """

    guarded_ranks: frozenset[int] = frozenset()
    yields: bool = False
    guarded_pause: float = 0.0

    def is_ordered(self) -> bool:
        """Return whether prompts that wait for an engine are queued by urgency."""
        return self.yields or self.guards_streams()

    def guards_streams(self) -> bool:
        """Return whether the running streams of some route are guarded."""
        return bool(self.guarded_ranks)


NO_CONTENTION = Contention()


def find_contentions(config: RoutingConfig) -> Mapping[str, Contention]:
    """Return how the prompt routes of each service compete, by the service's name.

    :param config: the routing configuration.
    """
    return {
        service.name: find_contention(
            route
            for route in config.routes
            if route.prompts and any(target.service == service.name for target in route.targets)
        )
        for service in config.services
        if service.engine is not None
    }


def find_contention(routes: Iterable[RouteRule]) -> Contention:
    """Return how the prompt routes of one service compete.

    :param routes: the routes.
    """
    pairs = [
        (urgent, other)
        for urgent, other in permutations(routes, 2)
        if urgent.rank < other.rank and urgent.objective > 0 and other.objective > 0
    ]
    guarded = [
        urgent for urgent, other in pairs if urgent.pause and urgent.objective > other.objective
    ]
    yields = any(other.objective >= YIELD_OBJECTIVES * urgent.objective for urgent, other in pairs)
    ranks = frozenset(route.rank for route in guarded)
    pause = min((route.pause for route in guarded), default=0.0)
    return Contention(ranks, yields, pause)
