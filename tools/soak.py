"""A randomized soak: the real processes of a small site on loopback, under faults from outside.

    python tools/soak.py SEED [SECONDS]       one plan
    python tools/soak.py FIRST-LAST [SECONDS] many, one after the other
    python tools/soak.py ... --at=127.1       at other addresses, beside another soak

Each VM is an address of the loopback network. Stand-in upstreams send heartbeats and note what
they run; clients and an operator ask and check the promises while processes are killed, paused,
stopped and started, disks are lost, and the links to upstreams delay, reset, cut and silence
connections, in series that overlap. Beside these faults gateways are stopped in turn, as at an
update, while clients ask for streams that last up to longer than a gateway may drain, and operators
evacuate one zone after the other. Upstreams name limits, ask for rest, say that they leave, and
stutter. A few clients misbehave on all listeners; no process may exceed its memory for them. A seed
fixes the plan. Ends only what it started.

Two requests end each upstream that begins them and come again all the time; from the third end on
they must reach none. The others' requests are the same to the letter, and must not be held for it.
Requests that share a part of their prompts and differ otherwise do so too, with five ends. Their
first part is that of all other streams, which must not be held.

A loopback site can't be suspended: tests of the clock let time jump instead.
"""

import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from random import Random

import anyio
import httpx
from anyio.abc import TaskGroup

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tools.cutnetwork import Cut  # noqa: E402
from tools.faultylink import LinkFault  # noqa: E402
from tools.soakcrowd import DESCRIPTORS, MEMORY_MB, CrowdClient  # noqa: E402
from tools.soakledger import (  # noqa: E402
    GRACE_SECONDS,
    HELD_BACK,
    PART_CRASHES_BORNE,
    Asked,
    Ending,
    Hurt,
    Kind,
    Ledger,
)
from tools.soakneeds import GATEWAY_HEADER  # noqa: E402
from tools.soakstreams import SHARED_PART, StreamClient  # noqa: E402
from tools.soakstutter import Stutters, plan_windows  # noqa: E402
from tools.soakupstreams import (  # noqa: E402
    BODY,
    CRASHING_BODY,
    CRASHING_PARTS,
    ENGINE_SERVICE,
    HEARTBEAT_SECONDS,
    PLAIN_SERVICE,
    SIZE_HEADER,
    Engine,
    Upstream,
)
from tools.soakzones import ZoneOperator  # noqa: E402

ROOT = Path(__file__).resolve().parent.parent
SOAK_GATEWAY = ROOT / "tools" / "soakgateway.py"

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

COORDINATOR_PAUSE_SECONDS = 1.2
"""Shortest pause of a coordinator; operators wait for one second."""

NETWORK = "127.0"
"""Begins the addresses of a site; sites that run beside each other need one each."""

GATEWAYS = 4
COORDINATORS = 3
UPSTREAMS = 3
CLIENT_PORT, READY_PORT, CONTROL_PORT, OUR_PORT, METRICS_PORT = 18740, 18749, 18748, 17200, 19464
CLIENTS = 6
STREAM_CLIENTS = 16
CROWD_CLIENTS = 3

STOP_GAP_SECONDS = (0.3, 1.5)
"""Time between two gateways that are stopped in turn; shorter than they drain."""

TURN_SECONDS = (GRACE_SECONDS + 1.0, GRACE_SECONDS + 3.0)
"""Time from the last stop of a turn to the next turn; by then those gateways serve again."""

CUT_OFF = "cut-off "
"""Begins the kinds of steps that cut a gateway off from all upstreams."""

CUT_GAP_SECONDS = (1.0, 5.0)
CUT_SECONDS = (0.5, 5.0)
"""Time between two cuts of gateways from all upstreams, and how long they last; a stream through
another gateway goes on after that."""

TUNNELED_SECONDS = 10.0
"""How long after a cut a stream of its gateway may still hang on another one."""

RESTART = "restart"

