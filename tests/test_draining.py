"""Tests of gateways that stop: what they still take, and that what they take gets an answer.

The failure behind the first test. Users saw a long generation end in the middle. A gateway got
SIGTERM; coordinators stopped naming it within 0.2 s, but a client may keep an older lookup for
seconds, and one came 3.3 s later with a prompt whose output could take 2,216 tokens. The gateway
sent it to an engine, passed on 111 events, and closed the connection 7.65 s after the signal,
shortly before it would have been killed. Cause: it took whatever came, however little time it had.

The evidence: three streams of that gateway ended within a millisecond, 3 ms before the process did,
while their engines were at work and no pause was longer than 0.06 s. With ends told apart in the
log, such streams end by their gateway's own stop, and their requests say how little time was left:
one of six in a run of rolled stops came with 7.15 s left and was cut after 7.5 s.
"""

import sys
import unittest
from dataclasses import replace
from pathlib import Path

import anyio
import httpx
import trio
import trio.testing
from anyio.abc import TaskGroup

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "platform"))

import wire  # noqa: E402
from gatewayprocess import GatewayProcess  # noqa: E402
from nodefile import read_node  # noqa: E402

from daleroad.defaults import GATEWAY_RESTART_SECONDS  # noqa: E402
from daleroad.dispatch import NotRun, Prompt  # noqa: E402
from daleroad.draining import estimate_need  # noqa: E402
from daleroad.errors import Failure, FailureKind, Ran  # noqa: E402
from daleroad.fleet import Sighting  # noqa: E402
from daleroad.forwarding import Flow, Forwarder, Outcome  # noqa: E402
from daleroad.gateway import Gateway  # noqa: E402
from daleroad.links import Links  # noqa: E402
from daleroad.metrics import Metrics, RequestMetrics  # noqa: E402
from daleroad.moving import EngineMover  # noqa: E402
from daleroad.routing import Repeat, RoutingConfig  # noqa: E402
from daleroad.runs import Runs  # noqa: E402
from daleroad.settings import Tls  # noqa: E402
from tests.fakes import (  # noqa: E402
    WHOLE,
    FakeDispatcher,
    FakeStream,
    make_config,
    make_gateway,
    make_instance,
    make_job,
)

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


class NeedTest(unittest.TestCase):
    """Serve or refuse, by the time that is left, the route and what is known of the length."""

    def test_the_time_that_is_left_decides_together_with_route_and_length(self) -> None:
        short, long = Prompt((), 2200, 48), Prompt((), 3000, 2216)
        cases = [
            # repeat, resumable, objective, limit, prompt, seconds left: taken
            (Repeat.STREAM, False, 1.8, 39.0, long, 7.3, False),
            (Repeat.STREAM, True, 1.8, 39.0, long, 7.3, False),
            (Repeat.STREAM, False, 1.8, 39.0, long, 45.0, True),
            (Repeat.STREAM, False, 1.5, 6.0, short, 7.3, True),
            (Repeat.STREAM, False, 1.5, 6.0, short, 4.0, True),
            (Repeat.STREAM, False, 1.5, 6.0, short, 3.5, False),
            # A length that is not known may take all the time that its client has.
            (Repeat.STREAM, False, 1.5, 6.0, None, 7.3, True),
            (Repeat.STREAM, False, 1.5, 6.0, None, 5.9, False),
            # So may an answer whose route says nothing of how soon it should begin.
            (Repeat.STREAM, False, 0.0, 6.0, short, 5.9, False),
            (Repeat.ONCE, False, 0.0, 1.5, None, 1.4, False),
            (Repeat.ONCE, False, 0.2, 1.5, None, 0.5, True),
            (Repeat.ONCE, False, 0.2, 1.5, None, 0.3, False),
            (Repeat.IDEMPOTENT, False, 0.2, 1.5, None, 0.5, True),
            (Repeat.IDEMPOTENT, False, 0.2, 1.5, None, 0.0, False),
            # Nothing needs more than its client's own time.
            (Repeat.STREAM, False, 1.8, 1.0, long, 1.0, True),
            (Repeat.ONCE, False, 2.0, 1.0, None, 1.0, True),
        ]
        for repeat, resumable, objective, limit, prompt, left, taken in cases:
            with self.subTest(repeat=repeat, limit=limit, prompt=prompt, left=left):
                config = make_config(repeat, resumable=resumable)
                route = replace(config.routes[0], objective=objective)
                self.assertIs(estimate_need(route, prompt, limit).fits(left), taken)


