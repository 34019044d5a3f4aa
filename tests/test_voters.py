"""Tests of automatic voter selection, and of membership changes in a running group."""

import unittest
from random import Random

from daleroad.consensus import Replica, Role
from daleroad.errors import Failure
from daleroad.logtypes import Commit, Durable, Member, Send, Snapshot
from daleroad.voters import plan_voters

A, B, C, D, E, F = (Member(name, f"disk-{name}") for name in "abcdef")
STEP_SECONDS = 0.02


class PlanTest(unittest.TestCase):
    def test_without_a_standby_nothing_changes(self) -> None:
        self.assertIsNone(plan_voters((A, B, C), {"a", "b"}, [A, B]))

    def test_a_standby_replaces_a_silent_voter(self) -> None:
        self.assertEqual(plan_voters((A, B, C), {"a", "b"}, [A, B, D]), (A, B, D))

    def test_only_one_voter_is_replaced_at_a_time(self) -> None:
        self.assertEqual(plan_voters((A, B, C), {"a"}, [D, E]), (A, D, C))

    def test_the_number_of_voters_grows_to_the_limit_and_stays_odd(self) -> None:
        heard = {"a", "b", "c"}
        self.assertIsNone(plan_voters((A, B, C), heard, [D]))
        self.assertEqual(plan_voters((A, B, C), heard, [D, E]), (A, B, C, D, E))
        self.assertEqual(plan_voters((A,), {"a"}, [B, C]), (A, B, C))
        five = {"a", "b", "c", "d", "e"}
        self.assertIsNone(plan_voters((A, B, C, D, E), five, [F]))

    def test_a_new_incarnation_of_a_voter_is_not_a_standby(self) -> None:
        self.assertIsNone(plan_voters((A, B, C), {"a", "b"}, [Member("c", "another disk")]))


class SimulatedGroup:
    """Replicas in virtual time whose messages are delivered at once."""

    def __init__(self, *members: Member) -> None:
        self.now = 0.0
        self.replicas: dict[str, Replica] = {}
        self.committed: dict[str, list[str]] = {}
        snapshot = Snapshot(1, 0, members, "")
        for member in members:
            self.start(member, snapshot)

    def start(self, member: Member, snapshot: Snapshot | None = None) -> None:
        durable = Durable(member.incarnation, snapshot=snapshot or Snapshot(0, 0, (), ""))
        random = Random(member.name)
        self.replicas[member.name] = Replica(member.name, (), durable, self.now, random)
        self.committed[member.name] = []
        self.execute(member.name, self.replicas[member.name].take_effects())

    def execute(self, name: str, effects: list) -> None:
        for effect in effects:
            match effect:
                case Send(to, message) if to in self.replicas:
                    self.execute(to, self.replicas[to].receive(message, self.now))
                case Commit(entries):
                    self.committed[name] += [entry.payload for entry in entries]

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for name in list(self.replicas):
                self.execute(name, self.replicas[name].tick(self.now))

    def get_leader(self) -> Replica:
        leaders = [r for r in self.replicas.values() if r.role is Role.LEADER]
        return max(leaders, key=lambda replica: replica.term)

    def propose(self, payload: str) -> None:
        leader = self.get_leader()
        assert not isinstance(leader.propose([payload], self.now), Failure)
        self.execute(leader.name, leader.take_effects())
        self.run(1.0)


class ReplacementTest(unittest.TestCase):
    def setUp(self) -> None:
        self.group = SimulatedGroup(A, B, C)
        self.group.run(3.0)
        self.group.propose("first")

    def replace(self, new: Member, members: tuple[Member, ...]) -> None:
        self.group.start(new)
        leader = self.group.get_leader()
        leader.set_learners([new.name])
        self.group.run(1.0)
        self.assertIn(new, leader.list_caught_up())
        outcome = leader.propose_members(members, self.group.now)
        self.assertNotIsInstance(outcome, Failure)
        self.group.execute(leader.name, leader.take_effects())
        self.group.run(1.0)

    def test_a_learner_receives_the_log_without_a_vote(self) -> None:
        self.group.start(D)
        leader = self.group.get_leader()
        leader.set_learners(["d"])
        self.group.run(1.0)
        self.assertIn("first", self.group.committed["d"])
        for name in [n for n in "abc" if n != leader.name]:
            del self.group.replicas[name]
        self.group.run(3.0)
        # The leader and a learner are not a majority.
        self.assertFalse(leader.has_lease(self.group.now))

    def test_the_group_survives_another_loss_after_a_replacement(self) -> None:
        leader = self.group.get_leader().name
        removed = next(name for name in "abc" if name != leader)
        del self.group.replicas[removed]
        kept = tuple(m for m in (A, B, C) if m.name != removed)
        self.replace(D, (*kept, D))
        del self.group.replicas[leader]
        self.group.run(4.0)
        self.assertNotEqual(self.group.get_leader().name, leader)
        self.group.propose("second")
        for name in self.group.replicas:
            self.assertEqual([p for p in self.group.committed[name] if p], ["first", "second"])

    def test_a_removed_member_that_returns_does_not_disrupt_the_leader(self) -> None:
        removed = next(n for n in "abc" if n != self.group.get_leader().name)
        removed_replica = self.group.replicas.pop(removed)
        kept = tuple(m for m in (A, B, C) if m.name != removed)
        self.replace(D, (*kept, D))
        term = self.group.get_leader().term
        self.group.replicas[removed] = removed_replica
        self.group.run(5.0)
        self.assertEqual(self.group.get_leader().term, term)
        self.assertIsNot(removed_replica.role, Role.LEADER)
