"""Tests of the bound on what a cold upstream gets, over all gateways."""

import unittest
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

import anyio
from hypothesis import given
from hypothesis import strategies as st

from daleroad.backpressure import Backpressure
from daleroad.coldmodel import CASES, Way, play
from daleroad.defaults import CONNECT_SECONDS
from daleroad.dispatch import Attempt, NotRun, Whole
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.fleet import Fleet
from daleroad.gateway import Gateway
from daleroad.instances import Sighting
from daleroad.loads import LoadTotals
from daleroad.notices import PlaceAnswer, PlaceRequest
from daleroad.placer import Placer
from daleroad.routing import Repeat, RoutingConfig, ServiceRule
from daleroad.sendlimits import (
    COUNTED_SECONDS,
    GRANT_SECONDS,
    KEPT_SECONDS,
    ColdRule,
    Grants,
    SendLimits,
)
from tests.fakes import (
    ENGINE,
    PROMPT,
    WHOLE,
    FakeDispatcher,
    make_config,
    make_forwarder,
    make_gateway,
    make_instance,
    make_job,
)

RULE = ColdRule(1.5, 5.0)
RATE = 2.0
MOST = 8
BOUND = (RULE.make_bound(RATE),)
COLD = ServiceRule("s", "/", 100, ENGINE, RATE)
PLAYED = [case for case in CASES if case.bears < 100]
"""Cases of the model that a test can afford; the others take minutes."""

ASKED = PlaceRequest("g", "z", "s", 100, 100, (), ())


class LimitTest(unittest.TestCase):
    def test_the_bound_is_the_rule_s(self) -> None:
        self.assertEqual(RULE.find_most(27.0), 45)
        self.assertEqual(RULE.find_most(RATE), MOST)

    def test_a_process_that_begins_grants_nothing_before_others_grants_are_over(self) -> None:
        limits = SendLimits(RULE)
        self.assertFalse(limits.may_get("i", BOUND, 0.0))
        limits.begin(3, 10.0)
        limits.begin(3, 11.0)
        self.assertFalse(limits.may_get("i", BOUND, 10.0 + COUNTED_SECONDS - 0.01))
        self.assertTrue(limits.may_get("i", BOUND, 10.0 + COUNTED_SECONDS))
        limits.begin(5, 20.0)
        self.assertFalse(limits.may_get("i", BOUND, 20.0))

    def test_upstreams_that_got_nothing_of_late_are_forgotten(self) -> None:
        limits = SendLimits(RULE)
        limits.grant("i", 10.0)
        limits.grant("j", 10.0)
        self.assertFalse(limits.is_full("i", BOUND, 10.0 + COUNTED_SECONDS))
        later = 10.0 + KEPT_SECONDS
        limits.prune(later)
        self.assertEqual(limits._granted, {})
        limits.grant("i", later)
        limits.prune(later)
        self.assertEqual(list(limits._granted), ["i"])

    def test_a_grant_serves_one_request_and_not_for_long(self) -> None:
        grants = Grants()
        grants.add("i", 1.0, 0.5)
        grants.add("i", 2.0, 0.5)
        self.assertFalse(grants.take("j", 0.5))
        self.assertTrue(grants.take("i", 1.5))
        self.assertFalse(grants.take("i", 1.5))
        grants.add("i", 2.0, 1.5)
        self.assertFalse(grants.take("i", 2.0))


@dataclass
class Site:
    """Gateways and leaders that come and go, one cold engine, and news that is late."""

    random: Random
    leader: SendLimits = field(default_factory=lambda: SendLimits(RULE))
    term: int = 1
    lease_from: float = 0.0
    arrivals: list[float] = field(default_factory=list)

    def ask(self, now: float) -> None:
        """Let a gateway ask, and do with the answer what it may at the latest or earliest."""
        granted_at = now + self.random.choice((0.0, self.random.random() * GRANT_SECONDS))
        if granted_at < self.lease_from or not self.leader.may_get("i", BOUND, granted_at):
            return
        self.leader.grant("i", granted_at)
        if self.random.random() < 0.1:
            # This gateway ends and starts again; it holds nothing then.
            return
        grants = Grants()
        answered_at = granted_at + self.random.random() * GRANT_SECONDS
        grants.add("i", now + GRANT_SECONDS, answered_at)
        sent_at = answered_at + self.random.choice((0.0, self.random.random()))
        if grants.take("i", sent_at):
            self.arrivals.append(sent_at + self.random.random() * CONNECT_SECONDS)

    def move_leader(self, now: float) -> None:
        """Let another process lead, that may have led before; leases don't overlap."""
        self.term += 1
        self.lease_from = now + GRANT_SECONDS
        self.leader = SendLimits(RULE)
        self.leader.begin(self.term, self.lease_from)


