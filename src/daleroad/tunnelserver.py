"""The far end of tunnels: connects other gateways of the site to upstreams."""

import hmac
import socket
from collections.abc import Callable
from contextlib import suppress

import anyio
import h11
import orjson
from anyio.abc import SocketAttribute, SocketStream

from daleroad.clienttable import ClientConnection, ClientTable, Stage, find_limits
from daleroad.dialing import Target
from daleroad.errors import Failure, FailureKind
from daleroad.events import Event, log_event
from daleroad.listeners import Acceptor
from daleroad.security import get_bearer
from daleroad.serving import make_problem
from daleroad.sockets import make_socket_options
from daleroad.tunnels import LOST_TRAILER, NETWORK_ERRORS, SILENCE_HEADER, TUNNEL_PATH

MAX_TUNNELS = 200
"""Tunnels through one gateway at a time; each holds up to two reads and the buffers of two
sockets, some 30 MB for all of them."""

HEAD_SECONDS = 1.0
"""How long another gateway may take to say what it wants."""

DIAL_SECONDS = 0.2
"""Limit of the connection to the upstream; the other gateway waits a little longer."""

BUSY_SECONDS = 0.5
"""A tunnel on which an upstream sent nothing for so long carries no answer at the moment."""

_LISTEN_BACKLOG = 128
_CHUNK_BYTES = 65_536
_MAX_HEAD_BYTES = 8_192


class _Carried:
    """One open tunnel, and what it carried last."""

    def __init__(self) -> None:
        self.awaits_answer = False
        self.answered_at = float("-inf")

    def is_busy(self, now: float) -> bool:
        return self.awaits_answer or now - self.answered_at < BUSY_SECONDS


class TunnelServer:
    """Carries tunnels for other gateways.

    :param token: what they must show.
    :param find_refusal: returns why an upstream is not connected to for them, or an empty string.
    :param clients: the connections of the process's clients, which reach this listener too; by
        default a table of its own.
    """

    def __init__(
        self,
        token: str,
        find_refusal: Callable[[str], str],
        clients: ClientTable | None = None,
    ) -> None:
        self._token = token
        self._find_refusal = find_refusal
        self._clients = ClientTable(find_limits(None, None)) if clients is None else clients
        self._open: set[_Carried] = set()

    def count(self) -> int:
        """Return how many tunnels are open."""
        return len(self._open)

    def count_busy(self) -> int:
        """Return how many of them carry a request or its answer at the moment."""
        now = anyio.current_time()
        return sum(tunnel.is_busy(now) for tunnel in self._open)

    async def run(self, address: str) -> None:
        """Serve until cancelled.

        :param address: IP:PORT to listen on.
        """
        host, _, port = address.partition(":")
        listener = socket.create_server((host, int(port)), backlog=_LISTEN_BACKLOG)
        async with anyio.create_task_group() as tasks:

            def serve(client: socket.socket, connection: ClientConnection) -> None:
                tasks.start_soon(self._serve, client, connection)

            async with Acceptor(self._clients, serve).accept([listener]):
                await anyio.sleep_forever()

    async def _serve(self, client: socket.socket, connection: ClientConnection) -> None:
        try:
            with anyio.CancelScope() as scope:
                connection.cut = lambda reason: scope.cancel()
                async with await SocketStream.from_socket(client) as stream:
                    http = h11.Connection(h11.SERVER, _MAX_HEAD_BYTES)
                    await self._answer(stream, http, connection)
        except (*NETWORK_ERRORS, BaseExceptionGroup) as error:
            _raise_unless_network_error(error)
        finally:
            self._clients.remove(connection)

    async def _answer(
        self, stream: SocketStream, http: h11.Connection, connection: ClientConnection
    ) -> None:
        request: h11.Request | None = None
        with anyio.move_on_after(HEAD_SECONDS):
            request = await _read_head(stream, http)
        if request is None:
            return
        target = self._check(request)
        if isinstance(target, Failure):
            await _refuse(stream, http, target)
            return
        connection.stage = Stage.SERVING
        tunnel = _Carried()
        # Before its upstream is dialed, or tunnels that are opened at once would exceed the bound.
        self._open.add(tunnel)
        try:
            await _connect_and_carry(stream, http, target, tunnel)
        finally:
            self._open.discard(tunnel)

    def _check(self, request: h11.Request) -> Target | Failure:
        """Return the upstream that a request names, or why it is refused."""
        headers = {
            name.decode("latin-1"): value.decode("latin-1") for name, value in request.headers
        }
        shown = get_bearer(headers.get("authorization", ""))
        if not hmac.compare_digest(shown.encode(), self._token.encode()):
            return Failure(FailureKind.UNAUTHENTICATED, "missing or unknown bearer token")
        path = request.target.decode("latin-1")
        try:
            silence = float(headers.get(SILENCE_HEADER, ""))
        except ValueError:
            return Failure(FailureKind.BAD_REQUEST, f"{SILENCE_HEADER} is not a number")
        if not path.startswith(TUNNEL_PATH) or not 0 < silence < float("inf"):
            return Failure(FailureKind.BAD_REQUEST, f"no tunnel: {path}")
        address = path.removeprefix(TUNNEL_PATH)
        if len(self._open) >= MAX_TUNNELS:
            return Failure(FailureKind.OVERLOADED, f"{MAX_TUNNELS} tunnels are open")
        reason = self._find_refusal(address)
        return Failure(FailureKind.UNREACHABLE, reason) if reason else Target(address, silence)


