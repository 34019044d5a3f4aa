"""Crowds of clients that misbehave, the processes that they meet, and what these hold meanwhile."""

import contextlib
import json
import os
import socket
import subprocess
import sys
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import anyio
import h2.connection
import httpx

from tools.soakledger import Ledger
from tools.soakstutter import StutteringStream
from tools.soakupstreams import PLAIN_SERVICE, Upstream

ROOT = Path(__file__).resolve().parent.parent

MEMORY_MB = 112
"""Memory limit in the settings of each process; the smallest VMs have a little less."""

DESCRIPTORS = 400
"""Descriptor limit in the settings of each process."""

HEADER_BYTES, BODY_BYTES = 16_384, 4_194_304
HEADER_SECONDS, IDLE_SECONDS = 3.0, 15.0
"""Limits of clients in the routing configuration: those of the pages' example."""

PATIENCE_SECONDS = 40.0
GONE_SECONDS = 4.0
"""Time from the end of a crowd until nothing may be left of it."""

ANSWER_SIZE_HEADER = "x-answer-bytes"
_SENDING_SECONDS = 2.0
_SAMPLE_SECONDS = 0.05
_QUEUES = 4
_LOCAL, _REMOTE = 1, 2


@dataclass(frozen=True)
class Listener:
    """One address of a process, and an ordinary request there.

    :param process: the name of the process.
    :param address: IP:PORT.
    :param path: path of the ordinary request.
    :param post: path that takes a body.
    :param status: status of the answer to the ordinary request.
    """

    process: str
    address: str
    path: str
    post: str
    status: int = 200

    def make_head(self, method: str = "GET", *headers: str, number: int = 0) -> bytes:
        """Return the head of a proper request, without its end."""
        path = self.path if method == "GET" else self.post
        lines = [f"{method} {path} HTTP/1.1", "Host: h", f"X-Daleroad-Attempt-Id: c{number}"]
        return "\r\n".join([*lines, *headers, ""]).encode()

    def make_request(self, *headers: str, number: int = 0) -> bytes:
        """Return a whole request without a body."""
        return self.make_head("GET", *headers, number=number) + b"\r\n"


@dataclass(frozen=True)
class Crowd:
    """Clients that all do the same.

    :param count: connections.
    :param make_bytes: returns what the client of a number sends ahead; it reads nothing.
    """

    count: int
    make_bytes: Callable[[Listener, int], Iterator[bytes]]


def send_requests_ahead(listener: Listener, number: int) -> Iterator[bytes]:
    """Yield requests without end."""
    block = b"".join(listener.make_request(number=number * 1000 + n) for n in range(100))
    while True:
        yield block


def send_requests_for_large_answers(listener: Listener, number: int) -> Iterator[bytes]:
    """Yield requests for answers of the largest size that upstreams here send."""
    size = f"{ANSWER_SIZE_HEADER}: {BODY_BYTES}"
    while True:
        yield listener.make_request(size, number=number)


def send_nothing(listener: Listener, number: int) -> Iterator[bytes]:
    """Yield nothing."""
    yield from ()