class BoundTest(unittest.TestCase):
    @given(st.integers(0, 10**9))
    def test_no_interleaving_gives_a_cold_engine_more_than_the_bound(self, seed: int) -> None:
        random = Random(seed)
        site = Site(random)
        site.leader.begin(1, -COUNTED_SECONDS)
        now = 0.0
        for _ in range(300):
            now += random.choice((0.0, random.expovariate(60.0), random.expovariate(1.0)))
            if random.random() < 0.02:
                site.move_leader(now)
            site.ask(now)
        times = sorted(site.arrivals)
        for number, at in enumerate(times):
            within = sum(at <= other < at + 1.0 for other in times[number:])
            self.assertLessEqual(within, MOST)

    def test_grants_keep_the_bound_where_shares_can_t(self) -> None:
        broken = dict.fromkeys(Way, 0)
        for case in CASES:
            for way in Way:
                broken[way] += play(case, way, 1).fullest > 1.0
        self.assertEqual(broken[Way.GRANTS], 0)
        self.assertGreater(broken[Way.SHARES], 0)

    def test_below_what_cold_engines_bear_nothing_is_refused(self) -> None:
        for case in PLAYED:
            if case.load < 1 and case.bears > 1:
                self.assertLess(play(case, Way.GRANTS, 2).refused, 0.01)


class NewsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()
        self.fleet.note(Sighting(make_instance(1), 0.0), 100.0)

    def test_that_an_instance_became_cold_is_news_and_its_next_word_ends_it(self) -> None:
        known = self.fleet.revision
        colder = replace(make_instance(1), sequence=2)
        self.fleet.note(Sighting(colder, 0.0, 1.5), 101.0)
        (told,) = self.fleet.list_changed(101.0, known)
        self.assertEqual(told.cold, 1.5)
        known = self.fleet.revision
        self.fleet.note(Sighting(replace(colder, sequence=3), 0.0, 0.4), 102.0)
        self.assertEqual(self.fleet.revision, known)
        self.assertTrue(self.fleet.is_cold("i1", 102.0))
        self.fleet.note(Sighting(replace(colder, sequence=4), 0.0), 102.1)
        self.assertFalse(self.fleet.is_cold("i1", 102.1))

    def test_a_zone_that_is_used_again_counts_as_cold_until_it_is_heard(self) -> None:
        self.fleet.note_cold_zone("z", 2.0, 101.0)
        self.assertTrue(self.fleet.is_cold("i1", 102.9))
        self.assertFalse(self.fleet.is_cold("i1", 103.1))
        self.fleet.note_cold_zone("other", 2.0, 104.0)
        self.assertFalse(self.fleet.is_cold("i1", 104.0))

    def test_an_instance_may_say_so_in_any_answer(self) -> None:
        self.fleet.note_cold("i1", 1.0, 101.0)
        self.fleet.note_cold("unknown", 1.0, 101.0)
        self.assertTrue(self.fleet.is_cold("i1", 101.5))


class PlacerTest(unittest.TestCase):
    def place(self, cold: tuple[int, ...], count: int, led_for: float = 9.0) -> list[str]:
        """Return the engines named for some prompts at once, of two of which some are cold."""
        fleet = Fleet()
        for number in (1, 2):
            fleet.note(Sighting(make_instance(number), 0.0, 9.0 if number in cold else 0.0), 10.0)
        limits = SendLimits(RULE)
        limits.begin(1, 10.0 - led_for)
        placer = Placer(fleet, LoadTotals(9.0), 1.0, Random(1), limits)
        found = (placer.place(ASKED, COLD, 10.0) for _ in range(count))
        return [answer.instance for answer in found if answer.instance]

    def test_cold_engines_get_what_they_bear_and_no_more(self) -> None:
        named = self.place((1, 2), 100)
        self.assertEqual((named.count("i1"), named.count("i2")), (MOST, MOST))

    def test_a_new_leader_names_no_cold_engine_yet(self) -> None:
        self.assertEqual(self.place((1, 2), 5, led_for=0.1), [])
        self.assertEqual(set(self.place((1,), 5, led_for=0.1)), {"i2"})

    def test_one_that_is_not_known_to_be_cold_is_filled_up_last(self) -> None:
        named = self.place((), 40)
        self.assertEqual(len(named), 40)
        self.assertEqual(set(named[: 2 * MOST]), {"i1", "i2"})
        self.assertEqual(self.place((1,), 60).count("i1"), MOST)

    def test_services_without_a_bound_are_not_limited(self) -> None:
        fleet = Fleet()
        fleet.note(Sighting(make_instance(1), 0.0, 9.0), 10.0)
        placer = Placer(fleet, LoadTotals(9.0), 1.0, Random(1))
        rule = replace(COLD, cold_rate=0.0)
        self.assertTrue(all(placer.place(ASKED, rule, 10.0).instance for _ in range(50)))


