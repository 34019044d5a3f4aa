"""Tests of the limit on requests to a cold upstream, from all gateways together."""

import unittest
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

import anyio
from hypothesis import given
from hypothesis import strategies as st

from daleroad.backpressure import Backpressure
from daleroad.coldmodel import CASES, Policy, simulate
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
    GRANT_LIFETIME_SECONDS,
    LOOKBACK_SECONDS,
    MAX_LOOKBACK_SECONDS,
    ColdRule,
    GrantLimiter,
    Grants,
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
MAX_REQUESTS = 8
BOUND = (RULE.make_window_limit(RATE),)
COLD = ServiceRule("s", "/", 100, ENGINE, RATE)
FAST_CASES = [case for case in CASES if case.engine_rate < 100]
"""Cases that are quick to simulate."""

PLACE_REQUEST = PlaceRequest("g", "z", "s", 100, 100, (), ())


class SendLimitsTest(unittest.TestCase):
    def test_limit_follows_from_rule(self) -> None:
        self.assertEqual(RULE.compute_max_requests(27.0), 45)
        self.assertEqual(RULE.compute_max_requests(RATE), MAX_REQUESTS)

    def test_new_leader_grants_nothing_until_earlier_grants_expire(self) -> None:
        limits = GrantLimiter(RULE)
        self.assertFalse(limits.may_grant("i", BOUND, 0.0))
        limits.start_term(3, 10.0)
        limits.start_term(3, 11.0)
        self.assertFalse(limits.may_grant("i", BOUND, 10.0 + LOOKBACK_SECONDS - 0.01))
        self.assertTrue(limits.may_grant("i", BOUND, 10.0 + LOOKBACK_SECONDS))
        limits.start_term(5, 20.0)
        self.assertFalse(limits.may_grant("i", BOUND, 20.0))

    def test_prune_forgets_upstreams_without_recent_grants(self) -> None:
        limits = GrantLimiter(RULE)
        limits.record_grant("i", 10.0)
        limits.record_grant("j", 10.0)
        self.assertFalse(limits.is_at_limit("i", BOUND, 10.0 + LOOKBACK_SECONDS))
        later = 10.0 + MAX_LOOKBACK_SECONDS
        limits.prune(later)
        self.assertEqual(limits._grant_times, {})
        limits.record_grant("i", later)
        limits.prune(later)
        self.assertEqual(list(limits._grant_times), ["i"])

    def test_grant_allows_one_request_and_expires(self) -> None:
        grants = Grants()
        grants.add("i", 1.0, 0.5)
        grants.add("i", 2.0, 0.5)
        self.assertFalse(grants.consume("j", 0.5))
        self.assertTrue(grants.consume("i", 1.5))
        self.assertFalse(grants.consume("i", 1.5))
        grants.add("i", 2.0, 1.5)
        self.assertFalse(grants.consume("i", 2.0))


@dataclass
class SimulatedSite:
    """Gateways and leaders that restart, one cold engine, and delayed answers and requests."""

    random: Random
    leader: GrantLimiter = field(default_factory=lambda: GrantLimiter(RULE))
    term: int = 1
    lease_started_at: float = 0.0
    arrivals: list[float] = field(default_factory=list)

    def request_grant(self, now: float) -> None:
        """Let a gateway ask for a grant and use it after a random delay."""
        granted_at = now + self.random.choice((0.0, self.random.random() * GRANT_LIFETIME_SECONDS))
        if granted_at < self.lease_started_at or not self.leader.may_grant("i", BOUND, granted_at):
            return
        self.leader.record_grant("i", granted_at)
        if self.random.random() < 0.1:
            # The gateway restarts and loses the grant.
            return
        grants = Grants()
        answered_at = granted_at + self.random.random() * GRANT_LIFETIME_SECONDS
        grants.add("i", now + GRANT_LIFETIME_SECONDS, answered_at)
        sent_at = answered_at + self.random.choice((0.0, self.random.random()))
        if grants.consume("i", sent_at):
            self.arrivals.append(sent_at + self.random.random() * CONNECT_SECONDS)

    def change_leader(self, now: float) -> None:
        """Start another leader in a new term; leases don't overlap."""
        self.term += 1
        self.lease_started_at = now + GRANT_LIFETIME_SECONDS
        self.leader = GrantLimiter(RULE)
        self.leader.start_term(self.term, self.lease_started_at)


