"""Tests of patches between versions of the routing configuration."""

import json
import unittest
from dataclasses import replace
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from daleroad.documents import MAX_KEPT_VERSIONS, DocumentHistory
from daleroad.errors import Failure
from daleroad.patches import Patch, apply_patch, make_patch
from daleroad.sitestate import Document


def make_text(random: Random, routes: int) -> str:
    """Return a configuration with random route names."""
    names = [f"r-{random.randrange(16**7):07x}" for _ in range(routes)]
    return json.dumps(
        {"routes": [{"name": name, "prefix": f"/{name[2:]}/", "timeout": 800} for name in names]}
    )


class PatchTest(unittest.TestCase):
    @given(st.text(max_size=400), st.text(max_size=400))
    @settings(max_examples=100, deadline=None)
    def test_a_patch_restores_any_text_from_any_other(self, before: str, after: str) -> None:
        self.assertEqual(apply_patch(before, make_patch(1, before, after)), after)

    def test_a_patch_is_small_for_a_changed_inserted_or_truncated_part(self) -> None:
        random = Random(1)
        before = make_text(random, 900)
        offset = before.index("800", len(before) // 2)
        inserted = before[: len(before) // 3] + make_text(random, 20) + before[len(before) // 3 :]
        for after in (before[:offset] + "12000" + before[offset + 3 :], inserted, before[:40_000]):
            patch = make_patch(1, before, after)
            self.assertEqual(apply_patch(before, patch), after)
            self.assertGreater(len(before), 50_000)
            # Plain compression of such a text leaves about a quarter of it.
            self.assertLess(len(patch.data), len(before) / 25)

    def test_a_patch_for_another_text_or_a_corrupt_patch_returns_a_failure(self) -> None:
        before, after = (make_text(Random(seed), 300) for seed in (1, 2))
        patch = make_patch(1, before, after)
        self.assertIsInstance(apply_patch(after, patch), Failure)
        for data in ("", "?", patch.data[:-8], patch.data[4:], "AAAA", "////"):
            self.assertIsInstance(apply_patch(before, replace(patch, data=data)), Failure, data)

    @given(st.text(max_size=60))
    @settings(max_examples=100, deadline=None)
    def test_arbitrary_patch_data_returns_a_failure(self, data: str) -> None:
        self.assertIsInstance(apply_patch("text", Patch(1, "0", data)), Failure)


class HistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = DocumentHistory()
        self.texts = {version: make_text(Random(7), 30 + version) for version in range(1, 12)}
        for version, text in self.texts.items():
            self.history.add(Document(version, text))
        self.newest = Document(11, self.texts[11])

    def test_a_follower_with_a_kept_version_gets_a_patch(self) -> None:
        for version in range(12 - MAX_KEPT_VERSIONS, 11):
            update = self.history.make_update(self.newest, version, False)
            assert update.patch is not None
            self.assertIsNone(update.document)
            self.assertEqual(apply_patch(self.texts[version], update.patch), self.newest.text)

    def test_a_follower_without_a_kept_version_or_on_request_gets_the_full_text(self) -> None:
        for version, whole in ((0, False), (11 - MAX_KEPT_VERSIONS, False), (10, True)):
            update = self.history.make_update(self.newest, version, whole)
            self.assertEqual((update.document, update.patch), (self.newest.text, None))

    def test_a_follower_that_is_up_to_date_gets_nothing(self) -> None:
        for version in (11, 12):
            update = self.history.make_update(self.newest, version, True)
            self.assertEqual((update.document, update.patch), (None, None))
