"""Tests of the dispatch guard: what counts as a crash, and which sends are refused."""

import unittest
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import anyio
import trio
import trio.testing

from daleroad.defaults import HAND_OVER_SECONDS, LAST_COPY_SECONDS
from daleroad.dispatch import (
    Attempt,
    Copied,
    CopyFault,
    CopySource,
    Lost,
    NotCopied,
    NotRun,
    Reply,
    Whole,
)
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.gateway import Gateway
from daleroad.instances import Instance, InstanceState, Sighting
from daleroad.onsets import Progress
from daleroad.routing import Repeat
from daleroad.suspects import TRIAL_INTERVAL_SECONDS, Standing
from daleroad.suspicions import HOLD_BACKOFF_SECONDS
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
    """Record three crashed upstreams for the request of these tests."""
    for number in (4, 5, 6):
        attempt = make_attempt(number)
        gateway.guard.evidence.record_lost(attempt, Progress.UNBEGUN)


class CrashRecordTest(unittest.TestCase):
    def send_and_get_standing(
        self, *replies: Reply, meanwhile: Callable[[Gateway, int], None] | None = None
    ) -> Standing:
        """Send a request to one upstream per reply, from 1; return its standing then.

        :param meanwhile: called while an upstream has the request.
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
                    self.pieces = [piece async for piece in reply.events()]
            return gateway.guard.evidence.find_verdict(make_job(0.0), "", "s").standing

        return run(main)

    def test_lost_responses_and_cut_streams_count_as_crashes(self) -> None:
        cut = FakeStream(1, 2, cut=True)
        self.assertIs(self.send_and_get_standing(CUT, cut, CUT), Standing.HELD)
        self.assertEqual(len(self.pieces), 3)

    def test_a_stream_counts_as_a_success_at_its_end_only(self) -> None:
        self.assertIs(
            self.send_and_get_standing(FakeStream(1, 2), CUT, CUT, CUT), Standing.LAST_TRY
        )

    def test_a_stream_without_an_event_is_no_success(self) -> None:
        self.assertIs(self.send_and_get_standing(CUT, CUT, FakeStream(1, 0)), Standing.LAST_TRY)
        self.assertIs(self.send_and_get_standing(CUT, CUT, FakeStream(1, 1)), Standing.CLEAR)

    def test_requests_that_did_not_run_or_failed_are_no_evidence(self) -> None:
        failed = Whole(500, (), b"")
        self.assertIs(self.send_and_get_standing(CUT, CUT, NotRun("full")), Standing.LAST_TRY)
        self.assertIs(
            self.send_and_get_standing(CUT, CUT, failed, NotRun("gone", address_reused=True)),
            Standing.LAST_TRY,
        )

    def test_a_complete_response_clears_the_request(self) -> None:
        self.assertIs(self.send_and_get_standing(CUT, CUT, WHOLE), Standing.CLEAR)

    def test_an_announced_shutdown_is_no_crash(self) -> None:
        for state in (InstanceState.LEAVING, InstanceState.GONE):

            def leave(gateway: Gateway, number: int, state: InstanceState = state) -> None:
                if number == 2:
                    now = anyio.current_time()
                    gateway.fleet.note(Sighting(make_instance(2, state), 0.0), now)

            self.assertIs(
                self.send_and_get_standing(CUT, CUT, CUT, meanwhile=leave), Standing.LAST_TRY
            )

    def test_an_upstream_that_has_already_restarted_has_crashed(self) -> None:
        def restart(gateway: Gateway, number: int) -> None:
            younger = Instance(f"i{number}@9", "s", "10.0.0.1:1", "z", 24, InstanceState.READY, 1)
            named = replace(younger, name=f"i{number}", born=9)
            gateway.fleet.note(Sighting(named, 0.0), anyio.current_time())

        self.assertIs(self.send_and_get_standing(CUT, CUT, CUT, meanwhile=restart), Standing.HELD)


class HeldRequestTest(unittest.TestCase):
    def test_a_held_request_is_not_sent_in_any_way(self) -> None:
        """First attempts, re-opened streams, generations resumed from a copy, and backups."""

        async def main() -> None:
            dispatcher = FakeDispatcher()
            config = make_config(Repeat.STREAM, 2, engine=True, resumable=True)
            gateway = make_gateway(dispatcher, config, anyio.current_time())
            await hold(gateway)
            for changes in (
                {},
                {"last_event": "7", "new_connection": True},
                {"source": CopySource("10.0.0.2:1", "handle", "7")},
                {"backup": make_instance(3)},
            ):
                reply = await gateway.dispatcher.send(make_attempt(1, **changes))
                self.assertIsInstance(reply, NotRun)
            self.assertEqual(dispatcher.attempts, [])

        run(main)

    def serve(self, dispatcher: FakeDispatcher, crashes: int, attempts: int = 1) -> Failure:
        """Return the answer to a request that has crashed some upstreams before."""

        async def main() -> Failure:
            config = make_config(Repeat.IDEMPOTENT, attempts)
            gateway = make_gateway(dispatcher, config, anyio.current_time())
            for number in range(crashes):
                gateway.guard.evidence.record_lost(make_attempt(4 + number), Progress.UNBEGUN)
            forwarder = make_forwarder(gateway)
            began = anyio.current_time()
            outcome = await forwarder.serve(make_job(began))
            self.assertEqual(anyio.current_time(), began)
            self.assertEqual(gateway.loads.list_own_loads(), ())
            return outcome

        return run(main)

    def test_the_caller_is_refused_at_once_with_a_long_retry_after(self) -> None:
        dispatcher = FakeDispatcher()
        outcome = self.serve(dispatcher, 3)
        self.assertEqual((outcome.kind, outcome.ran), (FailureKind.HELD, Ran.NO))
        self.assertEqual(outcome.retry_after, HOLD_BACKOFF_SECONDS[0])
        self.assertEqual(dispatcher.attempts, [])

    def test_a_request_that_may_have_run_is_not_reported_as_not_run(self) -> None:
        dispatcher = FakeDispatcher(CUT)
        outcome = self.serve(dispatcher, 2, attempts=2)
        self.assertEqual((outcome.kind, outcome.ran), (FailureKind.UPSTREAM_LOST, Ran.UNKNOWN))
        self.assertIsNone(outcome.retry_after)
        self.assertEqual(len(dispatcher.attempts), 1)

    def test_a_hold_during_placement_is_no_failure_of_the_upstream(self) -> None:
        async def main() -> None:
            dispatcher = FakeDispatcher()
            gateway = make_gateway(dispatcher, make_config(Repeat.ONCE), anyio.current_time())
            noted: list[Instance] = []
            gateway.selector.record_result = lambda instance, ok: noted.append(instance)
            place = gateway.selector.place

            async def place_late(*args: Any) -> Instance | None:
                await hold(gateway)
                return await place(*args)

            gateway.selector.place = place_late
            outcome = await make_forwarder(gateway).serve(make_job(anyio.current_time()))
            self.assertIs(outcome.kind, FailureKind.HELD)
            self.assertEqual((noted, dispatcher.attempts), ([], []))

        run(main)

    def test_the_last_try_goes_to_the_least_loaded_upstream(self) -> None:
        async def main() -> None:
            dispatcher = FakeDispatcher(WHOLE)
            gateway = make_gateway(dispatcher, make_config(Repeat.ONCE), anyio.current_time())
            for number in (4, 5):
                gateway.guard.evidence.record_lost(make_attempt(number), Progress.UNBEGUN)
            for number, count in ((1, 3), (2, 1), (3, 2)):
                gateway.loads.add_load(make_instance(number), count, 0)
            forwarder = make_forwarder(gateway)
            self.assertEqual(await forwarder.serve(make_job(anyio.current_time())), WHOLE)
            (attempt,) = dispatcher.attempts
            self.assertEqual(attempt.instance.id, "i2")
            self.assertIs(
                gateway.guard.evidence.find_verdict(make_job(0.0), "", "s").standing, Standing.CLEAR
            )

        run(main)

    def test_after_the_hold_a_trial_goes_to_the_least_loaded_upstream(self) -> None:
        async def main(granted: bool) -> FakeDispatcher:
            dispatcher = FakeDispatcher(CUT)
            gateway = make_gateway(dispatcher, make_config(Repeat.ONCE), anyio.current_time())
            await hold(gateway)
            asked: list[str] = []

            async def ask(fingerprint: str) -> bool:
                asked.append(fingerprint)
                return granted

            gateway.request_trial = ask
            forwarder = make_forwarder(gateway)
            gateway.loads.add_load(make_instance(1), 1, 0)
            gateway.loads.add_load(make_instance(3), 1, 0)
            await anyio.sleep(HOLD_BACKOFF_SECONDS[0] + 0.01)
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

    def test_without_a_granted_trial_it_is_not_tried(self) -> None:
        async def main() -> None:
            dispatcher = FakeDispatcher()
            gateway = make_gateway(dispatcher, make_config(Repeat.ONCE), anyio.current_time())
            await hold(gateway)
            forwarder = make_forwarder(gateway)
            await anyio.sleep(HOLD_BACKOFF_SECONDS[0] + 0.01)
            outcome = await forwarder.serve(make_job(anyio.current_time()))
            self.assertIs(outcome.kind, FailureKind.HELD)
            self.assertEqual(outcome.retry_after, TRIAL_INTERVAL_SECONDS)
            self.assertEqual(dispatcher.attempts, [])

        run(main)

    def test_another_caller_or_body_is_not_held(self) -> None:
        async def main() -> None:
            dispatcher = FakeDispatcher(WHOLE, WHOLE)
            gateway = make_gateway(dispatcher, make_config(Repeat.ONCE), anyio.current_time())
            await hold(gateway)
            for changes in ({"key": "other"}, {"body": b"other"}):
                job = replace(make_job(anyio.current_time()), **changes)
                attempt = make_attempt(1, job=job)
                self.assertEqual(await gateway.dispatcher.send(attempt), WHOLE)

        run(main)


class LeavingUpstreamTest(unittest.TestCase):
    """What still reaches an upstream that leaves: streams with a copy there, for a while."""

    SOURCE = CopySource("10.0.0.1:1", "handle", "7")

    def leave(self, state: InstanceState, wait: float) -> tuple[FakeDispatcher, list[Any]]:
        """Send and copy to an upstream some seconds after its notice; return the replies."""

        async def main() -> tuple[FakeDispatcher, list[Any]]:
            dispatcher = FakeDispatcher(WHOLE, WHOLE)
            dispatcher.copied = Copied("handle", 7)
            config = make_config(Repeat.STREAM, engine=True)
            gateway = make_gateway(dispatcher, config, anyio.current_time())
            leaving = replace(make_instance(2), state=state)
            changed = gateway.fleet.note(Sighting(leaving, 0.0), anyio.current_time())
            gateway.apply_instance_changes(changed)
            await anyio.sleep(wait)
            job = make_job(anyio.current_time())
            replies = [
                await gateway.dispatcher.send(make_attempt(2, source=self.SOURCE)),
                await gateway.dispatcher.copy(job, make_instance(1), make_instance(2), True),
                await gateway.dispatcher.send(make_attempt(2)),
            ]
            return dispatcher, replies

        return run(main)

    def test_a_stream_with_a_copy_there_is_not_lost_by_a_notice_in_between(self) -> None:
        for state in (InstanceState.LEAVING, InstanceState.GONE):
            _, (_, copied, _) = self.leave(state, LAST_COPY_SECONDS - 0.01)
            self.assertEqual(copied, Copied("handle", 7))
            _, (resumed, _, fresh) = self.leave(state, HAND_OVER_SECONDS - 0.01)
            self.assertEqual(resumed, WHOLE)
            assert isinstance(fresh, NotRun)
            self.assertTrue(fresh.held)

    def test_no_stream_or_copy_reaches_it_long_after_its_notice(self) -> None:
        for state in (InstanceState.LEAVING, InstanceState.GONE):
            dispatcher, (_, copied, _) = self.leave(state, LAST_COPY_SECONDS + 0.01)
            assert isinstance(copied, NotCopied)
            self.assertEqual((copied.fault, copied.sent), (CopyFault.NO_ROOM, False))
            self.assertEqual(dispatcher.copies, [])
            dispatcher, (resumed, _, _) = self.leave(state, HAND_OVER_SECONDS + 0.01)
            assert isinstance(resumed, NotRun)
            self.assertTrue(resumed.held)
            self.assertEqual(dispatcher.attempts, [])

    def test_it_keeps_no_backups(self) -> None:
        async def main() -> None:
            dispatcher = FakeDispatcher(WHOLE)
            config = make_config(Repeat.STREAM, engine=True)
            gateway = make_gateway(dispatcher, config, anyio.current_time())
            leaving = make_instance(2, InstanceState.LEAVING)
            gateway.apply_instance_changes(gateway.fleet.note(Sighting(leaving, 0.0), 0.0))
            await gateway.dispatcher.send(make_attempt(1, backup=make_instance(2)))
            self.assertEqual([a.backup for a in dispatcher.attempts], [None])

        run(main)
