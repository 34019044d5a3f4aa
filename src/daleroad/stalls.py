"""Detection of stalls, periods in which this process did not run.

A process that was suspended, frozen or starved reads afterwards what arrived meanwhile, and that
looks as if it had just been sent.

Does no I/O; the caller passes in the time.
"""

from dataclasses import dataclass

from daleroad.defaults import LOOP_STALL_SECONDS


@dataclass(frozen=True)
class _Stall:
    """A stall that is over.

    :param seconds: its length, with that of a stall shortly before it.
    :param until: time until which input that arrived during the stall may be read.
    """

    seconds: float
    until: float


class StallDetector:
    """Detects stalls by the turns of a periodic task that come late."""

    def __init__(self) -> None:
        self._last_turn_at = float("inf")
        self._last_stall: _Stall | None = None

    def note_turn(self, now: float) -> None:
        """Record a turn of the periodic task.

        :param now: the current time.
        """
        if now - self._last_turn_at > LOOP_STALL_SECONDS:
            self._last_stall = _Stall(self.get_backlog_seconds(now), now + LOOP_STALL_SECONDS)
        self._last_turn_at = now

    def get_backlog_seconds(self, now: float) -> float:
        """Return how long input that is read now may have waited for this process, in seconds.

        :param now: the current time.
        """
        late_seconds = now - self._last_turn_at
        stalled_seconds = late_seconds if late_seconds > LOOP_STALL_SECONDS else 0.0
        # Input of a stall that ended shortly before another one may still be unread.
        last = self._last_stall
        if last is not None and now - stalled_seconds < last.until:
            stalled_seconds += last.seconds
        return stalled_seconds
