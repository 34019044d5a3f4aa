"""Measures what docs/CAPACITY.md is worked out from. Prints JSON.

Usage: python tools/measure.py entry|memory|follow|decisions|catalog|claims|restart|watch|idle
"""

import json
import os
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import anyio
import httpx

from daleroad.admission import AdmissionController, Admitted, PeakMemoryPolicy
from daleroad.catalog import Catalog
from daleroad.claimjournal import Acquire, Claim, ClaimJournal, ClaimState, Settle
from daleroad.codec import decode, encode
from daleroad.compression import pack
from daleroad.control import initialise_data_folder
from daleroad.demo import write_records
from daleroad.directory import Directory
from daleroad.enginemodel import EngineParameters
from daleroad.fleet import Fleet
from daleroad.instances import Instance, InstanceState, Sighting
from daleroad.lengths import OutputLengths
from daleroad.links import Links
from daleroad.location import pick_addresses
from daleroad.loopback import find_ports, get_token, make_site
from daleroad.messages import Work
from daleroad.notices import GatewayNotice, Load, ShareRequest, WatchAnswer, WatchRequest
from daleroad.operating import OperatorClient
from daleroad.ranking import rank_upstreams
from daleroad.records import EntryMember, Organisation, Upstream
from daleroad.security import hash_token
from daleroad.settings import Settings, Tls
from tests.harness import Processes, get_json, wait_for
from tools.soak import CONTROL_PORT
from tools.soak import Processes as PlatformProcesses

TICKS = os.sysconf("SC_CLK_TCK")


def get_cpu(pid: int) -> float:
    """Return a process's CPU seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def get_memory(pid: int) -> float:
    """Return a process's resident megabytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return round(int(line.split()[1]) / 1024, 1)
    return 0.0


class RunningProcesses:
    """A site of real processes for the time of a measurement."""

    def __init__(self, entries: int, engines: int, shape: EngineParameters, speed: float) -> None:
        self.folder = tempfile.TemporaryDirectory(prefix="daleroad-measure-")
        site = make_site(self.folder.name, entries, engines, shape)
        fast = tuple(replace(e, speed=speed) for e in site.engines)
        self.site = replace(site, engines=fast)
        self.processes = Processes(self.site, self.folder.name)

    def __enter__(self) -> "RunningProcesses":
        self.processes.found()
        self.processes.start_all()
        write_records(self.site)
        names = {e.name for e in self.site.engines}
        for settings in self.site.entries:
            wait_for(lambda s=settings: self.is_ready(s, names), "ready")
        return self

    def __exit__(self, *_: object) -> None:
        self.processes.stop_all()
        self.folder.cleanup()

    def is_ready(self, settings: Settings, names: set[str]) -> bool:
        status = get_json(f"{settings.url}/status")
        return status["lease"] and names <= set(status["upstreams"])

    def get_pid(self, name: str) -> int:
        return self.processes.running[name].pid


async def stream_all(url: str, bodies: list[dict], headers: dict) -> int:
    """Stream all bodies at once; return the bytes received."""
    limits = httpx.Limits(max_connections=None)
    total = 0

    async def ask(client: httpx.AsyncClient, body: dict) -> None:
        nonlocal total
        async with client.stream("POST", url, json=body, headers=headers) as response:
            async for chunk in response.aiter_raw():
                total += len(chunk)

    async with httpx.AsyncClient(limits=limits, timeout=None, trust_env=False) as client:
        async with anyio.create_task_group() as tasks:
            for body in bodies:
                tasks.start_soon(ask, client, body)
    return total