class GateTest(unittest.TestCase):
    """A gateway sends to a cold upstream only what was granted."""

    def play(self, body: Callable, prompts: bool = True) -> None:
        async def main() -> None:
            config = make_config(Repeat.ONCE, engine=prompts)
            service = replace(config.services[0], cold_rate=RATE)
            limited = RoutingConfig(8, config.routes, (service,), ())
            dispatcher = FakeDispatcher(WHOLE, WHOLE)
            gateway = make_gateway(dispatcher, limited, anyio.current_time())
            await body(gateway, dispatcher)

        anyio.run(main)

    def chill(self, gateway: Gateway, *numbers: int) -> None:
        for number in numbers:
            gateway.note_backpressure(make_instance(number), Backpressure(cold=9.0))

    def test_without_a_grant_nothing_is_sent(self) -> None:
        async def body(gateway: Gateway, dispatcher: FakeDispatcher) -> None:
            self.chill(gateway, 1)
            attempt = Attempt(make_job(0.0), make_instance(1), "", 1.0)
            self.assertIsInstance(await gateway.dispatcher.send(attempt), NotRun)
            now = anyio.current_time()
            gateway.guard.grants.add("i1", now + 1.0, now)
            self.assertIsInstance(await gateway.dispatcher.send(attempt), Whole)
            self.assertIsInstance(await gateway.dispatcher.send(attempt), NotRun)

        self.play(body)

    def test_the_gateway_alone_chooses_no_cold_one(self) -> None:
        async def body(gateway: Gateway, dispatcher: FakeDispatcher) -> None:
            self.chill(gateway, 1, 3)
            service = gateway.get_service("s")
            assert service is not None
            named = {gateway.chooser.pick(service, 100, (), PROMPT) for _ in range(20)}
            self.assertEqual({instance.id for instance in named if instance}, {"i2"})

        self.play(body)

    def serve(self, gateway: Gateway, answer: PlaceAnswer | None) -> Callable:
        async def name(asked: PlaceRequest) -> PlaceAnswer | None:
            return answer

        gateway.chooser.ask_place = name
        gateway.chooser.gateways = 2
        return make_forwarder(gateway).serve

    def test_what_is_granted_goes_to_a_cold_one(self) -> None:
        async def body(gateway: Gateway, dispatcher: FakeDispatcher) -> None:
            self.chill(gateway, 1, 2, 3)
            serve = self.serve(gateway, PlaceAnswer("i2", True))
            now = anyio.current_time()
            self.assertIsInstance(await serve(make_job(now, prompt=PROMPT)), Whole)
            self.assertEqual(dispatcher.attempts[0].instance.id, "i2")

        self.play(body)

    def test_what_all_cold_ones_may_not_get_is_refused_at_once_as_not_run(self) -> None:
        async def body(gateway: Gateway, dispatcher: FakeDispatcher) -> None:
            self.chill(gateway, 1, 2, 3)
            serve = self.serve(gateway, None)
            answer = await serve(make_job(anyio.current_time(), prompt=PROMPT))
            assert isinstance(answer, Failure)
            self.assertEqual((answer.kind, answer.ran), (FailureKind.NO_UPSTREAM, Ran.NO))
            self.assertEqual(dispatcher.attempts, [])

        self.play(body)

    def test_plain_services_ask_too_while_one_of_theirs_is_cold(self) -> None:
        async def body(gateway: Gateway, dispatcher: FakeDispatcher) -> None:
            serve = self.serve(gateway, PlaceAnswer("i3", True))
            await serve(make_job(anyio.current_time()))
            self.chill(gateway, 3)
            await serve(make_job(anyio.current_time()))
            self.assertEqual(dispatcher.attempts[1].instance.id, "i3")

        self.play(body, prompts=False)

    def test_a_run_moves_to_no_cold_engine(self) -> None:
        async def body(gateway: Gateway, dispatcher: FakeDispatcher) -> None:
            self.chill(gateway, 2)
            service = gateway.get_service("s")
            assert service is not None
            found = gateway.chooser.list_candidates(service, 10, {"i1"})
            self.assertEqual([candidate.instance.id for candidate in found], ["i3"])

        self.play(body)


if __name__ == "__main__":
    unittest.main()
