"""Tests of draining gateways: which requests they accept, and that each one gets a response.

Guards against streams that are accepted after SIGTERM, from clients with an older lookup, and then
cut when the process exits because too little time was left.
"""

import sys
import unittest
from contextlib import suppress
from dataclasses import dataclass, replace
from pathlib import Path
from unittest.mock import patch

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

from daleroad.channels import ChannelCalls  # noqa: E402
from daleroad.defaults import (  # noqa: E402
    GATEWAY_RESTART_SECONDS,
    LAST_ANSWER_SECONDS,
    LOOKUP_TTL_SECONDS,
)
from daleroad.dispatch import Lost, NotRun, Prompt  # noqa: E402
from daleroad.draining import estimate_duration, find_retry_after, should_accept  # noqa: E402
from daleroad.errors import Failure, FailureKind, Ran  # noqa: E402
from daleroad.forwarding import Forwarder, Outcome, StreamResponse  # noqa: E402
from daleroad.instances import Sighting  # noqa: E402
from daleroad.metrics import Metrics, RequestMetrics  # noqa: E402
from daleroad.migration import EngineMigrator  # noqa: E402
from daleroad.routing import Repeat, RoutingConfig  # noqa: E402
from daleroad.runs import StreamEnd, StreamRegistry  # noqa: E402
from tests.fakes import (  # noqa: E402
    WHOLE,
    FakeDispatcher,
    FakeStream,
    make_config,
    make_gateway,
    make_instance,
    make_job,
)

IP = "127.0.3.7"
GRACE_SECONDS = 2.7
TOKEN_SECONDS = 0.018
"""Longest pause that the route allows; each event is one token in these tests."""

EVENT_SECONDS = 0.05
LONG_EVENTS = 200


@dataclass(frozen=True)
class Answer:
    """The response that a client received, and when it ended."""

    status: int
    headers: dict[str, str]
    whole: bool
    ended_at: float


class PacedStream(FakeStream):
    """A stream with a pause before each event."""

    async def events(self):
        async for piece in super().events():
            await anyio.sleep(EVENT_SECONDS)
            yield piece


def make_slow_config(repeat: Repeat = Repeat.STREAM) -> RoutingConfig:
    """Return a configuration with one route that has a long timeout."""
    config = make_config(repeat, engine=repeat is Repeat.STREAM)
    route = replace(config.routes[0], timeout=39.0, pause=TOKEN_SECONDS)
    return replace(config, routes=(route,))


