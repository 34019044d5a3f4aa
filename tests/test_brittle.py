"""Tests of upstreams that fall over when they have to turn too many requests away in a second."""

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketStream

from daleroad.coldmodel import count_peak_requests
from daleroad.dispatch import Whole
from daleroad.forwarding import Outcome
from daleroad.instances import Sighting
from daleroad.routing import Repeat
from tests.standins import (
    GATEWAYS,
    HEARTBEAT_SECONDS,
    Gateways,
    StandIn,
    run_upstreams,
    send_all,
    tell_alone,
)
from tests.test_coordinator import Site, make_document, run_site, wait_for
from tools.soakupstreams import read_requests

UPSTREAMS = 3
REJECTIONS = 4
SLOTS = 6
"""As its heartbeats say; it lets none wait."""

WORK_SECONDS = 1.2
"""Three upstreams serve 15 requests a second; 25 come."""

CONTACT_SECONDS = 3.0
"""For so long they say that they are brittle, and let requests wait as before."""

PLAY_SECONDS = 9.0
DOWN_SECONDS = 2.0
MAX_FALLS = 2 + UPSTREAMS // 10
"""What the platform allows."""

MIN_SERVED_SHARE = 0.35
"""Of all requests; the upstreams have room for six in ten."""


@dataclass
class BrittleStandIn(StandIn):
    """A stand-in with little room, that falls over when it turns away too many in a second."""

    running: int = 0
    rejected_at: list[float] = field(default_factory=list)
    falls: int = 0
    down_until: float = 0.0

    async def handle(self, stream: SocketStream) -> None:
        async with stream:
            if anyio.current_time() < self.down_until:
                return
            async for request in read_requests(stream):
                if anyio.current_time() < self.down_until:
                    return
                await self._answer(stream, request.headers)

    async def _answer(self, stream: SocketStream, found: dict[str, str]) -> None:
        self.arrivals.append((anyio.current_time(), ""))
        status, more = b"503 Full", [b"X-Daleroad-Not-Executed: 1"]
        if self.running < SLOTS or not self._is_full():
            self.running += 1
            await anyio.sleep(WORK_SECONDS)
            self.running -= 1
            status, more = b"200 OK", []
        else:
            self._reject()
        words = [
            b"HTTP/1.1 " + status,
            b"X-Daleroad-Attempt-Id: " + found["x-daleroad-attempt-id"].encode(),
            b"X-Daleroad-Engine-Signature: s",
            f"Server-Brittle: {REJECTIONS}".encode(),
            b"Content-Length: 2",
            *more,
        ]
        await stream.send(b"\r\n".join([*words, b"", b"ok"]))

    def _is_full(self) -> bool:
        return anyio.current_time() > self.arrivals[0][0] + CONTACT_SECONDS

    def _reject(self) -> None:
        now = anyio.current_time()
        self.rejected_at.append(now)
        recent = [at for at in self.rejected_at if at > max(now - 1.0, self.down_until)]
        if len(recent) > REJECTIONS:
            self.falls += 1
            self.down_until = now + DOWN_SECONDS


class BrittleUpstreamTest(unittest.TestCase):
    def check(self, upstreams: list[BrittleStandIn], outcomes: list[Outcome]) -> None:
        peaks = [count_peak_requests(u.rejected_at, 1.0) for u in upstreams]
        falls = sum(upstream.falls for upstream in upstreams)
        self.assertLessEqual(falls, MAX_FALLS, peaks)
        served = sum(isinstance(o, Whole) and o.status == 200 for o in outcomes)
        self.assertGreater(served, MIN_SERVED_SHARE * len(outcomes))

    @asynccontextmanager
    async def run_upstreams(self) -> AsyncIterator[list[BrittleStandIn]]:
        upstreams = [BrittleStandIn(number) for number in range(UPSTREAMS)]
        async with anyio.create_task_group() as tasks, run_upstreams(tasks, upstreams):
            yield upstreams
            tasks.cancel_scope.cancel()

    def test_gateways_with_a_leader_turn_few_requests_into_rejections(self) -> None:
        async def main(site: Site, names: list[str]) -> None:
            await site.get(names[0]).log.save(make_document(7))
            async with self.run_upstreams() as upstreams, anyio.create_task_group() as tasks:

                async def send_heartbeats() -> None:
                    while True:
                        for upstream in upstreams:
                            for coordinator, _, _ in site.running.values():
                                sighting = Sighting(upstream.make_instance(), 0.0)
                                coordinator.presence.fleet.note(sighting, anyio.current_time())
                        await anyio.sleep(HEARTBEAT_SECONDS)

                tasks.start_soon(send_heartbeats)
                gateways = Gateways(tasks, site.seeds, Repeat.IDEMPOTENT)
                await wait_for(lambda: all(g.fleet.count() == UPSTREAMS for g in gateways.all))
                await wait_for(lambda: all(g.selector.gateways == GATEWAYS for g in gateways.all))
                outcomes = await send_all(gateways, PLAY_SECONDS)
                await gateways.close()
                tasks.cancel_scope.cancel()
            self.check(upstreams, outcomes)

        run_site(main)

    def test_gateways_without_a_leader_turn_few_requests_into_rejections(self) -> None:
        async def main() -> None:
            async with self.run_upstreams() as upstreams, anyio.create_task_group() as tasks:
                gateways = Gateways(tasks, (), Repeat.IDEMPOTENT)
                tasks.start_soon(tell_alone, gateways, upstreams)
                await anyio.sleep(0.1)
                outcomes = await send_all(gateways, PLAY_SECONDS)
                await gateways.close()
                tasks.cancel_scope.cancel()
            self.check(upstreams, outcomes)

        anyio.run(main)


if __name__ == "__main__":
    unittest.main()
