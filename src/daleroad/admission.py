"""Admission to one upstream by its steward. Pure: events in, decisions out, no clock of its own.

The steward keeps a ledger of the work that it admitted, corrected by the upstream's reports, and
admits more only while the memory that the whole batch is expected to need at its peak fits.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from daleroad.defaults import AGEING_SECONDS, PERMIT_SECONDS, QUEUE_MOST, URGENT_RESERVE
from daleroad.errors import Failure, FailureKind
from daleroad.fairness import FairQueue
from daleroad.lengths import Lengths
from daleroad.messages import Work

FOREIGN_MOST_TOKENS = 32_768
"""Limit assumed for the output of work that this steward didn't admit."""

_ENDED_MOST = 512


@dataclass(frozen=True)
class Unlimited:
    """Admit everything. A baseline."""


@dataclass(frozen=True)
class FixedLimit:
    """Admit up to a number of requests. A baseline."""

    most: int


@dataclass(frozen=True)
class MeanLength:
    """Admit while memory suffices if each output had its mean length. A baseline."""


@dataclass(frozen=True)
class PeakMemory:
    """Admit while the batch's expected peak of memory fits.

    The quantile of output lengths moves so that about ``target`` preemptions are seen for each
    finished request: up at once for a preemption, slowly down otherwise.
    """

    quantile: float = 0.5
    least: float = 0.2
    most: float = 0.98
    step: float = 0.03
    target: float = 0.015


Policy = Unlimited | FixedLimit | MeanLength | PeakMemory


@dataclass(frozen=True)
class Granted:
    """The work may be dispatched now."""

    work: Work


@dataclass(frozen=True)
class Queued:
    """The work waits.

    :param wait: expected wait in seconds.
    """

    work: Work
    wait: float


@dataclass(frozen=True)
class Refused:
    """The work will not be admitted here."""

    work: Work
    failure: Failure


Decision = Granted | Queued | Refused


@dataclass
class _Running:
    """Admitted work in the ledger."""

    work: Work
    admitted_at: float
    produced: int = 0
    reported: bool = False
    charged: float = 0.0


@dataclass(frozen=True)
class _Waiting:
    """Work in the queue, by identity."""

    work: Work
    since: float
    until: float


@dataclass(frozen=True)
class Load:
    """What an upstream reports. Memory in tokens."""

    used: int
    preemptions: int
    produced: dict[str, int]


def get_peak(items: Iterable[tuple[float, float]]) -> float:
    """Return the largest memory that a batch will need if the expected rests come true.

    At the moment an item ends, those with a longer rest still run and have grown by as much.

    :param items: memory now and expected rest of each item, in tokens.
    """
    held = 0.0
    peak = 0.0
    for count, (memory, rest) in enumerate(sorted(items, key=lambda i: -i[1]), start=1):
        held += memory
        peak = max(peak, held + count * rest)
    return peak