class DrainingGatewayTest(unittest.TestCase):
    def setUp(self) -> None:
        self.dispatcher = FakeDispatcher()
        self.lookup_seconds = 5.0
        self.stopped_at = 0.0

    async def run_gateway(self, tasks: TaskGroup, stopping: anyio.Event) -> GatewayProcess:
        """Start a gateway with three upstreams; return it once it accepts connections."""
        listen = {"frontend": f"{IP}:18742", "readiness": f"{IP}:18749"}
        raw = {"node_name": "n", "ip": IP, "zone": "z", "region": "r", "listen": listen}
        bounds = {"grace_s": GRACE_SECONDS, "ttl_max_s": self.lookup_seconds}
        raw |= {"internal_ports": [17200, 17215], "bounds": bounds}
        process = GatewayProcess(read_node(raw), ChannelCalls("secret"), 19465)
        process.gateway.dispatcher = self.dispatcher
        process.gateway.replace_config(make_slow_config())
        for number in (1, 2, 3):
            sighting = Sighting(make_instance(number), 0.0)
            process.gateway.fleet.note(sighting, anyio.current_time())
        tasks.start_soon(process.run, tasks, stopping)
        while True:
            try:
                await (await anyio.connect_tcp(IP, 18742)).aclose()
                return process
            except OSError:
                await anyio.sleep(0.02)

    async def ask(self, most_output: int) -> Answer:
        """Send one prompt on a new connection and read its response to the end."""
        headers = {
            wire.ATTEMPT_ID.decode(): "a1",
            wire.TOKENS.decode(): f"3000,{most_output}",
            wire.DEADLINE.decode(): "39000",
            "host": "h",
        }
        answer = Answer(0, {}, False, 0.0)
        with suppress(httpx.TransportError):
            async with (
                httpx.AsyncClient(timeout=20) as client,
                client.stream("POST", f"http://{IP}:18742/x", headers=headers) as found,
            ):
                answer = Answer(found.status_code, dict(found.headers), False, 0.0)
                async for _ in found.aiter_raw():
                    pass
                answer = replace(answer, whole=True)
        return replace(answer, ended_at=anyio.current_time())

    def request_stream(
        self, stream: FakeStream, most_output: int, *, after: float | None
    ) -> Answer:
        """Request one stream ``after`` seconds into a drain, or before the drain if ``None``."""
        self.dispatcher.replies = [stream]
        found: list[Answer] = []

        async def main() -> None:
            stopping = anyio.Event()
            async with anyio.create_task_group() as tasks:
                process = await self.run_gateway(tasks, stopping)

                async def stop() -> None:
                    while after is None and not self.dispatcher.attempts:
                        await anyio.sleep(0.01)
                    self.stopped_at = anyio.current_time()
                    await process.drain()
                    stopping.set()

                async def send_request() -> None:
                    await anyio.sleep(after or 0.0)
                    found.append(await self.ask(most_output))

                async with anyio.create_task_group() as both:
                    both.start_soon(stop)
                    both.start_soon(send_request)
                tasks.cancel_scope.cancel()

        anyio.run(main)
        return found[0]

    def test_long_generation_after_the_signal_is_refused(self) -> None:
        answer = self.request_stream(PacedStream(1, LONG_EVENTS), 2216, after=GRACE_SECONDS / 3)
        self.assertEqual((answer.status, answer.whole), (503, True))
        self.assertEqual(answer.headers["retry-after"], "0")
        self.assertEqual(answer.headers["connection"], "close")
        self.assertEqual(self.dispatcher.attempts, [])

    def test_short_generation_after_the_signal_is_complete(self) -> None:
        answer = self.request_stream(PacedStream(1, 4), 16, after=0.2)
        self.assertEqual((answer.status, answer.whole), (200, True))
        self.assertEqual(answer.headers["connection"], "close")

    def test_short_generation_too_close_to_the_exit_is_refused(self) -> None:
        # 120 tokens and two objectives are estimated at 2.56 s; 2.1 of 2.3 s are left.
        answer = self.request_stream(PacedStream(1, 4), 120, after=0.2)
        self.assertEqual((answer.status, answer.whole), (503, True))

    def test_drain_waits_for_a_stream_that_ends_in_time(self) -> None:
        # Without open requests the drain would end after 0.45 s.
        self.lookup_seconds = 0.05
        answer = self.request_stream(PacedStream(1, 24), 96, after=None)
        self.assertEqual((answer.status, answer.whole), (200, True))

    def test_drain_that_ended_early_accepts_no_requests(self) -> None:
        self.lookup_seconds = 0.05
        self.dispatcher.replies = [PacedStream(1, 4)]
        found: list[Answer] = []

        async def main() -> None:
            stopping = anyio.Event()
            async with anyio.create_task_group() as tasks:
                process = await self.run_gateway(tasks, stopping)
                await process.drain()
                found.append(await self.ask(16))
                stopping.set()
                tasks.cancel_scope.cancel()

        anyio.run(main)
        self.assertEqual((found[0].status, found[0].whole), (503, True))
        self.assertEqual(self.dispatcher.attempts, [])

    def test_stream_cut_by_the_exit_is_logged_as_such(self) -> None:
        with patch("daleroad.runs.log_event") as log:
            answer = self.request_stream(PacedStream(1, LONG_EVENTS), 2216, after=None)
        self.assertEqual((answer.status, answer.whole), (200, False))
        self.assertGreater(answer.ended_at - self.stopped_at, GRACE_SECONDS - 0.7)
        self.assertLess(answer.ended_at - self.stopped_at, GRACE_SECONDS)
        self.assertEqual(log.call_args.kwargs["outcome"], StreamEnd.STOP.value)


