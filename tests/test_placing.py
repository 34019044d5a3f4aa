"""Tests of prompt placement in simulation: orders per gateway and the central placer."""

import unittest
from dataclasses import replace
from statistics import mean

from daleroad.placing import PlacingCase, PlacingResult, simulate

SEEDS = range(4)


class PlacingTest(unittest.TestCase):
    def simulate(self, **case: object) -> tuple[PlacingResult, PlacingResult]:
        """Return means over the seeds, without and with each gateway's own order of engines."""
        results = []
        for spread in (False, True):
            found = [simulate(PlacingCase(spread=spread, **case), seed) for seed in SEEDS]
            late, wait = mean(r.late_share for r in found), mean(r.mean_seconds for r in found)
            results.append(PlacingResult(late, wait, mean(r.p99_seconds for r in found)))
        return results[0], results[1]

    def test_own_orders_keep_nine_gateways_from_crowding_one_engine(self) -> None:
        without, with_orders = self.simulate(
            gateways=9,
            engines=9,
            prompts_per_second=8.3,
            exchange_seconds=0.25,
            duration_seconds=60.0,
        )
        self.assertGreater(without.late_share, 0.01)
        self.assertLess(with_orders.late_share, 0.5 * without.late_share)
        self.assertLess(with_orders.mean_seconds, 0.9 * without.mean_seconds)

    def test_own_orders_reduce_late_first_tokens_in_a_burst(self) -> None:
        without, with_orders = self.simulate(
            gateways=9,
            engines=8,
            prompts_per_second=12.5,
            exchange_seconds=0.25,
            duration_seconds=60.0,
        )
        self.assertLess(with_orders.late_share, 0.75 * without.late_share)

    def test_own_orders_do_not_slow_down_two_gateways(self) -> None:
        without, with_orders = self.simulate(
            gateways=2,
            engines=8,
            prompts_per_second=8.3,
            exchange_seconds=0.25,
            duration_seconds=60.0,
        )
        self.assertLess(with_orders.mean_seconds, 1.05 * without.mean_seconds)
        self.assertLess(with_orders.late_share, without.late_share + 0.002)

    def test_own_orders_keep_many_gateways_with_stale_loads_from_crowding_one_engine(self) -> None:
        without, with_orders = self.simulate(
            gateways=71,
            engines=29,
            prompts_per_second=29.0,
            exchange_seconds=0.74,
            duration_seconds=15.0,
        )
        self.assertGreater(without.late_share, 0.1)
        self.assertLess(with_orders.late_share, 0.5 * without.late_share)

    def test_central_placer_leaves_no_first_token_late(self) -> None:
        for gateways, engines, rate in ((12, 8, 8.3), (71, 29, 29.0), (200, 31, 28.3)):
            case = PlacingCase(gateways, engines, rate, 1.0, spread=True, duration_seconds=12.0)
            alone, central = simulate(case, 1), simulate(replace(case, central_placer=True), 1)
            self.assertGreater(alone.late_share, 0.0)
            self.assertEqual(central.late_share, 0.0)
            self.assertLess(central.mean_seconds, 0.8 * alone.mean_seconds)
