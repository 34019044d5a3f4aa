"""When to try again: a budget that grows with first tries, and backoff with jitter. Pure."""

from collections import deque
from random import Random

from daleroad.defaults import (
    BACKOFF_MAX_SECONDS,
    BACKOFF_SECONDS,
    BUDGET_SAFETY,
    RETRY_BURST,
    RETRY_SHARE,
)


class RetryBudget:
    """Allows retries as a share of first tries, so that retries can't feed an overload.

    :param share: retries for each first try.
    :param burst: retries allowed to start with, and at most saved up.
    """

    def __init__(self, share: float = RETRY_SHARE, burst: float = RETRY_BURST) -> None:
        self._share = share
        self._burst = burst
        self._left = burst

    def note_try(self) -> None:
        """Note a first try."""
        self._left = min(self._burst, self._left + self._share)

    def take(self) -> bool:
        """Take one retry; return whether it is allowed."""
        if self._left < 1:
            return False
        self._left -= 1
        return True


def get_backoff(attempt: int, random: Random) -> float:
    """Return the delay before a retry in seconds, with full jitter.

    :param attempt: number of the retry, from 0.
    :param random: source of jitter.
    """
    ceiling = min(BACKOFF_MAX_SECONDS, BACKOFF_SECONDS * 2**attempt)
    return random.uniform(ceiling / 4, ceiling)


class WindowBudget:
    """Allows repeats as a share of first tries in a sliding window, with a fixed part on top.

    Several processes share the fixed part; each is told how many they are.

    :param ratio: repeats for each first try.
    :param slack: repeats in a window beyond the share, for all processes together.
    :param seconds: length of the window.
    """

    def __init__(self, ratio: float, slack: float, seconds: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._seconds = seconds
        self._firsts: dict[str, deque[float]] = {}
        self._repeats: dict[str, deque[float]] = {}

    def note_first(self, service: str, now: float) -> None:
        """Note a first try.

        :param service: where it went.
        :param now: the time.
        """
        self._trim(self._firsts, service, now).append(now)

    def take(self, service: str, sharers: int, now: float) -> bool:
        """Take one repeat; return whether it is allowed.

        :param service: where it goes.
        :param sharers: processes that share the budget.
        :param now: the time.
        """
        firsts = self._trim(self._firsts, service, now)
        repeats = self._trim(self._repeats, service, now)
        allowed = BUDGET_SAFETY * (self._ratio * len(firsts) + self._slack / max(1, sharers))
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(now)
        return True

    def _trim(self, kept: dict[str, deque[float]], service: str, now: float) -> deque[float]:
        times = kept.setdefault(service, deque())
        while times and times[0] <= now - self._seconds:
            times.popleft()
        return times
