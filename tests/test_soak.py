"""Tests of the soak: its plan, its ledger, and one short seeded run of the real processes."""

import subprocess
import sys
import unittest
from collections.abc import Set
from contextlib import suppress
from pathlib import Path
from random import Random
from unittest.mock import AsyncMock

import anyio
from anyio.abc import SocketStream

from tools.faultylink import FaultyLink, LinkFault, reset_connection
from tools.soak import (
    GATEWAYS,
    PROCESS_FAULTS,
    QUIET_SECONDS,
    plan_restarts,
    plan_steps,
    plan_stops,
)
from tools.soakledger import GRACE_SECONDS, Asked, Ending, Hurt, Kind, Ledger
from tools.soakstreams import MIDDLE_SECONDS, PROMPT_TOKENS, draw_size
from tools.soakstutter import Stutter, StutteringStream, Stutters, plan_windows

ROOT = Path(__file__).resolve().parent.parent
SEED = "4"
SECONDS = "30"
LIMIT_SECONDS = 120


class PlanTest(unittest.TestCase):
    def test_a_seed_fixes_the_plan(self) -> None:
        plans = [list(plan_steps(Random(seed), 40.0)) for seed in (5, 5, 6)]
        self.assertEqual(plans[0], plans[1])
        self.assertNotEqual(plans[0], plans[2])

    def test_one_coordinator_is_hurt_at_a_time(self) -> None:
        for seed in range(50):
            free = 0.0
            for step in plan_steps(Random(seed), 60.0):
                if step.target.startswith("coordinator"):
                    self.assertGreaterEqual(step.at, round(free, 2) - 0.02)
                    free = step.at + step.hold + 5.0

    def test_all_kinds_of_faults_come(self) -> None:
        kinds = {step.kind for seed in range(50) for step in plan_steps(Random(seed), 60.0)}
        links = {fault.value for fault in LinkFault} - {"none"}
        self.assertEqual(kinds, {*PROCESS_FAULTS, "wipe"} | links)


class RestartsTest(unittest.TestCase):
    def test_a_seed_fixes_them_and_all_are_over_before_the_end(self) -> None:
        plans = [list(plan_restarts(Random(seed), 40.0)) for seed in (5, 5, 6)]
        self.assertEqual(plans[0], plans[1])
        self.assertNotEqual(plans[0], plans[2])
        for seed in range(50):
            for step in plan_restarts(Random(seed), 40.0):
                self.assertLess(step.at, 40.0 - QUIET_SECONDS)
                self.assertEqual(step.kind, "restart")


