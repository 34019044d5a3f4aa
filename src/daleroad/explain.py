"""Tells a request's story from the logs of several processes.

Each line of a log may have a prefix, for example the name of its process; what follows from the
first brace on is one line of JSON. What a process believed when it decided is told by the newest
lines before that which changed its configuration, its fleet or its view of the coordinators.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import orjson

_BELIEFS = (
    "CONFIG_IN_FORCE",
    "COORDINATOR_LOST",
    "COORDINATOR_REGAINED",
    "LEASE_LOST",
    "LEASE_GAINED",
    "STARTED",
)
_HIDDEN = ("time", "event", "level", "request")


@dataclass(frozen=True)
class LogLine:
    """One line of a log.

    :param source: the file, and the prefix before the JSON.
    :param event: number and name of the event.
    """

    time: float
    source: str
    event: str
    fields: dict[str, Any]

    @property
    def name(self) -> str:
        """The event's name without its number."""
        return self.event.partition(" ")[2]


def parse_lines(file: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured lines of a log; others are passed over.

    :param file: its name.
    :param lines: its lines.
    """
    for line in lines:
        prefix, brace, rest = line.partition("{")
        try:
            fields = orjson.loads(brace + rest)
        except orjson.JSONDecodeError:
            continue
        if "event" in fields and "time" in fields:
            # The prefix may begin with a time of its own; the process's name is its last word.
            words = prefix.split()
            source = words[-1] if words else file
            yield LogLine(fields["time"], source, fields["event"], fields)


def explain(request: str, lines: Iterable[LogLine]) -> Iterator[str]:
    """Yield a request's story, a line each, in the order of time.

    :param request: its id.
    :param lines: the lines of all logs at hand.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    own = [line for line in ordered if line.fields.get("request") == request]
    if not own:
        yield f"no line names {request}: it reached none of these processes, or lines were left out"
        return
    start = own[0].time
    upstreams = {str(line.fields.get("upstream") or line.fields.get("to", "")) for line in own}
    yield from _tell_beliefs(ordered, own[0], start)
    for line in ordered:
        of_upstream = line.source == own[0].source and line.fields.get("id") in upstreams
        if of_upstream or line.fields.get("request") == request:
            yield _tell(line, start)
    if own[-1].name in ("ATTEMPT_FAILED", "STREAM_BEGUN", "STREAM_MOVED"):
        yield "the story has no end: its process died, or lines were left out"


def _tell_beliefs(ordered: list[LogLine], first: LogLine, start: float) -> Iterator[str]:
    """Yield what the process that took the request believed by then."""
    newest: dict[str, LogLine] = {}
    for line in ordered:
        if line.time <= start and line.source == first.source and line.name in _BELIEFS:
            if line.name == "STARTED":
                # A process that starts anew believes nothing of what it did before.
                newest.clear()
            newest[line.name + str(line.fields.get("name", ""))] = line
    for line in sorted(newest.values(), key=lambda found: found.time):
        yield _tell(line, start)


def _tell(line: LogLine, start: float) -> str:
    said = " ".join(f"{k}={v}" for k, v in line.fields.items() if k not in _HIDDEN)
    return f"{line.time - start:+9.3f} s  {line.source}  {line.event}  {said}"
