"""Questions and answers as bytes on a channel between two of our processes.

Each direction of a channel is one compressed stream of frames: a line with a number, a label and
the body's length, then the body. Messages repeat each other, so what was sent before makes the next
one short: 40 questions of one gateway, 283 bytes in the mean, took 32 each.

Does no I/O.
"""

import zlib
from collections.abc import Iterator
from dataclasses import dataclass

from daleroad.errors import DaleroadError, Failure, FailureKind

_LEVEL = 1
"""The fastest; more saves little on short messages that repeat each other."""

_WINDOW_BITS = 12
"""The last 4 KiB are looked through: a few messages. The usual 32 KiB would cost a coordinator with
two hundred gateways 50 MB."""

_MEMORY_LEVEL = 4
"""Memory of the compressing side: 24 KiB with this window."""

_HEAD_MOST_BYTES = 256
"""Longest line before a body; paths and statuses are short."""

_STEP_BYTES = 65_536
"""Plain bytes that are taken out of a compressed stream at a time."""


class BrokenFrameError(DaleroadError):
    """What arrived on a channel is no frame; nothing behind it can be read."""

    def __init__(self, reason: str) -> None:
        super().__init__(Failure(FailureKind.BAD_REQUEST, reason))


@dataclass(frozen=True)
class Frame:
    """One question or answer.

    :param number: which question it is, or answers.
    :param label: a question's path, or an answer's status.
    :param body: the message.
    """

    number: int
    label: str
    body: bytes


class FrameWriter:
    """Makes the bytes of one direction."""

    def __init__(self) -> None:
        self._zip = zlib.compressobj(_LEVEL, zlib.DEFLATED, -_WINDOW_BITS, _MEMORY_LEVEL)

    def pack(self, frames: list[Frame]) -> bytes:
        """Return frames as bytes that can be read without what comes behind them.

        :param frames: the frames, in order.
        """
        parts = [self._zip.compress(_make_head(frame) + frame.body) for frame in frames]
        parts.append(self._zip.flush(zlib.Z_SYNC_FLUSH))
        return b"".join(parts)


class FrameReader:
    """Finds the frames in the bytes of one direction.

    :param body_most: bytes that a body may have.
    """

    def __init__(self, body_most: int) -> None:
        self._unzip = zlib.decompressobj(-_WINDOW_BITS)
        self._body_most = body_most
        self._plain = bytearray()

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield the frames that are whole with these bytes.

        :param data: what arrived.
        :raises BrokenFrameError: when it can't be read.
        """
        while data:
            try:
                self._plain += self._unzip.decompress(data, _STEP_BYTES)
            except zlib.error as error:
                raise BrokenFrameError(f"bytes that can't be unpacked: {error}") from error
            data = self._unzip.unconsumed_tail
            while (frame := self._take()) is not None:
                yield frame

    def _take(self) -> Frame | None:
        """Return the first frame, or nothing while it is not whole."""
        head_end = self._plain.find(b"\n", 0, _HEAD_MOST_BYTES)
        if head_end < 0:
            if len(self._plain) >= _HEAD_MOST_BYTES:
                raise BrokenFrameError("a frame's head is too long")
            return None
        number, label, length = _read_head(bytes(self._plain[:head_end]))
        if length > self._body_most:
            raise BrokenFrameError(f"a body of {length} bytes")
        end = head_end + 1 + length
        if len(self._plain) < end:
            return None
        body = bytes(self._plain[head_end + 1 : end])
        del self._plain[:end]
        return Frame(number, label, body)


def _make_head(frame: Frame) -> bytes:
    return f"{frame.number} {frame.label} {len(frame.body)}\n".encode()


def _read_head(line: bytes) -> tuple[int, str, int]:
    parts = line.split(b" ")
    if len(parts) != 3 or not parts[0].isdigit() or not parts[2].isdigit():
        raise BrokenFrameError(f"not a frame's head: {line!r}")
    return int(parts[0]), parts[1].decode("latin-1"), int(parts[2])