class StopsTest(unittest.TestCase):
    def test_a_seed_fixes_the_stops(self) -> None:
        plans = [list(plan_stops(Random(seed), 40.0)) for seed in (5, 5, 6)]
        self.assertEqual(plans[0], plans[1])
        self.assertNotEqual(plans[0], plans[2])

    def test_at_most_half_of_the_gateways_drain_at_once(self) -> None:
        most = 0
        for seed in range(50):
            stops = list(plan_stops(Random(seed), 60.0))
            self.assertEqual({stop.kind for stop in stops}, {"stop"})
            self.assertLessEqual(stops[-1].at, 60.0 - QUIET_SECONDS)
            self.assertEqual(len({stop.target for stop in stops}), GATEWAYS)
            for stop in stops:
                draining = {
                    other.target for other in stops if 0 <= stop.at - other.at < GRACE_SECONDS
                }
                self.assertLessEqual(len(draining), GATEWAYS // 2)
                most = max(most, len(draining))
        self.assertEqual(most, GATEWAYS // 2)

    def test_streams_are_shorter_and_longer_than_a_drain(self) -> None:
        random = Random(1)
        sizes = [draw_size(random, GRACE_SECONDS) for _ in range(200)]
        spans = [size.seconds for size in sizes]
        self.assertAlmostEqual(min(spans), 0.1)
        self.assertGreater(sum(span > GRACE_SECONDS for span in spans), 40)
        self.assertFalse([s for s in spans if MIDDLE_SECONDS[1] < s < GRACE_SECONDS])
        self.assertGreaterEqual(min(size.prompt for size in sizes), PROMPT_TOKENS[0])


class StuttersTest(unittest.TestCase):
    HEADS = (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", b"HTTP/1.1 500 Failed\r\n\r\n")

    def test_a_seed_fixes_the_windows_and_all_are_over_before_the_end(self) -> None:
        plans = [list(plan_windows(Random(seed), 2.0, 34.0)) for seed in (5, 5, 6)]
        self.assertEqual(plans[0], plans[1])
        self.assertNotEqual(plans[0], plans[2])
        windows = [w for seed in range(50) for w in plan_windows(Random(seed), 2.0, 34.0)]
        self.assertEqual({window.stutter for window in windows}, set(Stutter))
        self.assertEqual({window.rejects for window in windows}, {True, False})
        self.assertTrue(all(2.0 <= window.begin < window.end <= 34.0 for window in windows))

    def answer_two(self, stutter: Stutter) -> bytes:
        """Return what is sent on a connection whose first response stutters."""
        connection = AsyncMock()

        async def main() -> None:
            stream = StutteringStream(connection, Stutters())
            for head in self.HEADS:
                await stream.begin_response()
                stream.stutter = stutter if head is self.HEADS[0] else None
                await stream.send(head)
                await stream.send(b"abc")
                await stream.end_response()

        with suppress(anyio.ClosedResourceError):
            anyio.run(main)
        return b"".join(call.args[0] for call in connection.send.await_args_list)

    def test_a_response_that_is_sent_again_comes_at_once_or_before_the_next(self) -> None:
        first, second = (head + b"abc" for head in self.HEADS)
        for stutter in (Stutter.TWICE, Stutter.LATE):
            self.assertEqual(self.answer_two(stutter), first + first + second)
        cut = self.answer_two(Stutter.CUT_LATE).removeprefix(first).removesuffix(second)
        self.assertTrue(cut)
        self.assertTrue(self.HEADS[0].startswith(cut), cut)

    def test_a_response_that_is_broken_off_is_never_complete(self) -> None:
        first = self.HEADS[0] + b"abc"
        for stutter in (Stutter.HEAD_CUT, Stutter.BODY_CUT):
            self.assertTrue(first.startswith(self.answer_two(stutter)), stutter)
            self.assertNotEqual(self.answer_two(stutter), first)
        self.assertNotIn(b"\r\n\r\n", self.answer_two(Stutter.ENDLESS_HEAD))
        endless = self.answer_two(Stutter.ENDLESS_BODY)
        self.assertIn(b"Transfer-Encoding: chunked\r\n\r\n3e80\r\nxxx", endless)
        self.assertNotIn(b"\r\n0\r\n", endless)


class FaultyLinkTest(unittest.TestCase):
    def ask(self, fault: LinkFault, hurt_first: bool = True) -> bytes | str:
        """Send a line over a link that is hurt; return what came back, or how it ended."""

        async def main() -> bytes | str:
            link = FaultyLink("127.0.2.9:18001", "127.0.1.9:18001")
            listener = await anyio.create_tcp_listener(local_host="127.0.1.9", local_port=18001)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, _echo)
                tasks.start_soon(link.run)
                await anyio.sleep(0.05)
                stream = await anyio.connect_tcp("127.0.2.9", 18001)
                await anyio.sleep(0.05)
                if hurt_first:
                    tasks.start_soon(link.hurt, fault, 1.0)
                await anyio.sleep(0.05)
                found = await _exchange(stream)
                tasks.cancel_scope.cancel()
            await listener.aclose()
            return found

        return anyio.run(main)

    def test_a_sound_link_carries_both_ways(self) -> None:
        self.assertEqual(self.ask(LinkFault.NONE, hurt_first=False), b"hello")

    def test_a_delayed_link_is_late(self) -> None:
        self.assertEqual(self.ask(LinkFault.DELAY), b"hello")

    def test_a_reset_link_ends_its_connections(self) -> None:
        self.assertEqual(self.ask(LinkFault.RESET), "ended")

    def test_cut_and_silent_links_say_nothing(self) -> None:
        for fault in (LinkFault.CUT, LinkFault.SILENCE):
            with self.subTest(fault):
                self.assertEqual(self.ask(fault), "nothing")

    def test_a_connection_that_was_closed_meanwhile_is_not_reset(self) -> None:
        # Seed 28 ended a run by it: of several connections one closed while others were reset.
        async def main() -> None:
            listener = await anyio.create_tcp_listener(local_host="127.0.1.9", local_port=18001)
            async with listener:
                stream = await anyio.connect_tcp("127.0.1.9", 18001)
                await stream.aclose()
                await reset_connection(stream)

        anyio.run(main)

    def test_a_connection_that_lost_bytes_brings_none_behind_them(self) -> None:
        async def main() -> list[bytes]:
            link = FaultyLink("127.0.2.9:18001", "127.0.1.9:18001")
            listener = await anyio.create_tcp_listener(local_host="127.0.1.9", local_port=18001)
            found: list[bytes] = []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, _echo)
                tasks.start_soon(link.run)
                await anyio.sleep(0.05)
                async with await anyio.connect_tcp("127.0.2.9", 18001) as stream:
                    tasks.start_soon(link.hurt, LinkFault.CUT, 0.2)
                    for _ in range(2):
                        await anyio.sleep(0.1)
                        await stream.send(b"hello")
                        await anyio.sleep(0.2)
                    with anyio.move_on_after(0.2):
                        found.append(await stream.receive())
                tasks.cancel_scope.cancel()
            await listener.aclose()
            return found

        self.assertEqual(anyio.run(main), [])


async def _echo(stream: SocketStream) -> None:
    async with stream:
        async for chunk in stream:
            await stream.send(chunk)


async def _exchange(stream: SocketStream) -> bytes | str:
    try:
        async with stream:
            await stream.send(b"hello")
            with anyio.move_on_after(0.9):
                return await stream.receive()
            return "nothing"
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return "ended"


class LedgerTest(unittest.TestCase):
    def test_what_ran_twice_or_against_a_promise_is_found(self) -> None:
        ledger = Ledger(runs={"a": 1, "b": 2, "c": 2, "d": 1}, promised_not_run={"d", "e"})
        ledger.check_runs(idempotent={"c"})
        self.assertEqual(ledger.broken, ["b ran 2 times", "d ran though it was refused as not run"])

    def test_an_answer_that_no_upstream_gave_to_its_request_is_found(self) -> None:
        ledger = Ledger()
        whole, failed = ledger.give("a", "s-0", 200), ledger.give("b", "s-1", 500)
        for given in (whole, failed):
            ledger.check_answer(given.request, given.status, given.signature, given.body)
        ledger.check_answer("a", 200, whole.signature)
        ledger.check_answer("b", 502, None, "the gateway's")
        self.assertEqual(ledger.broken, [])
        for request, status, signature, body in (
            ("b", 200, failed.signature, failed.body),
            ("b", 200, whole.signature, whole.body),
            ("a", 200, None, whole.body),
            ("a", 200, f"s-9, {whole.signature}", whole.body),
            ("a", 200, whole.signature, whole.body[:-1]),
            ("a", 200, whole.signature, ""),
            ("a", 500, whole.signature, whole.body),
            ("a", 503, whole.signature, None),
            ("b", 500, None, failed.body),
        ):
            ledger.broken.clear()
            ledger.check_answer(request, status, signature, body)
            self.assertEqual(len(ledger.broken), 1, (request, status, signature, body))


class StopLedgerTest(unittest.TestCase):
    """One gateway gets SIGTERM at 10 s and is gone at 16 s."""

    def judge(
        self,
        sent: float,
        ending: Ending | None,
        kind: Kind = Kind.STREAM,
        *hurts: Hurt,
        ended: float = 15.7,
        broken_off: Set[str] = frozenset(),
    ) -> Ledger:
        ledger = Ledger(reached={"a": {"link-1"}}, broken_off=set(broken_off))
        ledger.history.note_stop("gateway-0", 10.0)
        ledger.history.note_gone("gateway-0", 16.0)
        ledger.history.hurts.extend(hurts)
        ledger.asked.append(Asked("a", kind, "gateway-0", sent, ended, ending))
        ledger.check_stops()
        return ledger

    def test_a_late_stream_that_was_cut_or_unanswered_is_lost(self) -> None:
        lost = self.judge(13.1, Ending.CUT).broken
        expected = "a (stream) sent 3.10 s after the SIGTERM of gateway-0: cut 5.70 s after it"
        self.assertEqual(lost, [expected])
        self.assertEqual(len(self.judge(13.1, None).broken), 1)

    def test_a_stream_that_its_upstream_broke_off_is_not_lost(self) -> None:
        self.assertEqual(self.judge(13.1, Ending.CUT, broken_off={"a"}).broken, [])

    def test_other_endings_and_earlier_streams_are_no_breaks(self) -> None:
        for ending in (Ending.WHOLE, Ending.REFUSED, Ending.FAILED):
            self.assertEqual(self.judge(13.1, ending).broken, [])
        for sent in (9.0, 12.9):
            self.assertEqual(self.judge(sent, Ending.CUT).broken, [])

    def test_an_earlier_stream_may_be_cut_only_in_the_last_sixth_of_the_grace(self) -> None:
        for sent in (9.0, 12.9):
            self.assertEqual(self.judge(sent, Ending.CUT, ended=15.1).broken, [])
            self.assertEqual(len(self.judge(sent, Ending.CUT, ended=14.9).broken), 1)

    def test_what_no_upstream_saw_is_no_break(self) -> None:
        ledger = Ledger()
        ledger.history.note_stop("gateway-0", 10.0)
        for kind in Kind:
            ledger.asked.append(Asked("b", kind, "gateway-0", 15.0, 15.1, None))
        ledger.check_stops()
        self.assertEqual(ledger.broken, [])
        self.assertEqual(dict(ledger.streams), {("3 s after", Ending.UNREAD): 1})

    def test_a_plain_request_without_an_answer_is_lost_whenever_it_was_sent(self) -> None:
        for sent in (9.9, 11.0, 15.0):
            self.assertEqual(len(self.judge(sent, None, Kind.PLAIN).broken), 1)

    def test_another_fault_since_excuses(self) -> None:
        for target, begin, end, excused in (
            ("gateway-0", 15.7, 15.7, True),
            ("link-1", 9.5, 10.5, True),
            ("link-1", 5.0, 8.5, False),
            ("link-2", 12.0, 14.0, False),
            ("gateway-1", 12.0, 14.0, False),
            ("gateway-0", 15.9, 17.0, False),
        ):
            found = self.judge(13.1, Ending.CUT, Kind.STREAM, Hurt(target, begin, end)).broken
            self.assertEqual(found == [], excused, (target, begin))

    def test_a_second_signal_and_a_new_process_change_nothing(self) -> None:
        ledger = Ledger(reached={"a": {"link-1"}, "b": {"link-1"}})
        history = ledger.history
        history.note_stop("gateway-0", 10.0)
        history.note_stop("gateway-0", 14.0)
        self.assertEqual(history.get_stopping("gateway-0"), 10.0)
        history.note_gone("gateway-0", 16.0)
        self.assertIsNone(history.get_stopping("gateway-0"))
        ledger.asked.append(Asked("a", Kind.STREAM, "gateway-0", 13.5, 15.7, Ending.CUT))
        ledger.asked.append(Asked("b", Kind.STREAM, "gateway-0", 16.1, 17.0, Ending.CUT))
        ledger.check_stops()
        self.assertEqual(len(ledger.broken), 1)

    def test_the_table_counts_streams_by_when_they_were_sent(self) -> None:
        ledger = self.judge(9.0, Ending.WHOLE)
        rows = [line.split() for line in ledger.render_streams().splitlines()]
        self.assertEqual(rows[0][2:], [ending.value for ending in Ending])
        self.assertEqual(rows[2], ["before", "1", "0", "0", "0", "0", "0"])


class ShortSoakTest(unittest.TestCase):
    def test_a_short_run_breaks_no_promise(self) -> None:
        command = [sys.executable, "tools/soak.py", SEED, SECONDS]
        done = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=LIMIT_SECONDS, check=False
        )
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr[-2000:])
        self.assertIn("0 broken", done.stdout)
