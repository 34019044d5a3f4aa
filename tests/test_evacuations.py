"""Tests of evacuated zones: replication of the orders, propagation to gateways, refused sends."""

import ast
import io
import json
import os
import shutil
import unittest
from collections.abc import Callable
from contextlib import redirect_stderr, redirect_stdout
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any
from unittest.mock import patch

import anyio
from hypothesis import given
from hypothesis import strategies as st

from daleroad.callers import Caller
from daleroad.codec import encode
from daleroad.commandcalls import SECRET_VARIABLE
from daleroad.coordinator import Coordinator
from daleroad.defaults import EVACUATED_RETRY_SECONDS
from daleroad.dispatch import Attempt, CopyFault, CopySource, NotCopied, NotRun, Whole
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.evacuationcommands import EvacuationCommands
from daleroad.evacuations import (
    MAX_HISTORY,
    EvacuatedZones,
    Evacuations,
    ZoneOrder,
    ZoneOutcome,
)
from daleroad.fleet import Fleet
from daleroad.gateway import Gateway
from daleroad.instances import Instance, Sighting
from daleroad.loads import LoadTotals
from daleroad.notices import PlaceAnswer, PlaceRequest
from daleroad.placer import Placer
from daleroad.routing import Repeat, ServiceRule
from daleroad.sitestate import Document, SiteStateMachine
from tests.fakes import (
    ENGINE,
    PROMPT,
    WHOLE,
    FakeDispatcher,
    make_config,
    make_forwarder,
    make_gateway,
    make_instance,
    make_job,
)
from tests.test_coordinator import Site, make_document, run_site, wait_for
from tests.test_heldrequests import WatchedSite

ZONES = ("a", "b", "c")
GATEWAYS = 71
SPREAD_SECONDS = 2.0
"""Time within which all gateways must apply an order; two fifths of what the platform allows."""

ORDERS = st.lists(st.builds(ZoneOrder, st.sampled_from(ZONES), st.booleans()), max_size=20)


class EvacuationsTest(unittest.TestCase):
    def apply(self, orders: list[ZoneOrder]) -> Evacuations:
        known = Evacuations()
        for index, order in enumerate(orders, start=1):
            known = known.apply(index, order)
        return known

    def test_orders_apply_in_log_order(self) -> None:
        known = self.apply([ZoneOrder("a", True), ZoneOrder("b", True), ZoneOrder("a", False)])
        self.assertEqual(known.current.zones, ("b",))
        self.assertEqual(known.current.version, 3)

    def test_an_order_that_changes_nothing_is_not_recorded(self) -> None:
        once = self.apply([ZoneOrder("a", True)])
        again = self.apply([ZoneOrder("a", True), ZoneOrder("a", True), ZoneOrder("b", False)])
        self.assertEqual(once, again)

    def test_the_history_is_bounded(self) -> None:
        orders = [ZoneOrder("a", bool(n % 2)) for n in range(1, 4 * MAX_HISTORY)]
        self.assertEqual(len(self.apply(orders).history), MAX_HISTORY)

    @given(ORDERS, st.data())
    def test_reapplying_log_entries_changes_nothing(
        self, orders: list[ZoneOrder], data: Any
    ) -> None:
        known = self.apply(orders)
        begin = data.draw(st.integers(0, len(orders)))
        again = known
        for index, order in enumerate(orders[begin:], start=begin + 1):
            again = again.apply(index, order)
        self.assertEqual(again, known)


class SiteRecordTest(unittest.TestCase):
    def test_a_dumped_state_contains_the_zones_and_the_configuration(self) -> None:
        record, fresh = SiteStateMachine(), SiteStateMachine()
        record.apply_payload(1, encode(Document(5, "text")).decode())
        record.apply_payload(2, encode(ZoneOrder("a", True, 7.0, "c:1")).decode())
        fresh.load(record.dump())
        self.assertEqual(fresh.document, Document(5, "text"))
        self.assertEqual(fresh.evacuations, record.evacuations)

    def test_a_state_without_zones_from_an_earlier_version_is_loaded(self) -> None:
        record = SiteStateMachine()
        record.load('{"version":5,"text":"text"}')
        self.assertEqual((record.document, record.zones.zones), (Document(5, "text"), ()))

    def test_loading_an_older_state_keeps_newer_zones(self) -> None:
        record = SiteStateMachine()
        older = record.dump()
        record.apply_payload(4, encode(ZoneOrder("a", True)).decode())
        record.load(older)
        self.assertEqual(record.zones.zones, ("a",))


