"""Tests of upstream selection and of the retry budget."""

import unittest
from collections import Counter
from dataclasses import replace
from random import Random

import anyio
import trio
import trio.testing

from daleroad.defaults import LATE_HEARTBEATS, OVERDUE_HEARTBEATS
from daleroad.dispatch import Prompt
from daleroad.fleetfile import RECOVERED_HEARTBEATS
from daleroad.gateway import Gateway
from daleroad.instances import Instance, InstanceState, Sighting
from daleroad.notices import Load
from daleroad.picking import (
    MAX_PREFERENCE_WEIGHT,
    Candidate,
    estimate_load,
    make_preference_order,
    pick_upstream,
    sample_candidates,
)
from daleroad.retries import WindowBudget
from daleroad.routing import Repeat
from tests.fakes import FakeDispatcher, make_config, make_gateway, make_instance


def make_candidate(name: str, load: float, zone: str = "z", **flags: bool) -> Candidate:
    instance = Instance(name, "s", f"{name}:1", zone, 24, InstanceState.READY, 1)
    return Candidate(instance, load, **flags)


def pick(*candidates: Candidate, zone: str = "") -> str:
    picked = pick_upstream(candidates, zone, Random(1))
    return picked.instance.id if picked else ""


class PickUpstreamTest(unittest.TestCase):
    def test_less_loaded_upstream_is_picked(self) -> None:
        self.assertEqual(pick(make_candidate("a", 0.9), make_candidate("b", 0.2)), "b")

    def test_doubtful_upstream_is_used_only_without_another(self) -> None:
        unhealthy = make_candidate("a", 0.0, unhealthy=True)
        self.assertEqual(pick(unhealthy, make_candidate("b", 5.0)), "b")
        self.assertEqual(pick(unhealthy), "a")
        self.assertEqual(pick(), "")

    def test_penalties_count_as_load(self) -> None:
        for flag in ("sole_in_zone", "cold", "overdue"):
            with self.subTest(flag):
                penalized = make_candidate("a", 0.3, **{flag: True})
                self.assertEqual(pick(penalized, make_candidate("b", 0.4)), "b")
                self.assertEqual(pick(penalized, make_candidate("b", 0.9)), "a")

    def test_preference_orders_differ_by_gateway_and_weigh_more_with_more_gateways(self) -> None:
        equal = [make_candidate(name, 0.5) for name in "abcdef"]
        preferred = set()
        for number in range(20):
            order = make_preference_order(f"gateway-{number}", 20)
            picks = [pick_upstream(equal, "", Random(seed), preference=order) for seed in range(9)]
            self.assertEqual(len({p.instance.id for p in picks if p}), 1)
            preferred |= {p.instance.id for p in picks if p}
        self.assertGreater(len(preferred), 3)
        self.assertEqual(make_preference_order("gateway-0", 1).get_penalty("a"), 0.0)
        self.assertEqual(make_preference_order("gateway-0", 1000).weight, MAX_PREFERENCE_WEIGHT)

    def test_only_short_generations_use_the_gateways_preference_order(self) -> None:
        async def main() -> None:
            config = make_config(Repeat.STREAM, engine=True)
            gateway = make_gateway(FakeDispatcher(), config, anyio.current_time())
            gateway.selector.gateways = 40
            service = config.services[0]
            for most_output, expected in ((20, 1), (2000, 3)):
                prompt = Prompt((), 100, most_output)
                picks = (gateway.selector.pick(service, 200, (), prompt) for _ in range(60))
                self.assertEqual(len({p.id for p in picks if p}), expected)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_first_engine_heard_after_a_restart_does_not_get_all_prompts(self) -> None:
        async def main(age: float) -> int:
            now = anyio.current_time()
            config = make_config(Repeat.STREAM, engine=True)
            options = make_gateway(FakeDispatcher(), None, now).options
            gateway = Gateway(options, FakeDispatcher(), Random(1))
            gateway.replace_config(config)
            gateway.fleet.note_all([Sighting(make_instance(n), age) for n in (1, 2, 3)], now)
            gateway.fleet.note(Sighting(replace(make_instance(1), sequence=2), 0.0), now)
            used = set()
            for _ in range(12):
                picked = gateway.selector.pick(config.services[0], 4000, ())
                assert picked is not None
                gateway.loads.add_load(picked, 1, 4000, 3000)
                used.add(picked.id)
            return len(used)

        # The age given to engines recovered from disk, and one so old that the others are
        # unhealthy.
        for age, expected in ((RECOVERED_HEARTBEATS, 3), (10.0, 1)):
            clock = trio.testing.MockClock(autojump_threshold=0)
            self.assertEqual(trio.run(main, age, clock=clock), expected)

    def test_own_zone_is_preferred_among_similar_loads(self) -> None:
        local, remote = make_candidate("a", 0.5, "z"), make_candidate("b", 0.42, "y")
        picks = Counter(
            picked.instance.id
            for seed in range(200)
            if (picked := pick_upstream([local, remote], "z", Random(seed)))
        )
        self.assertGreater(picks["a"], 20)

    def test_prefill_backlog_adds_to_the_load(self) -> None:
        prefilling = estimate_load(Load("a", 2, 6000, 6000), 24, 34_000)
        generating = estimate_load(Load("a", 4, 14_000, 0), 24, 34_000)
        self.assertGreater(prefilling, generating)
        self.assertEqual(estimate_load(Load("a", 3), 6, 0), 0.5)


