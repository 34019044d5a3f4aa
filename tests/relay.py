"""A fault-injecting TCP relay."""

import contextlib
import threading

import anyio
from anyio.abc import SocketStream, TaskGroup


class Relay:
    """A TCP relay that can stall, hold or refuse, each way by itself.

    ``stalled`` stops the bytes of all connections one way. ``holding`` stops those of
    connections that are made meanwhile, until ``release``.
    """

    def __init__(self, target: str) -> None:
        self.host, _, port = target.rpartition(":")
        self.port = int(port)
        self.stalled = {"to": False, "from": False}
        self.holding = {"to": False, "from": False}
        self.refusing = False
        self.held = 0
        self.released = threading.Event()

    async def run(self, address: str, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        host, _, port = address.rpartition(":")
        listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
        async with listener:
            task_status.started()
            await listener.serve(self._serve)

    def release(self) -> None:
        """Let the bytes of held connections go on."""
        self.holding = {"to": False, "from": False}
        self.released.set()

    def drop(self) -> None:
        """Close held connections with their bytes, and refuse new ones."""
        self.refusing = True
        self.release()

    async def _serve(self, near: SocketStream) -> None:
        if self.refusing:
            await near.aclose()
            return
        held = dict(self.holding)
        with contextlib.suppress(OSError):
            far = await anyio.connect_tcp(self.host, self.port)
            async with near, far, anyio.create_task_group() as tasks:
                tasks.start_soon(self._copy, near, far, "to", held["to"], tasks)
                tasks.start_soon(self._copy, far, near, "from", held["from"], tasks)

    async def _copy(
        self, source: SocketStream, sink: SocketStream, way: str, held: bool, tasks: TaskGroup
    ) -> None:
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            while True:
                data = await source.receive()
                self.held += held and not self.released.is_set()
                while self.stalled[way] or (held and not self.released.is_set()):
                    await anyio.sleep(0.02)
                if self.refusing:
                    tasks.cancel_scope.cancel()
                    break
                await sink.send(data)
        if not held:
            tasks.cancel_scope.cancel()
