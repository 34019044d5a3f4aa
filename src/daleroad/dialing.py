"""Connects to upstreams: directly, or through another gateway where that works and this doesn't.

Only connections are raced, before anything is sent: a request goes on one of them, and a failure
to connect proves that it did not run.
"""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

import anyio

from daleroad.errors import DaleroadError, Failure, FailureKind
from daleroad.events import Event, log_event
from daleroad.paths import (
    PROBE_SECONDS,
    TUNNEL_DELAY_SECONDS,
    DialPlan,
    PathChange,
    PathState,
    PathTable,
)


class Closable(Protocol):
    """A connection, as far as it matters here."""

    async def aclose(self) -> None:
        """Close it."""


T = TypeVar("T", bound=Closable)


@dataclass(frozen=True)
class Target:
    """An upstream to connect to.

    :param address: its IP:PORT.
    :param silence: seconds for which its TCP may acknowledge nothing.
    """

    address: str
    silence: float


DialDirect = Callable[[Target], Awaitable[T | Failure]]
"""Connects to an upstream."""


class DialError(DaleroadError):
    """No connection to an upstream was made, so nothing was sent.

    :ivar tried: whether one was tried; not so while the path is known to be blocked.
    """

    def __init__(self, reason: str, tried: bool = True) -> None:
        super().__init__(Failure(FailureKind.UNREACHABLE, reason))
        self.tried = tried


@dataclass(frozen=True)
class Tunnel(Generic[T]):
    """A connection through another gateway.

    :param peer: address of that gateway's tunnels.
    """

    connection: T
    peer: str


OpenTunnel = Callable[[Target], Awaitable[Tunnel[T] | Failure]]
"""Connects to an upstream through another gateway."""


@dataclass(frozen=True)
class Dialed(Generic[T]):
    """A new connection to an upstream.

    :param peer: address of the gateway's tunnels that it goes through; empty if it is direct.
    """

    connection: T
    peer: str = ""


@dataclass
class _Race(Generic[T]):
    """The attempts of one dial; the first connection wins, others are closed."""

    won: Dialed[T] | None = None
    reasons: list[str] = field(default_factory=list)

    async def offer(self, dialed: Dialed[T]) -> None:
        if self.won is None:
            self.won = dialed
            return
        with anyio.CancelScope(shield=True):
            await dialed.connection.aclose()

    async def abandon(self) -> None:
        """Close the connection that won, as nobody waits for it any more."""
        if self.won is not None:
            with anyio.CancelScope(shield=True):
                await self.won.connection.aclose()


