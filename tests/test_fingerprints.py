"""Tests of what makes two requests the same one."""

import unittest
from dataclasses import replace

from daleroad.fingerprints import FINGERPRINT_LETTERS, find_fingerprint, make_fingerprint
from tests.fakes import make_job

PARTS = ("caller", "POST", "h.example", b"/a/b?c=1", b"body")


class FingerprintTest(unittest.TestCase):
    def test_each_part_counts_and_none_passes_for_another(self) -> None:
        found = make_fingerprint(*PARTS)
        self.assertEqual(len(found), FINGERPRINT_LETTERS)
        others = [
            ("other", "POST", "h.example", b"/a/b?c=1", b"body"),
            ("caller", "GET", "h.example", b"/a/b?c=1", b"body"),
            ("caller", "POST", "i.example", b"/a/b?c=1", b"body"),
            ("caller", "POST", "h.example", b"/a/b?c=2", b"body"),
            ("caller", "POST", "h.example", b"/a/b?c=1", b"body "),
            ("caller", "POST", "h.example", b"/a/b?c=1b", b"ody"),
            ("callerP", "OST", "h.example", b"/a/b?c=1", b"body"),
        ]
        self.assertEqual(len({make_fingerprint(*parts) for parts in others} | {found}), 8)

    def test_the_id_of_an_attempt_and_headers_say_nothing(self) -> None:
        job = make_job(0.0)
        other = replace(job, id="another", headers=((b"x", b"y"),), received_at=9.0)
        self.assertEqual(find_fingerprint(job, "org"), find_fingerprint(other, "org"))

    def test_without_an_organisation_the_key_is_the_caller(self) -> None:
        job = make_job(0.0)
        keyed = replace(job, key="key")
        self.assertNotEqual(find_fingerprint(job, ""), find_fingerprint(keyed, ""))
        self.assertEqual(find_fingerprint(job, "org"), find_fingerprint(keyed, "org"))
