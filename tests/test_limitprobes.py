"""Tests that upstreams which advertised a limit are found again, in virtual time.

Guards against an upstream that gets nothing after it named a limit, because the others have room.
"""

import unittest
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import pairwise
from random import Random
from unittest.mock import patch

import anyio
import trio
import trio.testing

from daleroad.backpressure import Backpressure
from daleroad.choosing import GatewayOptions, UpstreamQuery
from daleroad.coldmodel import count_peak_requests
from daleroad.dispatch import Attempt, Reply, Whole
from daleroad.errors import Failure
from daleroad.fleet import Fleet
from daleroad.forwarding import Forwarder, Outcome
from daleroad.gateway import Gateway
from daleroad.instances import Instance, Sighting
from daleroad.limitprobes import FAILURE_SECONDS, UNCERTAIN_SECONDS, LimitProber
from daleroad.loads import LoadTotals
from daleroad.notices import Demand, PlaceAnswer, PlaceRequest
from daleroad.picking import Candidate
from daleroad.placer import Placer
from daleroad.ratelimits import RateLimit
from daleroad.routing import Repeat
from daleroad.sendlimits import LOOKBACK_SECONDS, ColdRule, GrantLimiter, make_window_limits
from tests.fakes import (
    PROMPT,
    WHOLE,
    FakeDispatcher,
    FakeStream,
    make_config,
    make_forwarder,
    make_instance,
    make_job,
)
from tools.soakneeds import WINDOW_SECONDS, find_allowed

GATEWAYS = 4
GAP_SECONDS = 0.05
NEWS_SECONDS = 0.1
LEARNT_SECONDS = 5.0
"""By when an ended limit has to be known."""


@dataclass
class Upstream:
    """The first of three upstreams; it names limits by a plan.

    :param plan: from when it names which limit.
    :param failing: whether it fails what it runs while it names a limit.
    """

    plan: list[tuple[float, float | None]]
    failing: bool = False
    arrivals: list[float] = field(default_factory=list)

    def get_limit(self, now: float) -> float | None:
        return [limit for since, limit in self.plan if since <= now][-1]

    def count(self, start: float, end: float) -> int:
        return sum(start <= at < end for at in self.arrivals)


class UpstreamDispatcher(FakeDispatcher):
    """Carries one gateway's requests to the upstreams."""

    def __init__(self, upstream: Upstream, repeat: Repeat) -> None:
        super().__init__()
        self.upstream, self.repeat = upstream, repeat
        self.on_backpressure: Callable[[Instance, Backpressure], None]

    async def send(self, attempt: Attempt) -> Reply:
        limit = None
        if attempt.instance.get_name() == "i1":
            self.upstream.arrivals.append(anyio.current_time())
            await anyio.sleep(0.02)
            limit = self.upstream.get_limit(anyio.current_time())
        self.on_backpressure(attempt.instance, Backpressure(limit))
        if limit is not None and self.upstream.failing:
            return Whole(500, (), b"")
        return FakeStream(1, 2) if self.repeat is Repeat.STREAM else WHOLE


