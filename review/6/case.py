"""Case 6: an order that its caller has given up opens a zone that was evacuated since."""

import asyncio
import json
import sys
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig2 import (  # noqa: E402
    LIMITS,
    SIGNATURE,
    CannotRunError,
    Channel,
    Record,
    Request,
    Server,
    Site,
    ask,
    is_calm,
    make_answer,
    make_ask_headers,
    make_route,
    operate,
    read_head,
    run_case,
    wait_served,
    wants_other,
)

ZONE = "hall-a"
EVACUATION_SECONDS = 5.0
PARTITION_SLACK_SECONDS = 6.0
"""Bounds of stoyanov-meteo-now-grown. The second is added in full, as the choked machine is one of
the core."""

CHOKED_SECONDS = 1.5
"""How long packets wait at the link of one machine while it is choked."""

WATCHED_SECONDS = 6.0
ALLOWED_RETRIES = 40


class Link:
    """The link between the operator and one coordinator; packets may have to wait there.

    :param target: the coordinator.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self.wait = 0.0
        self.address = ("", 0)
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._carry, host, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # The connections that are still open at the end of the play are cancelled.
        with suppress(asyncio.CancelledError, OSError):
            far_reader, far_writer = await asyncio.open_connection(*self._target)
            ways = (self._pass_on(reader, far_writer), self._pass_on(far_reader, writer))
            await asyncio.gather(*ways)

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass bytes and the end of the connection on, each after its wait, in order."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        loop = asyncio.get_running_loop()

        async def read() -> None:
            data = b"."
            while data:
                data = b""
                with suppress(OSError):
                    data = await reader.read(65536)
                queue.put_nowait((loop.time() + self.wait, data))

        reading = asyncio.create_task(read())
        with suppress(OSError):
            while True:
                due, data = await queue.get()
                await asyncio.sleep(due - loop.time())
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        writer.close()
        await reading


class KeptConnection:
    """The operator's connection to one coordinator, kept open from one call to the next."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def call(self, method: str, path: str, seconds: float = 1.0) -> int:
        """Return the status, or 0 if none came in time; then the connection is closed."""
        with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(seconds):
                if self._writer is None or self._reader is None:
                    self._reader, self._writer = await asyncio.open_connection(*self._address)
                self._writer.write(f"{method} {path} HTTP/1.1\r\nHost: control\r\n\r\n".encode())
                first, headers = await read_head(self._reader)
                await self._reader.readexactly(int(headers.get("content-length", "0")))
                return int(first.split()[1])
        if self._writer is not None:
            self._writer.close()
        self._writer = None
        return 0


async def answer(server: Server, channel: Channel, request: Request) -> None:
    """Answer a request at a server."""
    if wants_other(server, request):
        await channel.send(make_answer("421 Misdirected Request", {}))
        return
    server.record.note(f"{server.id} in {server.zone} runs {request.id}")
    await asyncio.sleep(0.02)
    headers = {"X-Daleroad-Attempt-Id": request.id, "X-Daleroad-Engine-Signature": SIGNATURE}
    await channel.send(make_answer("200 OK", headers, request.id.encode()))


async def play(site: Site, record: Record) -> list[str]:
    """Evacuate a zone, take it back and evacuate it again, while one link is choked."""
    reached: list[tuple[float, str]] = []

    async def note_and_answer(server: Server, channel: Channel, request: Request) -> None:
        if server.zone == ZONE and not wants_other(server, request):
            reached.append((record.now(), request.id))
        await answer(server, channel, request)

    servers = []
    for number, zone in enumerate(("hall-a", "hall-b", "hall-c")):
        server = Server(site, record, f"i-{number}", "meteo-api", zone, 6, note_and_answer)
        servers.append(server)
        await server.start(site.ip(number))
    routes = [make_route("look", "/look/", "idempotent", "meteo-api", max_attempts=2)]
    services = [
        {"name": "meteo-api", "health_path": "/healthz", "max_conns": 130, "protocol": "h1"}
    ]
    config = {"version": 1, "routes": routes, "services": services, "limits": LIMITS}
    await operate(site, "PUT", "/-/config", config)
    for number in range(site.machines):
        await wait_served(site, number, "/look/x", "warm")
    link = Link(site.controls()[0])
    await link.start(site.ip(3))
    first = KeptConnection(link.address)
    others = [KeptConnection(place) for place in site.controls()[1:]]

    async def order(method: str, connections: list[KeptConnection]) -> float:
        """Send an order until it is acknowledged; return when it was."""
        for attempt in range(ALLOWED_RETRIES):
            number = min(attempt, len(connections) - 1)
            record.note(f"operator sends {method} {ZONE}, try {attempt + 1}")
            status = await connections[number].call(method, f"/-/evacuations/{ZONE}")
            record.note(f"operator got {status or 'nothing in a second'}")
            if 200 <= status < 300:
                return record.now()
            if 400 <= status < 500:
                raise CannotRunError(f"{method} was refused with {status}")
        raise CannotRunError(f"{method} was not acknowledged")

    ended = False

    async def load() -> None:
        number = 0
        while not ended:
            number += 1
            headers = make_ask_headers(f"r{number}", 1.5)
            place = site.gateway(number % site.machines)
            await ask(place, "GET", "/look/x", headers, seconds=1.5)
            await asyncio.sleep(0.02)

    loading = asyncio.create_task(load())
    await order("POST", [first, *others])
    await asyncio.sleep(2.0)
    if not is_calm():
        link.wait = CHOKED_SECONDS
        record.note(f"packets now wait {CHOKED_SECONDS} s at the link of coordinator 0")
    await order("DELETE", [first, *others])
    evacuated_at = await order("POST", others)
    await asyncio.sleep(CHOKED_SECONDS + 1.0)
    link.wait = 0.0
    record.note("packets no longer wait")
    bound = evacuated_at + EVACUATION_SECONDS + PARTITION_SLACK_SECONDS
    await asyncio.sleep(bound + WATCHED_SECONDS - record.now())
    ended = True
    await loading
    late = [request_id for at, request_id in reached if at > bound]
    for server in servers:
        await server.stop()
    record.note(f"{len(reached)} requests reached {ZONE}, {len(late)} of them too late")
    if not late:
        return []
    return [
        f"EVAC: {len(late)} requests reached {ZONE} later than {EVACUATION_SECONDS} s (and "
        f"{PARTITION_SLACK_SECONDS} s for the core) after its evacuation was acknowledged: "
        f"{json.dumps(late[:5])}"
    ]


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
