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
from itertools import takewhile
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

KEPT_SHARE = 0.2
"""Part of the starts kept for prompts of a less urgent rank: served a quarter as often as others,
callers still get on with what they do."""

RETURN_SHARE = 0.5
"""Part of the starts that is promised to callers who return; the rest is for newcomers."""

LESS_URGENT_SPACING = 2.0
"""Spacing between returns of less urgent ranks, relative to those of the most urgent one, so that
each gap has room for one of these."""

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
    :param booked: whether room was booked for the return.
    :param kept_until: if the caller returned and waits, when it gives up.
    """

    at: float
    rank: int
    booked: bool
    kept_until: float | None = None

    def is_early(self, now: float) -> bool:
        """Return whether a caller that comes now comes too early.

        :param now: the time.
        """
        return self.kept_until is None and now < self.at - RETURN_EARLY_SECONDS

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
        self, fingerprint: str, rank: int, earliest: float, latest: float, spacing: float
    ) -> Promise:
        """Make and return a promise for the first free time, or for the latest if none is free.

        :param fingerprint: fingerprint of the request.
        :param rank: its rank.
        :param earliest: when the caller may return at the earliest.
        :param latest: until when the caller waits at most before it returns.
        :param spacing: seconds between two returns.
        """
        self.drop(fingerprint)
        full = len(self._promises) >= MAX_PROMISES
        at = self._find_gap(min(earliest, latest), spacing)
        if full or at > latest:
            promise = Promise(latest, rank, False)
        else:
            promise = Promise(at, rank, True)
            insort(self._booked, (at, rank))
        if not full:
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
        return sum(promise.kept_until is None for promise in ended.values())

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


@dataclass(frozen=True)
class _Waiting:
    """A prompt that waits, and until when it does unless it is asked about again."""

    rank: int
    until: float


@dataclass
class _Service:
    """What is known of one service.

    :param waiting: the prompts that wait, by fingerprint, in the order in which they came.
    :param arrivals: number of prompts that began to wait, by rank; it fades.
    """

    rate: StartRate = field(default_factory=StartRate)
    book: ReturnBook = field(default_factory=ReturnBook)
    waiting: dict[str, _Waiting] = field(default_factory=dict)
    arrivals: dict[int, float] = field(default_factory=dict)
    at: float = 0.0

    def advance(self, now: float) -> None:
        """Let the arrivals fade."""
        fading = exp(-max(0.0, now - self.at) / RATE_WINDOW_SECONDS)
        self.arrivals = {rank: n * fading for rank, n in self.arrivals.items()}
        self.at = max(self.at, now)

    def add_waiting(self, demand: Demand, now: float) -> None:
        """Record that a prompt waits now."""
        known = demand.fingerprint in self.waiting
        if not known:
            self.arrivals[demand.rank] = self.arrivals.get(demand.rank, 0.0) + 1
        if known or len(self.waiting) < MAX_WAITING:
            until = now + WAITING_KEPT_SECONDS
            self.waiting[demand.fingerprint] = _Waiting(demand.rank, until)

    def count_before(self, demand: Demand) -> int:
        """Return how many prompts of the same rank have waited for longer."""
        older = takewhile(lambda name: name != demand.fingerprint, self.waiting)
        return sum(self.waiting[name].rank == demand.rank for name in older)

    def is_less_urgent(self, demand: Demand) -> bool:
        """Return whether prompts of a more urgent rank wait too, or did lately."""
        return any(rank < demand.rank and n > 0.5 for rank, n in self.arrivals.items())


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
        """Decide for a newcomer, or for a caller that returned when told."""
        expected = promise is not None and promise.is_expected(now)
        patience = find_patience(demand)
        wait = foresee_start(state, demand, ahead, expected, now)
        if wait <= patience:
            state.add_waiting(demand, now)
            if promise is not None:
                if expected and promise.kept_until is None:
                    self.returns.add(ReturnEnd.KEPT.value)
                state.book.keep(demand.fingerprint, now + patience)
            return None
        if expected:
            self.returns.add(ReturnEnd.REFUSED.value)
        state.waiting.pop(demand.fingerprint, None)
        rate = state.rate.get_rate(now)
        spacing = 1 / (RETURN_SHARE * rate)
        if state.is_less_urgent(demand):
            spacing *= LESS_URGENT_SPACING
        earliest = now + max(ENGINE_RETRY_AFTER_SECONDS, wait - patience)
        latest = now + max(0.0, demand.time_left) * CLIENT_RETURN_SHARE
        made = state.book.promise(demand.fingerprint, demand.rank, earliest, latest, spacing)
        return Refusal(made.at - now, RefusalCause.LATE, ahead, rate, wait)

    def _prune(self, now: float) -> None:
        if now - self._pruned_at < PRUNE_SECONDS:
            return
        self._pruned_at = now
        for state in self._services.values():
            for _ in range(state.book.prune(now)):
                self.returns.add(ReturnEnd.MISSED.value)
            state.waiting = {name: w for name, w in state.waiting.items() if now < w.until}

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


def foresee_start(state: _Service, demand: Demand, ahead: int, expected: bool, now: float) -> float:
    """Return the seconds until a prompt starts, at the highest rate that the starts seen allow.

    :param state: what is known of its service.
    :param demand: what the prompt demands.
    :param ahead: waiting prompts that go before it.
    :param expected: whether its caller returned when told.
    :param now: the time.
    """
    rate = state.rate.get_highest_rate(now)
    if rate == float("inf"):
        return 0.0
    if expected:
        return (ahead + 1) / rate
    share = rate
    if any(rank > demand.rank and n > 0.5 for rank, n in state.arrivals.items()):
        share = (1 - KEPT_SHARE) * rate
    overtaking = sum(n for rank, n in state.arrivals.items() if rank < demand.rank)
    own_rate = max(KEPT_SHARE * rate, share - overtaking / RATE_WINDOW_SECONDS)
    wait = (ahead + 1) / own_rate
    wait = (ahead + 1 + state.book.count_due(demand.rank, now + wait)) / own_rate
    if state.is_less_urgent(demand):
        wait = min(wait, (state.count_before(demand) + 1) / (KEPT_SHARE * rate))
    return wait
