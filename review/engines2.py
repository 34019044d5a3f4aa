"""A stand-in of model engines: streams, reports, and copies of the memory of running requests.

Written from the users' page PROTOCOL.md. An event's data names the request whose memory it was made
from, so that a client sees if it gets what belongs to another request.
"""

import asyncio
import json
from dataclasses import dataclass, field

from rig2 import SIGNATURE, Channel, Record, Request, Server, Site, make_answer, wants_other

PAUSE_SECONDS = 0.02
"""Time between two events of a stream."""

FIRST_SECONDS = 0.15
COPY_SECONDS = 0.08
"""Time to copy the whole memory of a request; what is new since then takes less."""

FINAL_COPY_SECONDS = 0.01
CAPACITY_TOKENS = 34322

NOT_EXECUTED = {"X-Daleroad-Not-Executed": "1"}


@dataclass
class Run:
    """A request at work.

    :param owner: the request whose memory it goes on from: itself, or that of a copy.
    """

    id: str
    owner: str
    made: int
    tokens: int
    stopped: asyncio.Event = field(default_factory=asyncio.Event)
    copied: set[str] = field(default_factory=set)
    moving: bool = False


@dataclass
class Copy:
    """A copy of the memory of a request, kept at its destination."""

    owner: str
    made: int
    tokens: int = 0
    used: bool = False