def send_half_a_head(listener: Listener, number: int) -> Iterator[bytes]:
    """Yield a head of short fields that is never finished."""
    head = listener.make_head(number=number)
    yield head + b"a:\r\n" * ((HEADER_BYTES - len(head)) // 4 - 1)


def send_short_fields_and_half_a_body(listener: Listener, number: int) -> Iterator[bytes]:
    """Yield a head of as many fields as its size allows, and a body that is never finished."""
    head = listener.make_head("POST", "Content-Length: 9", number=number)
    yield head + b"a:\r\n" * ((HEADER_BYTES - len(head)) // 4 - 1) + b"\r\nhalf"


def send_a_body_but_its_end(listener: Listener, number: int) -> Iterator[bytes]:
    """Yield a request with a large body that lacks its last byte."""
    yield listener.make_head("POST", f"Content-Length: {BODY_BYTES}", number=number) + b"\r\n"
    yield bytes(BODY_BYTES - 1)


def send_http2_requests(listener: Listener, number: int) -> Iterator[bytes]:
    """Yield requests of HTTP/2 by prior knowledge, as many as a connection may carry."""
    state = h2.connection.H2Connection()
    state.initiate_connection()
    state.max_outbound_frame_size = 16_384
    yield state.data_to_send()
    head = [(":method", "GET"), (":path", listener.path), (":scheme", "http")]
    head += [(":authority", "h"), ("x-daleroad-attempt-id", f"c{number}")]
    head += [(f"x-{n}", "v" * 100) for n in range(100)]
    for stream in range(1, 199, 2):
        state.send_headers(stream, head, end_stream=False)
        yield state.data_to_send()
    while True:
        state.ping(b"12345678")
        yield state.data_to_send() * 500


def send_http2_upgrades(listener: Listener, number: int) -> Iterator[bytes]:
    """Yield a request that asks for HTTP/2, and then requests of HTTP/2."""
    wanted = ("Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c", "HTTP2-Settings: AAMAAABk")
    yield listener.make_request(*wanted, number=number)
    yield from send_http2_requests(listener, number)


def send_websocket_frames(listener: Listener, number: int) -> Iterator[bytes]:
    """Yield a WebSocket handshake and frames of a message that does not end."""
    yield listener.make_request(
        "Connection: Upgrade",
        "Upgrade: websocket",
        "Sec-WebSocket-Version: 13",
        "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==",
        number=number,
    )
    frame = b"\x02\xfe\xff\xff\0\0\0\0" + bytes(65_535)
    yield frame
    while True:
        yield b"\0" + frame[1:]


def send_chunks_of_one_byte(listener: Listener, number: int) -> Iterator[bytes]:
    """Yield a body in the smallest chunks, without end."""
    yield listener.make_head("POST", "Transfer-Encoding: chunked", number=number) + b"\r\n"
    while True:
        yield b"1\r\nx\r\n" * 2000


RETURNING = Crowd(100, send_chunks_of_one_byte)
"""Clients that come again as soon as they are cut."""

CROWDS = {
    "requests-ahead": Crowd(40, send_requests_ahead),
    "large-answers": Crowd(40, send_requests_for_large_answers),
    "silent": Crowd(700, send_nothing),
    "half-heads": Crowd(700, send_half_a_head),
    "short-fields": Crowd(300, send_short_fields_and_half_a_body),
    "half-bodies": Crowd(60, send_a_body_but_its_end),
    "http2": Crowd(40, send_http2_requests),
    "http2-upgrades": Crowd(40, send_http2_upgrades),
    "websockets": Crowd(40, send_websocket_frames),
}


@dataclass
class Usage:
    """What a process held at most: bytes of memory, with those in its sockets, and descriptors."""

    memory: int = 0
    descriptors: int = 0

    def note(self, pid: int, sockets: "Sockets") -> None:
        """Note what a process holds now.

        :param pid: its number.
        :param sockets: its sockets.
        """
        status = Path(f"/proc/{pid}/status").read_text()
        resident = next(line for line in status.splitlines() if line.startswith("VmRSS:"))
        self.memory = max(self.memory, 1024 * int(resident.split()[1]) + count_queued(sockets))
        self.descriptors = max(self.descriptors, count_descriptors(pid))


def count_descriptors(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def format_address(address: str) -> str:
    """Return an address as ``/proc/net/tcp`` has it."""
    host, port = address.split(":")
    return f"{socket.inet_aton(host)[::-1].hex().upper()}:{int(port):04X}"


@dataclass(frozen=True)
class Sockets:
    """The sockets of a process, by addresses as the kernel writes them.

    :param listeners: where it listens.
    :param upstreams: where only this process connects to.
    """

    listeners: frozenset[str] = frozenset()
    upstreams: frozenset[str] = frozenset()


def count_queued(sockets: Sockets) -> int:
    """Return the bytes that arrived unread, or were sent and not acknowledged."""
    queued = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        ours = fields[_LOCAL] in sockets.listeners or fields[_REMOTE] in sockets.upstreams
        # The queue of a listener counts connections.
        if ours and not fields[_REMOTE].endswith(":0000"):
            sent, _, arrived = fields[_QUEUES].partition(":")
            queued += int(sent, 16) + int(arrived, 16)
    return queued


class AnsweringUpstream(Upstream):
    """An upstream whose answers have the size that a request names."""

    async def _run(self, stream: StutteringStream, request: str, head: dict[str, str]) -> None:
        size = int(head.get(ANSWER_SIZE_HEADER, "2"))
        given = self._ledger.give(request, self.id, 200)
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Daleroad-Attempt-Id: {request}",
            f"X-Daleroad-Engine-Signature: {given.signature}",
            f"Content-Length: {size}",
        ]
        await stream.send("\r\n".join([*lines, "", ""]).encode() + bytes(size))


@dataclass
class CrowdSite:
    """A coordinator, a gateway and an upstream, with the limits of small VMs.

    :param folder: where settings and logs are kept.
    :param network: begins their addresses; others in other processes, which may run beside.
    :param grace_seconds: time that a process has to stop.
    """

    folder: Path
    network: str = field(default_factory=lambda: f"127.{32 + os.getpid() % 200}")
    grace_seconds: float = 4
    running: dict[str, subprocess.Popen] = field(default_factory=dict)
    ledger: Ledger = field(default_factory=Ledger)
    upstream: Upstream = field(init=False)

    def __post_init__(self) -> None:
        coordinator = f"{self.network}.0.1:18748"
        self.upstream = AnsweringUpstream(
            0, self.ledger, Random(0), [coordinator], self.network, linked=False
        )

    def list_listeners(self) -> dict[str, Listener]:
        """Return the listeners by name."""
        ip = f"{self.network}.0.1"
        config, internal = "/-/config", "/channel"
        return {
            "clients": Listener("gateway", f"{ip}:18740", "/again/x", "/again/x"),
            "readiness": Listener("gateway", f"{ip}:18749", "/", "/"),
            "gateway-metrics": Listener("gateway", f"{ip}:19464", "/metrics", "/metrics"),
            "tunnels": Listener("gateway", f"{ip}:17201", "/tunnel/x", "/tunnel/x", 503),
            "control": Listener("coordinator", f"{ip}:18748", config, config),
            "directory": Listener("coordinator", f"{ip}:18746", "/-/resolve?zone=z0", config),
            "internal": Listener("coordinator", f"{ip}:17200", "/status", internal, 404),
            "coordinator-metrics": Listener("coordinator", f"{ip}:19465", "/metrics", "/metrics"),
        }

    def find_sockets(self, process: str) -> Sockets:
        """Return the sockets of a process."""
        found = [one for one in self.list_listeners().values() if one.process == process]
        listeners = frozenset(format_address(one.address) for one in found)
        upstreams = {format_address(self.upstream.address)} if process == "gateway" else ()
        return Sockets(listeners, frozenset(upstreams))

    def count_lines(self, process: str) -> Counter[str]:
        """Return how many lines of each event, or library, a process has logged."""
        lines = (self.folder / f"{process}.log").read_text().splitlines()
        return Counter(_name_source(line) for line in lines)

    def start_all(self) -> None:
        """Start both processes."""
        self._start("coordinator", {"control_plane": 18748, "directory": 18746})
        self._start("gateway", {"frontend": 18740, "readiness": 18749})

    def start_other_gateway(self) -> None:
        """Start a second gateway, on another VM."""
        self._start("gateway", {"frontend": 18740, "readiness": 18749}, 2)

    def _start(self, role: str, ports: dict[str, int], vm: int = 1) -> None:
        ip = f"{self.network}.0.{vm}"
        name = role if vm == 1 else f"{role}-{vm}"
        settings = {
            "node_name": name,
            "ip": ip,
            "zone": "z0",
            "zones": {"z0": "r"},
            "region": "r",
            "listen": {name: f"{ip}:{port}" for name, port in ports.items()},
            "internal_ports": [17200, 17215],
            "seeds": [f"{self.network}.0.1:18748"],
            "bootstrap": True,
            "heartbeat_ms": 500,
            "limits": {"memory_mb": MEMORY_MB, "max_fds": DESCRIPTORS},
            "bounds": {"grace_s": self.grace_seconds, "ttl_max_s": 1, "retry_budget_ratio": 0.2},
            "data_dir": str(self.folder / role) if role == "coordinator" else "",
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        environment = {"PATH": os.environ["PATH"], "DALEROAD_NODE_FILE": str(path)}
        port = "19464" if role == "gateway" else "19465"
        command = [sys.executable, str(ROOT / "platform" / "node.py"), role, port]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.running[name] = subprocess.Popen(
                command, stdout=log, stderr=log, env=environment, cwd=ROOT
            )

    def end_all(self) -> None:
        """End both processes."""
        for process in self.running.values():
            process.kill()
            process.wait()

    def describe_ended(self) -> str:
        """Return how processes ended that should run, with the last of their logs."""
        ended = [(n, p.poll()) for n, p in self.running.items() if p.poll() is not None]
        read = (self.folder / f"{n}.log" for n, _ in ended)
        return " ".join(f"{e}: {p.read_text()[-800:]}" for e, p in zip(ended, read, strict=True))

    @contextlib.asynccontextmanager
    async def serve(self) -> AsyncIterator[None]:
        """Run the upstream, configure the site, and wait until it serves."""
        async with anyio.create_task_group() as tasks, httpx.AsyncClient(trust_env=False) as client:
            tasks.start_soon(self.upstream.run)
            tasks.start_soon(self.upstream.beat, client)
            with anyio.fail_after(PATIENCE_SECONDS):
                await self._configure(client)
                while await ask(self.list_listeners()["clients"]) != httpx.codes.OK:
                    await anyio.sleep(0.1)
            yield
            tasks.cancel_scope.cancel()

    def make_route(self) -> dict[str, object]:
        """Return the route of ordinary requests."""
        route = {"name": "r", "host": "h", "path_prefix": "/again/", "route_kind": "idempotent"}
        route |= {"service": PLAIN_SERVICE, "timeout_ms": 20_000, "max_attempts": 2}
        return route | {"public": True}

    async def _configure(self, client: httpx.AsyncClient) -> None:
        limits = {"max_header_bytes": HEADER_BYTES, "max_body_bytes": BODY_BYTES}
        limits |= {"header_timeout_ms": int(1000 * HEADER_SECONDS)}
        limits |= {"idle_timeout_ms": int(1000 * IDLE_SECONDS)}
        config = {"version": 1, "routes": [self.make_route()], "limits": limits}
        config["services"] = [{"name": PLAIN_SERVICE}]
        while True:
            with contextlib.suppress(httpx.HTTPError):
                control = self.list_listeners()["control"].address
                answer = await client.put(f"http://{control}/-/config", json=config)
                if answer.status_code == httpx.codes.OK:
                    return
            await anyio.sleep(0.1)

    def watch(self, process: str) -> contextlib.AbstractAsyncContextManager[Usage]:
        """Return a block that yields what a process holds at most."""
        return watch_process(self.running[process], self.find_sockets(process))


def _name_source(line: str) -> str:
    try:
        fields = json.loads(line)
    except ValueError:
        return "no JSON"
    return fields.get("event") or fields.get("from", "")


async def ask(listener: Listener) -> int | None:
    """Return the status of an ordinary request on a new connection; None if it has none."""
    headers = {"host": "h", "x-daleroad-attempt-id": f"ask{anyio.current_time()}"}
    async with httpx.AsyncClient(timeout=10.0, trust_env=False) as client:
        try:
            url = f"http://{listener.address}{listener.path}"
            return (await client.get(url, headers=headers)).status_code
        except httpx.HTTPError:
            return None


@contextlib.asynccontextmanager
async def watch_process(process: subprocess.Popen, sockets: Sockets) -> AsyncIterator[Usage]:
    """Yield what a process holds at most, measured until the block ends.

    :param process: the process.
    :param sockets: its sockets.
    """
    usage = Usage()

    async def sample() -> None:
        while process.poll() is None:
            # The process may end meanwhile.
            with contextlib.suppress(FileNotFoundError, StopIteration):
                usage.note(process.pid, sockets)
            await anyio.sleep(_SAMPLE_SECONDS)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(sample)
        yield usage
        tasks.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def gather(crowds: Sequence[Crowd], listener: Listener) -> AsyncIterator[None]:
    """Let crowds come, send what they send and stay, with nothing read, until the block ends."""
    with contextlib.ExitStack() as stack:
        async with anyio.create_task_group() as tasks:
            for crowd in crowds:
                for number in range(crowd.count):
                    client = stack.enter_context(socket.socket())
                    client.setblocking(False)
                    parts = crowd.make_bytes(listener, number)
                    tasks.start_soon(_send_all, client, listener, parts)
        yield


async def return_again(crowd: Crowd, listener: Listener, seconds: float) -> None:
    """Let the clients of a crowd send for some seconds, each on one connection after the other."""
    host, port = listener.address.split(":")

    async def send(number: int) -> None:
        while True:
            with contextlib.suppress(OSError, anyio.BrokenResourceError):
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    for part in crowd.make_bytes(listener, number):
                        await stream.send(part)

    with anyio.move_on_after(seconds):
        async with anyio.create_task_group() as tasks:
            for number in range(crowd.count):
                tasks.start_soon(send, number)


async def _send_all(client: socket.socket, listener: Listener, parts: Iterator[bytes]) -> None:
    """Connect and send until all is sent, the other end closes, or takes no more for a while."""
    host, port = listener.address.split(":")
    with contextlib.suppress(BlockingIOError):
        client.connect((host, int(port)))
    with anyio.move_on_after(_SENDING_SECONDS), contextlib.suppress(OSError):
        await anyio.wait_writable(client)
        for part in parts:
            left = memoryview(part)
            while left:
                await anyio.wait_writable(client)
                with contextlib.suppress(BlockingIOError):
                    left = left[client.send(left) :]
