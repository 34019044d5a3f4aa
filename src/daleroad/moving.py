"""Live migration of generations off engines that shut down, crash or reset a connection.

An engine that shuts down announces it seconds ahead. A run's memory is first copied while the run
continues (pre-copy); shortly before the engine ends the run is stopped and the remainder is copied
(final copy). An engine that crashes gives no notice; its runs can be resumed only from a backup
that the engine kept up to date on another engine.
"""

from collections.abc import Container, Iterator

import anyio

from daleroad.copyschedule import Room, RunSize
from daleroad.defaults import (
    LATE_PLAN_SECONDS,
    MOVE_RETRY_SECONDS,
    REPORT_AGAIN_SECONDS,
)
from daleroad.dispatch import Copied, CopyFault, EngineReport, NotCopied, Source
from daleroad.errors import Failure
from daleroad.events import Event, log_event
from daleroad.fleet import GONE_KEPT_SECONDS
from daleroad.gateway import Gateway
from daleroad.instances import Instance, InstanceState
from daleroad.plans import Plan
from daleroad.routing import ServiceRule
from daleroad.runs import Continuation, Run
from daleroad.scoring import MIGRATION_ZONE_BONUS, pick_upstream


class EngineMover:
    """Migrates the generations of one gateway.

    :param gateway: the gateway.
    """

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._plans: dict[str, Plan] = {}

    def begin(self, run: Run) -> None:
        """Start to migrate a run off an engine that is shutting down.

        :param run: the run.
        """
        service = self._gateway.get_service(run.attempt.instance.service)
        if run.moving or run.ended or service is None or service.engine is None:
            return
        if not service.engine.moves:
            return
        run.moving = True
        self._gateway.spawn(self._run_migration, run)

    async def continue_cut(self, run: Run) -> Continuation | None:
        """Return the engine that can resume a run whose stream was cut, if there is one.

        :param run: the run.
        """
        if run.moving:
            await run.settled.wait()
        if run.continuation is not None:
            return run.continuation
        return await self._recover_cut_run(run)

    async def _recover_cut_run(self, run: Run) -> Continuation | None:
        """Find an engine to resume on after a cut without notice.

        The engine may have crashed, or only the connection may be broken. A final copy stops the
        run on an engine that still works, so that two engines do not run it at once.
        """
        service = self._gateway.get_service(run.attempt.instance.service)
        if service is None or service.engine is None or not service.engine.moves:
            return None
        backup = self._get_live_backup(run)
        destination = backup or self._pick_destination(run, {run.attempt.instance.id})
        if destination is None:
            return None
        result = await self._copy(run, destination, final=True)
        if isinstance(result, Copied):
            return self._make_continuation(run, destination, result)
        self._log_copy_failure(run, destination.id, result.reason)
        if backup is None or result.fault is CopyFault.BUSY:
            return None
        # The handle of a backup is the request's id.
        source = Source(backup.address, run.attempt.job.id, run.last_event)
        return Continuation(backup, source)

    async def _run_migration(self, run: Run) -> None:
        try:
            await self._migrate(run)
        finally:
            run.settled.set()

    async def _migrate(self, run: Run) -> None:
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
                case Copied():
                    run.continuation = self._make_continuation(run, destination, result)
                    return
                case NotCopied(reason, fault):
                    self._log_copy_failure(run, destination.id, reason)
                    if fault is CopyFault.UNREACHABLE:
                        return
                    if fault is CopyFault.NO_ROOM:
                        # Another engine may have enough memory, but the run's slot has passed: a
                        # copy now would delay the others, so it goes into the late plan.
                        excluded.add(destination.id)
                        plan = await self._find_late_plan(plan, origin)
                        continue
            await anyio.sleep(MOVE_RETRY_SECONDS)

    async def _copy_in_two_steps(
        self, run: Run, destination: Instance, plan: Plan
    ) -> Copied | NotCopied:
        """Pre-copy a run in its slot, then make the final copy; without a slot, after the others.

        A slot without a start time has a final copy only.
        """
        job = run.attempt.job
        self._gateway.loads.add_load(destination, 1, run.tokens)
        try:
            slot = plan.slots.get(job.id)
            if slot is None or slot.start is not None:
                await anyio.sleep_until(plan.get_start(job.id))
                pre_copy = await self._copy(run, destination, final=False)
                if isinstance(pre_copy, NotCopied):
                    return pre_copy
                await plan.extended.wait()
            await anyio.sleep_until(plan.get_stop(job.id))
            return await self._copy(run, destination, final=True)
        finally:
            self._gateway.loads.add_load(destination, -1, -run.tokens)

    async def _find_plan(self, origin: Instance, run_id: str) -> Plan:
        """Return the plan in which a run has its slot; an engine's plan is made once."""
        plan = self._plans.get(origin.id)
        if plan is None:
            self._drop_old_plans()
            noticed_at = self._gateway.get_leaving_since(origin)
            plan = self._plans[origin.id] = Plan(anyio.current_time(), noticed_at)
            await self._make_plan(plan, origin, run_id)
        await plan.ready.wait()
        if run_id in plan.slots:
            return plan
        await plan.extended.wait()
        if run_id in plan.slots:
            return plan
        return await self._find_late_plan(plan, origin)

    async def _find_late_plan(self, plan: Plan, origin: Instance) -> Plan:
        """Return the plan for runs that have no slot or missed it; a plan has one late plan."""
        if not plan.known:
            return plan
        if plan.late is None:
            plan.late = Plan(plan.busy_until, plan.noticed_at, plan.ends_at)
            await self._make_late_plan(plan, plan.late, origin)
        await plan.late.ready.wait()
        return plan.late

    def _drop_old_plans(self) -> None:
        oldest = anyio.current_time() - GONE_KEPT_SECONDS
        self._plans = {id_: plan for id_, plan in self._plans.items() if plan.noticed_at > oldest}

    async def _make_plan(self, plan: Plan, origin: Instance, run_id: str) -> None:
        report = await self._fetch_report(origin)
        if report is not None:
            self._fill_plan(plan, origin, report, report.runs)
            if plan.made_at - plan.noticed_at < LATE_PLAN_SECONDS:
                plan.schedule()
            else:
                plan.follow_others(run_id)
            self._log_plan(plan, origin, report)
        plan.ready.set()
        self._gateway.spawn(self._extend_plan, plan, origin)

    async def _make_late_plan(self, plan: Plan, late: Plan, origin: Instance) -> None:
        """Schedule the remaining runs once those of the plan have been copied."""
        # A report requested earlier may not list these runs yet.
        listed_at = plan.noticed_at + REPORT_AGAIN_SECONDS
        await anyio.sleep_until(max(plan.busy_until, listed_at))
        report = await self._fetch_report(origin)
        if report is not None:
            self._fill_plan(late, origin, report, plan.list_late(report.runs))
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
        self, plan: Plan, origin: Instance, report: EngineReport, runs: tuple[RunSize, ...]
    ) -> None:
        service = self._gateway.get_service(origin.service)
        if service is None or service.engine is None:
            log_event(
                Event.REPORT_FAILED, upstream=origin.id, reason="service is no longer configured"
            )
            return
        plan.known = True
        plan.made_at = anyio.current_time()
        plan.runs = runs
        plan.rooms = tuple(self._list_destinations(origin, service))
        plan.token_seconds = service.engine.token_seconds
        plan.note_leaves_in(report.leaves_in, plan.made_at)

    async def _extend_plan(self, plan: Plan, origin: Instance) -> None:
        """Ask again when the engine ends if some runs have no slot; the first report may be old."""
        try:
            if plan.slots and len(plan.slots) < len(plan.runs):
                await anyio.sleep_until(plan.noticed_at + REPORT_AGAIN_SECONDS)
                report = await self._fetch_report(origin)
                if report is None:
                    return
                plan.note_leaves_in(report.leaves_in, anyio.current_time())
                plan.schedule()
                self._log_plan(plan, origin, report)
        finally:
            plan.extended.set()

    def _log_plan(self, plan: Plan, origin: Instance, report: EngineReport) -> None:
        log_event(
            Event.COPIES_PLANNED,
            upstream=origin.id,
            leaves_in=report.leaves_in,
            ends_in=round(plan.ends_at - anyio.current_time(), 3),
            notice_age=round(anyio.current_time() - plan.noticed_at, 3),
            runs=len(plan.runs),
            slots=len(plan.slots),
            rooms=[(room.id, room.near, int(room.free)) for room in plan.rooms],
        )

    def _list_destinations(self, origin: Instance, service: ServiceRule) -> Iterator[Room]:
        memory = service.engine.memory_tokens if service.engine else 0
        for candidate in self._gateway.selector.list_candidates(service, 0, {origin.id}):
            engine = candidate.instance
            free = memory - self._gateway.loads.get_total(engine.id).tokens
            if not candidate.unhealthy and not candidate.overdue:
                yield Room(engine.id, engine.zone == origin.zone, free)

    def _get_planned_destination(
        self, run: Run, plan: Plan, excluded: Container[str]
    ) -> Instance | None:
        """Return the engine that the schedule names for a run, if it is still ready."""
        slot = plan.slots.get(run.attempt.job.id)
        named = self._gateway.fleet.get(slot.to) if slot and slot.to not in excluded else None
        return named if named is not None and named.state is InstanceState.READY else None

    async def _copy(self, run: Run, destination: Instance, final: bool) -> Copied | NotCopied:
        job = run.attempt.job
        origin = run.attempt.instance
        started_at = anyio.current_time()
        result = await self._gateway.dispatcher.copy(job, origin, destination, final)
        if isinstance(result, Copied):
            log_event(
                Event.STREAM_COPIED,
                request=job.id,
                origin=origin.id,
                to=destination.id,
                zones=f"{origin.zone}>{destination.zone}",
                backup=run.backup is not None and run.backup.id == destination.id,
                final=final,
                made=result.made,
                delivered=run.last_event,
                seconds=round(anyio.current_time() - started_at, 3),
            )
        return result

    def _make_continuation(self, run: Run, to: Instance, copied: Copied) -> Continuation:
        source = Source(run.attempt.instance.address, copied.handle, run.last_event)
        return Continuation(to, source)

    def _get_live_backup(self, run: Run) -> Instance | None:
        """Return the engine with a run's backup, if it is ready and may be sent requests."""
        if run.backup is None:
            return None
        known = self._gateway.fleet.get(run.backup.id)
        if known is None or known.state is not InstanceState.READY:
            return None
        return None if self._gateway.guard.find_unavailable_reason(known) else known

    def _will_end_soon(self, run: Run) -> bool:
        prompt = run.attempt.job.prompt
        return prompt is not None and prompt.ends_soon()

    def _pick_destination(self, run: Run, excluded: set[str]) -> Instance | None:
        gateway = self._gateway
        origin = run.attempt.instance
        service = gateway.get_service(origin.service)
        if service is None:
            return None
        candidates = gateway.selector.list_candidates(service, run.tokens, excluded)
        # A copy to another availability zone takes about twice as long.
        found = pick_upstream(candidates, origin.zone, gateway.random, MIGRATION_ZONE_BONUS)
        if found is None:
            return gateway.selector.pick_rate_limited(service, run.tokens, excluded)
        return found.instance

    def _log_copy_failure(self, run: Run, to: str, reason: str) -> None:
        log_event(Event.MOVE_FAILED, request=run.attempt.job.id, to=to, reason=reason)