class Sim:
    """Some gateways of one site, and a leader that may be lost."""

    def __init__(self, upstream: Upstream, repeat: Repeat, leads: bool) -> None:
        self.upstream, self.repeat, self.leads = upstream, repeat, leads
        self.outcomes: list[Outcome] = []
        self.sightings = [Sighting(make_instance(number), 0.0) for number in (1, 2, 3)]
        self.fleet = Fleet()
        limits = GrantLimiter(ColdRule())
        limits.start_term(1, -LOOKBACK_SECONDS)
        self.loads = LoadTotals(1.3)
        self.placer = Placer(self.fleet, self.loads, 1.0, Random(1), limits)
        self.config = make_config(repeat, attempts=2, engine=repeat is Repeat.STREAM)
        self.gateways = [self._make_gateway(number) for number in range(GATEWAYS)]
        self.forwarders: list[Forwarder] = []

    def _make_gateway(self, number: int) -> Gateway:
        options = GatewayOptions(f"10.0.1.{number}:80", "z", "r", (), 1.0, 1.0, 999, 10.0)
        dispatcher = UpstreamDispatcher(self.upstream, self.repeat)
        gateway = Gateway(options, dispatcher, Random(number))
        dispatcher.on_backpressure = gateway.apply_backpressure
        gateway.replace_config(self.config)
        gateway.selector.gateways = GATEWAYS
        gateway.selector.request_placement = self._place
        return gateway

    async def _place(self, request: PlaceRequest) -> PlaceAnswer | None:
        if not self.leads:
            return None
        return self.placer.place(request, self.config.services[0], anyio.current_time())

    async def tell(self) -> None:
        """Tell all of the upstreams, and while there is a leader of each other's limits."""
        while True:
            now = anyio.current_time()
            fleets = [gateway.fleet for gateway in self.gateways]
            for fleet in (self.fleet, *fleets):
                fleet.note_all(self.sightings, now)
            for fleet in fleets if self.leads else ():
                self.fleet.note_all(fleet.list_sightings(now), now)
                fleet.note_all(self.fleet.list_sightings(now), now)
            for gateway in self.gateways:
                own_loads = gateway.loads.list_own_loads()
                self.loads.set_report(gateway.options.address, own_loads, now)
            await anyio.sleep(NEWS_SECONDS)

    async def serve(self, turn: int) -> None:
        gateway = self.gateways[turn % GATEWAYS]
        gateway.last_heard_at = anyio.current_time()
        prompt = PROMPT if self.repeat is Repeat.STREAM else None
        job = replace(make_job(anyio.current_time(), prompt=prompt), id=f"id{turn}")
        outcome = await self.forwarders[turn % GATEWAYS].serve(job)
        self.outcomes.append(outcome)
        if not isinstance(outcome, Failure | Whole):
            async for _ in outcome.pieces:
                pass
            await outcome.close()

    def lose_leader(self) -> None:
        self.leads = False

    def elect_leader(self) -> None:
        """Let a coordinator lead that knows no grants of the leader before."""
        limits = GrantLimiter(ColdRule())
        limits.start_term(2, anyio.current_time())
        self.placer = Placer(self.fleet, self.loads, 1.0, Random(1), limits)
        self.leads = True

    def restart_upstream(self) -> None:
        self.sightings[0] = Sighting(replace(make_instance(1), id="i1@2", name="i1", born=2), 0.0)


def play(
    plan: list[tuple[float, float | None]],
    repeat: Repeat = Repeat.IDEMPOTENT,
    leads: bool = True,
    seconds: float = 30.0,
    at: dict[float, Callable[[Sim], None]] | None = None,
    failing: bool = False,
) -> Sim:
    """Let gateways with two more upstreams serve 20 requests a second for a while."""
    sim = Sim(Upstream(plan, failing), repeat, leads)
    steps = sorted((at or {}).items())

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            sim.forwarders = [make_forwarder(gateway) for gateway in sim.gateways]
            tasks.start_soon(sim.tell)
            await anyio.sleep(0.01)
            for turn in range(int(seconds / GAP_SECONDS)):
                while steps and steps[0][0] <= anyio.current_time():
                    steps.pop(0)[1](sim)
                tasks.start_soon(sim.serve, turn)
                await anyio.sleep(GAP_SECONDS)
            tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return sim


WAYS = [(repeat, leads) for repeat in Repeat for leads in (True, False)]


