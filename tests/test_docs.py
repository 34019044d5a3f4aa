"""Tests that pages and code agree."""

import re
import unittest
from pathlib import Path

from daleroad.events import Event
from tests.proof import FAULTS, PROOFS, STEPS
from tools.generate_docs import DOCS, make_pages

TESTS = Path(__file__).resolve().parent


class DocsTest(unittest.TestCase):
    def test_generated_pages_are_current(self) -> None:
        for name, text in make_pages().items():
            self.assertEqual((DOCS / name).read_text(), text, f"run tools/generate_docs.py: {name}")

    def test_event_numbers_are_unique(self) -> None:
        numbers = [event.value.number for event in Event]
        self.assertEqual(len(numbers), len(set(numbers)))

    def test_the_matrix_names_known_faults_steps_and_tests(self) -> None:
        for (fault, step), name in PROOFS.items():
            self.assertIn(fault, FAULTS)
            self.assertIn(step, STEPS)
            module, case, test = name.split(".")
            text = (TESTS / f"{module}.py").read_text()
            self.assertRegex(text, rf"class {case}\b")
            self.assertRegex(text, rf"def {re.escape(test)}\b")
