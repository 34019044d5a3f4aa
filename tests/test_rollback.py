"""Tests of the detection of disks that were rolled back."""

import unittest
from random import Random

from daleroad.defaults import MARK_ENTRIES
from daleroad.logtypes import Durable, Run, Standing
from daleroad.rollback import RollbackDetector

OLDER = Standing("x", (Run("r", 1),))
NEWER = Standing("x", (Run("r", 5),))


def start(durable: Durable | None = None, last_index: int = 0, seed: int = 1) -> RollbackDetector:
    return RollbackDetector(durable or Durable("own"), last_index, Random(seed))


class StandingsTest(unittest.TestCase):
    def test_each_start_reports_a_higher_mark(self) -> None:
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

    def test_a_rolled_back_disk_is_detected(self) -> None:
        own = start()
        self.assertTrue(own.record(NEWER))
        self.assertEqual(own.find_rollback(OLDER), NEWER)
        self.assertIsNone(own.find_rollback(NEWER))
        self.assertIsNone(own.find_rollback(Standing("y", (Run("r", 0),))))

    def test_recording_an_unchanged_standing_reports_no_change(self) -> None:
        own = start()
        self.assertTrue(own.record(OLDER))
        self.assertFalse(own.record(OLDER))
        self.assertTrue(own.record(NEWER))

    def test_merging_the_leaders_standings_ignores_older_marks_and_the_own_disk(self) -> None:
        own = start()
        others = [NEWER, Standing("y", (Run("q", 2),)), Standing("own", (Run("z", 9),))]
        self.assertTrue(own.merge(others, "own"))
        self.assertEqual(set(own.get_seen()), {"x", "y"})
        self.assertFalse(own.merge([OLDER], "own"))
        self.assertEqual(own.get_seen()["x"], NEWER)
