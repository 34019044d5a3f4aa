"""How long outputs get: the lengths seen of late for each route and model version. Pure."""

from collections import deque

from sortedcontainers import SortedList

from daleroad.defaults import LENGTH_UNKNOWN, LENGTH_WINDOW

_ENOUGH = 8


class LengthWindow:
    """A sliding window of output lengths that answers quantiles.

    :param size: lengths remembered.
    """

    def __init__(self, size: int = LENGTH_WINDOW) -> None:
        self._size = size
        self._young: deque[int] = deque()
        self._ranked: SortedList = SortedList()

    def __len__(self) -> int:
        return len(self._young)

    def add(self, length: int) -> None:
        """Remember an output length; the oldest one is forgotten when the window is full.

        :param length: in tokens.
        """
        self._young.append(length)
        self._ranked.add(length)
        if len(self._young) > self._size:
            self._ranked.remove(self._young.popleft())

    def get_quantile(self, quantile: float, produced: int) -> float | None:
        """Return a quantile of the lengths above what was produced already.

        :param quantile: from 0 to 1.
        :param produced: tokens so far.
        :return: a length in tokens, or nothing when no remembered output got that long.
        """
        first = self._ranked.bisect_right(produced)
        count = len(self._ranked) - first
        if count == 0:
            return None
        place = min(count - 1, int(quantile * count))
        return self._ranked[first + place]

    def get_mean(self) -> float | None:
        """Return the mean length, or nothing with no history."""
        return sum(self._young) / len(self._young) if self._young else None


class Lengths:
    """Length windows by route and model version.

    A model version with little history of its own is judged by its route's outputs, and a route
    without any by a fixed guess.
    """

    def __init__(self) -> None:
        self._windows: dict[tuple[str, str], LengthWindow] = {}

    def add(self, route: str, model: str, length: int) -> None:
        """Remember the length of a finished output.

        :param route: its route.
        :param model: its model version.
        :param length: in tokens.
        """
        for key in ((route, model), (route, "")):
            self._windows.setdefault(key, LengthWindow()).add(length)

    def estimate_rest(
        self, route: str, model: str, produced: int, most: int, quantile: float
    ) -> float:
        """Return how many more tokens to expect.

        Beyond all that was seen, an output is taken to go on for as long again.

        :param route: the route.
        :param model: the model version.
        :param produced: tokens so far.
        :param most: limit of the output in tokens.
        :param quantile: how careful to be, from 0 to 1.
        """
        window = self._find(route, model)
        length = window.get_quantile(quantile, produced) if window else None
        if length is None:
            length = max(2 * produced, LENGTH_UNKNOWN)
        return max(1.0, min(length, most) - produced)

    def find_quantile(self, route: str, model: str, quantile: float) -> float | None:
        """Return a quantile of the lengths seen, or nothing where too few were seen.

        :param route: the route.
        :param model: the model version.
        :param quantile: from 0 to 1.
        """
        window = self._find(route, model)
        if window is None or len(window) < _ENOUGH:
            return None
        return window.get_quantile(quantile, 0)

    def estimate_mean(self, route: str, model: str) -> float:
        """Return the mean output length in tokens.

        :param route: the route.
        :param model: the model version.
        """
        window = self._find(route, model)
        mean = window.get_mean() if window else None
        return mean if mean is not None else LENGTH_UNKNOWN

    def _find(self, route: str, model: str) -> LengthWindow | None:
        own = self._windows.get((route, model))
        if own is not None and len(own) >= _ENOUGH:
            return own
        return self._windows.get((route, "")) or own
