"""Tests that requests from all gateways stay within the limit that an upstream advertises.

Guards against gateways that ignore the limit in an answer, or that each send as much as the limit
allows to all of them together.
"""

import unittest
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from random import Random

import anyio
from hypothesis import given
from hypothesis import strategies as st

from daleroad.backpressure import Backpressure
from daleroad.coldmodel import count_peak_requests
from daleroad.dispatch import Attempt, CopySource, NotRun, Whole
from daleroad.errors import Failure, Ran
from daleroad.forwarding import Outcome
from daleroad.instances import Sighting
from daleroad.notices import PlaceAnswer, PlaceRequest
from daleroad.ratelimits import MIN_LIFT_DELAY_SECONDS
from daleroad.routing import Repeat
from daleroad.sendlimits import (
    LOOKBACK_SECONDS,
    MAX_ARRIVAL_DELAY_SECONDS,
    PROBE_INTERVAL_SECONDS,
    ColdRule,
    FallbackShare,
    GrantLimiter,
    find_slot_share,
    make_window_limits,
)
from tests.fakes import WHOLE, FakeDispatcher, make_config, make_gateway, make_instance, make_job
from tests.standins import (
    GATEWAYS,
    HEARTBEAT_SECONDS,
    Gateways,
    StandIn,
    run_upstreams,
    send_all,
    tell_alone,
)
from tests.test_coordinator import Site, make_document, run_site, wait_for
from tools.soakneeds import WINDOW_SECONDS, find_allowed

LIMITS = (2.0, 2.8, None)
"""Limits that the three upstreams advertise."""


class AdvertisedLimitTest(unittest.TestCase):
    limits: tuple[float | None, ...] = LIMITS

    @contextmanager
    def limit_all_upstreams(self) -> Iterator[None]:
        """Let the third upstream advertise a limit, too."""
        self.limits = (*LIMITS[:2], 3.1)
        yield

    def check(self, upstreams: list[StandIn], outcomes: list[Outcome]) -> None:
        for upstream in (u for u in upstreams if u.limit is not None):
            self.assertLessEqual(upstream.find_fullest(), upstream.find_allowed())
            # A limited upstream still gets some requests.
            self.assertGreater(len(upstream.arrivals), 0)
        served = sum(isinstance(o, Whole) and o.status == 200 for o in outcomes)
        refused = [o for o in outcomes if isinstance(o, Failure)]
        # A request that no upstream takes is refused as not run; others end with the upstream's
        # own answer.
        self.assertTrue(all(o.ran is Ran.NO for o in refused))
        if self.limits[2] is None:
            # The third upstream can take all requests.
            self.assertGreater(served, 0.85 * len(outcomes))

    def run_with_leader(self, repeat: Repeat) -> None:
        async def main(site: Site, names: list[str]) -> None:
            await site.get(names[0]).log.save(make_document(7))
            upstreams = [StandIn(number, limit) for number, limit in enumerate(self.limits)]
            async with anyio.create_task_group() as tasks, run_upstreams(tasks, upstreams):

                async def send_heartbeats() -> None:
                    while True:
                        for upstream in upstreams:
                            for coordinator, _, _ in site.running.values():
                                sighting = Sighting(upstream.make_instance(), 0.0)
                                coordinator.presence.fleet.note(sighting, anyio.current_time())
                        await anyio.sleep(HEARTBEAT_SECONDS)

                tasks.start_soon(send_heartbeats)
                gateways = Gateways(tasks, site.seeds, repeat)
                await wait_for(lambda: all(g.fleet.count() == len(LIMITS) for g in gateways.all))
                await wait_for(lambda: all(g.selector.gateways == GATEWAYS for g in gateways.all))
                outcomes = await send_all(gateways)
                await gateways.close()
                tasks.cancel_scope.cancel()
            self.check(upstreams, outcomes)

        run_site(main)

    def run_without_leader(self, repeat: Repeat) -> None:
        async def main() -> None:
            upstreams = [StandIn(number, limit) for number, limit in enumerate(self.limits)]
            async with anyio.create_task_group() as tasks, run_upstreams(tasks, upstreams):
                gateways = Gateways(tasks, (), repeat)
                tasks.start_soon(tell_alone, gateways, upstreams)
                await anyio.sleep(0.1)
                outcomes = await send_all(gateways)
                await gateways.close()
                tasks.cancel_scope.cancel()
            self.check(upstreams, outcomes)

        anyio.run(main)

    def test_idempotent_requests_stay_within_limit(self) -> None:
        self.run_with_leader(Repeat.IDEMPOTENT)

    def test_run_once_requests_stay_within_limit(self) -> None:
        self.run_with_leader(Repeat.ONCE)

    def test_gateways_without_leader_stay_within_limit(self) -> None:
        self.run_without_leader(Repeat.IDEMPOTENT)

    def test_all_upstreams_limited_with_leader(self) -> None:
        with self.limit_all_upstreams():
            self.run_with_leader(Repeat.IDEMPOTENT)

    def test_all_upstreams_limited_without_leader(self) -> None:
        with self.limit_all_upstreams():
            self.run_without_leader(Repeat.IDEMPOTENT)


