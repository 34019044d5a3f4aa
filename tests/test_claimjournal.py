"""Tests of the state machine of the claim journal."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from daleroad.claimjournal import Acquire, Claim, ClaimJournal, ClaimState, Release, Settle
from daleroad.errors import FailureKind


def make_claim(generation: str, key: str = "k", digest: str = "d", at: float = 0.0) -> Claim:
    return Claim("o", key, digest, "entry", "u", generation, at)


class ClaimsTest(unittest.TestCase):
    def test_one_generation_holds_a_key(self) -> None:
        journal = ClaimJournal()
        self.assertTrue(journal.apply(Acquire(make_claim("g1"))).acquired)
        second = journal.apply(Acquire(make_claim("g2")))
        self.assertEqual((second.acquired, second.claim.generation), (False, "g1"))
        self.assertTrue(journal.apply(Acquire(make_claim("g1"))).acquired)

    def test_a_different_request_with_the_same_key_conflicts(self) -> None:
        journal = ClaimJournal()
        journal.apply(Acquire(make_claim("g1")))
        outcome = journal.apply(Acquire(make_claim("g2", digest="other")))
        self.assertIs(outcome.failure.kind, FailureKind.KEY_CONFLICT)

    def test_only_the_holder_of_a_running_claim_releases_it(self) -> None:
        journal = ClaimJournal()
        journal.apply(Acquire(make_claim("g1")))
        self.assertFalse(journal.apply(Release("o", "k", "g2")).acquired)
        self.assertTrue(journal.apply(Release("o", "k", "g1")).acquired)
        journal.apply(Acquire(make_claim("g3")))
        journal.apply(Settle("o", "k", "g3", ClaimState.DONE, "answer", 1.0))
        self.assertFalse(journal.apply(Release("o", "k", "g3")).acquired)

    def test_a_done_claim_is_final(self) -> None:
        journal = ClaimJournal()
        journal.apply(Acquire(make_claim("g")))
        journal.apply(Settle("o", "k", "g", ClaimState.DONE, "a", 1.0))
        journal.apply(Settle("o", "k", "g", ClaimState.UNKNOWN, "", 2.0))
        self.assertIs(journal.claims["o", "k"].state, ClaimState.DONE)

    def test_settled_claims_expire_and_the_journal_size_is_bounded(self) -> None:
        journal = ClaimJournal(max_claims=3, retention_seconds=10.0)
        for n in range(3):
            journal.apply(Acquire(make_claim(f"g{n}", f"k{n}")))
        full = journal.apply(Acquire(make_claim("g3", "k3", at=1.0)))
        self.assertIs(full.failure.kind, FailureKind.OVERLOADED)
        journal.apply(Settle("o", "k0", "g0", ClaimState.DONE, "", 1.0))
        self.assertTrue(journal.apply(Acquire(make_claim("g4", "k4", at=25.0))).acquired)

    @given(
        st.lists(st.tuples(st.integers(0, 2), st.integers(0, 3), st.integers(0, 2)), max_size=60)
    )
    def test_a_dump_loads_to_the_same_state(self, steps: list) -> None:
        journal = ClaimJournal()
        for action, generation, key in steps:
            name, claim_key = f"g{generation}", f"k{key}"
            match action:
                case 0:
                    journal.apply(Acquire(make_claim(name, claim_key)))
                case 1:
                    journal.apply(Settle("o", claim_key, name, ClaimState.DONE, "", 0.0))
                case 2:
                    journal.apply(Release("o", claim_key, name))
        other = ClaimJournal()
        other.load(journal.dump())
        self.assertEqual(other.claims, journal.claims)
        self.assertEqual(list(other.claims), list(journal.claims))
