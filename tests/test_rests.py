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

import anyio

from daleroad.backpressure import Backpressure
from daleroad.dispatch import Whole
from daleroad.forwarding import Outcome
from daleroad.gateway import Gateway
from daleroad.notices import PlaceAnswer, PlaceRequest
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


class LeavingTest(unittest.TestCase):
    def test_one_that_says_in_an_answer_that_it_leaves_gets_no_more(self) -> None:
        odd = StandIn(0, leaving=True)
        outcomes = play_beside(odd, Repeat.IDEMPOTENT, 3.0)
        self.assertLessEqual(odd.count_late(LATE_SECONDS), 0)
        self.assertEqual(count_served(outcomes), len(outcomes))


if __name__ == "__main__":
    unittest.main()
