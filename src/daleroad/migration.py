"""Live migration of generations off engines that shut down, crash or reset a connection.

An engine that shuts down announces it seconds ahead. A run's memory is first copied while the run
continues (pre-copy); shortly before the engine ends the run is stopped and the remainder is copied
(final copy). An engine that crashes gives no notice; its runs can be resumed only from a backup
that the engine kept up to date on another engine.
"""

from collections.abc import Container, Iterable, Iterator

import anyio

from daleroad.copyschedule import Destination, RunSize, find_assigned_elsewhere
from daleroad.defaults import (
    LATE_PLAN_SECONDS,
    MOVE_RETRY_SECONDS,
    REPORT_AGAIN_SECONDS,
)
from daleroad.dispatch import Copied, CopyFault, CopySource, EngineReport, NotCopied
from daleroad.errors import Failure
from daleroad.events import Event, log_event
from daleroad.fleet import GONE_KEPT_SECONDS
from daleroad.gateway import Gateway
from daleroad.instances import Instance, InstanceState
from daleroad.picking import MIGRATION_ZONE_BONUS, pick_upstream
from daleroad.plans import MigrationPlan
from daleroad.routing import ServiceRule
from daleroad.runs import ResumePoint, StopOrder, StreamRun

SHARED_NOTICE_SECONDS = 0.03
"""Time to wait for the notices of other engines that shut down together, before destinations are
shared out among them; one spreads to all gateways within 0.02 s. Short beside a notice of 1.5 s."""

EARLY_REFUSAL_SECONDS = 0.05
"""A copy that is refused so soon left the link idle, so the run's slot can be used for another
destination. Later, its copy would delay the next run's final copy by a quarter of its pause."""

_DESTINATION_LEFT = NotCopied("the destination has left", CopyFault.NO_ROOM, sent=False)


