"""Tests of the ledger: each loss has one cause, and what is missing adds up."""

import unittest

import orjson

from daleroad.explain import LogLine, parse_lines
from daleroad.runs import StreamEnd
from tools.ledger import Cause, Loss, find_losses, render_losses, render_worth


def say(time: float, event: str, request: str, **fields: object) -> str:
    line = {"time": time, "event": f"D300 {event}", "request": request, **fields}
    return f"  {time:.4f} gateway-a {orjson.dumps(line).decode()}"


def read(*lines: str) -> list[LogLine]:
    return list(parse_lines("log", lines))


def begin(time: float, request: str, late: bool = False) -> str:
    return say(time, "STREAM_BEGUN", request, kind="stream", late=late, seconds=0.5, status=200)


def end(time: float, request: str, outcome: StreamEnd = StreamEnd.WHOLE, **fields: object) -> str:
    said = {"outcome": outcome.value, "reason": "", "paused": False, "seconds": 4.0, **fields}
    return say(time, "STREAM_ENDED", request, **said)


class LedgerTest(unittest.TestCase):
    def find(self, *lines: str) -> dict[str, Loss]:
        return {loss.request: loss for loss in find_losses(read(*lines))}

    def test_each_stream_that_went_wrong_has_one_cause(self) -> None:
        found = self.find(
            begin(1.0, "good"),
            begin(1.1, "cut"),
            begin(1.2, "killed"),
            begin(1.3, "late", late=True),
            begin(1.4, "paused"),
            begin(1.5, "left"),
            begin(1.6, "stopped"),
            begin(1.7, "over"),
            end(5.0, "good"),
            end(5.1, "cut", StreamEnd.UPSTREAM, reason="ReadError(ReadError())"),
            end(5.3, "late", paused=True),
            end(5.4, "paused", paused=True),
            end(5.5, "left", StreamEnd.CLIENT),
            end(5.6, "stopped", StreamEnd.STOP),
            end(5.7, "over", StreamEnd.DEADLINE),
        )
        causes = {request: loss.cause for request, loss in found.items()}
        expected = {
            "cut": Cause.CUT,
            "killed": Cause.GATEWAY,
            "late": Cause.LATE,
            "paused": Cause.PAUSED,
            "left": Cause.LEFT,
            "stopped": Cause.STOPPED,
            "over": Cause.OVER,
        }
        self.assertEqual(causes, expected)
        self.assertEqual(found["cut"].reason, "ReadError")
        # A stream counts from when its request came, half a second before its first output.
        self.assertAlmostEqual(found["killed"].time, -0.3)

    def test_answers_are_told_apart(self) -> None:
        plain = {"kind": "idempotent", "seconds": 0.1}
        refused = {**plain, "reason": "no upstream is available", "ran": "no"}
        found = self.find(
            say(1.0, "REQUEST_ANSWERED", "good", status=200, late=False, **plain),
            say(1.1, "REQUEST_ANSWERED", "slow", status=200, late=True, **plain),
            say(1.2, "REQUEST_ANSWERED", "broken", status=500, late=False, **plain),
            say(1.3, "REQUEST_REFUSED", "refused", **refused),
            say(1.4, "REQUEST_REFUSED", "lost", **{**refused, "ran": "unknown"}),
        )
        causes = {request: loss.cause for request, loss in found.items()}
        expected = {
            "slow": Cause.LATE,
            "broken": Cause.UPSTREAM,
            "refused": Cause.REFUSED,
            "lost": Cause.FAILED,
        }
        self.assertEqual(causes, expected)

    def test_the_tables_name_kind_cause_and_span(self) -> None:
        losses = [
            Loss("a", 1.0, "stream", Cause.GATEWAY),
            Loss("b", 1.5, "stream", Cause.GATEWAY),
            Loss("c", 6.1, "once", Cause.REFUSED, "no upstream is available"),
        ]
        text = "\n".join(render_losses(losses))
        self.assertIn("stream           2  its gateway ended with the stream on it", text)
        self.assertIn("once             1  refused: no upstream is available", text)
        self.assertIn("          0  2 gateway", text)
        self.assertIn("          6  1 refused", text)

    def test_what_is_missing_adds_up(self) -> None:
        parts = [["whole day", 0.4, 0.75], ["nines", 0.6, 0.5]]
        group = {"name": "c", "n": 10, "in_aim": 7, "late": 1, "not_owed": 1}
        prices = [["processor seconds", 10.0, 0.05], ["probes", 1.0, 0.0001]]
        report = {"G": 0.55, "parts": parts, "prices": prices, "classes": [group]}
        lines = list(render_worth(report))
        missing = [float(line.split()[0]) for line in lines[1:4]]
        self.assertAlmostEqual(sum(missing), 1 - report["G"])
        self.assertIn("c: 2 of 10 not in aim, 1 late", lines[-1])
