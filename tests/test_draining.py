"""Tests of gateways that stop: what they still take, and that what they take gets an answer.

The failure behind the first test. Users saw a long generation end in the middle. A gateway got
SIGTERM; coordinators stopped naming it within 0.2 s, but a client may keep an older lookup for
seconds, and one came 3.3 s later with a prompt whose output could take 2,216 tokens. The gateway
sent it to an engine, passed on 111 events, and closed the connection 7.65 s after the signal,
shortly before it would have been killed. Cause: it took whatever came, however little time it had.

The evidence: three streams of that gateway ended within a millisecond, 3 ms before the process did,
while their engines were at work and no pause was longer than 0.06 s. With ends told apart in the
log, such streams end by their gateway's own stop, and their requests say how little time was left:
one of six in a run of rolled stops came with 7.35 s left and was cut after 7.7 s.
"""

import sys
import unittest
from dataclasses import replace
from pathlib import Path

import anyio
import httpx
from anyio.abc import TaskGroup

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "platform"))

import wire  # noqa: E402
from gatewayprocess import GatewayProcess  # noqa: E402
from nodefile import read_node  # noqa: E402

from daleroad.fleet import Sighting  # noqa: E402
from daleroad.links import Links  # noqa: E402
from daleroad.routing import Repeat, RoutingConfig  # noqa: E402
from daleroad.settings import Tls  # noqa: E402
from tests.fakes import FakeDispatcher, FakeStream, make_config, make_instance  # noqa: E402

GRACE_SECONDS = 2.7
EVENT_SECONDS = 0.05
LONG_EVENTS = 200


class PacedStream(FakeStream):
    """A stream with a pause before each event."""

    async def pieces(self):
        async for piece in super().pieces():
            await anyio.sleep(EVENT_SECONDS)
            yield piece


def make_route(repeat: Repeat = Repeat.STREAM) -> RoutingConfig:
    """Return a configuration with one route, whose requests may take long."""
    config = make_config(repeat, engine=repeat is Repeat.STREAM)
    return replace(config, routes=(replace(config.routes[0], timeout=39.0),))


class StoppingGatewayTest(unittest.TestCase):
    def setUp(self) -> None:
        self.dispatcher = FakeDispatcher()

    async def run_gateway(self, tasks: TaskGroup, ip: str, stopping: anyio.Event) -> GatewayProcess:
        """Run a gateway that knows three upstreams; return it once it takes clients."""
        listen = {"frontend": f"{ip}:18742", "readiness": f"{ip}:18749"}
        raw = {"node_name": "n", "ip": ip, "zone": "z", "region": "r", "listen": listen}
        raw |= {"internal_ports": [17200, 17215], "bounds": {"grace_s": GRACE_SECONDS}}
        process = GatewayProcess(read_node(raw), Links(Tls(), "secret"), 19465)
        process.gateway.dispatcher = self.dispatcher
        process.gateway.replace_config(make_route())
        for number in (1, 2, 3):
            sighting = Sighting(make_instance(number), 0.0)
            process.gateway.fleet.note(sighting, anyio.current_time())
        tasks.start_soon(process.run, tasks, stopping)
        while True:
            try:
                await (await anyio.connect_tcp(ip, 18742)).aclose()
                return process
            except OSError:
                await anyio.sleep(0.02)

    async def ask(self, ip: str, most_output: int) -> tuple[int, str]:
        """Send one prompt on a new connection; return the status, and how its answer ended."""
        headers = {
            wire.ATTEMPT_ID.decode(): "a1",
            wire.TOKENS.decode(): f"3000,{most_output}",
            wire.DEADLINE.decode(): "39000",
            "host": "h",
        }
        status = 0
        try:
            async with (
                httpx.AsyncClient(timeout=20) as client,
                client.stream("POST", f"http://{ip}:18742/x", headers=headers) as answer,
            ):
                status = answer.status_code
                async for _ in answer.aiter_raw():
                    pass
        except httpx.TransportError:
            return status, "cut"
        return status, "whole"

    def test_a_long_generation_that_comes_after_the_signal_is_not_begun_and_cut(self) -> None:
        self.dispatcher.replies = [PacedStream(1, LONG_EVENTS)]
        found: list[tuple[int, str]] = []

        async def main() -> None:
            stopping = anyio.Event()
            async with anyio.create_task_group() as tasks:
                process = await self.run_gateway(tasks, "127.0.3.7", stopping)

                async def stop() -> None:
                    await process.drain()
                    stopping.set()

                async def come_late() -> None:
                    await anyio.sleep(GRACE_SECONDS / 3)
                    found.append(await self.ask("127.0.3.7", 2216))

                async with anyio.create_task_group() as both:
                    both.start_soon(stop)
                    both.start_soon(come_late)
                tasks.cancel_scope.cancel()

        anyio.run(main)
        self.assertEqual(found, [(503, "whole")])
        self.assertEqual(self.dispatcher.attempts, [])


if __name__ == "__main__":
    unittest.main()