class AdmissionTest(unittest.TestCase):
    """Accept or refuse, by the time left, the route and the expected length of the response."""

    short, long = Prompt((), 2200, 48), Prompt((), 3000, 2216)

    def takes(
        self,
        repeat: Repeat,
        prompt: Prompt | None,
        *,
        objective: float,
        allowed: float,
        left: float,
        back: float = 0.0,
    ) -> bool:
        route = replace(make_config(repeat).routes[0], objective=objective, pause=0.18)
        return should_accept(estimate_duration(route, prompt, 4), left, allowed, back)

    def test_stream_is_accepted_if_its_longest_output_ends_in_time(self) -> None:
        cases = [
            # prompt, objective, seconds to the client's deadline, seconds left, accepted
            (self.long, 1.8, 39.0, 7.6, False),
            # A pause of 0.18 s before each event of four tokens, for 2,216 tokens.
            (self.long, 1.8, 110.0, 103.0, False),
            (self.long, 1.8, 110.0, 104.0, True),
            (self.short, 1.5, 6.0, 7.6, True),
            (self.short, 1.5, 6.0, 5.2, True),
            (self.short, 1.5, 6.0, 5.1, False),
            # A stream of unknown length may last until the client's deadline.
            (None, 1.5, 6.0, 6.1, True),
            (None, 1.5, 6.0, 5.9, False),
            # So may a response on a route without an objective.
            (self.short, 0.0, 6.0, 5.9, False),
            # No request lasts longer than until the client's deadline.
            (self.long, 1.8, 1.0, 1.1, True),
        ]
        for prompt, objective, allowed, left, accepted in cases:
            with self.subTest(prompt=prompt, allowed=allowed, left=left):
                found = self.takes(
                    Repeat.STREAM, prompt, objective=objective, allowed=allowed, left=left
                )
                self.assertIs(found, accepted)

    def test_stream_estimate_follows_the_pause_limit_of_the_route(self) -> None:
        # Guards against streams that are slower than a fixed time per token, accepted and then cut.
        route = make_config(Repeat.STREAM).routes[0]
        for pause, event_tokens, seconds in ((0.18, 1, 8.64), (0.18, 4, 2.16), (0.0, 4, 0.864)):
            with self.subTest(pause=pause, event_tokens=event_tokens):
                need = estimate_duration(replace(route, pause=pause), self.short, event_tokens)
                self.assertAlmostEqual(need.to_end, seconds)

    def test_request_without_a_stream_is_accepted_if_two_objectives_are_left(self) -> None:
        cases = [(0.2, 1.5, 0.5, True), (0.2, 1.5, 0.3, False), (2.0, 1.0, 1.1, True)]
        cases += [(0.0, 1.5, 1.4, False), (0.0, 1.5, 1.6, True), (0.2, 1.5, 0.0, False)]
        for repeat in (Repeat.ONCE, Repeat.IDEMPOTENT):
            for objective, allowed, left, accepted in cases:
                with self.subTest(repeat=repeat, objective=objective, left=left):
                    found = self.takes(
                        repeat, None, objective=objective, allowed=allowed, left=left
                    )
                    self.assertIs(found, accepted)

    def test_request_that_cannot_be_retried_is_accepted_at_typical_duration(self) -> None:
        short = {"objective": 1.5, "allowed": 6.0}
        # Clients wait before a retry for up to a third of their six seconds.
        self.assertFalse(self.takes(Repeat.STREAM, self.short, left=3.0, back=1.9, **short))
        self.assertTrue(self.takes(Repeat.STREAM, self.short, left=3.0, back=2.1, **short))
        self.assertFalse(self.takes(Repeat.STREAM, self.short, left=1.9, back=2.1, **short))
        long = {"objective": 1.8, "allowed": 39.0, "left": 7.6, "back": 14.0}
        self.assertFalse(self.takes(Repeat.STREAM, self.long, **long))
        self.assertFalse(self.takes(Repeat.STREAM, None, **long))

    def test_retry_after_depends_on_the_other_gateways(self) -> None:
        self.assertEqual(find_retry_after(7.0, others=6, gateways=12), 0.0)
        self.assertEqual(find_retry_after(7.0, others=5, gateways=12), LOOKUP_TTL_SECONDS)
        self.assertEqual(
            find_retry_after(7.0, others=0, gateways=12), 7.0 + GATEWAY_RESTART_SECONDS
        )
        self.assertEqual(find_retry_after(-1.0, others=0, gateways=1), GATEWAY_RESTART_SECONDS)


