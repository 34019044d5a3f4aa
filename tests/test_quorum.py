"""Tests of the memberships in force and of majorities over them."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from daleroad.logtypes import EntryKind, LogEntry, Member
from daleroad.quorum import find_majority_value, is_majority, list_memberships

A, B, C, D, E = (Member(name, f"disk-{name}") for name in "abcde")


def make_change(index: int, *members: Member) -> LogEntry:
    return LogEntry(index, 1, EntryKind.MEMBERS, "", members)


class MembershipTest(unittest.TestCase):
    def test_an_uncommitted_change_is_in_force_beside_the_committed_membership(self) -> None:
        log = [make_change(3, A, B, C), make_change(5, A, B, D)]
        self.assertEqual(list_memberships((A,), log, 2), [(A,), (A, B, C), (A, B, D)])
        self.assertEqual(list_memberships((A,), log, 3), [(A, B, C), (A, B, D)])
        self.assertEqual(list_memberships((A,), log, 5), [(A, B, D)])

    def test_without_a_change_the_initial_membership_is_in_force(self) -> None:
        self.assertEqual(list_memberships((A, B), [], 9), [(A, B)])


class MajorityTest(unittest.TestCase):
    def test_every_membership_must_agree(self) -> None:
        old, new = (A, B, C), (C, D, E)
        self.assertTrue(is_majority([old, new], {A, C, D}))
        self.assertFalse(is_majority([old, new], {A, B, D}))
        self.assertFalse(is_majority([old], {A}))

    def test_half_is_not_a_majority(self) -> None:
        self.assertFalse(is_majority([(A, B, C, D)], {A, B}))

    def test_another_incarnation_of_a_member_does_not_count(self) -> None:
        self.assertFalse(is_majority([(A, B, C)], {A, Member("b", "another disk")}))

    def test_the_value_is_reached_by_a_majority_of_every_membership(self) -> None:
        values = {A: 9.0, B: 7.0, C: 5.0, D: 1.0}
        self.assertEqual(find_majority_value([(A, B, C)], values), 7.0)
        self.assertEqual(find_majority_value([(A, B, C), (C, D, E)], values), 1.0)
        self.assertEqual(find_majority_value([(D, E)], values), float("-inf"))

    @given(st.dictionaries(st.sampled_from([A, B, C, D, E]), st.integers(0, 9)))
    def test_a_majority_reached_the_value_for_any_values(self, values: dict[Member, int]) -> None:
        members = (A, B, C, D, E)
        value = find_majority_value([members], dict(values))
        reached = {member for member, own in values.items() if own >= value}
        if value > float("-inf"):
            self.assertTrue(is_majority([members], reached))
