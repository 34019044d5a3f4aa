"""Tests of migration plans for an engine that is shutting down."""

import unittest

from daleroad.copyschedule import (
    COPY_OVERHEAD_SECONDS,
    FINAL_COPY_SECONDS,
    STOP_DELAY_SECONDS,
    Destination,
    RunSize,
)
from daleroad.defaults import NOTICE_SECONDS, REPORT_LAG_SECONDS
from daleroad.plans import MigrationPlan

SAME_ZONE_ROOM = Destination("near", True, 30_000)
TOKEN_SECONDS = 0.00005


def make_plan(*tokens: int, made_at: float = 10.0) -> MigrationPlan:
    plan = MigrationPlan(made_at, 10.0)
    plan.runs = tuple(RunSize(f"r{number}", size) for number, size in enumerate(tokens))
    plan.destinations = (SAME_ZONE_ROOM,)
    plan.token_seconds = TOKEN_SECONDS
    return plan


class PlanTest(unittest.TestCase):
    def test_the_link_is_busy_until_the_last_final_copy(self) -> None:
        plan = make_plan(4000, 2000)
        plan.schedule()
        stop = plan.get_stop("r0")
        self.assertAlmostEqual(stop, 10.0 + 0.3 + 2 * COPY_OVERHEAD_SECONDS + STOP_DELAY_SECONDS)
        self.assertAlmostEqual(plan.busy_until, stop + 2 * FINAL_COPY_SECONDS)
        self.assertEqual(plan.get_start("unknown"), plan.busy_until)

    def test_a_late_gateway_waits_until_the_others_have_copied(self) -> None:
        first = make_plan(4000, 2000)
        first.schedule()
        late = make_plan(4000, 2000, 1000, made_at=10.35)
        late.wait_for_others("r2")
        self.assertGreaterEqual(late.busy_until, first.busy_until)
        self.assertEqual(late.scheduled, first.scheduled)
        self.assertEqual(late.get_start("r2"), late.busy_until)

    def test_a_late_gateway_does_not_wait_beyond_the_end_of_the_engine(self) -> None:
        late = make_plan(*[6000] * 6, made_at=10.6)
        late.destinations = (Destination("far", False, 30_000),)
        late.wait_for_others("none")
        self.assertLess(late.busy_until, late.ends_at)

    def test_runs_without_a_slot_are_left_to_the_late_plan(self) -> None:
        plan = make_plan(4000)
        plan.schedule()
        runs = (*plan.runs, RunSize("new", 100))
        self.assertEqual([run.id for run in plan.list_uncovered(runs)], ["new"])

    def test_a_report_of_the_engine_can_only_postpone_its_expected_end(self) -> None:
        plan = make_plan()
        self.assertEqual(plan.ends_at, 10.0 + NOTICE_SECONDS)
        plan.postpone_end(0.1, 10.0)
        self.assertEqual(plan.ends_at, 10.0 + NOTICE_SECONDS)
        plan.postpone_end(5.0, 10.0)
        self.assertEqual(plan.ends_at, 15.0 - REPORT_LAG_SECONDS)
