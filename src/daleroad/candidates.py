"""Which upstreams may get a request, with what is known of each. Pure."""

from collections import Counter
from collections.abc import Callable, Container, Iterator
from dataclasses import dataclass

from daleroad.defaults import LATE_HEARTBEATS, OVERDUE_HEARTBEATS
from daleroad.fleet import Fleet
from daleroad.notices import Load
from daleroad.picking import Candidate, estimate_load
from daleroad.routing import ServiceRule


@dataclass(frozen=True)
class Judge:
    """What candidates are judged by.

    :param fleet: the upstreams that are alive.
    :param heartbeat: interval of their heartbeats in seconds.
    :param get_load: returns the work of all gateways at an instance.
    :param is_failing: returns whether an instance's answers failed of late.
    :param evacuated: availability zones whose upstreams get nothing.
    """

    fleet: Fleet
    heartbeat: float
    get_load: Callable[[str], Load]
    is_failing: Callable[[str], bool]
    evacuated: Container[str] = ()

    def list_candidates(
        self, service: ServiceRule, tokens: int, excluded: Container[str], now: float
    ) -> Iterator[Candidate]:
        """Yield the upstreams of a service that may get a request.

        :param service: the service.
        :param tokens: tokens of memory that the request may take.
        :param excluded: instances that it must not go to.
        :param now: the time.
        """
        memory = service.engine.memory_tokens if service.engine else 0
        ready = self.fleet.list_ready(service.name)
        zones = Counter(instance.zone for instance in ready)
        for instance in ready:
            if instance.id in excluded or instance.zone in self.evacuated:
                continue
            expected = self.get_load(instance.id).add(Load(instance.id, 1, tokens))
            missed = self.fleet.get_age(instance.id, now) / self.heartbeat
            yield Candidate(
                instance,
                estimate_load(expected, instance.slots, memory),
                doubtful=self.is_failing(instance.id) or missed > LATE_HEARTBEATS,
                cold=self.fleet.is_cold(instance.id, now),
                lone=bool(memory) and zones[instance.zone] == 1,
                overdue=missed > OVERDUE_HEARTBEATS,
                crowded=bool(memory) and expected.tokens > memory,
                limited=self.fleet.get_rate_limit(instance.id) is not None,
            )
