"""Tests of request fingerprints."""

import unittest
from dataclasses import replace

from daleroad.fingerprints import FINGERPRINT_HEX_DIGITS, fingerprint_job, make_fingerprint
from tests.fakes import make_job

PARTS = ("caller", "POST", "h.example", b"/a/b?c=1", b"body")


class FingerprintTest(unittest.TestCase):
    def test_each_part_counts_and_parts_do_not_run_together(self) -> None:
        found = make_fingerprint(*PARTS)
        self.assertEqual(len(found), FINGERPRINT_HEX_DIGITS)
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

    def test_attempt_ids_and_headers_are_ignored(self) -> None:
        job = make_job(0.0)
        other = replace(job, id="another", headers=((b"x", b"y"),), received_at=9.0)
        self.assertEqual(fingerprint_job(job, "org"), fingerprint_job(other, "org"))

    def test_without_an_organisation_the_key_is_the_caller(self) -> None:
        job = make_job(0.0)
        keyed = replace(job, key="key")
        self.assertNotEqual(fingerprint_job(job, ""), fingerprint_job(keyed, ""))
        self.assertEqual(fingerprint_job(job, "org"), fingerprint_job(keyed, "org"))
