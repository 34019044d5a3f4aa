"""News that several others must hear, each at its own pace. Does no I/O."""

from collections import deque
from typing import Generic, TypeVar

from daleroad.defaults import OUTBOX_MOST

T = TypeVar("T")


class Outbox(Generic[T]):
    """Numbered news, the newest of it kept.

    ``newest`` is the number of what was added last, 0 before.
    """

    def __init__(self) -> None:
        self.newest = 0
        self._kept: deque[T] = deque(maxlen=OUTBOX_MOST)

    def add(self, item: T) -> None:
        """Add one piece of news.

        :param item: the news.
        """
        self.newest += 1
        self._kept.append(item)

    def list_after(self, number: int) -> tuple[T, ...]:
        """Return the news that is kept of what came after a number.

        :param number: the number of the last piece that is known.
        """
        count = min(len(self._kept), self.newest - number)
        return tuple(self._kept)[len(self._kept) - count :]
