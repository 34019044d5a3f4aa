"""A small site on loopback for the cases 4 to 8: processes, operator, clients and stand-ins.

Starts the programs of this repository with the commands of the deploy file. The stand-ins of
clients, engines and the platform are plain asyncio code and follow the users' pages. Only the
standard library is used.
"""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_SECONDS = 1.2
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "downgrade_slack_ms": 250,
    "partition_slack_ms": 5000,
    "strict_revocation": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "budget_slack": 64,
    "recovery_s": 12,
    "iteration_ms": 120,
    "reuse_window_s": 4.6,
    "ttl_max_s": 5,
}
"""As on the sheet of stoyanov-meteo."""

SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run; written to record.txt of the case."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._began = time.monotonic()
        self._lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def note(self, text: str) -> None:
        """Add a line."""
        self._lines.append(f"{self.now():8.3f} {text}")

    def write(self) -> None:
        """Write the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


def find_network() -> str:
    """Return the first three numbers of a loopback network on which the ports are free."""
    for _ in range(50):
        network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        with suppress(OSError):
            for host in range(1, 6):
                for port in (8740, 8746, 8748, 8749, 7200, 7201, 9464, 9465):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{host}", port))
            return network
    raise CannotRunError("no loopback network with free ports")


class Site:
    """The processes of a small site, restarted by the test only.

    :param folder: a temporary folder.
    :param machines: number of machines; each runs a gateway, the first three a coordinator too.
    """

    def __init__(self, folder: Path, machines: int = 3, secrets: str = "between") -> None:
        self.folder = folder
        self.network = find_network()
        self.machines = machines
        self._secret = secrets
        self._running: dict[tuple[str, int], subprocess.Popen] = {}
        self._deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._bootstrap = True

    def ip(self, number: int) -> str:
        """Return the address of a machine, from 0."""
        return f"{self.network}.{number + 1}"

    def gateway(self, number: int) -> tuple[str, int]:
        """Return where clients reach a gateway."""
        return self.ip(number), 8740

    def controls(self) -> list[tuple[str, int]]:
        """Return where the operator and the engines reach the coordinators."""
        return [(self.ip(number), 8748) for number in range(min(3, self.machines))]

    def start_all(self) -> None:
        """Start everything for the first time."""
        for number in range(min(3, self.machines)):
            self.start("coordinator", number)
        for number in range(self.machines):
            self.start("gateway", number)
        self._bootstrap = False

    def start(self, role: str, number: int) -> None:
        """Start a process with settings as the platform writes them."""
        ip = self.ip(number)
        listen = (
            {"frontend": f"{ip}:8740", "readiness": f"{ip}:8749"}
            if role == "gateway"
            else {"control_plane": f"{ip}:8748", "directory": f"{ip}:8746"}
        )
        zones = ["hall-a", "hall-b", "hall-c"]
        settings = {
            "node_name": f"edge-{zones[number % 3]}-{number // 3 + 1}",
            "role": role,
            "machine_class": "edge",
            "serves": self._deploy["roles"][role]["serves"],
            "ip": ip,
            "zone": zones[number % 3],
            "region": "sofia",
            "zones": dict.fromkeys((*zones, "hall-d", "hall-e"), "sofia"),
            "listen": listen,
            "internal_ports": [7200, 7215],
            "seeds": [f"{host}:{port}" for host, port in self.controls()],
            "bootstrap": self._bootstrap,
            "in_tolerance": True,
            "limits": {"memory_mb": 150, "max_fds": 4100},
            "discovery": "registration",
            "entry": "registry",
            "heartbeat_ms": int(HEARTBEAT_SECONDS * 1000),
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine"],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
        }
        if role == "coordinator":
            data = self.folder / f"data-{number}"
            data.mkdir(exist_ok=True)
            settings["data_dir"] = str(data)
        path = self.folder / f"{role}-{number}.json"
        path.write_text(json.dumps(settings))
        entry = self._deploy["roles"][role]
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "DALEROAD_NODE_FILE": str(path),
            **entry.get("env", {}),
        }
        command = shlex.split(entry["run"])
        command[0] = sys.executable
        with (self.folder / f"{role}-{number}.log").open("ab") as log:
            self._running[role, number] = subprocess.Popen(
                command, stdout=log, stderr=log, env=environment, cwd=ROOT
            )

    def send_signal(self, role: str, number: int, signal_number: int) -> None:
        """Send a signal to a process that this site started."""
        process = self._running[role, number]
        if process.poll() is None:
            process.send_signal(signal_number)

    def get_exit_code(self, role: str, number: int) -> int | None:
        """Return how a process ended, or nothing while it runs."""
        return self._running[role, number].poll()

    def read_log(self, role: str, number: int) -> str:
        """Return what a process wrote."""
        return (self.folder / f"{role}-{number}.log").read_text(errors="replace")

    def end_all(self) -> None:
        """End all processes."""
        for process in self._running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


class Answer:
    """A response as a client read it.

    :ivar complete: whether it ended as the protocol says.
    """

    def __init__(self, status: int, headers: dict[str, str]) -> None:
        self.status = status
        self.headers = headers
        self.body = b""
        self.complete = False


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    return head[0], {name.strip().lower(): value.strip() for name, _, value in pairs}


async def ask(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    seconds: float = 5.0,
    on_data: Callable[[bytes], None] = lambda data: None,
) -> Answer | None:
    """Send a request on a new connection; return the answer, or nothing if there is none."""
    answer: Answer | None = None
    writer = None
    with suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, TimeoutError):
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            first, found = await read_head(reader)
            answer = Answer(int(first.split()[1]), found)
            if found.get("transfer-encoding") == "chunked":
                while True:
                    size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                    data = await reader.readexactly(size + 2)
                    if size == 0:
                        answer.complete = True
                        break
                    answer.body += data[:-2]
                    on_data(data[:-2])
            else:
                answer.body = await reader.readexactly(int(found.get("content-length", "0")))
                answer.complete = True
    if writer is not None:
        writer.close()
    return answer


async def operate(site: Site, method: str, path: str, body: object = None) -> Answer | None:
    """Call the operator's API as the pages say: the next node after a failure."""
    text = json.dumps(body).encode() if body is not None else b""
    for attempt in range(40):
        place = site.controls()[attempt % len(site.controls())]
        headers = {"Host": "control", "Content-Type": "application/json"}
        answer = await ask(place, method, path, headers, text, seconds=1.0)
        if answer is not None and answer.status < 500 and answer.status not in (408, 429):
            return answer
        await asyncio.sleep(0.2)
    raise CannotRunError(f"{method} {path} was not accepted")


