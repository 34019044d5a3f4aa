"""Tests of the story that logs tell of a request."""

import unittest

from daleroad.explain import explain, parse_lines
from daleroad.logs import make_line


def make_log(*entries: tuple[float, str, dict]) -> list[str]:
    lines = []
    for time, name, fields in entries:
        lines.append(f"  {time} vm-1 " + make_line(1, name, "info", {**fields, "time": time}))
    return [line + "\n" for line in lines]


class ExplainTest(unittest.TestCase):
    def tell(self, request: str, lines: list[str]) -> list[str]:
        return list(explain(request, parse_lines("file", lines)))

    def test_the_story_is_in_order_with_what_was_believed(self) -> None:
        lines = make_log(
            (3.0, "REQUEST_REFUSED", {"request": "a", "reason": "no upstream"}),
            (2.0, "ATTEMPT_FAILED", {"request": "a", "upstream": "i-1"}),
            (1.0, "CONFIG_IN_FORCE", {"version": 4}),
            (0.5, "CONFIG_IN_FORCE", {"version": 3}),
            (2.5, "UPSTREAM_LEFT", {"id": "i-1"}),
            (2.6, "UPSTREAM_LEFT", {"id": "i-2"}),
            (2.7, "REQUEST_REFUSED", {"request": "b"}),
        )
        told = self.tell("a", lines)
        self.assertEqual(len(told), 4)
        self.assertIn("version=4", told[0])
        self.assertIn("ATTEMPT_FAILED", told[1])
        self.assertIn("UPSTREAM_LEFT", told[2])
        self.assertIn("+1.000 s  vm-1", told[3])

    def test_a_story_without_an_end_says_so(self) -> None:
        told = self.tell("a", make_log((1.0, "STREAM_BEGUN", {"request": "a"})))
        self.assertIn("no end", told[-1])

    def test_a_process_that_started_anew_believes_nothing_old(self) -> None:
        lines = make_log(
            (1.0, "CONFIG_IN_FORCE", {"version": 4}),
            (2.0, "STARTED", {}),
            (3.0, "REQUEST_REFUSED", {"request": "a"}),
        )
        self.assertEqual(["STARTED" in told for told in self.tell("a", lines)], [True, False])

    def test_a_request_that_nobody_saw(self) -> None:
        (told,) = self.tell("x", ["not json\n", "{broken\n", *make_log((1.0, "STARTED", {}))])
        self.assertIn("no line names x", told)
