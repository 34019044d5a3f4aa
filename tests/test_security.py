"""Tests of tokens, generation ids, TLS and the one-file rules."""

import unittest
from pathlib import Path

from daleroad.security import get_bearer, get_upstream, hash_token, is_token, make_generation
from tests.harness import SiteTest, generate

SECRET = "a-cluster-secret-of-length"


class SecurityTest(unittest.TestCase):
    def test_hash_that_is_no_text_of_ascii_is_no_tokens_hash(self) -> None:
        """Guards against a stored record that lets the login of other operators fail."""
        self.assertFalse(is_token("token", "é" * 64))

    def test_tokens(self) -> None:
        self.assertTrue(is_token("t", hash_token("t")))
        self.assertFalse(is_token("u", hash_token("t")))
        self.assertEqual(get_bearer("Bearer  t "), "t")
        self.assertEqual(get_bearer("Basic t"), "")

    def test_a_generation_is_its_organisations_alone(self) -> None:
        generation = make_generation("engine.with.dots", "o", SECRET)
        self.assertEqual(get_upstream(generation, "o", SECRET), "engine.with.dots")
        self.assertIsNone(get_upstream(generation, "p", SECRET))
        self.assertIsNone(get_upstream(generation, "o", "another-secret-of-length"))
        for wrong in ("", ".", "a.b", generation[:-1], "x" + generation):
            self.assertIsNone(get_upstream(wrong, "o", SECRET))


class TreeTest(SiteTest):
    def test_no_process_starts_another_one(self) -> None:
        generate(self.make_caller("danube-barges"), "bulletin", "#tokens=5")
        for name, process in self.processes.running.items():
            children = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text()
            self.assertEqual(children.strip(), "", name)