def measure_entry() -> dict:
    """CPU a token and a request at an entry, beside the bare relay."""
    shape = EngineParameters(capacity=400_000, slots=64)
    with RunningProcesses(1, 1, shape, 2.0) as running:
        engine = running.site.engines[0]
        entry = running.site.entries[0]
        (port,) = find_ports(1)
        bind = f"127.0.0.1:{port}"
        script = str(Path(__file__).with_name("bare_relay.py"))
        command = [sys.executable, script, bind, f"http://{engine.address}"]
        bare = subprocess.Popen(command)
        try:
            time.sleep(2)
            streams, tokens = 8, 3000
            prompt = f"#tokens={tokens}"
            order = {"model": "narrator-1", "prompt": prompt, "max_tokens": tokens, "priority": 0}
            results = {}
            for turn in range(2):
                bodies = [
                    {**order, "generation": f"{engine.name}.{turn}.{i}"} for i in range(streams)
                ]
                before = get_cpu(bare.pid)
                anyio.run(stream_all, f"http://{bind}/v1/completions", bodies, {})
                spent = get_cpu(bare.pid) - before
                results[f"bare_us_a_token_{turn}"] = round(spent / streams / tokens * 1e6, 1)
                headers = {"authorization": f"Bearer {get_token('danube-barges')}"}
                asked = [{"route": "bulletin", "prompt": f"{i} {prompt}"} for i in range(streams)]
                pid = running.get_pid(entry.name)
                before = get_cpu(pid)
                anyio.run(stream_all, f"{entry.url}/v1/completions", asked, headers)
                spent = get_cpu(pid) - before
                results[f"entry_us_a_token_{turn}"] = round(spent / streams / tokens * 1e6, 1)
            results |= measure_requests(running, bare.pid, bind)
        finally:
            bare.kill()
            bare.wait()
    return results


def measure_requests(running: RunningProcesses, bare: int, bind: str) -> dict:
    """CPU of requests of one token, repeatable and not."""
    results = {}
    entry = running.site.entries[0]
    pid = running.get_pid(entry.name)
    url = f"{entry.url}/v1/completions"
    count = 300

    def post(number: int, organisation: str, route: str) -> None:
        headers = {"authorization": f"Bearer {get_token(organisation)}"}
        headers["idempotency-key"] = f"{route}-{number}"
        body = {"route": route, "prompt": "#tokens=1", "stream": False}
        client.post(url, json=body, headers=headers).raise_for_status()

    for name, organisation, route in (
        ("repeatable", "pass-depots", "frost-alert"),
        ("claimed", "herders", "gate-check-in"),
    ):
        organisation = "thracian-orchards" if route == "frost-alert" else organisation
        with httpx.Client(timeout=60, trust_env=False) as client:
            before = get_cpu(pid)
            with ThreadPoolExecutor(8) as pool:
                list(pool.map(lambda n, o=organisation, r=route: post(n, o, r), range(count)))
            spent = get_cpu(pid) - before
        results[f"entry_us_a_{name}_request"] = round(spent / count * 1e6)
    return results


def measure_memory() -> dict:
    """Resident memory of each role, idle and under 200 streams."""
    shape = EngineParameters(capacity=400_000, slots=256)
    with RunningProcesses(1, 1, shape, 1.0) as running:
        entry, control = running.site.entries[0], running.site.control[0]
        time.sleep(3)
        results = {"entry_idle_mb": get_memory(running.get_pid(entry.name))}
        results["control_idle_mb"] = get_memory(running.get_pid(control.name))
        headers = {"authorization": f"Bearer {get_token('danube-barges')}"}
        bodies = [{"route": "bulletin", "prompt": f"{i} #tokens=100"} for i in range(200)]
        peak = [0.0]

        async def watch() -> None:
            while True:
                peak[0] = max(peak[0], get_memory(running.get_pid(entry.name)))
                await anyio.sleep(0.2)

        async def drive() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch)
                await stream_all(f"{entry.url}/v1/completions", bodies, headers)
                tasks.cancel_scope.cancel()

        anyio.run(drive)
        results["entry_200_streams_mb"] = peak[0]
    code = "import daleroad.{};print(open('/proc/self/status').read())"
    for role in ("entry", "control"):
        done = subprocess.run(
            [sys.executable, "-c", code.format(role)], capture_output=True, text=True, check=True
        )
        line = next(x for x in done.stdout.splitlines() if x.startswith("VmRSS"))
        results[f"{role}_imports_mb"] = round(int(line.split()[1]) / 1024, 1)
    return results


