"""Detection of stalls, periods in which this process did not run.

A process that was suspended, frozen or starved reads afterwards what arrived meanwhile, and that
looks as if it had just been sent.

Does no I/O; the caller passes in the time.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from daleroad.defaults import LOOP_STALL_SECONDS

BACKLOG_TURNS = 3
"""Turns of the event loop after which all input of a stall has been read: a connection is accepted,
its bytes are received, and its request is handled."""


@dataclass(frozen=True)
class _Stall:
    """A stall that is over. Its input may be read until a time and a turn have both passed.

    :param seconds: its length.
    :param until: the time.
    :param last_turn: number of the turn.
    """

    seconds: float
    until: float
    last_turn: int


class StallDetector:
    """Detects stalls by the turns of a periodic task that come late."""

    def __init__(self) -> None:
        self._last_turn_at = float("inf")
        self._turn = 0
        self._stalls: tuple[_Stall, ...] = ()

    def note_turn(self, now: float) -> None:
        """Record a turn of the periodic task.

        :param now: the current time.
        """
        late_seconds = now - self._last_turn_at
        self._turn += 1
        self._last_turn_at = now
        self._stalls = tuple(self._list_recent(now))
        if late_seconds > LOOP_STALL_SECONDS:
            last_turn = self._turn + BACKLOG_TURNS
            self._stalls += (_Stall(late_seconds, now + LOOP_STALL_SECONDS, last_turn),)

    def _list_recent(self, now: float) -> Iterator[_Stall]:
        """Yield the stalls whose input may still be read."""
        for stall in self._stalls:
            if now < stall.until or self._turn < stall.last_turn:
                yield stall

    def get_backlog_seconds(self, now: float) -> float:
        """Return how long input that is read now may have waited for this process, in seconds.

        :param now: the current time.
        """
        late_seconds = now - self._last_turn_at
        current = late_seconds if late_seconds > LOOP_STALL_SECONDS else 0.0
        return max(current, *(stall.seconds for stall in self._list_recent(now)), 0.0)
