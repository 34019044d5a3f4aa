"""A randomized soak: the real processes of a small site on loopback, under faults from outside.

    python tools/soak.py SEED [SECONDS]       one plan
    python tools/soak.py FIRST-LAST [SECONDS] many, one after the other

Each VM is an address of the loopback network. Stand-in upstreams send heartbeats and note what
they run; clients and an operator ask and check the promises while processes are killed, paused,
stopped and started, disks are lost, and the links to upstreams delay, reset, cut and silence
connections, in series that overlap. A seed fixes the plan. Ends only what it started.

The processes take their leases and timeouts from a clock that never jumps; so no clock is hurt.
"""

import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import anyio
import httpx
import yaml
from anyio.abc import SocketStream, TaskGroup

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tools.faultylink import FaultyLink, LinkFault  # noqa: E402

ROOT = Path(__file__).resolve().parent.parent

SECONDS = 20.0
"""Length of one plan; several elections and drains."""

QUIET_SECONDS = 6.0
"""Time after the last fault in which all must be well again."""

FIRST_SECONDS = 2.0
"""When the first fault comes; by then everything was served once."""

PROCESS_FAULTS = ("kill", "pause", "stop", "kill-twice", "hup")

COORDINATOR_SHARE = 0.35
LINK_SHARE = 0.35
"""Parts of the faults that hurt a coordinator and the link to an upstream; the rest, a gateway."""

GATEWAYS = 4
COORDINATORS = 3
UPSTREAMS = 3
GRACE_SECONDS = 6
CLIENT_PORT, READY_PORT, CONTROL_PORT, OUR_PORT, METRICS_PORT = 18740, 18749, 18748, 17200, 19464
HEARTBEAT_SECONDS = 0.5


@dataclass(frozen=True)
class Step:
    """One fault of a plan. ``target`` is a process; ``hold`` is how long it lasts, in seconds."""

    at: float
    kind: str
    target: str
    hold: float


def plan_steps(random: Random, seconds: float) -> Iterator[Step]:
    """Yield the faults of a plan in order; at most one coordinator is hurt at a time."""
    at, coordinator_free = FIRST_SECONDS, 0.0
    while at < seconds - QUIET_SECONDS:
        kind = random.choice(PROCESS_FAULTS)
        hold = random.uniform(0.2, 2.0)
        name = f"gateway-{random.randrange(GATEWAYS)}"
        chance = random.random()
        if chance < COORDINATOR_SHARE and at >= coordinator_free:
            kind = random.choice([*PROCESS_FAULTS, "wipe"])
            name = f"coordinator-{random.randrange(COORDINATORS)}"
            coordinator_free = at + hold + 5.0
        elif chance > 1 - LINK_SHARE:
            kind = random.choice(
                [fault.value for fault in LinkFault if fault is not LinkFault.NONE]
            )
            name = f"link-{random.randrange(UPSTREAMS)}"
        yield Step(round(at, 2), kind, name, round(hold, 2))
        at += random.uniform(0.3, 2.5)


@dataclass
class Ledger:
    """What upstreams ran and what clients were told."""

    runs: dict[str, int] = field(default_factory=dict)
    promised_not_run: set[str] = field(default_factory=set)
    whole: int = 0
    refused: int = 0
    failed: int = 0
    broken: list[str] = field(default_factory=list)
    acknowledged: int = 0

    def check_runs(self, idempotent: set[str]) -> None:
        """Note requests that ran twice, or ran though a client was told that they did not."""
        for request, count in self.runs.items():
            if count > 1 and request not in idempotent:
                self.broken.append(f"{request} ran {count} times")
            if request in self.promised_not_run:
                self.broken.append(f"{request} ran though it was refused as not run")


