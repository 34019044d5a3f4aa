"""Checks on every dispatch from a gateway to an upstream, and the record of its outcome.

First attempts, retries, re-opened streams and generations resumed from a copy or a backup all go
through :class:`GuardedDispatcher`. It refuses requests that are held, upstreams in evacuated
availability zones, upstreams that asked the gateway to back off or are leaving, and sends without
a grant to rate-limited upstreams, even where a caller has not checked these itself. It also records
which requests were running when an upstream crashed.

Some things are not refused here. A generation with a source may be copied to an upstream that is
leaving until LAST_COPY_SECONDS after its notice, and resume there until HAND_OVER_SECONDS after it;
the source is not checked. For a request on its last try or a trial (:class:`Standing`), the caller
chooses the upstream and claims the trial.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field, replace

import anyio

from daleroad.backpressure import UpstreamBackoffs
from daleroad.clientstalls import ClientStall
from daleroad.crashevidence import CrashEvidence
from daleroad.defaults import HAND_OVER_SECONDS, LAST_COPY_SECONDS
from daleroad.dispatch import (
    Attempt,
    ClientRequest,
    Copied,
    CopyFault,
    Dispatcher,
    EngineReport,
    Headers,
    Lost,
    NotCopied,
    NotRun,
    Reply,
    Stream,
    StreamEvent,
    Whole,
)
from daleroad.errors import Failure
from daleroad.evacuations import EvacuatedZones
from daleroad.fleet import Fleet
from daleroad.instances import Instance, InstanceState
from daleroad.leavenotices import LeaveNotices
from daleroad.onsets import Onset, Progress
from daleroad.sendlimits import Grants
from daleroad.suspects import Standing

GrantRequester = Callable[[Attempt], Awaitable[bool]]
"""Requests a grant to send to a rate-limited upstream; returns whether it was given."""

_NO_EVENT = "the stream ended before its first event"
_LEAVING = "the upstream is leaving or gone"
_NOT_GRANTED = "the upstream is rate-limited and no grant was given"


@dataclass
class Guard:
    """Decides whether a gateway may send a request.

    :param evidence: what is suspected of crashing upstreams.
    :param fleet: the known upstreams.
    :param leave_notices: when the gateway learnt that upstreams leave.
    :param zones: the evacuated availability zones.
    :param backoffs: the upstreams that asked this gateway to back off.
    :param cold_limited_services: services whose upstreams are rate-limited while they are cold.
    :param grants: the unused grants for rate-limited upstreams.
    :param request_grant_callback: requests a grant for an attempt that has none; if None, none is
        given.
    :param resumed_at: when the VM last resumed after a suspension, which is no client's stall.
    """

    evidence: CrashEvidence
    fleet: Fleet
    leave_notices: LeaveNotices = field(default_factory=LeaveNotices)
    zones: EvacuatedZones = EvacuatedZones()
    backoffs: UpstreamBackoffs = field(default_factory=UpstreamBackoffs)
    cold_limited_services: frozenset[str] = frozenset()
    grants: Grants = field(default_factory=Grants)
    request_grant_callback: GrantRequester | None = None
    resumed_at: float = float("-inf")

    def is_backing_off(self, instance: Instance) -> bool:
        """Return whether an upstream asked this gateway to back off.

        :param instance: the upstream.
        """
        return self.backoffs.is_backing_off(instance.get_name(), anyio.current_time())

    def is_evacuated(self, instance: Instance) -> bool:
        """Return whether an upstream is in an availability zone that an operator evacuated.

        :param instance: the upstream.
        """
        return instance.zone in self.zones.zones

    def needs_grant(self, instance: Instance) -> bool:
        """Return whether sends to an upstream need a grant.

        :param instance: the upstream.
        """
        return self.advertises_rate_limit(instance) or self.is_cold_limited(instance)

    def advertises_rate_limit(self, instance: Instance) -> bool:
        """Return whether an upstream advertises a limit on its requests per second.

        :param instance: the upstream.
        """
        return self.fleet.get_rate_limit(instance.id) is not None

    def is_cold_limited(self, instance: Instance) -> bool:
        """Return whether an upstream is cold and its service limits the rate to cold upstreams.

        :param instance: the upstream.
        """
        cold = self.fleet.is_cold(instance.id, anyio.current_time())
        return cold and instance.service in self.cold_limited_services

    def find_refusal_reason(self, attempt: Attempt) -> str:
        """Return why an attempt must not be sent to its upstream, or an empty string.

        :param attempt: the attempt.
        """
        instance = attempt.instance
        verdict = self.evidence.find_verdict(attempt.job, attempt.organisation, instance.service)
        if verdict.standing is Standing.HELD:
            return f"held: {verdict.describe()}"
        return self.find_unavailable_reason(instance) or self._find_leaving_reason(attempt)

    def find_unavailable_reason(self, instance: Instance) -> str:
        """Return why this gateway sends no requests or copies to an upstream, or an empty string.

        :param instance: the upstream.
        """
        if self.is_evacuated(instance):
            return "the upstream's availability zone is evacuated"
        if self.is_backing_off(instance):
            return "the upstream asked this gateway to back off"
        return ""

    def is_leaving(self, instance: Instance) -> bool:
        """Return whether an upstream is leaving or gone; one that is unknown counts as ready.

        :param instance: the upstream.
        """
        known = self.fleet.get(instance.id)
        return known is not None and known.state is not InstanceState.READY

    def accepts_resumed(self, instance: Instance, time: float) -> bool:
        """Return whether a stream whose memory an upstream has may be sent there at some time.

        :param instance: the upstream.
        :param time: the time, on the event loop's clock.
        """
        return self._get_leaving_seconds(instance, time) <= HAND_OVER_SECONDS

    def accepts_copy(self, instance: Instance, time: float) -> bool:
        """Return whether a copy to an upstream may begin at some time.

        :param instance: the upstream.
        :param time: the time, on the event loop's clock.
        """
        return self._get_leaving_seconds(instance, time) <= LAST_COPY_SECONDS

    def _get_leaving_seconds(self, instance: Instance, time: float) -> float:
        """Return the seconds since the notice of an upstream; infinity if that is not known.

        Negative infinity for one that is not leaving.
        """
        if not self.is_leaving(instance):
            return float("-inf")
        age = self.leave_notices.get_age(instance.id, time)
        return float("inf") if age is None else age

    def find_copy_refusal_reason(self, destination: Instance) -> str:
        """Return why a generation must not be copied to an upstream, or an empty string.

        :param destination: the upstream.
        """
        closed = self.find_unavailable_reason(destination)
        accepts = self.accepts_copy(destination, anyio.current_time())
        return closed or ("" if accepts else _LEAVING)

    def _find_leaving_reason(self, attempt: Attempt) -> str:
        """Return a reason if an attempt must not be sent as its upstream leaves, or ""."""
        if attempt.source is not None:
            accepts = self.accepts_resumed(attempt.instance, anyio.current_time())
            return "" if accepts else _LEAVING
        return _LEAVING if self.is_leaving(attempt.instance) else ""

    def accepts_backup(self, instance: Instance) -> bool:
        """Return whether an upstream may keep the backup of a generation.

        :param instance: the upstream.
        """
        return not (self.is_leaving(instance) or self.find_unavailable_reason(instance))

    def consume_grant(self, attempt: Attempt) -> bool:
        """Use up a grant if there is one; return whether there was one or none is needed.

        :param attempt: the attempt.
        """
        instance = attempt.instance
        had_grant = self.grants.consume(instance.id, anyio.current_time())
        return had_grant or not self.needs_grant(instance)

    async def request_grant(self, attempt: Attempt) -> bool:
        """Request a grant for an attempt that has none; return whether it was given.

        An attempt placed by the placer for a rate-limited upstream has its grant already. Others
        ask here: streams resumed on another upstream, attempts placed before the upstream was known
        to be limited, and those whose grant has expired.

        :param attempt: the attempt.
        """
        return self.request_grant_callback is not None and await self.request_grant_callback(
            attempt
        )


class _RecordedStream:
    """Passes on a stream, and records the crash or the success that it ends with.

    :param stream: the stream.
    :param attempt: the attempt that opened it.
    :param guard: records the outcome.
    """

    def __init__(self, stream: Stream, attempt: Attempt, guard: Guard) -> None:
        self.status = stream.status
        self.headers: Headers = stream.headers
        self.delimited = stream.delimited
        self._stream = stream
        self._attempt = attempt
        self._guard = guard
        self._onset = Onset(anyio.current_time())

    async def events(self) -> AsyncIterator[StreamEvent | Lost]:
        """Yield complete events, then :class:`Lost` if the stream was interrupted."""
        begun = False
        evidence = self._guard.evidence
        stall = ClientStall()
        ready_at = anyio.current_time()
        async for piece in self._stream.events():
            now = anyio.current_time()
            if isinstance(piece, Lost):
                piece = replace(piece, unread=stall.explains_cut(now - ready_at))
                if piece.blames_upstream():
                    evidence.record_lost(self._attempt, self._onset.get_progress())
                yield piece
                return
            begun = True
            stall.note_event(now - ready_at)
            if self._onset.note_event(now - ready_at, now):
                evidence.record_far(self._attempt)
            yield piece
            ready_at = anyio.current_time()
            stall.note_taken(ready_at - max(now, self._guard.resumed_at))
        if not self.delimited and not begun and self._attempt.starts_stream():
            # Every generation has events, so its upstream crashed before the first.
            evidence.record_lost(self._attempt, self._onset.get_progress())
            yield Lost(_NO_EVENT)
        elif not self.delimited:
            evidence.record_undelimited(self._attempt, self._onset.get_progress())
        elif begun:
            evidence.record_success(self._attempt)

    async def close(self) -> None:
        """Close the connection if the stream is not over."""
        await self._stream.close()


class GuardedDispatcher:
    """A dispatcher that sends only what the guard allows, and records the outcomes.

    :param inner: carries requests to upstreams.
    :param guard: decides and records.
    """

    def __init__(self, inner: Dispatcher, guard: Guard) -> None:
        self._inner = inner
        self._guard = guard

    async def send(self, attempt: Attempt) -> Reply:
        """Send a request; return its response, the stream that it opened, or why it failed."""
        reason = self._guard.find_refusal_reason(attempt)
        if not reason and not self._guard.consume_grant(attempt):
            granted = await self._guard.request_grant(attempt)
            # A reason for a refusal may have arisen while the grant was awaited.
            reason = self._guard.find_refusal_reason(attempt) if granted else _NOT_GRANTED
        if reason:
            return NotRun(reason, sent=False, held=True)
        if attempt.backup is not None and not self._guard.accepts_backup(attempt.backup):
            attempt = replace(attempt, backup=None)
        reply = await self._inner.send(attempt)
        evidence = self._guard.evidence
        match reply:
            case NotRun():
                pass
            case Lost(begun=begun):
                if reply.blames_upstream():
                    progress = Progress.BEGUN if begun else Progress.UNBEGUN
                    evidence.record_lost(attempt, progress)
            case Whole():
                if reply.is_success() and not reply.delimited:
                    evidence.record_undelimited(attempt, Progress.BEGUN)
                elif not reply.is_failed():
                    evidence.record_success(attempt, clears_parts=reply.is_success())
            case _:
                return _RecordedStream(reply, attempt, self._guard)
        return reply

    async def copy(
        self, job: ClientRequest, source: Instance, destination: Instance, final: bool
    ) -> Copied | NotCopied:
        """Copy a running generation's memory; a final copy stops the generation first."""
        closed = self._guard.find_copy_refusal_reason(destination)
        if closed:
            # This fault is also that of a destination that can't be reached.
            reason = f"cannot copy to the destination: {closed}"
            return NotCopied(reason, CopyFault.NO_ROOM, sent=False)
        return await self._inner.copy(job, source, destination, final)

    async def report(self, instance: Instance) -> EngineReport | Failure:
        """Ask an engine for its report; nothing is checked or recorded."""
        return await self._inner.report(instance)

    def forget(self, instance: Instance) -> None:
        """Close the idle connections to an instance that left."""
        self._inner.forget(instance)