class Engine:
    """One engine.

    :param engines: all engines by address, as copies go from one to another.
    """

    def __init__(
        self,
        engines: dict[str, "Engine"],
        copy_seconds: float = COPY_SECONDS,
        pause_seconds: float = PAUSE_SECONDS,
    ) -> None:
        self._engines = engines
        self._copy_seconds = copy_seconds
        self._pause_seconds = pause_seconds
        self.draining_since: float | None = None
        self.late: list[tuple[str, float]] = []
        self.runs: dict[str, Run] = {}
        self.copies: dict[str, Copy] = {}
        self.foreign: list[tuple[str, str]] = []
        self.answers = 0
        self.doubles: int = 0
        self.may_double = 0
        self.leaves_at: float | None = None
        self.server: Server | None = None

    async def start(
        self, site: Site, record: Record, name: str, zone: str, host: str, service: str
    ) -> None:
        """Listen and register."""
        self.server = Server(site, record, name, service, zone, 24, self.handle)
        await self.server.start(host)
        self._engines[self.server.address] = self

    async def leave(self, seconds: float) -> None:
        """Say that this engine leaves, and end when the time is over."""
        assert self.server is not None
        self.leaves_at = asyncio.get_running_loop().time() + seconds
        self.server.state = "draining"
        self.server.record.note(f"{self.server.id} says that it leaves in {seconds} s")
        if await self.server.beat_once():
            self.draining_since = self.server.record.now()
            self.server.record.note(f"{self.server.id} got the acknowledgement of that")
        await asyncio.sleep(seconds)
        self.server.record.note(f"{self.server.id} ends")
        for run in self.runs.values():
            run.stopped.set()
        await self.server.stop()

    async def handle(self, server: Server, channel: Channel, request: Request) -> None:
        """Answer one request."""
        self.answers += 1
        if request.path == "/-/report":
            await self._send(channel, make_answer("200 OK", {}, self._make_report()))
        elif request.path == "/-/kv-move":
            await self._move(server, channel, request)
        elif request.path.startswith("/-/"):
            await self._send(channel, make_answer("404 Not Found", {}))
        elif wants_other(server, request):
            await self._send(channel, make_answer("421 Misdirected Request", {}))
        else:
            await self._generate(server, channel, request)

    async def _send(self, channel: Channel, answer: bytes, of: str = "") -> None:
        channel.last, channel.last_of = answer, of
        await channel.send(answer)

    def _make_report(self) -> bytes:
        report = {
            "phase": "unified",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "queued": 0,
            "running": len(self.runs),
            "kv_used": sum(run.tokens for run in self.runs.values()),
            "kv_total": CAPACITY_TOKENS,
            "handles": len(self.copies),
            "state": self.server.state if self.server else "ready",
            "runs": [[run.id, run.tokens, run.made, 5] for run in self.runs.values()],
        }
        if self.leaves_at is not None:
            report["leaves_ms"] = int(
                1000 * max(0.0, self.leaves_at - asyncio.get_running_loop().time())
            )
        return json.dumps(report).encode()

    def count_tokens(self) -> int:
        """Return the memory of what runs."""
        return sum(run.tokens for run in self.runs.values() if not run.stopped.is_set())

    def has_room(self, tokens: int, handle: str) -> bool:
        """Return whether the memory of a request fits, with what runs and is kept here."""
        kept = (c.tokens for name, c in self.copies.items() if name != handle and not c.used)
        return self.count_tokens() + sum(kept) + tokens <= CAPACITY_TOKENS

    async def _move(self, server: Server, channel: Channel, request: Request) -> None:
        asked = json.loads(request.body)
        run_id, final = asked["id"], asked["final"]
        record = server.record
        record.note(f"{server.id} is asked for a copy of {run_id}, final {final}")
        earlier = channel.last_of
        if final and earlier not in ("", run_id) and self.doubles < self.may_double:
            self.doubles += 1
            record.note(f"{server.id} sends its answer about {earlier} a second time")
            await channel.send(channel.last)
        run = self.runs.get(run_id)
        destination = self._engines.get(asked["destination"])
        if run is None or (run.stopped.is_set() and not run.copied):
            await self._send(channel, make_answer("404 Not Found", {}), run_id)
            return
        if run.moving:
            await self._send(channel, make_answer("409 Conflict", {}), run_id)
            return
        if destination is None or not destination.has_room(run.tokens, f"h-{run_id}"):
            record.note(f"{server.id} answers for {run_id}: no room at the destination")
            kept = {}
            if final:
                # The run stops first, and the source keeps its memory.
                run.stopped.set()
                kept = {"handle": f"h-{run_id}", "made": run.made}
            body = json.dumps(kept).encode()
            await self._send(channel, make_answer("503 Service Unavailable", {}, body), run_id)
            return
        run.moving = True
        if final:
            run.stopped.set()
        handle = f"h-{run_id}"
        known = handle in destination.copies
        await asyncio.sleep(FINAL_COPY_SECONDS if known else self._copy_seconds)
        run.moving = False
        copy = destination.copies.setdefault(handle, Copy(run.owner, run.made))
        copy.made, copy.tokens = run.made, run.tokens
        run.copied.add(asked["destination"])
        body = json.dumps({"handle": handle, "made": run.made}).encode()
        record.note(f"{server.id} answers for {run_id}: handle {handle}, {run.made} events made")
        headers = {"Content-Type": "application/json"}
        await self._send(channel, make_answer("200 OK", headers, body), run_id)

    async def _generate(self, server: Server, channel: Channel, request: Request) -> None:
        record = server.record
        if self.draining_since is not None:
            after = record.now() - self.draining_since
            record.note(f"{request.id} reaches {server.id} {after:.3f} s after its acknowledgement")
            self.late.append((request.id, after))
        owner, made = request.id, 0
        source = request.headers.get("kv-from", "")
        if source:
            handle = source.rpartition("/")[2]
            copy = self.copies.get(handle)
            if copy is None or copy.used:
                record.note(f"{server.id} rejects {request.id}: no unused copy {handle}")
                await self._send(channel, make_answer("503 Service Unavailable", NOT_EXECUTED))
                return
            copy.used = True
            owner = copy.owner
            made = int(request.headers.get("last-event-id", "0") or 0)
            record.note(f"{server.id} lets {request.id} go on after {made} from the copy {handle}")
            if owner != request.id:
                self.foreign.append((request.id, owner))
        else:
            record.note(f"{server.id} runs {request.id}")
            await asyncio.sleep(FIRST_SECONDS)
        prompt, most = request.headers["x-daleroad-token-usage"].split(",")
        run = Run(request.id, owner, made, int(prompt))
        self.runs[request.id] = run
        events = int(most) // 4
        head = [
            "HTTP/1.1 200 OK",
            f"X-Daleroad-Attempt-Id: {request.id}",
            f"X-Daleroad-Engine-Signature: {SIGNATURE}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        try:
            await channel.send("\r\n".join(head).encode() + b"\r\n\r\n")
            while run.made < events:
                await asyncio.sleep(self._pause_seconds)
                if run.stopped.is_set():
                    # The stream of a stopped run is closed without its end.
                    channel.writer.close()
                    raise ConnectionError
                run.made += 1
                run.tokens += 4
                event = f"id: {run.made}\ndata: made from the memory of {owner}\n\n".encode()
                await channel.send(b"%x\r\n%s\r\n" % (len(event), event))
            await channel.send(b"0\r\n\r\n")
            record.note(f"{server.id} has made all {events} events of {request.id}")
        finally:
            if not run.stopped.is_set():
                self.runs.pop(request.id, None)
