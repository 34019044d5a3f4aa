"""The one way from a gateway to upstreams: each run passes it, whoever asked for it.

First tries, repeats, streams made anew, runs that go on from a copy or a backup: all are sent here.
So here it is seen which requests ran where an upstream ended, and a request that is held goes no
further, nor does anything go to an availability zone that is evacuated, to an upstream that asked
for rest or leaves, or to one that bears only so much what was not granted, whatever the caller of
this module has overlooked.
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

AskGrant = Callable[[Attempt], Awaitable[bool]]
"""Asks whether a request may go to an upstream that bears only so much."""

_NOT_GRANTED = "it bears only so much, and this was not granted"


@dataclass
class Guard:
    """What a gateway holds against requests, and how it learns of it.

    :param suspects: the requests that are suspected.
    :param fleet: the upstreams that are alive.
    :param tell: called with what other processes should know.
    :param zones: the availability zones whose upstreams get nothing.
    :param rests: the upstreams that asked this gateway for rest.
    :param limited: services whose upstreams bear only so much while they are cold.
    :param grants: requests that may go to upstreams that bear only so much.
    :param ask_grant: asks for another one.
    """

    suspects: Suspects
    fleet: Fleet
    tell: Callable[[Suspicion], None]
    zones: EvacuatedZones = EvacuatedZones()
    rests: Rests = field(default_factory=Rests)
    limited: frozenset[str] = frozenset()
    grants: Grants = field(default_factory=Grants)
    ask_grant: AskGrant | None = None

    def is_resting(self, instance: Instance) -> bool:
        """Return whether an upstream asked this gateway for rest.

        :param instance: the upstream.
        """
        return self.rests.is_resting(instance.get_name(), anyio.current_time())

    def is_evacuated(self, instance: Instance) -> bool:
        """Return whether an operator wants nothing more sent to an upstream.

        :param instance: the upstream.
        """
        return instance.zone in self.zones.zones

    def is_limited(self, instance: Instance) -> bool:
        """Return whether an upstream gets only what was granted: it is cold, or names a limit.

        :param instance: the upstream.
        """
        return self.names_limit(instance) or self.is_fragile(instance)

    def names_limit(self, instance: Instance) -> bool:
        """Return whether an upstream names the requests a second that it takes.

        :param instance: the upstream.
        """
        return self.fleet.get_rate_limit(instance.id) is not None

    def is_fragile(self, instance: Instance) -> bool:
        """Return whether an upstream is cold and would end under more than it bears then.

        :param instance: the upstream.
        """
        cold = self.fleet.is_cold(instance.id, anyio.current_time())
        return cold and instance.service in self.limited

    def find_obstacle(self, attempt: Attempt) -> str:
        """Return why a request must not be sent where it should go, or an empty text.

        :param attempt: the request.
        """
        instance = attempt.instance
        if self.get_standing(attempt.job, attempt.organisation) is Standing.HELD:
            return "upstreams ended while they ran it"
        return self.find_closed(instance) or self._find_leaving(attempt)

    def find_closed(self, instance: Instance) -> str:
        """Return why an upstream gets nothing for now, or an empty text.

        :param instance: the upstream.
        """
        if self.is_evacuated(instance):
            return "its availability zone is evacuated"
        if self.is_resting(instance):
            return "it asked for rest"
        return ""

    def _find_leaving(self, attempt: Attempt) -> str:
        """Return whether something new would go to an upstream that leaves, as a reason.

        A generation whose memory is there already goes on there for as long as it can.
        """
        known = self.fleet.get(attempt.instance.id)
        ready = known is None or known.state is InstanceState.READY
        return "" if ready or attempt.source is not None else "it leaves"

    def take_grant(self, attempt: Attempt) -> bool:
        """Return whether a request needs no grant, or has one, which is used up.

        :param attempt: the request.
        """
        instance = attempt.instance
        held = self.grants.take(instance.id, anyio.current_time())
        return held or not self.is_limited(instance)

    async def ask_for_grant(self, attempt: Attempt) -> bool:
        """Return whether a request that has no grant gets one.

        What was placed for all gateways has its grant. Others ask here: streams that go on
        elsewhere, and whatever was on its way when the upstream named its limit.

        :param attempt: the request.
        """
        return self.ask_grant is not None and await self.ask_grant(attempt)

    def get_standing(self, job: Job, organisation: str) -> Standing:
        """Return what may be done with a request.

        :param job: the request.
        :param organisation: the organisation that sent it, or empty.
        """
        if self.suspects.is_empty():
            # Mostly nothing is suspected, and no fingerprint is needed.
            return Standing.CLEAR
        fingerprint = find_fingerprint(job, organisation)
        return self.suspects.get_standing(fingerprint, anyio.current_time())

    def note_lost(self, attempt: Attempt) -> None:
        """Take in that an upstream lost a request which it may have begun.

        :param attempt: what was sent, and where.
        """
        instance = self.fleet.get(attempt.instance.id) or attempt.instance
        leaves = instance.state is not InstanceState.READY
        if leaves and not self.fleet.is_replaced(instance):
            # It said that it would go.
            return
        now = anyio.current_time()
        fingerprint = find_fingerprint(attempt.job, attempt.organisation)
        route = f"{attempt.job.host}{attempt.job.path}"
        news = self.suspects.note_crash(
            fingerprint, attempt.organisation, route, attempt.instance.id, now
        )
        if news is None:
            return
        standing = self.suspects.get_standing(fingerprint, now)
        if standing is not Standing.CLEAR:
            log_suspicion(self.suspects.get(fingerprint, now), standing)
        self.tell(news)

    def note_whole(self, attempt: Attempt) -> None:
        """Take in that a request had a whole answer.

        :param attempt: what was sent, and where.
        """
        fingerprint = find_fingerprint(attempt.job, attempt.organisation)
        news = self.suspects.note_whole(fingerprint, anyio.current_time())
        if news is not None:
            self.tell(news)


def log_suspicion(known: Suspicion | None, standing: Standing) -> None:
    """Log what is held against a request.

    :param known: what is known of it.
    :param standing: what may be done with it.
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


