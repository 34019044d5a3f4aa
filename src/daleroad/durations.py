"""How long the services of routes have lately taken to answer, or to begin a stream.

Does no I/O; the caller passes in the time.
"""

from collections import deque
from collections.abc import Collection, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

BUCKET_SECONDS = 5.0
MAX_BUCKETS = 6
"""Answers of the last 25 to 30 s count."""

MANY_ANSWERS = 10
"""Answers from which on the longest one tells what others may take."""

OVERDUE_SHARE = 0.5
"""If more than this share of the requests since the oldest one under way are, too, the service has
become slower; else only some of its upstreams have."""

OVERDUE_RATIO = 2.0
"""A request that has been under way for longer than any answer took is assumed to be half done."""


@dataclass(frozen=True)
class RecentDuration:
    """How long answers took.

    :param answers: number of answers.
    :param seconds: the time after which the next one is likely to have come.
    """

    answers: int
    seconds: float

    def is_certain(self) -> bool:
        """Return whether it rests on many answers."""
        return self.answers >= MANY_ANSWERS


@dataclass
class _Bucket:
    index: int
    answers: int = 0
    longest: float = 0.0


@dataclass
class _Kind:
    """The answers to one kind of request, and its requests.

    :ivar sent: how many requests were sent.
    :ivar begun: when those under way were sent, by their number, the oldest first.
    """

    buckets: deque[_Bucket] = field(default_factory=lambda: deque(maxlen=MAX_BUCKETS))
    sent: int = 0
    begun: dict[int, float] = field(default_factory=dict)

    def find_overdue_age(self, now: float) -> float:
        """Return how long the oldest request has been under way, or 0 if it is an exception."""
        number = next(iter(self.begun), None)
        if number is None or len(self.begun) <= OVERDUE_SHARE * (self.sent - number):
            return 0.0
        return now - self.begun[number]


class RecentDurations:
    """The durations of requests by their kind, such as a route and a service."""

    def __init__(self) -> None:
        self._kinds: dict[tuple[str, str], _Kind] = {}

    @contextmanager
    def watch(self, kind: tuple[str, str], now: float) -> Iterator[None]:
        """Count a request as under way until the block ends.

        :param kind: its kind.
        :param now: the current time.
        """
        found = self._kinds.setdefault(kind, _Kind())
        number = found.sent
        found.sent += 1
        found.begun[number] = now
        try:
            yield
        finally:
            del found.begun[number]

    def note(self, kind: tuple[str, str], seconds: float, now: float) -> None:
        """Note the duration of a request that was answered.

        :param kind: its kind.
        :param seconds: the time from its sending to its complete answer.
        :param now: the current time.
        """
        buckets = self._kinds.setdefault(kind, _Kind()).buckets
        index = _find_index(now)
        if not buckets or buckets[-1].index != index:
            buckets.append(_Bucket(index))
        buckets[-1].answers += 1
        buckets[-1].longest = max(buckets[-1].longest, seconds)

    def retain(self, routes: Collection[str]) -> None:
        """Forget what is known of other routes, except while requests are under way.

        :param routes: names of the routes that there are.
        """
        self._kinds = {
            kind: found for kind, found in self._kinds.items() if kind[0] in routes or found.begun
        }

    def get(self, kind: tuple[str, str], now: float) -> RecentDuration:
        """Return how long the requests of a kind have taken lately.

        :param kind: the kind.
        :param now: the current time.
        """
        found = self._kinds.get(kind, _Kind())
        oldest = _find_index(now) - MAX_BUCKETS
        recent = [bucket for bucket in found.buckets if bucket.index > oldest]
        answers = sum(bucket.answers for bucket in recent)
        longest = max((bucket.longest for bucket in recent), default=0.0)
        age = found.find_overdue_age(now)
        if age > longest:
            longest = OVERDUE_RATIO * age
        # For durations spread evenly, the estimate of the longest possible one.
        return RecentDuration(answers, longest * (1 + 1 / max(1, answers)))


def _find_index(now: float) -> int:
    return int(now // BUCKET_SECONDS)