class DrainingForwarderTest(unittest.TestCase):
    """Requests of each kind during a drain, in virtual time."""

    def setUp(self) -> None:
        self.dispatcher = FakeDispatcher()
        self.others = 1
        self.failed_ids: list[str] = []

    def serve(
        self,
        repeat: Repeat,
        *,
        stop_at: float,
        left: float,
        most: int = 0,
        resumable: bool = False,
    ) -> Outcome:
        """Serve one request; a drain starts at ``stop_at``, with ``left`` seconds to the exit."""

        async def main() -> Outcome:
            now = anyio.current_time()
            config = make_config(repeat, 3, engine=bool(most), resumable=resumable)
            route = replace(config.routes[0], timeout=20.0, pause=TOKEN_SECONDS)
            config = replace(config, routes=(route,))
            self.gateway = make_gateway(self.dispatcher, config, now)
            selector = self.gateway.selector
            selector.record_result = lambda instance, ok: ok or self.failed_ids.append(instance.id)
            runs = StreamRegistry(self.gateway, EngineMigrator(self.gateway))
            forwarder = Forwarder(self.gateway, runs, RequestMetrics(Metrics()))
            prompt = Prompt((), 3000, most) if most else None
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.stop, stop_at, left)
                await anyio.sleep(0.001)
                outcome = await forwarder.serve(make_job(now, 20.0, prompt))
                tasks.cancel_scope.cancel()
            self.seconds = anyio.current_time() - now
            if isinstance(outcome, StreamResponse):
                await outcome.close()
            return outcome

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    async def stop(self, at: float, left: float) -> None:
        await anyio.sleep(at)
        self.gateway.other_gateways = self.others
        self.gateway.begin_drain(anyio.current_time() + left)

    def check_refused(self, outcome: Outcome) -> None:
        assert isinstance(outcome, Failure)
        self.assertEqual((outcome.kind, outcome.ran), (FailureKind.DRAINING, Ran.NO))
        self.assertEqual(outcome.retry_after, 0.0)

    def test_request_that_fits_is_served(self) -> None:
        self.dispatcher.replies = [WHOLE]
        self.assertEqual(self.serve(Repeat.ONCE, stop_at=0.0, left=0.51), WHOLE)
        self.dispatcher.replies = [FakeStream(1, 3)]
        self.assertIsInstance(
            self.serve(Repeat.STREAM, stop_at=0.0, left=1.5, most=48), StreamResponse
        )

    def test_request_that_does_not_fit_is_refused_at_once_without_an_attempt(self) -> None:
        for repeat, most in ((Repeat.STREAM, 2000), (Repeat.ONCE, 0), (Repeat.IDEMPOTENT, 0)):
            with self.subTest(repeat):
                self.check_refused(self.serve(repeat, stop_at=0.0, left=0.3, most=most))
                self.assertEqual(self.dispatcher.attempts, [])
                self.assertLess(self.seconds, 0.01)

    def test_retry_after_covers_the_restart_without_other_gateways(self) -> None:
        self.others = 0
        outcome = self.serve(Repeat.STREAM, stop_at=0.0, left=3.0, most=2000)
        assert isinstance(outcome, Failure)
        left = 2.999 - LAST_ANSWER_SECONDS
        self.assertEqual(outcome.retry_after, round(left + GATEWAY_RESTART_SECONDS, 2))

    def test_request_waiting_at_the_exit_may_have_run(self) -> None:
        # The request arrives before the signal; its own timeout would be 20 s.
        self.dispatcher.on_send = anyio.sleep_forever
        for repeat, most in ((Repeat.STREAM, 2000), (Repeat.ONCE, 0), (Repeat.IDEMPOTENT, 0)):
            with self.subTest(repeat):
                outcome = self.serve(repeat, stop_at=1.0, left=7.3, most=most)
                assert isinstance(outcome, Failure)
                self.assertEqual((outcome.kind, outcome.ran), (FailureKind.DRAINING, Ran.UNKNOWN))
                self.assertAlmostEqual(self.seconds, 8.3 - LAST_ANSWER_SECONDS, delta=0.01)
                self.assertEqual(self.gateway.loads.list_own_loads(), ())
                self.assertEqual(self.failed_ids, [])

    def test_stream_that_would_start_too_late_is_not_started(self) -> None:
        self.dispatcher.on_send = anyio.sleep_forever
        outcome = self.serve(Repeat.STREAM, stop_at=0.0, left=5.0, most=200)
        assert isinstance(outcome, Failure)
        self.assertEqual((outcome.kind, outcome.ran), (FailureKind.DRAINING, Ran.UNKNOWN))
        # 200 tokens typically take 1.8 s, and the last 0.1 s are reserved for sending the failure.
        self.assertAlmostEqual(self.seconds, 3.1, delta=0.01)

    def test_request_refused_by_its_upstream_after_the_signal_did_not_run(self) -> None:
        async def wait() -> None:
            await anyio.sleep(2.0)

        self.dispatcher.on_send = wait
        self.dispatcher.replies = [NotRun("full"), FakeStream(1, 3)]
        self.check_refused(self.serve(Repeat.STREAM, stop_at=1.0, left=7.3, most=2000))
        self.assertEqual(len(self.dispatcher.attempts), 1)

    def test_request_that_may_have_run_is_not_reported_as_not_run(self) -> None:
        async def wait() -> None:
            await anyio.sleep(2.0)

        # The first upstream may have run it; another is tried in the short time that is left.
        self.dispatcher.on_send = wait
        self.dispatcher.replies = [Lost("reset")]
        outcome = self.serve(Repeat.IDEMPOTENT, stop_at=0.0, left=2.2)
        assert isinstance(outcome, Failure)
        self.assertIs(outcome.ran, Ran.UNKNOWN)
        self.assertEqual(len(self.dispatcher.attempts), 2)

    def test_resumable_stream_is_not_restarted_too_late_to_end(self) -> None:
        async def wait() -> None:
            await anyio.sleep(2.0)

        self.dispatcher.on_send = wait
        self.dispatcher.replies = [Lost("reset"), FakeStream(1, 3)]
        outcome = self.serve(Repeat.STREAM, stop_at=1.0, left=7.3, most=2000, resumable=True)
        assert isinstance(outcome, Failure)
        self.assertIs(outcome.ran, Ran.UNKNOWN)
        self.assertEqual(len(self.dispatcher.attempts), 1)

    def test_draining_gateway_is_not_ready(self) -> None:
        self.dispatcher.replies = [WHOLE]
        self.serve(Repeat.ONCE, stop_at=0.0, left=1.0)
        self.assertFalse(self.gateway.is_ready())
        self.assertFalse(self.gateway.make_notice().serving)


if __name__ == "__main__":
    unittest.main()
