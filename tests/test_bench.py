"""Tests of the bench: it repeats exactly, and the aims hold on a small pool."""

import unittest

from daleroad.bench import PolicyName, Run, RunOptions, RunResult, measure_capacity
from daleroad.report import make_rows

CAPACITY = 2165.0


def run(policy: PolicyName, load: float, **options: object) -> RunResult:
    return Run(RunOptions(policy, load, CAPACITY, **options)).run()


class BenchTest(unittest.TestCase):
    def test_a_seed_repeats_exactly(self) -> None:
        rows = [list(make_rows([run(PolicyName.OURS, 1.0)])) for _ in range(2)]
        self.assertEqual(rows[0], rows[1])

    def test_overload_preempts_less_and_keeps_urgent_work_fast(self) -> None:
        robin, ours = run(PolicyName.ROUND_ROBIN, 1.3), run(PolicyName.OURS, 1.3)
        calm = run(PolicyName.OURS, 0.7)
        self.assertLess(10 * ours.preemptions, robin.preemptions + 10)
        first = ours.urgent_first.get_value_at_percentile(95)
        self.assertLess(first, 1.5 * calm.urgent_first.get_value_at_percentile(95))

    def test_a_flood_of_one_partner_leaves_the_other_its_share(self) -> None:
        solo = run(PolicyName.OURS, 0.7, floods=(("tamarack", 0.0),))
        flooded = run(PolicyName.OURS, 0.7, floods=(("tamarack", 5.0),))
        alone = solo.whole_by_partner["stoyanov"]
        self.assertGreaterEqual(flooded.whole_by_partner["stoyanov"], 0.95 * alone)
        self.assertEqual(flooded.refused_by_partner["stoyanov"], 0)

    def test_capacity_is_that_of_a_flooded_pool(self) -> None:
        options = RunOptions(PolicyName.OURS, 1.0, 0.0, 30.0, 1)
        self.assertGreater(measure_capacity(options), 300)
