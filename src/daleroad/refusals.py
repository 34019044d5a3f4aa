"""Which prompts that wait for an engine are refused, and when their callers should return.

A prompt is refused as soon as it is foreseen that it can't start before its caller gives up, by how
many prompts go before it and how many start a second. Its caller is promised a time to return at
which there is room: promised returns are spread over time, and one that comes when told goes before
newcomers of its rank. State is kept for each service, in memory only.

Does no I/O but logging; the caller passes in the time.
"""

from bisect import bisect_left, insort
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import StrEnum
from math import exp, sqrt

from daleroad.defaults import (
    CLIENT_GAP_OBJECTIVES,
    CLIENT_GAP_PAUSES,
    CLIENT_GAP_SECONDS,
    CLIENT_RETURN_SHARE,
    ENGINE_RETRY_AFTER_SECONDS,
)
from daleroad.events import Event, log_event
from daleroad.metrics import EventCounters
from daleroad.notices import Demand

RATE_WINDOW_SECONDS = 5.0
"""Time in which what is known of a service's starts fades to a third; some lengths of a prompt's
wait, so that the rate follows engines that come and go within what callers wait."""

WAITING_KEPT_SECONDS = 2.0
"""How long a prompt is taken as waiting after it was last asked about; each is asked about several
times a second."""

KEPT_SHARE = 0.25
"""A less urgent rank is admitted at least so often as a more urgent one of which some are refused,
so that no kind of caller stands still."""

YIELDED_SHARE = 0.5
"""And at most so often: the less urgent are refused first."""

RETURN_SHARE = 0.5
"""Part of the starts that is promised to callers who return; the rest is for newcomers."""

YIELDING_SECONDS = 1.0
"""How long a rank yields after a newcomer of a more urgent one was refused; where that goes on,
several are refused a second."""

MIN_ASKED = 4.0
"""Newcomers of each of two ranks from which the shares that were admitted are compared."""

RETURN_EARLY_SECONDS = 0.1
"""How early a caller may return and still be expected; timers and clocks differ by less."""

RETURN_LATE_SECONDS = 1.5
"""How late a caller may return and still be expected: a new connection takes up to one second."""

MAX_PROMISES = 2048
"""Promises kept for one service, of 200 bytes each; a burst of some hundred requests a second for
as long as callers wait. Beyond it promises are made by the rate alone."""

MAX_WAITING = 2048
"""Prompts of one service remembered as waiting, to know which ranks wait."""

PRUNE_SECONDS = 0.25
"""Interval at which ended promises are forgotten."""


class ReturnEnd(StrEnum):
    """What came of a promise: the caller returned when told, too early or not at all, or returned
    when told and was refused again.
    """

    KEPT = "kept"
    EARLY = "early"
    MISSED = "missed"
    REFUSED = "refused-again"


class RefusalCause(StrEnum):
    """Why a prompt was refused."""

    LATE = "no-start-in-time"
    YIELDS = "yields-to-more-urgent"
    EARLY = "returned-early"


@dataclass(frozen=True)
class Refusal:
    """A prompt is refused. Times are in seconds.

    :param retry_after: when its caller should return, from now.
    :param cause: why it was refused.
    :param ahead: prompts that would have gone before it.
    :param rate: foreseen starts per second.
    :param wait: foreseen time until it would have started.
    """

    retry_after: float
    cause: RefusalCause = RefusalCause.LATE
    ahead: int = 0
    rate: float = 0.0
    wait: float = 0.0


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
        """Return the starts per second, infinite if nothing is known.

        One start more than was seen is assumed: the next is about to come, after as long as the
        last took at the latest.

        :param now: the time.
        """
        self._advance(now)
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


