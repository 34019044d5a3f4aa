"""Tests of how often a gateway asks."""

import unittest

from daleroad.defaults import (
    GATEWAY_SILENT_SECONDS,
    WATCH_FAST_GATEWAYS,
    WATCH_FAST_SECONDS,
    WATCH_SLOW_SECONDS,
)
from daleroad.watching import find_fast_wait


class WaitTest(unittest.TestCase):
    def test_few_gateways_exchange_loads_at_the_full_rate(self) -> None:
        for gateways in (1, 12, WATCH_FAST_GATEWAYS):
            self.assertEqual(find_fast_wait(gateways), WATCH_FAST_SECONDS)

    def test_the_rate_of_all_together_stays_bounded_until_they_ask_slowly(self) -> None:
        most = WATCH_FAST_GATEWAYS / WATCH_FAST_SECONDS
        for gateways in (25, 67, 90):
            self.assertLessEqual(gateways / find_fast_wait(gateways), most + 1e-9)
        self.assertEqual(find_fast_wait(1000), WATCH_SLOW_SECONDS)

    def test_no_gateway_seems_dead_between_two_questions(self) -> None:
        self.assertLess(find_fast_wait(1000), GATEWAY_SILENT_SECONDS)
