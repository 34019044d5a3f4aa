"""One generation, each token once and in order. Pure."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum, auto


@dataclass(frozen=True)
class Frame:
    """One event of an engine's stream.

    :param generation: the generation it belongs to; empty on the end frame and on comments.
    :param index: index of the token.
    :param raw: the event as it came, without the empty line behind it.
    :param end: whether this is the end of the whole generation.
    """

    generation: str
    index: int
    raw: bytes
    end: bool = False


class Verdict(Enum):
    """What to do with a frame."""

    DELIVER = auto()
    DROP = auto()
    GAP = auto()
    END = auto()


@dataclass
class Delivery:
    """Where one generation's delivery stands.

    :param generation: the only generation whose tokens are delivered.
    :param next_index: index of the token that comes next.
    """

    generation: str
    next_index: int = 0

    def judge(self, frame: Frame) -> Verdict:
        """Return what to do with a frame, and move on if it is delivered.

        :param frame: the frame.
        """
        if frame.end:
            return self._judge_end(frame)
        if frame.generation != self.generation or frame.index < self.next_index:
            return Verdict.DROP
        if frame.index > self.next_index:
            return Verdict.GAP
        self.next_index += 1
        return Verdict.DELIVER

    def _judge_end(self, frame: Frame) -> Verdict:
        if frame.generation != self.generation:
            return Verdict.DROP
        # The end names the count of tokens, so an end that overtook tokens is a gap.
        return Verdict.END if frame.index <= self.next_index else Verdict.GAP


def split_events(buffer: bytearray, chunk: bytes) -> Iterator[bytes]:
    """Yield the whole events that a chunk completes; the rest stays in the buffer.

    :param buffer: what came before and is not whole.
    :param chunk: what came now.
    """
    buffer += chunk
    *events, rest = buffer.split(b"\n\n")
    buffer[:] = rest
    yield from (bytes(event) for event in events if event)


def parse_frames(events: Iterable[bytes]) -> Iterator[Frame]:
    """Yield events as frames; only the id line is read.

    :param events: whole events, without the empty line.
    """
    for event in events:
        yield _parse_frame(event)


def _parse_frame(event: bytes) -> Frame:
    end = event.startswith(b"event: end\n")
    line = event[11:] if end else event
    if not line.startswith(b"id: "):
        return Frame("", -1, event)
    stop = line.find(b"\n")
    generation, _, index = line[4 : stop if stop >= 0 else len(line)].rpartition(b":")
    if not index.isdigit():
        return Frame("", -1, event)
    return Frame(generation.decode("ascii", "replace"), int(index), event, end)