class Request:
    """A request as an engine read it."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.path, _ = first.split(" ", 2)
        self.headers = headers
        self.body = body
        self.id = headers.get("x-daleroad-attempt-id", "")


class Channel:
    """A connection to an engine, at the engine's side."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.last: bytes = b""
        self.last_of = ""
        self.is_open = True

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)
        await self.writer.drain()


def make_answer(status: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a whole response with a length."""
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """A stand-in of one engine or application server of a service.

    :param handle: answers a request on its channel.
    """

    def __init__(
        self,
        site: Site,
        record: Record,
        name: str,
        service: str,
        zone: str,
        slots: int,
        handle: Callable[["Server", Channel, Request], Awaitable[None]],
    ) -> None:
        self.site = site
        self.record = record
        self.id = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.state = "ready"
        self.address = ""
        self.models = [{"name": "m", "version": 1, "adapters": []}]
        self._handle = handle
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._channels: set[Channel] = set()
        self._beat: asyncio.Task | None = None

    async def start(self, host: str) -> None:
        """Listen on a free port, and send heartbeats."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        self._beat = asyncio.create_task(self._send_heartbeats())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        channel = Channel(reader, writer)
        self._channels.add(channel)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                await self._handle(self, channel, Request(first, headers, body))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            channel.is_open = False
            self._channels.discard(channel)
            writer.close()

    def make_heartbeat(self) -> dict[str, object]:
        """Return what the server says of itself."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "phase": "unified",
            "models": self.models,
            "sequence": self._sequence,
        }

    async def beat_once(self) -> bool:
        """Send a heartbeat to one node after the other until it is acknowledged."""
        self._sequence += 1
        body = json.dumps(self.make_heartbeat()).encode()
        places = random.sample(self.site.controls(), len(self.site.controls()))
        for place in places:
            headers = {"Host": "control", "Content-Type": "application/json"}
            path = f"/-/instances/{self.id}"
            answer = await ask(place, "PUT", path, headers, body, seconds=1.0)
            if answer is not None and answer.status == 200:
                return True
        return False

    async def _send_heartbeats(self) -> None:
        while True:
            acknowledged = await self.beat_once()
            await asyncio.sleep(HEARTBEAT_SECONDS if acknowledged else 0.1)

    async def stop(self) -> None:
        """Stop listening, and cut off all channels."""
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            self._server.close()
        for channel in list(self._channels):
            channel.writer.close()


def wants_other(server: Server, request: Request) -> bool:
    """Return whether a request expects another instance."""
    return request.headers.get("x-daleroad-expect-instance", server.id) != server.id


def make_route(name: str, prefix: str, kind: str, service: str, **more: object) -> dict:
    """Return a public route of a desired state."""
    route = {
        "name": name,
        "host": "site.example",
        "path_prefix": prefix,
        "route_kind": kind,
        "timeout_ms": 1500,
        "target_latency_ms": 200,
        "priority": 2,
        "service": service,
        "max_attempts": 1,
        "public": True,
        "sticky": False,
        "resumable": False,
    }
    return route | more


def make_ask_headers(request_id: str, seconds: float, **more: str) -> dict[str, str]:
    """Return the headers of a client's request."""
    headers = {
        "Host": "site.example",
        "X-Daleroad-Attempt-Id": request_id,
        "X-Daleroad-Deadline-Ms": str(int(seconds * 1000)),
    }
    return headers | more


async def wait_served(site: Site, number: int, path: str, prefix: str) -> None:
    """Wait until a gateway serves a route."""
    for attempt in range(100):
        headers = make_ask_headers(f"{prefix}{number}-{attempt}", 1.5)
        answer = await ask(site.gateway(number), "GET", path, headers, seconds=2.0)
        if answer is not None and answer.status == 200:
            return
        await asyncio.sleep(0.1)
    raise CannotRunError(f"gateway {number} does not serve {path}")


def is_calm() -> bool:
    """Return whether the case is to run without its disruption."""
    return os.environ.get("TROUBLE", "1") == "0"


def run_case(folder: Path, play: Callable[[Site, Record], Awaitable[list[str]]], **site: int) -> int:
    """Play a case; return 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    record = Record(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with tempfile.TemporaryDirectory(prefix="daleroad-review-") as temporary:
        processes = None
        try:
            processes = Site(Path(temporary), **site)
            processes.start_all()

            async def play_in_time() -> list[str]:
                async with asyncio.timeout(80):
                    return await play(processes, record)

            broken = asyncio.run(play_in_time())
        except (CannotRunError, TimeoutError, OSError) as error:
            record.note(f"the case could not run: {error!r}")
            record.write()
            print(f"could not run: {error!r}")
            return 2
        finally:
            if processes is not None:
                processes.end_all()
                if os.environ.get("KEEP_LOGS"):
                    shutil.copytree(temporary, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
    for line in broken:
        record.note(f"BROKEN {line}")
        print(line)
    if not broken:
        record.note("the rule held")
        print("the rule held")
    record.write()
    return 1 if broken else 0
