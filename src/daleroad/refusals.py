"""Which prompts that wait for an engine are refused, and when their callers should return.

A prompt is refused as soon as it is foreseen that it can't start before its caller gives up, by how
many prompts go before it and how many start a second. Its caller is promised a time to return at
which there is room: promised returns are spread over time, and one that comes when told goes before
newcomers of its rank. State is kept for each service, in memory only.

Does no I/O but logging; the caller passes in the time.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import StrEnum
from math import exp, isfinite

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
from daleroad.returnbook import Promise, ReturnBook
from daleroad.startrates import RATE_WINDOW_SECONDS, WAITING_KEPT_SECONDS, StartRate

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

MAX_WAITING = 2048
"""Prompts of one service remembered as waiting, to know which ranks wait."""

WRONG_WEIGHT = 1.0
MIN_TRUST = 0.5
"""How much less of newcomers' patience is counted on for each part of them that was let in and
refused later, and the least of it: others go before them in ways that the rate doesn't tell."""

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
    :param rate: foreseen starts per second; 0 if unknown.
    :param wait: foreseen time until it would have started.
    """

    retry_after: float
    cause: RefusalCause = RefusalCause.LATE
    ahead: int = 0
    rate: float = 0.0
    wait: float = 0.0


@dataclass
class _Rank:
    """Newcomers of one rank; the numbers fade.

    :param asked: newcomers that had to wait.
    :param admitted: those that were not refused.
    :param wronged: admitted ones that were refused later.
    :param returned: callers that returned when told.
    :param refused_at: when a newcomer was last refused.
    """

    asked: float = 0.0
    admitted: float = 0.0
    wronged: float = 0.0
    returned: float = 0.0
    refused_at: float = float("-inf")

    def get_share(self) -> float:
        """Return the part of the newcomers that was admitted."""
        return self.admitted / self.asked

    def get_trust(self) -> float:
        """Return the part of its patience in which a newcomer should be foreseen to start."""
        wronged = self.wronged / max(MIN_ASKED, self.admitted)
        return max(MIN_TRUST, 1 - WRONG_WEIGHT * wronged)

    def fade(self, factor: float) -> None:
        """Multiply all numbers by a factor."""
        self.asked *= factor
        self.admitted *= factor
        self.wronged *= factor
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
            rate = state.rate.get_rate(now)
            refusal = replace(refusal, rate=rate if isfinite(rate) else 0.0)
            self._report(service, demand, refusal)
        return refusal

    def _decide_new(
        self, state: _Service, demand: Demand, promise: Promise | None, ahead: int, now: float
    ) -> Refusal | None:
        """Decide for a newcomer, a caller that returned when told, or one that waits already."""
        expected = promise is not None and promise.is_expected(now)
        waits = demand.fingerprint in state.waiting
        wait = foresee_start(state, demand, ahead, expected, waits, now)
        # Where nobody goes before it, nobody gains by its yielding.
        cause = find_cause(state, demand, wait, expected or waits or not ahead, now)
        counts = state.ranks[demand.rank]
        if not expected and not waits:
            counts.asked += 1
            counts.admitted += cause is None
            counts.refused_at = counts.refused_at if cause is None else now
        if cause is not None:
            counts.wronged += waits
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
        time_left = max(0.0, demand.time_left)
        latest = now + time_left * CLIENT_RETURN_SHARE
        missing = refusal.wait - find_patience(demand)
        earliest = now + max(ENGINE_RETRY_AFTER_SECONDS, missing)
        spacing = state.find_spacing(demand.rank, now)
        if promise is not None and promise.is_expected(now):
            self.returns.add(ReturnEnd.REFUSED.value)
        # Callers mostly return once: room booked for a second return would mostly be lost.
        made = state.book.promise(
            demand.fingerprint,
            demand.rank,
            earliest,
            latest,
            spacing,
            gives_up=now + time_left,
            book=promise is None,
        )
        return replace(refusal, retry_after=made.at - now)

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
    :param held: whether the prompt waits already, was promised room or is the next to start.
    :param now: the time.
    """
    bounds = None if held else state.find_bounds(demand.rank, now)
    share = state.ranks[demand.rank].get_share() if bounds else 0.0
    if bounds is not None and share > bounds[1]:
        return RefusalCause.YIELDS
    patience = find_patience(demand) * (1.0 if held else state.ranks[demand.rank].get_trust())
    if wait <= patience or (bounds is not None and share < bounds[0]):
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