class Admission:
    """The ledger, the queue and the rules of one upstream.

    :param capacity: memory in tokens; 0 when only the slots limit.
    :param slots: largest batch.
    :param lengths: history of output lengths.
    :param policy: how to admit.
    :param queue_most: works that may wait.
    :param reserve: share of memory and slots kept for urgent work.
    """

    def __init__(
        self,
        capacity: int,
        slots: int,
        lengths: Lengths,
        policy: Policy,
        queue_most: int = QUEUE_MOST,
        reserve: float = URGENT_RESERVE,
    ) -> None:
        self.capacity = capacity
        self.slots = slots
        self.lengths = lengths
        self.policy = policy
        self.quantile = policy.quantile if isinstance(policy, PeakMemory) else 0.0
        self.draining = False
        self.rebuilding = False
        self._queue_most = queue_most
        self._reserve = reserve
        self._running: dict[str, _Running] = {}
        self._urgent: FairQueue[_Waiting] = FairQueue()
        self._long: FairQueue[_Waiting] = FairQueue()
        self._waiting: dict[str, _Waiting] = {}
        self._ended: dict[str, None] = {}
        self._preemptions: int | None = None
        self._shares: dict[str, float] = {}
        self._rate = 0.0
        self._produced_at: float | None = None

    def __len__(self) -> int:
        return len(self._running)

    def set_shares(self, shares: dict[str, float]) -> None:
        """Set the partners' shares.

        :param shares: share by partner.
        """
        self._shares = shares
        for partner, share in shares.items():
            self._urgent.set_share(partner, share)
            self._long.set_share(partner, share)

    def get_load(self) -> float:
        """Return the promised part of the upstream: memory at its peak, or slots, over all."""
        slots = len(self._running) / max(1, self.slots)
        if not self.capacity:
            return slots
        return max(slots, self._get_peak(None) / self.capacity)

    def count_waiting(self) -> int:
        """Return how many works wait."""
        return len(self._waiting)

    def list_works(self) -> Iterator[tuple[Work, int]]:
        """Yield the works in the ledger with their tokens so far."""
        for running in self._running.values():
            yield running.work, running.produced

    def ask(self, work: Work, now: float, weight: float = 1.0, may_wait: bool = True) -> Decision:
        """Admit, queue or refuse a work.

        :param work: the work.
        :param now: the time.
        :param weight: its organisation's weight.
        :param may_wait: whether it may be queued.
        """
        if self.draining:
            return Refused(work, Failure(FailureKind.DRAINING, "the upstream is leaving"))
        if self.capacity and work.prompt_tokens + 1 > self.capacity * (1 - self._reserve):
            reason = f"the prompt needs more than the {self.capacity} tokens of memory"
            return Refused(work, Failure(FailureKind.TOO_LARGE, reason))
        queue = self._urgent if work.urgent else self._long
        if not len(queue) and self._fits(work, now):
            self._admit(work, now, queue)
            return Granted(work)
        wait = self._estimate_wait(work)
        if not may_wait:
            return Refused(work, Failure(FailureKind.OVERLOADED, "no room now", retry_after=wait))
        if wait > work.deadline or self._is_queue_full(work):
            after = max(0.5, wait - work.deadline, wait / 2)
            reason = f"the expected wait is {wait:.1f} s"
            return Refused(work, Failure(FailureKind.OVERLOADED, reason, retry_after=after))
        waiting = _Waiting(work, now, now + work.deadline)
        self._waiting[work.generation] = waiting
        queue.push(work.partner, work.organisation, weight, waiting)
        return Queued(work, wait)

    def withdraw(self, generation: str) -> None:
        """Forget a work that waits.

        :param generation: its generation.
        """
        waiting = self._waiting.pop(generation, None)
        if waiting is not None:
            self._remove(waiting)

    def finish(self, generation: str, tokens: int, ok: bool = True) -> None:
        """Strike a work off the ledger.

        :param generation: its generation.
        :param tokens: what it produced.
        :param ok: whether it came to its natural end, so that its length counts.
        """
        running = self._running.pop(generation, None)
        if running is None:
            self.withdraw(generation)
            return
        self._note_ended(generation)
        work = running.work
        if not work.route:
            return
        queue = self._urgent if work.urgent else self._long
        queue.charge(work.partner, work.organisation, tokens - running.charged)
        if ok:
            self.lengths.add(work.route, work.model, tokens)
            self._learn_finish()

    def restore(self, work: Work, produced: int, now: float) -> None:
        """Put a work into the ledger that a predecessor admitted.

        :param work: the work.
        :param produced: its tokens so far.
        :param now: the time.
        """
        known = self._running.get(work.generation)
        if known is not None and known.work.route:
            return
        if work.generation in self._ended:
            return
        reported = known is not None
        self._running[work.generation] = _Running(work, now, produced, reported, produced)

    def report(self, load: Load, now: float) -> None:
        """Correct the ledger by an upstream's report.

        :param load: the report.
        :param now: the time.
        """
        total = 0
        for generation, produced in load.produced.items():
            running = self._running.get(generation) or self._add_foreign(generation, load, now)
            if running is None:
                continue
            total += max(0, produced - running.produced)
            running.produced = max(running.produced, produced)
            running.reported = True
        self._note_rate(total, now)
        self._drop_lost(load, now)
        if self._preemptions is not None and load.preemptions > self._preemptions:
            self._learn_preemptions(load.preemptions - self._preemptions)
        self._preemptions = load.preemptions

    def advance(self, now: float) -> list[Granted | Refused]:
        """Admit what fits by now, and refuse what waited past its deadline.

        :param now: the time.
        """
        decisions: list[Granted | Refused] = list(self._refuse_late(now))
        aged = self._is_aged(now)
        if aged:
            decisions.extend(self._admit_from(self._long, now, aged=False))
        decisions.extend(self._admit_from(self._urgent, now, aged))
        decisions.extend(self._admit_from(self._long, now, aged=False))
        return decisions

    def refuse_all(self, failure: Failure) -> list[Refused]:
        """Refuse all that waits.

        :param failure: why.
        """
        refused = [Refused(waiting.work, failure) for waiting in self._waiting.values()]
        for item in refused:
            self.withdraw(item.work.generation)
        return refused

    def _admit_from(
        self, queue: FairQueue[_Waiting], now: float, aged: bool
    ) -> Iterator[Granted | Refused]:
        while (waiting := queue.peek()) is not None:
            if not self._fits(waiting.work, now, aged):
                return
            queue.pop()
            del self._waiting[waiting.work.generation]
            self._admit(waiting.work, now, queue)
            yield Granted(waiting.work)

    def _note_ended(self, generation: str) -> None:
        self._ended[generation] = None
        if len(self._ended) > _ENDED_MOST:
            del self._ended[next(iter(self._ended))]

    def _refuse_late(self, now: float) -> Iterator[Refused]:
        late = [w for w in self._waiting.values() if w.until <= now]
        for waiting in late:
            self.withdraw(waiting.work.generation)
            wait = self._estimate_wait(waiting.work)
            reason = "the deadline passed in the queue"
            failure = Failure(FailureKind.DEADLINE, reason, retry_after=max(0.5, wait / 2))
            yield Refused(waiting.work, failure)

    def _remove(self, waiting: _Waiting) -> None:
        queue = self._urgent if waiting.work.urgent else self._long
        queue.remove(waiting.work.partner, waiting.work.organisation, waiting)

    def _is_aged(self, now: float) -> bool:
        head = self._long.peek()
        return head is not None and now - head.since > AGEING_SECONDS

    def _admit(self, work: Work, now: float, queue: FairQueue[_Waiting]) -> None:
        expected = min(self.lengths.estimate_mean(work.route, work.model), work.most_tokens)
        self._running[work.generation] = _Running(work, now, charged=expected)
        queue.charge(work.partner, work.organisation, expected)

    def _fits(self, work: Work, now: float, aged: bool = False) -> bool:
        """Return whether a work may be admitted now.

        Urgent work may use everything, long work all but the reserve. While long work has
        waited too long, urgent work keeps to the reserve.
        """
        share = 1.0 if work.urgent else 1.0 - self._reserve
        if self.rebuilding and not work.urgent:
            return False
        running = list(self._running.values())
        if aged or self.rebuilding:
            share = self._reserve
            running = [r for r in running if r.work.urgent]
        match self.policy:
            case Unlimited():
                return True
            case FixedLimit(most):
                return len(self._running) < most
            case MeanLength() | PeakMemory():
                if len(running) + 1 > max(1.0, self.slots * share):
                    return False
                if not self.capacity or not running:
                    return True
                return self._get_peak(work, running) <= self.capacity * share

    def _get_peak(self, extra: Work | None, running: list[_Running] | None = None) -> float:
        ledger = self._running.values() if running is None else running
        items = [
            (r.work.prompt_tokens + r.produced, self._estimate_rest(r.work, r.produced))
            for r in ledger
        ]
        if extra is not None:
            items.append((extra.prompt_tokens, self._estimate_rest(extra, 0)))
        return get_peak(items)

    def _estimate_rest(self, work: Work, produced: int) -> float:
        if isinstance(self.policy, MeanLength):
            mean = self.lengths.estimate_mean(work.route, work.model)
            return max(1.0, min(mean, work.most_tokens) - produced)
        return self.lengths.estimate_rest(
            work.route, work.model, produced, work.most_tokens, self.quantile
        )

    def _estimate_wait(self, work: Work) -> float:
        """Return the expected wait in seconds.

        All tokens ahead are served at the whole rate, but a partner's own at its share of the
        rate at least, however long the others' queues are.
        """
        if self._rate <= 0:
            return 0.0
        total = 0.0
        own = 0.0
        for waiting in self._waiting.values():
            other = waiting.work
            if other.urgent or not work.urgent:
                mean = self.lengths.estimate_mean(other.route, other.model)
                tokens = min(mean, other.most_tokens)
                total += tokens
                own += tokens if other.partner == work.partner else 0.0
        share = self._get_share(work.partner)
        return min(total, own / share) / self._rate

    def _get_share(self, partner: str) -> float:
        """Return a partner's part of the shares, or all without shares."""
        total = sum(self._shares.values())
        if partner not in self._shares or total <= 0:
            return 1.0
        return max(0.01, self._shares[partner] / total)

    def _is_queue_full(self, work: Work) -> bool:
        """Return whether a partner uses up the queue, or its share of a full one."""
        if len(self._waiting) < self._queue_most:
            return False
        own = sum(w.work.partner == work.partner for w in self._waiting.values())
        most = self._queue_most * self._get_share(work.partner)
        return own >= most or len(self._waiting) >= 2 * self._queue_most

    def _note_rate(self, tokens: int, now: float) -> None:
        if self._produced_at is not None and now > self._produced_at:
            rate = tokens / (now - self._produced_at)
            self._rate += 0.2 * (rate - self._rate)
        self._produced_at = now

    def _add_foreign(self, generation: str, load: Load, now: float) -> _Running | None:
        """Put reported work into the ledger that this steward didn't admit.

        Its holder tells more of it by :meth:`restore`. Reports come late, so work that ended
        since is not taken for foreign.
        """
        if generation in self._ended:
            return None
        known = sum(r.work.prompt_tokens + r.produced for r in self._running.values())
        produced = load.produced[generation]
        prompt = max(0, load.used - known - produced)
        work = Work(generation, "", "", "", "", False, prompt, FOREIGN_MOST_TOKENS, 0.0)
        running = _Running(work, now, produced, reported=True, charged=produced)
        self._running[generation] = running
        return running

    def _drop_lost(self, load: Load, now: float) -> None:
        """Drop work that the upstream no longer runs, or had time enough to start."""
        for generation, running in list(self._running.items()):
            overdue = now > running.admitted_at + PERMIT_SECONDS
            if generation not in load.produced and (running.reported or overdue):
                self.finish(generation, running.produced, ok=False)

    def _learn_preemptions(self, count: int) -> None:
        if isinstance(self.policy, PeakMemory):
            raised = self.quantile + count * self.policy.step * (1 - self.policy.target)
            self.quantile = min(self.policy.most, raised)

    def _learn_finish(self) -> None:
        if isinstance(self.policy, PeakMemory):
            lowered = self.quantile - self.policy.step * self.policy.target
            self.quantile = max(self.policy.least, lowered)