class _GuardedStream:
    """A stream whose end is noted.

    :param stream: the stream.
    :param attempt: what was sent, and where.
    :param guard: notes how it ended.
    """

    def __init__(self, stream: Stream, attempt: Attempt, guard: Guard) -> None:
        self.status = stream.status
        self.headers: Headers = stream.headers
        self._stream = stream
        self._attempt = attempt
        self._guard = guard

    async def pieces(self) -> AsyncIterator[Piece | Lost]:
        """Yield whole events; a cut stream ends with :class:`Lost`, a complete one without."""
        begun = False
        async for piece in self._stream.pieces():
            if isinstance(piece, Lost):
                self._guard.note_lost(self._attempt)
                yield piece
                return
            begun = True
            yield piece
        # A stream that ends with its connection ends like that too where its upstream does.
        if begun:
            self._guard.note_whole(self._attempt)

    async def close(self) -> None:
        """Close the connection if the stream is not over."""
        await self._stream.close()


class GuardedDispatcher:
    """A dispatcher that sends nothing that is held, and notes what upstreams end under.

    :param inner: carries requests to upstreams.
    :param guard: decides and notes.
    """

    def __init__(self, inner: Dispatcher, guard: Guard) -> None:
        self._inner = inner
        self._guard = guard

    async def send(self, attempt: Attempt) -> Reply:
        """Send a request and return its answer, or the stream that it began."""
        obstacle = self._guard.find_obstacle(attempt)
        if not obstacle and not self._guard.take_grant(attempt):
            granted = await self._guard.ask_for_grant(attempt)
            # An order may have come while the grant was asked for.
            obstacle = self._guard.find_obstacle(attempt) if granted else _NOT_GRANTED
        if obstacle:
            return NotRun(obstacle, sent=False, held=True)
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
                    self._guard.note_whole(attempt)
            case _:
                return _GuardedStream(reply, attempt, self._guard)
        return reply

    async def copy(
        self, job: Job, source: Instance, destination: Instance, final: bool
    ) -> Copied | NotCopied:
        """Copy a running generation's memory; a final copy stops it first."""
        closed = self._guard.find_closed(destination)
        if closed:
            return NotCopied(f"the destination: {closed}", CopyFault.NO_ROOM)
        return await self._inner.copy(job, source, destination, final)

    async def report(self, instance: Instance) -> EngineReport | Failure:
        """Ask an engine for its report; each one is paid for."""
        return await self._inner.report(instance)

    def forget(self, instance: Instance) -> None:
        """Close the idle connections to an instance that left."""
        self._inner.forget(instance)