class OrderTest(unittest.TestCase):
    """Orders sent to a group of coordinators that communicate over loopback."""

    def run_on_site(self, body: Callable, count: int = 3) -> None:
        async def main(site: Site, names: list[str]) -> None:
            for name in names[:3]:
                site.get(name).log._zones = ZONES
            await body(site, names)

        run_site(main, count)

    async def order(self, site: Site, name: str, zone: str, evacuated: bool) -> EvacuatedZones:
        caller = Caller(anyio.current_time())
        answer = await site.get(name).log.set_zone_evacuated(zone, evacuated, caller)
        assert isinstance(answer, ZoneOutcome) and not answer.superseded, answer
        return answer.current

    async def order_with_retries(self, site: Site, name: str, zone: str) -> float:
        """Evacuate a zone, retrying while there is no leader; return when it was last sent.

        A leader steps down if the test process is stalled for too long.
        """
        while True:
            sent = anyio.current_time()
            answer = await site.get(name).log.set_zone_evacuated(zone, True, Caller(sent))
            if isinstance(answer, ZoneOutcome):
                self.assertFalse(answer.superseded)
                return sent
            self.assertIs(answer.kind, FailureKind.NO_MAJORITY)
            await anyio.sleep(answer.retry_after or 0.0)

    def test_the_same_order_gets_the_same_answer_everywhere_and_one_entry(self) -> None:
        async def body(site: Site, names: list[str]) -> None:
            answers = [await self.order(site, name, "a", True) for name in (*names, *names)]
            self.assertEqual(len(set(answers)), 1)
            leader = await site.wait_for_leader()
            self.assertEqual(len(leader.record.evacuations.history), 1)
            taken_back = [await self.order(site, name, "a", False) for name in names]
            self.assertEqual({answer.zones for answer in taken_back}, {()})

        self.run_on_site(body)

    def test_taking_back_what_is_not_evacuated_is_fine(self) -> None:
        async def body(site: Site, names: list[str]) -> None:
            self.assertEqual((await self.order(site, names[0], "b", False)).zones, ())

        self.run_on_site(body)

    def test_a_zone_that_no_settings_know_is_refused(self) -> None:
        async def body(site: Site, names: list[str]) -> None:
            for zone in ("z", "", "a" * 10_000):
                caller = Caller(anyio.current_time())
                answer = await site.get(names[0]).log.set_zone_evacuated(zone, True, caller)
                assert isinstance(answer, Failure)
                self.assertIs(answer.kind, FailureKind.INVALID)

        self.run_on_site(body)

    def test_without_a_majority_nothing_is_acknowledged(self) -> None:
        async def body(site: Site, names: list[str]) -> None:
            await site.kill(names[1])
            await site.kill(names[2])
            caller = Caller(anyio.current_time())
            answer = await site.get(names[0]).log.set_zone_evacuated("a", True, caller)
            self.assertIsInstance(answer, Failure)

        self.run_on_site(body)

    def test_what_was_acknowledged_outlives_a_lost_disk_and_all_processes(self) -> None:
        async def body(site: Site, names: list[str]) -> None:
            await site.get(names[0]).log.save(make_document(1))
            await self.order(site, names[0], "a", True)
            for name in names[:3]:
                await site.kill(name)
            shutil.rmtree(site.folder / names[0].replace(":", "-"))
            await site.start(names[0], founding=False)
            for name in names[1:3]:
                await site.start(name)
            await wait_for(site.get_leader)
            await wait_for(lambda: all(site.get(n).record.zones.zones == ("a",) for n in names[:3]))

        self.run_on_site(body)

    def test_an_order_whose_leader_ends_counts_whole_or_not_at_all(self) -> None:
        async def body(site: Site, names: list[str]) -> None:
            leader = await site.wait_for_leader()
            async with anyio.create_task_group() as tasks:
                caller = Caller(anyio.current_time())
                tasks.start_soon(leader.log.set_zone_evacuated, "a", True, caller)
                await anyio.sleep(0)
                tasks.cancel_scope.cancel()
            await site.kill(leader.options.name)
            rest = [name for name in names if name != leader.options.name]
            await wait_for(site.get_leader)
            # Another coordinator must acknowledge the order when it is sent again.
            await wait_for(lambda: site.get_leader() is not None)
            answer = await self.order(site, rest[0], "a", True)
            self.assertEqual(answer.zones, ("a",))
            await wait_for(lambda: all(site.get(n).record.zones == answer for n in rest))

        self.run_on_site(body)

    def test_two_operators_race_and_all_coordinators_agree_who_was_last(self) -> None:
        async def body(site: Site, names: list[str]) -> None:
            for _ in range(5):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.order, site, names[0], "a", True)
                    tasks.start_soon(self.order, site, names[1], "a", False)
                    tasks.start_soon(self.order, site, names[2], "b", True)
                newest = await self.order(site, names[0], "c", True)
                await wait_for(lambda: len({site.get(n).record.zones for n in names}) == 1)
                self.assertLessEqual({"b", "c"}, set(newest.zones))
                await self.order(site, names[2], "c", False)

        self.run_on_site(body)

    def test_orders_outlive_a_change_of_the_members(self) -> None:
        async def body(site: Site, names: list[str]) -> None:
            await self.order(site, names[0], "a", True)
            await site.kill(names[2])
            fresh = await site.start(names[3], founding=False)
            await wait_for(lambda: fresh.record.zones.zones == ("a",))
            # Until a remaining member knows that the change is committed, decisions also need a
            # majority of the old members.
            stay = (fresh, site.get(names[1]))
            await wait_for(lambda: any(knows_committed_member(c, names[3]) for c in stay))
            await site.kill(names[0])
            await wait_for(site.get_leader)
            self.assertEqual((await self.order(site, names[3], "b", True)).zones, ("a", "b"))

        self.run_on_site(body, 4)

    def test_the_command_line_lists_begins_and_ends(self) -> None:
        async def body(site: Site, names: list[str]) -> None:
            def run(name: str, *args: str) -> str:
                out = io.StringIO()
                with redirect_stdout(out), patch.dict(os.environ, {SECRET_VARIABLE: "secret"}):
                    getattr(EvacuationCommands(), name)(*args)
                return out.getvalue()

            def refuse() -> str:
                err = io.StringIO()
                with redirect_stderr(err), patch.dict(os.environ, {SECRET_VARIABLE: "secret"}):
                    try:
                        EvacuationCommands().begin(names[0], "nowhere")
                    except SystemExit as end:
                        return f"{end.code} {err.getvalue()}"
                return ""

            await anyio.to_thread.run_sync(run, "begin", names[0], "a")
            await anyio.to_thread.run_sync(run, "begin", names[1], "b")
            await anyio.to_thread.run_sync(run, "end", names[1], "a")
            await wait_for(lambda: site.get(names[2]).record.zones.zones == ("b",))
            listed = await anyio.to_thread.run_sync(run, "list", names[2])
            rows = [json.loads(line) for line in listed.splitlines()]
            self.assertEqual([r["zone"] for r in rows if r["evacuated_now"]], ["b"])
            orders = [(r["zone"], r["evacuated"]) for r in rows if "index" in r]
            self.assertEqual(orders, [("a", True), ("b", True), ("a", False)])
            self.assertIn("1 invalid-change", await anyio.to_thread.run_sync(refuse))

        self.run_on_site(body)

    def test_all_gateways_go_by_an_order_soon_and_know_before_their_first_request(self) -> None:
        async def body(site: Site, names: list[str]) -> None:
            await site.get(names[0]).log.save(make_document(1))
            sites = WatchedSite(site)
            gateways = sites.add(GATEWAYS)
            await wait_for(lambda: all(g.get_version() for g in gateways))
            started = await self.order_with_retries(site, names[1], "a")
            await wait_for(lambda: all(g.guard.zones.zones == ("a",) for g in gateways))
            self.assertLess(anyio.current_time() - started, SPREAD_SECONDS)
            (late,) = sites.add(1)
            await late.configured.wait()
            self.assertEqual(late.guard.zones.zones, ("a",))

        self.run_on_site(body)


