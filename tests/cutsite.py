"""A small site in one process, with gateways that can be cut off from its upstreams."""

import json
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import anyio
import httpx
from anyio.abc import SocketStream, TaskGroup

from tools.cutnetwork import VM, Cut, CutNetwork
from tools.soakledger import Ledger
from tools.soakupstreams import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    SIZE_HEADER,
    Engine,
    Upstream,
    UpstreamRequest,
    read_size,
)

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))

from coordinatorprocess import CoordinatorProcess  # noqa: E402
from gatewayprocess import GatewayProcess  # noqa: E402
from nodefile import NodeFile, read_node  # noqa: E402

from daleroad.channels import ChannelCalls  # noqa: E402

CLIENT_PORT, READY_PORT, CONTROL_PORT, OUR_PORT, METRICS_PORT = 28740, 28749, 28748, 27200, 29464
TUNNEL_PORT = OUR_PORT + 1
NO_KEPT_CONNECTIONS = httpx.Limits(max_connections=None, max_keepalive_connections=0)
NOT_RUN_STATUSES = (408, 421, 429, 503)
CONTACT_SECONDS = 3.0
"""From when on after a cut the platform expects callers to be served."""


@dataclass
class Answers:
    """What clients got for their first tries, by status; 0 for a closed or silent connection."""

    statuses: list[int] = field(default_factory=list)
    seconds: list[float] = field(default_factory=list)

    def count(self, status: int) -> int:
        return self.statuses.count(status)


