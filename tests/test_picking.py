"""Tests of the choice of an upstream, and of the budget for repeats."""

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
    SPREAD_MOST,
    Candidate,
    draw_sample,
    estimate_load,
    make_spread,
    pick_upstream,
)
from daleroad.retries import WindowBudget
from daleroad.routing import Repeat
from tests.fakes import FakeDispatcher, make_config, make_gateway, make_instance


def make_candidate(name: str, load: float, zone: str = "z", **known: bool) -> Candidate:
    instance = Instance(name, "s", f"{name}:1", zone, 24, InstanceState.READY, 1)
    return Candidate(instance, load, **known)


def pick(*candidates: Candidate, zone: str = "") -> str:
    found = pick_upstream(candidates, zone, Random(1))
    return found.instance.id if found else ""


class PickTest(unittest.TestCase):
    def test_the_less_loaded_one_is_picked(self) -> None:
        self.assertEqual(pick(make_candidate("a", 0.9), make_candidate("b", 0.2)), "b")

    def test_doubtful_ones_only_without_another(self) -> None:
        doubtful = make_candidate("a", 0.0, doubtful=True)
        self.assertEqual(pick(doubtful, make_candidate("b", 5.0)), "b")
        self.assertEqual(pick(doubtful), "a")
        self.assertEqual(pick(), "")

    def test_what_speaks_against_an_engine_gives_it_less(self) -> None:
        for known in ("lone", "cold", "overdue"):
            with self.subTest(known):
                marked = make_candidate("a", 0.3, **{known: True})
                self.assertEqual(pick(marked, make_candidate("b", 0.4)), "b")
                self.assertEqual(pick(marked, make_candidate("b", 0.9)), "a")

    def test_gateways_have_orders_of_their_own_that_weigh_more_the_more_there_are(self) -> None:
        equal = [make_candidate(name, 0.5) for name in "abcdef"]
        firsts = set()
        for number in range(20):
            order = make_spread(f"gateway-{number}", 20)
            picks = [pick_upstream(equal, "", Random(seed), spread=order) for seed in range(9)]
            self.assertEqual(len({p.instance.id for p in picks if p}), 1)
            firsts |= {p.instance.id for p in picks if p}
        self.assertGreater(len(firsts), 3)
        self.assertEqual(make_spread("alone", 1).rate("a"), 0.0)
        self.assertEqual(make_spread("one of many", 1000).weight, SPREAD_MOST)

    def test_only_short_generations_follow_the_gateways_own_order(self) -> None:
        async def main() -> None:
            config = make_config(Repeat.STREAM, engine=True)
            gateway = make_gateway(FakeDispatcher(), config, anyio.current_time())
            gateway.chooser.gateways = 40
            service = config.services[0]
            for most_output, expected in ((20, 1), (2000, 3)):
                prompt = Prompt((), 100, most_output)
                picks = (gateway.chooser.pick(service, 200, (), prompt) for _ in range(60))
                self.assertEqual(len({p.id for p in picks if p}), expected)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_after_a_restart_the_first_engine_that_is_heard_does_not_get_all_prompts(self) -> None:
        async def main(age: float) -> int:
            now = anyio.current_time()
            config = make_config(Repeat.STREAM, engine=True)
            options = make_gateway(FakeDispatcher(), None, now).options
            gateway = Gateway(options, FakeDispatcher(), Random(1))
            gateway.replace_config(config)
            gateway.fleet.note_all([Sighting(make_instance(n), age) for n in (1, 2, 3)], now)
            gateway.fleet.note(Sighting(replace(make_instance(1), sequence=2), 0.0), now)
            chosen = set()
            for _ in range(12):
                found = gateway.chooser.pick(config.services[0], 4000, ())
                assert found is not None
                gateway.loads.add(found, 1, 4000, 3000)
                chosen.add(found.id)
            return len(chosen)

        # As known from the disk; and as one that was not heard for long.
        for age, expected in ((RECOVERED_HEARTBEATS, 3), (10.0, 1)):
            clock = trio.testing.MockClock(autojump_threshold=0)
            self.assertEqual(trio.run(main, age, clock=clock), expected)

    def test_the_own_zone_goes_first_among_equals(self) -> None:
        here, there = make_candidate("a", 0.5, "z"), make_candidate("b", 0.42, "y")
        picks = Counter(
            found.instance.id
            for seed in range(200)
            if (found := pick_upstream([here, there], "z", Random(seed)))
        )
        self.assertGreater(picks["a"], 20)

    def test_unread_prompts_weigh_as_much_as_memory(self) -> None:
        reading = estimate_load(Load("a", 2, 6000, 6000), 24, 34_000)
        generating = estimate_load(Load("a", 4, 14_000, 0), 24, 34_000)
        self.assertGreater(reading, generating)
        self.assertEqual(estimate_load(Load("a", 3), 6, 0), 0.5)