@dataclass(frozen=True)
class Promise:
    """What a refused caller was told. Times are in seconds.

    :param at: when to return.
    :param rank: rank of the request.
    :param booked: whether room was booked for the return. If not, there is room only after the
        caller's patience, and it is a newcomer when it returns.
    :param early_until: until when a return is too early.
    :param kept_until: if the caller returned and waits, when it gives up.
    """

    at: float
    rank: int
    booked: bool
    early_until: float
    kept_until: float | None = None

    def is_early(self, now: float) -> bool:
        """Return whether a caller that comes now comes too early.

        :param now: the time.
        """
        return self.kept_until is None and now < self.early_until

    def is_expected(self, now: float) -> bool:
        """Return whether a caller that comes now is expected.

        :param now: the time.
        """
        return self.booked and not self.is_early(now) and now < self.get_end()

    def get_end(self) -> float:
        """Return when the promise ends."""
        return self.at + RETURN_LATE_SECONDS if self.kept_until is None else self.kept_until


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
        book: bool = True,
    ) -> Promise:
        """Promise a caller the first free time to return, and book room if it waits that long.

        :param fingerprint: fingerprint of the request.
        :param rank: its rank.
        :param earliest: when the caller may return at the earliest.
        :param latest: until when the caller waits at most before it returns.
        :param spacing: seconds between two returns.
        :param book: whether room may be booked.
        """
        self.drop(fingerprint)
        at = self._find_gap(min(earliest, latest), spacing)
        has_room = len(self._promises) < MAX_PROMISES
        booked = book and has_room and at <= latest
        promise = Promise(at, rank, booked, min(at, latest) - RETURN_EARLY_SECONDS)
        if booked:
            insort(self._booked, (at, rank))
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


@dataclass
class _Rank:
    """Newcomers of one rank; the numbers fade.

    :param asked: newcomers that had to wait.
    :param admitted: those that were not refused.
    :param returned: callers that returned when told.
    :param refused_at: when a newcomer was last refused.
    """

    asked: float = 0.0
    admitted: float = 0.0
    returned: float = 0.0
    refused_at: float = float("-inf")

    def get_share(self) -> float:
        """Return the part of the newcomers that was admitted."""
        return self.admitted / self.asked

    def fade(self, factor: float) -> None:
        """Multiply all numbers by a factor."""
        self.asked *= factor
        self.admitted *= factor
        self.returned *= factor


@dataclass
class _Service:
    """What is known of one service.

    :param waiting: until when each prompt is taken as waiting, by fingerprint.
    :param ranks: the newcomers of each rank.
    """

    rate: StartRate = field(default_factory=StartRate)
    book: ReturnBook = field(default_factory=ReturnBook)
    waiting: dict[str, float] = field(default_factory=dict)
    ranks: dict[int, _Rank] = field(default_factory=dict)
    at: float = 0.0

    def advance(self, now: float) -> None:
        """Let the numbers fade."""
        factor = exp(-max(0.0, now - self.at) / RATE_WINDOW_SECONDS)
        for rank in self.ranks.values():
            rank.fade(factor)
        self.at = max(self.at, now)

    def list_more_urgent(self, rank: int) -> list[_Rank]:
        """Return the more urgent ranks."""
        return [counts for other, counts in self.ranks.items() if other < rank]

    def find_bounds(self, rank: int, now: float) -> tuple[float, float] | None:
        """Return the least and the largest part of a rank's newcomers to admit, if it must yield.

        It must while newcomers of a more urgent rank are refused.
        """
        own = self.ranks[rank]
        shares = [
            urgent.get_share()
            for urgent in self.list_more_urgent(rank)
            if urgent.asked >= MIN_ASKED and now - urgent.refused_at <= YIELDING_SECONDS
        ]
        if own.asked < MIN_ASKED or not shares:
            return None
        return KEPT_SHARE * min(shares), YIELDED_SHARE * min(shares)

    def find_spacing(self, rank: int, now: float) -> float:
        """Return the seconds between two promised returns.

        More urgent ranks have the larger part by what each of them asks for.
        """
        own = YIELDED_SHARE * max(1.0, self.ranks[rank].asked)
        urgent = sum(counts.asked for counts in self.list_more_urgent(rank))
        share = own / (own + urgent) if urgent >= 1 else 1.0
        return 1 / (RETURN_SHARE * share * self.rate.get_rate(now))