def measure_follow() -> list[dict]:
    """Control traffic and in-force time over the number of followers."""
    rows = []
    for count in (3, 20, 50, 100):
        rows.append(measure_followers(count))
        print(rows[-1], file=sys.stderr, flush=True)
    return rows


def measure_followers(count: int) -> dict:
    """Run follower cores in this process against three real control processes."""
    from daleroad.catalogfollower import CatalogFollower

    folder = tempfile.TemporaryDirectory(prefix="daleroad-measure-")
    site = replace(make_site(folder.name, 1, 0), engines=(), plain=())
    processes = Processes(site, folder.name)
    for settings in site.control:
        initialise_data_folder(settings)
        processes.start(settings)
    times: list[float] = []
    try:
        write_records(site)

        async def run() -> dict:
            links = Links(Tls(), site.control[0].cluster_secret)
            bytes_in = 0

            async def count_bytes(response: httpx.Response) -> None:
                nonlocal bytes_in
                request = response.request
                size = int(response.headers.get("content-length", 0)) + len(request.content)
                size += sum(len(k) + len(v) + 4 for k, v in response.headers.raw)
                bytes_in += size + sum(len(k) + len(v) + 4 for k, v in request.headers.raw)

            links.short.event_hooks = {"response": [count_bytes]}
            followers = [
                CatalogFollower(
                    replace(site.entries[0], name=f"f{i}", address=f"127.0.0.1:{20000 + i}"),
                    links,
                    Catalog(),
                )
                for i in range(count)
            ]
            async with anyio.create_task_group() as tasks:
                for follower in followers:
                    tasks.start_soon(follower.run)
                while not all(f.has_lease() and len(f.catalog.entries) >= count for f in followers):
                    await anyio.sleep(0.1)
                await anyio.sleep(4.0)
                cpu = [get_cpu(p.pid) for p in processes.running.values()]
                bytes_in, began = 0, time.monotonic()
                await anyio.sleep(6.0)
                spent = [get_cpu(p.pid) - c for p, c in zip(processes.running.values(), cpu)]
                idle_bytes = bytes_in / count / (time.monotonic() - began)
                cpu = [get_cpu(p.pid) for p in processes.running.values()]
                bytes_in, began = 0, time.monotonic()
                await anyio.to_thread.run_sync(make_changes, site, times, 15)
                busy = time.monotonic() - began
                busy_spent = [get_cpu(p.pid) - c for p, c in zip(processes.running.values(), cpu)]
                change_bytes = (bytes_in / count - idle_bytes * busy) / 15
                tasks.cancel_scope.cancel()
            await links.close()
            times.sort()
            return {
                "followers": count,
                "idle_leader_cpu_share": round(max(spent) / 6, 4),
                "idle_member_cpu_share": round(min(spent) / 6, 4),
                "idle_bytes_a_second_each": round(idle_bytes),
                "bytes_a_change_each": round(change_bytes),
                "leader_cpu_ms_a_change": round(max(busy_spent) / 15 * 1000, 1),
                "in_force_p50_s": round(times[len(times) // 2], 3),
                "in_force_max_s": round(times[-1], 3),
                "leader_mb": max(get_memory(p.pid) for p in processes.running.values()),
            }

        return anyio.run(run)
    finally:
        processes.stop_all()
        folder.cleanup()


def make_changes(site: object, times: list[float], count: int) -> None:
    """Make changes one after the other; note the time until each is in force."""
    urls = [s.url for s in site.control]
    client = OperatorClient(urls, "operator-tamarack-token")
    for number in range(count):
        began = time.monotonic()
        record = Organisation(f"m{number}", "tamarack", hash_token(str(number)))
        answer = client.put(record, 0)
        assert answer.in_force, answer
        times.append(time.monotonic() - began)
    client.close()


def make_catalog(engines: int, organisations: int, entries: int) -> Catalog:
    """Return a catalog of a size."""
    catalog = Catalog()
    for i in range(organisations):
        record = Organisation(f"organisation-{i}", "p", hash_token(str(i)))
        catalog.store(1, "Organisation", record.name, record)
    for i in range(engines):
        name = f"u{i}"
        catalog.upstreams[name] = Upstream(
            name, f"http://{name}", f"s{i % 11}", f"z{i % 7}", 60_000, 64, (f"m{i % 11}",)
        )
    for i in range(entries):
        catalog.entries[f"e{i}"] = EntryMember(f"e{i}", f"http://e{i}", f"z{i % 7}", "r")
    catalog.revision = 2
    return catalog


def time_call(func, count: int) -> float:
    """Return microseconds a call."""
    func()
    began = time.process_time()
    for _ in range(count):
        func()
    return round((time.process_time() - began) / count * 1e6, 1)


def measure_decisions() -> list[dict]:
    """CPU microseconds of each decision over engines, organisations and entries."""
    rows = []
    for engines, organisations, entries in (
        (20, 10, 12),
        (100, 1_000, 50),
        (300, 8_000, 150),
        (600, 24_000, 350),
    ):
        catalog = make_catalog(engines, organisations, entries)
        directory = Directory(catalog)
        random = Random(1)
        loads = {name: random.random() for name in catalog.upstreams}

        def place() -> None:
            known = directory.list_upstreams("s1", "m1")
            rank_upstreams(known, "prefix", lambda n: loads[n], random)

        def refresh() -> None:
            catalog.revision += 1
            record = Organisation("organisation-1", "p", hash_token("new"))
            catalog.store(catalog.revision, "Organisation", record.name, record)
            directory.refresh()

        def rejoin() -> None:
            catalog.upstreams_revision += 1
            directory.refresh()
            directory.list_upstreams("s1", "m1")

        def move() -> None:
            catalog.epoch += 1
            for name in catalog.upstreams:
                directory.get_steward(name)

        def locate() -> None:
            pick_addresses(catalog.entries.values(), "z1", 4, random)

        rows.append(
            {
                "engines": engines,
                "organisations": organisations,
                "entries": entries,
                "place_us": time_call(place, 500),
                "locate_us": time_call(locate, 500),
                "steward_us": time_call(
                    lambda: directory.pick_steward_of(catalog.upstreams["u1"]), 200
                ),
                "identify_us": time_call(lambda: directory.find_organisation(hash_token("7")), 500),
                "all_stewards_us": time_call(move, 10),
                "apply_change_us": time_call(refresh, 200),
                "apply_upstream_change_us": time_call(rejoin, 200),
            }
        )
    for running in (4, 16, 32, 64):
        rows.append({"running": running, "admit_us": time_admission(running)})
    return rows


def time_admission(running: int) -> float:
    """Return microseconds of asking for and giving back a permit with a batch running."""
    lengths = OutputLengths()
    random = Random(1)
    for _ in range(512):
        lengths.add("r", "m", int(300 * random.lognormvariate(0, 1)))
    admission = AdmissionController(10_000_000, 1000, lengths, PeakMemoryPolicy())

    def make_work(name: str) -> Work:
        return Work(name, "o", "p", "r", "m", False, 300, 30_000, 100.0)

    for i in range(running):
        assert isinstance(admission.ask(make_work(f"w{i}"), 0.0), Admitted)

    def ask() -> None:
        admission.ask(make_work("x"), 1.0)
        admission.finish("x", 100)

    return time_call(ask, 300)


def measure_catalog() -> list[dict]:
    """Memory of an entry's catalog and time to load it, over its size."""
    rows = []
    code = (
        "import sys;sys.path.insert(0,'.');from tools.measure import *;import time;"
        "c=make_catalog({0},{1},{2});t=c.dump(include_history=False);del c;import gc;gc.collect();"
        "m=get_memory(os.getpid());d=Catalog();b=time.process_time();d.load(t);"
        "print(json.dumps([len(t),round(time.process_time()-b,3),get_memory(os.getpid())-m]))"
    )
    for size in ((20, 10, 12), (100, 1_000, 50), (300, 8_000, 150), (600, 24_000, 350)):
        done = subprocess.run(
            [sys.executable, "-c", code.format(*size)], capture_output=True, text=True, check=True
        )
        text, seconds, megabytes = json.loads(done.stdout)
        rows.append(
            {
                "engines": size[0],
                "organisations": size[1],
                "entries": size[2],
                "snapshot_bytes": text,
                "load_s": seconds,
                "memory_mb": round(megabytes, 1),
            }
        )
    return rows


def measure_claims() -> list[dict]:
    """CPU and memory of the claim journal over the claims remembered."""
    rows = []
    for size in (1_000, 5_000, 20_000, 50_000):
        journal = ClaimJournal(max_claims=10**9)
        before = get_memory(os.getpid())
        began = time.process_time()
        for i in range(size):
            claim = Claim("o", f"key-{i}", "d" * 32, "entry-1", "u1", f"u1.{i:016x}.{i:016x}", 0.0)
            journal.apply(Acquire(claim))
            journal.apply(Settle("o", f"key-{i}", claim.generation, ClaimState.DONE, "", 0.0))
        spent = time.process_time() - began
        grown = get_memory(os.getpid()) - before
        rows.append(
            {
                "claims": size,
                "us_a_claim": round(spent / size * 1e6, 1),
                "bytes_a_claim": round(grown * 1e6 / size),
                "dump_s": time_call(journal.dump, 1) / 1e6,
            }
        )
    return rows


def measure_restart() -> list[dict]:
    """Time from start of all control processes to the first answer, and disk, over changes."""
    rows = []
    for changes in (0, 250, 500, 2_000):
        with tempfile.TemporaryDirectory(prefix="daleroad-measure-") as folder:
            site = replace(make_site(folder, 1, 0), engines=(), plain=())
            processes = Processes(site, folder)
            for settings in site.control:
                initialise_data_folder(settings)
                processes.start(settings)
            write_records(site)
            urls = [s.url for s in site.control]

            def put(number: int) -> None:
                record = Organisation(f"m{number}", "tamarack", hash_token(str(number)))
                clients[number % 8].put(record, 0, wait=0.0)

            clients = [OperatorClient(urls, "operator-tamarack-token") for _ in range(8)]
            began = time.monotonic()
            with ThreadPoolExecutor(8) as pool:
                list(pool.map(put, range(changes)))
            accepted = time.monotonic() - began
            processes.stop_all()
            disk = sum(p.stat().st_size for p in Path(site.control[0].data).glob("*"))
            began = time.monotonic()
            for settings in site.control:
                processes.start(settings)
            clients[0].read("Share")
            rows.append(
                {
                    "changes": changes,
                    "changes_a_second": round(changes / accepted) if changes else 0,
                    "restart_s": round(time.monotonic() - began, 2),
                    "disk_mb": round(disk / 1e6, 2),
                }
            )
            processes.stop_all()
    return rows


def measure_failover() -> list[dict]:
    """Time from the leader's kill to the next accepted change, over tries."""
    rows = []
    for turn in range(5):
        with tempfile.TemporaryDirectory(prefix="daleroad-measure-") as folder:
            site = replace(make_site(folder, 1, 0), engines=(), plain=())
            processes = Processes(site, folder)
            for settings in site.control:
                initialise_data_folder(settings)
                processes.start(settings)
            write_records(site)
            leader = next(s for s in site.control if get_json(f"{s.url}/status")["leading"])
            client = OperatorClient([s.url for s in site.control], "operator-tamarack-token")
            processes.kill(leader.name)
            began = time.monotonic()
            client.put(Organisation("m", "tamarack", hash_token("m")), 0, wait=0.0)
            rows.append({"try": turn, "failover_s": round(time.monotonic() - began, 2)})
            processes.stop_all()
    return rows


def measure_watch() -> list[dict]:
    """CPU and bytes of what gateways and coordinators tell each other on a site of 71 gateways."""
    fleet = Fleet()
    for number in range(60):
        state = InstanceState.READY if number < 32 else InstanceState.GONE
        address = f"10.128.{number}.9:8080"
        instance = Instance(f"i-{number:010x}", "llm", address, "zone-a", 24, state, number)
        fleet.note(Sighting(instance, 1.2345), 100.0)
    sightings = tuple(fleet.list_sightings(100.0))
    loads = tuple(Load(s.instance.id, 3, 9000, 100) for s in sightings[:32])
    names = tuple(f"10.1.0.{number}:7200" for number in range(6))
    answer = WatchAnswer(
        "epoch", 5, names, names[0], 7, None, sightings, fleet.list_ages(100.0), loads, 71
    )
    notice = GatewayNotice("10.1.0.9:8740", "zone-a", "region", True, 0.5)
    messages = {
        "answer, all instances": answer,
        "answer, two changes": replace(answer, sightings=sightings[:2], loads=None),
        "question": WatchRequest(notice, "epoch", 5, 7, loads[:3], 1.0, 0.3, False),
        "share of one coordinator": ShareRequest(
            names[0],
            gateway_ages={f"10.1.0.{number}:8740": 0.25 for number in range(36)},
            ages={sighting.instance.id: 0.25 for sighting in sightings[:16]},
        ),
    }
    return [time_message(name, message) for name, message in messages.items()]


IDLE_UPSTREAMS = 31
IDLE_SECONDS = 10.0
IDLE_START_SECONDS = 5.0
"""Upstreams that announce themselves, for how long, and from the start of the processes until then."""

IDLE_SITES = ((3, 6), (10, 30), (10, 70))
"""Coordinators and gateways."""


def measure_idle() -> list[dict]:
    """CPU of gateways and coordinators of a site without requests, and of their starts."""
    return [measure_idle_site(*site) for site in IDLE_SITES]


def measure_idle_site(coordinators: int, gateways: int) -> dict:
    """Return the cores that each process takes, and the CPU seconds of its start."""
    with tempfile.TemporaryDirectory(prefix="daleroad-measure-") as folder:
        processes = PlatformProcesses(Path(folder), gateways, coordinators)
        processes.start_all()
        row: dict = {"coordinators": coordinators, "gateways": gateways}
        try:
            time.sleep(IDLE_START_SECONDS)
            with httpx.Client(trust_env=False) as client:
                announce_upstreams(client, coordinators, 1)
                spent = {r: read_cpu(processes, r) for r in ("gateway", "coordinator")}
                began = time.monotonic()
                for second in range(round(IDLE_SECONDS)):
                    announce_upstreams(client, coordinators, second + 2)
                    time.sleep(max(0.0, began + second + 1 - time.monotonic()))
                seconds = time.monotonic() - began
            for role, before in spent.items():
                after = read_cpu(processes, role)
                row[f"{role}_start_s"] = round(sum(before) / len(before), 3)
                shares = [(a - b) / seconds for a, b in zip(after, before, strict=True)]
                row[f"{role}_cores"] = round(sum(shares) / len(shares), 4)
                row[f"{role}_cores_most"] = round(max(shares), 4)
        finally:
            processes.end_all()
    return row


def read_cpu(processes: PlatformProcesses, role: str) -> list[float]:
    """Return the CPU seconds of each process of a role."""
    return [get_cpu(pid) for pid in processes.list_pids(role)]


def announce_upstreams(client: httpx.Client, coordinators: int, sequence: int) -> None:
    """Let all upstreams send one heartbeat."""
    for number in range(IDLE_UPSTREAMS):
        about = {"service": "s", "address": f"127.0.1.{number + 1}:18000", "zone": "z0"}
        about |= {"slots": 24, "state": "ready", "cold_remaining_ms": 0, "sequence": sequence}
        place = f"http://127.0.0.{number % coordinators + 1}:{CONTROL_PORT}"
        client.put(f"{place}/-/instances/i-{number}", json=about)


def time_message(name: str, message: object) -> dict:
    """Return a message's size, and the CPU time of writing, packing and reading it."""
    body = encode(message)
    return {
        "message": name,
        "bytes": len(body),
        "packed_bytes": len(pack(body) or body),
        "encode_us": time_call(lambda: encode(message), 500),
        "pack_us": time_call(lambda: pack(body), 500),
        "decode_us": time_call(lambda: decode(type(message), body), 500),
    }


if __name__ == "__main__":
    for kind in sys.argv[1:]:
        print(json.dumps({kind: globals()[f"measure_{kind}"]()}, indent=1), flush=True)
