"""Tests of a poison part of prompts, which crashes each engine that begins to write on it.

They guard against such a part taking down most engines of a service, one after another, because
each request that has it differs from all others, and against refusing sound requests beside it.
"""

import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace

import anyio
import trio
import trio.testing

from daleroad.blame import JOINT_CRASH_SECONDS, MIN_ANSWERED_CRASHES_HELD
from daleroad.choosing import UpstreamQuery
from daleroad.crashevidence import MAX_ROUTE_CHARS, Verdict
from daleroad.dispatch import (
    Attempt,
    ClientRequest,
    CopySource,
    Lost,
    NotRun,
    Prompt,
    Reply,
    Stream,
    StreamEvent,
    Whole,
)
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.forwarding import StreamResponse
from daleroad.gateway import Gateway
from daleroad.instances import Instance, InstanceState, Sighting
from daleroad.onsets import ONSET_SECONDS, Progress
from daleroad.routing import Repeat
from daleroad.suspects import MIN_CRASHES_HELD, PART_SUCCESS_SECONDS, Standing
from daleroad.suspicions import HOLD_BACKOFF_SECONDS
from tests.fakes import (
    FakeDispatcher,
    FakeStream,
    make_config,
    make_forwarder,
    make_gateway,
    make_instance,
    make_job,
)
from tests.test_coordinator import wait_for
from tests.test_heldrequests import WatchedSite, run_watched_site
from tools.crashtrial import CONTACT_SECONDS
from tools.parttrial import CRASHES_BORNE, PartCase, PartReport, PartTrial

MAX_LATE_SENDS = 3
"""Sends to upstreams tolerated after all gateways should have heard of the fifth crash."""

POISON = "bad0bad0"


def make_part_job(number: int, *parts: str) -> ClientRequest:
    """Return a request that differs from all with other numbers, with the parts of a prompt."""
    prompt = Prompt(tuple((part, 100) for part in parts), 100 * len(parts), 40)
    job = make_job(anyio.current_time(), prompt=prompt)
    return replace(job, id=f"{number} {parts}", body=f"{number}".encode(), parts=parts)


class CrashingDispatcher(FakeDispatcher):
    """Engines that crash when they begin to write on the part, and come back under another id."""

    def __init__(self) -> None:
        super().__init__()
        self.gateway: Gateway | None = None
        self.reached_at: list[float] = []
        self.last_number = 3

    async def send(self, attempt: Attempt) -> Reply:
        assert self.gateway is not None
        if POISON not in attempt.job.parts[:-1]:
            return FakeStream(1, 3)
        now = anyio.current_time()
        self.reached_at.append(now)
        self.last_number += 1
        number = self.last_number
        restarted = Instance(
            f"i{number}", "s", f"10.0.0.{number}:1", "z", 24, InstanceState.READY, 1
        )
        self.gateway.fleet.note(Sighting(restarted, 0.0), now)
        return FakeStream(1, 0, cut=True)


def crash_engine(gateway: Gateway, number: int, progress: Progress = Progress.BEGUN) -> None:
    """Record that an engine crashed while it ran a request with the part."""
    job = make_part_job(number, "first", POISON, f"last {number}")
    attempt = Attempt(job, make_instance(10 + number), "", 5.0)
    gateway.guard.evidence.record_lost(attempt, progress)


async def crash_engines(
    gateway: Gateway, progress: Progress = Progress.BEGUN, count: int = MIN_CRASHES_HELD
) -> None:
    """Record the crashes of as many engines as it takes to hold the part, not all at once."""
    for number in range(count):
        await anyio.sleep(JOINT_CRASH_SECONDS)
        crash_engine(gateway, number, progress)


async def read_all(stream: Stream) -> None:
    async for _ in stream.events():
        pass


