"""How generations get off an engine that leaves, crashes or resets their connection.

An engine that leaves gives a notice of seconds. A run's memory is copied while it goes on, and
shortly before the end it is stopped and the rest is copied. An engine that died gives none; then
only a backup helps, which the engine sent elsewhere all the while.
"""

from collections.abc import Container, Iterator
from dataclasses import dataclass, field

import anyio

from daleroad.defaults import (
    LATE_PLAN_SECONDS,
    MOVE_RETRY_SECONDS,
    MOVE_WORTH_SECONDS,
    NOTICE_SECONDS,
    REPORT_AGAIN_SECONDS,
    REPORT_LAG_SECONDS,
    TOKEN_SECONDS,
)
from daleroad.dispatch import Copied, CopyFault, EngineReport, NotCopied, Source
from daleroad.errors import Failure
from daleroad.evacuation import (
    STOP_MARGIN_SECONDS,
    Room,
    RunSize,
    Slot,
    schedule_copies,
    sum_seconds,
)
from daleroad.events import Event, log_event
from daleroad.fleet import GONE_KEPT_SECONDS, Instance, InstanceState
from daleroad.gateway import Gateway
from daleroad.picking import COPY_ZONE_BONUS, pick_upstream
from daleroad.routing import ServiceRule
from daleroad.runs import Continuation, Run


@dataclass
class _Plan:
    """When the runs of an engine that leaves are copied. Times are on the runtime's clock.

    :param made_at: what the slots count from.
    :param noticed_at: when the notice was heard.
    :param ends_at: when the engine is expected to end.
    :param busy_until: until when its link is busy with the runs that have turns.
    """

    made_at: float
    noticed_at: float
    ends_at: float = 0.0
    runs: tuple[RunSize, ...] = ()
    rooms: tuple[Room, ...] = ()
    token_seconds: float = 0.0
    slots: dict[str, Slot] = field(default_factory=dict)
    busy_until: float = 0.0
    ready: anyio.Event = field(default_factory=anyio.Event)
    extended: anyio.Event = field(default_factory=anyio.Event)

    def __post_init__(self) -> None:
        self.ends_at = self.noticed_at + NOTICE_SECONDS

    def note_leaves_in(self, leaves_in: float | None, now: float) -> None:
        """Take in an engine's word of its end, which was true some time ago.

        :param leaves_in: seconds until then, if it knows.
        :param now: the time.
        """
        if leaves_in is not None:
            self.ends_at = max(self.ends_at, now + leaves_in - REPORT_LAG_SECONDS)

    def schedule(self) -> None:
        """Give turns to the runs; earlier turns stay as they were."""
        seconds = self.ends_at - self.made_at
        self.slots = schedule_copies(self.runs, self.rooms, seconds, self.token_seconds)
        stops = (slot.stop for slot in self.slots.values())
        self.busy_until = self.made_at + max(stops, default=0.0)

    def follow_others(self, own: str) -> None:
        """Give no turns: the other gateways have begun theirs long ago.

        :param own: a run that began after the notice.
        """
        others = [run for run in self.runs if run.id != own]
        seconds = sum_seconds(others, self.rooms, self.token_seconds)
        self.busy_until = self.noticed_at + seconds

    def get_start(self, run_id: str) -> float:
        """Return when a run's first copy starts.

        One without a turn comes after the others, if that may be in time; else only once the
        engine turns out to live longer than expected, so that it takes no time from the others.

        :param run_id: the run.
        """
        slot = self.slots.get(run_id)
        if slot is not None and slot.start is not None:
            return self.made_at + slot.start
        if self.busy_until + STOP_MARGIN_SECONDS < self.ends_at - STOP_MARGIN_SECONDS:
            return self.busy_until
        return self.ends_at

    def get_stop(self, run_id: str) -> float:
        """Return when a run is stopped.

        :param run_id: the run.
        """
        slot = self.slots.get(run_id)
        if slot is not None:
            return self.made_at + slot.stop
        return self.busy_until


