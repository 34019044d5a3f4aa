"""Fault tests of the control processes: kills, freezes, partitions, lost disks and restarts."""

import shutil
import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path

import orjson

from daleroad.control import initialise_data_folder
from daleroad.daleroad_pb import ChangeAnswer
from daleroad.errors import Failure
from daleroad.loopback import Site
from daleroad.operating import OperatorClient
from daleroad.records import Organisation
from daleroad.security import hash_token
from daleroad.settings import Settings
from tests.harness import SiteTest, get_json, wait_for

TAMARACK = "tamarack"


def make_organisation(number: int, weight: float = 1.0) -> Organisation:
    return Organisation(f"herd-{number}", TAMARACK, hash_token(f"t{number}"), weight)


class ControlTest(SiteTest):
    """Base of tests with real control processes and an entry, without upstreams."""

    ENTRIES = 1

    def change_site(self, site: Site) -> Site:
        return replace(site, engines=(), plain=())

    def setUp(self) -> None:
        super().setUp()
        self.operator = self.make_operator(TAMARACK)

    def put(self, number: int, base: int = 0, operation: str = "", wait: float = 8.0):
        answer = self.operator.put(make_organisation(number), base, operation, wait)
        self.assertIsInstance(answer, ChangeAnswer, answer)
        return answer

    def list_names(self) -> set[str]:
        answer = self.operator.read("Organisation")
        self.assertNotIsInstance(answer, Failure)
        return {v["record"]["name"] for v in orjson.loads(answer.body)}

    def get_status(self, settings: Settings) -> dict:
        return get_json(f"{settings.url}/status")

    def wait_until_caught_up(self, settings: Settings) -> None:
        def has_caught_up() -> bool:
            leader = self.get_status(self.find_leader())
            own = self.get_status(settings)
            return own["revision"] == leader["revision"]

        wait_for(has_caught_up, f"{settings.name} caught up")

    def wait_until_voting(self, settings: Settings) -> None:
        wait_for(lambda: self.get_status(settings)["votes"], f"{settings.name} votes")


class FailoverTest(ControlTest):
    def test_a_killed_leader_loses_nothing_and_a_resend_gets_the_first_answer(self) -> None:
        first = self.put(1, operation="op-1")
        self.assertTrue(first.accepted and first.in_force)
        self.processes.kill(self.find_leader().name)
        repeated = self.put(1, operation="op-1")
        self.assertEqual((repeated.accepted, repeated.version), (True, first.version))
        self.assertTrue(self.put(2).in_force)
        self.assertLessEqual({"herd-1", "herd-2"}, self.list_names())

    def test_a_frozen_and_thawed_leader_takes_nothing_back(self) -> None:
        former_leader = self.find_leader()
        self.put(1)
        self.processes.freeze(former_leader.name)
        try:
            second = self.put(2)
            self.assertTrue(second.accepted)
        finally:
            self.processes.thaw(former_leader.name)
        self.wait_until_caught_up(former_leader)
        self.assertFalse(self.get_status(former_leader)["leading"])
        self.assertLessEqual({"herd-1", "herd-2"}, self.list_names())
        self.assertTrue(self.put(3).in_force)

    def test_a_lost_majority_refuses_and_comes_back(self) -> None:
        leader = self.find_leader()
        for settings in self.site.control:
            if settings.name != leader.name:
                self.processes.kill(settings.name)
        wait_for(lambda: not self.get_status(leader)["leading"], "the leader stepped down")
        short_timeout_client = OperatorClient([leader.url], "operator-tamarack-token", 2.0)
        self.addCleanup(short_timeout_client.close)
        answer = short_timeout_client.put(make_organisation(1), 0)
        self.assertIsInstance(answer, Failure)
        entry = self.site.entries[0]
        wait_for(lambda: not self.get_status(entry)["lease"], "the entry's lease ran out")
        for settings in self.site.control:
            if settings.name != leader.name:
                self.processes.start(settings)
        self.assertTrue(self.put(2).in_force)
        wait_for(lambda: self.get_status(entry)["lease"], "the entry's lease")

    def test_restart_of_all_after_500_changes(self) -> None:
        with ThreadPoolExecutor(8) as pool:
            answers = list(pool.map(lambda n: self.put(n, wait=0.0), range(500)))
        self.assertTrue(all(answer.accepted for answer in answers))
        for settings in self.site.control:
            self.processes.kill(settings.name)
        for settings in self.site.control:
            self.processes.start(settings)
        names = self.list_names()
        self.assertLessEqual({f"herd-{n}" for n in range(500)}, names)
        audit = self.operator.audit(most=1000)
        self.assertNotIsInstance(audit, Failure)
        rows = [orjson.loads(row) for row in audit.rows]
        self.assertGreaterEqual(sum(row["outcome"] == "accepted" for row in rows), 500)


