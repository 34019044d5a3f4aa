"""Tests of the durations that are expected of requests."""

import unittest

from daleroad.durations import (
    BUCKET_SECONDS,
    MANY_ANSWERS,
    MAX_BUCKETS,
    OVERDUE_RATIO,
    RecentDurations,
)

KIND = ("route", "service")


class RecentDurationsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.durations = RecentDurations()

    def answer(self, count: int, seconds: float, now: float = 0.0) -> None:
        for _ in range(count):
            with self.durations.watch(KIND, now):
                pass
            self.durations.note(KIND, seconds, now)

    def get(self, now: float = 0.0) -> float:
        return self.durations.get(KIND, now).seconds

    def test_nothing_is_known_at_first(self) -> None:
        self.assertEqual(self.get(), 0.0)
        self.assertFalse(self.durations.get(KIND, 0.0).is_certain())

    def test_steady_answers_are_expected_to_take_as_long(self) -> None:
        self.answer(100, 4.0)
        self.assertAlmostEqual(self.get(), 4.04)
        self.assertTrue(self.durations.get(KIND, 0.0).is_certain())

    def test_mixed_answers_are_expected_to_take_as_long_as_the_longest(self) -> None:
        for number in range(100):
            self.answer(1, 0.05 * number)
        self.assertGreater(self.get(), 4.95)

    def test_few_answers_are_less_certain(self) -> None:
        self.answer(MANY_ANSWERS - 1, 1.0)
        self.assertFalse(self.durations.get(KIND, 0.0).is_certain())
        self.answer(1, 1.0)
        self.assertTrue(self.durations.get(KIND, 0.0).is_certain())

    def test_old_answers_are_forgotten(self) -> None:
        self.answer(100, 4.0, now=1.0)
        kept = BUCKET_SECONDS * MAX_BUCKETS
        self.answer(100, 0.1, now=kept - 1.0)
        self.assertGreater(self.get(kept - 1.0), 4.0)
        self.assertLess(self.get(kept), 0.2)

    def test_requests_under_way_for_longer_than_any_answer_took_are_half_done(self) -> None:
        self.answer(100, 0.05)
        with self.durations.watch(KIND, 0.0), self.durations.watch(KIND, 1.0):
            self.assertLess(self.get(0.05), 0.06)
            self.assertAlmostEqual(self.get(2.0), 2.0 * OVERDUE_RATIO, delta=0.1)

    def test_request_that_hangs_while_others_are_answered_is_an_exception(self) -> None:
        with self.durations.watch(KIND, 0.0):
            self.answer(10, 0.05, now=1.0)
            with self.durations.watch(KIND, 1.0):
                self.assertLess(self.get(2.0), 0.06)
        self.assertLess(self.get(2.0), 0.06)

    def test_routes_that_are_gone_are_forgotten(self) -> None:
        self.answer(100, 4.0)
        self.durations.retain({KIND[0]})
        self.assertGreater(self.get(), 4.0)
        self.durations.retain(set())
        self.assertEqual(self.get(), 0.0)
        with self.durations.watch(KIND, 0.0):
            self.durations.retain(set())
            self.assertGreater(self.get(1.0), 1.0)

    def test_other_kinds_of_requests_do_not_count(self) -> None:
        self.answer(100, 4.0)
        self.assertEqual(self.durations.get(("route", "other"), 0.0).seconds, 0.0)


if __name__ == "__main__":
    unittest.main()
