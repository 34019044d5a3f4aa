"""Lists the upstreams that may serve a request, with their load and health.

Does no I/O; the caller passes in the time.
"""

from collections import Counter
from collections.abc import Callable, Container, Iterator
from dataclasses import dataclass

from daleroad.defaults import LATE_HEARTBEATS, OVERDUE_HEARTBEATS
from daleroad.fleet import Fleet
from daleroad.instances import Instance
from daleroad.notices import Load
from daleroad.picking import Candidate, estimate_load
from daleroad.routing import ServiceRule


@dataclass(frozen=True)
class CandidateEvaluator:
    """Evaluates a service's upstreams as candidates for a request.

    :param fleet: the upstreams that are alive.
    :param heartbeat: interval of their heartbeats in seconds.
    :param get_load: returns the load of an instance, summed over all gateways.
    :param is_failing: returns whether an instance was ejected or can't be reached.
    :param evacuated: availability zones whose upstreams get no requests.
    :param get_penalty: returns the load to add for an instance, for the request at hand.
    """

    fleet: Fleet
    heartbeat: float
    get_load: Callable[[str], Load]
    is_failing: Callable[[str], bool]
    evacuated: Container[str] = ()
    get_penalty: Callable[[Instance], float] = lambda instance: 0.0

    def list_candidates(
        self, service: ServiceRule, tokens: int, excluded: Container[str], now: float
    ) -> Iterator[Candidate]:
        """Yield the upstreams of a service that may serve a request, with the request's load added.

        :param service: the service.
        :param tokens: tokens of memory that the request may use.
        :param excluded: instances not to use.
        :param now: the current time.
        """
        memory = service.engine.memory_tokens if service.engine else 0
        ready = self.fleet.list_ready(service.name)
        zone_sizes = Counter(instance.zone for instance in ready)
        for instance in ready:
            if instance.id in excluded or instance.zone in self.evacuated:
                continue
            expected = self.get_load(instance.id).add(Load(instance.id, 1, tokens))
            if self.fleet.is_brittle(instance.id, now) and expected.runs > instance.slots:
                continue
            lacks_memory = bool(memory) and expected.tokens > memory
            missed_heartbeats = self.fleet.get_age(instance.id, now) / self.heartbeat
            yield Candidate(
                instance,
                estimate_load(expected, instance.slots, memory),
                unhealthy=self.is_failing(instance.id) or missed_heartbeats > LATE_HEARTBEATS,
                cold=self.fleet.is_cold(instance.id, now),
                sole_in_zone=bool(memory) and zone_sizes[instance.zone] == 1,
                overdue=missed_heartbeats > OVERDUE_HEARTBEATS,
                lacks_memory=lacks_memory,
                rate_limited=self.fleet.get_rate_limit(instance.id) is not None,
                # Where memory is lacking everywhere, only the work ahead of the request matters.
                penalty=0.0 if lacks_memory else self.get_penalty(instance),
            )
