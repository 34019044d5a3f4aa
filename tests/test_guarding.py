"""Tests of the one way to upstreams: what counts as an end, and what goes no further."""

import unittest
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import anyio
import trio
import trio.testing

from daleroad.dispatch import Attempt, Lost, NotRun, Reply, Source, Whole
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.gateway import Gateway
from daleroad.instances import Instance, InstanceState, Sighting
from daleroad.routing import Repeat
from daleroad.suspects import HELD_SECONDS, TRIAL_SECONDS, Standing
from tests.fakes import (
    WHOLE,
    FakeDispatcher,
    FakeStream,
    make_config,
    make_forwarder,
    make_gateway,
    make_instance,
    make_job,
)

CUT = Lost("cut")


def run(body: Callable[..., Any], *args: Any) -> Any:
    return trio.run(body, *args, clock=trio.testing.MockClock(autojump_threshold=0))


def make_attempt(number: int, **changes: Any) -> Attempt:
    attempt = Attempt(make_job(anyio.current_time()), make_instance(number), "", 2.0)
    return replace(attempt, **changes)


async def hold(gateway: Gateway) -> None:
    """Let three upstreams end under the request of these tests."""
    for number in (4, 5, 6):
        attempt = make_attempt(number)
        gateway.guard.note_lost(attempt)


class EvidenceTest(unittest.TestCase):
    def judge(
        self, *replies: Reply, meanwhile: Callable[[Gateway, int], None] | None = None
    ) -> Standing:
        """Send a request to upstreams 1, 2 and 3; return its standing then.

        :param meanwhile: what happens while an upstream has the request.
        """

        async def main() -> Standing:
            dispatcher = FakeDispatcher(*replies)
            gateway = make_gateway(dispatcher, make_config(Repeat.ONCE), anyio.current_time())

            async def note() -> None:
                if meanwhile is not None:
                    meanwhile(gateway, len(dispatcher.attempts))

            dispatcher.on_send = note
            for number in range(len(replies)):
                reply = await gateway.dispatcher.send(make_attempt(1 + number))
                if not isinstance(reply, NotRun | Lost | Whole):
                    self.pieces = [piece async for piece in reply.pieces()]
            return gateway.guard.get_standing(make_job(0.0), "")

        return run(main)

    def test_lost_answers_and_cut_streams_count(self) -> None:
        cut = FakeStream(1, 2, cut=True)
        self.assertIs(self.judge(CUT, cut, CUT), Standing.HELD)
        self.assertEqual(len(self.pieces), 3)

    def test_a_stream_counts_at_its_end_only(self) -> None:
        self.assertIs(self.judge(FakeStream(1, 2), CUT, CUT, CUT), Standing.LAST)

    def test_a_stream_without_an_event_is_no_whole_answer(self) -> None:
        self.assertIs(self.judge(CUT, CUT, FakeStream(1, 0)), Standing.LAST)
        self.assertIs(self.judge(CUT, CUT, FakeStream(1, 1)), Standing.CLEAR)

    def test_what_did_not_run_or_failed_there_says_nothing(self) -> None:
        failed = Whole(500, (), b"")
        self.assertIs(self.judge(CUT, CUT, NotRun("full")), Standing.LAST)
        self.assertIs(self.judge(CUT, CUT, failed, NotRun("gone", gone=True)), Standing.LAST)

    def test_a_whole_answer_clears(self) -> None:
        self.assertIs(self.judge(CUT, CUT, WHOLE), Standing.CLEAR)

    def test_an_upstream_that_said_that_it_leaves_has_not_ended_under_a_request(self) -> None:
        for state in (InstanceState.LEAVING, InstanceState.GONE):

            def leave(gateway: Gateway, number: int, state: InstanceState = state) -> None:
                if number == 2:
                    now = anyio.current_time()
                    gateway.fleet.note(Sighting(make_instance(2, state), 0.0), now)

            self.assertIs(self.judge(CUT, CUT, CUT, meanwhile=leave), Standing.LAST)

    def test_one_that_is_back_already_has_ended(self) -> None:
        def restart(gateway: Gateway, number: int) -> None:
            younger = Instance(f"i{number}@9", "s", "10.0.0.1:1", "z", 24, InstanceState.READY, 1)
            named = replace(younger, name=f"i{number}", born=9)
            gateway.fleet.note(Sighting(named, 0.0), anyio.current_time())

        self.assertIs(self.judge(CUT, CUT, CUT, meanwhile=restart), Standing.HELD)


