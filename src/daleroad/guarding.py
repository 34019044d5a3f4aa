"""Checks on every dispatch from a gateway to an upstream, and the record of its outcome.

First attempts, retries, re-opened streams and generations resumed from a copy or a backup all go
through :class:`GuardedDispatcher`. It refuses requests that are held, upstreams in evacuated
availability zones, upstreams that asked the gateway to back off or are leaving, and sends without
a grant to rate-limited upstreams, even where a caller has not checked these itself. It also records
which requests were running when an upstream crashed.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field, replace

import anyio

from daleroad.backpressure import Rests
from daleroad.dispatch import (
    Attempt,
    Copied,
    CopyFault,
    Dispatcher,
    EngineReport,
    Headers,
    Job,
    Lost,
    NotCopied,
    NotRun,
    Piece,
    Reply,
    Stream,
    Whole,
)
from daleroad.errors import Failure
from daleroad.evacuations import EvacuatedZones
from daleroad.events import Event, log_event
from daleroad.fingerprints import find_fingerprint
from daleroad.fleet import Fleet
from daleroad.instances import Instance, InstanceState
from daleroad.sendlimits import Grants
from daleroad.suspects import Standing, Suspects, Suspicion

GrantRequester = Callable[[Attempt], Awaitable[bool]]
"""Requests a grant to send to a rate-limited upstream; returns whether it was given."""

_NOT_GRANTED = "the upstream is rate-limited and no grant was given"


@dataclass
class Guard:
    """Decides whether a gateway may send a request, and records crashes and successes.

    :param suspects: the requests suspected of crashing upstreams.
    :param fleet: the known upstreams.
    :param tell: called with reports that other processes need.
    :param zones: the evacuated availability zones.
    :param rests: the upstreams that asked this gateway to back off.
    :param limited: services whose upstreams are rate-limited while they are cold.
    :param grants: the unused grants for rate-limited upstreams.
    :param ask_grant: requests a further grant.
    """

    suspects: Suspects
    fleet: Fleet
    tell: Callable[[Suspicion], None]
    zones: EvacuatedZones = EvacuatedZones()
    rests: Rests = field(default_factory=Rests)
    limited: frozenset[str] = frozenset()
    grants: Grants = field(default_factory=Grants)
    ask_grant: GrantRequester | None = None

    def is_resting(self, instance: Instance) -> bool:
        """Return whether an upstream asked this gateway to back off.

        :param instance: the upstream.
        """
        return self.rests.is_resting(instance.get_name(), anyio.current_time())

    def is_evacuated(self, instance: Instance) -> bool:
        """Return whether an upstream is in an availability zone that an operator evacuated.

        :param instance: the upstream.
        """
        return instance.zone in self.zones.zones

    def is_limited(self, instance: Instance) -> bool:
        """Return whether sends to an upstream need a grant.

        :param instance: the upstream.
        """
        return self.advertises_rate_limit(instance) or self.is_fragile(instance)

    def advertises_rate_limit(self, instance: Instance) -> bool:
        """Return whether an upstream states the requests per second that it accepts.

        :param instance: the upstream.
        """
        return self.fleet.get_rate_limit(instance.id) is not None

    def is_fragile(self, instance: Instance) -> bool:
        """Return whether an upstream is cold and its service limits the rate to cold upstreams.

        :param instance: the upstream.
        """
        cold = self.fleet.is_cold(instance.id, anyio.current_time())
        return cold and instance.service in self.limited

    def find_refusal_reason(self, attempt: Attempt) -> str:
        """Return why an attempt must not be sent to its upstream, or an empty string.

        :param attempt: the attempt.
        """
        instance = attempt.instance
        if self.get_standing(attempt.job, attempt.organisation) is Standing.HELD:
            return "the request is held because upstreams crashed while running it"
        return self.find_closed(instance) or self._find_leaving_reason(attempt)

    def find_closed(self, instance: Instance) -> str:
        """Return why an upstream accepts no requests for now, or an empty string.

        :param instance: the upstream.
        """
        if self.is_evacuated(instance):
            return "the upstream's availability zone is evacuated"
        if self.is_resting(instance):
            return "the upstream asked this gateway to back off"
        return ""

    def _find_leaving_reason(self, attempt: Attempt) -> str:
        """Return a reason if the attempt is new work for an upstream that is not ready, or "".

        An attempt with a source, whose memory the upstream already holds, may still resume there.
        """
        known = self.fleet.get(attempt.instance.id)
        ready = known is None or known.state is InstanceState.READY
        return "" if ready or attempt.source is not None else "the upstream is leaving"

    def consume_grant(self, attempt: Attempt) -> bool:
        """Use up a grant if there is one; return whether there was one or none is needed.

        :param attempt: the attempt.
        """
        instance = attempt.instance
        held = self.grants.take(instance.id, anyio.current_time())
        return held or not self.is_limited(instance)

    async def request_grant(self, attempt: Attempt) -> bool:
        """Request a grant for an attempt that has none; return whether it was given.

        An attempt placed by the process that places for all gateways has its grant already. Others
        ask here: streams resumed on another upstream, and attempts that were under way when the
        upstream stated its limit.

        :param attempt: the attempt.
        """
        return self.ask_grant is not None and await self.ask_grant(attempt)

    def get_standing(self, job: Job, organisation: str) -> Standing:
        """Return whether and how a request may run.

        :param job: the request.
        :param organisation: the organisation that sent it, or empty.
        """
        if self.suspects.is_empty():
            # Skips hashing the request in the common case.
            return Standing.CLEAR
        fingerprint = find_fingerprint(job, organisation)
        return self.suspects.get_standing(fingerprint, anyio.current_time())

    def note_lost(self, attempt: Attempt) -> None:
        """Record that an upstream was lost while it may have been running a request.

        :param attempt: the attempt.
        """
        instance = self.fleet.get(attempt.instance.id) or attempt.instance
        leaves = instance.state is not InstanceState.READY
        if leaves and not self.fleet.is_replaced(instance):
            # An announced shutdown is not a crash.
            return
        now = anyio.current_time()
        fingerprint = find_fingerprint(attempt.job, attempt.organisation)
        route = f"{attempt.job.host}{attempt.job.path}"
        report = self.suspects.record_crash(
            fingerprint, attempt.organisation, route, attempt.instance.id, now
        )
        if report is None:
            return
        standing = self.suspects.get_standing(fingerprint, now)
        if standing is not Standing.CLEAR:
            log_suspicion(self.suspects.get(fingerprint, now), standing)
        self.tell(report)

    def record_success(self, attempt: Attempt) -> None:
        """Record that a request had a complete response.

        :param attempt: the attempt.
        """
        fingerprint = find_fingerprint(attempt.job, attempt.organisation)
        report = self.suspects.record_success(fingerprint, anyio.current_time())
        if report is not None:
            self.tell(report)


def log_suspicion(known: Suspicion | None, standing: Standing) -> None:
    """Log the crashes recorded for a request.

    :param known: what is known of it; None logs nothing.
    :param standing: its standing.
    """
    if known is None:
        return
    log_event(
        Event.REQUEST_SUSPECTED,
        fingerprint=known.fingerprint,
        caller=known.caller,
        route=known.route,
        standing=standing.value,
        ended=list(known.crashes),
        age=round(known.age, 3),
    )


class _RecordedStream:
    """A stream whose outcome is recorded.

    :param stream: the stream.
    :param attempt: the attempt that opened it.
    :param guard: records the outcome.
    """

    def __init__(self, stream: Stream, attempt: Attempt, guard: Guard) -> None:
        self.status = stream.status
        self.headers: Headers = stream.headers
        self._stream = stream
        self._attempt = attempt
        self._guard = guard

    async def pieces(self) -> AsyncIterator[Piece | Lost]:
        """Yield whole events; only a stream that was cut ends with :class:`Lost`."""
        begun = False
        async for piece in self._stream.pieces():
            if isinstance(piece, Lost):
                self._guard.note_lost(self._attempt)
                yield piece
                return
            begun = True
            yield piece
        # A stream delimited by the end of its connection also ends this way when its upstream
        # crashes, so an empty one is no proof of success.
        if begun:
            self._guard.record_success(self._attempt)

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
            # The answer may have changed while the grant was awaited.
            reason = self._guard.find_refusal_reason(attempt) if granted else _NOT_GRANTED
        if reason:
            return NotRun(reason, sent=False, held=True)
        if attempt.backup is not None and self._guard.find_closed(attempt.backup):
            attempt = replace(attempt, backup=None)
        reply = await self._inner.send(attempt)
        match reply:
            case NotRun():
                pass
            case Lost():
                self._guard.note_lost(attempt)
            case Whole():
                if not reply.is_failed():
                    self._guard.record_success(attempt)
            case _:
                return _RecordedStream(reply, attempt, self._guard)
        return reply

    async def copy(
        self, job: Job, source: Instance, destination: Instance, final: bool
    ) -> Copied | NotCopied:
        """Copy a running generation's memory; a final copy stops the generation first."""
        closed = self._guard.find_closed(destination)
        if closed:
            return NotCopied(f"cannot copy to the destination: {closed}", CopyFault.NO_ROOM)
        return await self._inner.copy(job, source, destination, final)

    async def report(self, instance: Instance) -> EngineReport | Failure:
        """Request an engine's status report."""
        return await self._inner.report(instance)

    def forget(self, instance: Instance) -> None:
        """Close the idle connections to an instance that left."""
        self._inner.forget(instance)