class StoppingForwarderTest(unittest.TestCase):
    """What happens at the end to requests of each kind, in virtual time."""

    def setUp(self) -> None:
        self.dispatcher = FakeDispatcher()
        self.others = True

    def serve(self, repeat: Repeat, *, stop_at: float, left: float, most: int = 0) -> Outcome:
        """Serve one request; at a time the gateway is told to stop within some seconds."""

        async def main() -> Outcome:
            now = anyio.current_time()
            config = make_config(repeat, attempts=3, engine=bool(most))
            config = replace(config, routes=(replace(config.routes[0], timeout=20.0),))
            self.gateway = make_gateway(self.dispatcher, config, now)
            runs = Runs(self.gateway, EngineMover(self.gateway))
            forwarder = Forwarder(self.gateway, runs, RequestMetrics(Metrics()))
            prompt = Prompt((), 3000, most) if most else None
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.stop, stop_at, left)
                await anyio.sleep(0.001)
                outcome = await forwarder.serve(make_job(now, 20.0, prompt))
                tasks.cancel_scope.cancel()
            self.seconds = anyio.current_time() - now
            if isinstance(outcome, Flow):
                await outcome.close()
            return outcome

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    async def stop(self, at: float, left: float) -> None:
        await anyio.sleep(at)
        self.gateway.others = self.others
        self.gateway.begin_drain(anyio.current_time() + left)

    def check_refused(self, outcome: Outcome) -> None:
        assert isinstance(outcome, Failure)
        self.assertEqual((outcome.kind, outcome.ran), (FailureKind.DRAINING, Ran.NO))
        self.assertEqual(outcome.retry_after, 0.0)

    def test_what_fits_is_served_to_the_last(self) -> None:
        self.dispatcher.replies = [WHOLE]
        self.assertEqual(self.serve(Repeat.ONCE, stop_at=0.0, left=0.5), WHOLE)
        self.dispatcher.replies = [FakeStream(1, 3)]
        self.assertIsInstance(self.serve(Repeat.STREAM, stop_at=0.0, left=1.5, most=48), Flow)

    def test_what_does_not_fit_is_refused_at_once_and_reaches_no_upstream(self) -> None:
        for repeat, most in ((Repeat.STREAM, 2000), (Repeat.ONCE, 0), (Repeat.IDEMPOTENT, 0)):
            with self.subTest(repeat):
                self.check_refused(self.serve(repeat, stop_at=0.0, left=0.3, most=most))
                self.assertEqual(self.dispatcher.attempts, [])
                self.assertLess(self.seconds, 0.01)

    def test_where_no_other_gateway_takes_clients_they_come_back_after_the_restart(self) -> None:
        self.others = False
        outcome = self.serve(Repeat.STREAM, stop_at=0.0, left=7.3, most=2000)
        assert isinstance(outcome, Failure)
        self.assertEqual(outcome.retry_after, round(7.299 + GATEWAY_RESTART_SECONDS, 2))

    def test_what_waits_when_the_process_ends_is_told_that_it_may_have_run(self) -> None:
        # It came before the signal; an upstream that does not answer would be borne for 20 s.
        self.dispatcher.on_send = anyio.sleep_forever
        for repeat, most in ((Repeat.STREAM, 2000), (Repeat.ONCE, 0), (Repeat.IDEMPOTENT, 0)):
            with self.subTest(repeat):
                outcome = self.serve(repeat, stop_at=1.0, left=7.3, most=most)
                assert isinstance(outcome, Failure)
                self.assertEqual((outcome.kind, outcome.ran), (FailureKind.DRAINING, Ran.UNKNOWN))
                self.assertAlmostEqual(self.seconds, 8.3, delta=0.01)
                # The upstream is not to blame.
                self.assertEqual(self.gateway.list_loads(), ())

    def test_a_stream_that_begins_too_late_to_end_is_not_begun(self) -> None:
        self.dispatcher.on_send = anyio.sleep_forever
        outcome = self.serve(Repeat.STREAM, stop_at=0.0, left=5.0, most=200)
        assert isinstance(outcome, Failure)
        self.assertEqual((outcome.kind, outcome.ran), (FailureKind.DRAINING, Ran.UNKNOWN))
        # 200 tokens take 3.6 s at the worst; so it must begin within 1.4 s.
        self.assertAlmostEqual(self.seconds, 1.4, delta=0.01)

    def test_what_no_upstream_ran_before_the_signal_is_refused_as_not_run(self) -> None:
        async def wait() -> None:
            await anyio.sleep(2.0)

        self.dispatcher.on_send = wait
        self.dispatcher.replies = [NotRun("full"), FakeStream(1, 3)]
        self.check_refused(self.serve(Repeat.STREAM, stop_at=1.0, left=7.3, most=2000))
        self.assertEqual(len(self.dispatcher.attempts), 1)

    def test_a_drain_that_is_over_early_takes_nothing_more(self) -> None:
        async def main() -> float:
            gateway: Gateway = make_gateway(self.dispatcher, None, 0.0)
            gateway.begin_drain(anyio.current_time() + 7.3)
            gateway.end_drain()
            return gateway.ends_at - anyio.current_time()

        left = trio.run(main, clock=trio.testing.MockClock())
        self.assertFalse(estimate_need(make_config(Repeat.ONCE).routes[0], None, 1.0).fits(left))


if __name__ == "__main__":
    unittest.main()
