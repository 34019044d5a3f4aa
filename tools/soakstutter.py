"""Upstreams of a soak that stutter: bytes that belong to no request, or responses without end.

In drawn windows of time some responses are sent twice, at once or when the next request has come,
whole or cut inside their heads; others have junk behind them, break off, or go on for a while. Some
requests fail there, and some are rejected without their attempt id, so that a response which is
taken for another one's shows.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import NoReturn

import anyio
from anyio.abc import ByteSendStream

GAP_SECONDS = (0.2, 2.0)
SPAN_SECONDS = (1.0, 4.0)
STUTTER_SHARE, FAILURE_SHARE = 0.25, 0.35
REJECTING_WINDOWS_SHARE = 0.4

MOST_JUNK_BYTES, ENDLESS_PIECE_BYTES = 60, 16_000
ENDLESS_SECONDS, ENDLESS_PAUSE_SECONDS = 1.5, 0.005


class Stutter(StrEnum):
    """What happens to a response."""

    TWICE = "twice"
    LATE = "again before the next response"
    CUT_LATE = "again before the next response, cut inside the head"
    JUNK = "junk behind it"
    HEAD_CUT = "cut in the head"
    BODY_CUT = "cut in the body"
    ENDLESS_HEAD = "head without end"
    ENDLESS_BODY = "body without end"


BROKEN_OFF = (Stutter.HEAD_CUT, Stutter.BODY_CUT, Stutter.ENDLESS_HEAD, Stutter.ENDLESS_BODY)
REJECTED = (None, Stutter.TWICE, Stutter.LATE)
"""What happens to rejections without an attempt id."""


@dataclass(frozen=True)
class Window:
    """A time in which an upstream stutters, in seconds from the beginning of the plan."""

    begin: float
    end: float
    stutter: Stutter
    rejects: bool


def plan_windows(random: Random, first: float, last: float) -> Iterator[Window]:
    """Yield the windows of an upstream in order, between two times."""
    # Copies that are cut look most like another response.
    kinds = [*Stutter, Stutter.LATE, Stutter.CUT_LATE, Stutter.CUT_LATE]
    end = first
    while True:
        begin = end + random.uniform(*GAP_SECONDS)
        end = begin + random.uniform(*SPAN_SECONDS)
        rejects = random.random() < REJECTING_WINDOWS_SHARE
        window = Window(round(begin, 2), round(end, 2), random.choice(kinds), rejects)
        if end > last:
            return
        yield window


class Stutters:
    """Which responses of one upstream stutter.

    :ivar began: when the plan began, on the event loop's clock.
    :ivar count: how many did.
    """

    def __init__(self, random: Random | None = None, windows: tuple[Window, ...] = ()) -> None:
        self.random = random or Random(0)
        self.began = float("inf")
        self.count = 0
        self._windows = windows

    def _find(self) -> Window | None:
        now = anyio.current_time() - self.began
        return next((window for window in self._windows if window.begin <= now < window.end), None)

    def draw(self) -> Stutter | None:
        """Return what happens to the next response."""
        window = self._find()
        return window.stutter if window and self.random.random() < STUTTER_SHARE else None

    def draw_status(self) -> int:
        """Return the status for the next request, which runs unless that is a rejection."""
        window = self._find()
        if window is None or self.random.random() >= FAILURE_SHARE:
            return 200
        return self.random.choice((500, 503, 429)) if window.rejects else 500


class StutteringStream:
    """What an upstream sends on a connection. A head is sent in one piece, apart from its body.

    :ivar stutter: what happens to the response that is being sent.
    :ivar intact: whether all that was sent belongs to a response.
    """

    def __init__(self, stream: ByteSendStream, stutters: Stutters) -> None:
        self.stutter: Stutter | None = None
        self.intact = True
        self._stream = stream
        self._stutters = stutters
        self._random = stutters.random
        self._sent = b""
        self._kept = b""

    async def begin_response(self) -> None:
        """Begin the response to a request that has come, behind what was kept."""
        self.stutter = self._stutters.draw()
        kept, self._kept = self._kept, b""
        if kept:
            self.intact = False
            await self._stream.send(kept)

    async def end_response(self) -> None:
        """Send or keep what comes behind a complete response."""
        sent, self._sent = self._sent, b""
        stutter, self.stutter = self.stutter, None
        self.intact &= stutter not in (Stutter.TWICE, Stutter.JUNK)
        match stutter:
            case Stutter.TWICE:
                await self._stream.send(sent)
            case Stutter.JUNK:
                junk = self._random.randbytes(self._random.randint(1, MOST_JUNK_BYTES))
                await self._stream.send(junk)
            case Stutter.LATE:
                self._kept = sent
            case Stutter.CUT_LATE:
                self._kept = sent[: self._random.randrange(1, sent.index(b"\r\n\r\n") + 4)]
            case _:
                return
        self._stutters.count += 1

    async def send(self, item: bytes) -> None:
        """Send a part of a response."""
        first = not self._sent
        self._sent += item
        match self.stutter:
            case Stutter.HEAD_CUT if first:
                await self._break_off(item[: self._random.randrange(item.index(b"\r\n\r\n") + 4)])
            case Stutter.BODY_CUT if not first:
                await self._break_off(item[: self._random.randrange(len(item))])
            case Stutter.ENDLESS_HEAD if first:
                piece = b"x" * ENDLESS_PIECE_BYTES
                if self._random.random() < 0.5:
                    piece = b"X-More: 1\r\n" * (ENDLESS_PIECE_BYTES // 11)
                await self._go_on(item[: item.index(b"\r\n\r\n") + 2] + b"X-First: ", piece)
            case Stutter.ENDLESS_BODY if first:
                head, _, rest = item.partition(b"Content-Length:")
                if rest:
                    rest = b"Transfer-Encoding: chunked" + rest[rest.index(b"\r\n") :]
                await self._stream.send(head + rest)
            case Stutter.ENDLESS_BODY:
                piece = b"x" * ENDLESS_PIECE_BYTES
                await self._go_on(b"", b"%x\r\n%s\r\n" % (len(piece), piece))
            case _:
                await self._stream.send(item)

    async def _go_on(self, begin: bytes, piece: bytes) -> NoReturn:
        with anyio.move_on_after(ENDLESS_SECONDS):
            await self._stream.send(begin)
            while True:
                await self._stream.send(piece)
                await anyio.sleep(ENDLESS_PAUSE_SECONDS)
        await self._break_off(b"")

    async def _break_off(self, last: bytes) -> NoReturn:
        self._stutters.count += 1
        if last:
            await self._stream.send(last)
        await self.aclose()
        raise anyio.ClosedResourceError

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()
