"""Tests that gateways send nothing to upstreams that ask for backoff or report that they leave.

Guards against load balancing that prefers an upstream because it rejects all requests and so has
no load.
"""

import unittest
from collections.abc import Callable
from dataclasses import replace

import anyio

from daleroad.backpressure import Backpressure, UpstreamBackoffs
from daleroad.dispatch import Attempt, CopyFault, CopySource, NotCopied, NotRun, Whole
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.forwarding import Outcome
from daleroad.gateway import Gateway
from daleroad.instances import InstanceState, Sighting
from daleroad.notices import PlaceAnswer, PlaceRequest, UpstreamNotice
from daleroad.ratelimits import MIN_LIFT_DELAY_SECONDS
from daleroad.routing import Repeat
from tests.fakes import (
    PROMPT,
    WHOLE,
    FakeDispatcher,
    make_config,
    make_forwarder,
    make_gateway,
    make_instance,
    make_job,
)
from tests.standins import Gateways, StandIn, run_upstreams, send_all, tell_alone
from tests.test_coordinator import wait_for
from tests.test_heldrequests import WatchedSite, run_watched_site

GATEWAY_COUNT = 4
"""Number of gateways, so few that each sends several requests during the backoff."""

BACKOFF_SECONDS = 3.0
MAX_DELAY_SECONDS = 0.5
MAX_LATE_REQUESTS = 2
"""Requests that one gateway may still send later than MAX_DELAY_SECONDS into the backoff."""


def send_with_normal_upstreams(upstream: StandIn, repeat: Repeat, seconds: float) -> list[Outcome]:
    """Send requests to gateways that have two normal upstreams and the given one."""
    outcomes: list[Outcome] = []

    async def main() -> None:
        upstreams = [upstream, StandIn(1), StandIn(2)]
        async with anyio.create_task_group() as tasks, run_upstreams(tasks, upstreams):
            gateways = Gateways(tasks, (), repeat, GATEWAY_COUNT)
            tasks.start_soon(tell_alone, gateways, upstreams)
            await anyio.sleep(0.1)
            outcomes.extend(await send_all(gateways, seconds))
            await gateways.close()
            tasks.cancel_scope.cancel()

    anyio.run(main)
    return outcomes


def is_leaving(gateway: Gateway, instance_id: str) -> bool:
    known = gateway.fleet.get(instance_id)
    return known is not None and known.state is InstanceState.LEAVING


def count_served(outcomes: list[Outcome]) -> int:
    return sum(isinstance(outcome, Whole) and outcome.status == 200 for outcome in outcomes)