def log_refusal(service: str, demand: Demand, refusal: Refusal) -> None:
    """Log a refusal with what it was decided by.

    :param service: the prompt's service.
    :param demand: what the prompt demanded.
    :param refusal: the refusal.
    """
    log_event(
        Event.PROMPT_REFUSED,
        service=service,
        rank=demand.rank,
        organisation=demand.organisation,
        cause=refusal.cause.value,
        ahead=refusal.ahead,
        rate=round(refusal.rate, 2),
        wait=round(refusal.wait, 2),
        patience=round(find_patience(demand), 2),
        retry_after=round(refusal.retry_after, 2),
    )


def _ignore(service: str, demand: Demand, refusal: Refusal) -> None:
    pass


class RefusalPolicy:
    """Decides which prompts that wait for an engine are refused, for all services.

    :param report: called with each refusal.
    :ivar refused: refusals by cause and rank.
    :ivar returns: what came of promises.
    """

    def __init__(self, report: Callable[[str, Demand, Refusal], None] = _ignore) -> None:
        self.refused = EventCounters(
            "daleroad_prompts_refused", "Prompts refused while they waited", ("cause", "rank")
        )
        self.returns = EventCounters(
            "daleroad_returns", "Refused callers by whether they returned when told", ("end",)
        )
        self._report = report
        self._services: dict[str, _Service] = {}
        self._pruned_at = float("-inf")

    def note_start(self, service: str, now: float) -> None:
        """Record that an engine was chosen for a prompt.

        :param service: the prompt's service.
        :param now: the time.
        """
        self._get(service).rate.note_start(now)

    def note_done(self, service: str, fingerprint: str) -> None:
        """Record that a prompt started or left the queue.

        :param service: the prompt's service.
        :param fingerprint: its fingerprint.
        """
        state = self._get(service)
        state.waiting.pop(fingerprint, None)
        promise = state.book.find(fingerprint, float("-inf"))
        # A promise that was just made to a refused caller stays.
        if promise is not None and promise.kept_until is not None:
            state.book.drop(fingerprint)

    def is_expected(self, service: str, fingerprint: str, now: float) -> bool:
        """Return whether a prompt returned when told, so that it goes before others of its rank.

        :param service: the prompt's service.
        :param fingerprint: its fingerprint.
        :param now: the time.
        """
        promise = self._get(service).book.find(fingerprint, now)
        return promise is not None and promise.is_expected(now)

    def decide(self, service: str, demand: Demand, ahead: int, now: float) -> Refusal | None:
        """Return a refusal if a prompt that has to wait can't start in time, else nothing.

        Called when a prompt comes and no engine has room for it, and again while it waits.

        :param service: its service.
        :param demand: what the prompt demands.
        :param ahead: waiting prompts that go before it.
        :param now: the time.
        """
        self._prune(now)
        state = self._get(service)
        state.advance(now)
        state.ranks.setdefault(demand.rank, _Rank())
        state.rate.note_waiting(ahead + 1, now)
        promise = state.book.find(demand.fingerprint, now)
        refusal: Refusal | None
        if promise is not None and promise.is_early(now) and ahead:
            self.returns.add(ReturnEnd.EARLY.value)
            refusal = Refusal(promise.at - now, RefusalCause.EARLY, ahead)
        else:
            refusal = self._decide_new(state, demand, promise, ahead, now)
        if refusal is not None:
            self.refused.add(refusal.cause.value, str(demand.rank))
            self._report(service, demand, refusal)
        return refusal

    def _decide_new(
        self, state: _Service, demand: Demand, promise: Promise | None, ahead: int, now: float
    ) -> Refusal | None:
        """Decide for a newcomer, a caller that returned when told, or one that waits already."""
        expected = promise is not None and promise.is_expected(now)
        waits = demand.fingerprint in state.waiting
        wait = foresee_start(state, demand, ahead, expected, waits, now)
        cause = find_cause(state, demand, wait, expected or waits, now)
        counts = state.ranks[demand.rank]
        if not expected and not waits:
            counts.asked += 1
            counts.admitted += cause is None
            counts.refused_at = counts.refused_at if cause is None else now
        if cause is not None:
            return self._refuse(state, demand, promise, Refusal(0.0, cause, ahead, wait=wait), now)
        if waits or len(state.waiting) < MAX_WAITING:
            state.waiting[demand.fingerprint] = now + WAITING_KEPT_SECONDS
        if promise is not None:
            if expected and promise.kept_until is None:
                counts.returned += 1
                self.returns.add(ReturnEnd.KEPT.value)
            state.book.keep(demand.fingerprint, now + find_patience(demand))
        return None

    def _refuse(
        self, state: _Service, demand: Demand, promise: Promise | None, refusal: Refusal, now: float
    ) -> Refusal:
        """Promise a refused caller when to return, and return the refusal that tells it."""
        state.waiting.pop(demand.fingerprint, None)
        latest = now + max(0.0, demand.time_left) * CLIENT_RETURN_SHARE
        missing = refusal.wait - find_patience(demand)
        earliest = now + max(ENGINE_RETRY_AFTER_SECONDS, missing)
        spacing = state.find_spacing(demand.rank, now)
        if promise is not None and promise.is_expected(now):
            self.returns.add(ReturnEnd.REFUSED.value)
        # Callers mostly return once: room booked for a second return would mostly be lost.
        made = state.book.promise(
            demand.fingerprint, demand.rank, earliest, latest, spacing, book=promise is None
        )
        return replace(refusal, retry_after=made.at - now, rate=state.rate.get_rate(now))

    def _prune(self, now: float) -> None:
        if now - self._pruned_at < PRUNE_SECONDS:
            return
        self._pruned_at = now
        for state in self._services.values():
            for _ in range(state.book.prune(now)):
                self.returns.add(ReturnEnd.MISSED.value)
            state.waiting = {name: until for name, until in state.waiting.items() if now < until}

    def _get(self, service: str) -> _Service:
        return self._services.setdefault(service, _Service())