class MissedHeartbeatsTest(unittest.TestCase):
    def list_flags(self, age: float) -> set[tuple[bool, bool]]:
        gateway = make_gateway(FakeDispatcher(), make_config(Repeat.STREAM, engine=True), 0.0)
        service = gateway.get_service("s")
        assert service is not None

        async def main() -> set[tuple[bool, bool]]:
            heard_at = anyio.current_time()
            for number in (4, 5):
                gateway.fleet.note(Sighting(make_instance(number), 0.0), heard_at)
            await anyio.sleep(age)
            candidates = list(gateway.selector.list_candidates(service, 0, ()))
            return {(c.overdue, c.unhealthy) for c in candidates}

        for instance in gateway.fleet.list_ready("s"):
            gateway.fleet.leave(instance.id, 0.0)
        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_upstream_becomes_overdue_and_then_doubtful(self) -> None:
        # The heartbeat interval is one second here.
        self.assertEqual(self.list_flags(1.0), {(False, False)})
        self.assertEqual(self.list_flags(OVERDUE_HEARTBEATS + 0.1), {(True, False)})
        self.assertEqual(self.list_flags(LATE_HEARTBEATS + 0.1), {(True, True)})


class SampleTest(unittest.TestCase):
    def test_few_gateways_compare_all_candidates(self) -> None:
        candidates = [make_candidate(str(n), 0.1) for n in range(23)]
        self.assertEqual(len(sample_candidates(candidates, 12, Random(1))), 23)

    def test_many_gateways_do_not_all_pick_the_same_upstream(self) -> None:
        candidates = [make_candidate(str(n), 0.1 * n) for n in range(23)]
        picks = Counter()
        for seed in range(90):
            random = Random(seed)
            picked = pick_upstream(sample_candidates(candidates, 90, random), "", random)
            assert picked is not None
            picks[picked.instance.id] += 1
        self.assertGreater(len(picks), 8)

    def test_doubtful_candidates_are_sampled_only_without_others(self) -> None:
        healthy = make_candidate("a", 0.9)
        unhealthy = [make_candidate(str(n), 0.0, unhealthy=True) for n in range(5)]
        self.assertEqual(sample_candidates([*unhealthy, healthy], 90, Random(1)), [healthy])
        self.assertEqual(len(sample_candidates(unhealthy, 90, Random(1))), 2)


class WindowBudgetTest(unittest.TestCase):
    def test_retries_of_all_processes_stay_within_the_budget(self) -> None:
        processes = 12
        budgets = [WindowBudget(0.2, 64, 10.0) for _ in range(processes)]
        retries = 0
        for number in range(1200):
            budget = budgets[number % processes]
            budget.record_first_attempt("s", number / 120)
            retries += sum(budget.try_acquire("s", processes, number / 120) for _ in range(3))
        self.assertLessEqual(retries, 0.2 * 1200 + 64)
        self.assertGreater(retries, 0.5 * (0.2 * 1200 + 64))

    def test_window_slides_and_each_service_has_its_own(self) -> None:
        budget = WindowBudget(0.0, 2.9, 10.0)
        self.assertTrue(budget.try_acquire("s", 1, 0.0))
        self.assertTrue(budget.try_acquire("s", 1, 1.0))
        self.assertFalse(budget.try_acquire("s", 1, 9.9))
        self.assertTrue(budget.try_acquire("t", 1, 9.9))
        self.assertTrue(budget.try_acquire("s", 1, 10.5))
