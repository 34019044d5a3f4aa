"""Tests of placement on engines with scarce memory, in simulations that compare the policies."""

import unittest

from daleroad.roommodel import CASES, MemoryCase, MemoryResult, Policy, format_cases, simulate

SEED = 1
MAX_IN_TIME_LOSS = 0.03
"""How far the share in time of one kind may fall below that of the baseline policy."""

CALM = MemoryCase("calm", rate=20.0, seconds=12.0)


class MemoryModelTest(unittest.TestCase):
    results: dict[tuple[str, Policy], MemoryResult] = {}

    @classmethod
    def setUpClass(cls) -> None:
        cls.results = {(c.name, p): simulate(c, p, SEED) for c in CASES for p in Policy}

    def test_share_in_time_does_not_fall_below_the_baseline(self) -> None:
        for case in CASES:
            baseline = self.results[case.name, Policy.LEAST_LOAD]
            result = self.results[case.name, Policy.FIT_OR_WAIT]
            with self.subTest(case.name):
                self.assertGreaterEqual(
                    result.long.in_time, baseline.long.in_time - MAX_IN_TIME_LOSS
                )
                self.assertGreaterEqual(
                    result.short.in_time, baseline.short.in_time - MAX_IN_TIME_LOSS
                )

    def test_fewer_preemptions_and_recomputed_tokens_than_the_baseline(self) -> None:
        sums = {
            policy: (
                sum(self.results[case.name, policy].preemptions for case in CASES),
                sum(self.results[case.name, policy].recomputed for case in CASES),
            )
            for policy in Policy
        }
        self.assertLess(sums[Policy.FIT_OR_WAIT][0], sums[Policy.LEAST_LOAD][0])
        self.assertLess(sums[Policy.FIT_OR_WAIT][1], sums[Policy.LEAST_LOAD][1])

    def test_short_prompts_are_not_starved_by_long_ones(self) -> None:
        for case in CASES:
            with self.subTest(case.name):
                result = self.results[case.name, Policy.FIT_OR_WAIT]
                self.assertGreaterEqual(result.short.in_time, result.long.in_time)

    def test_requests_are_lost_only_where_engines_are_lost(self) -> None:
        for case in CASES:
            result = self.results[case.name, Policy.FIT_OR_WAIT]
            self.assertEqual(bool(result.long.lost), bool(case.lost_share), case.name)

    def test_with_enough_memory_no_long_generation_is_late_or_preempted(self) -> None:
        result = simulate(CALM, Policy.FIT_OR_WAIT, SEED)
        self.assertEqual((result.long.late, result.preemptions), (0.0, 0))

    def test_table_has_a_row_for_each_case_and_policy(self) -> None:
        rows = list(format_cases((CALM,), SEED))
        self.assertEqual(len(rows), 1 + len(Policy))


if __name__ == "__main__":
    unittest.main()