class Upstream:
    """A stand-in plain service that answers each request with its id and a signature."""

    def __init__(self, number: int, ledger: Ledger, random: Random) -> None:
        self.address = f"127.0.1.{number + 1}:18000"
        self.link = FaultyLink(f"127.0.2.{number + 1}:18000", self.address)
        self.id = f"i-{number}"
        self._ledger = ledger
        self._random = random

    async def run(self) -> None:
        """Serve until cancelled."""
        host, port = self.address.split(":")
        async with await anyio.create_tcp_listener(local_host=host, local_port=int(port)) as found:
            await found.serve(self._handle)

    async def _handle(self, stream: SocketStream) -> None:
        async with stream:
            async for head in _read_heads(stream):
                await self._answer(stream, head)

    async def _answer(self, stream: SocketStream, head: dict[str, str]) -> None:
        request = head.get("x-daleroad-attempt-id", "")
        if head.get("x-daleroad-expect-instance") != self.id:
            await stream.send(b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n")
            return
        self._ledger.runs[request] = self._ledger.runs.get(request, 0) + 1
        await anyio.sleep(self._random.uniform(0.005, 0.08))
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Daleroad-Attempt-Id: {request}",
            "X-Daleroad-Engine-Signature: signed",
            f"Content-Length: {len(request)}",
        ]
        await stream.send(("\r\n".join(lines) + "\r\n\r\n" + request).encode())

    async def beat(self, client: httpx.AsyncClient) -> None:
        """Send heartbeats to any coordinator until cancelled."""
        sequence = 0
        while True:
            sequence += 1
            body = {"service": "s", "address": self.link.address, "zone": "z0", "slots": 50}
            body |= {"state": "ready", "sequence": sequence}
            place = f"http://127.0.0.{self._random.randrange(COORDINATORS) + 1}:{CONTROL_PORT}"
            try:
                await client.put(f"{place}/-/instances/{self.id}", json=body)
            except httpx.HTTPError:
                continue
            await anyio.sleep(HEARTBEAT_SECONDS)


async def _read_heads(stream: SocketStream) -> AsyncIterator[dict[str, str]]:
    """Yield the heads of requests whose bodies are empty."""
    data = b""
    while True:
        while b"\r\n\r\n" not in data:
            try:
                data += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return
        head, _, data = data.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")[1:]
        yield {name.lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}


