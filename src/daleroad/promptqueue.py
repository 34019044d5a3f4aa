"""An ordered queue of the prompts that wait for room in one service's engines.

The most urgent rank goes first. Within a rank go those that can still start in their objective,
then callers that return when they were told to, then the organisation that got least service
lately, then the earliest deadline. A prompt that has waited for ``AGEING_SHARE`` of its patience
moves up by a rank.

A prompt goes where it has memory and can start in its objective. Less urgent prompts also leave a
reserve in each engine for one prompt that is more urgent; its size is that of those seen lately.
Smaller prompts may pass a larger one that does not fit; after ``OVERTAKING_SECONDS`` the first in
order claims an engine, which those behind it then leave alone. Where nobody refuses prompts,
one whose patience ends goes to the best engine even if that lacks room; where prompts are refused,
some that were not go there while a first output can still come before their callers give up.

Does no I/O; the caller passes in the time.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Protocol

from daleroad.contention import YIELD_OBJECTIVES
from daleroad.defaults import MAX_MEMORY_WAIT_OBJECTIVES
from daleroad.events import Event, log_event
from daleroad.fairshare import FairShare
from daleroad.notices import Demand, PlaceAnswer, PlaceRequest, WaitingPrompt
from daleroad.refusals import find_patience
from daleroad.reserves import (
    PREFILL_TOKENS_PER_SECOND,
    Reserve,
    count_readable,
    make_reserve,
)

AGEING_SHARE = 0.5
"""Part of its patience after which a prompt moves up by a rank: it then still has as long to find
room among the more urgent ones."""

OVERTAKING_SECONDS = 0.2
"""How long smaller prompts may fill in everywhere past the first one, from when it was found not to
fit. Half of what reading a prompt takes: being passed costs it less than one more prompt ahead."""

YIELD_START_SECONDS = 0.5
"""Time that a yielding prompt keeps for its way and for one prompt read before its own."""

LAST_OFFER_SECONDS = 0.6
"""Time before its caller gives up, beside that of reading its own tokens, at which a prompt that
still waits may go to the best engine: its way there, and one prompt read before its own. Callers
want a late answer rather than none."""

LAST_OFFER_INTERVAL_SECONDS = 1.0
LAST_OFFER_STARTS = 16
"""Such a prompt is placed after so long without one, or after so many starts since: more of them
would fill engines with late work. The others are refused once they can't start any more."""

PREEMPTING_OBJECTIVES = 0.05
"""Part of its objective for which a short prompt waits that nothing outranks. Engines make room for
it by preempting less urgent work; a generation ends within this time on most sites."""

WAY_SECONDS = 0.1
"""Time from a prompt's place to its reading, beside that of its own tokens."""

HOLD_SECONDS = 0.25
"""How long a poll for a prompt's place is held without news. A gateway whose leader froze notices
after this and ``POLL_SLACK_SECONDS``, a fifth of the objective of a first output."""

POLL_SLACK_SECONDS = 0.1
"""Time beyond the hold after which a poll counts as lost; several round trips between zones."""

SILENT_SECONDS = 1.0
"""A prompt that nobody polled for so long is dropped: its gateway ended or asks another leader."""

KEPT_ANSWER_SECONDS = 1.0
"""How long an answer is kept for a poll that is repeated because the first one's was lost."""

MAX_CLAIMS = 1
"""Engines that prompts may claim at a time; each is partly idle for about a second meanwhile."""

MAX_WAITING = 512
"""Prompts that wait for one service. More than that can't start in time: each of a hundred engines
starts two a second. Further ones go to the best engine at once."""

MAX_TRIES_PER_TURN = 64
"""Prompts that are tried in one turn, so that a long queue doesn't keep the process from the rest;
the next turn goes on a few 10 ms later."""

ORDER_SECONDS = 0.03
"""How old an order may be by which it is told how many go before a prompt; a turn's interval."""

LONG_QUEUE = 32
"""Prompts from which a queue is worth an event: what a site with 20 engines starts in a second."""

TYPICAL_SECONDS = 30.0
"""A rank of which no prompt came for so long needs no reserve."""

_TYPICAL_WEIGHT = 1 / 32
"""Weight of a new prompt in the typical size of its rank."""


class Refusal(Protocol):
    """A refusal; ``retry_after`` is in seconds."""

    @property
    def retry_after(self) -> float:
        """Return when the caller will find room."""


