"""Tests of memberships and of the majorities that decide in them."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from daleroad.logtypes import EntryKind, LogEntry, Member
from daleroad.quorum import find_majority_value, is_majority, list_memberships

A, B, C, D, E = (Member(name, f"disk-{name}") for name in "abcde")


def change(index: int, *members: Member) -> LogEntry:
    return LogEntry(index, 1, EntryKind.MEMBERS, "", members)


class MembershipTest(unittest.TestCase):
    def test_a_change_that_is_not_committed_stands_beside_the_committed_one(self) -> None:
        log = [change(3, A, B, C), change(5, A, B, D)]
        self.assertEqual(list_memberships((A,), log, 2), [(A,), (A, B, C), (A, B, D)])
        self.assertEqual(list_memberships((A,), log, 3), [(A, B, C), (A, B, D)])
        self.assertEqual(list_memberships((A,), log, 5), [(A, B, D)])

    def test_without_a_change_the_first_one_stands(self) -> None:
        self.assertEqual(list_memberships((A, B), [], 9), [(A, B)])


class MajorityTest(unittest.TestCase):
    def test_every_membership_must_agree(self) -> None:
        old, new = (A, B, C), (C, D, E)
        self.assertTrue(is_majority([old, new], {A, C, D}))
        self.assertFalse(is_majority([old, new], {A, B, D}))
        self.assertFalse(is_majority([old], {A}))

    def test_half_is_no_majority(self) -> None:
        self.assertFalse(is_majority([(A, B, C, D)], {A, B}))

    def test_a_lost_disk_at_the_same_name_does_not_count(self) -> None:
        self.assertFalse(is_majority([(A, B, C)], {A, Member("b", "another disk")}))

    def test_the_value_is_what_a_majority_of_each_membership_reached(self) -> None:
        values = {A: 9.0, B: 7.0, C: 5.0, D: 1.0}
        self.assertEqual(find_majority_value([(A, B, C)], values), 7.0)
        self.assertEqual(find_majority_value([(A, B, C), (C, D, E)], values), 1.0)
        self.assertEqual(find_majority_value([(D, E)], values), float("-inf"))

    @given(st.dictionaries(st.sampled_from([A, B, C, D, E]), st.integers(0, 9)))
    def test_a_majority_has_reached_the_value(self, values: dict[Member, int]) -> None:
        members = (A, B, C, D, E)
        value = find_majority_value([members], dict(values))
        reached = {member for member, own in values.items() if own >= value}
        if value > float("-inf"):
            self.assertTrue(is_majority([members], reached))
