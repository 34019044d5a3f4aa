"""Tests of when the generations of an engine that leaves are copied."""

import unittest

from daleroad.copyschedule import (
    COPY_EACH_SECONDS,
    STOP_AFTER_SECONDS,
    STOP_EACH_SECONDS,
    Room,
    RunSize,
)
from daleroad.defaults import NOTICE_SECONDS, REPORT_LAG_SECONDS
from daleroad.plans import Plan

NEAR = Room("near", True, 30_000)
TOKEN_SECONDS = 0.00005


def make_plan(*tokens: int, made_at: float = 10.0) -> Plan:
    plan = Plan(made_at, 10.0)
    plan.runs = tuple(RunSize(f"r{number}", size) for number, size in enumerate(tokens))
    plan.rooms = (NEAR,)
    plan.token_seconds = TOKEN_SECONDS
    return plan


class PlanTest(unittest.TestCase):
    def test_the_link_is_busy_until_the_last_rest_is_copied(self) -> None:
        plan = make_plan(4000, 2000)
        plan.schedule()
        stop = plan.get_stop("r0")
        self.assertAlmostEqual(stop, 10.0 + 0.3 + 2 * COPY_EACH_SECONDS + STOP_AFTER_SECONDS)
        self.assertAlmostEqual(plan.busy_until, stop + 2 * STOP_EACH_SECONDS)
        self.assertEqual(plan.get_start("unknown"), plan.busy_until)

    def test_a_gateway_that_comes_late_lets_the_others_end_first(self) -> None:
        first = make_plan(4000, 2000)
        first.schedule()
        late = make_plan(4000, 2000, 1000, made_at=10.35)
        late.follow_others("r2")
        self.assertGreaterEqual(late.busy_until, first.busy_until)
        self.assertEqual(late.turns, first.turns)
        self.assertEqual(late.get_start("r2"), late.busy_until)

    def test_a_gateway_that_comes_late_does_not_wait_beyond_the_engines_end(self) -> None:
        late = make_plan(*[6000] * 6, made_at=10.6)
        late.rooms = (Room("far", False, 30_000),)
        late.follow_others("none")
        self.assertLess(late.busy_until, late.ends_at)

    def test_what_has_no_turn_is_late(self) -> None:
        plan = make_plan(4000)
        plan.schedule()
        runs = (*plan.runs, RunSize("new", 100))
        self.assertEqual([run.id for run in plan.list_late(runs)], ["new"])

    def test_an_engines_word_only_moves_its_end_further(self) -> None:
        plan = make_plan()
        self.assertEqual(plan.ends_at, 10.0 + NOTICE_SECONDS)
        plan.note_leaves_in(0.1, 10.0)
        self.assertEqual(plan.ends_at, 10.0 + NOTICE_SECONDS)
        plan.note_leaves_in(5.0, 10.0)
        self.assertEqual(plan.ends_at, 15.0 - REPORT_LAG_SECONDS)