class RefusalPolicy(Protocol):
    """Decides which prompts can't start in time."""

    def note_start(self, service: str, now: float) -> None:
        """Record that a prompt got an engine."""

    def note_done(self, service: str, fingerprint: str) -> None:
        """Record that a prompt got an engine or waits no longer."""

    def decide(self, service: str, demand: Demand, ahead: int, now: float) -> Refusal | None:
        """Return a refusal for a prompt behind ``ahead`` others, or nothing if it may wait."""

    def is_expected(self, service: str, fingerprint: str, now: float) -> bool:
        """Return whether the caller was told to return about now."""


TryPlace = Callable[[PlaceRequest, Reserve | None, float], PlaceAnswer]
"""Places a prompt where the reserve stays free. The answer to a patient one that finds no room is
``crowded`` and names the engine that comes closest to having it."""

Ticket = tuple[str, str]
"""A gateway, and the id that it gave to the prompt."""


@dataclass
class _Entry:
    """A prompt in the queue.

    :param patience_end: when its patience ends.
    :param polled_at: when a poll for it last began or ended.
    :param polling: whether a poll is held, so that it can be told its place.
    :param blocked_at: when it was first found not to fit while it was the first in order.
    :param claim: the engine that it claims; empty if none.
    :param tried: whether it was found to lack room.
    """

    request: PlaceRequest
    demand: Demand
    number: int
    received_at: float
    patience_end: float
    returning: bool
    polled_at: float
    polling: bool = False
    blocked_at: float | None = None
    claim: str = ""
    tried: bool = False

    def is_reachable(self, now: float) -> bool:
        """Return whether a poll is held; one held for too long was frozen with this process."""
        return self.polling and now - self.polled_at <= HOLD_SECONDS + POLL_SLACK_SECONDS

    def get_ticket(self) -> Ticket:
        """Return what identifies the prompt."""
        return self.request.gateway, self.request.ticket

    def find_rank(self, now: float) -> int:
        """Return the prompt's rank with its age."""
        patience = self.patience_end - self.received_at
        aged = now - self.received_at >= AGEING_SHARE * patience
        return max(0, self.demand.rank - aged)

    def find_last_offer(self) -> float:
        """Return until when an engine can still give a first output before the caller gives up."""
        reading = self.request.unread / PREFILL_TOKENS_PER_SECOND
        gives_up = self.received_at + self.demand.age + find_patience(self.demand)
        return gives_up - reading - LAST_OFFER_SECONDS

    def get_demand(self, now: float) -> Demand:
        """Return the prompt's demand with its present age."""
        age = now - self.received_at
        time_left = self.demand.time_left + self.demand.age - age
        return replace(self.demand, age=age, time_left=time_left)


@dataclass
class _TypicalPrompt:
    tokens: float
    unread: float
    objective: float
    seen_at: float

    def note(self, request: PlaceRequest, demand: Demand, now: float) -> None:
        self.tokens += _TYPICAL_WEIGHT * (request.tokens - self.tokens)
        self.unread += _TYPICAL_WEIGHT * (request.unread - self.unread)
        self.objective, self.seen_at = demand.objective, now


@dataclass
class _Turn:
    """What one turn found.

    :param tries: prompts that were tried.
    :param answered: tickets of the prompts that were answered.
    :param misfits: rank, memory, prompt and objective of those that did not fit.
    :param firsts: number of prompts that were tried and did not fit.
    :param claims: engines that the first of them claim.
    """

    tries: int = 0
    answered: list[Ticket] = field(default_factory=list)
    misfits: list[tuple[int, int, int, float]] = field(default_factory=list)
    firsts: int = 0
    claims: list[str] = field(default_factory=list)

    def note_misfit(self, rank: int, request: PlaceRequest, objective: float) -> None:
        """Record a prompt that did not fit, unless others may use more engines than it may."""
        if not (request.excluded or request.failing or request.unreached):
            self.misfits.append((rank, request.tokens, request.unread, objective))

    def is_misfit(self, rank: int, request: PlaceRequest, objective: float) -> bool:
        """Return whether a prompt needs as much room, and as soon, as one that did not fit."""
        return any(
            rank >= other
            and request.tokens >= tokens
            and request.unread >= unread
            and objective <= longest
            for other, tokens, unread, longest in self.misfits
        )

    def note_claim(self, entry: _Entry, best: str, now: float) -> None:
        """Record what one of the first prompts that did not fit claims.

        :param entry: the prompt.
        :param best: the engine that comes closest to having room for it.
        :param now: the time.
        """
        self.firsts += 1
        if self.firsts > MAX_CLAIMS:
            return
        if entry.blocked_at is None:
            entry.blocked_at = now
        elif now - entry.blocked_at > OVERTAKING_SECONDS:
            # Claimed anew as often, since the engine may have left.
            entry.claim, entry.blocked_at = best, now
        if entry.claim:
            self.claims.append(entry.claim)


