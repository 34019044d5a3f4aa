"""Tests of the incrementally maintained totals of load reports."""

import unittest
from random import Random

from daleroad.loads import LoadTotals
from daleroad.notices import Load

MAX_AGE_SECONDS = 1.3


class LoadTotalsTest(unittest.TestCase):
    def test_totals_match_recomputed_ones(self) -> None:
        for seed in range(50):
            random, totals, reports = Random(seed), LoadTotals(MAX_AGE_SECONDS), {}
            for step in range(80):
                now = step * 0.1
                gateway = f"g{random.randrange(6)}"
                names = random.sample(range(8), random.randrange(4))
                loads = tuple(
                    Load(f"i{name}", random.randrange(3), random.randrange(5000)) for name in names
                )
                totals.set_report(gateway, loads, now)
                totals.remove_expired(now)
                reports[gateway] = (loads, now)
                requester = f"g{random.randrange(6)}"
                self.assertEqual(
                    {load.instance: load for load in totals.sum_others(requester)},
                    compute_others(reports, requester, now),
                )

    def test_expired_report_is_left_out(self) -> None:
        totals = LoadTotals(MAX_AGE_SECONDS)
        totals.set_report("a", (Load("i", 1, 100, 10),), 10.0)
        totals.set_report("b", (Load("i", 2, 200, 20),), 11.0)
        self.assertEqual(totals.sum_others("c"), [Load("i", 3, 300, 30)])
        totals.remove_expired(10.0 + MAX_AGE_SECONDS + 0.1)
        self.assertEqual(totals.sum_others("c"), [Load("i", 2, 200, 20)])
        self.assertEqual(totals.sum_others("b"), [])


def compute_others(
    reports: dict[str, tuple[tuple[Load, ...], float]], requester: str, now: float
) -> dict[str, Load]:
    found: dict[str, Load] = {}
    for gateway, (loads, received_at) in reports.items():
        if gateway == requester or now - received_at > MAX_AGE_SECONDS:
            continue
        for load in loads:
            known = found.get(load.instance)
            found[load.instance] = known.add(load) if known else load
    return {name: load for name, load in found.items() if not load.is_empty()}