class PoisonPartTest(unittest.TestCase):
    def send_repeatedly(self, *parts: str, times: int = 20) -> tuple[CrashingDispatcher, int]:
        """Send poison requests, no two alike, and a sound one beside each.

        Return the dispatcher that received them, and how many sound ones were whole.
        """
        dispatcher = CrashingDispatcher()

        async def main() -> int:
            config = make_config(Repeat.STREAM, engine=True)
            gateway = make_gateway(dispatcher, config, anyio.current_time())
            dispatcher.gateway = gateway
            forwarder = make_forwarder(gateway)
            whole = 0
            for number in range(times):
                for name, shared in (("bad", parts), ("sound", ("first", "second"))):
                    job = make_part_job(number, *shared, f"last {name} {number}")
                    outcome = await forwarder.serve(job)
                    if isinstance(outcome, StreamResponse):
                        pieces = [piece async for piece in outcome.pieces]
                        await outcome.close()
                        whole += name == "sound" and not isinstance(pieces[-1], Failure)
                    await anyio.sleep(0.5)
            return whole

        return dispatcher, trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_a_poison_part_reaches_no_engine_after_five_crashes(self) -> None:
        for parts in (("first", POISON), (POISON, "second"), ("first", POISON, "third")):
            with self.subTest(parts):
                seen, whole = self.send_repeatedly(*parts)
                known_at = seen.reached_at[CRASHES_BORNE - 1 :][:1] or [float("inf")]
                late = [at for at in seen.reached_at if at > known_at[0] + CONTACT_SECONDS]
                self.assertLessEqual(len(late), MAX_LATE_SENDS)
                self.assertEqual(whole, 20)