class OperatorsTest(ControlTest):
    def test_operators_racing_on_equal_versions(self) -> None:
        version = self.put(1).version
        barrier = threading.Barrier(6)

        def race(weight: int) -> ChangeAnswer | Failure:
            client = self.make_operator(TAMARACK)
            barrier.wait()
            return client.put(make_organisation(1, 1.0 + weight), version)

        with ThreadPoolExecutor(6) as pool:
            answers = list(pool.map(race, range(6)))
        accepted = [a for a in answers if a.accepted]
        rejected = [a for a in answers if not a.accepted]
        self.assertEqual(len(accepted), 1)
        self.assertEqual({a.failure for a in rejected}, {"version-conflict"})
        current = {orjson.loads(a.current)["weight"] for a in rejected}
        self.assertEqual(len(current), 1)
        rows = [orjson.loads(row) for row in self.operator.audit().rows]
        conflicts = [row for row in rows if row["outcome"] == "version-conflict"]
        self.assertEqual(len(conflicts), 5)

    def test_operators_cannot_read_or_change_records_of_another_partner(self) -> None:
        self.put(1)
        other = self.make_operator("stoyanov")
        for answer in (
            other.put(make_organisation(1), 0),
            other.put(replace(make_organisation(9), partner="tamarack"), 0),
            other.change("RemoveOrganisation", '{"name": "herd-1"}', 1),
        ):
            self.assertEqual((answer.accepted, answer.failure), (False, "forbidden"))
        self.assertNotIn("herd-1", other.read("Organisation").body)
        self.assertIn("herd-1", self.list_names())

    def test_invalid_changes_and_unknown_operators_are_rejected_with_a_failure_kind(self) -> None:
        for kind, body in (
            ("PutRoute", '{"name": "r", "partner": "tamarack", "service": "none"}'),
            ("PutRoute", '{"name": "r"}'),
            ("PutHerd", "{}"),
            ("PutShare", '{"name": "s2", "partner": "tamarack", "share": 0.9}'),
            ("RemoveService", '{"name": "drafting-models"}'),
        ):
            answer = self.operator.change(kind, body, 0)
            self.assertFalse(answer.accepted, kind)
            self.assertTrue(answer.failure)
        unknown_operator = OperatorClient([s.url for s in self.site.control], "nobody", 5.0)
        self.addCleanup(unknown_operator.close)
        self.assertEqual(unknown_operator.read("Organisation").kind.value, "unauthenticated")