_Key = tuple[int, bool, bool, int, float, int]


@dataclass
class PromptQueue:
    """The prompts of one service that wait for room.

    :param service: the service's name.
    :param try_place: places a prompt.
    :param refusals: decides which prompts are refused; nothing if none are.
    :param note_answer: called with the ticket of each prompt that is answered.
    :ivar counts: ends of prompts: granted, without room, no upstream, refused, withdrawn, expired
        or overflowed.
    :ivar misfits: prompts that the last turn tried and found no room for.
    """

    service: str
    try_place: TryPlace
    refusals: RefusalPolicy | None = None
    note_answer: Callable[[Ticket], None] = lambda ticket: None
    counts: Counter[str] = field(default_factory=Counter)
    misfits: int = 0
    _entries: dict[Ticket, _Entry] = field(default_factory=dict)
    _answers: dict[Ticket, tuple[PlaceAnswer, float]] = field(default_factory=dict)
    _typical: dict[int, _TypicalPrompt] = field(default_factory=dict)
    _share: FairShare = field(default_factory=FairShare)
    _numbers: Iterator[int] = field(default_factory=count)
    _is_long: bool = False
    _keys: list[_Key] = field(default_factory=list)
    _keys_at: float = float("-inf")
    _offered_at: float = float("-inf")
    _starts_since_offer: int = 0

    def __len__(self) -> int:
        return len(self._entries)

    def submit(self, request: PlaceRequest, now: float) -> PlaceAnswer:
        """Return a prompt's place if there is room and nobody goes before it; else let it wait.

        :param request: the request; it has a demand.
        :param now: the time.
        """
        answer = self.begin_poll(request, now)
        if answer is None:
            self.drain(now, (request.gateway, request.ticket))
            answer = self.end_poll(request, now)
        return answer

    def begin_poll(self, request: PlaceRequest, now: float) -> PlaceAnswer | None:
        """Hold a poll for a prompt, which enters if it is unknown; return its answer if it has one.

        :param request: the request; its demand has the present age.
        :param now: the time.
        """
        demand = request.demand
        assert demand is not None
        ticket = (request.gateway, request.ticket)
        known = self._answers.get(ticket)
        if known is not None:
            return known[0]
        entry = self._entries.get(ticket)
        if entry is None:
            return self._enter(ticket, request, demand, now)
        entry.request, entry.demand = request, demand
        entry.patience_end = self._find_patience_end(request, demand, now)
        entry.polled_at, entry.polling = now, True
        return None

    def end_poll(self, request: PlaceRequest, now: float) -> PlaceAnswer:
        """End a poll and return the prompt's answer, ``crowded`` if it still waits.

        :param request: the request.
        :param now: the time.
        """
        ticket = (request.gateway, request.ticket)
        entry = self._entries.get(ticket)
        if entry is not None:
            entry.polled_at, entry.polling = now, False
            self._refuse_if_late(entry, now)
        known = self._answers.get(ticket)
        return known[0] if known is not None else PlaceAnswer("", crowded=True)

    def withdraw(self, gateway: str, ticket: str) -> None:
        """Remove a prompt whose client is gone.

        :param gateway: its gateway.
        :param ticket: its ticket.
        """
        entry = self._entries.pop((gateway, ticket), None)
        if entry is not None:
            self._note_end("withdrawn", entry)
            self._note_length()

    def drain(self, now: float, last: Ticket | None = None) -> list[Ticket]:
        """Place the prompts that there is room for, in order; return the tickets of those answered.

        :param now: the time.
        :param last: the last prompt to try; by default all are.
        """
        self.prune(now)
        turn = _Turn()
        reachable = [entry for entry in self._entries.values() if entry.is_reachable(now)]
        due = [entry for entry in reachable if self._is_due(entry, now)]
        for entry in sorted(due, key=lambda entry: entry.received_at)[:MAX_TRIES_PER_TURN]:
            self._place_late(entry, now, turn)
        self._offer_last(reachable, now, turn)
        waiting = (entry for entry in reachable if entry.get_ticket() in self._entries)
        for entry in self._order(waiting, now):
            if turn.tries >= MAX_TRIES_PER_TURN:
                break
            self._place_in_turn(entry, now, turn)
            if entry.get_ticket() == last:
                break
        self.misfits = turn.firsts
        self._note_length()
        return turn.answered

    def prune(self, now: float) -> None:
        """Drop the prompts that nobody polls, and old answers.

        The next poll of a prompt that was dropped too early lets it wait again, with its age.

        :param now: the time.
        """
        silent = [e for e in self._entries.values() if now - e.polled_at > SILENT_SECONDS]
        for entry in silent:
            del self._entries[entry.get_ticket()]
            self._note_end("expired", entry)
        # Answers are in the order in which they were given.
        while self._answers:
            ticket, (_, answered_at) = next(iter(self._answers.items()))
            if now - answered_at <= KEPT_ANSWER_SECONDS:
                break
            del self._answers[ticket]
        self._note_length()

    def list_waiting(self, now: float) -> Iterator[WaitingPrompt]:
        """Yield the prompts that wait, in order.

        :param now: the time.
        """
        for entry in sorted(self._entries.values(), key=lambda entry: self._make_key(entry, now)):
            yield WaitingPrompt(
                self.service,
                entry.demand.rank,
                entry.demand.organisation,
                entry.request.gateway,
                now - entry.received_at,
                entry.request.tokens,
            )

    def _enter(
        self, ticket: Ticket, request: PlaceRequest, demand: Demand, now: float
    ) -> PlaceAnswer | None:
        """Take a new prompt in; return its answer if it may not wait."""
        typical = self._typical.setdefault(
            demand.rank, _TypicalPrompt(request.tokens, request.unread, demand.objective, now)
        )
        typical.note(request, demand, now)
        returning = self.refusals is not None and self.refusals.is_expected(
            self.service, demand.fingerprint, now
        )
        entry = _Entry(
            request,
            demand,
            next(self._numbers),
            now - demand.age,
            self._find_patience_end(request, demand, now),
            returning,
            now,
            polling=True,
        )
        if len(self._entries) < MAX_WAITING:
            self._entries[ticket] = entry
            return None
        self._note_end("overflowed", entry)
        answer = self._place(replace(request, patient=False), entry, None, now)
        self._answer(entry, answer, now)
        return answer

    def _refuse_if_late(self, entry: _Entry, now: float) -> None:
        """Answer a prompt that can't start in time with a refusal."""
        # A turn may end before it comes to a prompt for which there is room.
        if self.refusals is None or not entry.tried:
            return
        ahead = self._count_ahead(entry, now)
        refusal = self.refusals.decide(self.service, entry.get_demand(now), ahead, now)
        if refusal is not None:
            self.counts["refused"] += 1
            answer = PlaceAnswer("", refused=True, retry_after=refusal.retry_after)
            self._answer(entry, answer, now)

    def _count_ahead(self, entry: _Entry, now: float) -> int:
        """Return how many prompts go before one, as of ``ORDER_SECONDS`` ago at most."""
        if now - self._keys_at > ORDER_SECONDS or len(self._keys) != len(self._entries):
            self._keys = sorted(self._make_key(e, now) for e in self._entries.values())
            self._keys_at = now
        return bisect_left(self._keys, self._make_key(entry, now))

    def _offer_last(self, entries: Iterable[_Entry], now: float, turn: _Turn) -> None:
        """Place a prompt whose caller is about to give up, unless one was placed just before."""
        is_recent = now - self._offered_at < LAST_OFFER_INTERVAL_SECONDS
        if is_recent and self._starts_since_offer < LAST_OFFER_STARTS:
            return
        last = [
            entry
            for entry in entries
            if now >= entry.find_last_offer() and entry.get_ticket() in self._entries
        ]
        if last:
            self._offered_at, self._starts_since_offer = now, 0
            self._place_late(min(last, key=lambda entry: self._make_key(entry, now)), now, turn)

    def _place_late(self, entry: _Entry, now: float, turn: _Turn) -> None:
        """Place a prompt whose patience is over."""
        self._note_end("without room", entry)
        self._answer(
            entry, self._place(replace(entry.request, patient=False), entry, None, now), now
        )
        turn.answered.append(entry.get_ticket())

    def _place_in_turn(self, entry: _Entry, now: float, turn: _Turn) -> None:
        """Place a prompt if there is room for it beside what others claim."""
        rank, objective = entry.find_rank(now), entry.demand.objective
        entry.tried = True
        if turn.is_misfit(rank, entry.request, objective):
            return
        turn.tries += 1
        request = replace(entry.request, patient=True)
        if turn.claims:
            request = replace(request, excluded=(*request.excluded, *turn.claims))
        answer = self._place(request, entry, self._find_reserve(entry, now), now)
        if answer.crowded or (turn.claims and not answer.instance):
            turn.note_misfit(rank, entry.request, objective)
            turn.note_claim(entry, answer.instance, now)
            return
        self._note_end("granted" if answer.instance else "no upstream", entry)
        self._answer(entry, answer, now)
        turn.answered.append(entry.get_ticket())

    def _place(
        self, request: PlaceRequest, entry: _Entry, reserve: Reserve | None, now: float
    ) -> PlaceAnswer:
        answer = self.try_place(request, reserve, now)
        if answer.instance and not answer.crowded:
            self._share.add(entry.demand.organisation, request.tokens, now)
            self._starts_since_offer += 1
            if self.refusals is not None:
                self.refusals.note_start(self.service, now)
        return answer

    def _answer(self, entry: _Entry, answer: PlaceAnswer, now: float) -> None:
        self._entries.pop(entry.get_ticket(), None)
        self._answers[entry.get_ticket()] = (answer, now)
        self.note_answer(entry.get_ticket())

    def _order(self, entries: Iterable[_Entry], now: float) -> Iterator[_Entry]:
        """Yield prompts in order; keys change as organisations are served, and then only grow."""
        heap = [(self._make_key(entry, now), entry.number, entry) for entry in entries]
        heapify(heap)
        while heap:
            key, number, entry = heappop(heap)
            current = self._make_key(entry, now)
            if current == key:
                yield entry
            else:
                heappush(heap, (current, number, entry))

    def _make_key(self, entry: _Entry, now: float) -> _Key:
        demand = entry.demand
        deadline = entry.received_at + demand.objective
        reading = entry.request.unread / PREFILL_TOKENS_PER_SECOND
        too_late = now + reading + WAY_SECONDS > deadline
        level = self._share.get_level(demand.organisation, now)
        rank = entry.find_rank(now)
        return rank, too_late, not entry.returning, level, deadline, entry.number

    def _is_due(self, entry: _Entry, now: float) -> bool:
        """Return whether a prompt goes to the best engine even if that lacks room.

        Where prompts that can't start in time are refused, the others wait on: in an engine without
        room they would start no sooner, and delay those that can still start in time.
        """
        waits_on = self.refusals is not None and not self._can_preempt(entry.demand, now)
        return not waits_on and now >= min(entry.patience_end, entry.find_last_offer())

    def _find_patience_end(self, request: PlaceRequest, demand: Demand, now: float) -> float:
        """Return when a prompt's patience ends.

        A short one that nothing outranks has little. One that can yield waits for as long as it
        would still start in time. None waits for longer than its client does.
        """
        seconds = MAX_MEMORY_WAIT_OBJECTIVES * demand.objective
        if self._can_preempt(demand, now):
            seconds = PREEMPTING_OBJECTIVES * demand.objective
        elif self._can_yield(demand, now):
            reading = request.unread / PREFILL_TOKENS_PER_SECOND
            seconds = max(seconds, demand.objective - 2 * reading - YIELD_START_SECONDS)
        return now - demand.age + min(seconds, demand.age + demand.time_left)

    def _can_preempt(self, demand: Demand, now: float) -> bool:
        return not demand.long and not any(self._list_more_urgent(demand.rank, now))

    def _can_yield(self, demand: Demand, now: float) -> bool:
        return any(
            demand.objective >= YIELD_OBJECTIVES * typical.objective
            for typical in self._list_more_urgent(demand.rank, now)
        )

    def _find_reserve(self, entry: _Entry, now: float) -> Reserve:
        """Return what must stay free beside a prompt: the most of all that are more urgent.

        It goes behind no more prompts than it can start after in its objective.
        """
        typical = self._list_more_urgent(entry.find_rank(now), now)
        found = [make_reserve(t.tokens, t.unread, t.objective) for t in typical]
        readable = count_readable(entry.demand.objective)
        return Reserve(
            max((reserve.tokens for reserve in found), default=0),
            min((reserve.max_unread for reserve in found), default=readable),
        )

    def _list_more_urgent(self, rank: int, now: float) -> Iterator[_TypicalPrompt]:
        return (
            typical
            for other, typical in self._typical.items()
            if other < rank and now - typical.seen_at <= TYPICAL_SECONDS
        )

    def _note_end(self, end: str, entry: _Entry) -> None:
        """Count a prompt that waits no longer and was not refused."""
        self.counts[end] += 1
        if self.refusals is not None:
            self.refusals.note_done(self.service, entry.demand.fingerprint)

    def _note_length(self) -> None:
        """Log that the queue got long, and once it is empty again."""
        length = len(self._entries)
        if length >= LONG_QUEUE and not self._is_long:
            self._is_long = True
            log_event(Event.QUEUE_LONG, service=self.service, waiting=length)
        elif not length and self._is_long:
            self._is_long = False
            log_event(Event.QUEUE_EMPTIED, service=self.service)
