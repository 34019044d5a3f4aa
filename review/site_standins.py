"""A small deployment on loopback for the cases of this review, with its stand-ins.

Starts the project's gateways and coordinators as separate processes with the ``run`` lines of the
deploy file. Servers, consumers and the operator are the small stand-ins below; they follow the
users' pages. Needs only the standard library. Ends only the processes that it started.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from random import Random

ROOT = Path(__file__).resolve().parent.parent
RUN_SECONDS = 115.0
ZONES = 3
REGION = "region-a"

STOYANOV_BOUNDS = {
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
"""Bounds of the sheet of Stoyanov Meteo."""

SAENGDAO_BOUNDS = STOYANOV_BOUNDS | {
    "contact_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 6,
    "drain_ms": 2500,
    "config_apply_ms": 2500,
    "partition_slack_ms": 6000,
    "budget_slack": 176,
    "cold_overage": 1.5,
    "cold_tolerance": 5,
    "evacuation_ms": 5000,
    "recovery_s": 15,
    "iteration_ms": 200,
    "reuse_window_s": 4.7,
}
"""Bounds of the sheet of Saengdao Freight Quoting."""


class CannotRunError(Exception):
    """The case could not be played; that says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self.began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began

    def note(self, who: str, what: str) -> float:
        """Write a line; return its time."""
        at = self.now()
        self._file.write(f"{at:8.3f} {who}: {what}\n")
        self._file.flush()
        return at


def find_ports(addresses: list[str], count: int) -> list[int]:
    """Return ports that are free at all addresses."""
    found: list[int] = []
    random = Random()
    while len(found) < count:
        port = random.randrange(20000, 30000)
        if port in found:
            continue
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.bind((address, port))
        except OSError:
            continue
        found.append(port)
    return found


_DEPLOYMENTS: list["Deployment"] = []
"""What was made, so that its processes end however the case ends."""