class ColdLimitTest(unittest.TestCase):
    @given(st.integers(0, 10**9))
    def test_random_interleavings_stay_within_limit(self, seed: int) -> None:
        random = Random(seed)
        site = SimulatedSite(random)
        site.leader.start_term(1, -LOOKBACK_SECONDS)
        now = 0.0
        for _ in range(300):
            now += random.choice((0.0, random.expovariate(60.0), random.expovariate(1.0)))
            if random.random() < 0.02:
                site.change_leader(now)
            site.request_grant(now)
        times = sorted(site.arrivals)
        for number, at in enumerate(times):
            arrived = sum(at <= other < at + 1.0 for other in times[number:])
            self.assertLessEqual(arrived, MAX_REQUESTS)

    def test_grants_hold_limit_that_shares_exceed(self) -> None:
        violations = dict.fromkeys(Policy, 0)
        for case in CASES:
            for policy in Policy:
                violations[policy] += simulate(case, policy, 1).peak_ratio > 1.0
        self.assertEqual(violations[Policy.GRANTS], 0)
        self.assertGreater(violations[Policy.SHARES], 0)

    def test_load_below_capacity_is_not_refused(self) -> None:
        for case in FAST_CASES:
            if case.load < 1 and case.engine_rate > 1:
                self.assertLess(simulate(case, Policy.GRANTS, 2).refused_share, 0.01)


class ColdNoticeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()
        self.fleet.note(Sighting(make_instance(1), 0.0), 100.0)

    def test_becoming_cold_is_announced_and_next_heartbeat_ends_it(self) -> None:
        revision = self.fleet.revision
        cold_instance = replace(make_instance(1), sequence=2)
        self.fleet.note(Sighting(cold_instance, 0.0, 1.5), 101.0)
        (sighting,) = self.fleet.list_changed(101.0, revision)
        self.assertEqual(sighting.cold, 1.5)
        revision = self.fleet.revision
        self.fleet.note(Sighting(replace(cold_instance, sequence=3), 0.0, 0.4), 102.0)
        self.assertEqual(self.fleet.revision, revision)
        self.assertTrue(self.fleet.is_cold("i1", 102.0))
        self.fleet.note(Sighting(replace(cold_instance, sequence=4), 0.0), 102.1)
        self.assertFalse(self.fleet.is_cold("i1", 102.1))

    def test_reused_zone_counts_as_cold_for_given_seconds(self) -> None:
        self.fleet.note_cold_zone("z", 2.0, 101.0)
        self.assertTrue(self.fleet.is_cold("i1", 102.9))
        self.assertFalse(self.fleet.is_cold("i1", 103.1))
        self.fleet.note_cold_zone("other", 2.0, 104.0)
        self.assertFalse(self.fleet.is_cold("i1", 104.0))

    def test_answer_can_report_cold(self) -> None:
        self.fleet.note_cold("i1", 1.0, 101.0)
        self.fleet.note_cold("unknown", 1.0, 101.0)
        self.assertTrue(self.fleet.is_cold("i1", 101.5))


class PlacerTest(unittest.TestCase):
    def place(self, cold: tuple[int, ...], count: int, term_age: float = 9.0) -> list[str]:
        """Return the engines chosen for prompts at one time, out of two, with some of them cold."""
        fleet = Fleet()
        for number in (1, 2):
            fleet.note(Sighting(make_instance(number), 0.0, 9.0 if number in cold else 0.0), 10.0)
        limits = GrantLimiter(RULE)
        limits.start_term(1, 10.0 - term_age)
        placer = Placer(fleet, LoadTotals(9.0), 1.0, Random(1), limits)
        answers = (placer.place(PLACE_REQUEST, COLD, 10.0) for _ in range(count))
        return [answer.instance for answer in answers if answer.instance]

    def test_cold_engines_get_requests_up_to_limit(self) -> None:
        chosen = self.place((1, 2), 100)
        self.assertEqual((chosen.count("i1"), chosen.count("i2")), (MAX_REQUESTS, MAX_REQUESTS))

    def test_new_leader_chooses_no_cold_engine(self) -> None:
        self.assertEqual(self.place((1, 2), 5, term_age=0.1), [])
        self.assertEqual(set(self.place((1,), 5, term_age=0.1)), {"i2"})

    def test_engines_not_known_to_be_cold_take_requests_beyond_limit(self) -> None:
        chosen = self.place((), 40)
        self.assertEqual(len(chosen), 40)
        self.assertEqual(set(chosen[: 2 * MAX_REQUESTS]), {"i1", "i2"})
        self.assertEqual(self.place((1,), 60).count("i1"), MAX_REQUESTS)

    def test_services_without_cold_rate_are_not_limited(self) -> None:
        fleet = Fleet()
        fleet.note(Sighting(make_instance(1), 0.0, 9.0), 10.0)
        placer = Placer(fleet, LoadTotals(9.0), 1.0, Random(1))
        rule = replace(COLD, cold_rate=0.0)
        self.assertTrue(all(placer.place(PLACE_REQUEST, rule, 10.0).instance for _ in range(50)))