RESTART_GAP_SECONDS = (0.5, 5.0)
"""Time between two upstreams that start again under their id."""

CRASHING_FIRST_SECONDS = (3.0, 6.0)
CRASHING_AGAIN_SECONDS = (0.3, 0.9)
"""When a request that ends upstreams comes first, and how soon again."""

AGAIN_SECONDS = 4.0
"""Within so long after its start an upstream must have run a request again."""

ALIEN_GAP_SECONDS = (0.1, 0.6)
"""Time between two entries from another writer."""

ALIEN_FIELDS: tuple[dict[str, object], ...] = (
    {"service": 7},
    {"address": None},
    {"address": "nowhere"},
    {"zone": {"a": 1}},
    {"slots": True},
    {"state": "asleep"},
    {"sequence": -1},
    {"born": "yesterday"},
)
"""What another writer has in an entry under the id of an upstream that is well."""

STREAM_TIMEOUT_SECONDS = 30


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
            hold += COORDINATOR_PAUSE_SECONDS if kind == "pause" else 0.0
            name = f"coordinator-{random.randrange(COORDINATORS)}"
            coordinator_free = at + hold + 5.0
        elif chance > 1 - LINK_SHARE:
            kind = random.choice(
                [fault.value for fault in LinkFault if fault is not LinkFault.NONE]
            )
            name = f"link-{random.randrange(UPSTREAMS)}"
        yield Step(round(at, 2), kind, name, round(hold, 2))
        at += random.uniform(0.3, 2.5)