class FoundAgainTest(unittest.TestCase):
    def check_bounds(self, sim: Sim, rate: float, end: float, leads: bool) -> None:
        """Check the limit from when the gateways were told of it."""
        arrivals = [at for at in sim.upstream.arrivals if 1.0 <= at < end]
        self.assertLessEqual(count_peak_requests(arrivals, WINDOW_SECONDS), find_allowed(rate))
        for bound in make_window_limits(rate) if leads else ():
            peak = count_peak_requests(arrivals, bound.window_seconds)
            self.assertLessEqual(peak, bound.max_requests)

    def check_served(self, sim: Sim) -> None:
        self.assertEqual([o for o in sim.outcomes if isinstance(o, Failure)], [])

    def test_limited_upstream_is_found_again_on_each_way(self) -> None:
        for repeat, leads in WAYS:
            with self.subTest(repeat=repeat, leads=leads):
                sim = play([(0.0, 2.0), (10.0, None)], repeat, leads, 20.0)
                self.check_bounds(sim, 2.0, 10.0, leads)
                self.check_served(sim)
                self.assertGreater(sim.upstream.count(2.0, 10.0), 0.25 * 2.0 * 8)
                self.assertGreater(sim.upstream.count(10.0, 10.0 + LEARNT_SECONDS), 0)
                self.assertGreater(sim.upstream.count(15.0, 20.0), 20)

    def test_low_limits_that_are_lifted_are_found(self) -> None:
        for rate, seconds in ((0.3, LEARNT_SECONDS), (0.0, 11.0)):
            for leads in (True, False):
                with self.subTest(rate=rate, leads=leads):
                    sim = play([(0.0, rate), (10.0, None)], leads=leads)
                    self.check_bounds(sim, rate, 10.0, leads)
                    self.assertGreater(sim.upstream.count(10.0, 10.0 + seconds), 0)

    def test_raised_limit_is_learnt(self) -> None:
        for repeat, leads in WAYS:
            with self.subTest(repeat=repeat, leads=leads):
                sim = play([(0.0, 1.0), (10.0, 8.0)], repeat, leads, 20.0)
                self.check_bounds(sim, 1.0, 10.0, leads)
                self.check_bounds(sim, 8.0, 20.0, leads)
                self.assertGreater(sim.upstream.count(15.0, 20.0), 0.25 * 8.0 * 5)

    def test_upstream_that_keeps_its_limit_is_not_exceeded(self) -> None:
        for rate in (0.0, 0.3, 2.0):
            for leads in (True, False):
                with self.subTest(rate=rate, leads=leads):
                    sim = play([(0.0, rate)], leads=leads)
                    self.check_bounds(sim, rate, 30.0, leads)
                    self.check_served(sim)
                    self.assertGreater(sim.upstream.count(1.0, 30.0), 0)

    def test_lost_leader_neither_exceeds_nor_forgets_the_upstream(self) -> None:
        for repeat in Repeat:
            with self.subTest(repeat=repeat):
                steps = {6.0: Sim.lose_leader, 14.0: Sim.elect_leader}
                sim = play([(0.0, 2.0), (20.0, None)], repeat, True, 30.0, steps)
                self.check_bounds(sim, 2.0, 20.0, False)
                self.check_served(sim)
                for start in (8.0, 16.0, 20.0):
                    self.assertGreater(sim.upstream.count(start, start + LEARNT_SECONDS), 0)
                self.assertGreater(sim.upstream.count(25.0, 30.0), 20)

    def test_restarted_upstream_has_no_limit(self) -> None:
        for leads in (True, False):
            steps = {10.0: Sim.restart_upstream}
            sim = play([(0.0, 0.0), (10.0, None)], Repeat.STREAM, leads, 15.0, steps)
            self.assertGreater(sim.upstream.count(10.5, 15.0), 15)

    def test_limited_upstreams_are_not_looked_for_without_limits(self) -> None:
        sim = Sim(Upstream([(0.0, None)]), Repeat.ONCE, leads=False)
        selector = sim.gateways[0].selector
        sim.gateways[0].fleet.note_all(sim.sightings, 0.0)
        with patch.object(selector, "list_rate_limited") as listed:
            placed = trio.run(selector.place, UpstreamQuery(sim.config.services[0]))
        self.assertIsInstance(placed, Instance)
        listed.assert_not_called()

    def test_competing_prompt_looks_for_limited_upstream_before_it_waits(self) -> None:
        sim = Sim(Upstream([(0.0, 6.0)]), Repeat.STREAM, leads=False)
        gateway, demand = sim.gateways[0], Demand("", 0, 1.0, 0.0, 0.0, 10.0, False, "f")
        gateway.selector.gateways = 1
        service = sim.config.services[0]

        async def place(is_waiting: bool) -> object:
            gateway.fleet.note_all(sim.sightings, anyio.current_time())
            gateway.fleet.note_limit("i1", RateLimit(6.0), anyio.current_time())
            with patch.object(gateway.selector, "_wait_alone", return_value=PlaceAnswer("i2")):
                query = UpstreamQuery(
                    service, 9, (), PROMPT, False, demand, "t", is_waiting=is_waiting
                )
                return await gateway.selector.place(query)

        for is_waiting, expected in ((True, "i2"), (False, "i1")):
            placed = trio.run(place, is_waiting)
            assert isinstance(placed, Instance)
            self.assertEqual(placed.id, expected)

    def test_requests_that_run_once_avoid_failing_upstream(self) -> None:
        for leads in (True, False):
            sim = play([(0.0, 6.0)], Repeat.ONCE, leads, 25.0, failing=True)
            self.assertLessEqual(sim.upstream.count(1.0, 25.0), GATEWAYS * 25 / FAILURE_SECONDS)
            repeated = play([(0.0, 6.0)], Repeat.IDEMPOTENT, leads, 10.0, failing=True)
            self.assertGreater(repeated.upstream.count(1.0, 10.0), 0)
            self.assertTrue(
                all(isinstance(o, Whole) and o.status == 200 for o in repeated.outcomes)
            )


class LimitProberTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet, self.limits = Fleet(), GrantLimiter(ColdRule())
        self.prober = LimitProber(self.fleet, self.limits)
        self.candidates = [Candidate(make_instance(number), 0.5) for number in (1, 2, 3)]
        for candidate in self.candidates:
            self.fleet.note(Sighting(candidate.instance, 0.0), 0.0)
        self.limited = replace(self.candidates[0], rate_limited=True)

    def test_nothing_changes_without_limits(self) -> None:
        self.assertEqual(self.prober.narrow(self.candidates, 1.0), self.candidates)

    def test_request_is_not_sent_where_it_is_worse_off(self) -> None:
        self.fleet.note_limit("i1", RateLimit(2.0), 1.0)
        self.assertEqual(
            self.prober.narrow([self.limited, *self.candidates[1:]], 1.0), [self.limited]
        )
        for impaired in (
            replace(self.limited, load=1.1),
            replace(self.limited, penalty=0.6),
            replace(self.limited, unhealthy=True),
            replace(self.limited, cold=True),
            replace(self.limited, overdue=True),
            replace(self.limited, lacks_memory=True),
        ):
            listed = [impaired, *self.candidates[1:]]
            self.assertEqual(self.prober.narrow(listed, 1.0), listed)

    def test_upstream_that_does_not_answer_is_probed_at_interval(self) -> None:
        self.fleet.note_limit("i1", RateLimit(27.0), 0.0)
        probed = []
        for step in range(50, 400):
            now = step / 10
            if self.prober.narrow([self.limited, *self.candidates[1:]], now) == [self.limited]:
                self.limits.record_grant("i1", now)
                probed.append(now)
        gaps = [later - at for at, later in pairwise(probed)]
        self.assertGreaterEqual(min(gaps), UNCERTAIN_SECONDS - 0.01)
        self.assertLessEqual(max(gaps), UNCERTAIN_SECONDS + 0.2)


if __name__ == "__main__":
    unittest.main()
