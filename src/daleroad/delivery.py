"""Parses an engine's event stream and delivers each token once and in order. Does no I/O."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum, auto

UNDELIVERED_BYTES = 1_000_000
"""A response in which so much comes between two tokens to deliver is given up."""


@dataclass(frozen=True)
class Frame:
    """One event of an engine's stream.

    :param generation: id of the generation; empty for an event without a valid id.
    :param index: index of the token, or the token count on the end frame; -1 without a valid id.
    :param raw: the event as received, without its terminating empty line.
    :param end: whether this frame ends the generation.
    """

    generation: str
    index: int
    raw: bytes
    end: bool = False


class FrameAction(Enum):
    """How to handle a frame."""

    DELIVER = auto()
    DROP = auto()
    GAP = auto()
    END = auto()


@dataclass
class TokenSequence:
    """Tracks the position in one generation's token sequence.

    :param generation: id of the only generation whose tokens are delivered.
    :param next_index: index of the next token to deliver.
    """

    generation: str
    next_index: int = 0

    def accept(self, frame: Frame) -> FrameAction:
        """Return how to handle a frame, and advance if it is delivered.

        :param frame: the frame.
        """
        if frame.end:
            return self._judge_end(frame)
        if frame.generation != self.generation or frame.index < self.next_index:
            return FrameAction.DROP
        if frame.index > self.next_index:
            return FrameAction.GAP
        self.next_index += 1
        return FrameAction.DELIVER

    def _judge_end(self, frame: Frame) -> FrameAction:
        if frame.generation != self.generation:
            return FrameAction.DROP
        # The end frame carries the token count, so a higher count means that tokens are missing.
        return FrameAction.END if frame.index <= self.next_index else FrameAction.GAP


def split_events(buffer: bytearray, chunk: bytes) -> Iterator[bytes]:
    """Yield the events that a chunk completes; an incomplete one stays in the buffer.

    :param buffer: data of an incomplete event.
    :param chunk: newly received data.
    """
    buffer += chunk
    *events, incomplete = buffer.split(b"\n\n")
    buffer[:] = incomplete
    yield from (bytes(event) for event in events if event)


def parse_frames(events: Iterable[bytes]) -> Iterator[Frame]:
    """Parse events into frames; only the id line is read.

    :param events: complete events, without their terminating empty line.
    """
    for event in events:
        yield _parse_frame(event)


def _parse_frame(event: bytes) -> Frame:
    end = event.startswith(b"event: end\n")
    line = event[11:] if end else event
    if not line.startswith(b"id: "):
        return Frame("", -1, event)
    line_end = line.find(b"\n")
    generation, _, index = line[4 : line_end if line_end >= 0 else len(line)].rpartition(b":")
    if not index.isdigit():
        return Frame("", -1, event)
    return Frame(generation.decode("ascii", "replace"), int(index), event, end)
