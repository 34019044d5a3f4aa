"""Tests that an upstream which asks for rest, or says that it leaves, is sent no more.

What callers saw: one of three upstreams turned away all that it got and asked each gateway for 3 s
of rest. Each gateway went on: an upstream that turns all away has nothing to do, so it looked like
the best choice, and drew 12 to 17 requests a second. They went on to another upstream, late, and
some met a failure there that was final then.

Evidence: the log of a gateway that was told at 6.1 s has 7 more requests to that upstream within
6 s, each turned away; nothing in the source read the word.
"""

import unittest
from collections.abc import Callable
from dataclasses import replace

import anyio

from daleroad.backpressure import Backpressure, Rests
from daleroad.dispatch import Attempt, CopyFault, NotCopied, NotRun, Source, Whole
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.forwarding import Outcome
from daleroad.gateway import Gateway
from daleroad.instances import InstanceState, Sighting
from daleroad.notices import PlaceAnswer, PlaceRequest, UpstreamNotice
from daleroad.ratelimits import LIFT_SECONDS
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
from tests.test_spreading import Sites, run_sites

FEW = 4
"""Gateways, few enough that each sends several requests while an upstream rests."""

REST_SECONDS = 3.0
LATE_SECONDS = 0.5
MOST_LATE = 2
"""What the platform allows from a while after an upstream asked for rest."""


def play_beside(odd: StandIn, repeat: Repeat, seconds: float) -> list[Outcome]:
    """Send requests to gateways that have two sound upstreams beside an odd one."""
    outcomes: list[Outcome] = []

    async def main() -> None:
        upstreams = [odd, StandIn(1), StandIn(2)]
        async with anyio.create_task_group() as tasks, run_upstreams(tasks, upstreams):
            gateways = Gateways(tasks, (), repeat, FEW)
            tasks.start_soon(tell_alone, gateways, upstreams)
            await anyio.sleep(0.1)
            outcomes.extend(await send_all(gateways, seconds))
            await gateways.close()
            tasks.cancel_scope.cancel()

    anyio.run(main)
    return outcomes


def has_left(gateway: Gateway, instance_id: str) -> bool:
    known = gateway.fleet.get(instance_id)
    return known is not None and known.state is InstanceState.LEAVING


def count_served(outcomes: list[Outcome]) -> int:
    return sum(isinstance(outcome, Whole) and outcome.status == 200 for outcome in outcomes)


class RestTest(unittest.TestCase):
    def test_one_that_asked_for_rest_gets_nothing_for_so_long(self) -> None:
        for repeat in (Repeat.IDEMPOTENT, Repeat.ONCE):
            odd = StandIn(0, rest=REST_SECONDS)
            outcomes = play_beside(odd, repeat, REST_SECONDS)
            self.assertLessEqual(odd.count_late(LATE_SECONDS), MOST_LATE)
            self.assertEqual(count_served(outcomes), len(outcomes))

    def play(self, body: Callable, replies: int = 4) -> None:
        async def main() -> None:
            config = make_config(Repeat.ONCE, attempts=2, engine=True)
            dispatcher = FakeDispatcher(*[WHOLE] * replies)
            gateway = make_gateway(dispatcher, config, anyio.current_time())
            await body(gateway, dispatcher)

        anyio.run(main)

    def test_the_process_that_places_for_all_is_told_and_its_word_is_not_taken(self) -> None:
        async def body(gateway: Gateway, dispatcher: FakeDispatcher) -> None:
            asked: list[PlaceRequest] = []

            async def name(question: PlaceRequest) -> PlaceAnswer:
                asked.append(question)
                return PlaceAnswer("i2")

            gateway.chooser.ask_place = name
            gateway.chooser.gateways = 2
            gateway.note_backpressure(make_instance(2), Backpressure(rest=REST_SECONDS))
            job = make_job(anyio.current_time(), prompt=PROMPT)
            self.assertIsInstance(await make_forwarder(gateway).serve(job), Whole)
            self.assertIn("i2", asked[0].excluded)
            self.assertNotEqual(dispatcher.attempts[0].instance.id, "i2")

        self.play(body)

    def test_it_is_used_again_when_its_rest_is_over(self) -> None:
        async def body(gateway: Gateway, dispatcher: FakeDispatcher) -> None:
            gateway.note_backpressure(make_instance(2), Backpressure(rest=0.05))
            attempt = Attempt(make_job(0.0), make_instance(2), "", 1.0)
            refused = await gateway.dispatcher.send(attempt)
            assert isinstance(refused, NotRun)
            self.assertTrue(refused.held)
            await anyio.sleep(0.06)
            self.assertIsInstance(await gateway.dispatcher.send(attempt), Whole)

        self.play(body)

    def test_one_that_started_again_just_before_it_asked_rests_too(self) -> None:
        """Its answer comes before the news of its start, so its rest is told of the start before.

        Seen in a soak: started again, 0.2 s later it asked for a second of rest; the gateway heard
        of the start 0.3 s after that, took it for one that had asked nothing, and sent it three.
        """

        async def body(gateway: Gateway, dispatcher: FakeDispatcher) -> None:
            known = replace(make_instance(2), id="i2@1", name="i2", born=1)
            gateway.fleet.note(Sighting(known, 0.0), anyio.current_time())
            gateway.note_backpressure(known, Backpressure(rest=REST_SECONDS))
            younger = replace(known, id="i2@2", born=2)
            gateway.note_changes(gateway.fleet.note(Sighting(younger, 0.0), anyio.current_time()))
            service = gateway.get_service("s")
            assert service is not None
            left = {c.instance.id for c in gateway.chooser.list_candidates(service, 10, ())}
            self.assertEqual(left, {"i1", "i3"})
            attempt = Attempt(make_job(0.0), younger, "", 1.0)
            self.assertIsInstance(await gateway.dispatcher.send(attempt), NotRun)

        self.play(body)

    def test_the_longest_rest_that_was_asked_for_counts(self) -> None:
        rests = Rests()
        self.assertTrue(rests.note("i", 3.0, 10.0))
        self.assertFalse(rests.note("i", 0.0, 10.5))
        self.assertFalse(rests.note("i", 1.0, 11.0))
        self.assertTrue(rests.is_resting("i", 12.9))
        self.assertEqual((rests.count(12.9), rests.count(13.0)), (1, 0))
        self.assertFalse(rests.is_resting("i", 13.0))
        self.assertTrue(rests.note("i", 1.0, 14.0))

    def test_no_stream_goes_on_or_is_copied_there(self) -> None:
        async def body(gateway: Gateway, dispatcher: FakeDispatcher) -> None:
            gateway.note_backpressure(make_instance(2), Backpressure(rest=REST_SECONDS))
            job = make_job(0.0, prompt=PROMPT)
            source = Source("10.0.0.1:1", "h", "3")
            moved = Attempt(job, make_instance(2), "", 1.0, source=source)
            self.assertIsInstance(await gateway.dispatcher.send(moved), NotRun)
            copied = await gateway.dispatcher.copy(job, make_instance(1), make_instance(2), True)
            assert isinstance(copied, NotCopied)
            self.assertIs(copied.fault, CopyFault.NO_ROOM)
            backed = Attempt(job, make_instance(1), "", 1.0, backup=make_instance(2))
            await gateway.dispatcher.send(backed)
            self.assertEqual(
                [(a.instance.id, a.backup) for a in dispatcher.attempts], [("i1", None)]
            )
            service = gateway.get_service("s")
            assert service is not None
            left = {c.instance.id for c in gateway.chooser.list_candidates(service, 10, ())}
            self.assertEqual(left, {"i1", "i3"})

        self.play(body)

    def test_where_all_rest_a_request_is_refused_at_once_as_not_run(self) -> None:
        async def body(gateway: Gateway, dispatcher: FakeDispatcher) -> None:
            for number in (1, 2, 3):
                gateway.note_backpressure(make_instance(number), Backpressure(rest=REST_SECONDS))
            answer = await make_forwarder(gateway).serve(make_job(anyio.current_time()))
            assert isinstance(answer, Failure)
            self.assertEqual((answer.kind, answer.ran), (FailureKind.NO_UPSTREAM, Ran.NO))
            self.assertEqual(dispatcher.attempts, [])

        self.play(body)


