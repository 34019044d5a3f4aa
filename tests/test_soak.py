"""Tests of the soak: its plan, its ledger, and one short seeded run of the real processes."""

import subprocess
import sys
import unittest
from pathlib import Path
from random import Random

import anyio
from anyio.abc import SocketStream

from tools.faultylink import FaultyLink, LinkFault
from tools.soak import PROCESS_FAULTS, Ledger, plan_steps

ROOT = Path(__file__).resolve().parent.parent
SEED = "1"
SECONDS = "16"
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


class ShortSoakTest(unittest.TestCase):
    def test_a_short_run_breaks_no_promise(self) -> None:
        command = [sys.executable, "tools/soak.py", SEED, SECONDS]
        done = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=LIMIT_SECONDS, check=False
        )
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr[-2000:])
        self.assertIn("0 broken", done.stdout)
