"""Tunnels: connections to upstreams through another gateway.

A tunnel is one HTTP exchange whose two bodies carry the bytes of one connection. The gateway at its
other end dials the upstream and answers only once it is connected, so a tunnel that did not come
about carried nothing. The end of the answer's body stands for the end of the upstream's connection;
a tunnel that ends without it was cut. A trailer says that the upstream's connection was lost.
"""

from collections.abc import Callable, Iterable, Mapping
from select import POLLIN, poll
from typing import Any

import anyio
import h11
from anyio.abc import ByteStream, SocketAttribute, SocketStream

from daleroad.calls import parse_problem
from daleroad.dialing import Target, Tunnel
from daleroad.errors import Failure, FailureKind
from daleroad.sockets import make_socket_options
from daleroad.tunnelpeers import TunnelPeers

TUNNEL_PATH = "/tunnel/"
"""Followed by the upstream's IP:PORT."""

SILENCE_HEADER = "x-silence-seconds"
"""How long the upstream's TCP may acknowledge nothing."""

LOST_TRAILER = "x-upstream-lost"
"""Name of the trailer of a body that ended as the upstream's connection was lost."""

PEER_CONNECT_SECONDS = 0.12
"""Limit of a connection to another gateway while there is one more to try; several round trips
between regions. The last one has the rest of the dial's time."""

MAX_PEERS_TRIED = 2
"""Gateways that are tried for one tunnel; the time of a dial allows no more."""

SILENT_PEER_SECONDS = 0.25
"""How long a gateway may take to answer before it counts as silent: the limit of its connection to
the upstream, and some round trips."""

CHECK_SECONDS = 0.3
"""How long a gateway that carries tunnels may take to refuse one."""

MAX_REFUSAL_BYTES = 16_384
"""Longest body of a refusal that is read; it names a failure and its reason."""

_NO_UPSTREAM = Target("none:0", 1.0)
"""A target that every gateway refuses."""

NETWORK_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    h11.ProtocolError,
)

_TUNNEL_ERRORS = (anyio.EndOfStream, anyio.BrokenResourceError, h11.ProtocolError)
_READ_BYTES = 1_048_576
"""More than the event loop reads at once. What one read leaves over waits in the socket's stream,
where neither the tunnel nor a poll of the socket sees it."""

_LINE_END = b"\r\n"
_OK = 200


class TunnelLostError(anyio.BrokenResourceError):
    """A tunnel was cut; the upstream may be well."""


class TunnelStream(ByteStream):
    """The near end of an open tunnel.

    :param stream: the connection to the other gateway.
    :param http: its protocol state, after the head of the response.
    :param on_close: called once when it is closed or dropped.
    """

    def __init__(
        self, stream: SocketStream, http: h11.Connection, on_close: Callable[[], None]
    ) -> None:
        self._stream = stream
        self._http = http
        self._on_close: Callable[[], None] | None = on_close
        self._unread = b""
        # What the last chunk that was read still lacks; None if that is more than its line end.
        self._chunk_rest: bytes | None = b""

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Return the next bytes from the upstream.

        :param max_bytes: most bytes to return.
        :raises anyio.EndOfStream: when the upstream closed its connection.
        :raises TunnelLostError: when the tunnel was cut.
        :raises anyio.BrokenResourceError: when the upstream's connection was lost.
        """
        if not self._unread:
            self._unread = await self._read()
        data, self._unread = self._unread[:max_bytes], self._unread[max_bytes:]
        return data

    async def _read(self) -> bytes:
        while True:
            try:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    self._http.receive_data(await self._stream.receive(_READ_BYTES))
                    continue
            except _TUNNEL_ERRORS as error:
                raise TunnelLostError from error
            match event:
                case h11.Data(data=data, chunk_end=ended):
                    self._chunk_rest = _LINE_END if ended else None
                    return bytes(data)
                case h11.EndOfMessage(headers=headers):
                    lost = any(name.decode() == LOST_TRAILER for name, _ in headers)
                    raise anyio.BrokenResourceError if lost else anyio.EndOfStream
                case _:
                    raise TunnelLostError

    def is_readable(self) -> bool:
        """Return whether something came that was not asked for, or the connection ended."""
        number = self._stream.extra(SocketAttribute.raw_socket).fileno()
        if self._unread or number < 0 or self._has_begun_chunk():
            return True
        polled = poll()
        polled.register(number, POLLIN)
        return bool(polled.poll(0))

    def _has_begun_chunk(self) -> bool:
        """Return whether a chunk was received in part, or bytes behind the last one."""
        received, _ = self._http.trailing_data
        return self._chunk_rest is None or not self._chunk_rest.startswith(received)

    async def send(self, item: bytes) -> None:
        """Send bytes to the upstream.

        :param item: the bytes.
        :raises TunnelLostError: when the tunnel was cut.
        """
        try:
            await self._stream.send(self._http.send(h11.Data(data=item)) or b"")
        except _TUNNEL_ERRORS as error:
            raise TunnelLostError from error

    async def send_eof(self) -> None:
        """Do nothing: no upstream is told that a request is over by the end of its connection."""

    async def aclose(self) -> None:
        """Close the tunnel, and with it the upstream's connection."""
        self._note_closed()
        await anyio.aclose_forcefully(self._stream)

    def _note_closed(self) -> None:
        on_close, self._on_close = self._on_close, None
        if on_close is not None:
            on_close()

    def __del__(self) -> None:
        # A pool that is dropped leaves its idle connections to the garbage collector.
        self._note_closed()

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """Attributes of the connection to the other gateway."""
        return self._stream.extra_attributes