async def _read_head(stream: SocketStream, http: h11.Connection) -> h11.Request:
    while True:
        match http.next_event():
            case h11.NEED_DATA:
                http.receive_data(await stream.receive())
            case h11.Request() as request:
                return request
            case _:
                raise anyio.EndOfStream


async def _connect_and_carry(
    stream: SocketStream, http: h11.Connection, target: Target, tunnel: _Carried
) -> None:
    """Connect to the upstream and carry what both ends send, or refuse the tunnel."""
    upstream = await _dial(target)
    if isinstance(upstream, Failure):
        await _refuse(stream, http, upstream)
        return
    _limit_silence(stream, target.silence)
    begun = anyio.current_time()
    try:
        async with upstream:
            await stream.send(_make_acceptance(http))
            await _carry(stream, http, upstream, tunnel)
    finally:
        seconds = round(anyio.current_time() - begun, 3)
        log_event(Event.TUNNEL_ENDED, address=target.address, seconds=seconds)


async def _dial(target: Target) -> SocketStream | Failure:
    host, _, port = target.address.partition(":")
    with anyio.move_on_after(DIAL_SECONDS):
        try:
            upstream = await anyio.connect_tcp(host, int(port))
        except OSError as error:
            return Failure(FailureKind.UNREACHABLE, f"not connected: {error.__cause__ or error!r}")
        _limit_silence(upstream, target.silence)
        return upstream
    return Failure(FailureKind.UNREACHABLE, f"not connected in {DIAL_SECONDS:g} s")


def _limit_silence(stream: SocketStream, silence: float) -> None:
    """Let a connection end once its other end acknowledges nothing for some seconds."""
    raw = stream.extra(SocketAttribute.raw_socket)
    for option in make_socket_options(silence):
        raw.setsockopt(*option)


async def _refuse(stream: SocketStream, http: h11.Connection, failure: Failure) -> None:
    """Send a refusal, unless the other end does not read it."""
    with anyio.move_on_after(HEAD_SECONDS):
        await stream.send(_make_refusal(http, failure))


def _make_refusal(http: h11.Connection, failure: Failure) -> bytes:
    body = orjson.dumps(make_problem(failure))
    headers = [("content-length", str(len(body))), ("connection", "close")]
    response = h11.Response(status_code=503, headers=headers)
    parts = (http.send(event) or b"" for event in (response, h11.Data(data=body)))
    return b"".join(parts)


def _make_acceptance(http: h11.Connection) -> bytes:
    headers = [("transfer-encoding", "chunked")]
    return http.send(h11.Response(status_code=200, headers=headers)) or b""


async def _carry(
    stream: SocketStream, http: h11.Connection, upstream: SocketStream, tunnel: _Carried
) -> None:
    """Carry bytes both ways until either end closes or is lost."""

    async def carry_requests() -> None:
        while True:
            match http.next_event():
                case h11.NEED_DATA:
                    http.receive_data(await stream.receive(_CHUNK_BYTES))
                case h11.Data(data=data):
                    tunnel.awaits_answer = True
                    # That the connection is lost is told by what reads from it.
                    with suppress(anyio.BrokenResourceError):
                        await upstream.send(bytes(data))
                case _:
                    raise anyio.EndOfStream

    async def carry_answers() -> None:
        while True:
            try:
                data = await upstream.receive(_CHUNK_BYTES)
            except (anyio.EndOfStream, anyio.BrokenResourceError) as error:
                lost = isinstance(error, anyio.BrokenResourceError)
                trailers = [(LOST_TRAILER, "1")] if lost else []
                await stream.send(http.send(h11.EndOfMessage(headers=trailers)) or b"")
                tasks.cancel_scope.cancel()
                return
            tunnel.awaits_answer = False
            tunnel.answered_at = anyio.current_time()
            await stream.send(http.send(h11.Data(data=data)) or b"")

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(carry_requests)
        tasks.start_soon(carry_answers)


def _raise_unless_network_error(error: BaseException) -> None:
    """Raise an error again unless it only tells that one end of a tunnel is gone."""
    if isinstance(error, BaseExceptionGroup):
        _, other = error.split(NETWORK_ERRORS)
        if other is not None:
            raise other
