"""Tests of who votes, and of a log whose members change without an operator."""

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

    def test_a_standby_takes_the_vote_of_a_silent_member(self) -> None:
        self.assertEqual(plan_voters((A, B, C), {"a", "b"}, [A, B, D]), (A, B, D))

    def test_one_vote_changes_at_a_time(self) -> None:
        self.assertEqual(plan_voters((A, B, C), {"a"}, [D, E]), (A, D, C))

    def test_votes_stay_odd_and_grow_to_the_limit(self) -> None:
        heard = {"a", "b", "c"}
        self.assertIsNone(plan_voters((A, B, C), heard, [D]))
        self.assertEqual(plan_voters((A, B, C), heard, [D, E]), (A, B, C, D, E))
        self.assertEqual(plan_voters((A,), {"a"}, [B, C]), (A, B, C))
        five = {"a", "b", "c", "d", "e"}
        self.assertIsNone(plan_voters((A, B, C, D, E), five, [F]))

    def test_a_new_disk_at_a_members_address_is_no_standby(self) -> None:
        self.assertIsNone(plan_voters((A, B, C), {"a", "b"}, [Member("c", "another disk")]))


class Group:
    """Replicas that hear each other at once, in steps of virtual time."""

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
        self.carry_out(member.name, self.replicas[member.name].take())

    def carry_out(self, name: str, effects: list) -> None:
        for effect in effects:
            match effect:
                case Send(to, message) if to in self.replicas:
                    self.carry_out(to, self.replicas[to].receive(message, self.now))
                case Commit(entries):
                    self.committed[name] += [entry.payload for entry in entries]

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for name in list(self.replicas):
                self.carry_out(name, self.replicas[name].tick(self.now))

    def get_leader(self) -> Replica:
        leaders = [r for r in self.replicas.values() if r.role is Role.LEADER]
        return max(leaders, key=lambda replica: replica.term)

    def propose(self, payload: str) -> None:
        leader = self.get_leader()
        assert not isinstance(leader.propose([payload], self.now), Failure)
        self.carry_out(leader.name, leader.take())
        self.run(1.0)


class ReplacementTest(unittest.TestCase):
    def setUp(self) -> None:
        self.group = Group(A, B, C)
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
        self.group.carry_out(leader.name, leader.take())
        self.group.run(1.0)

    def test_a_learner_gets_the_log_and_has_no_vote(self) -> None:
        self.group.start(D)
        leader = self.group.get_leader()
        leader.set_learners(["d"])
        self.group.run(1.0)
        self.assertIn("first", self.group.committed["d"])
        for name in [n for n in "abc" if n != leader.name]:
            del self.group.replicas[name]
        self.group.run(3.0)
        # Leader and learner alone are no majority.
        self.assertFalse(leader.has_lease(self.group.now))

    def test_a_replaced_member_can_be_followed_by_another_loss(self) -> None:
        leader = self.group.get_leader().name
        gone = next(name for name in "abc" if name != leader)
        del self.group.replicas[gone]
        kept = tuple(m for m in (A, B, C) if m.name != gone)
        self.replace(D, (*kept, D))
        del self.group.replicas[leader]
        self.group.run(4.0)
        self.assertNotEqual(self.group.get_leader().name, leader)
        self.group.propose("second")
        for name in self.group.replicas:
            self.assertEqual([p for p in self.group.committed[name] if p], ["first", "second"])

    def test_a_removed_member_that_comes_back_does_not_disturb(self) -> None:
        gone = next(n for n in "abc" if n != self.group.get_leader().name)
        away = self.group.replicas.pop(gone)
        kept = tuple(m for m in (A, B, C) if m.name != gone)
        self.replace(D, (*kept, D))
        term = self.group.get_leader().term
        self.group.replicas[gone] = away
        self.group.run(5.0)
        self.assertEqual(self.group.get_leader().term, term)
        self.assertIsNot(away.role, Role.LEADER)