class TunnelClient:
    """Opens tunnels through other gateways.

    :param peers: the gateways that offer them.
    :param token: shown to them.
    :ivar on_silent: called with a gateway that did not answer.
    """

    def __init__(self, peers: TunnelPeers, token: str) -> None:
        self.peers = peers
        self.on_silent: Callable[[str], None] = lambda peer: None
        self._token = token

    async def open(self, target: Target) -> Tunnel[TunnelStream] | Failure:
        """Open a tunnel to an upstream through one of a few gateways.

        :param target: the upstream.
        """
        tried: dict[str, Failure] = {}
        while len(tried) < MAX_PEERS_TRIED:
            peer = self.peers.choose(target.address, tried, anyio.current_time())
            if peer is None:
                break
            is_last = len(tried) + 1 == MAX_PEERS_TRIED or self._is_last(peer, target, tried)
            seconds = float("inf") if is_last else PEER_CONNECT_SECONDS
            found = await self._open_through(peer, target, seconds)
            if not isinstance(found, Failure):
                return Tunnel(found, peer)
            tried[peer] = found
        reasons = [f"{peer}: {failure.reason}" for peer, failure in tried.items()]
        reason = "; ".join(reasons) or "no other gateway is known"
        return Failure(FailureKind.UNREACHABLE, reason)

    def _is_last(self, peer: str, target: Target, tried: Iterable[str]) -> bool:
        return self.peers.choose(target.address, {*tried, peer}, anyio.current_time()) is None

    async def check_peers(self) -> None:
        """Find out which of the gateways that carry tunnels now still answer."""
        async with anyio.create_task_group() as tasks:
            for peer in self.peers.list_open():
                tasks.start_soon(self._check_peer, peer)

    async def _check_peer(self, peer: str) -> None:
        with anyio.move_on_after(CHECK_SECONDS):
            found = await self._open_through(peer, _NO_UPSTREAM, CHECK_SECONDS)
            if not isinstance(found, Failure):
                await found.aclose()

    def _note_silent(self, peer: str) -> None:
        self.peers.record_silent(peer, anyio.current_time())
        self.on_silent(peer)

    async def _open_through(
        self, peer: str, target: Target, seconds: float
    ) -> TunnelStream | Failure:
        begun = anyio.current_time()
        try:
            return await self._try_through(peer, target, seconds)
        except anyio.get_cancelled_exc_class():
            # A direct connection may have won, or the client have left, before it could answer.
            if anyio.current_time() - begun >= SILENT_PEER_SECONDS:
                self._note_silent(peer)
            raise

    async def _try_through(
        self, peer: str, target: Target, seconds: float
    ) -> TunnelStream | Failure:
        stream = await self._connect(peer, target, seconds)
        if isinstance(stream, Failure):
            self._note_silent(peer)
            return stream
        opened = False
        try:
            http = h11.Connection(h11.CLIENT)
            await stream.send(self._make_head(http, peer, target))
            answer = await _read_answer(stream, http)
            if isinstance(answer, Failure):
                if target is not _NO_UPSTREAM:
                    self.peers.record_refused(peer, target.address, anyio.current_time())
                return answer
            opened = True
        except NETWORK_ERRORS as error:
            self._note_silent(peer)
            return Failure(FailureKind.UNREACHABLE, repr(error))
        finally:
            if not opened:
                await anyio.aclose_forcefully(stream)
        self.peers.change_open(peer, 1)
        return TunnelStream(stream, http, lambda: self.peers.change_open(peer, -1))

    async def _connect(self, peer: str, target: Target, seconds: float) -> SocketStream | Failure:
        host, _, port = peer.partition(":")
        with anyio.move_on_after(seconds):
            try:
                stream = await anyio.connect_tcp(host, int(port))
            except OSError as error:
                return Failure(FailureKind.UNREACHABLE, repr(error))
            raw = stream.extra(SocketAttribute.raw_socket)
            for option in make_socket_options(target.silence):
                raw.setsockopt(*option)
            return stream
        return Failure(FailureKind.UNREACHABLE, f"not connected in {seconds:g} s")

    def _make_head(self, http: h11.Connection, peer: str, target: Target) -> bytes:
        headers = [
            ("host", peer),
            ("authorization", f"Bearer {self._token}"),
            ("transfer-encoding", "chunked"),
            (SILENCE_HEADER, f"{target.silence:g}"),
        ]
        path = f"{TUNNEL_PATH}{target.address}"
        return http.send(h11.Request(method="POST", target=path, headers=headers)) or b""


async def _read_answer(stream: SocketStream, http: h11.Connection) -> Failure | None:
    """Read the head of the response; return nothing if the tunnel is open."""
    status, body = 0, b""
    while True:
        match http.next_event():
            case h11.NEED_DATA:
                http.receive_data(await stream.receive(_READ_BYTES))
            case h11.Response(status_code=status, headers=headers):
                if status == _OK:
                    return _check_framing(headers)
            case h11.Data(data=data):
                body += bytes(data)
                if len(body) > MAX_REFUSAL_BYTES:
                    reason = f"a refusal of more than {MAX_REFUSAL_BYTES} bytes"
                    return Failure(FailureKind.UNREACHABLE, reason)
            case h11.EndOfMessage():
                return parse_problem(body)
            case _:
                raise anyio.EndOfStream


def _check_framing(headers: Iterable[tuple[bytes, bytes]]) -> Failure | None:
    """Return why a body with these headers carries no tunnel; nothing if it comes in chunks.

    Without chunks a cut would look like the end of the upstream's connection.
    """
    if (b"transfer-encoding", b"chunked") in headers:
        return None
    return Failure(FailureKind.UNREACHABLE, "accepted by what is no gateway's tunnels")
