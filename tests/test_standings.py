"""Tests of the marks by which a disk that went back is found out."""

import unittest
from random import Random

from daleroad.defaults import MARK_ENTRIES
from daleroad.logtypes import Durable, Run, Standing
from daleroad.standings import Standings

EARLY = Standing("x", (Run("r", 1),))
LATER = Standing("x", (Run("r", 5),))


def start(durable: Durable | None = None, last_index: int = 0, seed: int = 1) -> Standings:
    return Standings(durable or Durable("own"), last_index, Random(seed))


class StandingsTest(unittest.TestCase):
    def test_each_start_shows_a_higher_mark(self) -> None:
        first = start().get_own("own")
        second = start(Durable("own", runs=first.runs), seed=2).get_own("own")
        self.assertTrue(second.includes(first))
        self.assertFalse(first.includes(second))

    def test_the_mark_grows_with_the_log(self) -> None:
        own = start()
        before = own.get_own("own")
        self.assertFalse(own.needs_mark(MARK_ENTRIES - 1))
        self.assertTrue(own.needs_mark(MARK_ENTRIES))
        own.raise_mark(MARK_ENTRIES)
        self.assertFalse(own.needs_mark(MARK_ENTRIES))
        self.assertTrue(own.get_own("own").includes(before))
        self.assertFalse(before.includes(own.get_own("own")))

    def test_a_disk_that_went_back_is_found_out(self) -> None:
        own = start()
        self.assertTrue(own.note(LATER))
        self.assertEqual(own.find_newer(EARLY), LATER)
        self.assertIsNone(own.find_newer(LATER))
        self.assertIsNone(own.find_newer(Standing("y", (Run("r", 0),))))

    def test_the_same_standing_again_is_no_news(self) -> None:
        own = start()
        self.assertTrue(own.note(EARLY))
        self.assertFalse(own.note(EARLY))
        self.assertTrue(own.note(LATER))

    def test_what_the_leader_saw_is_taken_over_but_never_an_older_mark(self) -> None:
        own = start()
        others = [LATER, Standing("y", (Run("q", 2),)), Standing("own", (Run("z", 9),))]
        self.assertTrue(own.learn(others, "own"))
        self.assertEqual(set(own.get_seen()), {"x", "y"})
        self.assertFalse(own.learn([EARLY], "own"))
        self.assertEqual(own.get_seen()["x"], LATER)
