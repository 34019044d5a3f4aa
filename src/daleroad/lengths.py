"""Estimates output lengths from recent ones of the same route and model version. Does no I/O."""

from collections import deque

from sortedcontainers import SortedList

from daleroad.defaults import DEFAULT_OUTPUT_TOKENS, LENGTH_WINDOW_SIZE

_MIN_SAMPLES = 8


class LengthWindow:
    """A sliding window of output lengths with quantiles and a mean.

    :param size: maximum number of lengths.
    """

    def __init__(self, size: int = LENGTH_WINDOW_SIZE) -> None:
        self._size = size
        self._recent: deque[int] = deque()
        self._sorted: SortedList = SortedList()

    def __len__(self) -> int:
        return len(self._recent)

    def add(self, length: int) -> None:
        """Add an output length; if the window is full, the oldest one is dropped.

        :param length: in tokens.
        """
        self._recent.append(length)
        self._sorted.add(length)
        if len(self._recent) > self._size:
            self._sorted.remove(self._recent.popleft())

    def get_quantile(self, quantile: float, produced_tokens: int) -> float | None:
        """Return a quantile of the lengths above the number of tokens already produced.

        :param quantile: from 0 to 1.
        :param produced_tokens: number of tokens already produced.
        :return: a length in tokens, or ``None`` if no output in the window is longer.
        """
        first = self._sorted.bisect_right(produced_tokens)
        count = len(self._sorted) - first
        if count == 0:
            return None
        index = min(count - 1, int(quantile * count))
        return self._sorted[first + index]

    def get_mean(self) -> float | None:
        """Return the mean length in tokens, or ``None`` if the window is empty."""
        return sum(self._recent) / len(self._recent) if self._recent else None


class OutputLengths:
    """Length windows by route and model version.

    A model version with too few samples is estimated from all outputs of its route, and a route
    without any from a fixed default.
    """

    def __init__(self) -> None:
        self._windows: dict[tuple[str, str], LengthWindow] = {}

    def add(self, route: str, model: str, length: int) -> None:
        """Add the length of a finished output.

        :param route: its route.
        :param model: its model version.
        :param length: in tokens.
        """
        for key in ((route, model), (route, "")):
            self._windows.setdefault(key, LengthWindow()).add(length)

    def estimate_remaining_tokens(
        self, route: str, model: str, produced_tokens: int, max_tokens: int, quantile: float
    ) -> float:
        """Return the expected number of remaining output tokens.

        An output longer than all in the window is expected to reach twice its present length, or a
        default length if that is more.

        :param route: the route.
        :param model: the model version.
        :param produced_tokens: number of tokens already produced.
        :param max_tokens: maximum length of the output.
        :param quantile: quantile of the lengths to expect, from 0 to 1.
        """
        window = self._find_window(route, model)
        length = window.get_quantile(quantile, produced_tokens) if window else None
        if length is None:
            length = max(2 * produced_tokens, DEFAULT_OUTPUT_TOKENS)
        return max(1.0, min(length, max_tokens) - produced_tokens)

    def find_quantile(self, route: str, model: str, quantile: float) -> float | None:
        """Return a quantile of the lengths in tokens, or ``None`` if there are too few samples.

        :param route: the route.
        :param model: the model version.
        :param quantile: from 0 to 1.
        """
        window = self._find_window(route, model)
        if window is None or len(window) < _MIN_SAMPLES:
            return None
        return window.get_quantile(quantile, 0)

    def estimate_mean_tokens(self, route: str, model: str) -> float:
        """Return the mean output length in tokens, or a default if there are no samples.

        :param route: the route.
        :param model: the model version.
        """
        window = self._find_window(route, model)
        mean = window.get_mean() if window else None
        return mean if mean is not None else DEFAULT_OUTPUT_TOKENS

    def _find_window(self, route: str, model: str) -> LengthWindow | None:
        """Return the window to estimate from, or ``None`` if there is none."""
        own = self._windows.get((route, model))
        if own is not None and len(own) >= _MIN_SAMPLES:
            return own
        return self._windows.get((route, "")) or own