class DiskTest(ControlTest):
    def wipe(self, settings: Settings) -> None:
        self.processes.kill(settings.name)
        shutil.rmtree(settings.data)

    def get_follower(self) -> Settings:
        leader = self.find_leader()
        return next(s for s in self.site.control if s.name != leader.name)

    def test_a_second_vm_lost_right_after_a_repair(self) -> None:
        self.put(1)
        repaired = self.get_follower()
        self.wipe(repaired)
        self.put(2)
        self.processes.start(repaired)
        self.wait_until_voting(repaired)
        self.wait_until_caught_up(repaired)
        second = self.find_leader()
        self.wipe(second)
        self.assertLessEqual({"herd-1", "herd-2"}, self.list_names())
        self.assertTrue(self.put(3).accepted)

    def test_a_damaged_file_refuses_to_start_and_repair_brings_it_back(self) -> None:
        self.put(1)
        damaged = self.get_follower()
        self.processes.kill(damaged.name)
        path = Path(damaged.data) / "catalog.db"
        for file in path.parent.glob("catalog.db-*"):
            file.unlink()
        content = bytearray(path.read_bytes())
        content[: len(content) // 2] = b"x" * (len(content) // 2)
        path.write_bytes(content)
        self.processes.start(damaged)
        process = self.processes.running[damaged.name]
        self.assertEqual(process.wait(60), 1)
        log = self.processes.read_log(damaged.name)
        self.assertIn("daleroad repair", log)
        self.assertIn("D111 STORAGE_REFUSED", log)
        self.processes.run_command("repair", damaged)
        self.processes.start(damaged)
        self.wait_until_voting(damaged)
        self.wait_until_caught_up(damaged)

    def test_a_disk_rolled_back_is_found_out_and_readmitted_as_a_new_one(self) -> None:
        self.put(1)
        rolled_back = self.get_follower()
        self.processes.kill(rolled_back.name)
        backup = Path(f"{rolled_back.data}-copy")
        shutil.copytree(rolled_back.data, backup)
        self.processes.start(rolled_back)
        self.wait_until_voting(rolled_back)
        for number in range(2, 30):
            self.put(number, wait=0.0)
        self.wait_until_caught_up(rolled_back)
        self.wipe(rolled_back)
        shutil.copytree(backup, rolled_back.data)
        self.processes.start(rolled_back)

        def is_readmitted() -> bool:
            status = self.get_status(rolled_back)
            return status["votes"] and status["incarnation"] != f"founding-{rolled_back.name}"

        wait_for(is_readmitted, "the member was readmitted under a new incarnation")
        self.wait_until_caught_up(rolled_back)
        self.assertLessEqual({f"herd-{n}" for n in range(1, 30)}, self.list_names())

    def test_initialising_a_data_folder_in_use_is_rejected(self) -> None:
        with self.assertRaises(Exception) as caught:
            initialise_data_folder(self.site.control[0])
        self.assertIn("in use", str(caught.exception))


class IsolationTest(ControlTest):
    """Network partitions: each pair of control processes is connected through its own relays."""

    def change_site(self, site: Site) -> Site:
        site = super().change_site(site)
        names = [s.name for s in site.control]
        pairs = [(a, b) for a in names for b in names if a != b]
        self.relays = {pair: self.start_relay(site.control[0].control[pair[1]]) for pair in pairs}
        controls = []
        for settings in site.control:
            control = dict(settings.control)
            for name in names:
                if name != settings.name:
                    control[name] = self.relays[settings.name, name][1]
            controls.append(replace(settings, control=control))
        return replace(site, control=tuple(controls))

    def isolate(
        self, name: str, isolated: bool, directions: tuple[str, ...] = ("to", "from")
    ) -> None:
        """Stall traffic to and from a control process, with its connections open, or resume it."""
        for (a, b), (relay, _) in self.relays.items():
            if name == a:
                relay.stalled["to"] = isolated and "from" in directions
                relay.stalled["from"] = isolated and "to" in directions
            if name == b:
                relay.stalled["to"] = isolated and "to" in directions
                relay.stalled["from"] = isolated and "from" in directions

    def test_a_silently_isolated_leader_accepts_nothing_and_catches_up(self) -> None:
        self.put(1)
        former_leader = self.find_leader()
        self.isolate(former_leader.name, True)
        isolated_client = OperatorClient([former_leader.url], "operator-tamarack-token", 3.0)
        self.addCleanup(isolated_client.close)
        answer = isolated_client.put(make_organisation(7), 0, "op-alone", 0.0)
        self.assertTrue(isinstance(answer, Failure) or not answer.accepted)
        for number in range(10, 40):
            self.assertTrue(self.put(number, wait=0.0).accepted)
        self.assertFalse(self.get_status(former_leader)["leading"])
        term = self.get_status(self.find_leader())["term"]
        self.isolate(former_leader.name, False)
        self.wait_until_caught_up(former_leader)
        self.assertEqual(self.get_status(self.find_leader())["term"], term)
        self.assertLessEqual({f"herd-{n}" for n in range(10, 40)}, self.list_names())

    def test_a_member_cut_one_way_does_not_disturb_the_others(self) -> None:
        self.put(1)
        leader = self.find_leader()
        isolated = next(s for s in self.site.control if s.name != leader.name)
        self.isolate(isolated.name, True, ("to",))
        for number in range(10, 20):
            self.assertTrue(self.put(number, wait=0.0).accepted)
        self.isolate(isolated.name, False)
        self.wait_until_caught_up(isolated)
        self.assertEqual(self.find_leader().name, leader.name)
