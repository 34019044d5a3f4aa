"""Tests of configurations told as what differs from one that the reader has."""

import json
import unittest
from dataclasses import replace
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from daleroad.documents import DOCUMENTS_KEPT, DocumentHistory
from daleroad.errors import Failure
from daleroad.patches import Patch, apply_patch, make_patch
from daleroad.siterecord import Document


def make_text(random: Random, routes: int) -> str:
    """Return a configuration with names that do not repeat."""
    names = [f"r-{random.randrange(16**7):07x}" for _ in range(routes)]
    return json.dumps(
        {"routes": [{"name": name, "prefix": f"/{name[2:]}/", "timeout": 800} for name in names]}
    )


class PatchTest(unittest.TestCase):
    @given(st.text(max_size=400), st.text(max_size=400))
    @settings(max_examples=100, deadline=None)
    def test_any_text_is_made_from_any_other(self, before: str, after: str) -> None:
        self.assertEqual(apply_patch(before, make_patch(1, before, after)), after)

    def test_a_change_in_a_long_text_is_short(self) -> None:
        random = Random(1)
        before = make_text(random, 900)
        at = before.index("800", len(before) // 2)
        inserted = before[: len(before) // 3] + make_text(random, 20) + before[len(before) // 3 :]
        for after in (before[:at] + "12000" + before[at + 3 :], inserted, before[:40_000]):
            patch = make_patch(1, before, after)
            self.assertEqual(apply_patch(before, patch), after)
            self.assertGreater(len(before), 50_000)
            # A whole text of this kind is compressed to a quarter.
            self.assertLess(len(patch.data), len(before) / 25)

    def test_a_patch_for_another_text_or_a_broken_one_is_a_failure(self) -> None:
        before, after = (make_text(Random(seed), 300) for seed in (1, 2))
        patch = make_patch(1, before, after)
        self.assertIsInstance(apply_patch(after, patch), Failure)
        for data in ("", "?", patch.data[:-8], patch.data[4:], "AAAA", "////"):
            self.assertIsInstance(apply_patch(before, replace(patch, data=data)), Failure, data)

    @given(st.text(max_size=60))
    @settings(max_examples=100, deadline=None)
    def test_whatever_comes_as_a_patch_is_refused(self, data: str) -> None:
        self.assertIsInstance(apply_patch("text", Patch(1, "0", data)), Failure)


class HistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = DocumentHistory()
        self.texts = {version: make_text(Random(7), 30 + version) for version in range(1, 12)}
        for version, text in self.texts.items():
            self.history.note(Document(version, text))
        self.newest = Document(11, self.texts[11])

    def test_a_follower_that_is_a_little_behind_is_told_what_differs(self) -> None:
        for version in range(12 - DOCUMENTS_KEPT, 11):
            news = self.history.tell(self.newest, version, False)
            assert news.patch is not None
            self.assertIsNone(news.document)
            self.assertEqual(apply_patch(self.texts[version], news.patch), self.newest.text)

    def test_one_that_is_far_behind_or_asks_for_it_is_told_the_whole(self) -> None:
        for version, whole in ((0, False), (11 - DOCUMENTS_KEPT, False), (10, True)):
            news = self.history.tell(self.newest, version, whole)
            self.assertEqual((news.document, news.patch), (self.newest.text, None))

    def test_one_that_has_it_is_told_nothing(self) -> None:
        for version in (11, 12):
            news = self.history.tell(self.newest, version, True)
            self.assertEqual((news.document, news.patch), (None, None))