class BackoffTest(unittest.TestCase):
    def test_upstream_gets_nothing_during_backoff(self) -> None:
        for repeat in (Repeat.IDEMPOTENT, Repeat.ONCE):
            upstream = StandIn(0, rest=BACKOFF_SECONDS)
            outcomes = send_with_normal_upstreams(upstream, repeat, BACKOFF_SECONDS)
            self.assertLessEqual(upstream.count_late(MAX_DELAY_SECONDS), MAX_LATE_REQUESTS)
            self.assertEqual(count_served(outcomes), len(outcomes))

    def run_body(self, body: Callable, replies: int = 4) -> None:
        async def main() -> None:
            config = make_config(Repeat.ONCE, attempts=2, engine=True)
            dispatcher = FakeDispatcher(*[WHOLE] * replies)
            gateway = make_gateway(dispatcher, config, anyio.current_time())
            await body(gateway, dispatcher)

        anyio.run(main)

    def test_backing_off_upstream_is_excluded_and_refused_from_leader(self) -> None:
        async def body(gateway: Gateway, dispatcher: FakeDispatcher) -> None:
            asked: list[PlaceRequest] = []

            async def answer_place(question: PlaceRequest) -> PlaceAnswer:
                asked.append(question)
                return PlaceAnswer("i2")

            gateway.selector.request_placement = answer_place
            gateway.selector.gateways = 2
            gateway.apply_backpressure(
                make_instance(2), Backpressure(backoff_seconds=BACKOFF_SECONDS)
            )
            job = make_job(anyio.current_time(), prompt=PROMPT)
            self.assertIsInstance(await make_forwarder(gateway).serve(job), Whole)
            self.assertIn("i2", asked[0].excluded)
            self.assertNotEqual(dispatcher.attempts[0].instance.id, "i2")

        self.run_body(body)

    def test_upstream_is_used_again_after_backoff(self) -> None:
        async def body(gateway: Gateway, dispatcher: FakeDispatcher) -> None:
            gateway.apply_backpressure(make_instance(2), Backpressure(backoff_seconds=0.05))
            attempt = Attempt(make_job(0.0), make_instance(2), "", 1.0)
            reply = await gateway.dispatcher.send(attempt)
            assert isinstance(reply, NotRun)
            self.assertTrue(reply.held)
            await anyio.sleep(0.06)
            self.assertIsInstance(await gateway.dispatcher.send(attempt), Whole)

        self.run_body(body)

    def test_backoff_survives_late_notice_of_restart(self) -> None:
        """Guards against a lost backoff when the answer comes before the notice of the restart.

        The backoff is then recorded for the instance before the restart.
        """

        async def body(gateway: Gateway, dispatcher: FakeDispatcher) -> None:
            before_restart = replace(make_instance(2), id="i2@1", name="i2", born=1)
            gateway.fleet.note(Sighting(before_restart, 0.0), anyio.current_time())
            gateway.apply_backpressure(
                before_restart, Backpressure(backoff_seconds=BACKOFF_SECONDS)
            )
            after_restart = replace(before_restart, id="i2@2", born=2)
            gateway.apply_instance_changes(
                gateway.fleet.note(Sighting(after_restart, 0.0), anyio.current_time())
            )
            service = gateway.get_service("s")
            assert service is not None
            candidates = {c.instance.id for c in gateway.selector.list_candidates(service, 10, ())}
            self.assertEqual(candidates, {"i1", "i3"})
            attempt = Attempt(make_job(0.0), after_restart, "", 1.0)
            self.assertIsInstance(await gateway.dispatcher.send(attempt), NotRun)

        self.run_body(body)

    def test_longest_backoff_counts(self) -> None:
        rests = UpstreamBackoffs()
        self.assertTrue(rests.record("i", 3.0, 10.0))
        self.assertFalse(rests.record("i", 0.0, 10.5))
        self.assertFalse(rests.record("i", 1.0, 11.0))
        self.assertTrue(rests.is_backing_off("i", 12.9))
        self.assertEqual((rests.count_active(12.9), rests.count_active(13.0)), (1, 0))
        self.assertFalse(rests.is_backing_off("i", 13.0))
        self.assertTrue(rests.record("i", 1.0, 14.0))

    def test_no_stream_resumes_or_is_copied_during_backoff(self) -> None:
        async def body(gateway: Gateway, dispatcher: FakeDispatcher) -> None:
            gateway.apply_backpressure(
                make_instance(2), Backpressure(backoff_seconds=BACKOFF_SECONDS)
            )
            job = make_job(0.0, prompt=PROMPT)
            source = CopySource("10.0.0.1:1", "h", "3")
            resumed = Attempt(job, make_instance(2), "", 1.0, source=source)
            self.assertIsInstance(await gateway.dispatcher.send(resumed), NotRun)
            copied = await gateway.dispatcher.copy(job, make_instance(1), make_instance(2), True)
            assert isinstance(copied, NotCopied)
            self.assertIs(copied.fault, CopyFault.NO_ROOM)
            with_backup = Attempt(job, make_instance(1), "", 1.0, backup=make_instance(2))
            await gateway.dispatcher.send(with_backup)
            self.assertEqual(
                [(a.instance.id, a.backup) for a in dispatcher.attempts], [("i1", None)]
            )
            service = gateway.get_service("s")
            assert service is not None
            candidates = {c.instance.id for c in gateway.selector.list_candidates(service, 10, ())}
            self.assertEqual(candidates, {"i1", "i3"})

        self.run_body(body)

    def test_request_is_refused_as_not_run_when_all_back_off(self) -> None:
        async def body(gateway: Gateway, dispatcher: FakeDispatcher) -> None:
            for number in (1, 2, 3):
                gateway.apply_backpressure(
                    make_instance(number), Backpressure(backoff_seconds=BACKOFF_SECONDS)
                )
            answer = await make_forwarder(gateway).serve(make_job(anyio.current_time()))
            assert isinstance(answer, Failure)
            self.assertEqual((answer.kind, answer.ran), (FailureKind.NO_UPSTREAM, Ran.NO))
            self.assertEqual(dispatcher.attempts, [])

        self.run_body(body)


class LeavingTest(unittest.TestCase):
    def test_leaving_moves_streams_and_is_reported_to_coordinators(self) -> None:
        async def main() -> None:
            config = make_config(Repeat.STREAM, engine=True)
            gateway = make_gateway(FakeDispatcher(), config, anyio.current_time())
            moved: list[str] = []
            gateway.on_leaving = lambda instance: moved.append(instance.id)
            for _ in range(2):
                gateway.apply_backpressure(make_instance(2), Backpressure(leaving=True))
            self.assertEqual(moved, ["i2"])
            self.assertEqual(gateway.list_upstream_notices(0), (UpstreamNotice("i2", None, True),))
            attempt = Attempt(make_job(0.0), make_instance(2), "", 1.0)
            self.assertIsInstance(await gateway.dispatcher.send(attempt), NotRun)

        anyio.run(main)

    def test_limits_and_leaving_reach_all_gateways(self) -> None:
        async def body(sites: WatchedSite, names: list[str]) -> None:
            gateways = sites.add(GATEWAY_COUNT)
            for number in (1, 2):
                for coordinator, _, _ in sites.site.running.values():
                    sighting = Sighting(make_instance(number), 0.0)
                    coordinator.presence.fleet.note(sighting, anyio.current_time())
            await wait_for(lambda: all(g.fleet.count() == 2 for g in gateways))
            gateways[0].apply_backpressure(
                make_instance(1), Backpressure(max_requests_per_second=2.5)
            )
            gateways[1].apply_backpressure(make_instance(2), Backpressure(leaving=True))
            await wait_for(lambda: all(g.fleet.get_rate_limit("i1") == 2.5 for g in gateways))
            await wait_for(lambda: all(is_leaving(g, "i2") for g in gateways))
            await anyio.sleep(MIN_LIFT_DELAY_SECONDS)
            gateways[3].apply_backpressure(make_instance(1), Backpressure())
            await wait_for(lambda: all(g.fleet.get_rate_limit("i1") is None for g in gateways))
            sites.end_all()

        run_watched_site(body)

    def test_upstream_that_reports_leaving_gets_no_more(self) -> None:
        upstream = StandIn(0, leaving=True)
        outcomes = send_with_normal_upstreams(upstream, Repeat.IDEMPOTENT, 3.0)
        self.assertLessEqual(upstream.count_late(MAX_DELAY_SECONDS), 0)
        self.assertEqual(count_served(outcomes), len(outcomes))


if __name__ == "__main__":
    unittest.main()
