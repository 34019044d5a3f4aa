"""Tests of when a process returns free memory to the system."""

import unittest

from daleroad.freememory import (
    GROWTH_BYTES,
    REPEAT_SECONDS,
    MemoryTrimmer,
    read_resident_bytes,
    trim_memory,
)

BASE = 40_000_000


class MemoryTrimmerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.used = self.resident = BASE
        self.trims = 0
        self.trimmer = MemoryTrimmer(lambda: self.resident, self.trim)

    def trim(self) -> None:
        self.trims += 1
        self.resident = self.used

    def test_memory_of_a_crowd_that_has_left_comes_back(self) -> None:
        self.resident = BASE + 2 * GROWTH_BYTES
        self.trimmer.check(0.0)
        self.assertEqual((self.trims, self.resident), (1, BASE))

    def test_little_growth_is_not_worth_it(self) -> None:
        self.resident = BASE + GROWTH_BYTES - 1
        self.trimmer.check(0.0)
        self.assertEqual(self.trims, 0)

    def test_memory_in_use_is_looked_at_seldom(self) -> None:
        self.used = self.resident = BASE + 2 * GROWTH_BYTES
        for now in range(0, int(REPEAT_SECONDS), 5):
            self.trimmer.check(float(now))
        self.assertEqual(self.trims, 1)
        self.used = BASE
        self.trimmer.check(REPEAT_SECONDS)
        self.assertEqual((self.trims, self.resident), (2, BASE))

    def test_further_growth_is_looked_at_at_once(self) -> None:
        self.used = self.resident = BASE + 2 * GROWTH_BYTES
        self.trimmer.check(0.0)
        self.resident += GROWTH_BYTES
        self.trimmer.check(5.0)
        self.assertEqual(self.trims, 2)

    def test_this_process_can_do_both(self) -> None:
        self.assertGreater(read_resident_bytes(), 0)
        trim_memory()


if __name__ == "__main__":
    unittest.main()
