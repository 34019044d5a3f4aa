"""Tests of settings."""

import unittest
from dataclasses import replace

from daleroad.loopback import format_settings, make_site
from daleroad.settings import Settings, parse_settings


def make_text() -> str:
    return format_settings(make_site("data").control[0])


class SettingsTest(unittest.TestCase):
    def test_round_trip(self) -> None:
        for settings in (make_site("data").control[0], make_site("data").entries[0]):
            self.assertEqual(parse_settings(format_settings(settings)), settings)

    def find_fault(self, text: str) -> str:
        faults = parse_settings(text)
        self.assertNotIsInstance(faults, Settings)
        return "; ".join(str(fault) for fault in faults)

    def test_refuses_unknown_keys_and_sections(self) -> None:
        self.assertIn("limits2", self.find_fault(make_text() + "\n[limits2]\ncolour = 1\n"))
        text = make_text().replace("[limits]", "[limits]\ncolour = 1")
        self.assertIn("colour", self.find_fault(text))

    def test_refuses_impossible_leases(self) -> None:
        entry = make_site("data").entries[0]
        for wrong, said in (
            (replace(entry, entry_lease=2.0), "twice follow"),
            (replace(entry, entry_lease=9.0), "at most 8 s"),
            (replace(entry, upstream_lease=0.6), "twice report"),
        ):
            self.assertIn(said, self.find_fault(format_settings(wrong)))

    def test_refuses_a_stop_that_is_over_before_callers_stop_coming(self) -> None:
        entry = replace(make_site("data").entries[0], locate_keep=2.0, follow=0.5)
        for stop, fits in ((3.4, False), (3.5, True), (90.0, True)):
            with self.subTest(stop=stop):
                found = parse_settings(format_settings(replace(entry, stop=stop)))
                if fits:
                    self.assertEqual(found, replace(entry, stop=stop))
                else:
                    said = "; ".join(str(fault) for fault in found)
                    self.assertIn("[limits] stop = '3.4'", said)
                    self.assertIn("at least locate_keep, follow and 1 s to end (3.5 s)", said)

    def test_stop_must_be_above_0(self) -> None:
        entry = make_site("data").entries[0]
        self.assertIn("kill, above 0", self.find_fault(format_settings(replace(entry, stop=0.0))))

    def test_refuses_duplicate_addresses(self) -> None:
        control = make_site("data").control[0]
        same = dict.fromkeys(control.control, control.address)
        self.assertIn("different", self.find_fault(format_settings(replace(control, control=same))))

    def test_refuses_missing_values(self) -> None:
        self.assertIn("availability zone", self.find_fault(make_text().replace("hall-a", "")))
        self.assertIn("folder", self.find_fault(make_text().replace("data = data/control-0", "")))

    def test_refuses_what_is_not_ini(self) -> None:
        self.assertIn("INI", self.find_fault("not ini"))
