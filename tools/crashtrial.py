"""A trial with real processes: one request ends each upstream that begins it, and comes again.

    python tools/crashtrial.py streams|calls [SECONDS] [SEED] [--without]

Four gateways, three coordinators, five stand-in upstreams on loopback. Two callers send the same
request (path, caller, body) again and again, to any gateway; the others ask for work of their own.
Each gateway is killed once. ``--without`` leaves the crashing request out, for comparison.
"""

import signal
import sys
import tempfile
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from random import Random

import anyio
import httpx
from anyio.abc import TaskGroup

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tools.soak import CLIENT_PORT, CONTROL_PORT, Processes  # noqa: E402
from tools.soakledger import Ledger  # noqa: E402
from tools.soakupstreams import (  # noqa: E402
    BODY,
    CRASHING_BODY,
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    SIZE_HEADER,
    Engine,
    Framing,
    Upstream,
)

SECONDS = 20.0
NETWORK = "127.6"
GATEWAYS, COORDINATORS, UPSTREAMS, CALLERS, CRASHERS = 4, 3, 5, 8, 2

CONTACT_SECONDS = 3.0
"""Time in which all gateways must have heard of the crash that was one too many."""

CRASHES_BORNE = 3
"""Crashes after which a request should reach no upstream any more."""

AGAIN_SECONDS = (0.3, 0.9)
"""Time after which a caller sends the crashing request once more."""

IDLE_SECONDS = (0.05, 0.3)
EVENTS, PAUSE_SECONDS = 20, 0.03
"""Size of the others' streams."""

REQUEST_SECONDS = 4.0

NOT_CONNECTED = 0
"""Stands for the status of a request that no gateway has read."""

GATEWAY_KILLED = 1
"""Stands for the status of a request that was cut when its gateway was killed."""

KILLED_SECONDS = 0.3
"""Time from the kill of a gateway until it is started again."""

REASON_CHARS = 120
"""Length to which the texts of refusals are cut in reports."""


class TrialKind(StrEnum):
    """What is asked for: streams that run once, or calls that may run on two upstreams."""

    STREAMS = "streams"
    CALLS = "calls"


@dataclass
class CrashReport:
    """What a trial saw; times in seconds from its beginning.

    :param crashed: when an upstream ended under the request.
    :param reached: when the request reached an upstream.
    :param refused: seconds that its refusals took.
    :param others: when each of the other callers' requests was sent, and whether it was served.
    """

    crashed: list[float] = field(default_factory=list)
    reached: list[float] = field(default_factory=list)
    refused: list[float] = field(default_factory=list)
    others: list[tuple[float, bool]] = field(default_factory=list)

    def count_late(self) -> int:
        """Return how often the request reached an upstream after all gateways should know."""
        if len(self.crashed) < CRASHES_BORNE:
            return 0
        known_at = sorted(self.crashed)[CRASHES_BORNE - 1] + CONTACT_SECONDS
        return sum(at > known_at for at in self.reached)

    def find_served(self, since: float = 0.0) -> float:
        """Return the share of the others' requests sent after a time that was served."""
        found = [served for sent, served in self.others if sent >= since]
        return sum(found) / max(1, len(found))

    def describe(self) -> str:
        """Return the report as a line."""
        return (
            f"{len(self.crashed)} crashes, {self.count_late()} sends later than "
            f"{CONTACT_SECONDS:g} s after the third, {len(self.refused)} refusals, "
            f"{sum(s for _, s in self.others)} of {len(self.others)} others served "
            f"({self.find_served():.3f}; {self.find_served(SECONDS / 2):.3f} in the second half)"
        )


