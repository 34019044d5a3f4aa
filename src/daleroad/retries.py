"""When to try again: a budget that grows with first tries, and backoff with jitter. Pure."""

from random import Random

from daleroad.defaults import BACKOFF_MAX_SECONDS, BACKOFF_SECONDS, RETRY_BURST, RETRY_SHARE


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