class GrantTest(unittest.TestCase):
    """Grants and fallback shares, in virtual time."""

    RATES = (0.0, 0.05, 0.3, 1.0, 2.4, 27.0)

    @given(st.integers(0, 10**9), st.sampled_from(RATES))
    def test_leader_changes_stay_within_allowed_overage(self, seed: int, rate: float) -> None:
        random = Random(seed)
        bounds = make_window_limits(rate)
        arrivals: list[float] = []
        term, leader, now = 1, GrantLimiter(ColdRule()), 0.0
        leader.start_term(term, -LOOKBACK_SECONDS)
        for _ in range(400):
            now += random.choice((0.0, random.expovariate(60.0), random.expovariate(3.0)))
            if random.random() < 0.01:
                term, leader = term + 1, GrantLimiter(ColdRule())
                leader.start_term(term, now)
            if leader.may_grant("i", bounds, now):
                leader.record_grant("i", now)
                arrivals.append(now + random.random() * MAX_ARRIVAL_DELAY_SECONDS)
        self.assertLessEqual(count_peak_requests(arrivals, WINDOW_SECONDS), find_allowed(rate))

    def test_grants_use_most_of_the_limit(self) -> None:
        for rate in (0.3, 1.0, 2.4, 27.0):
            limits = GrantLimiter(ColdRule())
            limits.start_term(1, -LOOKBACK_SECONDS)
            granted = 0
            for step in range(10_000):
                if limits.may_grant("i", make_window_limits(rate), step / 100):
                    limits.record_grant("i", step / 100)
                    granted += 1
            self.assertGreater(granted / 100, 0.6 * rate)
            self.assertLessEqual(granted / 100, rate + 0.1)

    def test_zero_limit_is_probed_at_interval(self) -> None:
        limits = GrantLimiter(ColdRule())
        limits.start_term(1, -LOOKBACK_SECONDS)
        bounds = make_window_limits(0.0)
        self.assertTrue(limits.may_grant("i", bounds, 0.0))
        limits.record_grant("i", 0.0)
        self.assertFalse(limits.may_grant("i", bounds, PROBE_INTERVAL_SECONDS))
        self.assertTrue(
            limits.may_grant("i", bounds, PROBE_INTERVAL_SECONDS + MAX_ARRIVAL_DELAY_SECONDS + 0.01)
        )

    def test_fallback_shares_stay_within_limit_for_any_gateway_count(self) -> None:
        for gateways in (1, 12, 71, 200):
            for rate in self.RATES:
                shares = [FallbackShare(f"10.0.0.{number}:80") for number in range(gateways)]
                arrivals = [
                    step / 20
                    for step in range(2000)
                    for share in shares
                    if share.try_acquire("i", rate, gateways, step / 20)
                ]
                peak = count_peak_requests(arrivals, WINDOW_SECONDS)
                self.assertLessEqual(peak, find_allowed(rate), (gateways, rate))
                self.assertGreater(len(arrivals), 0.3 * rate * 100)


