"""Tests of log lines: their form, their bound, and that nobody waits for them."""

import json
import os
import unittest
from logging import makeLogRecord

from daleroad.logs import (
    BUFFER_BYTES,
    LINES_BURST,
    LINES_SECOND,
    BoundedOutput,
    LibraryFilter,
    LineBudget,
    make_line,
)


class LineTest(unittest.TestCase):
    def test_a_line_is_json_with_number_and_fields(self) -> None:
        line = json.loads(make_line(320, "REQUEST_REFUSED", "info", {"request": "a", "age": 0.5}))
        self.assertEqual(line["event"], "D320 REQUEST_REFUSED")
        self.assertEqual((line["request"], line["age"]), ("a", 0.5))

    def test_values_that_are_no_json_are_written_as_text(self) -> None:
        self.assertIn("ValueError", make_line(1, "X", "info", {"reason": ValueError("x")}))


class BudgetTest(unittest.TestCase):
    def test_lines_beyond_the_rate_are_counted_and_the_count_is_told(self) -> None:
        budget = LineBudget(rate=10, burst=3)
        self.assertEqual([budget.take("e", 0.0) for _ in range(5)], [0, 0, 0, None, None])
        self.assertEqual(budget.take("other", 0.0), 0)
        self.assertEqual(budget.take("e", 0.1), 2)
        self.assertIsNone(budget.take("e", 0.1))

    def test_an_hour_of_load_stays_within_the_rate(self) -> None:
        budget = LineBudget(rate=10, burst=30)
        kept = sum(budget.take("e", step / 100) is not None for step in range(36_000))
        self.assertLessEqual(kept, 3600 + 30)


class LibraryFilterTest(unittest.TestCase):
    def test_lines_of_a_library_are_bounded_and_those_of_events_have_their_own_bound(self) -> None:
        lines = LibraryFilter()
        kept = {
            name: sum(lines.filter(makeLogRecord({"name": name, "msg": "x"})) for _ in range(5000))
            for name in ("asyncio", "absl", "httpcore")
        }
        self.assertEqual(kept["absl"], 5000)
        for name in ("asyncio", "httpcore"):
            self.assertLess(kept[name], LINES_BURST + LINES_SECOND)


class BlockedOutputTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.writer)
        self.output = BoundedOutput(self.writer)

    def test_a_reader_that_stopped_never_blocks_and_gets_whole_lines_later(self) -> None:
        line = "x" * 99 + "\n"
        for _ in range(4 * BUFFER_BYTES // 100):
            self.output.write(line)
        self.assertGreater(self.output.left_out, 0)
        got = b""
        os.set_blocking(self.reader, False)
        while True:
            try:
                got += os.read(self.reader, BUFFER_BYTES)
            except BlockingIOError:
                break
            self.output.flush()
        os.close(self.reader)
        self.assertEqual(set(got.decode().splitlines()), {"x" * 99})

    def test_a_reader_that_is_gone_is_no_error(self) -> None:
        os.close(self.reader)
        self.output.write("line\n")
        self.output.flush()