class MovingEngine(Engine):
    """A stand-in engine whose generations can be copied to another and go on there.

    :ivar stopped: events made of the generations that were stopped here for a copy.
    :ivar moved: generations that go on here.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.made: dict[str, int] = {}
        self.running: set[str] = set()
        self.stopped: set[str] = set()
        self.moved: list[str] = []

    async def handle_call(self, stream: SocketStream, path: str, body: bytes) -> None:
        """Answer a call to copy a generation, which stops it."""
        request = json.loads(body)["id"]
        answer, status = b"{}", "404 No such run"
        if request in self.running:
            self.stopped.add(request)
            answer = json.dumps({"handle": request, "made": self.made.get(request, 0)}).encode()
            status = "200 OK"
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(answer)}\r\n\r\n"
        await stream.send(head.encode() + answer)

    async def _answer(self, stream: SocketStream, asked: UpstreamRequest) -> None:
        if "kv-from" in asked.headers:
            self.moved.append(asked.headers["x-daleroad-attempt-id"])
            await self._run(stream, asked.headers["x-daleroad-attempt-id"], asked.headers)
            return
        if "x-daleroad-attempt-id" not in asked.headers:
            await self.handle_call(stream, "", asked.body)
            return
        await super()._answer(stream, asked)

    async def _run(self, stream: SocketStream, request: str, head: dict[str, str]) -> None:
        events, pause, framing = read_size(head)
        first = int(head.get("last-event-id", "0")) + 1
        self.running.add(request)
        try:
            await self._send_stream_head(stream, request, framing)
            for number in range(first, events + 1):
                await anyio.sleep(pause)
                if request in self.stopped:
                    return
                self.made[request] = number
                if number == events:
                    self.running.discard(request)
                event = f"id: {number}\ndata: {request}\n\n"
                await stream.send(f"{len(event):x}\r\n{event}\r\n".encode())
            await stream.send(b"0\r\n\r\n")
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            # The caller is gone, so the generation stops.
            return
        finally:
            self.running.discard(request)


class Site:
    """One coordinator, gateways in zones by turns, three plain upstreams and three engines.

    :param network: begins its addresses.
    :param gateways: number of gateways.
    """

    def __init__(self, network: str, gateways: int = 3) -> None:
        self._network = network
        self.names = [f"gateway-{number}" for number in range(gateways)]
        self.links = CutNetwork(
            lambda address: address.startswith(f"{network}.1."),
            lambda address: address.endswith(f":{TUNNEL_PORT}"),
        )
        self.ledger = Ledger()
        self.control = f"{network}.0.99:{CONTROL_PORT}"
        self.upstreams = [
            kind(number, self.ledger, Random(number), [self.control], network, linked=False)
            for kind in (Upstream, MovingEngine)
            for number in range(3)
        ]
        self.engines = [u for u in self.upstreams if isinstance(u, MovingEngine)]
        self.gateways: dict[str, GatewayProcess] = {}
        self.coordinator_scope = anyio.CancelScope()
        self.gateway_scopes = {name: anyio.CancelScope() for name in self.names}
        self.once: set[str] = set()
        self._number = 0

    def get_address(self, name: str) -> str:
        return f"{self._network}.0.{self.names.index(name) + 1}:{CLIENT_PORT}"

    def get_tunnel_address(self, name: str) -> str:
        return f"{self._network}.0.{self.names.index(name) + 1}:{TUNNEL_PORT}"

    @asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        async with AsyncExitStack() as stack:
            stack.enter_context(self.links.install())
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            client = self._client = await stack.enter_async_context(
                httpx.AsyncClient(timeout=1.5, trust_env=False, limits=NO_KEPT_CONNECTIONS)
            )
            tasks = await stack.enter_async_context(anyio.create_task_group())
            stack.callback(tasks.cancel_scope.cancel)
            for upstream in self.upstreams:
                tasks.start_soon(upstream.run)
                tasks.start_soon(upstream.beat, client)
            tasks.start_soon(self._run_coordinator, folder)
            await self._save_config(client)
            for name in self.names:
                tasks.start_soon(self._run_gateway, name)
            await self._wait_until_served()
            yield

    async def _run_coordinator(self, folder: str) -> None:
        with self.coordinator_scope:
            node = self._make_node("coordinator", f"{self._network}.0.99", "z0", folder)
            process = CoordinatorProcess(node, ChannelCalls("secret"), METRICS_PORT)
            await _run_process(process)

    async def _run_gateway(self, name: str) -> None:
        VM.set(name)
        number = self.names.index(name)
        node = self._make_node(name, f"{self._network}.0.{number + 1}", f"z{number % 3}", "")
        process = GatewayProcess(node, ChannelCalls("secret"), METRICS_PORT)
        self.gateways[name] = process
        with self.gateway_scopes[name]:
            await _run_process(process)

    def _make_node(self, name: str, ip: str, zone: str, folder: str) -> NodeFile:
        listen = {"frontend": f"{ip}:{CLIENT_PORT}", "readiness": f"{ip}:{READY_PORT}"}
        if folder:
            listen = {"control_plane": f"{ip}:{CONTROL_PORT}"}
        return read_node(
            {
                "node_name": name,
                "ip": ip,
                "zone": zone,
                "zones": {"z0": "r", "z1": "r", "z2": "r"},
                "region": "r",
                "listen": listen,
                "internal_ports": [OUR_PORT, OUR_PORT + 15],
                "seeds": [self.control],
                "bootstrap": True,
                "heartbeat_ms": 500,
                "data_dir": folder,
                "bounds": {"grace_s": 4, "ttl_max_s": 1, "retry_budget_ratio": 0.2},
            }
        )

    async def _save_config(self, client: httpx.AsyncClient) -> None:
        route = {"host": "h", "public": True, "timeout_ms": 1500, "target_latency_ms": 200}
        plain = route | {"service": PLAIN_SERVICE, "max_attempts": 2}
        stream = route | {"service": ENGINE_SERVICE, "sticky": True, "timeout_ms": 20_000}
        routes = [
            plain | {"name": "o", "path_prefix": "/once/", "route_kind": "non_idempotent"},
            plain | {"name": "a", "path_prefix": "/again/", "route_kind": "idempotent"},
            stream
            | {"name": "s", "path_prefix": "/stream/", "route_kind": "streaming"}
            | {"max_attempts": 1, "target_latency_ms": 1000, "target_itl_ms": 180},
        ]
        engine = {"slots": Engine.slots, "kv_capacity_tokens": 34_305, "moves": True}
        services = [{"name": PLAIN_SERVICE}, {"name": ENGINE_SERVICE, "engine": engine}]
        body = {"version": 1, "routes": routes, "services": services}
        with anyio.fail_after(10.0):
            while True:
                try:
                    answer = await client.put(f"http://{self.control}/-/config", json=body)
                    if answer.status_code == httpx.codes.OK:
                        return
                except httpx.HTTPError:
                    # The coordinator still starts.
                    pass
                await anyio.sleep(0.05)

    async def _wait_until_served(self) -> None:
        with anyio.fail_after(10.0):
            for name in self.names:
                for path in ("/again/x", "/stream/x"):
                    while (await self.ask(name, path))[0] != httpx.codes.OK:
                        await anyio.sleep(0.05)

    async def ask(self, name: str, path: str, size: str = "3,0.01") -> tuple[int, float]:
        """Send one request on a connection of its own; return its status and how long it took."""
        self._number += 1
        request = f"q{self._number}"
        if "again" not in path:
            self.once.add(request)
        headers = {"host": "h", "x-daleroad-attempt-id": request, SIZE_HEADER: size}
        headers |= {"x-daleroad-deadline-ms": "20000" if "stream" in path else "1500"}
        if "stream" in path:
            headers |= {"x-daleroad-token-usage": "60,40"}
        begun = anyio.current_time()
        status = 0
        url = f"http://{self.get_address(name)}{path}"
        timeout = 20.0 if "stream" in path else 2.0
        try:
            answer = await self._client.post(url, content=b"body", headers=headers, timeout=timeout)
            events = int(size.partition(",")[0])
            whole = "stream" not in path or answer.text.count("data:") == events
            status = answer.status_code if whole or answer.is_error else 0
            if status in NOT_RUN_STATUSES:
                self.ledger.promised_not_run.add(request)
        except httpx.HTTPError:
            # Closed or silent: no status.
            pass
        return status, anyio.current_time() - begun

    async def ask_many(self, name: str, count: int, gap: float = 0.03) -> Answers:
        """Send requests of all kinds by turns to one gateway; return what came of them."""
        answers = Answers()

        async def ask(path: str) -> None:
            status, seconds = await self.ask(name, path)
            answers.statuses.append(status)
            answers.seconds.append(seconds)

        async with anyio.create_task_group() as tasks:
            for number in range(count):
                tasks.start_soon(ask, ("/once/x", "/again/x", "/stream/x")[number % 3])
                await anyio.sleep(gap)
        return answers

    async def cut_off(self, names: list[str], cut: Cut) -> None:
        for name in names:
            await self.links.cut(name, cut)


async def _run_process(process: CoordinatorProcess | GatewayProcess) -> None:
    task: TaskGroup
    async with anyio.create_task_group() as task:
        await process.run(task, anyio.Event())
