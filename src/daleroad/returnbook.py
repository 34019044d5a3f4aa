"""When refused callers were told to return, and the room that is booked for them.

Does no I/O; the caller passes in the time.
"""

from bisect import bisect_left, insort
from dataclasses import dataclass, replace

RETURN_EARLY_SECONDS = 0.1
"""How early a caller may return and still be expected; timers and clocks differ by less."""

RETURN_LATE_SECONDS = 1.5
"""How late a caller may return and still be expected: a new connection takes up to one second."""

MAX_PROMISES = 4096
"""Promises kept for one service, of 200 bytes each; a burst of some hundred requests a second for
as long as callers wait. Beyond it promises are made by the rate alone."""


@dataclass(frozen=True)
class Promise:
    """What a refused caller was told. Times are in seconds.

    :param at: when to return.
    :param rank: rank of the request.
    :param booked: whether room was booked for the return. If not, it was told that there is none in
        its time, and is a newcomer when it returns nevertheless.
    :param due: until when it waits at most before it returns; a return well before is too early.
    :param kept_until: if the caller returned and waits, when it gives up.
    """

    at: float
    rank: int
    booked: bool
    due: float
    kept_until: float | None = None

    def is_early(self, now: float) -> bool:
        """Return whether a caller that comes now comes too early.

        :param now: the time.
        """
        return self.kept_until is None and now < self.due - RETURN_EARLY_SECONDS

    def is_expected(self, now: float) -> bool:
        """Return whether a caller that comes now is expected.

        :param now: the time.
        """
        return self.booked and not self.is_early(now) and now < self.get_end()

    def get_end(self) -> float:
        """Return when the promise ends."""
        return self.due + RETURN_LATE_SECONDS if self.kept_until is None else self.kept_until


class ReturnBook:
    """The promised returns to one service, one for each fingerprint."""

    def __init__(self) -> None:
        self._promises: dict[str, Promise] = {}
        self._booked: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._promises)

    def find(self, fingerprint: str, now: float) -> Promise | None:
        """Return the promise made to a caller, if it still holds.

        :param fingerprint: fingerprint of its request.
        :param now: the time.
        """
        promise = self._promises.get(fingerprint)
        return promise if promise is not None and now < promise.get_end() else None

    def promise(
        self,
        fingerprint: str,
        rank: int,
        earliest: float,
        latest: float,
        spacing: float,
        gives_up: float,
        book: bool = True,
    ) -> Promise:
        """Promise a caller the first free time to return, and book room for it.

        Where none is free while it waits, it is told that there is no room before it gives up.

        :param fingerprint: fingerprint of the request.
        :param rank: its rank.
        :param earliest: when the caller may return at the earliest.
        :param latest: until when the caller waits at most before it returns.
        :param spacing: seconds between two returns.
        :param gives_up: when the caller's time is over.
        :param book: whether room may be booked.
        """
        self.drop(fingerprint)
        at = self._find_gap(min(earliest, latest), spacing)
        has_room = len(self._promises) < MAX_PROMISES
        booked = book and has_room and at <= latest
        if booked:
            insort(self._booked, (at, rank))
            promise = Promise(at, rank, True, at)
        else:
            promise = Promise(max(latest, gives_up), rank, False, latest)
        if has_room:
            self._promises[fingerprint] = promise
        return promise

    def keep(self, fingerprint: str, until: float) -> None:
        """Record that a caller returned when told and waits; its promise holds until it gives up.

        :param fingerprint: fingerprint of its request.
        :param until: when it gives up.
        """
        promise = self._promises[fingerprint]
        self._unbook(promise)
        self._promises[fingerprint] = replace(promise, kept_until=until)

    def drop(self, fingerprint: str) -> None:
        """Forget the promise made to a caller, if any.

        :param fingerprint: fingerprint of its request.
        """
        promise = self._promises.pop(fingerprint, None)
        if promise is not None:
            self._unbook(promise)

    def prune(self, now: float) -> int:
        """Forget the promises that ended; return how many callers did not return.

        :param now: the time.
        """
        ended = {name: p for name, p in self._promises.items() if now >= p.get_end()}
        for name in ended:
            self.drop(name)
        return sum(p.booked and p.kept_until is None for p in ended.values())

    def count_due(self, rank: int, until: float) -> int:
        """Return how many callers of a rank or a more urgent one are booked to return by a time.

        :param rank: the rank.
        :param until: the time.
        """
        return sum(booked <= rank for _, booked in self._booked[: self._find_index(until)])

    def _find_gap(self, earliest: float, spacing: float) -> float:
        """Return the first time to which no booked return is nearer than the spacing."""
        at = earliest
        for booked, _ in self._booked[self._find_index(earliest - spacing) :]:
            if booked - at >= spacing:
                break
            at = max(at, booked + spacing)
        return at

    def _find_index(self, at: float) -> int:
        return bisect_left(self._booked, (at, -1))

    def _unbook(self, promise: Promise) -> None:
        if promise.booked and promise.kept_until is None:
            self._booked.remove((promise.at, promise.rank))
