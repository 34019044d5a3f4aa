"""Tests that the rule in use rarely holds back innocent requests and stops poison requests."""

import unittest

from daleroad.suspectmodel import CASES, RuleOutcome, make_rules, simulate

SEEDS = 4


def simulate_all(case_name: str, rule: str) -> RuleOutcome:
    case = next(case for case in CASES if case.name == case_name)
    found = [simulate(case, make_rules()[rule], seed) for seed in range(SEEDS)]
    return RuleOutcome(
        sum(f.innocent for f in found),
        sum(f.held for f in found),
        sum(f.poison for f in found),
        sum(f.crashed_engines for f in found),
    )


class RuleTest(unittest.TestCase):
    IN_USE = list(make_rules())[-1]

    def test_innocent_requests_are_rarely_held(self) -> None:
        for case, limit in (
            ("single ends", 0.0005),
            ("ends of four at once", 0.003),
            ("a crashing request", 0.0005),
        ):
            with self.subTest(case):
                found = simulate_all(case, self.IN_USE)
                self.assertLess(found.held / found.innocent, limit)

    def test_other_rules_hold_more_innocent_requests(self) -> None:
        in_use = simulate_all("ends of four at once", self.IN_USE)
        for rule in list(make_rules())[:-1]:
            with self.subTest(rule):
                other = simulate_all("ends of four at once", rule)
                self.assertGreater(other.held, 3 * in_use.held)

    def test_a_poison_request_crashes_three_engines(self) -> None:
        found = simulate_all("a crashing request beside single ends", self.IN_USE)
        self.assertGreater(found.poison, 10)
        self.assertLessEqual(found.crashed_engines / found.poison, 3.1)
