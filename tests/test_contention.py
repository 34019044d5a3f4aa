"""Tests of how routes compete for a service's engines, as the configuration shows it."""

import unittest
from dataclasses import replace

from daleroad.contention import NO_CONTENTION, find_contention, find_contentions
from daleroad.routing import Repeat, RouteRule, Target
from tests.fakes import make_config

SHORT = RouteRule(
    "short", "h", "/s/", Repeat.STREAM, 6.0, 1.5, 0.18, 0, (Target("s", 1.0),), 1, False, True
)
LONG = replace(SHORT, name="long", prefix="/l/", timeout=39.0, objective=1.8, rank=1)


class ContentionTest(unittest.TestCase):
    def test_more_urgent_short_work_beside_similar_objectives_does_not_compete(self) -> None:
        self.assertEqual(find_contention((SHORT, LONG)), NO_CONTENTION)
        self.assertFalse(NO_CONTENTION.is_ordered())

    def test_streams_that_outrank_work_with_a_tighter_objective_are_guarded(self) -> None:
        found = find_contention((replace(SHORT, rank=1), replace(LONG, rank=0)))
        self.assertEqual((found.guarded_ranks, found.yields), ({0}, False))
        self.assertTrue(found.is_ordered())

    def test_streams_without_a_pause_limit_are_not_guarded(self) -> None:
        urgent = replace(LONG, rank=0, pause=0.0)
        self.assertEqual(find_contention((replace(SHORT, rank=1), urgent)), NO_CONTENTION)

    def test_a_route_with_twice_the_objective_yields_to_a_more_urgent_one(self) -> None:
        self.assertTrue(find_contention((SHORT, replace(LONG, objective=3.0))).yields)
        self.assertFalse(find_contention((SHORT, replace(LONG, objective=2.9))).yields)
        self.assertFalse(find_contention((SHORT, replace(LONG, objective=3.0, rank=0))).yields)

    def test_only_prompt_routes_of_services_with_engines_compete(self) -> None:
        config = make_config(Repeat.STREAM)
        found = find_contentions(config)
        engines = {service.name for service in config.services if service.engine is not None}
        self.assertEqual(set(found), engines)