class LeavingTest(unittest.TestCase):
    def test_its_streams_begin_to_move_and_the_coordinators_are_told(self) -> None:
        async def main() -> None:
            config = make_config(Repeat.STREAM, engine=True)
            gateway = make_gateway(FakeDispatcher(), config, anyio.current_time())
            moved: list[str] = []
            gateway.on_leaving = lambda instance: moved.append(instance.id)
            for _ in range(2):
                gateway.note_backpressure(make_instance(2), Backpressure(leaving=True))
            self.assertEqual(moved, ["i2"])
            self.assertEqual(gateway.list_upstream_news(0), (UpstreamNotice("i2", None, True),))
            fresh = Attempt(make_job(0.0), make_instance(2), "", 1.0)
            self.assertIsInstance(await gateway.dispatcher.send(fresh), NotRun)

        anyio.run(main)

    def test_all_gateways_hear_of_limits_and_leaves_that_one_was_told(self) -> None:
        async def body(sites: Sites, names: list[str]) -> None:
            gateways = sites.add(FEW)
            for number in (1, 2):
                for coordinator, _, _ in sites.site.running.values():
                    sighting = Sighting(make_instance(number), 0.0)
                    coordinator.presence.fleet.note(sighting, anyio.current_time())
            await wait_for(lambda: all(g.fleet.count() == 2 for g in gateways))
            gateways[0].note_backpressure(make_instance(1), Backpressure(limit=2.5))
            gateways[1].note_backpressure(make_instance(2), Backpressure(leaving=True))
            await wait_for(lambda: all(g.fleet.get_rate_limit("i1") == 2.5 for g in gateways))
            await wait_for(lambda: all(has_left(g, "i2") for g in gateways))
            await anyio.sleep(LIFT_SECONDS)
            gateways[3].note_backpressure(make_instance(1), Backpressure())
            await wait_for(lambda: all(g.fleet.get_rate_limit("i1") is None for g in gateways))
            sites.end_all()

        run_sites(body)

    def test_one_that_says_in_an_answer_that_it_leaves_gets_no_more(self) -> None:
        odd = StandIn(0, leaving=True)
        outcomes = play_beside(odd, Repeat.IDEMPOTENT, 3.0)
        self.assertLessEqual(odd.count_late(LATE_SECONDS), 0)
        self.assertEqual(count_served(outcomes), len(outcomes))


if __name__ == "__main__":
    unittest.main()
