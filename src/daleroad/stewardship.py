"""An entry as steward: it admits work to the upstreams that the membership gives it."""

from dataclasses import dataclass, field, replace

import anyio

from daleroad.admission import (
    Admission,
    Decision,
    Granted,
    Load,
    PeakMemory,
    Queued,
    Refused,
)
from daleroad.catalog import DropUpstream, SetUpstream
from daleroad.codec import encode
from daleroad.defaults import CALL_TIMEOUT_SECONDS
from daleroad.environment import Environment
from daleroad.errors import Failure, FailureKind
from daleroad.events import Event, log_event
from daleroad.leader import LeaderClient
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

_ADVANCE_SECONDS = 0.1
_MEMBERSHIP_SECONDS = 10.0


@dataclass
class _Kept:
    """One upstream that this entry is steward of."""

    upstream: Upstream
    admission: Admission
    heard_at: float
    ready_at: float
    waiters: dict[str, "_Waiter"] = field(default_factory=dict)
    wanted: Upstream | None = None


@dataclass
class _Waiter:
    done: anyio.Event = field(default_factory=anyio.Event)
    decision: Granted | Refused | None = None


class Stewardship:
    """The upstreams that this entry is steward of, and permits to all of them.

    :param env: the entry's environment.
    """

    def __init__(self, env: Environment) -> None:
        self._env = env
        self._leader = LeaderClient(env.settings, env.links)
        self._kept: dict[str, _Kept] = {}
        self._known_stewards: dict[str, str] = {}

    async def run(self) -> None:
        """Let time pass for the queues until cancelled."""
        while True:
            await anyio.sleep(_ADVANCE_SECONDS)
            now = anyio.current_time()
            for kept in list(self._kept.values()):
                kept.admission.rebuilding = now < kept.ready_at
                self._advance(kept)
                if now > kept.heard_at + self._env.settings.upstream_lease:
                    self._lose(kept)
            waiting = sum(kept.admission.count_waiting() for kept in self._kept.values())
            self._env.metrics.waiting.set(waiting)

    # Permits.

    async def ask(self, upstream: Upstream, work: Work, wait: bool) -> PermitAnswer | Failure:
        """Ask the upstream's steward, here or elsewhere, for a permit.

        :param upstream: the upstream.
        :param work: the work.
        :param wait: whether to wait in its queue.
        """
        env = self._env
        steward = env.directory.get_steward(upstream.name)
        if steward is None:
            return Failure(FailureKind.NO_UPSTREAM, "the upstream has no steward", retry_after=1)
        name = env.settings.name
        request = PermitRequest(name, upstream.name, env.catalog.epoch, wait, work)
        if steward.name == name:
            answer = await self.decide(request)
        else:
            url = f"{steward.address}/permits"
            limit = CALL_TIMEOUT_SECONDS + (work.deadline if wait else 0)
            answer = await env.links.call(url, encode(request), PermitAnswer, limit)
        if isinstance(answer, PermitAnswer):
            env.loads[upstream.name] = answer.load
        elif answer.kind is FailureKind.OVERLOADED:
            env.loads[upstream.name] = 1.0 + (answer.retry_after or 0)
        return answer

    async def decide(self, request: PermitRequest) -> PermitAnswer | Failure:
        """Answer a request for a permit as steward; may take until the work's deadline.

        :param request: the request.
        """
        env = self._env
        kept = self._kept.get(request.upstream)
        if kept is None or request.epoch > env.catalog.epoch:
            return Failure(FailureKind.CONFLICT, "not the steward", retry_after=0.1)
        if not env.follower.has_lease():
            return Failure(FailureKind.NO_LEASE, "the steward has no lease", retry_after=1.0)
        work = request.work
        record = env.catalog.get("Organisation", work.organisation)
        weight = record.weight if isinstance(record, Organisation) else 1.0
        kept.admission.set_shares(self._get_shares())
        now = anyio.current_time()
        decision = kept.admission.ask(work, now, weight, request.wait)
        if isinstance(decision, Queued):
            decision = await self._wait(kept, work.generation)
        return self._answer(kept, decision)

    async def _wait(self, kept: _Kept, generation: str) -> Granted | Refused:
        waiter = kept.waiters.setdefault(generation, _Waiter())
        try:
            await waiter.done.wait()
        finally:
            kept.waiters.pop(generation, None)
            if waiter.decision is None:
                kept.admission.withdraw(generation)
        assert waiter.decision is not None
        return waiter.decision

    def _answer(self, kept: _Kept, decision: Decision) -> PermitAnswer | Failure:
        match decision:
            case Granted():
                return PermitAnswer(kept.admission.get_load())
            case Refused(_, failure):
                return failure
        return Failure(FailureKind.OVERLOADED, "still queued", retry_after=decision.wait)

    def end_locally(self, end: PermitEnd) -> None:
        """Take a permit back as steward.

        :param end: which, and how the work ended.
        """
        kept = self._kept.get(end.upstream)
        if kept is not None:
            kept.admission.finish(end.generation, end.tokens, end.ok and end.started)
            self._advance(kept)

    async def end(self, end: PermitEnd) -> None:
        """Give a permit back to the steward, wherever it is.

        :param end: which, and how the work ended.
        """
        steward = self._env.directory.get_steward(end.upstream)
        if steward is None:
            return
        if steward.name == self._env.settings.name:
            self.end_locally(end)
        else:
            await self._env.links.call(f"{steward.address}/permits/end", encode(end), type(None))

    def restore(self, handover: Handover) -> None:
        """Take over works that an entry delivers and a former steward admitted.

        :param handover: the works.
        """
        kept = self._kept.get(handover.upstream)
        if kept is None:
            return
        now = anyio.current_time()
        for work, produced in zip(handover.works, handover.produced, strict=True):
            kept.admission.restore(work, produced, now)

    def _advance(self, kept: _Kept) -> None:
        for decision in kept.admission.advance(anyio.current_time()):
            self._decide(kept, decision)
        load = kept.admission.get_load()
        self._env.loads[kept.upstream.name] = load
        self._env.metrics.promised.labels(kept.upstream.name).set(load)

    def _decide(self, kept: _Kept, decision: Granted | Refused) -> None:
        waiter = kept.waiters.get(decision.work.generation)
        if waiter is None:
            if isinstance(decision, Granted):
                kept.admission.finish(decision.work.generation, 0, ok=False)
            return
        waiter.decision = decision
        waiter.done.set()

    def _get_shares(self) -> dict[str, float]:
        shares = (v.record for v in self._env.catalog.list_records("Share"))
        return {share.partner: share.share for share in shares if isinstance(share, Share)}

    # Upstreams.

    def announce(self, upstream: Upstream) -> str | None:
        """Take an announcement, or return the base URL of the steward that should.

        :param upstream: the upstream.
        :return: this entry's URL if it is the steward, another's, or nothing if none is known.
        """
        env = self._env
        # A new upstream is not in the catalog yet, so its steward is worked out from its name.
        steward = env.directory.pick_steward_of(upstream)
        if steward is None:
            return None
        if steward.name == env.settings.name:
            self._keep(upstream, is_new=upstream.name not in env.catalog.upstreams)
            self._want(upstream.name, upstream)
        return steward.address

    def tell(self, name: str, load: Load, draining: bool, left: bool, models: list[str]) -> bool:
        """Take an upstream's report; return whether this entry is its steward.

        :param name: the upstream.
        :param load: its load.
        :param draining: whether it is leaving.
        :param left: whether it is gone.
        :param models: its loaded model versions.
        """
        kept = self._kept.get(name)
        if kept is None:
            return False
        kept.heard_at = anyio.current_time()
        kept.admission.report(load, kept.heard_at)
        self._env.metrics.preemptions.labels(name).set(load.preemptions)
        if left:
            self._lose(kept)
            return True
        if draining and not kept.admission.draining:
            self._drain(kept)
        state = State.DRAINING if draining else State.SERVING
        self._want(name, replace(kept.upstream, state=state, models=tuple(models)))
        self._advance(kept)
        return True

    def refresh(self) -> None:
        """Take over and give up upstreams as the membership changed."""
        env = self._env
        for name, upstream in env.catalog.upstreams.items():
            steward = env.directory.get_steward(name)
            mine = steward is not None and steward.name == env.settings.name
            if mine and name not in self._kept:
                self._keep(upstream, is_new=False)
            if not mine and name in self._kept:
                self._give_up(name)
            known = self._known_stewards.get(name)
            now = steward.name if steward else ""
            if known is not None and known != now:
                env.spawn(self._hand_over, name)
            self._known_stewards[name] = now
        for name in [n for n in self._known_stewards if n not in env.catalog.upstreams]:
            del self._known_stewards[name]
            env.ejector.forget(name)
            env.loads.pop(name, None)

    def _keep(self, upstream: Upstream, is_new: bool) -> None:
        now = anyio.current_time()
        settings = self._env.settings
        kept = self._kept.get(upstream.name)
        if kept is None:
            admission = Admission(
                upstream.capacity,
                upstream.slots,
                self._env.lengths,
                PeakMemory(),
                settings.queue_most,
            )
            # A former steward may admit until its lease runs out.
            ready_at = now if is_new else now + settings.entry_lease
            kept = _Kept(upstream, admission, now, ready_at)
            admission.rebuilding = now < ready_at
            self._kept[upstream.name] = kept
        # An upstream that comes from another steward gets time to find this one.
        kept.heard_at = now if is_new else now + settings.entry_lease

    def _give_up(self, name: str) -> None:
        kept = self._kept.pop(name)
        failure = Failure(FailureKind.CONFLICT, "the steward changed", retry_after=0.1)
        for refused in kept.admission.refuse_all(failure):
            self._decide(kept, refused)

    def _drain(self, kept: _Kept) -> None:
        kept.admission.draining = True
        log_event(Event.UPSTREAM_DRAINING, name=kept.upstream.name)
        failure = Failure(FailureKind.DRAINING, "the upstream is leaving", retry_after=0.1)
        for refused in kept.admission.refuse_all(failure):
            self._decide(kept, refused)

    def _lose(self, kept: _Kept) -> None:
        name = kept.upstream.name
        log_event(Event.UPSTREAM_LEFT, name=name)
        self._give_up(name)
        self._env.spawn(self._propose, MembershipRequest(DropUpstream(name)))

    def _want(self, name: str, upstream: Upstream) -> None:
        """Make the catalog show an upstream as it is now."""
        kept = self._kept[name]
        kept.upstream = upstream
        in_catalog = self._env.catalog.upstreams.get(name)
        if in_catalog == upstream or kept.wanted == upstream:
            return
        kept.wanted = upstream
        self._env.spawn(self._propose_upstream, kept, upstream)

    async def _propose_upstream(self, kept: _Kept, upstream: Upstream) -> None:
        await self._propose(MembershipRequest(SetUpstream(upstream)))
        if kept.wanted == upstream:
            kept.wanted = None

    async def _propose(self, request: MembershipRequest) -> None:
        body = encode(request)
        await self._leader.call("/membership", body, MembershipAnswer, 2.0, _MEMBERSHIP_SECONDS)

    async def _hand_over(self, name: str) -> None:
        """Tell an upstream's new steward which works this entry delivers from it."""
        flights = [f for f in self._env.inflight.values() if f.upstream == name]
        steward = self._env.directory.get_steward(name)
        if not flights or steward is None:
            return
        works = tuple(flight.work for flight in flights)
        produced = tuple(flight.produced for flight in flights)
        handover = Handover(name, works, produced)
        if steward.name == self._env.settings.name:
            self.restore(handover)
            return
        url = f"{steward.address}/permits/restore"
        await self._env.links.call(url, encode(handover), type(None))
