"""Tests of the soak: its plan, its ledger, and one short seeded run of the real processes."""

import subprocess
import sys
import unittest
from pathlib import Path
from random import Random

from tools.soak import Ledger, plan_steps

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