def evacuate(gateway: Gateway, *zones: str, version: int = 9) -> None:
    gateway.replace_zones(EvacuatedZones(version, zones))


def put_in_zone(gateway: Gateway, number: int, zone: str) -> Instance:
    """Put one of the gateway's upstreams into a zone and return it."""
    instance = replace(make_instance(number), zone=zone, sequence=2)
    gateway.fleet.note(Sighting(instance, 0.0), anyio.current_time())
    return instance


def knows_committed_member(coordinator: Coordinator, name: str) -> bool:
    """Return whether a coordinator knows that another one is a member by a committed change."""
    members = coordinator.group.replica.get_stable_members()
    return name in {member.name for member in members}


class GuardedSendTest(unittest.TestCase):
    """Nothing is sent to upstreams in an evacuated zone, on any path."""

    def test_no_send_or_copy_reaches_an_evacuated_zone(self) -> None:
        async def main() -> None:
            dispatcher = FakeDispatcher(WHOLE)
            config = make_config(Repeat.STREAM, 2, engine=True, resumable=True)
            gateway = make_gateway(dispatcher, config, anyio.current_time())
            evacuated, other = put_in_zone(gateway, 1, "a"), put_in_zone(gateway, 2, "b")
            evacuate(gateway, "a")
            job = make_job(anyio.current_time())
            for changes in (
                {},
                {"last_event": "7", "new_connection": True},
                {"source": CopySource(other.address, "handle", "7")},
                {"backup": other},
            ):
                reply = await gateway.dispatcher.send(Attempt(job, evacuated, "", 1.0, **changes))
                assert isinstance(reply, NotRun)
                self.assertTrue(reply.held)
            copied = await gateway.dispatcher.copy(job, other, evacuated, False)
            assert isinstance(copied, NotCopied)
            self.assertIs(copied.fault, CopyFault.NO_ROOM)
            # A request to another zone is sent, but without its backup in the evacuated one.
            attempt = Attempt(job, other, "", 1.0, backup=evacuated)
            self.assertIsInstance(await gateway.dispatcher.send(attempt), Whole)
            self.assertIsNone(dispatcher.attempts[0].backup)
            self.assertEqual((len(dispatcher.attempts), dispatcher.copies), (1, []))

        anyio.run(main)

    def test_an_older_version_of_the_zones_is_ignored(self) -> None:
        async def main() -> None:
            gateway = make_gateway(FakeDispatcher(), None, anyio.current_time())
            evacuate(gateway, "a", version=9)
            evacuate(gateway, version=8)
            self.assertEqual(gateway.guard.zones.zones, ("a",))
            evacuate(gateway, version=10)
            self.assertEqual(gateway.guard.zones.zones, ())

        anyio.run(main)

    def test_a_gateway_without_coordinators_keeps_the_last_known_zones(self) -> None:
        """It may miss a newer evacuation, but still sends nothing to a known evacuated zone."""

        async def main() -> None:
            gateway = make_gateway(FakeDispatcher(WHOLE), None, anyio.current_time())
            evacuated = put_in_zone(gateway, 1, "a")
            evacuate(gateway, "a")
            attempt = Attempt(make_job(anyio.current_time()), evacuated, "", 1.0)
            gateway.last_heard_at = anyio.current_time() - 1000.0
            self.assertIsInstance(await gateway.dispatcher.send(attempt), NotRun)
            elsewhere = replace(attempt, instance=put_in_zone(gateway, 2, "b"))
            self.assertIsInstance(await gateway.dispatcher.send(elsewhere), Whole)

        anyio.run(main)

    def test_gateways_and_the_leader_choose_no_upstream_in_an_evacuated_zone(self) -> None:
        async def main() -> None:
            config = make_config(Repeat.STREAM, engine=True)
            gateway = make_gateway(FakeDispatcher(), config, anyio.current_time())
            for number, zone in ((1, "a"), (2, "b"), (3, "c")):
                put_in_zone(gateway, number, zone)
            evacuate(gateway, "a", "c")
            service = config.services[0]
            chosen = {gateway.selector.pick(service, 100, (), PROMPT) for _ in range(20)}
            chosen.add(gateway.selector.pick_least_busy(service, 100, ()))
            self.assertEqual({instance.id for instance in chosen if instance}, {"i2"})
            request = PlaceRequest("g", "a", service.name, 100, 100, (), ())
            placer = Placer(gateway.fleet, LoadTotals(9.0), 1.0, Random(1))
            found = {placer.place(request, service, anyio.current_time(), ("a", "c")).instance}
            self.assertEqual(found, {"i2"})

        anyio.run(main)

    def test_a_request_is_refused_at_once_if_all_zones_are_evacuated(self) -> None:
        async def main() -> None:
            dispatcher = FakeDispatcher()
            gateway = make_gateway(dispatcher, make_config(Repeat.ONCE), anyio.current_time())
            evacuate(gateway, "z")
            started = anyio.current_time()
            answer = await make_forwarder(gateway).serve(make_job(started))
            assert isinstance(answer, Failure)
            self.assertEqual(
                (answer.kind, answer.ran, answer.retry_after),
                (FailureKind.EVACUATED, Ran.NO, EVACUATED_RETRY_SECONDS),
            )
            self.assertLess(anyio.current_time() - started, 0.2)
            self.assertEqual(dispatcher.attempts, [])

        anyio.run(main)

    def test_a_request_placed_just_before_the_order_goes_to_another_zone(self) -> None:
        async def main() -> None:
            dispatcher = FakeDispatcher(WHOLE)
            gateway = make_gateway(
                dispatcher, make_config(Repeat.ONCE, engine=True), anyio.current_time()
            )
            for number, zone in ((1, "a"), (2, "b"), (3, "b")):
                put_in_zone(gateway, number, zone)
            gateway.selector.gateways = 2

            async def choose_evacuated(request: PlaceRequest) -> PlaceAnswer:
                evacuate(gateway, "a")
                return PlaceAnswer("i1")

            gateway.selector.request_placement = choose_evacuated
            job = make_job(anyio.current_time(), prompt=PROMPT)
            answer = await make_forwarder(gateway).serve(job)
            self.assertIsInstance(answer, Whole)
            self.assertEqual([a.instance.zone for a in dispatcher.attempts], ["b"])

        anyio.run(main)

    def test_an_attempt_that_was_not_sent_does_not_use_the_retry_budget(self) -> None:
        async def main() -> None:
            dispatcher = FakeDispatcher(WHOLE)
            gateway = make_gateway(dispatcher, make_config(Repeat.ONCE), anyio.current_time())
            evacuated = put_in_zone(gateway, 1, "a")
            other = put_in_zone(gateway, 2, "b")
            evacuate(gateway, "a")
            chosen = [evacuated, other]

            async def choose_stale(*args: Any) -> Instance:
                return chosen.pop(0)

            gateway.selector.place = choose_stale  # type: ignore[method-assign, assignment]
            gateway.take_retry = lambda service: False  # type: ignore[method-assign]
            answer = await make_forwarder(gateway).serve(make_job(anyio.current_time()))
            self.assertIsInstance(answer, Whole)

        anyio.run(main)

    def test_no_other_module_sends_to_upstreams(self) -> None:
        """All sends go through ``gateway.dispatcher``, which checks for evacuated zones."""
        root = Path(__file__).resolve().parent.parent
        for path in (*root.glob("src/daleroad/*.py"), *root.glob("platform/*.py")):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
                    self.check_call(path.name, node, ast.unparse(node.func))

    def check_call(self, name: str, node: ast.Call, func: str) -> None:
        sends = func.endswith(".send") and [ast.unparse(a) for a in node.args] == ["attempt"]
        copies = func.endswith((".copy",)) and len(node.args) == 4
        if sends or copies:
            allowed = {"guarding.py": "self._inner"}.get(name)
            guarded = func.rpartition(".")[0].endswith("_gateway.dispatcher")
            own = func.rpartition(".")[0] in (allowed, "gateway.dispatcher")
            self.assertTrue(guarded or own, f"{name}: {func}")


class PlacementTest(unittest.TestCase):
    def test_the_leader_places_nothing_if_all_zones_are_evacuated(self) -> None:
        fleet = Fleet()
        fleet.note(Sighting(make_instance(1), 0.0), 0.0)
        placer = Placer(fleet, LoadTotals(9.0), 1.0, Random(1))
        request = PlaceRequest("g", "z", "s", 100, 100, (), ())
        service = ServiceRule("s", "/", 100, ENGINE)
        self.assertEqual(placer.place(request, service, 0.0, ("z",)).instance, "")


if __name__ == "__main__":
    unittest.main()
