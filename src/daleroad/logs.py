"""Structured log lines: JSON on standard output, bounded, and never waited for.

A line that would exceed its event's rate, or that a full pipe doesn't take, is left out and
counted; the count is logged once there is room again.
"""

import os
import stat
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from logging import Filter, Formatter, LogRecord, StreamHandler, getLogger

import orjson
from absl import logging

LINES_SECOND = 50.0
"""Lines of one event a second; several times what a busy gateway has to say of requests."""

LINES_BURST = 200.0
"""Lines of one event at once after quiet; a whole fleet joins in one burst."""

BUFFER_BYTES = 65_536
"""Bytes kept while the reader of standard output is slow; the usual size of a pipe."""


@dataclass
class LineBudget:
    """Limits the lines of each event. Does no I/O; the caller passes in the time.

    :param rate: lines a second.
    :param burst: lines saved up at most.
    """

    rate: float = LINES_SECOND
    burst: float = LINES_BURST
    _left: dict[str, tuple[float, float]] = field(default_factory=dict)
    _dropped: dict[str, int] = field(default_factory=dict)

    def take(self, event: str, now: float) -> int | None:
        """Return how many lines of an event were left out before this one, or nothing if it is too.

        :param event: the event's name.
        :param now: the time.
        """
        left, at = self._left.get(event, (self.burst, now))
        left = min(self.burst, left + (now - at) * self.rate)
        if left < 1:
            self._left[event] = (left, now)
            self._dropped[event] = self._dropped.get(event, 0) + 1
            return None
        self._left[event] = (left - 1, now)
        return self._dropped.pop(event, 0)


class BoundedOutput:
    """A text stream that never blocks: what its reader doesn't take in time is left out.

    :param descriptor: the file descriptor to write to.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting = bytearray()
        self.left_out = 0
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write text or keep it for later; a line that does not fit is left out whole.

        :param text: whole lines.
        """
        data = text.encode()
        if len(self._waiting) + len(data) > BUFFER_BYTES:
            self._drain()
        if len(self._waiting) + len(data) > BUFFER_BYTES:
            self.left_out += 1
            return len(text)
        self._waiting += data
        self._drain()
        return len(text)

    def flush(self) -> None:
        """Write what the reader takes now."""
        self._drain()

    def _drain(self) -> None:
        try:
            while self._waiting:
                written = os.write(self._descriptor, self._waiting)
                del self._waiting[:written]
        except BlockingIOError:
            # The reader is slow; the rest waits for the next line.
            return
        except OSError:
            # Nobody reads any more, and there is nowhere to say so.
            self._waiting.clear()


_EVENT_LOGGER = "absl"


class LibraryFilter(Filter):
    """Limits the lines of each library, as those of each event are."""

    def __init__(self) -> None:
        super().__init__()
        self._budget = LineBudget()

    def filter(self, record: LogRecord) -> bool:
        """Return whether a line is kept."""
        if record.name == _EVENT_LOGGER:
            return True
        dropped = self._budget.take(record.name, time.monotonic())
        if dropped:
            record.msg = f"{record.msg} ({dropped} lines left out before)"
        return dropped is not None


class _PlainFormatter(Formatter):
    """Leaves lines that are JSON already as they are; wraps what libraries log."""

    def format(self, record: LogRecord) -> str:
        text = record.getMessage()
        if text.startswith("{"):
            return text
        if record.exc_info:
            text = f"{text} {self.formatException(record.exc_info)}"
        line = {"time": time.time(), "level": record.levelname, "from": record.name, "text": text}
        return orjson.dumps(line).decode()


def set_up_logs(clean: Callable[[], None] | None = None) -> BoundedOutput:
    """Let all log lines go to standard output as JSON.

    :param clean: called before the first line, for example to silence libraries.
    """
    if clean is not None:
        clean()
    output = BoundedOutput(sys.stdout.fileno())
    handler: StreamHandler[BoundedOutput] = StreamHandler(output)
    handler.setFormatter(_PlainFormatter())
    handler.addFilter(LibraryFilter())
    root = getLogger()
    root.handlers = [handler]
    logging.set_verbosity(logging.INFO)
    return output


def make_line(number: int, name: str, level: str, fields: dict[str, object]) -> str:
    """Return a log line.

    :param number: the event's number.
    :param name: the event's name.
    :param level: its level.
    :param fields: what to say of it.
    """
    head = {"time": round(time.time(), 6), "level": level, "event": f"D{number} {name}"}
    return orjson.dumps(head | fields, default=repr).decode()
