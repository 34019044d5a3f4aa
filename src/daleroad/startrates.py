"""How many prompts of a service start per second, to foresee how long others wait.

Does no I/O; the caller passes in the time.
"""

from math import exp, sqrt

RATE_WINDOW_SECONDS = 5.0
"""Time in which what is known of a service's starts fades to a third; some lengths of a prompt's
wait, so that the rate follows engines that come and go within what callers wait."""

WAITING_KEPT_SECONDS = 0.6
"""How long a prompt is taken as waiting after it was last asked about; each is asked about several
times a second."""

MIN_STARTS = 4.0
MIN_WAITED_SECONDS = 1.0
"""Starts, or time in which prompts waited, from which the rate counts as known. In one second even
a single engine reads two prompts."""


class StartRate:
    """How many prompts of a service start per second while others wait.

    Starts while none waits tell what callers demand rather than what engines can serve, so they are
    not counted. Starts and the time in which prompts waited both fade; without any start the rate
    falls as the time grows.
    """

    def __init__(self) -> None:
        self._starts = 0.0
        self._seconds = 0.0
        self._at = 0.0
        self._waiting = 0
        self._waiting_until = 0.0

    def note_waiting(self, waiting: int, now: float) -> None:
        """Record that so many prompts wait at least.

        :param waiting: their number.
        :param now: the time.
        """
        self._advance(now)
        self._waiting = max(self._waiting, waiting)
        self._waiting_until = now + WAITING_KEPT_SECONDS

    def note_start(self, now: float) -> None:
        """Record that a prompt started.

        :param now: the time.
        """
        self._advance(now)
        if self._waiting:
            self._waiting -= 1
            self._starts += 1

    def get_rate(self, now: float) -> float:
        """Return the starts per second, infinite if too little is known.

        One start more than was seen is assumed: the next is about to come, after as long as the
        last took at the latest.

        :param now: the time.
        """
        self._advance(now)
        if self._starts < MIN_STARTS and self._seconds < MIN_WAITED_SECONDS:
            return float("inf")
        return (self._starts + 1) / self._seconds if self._seconds else float("inf")

    def get_highest_rate(self, now: float) -> float:
        """Return the highest rate that the starts seen allow; they vary by their square root.

        :param now: the time.
        """
        rate = self.get_rate(now)
        return rate * (self._starts + 1 + sqrt(self._starts)) / (self._starts + 1)

    def foresee_wait(self, ahead: float, now: float) -> float:
        """Return the seconds until a prompt starts.

        :param ahead: prompts that go before it.
        :param now: the time.
        """
        return (ahead + 1) / self.get_rate(now)

    def _advance(self, now: float) -> None:
        elapsed = max(0.0, now - self._at)
        if not elapsed:
            return
        fading = exp(-elapsed / RATE_WINDOW_SECONDS)
        waited = min(now, self._waiting_until) - self._at if self._waiting else 0.0
        self._starts *= fading
        self._seconds = self._seconds * fading + max(0.0, waited)
        self._at = now
        if now >= self._waiting_until:
            self._waiting = 0
