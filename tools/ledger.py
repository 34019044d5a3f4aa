"""Tells what was lost on a stretch of service, and why, from the processes' logs.

Usage: python tools/ledger.py LOG... [--report=REPORT.json]

Each request that was not answered as its route hopes has one line's cause. With a report of what
clients got, the worth that is missing is listed by part and price, so that it adds up to one.
"""

import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

import fire

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from daleroad.explain import LogLine, parse_lines
from daleroad.runs import StreamEnd

SPAN_SECONDS = 2
"""Length of the spans by which losses are listed."""

_SERVER_ERROR = 500


class Cause(StrEnum):
    """Why a request was lost or late."""

    GATEWAY = "its gateway ended with the stream on it"
    CUT = "its engine ended, and nothing could go on"
    LEFT = "its client left before the end"
    STOPPED = "its gateway was stopped before its end"
    OVER = "its time was over before its end"
    UPSTREAM = "the upstream's own failure"
    REFUSED = "refused"
    FAILED = "failed here"
    LATE = "late first output"
    PAUSED = "late by a pause"


@dataclass(frozen=True)
class Loss:
    """One request that was lost or late.

    :param time: seconds from the first line of the logs to its beginning.
    :param kind: what may be repeated of it.
    :param reason: what the log says beside the cause.
    """

    request: str
    time: float
    kind: str
    cause: Cause
    reason: str = ""


def find_losses(lines: Iterable[LogLine]) -> Iterator[Loss]:
    """Yield the requests that were lost or late, in the order of their ends.

    :param lines: the lines of all gateways' logs.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    origin = ordered[0].time if ordered else 0.0
    begun: dict[str, LogLine] = {}
    for line in ordered:
        request = str(line.fields.get("request", ""))
        match line.name:
            case "STREAM_BEGUN":
                begun[request] = line
            case "STREAM_ENDED":
                head = begun.pop(request, None)
                if head is not None:
                    yield from _judge_stream(head, line, origin)
            case "REQUEST_ANSWERED" | "REQUEST_REFUSED":
                yield from _judge_answer(line, origin)
    for head in begun.values():
        yield _make_loss(head, origin, Cause.GATEWAY)


def _judge_stream(head: LogLine, end: LogLine, origin: float) -> Iterator[Loss]:
    reason = str(end.fields.get("reason", "")).partition("(")[0]
    match StreamEnd(end.fields["outcome"]):
        case StreamEnd.CLIENT:
            yield _make_loss(head, origin, Cause.LEFT)
        case StreamEnd.STOP:
            yield _make_loss(head, origin, Cause.STOPPED)
        case StreamEnd.DEADLINE:
            yield _make_loss(head, origin, Cause.OVER)
        case StreamEnd.UPSTREAM:
            yield _make_loss(head, origin, Cause.CUT, reason)
        case StreamEnd.WHOLE if head.fields.get("late"):
            yield _make_loss(head, origin, Cause.LATE)
        case StreamEnd.WHOLE if end.fields.get("paused"):
            yield _make_loss(head, origin, Cause.PAUSED)


def _judge_answer(line: LogLine, origin: float) -> Iterator[Loss]:
    fields = line.fields
    if line.name == "REQUEST_REFUSED":
        cause = Cause.REFUSED if fields.get("ran") == "no" else Cause.FAILED
        yield _make_loss(line, origin, cause, str(fields["reason"]).partition("(")[0])
    elif fields["status"] >= _SERVER_ERROR:
        yield _make_loss(line, origin, Cause.UPSTREAM)
    elif fields.get("late"):
        yield _make_loss(line, origin, Cause.LATE)


def _make_loss(line: LogLine, origin: float, cause: Cause, reason: str = "") -> Loss:
    fields = line.fields
    began = line.time - float(fields.get("seconds", 0.0)) - origin
    # Names of upstreams and paths would make a line of each.
    words = " ".join(word for word in reason.split() if word.isalpha())
    return Loss(str(fields["request"]), began, str(fields.get("kind", "unrouted")), cause, words)


def render_losses(losses: Iterable[Loss]) -> Iterator[str]:
    """Yield a table of causes by kind, and one of spans by cause.

    :param losses: the losses.
    """
    found = list(losses)
    causes = Counter((loss.kind, loss.cause.value, loss.reason) for loss in found)
    yield f"{'kind':<12}{'lost':>6}  cause"
    for (kind, cause, reason), count in causes.most_common():
        yield f"{kind:<12}{count:>6}  {cause}{': ' + reason if reason else ''}"
    spans: dict[int, Counter[str]] = defaultdict(Counter)
    for loss in found:
        spans[int(loss.time // SPAN_SECONDS) * SPAN_SECONDS][loss.cause.name.lower()] += 1
    yield ""
    yield "from second  lost"
    for start in sorted(spans):
        yield f"{start:>11}  " + ", ".join(f"{n} {name}" for name, n in spans[start].most_common())


def render_worth(report: dict) -> Iterator[str]:
    """Yield what is missing of a worth of one, by part and price.

    :param report: what clients got: ``G``, ``parts`` (name, weight, value) and ``prices`` (name,
        amount, worth), as JSON.
    """
    yield f"{'missing':>8}  of 1.000; worth {report['G']:.3f}"
    for name, weight, value in report["parts"]:
        yield f"{weight * (1 - value):>8.3f}  {name}: {value:.3f}, weighs {weight:g}"
    for name, amount, worth in report["prices"]:
        if abs(worth) >= 0.0005:
            yield f"{worth:>8.3f}  price of {name}: {amount:g}"
    for group in report["classes"]:
        missing = group["n"] - group["not_owed"] - group["in_aim"]
        name, late = group["name"], group["late"]
        yield f"{'':>8}  {name}: {missing} of {group['n']} not in aim, {late} late"


def read_logs(paths: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured lines of log files.

    :param paths: the files.
    """
    for path in paths:
        with Path(path).open(encoding="utf-8", errors="replace") as file:
            yield from parse_lines(path, file)


def main(*logs: str, report: str = "") -> None:
    """Print the ledger.

    :param logs: the processes' logs.
    :param report: a report of what clients got, if there is one.
    """
    if report:
        found = json.loads(Path(report).read_text(encoding="utf-8"))
        print("\n".join(render_worth(found)), end="\n\n")
    print("\n".join(render_losses(find_losses(read_logs(logs)))))


if __name__ == "__main__":
    fire.Fire(main)