class CrashTrial:
    """One trial.

    :param kind: what is asked for.
    :param seconds: its length.
    :param seed: fixes what callers do.
    :param crashing: whether the crashing request comes.
    :param network: begins its addresses; trials beside each other need one each.
    :ivar refusals: the shared parts of each refused request, and what its answer said.
    :ivar empty: successful answers that looked whole and had no event.
    """

    def __init__(
        self,
        kind: TrialKind,
        seconds: float = SECONDS,
        seed: int = 1,
        crashing: bool = True,
        network: str = NETWORK,
    ) -> None:
        self._network = network
        self._kind = kind
        self._seconds = seconds
        self._crashing = crashing
        self._random = Random(seed)
        self.began = 0.0
        self._number = 0
        self._killed_at: dict[int, float] = {}
        self.refusals: list[tuple[str, str]] = []
        self.empty = 0
        self.report = CrashReport()
        self.whole: set[str] = set()
        entries = [f"{network}.0.{n + 1}:{CONTROL_PORT}" for n in range(COORDINATORS)]
        shape = Engine if kind is TrialKind.STREAMS else Upstream
        self.upstreams = [
            shape(number, Ledger(), Random(f"{seed} {number}"), entries, network, False)
            for number in range(UPSTREAMS)
        ]

    async def run(self) -> CrashReport:
        """Play the trial and return what was seen."""
        with tempfile.TemporaryDirectory(prefix="daleroad-crash-") as folder:
            processes = Processes(Path(folder), GATEWAYS, COORDINATORS, self._network)
            processes.start_all()
            try:
                await self._play(processes)
            finally:
                processes.end_all()
        report = self.report
        for upstream in self.upstreams:
            report.crashed += [at - self.began for at in upstream.crashed_at[BODY]]
            report.reached += [at - self.began for at, _ in upstream.reached[BODY]]
        return report

    async def _play(self, processes: Processes) -> None:
        async with (
            httpx.AsyncClient(timeout=1.5, trust_env=False) as client,
            anyio.create_task_group() as tasks,
        ):
            for upstream in self.upstreams:
                tasks.start_soon(upstream.run)
                tasks.start_soon(upstream.beat, client)
            await self._save(client)
            await anyio.sleep(1.0)
            self.began = anyio.current_time()
            self._start_callers(tasks)
            tasks.start_soon(self._kill_gateways, processes)
            await anyio.sleep_until(self.began + self._seconds)
            tasks.cancel_scope.cancel()

    def _start_callers(self, tasks: TaskGroup) -> None:
        for number in range(CALLERS):
            tasks.start_soon(self._ask_others, number)
        for _ in range(CRASHERS if self._crashing else 0):
            tasks.start_soon(self._ask_crashing)

    async def _kill_gateways(self, processes: Processes) -> None:
        gap = self._seconds / (GATEWAYS + 1)
        for number in range(GATEWAYS):
            await anyio.sleep(gap)
            self._killed_at[number] = anyio.current_time()
            processes.send(f"gateway-{number}", signal.SIGKILL)
            await anyio.sleep(KILLED_SECONDS)
            processes.restart_ended()

    async def _save(self, client: httpx.AsyncClient) -> None:
        route = {"host": "h", "timeout_ms": 4000, "public": True}
        calls = route | {"name": "calls", "path_prefix": "/calls/", "service": PLAIN_SERVICE}
        calls |= {"route_kind": "idempotent", "max_attempts": 2}
        streams = route | {"name": "streams", "path_prefix": "/streams/", "service": ENGINE_SERVICE}
        streams |= {"route_kind": "streaming", "max_attempts": 1, "target_latency_ms": 1000}
        streams |= {"target_itl_ms": 180}
        engine = {"slots": Engine.slots, "kv_capacity_tokens": 34305}
        services = [{"name": PLAIN_SERVICE}, {"name": ENGINE_SERVICE, "engine": engine}]
        config = {"version": 1, "routes": [calls, streams], "services": services}
        with anyio.fail_after(30.0):
            while True:
                try:
                    place = f"http://{self._network}.0.1:{CONTROL_PORT}"
                    if (await client.put(f"{place}/-/config", json=config)).status_code == 200:
                        return
                except httpx.HTTPError:
                    pass
                await anyio.sleep(0.2)

    async def _ask_others(self, number: int) -> None:
        random = Random(f"caller {number}")
        async with httpx.AsyncClient(timeout=REQUEST_SECONDS, trust_env=False) as client:
            while True:
                sent = anyio.current_time() - self.began
                status = await self._ask(client, f"work of {number} at {sent}".encode())
                if status != NOT_CONNECTED:
                    self.report.others.append((sent, status == httpx.codes.OK))
                await anyio.sleep(random.uniform(*IDLE_SECONDS))

    async def _ask_crashing(self) -> None:
        async with httpx.AsyncClient(timeout=REQUEST_SECONDS, trust_env=False) as client:
            while True:
                sent = anyio.current_time()
                status = await self._ask(client, CRASHING_BODY)
                if status is not None and status >= 400:
                    self.report.refused.append(anyio.current_time() - sent)
                await anyio.sleep(self._random.uniform(*AGAIN_SECONDS))

    async def _ask(
        self,
        client: httpx.AsyncClient,
        body: bytes,
        shared: str = "5c1e07a2:40",
        framing: Framing = Framing.CHUNKS,
    ) -> int | None:
        """Send a request to any gateway; return its status, or nothing if it was cut.

        A gateway that was killed can't be reached; the status is NOT_CONNECTED then. If it was
        killed meanwhile, the status is GATEWAY_KILLED. ``shared`` has the parts of its prompt but
        the last, ``framing`` tells how a stream ends.
        """
        self._number += 1
        request = f"a{self._number}"
        number = self._random.randrange(GATEWAYS)
        gateway = f"http://{self._network}.0.{number + 1}:{CLIENT_PORT}"
        sent = anyio.current_time()
        headers = {
            "host": "h",
            "x-daleroad-attempt-id": request,
            "x-daleroad-token-usage": "60,40",
            "x-daleroad-prefix-hash": f"{shared},{self._number:x}:20",
            "x-daleroad-deadline-ms": str(int(REQUEST_SECONDS * 1000)),
            SIZE_HEADER: f"{EVENTS},{PAUSE_SECONDS},{framing}",
        }
        try:
            answer = await client.post(f"{gateway}/{self._kind}/x", content=body, headers=headers)
        except httpx.ConnectError:
            return NOT_CONNECTED
        except httpx.HTTPError:
            return GATEWAY_KILLED if self._was_killed(number, sent) else None
        # A torn stream that ends cleanly looks whole, though its last event is missing.
        least = EVENTS - 1 if framing is Framing.TORN else EVENTS
        whole = self._kind is TrialKind.CALLS or answer.text.count("id: ") >= least
        if whole and answer.is_success:
            self.whole.add(request)
        self.empty += answer.is_success and not answer.content
        if answer.is_error:
            self.refusals.append((shared, f"{answer.status_code} {answer.text[:REASON_CHARS]}"))
        return answer.status_code if whole or answer.is_error else None

    def _was_killed(self, gateway: int, sent: float) -> bool:
        """Return whether a gateway was killed, or being restarted, since a request was sent."""
        killed_at = self._killed_at.get(gateway)
        return killed_at is not None and sent < killed_at + KILLED_SECONDS


def main() -> None:
    """Play the trial that the command line names, and print what was seen."""
    words = [word for word in sys.argv[1:] if not word.startswith("--")]
    kind = TrialKind(words[0])
    seconds = float(words[1]) if len(words) > 1 else SECONDS
    seed = int(words[2]) if len(words) > 2 else 1
    trial = CrashTrial(kind, seconds, seed, "--without" not in sys.argv)
    print(f"{kind}, seed {seed}: {anyio.run(trial.run).describe()}", flush=True)


if __name__ == "__main__":
    main()
