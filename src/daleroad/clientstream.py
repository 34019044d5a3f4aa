"""The bytes of a client's connection: read ahead and left unread within bounds.

A protocol of asyncio, as the streams of anyio don't tell how much was read ahead and is unsent.
"""

import asyncio
import fcntl
import select
import socket
import ssl
import struct
import termios
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from anyio.lowlevel import checkpoint_if_cancelled

from daleroad.listeners import KERNEL_FACTOR, RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES

READ_AHEAD_BYTES = 65_536
"""Bytes that are read before they are asked for; about as many more may come with the read that
reaches it."""

WRITE_AHEAD_BYTES = 65_536
"""Bytes that wait to be written before the sender waits."""

_READ_BYTES = 65_536
_KERNEL_RECEIVE_BYTES = KERNEL_FACTOR * RECEIVE_BUFFER_BYTES
_KERNEL_SEND_BYTES = KERNEL_FACTOR * SEND_BUFFER_BYTES


@dataclass(frozen=True)
class StreamEvents:
    """What the owner of a stream is told.

    :param changed: called when bytes have come, or are held or no longer held.
    :param left: called once no more can be received: the client has left, or it was closed here.
    """

    changed: Callable[[], None]
    left: Callable[[], None]


class ClientStream(asyncio.BufferedProtocol):
    """The bytes of one connection.

    :param events: what the owner is told.
    :ivar has_left: whether no more can be received or sent.
    :ivar sent_at: when the client last sent something.
    :ivar read_at: when the client last read something, or had only then something to read.
    :ivar unread: bytes that the client has not read, as far as known.
    """

    # All streams read into the same buffer; what was read is copied at once.
    _buffer = bytearray(_READ_BYTES)

    def __init__(self, events: StreamEvents) -> None:
        self._events = events
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._ahead = bytearray()
        self._arrived = asyncio.Event()
        self._paused = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._lost = asyncio.Event()
        self.has_left = False
        self._unsent = 0
        self.sent_at = self.read_at = self._loop.time()
        self.unread = 0

    async def connect(
        self, client: socket.socket, tls: ssl.SSLContext | None, handshake_timeout: float
    ) -> None:
        """Take over an accepted socket.

        :param client: the socket.
        :param tls: the TLS context, or None for plain TCP.
        :param handshake_timeout: seconds that TLS may take to set up.
        :raises OSError: if the client has gone, or failed to set up TLS.
        """
        timeout = handshake_timeout if tls else None
        await self._loop.connect_accepted_socket(
            lambda: self, client, ssl=tls, ssl_handshake_timeout=timeout
        )

    @property
    def is_connected(self) -> bool:
        """Whether the socket was taken over."""
        return self._transport is not None

    @property
    def client(self) -> tuple[str, int]:
        """IP address and port of the client, empty if it has gone already."""
        assert self._transport is not None
        host, port, *_ = self._transport.get_extra_info("peername") or ("", 0)
        return host, port

    @property
    def server(self) -> tuple[str, int]:
        """IP address and port that the client connected to."""
        assert self._transport is not None
        host, port, *_ = self._transport.get_extra_info("sockname")
        return host, port

    @property
    def held(self) -> int:
        """Bytes held for the connection, here and in the kernel."""
        kernel = _KERNEL_RECEIVE_BYTES if self._paused else 0
        return len(self._ahead) + kernel + self._unsent + self.unread

    @property
    def has_arrived(self) -> bool:
        """Whether bytes wait to be received."""
        return bool(self._ahead)

    @property
    def is_blocked(self) -> bool:
        """Whether a sender waits for the client to read."""
        return not self._writable.is_set()

    async def receive(self) -> bytes:
        """Return what has come, once something has."""
        while not self._ahead:
            self._arrived.clear()
            await self._arrived.wait()
            await checkpoint_if_cancelled()
        data = bytes(self._ahead)
        self._ahead.clear()
        if self._paused and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()
        return data

    async def send(self, data: bytes) -> None:
        """Send bytes, waiting while the client does not read; drop them if it has left.

        :param data: the bytes.
        """
        try:
            for start in range(0, len(data), WRITE_AHEAD_BYTES):
                part = data[start : start + WRITE_AHEAD_BYTES]
                self._unsent = len(data) - start - len(part)
                self.write(part)
                await self._writable.wait()
                await checkpoint_if_cancelled()
        finally:
            self._unsent = 0

    def write(self, data: bytes) -> None:
        """Send a few bytes without waiting.

        :param data: the bytes.
        """
        if self.has_left or self._transport is None:
            return
        if not self.unread:
            self.read_at = self._loop.time()
        self._transport.write(data)
        most = self._transport.get_write_buffer_size() + _KERNEL_SEND_BYTES
        self.unread = min(self.unread + len(data), most)
        self._events.changed()

    def measure(self) -> None:
        """Correct the estimate of what the client has not read."""
        if self._transport is None or not self.unread:
            return
        unread = self._transport.get_write_buffer_size() + _count_unacknowledged(self._transport)
        if unread < self.unread:
            self.unread = unread
            self.read_at = self._loop.time()
            self._events.changed()

    def check_left(self) -> None:
        """Look whether the client has left while nothing is read from it."""
        if self._paused and self._transport is not None and _is_closed(self._transport):
            self._leave()

    def close(self) -> None:
        """Receive no more, and close once the client has what was sent."""
        self._leave()
        if self._transport is not None and not self._transport.is_closing():
            # TLS has no half-close; the client may have gone meanwhile.
            if self._transport.can_write_eof():
                with suppress(OSError):
                    self._transport.write_eof()
            self._transport.close()

    def abort(self) -> None:
        """Close at once; what the client has not read is lost."""
        self._leave()
        if self._transport is not None:
            self._transport.abort()

    def release(self) -> None:
        """Forget the owner once the connection has ended.

        Objects that refer to each other keep their buffers until the garbage collector finds them,
        which is seldom.
        """
        self._events = StreamEvents(lambda: None, lambda: None)
        self._transport = None

    async def wait_closed(self) -> None:
        """Wait until the connection has ended."""
        await self._lost.wait()

    def _leave(self) -> None:
        self.has_left = True
        self._ahead.clear()
        self._writable.set()
        self._events.left()

    # Called by the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_AHEAD_BYTES)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return where to read to."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take bytes that were read."""
        if self.has_left:
            return
        self._ahead += memoryview(self._buffer)[:nbytes]
        self.sent_at = self._loop.time()
        if len(self._ahead) >= READ_AHEAD_BYTES and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()
        self._arrived.set()
        self._events.changed()

    def eof_received(self) -> None:
        """Note that the client sends no more, which is taken for its leaving."""
        self._leave()

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection has ended."""
        self.unread = 0
        self._leave()
        self._lost.set()

    def pause_writing(self) -> None:
        """Let the sender wait until the client has read more."""
        if not self.has_left:
            self._writable.clear()
            self._events.changed()

    def resume_writing(self) -> None:
        """Let the sender go on."""
        self.read_at = self._loop.time()
        self._writable.set()
        self._events.changed()


def _count_unacknowledged(transport: asyncio.Transport) -> int:
    """Return how many bytes the kernel holds that the client has not acknowledged."""
    client = transport.get_extra_info("socket")
    try:
        return struct.unpack("i", fcntl.ioctl(client.fileno(), termios.TIOCOUTQ, bytes(4)))[0]
    except OSError:
        # Closed meanwhile, or not known on this system.
        return 0


def _is_closed(transport: asyncio.Transport) -> bool:
    """Return whether a client has closed a connection that is not being read."""
    descriptor = transport.get_extra_info("socket").fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))