class GuardTest(unittest.TestCase):
    """A gateway sends to a cold upstream only with a grant."""

    def run_body(self, body: Callable, prompts: bool = True) -> None:
        async def main() -> None:
            config = make_config(Repeat.ONCE, engine=prompts)
            service = replace(config.services[0], cold_rate=RATE)
            limited = RoutingConfig(8, config.routes, (service,), ())
            dispatcher = FakeDispatcher(WHOLE, WHOLE)
            gateway = make_gateway(dispatcher, limited, anyio.current_time())
            await body(gateway, dispatcher)

        anyio.run(main)

    def mark_cold(self, gateway: Gateway, *numbers: int) -> None:
        for number in numbers:
            gateway.apply_backpressure(make_instance(number), Backpressure(cold_seconds=9.0))

    def test_nothing_is_sent_without_grant(self) -> None:
        async def body(gateway: Gateway, dispatcher: FakeDispatcher) -> None:
            self.mark_cold(gateway, 1)
            attempt = Attempt(make_job(0.0), make_instance(1), "", 1.0)
            self.assertIsInstance(await gateway.dispatcher.send(attempt), NotRun)
            now = anyio.current_time()
            gateway.guard.grants.add("i1", now + 1.0, now)
            self.assertIsInstance(await gateway.dispatcher.send(attempt), Whole)
            self.assertIsInstance(await gateway.dispatcher.send(attempt), NotRun)

        self.run_body(body)

    def test_gateway_alone_chooses_no_cold_upstream(self) -> None:
        async def body(gateway: Gateway, dispatcher: FakeDispatcher) -> None:
            self.mark_cold(gateway, 1, 3)
            service = gateway.get_service("s")
            assert service is not None
            chosen = {gateway.selector.pick(service, 100, (), PROMPT) for _ in range(20)}
            self.assertEqual({instance.id for instance in chosen if instance}, {"i2"})

        self.run_body(body)

    def serve(self, gateway: Gateway, answer: PlaceAnswer | None) -> Callable:
        async def answer_place(request: PlaceRequest) -> PlaceAnswer | None:
            return answer

        gateway.selector.request_placement = answer_place
        gateway.selector.gateways = 2
        return make_forwarder(gateway).serve

    def test_granted_request_is_sent_to_cold_upstream(self) -> None:
        async def body(gateway: Gateway, dispatcher: FakeDispatcher) -> None:
            self.mark_cold(gateway, 1, 2, 3)
            serve = self.serve(gateway, PlaceAnswer("i2", True))
            now = anyio.current_time()
            self.assertIsInstance(await serve(make_job(now, prompt=PROMPT)), Whole)
            self.assertEqual(dispatcher.attempts[0].instance.id, "i2")

        self.run_body(body)

    def test_request_is_refused_as_not_run_when_all_are_cold_without_grant(self) -> None:
        async def body(gateway: Gateway, dispatcher: FakeDispatcher) -> None:
            self.mark_cold(gateway, 1, 2, 3)
            serve = self.serve(gateway, None)
            answer = await serve(make_job(anyio.current_time(), prompt=PROMPT))
            assert isinstance(answer, Failure)
            self.assertEqual((answer.kind, answer.ran), (FailureKind.NO_UPSTREAM, Ran.NO))
            self.assertEqual(dispatcher.attempts, [])

        self.run_body(body)

    def test_plain_service_asks_for_grant_while_an_upstream_is_cold(self) -> None:
        async def body(gateway: Gateway, dispatcher: FakeDispatcher) -> None:
            serve = self.serve(gateway, PlaceAnswer("i3", True))
            await serve(make_job(anyio.current_time()))
            self.mark_cold(gateway, 3)
            await serve(make_job(anyio.current_time()))
            self.assertEqual(dispatcher.attempts[1].instance.id, "i3")

        self.run_body(body, prompts=False)

    def test_stream_does_not_move_to_cold_engine(self) -> None:
        async def body(gateway: Gateway, dispatcher: FakeDispatcher) -> None:
            self.mark_cold(gateway, 2)
            service = gateway.get_service("s")
            assert service is not None
            found = gateway.selector.list_candidates(service, 10, {"i1"})
            self.assertEqual([candidate.instance.id for candidate in found], ["i3"])

        self.run_body(body)


if __name__ == "__main__":
    unittest.main()
