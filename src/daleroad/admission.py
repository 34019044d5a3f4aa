"""Admission control for one upstream, run by its steward.

The steward tracks the requests that it admitted, corrects that state by the upstream's reports, and
admits more only while the expected peak memory of the whole batch fits.

Does no I/O; the caller passes in the time.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from daleroad.defaults import (
    MAX_QUEUED_REQUESTS,
    PERMIT_TIMEOUT_SECONDS,
    STARVATION_SECONDS,
    URGENT_RESERVE,
)
from daleroad.errors import Failure, FailureKind
from daleroad.fairness import FairQueue
from daleroad.lengths import OutputLengths
from daleroad.messages import Work

MAX_UNKNOWN_OUTPUT_TOKENS = 32_768
"""Output limit assumed for a generation that this steward did not admit."""

_MAX_FINISHED_IDS = 512


@dataclass(frozen=True)
class UnlimitedPolicy:
    """Admits every request. A baseline for the bench."""


@dataclass(frozen=True)
class FixedLimitPolicy:
    """Admits up to a fixed number of concurrent requests. A baseline for the bench."""

    max_requests: int


@dataclass(frozen=True)
class MeanLengthPolicy:
    """Admits while memory suffices if each output has the mean length. A baseline for the bench."""


@dataclass(frozen=True)
class PeakMemoryPolicy:
    """Admits while the batch's expected peak memory fits.

    Output lengths are estimated by a quantile of the lengths seen. A preemption raises the quantile
    and a finished request lowers it, so that it settles where about ``target_preemptions`` occur
    for each finished request.
    """

    initial_quantile: float = 0.5
    min_quantile: float = 0.2
    max_quantile: float = 0.98
    step: float = 0.03
    target_preemptions: float = 0.015


Policy = UnlimitedPolicy | FixedLimitPolicy | MeanLengthPolicy | PeakMemoryPolicy


@dataclass(frozen=True)
class Admitted:
    """The request may be dispatched now."""

    work: Work


@dataclass(frozen=True)
class Queued:
    """The request is queued.

    :param wait_seconds: expected wait in seconds.
    """

    work: Work
    wait_seconds: float


@dataclass(frozen=True)
class Refused:
    """The request is neither admitted nor queued.

    If the failure has a ``retry_after``, the request may be asked for again after that time.
    """

    work: Work
    failure: Failure


Decision = Admitted | Queued | Refused


@dataclass
class _AdmittedRequest:
    """A request that runs on the upstream or is about to be dispatched to it.

    :param reported: whether the upstream has reported it.
    :param charged_tokens: tokens counted as charged to its queue; when it finishes, the difference
        to its output is charged. It is the expected output for a request admitted here. For one
        from a former steward and for a placeholder it is the output when it was added, of which
        nothing was charged here.
    """

    work: Work
    admitted_at: float
    produced_tokens: int = 0
    reported: bool = False
    charged_tokens: float = 0.0


@dataclass(frozen=True)
class _QueuedRequest:
    work: Work
    queued_at: float
    deadline_at: float


@dataclass(frozen=True)
class UpstreamReport:
    """An upstream's report of its load.

    :param used_tokens: memory in use.
    :param preemptions: cumulative number of preemptions.
    :param produced_tokens: tokens produced so far, by generation.
    """

    used_tokens: int
    preemptions: int
    produced_tokens: dict[str, int]


def compute_peak_memory(sequences: Iterable[tuple[float, float]]) -> float:
    """Return the peak memory of a batch whose sequences produce the tokens expected of them.

    The peak is reached when some sequence ends. By then, it and all sequences with more remaining
    tokens have each grown by the remaining tokens of the one that ends.

    :param sequences: memory in use and expected remaining output of each, in tokens.
    """
    used = 0.0
    peak = 0.0
    for count, (memory, remaining) in enumerate(sorted(sequences, key=lambda s: -s[1]), start=1):
        used += memory
        peak = max(peak, used + count * remaining)
    return peak


class AdmissionController:
    """The admitted requests, the queues and the admission policy of one upstream.

    :param capacity: memory in tokens; 0 if only the number of slots is limited.
    :param slots: maximum batch size.
    :param lengths: history of output lengths.
    :param policy: how to admit.
    :param max_queued: number of queued requests from which on a partner may queue another only
        while it has less than its share of this number; nobody may queue one at twice the number.
    :param urgent_reserve: fraction of memory and slots reserved for urgent requests.
    :ivar draining: whether the upstream is leaving; every new request is refused.
    :ivar rebuilding: whether a former steward may still admit requests, which are not all known
        here; only urgent ones are admitted then, within the reserve.
    """

    def __init__(
        self,
        capacity: int,
        slots: int,
        lengths: OutputLengths,
        policy: Policy,
        max_queued: int = MAX_QUEUED_REQUESTS,
        urgent_reserve: float = URGENT_RESERVE,
    ) -> None:
        self.capacity = capacity
        self.slots = slots
        self.lengths = lengths
        self.policy = policy
        self.quantile = policy.initial_quantile if isinstance(policy, PeakMemoryPolicy) else 0.0
        self.draining = False
        self.rebuilding = False
        self._max_queued = max_queued
        self._urgent_reserve = urgent_reserve
        self._admitted: dict[str, _AdmittedRequest] = {}
        self._urgent_queue: FairQueue[_QueuedRequest] = FairQueue()
        self._normal_queue: FairQueue[_QueuedRequest] = FairQueue()
        self._queued: dict[str, _QueuedRequest] = {}
        self._finished_ids: dict[str, None] = {}
        self._preemptions: int | None = None
        self._shares: dict[str, float] = {}
        self._tokens_per_second = 0.0
        self._reported_at: float | None = None

    def __len__(self) -> int:
        return len(self._admitted)

    def set_shares(self, shares: dict[str, float]) -> None:
        """Set the partners' shares of the upstream.

        A partner without a share is queued with a weight of 1, and its wait and its part of the
        queue are computed as if it had the whole upstream.

        :param shares: share by partner; only the proportions matter.
        """
        self._shares = shares
        for partner, share in shares.items():
            self._urgent_queue.set_share(partner, share)
            self._normal_queue.set_share(partner, share)

    def get_load(self) -> float:
        """Return the larger of the fractions of the slots occupied and of the memory expected.

        The expected peak memory may exceed the capacity, and the load may then exceed 1.
        """
        slots = len(self._admitted) / max(1, self.slots)
        if not self.capacity:
            return slots
        return max(slots, self._estimate_peak(None) / self.capacity)

    def count_queued(self) -> int:
        """Return the number of queued requests."""
        return len(self._queued)

    def list_works(self) -> Iterator[tuple[Work, int]]:
        """Yield the admitted requests with the number of tokens that each has produced."""
        for admitted in self._admitted.values():
            yield admitted.work, admitted.produced_tokens

    def ask(self, work: Work, now: float, weight: float = 1.0, may_wait: bool = True) -> Decision:
        """Admit, queue or refuse a request.

        :param work: the request.
        :param now: the time.
        :param weight: weight of its organisation.
        :param may_wait: whether it may be queued.
        """
        if self.draining:
            return Refused(work, Failure(FailureKind.DRAINING, "the upstream is draining"))
        if self.capacity and work.prompt_tokens + 1 > self.capacity * (1 - self._urgent_reserve):
            reason = (
                f"the prompt does not fit the part of the upstream's {self.capacity} tokens of "
                "memory that is not reserved for urgent requests"
            )
            return Refused(work, Failure(FailureKind.TOO_LARGE, reason))
        queue = self._urgent_queue if work.urgent else self._normal_queue
        if not len(queue) and self._can_admit(work, now):
            self._admit(work, now, queue)
            return Admitted(work)
        wait = self._estimate_wait(work)
        if not may_wait:
            return Refused(
                work, Failure(FailureKind.OVERLOADED, "no free capacity", retry_after=wait)
            )
        if wait > work.deadline or self._is_queue_full(work):
            after = max(0.5, wait - work.deadline, wait / 2)
            reason = f"the expected wait is {wait:.1f} s"
            return Refused(work, Failure(FailureKind.OVERLOADED, reason, retry_after=after))
        queued = _QueuedRequest(work, now, now + work.deadline)
        self._queued[work.generation] = queued
        queue.push(work.partner, work.organisation, weight, queued)
        return Queued(work, wait)

    def withdraw(self, generation_id: str) -> None:
        """Remove a request from the queue, if it is queued.

        :param generation_id: its generation.
        """
        queued = self._queued.pop(generation_id, None)
        if queued is not None:
            self._remove_queued(queued)

    def finish(self, generation_id: str, tokens: int, ok: bool = True) -> None:
        """Release the capacity of a request that ended, or remove it from the queue.

        :param generation_id: its generation.
        :param tokens: number of tokens that it produced.
        :param ok: whether it ran to completion, so that its length enters the history.
        """
        admitted = self._admitted.pop(generation_id, None)
        if admitted is None:
            self.withdraw(generation_id)
            return
        self._remember_finished(generation_id)
        work = admitted.work
        if not work.route:
            # A placeholder from _add_unknown, whose queue and lengths are unknown.
            return
        queue = self._urgent_queue if work.urgent else self._normal_queue
        queue.charge(work.partner, work.organisation, tokens - admitted.charged_tokens)
        if ok:
            self.lengths.add(work.route, work.model, tokens)
            self._lower_quantile()

    def restore(self, work: Work, produced_tokens: int, now: float) -> None:
        """Add a request that a former steward admitted.

        :param work: the request.
        :param produced_tokens: number of tokens that it has produced.
        :param now: the time.
        """
        known = self._admitted.get(work.generation)
        if known is not None and known.work.route:
            # Only a placeholder, which has no route, is replaced.
            return
        if work.generation in self._finished_ids:
            return
        reported = known is not None
        self._admitted[work.generation] = _AdmittedRequest(
            work, now, produced_tokens, reported, produced_tokens
        )

    def report(self, load: UpstreamReport, now: float) -> None:
        """Reconcile the admitted requests with the upstream's report.

        :param load: the report.
        :param now: the time.
        """
        total = 0
        for generation_id, produced in load.produced_tokens.items():
            admitted = self._admitted.get(generation_id) or self._add_unknown(
                generation_id, load, now
            )
            if admitted is None:
                continue
            total += max(0, produced - admitted.produced_tokens)
            admitted.produced_tokens = max(admitted.produced_tokens, produced)
            admitted.reported = True
        self._update_rate(total, now)
        self._drop_missing(load, now)
        if self._preemptions is not None and load.preemptions > self._preemptions:
            self._raise_quantile(load.preemptions - self._preemptions)
        self._preemptions = load.preemptions

    def process_queues(self, now: float) -> list[Admitted | Refused]:
        """Admit queued requests that fit, and refuse those whose deadline has passed.

        :param now: the time.
        """
        decisions: list[Admitted | Refused] = list(self._refuse_expired(now))
        aged = self._has_aged_request(now)
        if aged:
            decisions.extend(self._admit_from(self._normal_queue, now, confine_urgent=False))
        decisions.extend(self._admit_from(self._urgent_queue, now, aged))
        decisions.extend(self._admit_from(self._normal_queue, now, confine_urgent=False))
        return decisions

    def refuse_all(self, failure: Failure) -> list[Refused]:
        """Refuse all queued requests.

        :param failure: the reason.
        """
        refused = [Refused(queued.work, failure) for queued in self._queued.values()]
        for item in refused:
            self.withdraw(item.work.generation)
        return refused

    def _admit_from(
        self, queue: FairQueue[_QueuedRequest], now: float, confine_urgent: bool
    ) -> Iterator[Admitted | Refused]:
        while (queued := queue.peek()) is not None:
            if not self._can_admit(queued.work, now, confine_urgent):
                return
            queue.pop()
            del self._queued[queued.work.generation]
            self._admit(queued.work, now, queue)
            yield Admitted(queued.work)

    def _remember_finished(self, generation_id: str) -> None:
        self._finished_ids[generation_id] = None
        if len(self._finished_ids) > _MAX_FINISHED_IDS:
            del self._finished_ids[next(iter(self._finished_ids))]

    def _refuse_expired(self, now: float) -> Iterator[Refused]:
        expired = [q for q in self._queued.values() if q.deadline_at <= now]
        for queued in expired:
            self.withdraw(queued.work.generation)
            wait = self._estimate_wait(queued.work)
            reason = "the deadline passed while the request was queued"
            failure = Failure(FailureKind.DEADLINE, reason, retry_after=max(0.5, wait / 2))
            yield Refused(queued.work, failure)

    def _remove_queued(self, queued: _QueuedRequest) -> None:
        queue = self._urgent_queue if queued.work.urgent else self._normal_queue
        queue.remove(queued.work.partner, queued.work.organisation, queued)

    def _has_aged_request(self, now: float) -> bool:
        """Return whether the next non-urgent request was queued over STARVATION_SECONDS ago."""
        head = self._normal_queue.peek()
        return head is not None and now - head.queued_at > STARVATION_SECONDS

    def _admit(self, work: Work, now: float, queue: FairQueue[_QueuedRequest]) -> None:
        expected = min(self.lengths.estimate_mean_tokens(work.route, work.model), work.most_tokens)
        self._admitted[work.generation] = _AdmittedRequest(work, now, charged_tokens=expected)
        queue.charge(work.partner, work.organisation, expected)

    def _can_admit(self, work: Work, now: float, confine_urgent: bool = False) -> bool:
        """Return whether a request may be admitted now.

        Urgent requests may use the whole upstream, others all but the reserve. With
        ``confine_urgent`` or while rebuilding, only the reserve is available, and only urgent
        requests count as its use. UnlimitedPolicy and FixedLimitPolicy have no reserve.

        :param work: the request.
        :param now: the time.
        :param confine_urgent: whether to confine an urgent request to the reserve, since a
            non-urgent one has aged; never set for a non-urgent one.
        """
        share = 1.0 if work.urgent else 1.0 - self._urgent_reserve
        if self.rebuilding and not work.urgent:
            return False
        admitted = list(self._admitted.values())
        if confine_urgent or self.rebuilding:
            share = self._urgent_reserve
            admitted = [a for a in admitted if a.work.urgent]
        match self.policy:
            case UnlimitedPolicy():
                return True
            case FixedLimitPolicy(max_requests):
                return len(self._admitted) < max_requests
            case MeanLengthPolicy() | PeakMemoryPolicy():
                if len(admitted) + 1 > max(1.0, self.slots * share):
                    return False
                if not self.capacity or not admitted:
                    return True
                return self._estimate_peak(work, admitted) <= self.capacity * share

    def _estimate_peak(
        self, extra: Work | None, admitted: list[_AdmittedRequest] | None = None
    ) -> float:
        """Return the expected peak memory of some or all admitted requests and an extra one."""
        batch = self._admitted.values() if admitted is None else admitted
        sequences = [
            (
                a.work.prompt_tokens + a.produced_tokens,
                self._estimate_remaining(a.work, a.produced_tokens),
            )
            for a in batch
        ]
        if extra is not None:
            sequences.append((extra.prompt_tokens, self._estimate_remaining(extra, 0)))
        return compute_peak_memory(sequences)

    def _estimate_remaining(self, work: Work, produced_tokens: int) -> float:
        if isinstance(self.policy, MeanLengthPolicy):
            mean = self.lengths.estimate_mean_tokens(work.route, work.model)
            return max(1.0, min(mean, work.most_tokens) - produced_tokens)
        return self.lengths.estimate_remaining_tokens(
            work.route, work.model, produced_tokens, work.most_tokens, self.quantile
        )

    def _estimate_wait(self, work: Work) -> float:
        """Return the expected queueing time in seconds; 0 while the token rate is unknown.

        It is the smaller of two times: for all tokens queued ahead at the upstream's whole rate,
        and for those queued by the same partner at that partner's share of the rate.
        """
        if self._tokens_per_second <= 0:
            return 0.0
        total = 0.0
        own = 0.0
        for queued in self._queued.values():
            other = queued.work
            if other.urgent or not work.urgent:
                mean = self.lengths.estimate_mean_tokens(other.route, other.model)
                tokens = min(mean, other.most_tokens)
                total += tokens
                own += tokens if other.partner == work.partner else 0.0
        share = self._get_share(work.partner)
        return min(total, own / share) / self._tokens_per_second

    def _get_share(self, partner: str) -> float:
        """Return a partner's fraction of all shares, at least 0.01, or 1 if it has no share."""
        total = sum(self._shares.values())
        if partner not in self._shares or total <= 0:
            return 1.0
        return max(0.01, self._shares[partner] / total)

    def _is_queue_full(self, work: Work) -> bool:
        """Return whether the queue is too full for another request of a partner.

        From ``max_queued`` requests on, it is full for partners with their share of that number in
        it; from twice as many on, for everyone.
        """
        if len(self._queued) < self._max_queued:
            return False
        own = sum(q.work.partner == work.partner for q in self._queued.values())
        max_own = self._max_queued * self._get_share(work.partner)
        return own >= max_own or len(self._queued) >= 2 * self._max_queued

    def _update_rate(self, tokens: int, now: float) -> None:
        """Update the moving average of the upstream's token rate."""
        if self._reported_at is not None and now > self._reported_at:
            rate = tokens / (now - self._reported_at)
            self._tokens_per_second += 0.2 * (rate - self._tokens_per_second)
        self._reported_at = now

    def _add_unknown(
        self, generation_id: str, load: UpstreamReport, now: float
    ) -> _AdmittedRequest | None:
        """Add a placeholder for a reported generation that is not among the admitted requests.

        It has no route, and all memory that the known requests don't explain is taken for its
        prompt. :meth:`restore` replaces it once an entry hands over the request. Reports may be
        stale, so a generation that has finished or was dropped here lately is ignored.
        """
        if generation_id in self._finished_ids:
            return None
        known = sum(a.work.prompt_tokens + a.produced_tokens for a in self._admitted.values())
        produced = load.produced_tokens[generation_id]
        prompt = max(0, load.used_tokens - known - produced)
        work = Work(generation_id, "", "", "", "", False, prompt, MAX_UNKNOWN_OUTPUT_TOKENS, 0.0)
        admitted = _AdmittedRequest(work, now, produced, reported=True, charged_tokens=produced)
        self._admitted[generation_id] = admitted
        return admitted

    def _drop_missing(self, load: UpstreamReport, now: float) -> None:
        """Drop requests the upstream no longer reports, or not within PERMIT_TIMEOUT_SECONDS."""
        for generation_id, admitted in list(self._admitted.items()):
            overdue = now > admitted.admitted_at + PERMIT_TIMEOUT_SECONDS
            if generation_id not in load.produced_tokens and (admitted.reported or overdue):
                self.finish(generation_id, admitted.produced_tokens, ok=False)

    def _raise_quantile(self, preemptions: int) -> None:
        if isinstance(self.policy, PeakMemoryPolicy):
            raised = self.quantile + preemptions * self.policy.step * (
                1 - self.policy.target_preemptions
            )
            self.quantile = min(self.policy.max_quantile, raised)

    def _lower_quantile(self) -> None:
        if isinstance(self.policy, PeakMemoryPolicy):
            lowered = self.quantile - self.policy.step * self.policy.target_preemptions
            self.quantile = max(self.policy.min_quantile, lowered)