class EngineMover:
    """Moves the generations of one gateway.

    :param gateway: the gateway.
    """

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._plans: dict[str, _Plan] = {}

    def begin(self, run: Run) -> None:
        """Begin to move a run off an engine that leaves.

        :param run: the run.
        """
        service = self._gateway.get_service(run.attempt.instance.service)
        if run.moving or run.ended or service is None or service.engine is None:
            return
        if not service.engine.moves:
            return
        run.moving = True
        self._gateway.spawn(self._move, run)

    async def continue_cut(self, run: Run) -> Continuation | None:
        """Return where a run whose stream was cut can go on, if anywhere.

        :param run: the run.
        """
        if run.moving:
            await run.settled.wait()
        if run.continuation is not None:
            return run.continuation
        return await self._rescue(run)

    async def _rescue(self, run: Run) -> Continuation | None:
        """Go on after a cut without notice: the engine may be dead, or only the connection.

        An engine that still works is stopped first, or two engines would make one generation.
        """
        service = self._gateway.get_service(run.attempt.instance.service)
        if service is None or service.engine is None or not service.engine.moves:
            return None
        backup = self._get_live_backup(run)
        destination = backup or self._pick_destination(run, {run.attempt.instance.id})
        if destination is None:
            return None
        copied = await self._copy(run, destination, final=True)
        if isinstance(copied, Copied):
            return self._make_continuation(run, destination, copied)
        self._log_not_copied(run, destination.id, copied.reason)
        if backup is None or copied.fault is CopyFault.BUSY:
            return None
        # A backup bears the request's own id as its handle.
        source = Source(backup.address, run.attempt.job.id, run.last_event)
        return Continuation(backup, source)

    async def _move(self, run: Run) -> None:
        try:
            await self._get_off(run)
        finally:
            run.settled.set()

    async def _get_off(self, run: Run) -> None:
        """Copy while the run goes on; stop it for the rest shortly before its engine ends."""
        origin = run.attempt.instance
        plan = await self._get_plan(origin, run.attempt.job.id)
        excluded = {origin.id}
        while not run.ended and not self._ends_soon(run):
            destination = self._get_planned(run, plan, excluded)
            destination = destination or self._pick_destination(run, excluded)
            if destination is None:
                self._log_not_copied(run, "", "no destination")
                return
            copied = await self._copy_twice(run, destination, plan)
            match copied:
                case Copied():
                    run.continuation = self._make_continuation(run, destination, copied)
                    return
                case NotCopied(reason, fault):
                    self._log_not_copied(run, destination.id, reason)
                    if fault is CopyFault.UNREACHABLE:
                        return
                    if fault is CopyFault.NO_ROOM:
                        excluded.add(destination.id)
            await anyio.sleep(MOVE_RETRY_SECONDS)

    async def _copy_twice(self, run: Run, destination: Instance, plan: _Plan) -> Copied | NotCopied:
        """Copy in the run's turn, then stop it; without a turn, copy only after the others."""
        job = run.attempt.job
        self._gateway.add_load(destination, 1, run.tokens)
        try:
            if job.id not in plan.slots:
                await plan.extended.wait()
            slot = plan.slots.get(job.id)
            if slot is None or slot.start is not None:
                await anyio.sleep_until(plan.get_start(job.id))
                first = await self._copy(run, destination, final=False)
                if isinstance(first, NotCopied):
                    return first
                await plan.extended.wait()
            await anyio.sleep_until(plan.get_stop(job.id))
            return await self._copy(run, destination, final=True)
        finally:
            self._gateway.add_load(destination, -1, -run.tokens)

    async def _get_plan(self, origin: Instance, run_id: str) -> _Plan:
        """Return when runs get off an engine; it is made once."""
        plan = self._plans.get(origin.id)
        if plan is None:
            self._drop_old_plans()
            plan = self._plans[origin.id] = _Plan(
                anyio.current_time(), self._gateway.get_leaving_since(origin)
            )
            await self._fill_plan(plan, origin, run_id)
            plan.ready.set()
            self._gateway.spawn(self._extend_plan, plan, origin)
        await plan.ready.wait()
        return plan

    def _drop_old_plans(self) -> None:
        oldest = anyio.current_time() - GONE_KEPT_SECONDS
        self._plans = {name: p for name, p in self._plans.items() if p.noticed_at > oldest}

    async def _fill_plan(self, plan: _Plan, origin: Instance, run_id: str) -> None:
        report = await self._gateway.dispatcher.report(origin)
        service = self._gateway.get_service(origin.service)
        if isinstance(report, Failure) or service is None or service.engine is None:
            reason = report.reason if isinstance(report, Failure) else "no such service"
            log_event(Event.REPORT_FAILED, upstream=origin.id, reason=reason)
            return
        plan.made_at = anyio.current_time()
        plan.runs = report.runs
        plan.rooms = tuple(self._list_rooms(origin, service))
        plan.token_seconds = service.engine.token_seconds
        plan.note_leaves_in(report.leaves_in, plan.made_at)
        if plan.made_at - plan.noticed_at < LATE_PLAN_SECONDS:
            plan.schedule()
        else:
            plan.follow_others(run_id)
        self._log_plan(plan, origin, report)

    async def _extend_plan(self, plan: _Plan, origin: Instance) -> None:
        """Ask once more when the engine ends, if not all runs have a turn; reports are stale."""
        try:
            if plan.slots and len(plan.slots) < len(plan.runs):
                await anyio.sleep_until(plan.noticed_at + REPORT_AGAIN_SECONDS)
                report = await self._gateway.dispatcher.report(origin)
                if isinstance(report, Failure):
                    reason = report.reason
                    log_event(Event.REPORT_FAILED, upstream=origin.id, reason=reason)
                    return
                plan.note_leaves_in(report.leaves_in, anyio.current_time())
                plan.schedule()
                self._log_plan(plan, origin, report)
        finally:
            plan.extended.set()

    def _log_plan(self, plan: _Plan, origin: Instance, report: EngineReport) -> None:
        log_event(
            Event.EVACUATION_PLANNED,
            upstream=origin.id,
            leaves_in=report.leaves_in,
            ends_in=round(plan.ends_at - anyio.current_time(), 3),
            notice_age=round(anyio.current_time() - plan.noticed_at, 3),
            runs=len(plan.runs),
            slots=len(plan.slots),
            rooms=[(room.id, room.near, int(room.free)) for room in plan.rooms],
        )

    def _list_rooms(self, origin: Instance, service: ServiceRule) -> Iterator[Room]:
        memory = service.engine.memory_tokens if service.engine else 0
        for candidate in self._gateway.list_candidates(service, 0, {origin.id}):
            other = candidate.instance
            free = memory - self._gateway.get_load(other.id).tokens
            if not candidate.doubtful and not candidate.overdue:
                yield Room(other.id, other.zone == origin.zone, free)

    def _get_planned(self, run: Run, plan: _Plan, excluded: Container[str]) -> Instance | None:
        """Return the engine that the schedule names for a run, if it still takes work."""
        slot = plan.slots.get(run.attempt.job.id)
        known = self._gateway.fleet.get(slot.to) if slot and slot.to not in excluded else None
        return known if known is not None and known.state is InstanceState.READY else None

    async def _copy(self, run: Run, destination: Instance, final: bool) -> Copied | NotCopied:
        job = run.attempt.job
        origin = run.attempt.instance
        began = anyio.current_time()
        copied = await self._gateway.dispatcher.copy(job, origin, destination, final)
        if isinstance(copied, Copied):
            log_event(
                Event.STREAM_COPIED,
                request=job.id,
                origin=origin.id,
                to=destination.id,
                zones=f"{origin.zone}>{destination.zone}",
                backup=run.backup is not None and run.backup.id == destination.id,
                final=final,
                made=copied.made,
                delivered=run.last_event,
                seconds=round(anyio.current_time() - began, 3),
            )
        return copied

    def _make_continuation(self, run: Run, to: Instance, copied: Copied) -> Continuation:
        source = Source(run.attempt.instance.address, copied.handle, run.last_event)
        return Continuation(to, source)

    def _get_live_backup(self, run: Run) -> Instance | None:
        """Return the engine with a run's backup if it takes work."""
        if run.backup is None:
            return None
        known = self._gateway.fleet.get(run.backup.id)
        ready = known is not None and known.state is InstanceState.READY
        return run.backup if ready else None

    def _ends_soon(self, run: Run) -> bool:
        prompt = run.attempt.job.prompt
        return prompt is not None and prompt.most_output * TOKEN_SECONDS < MOVE_WORTH_SECONDS

    def _pick_destination(self, run: Run, excluded: set[str]) -> Instance | None:
        gateway = self._gateway
        origin = run.attempt.instance
        service = gateway.get_service(origin.service)
        if service is None:
            return None
        candidates = gateway.list_candidates(service, run.tokens, excluded)
        # A copy to another availability zone takes twice as long, and time is short.
        found = pick_upstream(candidates, origin.zone, gateway.random, COPY_ZONE_BONUS)
        return found.instance if found else None

    def _log_not_copied(self, run: Run, to: str, reason: str) -> None:
        log_event(Event.MOVE_FAILED, request=run.attempt.job.id, to=to, reason=reason)
