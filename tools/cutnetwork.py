"""Cuts VMs off from upstreams within processes whose VMs share one loopback network.

All connections of a process are made by ``anyio.connect_tcp``, which :class:`CutNetwork` replaces.
Each task belongs to the VM that :data:`VM` names in its context.
"""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from enum import StrEnum
from typing import Any

import anyio
from anyio.abc import SocketStream

from tools.faultylink import reset_connection

VM: ContextVar[str] = ContextVar("VM", default="")
"""Name of the VM that a task runs on."""


class Cut(StrEnum):
    """What becomes of the links from a VM to upstreams."""

    HANG = "hang"
    """Open connections carry nothing, new ones don't come about."""
    RESET = "reset"
    """Open connections are reset, new ones don't come about."""
    REFUSE = "refuse"
    """Open connections are reset, new ones are refused."""
    REFUSE_NEW = "refuse-new"
    """Open connections live on, new ones are refused."""


class CutNetwork:
    """The links from VMs to upstreams.

    :param is_upstream: returns whether an IP:PORT is an upstream's.
    :param may_freeze: returns whether an IP:PORT may be added to ``frozen``.
    :ivar cuts: what is cut, by name of the VM.
    :ivar spared: addresses of upstreams that cut VMs reach all the same.
    :ivar frozen: addresses that answer nothing to anybody.
    """

    def __init__(
        self,
        is_upstream: Callable[[str], bool],
        may_freeze: Callable[[str], bool] = lambda address: False,
    ) -> None:
        self.cuts: dict[str, Cut] = {}
        self.spared: set[str] = set()
        self.frozen: set[str] = set()
        self._is_upstream = is_upstream
        self._may_freeze = may_freeze
        self._open: dict[_CutStream, str] = {}
        self._connect: Callable[..., Awaitable[SocketStream]] = anyio.connect_tcp

    @contextmanager
    def install(self) -> Iterator[None]:
        """Carry all connections that this process makes meanwhile."""
        self._connect, anyio.connect_tcp = anyio.connect_tcp, self.connect_tcp
        try:
            yield
        finally:
            anyio.connect_tcp = self._connect

    async def cut(self, vm: str, cut: Cut) -> None:
        """Cut a VM off.

        :param vm: its name.
        :param cut: in which way.
        """
        self.cuts[vm] = cut
        for stream in [s for s, name in self._open.items() if name == vm]:
            if cut in (Cut.RESET, Cut.REFUSE) and stream.address not in self.spared:
                await reset_connection(stream)

    def heal(self, vm: str) -> None:
        """Let a VM reach upstreams again.

        :param vm: its name.
        """
        self.cuts.pop(vm, None)

    def get_cut(self, vm: str, address: str) -> Cut | None:
        """Return what hinders a VM from reaching an address, if anything does.

        :param vm: the VM's name.
        :param address: the IP:PORT.
        """
        if address in self.frozen:
            return Cut.HANG
        if address in self.spared or not self._is_upstream(address):
            return None
        return self.cuts.get(vm)

    async def connect_tcp(self, remote_host: str, remote_port: int, **options: Any) -> Any:
        """Connect as ``anyio.connect_tcp`` does, if the link of the task's VM allows it."""
        vm, address = VM.get(), f"{remote_host}:{remote_port}"
        match self.get_cut(vm, address):
            case Cut.HANG | Cut.RESET:
                await anyio.sleep_forever()
            case Cut.REFUSE | Cut.REFUSE_NEW:
                raise ConnectionRefusedError(111, "refused")
        stream = await self._connect(remote_host, remote_port, **options)
        if not self._is_upstream(address) and not self._may_freeze(address):
            return stream
        carried = _CutStream(stream, vm, address, self)
        self._open[carried] = vm
        return carried

    def drop(self, stream: "_CutStream") -> None:
        """Forget a connection that was closed."""
        self._open.pop(stream, None)


class _CutStream:
    """A connection over a link that may be cut while it is open."""

    def __init__(self, stream: SocketStream, vm: str, address: str, network: CutNetwork) -> None:
        self.address = address
        self._stream = stream
        self._vm = vm
        self._network = network

    def __getattr__(self, name: str) -> Any:
        return getattr(self._stream, name)

    async def __aenter__(self) -> "_CutStream":
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.aclose()

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Return what comes, once the link is well."""
        data = await self._stream.receive(max_bytes)
        await self._wait_until_carried()
        self._check_reset()
        return data

    async def send(self, item: bytes) -> None:
        """Send, once the link is well; the kernel of a VM would take the bytes at once."""
        await self._wait_until_carried()
        self._check_reset()
        await self._stream.send(item)

    async def aclose(self) -> None:
        """Close the connection."""
        self._network.drop(self)
        await self._stream.aclose()

    def _check_reset(self) -> None:
        if self._network.get_cut(self._vm, self.address) in (Cut.RESET, Cut.REFUSE):
            raise anyio.BrokenResourceError

    async def _wait_until_carried(self) -> None:
        while self._network.get_cut(self._vm, self.address) is Cut.HANG:
            await anyio.sleep(0.01)
