"""Tests of one request's way: what is sent again, what never is, and what is answered."""

import unittest
from dataclasses import replace
from unittest.mock import patch

import anyio
import trio
import trio.testing

from daleroad.defaults import SILENCE_SECONDS, START_SECONDS
from daleroad.dispatch import Lost, NotRun, Whole
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.forwarding import Flow, Forwarder
from daleroad.gateway import Gateway
from daleroad.instances import InstanceState, Sighting
from daleroad.metrics import Metrics, RequestMetrics
from daleroad.moving import EngineMover
from daleroad.routing import OrganisationRule, Repeat, RoutingConfig
from daleroad.runs import Runs
from tests.fakes import (
    WHOLE,
    FakeDispatcher,
    FakeStream,
    make_config,
    make_gateway,
    make_instance,
    make_job,
)

ERROR = Whole(500, (), b"broken")
REFUSED = NotRun("full")


class ForwardingTest(unittest.TestCase):
    def serve(
        self, dispatcher: FakeDispatcher, config: RoutingConfig | None, key: str = ""
    ) -> object:
        async def main() -> object:
            now = anyio.current_time()
            self.gateway = make_gateway(dispatcher, config, now)
            metrics = RequestMetrics(Metrics())
            self.left: list[str] = []
            self.gateway.on_leaving = lambda instance: self.left.append(instance.id)
            runs = Runs(self.gateway, EngineMover(self.gateway))
            forwarder = Forwarder(self.gateway, runs, metrics)
            return await forwarder.serve(replace(make_job(now), key=key))

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_an_answer_passes_as_it_is(self) -> None:
        dispatcher = FakeDispatcher(WHOLE)
        self.assertEqual(self.serve(dispatcher, make_config(Repeat.ONCE)), WHOLE)
        self.assertEqual(len(dispatcher.attempts), 1)
        self.assertEqual(self.gateway.loads.list_own(), ())

    def test_what_may_have_run_is_never_sent_again_unless_idempotent(self) -> None:
        for repeat in (Repeat.ONCE, Repeat.STREAM):
            with self.subTest(repeat):
                dispatcher = FakeDispatcher(Lost("reset"), WHOLE)
                outcome = self.serve(dispatcher, make_config(repeat, attempts=3))
                assert isinstance(outcome, Failure)
                self.assertIs(outcome.ran, Ran.UNKNOWN)
                self.assertIs(outcome.kind, FailureKind.UPSTREAM_LOST)
                self.assertEqual(len(dispatcher.attempts), 1)

    def test_a_stream_that_may_resume_begins_at_another_upstream_after_a_loss(self) -> None:
        for first in (Lost("reset"), ERROR):
            with self.subTest(first):
                dispatcher = FakeDispatcher(first, FakeStream(1, 2))
                config = make_config(Repeat.STREAM, 2, engine=True, resumable=True)
                self.assertIsInstance(self.serve(dispatcher, config), Flow)
                self.assertEqual(len({a.instance.id for a in dispatcher.attempts}), 2)

    def test_only_streams_get_a_connection_of_their_own(self) -> None:
        for repeat in Repeat:
            with self.subTest(repeat):
                dispatcher = FakeDispatcher(WHOLE)
                self.serve(dispatcher, make_config(repeat))
                (attempt,) = dispatcher.attempts
                self.assertEqual(attempt.own_connection, repeat is Repeat.STREAM)

    def test_silence_is_borne_as_long_as_the_client_bears_it_where_nothing_else_can_be_done(
        self,
    ) -> None:
        expected = {
            (Repeat.IDEMPOTENT, False): SILENCE_SECONDS,
            (Repeat.ONCE, False): SILENCE_SECONDS,
            (Repeat.STREAM, True): SILENCE_SECONDS,
            # Four objectives, which are longer than two seconds and eight pauses.
            (Repeat.STREAM, False): 7.2,
        }
        for (repeat, resumable), silence in expected.items():
            with self.subTest(repeat=repeat, resumable=resumable):
                dispatcher = FakeDispatcher(WHOLE)
                config = make_config(repeat, engine=True, resumable=resumable)
                route = replace(config.routes[0], objective=1.8, pause=0.18)
                self.serve(dispatcher, replace(config, routes=(route,)))
                self.assertAlmostEqual(dispatcher.attempts[0].silence, silence)

    def test_an_idempotent_request_goes_to_another_upstream(self) -> None:
        dispatcher = FakeDispatcher(Lost("reset"), WHOLE)
        self.assertEqual(self.serve(dispatcher, make_config(Repeat.IDEMPOTENT, 2)), WHOLE)
        first, second = dispatcher.attempts
        self.assertNotEqual(first.instance.id, second.instance.id)
        self.assertLessEqual(second.seconds, first.seconds)

    def test_attempts_end_at_the_routes_limit_with_the_upstreams_own_answer(self) -> None:
        dispatcher = FakeDispatcher(ERROR, ERROR, WHOLE)
        self.assertEqual(self.serve(dispatcher, make_config(Repeat.IDEMPOTENT, 2)), ERROR)
        self.assertEqual(len(dispatcher.attempts), 2)

    def test_what_did_not_run_goes_elsewhere_whatever_its_kind(self) -> None:
        dispatcher = FakeDispatcher(REFUSED, REFUSED, WHOLE)
        self.assertEqual(self.serve(dispatcher, make_config(Repeat.ONCE)), WHOLE)
        self.assertEqual(len({a.instance.id for a in dispatcher.attempts}), 3)

    def test_what_reached_no_upstream_takes_nothing_of_the_retry_budget(self) -> None:
        unreached = NotRun("refused", sent=False)
        dispatcher = FakeDispatcher(unreached, unreached, WHOLE)
        config = make_config(Repeat.ONCE)
        with patch.object(Gateway, "take_repeat", lambda gateway, service: False):
            self.assertEqual(self.serve(dispatcher, config), WHOLE)
            rejected = FakeDispatcher(NotRun("full"), WHOLE)
            self.assertIsInstance(self.serve(rejected, config), Failure)
        self.assertEqual(len({a.instance.id for a in dispatcher.attempts}), 3)

    def test_an_address_with_another_instance_is_not_used_again(self) -> None:
        dispatcher = FakeDispatcher(NotRun("status 421", gone=True), WHOLE)
        self.assertEqual(self.serve(dispatcher, make_config(Repeat.ONCE)), WHOLE)
        replaced = dispatcher.attempts[0].instance.id
        self.assertEqual(self.left, [])
        self.assertNotIn(replaced, [i.id for i in self.gateway.fleet.list_ready("s")])

    def test_refused_everywhere_is_a_true_refusal_with_when_to_come_back(self) -> None:
        outcome = self.serve(FakeDispatcher(*[REFUSED] * 3), make_config(Repeat.ONCE))
        assert isinstance(outcome, Failure)
        self.assertIs(outcome.ran, Ran.NO)
        self.assertGreater(outcome.retry_after or 0, 0)

    def test_after_a_loss_a_refusal_elsewhere_does_not_promise_that_nothing_ran(self) -> None:
        dispatcher = FakeDispatcher(Lost("reset"), REFUSED, REFUSED)
        outcome = self.serve(dispatcher, make_config(Repeat.IDEMPOTENT, 3))
        assert isinstance(outcome, Failure)
        self.assertIs(outcome.ran, Ran.UNKNOWN)

    def test_the_timeout_ends_a_request_and_does_not_say_that_it_did_not_run(self) -> None:
        dispatcher = FakeDispatcher(WHOLE)
        dispatcher.on_send = trio.sleep_forever
        outcome = self.serve(dispatcher, make_config(Repeat.ONCE))
        assert isinstance(outcome, Failure)
        self.assertIs(outcome.kind, FailureKind.DEADLINE)
        self.assertIs(outcome.ran, Ran.UNKNOWN)
        self.assertEqual(self.gateway.loads.list_own(), ())

    def test_without_a_configuration_nothing_is_denied_and_a_time_is_named(self) -> None:
        outcome = self.serve(FakeDispatcher(), None)
        assert isinstance(outcome, Failure)
        self.assertIs(outcome.kind, FailureKind.NO_LEASE)
        self.assertEqual(outcome.retry_after, START_SECONDS)

    def test_keys_are_asked_for_where_organisations_are_known(self) -> None:
        config = make_config(Repeat.ONCE)
        route = replace(config.routes[0], public=False)
        organisation = OrganisationRule("o", ("k",), 4)
        config = replace(config, routes=(route,), organisations=(organisation,))
        unknown = self.serve(FakeDispatcher(), config, key="x")
        assert isinstance(unknown, Failure)
        self.assertIs(unknown.kind, FailureKind.UNAUTHENTICATED)
        dispatcher = FakeDispatcher(WHOLE)
        self.assertEqual(self.serve(dispatcher, config, key="k"), WHOLE)
        self.assertEqual(dispatcher.attempts[0].organisation, "o")

    def test_upstreams_that_leave_get_nothing(self) -> None:
        dispatcher = FakeDispatcher(WHOLE)

        async def main() -> None:
            now = anyio.current_time()
            gateway = make_gateway(dispatcher, make_config(Repeat.ONCE), now)
            for number in (1, 2):
                leaving = make_instance(number, InstanceState.LEAVING)
                gateway.fleet.note(Sighting(leaving, 0.0), now)
            metrics = RequestMetrics(Metrics())
            runs = Runs(gateway, EngineMover(gateway))
            await Forwarder(gateway, runs, metrics).serve(make_job(now))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(dispatcher.attempts[0].instance.id, "i3")