class SlotShareTest(unittest.TestCase):
    def test_shares_of_all_gateways_add_up_to_the_slots_on_average(self) -> None:
        for gateways, slots in ((3, 6), (12, 6), (70, 24)):
            upstreams = [f"u{number}" for number in range(200)]
            shares = [
                find_slot_share(f"g{gateway}", upstream, slots, gateways)
                for gateway in range(gateways)
                for upstream in upstreams
            ]
            self.assertAlmostEqual(sum(shares) / len(upstreams), slots, delta=0.1 * slots)
            self.assertLessEqual(max(shares) - min(shares), 1)


class GrantRequestTest(unittest.TestCase):
    """Any send to an upstream with a limit needs a grant and asks for one."""

    def run_body(self, body: Callable, answer: PlaceAnswer | None) -> None:
        async def main() -> None:
            config = make_config(Repeat.STREAM, attempts=2, engine=True, resumable=True)
            dispatcher = FakeDispatcher(WHOLE, WHOLE)
            gateway = make_gateway(dispatcher, config, anyio.current_time())
            asked: list[PlaceRequest] = []

            async def answer_place(question: PlaceRequest) -> PlaceAnswer | None:
                asked.append(question)
                return answer

            gateway.selector.request_placement = answer_place
            gateway.apply_backpressure(make_instance(2), Backpressure(max_requests_per_second=2.0))
            attempt = Attempt(make_job(0.0), make_instance(2), "", 1.0)
            await body(gateway, dispatcher, asked, attempt)

        anyio.run(main)

    def test_resumed_stream_is_sent_with_grant(self) -> None:
        async def body(gateway, dispatcher, asked, attempt) -> None:
            source = CopySource("10.0.0.1:1", "h", "3")
            self.assertIsInstance(
                await gateway.dispatcher.send(replace(attempt, source=source)), Whole
            )
            (question,) = asked
            self.assertEqual(question.only, "i2")
            (notice,) = question.limits
            self.assertEqual((notice.instance, notice.limit.rate), ("i2", 2.0))

        self.run_body(body, PlaceAnswer("i2", True))

    def test_denied_grant_is_reported_as_not_run(self) -> None:
        async def body(gateway, dispatcher, asked, attempt) -> None:
            reply = await gateway.dispatcher.send(attempt)
            assert isinstance(reply, NotRun)
            self.assertTrue(reply.held)
            self.assertEqual(dispatcher.attempts, [])

        self.run_body(body, PlaceAnswer(""))

    def test_limited_upstream_is_picked_only_explicitly(self) -> None:
        async def body(gateway, dispatcher, asked, attempt) -> None:
            service = gateway.get_service("s")
            candidates = {c.instance.id for c in gateway.selector.list_candidates(service, 10, ())}
            self.assertEqual(candidates, {"i1", "i3"})
            limited = gateway.selector.pick_rate_limited(service, 10, {"i1", "i3"})
            self.assertEqual(limited.id, "i2")

        self.run_body(body, None)

    def test_lifted_limit_needs_no_grant(self) -> None:
        async def body(gateway, dispatcher, asked, attempt) -> None:
            self.assertTrue(gateway.guard.needs_grant(make_instance(2)))
            self.assertEqual((gateway.count_limited(), gateway.count_resting()), (1, 0))
            await anyio.sleep(MIN_LIFT_DELAY_SECONDS)
            gateway.apply_backpressure(make_instance(2), Backpressure())
            self.assertIsInstance(await gateway.dispatcher.send(attempt), Whole)
            self.assertEqual(asked, [])
            notices = gateway.list_upstream_notices(0)
            self.assertEqual([notice.limit and notice.limit.rate for notice in notices], [None])

        self.run_body(body, None)


if __name__ == "__main__":
    unittest.main()