def plan_stops(random: Random, seconds: float) -> Iterator[Step]:
    """Yield the stops of gateways in turn, in order; up to half of them drain at once."""
    at = FIRST_SECONDS + random.uniform(*STOP_GAP_SECONDS)
    order = random.sample(range(GATEWAYS), GATEWAYS)
    while True:
        for _ in range(random.randint(1, GATEWAYS // 2)):
            if at >= seconds - QUIET_SECONDS:
                return
            order.append(order.pop(0))
            yield Step(round(at, 2), "stop", f"gateway-{order[-1]}", 0.0)
            at += random.uniform(*STOP_GAP_SECONDS)
        at += random.uniform(*TURN_SECONDS)


def plan_restarts(random: Random, seconds: float) -> Iterator[Step]:
    """Yield the upstreams that start again under their id, in order."""
    at = FIRST_SECONDS
    while True:
        at += random.uniform(*RESTART_GAP_SECONDS)
        if at >= seconds - QUIET_SECONDS:
            return
        hold = round(random.uniform(0.05, 0.5), 2)
        yield Step(round(at, 2), RESTART, f"link-{random.randrange(UPSTREAMS)}", hold)


def plan_cuts(random: Random, seconds: float) -> Iterator[Step]:
    """Yield the cuts of gateways from all upstreams, in order: of one, most or all at once."""
    at = FIRST_SECONDS
    while True:
        at += random.uniform(*CUT_GAP_SECONDS)
        hold = round(random.uniform(*CUT_SECONDS), 2)
        if at + hold >= seconds - QUIET_SECONDS:
            return
        kind = CUT_OFF + random.choice(list(Cut)).value
        for number in random.sample(range(GATEWAYS), random.randint(1, GATEWAYS)):
            yield Step(round(at, 2), kind, f"gateway-{number}", hold)


class Processes:
    """The site's processes, by name; restarts those that end, as the platform does."""

    def __init__(
        self,
        folder: Path,
        gateways: int = GATEWAYS,
        coordinators: int = COORDINATORS,
        network: str = NETWORK,
    ) -> None:
        self._folder = folder
        self._network = network
        self._gateways = gateways
        self._coordinators = coordinators
        self._running: dict[str, subprocess.Popen] = {}
        self._founding = True

    def start_all(self) -> None:
        """Start everything for the first time."""
        for number in range(self._coordinators):
            self.start(f"coordinator-{number}")
        for number in range(self._gateways):
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
            if role == "gateway":
                cut = str(self._get_cut_file(name))
                command = [sys.executable, str(SOAK_GATEWAY), cut, role, str(port)]
            self._running[name] = subprocess.Popen(
                command, stdout=log, stderr=log, env=environment, cwd=ROOT
            )

    def _write_settings(self, name: str, role: str, number: int) -> Path:
        ip = f"{self._network}.0.{number + 1}"
        settings = {
            "node_name": name,
            "ip": ip,
            "zone": f"z{number % 3}",
            "zones": {f"z{zone}": "r" for zone in range(UPSTREAMS)},
            "region": "r",
            "listen": {"frontend": f"{ip}:{CLIENT_PORT}", "readiness": f"{ip}:{READY_PORT}"},
            "internal_ports": [OUR_PORT, OUR_PORT + 15],
            "seeds": [
                f"{self._network}.0.{n + 1}:{CONTROL_PORT}"
                for n in range(min(3, self._coordinators))
            ],
            "bootstrap": self._founding,
            "heartbeat_ms": int(HEARTBEAT_SECONDS * 1000),
            "limits": {"memory_mb": MEMORY_MB, "max_fds": DESCRIPTORS},
            "bounds": {"grace_s": GRACE_SECONDS, "ttl_max_s": 1, "retry_budget_ratio": 0.2},
        }
        if role == "coordinator":
            settings["listen"] = {"control_plane": f"{ip}:{CONTROL_PORT}"}
            settings["data_dir"] = str(self._folder / name)
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        return path

    def _get_cut_file(self, name: str) -> Path:
        return self._folder / f"{name}.cut"

    async def cut(self, name: str, cut: Cut, seconds: float) -> None:
        """Cut a gateway off from all upstreams for a while."""
        path = self._get_cut_file(name)
        path.write_text(cut.value)
        await anyio.sleep(seconds)
        path.unlink(missing_ok=True)

    def send(self, name: str, number: int) -> subprocess.Popen | None:
        """Send a signal to a process that this soak started; return it if it still ran."""
        process = self._running[name]
        if process.poll() is not None:
            return None
        process.send_signal(number)
        return process

    def wipe(self, name: str) -> None:
        """Kill a process and remove its disk, as if the VM had lost it."""
        self.send(name, signal.SIGKILL)
        self._running[name].wait()
        shutil.rmtree(self._folder / name, ignore_errors=True)

    def restart_ended(self) -> dict[str, int]:
        """Start those that ended; return their exit codes by name."""
        codes = {name: process.poll() for name, process in self._running.items()}
        ended = {name: code for name, code in codes.items() if code is not None}
        for name in ended:
            self.start(name)
        return ended

    def list_pids(self, role: str) -> list[int]:
        """Return the numbers of the processes of a role."""
        return [p.pid for name, p in self._running.items() if name.startswith(role)]

    def measure_memory(self) -> dict[str, int]:
        """Return the most memory that each process has had since its start, in bytes."""
        found = {}
        for name, process in self._running.items():
            # It may have ended.
            with suppress(OSError, StopIteration):
                lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
                peak = next(line for line in lines if line.startswith("VmHWM:"))
                found[name] = 1024 * int(peak.split()[1])
        return found

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
    :param network: begins its addresses.
    """

    def __init__(self, seed: int, seconds: float, network: str = NETWORK) -> None:
        self._network = network
        self.random = Random(seed)
        self.seconds = seconds
        # The other faults of a seed are the same with and without the stops.
        self.stops = list(plan_stops(Random(f"{seed} stops"), seconds))
        restarts = list(plan_restarts(Random(f"{seed} restarts"), seconds))
        cuts = list(plan_cuts(Random(f"{seed} cuts"), seconds))
        faults = list(plan_steps(self.random, seconds))
        self.steps = sorted(faults + self.stops + restarts + cuts, key=lambda step: step.at)
        self.ledger = Ledger()
        self.idempotent: set[str] = set()
        entries = [f"{network}.0.{n + 1}:{CONTROL_PORT}" for n in range(COORDINATORS)]
        self._coordinators = {f"coordinator-{n}": entry for n, entry in enumerate(entries)}
        self.upstreams = [
            kind(number, self.ledger, self.random, entries, network)
            for kind in (Upstream, Engine)
            for number in range(UPSTREAMS)
        ]
        for upstream in self.upstreams:
            drawn = Random(f"{seed} stutters {upstream.id}")
            windows = plan_windows(drawn, FIRST_SECONDS, seconds - QUIET_SECONDS)
            upstream.stutters = Stutters(drawn, tuple(windows))
        zones = sorted({upstream.zone for upstream in self.upstreams})
        self.zones = ZoneOperator(f"{seed} zones", self.ledger, entries, zones)
        gateways = {f"gateway-{n}": f"{network}.0.{n + 1}:{CLIENT_PORT}" for n in range(GATEWAYS)}
        self._gateways = gateways
        self._stream_clients = [
            StreamClient(
                f"stream{number}",
                Random(f"{seed} stream client {number}"),
                self.ledger,
                gateways,
                GRACE_SECONDS,
                stale=number % 2 == 0,
            )
            for number in range(STREAM_CLIENTS)
        ]
        ips = sorted({address.split(":")[0] for address in (*gateways.values(), *entries)})
        listeners = [*gateways.values(), *(f"{ip}:{READY_PORT}" for ip in ips[:GATEWAYS])]
        listeners += [f"{ip}:{OUR_PORT + 1}" for ip in ips[:GATEWAYS]]
        listeners += [*entries, *(f"{entry.split(':')[0]}:{OUR_PORT}" for entry in entries)]
        self._crowd = [
            CrowdClient(f"crowd{n}", Random(f"{seed} crowd {n}"), listeners, self.idempotent)
            for n in range(CROWD_CLIENTS)
        ]
        self._number = 0
        self._late_served = 0

    def count_crashes(self) -> int:
        """Return how many upstreams ended under a request."""
        return sum(len(upstream.crashed_at[BODY]) for upstream in self.upstreams)

    def count_part_crashes(self) -> int:
        """Return how many upstreams ended under a part of prompts."""
        return sum(len(upstream.crashed_at[CRASHING_PARTS[0]]) for upstream in self.upstreams)

    async def run(self) -> Ledger:
        """Play the plan and return what was found."""
        with tempfile.TemporaryDirectory(prefix="daleroad-soak-") as folder:
            processes = Processes(Path(folder), network=self._network)
            processes.start_all()
            try:
                await self._play(processes)
            finally:
                processes.end_all()
        self.ledger.check_runs(self.idempotent)
        self.ledger.check_stops()
        for upstream in self.upstreams:
            self.zones.check(upstream.zone, upstream.arrivals)
            upstream.needs.check()
        for kind in (Upstream, Engine):
            crashed = [at for u in self.upstreams if type(u) is kind for at in u.crashed_at[BODY]]
            reached = [r for u in self.upstreams if type(u) is kind for r in u.reached[BODY]]
            self.ledger.check_crashing(kind.service, crashed, reached)
        part = CRASHING_PARTS[0]
        crashed = [at for u in self.upstreams for at in u.crashed_at[part]]
        reached = [r for u in self.upstreams for r in u.reached[part]]
        self.ledger.check_crashing(f"part {part}", crashed, reached, PART_CRASHES_BORNE)
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
                    tasks.start_soon(self._let_need, upstream)
                await self._save(client, 1, 30.0)
                began = anyio.current_time()
                for upstream in self.upstreams:
                    upstream.stutters.began = began
                tasks.start_soon(self._operate, client)
                tasks.start_soon(self._write_aliens, client)
                tasks.start_soon(self.zones.run, client)
                tasks.start_soon(self._restart, processes)
                for number in range(CLIENTS):
                    tasks.start_soon(self._ask, number, began)
                for asker in self._stream_clients:
                    tasks.start_soon(asker.run)
                for path in ("/stream/x", "/again/x"):
                    tasks.start_soon(self._ask_crashing, path)
                tasks.start_soon(self._ask_crashing, "/stream/x", CRASHING_PARTS[0])
                for misbehaving in self._crowd:
                    tasks.start_soon(misbehaving.run)
                await self._hurt(processes, began, tasks)
                await anyio.sleep_until(began + self.seconds)
                self._check_memory(processes)
                self._check_upstreams()
                tasks.cancel_scope.cancel()
            await self._check_reads(client)

    async def _restart(self, processes: Processes) -> None:
        while True:
            await anyio.sleep(0.3)
            for name, code in processes.restart_ended().items():
                self.ledger.history.note_gone(name, anyio.current_time())
                # A process may be stopped before it is far enough to drain.
                if code not in (0, -signal.SIGKILL, -signal.SIGTERM):
                    self.ledger.broken.append(f"{name} ended with {code}")

    async def _hurt(self, processes: Processes, began: float, tasks: TaskGroup) -> None:
        for step in self.steps:
            await anyio.sleep_until(began + step.at)
            tasks.start_soon(self._carry_out, processes, step)

    async def _carry_out(self, processes: Processes, step: Step) -> None:
        if step.kind not in ("stop", "hup"):
            now = anyio.current_time()
            after = TUNNELED_SECONDS if step.kind.startswith(CUT_OFF) else 0.0
            self.ledger.history.hurts.append(Hurt(step.target, now, now + step.hold + after))
        match step.kind:
            case kind if kind.startswith(CUT_OFF):
                await processes.cut(step.target, Cut(kind.removeprefix(CUT_OFF)), step.hold)
            case "kill" | "kill-twice":
                processes.send(step.target, signal.SIGKILL)
                if step.kind == "kill-twice":
                    await anyio.sleep(step.hold)
                    processes.send(step.target, signal.SIGKILL)
            case "pause":
                processes.send(step.target, signal.SIGSTOP)
                if step.target in self._coordinators:
                    self.zones.note_paused(self._coordinators[step.target])
                await anyio.sleep(step.hold)
                processes.send(step.target, signal.SIGCONT)
            case "stop":
                await self._stop(processes, step.target)
            case "hup":
                processes.send(step.target, signal.SIGHUP)
            case "wipe":
                processes.wipe(step.target)
            case kind:
                fault = LinkFault.RESET if kind == RESTART else LinkFault(kind)
                async with anyio.create_task_group() as tasks:
                    for upstream in self.upstreams:
                        if upstream.link_name != step.target:
                            continue
                        if kind == RESTART:
                            upstream.restart()
                        tasks.start_soon(upstream.link.hurt, fault, step.hold)

    async def _let_need(self, upstream: Upstream) -> None:
        """Let an upstream say what it needs, until the time in which all must be well again."""
        with anyio.move_on_after(self.seconds - QUIET_SECONDS):
            await upstream.needs.run()
        upstream.needs.finish()

    def _draw_coordinator(self, random: Random) -> str:
        return f"http://{self._network}.0.{random.randrange(COORDINATORS) + 1}:{CONTROL_PORT}"

    async def _write_aliens(self, client: httpx.AsyncClient) -> None:
        """Send entries from another writer, which must count for nothing."""
        random = Random(f"{self.seconds} aliens")
        while True:
            await anyio.sleep(random.uniform(*ALIEN_GAP_SECONDS))
            upstream = random.choice(self.upstreams)
            body = json.dumps(upstream.make_heartbeat() | random.choice(ALIEN_FIELDS))
            if random.random() < 0.2:
                body = body[: random.randrange(len(body))]
            place = self._draw_coordinator(random)
            try:
                answer = await client.put(f"{place}/-/instances/{upstream.id}", content=body)
            except httpx.HTTPError:
                continue
            if answer.status_code == 200:
                self.ledger.broken.append(f"an entry from another writer counted: {body}")

    def _check_memory(self, processes: Processes) -> None:
        for name, size in processes.measure_memory().items():
            if size > MEMORY_MB * 1_000_000:
                self.ledger.broken.append(f"{name} had {size} bytes of memory")

    def _check_upstreams(self) -> None:
        """Note upstreams that started again and got no request since."""
        now = anyio.current_time()
        for upstream in self.upstreams:
            idle = upstream.ran_at < upstream.restarted_at
            if self.zones.was_evacuated(upstream.zone, upstream.restarted_at, now):
                # An upstream in a zone that is evacuated gets nothing, by order.
                continue
            if idle and now - upstream.restarted_at > AGAIN_SECONDS:
                self.ledger.broken.append(f"{upstream.id} was not used after its start")

    async def _stop(self, processes: Processes, name: str) -> None:
        """Stop a process as the platform does: a signal, time to drain, and the end."""
        process = processes.send(name, signal.SIGTERM)
        if process is None:
            return
        self.ledger.history.note_stop(name, anyio.current_time())
        await anyio.sleep(GRACE_SECONDS)
        if process.poll() is None:
            process.kill()

    async def _save(self, client: httpx.AsyncClient, version: int, limit: float) -> None:
        route = {"name": "r", "host": "h", "timeout_ms": 1000, "public": True}
        route |= {"service": PLAIN_SERVICE}
        kinds = {"/once/": "non_idempotent", "/again/": "idempotent"}
        routes = [
            route | {"path_prefix": prefix, "route_kind": kind, "max_attempts": 2}
            for prefix, kind in kinds.items()
        ]
        stream = route | {"path_prefix": "/stream/", "route_kind": "streaming", "max_attempts": 1}
        stream |= {"service": ENGINE_SERVICE, "timeout_ms": STREAM_TIMEOUT_SECONDS * 1000}
        stream |= {"sticky": True, "target_latency_ms": 1000, "target_itl_ms": 180}
        # Less urgent and to be started sooner, so the routes compete for the engines.
        brief = stream | {"path_prefix": "/brief/", "target_latency_ms": 400, "priority": 1}
        engine = {"slots": Engine.slots, "kv_capacity_tokens": 34305}
        services = [{"name": PLAIN_SERVICE}, {"name": ENGINE_SERVICE, "engine": engine}]
        config = {"version": version, "routes": [*routes, stream, brief], "services": services}
        with anyio.move_on_after(limit):
            while True:
                place = self._draw_coordinator(self.random)
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
        place = self._draw_coordinator(self.random)
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
                gateway = f"gateway-{random.randrange(GATEWAYS)}"
                headers = {"host": "h", "x-daleroad-attempt-id": request}
                headers |= {GATEWAY_HEADER: gateway}
                url = f"http://{self._gateways[gateway]}" + ("/again/x" if again else "/once/x")
                sent = anyio.current_time()
                try:
                    answer = await client.get(url, headers=headers)
                except httpx.HTTPError as error:
                    # Its connection was open when the client left; on a busy machine that is late.
                    left = isinstance(error, httpx.ReadTimeout | httpx.WriteTimeout)
                    self._note_plain(request, gateway, sent, Ending.FAILED if left else None)
                    self.ledger.failed += 1
                    await anyio.sleep(0.05)
                    continue
                self._note_plain(request, gateway, sent, self._judge(request, answer))
                if answer.status_code == 200 and anyio.current_time() - began > self.seconds - 4:
                    self._late_served += 1
                await anyio.sleep(random.uniform(0.0, 0.05))

    async def _ask_crashing(self, path: str, part: str = "") -> None:
        """Send requests that end each upstream which begins them, again and again, anywhere.

        With a part of their prompts in common, they differ otherwise; else they are the same.
        """
        random = Random(f"{self.seconds} crashing {path} {part}".strip())
        await anyio.sleep(random.uniform(*CRASHING_FIRST_SECONDS))
        async with httpx.AsyncClient(timeout=2.0, trust_env=False) as client:
            while True:
                self._number += 1
                request = f"crash{self._number}"
                self.idempotent.add(request)
                gateway = f"gateway-{random.randrange(GATEWAYS)}"
                self.ledger.crashing[request] = gateway
                headers = {"host": "h", "x-daleroad-attempt-id": request, SIZE_HEADER: "1,0.01"}
                headers |= {"x-daleroad-token-usage": "60,40", GATEWAY_HEADER: gateway}
                body = CRASHING_BODY
                if part:
                    parts = f"{SHARED_PART}:40,{part}:10,{self._number:x}:10"
                    headers["x-daleroad-prefix-hash"] = parts
                    body = request.encode()
                # However it ends, it comes again.
                with suppress(httpx.HTTPError):
                    url = f"http://{self._gateways[gateway]}{path}"
                    answer = await client.post(url, content=body, headers=headers)
                    if answer.status_code == httpx.codes.OK:
                        self.ledger.broken.append(f"{request} ended whole")
                await anyio.sleep(random.uniform(*CRASHING_AGAIN_SECONDS))

    def _note_plain(self, request: str, gateway: str, sent: float, ending: Ending | None) -> None:
        now = anyio.current_time()
        self.ledger.asked.append(Asked(request, Kind.PLAIN, gateway, sent, now, ending))

    def _judge(self, request: str, answer: httpx.Response) -> Ending:
        signature = answer.headers.get("x-daleroad-engine-signature")
        self.ledger.check_answer(request, answer.status_code, signature, answer.text)
        match answer.status_code:
            case 200:
                self.ledger.whole += 1
                return Ending.WHOLE
            case 429 | 503 | 408 | 421:
                self.ledger.refused += 1
                self.ledger.held += HELD_BACK in answer.text
                self.ledger.promised_not_run.add(request)
                return Ending.REFUSED
            case 500 | 502 | 504:
                self.ledger.failed += 1
            case status:
                self.ledger.broken.append(f"{request} got {status}")
        return Ending.FAILED


def main() -> int:
    """Play the plans that the command line names; return 1 if a promise was broken."""
    # A soak that is ended from outside ends its processes too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    words = [word for word in sys.argv[1:] if not word.startswith("--")]
    places = [word.removeprefix("--at=") for word in sys.argv[1:] if word.startswith("--at=")]
    network = places[0] if places else NETWORK
    first, _, last = words[0].partition("-")
    seconds = float(words[1]) if len(words) > 1 else SECONDS
    bad = 0
    for seed in range(int(first), int(last or first) + 1):
        soak = Soak(seed, seconds, network)
        found = anyio.run(soak.run)
        print(
            f"seed {seed}: {len(soak.steps) - len(soak.stops)} faults, {len(soak.stops)} stops in "
            f"turn, {found.whole} whole, {found.refused} refused, {found.failed} failed, "
            f"{soak.count_crashes()} upstreams ended by two requests, "
            f"{soak.count_part_crashes()} by a part, {found.held} others held, "
            f"{found.part_held} for a part, "
            f"{len(soak.zones.spans)} evacuations, "
            f"{sum(len(upstream.needs.episodes) for upstream in soak.upstreams)} times in need, "
            f"{sum(upstream.stutters.count for upstream in soak.upstreams)} stutters, "
            f"version {found.acknowledged}, {len(found.broken)} broken\n{found.render_streams()}",
            flush=True,
        )
        for line in found.broken[:10]:
            print(f"  {line}", flush=True)
        bad += bool(found.broken)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