class SilenceTest(unittest.TestCase):
    def list_marks(self, age: float) -> set[tuple[bool, bool]]:
        gateway = make_gateway(FakeDispatcher(), make_config(Repeat.STREAM, engine=True), 0.0)
        service = gateway.get_service("s")
        assert service is not None

        async def main() -> set[tuple[bool, bool]]:
            heard_at = anyio.current_time()
            for number in (4, 5):
                gateway.fleet.note(Sighting(make_instance(number), 0.0), heard_at)
            await anyio.sleep(age)
            candidates = list(gateway.chooser.list_candidates(service, 0, ()))
            return {(found.overdue, found.doubtful) for found in candidates}

        for instance in gateway.fleet.list_ready("s"):
            gateway.fleet.leave(instance.id, 0.0)
        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_silence_first_gives_less_work_and_then_none(self) -> None:
        # Heartbeats come each second here.
        self.assertEqual(self.list_marks(1.0), {(False, False)})
        self.assertEqual(self.list_marks(OVERDUE_HEARTBEATS + 0.1), {(True, False)})
        self.assertEqual(self.list_marks(LATE_HEARTBEATS + 0.1), {(True, True)})


class SampleTest(unittest.TestCase):
    def test_few_gateways_compare_all(self) -> None:
        candidates = [make_candidate(str(n), 0.1) for n in range(23)]
        self.assertEqual(len(draw_sample(candidates, 12, Random(1))), 23)

    def test_many_gateways_do_not_all_choose_the_same(self) -> None:
        candidates = [make_candidate(str(n), 0.1 * n) for n in range(23)]
        picked = Counter()
        for seed in range(90):
            random = Random(seed)
            found = pick_upstream(draw_sample(candidates, 90, random), "", random)
            assert found is not None
            picked[found.instance.id] += 1
        self.assertGreater(len(picked), 8)

    def test_doubtful_ones_are_drawn_only_without_others(self) -> None:
        sound = make_candidate("a", 0.9)
        doubtful = [make_candidate(str(n), 0.0, doubtful=True) for n in range(5)]
        self.assertEqual(draw_sample([*doubtful, sound], 90, Random(1)), [sound])
        self.assertEqual(len(draw_sample(doubtful, 90, Random(1))), 2)


class WindowBudgetTest(unittest.TestCase):
    def test_repeats_stay_below_their_share_over_all_processes(self) -> None:
        sharers = 12
        budgets = [WindowBudget(0.2, 64, 10.0) for _ in range(sharers)]
        repeats = 0
        for number in range(1200):
            budget = budgets[number % sharers]
            budget.note_first("s", number / 120)
            repeats += sum(budget.take("s", sharers, number / 120) for _ in range(3))
        self.assertLessEqual(repeats, 0.2 * 1200 + 64)
        self.assertGreater(repeats, 0.5 * (0.2 * 1200 + 64))

    def test_the_window_slides_and_services_have_their_own(self) -> None:
        budget = WindowBudget(0.0, 2.9, 10.0)
        self.assertTrue(budget.take("s", 1, 0.0))
        self.assertTrue(budget.take("s", 1, 1.0))
        self.assertFalse(budget.take("s", 1, 9.9))
        self.assertTrue(budget.take("t", 1, 9.9))
        self.assertTrue(budget.take("s", 1, 10.5))
