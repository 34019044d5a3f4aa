"""Tests that an upstream which names a limit gets no more than that, over all gateways.

What callers saw: two of three upstreams of a plain service were in need and named 2.0 and 2.8
requests a second as their limits. They got as much as before, up to 18 a second, and failed half of
it, while the third had room. Each answer of theirs had said so; no gateway had read it, and each
word on its own would not have been enough: 12 gateways that keep to 2 a second each send 24.

Evidence: arrivals counted at the upstreams, 22 and 35 in 4 s where 17 and 22 were allowed, from
gateways that had been told half a second before or earlier.
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
from daleroad.coldmodel import count_fullest
from daleroad.dispatch import Attempt, NotRun, Source, Whole
from daleroad.errors import Failure, Ran
from daleroad.forwarding import Outcome
from daleroad.instances import Sighting
from daleroad.notices import PlaceAnswer, PlaceRequest
from daleroad.ratelimits import LIFT_SECONDS
from daleroad.routing import Repeat
from daleroad.sendlimits import (
    COUNTED_SECONDS,
    LATE_SECONDS,
    PROBE_SECONDS,
    ColdRule,
    OwnShare,
    SendLimits,
    make_limit_bounds,
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
"""What the three upstreams name."""


class LimitTest(unittest.TestCase):
    limits: tuple[float | None, ...] = LIMITS

    @contextmanager
    def limit_all(self) -> Iterator[None]:
        """Let the third upstream be in need, too."""
        self.limits = (*LIMITS[:2], 3.1)
        yield

    def check(self, upstreams: list[StandIn], outcomes: list[Outcome]) -> None:
        for upstream in (u for u in upstreams if u.limit is not None):
            self.assertLessEqual(upstream.find_fullest(), upstream.find_allowed())
            # It is spared, not given up.
            self.assertGreater(len(upstream.arrivals), 0)
        served = sum(isinstance(o, Whole) and o.status == 200 for o in outcomes)
        refused = [o for o in outcomes if isinstance(o, Failure)]
        # What none of them takes is refused as not run; what one took ended in its own answer.
        self.assertTrue(all(o.ran is Ran.NO for o in refused))
        if self.limits[2] is None:
            # The third one has room for all.
            self.assertGreater(served, 0.85 * len(outcomes))

    def play_led(self, repeat: Repeat) -> None:
        async def main(site: Site, names: list[str]) -> None:
            await site.get(names[0]).log.save(make_document(7))
            upstreams = [StandIn(number, limit) for number, limit in enumerate(self.limits)]
            async with anyio.create_task_group() as tasks, run_upstreams(tasks, upstreams):

                async def beat() -> None:
                    while True:
                        for upstream in upstreams:
                            for coordinator, _, _ in site.running.values():
                                sighting = Sighting(upstream.make_instance(), 0.0)
                                coordinator.presence.fleet.note(sighting, anyio.current_time())
                        await anyio.sleep(HEARTBEAT_SECONDS)

                tasks.start_soon(beat)
                gateways = Gateways(tasks, site.seeds, repeat)
                await wait_for(lambda: all(g.fleet.count() == len(LIMITS) for g in gateways.all))
                await wait_for(lambda: all(g.chooser.gateways == GATEWAYS for g in gateways.all))
                outcomes = await send_all(gateways)
                await gateways.close()
                tasks.cancel_scope.cancel()
            self.check(upstreams, outcomes)

        run_site(main)

    def play_alone(self, repeat: Repeat) -> None:
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

    def test_requests_that_may_be_repeated_keep_to_it(self) -> None:
        self.play_led(Repeat.IDEMPOTENT)

    def test_requests_that_run_once_keep_to_it(self) -> None:
        self.play_led(Repeat.ONCE)

    def test_gateways_that_no_leader_answers_keep_to_it(self) -> None:
        self.play_alone(Repeat.IDEMPOTENT)

    def test_where_all_are_in_need_each_gets_what_it_takes(self) -> None:
        with self.limit_all():
            self.play_led(Repeat.IDEMPOTENT)

    def test_where_all_are_in_need_gateways_without_a_leader_keep_to_it(self) -> None:
        with self.limit_all():
            self.play_alone(Repeat.IDEMPOTENT)


class GrantedLimitTest(unittest.TestCase):
    """What one process grants, in virtual time."""

    RATES = (0.0, 0.05, 0.3, 1.0, 2.4, 27.0)

    @given(st.integers(0, 10**9), st.sampled_from(RATES))
    def test_over_changes_of_the_leader_an_upstream_gets_little_more(
        self, seed: int, rate: float
    ) -> None:
        random = Random(seed)
        bounds = make_limit_bounds(rate)
        arrivals: list[float] = []
        term, leader, now = 1, SendLimits(ColdRule()), 0.0
        leader.begin(term, -COUNTED_SECONDS)
        for _ in range(400):
            now += random.choice((0.0, random.expovariate(60.0), random.expovariate(3.0)))
            if random.random() < 0.01:
                term, leader = term + 1, SendLimits(ColdRule())
                leader.begin(term, now)
            if leader.may_get("i", bounds, now):
                leader.grant("i", now)
                arrivals.append(now + random.random() * LATE_SECONDS)
        self.assertLessEqual(count_fullest(arrivals, WINDOW_SECONDS), find_allowed(rate))

    def test_what_an_upstream_takes_is_used(self) -> None:
        for rate in (0.3, 1.0, 2.4, 27.0):
            limits = SendLimits(ColdRule())
            limits.begin(1, -COUNTED_SECONDS)
            granted = 0
            for step in range(10_000):
                if limits.may_get("i", make_limit_bounds(rate), step / 100):
                    limits.grant("i", step / 100)
                    granted += 1
            self.assertGreater(granted / 100, 0.6 * rate)
            self.assertLessEqual(granted / 100, rate + 0.1)

    def test_one_that_takes_nothing_is_still_asked_now_and_then(self) -> None:
        limits = SendLimits(ColdRule())
        limits.begin(1, -COUNTED_SECONDS)
        bounds = make_limit_bounds(0.0)
        self.assertTrue(limits.may_get("i", bounds, 0.0))
        limits.grant("i", 0.0)
        self.assertFalse(limits.may_get("i", bounds, PROBE_SECONDS))
        self.assertTrue(limits.may_get("i", bounds, PROBE_SECONDS + LATE_SECONDS + 0.01))

    def test_gateways_alone_stay_far_below_however_many_they_are(self) -> None:
        for gateways in (1, 12, 71, 200):
            for rate in self.RATES:
                shares = [OwnShare(f"10.0.0.{number}:80") for number in range(gateways)]
                arrivals = [
                    step / 20
                    for step in range(2000)
                    for share in shares
                    if share.take("i", rate, gateways, step / 20)
                ]
                fullest = count_fullest(arrivals, WINDOW_SECONDS)
                self.assertLessEqual(fullest, find_allowed(rate), (gateways, rate))
                self.assertGreater(len(arrivals), 0.3 * rate * 100)


class ContinuedTest(unittest.TestCase):
    """Whatever sends to an upstream with a limit needs a grant, and asks for one."""

    def play(self, body: Callable, answer: PlaceAnswer | None) -> None:
        async def main() -> None:
            config = make_config(Repeat.STREAM, attempts=2, engine=True, resumable=True)
            dispatcher = FakeDispatcher(WHOLE, WHOLE)
            gateway = make_gateway(dispatcher, config, anyio.current_time())
            asked: list[PlaceRequest] = []

            async def name(question: PlaceRequest) -> PlaceAnswer | None:
                asked.append(question)
                return answer

            gateway.chooser.ask_place = name
            gateway.note_backpressure(make_instance(2), Backpressure(limit=2.0))
            attempt = Attempt(make_job(0.0), make_instance(2), "", 1.0)
            await body(gateway, dispatcher, asked, attempt)

        anyio.run(main)

    def test_it_goes_on_there_where_that_is_granted(self) -> None:
        async def body(gateway, dispatcher, asked, attempt) -> None:
            source = Source("10.0.0.1:1", "h", "3")
            self.assertIsInstance(
                await gateway.dispatcher.send(replace(attempt, source=source)), Whole
            )
            (question,) = asked
            self.assertEqual(question.only, "i2")
            (told,) = question.limits
            self.assertEqual((told.instance, told.limit.rate), ("i2", 2.0))

        self.play(body, PlaceAnswer("i2", True))

    def test_without_a_grant_it_is_told_as_not_run(self) -> None:
        async def body(gateway, dispatcher, asked, attempt) -> None:
            reply = await gateway.dispatcher.send(attempt)
            assert isinstance(reply, NotRun)
            self.assertTrue(reply.held)
            self.assertEqual(dispatcher.attempts, [])

        self.play(body, PlaceAnswer(""))

    def test_a_stream_made_anew_or_moved_goes_there_only_where_no_other_is(self) -> None:
        async def body(gateway, dispatcher, asked, attempt) -> None:
            service = gateway.get_service("s")
            free = {c.instance.id for c in gateway.chooser.list_candidates(service, 10, ())}
            self.assertEqual(free, {"i1", "i3"})
            limited = gateway.chooser.pick_limited(service, 10, {"i1", "i3"})
            self.assertEqual(limited.id, "i2")

        self.play(body, None)

    def test_a_limit_that_is_lifted_needs_no_grant_any_more(self) -> None:
        async def body(gateway, dispatcher, asked, attempt) -> None:
            self.assertTrue(gateway.guard.is_limited(make_instance(2)))
            self.assertEqual((gateway.count_limited(), gateway.count_resting()), (1, 0))
            await anyio.sleep(LIFT_SECONDS)
            gateway.note_backpressure(make_instance(2), Backpressure())
            self.assertIsInstance(await gateway.dispatcher.send(attempt), Whole)
            self.assertEqual(asked, [])
            told = gateway.list_upstream_news(0)
            self.assertEqual([notice.limit and notice.limit.rate for notice in told], [None])

        self.play(body, None)


if __name__ == "__main__":
    unittest.main()
