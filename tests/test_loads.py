"""Tests of the totals of what gateways say of their work."""

import unittest
from random import Random

from daleroad.loads import LoadTotals
from daleroad.notices import Load

KEPT = 1.3


class LoadTotalsTest(unittest.TestCase):
    def test_totals_are_those_of_adding_all_up_anew(self) -> None:
        for seed in range(50):
            random, totals, told = Random(seed), LoadTotals(KEPT), {}
            for step in range(80):
                now = step * 0.1
                gateway = f"g{random.randrange(6)}"
                names = random.sample(range(8), random.randrange(4))
                loads = tuple(
                    Load(f"i{name}", random.randrange(3), random.randrange(5000)) for name in names
                )
                totals.note(gateway, loads, now)
                totals.prune(now)
                told[gateway] = (loads, now)
                asker = f"g{random.randrange(6)}"
                self.assertEqual(
                    {load.instance: load for load in totals.sum_others(asker)},
                    add_up(told, asker, now),
                )

    def test_a_gateway_that_says_nothing_for_long_is_left_out(self) -> None:
        totals = LoadTotals(KEPT)
        totals.note("a", (Load("i", 1, 100, 10),), 10.0)
        totals.note("b", (Load("i", 2, 200, 20),), 11.0)
        self.assertEqual(totals.sum_others("c"), [Load("i", 3, 300, 30)])
        totals.prune(10.0 + KEPT + 0.1)
        self.assertEqual(totals.sum_others("c"), [Load("i", 2, 200, 20)])
        self.assertEqual(totals.sum_others("b"), [])


def add_up(
    told: dict[str, tuple[tuple[Load, ...], float]], asker: str, now: float
) -> dict[str, Load]:
    found: dict[str, Load] = {}
    for gateway, (loads, at) in told.items():
        if gateway == asker or now - at > KEPT:
            continue
        for load in loads:
            known = found.get(load.instance)
            found[load.instance] = known.add(load) if known else load
    return {name: load for name, load in found.items() if not load.is_empty()}
