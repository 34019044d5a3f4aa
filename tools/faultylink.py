"""A loopback proxy before one upstream: it delays, resets, cuts or silences connections."""

import socket
from enum import StrEnum

import anyio
from anyio.abc import SocketAttribute, SocketStream

DELAY_SECONDS = 0.3
"""How long each chunk is held by a link that delays; a third of the soak's route timeout."""

CHUNK_BYTES = 65_536


class LinkFault(StrEnum):
    """What a link does to the bytes that it carries."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    CUT = "cut"
    """Nothing comes back; what is sent still arrives. Connections that lost bytes stay cut."""
    SILENCE = "silence"
    """Open connections carry nothing more, and nothing tells either end; new ones work."""


class FaultyLink:
    """Carries connections to one upstream.

    :param address: IP:PORT where callers connect.
    :param target: IP:PORT of the upstream.
    """

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self.fault = LinkFault.NONE
        self._target = target
        self._open: dict[SocketStream, SocketStream] = {}
        self._silent: set[SocketStream] = set()

    async def run(self) -> None:
        """Serve until cancelled."""
        host, port = self.address.split(":")
        async with await anyio.create_tcp_listener(local_host=host, local_port=int(port)) as found:
            await found.serve(self._carry)

    async def hurt(self, fault: LinkFault, seconds: float) -> None:
        """Let a fault last for a while; connections that were silenced never come back.

        :param fault: what to do.
        :param seconds: how long.
        """
        self.fault = fault
        match fault:
            case LinkFault.RESET:
                for caller in list(self._open):
                    await reset_connection(caller)
            case LinkFault.SILENCE:
                self._silent |= set(self._open)
        await anyio.sleep(seconds)
        self.fault = LinkFault.NONE

    async def _carry(self, caller: SocketStream) -> None:
        host, port = self._target.split(":")
        try:
            upstream = await anyio.connect_tcp(host, int(port))
        except OSError:
            # The upstream is not there: the caller sees its connection end.
            await caller.aclose()
            return
        self._open[caller] = upstream
        try:
            async with upstream, caller, anyio.create_task_group() as tasks:
                tasks.start_soon(self._pump, caller, upstream, caller, tasks.cancel_scope)
                tasks.start_soon(self._pump, upstream, caller, caller, tasks.cancel_scope)
        finally:
            del self._open[caller]
            self._silent.discard(caller)

    async def _pump(
        self,
        source: SocketStream,
        sink: SocketStream,
        caller: SocketStream,
        scope: anyio.CancelScope,
    ) -> None:
        back = sink is caller
        try:
            while True:
                chunk = await source.receive(CHUNK_BYTES)
                if caller in self._silent:
                    await anyio.sleep_forever()
                if self.fault is LinkFault.DELAY:
                    await anyio.sleep(DELAY_SECONDS)
                if back and self.fault is LinkFault.CUT:
                    # No network brings the bytes behind those that it lost.
                    await anyio.sleep_forever()
                await sink.send(chunk)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            # One end is gone, so the other is closed too.
            scope.cancel()


async def reset_connection(stream: SocketStream) -> None:
    """Close a connection so that the other end sees a reset.

    :param stream: this end of it.
    """
    raw = stream.extra(SocketAttribute.raw_socket)
    if raw.fileno() < 0:
        # It was closed while those before it were reset.
        return
    # Linger with a time of zero drops what is unsent and sends a reset.
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    await stream.aclose()