class EngineMigrator:
    """Migrates the generations of one gateway.

    :param gateway: the gateway.
    """

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._plans: dict[str, MigrationPlan] = {}

    def start_migration(self, run: StreamRun) -> None:
        """Start to migrate a run off an engine that is shutting down.

        :param run: the run.
        """
        service = self._gateway.get_service(run.attempt.instance.service)
        if run.migrating or run.ended or service is None or service.engine is None:
            return
        if not service.engine.moves:
            return
        run.migrating = True
        self._gateway.spawn(self._run_migration, run)

    async def find_resume_point(self, run: StreamRun) -> ResumePoint | None:
        """Return the engine that can resume a run whose stream was cut, if there is one.

        :param run: the run.
        """
        return await self._find_migrated(run) or await self._recover_cut_run(run)

    async def _find_migrated(self, run: StreamRun) -> ResumePoint | None:
        """Return the engine that a run was migrated to, if any; wait for a copy under way."""
        if run.migrating:
            await run.migration_done.wait()
        elif run.stop_order is not None:
            await run.stop_order.answered.wait()
        return run.resume_point

    async def copy_cut_off(self, run: StreamRun) -> ResumePoint | None:
        """Stop a run on an engine that this gateway's link to is cut, and copy it elsewhere.

        :param run: the run; its stream hangs.
        :return: the engine with the copy. None if there is none: the run may be over.
        """
        destination = self._find_destination(run)
        copied = await self._copy_finally(run, destination) if destination is not None else None
        return copied if isinstance(copied, ResumePoint) else None

    async def find_other_resume_point(
        self, run: StreamRun, refused: ResumePoint
    ) -> ResumePoint | None:
        """Copy a stopped run to another engine, as this gateway refuses to resume it on the first.

        :param run: the run; its engine keeps its memory.
        :param refused: the engine with the copy, and where that was made from.
        :return: an engine with another copy, or the engine that ran it. None if there is neither.
        """
        origin = run.attempt.instance
        if refused.source.address != origin.address:
            # Its engine had crashed; only the engine with the backup has its memory.
            return None
        excluded = {origin.id, *run.refused_ids}
        while not run.ended:
            destination = self._pick_destination(run, excluded)
            if destination is None:
                break
            copied = await self._copy_finally(run, destination)
            if isinstance(copied, ResumePoint):
                return copied
            if copied.fault is not CopyFault.NO_ROOM:
                break
            excluded.add(destination.id)
        is_open = self._gateway.guard.accepts_resumed(origin, anyio.current_time())
        if origin.id in run.refused_ids or not is_open:
            return None
        return ResumePoint(origin, refused.source)

    async def _recover_cut_run(self, run: StreamRun) -> ResumePoint | None:
        """Find an engine to resume on after a cut without notice.

        The engine may have crashed, or only the connection may be broken. A final copy stops the
        run on an engine that still works, so that two engines do not run it at once.
        """
        destination = self._find_destination(run)
        if destination is None:
            return None
        copied = await self._copy_finally(run, destination)
        if isinstance(copied, ResumePoint):
            return copied
        backup = self._get_live_backup(run)
        if backup is None or copied.fault is CopyFault.BUSY:
            return None
        # The handle of a backup is the request's id.
        source = CopySource(backup.address, run.attempt.job.id, run.last_event)
        return ResumePoint(backup, source)

    def _find_destination(self, run: StreamRun) -> Instance | None:
        """Return the engine to copy a run to: that with its backup, or else another, if any."""
        service = self._gateway.get_service(run.attempt.instance.service)
        if service is None or service.engine is None or not service.engine.moves:
            return None
        backup = self._get_live_backup(run)
        return backup or self._pick_destination(run, {run.attempt.instance.id})

    async def _copy_finally(self, run: StreamRun, destination: Instance) -> ResumePoint | NotCopied:
        result = await self._copy(run, destination, final=True)
        if isinstance(result, Copied):
            return self._make_continuation(run, destination, result)
        self._log_copy_failure(run, destination.id, result.reason)
        return result

    async def _run_migration(self, run: StreamRun) -> None:
        try:
            await self._migrate(run)
        finally:
            run.migration_done.set()

    async def _migrate(self, run: StreamRun) -> None:
        """Copy a run off its engine by the engine's plan, retrying after failures that may pass."""
        origin = run.attempt.instance
        plan = await self._find_plan(origin, run.attempt.job.id)
        excluded = {origin.id}
        while not run.ended and not self._will_end_soon(run):
            destination = self._get_planned_destination(run, plan, excluded)
            destination = destination or self._pick_destination(run, excluded)
            if destination is None:
                self._log_copy_failure(run, "", "no destination")
                return
            result = await self._copy_in_two_steps(run, destination, plan)
            match result:
                case None:
                    return
                case Copied():
                    run.resume_point = self._make_continuation(run, destination, result)
                    return
                case NotCopied(reason, fault, sent):
                    self._log_copy_failure(run, destination.id, reason)
                    if fault is CopyFault.UNREACHABLE:
                        return
                    if fault is CopyFault.NO_ROOM:
                        # Another engine may have enough memory, but the run's slot has passed: a
                        # copy now would delay the others, so it goes into the late plan.
                        excluded.add(destination.id)
                        if not self._keeps_slot(run, plan, destination, excluded, sent):
                            plan = await self._find_late_plan(plan, origin)
                        continue
            await anyio.sleep(MOVE_RETRY_SECONDS)

    async def _copy_in_two_steps(
        self, run: StreamRun, destination: Instance, plan: MigrationPlan
    ) -> Copied | NotCopied | None:
        """Pre-copy a run in its slot, then make the final copy; without a slot, after the others.

        A slot without a start time has a final copy only. ``None`` if the run ended meanwhile.
        """
        job = run.attempt.job
        guarded = run.count_guarded()
        self._gateway.loads.add_load(destination, 1, run.tokens, guarded=guarded)
        try:
            if plan.staggered:
                return await self._copy_in_own_turn(run, destination, plan)
            slot = plan.slots.get(job.id)
            await anyio.sleep_until(plan.get_first_copy(job.id))
            if not self._is_still_suitable(run, destination, plan):
                return _DESTINATION_LEFT
            if slot is None or slot.start is not None:
                pre_copy = await self._copy(run, destination, final=False)
                if isinstance(pre_copy, NotCopied):
                    return pre_copy
                await plan.extended.wait()
            await anyio.sleep_until(plan.get_stop(job.id))
            return await self._copy(run, destination, final=True)
        finally:
            self._gateway.loads.add_load(destination, -1, -run.tokens, guarded=-guarded)

    async def _copy_in_own_turn(
        self, run: StreamRun, destination: Instance, plan: MigrationPlan
    ) -> Copied | NotCopied | None:
        """Copy a run by a staggered plan, and stop it only for a destination that is ready.

        ``None`` if the run ended meanwhile.
        """
        run_id = run.attempt.job.id
        if run_id not in plan.stopped:
            # An extended plan may give the run an earlier start, or a pre-copy.
            with anyio.CancelScope(deadline=plan.get_first_copy(run_id)):
                await plan.extended.wait()
            await anyio.sleep_until(plan.get_first_copy(run_id))
            if not self._is_ready(destination):
                return _DESTINATION_LEFT
            slot = plan.slots.get(run_id)
            if slot is None or slot.start is not None:
                if run.ended:
                    return None
                pre_copy = await self._copy(run, destination, final=False)
                if isinstance(pre_copy, NotCopied):
                    return pre_copy
                await plan.extended.wait()
                await anyio.sleep_until(plan.get_stop(run_id))
            if not self._is_ready(destination):
                return _DESTINATION_LEFT
        if run.ended:
            return None
        plan.stopped.add(run_id)
        return await self._copy(run, destination, final=True)

    def _keeps_slot(
        self,
        run: StreamRun,
        plan: MigrationPlan,
        refused: Instance,
        excluded: set[str],
        was_sent: bool,
    ) -> bool:
        """Return whether a run is copied elsewhere at once after its copy was refused.

        :param refused: the destination that refused.
        :param excluded: ids of the engines that can't be its destination, with that one.
        :param was_sent: whether the destination refused it, not this gateway.
        """
        run_id = run.attempt.job.id
        if run_id in plan.stopped:
            # Its client waits already.
            return True
        used = anyio.current_time() - plan.get_first_copy(run_id)
        if run_id not in plan.slots or used >= EARLY_REFUSAL_SECONDS:
            return False
        if not was_sent:
            return self._has_alternative(run, refused, excluded)
        if not plan.staggered:
            return False
        # A copy to another zone would take twice the slot and delay the others' final copies.
        origin = run.attempt.instance
        following = self._pick_destination(run, excluded)
        if following is None:
            return False
        return following.zone == origin.zone or refused.zone != origin.zone

    def _is_still_suitable(
        self, run: StreamRun, destination: Instance, plan: MigrationPlan
    ) -> bool:
        """Return whether a run is copied to the destination that was chosen before its wait.

        One that leaves meanwhile is kept only if no other has room and the stream gets there soon.
        """
        if self._is_ready(destination):
            return True
        if self._has_alternative(run, destination, {run.attempt.instance.id, destination.id}):
            return False
        stop = max(anyio.current_time(), plan.get_stop(run.attempt.job.id))
        return self._gateway.guard.accepts_copy(destination, stop)

    def _has_alternative(
        self, run: StreamRun, destination: Instance, excluded: Container[str]
    ) -> bool:
        """Return whether an engine with room for a run is no farther than its destination."""
        origin = run.attempt.instance
        service = self._gateway.get_service(origin.service)
        if service is None:
            return False
        candidates = self._gateway.selector.list_candidates(service, run.tokens, excluded)
        is_far = destination.zone != origin.zone
        return any(
            not (c.lacks_memory or c.unhealthy or c.overdue)
            and (is_far or c.instance.zone == origin.zone)
            for c in candidates
        )

    def _is_ready(self, instance: Instance) -> bool:
        known = self._gateway.fleet.get(instance.id)
        return known is not None and known.state is InstanceState.READY

    async def _find_plan(self, origin: Instance, run_id: str) -> MigrationPlan:
        """Return the plan in which a run has its slot; an engine's plan is made once."""
        plan = self._plans.get(origin.id)
        if plan is None:
            self._drop_old_plans()
            noticed_at = self._gateway.get_leave_noticed_at(origin)
            plan = self._plans[origin.id] = MigrationPlan(
                anyio.current_time(),
                noticed_at,
                staggered=self._gateway.get_contention(origin.service).is_ordered(),
            )
            await self._make_plan(plan, origin, run_id)
        await plan.ready.wait()
        if run_id in plan.slots:
            return plan
        await plan.extended.wait()
        if run_id in plan.slots:
            return plan
        return await self._find_late_plan(plan, origin)

    async def _find_late_plan(self, plan: MigrationPlan, origin: Instance) -> MigrationPlan:
        """Return the plan for runs that have no slot or missed it; a plan has one late plan."""
        if not plan.has_report:
            return plan
        if plan.late_plan is None:
            plan.late_plan = MigrationPlan(
                plan.busy_until, plan.noticed_at, plan.ends_at, staggered=plan.staggered
            )
            await self._make_late_plan(plan, plan.late_plan, origin)
        await plan.late_plan.ready.wait()
        return plan.late_plan

    def _drop_old_plans(self) -> None:
        oldest = anyio.current_time() - GONE_KEPT_SECONDS
        self._plans = {id_: plan for id_, plan in self._plans.items() if plan.noticed_at > oldest}

    async def _make_plan(self, plan: MigrationPlan, origin: Instance, run_id: str) -> None:
        if plan.staggered:
            await anyio.sleep(SHARED_NOTICE_SECONDS)
        report = await self._fetch_report(origin)
        if report is not None:
            self._fill_plan(plan, origin, report, report.runs)
            if plan.made_at - plan.noticed_at < LATE_PLAN_SECONDS:
                plan.schedule()
            else:
                plan.wait_for_others(run_id)
            self._log_plan(plan, origin, report)
        plan.ready.set()
        self._gateway.spawn(self._extend_plan, plan, origin)

    async def _make_late_plan(
        self, plan: MigrationPlan, late: MigrationPlan, origin: Instance
    ) -> None:
        """Schedule the remaining runs once those of the plan have been copied."""
        # A report requested earlier may not list these runs yet.
        listed_at = plan.noticed_at + REPORT_AGAIN_SECONDS
        await anyio.sleep_until(max(plan.busy_until, listed_at))
        report = await self._fetch_report(origin)
        if report is not None:
            self._fill_plan(late, origin, report, plan.list_uncovered(report.runs))
            late.schedule()
            self._log_plan(late, origin, report)
        late.ready.set()
        late.extended.set()

    async def _fetch_report(self, origin: Instance) -> EngineReport | None:
        report = await self._gateway.dispatcher.report(origin)
        if isinstance(report, Failure):
            log_event(Event.REPORT_FAILED, upstream=origin.id, reason=report.reason)
            return None
        return report

    def _fill_plan(
        self, plan: MigrationPlan, origin: Instance, report: EngineReport, runs: tuple[RunSize, ...]
    ) -> None:
        service = self._gateway.get_service(origin.service)
        if service is None or service.engine is None:
            log_event(
                Event.REPORT_FAILED, upstream=origin.id, reason="service is no longer configured"
            )
            return
        plan.has_report = True
        plan.made_at = anyio.current_time()
        plan.runs = runs
        plan.destinations = tuple(self._list_destinations(origin, service, plan.staggered))
        plan.token_seconds = service.engine.token_seconds
        plan.postpone_end(report.stops_in_seconds, plan.made_at)

    async def _extend_plan(self, plan: MigrationPlan, origin: Instance) -> None:
        """Ask again when the engine ends if some runs have no slot; the first report may be old."""
        try:
            if plan.should_extend():
                await anyio.sleep_until(plan.noticed_at + REPORT_AGAIN_SECONDS)
                report = await self._fetch_report(origin)
                if report is None:
                    return
                plan.postpone_end(report.stops_in_seconds, anyio.current_time())
                plan.schedule()
                self._log_plan(plan, origin, report)
        finally:
            plan.extended.set()

    def _log_plan(self, plan: MigrationPlan, origin: Instance, report: EngineReport) -> None:
        log_event(
            Event.COPIES_PLANNED,
            upstream=origin.id,
            leaves_in=report.stops_in_seconds,
            ends_in=round(plan.ends_at - anyio.current_time(), 3),
            notice_age=round(anyio.current_time() - plan.noticed_at, 3),
            runs=len(plan.runs),
            slots=len(plan.slots),
            chosen={run_id: slot.destination_id for run_id, slot in plan.slots.items()},
            rooms=[(room.id, room.same_zone, int(room.free_tokens)) for room in plan.destinations],
        )

    def _list_destinations(
        self, origin: Instance, service: ServiceRule, shared: bool
    ) -> Iterator[Destination]:
        """Yield the possible destinations, marking those that other leaving engines fill first."""
        memory = service.engine.memory_tokens if service.engine else 0
        candidates = self._gateway.selector.list_candidates(service, 0, {origin.id})
        engines = [c.instance for c in candidates if not c.unhealthy and not c.overdue]
        assigned = self._find_assigned_elsewhere(origin, engines) if shared else frozenset()
        for engine in engines:
            free = memory - self._gateway.loads.get_total(engine.id).tokens
            same_zone = engine.zone == origin.zone
            yield Destination(engine.id, same_zone, free, engine.id in assigned)

    def _find_assigned_elsewhere(
        self, origin: Instance, engines: Iterable[Instance]
    ) -> frozenset[str]:
        leaving = self._gateway.fleet.list_leaving(origin.service)
        return find_assigned_elsewhere(
            origin.id,
            {engine.id: engine.zone for engine in (*leaving, origin)},
            {engine.id: engine.zone for engine in engines},
        )

    def _get_planned_destination(
        self, run: StreamRun, plan: MigrationPlan, excluded: Container[str]
    ) -> Instance | None:
        """Return the engine that the schedule names for a run, if it is still ready."""
        slot = plan.slots.get(run.attempt.job.id)
        named = (
            self._gateway.fleet.get(slot.destination_id)
            if slot and slot.destination_id not in excluded
            else None
        )
        return named if named is not None and named.state is InstanceState.READY else None

    async def _copy(self, run: StreamRun, destination: Instance, final: bool) -> Copied | NotCopied:
        job = run.attempt.job
        origin = run.attempt.instance
        started_at = anyio.current_time()
        if final:
            result = await self._stop_and_copy(run, destination)
        else:
            result = await self._gateway.dispatcher.copy(job, origin, destination, final)
        if isinstance(result, Copied):
            log_event(
                Event.STREAM_COPIED,
                request=job.id,
                origin=origin.id,
                to=destination.id,
                zones=f"{origin.zone}>{destination.zone}",
                leaving_for=self._gateway.get_leave_age(destination),
                backup=run.backup is not None and run.backup.id == destination.id,
                final=final,
                made=result.events_generated,
                delivered=run.last_event,
                seconds=round(anyio.current_time() - started_at, 3),
            )
        return result

    async def _stop_and_copy(self, run: StreamRun, destination: Instance) -> Copied | NotCopied:
        """Make a final copy, and record the order to stop that goes with it."""
        job, origin = run.attempt.job, run.attempt.instance
        is_first = run.stop_order is None
        order = run.stop_order = run.stop_order or StopOrder()
        try:
            result = await self._gateway.dispatcher.copy(job, origin, destination, True)
        finally:
            order.answered.set()
        if is_first and isinstance(result, NotCopied) and not result.may_have_stopped():
            run.stop_order = None
        return result

    def _make_continuation(self, run: StreamRun, to: Instance, copied: Copied) -> ResumePoint:
        source = CopySource(run.attempt.instance.address, copied.handle, run.last_event)
        return ResumePoint(to, source)

    def _get_live_backup(self, run: StreamRun) -> Instance | None:
        """Return the engine with a run's backup, if it is ready and may be sent requests."""
        if run.backup is None:
            return None
        known = self._gateway.fleet.get(run.backup.id)
        if known is None or known.state is not InstanceState.READY:
            return None
        return None if self._gateway.guard.find_unavailable_reason(known) else known

    def _will_end_soon(self, run: StreamRun) -> bool:
        prompt = run.attempt.job.prompt
        return prompt is not None and prompt.ends_soon()

    def _pick_destination(self, run: StreamRun, excluded: set[str]) -> Instance | None:
        gateway = self._gateway
        origin = run.attempt.instance
        service = gateway.get_service(origin.service)
        if service is None:
            return None
        selector = gateway.selector
        candidates = selector.list_candidates(service, run.tokens, excluded, run.demand)
        # A copy to another availability zone takes about twice as long.
        found = pick_upstream(candidates, origin.zone, gateway.random, MIGRATION_ZONE_BONUS)
        if found is None:
            return gateway.selector.pick_rate_limited(service, run.tokens, excluded)
        return found.instance

    def _log_copy_failure(self, run: StreamRun, to: str, reason: str) -> None:
        log_event(
            Event.MOVE_FAILED,
            request=run.attempt.job.id,
            to=to,
            reason=reason,
            stopped=run.stop_order is not None,
        )
