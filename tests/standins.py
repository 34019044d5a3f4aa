"""Stand-in upstreams that say of themselves what they take, and gateways that send to them."""

from collections import Counter
from collections.abc import AsyncIterator, Iterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from random import Random

import anyio
from anyio.abc import SocketStream, TaskGroup

from daleroad.channels import ChannelCalls
from daleroad.choosing import GatewayOptions
from daleroad.coldmodel import count_peak_requests
from daleroad.forwarding import Forwarder, Outcome
from daleroad.gateway import Gateway
from daleroad.instances import Instance, InstanceState, Sighting
from daleroad.placerclient import PlacerClient
from daleroad.routing import Repeat
from daleroad.watching import Watcher
from tests.fakes import make_config, make_forwarder, make_job
from tests.test_coordinator import parse
from tests.test_platform import EngineClient
from tools.soakneeds import GATEWAY_HEADER, TOLD_SECONDS, WINDOW_SECONDS, find_allowed
from tools.soakupstreams import read_requests

GATEWAYS = 12
HEARTBEAT_SECONDS = 0.5
PLAY_SECONDS = 6.0
GAP_SECONDS = 0.04
"""Time between two requests to all gateways: 25 a second."""

TURNED_AWAY = b"503 Full"
STATUSES = (b"200 OK", b"500 Failed", TURNED_AWAY, b"200 OK")
"""Answers of an upstream in need, by turns; each names the limit."""


@dataclass
class StandIn:
    """A stand-in plain upstream.

    :param limit: what it names in each answer, which by turns succeeds, fails and turns away.
    :param rest: seconds for which it wants nothing; it turns away all that it gets.
    :param leaving: whether each answer says that it leaves.
    :ivar told: when it had first answered each gateway.
    :ivar arrivals: when a request came, and from which gateway.
    """

    number: int
    limit: float | None = None
    rest: float = 0.0
    leaving: bool = False
    told: dict[str, float] = field(default_factory=dict)
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    port: int = 0

    def make_instance(self) -> Instance:
        address = f"127.0.0.1:{self.port}"
        return Instance(f"i{self.number}", "s", address, "z", 6, InstanceState.READY, 1)

    async def handle(self, stream: SocketStream) -> None:
        async with stream:
            async for request in read_requests(stream):
                await self._answer(stream, request.headers)

    async def _answer(self, stream: SocketStream, found: dict[str, str]) -> None:
        gateway = found[GATEWAY_HEADER]
        self.arrivals.append((anyio.current_time(), gateway))
        await anyio.sleep(0.02)
        status = self._choose_status()
        words = [
            b"HTTP/1.1 " + status,
            b"X-Daleroad-Attempt-Id: " + found["x-daleroad-attempt-id"].encode(),
            b"X-Daleroad-Engine-Signature: s",
            b"Content-Length: 2",
        ]
        if status.startswith(b"503"):
            words.append(b"X-Daleroad-Not-Executed: 1")
        if self.limit is not None:
            words.append(f"Server-Limit: {self.limit}".encode())
        if self.rest:
            words.append(f"Retry-After: {self.rest}".encode())
        if self.leaving:
            words.append(b"Server-Leaving: 1")
        await stream.send(b"\r\n".join([*words, b"", b"ok"]))
        self.told.setdefault(gateway, anyio.current_time())

    def _choose_status(self) -> bytes:
        if self.rest:
            return TURNED_AWAY
        return STATUSES[len(self.arrivals) % len(STATUSES)] if self.limit else STATUSES[0]

    def _list_late(self, seconds: float) -> Iterator[tuple[float, str]]:
        """Yield what gateways sent from a while after they were first told."""
        for at, gateway in self.arrivals:
            if at >= self.told.get(gateway, float("inf")) + seconds:
                yield at, gateway

    def count_late(self, seconds: float) -> int:
        """Return the most requests of one gateway from a while after it was first told.

        :param seconds: the while.
        """
        counts = Counter(gateway for _, gateway in self._list_late(seconds))
        return max(counts.values(), default=0)

    def find_fullest(self) -> int:
        """Return the most requests in a window, from gateways that it had told before."""
        return count_peak_requests((at for at, _ in self._list_late(TOLD_SECONDS)), WINDOW_SECONDS)

    def find_allowed(self) -> float:
        """Return how many requests the platform allows in a window."""
        assert self.limit is not None
        return find_allowed(self.limit)


class Gateways:
    """Some gateways of one site, with the client of upstreams that they have in production."""

    def __init__(
        self, tasks: TaskGroup, seeds: tuple[str, ...], repeat: Repeat, count: int = GATEWAYS
    ) -> None:
        self.all: list[Gateway] = []
        self.forwarders: list[Forwarder] = []
        self._clients: list[EngineClient] = []
        for number in range(count):
            self._add(tasks, number, seeds, repeat)

    def _add(self, tasks: TaskGroup, number: int, seeds: tuple[str, ...], repeat: Repeat) -> None:
        options = GatewayOptions(f"10.0.1.{number}:80", "z", "r", seeds, 1.0, 1.0, 999, 10.0)
        client = EngineClient()
        gateway = Gateway(options, client, Random(number))
        client.on_backpressure = gateway.apply_backpressure
        gateway.last_heard_at = anyio.current_time()
        gateway.replace_config(make_config(repeat, attempts=2))
        if seeds:
            calls = ChannelCalls("secret")
            watcher = Watcher(gateway, calls, parse)
            gateway.on_update = watcher.send_report_now
            places = PlacerClient(gateway, calls, watcher.get_leader)
            gateway.selector.request_placement = places.request_placement
            tasks.start_soon(places.report_loads)
            tasks.start_soon(watcher.run)
        gateway.selector.gateways = GATEWAYS
        self.all.append(gateway)
        self.forwarders.append(make_forwarder(gateway))
        self._clients.append(client)

    async def serve(self, number: int, name: str) -> Outcome:
        """Return what one gateway answers to a request."""
        job = make_job(anyio.current_time())
        headers = (
            (b"x-daleroad-attempt-id", name.encode()),
            (GATEWAY_HEADER.encode(), str(number).encode()),
        )
        return await self.forwarders[number].serve(replace(job, id=name, headers=headers))

    async def close(self) -> None:
        """Close the connections to upstreams."""
        for client in self._clients:
            await client.close()


@asynccontextmanager
async def run_upstreams(tasks: TaskGroup, upstreams: Sequence[StandIn]) -> AsyncIterator[None]:
    """Run some upstreams."""
    for upstream in upstreams:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        upstream.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        tasks.start_soon(listener.serve, upstream.handle)
    yield


async def tell_alone(gateways: Gateways, upstreams: Sequence[StandIn]) -> None:
    """Tell gateways that no coordinator answers of the upstreams, again and again."""
    while True:
        for gateway in gateways.all:
            for upstream in upstreams:
                sighting = Sighting(upstream.make_instance(), 0.0)
                gateway.fleet.note(sighting, anyio.current_time())
        await anyio.sleep(HEARTBEAT_SECONDS)


async def send_all(gateways: Gateways, seconds: float = PLAY_SECONDS) -> list[Outcome]:
    """Send requests to all gateways for a while, at a steady rate; return what came back."""
    outcomes: list[Outcome] = []

    async def ask(number: int, name: str) -> None:
        outcomes.append(await gateways.serve(number, name))

    async with anyio.create_task_group() as tasks:
        for turn in range(int(seconds / GAP_SECONDS)):
            tasks.start_soon(ask, turn % len(gateways.all), f"id{turn}")
            await anyio.sleep(GAP_SECONDS)
    return outcomes
