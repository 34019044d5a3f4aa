"""Benchmark of the rule that holds requests back, against others, on the same seeds.

Ten plays of 300 s a case, of a million innocent requests those held: single ends of engines,
115,633 by a plain count of three, 1,615 by Wald's sequential test, 53 by the rule in use; ends of
four engines at once 129,058, 29,655, 3,163 (5,160 before an end used up one whole answer only); a
crashing request 34,825, 7,224, 109. Each rule lets a crashing request end three engines (the count
of two: two, and holds up to a quarter of the others).
"""

import unittest

from daleroad.suspectmodel import CASES, HeldCount, make_rules, play

SEEDS = 4


def measure(case_name: str, rule: str) -> HeldCount:
    case = next(case for case in CASES if case.name == case_name)
    found = [play(case, make_rules()[rule], seed) for seed in range(SEEDS)]
    return HeldCount(
        sum(f.innocent for f in found),
        sum(f.held for f in found),
        sum(f.crashers for f in found),
        sum(f.ended for f in found),
    )


class RuleTest(unittest.TestCase):
    IN_USE = list(make_rules())[-1]

    def test_innocent_requests_are_rarely_held(self) -> None:
        for case, most in (
            ("single ends", 0.0005),
            ("ends of four at once", 0.003),
            ("a crashing request", 0.0005),
        ):
            with self.subTest(case):
                found = measure(case, self.IN_USE)
                self.assertLess(found.held / found.innocent, most)

    def test_other_rules_hold_more_of_them(self) -> None:
        used = measure("ends of four at once", self.IN_USE)
        for rule in list(make_rules())[:-1]:
            with self.subTest(rule):
                other = measure("ends of four at once", rule)
                self.assertGreater(other.held, 3 * used.held)

    def test_a_crashing_request_ends_three_engines(self) -> None:
        found = measure("a crashing request beside single ends", self.IN_USE)
        self.assertGreater(found.crashers, 10)
        self.assertLessEqual(found.ended / found.crashers, 3.1)