class Deployment:
    """The processes of a small deployment: one machine is one loopback address.

    Machines are ordered zone by zone; the first of each zone has a disk. Coordinators run on the
    first ``count`` machines of each zone, as in the deploy file, gateways on all.
    """

    def __init__(self, record: Record, bounds: dict, machines_per_zone: int) -> None:
        self.record = record
        self._bounds = bounds
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self.heartbeat = 1.2
        net = f"127.{Random().randrange(10, 250)}.{Random().randrange(10, 250)}"
        self.zones = [f"hall-{chr(97 + z)}" for z in range(ZONES)]
        self.machines = [
            {"ip": f"{net}.{z * 10 + m + 1}", "zone": zone, "disk": m == 0, "place": m}
            for z, zone in enumerate(self.zones)
            for m in range(machines_per_zone)
        ]
        ips = [machine["ip"] for machine in self.machines]
        self.frontend, self.readiness, self.control, self.directory, first = find_ports(ips, 5)
        self.internal = first
        self.server_ips = [f"{net}.{100 + n}" for n in range(100)]
        self.processes: dict[tuple[str, str], subprocess.Popen] = {}
        _DEPLOYMENTS.append(self)
        self.own_ends: dict[tuple[str, str], int] = {}
        self._first_start = True

    def list_coordinators(self) -> list[str]:
        """Return the addresses of the machines that serve control."""
        count = self.deploy["coordinator"]["count"]
        return [m["ip"] for m in self.machines if m["place"] < count]

    def list_gateways(self) -> list[str]:
        """Return the addresses of the machines that serve consumers: all."""
        return [machine["ip"] for machine in self.machines]

    def _write_settings(self, machine: dict, role: str) -> Path:
        ip = machine["ip"]
        serves = self.deploy[role]["serves"]
        listen = {}
        if "edge" in serves:
            listen |= {"frontend": f"{ip}:{self.frontend}", "readiness": f"{ip}:{self.readiness}"}
        if "control" in serves:
            listen["control_plane"] = f"{ip}:{self.control}"
        if "registry" in serves:
            listen["directory"] = f"{ip}:{self.directory}"
        seeds = [m["ip"] for m in self.machines if m["disk"]][:3]
        data_dir = self.folder / f"{role}-{ip}" if machine["disk"] else None
        if data_dir is not None:
            data_dir.mkdir(exist_ok=True)
        settings = {
            "node_name": f"edge-{machine['zone']}-{machine['place']}",
            "role": role,
            "machine_class": "edge",
            "serves": serves,
            "ip": ip,
            "zone": machine["zone"],
            "region": REGION,
            "zones": dict.fromkeys(self.zones, REGION),
            "listen": listen,
            "internal_ports": [self.internal, self.internal + 15],
            "seeds": [f"{seed}:{self.control}" for seed in seeds],
            "bootstrap": self._first_start,
            "in_tolerance": machine["disk"],
            "limits": {"cpu_share": 1.0, "cpu_cores": 2, "memory_mb": 150, "max_fds": 4100},
            "data_dir": str(data_dir) if data_dir is not None else "",
            "discovery": "registration",
            "entry": "registry",
            "heartbeat_ms": int(self.heartbeat * 1000),
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": self._bounds,
            "config_mode": "highest",
        }
        path = self.folder / f"{role}-{ip}.json"
        path.write_text(json.dumps(settings))
        return path

    def start(self, role: str, ip: str) -> None:
        """Start a process with the settings that the platform would give it."""
        machine = next(m for m in self.machines if m["ip"] == ip)
        settings = self._write_settings(machine, role)
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "DALEROAD_NODE_FILE": str(settings),
        } | self.deploy[role].get("env", {})
        command = self.deploy[role]["run"].split()
        with (self.folder / f"{role}-{ip}.log").open("ab") as log:
            process = subprocess.Popen(command, stdout=log, stderr=log, env=environment, cwd=ROOT)
        self.processes[role, ip] = process
        self.record.note("platform", f"started {role} {ip}, pid {process.pid}")

    def start_all(self) -> None:
        """Start everything for the first time."""
        for ip in self.list_coordinators():
            self.start("coordinator", ip)
        for ip in self.list_gateways():
            self.start("gateway", ip)
        self._first_start = False

    async def restart_ended(self) -> None:
        """Start processes that ended again after a short delay, as the platform does."""
        while True:
            await asyncio.sleep(0.3)
            for (role, ip), process in list(self.processes.items()):
                if process.poll() is not None:
                    self.record.note("platform", f"{role} {ip} ended by itself: {process.poll()}")
                    self.own_ends[role, ip] = self.own_ends.get((role, ip), 0) + 1
                    self.start(role, ip)

    def send_signal(self, role: str, ip: str, number: int) -> float:
        """Send a signal to a process of this deployment; return when."""
        self.processes[role, ip].send_signal(number)
        return self.record.note("platform", f"{signal.Signals(number).name} to {role} {ip}")

    def end_all(self) -> None:
        """End all processes that were started and remove their files."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Return the first line, headers and body of a message; bodies have a length or chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if not size:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return head[0], headers, body


async def exchange(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes, seconds: float
) -> tuple[int, dict[str, str], bytes] | None:
    """Send a request on a new channel; return the answer, or None if it doesn't come in time."""
    host, _, port = address.partition(":")
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in ({"Host": address} | headers).items()]
            if body or method in ("PUT", "POST"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            line, answer_headers, answer = await read_message(reader)
            return int(line.split()[1]), answer_headers, answer
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Operator:
    """Sends orders: one second for each node, then the next one, with increasing pauses."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._record = deployment.record

    async def order(
        self, method: str, path: str, first: str, body: bytes = b"", limit: float = 20.0
    ) -> tuple[float, int]:
        """Send an order until it has a clear answer; return when it had, and the status."""
        nodes = self._deployment.list_coordinators()
        nodes = [first] + [node for node in nodes if node != first]
        began = self._record.now()
        pause = 0.05
        turn = 0
        while self._record.now() - began < limit:
            node = nodes[turn % len(nodes)]
            turn += 1
            self._record.note("operator", f"sends {method} {path} to {node}")
            address = f"{node}:{self._deployment.control}"
            headers = {"Content-Type": "application/json"} if body else {}
            found = await exchange(address, method, path, headers, body, 1.0)
            status = found[0] if found is not None else 0
            at = self._record.note("operator", f"{method} {path} at {node}: {status or 'nothing'}")
            if found is not None and status < 500 and status not in (408, 429):
                return at, status
            await asyncio.sleep(pause)
            pause = min(1.0, 2 * pause)
        raise CannotRunError(f"{method} {path} had no clear answer")


class Server:
    """A stand-in back end of a plain service, sound by the pages."""

    def __init__(self, deployment: Deployment, number: int, service: str, zone: str) -> None:
        self._deployment = deployment
        self.record = deployment.record
        self.service, self.zone = service, zone
        self.id = f"i-{number:08x}"
        self.ip = deployment.server_ips[number]
        self.port = find_ports([self.ip], 1)[0]
        self.address = f"{self.ip}:{self.port}"
        self.state = "ready"
        self.slots = 6
        self.arrivals: list[tuple[float, str]] = []
        self._sequence = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)

    def stop(self) -> None:
        """Listen no more."""
        if self._server is not None:
            self._server.close()

    def make_heartbeat(self) -> dict[str, object]:
        """Return the next heartbeat."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
        }

    async def beat_once(self) -> bool:
        """Send a heartbeat to one node after the other until one acknowledges it."""
        body = json.dumps(self.make_heartbeat()).encode()
        nodes = self._deployment.list_coordinators()
        Random().shuffle(nodes)
        for node in nodes:
            address = f"{node}:{self._deployment.control}"
            headers = {"Content-Type": "application/json"}
            found = await exchange(address, "PUT", f"/-/instances/{self.id}", headers, body, 1.0)
            if found is not None and 200 <= found[0] < 300:
                return True
        return False

    async def beat(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            await self.beat_once()
            await asyncio.sleep(self._deployment.heartbeat)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, path, _ = line.split()
                await self.answer(writer, method, path, headers, body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            # The caller left, or this server is gone.
            pass
        finally:
            writer.close()

    def check_instance(self, headers: dict[str, str]) -> bytes | None:
        """Return the answer to a request that is for another server, or None."""
        expected = headers.get("x-daleroad-expect-instance", self.id)
        if expected == self.id:
            return None
        request = headers.get("x-daleroad-attempt-id", "")
        return (
            f"HTTP/1.1 421 Other\r\nX-Daleroad-Attempt-Id: {request}\r\n"
            "X-Daleroad-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        ).encode()

    async def answer(
        self,
        writer: asyncio.StreamWriter,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        """Run a request and answer it."""
        other = self.check_instance(headers)
        if other is not None:
            writer.write(other)
            return
        request = headers.get("x-daleroad-attempt-id", "")
        at = self.record.note(f"server {self.id} in {self.zone}", f"runs {request}")
        self.arrivals.append((at, request))
        await asyncio.sleep(0.02)
        text = f"answer to {request}".encode()
        head = (
            f"HTTP/1.1 200 OK\r\nX-Daleroad-Attempt-Id: {request}\r\n"
            f"X-Daleroad-Engine-Signature: 1.{self.id}\r\nContent-Length: {len(text)}\r\n\r\n"
        )
        writer.write(head.encode() + text)


async def wait_for(condition, seconds: float, what: str) -> None:
    """Wait until a condition holds; the case can't run if it doesn't in time."""
    end = time.monotonic() + seconds
    while not await condition():
        if time.monotonic() > end:
            raise CannotRunError(what)
        await asyncio.sleep(0.2)


def run_case(folder: Path, play) -> int:
    """Play a case; return 1 if the rule was broken, 0 if it held, 2 if it could not run.

    :param folder: the case's folder.
    :param play: a coroutine function of a record and whether the disruption comes; it returns
        what broke the rule, or an empty list.
    """
    if not (ROOT / "target" / "deps").is_dir():
        print("target/deps is missing: run the build of the deploy file first", file=sys.stderr)
        return 2
    # A case that is ended from outside ends its processes too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(play(record, trouble), RUN_SECONDS))
    except Exception as error:  # Whatever else fails says nothing about the rule.
        record.note("case", f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    finally:
        for deployment in _DEPLOYMENTS:
            deployment.end_all()
    for line in broken[:20]:
        record.note("case", f"BROKEN {line}")
    print(f"{len(broken)} breaks of the rule" + (f", the first: {broken[0]}" if broken else ""))
    return 1 if broken else 0