class Dialer(Generic[T]):
    """Connects to upstreams over the path that works, and finds out which one does.

    :param paths: what is known of the paths.
    :param dial_direct: makes a direct connection.
    :param open_tunnel: makes a connection through another gateway.
    :param may_tunnel: returns whether an upstream is known to be alive, so that a failure to
        connect to it may be due to this gateway's links.
    :param on_change: called when the state of a path has changed.
    """

    def __init__(
        self,
        paths: PathTable,
        dial_direct: DialDirect[T],
        open_tunnel: OpenTunnel[T],
        may_tunnel: Callable[[str], bool],
        on_change: Callable[[PathChange], None],
    ) -> None:
        self._paths = paths
        self._dial_direct = dial_direct
        self._open_tunnel = open_tunnel
        self._may_tunnel = may_tunnel
        self._on_change = on_change

    async def dial(self, target: Target, seconds: float) -> Dialed[T]:
        """Return a new connection to an upstream.

        :param target: the upstream.
        :param seconds: limit.
        :raises DialError: if there is none.
        """
        address = target.address
        plan = self._paths.plan_dial(address)
        if plan is None:
            raise DialError(f"{address}: neither a direct connection nor a tunnel works", False)
        return await self._dial_by(plan, target, seconds)

    async def _dial_by(self, plan: DialPlan, target: Target, seconds: float) -> Dialed[T]:
        address = target.address
        race = await self._run_race(target, plan, seconds)
        if race.won is None:
            self._apply(self._paths.record_failure(address, anyio.current_time()))
            raise DialError(f"{address}: {'; '.join(race.reasons) or 'timed out'}")
        self._record(address, race.won)
        return race.won

    def _record(self, address: str, dialed: Dialed[T]) -> None:
        now = anyio.current_time()
        if dialed.peer:
            self._apply(self._paths.record_tunnel(address, now))
        else:
            self._apply(self._paths.record_direct(address, now))

    async def _run_race(self, target: Target, plan: DialPlan, seconds: float) -> _Race[T]:
        race: _Race[T] = _Race()
        first_failed = anyio.Event()

        async def run(tunnel: bool) -> None:
            attempt = self._try_tunnel if tunnel else self._try_direct
            if not await attempt(target, race):
                first_failed.set()
                return
            tasks.cancel_scope.cancel()

        async def run_second() -> None:
            with anyio.move_on_after(plan.delay):
                await first_failed.wait()
            await run(not plan.tunnel_first)

        try:
            with anyio.move_on_after(seconds):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(run, plan.tunnel_first)
                    tasks.start_soon(run_second)
        except anyio.get_cancelled_exc_class():
            await race.abandon()
            raise
        return race

    async def _try_direct(self, target: Target, race: _Race[T]) -> bool:
        found = await self._dial_direct(target)
        if isinstance(found, Failure):
            race.reasons.append(f"direct: {found.reason}")
            return False
        await race.offer(Dialed(found))
        return True

    async def _try_tunnel(self, target: Target, race: _Race[T]) -> bool:
        if not self._may_tunnel(target.address):
            race.reasons.append("no tunnel, as its heartbeat is late")
            return False
        found = await self._open_tunnel(target)
        if isinstance(found, Failure):
            race.reasons.append(f"tunnel: {found.reason}")
            return False
        await race.offer(Dialed(found.connection, found.peer))
        return True

    async def check(self, target: Target, seconds: float) -> None:
        """Find out whether a silent upstream is cut off from this gateway only.

        :param target: the upstream.
        :param seconds: limit.
        """
        race = await self._run_race(target, DialPlan(False, TUNNEL_DELAY_SECONDS), seconds)
        if race.won is not None:
            self._record(target.address, race.won)
            await race.won.connection.aclose()

    async def probe_paths(self, silence: float, seconds: float) -> None:
        """Probe the paths that are not direct, again and again, until cancelled.

        :param silence: seconds for which an upstream's TCP may acknowledge nothing.
        :param seconds: limit of each connection.
        """
        while True:
            await anyio.sleep(PROBE_SECONDS)
            async with anyio.create_task_group() as tasks:
                for address in self._paths.list_in(PathState.TUNNELED):
                    tasks.start_soon(self._probe_tunneled, Target(address, silence), seconds)
                for address in filter(self._may_tunnel, self._paths.list_in(PathState.BLOCKED)):
                    tasks.start_soon(self._probe_blocked, Target(address, silence), seconds)

    async def _probe_blocked(self, target: Target, seconds: float) -> None:
        # A path that is still blocked stays so.
        with suppress(DialError):
            dialed = await self._dial_by(DialPlan(False, 0.0), target, seconds)
            await dialed.connection.aclose()

    async def _probe_tunneled(self, target: Target, seconds: float) -> None:
        connected = False
        with anyio.move_on_after(seconds):
            found = await self._dial_direct(target)
            if not isinstance(found, Failure):
                await found.aclose()
                connected = True
        now = anyio.current_time()
        self._apply(self._paths.record_probe(target.address, connected, now))

    def _apply(self, change: PathChange | None) -> None:
        if change is None:
            return
        event = Event.PATH_RESTORED if change.after is PathState.DIRECT else Event.PATH_LOST
        log_event(
            event,
            address=change.address,
            before=change.before.value,
            after=change.after.value,
            seconds=round(change.seconds, 3),
            isolated=self._paths.is_isolated(),
        )
        self._on_change(change)