class HeldPartTest(unittest.TestCase):
    """A gateway at which the part is held; it has seen three crashes of other engines."""

    def run_held(self, body: Callable[[Gateway, FakeDispatcher], Awaitable[None]]) -> None:
        async def main() -> None:
            dispatcher = FakeDispatcher()
            config = make_config(Repeat.STREAM, 2, engine=True, resumable=True)
            gateway = make_gateway(dispatcher, config, anyio.current_time())
            await crash_engines(gateway)
            await body(gateway, dispatcher)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_a_request_with_the_part_is_not_sent_in_any_way(self) -> None:
        """First attempts, re-opened streams, generations resumed from a copy, and backups."""

        async def body(gateway: Gateway, dispatcher: FakeDispatcher) -> None:
            for changes in (
                {},
                {"last_event": "7", "new_connection": True},
                {"source": CopySource("10.0.0.2:1", "handle", "7")},
                {"backup": make_instance(3)},
                {"repeatable": True},
            ):
                job = make_part_job(9, "first", POISON, "last")
                attempt = Attempt(job, make_instance(1), "", 2.0)
                reply = await gateway.dispatcher.send(replace(attempt, **changes))  # type: ignore[arg-type]
                self.assertEqual((type(reply), dispatcher.attempts), (NotRun, []))

        self.run_held(body)

    def test_its_caller_is_refused_at_once_as_not_run(self) -> None:
        async def body(gateway: Gateway, dispatcher: FakeDispatcher) -> None:
            forwarder = make_forwarder(gateway)
            began = anyio.current_time()
            for job in (
                make_part_job(9, "first", POISON, "last"),
                replace(make_part_job(9, POISON, "last"), prompt=None),
            ):
                outcome = await forwarder.serve(job)
                assert isinstance(outcome, Failure)
                self.assertEqual((outcome.kind, outcome.ran), (FailureKind.HELD, Ran.NO))
                self.assertEqual(outcome.retry_after, HOLD_BACKOFF_SECONDS[0])
            self.assertEqual((anyio.current_time(), dispatcher.attempts), (began, []))

        self.run_held(body)

    def test_the_same_name_is_another_part_elsewhere_and_at_the_end(self) -> None:
        async def body(gateway: Gateway, dispatcher: FakeDispatcher) -> None:
            find_verdict = gateway.guard.evidence.find_verdict
            job = make_part_job(9, "first", POISON, "last")
            for other, service in (
                (job, "another service"),
                (replace(job, model="another model"), "s"),
                (replace(job, parts=("first", "last", POISON)), "s"),
                (replace(job, parts=(POISON,)), "s"),
            ):
                self.assertIs(find_verdict(other, "", service).standing, Standing.CLEAR)
            self.assertIs(find_verdict(job, "", "s").standing, Standing.HELD)

        self.run_held(body)

    def test_a_hold_during_placement_ends_the_wait(self) -> None:
        async def main() -> None:
            dispatcher = FakeDispatcher()
            config = make_config(Repeat.STREAM, engine=True)
            gateway = make_gateway(dispatcher, config, anyio.current_time())
            place = gateway.selector.place

            async def place_late(query: UpstreamQuery) -> object:
                await anyio.sleep(JOINT_CRASH_SECONDS)
                crash_engine(gateway, MIN_CRASHES_HELD)
                return await place(query)

            for number in range(1, MIN_CRASHES_HELD):
                crash_engine(gateway, number)

            gateway.selector.place = place_late  # type: ignore[method-assign, assignment]
            job = make_part_job(9, "first", POISON, "last")
            outcome = await make_forwarder(gateway).serve(job)
            assert isinstance(outcome, Failure)
            self.assertEqual((outcome.kind, outcome.ran), (FailureKind.HELD, Ran.NO))
            self.assertEqual(dispatcher.attempts, [])

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_without_a_leader_only_a_part_that_had_answers_is_tried_again(self) -> None:
        async def main(answered: bool) -> int:
            dispatcher = FakeDispatcher(*[FakeStream(1, 0, cut=True) for _ in range(9)])
            config = make_config(Repeat.STREAM, engine=True)
            gateway = make_gateway(dispatcher, config, anyio.current_time())
            if answered:
                job = make_part_job(0, "first", POISON, "last")
                attempt = Attempt(job, make_instance(1), "", 5.0)
                gateway.guard.evidence.record_success(attempt)
                await anyio.sleep(PART_SUCCESS_SECONDS + 1.0)
            await crash_engines(gateway, count=MIN_ANSWERED_CRASHES_HELD)
            forwarder = make_forwarder(gateway)
            await anyio.sleep(HOLD_BACKOFF_SECONDS[0])
            for number in (1, 2, 3):
                gateway.fleet.note(Sighting(make_instance(number), 0.0), anyio.current_time())
            for number in range(20, 25):
                outcome = await forwarder.serve(make_part_job(number, "first", POISON, "last"))
                self.assertIsInstance(
                    outcome, StreamResponse if number == 20 and answered else Failure
                )
            return len(dispatcher.attempts)

        for answered in (True, False):
            clock = trio.testing.MockClock(autojump_threshold=0)
            self.assertEqual(trio.run(main, answered, clock=clock), int(answered))

    def test_upstreams_that_announced_their_end_are_no_evidence_against_parts(self) -> None:
        async def main(state: InstanceState) -> Standing:
            gateway = make_gateway(FakeDispatcher(), make_config(Repeat.STREAM), 0.0)
            for number in range(MIN_CRASHES_HELD):
                await anyio.sleep(JOINT_CRASH_SECONDS)
                seen = Sighting(make_instance(10 + number, state), 0.0)
                gateway.fleet.note(seen, anyio.current_time())
                crash_engine(gateway, number)
            return gateway.guard.evidence.find_verdict(
                make_part_job(9, POISON, "l"), "", "s"
            ).standing

        for state, standing in (
            (InstanceState.LEAVING, Standing.CLEAR),
            (InstanceState.READY, Standing.HELD),
        ):
            clock = trio.testing.MockClock(autojump_threshold=0)
            self.assertIs(trio.run(main, state, clock=clock), standing)

    def test_a_long_path_is_cut_in_what_is_remembered_and_told(self) -> None:
        async def main() -> None:
            gateway = make_gateway(FakeDispatcher(), make_config(Repeat.STREAM), 0.0)
            job = replace(make_part_job(1, "first", "last"), path="/" + 9000 * "x")
            attempt = Attempt(job, make_instance(1), "", 5.0)
            gateway.guard.evidence.record_lost(attempt, Progress.BEGUN)
            routes = {len(report.route) for report in gateway.suspects.list_changed(0.0)}
            self.assertEqual(routes, {MAX_ROUTE_CHARS})

        trio.run(main)

    def test_a_crash_late_in_an_answer_is_no_evidence_against_its_parts(self) -> None:
        async def main() -> None:
            gateway = make_gateway(FakeDispatcher(), make_config(Repeat.STREAM), 0.0)
            await crash_engines(gateway, Progress.FAR)
            verdict = gateway.guard.evidence.find_verdict(make_part_job(9, POISON, "l"), "", "s")
            self.assertEqual(verdict, Verdict(Standing.CLEAR))

        trio.run(main)

    def test_an_answer_under_way_for_a_second_clears_its_parts(self) -> None:
        async def main() -> None:
            step = anyio.Event()

            class LongStream(FakeStream):
                async def events(self) -> AsyncIterator[StreamEvent | Lost]:
                    for number in range(30):
                        await anyio.sleep(ONSET_SECONDS / 10)
                        yield StreamEvent(b"event", str(number))
                    step.set()
                    await anyio.sleep_forever()

            dispatcher = FakeDispatcher(LongStream(1, 1))
            gateway = make_gateway(dispatcher, make_config(Repeat.STREAM), anyio.current_time())
            job = make_part_job(1, POISON, "last")
            reply = await gateway.dispatcher.send(Attempt(job, make_instance(1), "", 9.0))
            assert not isinstance(reply, NotRun | Lost | Whole)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(read_all, reply)
                await step.wait()
                await crash_engines(gateway)
                verdict = gateway.guard.evidence.find_verdict(job, "", "s")
                self.assertIs(verdict.standing, Standing.CLEAR)
                tasks.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class PartNewsTest(unittest.TestCase):
    """Gateways and coordinators on loopback."""

    def find_verdicts(self, gateways: list[Gateway]) -> set[Standing]:
        job = make_part_job(99, "first", POISON, "last")
        return {g.guard.evidence.find_verdict(job, "", "s").standing for g in gateways}

    def test_crashes_at_different_gateways_hold_the_part_at_all_and_an_answer_clears_it(
        self,
    ) -> None:
        async def body(sites: WatchedSite, names: list[str]) -> None:
            gateways = sites.add(12)
            await wait_for(lambda: all(g.get_version() for g in gateways))
            for number in range(MIN_CRASHES_HELD):
                crash_engine(gateways[number], number)
                await anyio.sleep(JOINT_CRASH_SECONDS)
            await wait_for(lambda: self.find_verdicts(gateways) == {Standing.HELD})
            (new_gateway,) = sites.add(1)
            await new_gateway.configured.wait()
            await wait_for(lambda: self.find_verdicts([new_gateway]) == {Standing.HELD})
            job = make_part_job(50, "first", POISON, "last")
            attempt = Attempt(job, make_instance(1), "", 1.0)
            gateways[7].guard.evidence.record_success(attempt)
            await wait_for(lambda: self.find_verdicts(sites.gateways) == {Standing.CLEAR})

        run_watched_site(body)


class PartTrialTest(unittest.TestCase):
    """A trial with real processes, and sound streams beside the poison part."""

    SECONDS = 20.0

    def check(self, report: PartReport) -> None:
        summary = report.describe()
        self.assertLessEqual(report.count_late(), MAX_LATE_SENDS, summary)
        self.assertLessEqual(report.find_known_at(), self.SECONDS - CONTACT_SECONDS, summary)
        for beside in (True, False):
            whole, sent = report.find_whole(beside, report.find_known_at(), float("inf"))
            self.assertGreaterEqual(whole, 0.9 * sent, summary)
            self.assertGreater(sent, 0, summary)
        self.assertEqual((sum(report.torn), bool(report.torn)), (0, True), summary)
        self.assertEqual(report.empty, 0, summary)

    def test_sound_streams_are_served_beside_a_poison_part(self) -> None:
        self.check(anyio.run(PartTrial(PartCase.SECOND, self.SECONDS).play))
