"""Manages the upstreams assigned to this entry, and obtains permits for work on any upstream."""

from dataclasses import dataclass, field, replace

import anyio

from daleroad.admission import (
    AdmissionController,
    Admitted,
    Decision,
    PeakMemoryPolicy,
    Queued,
    Refused,
    UpstreamReport,
)
from daleroad.catalog import DropUpstream, SetUpstream
from daleroad.codec import encode
from daleroad.defaults import CALL_TIMEOUT_SECONDS
from daleroad.environment import Environment
from daleroad.errors import Failure, FailureKind
from daleroad.events import Event, log_event
from daleroad.leaderclient import LeaderClient
from daleroad.messages import (
    Handover,
    MembershipAnswer,
    MembershipRequest,
    PermitAnswer,
    PermitEnd,
    PermitRequest,
    Work,
)
from daleroad.records import Organisation, Share, State, Upstream

_QUEUE_INTERVAL_SECONDS = 0.1
_MEMBERSHIP_TIMEOUT_SECONDS = 10.0


@dataclass
class _ManagedUpstream:
    """An upstream whose steward is this entry.

    :param last_heard_at: time of the last report or announcement. If its steward may have changed,
        one entry lease is added, so that it has time to find the new one.
    :param ready_at: when the leases of former stewards have expired.
    :param proposed: the record whose proposal is in progress, if any.
    """

    upstream: Upstream
    admission: AdmissionController
    last_heard_at: float
    ready_at: float
    waiters: dict[str, "_PermitWaiter"] = field(default_factory=dict)
    proposed: Upstream | None = None


@dataclass
class _PermitWaiter:
    done: anyio.Event = field(default_factory=anyio.Event)
    decision: Admitted | Refused | None = None


