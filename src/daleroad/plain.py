"""A stand-in for a plain service: it answers look-ups, and records each call that ran."""

from dataclasses import dataclass

import anyio
import orjson

from daleroad.daleroad_pb import Announcement, Report
from daleroad.serving import Answer, Request, Response, Router, serve_app
from daleroad.settings import Tls
from daleroad.standin import Announcer

_MAX_BODY = 4_000_000
_SLOTS = 64


@dataclass(frozen=True)
class PlainOptions:
    """How a stand-in plain service is set up."""

    name: str
    service: str
    zone: str
    address: str
    entries: tuple[str, ...]
    token: str
    delay: float = 0.002
    advertise: str = ""


class PlainService:
    """One upstream of a plain service.

    :param options: its set-up.
    """

    def __init__(self, options: PlainOptions) -> None:
        self.options = options
        self.calls: list[str] = []
        self.draining = False
        self._running = 0
        self._stop = anyio.Event()
        self.announcer = Announcer(
            options.entries, options.token, self._make_announcement, self._make_report
        )

    async def run(self) -> None:
        """Serve until stopped."""
        router = Router(_MAX_BODY)
        router.add("GET", "/record", self._serve_record)
        router.add("*", "/", self._serve_call)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.announcer.run)
            await serve_app(router, self.options.address, Tls(), self._stop.wait)
            tasks.cancel_scope.cancel()

    def stop(self) -> None:
        """Stop serving."""
        self._stop.set()

    async def _serve_call(self, request: Request) -> Answer:
        key = request.headers.get("idempotency-key", "")
        self.calls.append(key)
        await anyio.sleep(self.options.delay)
        answer = {"path": request.path, "by": self.options.name, "call": len(self.calls)}
        return Response(200, orjson.dumps(answer))

    async def _serve_record(self, request: Request) -> Answer:
        return Response(200, orjson.dumps({"calls": self.calls}))

    def _make_announcement(self) -> Announcement:
        options = self.options
        return Announcement(
            upstream=options.name,
            address=f"http://{options.advertise or options.address}",
            service=options.service,
            zone=options.zone,
            slots=_SLOTS,
        )

    def _make_report(self) -> Report:
        return Report(upstream=self.options.name, draining=self.draining)
