"""Tests of request forwarding: which requests are retried, and what the client receives."""

import unittest
from dataclasses import replace
from unittest.mock import patch

import anyio
import trio
import trio.testing

from daleroad.defaults import SILENCE_SECONDS, START_SECONDS
from daleroad.dispatch import Lost, NotRun, Whole
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.forwarding import Forwarder, StreamResponse
from daleroad.gateway import Gateway
from daleroad.instances import InstanceState, Sighting
from daleroad.metrics import Metrics, RequestMetrics
from daleroad.migration import EngineMigrator
from daleroad.routing import OrganisationRule, Repeat, RoutingConfig
from daleroad.runs import StreamRegistry
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
            self.leaving_ids: list[str] = []
            self.gateway.on_leaving = lambda instance: self.leaving_ids.append(instance.id)
            runs = StreamRegistry(self.gateway, EngineMigrator(self.gateway))
            forwarder = Forwarder(self.gateway, runs, metrics)
            return await forwarder.serve(replace(make_job(now), key=key))

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_response_is_passed_on_unchanged(self) -> None:
        dispatcher = FakeDispatcher(WHOLE)
        self.assertEqual(self.serve(dispatcher, make_config(Repeat.ONCE)), WHOLE)
        self.assertEqual(len(dispatcher.attempts), 1)
        self.assertEqual(self.gateway.loads.list_own_loads(), ())

    def test_lost_request_is_not_retried_unless_idempotent(self) -> None:
        for repeat in (Repeat.ONCE, Repeat.STREAM):
            with self.subTest(repeat):
                dispatcher = FakeDispatcher(Lost("reset"), WHOLE)
                outcome = self.serve(dispatcher, make_config(repeat, attempts=3))
                assert isinstance(outcome, Failure)
                self.assertIs(outcome.ran, Ran.UNKNOWN)
                self.assertIs(outcome.kind, FailureKind.UPSTREAM_LOST)
                self.assertEqual(len(dispatcher.attempts), 1)

    def test_resumable_stream_starts_on_another_upstream_after_a_failure(self) -> None:
        for first in (Lost("reset"), ERROR):
            with self.subTest(first):
                dispatcher = FakeDispatcher(first, FakeStream(1, 2))
                config = make_config(Repeat.STREAM, 2, engine=True, resumable=True)
                self.assertIsInstance(self.serve(dispatcher, config), StreamResponse)
                self.assertEqual(len({a.instance.id for a in dispatcher.attempts}), 2)

    def test_only_streams_use_their_own_connection(self) -> None:
        for repeat in Repeat:
            with self.subTest(repeat):
                dispatcher = FakeDispatcher(WHOLE)
                self.serve(dispatcher, make_config(repeat))
                (attempt,) = dispatcher.attempts
                self.assertEqual(attempt.new_connection, repeat is Repeat.STREAM)

    def test_silence_limit_of_a_stream_that_cannot_resume_is_its_clients_limit(self) -> None:
        expected = {
            (Repeat.IDEMPOTENT, False): SILENCE_SECONDS,
            (Repeat.ONCE, False): SILENCE_SECONDS,
            (Repeat.STREAM, True): SILENCE_SECONDS,
            # Four objectives: the longest of two seconds, four objectives and eight pauses.
            (Repeat.STREAM, False): 7.2,
        }
        for (repeat, resumable), silence in expected.items():
            with self.subTest(repeat=repeat, resumable=resumable):
                dispatcher = FakeDispatcher(WHOLE)
                config = make_config(repeat, engine=True, resumable=resumable)
                route = replace(config.routes[0], objective=1.8, pause=0.18)
                self.serve(dispatcher, replace(config, routes=(route,)))
                self.assertAlmostEqual(dispatcher.attempts[0].silence_timeout_seconds, silence)

    def test_idempotent_request_is_retried_on_another_upstream(self) -> None:
        dispatcher = FakeDispatcher(Lost("reset"), WHOLE)
        self.assertEqual(self.serve(dispatcher, make_config(Repeat.IDEMPOTENT, 2)), WHOLE)
        first, second = dispatcher.attempts
        self.assertNotEqual(first.instance.id, second.instance.id)
        self.assertLessEqual(second.seconds, first.seconds)

    def test_upstream_error_is_passed_on_at_the_attempt_limit(self) -> None:
        dispatcher = FakeDispatcher(ERROR, ERROR, WHOLE)
        self.assertEqual(self.serve(dispatcher, make_config(Repeat.IDEMPOTENT, 2)), ERROR)
        self.assertEqual(len(dispatcher.attempts), 2)

    def test_request_that_did_not_run_is_retried_even_if_not_idempotent(self) -> None:
        dispatcher = FakeDispatcher(REFUSED, REFUSED, WHOLE)
        self.assertEqual(self.serve(dispatcher, make_config(Repeat.ONCE)), WHOLE)
        self.assertEqual(len({a.instance.id for a in dispatcher.attempts}), 3)

    def test_unsent_attempt_does_not_use_the_retry_budget(self) -> None:
        not_sent = NotRun("refused", sent=False)
        dispatcher = FakeDispatcher(not_sent, not_sent, WHOLE)
        config = make_config(Repeat.ONCE)
        with patch.object(Gateway, "take_retry", lambda gateway, service: False):
            self.assertEqual(self.serve(dispatcher, config), WHOLE)
            rejected = FakeDispatcher(NotRun("full"), WHOLE)
            self.assertIsInstance(self.serve(rejected, config), Failure)
        self.assertEqual(len({a.instance.id for a in dispatcher.attempts}), 3)

    def test_replaced_instance_is_not_used_again(self) -> None:
        dispatcher = FakeDispatcher(NotRun("status 421", address_reused=True), WHOLE)
        self.assertEqual(self.serve(dispatcher, make_config(Repeat.ONCE)), WHOLE)
        replaced = dispatcher.attempts[0].instance.id
        self.assertEqual(self.leaving_ids, [])
        self.assertNotIn(replaced, [i.id for i in self.gateway.fleet.list_ready("s")])

    def test_refusal_by_all_upstreams_is_not_run_with_retry_after(self) -> None:
        outcome = self.serve(FakeDispatcher(*[REFUSED] * 3), make_config(Repeat.ONCE))
        assert isinstance(outcome, Failure)
        self.assertIs(outcome.ran, Ran.NO)
        self.assertGreater(outcome.retry_after or 0, 0)

    def test_refusal_after_a_lost_attempt_is_not_reported_as_not_run(self) -> None:
        dispatcher = FakeDispatcher(Lost("reset"), REFUSED, REFUSED)
        outcome = self.serve(dispatcher, make_config(Repeat.IDEMPOTENT, 3))
        assert isinstance(outcome, Failure)
        self.assertIs(outcome.ran, Ran.UNKNOWN)

    def test_timed_out_request_is_not_reported_as_not_run(self) -> None:
        dispatcher = FakeDispatcher(WHOLE)
        dispatcher.on_send = trio.sleep_forever
        outcome = self.serve(dispatcher, make_config(Repeat.ONCE))
        assert isinstance(outcome, Failure)
        self.assertIs(outcome.kind, FailureKind.DEADLINE)
        self.assertIs(outcome.ran, Ran.UNKNOWN)
        self.assertEqual(self.gateway.loads.list_own_loads(), ())

    def test_request_without_configuration_fails_with_retry_after(self) -> None:
        outcome = self.serve(FakeDispatcher(), None)
        assert isinstance(outcome, Failure)
        self.assertIs(outcome.kind, FailureKind.NO_LEASE)
        self.assertEqual(outcome.retry_after, START_SECONDS)

    def test_key_is_required_if_organisations_are_configured(self) -> None:
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

    def test_no_key_is_known_if_the_list_of_organisations_is_empty(self) -> None:
        """Guards against review/6: removing the last organisation let all requests run."""
        config = make_config(Repeat.ONCE)
        route = replace(config.routes[0], public=False)
        closed = replace(config, routes=(route,), organisations=())
        for key in ("k", ""):
            outcome = self.serve(FakeDispatcher(WHOLE), closed, key=key)
            assert isinstance(outcome, Failure)
            self.assertIs(outcome.kind, FailureKind.UNAUTHENTICATED)
        public = replace(closed, routes=config.routes)
        self.assertEqual(self.serve(FakeDispatcher(WHOLE), public), WHOLE)
        open_to_all = replace(closed, organisations=None)
        self.assertEqual(self.serve(FakeDispatcher(WHOLE), open_to_all, key="k"), WHOLE)

    def test_request_without_a_key_belongs_to_no_organisation(self) -> None:
        """Guards against the class of review/6: an empty key in the list let in who had none."""
        config = make_config(Repeat.ONCE)
        route = replace(config.routes[0], public=False)
        organisation = OrganisationRule("o", ("", "k"), None)
        config = replace(config, routes=(route,), organisations=(organisation,))
        outcome = self.serve(FakeDispatcher(WHOLE), config, key="")
        assert isinstance(outcome, Failure)
        self.assertIs(outcome.kind, FailureKind.UNAUTHENTICATED)
        self.assertEqual(self.serve(FakeDispatcher(WHOLE), config, key="k"), WHOLE)

    def test_leaving_upstreams_receive_no_requests(self) -> None:
        dispatcher = FakeDispatcher(WHOLE)

        async def main() -> None:
            now = anyio.current_time()
            gateway = make_gateway(dispatcher, make_config(Repeat.ONCE), now)
            for number in (1, 2):
                leaving = make_instance(number, InstanceState.LEAVING)
                gateway.fleet.note(Sighting(leaving, 0.0), now)
            metrics = RequestMetrics(Metrics())
            runs = StreamRegistry(gateway, EngineMigrator(gateway))
            await Forwarder(gateway, runs, metrics).serve(make_job(now))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(dispatcher.attempts[0].instance.id, "i3")