class Stewardship:
    """Admits work to the upstreams that this entry manages, and requests permits for any.

    :param env: the entry's environment.
    """

    def __init__(self, env: Environment) -> None:
        self._env = env
        self._leader = LeaderClient(env.settings, env.links)
        self._managed: dict[str, _ManagedUpstream] = {}
        self._known_stewards: dict[str, str] = {}

    async def run(self) -> None:
        """Process queues and expire silent upstreams periodically until cancelled."""
        while True:
            await anyio.sleep(_QUEUE_INTERVAL_SECONDS)
            now = anyio.current_time()
            for managed in list(self._managed.values()):
                managed.admission.rebuilding = now < managed.ready_at
                self._process_queue(managed)
                if now > managed.last_heard_at + self._env.settings.upstream_lease:
                    self._remove(managed)
            waiting = sum(managed.admission.count_queued() for managed in self._managed.values())
            self._env.metrics.waiting.set(waiting)

    # Permits.

    async def request_permit(
        self, upstream: Upstream, work: Work, wait: bool
    ) -> PermitAnswer | Failure:
        """Request a permit from the upstream's steward, locally or over the network.

        :param upstream: the upstream.
        :param work: the work.
        :param wait: whether the work may be queued.
        """
        env = self._env
        steward = env.directory.get_steward(upstream.name)
        if steward is None:
            return Failure(
                FailureKind.NO_UPSTREAM, "no steward is known for the upstream", retry_after=1
            )
        name = env.settings.name
        request = PermitRequest(name, upstream.name, env.catalog.epoch, wait, work)
        if steward.name == name:
            answer = await self.decide_permit(request)
        else:
            url = f"{steward.address}/permits"
            limit = CALL_TIMEOUT_SECONDS + (work.deadline if wait else 0)
            answer = await env.links.call(url, encode(request), PermitAnswer, limit)
        if isinstance(answer, PermitAnswer):
            env.loads[upstream.name] = answer.load
        elif answer.kind is FailureKind.OVERLOADED:
            # Counts as more than full, by the expected wait.
            env.loads[upstream.name] = 1.0 + (answer.retry_after or 0)
        return answer

    async def decide_permit(self, request: PermitRequest) -> PermitAnswer | Failure:
        """Decide on a permit request as steward; may block until the work's deadline.

        :param request: the request.
        """
        env = self._env
        managed = self._managed.get(request.upstream)
        if managed is None or request.epoch > env.catalog.epoch:
            return Failure(
                FailureKind.CONFLICT,
                "this entry is not the upstream's steward, or its catalog is outdated",
                retry_after=0.1,
            )
        if not env.follower.has_lease():
            return Failure(
                FailureKind.NO_LEASE, "the steward does not hold a lease", retry_after=1.0
            )
        work = request.work
        record = env.catalog.get("Organisation", work.organisation)
        weight = record.weight if isinstance(record, Organisation) else 1.0
        managed.admission.set_shares(self._get_shares())
        now = anyio.current_time()
        decision = managed.admission.ask(work, now, weight, request.wait)
        if isinstance(decision, Queued):
            decision = await self._wait_for_decision(managed, work.generation)
        return self._make_answer(managed, decision)

    async def _wait_for_decision(
        self, managed: _ManagedUpstream, generation: str
    ) -> Admitted | Refused:
        waiter = managed.waiters.setdefault(generation, _PermitWaiter())
        try:
            await waiter.done.wait()
        finally:
            managed.waiters.pop(generation, None)
            if waiter.decision is None:
                managed.admission.withdraw(generation)
        assert waiter.decision is not None
        return waiter.decision

    def _make_answer(self, managed: _ManagedUpstream, decision: Decision) -> PermitAnswer | Failure:
        match decision:
            case Admitted():
                return PermitAnswer(managed.admission.get_load())
            case Refused(_, failure):
                return failure
        return Failure(
            FailureKind.OVERLOADED, "the work is still queued", retry_after=decision.wait_seconds
        )

    def release_permit(self, end: PermitEnd) -> None:
        """Release a permit as the upstream's steward.

        :param end: the permit, and how the work ended.
        """
        managed = self._managed.get(end.upstream)
        if managed is not None:
            managed.admission.finish(end.generation, end.tokens, end.ok and end.started)
            self._process_queue(managed)

    async def return_permit(self, end: PermitEnd) -> None:
        """Return a permit, locally or over the network, to the upstream's steward to release it.

        :param end: the permit, and how the work ended.
        """
        steward = self._env.directory.get_steward(end.upstream)
        if steward is None:
            return
        if steward.name == self._env.settings.name:
            self.release_permit(end)
        else:
            await self._env.links.call(f"{steward.address}/permits/end", encode(end), type(None))

    def restore_work(self, handover: Handover) -> None:
        """Restore work that a former steward admitted and an entry still delivers.

        :param handover: the work, and the tokens produced so far.
        """
        managed = self._managed.get(handover.upstream)
        if managed is None:
            return
        now = anyio.current_time()
        for work, produced in zip(handover.works, handover.produced, strict=True):
            managed.admission.restore(work, produced, now)

    def _process_queue(self, managed: _ManagedUpstream) -> None:
        for decision in managed.admission.process_queues(anyio.current_time()):
            self._deliver_decision(managed, decision)
        load = managed.admission.get_load()
        self._env.loads[managed.upstream.name] = load
        self._env.metrics.promised.labels(managed.upstream.name).set(load)

    def _deliver_decision(self, managed: _ManagedUpstream, decision: Admitted | Refused) -> None:
        waiter = managed.waiters.get(decision.work.generation)
        if waiter is None:
            # Nobody waits for the decision any more, so a permit is released at once.
            if isinstance(decision, Admitted):
                managed.admission.finish(decision.work.generation, 0, ok=False)
            return
        waiter.decision = decision
        waiter.done.set()

    def _get_shares(self) -> dict[str, float]:
        shares = (v.record for v in self._env.catalog.list_records("Share"))
        return {share.partner: share.share for share in shares if isinstance(share, Share)}

    # Upstreams.

    def handle_announcement(self, upstream: Upstream) -> str | None:
        """Process an upstream's announcement and return its steward's base URL.

        :param upstream: the upstream.
        :return: the base URL, or ``None`` if no steward is known.
        """
        env = self._env
        # A new upstream is not in the catalog yet, so its steward is computed from its record.
        steward = env.directory.pick_steward_of(upstream)
        if steward is None:
            return None
        if steward.name == env.settings.name:
            self._manage(upstream, is_new=upstream.name not in env.catalog.upstreams)
            self._record_upstream(upstream.name, upstream)
        return steward.address

    def handle_report(
        self, name: str, load: UpstreamReport, draining: bool, left: bool, models: list[str]
    ) -> bool:
        """Process an upstream's report; return whether this entry is its steward.

        :param name: the upstream.
        :param load: its load.
        :param draining: whether it is draining.
        :param left: whether it has shut down.
        :param models: its loaded model versions.
        """
        managed = self._managed.get(name)
        if managed is None:
            return False
        managed.last_heard_at = anyio.current_time()
        managed.admission.report(load, managed.last_heard_at)
        self._env.metrics.preemptions.labels(name).set(load.preemptions)
        if left:
            self._remove(managed)
            return True
        if draining and not managed.admission.draining:
            self._drain(managed)
        state = State.DRAINING if draining else State.SERVING
        self._record_upstream(name, replace(managed.upstream, state=state, models=tuple(models)))
        self._process_queue(managed)
        return True

    def update_assignments(self) -> None:
        """Start or stop managing upstreams after a membership change.

        Also hands over this entry's generations to new stewards, and forgets upstreams that left.
        """
        env = self._env
        for name, upstream in env.catalog.upstreams.items():
            steward = env.directory.get_steward(name)
            is_steward = steward is not None and steward.name == env.settings.name
            if is_steward and name not in self._managed:
                self._manage(upstream, is_new=False)
            if not is_steward and name in self._managed:
                self._stop_managing(name)
            known = self._known_stewards.get(name)
            current = steward.name if steward else ""
            if known is not None and known != current:
                env.spawn(self._hand_over, name)
            self._known_stewards[name] = current
        for name in [n for n in self._known_stewards if n not in env.catalog.upstreams]:
            del self._known_stewards[name]
            env.ejector.forget(name)
            env.loads.pop(name, None)

    def _manage(self, upstream: Upstream, is_new: bool) -> None:
        """Start to manage an upstream, or note that one managed already was heard from.

        :param is_new: whether the catalog does not list the upstream yet; the leases of former
            stewards are not waited for then.
        """
        now = anyio.current_time()
        settings = self._env.settings
        managed = self._managed.get(upstream.name)
        if managed is None:
            admission = AdmissionController(
                upstream.capacity,
                upstream.slots,
                self._env.lengths,
                PeakMemoryPolicy(),
                settings.queue_most,
            )
            # A former steward may admit work until its lease expires.
            ready_at = now if is_new else now + settings.entry_lease
            managed = _ManagedUpstream(upstream, admission, now, ready_at)
            admission.rebuilding = now < ready_at
            self._managed[upstream.name] = managed
        # Allows an upstream that is not new time to discover that its steward changed.
        managed.last_heard_at = now if is_new else now + settings.entry_lease

    def _stop_managing(self, name: str) -> None:
        managed = self._managed.pop(name)
        failure = Failure(
            FailureKind.CONFLICT, "this entry no longer manages the upstream", retry_after=0.1
        )
        for refused in managed.admission.refuse_all(failure):
            self._deliver_decision(managed, refused)

    def _drain(self, managed: _ManagedUpstream) -> None:
        managed.admission.draining = True
        log_event(Event.UPSTREAM_DRAINING, name=managed.upstream.name)
        failure = Failure(FailureKind.DRAINING, "the upstream is draining", retry_after=0.1)
        for refused in managed.admission.refuse_all(failure):
            self._deliver_decision(managed, refused)

    def _remove(self, managed: _ManagedUpstream) -> None:
        name = managed.upstream.name
        log_event(Event.UPSTREAM_LEFT, name=name)
        self._stop_managing(name)
        self._env.spawn(self._propose, MembershipRequest(DropUpstream(name)))

    def _record_upstream(self, name: str, upstream: Upstream) -> None:
        """Keep an upstream's current record, and propose it to the catalog if it differs there."""
        managed = self._managed[name]
        managed.upstream = upstream
        in_catalog = self._env.catalog.upstreams.get(name)
        if in_catalog == upstream or managed.proposed == upstream:
            return
        managed.proposed = upstream
        self._env.spawn(self._propose_upstream, managed, upstream)

    async def _propose_upstream(self, managed: _ManagedUpstream, upstream: Upstream) -> None:
        await self._propose(MembershipRequest(SetUpstream(upstream)))
        if managed.proposed == upstream:
            managed.proposed = None

    async def _propose(self, request: MembershipRequest) -> None:
        body = encode(request)
        await self._leader.call(
            "/membership", body, MembershipAnswer, 2.0, _MEMBERSHIP_TIMEOUT_SECONDS
        )

    async def _hand_over(self, name: str) -> None:
        """Tell an upstream's new steward which of its generations this entry delivers."""
        delivered = [i for i in self._env.inflight.values() if i.upstream == name]
        steward = self._env.directory.get_steward(name)
        if not delivered or steward is None:
            return
        works = tuple(inflight.work for inflight in delivered)
        produced = tuple(inflight.produced for inflight in delivered)
        handover = Handover(name, works, produced)
        if steward.name == self._env.settings.name:
            self.restore_work(handover)
            return
        url = f"{steward.address}/permits/restore"
        await self._env.links.call(url, encode(handover), type(None))