class HeldTest(unittest.TestCase):
    def test_nothing_sends_what_is_held(self) -> None:
        """First tries, streams made anew, runs that go on from a copy, runs with a backup."""

        async def main() -> None:
            dispatcher = FakeDispatcher()
            config = make_config(Repeat.STREAM, 2, engine=True, resumable=True)
            gateway = make_gateway(dispatcher, config, anyio.current_time())
            await hold(gateway)
            for changes in (
                {},
                {"last_event": "7", "own_connection": True},
                {"source": Source("10.0.0.2:1", "handle", "7")},
                {"backup": make_instance(3)},
            ):
                reply = await gateway.dispatcher.send(make_attempt(1, **changes))
                self.assertIsInstance(reply, NotRun)
            self.assertEqual(dispatcher.attempts, [])

        run(main)

    def serve(self, dispatcher: FakeDispatcher, ends: int, attempts: int = 1) -> Failure:
        """Return the answer to a request under which some upstreams have ended before."""

        async def main() -> Failure:
            config = make_config(Repeat.IDEMPOTENT, attempts)
            gateway = make_gateway(dispatcher, config, anyio.current_time())
            for number in range(ends):
                gateway.guard.note_lost(make_attempt(4 + number))
            forwarder = make_forwarder(gateway)
            began = anyio.current_time()
            outcome = await forwarder.serve(make_job(began))
            self.assertEqual(anyio.current_time(), began)
            self.assertEqual(gateway.loads.list_own(), ())
            return outcome

        return run(main)

    def test_its_caller_hears_at_once_that_nothing_ran_and_to_come_back_late(self) -> None:
        dispatcher = FakeDispatcher()
        outcome = self.serve(dispatcher, 3)
        self.assertEqual((outcome.kind, outcome.ran), (FailureKind.HELD, Ran.NO))
        self.assertEqual(outcome.retry_after, HELD_SECONDS[0])
        self.assertEqual(dispatcher.attempts, [])

    def test_what_ran_is_not_told_as_not_run(self) -> None:
        dispatcher = FakeDispatcher(CUT)
        outcome = self.serve(dispatcher, 2, attempts=2)
        self.assertEqual((outcome.kind, outcome.ran), (FailureKind.UPSTREAM_LOST, Ran.UNKNOWN))
        self.assertIsNone(outcome.retry_after)
        self.assertEqual(len(dispatcher.attempts), 1)

    def test_what_is_held_meanwhile_says_nothing_against_its_upstream(self) -> None:
        async def main() -> None:
            dispatcher = FakeDispatcher()
            gateway = make_gateway(dispatcher, make_config(Repeat.ONCE), anyio.current_time())
            noted: list[Instance] = []
            gateway.chooser.note_result = lambda instance, ok: noted.append(instance)
            place = gateway.chooser.place

            async def place_late(*args: Any) -> Instance | None:
                await hold(gateway)
                return await place(*args)

            gateway.chooser.place = place_late
            outcome = await make_forwarder(gateway).serve(make_job(anyio.current_time()))
            self.assertIs(outcome.kind, FailureKind.HELD)
            self.assertEqual((noted, dispatcher.attempts), ([], []))

        run(main)

    def test_the_last_try_goes_where_least_runs(self) -> None:
        async def main() -> None:
            dispatcher = FakeDispatcher(WHOLE)
            gateway = make_gateway(dispatcher, make_config(Repeat.ONCE), anyio.current_time())
            for number in (4, 5):
                gateway.guard.note_lost(make_attempt(number))
            for number, count in ((1, 3), (2, 1), (3, 2)):
                gateway.loads.add(make_instance(number), count, 0)
            forwarder = make_forwarder(gateway)
            self.assertEqual(await forwarder.serve(make_job(anyio.current_time())), WHOLE)
            (attempt,) = dispatcher.attempts
            self.assertEqual(attempt.instance.id, "i2")
            self.assertIs(gateway.guard.get_standing(make_job(0.0), ""), Standing.CLEAR)

        run(main)

    def test_after_long_one_gateway_tries_it_where_least_runs(self) -> None:
        async def main(granted: bool) -> FakeDispatcher:
            dispatcher = FakeDispatcher(CUT)
            gateway = make_gateway(dispatcher, make_config(Repeat.ONCE), anyio.current_time())
            await hold(gateway)
            asked: list[str] = []

            async def ask(fingerprint: str) -> bool:
                asked.append(fingerprint)
                return granted

            gateway.ask_trial = ask
            forwarder = make_forwarder(gateway)
            gateway.loads.add(make_instance(1), 1, 0)
            gateway.loads.add(make_instance(3), 1, 0)
            await anyio.sleep(HELD_SECONDS[0] + 0.01)
            for number in (1, 2, 3):
                sighting = Sighting(make_instance(number), 0.0)
                gateway.fleet.note(sighting, anyio.current_time())
            self.outcome = await forwarder.serve(make_job(anyio.current_time()))
            self.assertEqual(len(asked), 1)
            again = await forwarder.serve(make_job(anyio.current_time()))
            self.assertIs(again.kind, FailureKind.HELD)
            return dispatcher

        (attempt,) = run(main, True).attempts
        self.assertEqual(attempt.instance.id, "i2")
        self.assertIs(self.outcome.ran, Ran.UNKNOWN)

    def test_without_leave_it_is_not_tried(self) -> None:
        async def main() -> None:
            dispatcher = FakeDispatcher()
            gateway = make_gateway(dispatcher, make_config(Repeat.ONCE), anyio.current_time())
            await hold(gateway)
            forwarder = make_forwarder(gateway)
            await anyio.sleep(HELD_SECONDS[0] + 0.01)
            outcome = await forwarder.serve(make_job(anyio.current_time()))
            self.assertIs(outcome.kind, FailureKind.HELD)
            self.assertEqual(outcome.retry_after, TRIAL_SECONDS)
            self.assertEqual(dispatcher.attempts, [])

        run(main)

    def test_another_caller_or_body_is_served(self) -> None:
        async def main() -> None:
            dispatcher = FakeDispatcher(WHOLE, WHOLE)
            gateway = make_gateway(dispatcher, make_config(Repeat.ONCE), anyio.current_time())
            await hold(gateway)
            for changes in ({"key": "other"}, {"body": b"other"}):
                job = replace(make_job(anyio.current_time()), **changes)
                attempt = make_attempt(1, job=job)
                self.assertEqual(await gateway.dispatcher.send(attempt), WHOLE)

        run(main)