def find_patience(demand: Demand) -> float:
    """Return the seconds until the caller of a prompt gives up.

    :param demand: what the prompt demands; a prompt that names a pause is answered by a stream.
    """
    if not demand.pause:
        return demand.time_left
    gap = max(
        CLIENT_GAP_SECONDS,
        CLIENT_GAP_OBJECTIVES * demand.objective,
        CLIENT_GAP_PAUSES * demand.pause,
    )
    return min(demand.time_left, gap - demand.age)


def find_cause(
    state: _Service, demand: Demand, wait: float, held: bool, now: float
) -> RefusalCause | None:
    """Return why a prompt is to be refused, or nothing if it may wait.

    :param state: what is known of its service.
    :param demand: what the prompt demands.
    :param wait: foreseen seconds until it starts.
    :param held: whether the prompt waits already, or was promised room.
    :param now: the time.
    """
    bounds = None if held else state.find_bounds(demand.rank, now)
    share = state.ranks[demand.rank].get_share() if bounds else 0.0
    if bounds is not None and share > bounds[1]:
        return RefusalCause.YIELDS
    if wait <= find_patience(demand) or (bounds is not None and share < bounds[0]):
        return None
    return RefusalCause.LATE


def foresee_start(
    state: _Service, demand: Demand, ahead: int, expected: bool, waits: bool, now: float
) -> float:
    """Return the seconds until a prompt starts.

    One that waits or was promised room is judged by the highest rate that the starts seen allow.
    Before a newcomer go more urgent ones that come later, and promised returns.

    :param state: what is known of its service.
    :param demand: what the prompt demands.
    :param ahead: waiting prompts that go before it.
    :param expected: whether its caller returned when told.
    :param waits: whether it waits already.
    :param now: the time.
    """
    if expected or waits:
        return (ahead + 1) / state.rate.get_highest_rate(now)
    rate = state.rate.get_rate(now)
    urgent = sum(
        counts.admitted + counts.returned for counts in state.list_more_urgent(demand.rank)
    )
    returned = state.ranks[demand.rank].returned
    least = KEPT_SHARE * rate
    wait = (ahead + 1) / max(least, rate - (urgent + returned) / RATE_WINDOW_SECONDS)
    due = state.book.count_due(demand.rank, now + wait)
    return max(wait, (ahead + 1 + due) / max(least, rate - urgent / RATE_WINDOW_SECONDS))
