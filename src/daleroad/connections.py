"""The connections of a gateway to its upstreams."""

import errno
from collections.abc import Callable
from typing import Any

import anyio
import httpcore

from daleroad.defaults import CONNECT_SECONDS, SILENCE_SECONDS
from daleroad.dialing import Dialer, DialError, Target, Tunnel
from daleroad.errors import Failure, FailureKind
from daleroad.paths import PathChange, PathState, PathTable
from daleroad.silences import SWEEP_SECONDS, SilenceWatch
from daleroad.sockets import make_socket_options
from daleroad.tunnels import TunnelClient, TunnelLostError, TunnelStream

PEER_INFO = "peer"
"""Name of a connection's extra information: the gateway's tunnels that it goes through, or ""."""


class NoPathError(httpcore.ConnectError):
    """No connection was tried, as none just worked."""


class TunnelReadError(httpcore.ReadError):
    """A tunnel was cut while its answer was awaited; the upstream may be well."""


class TunnelWriteError(httpcore.WriteError):
    """A tunnel was cut while a request was sent; the upstream may be well."""


class _DirectConnection(httpcore.AsyncNetworkStream):
    """A direct connection; what comes on it shows that its path works."""

    def __init__(self, stream: httpcore.AsyncNetworkStream, note: Callable[[], None]) -> None:
        self._stream = stream
        self._note = note

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        data = await self._stream.read(max_bytes, timeout)
        self._note()
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        return "" if info == PEER_INFO else self._stream.get_extra_info(info)


class _TunnelConnection(httpcore.AsyncNetworkStream):
    """A connection through another gateway."""

    def __init__(self, stream: TunnelStream, peer: str) -> None:
        self._stream = stream
        self._peer = peer

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        try:
            with anyio.fail_after(timeout):
                return await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            return b""
        except TimeoutError as error:
            raise httpcore.ReadTimeout(str(error)) from error
        except TunnelLostError as error:
            raise TunnelReadError(f"the tunnel through {self._peer} was cut") from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise httpcore.ReadError(f"lost behind the tunnel through {self._peer}") from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        if not buffer:
            return
        try:
            with anyio.fail_after(timeout):
                await self._stream.send(buffer)
        except TimeoutError as error:
            raise httpcore.WriteTimeout(str(error)) from error
        except TunnelLostError as error:
            raise TunnelWriteError(f"the tunnel through {self._peer} was cut") from error
        except anyio.ClosedResourceError as error:
            raise httpcore.WriteError(repr(error)) from error

    async def aclose(self) -> None:
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        match info:
            case "peer":
                return self._peer
            case "socket":
                return self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
            case "is_readable":
                return self._stream.is_readable()
        return None


class UpstreamConnector:
    """Connects a gateway to its upstreams, directly or through other gateways.

    :param tunnels: opens tunnels, or None where no other gateway offers any.
    :param is_heard: returns whether an upstream's heartbeats show that it is alive.
    :ivar on_change: called when a path's state has changed.
    """

    def __init__(
        self,
        tunnels: TunnelClient | None = None,
        is_heard: Callable[[str], bool] = lambda address: True,
    ) -> None:
        self.paths = PathTable()
        self.silences = SilenceWatch(self.paths)
        self.on_change: Callable[[PathChange], None] = lambda change: None
        self._tunnels = tunnels
        self._direct = httpcore.AnyIOBackend()
        self._dialer: Dialer[httpcore.AsyncNetworkStream] = Dialer(
            self.paths,
            self._dial_direct,
            self._open_tunnel,
            is_heard,
            lambda change: self.on_change(change),
        )

    async def connect(self, address: str, silence: float) -> httpcore.AsyncNetworkStream:
        """Return a new connection to an upstream.

        :param address: its IP:PORT.
        :param silence: seconds for which its TCP may acknowledge nothing.
        :raises httpcore.ConnectError: if there is none.
        """
        try:
            dialed = await self._dialer.dial(Target(address, silence), CONNECT_SECONDS)
        except DialError as error:
            kind = httpcore.ConnectError if error.tried else NoPathError
            raise kind(error.failure.reason) from error
        return dialed.connection

    async def run(self) -> None:
        """Check silent paths and probe those that are not direct until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._dialer.probe_paths, SILENCE_SECONDS, CONNECT_SECONDS)
            while True:
                await anyio.sleep(SWEEP_SECONDS)
                for address in self.silences.sweep(anyio.current_time()):
                    tasks.start_soon(self._check, address)

    async def _check(self, address: str) -> None:
        """Find out why an upstream is silent: its link is cut, or the gateway before it hangs."""
        if self.paths.get_state(address) is not PathState.TUNNELED:
            await self._dialer.check(Target(address, SILENCE_SECONDS), CONNECT_SECONDS)
        elif self._tunnels is not None:
            await self._tunnels.check_peers()

    def count_tunneled(self) -> int:
        """Return how many upstreams are reached through other gateways only."""
        return self.paths.count(PathState.TUNNELED)

    def count_blocked(self) -> int:
        """Return how many upstreams are not reached by any path."""
        return self.paths.count(PathState.BLOCKED)

    async def _dial_direct(self, target: Target) -> httpcore.AsyncNetworkStream | Failure:
        host, _, port = target.address.partition(":")
        options = make_socket_options(target.silence)
        try:
            stream = await self._direct.connect_tcp(host, int(port), socket_options=options)
        except httpcore.NetworkError as error:
            return Failure(FailureKind.UNREACHABLE, describe_error(error))

        def note() -> None:
            self.paths.record_received(target.address, anyio.current_time())

        return _DirectConnection(stream, note)

    async def _open_tunnel(self, target: Target) -> Tunnel[httpcore.AsyncNetworkStream] | Failure:
        if self._tunnels is None:
            return Failure(FailureKind.UNREACHABLE, "no gateway offers tunnels")
        found = await self._tunnels.open(target)
        if isinstance(found, Failure):
            return found
        return Tunnel(_TunnelConnection(found.connection, found.peer), found.peer)


def describe_error(error: BaseException) -> str:
    """Return a network error with the name of the system's error that caused it.

    Libraries put the cause behind texts that are the same for refused, reset and hanging links.

    :param error: the error.
    """
    found: BaseException | None = error
    while found is not None:
        if isinstance(found, OSError) and found.errno:
            name = errno.errorcode.get(found.errno, str(found.errno))
            return f"{type(error).__name__}: {name}"
        found = found.__cause__ or found.__context__
    return repr(error)
