"""Retry budgets and exponential backoff with jitter. Does no I/O; the caller passes in the time."""

from collections import deque
from random import Random

from daleroad.defaults import (
    BACKOFF_SECONDS,
    BUDGET_SAFETY,
    MAX_BACKOFF_SECONDS,
    RETRY_BURST,
    RETRY_SHARE,
)


class RetryBudget:
    """A token bucket that limits retries to a share of first attempts.

    The limit keeps retries from amplifying an overload.

    :param share: retries earned by each first attempt.
    :param burst: initial and maximum number of saved retries.
    """

    def __init__(self, share: float = RETRY_SHARE, burst: float = RETRY_BURST) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    def record_first_attempt(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_acquire(self) -> bool:
        """Use up one retry; return whether it is allowed."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def get_backoff(attempt: int, random: Random) -> float:
    """Return the delay before a retry in seconds, exponential with jitter.

    :param attempt: number of the retry, from 0.
    :param random: source of jitter.
    """
    ceiling = min(MAX_BACKOFF_SECONDS, BACKOFF_SECONDS * 2**attempt)
    return random.uniform(ceiling / 4, ceiling)


class WindowBudget:
    """Limits retries per service in a sliding window, with slack that all processes share.

    :param ratio: retries allowed for each first attempt in the window.
    :param slack: further retries allowed in a window, for all processes together.
    :param seconds: length of the window.
    """

    def __init__(self, ratio: float, slack: float, seconds: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_seconds = seconds
        self._first_attempts: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def record_first_attempt(self, service: str, now: float) -> None:
        """Count a first attempt.

        :param service: name of the service that it went to.
        :param now: current time in seconds.
        """
        self._drop_expired(self._first_attempts, service, now).append(now)

    def try_acquire(self, service: str, process_count: int, now: float) -> bool:
        """Use up one retry; return whether it is allowed.

        :param service: name of the service that it goes to.
        :param process_count: number of processes that share the budget.
        :param now: current time in seconds.
        """
        first_attempts = self._drop_expired(self._first_attempts, service, now)
        retries = self._drop_expired(self._retries, service, now)
        allowed = BUDGET_SAFETY * (
            self._ratio * len(first_attempts) + self._slack / max(1, process_count)
        )
        if len(retries) + 1 > allowed:
            return False
        retries.append(now)
        return True

    def _drop_expired(
        self, attempts: dict[str, deque[float]], service: str, now: float
    ) -> deque[float]:
        times = attempts.setdefault(service, deque())
        while times and times[0] <= now - self._window_seconds:
            times.popleft()
        return times