class Processes:
    """The site's processes, by name; restarts those that end, as the platform does."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._running: dict[str, subprocess.Popen] = {}
        self._founding = True

    def start_all(self) -> None:
        """Start everything for the first time."""
        for number in range(COORDINATORS):
            self.start(f"coordinator-{number}")
        for number in range(GATEWAYS):
            self.start(f"gateway-{number}")
        self._founding = False

    def start(self, name: str) -> None:
        """Start a process with settings as the platform writes them."""
        role, _, number = name.partition("-")
        port = METRICS_PORT + (role == "coordinator")
        settings = self._write_settings(name, role, int(number))
        environment = {"PATH": os.environ["PATH"], "DALEROAD_NODE_FILE": str(settings)}
        with (self._folder / f"{name}.log").open("ab") as log:
            command = [sys.executable, str(ROOT / "platform" / "node.py"), role, str(port)]
            self._running[name] = subprocess.Popen(
                command, stdout=log, stderr=log, env=environment, cwd=ROOT
            )

    def _write_settings(self, name: str, role: str, number: int) -> Path:
        ip = f"127.0.0.{number + 1}"
        settings = {
            "node_name": name,
            "ip": ip,
            "zone": f"z{number % 3}",
            "region": "r",
            "listen": {"frontend": f"{ip}:{CLIENT_PORT}", "readiness": f"{ip}:{READY_PORT}"},
            "internal_ports": [OUR_PORT, OUR_PORT + 15],
            "seeds": [f"127.0.0.{n + 1}:{CONTROL_PORT}" for n in range(COORDINATORS)],
            "bootstrap": self._founding,
            "heartbeat_ms": int(HEARTBEAT_SECONDS * 1000),
            "bounds": {"grace_s": GRACE_SECONDS, "ttl_max_s": 1, "retry_budget_ratio": 0.2},
        }
        if role == "coordinator":
            settings["listen"] = {"control_plane": f"{ip}:{CONTROL_PORT}"}
            settings["data_dir"] = str(self._folder / name)
        path = self._folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        return path

    def send(self, name: str, number: int) -> None:
        """Send a signal to a process that this soak started."""
        process = self._running[name]
        if process.poll() is None:
            process.send_signal(number)

    def wipe(self, name: str) -> None:
        """Kill a process and remove its disk, as if the VM had lost it."""
        self.send(name, signal.SIGKILL)
        self._running[name].wait()
        shutil.rmtree(self._folder / name, ignore_errors=True)

    def restart_ended(self) -> list[str]:
        """Start those that ended; return their names and exit codes."""
        ended = [(name, p.poll()) for name, p in self._running.items() if p.poll() is not None]
        for name, _ in ended:
            self.start(name)
        return [f"{name} ended with {code}" for name, code in ended]

    def end_all(self) -> None:
        """End all processes."""
        for process in self._running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


class Soak:
    """One plan, played and checked.

    :param seed: fixes the plan.
    :param seconds: its length.
    """

    def __init__(self, seed: int, seconds: float) -> None:
        self.random = Random(seed)
        self.seconds = seconds
        self.steps = list(plan_steps(self.random, seconds))
        self.ledger = Ledger()
        self.idempotent: set[str] = set()
        self.upstreams = [Upstream(n, self.ledger, self.random) for n in range(UPSTREAMS)]
        self._number = 0
        self._late_served = 0

    async def run(self) -> Ledger:
        """Play the plan and return what was found."""
        with tempfile.TemporaryDirectory(prefix="daleroad-soak-") as folder:
            processes = Processes(Path(folder))
            processes.start_all()
            try:
                await self._play(processes)
            finally:
                processes.end_all()
        self.ledger.check_runs(self.idempotent)
        if not self._late_served:
            self.ledger.broken.append("nothing was served after the last fault")
        return self.ledger

    async def _play(self, processes: Processes) -> None:
        async with httpx.AsyncClient(timeout=1.5, trust_env=False) as client:
            async with anyio.create_task_group() as tasks:
                for upstream in self.upstreams:
                    tasks.start_soon(upstream.run)
                    tasks.start_soon(upstream.link.run)
                    tasks.start_soon(upstream.beat, client)
                await self._save(client, 1, 30.0)
                began = anyio.current_time()
                tasks.start_soon(self._operate, client)
                tasks.start_soon(self._restart, processes)
                for number in range(6):
                    tasks.start_soon(self._ask, number, began)
                await self._hurt(processes, began, tasks)
                await anyio.sleep_until(began + self.seconds)
                tasks.cancel_scope.cancel()
            await self._check_reads(client)

    async def _restart(self, processes: Processes) -> None:
        while True:
            await anyio.sleep(0.3)
            for ended in processes.restart_ended():
                # A process may be stopped (-15) before it is far enough to drain.
                if not ended.endswith(("with 0", "with -9", "with -15")):
                    self.ledger.broken.append(ended)

    async def _hurt(self, processes: Processes, began: float, tasks: TaskGroup) -> None:
        for step in self.steps:
            await anyio.sleep_until(began + step.at)
            tasks.start_soon(self._carry_out, processes, step)

    async def _carry_out(self, processes: Processes, step: Step) -> None:
        match step.kind:
            case "kill" | "kill-twice":
                processes.send(step.target, signal.SIGKILL)
                if step.kind == "kill-twice":
                    await anyio.sleep(step.hold)
                    processes.send(step.target, signal.SIGKILL)
            case "pause":
                processes.send(step.target, signal.SIGSTOP)
                await anyio.sleep(step.hold)
                processes.send(step.target, signal.SIGCONT)
            case "stop":
                processes.send(step.target, signal.SIGTERM)
            case "hup":
                processes.send(step.target, signal.SIGHUP)
            case "wipe":
                processes.wipe(step.target)
            case kind:
                number = int(step.target.rpartition("-")[2])
                await self.upstreams[number].link.hurt(LinkFault(kind), step.hold)

    async def _save(self, client: httpx.AsyncClient, version: int, limit: float) -> None:
        route = {"name": "r", "host": "h", "timeout_ms": 1000, "service": "s", "public": True}
        kinds = {"/once/": "non_idempotent", "/again/": "idempotent"}
        routes = [
            route | {"path_prefix": prefix, "route_kind": kind, "max_attempts": 2}
            for prefix, kind in kinds.items()
        ]
        config = {"version": version, "routes": routes, "services": [{"name": "s"}]}
        with anyio.move_on_after(limit):
            while True:
                place = f"http://127.0.0.{self.random.randrange(COORDINATORS) + 1}:{CONTROL_PORT}"
                try:
                    answer = await client.put(f"{place}/-/config", json=config)
                except httpx.HTTPError:
                    await anyio.sleep(0.1)
                    continue
                if answer.status_code == 200:
                    self.ledger.acknowledged = max(self.ledger.acknowledged, version)
                    return
                if answer.status_code < 500:
                    self.ledger.broken.append(f"version {version}: {answer.status_code}")
                    return
                await anyio.sleep(0.1)

    async def _operate(self, client: httpx.AsyncClient) -> None:
        version = 1
        while True:
            await anyio.sleep(self.random.uniform(0.3, 1.2))
            version += self.random.randrange(1, 4)
            await self._save(client, version, 8.0)
            await self._read(client)

    async def _read(self, client: httpx.AsyncClient) -> bool:
        acknowledged = self.ledger.acknowledged
        place = f"http://127.0.0.{self.random.randrange(COORDINATORS) + 1}:{CONTROL_PORT}"
        try:
            answer = await client.get(f"{place}/-/config")
        except httpx.HTTPError:
            return False
        if answer.status_code != 200:
            return False
        version = json.loads(answer.content)["version"]
        if version < acknowledged:
            self.ledger.broken.append(f"read {version} after {acknowledged} was acknowledged")
        return True

    async def _check_reads(self, client: httpx.AsyncClient) -> None:
        for _ in range(100):
            if await self._read(client):
                return
            await anyio.sleep(0.1)
        self.ledger.broken.append("the configuration can't be read after the last fault")

    async def _ask(self, number: int, began: float) -> None:
        """Send requests on kept connections, one after the other, and check each answer."""
        random = Random(f"{number} {self.seconds}")
        async with httpx.AsyncClient(timeout=2.0, trust_env=False) as client:
            while True:
                self._number += 1
                request = f"q{self._number}"
                again = random.random() < 0.5
                if again:
                    self.idempotent.add(request)
                place = f"http://127.0.0.{random.randrange(GATEWAYS) + 1}:{CLIENT_PORT}"
                headers = {"host": "h", "x-daleroad-attempt-id": request}
                path = "/again/x" if again else "/once/x"
                try:
                    answer = await client.get(place + path, headers=headers)
                except httpx.HTTPError:
                    self.ledger.failed += 1
                    await anyio.sleep(0.05)
                    continue
                self._judge(request, answer)
                if answer.status_code == 200 and anyio.current_time() - began > self.seconds - 4:
                    self._late_served += 1
                await anyio.sleep(random.uniform(0.0, 0.05))

    def _judge(self, request: str, answer: httpx.Response) -> None:
        match answer.status_code:
            case 200:
                self.ledger.whole += 1
                signed = "x-daleroad-engine-signature" in answer.headers
                if answer.text != request or not signed:
                    self.ledger.broken.append(f"{request} got {answer.text!r}")
            case 429 | 503 | 408 | 421:
                self.ledger.refused += 1
                self.ledger.promised_not_run.add(request)
            case 502 | 504:
                self.ledger.failed += 1
            case status:
                self.ledger.broken.append(f"{request} got {status}")


def main() -> int:
    """Play the plans that the command line names; return 1 if a promise was broken."""
    # A soak that is ended from outside ends its processes too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    first, _, last = sys.argv[1].partition("-")
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else SECONDS
    bad = 0
    for seed in range(int(first), int(last or first) + 1):
        soak = Soak(seed, seconds)
        found = anyio.run(soak.run)
        print(
            f"seed {seed}: {len(soak.steps)} faults, {found.whole} whole, {found.refused} refused, "
            f"{found.failed} failed, version {found.acknowledged}, {len(found.broken)} broken",
            flush=True,
        )
        for line in found.broken[:10]:
            print(f"  {line}", flush=True)
        bad += bool(found.broken)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
