"""Tests of how gateways learn which requests are held, over coordinators on loopback."""

import io
import json
import os
import unittest
from collections.abc import Callable
from contextlib import redirect_stdout
from dataclasses import replace
from functools import partial
from random import Random
from statistics import median
from unittest.mock import patch

import anyio

from daleroad.calls import make_url
from daleroad.channels import ChannelCalls
from daleroad.choosing import GatewayOptions
from daleroad.codec import encode
from daleroad.commandcalls import SECRET_VARIABLE
from daleroad.defaults import FLEET_KEPT_SECONDS
from daleroad.dispatch import Attempt, Job
from daleroad.errors import Failure, FailureKind
from daleroad.gateway import Gateway
from daleroad.instances import Sighting
from daleroad.notices import (
    ReleaseRequest,
    SuspectsAnswer,
    TrialAnswer,
    TrialRequest,
    WatchAnswer,
)
from daleroad.suspectcommands import SuspectCommands
from daleroad.suspects import CRASHES_HELD, Standing, Suspicion
from daleroad.watching import Watcher
from tests.fakes import FakeDispatcher, make_instance, make_job
from tests.test_coordinator import Site, make_document, parse, run_site, wait_for

GATEWAYS = 12

SPREAD_SECONDS = 1.0
"""Time in which all gateways hold a request; a third of what the platform grants them."""

ENTRY_BYTES = 600
"""Most that a gateway is told of one request: an end takes some 30 bytes, an entry some 200."""


class Sites:
    """A site's coordinators with some gateways that watch them.

    :param site: the coordinators.
    """

    def __init__(self, site: Site) -> None:
        self.site = site
        self.gateways: list[Gateway] = []
        self._scopes: list[anyio.CancelScope] = []

    def add(self, count: int) -> list[Gateway]:
        """Start some gateways; return them."""
        return [self._start() for _ in range(count)]

    def _start(self) -> Gateway:
        number = len(self.gateways)
        address = f"10.0.1.{number}:80"
        options = GatewayOptions(address, "z", "r", self.site.seeds, 1.0, 0.2, 30, 10.0)
        gateway = Gateway(options, FakeDispatcher(), Random(number))
        watcher = Watcher(gateway, ChannelCalls("secret"), parse)
        gateway.on_news = watcher.tell_now
        scope = anyio.CancelScope()

        async def run() -> None:
            with scope:
                await watcher.run()

        self.site.tasks.start_soon(run)
        self.gateways.append(gateway)
        self._scopes.append(scope)
        return gateway

    def end_all(self) -> None:
        """End all gateways."""
        for scope in self._scopes:
            scope.cancel()

    def crash(self, gateway: Gateway, number: int) -> None:
        """Let an upstream end under the request of these tests, at a gateway."""
        job = make_job(anyio.current_time())
        gateway.guard.note_lost(Attempt(job, make_instance(number), "", 1.0))


def get_standing(gateway: Gateway) -> Standing:
    return gateway.guard.get_standing(make_job(0.0), "")


def all_hold(gateways: list[Gateway], job: Job | None = None) -> bool:
    asked = job or make_job(0.0)
    return all(g.guard.get_standing(asked, "") is Standing.HELD for g in gateways)


def run_sites(body: Callable) -> None:
    """Run something with coordinators that gateways watch."""

    async def main(site: Site, names: list[str]) -> None:
        await site.get(names[0]).log.save(make_document(1))
        await body(Sites(site), names)

    run_site(main)


class SpreadingTest(unittest.TestCase):
    async def hold(self, sites: Sites, gateways: list[Gateway]) -> None:
        """Let three upstreams end, each under another gateway, and wait until all hold it."""
        await wait_for(lambda: all(g.get_version() for g in gateways))
        for number in range(CRASHES_HELD):
            sites.crash(gateways[number], number + 1)
        await wait_for(lambda: all_hold(gateways))

    def test_ends_seen_by_different_gateways_add_up_at_all_of_them(self) -> None:
        async def body(sites: Sites, names: list[str]) -> None:
            gateways = sites.add(GATEWAYS)
            began = anyio.current_time()
            await self.hold(sites, gateways)
            taken = []
            for round_number in range(5):
                began = anyio.current_time()
                for number in range(CRASHES_HELD):
                    job = replace(make_job(began), body=f"body {round_number}".encode())
                    attempt = Attempt(job, make_instance(number + 1), "", 1.0)
                    gateways[number].guard.note_lost(attempt)
                await wait_for(partial(all_hold, gateways, job))
                taken.append(anyio.current_time() - began)
            self.assertLess(median(taken), SPREAD_SECONDS)

        run_sites(body)

    def test_one_that_has_just_started_knows_before_it_serves(self) -> None:
        async def body(sites: Sites, names: list[str]) -> None:
            await self.hold(sites, sites.add(3))
            (fresh,) = sites.add(1)
            await fresh.configured.wait()
            await wait_for(lambda: fresh.get_version())
            self.assertIs(get_standing(fresh), Standing.HELD)

        run_sites(body)

    def test_it_outlives_the_leader_that_was_told_first(self) -> None:
        async def body(sites: Sites, names: list[str]) -> None:
            await self.hold(sites, sites.add(3))
            leader = sites.site.get_leader()
            assert leader is not None
            await sites.site.kill(leader.options.name)
            await wait_for(sites.site.get_leader)
            (fresh,) = sites.add(1)
            await wait_for(lambda: all_hold([fresh]))

        run_sites(body)

    def test_it_outlives_all_processes(self) -> None:
        async def body(sites: Sites, names: list[str]) -> None:
            await self.hold(sites, sites.add(3))
            await anyio.sleep(3 * FLEET_KEPT_SECONDS)
            sites.end_all()
            for name in names[:3]:
                await sites.site.kill(name)
            for name in names[:3]:
                await sites.site.start(name, founding=False)
            await wait_for(sites.site.get_leader)
            fresh = sites.add(2)
            await wait_for(lambda: all_hold(fresh))

        run_sites(body)

    def test_one_that_was_away_learns_it_when_it_is_back(self) -> None:
        async def body(sites: Sites, names: list[str]) -> None:
            for name in names[1:3]:
                await sites.site.kill(name)
            gateways = sites.add(3)
            await wait_for(lambda: all(g.heard_at > 0 for g in gateways))
            # No majority, no leader: what is held needs neither.
            for number in range(CRASHES_HELD):
                sites.crash(gateways[number], number + 1)
            await wait_for(lambda: all_hold(gateways))
            back = await sites.site.start(names[1], founding=False)
            await wait_for(lambda: back.presence.suspects.count_held(anyio.current_time()))

        run_sites(body)

    def test_an_upstream_that_still_beats_takes_its_end_back_everywhere(self) -> None:
        async def body(sites: Sites, names: list[str]) -> None:
            gateways = sites.add(3)
            await self.hold(sites, gateways)

            async def beat() -> None:
                sequence = 1
                while True:
                    sequence += 1
                    alive = replace(make_instance(2), sequence=sequence)
                    await sites.site.get(names[0]).presence.hear(Sighting(alive, 0.0))
                    await anyio.sleep(0.3)

            sites.site.tasks.start_soon(beat)
            await wait_for(lambda: all(get_standing(g) is Standing.LAST for g in gateways))

        run_sites(body)

    def test_an_operator_lists_it_and_releases_it_everywhere(self) -> None:
        async def body(sites: Sites, names: list[str]) -> None:
            gateways = sites.add(3)
            await self.hold(sites, gateways)
            calls = ChannelCalls("secret")
            place = make_url(names[1])
            listed = await calls.call(f"{place}/site/suspects", b"{}", SuspectsAnswer)
            (name,) = listed.held
            (known,) = listed.suspicions
            self.assertEqual((known.fingerprint, known.route), (name, "h/x"))
            self.assertEqual(set(known.crashes), {"i1", "i2", "i3"})
            unknown = encode(ReleaseRequest("0" * 32))
            refused = await calls.call(f"{place}/site/release", unknown, type(None))
            assert isinstance(refused, Failure)
            self.assertIs(refused.kind, FailureKind.NOT_FOUND)
            done = await calls.call(
                f"{place}/site/release", encode(ReleaseRequest(name)), type(None)
            )
            self.assertIsNone(done)
            await wait_for(lambda: all(get_standing(g) is Standing.CLEAR for g in gateways))

        run_sites(body)

    def test_the_commands_list_and_release_it(self) -> None:
        async def body(sites: Sites, names: list[str]) -> None:
            gateways = sites.add(3)
            await self.hold(sites, gateways)
            commands = SuspectCommands()
            said = io.StringIO()
            with patch.dict(os.environ, {SECRET_VARIABLE: "secret"}), redirect_stdout(said):
                await anyio.to_thread.run_sync(commands.list, names[0])
                row = json.loads(said.getvalue())
                await anyio.to_thread.run_sync(commands.release, names[0], row["fingerprint"])
            self.assertEqual((row["held"], len(row["ended"])), (True, CRASHES_HELD))
            await wait_for(lambda: all(get_standing(g) is Standing.CLEAR for g in gateways))

        run_sites(body)

    def test_the_leader_lets_one_gateway_try_what_was_held_for_long(self) -> None:
        async def body(sites: Sites, names: list[str]) -> None:
            await self.hold(sites, sites.add(3))
            leader = sites.site.get_leader()
            assert leader is not None
            calls = ChannelCalls("secret")
            (name,) = leader.presence.shared.list_all().held

            async def ask(place: str, fingerprint: str) -> TrialAnswer | Failure:
                asked = encode(TrialRequest(fingerprint))
                return await calls.call(f"{make_url(place)}/site/trial", asked, TrialAnswer)

            self.assertEqual(await ask(leader.options.name, name), TrialAnswer(False))
            self.assertEqual(await ask(leader.options.name, "unknown"), TrialAnswer(True))
            self.assertEqual(await ask(leader.options.name, "unknown"), TrialAnswer(False))
            other = next(n for n in names[:3] if n != leader.options.name)
            refused = await ask(other, name)
            assert isinstance(refused, Failure)
            self.assertIs(refused.kind, FailureKind.NOT_LEADER)

        run_sites(body)

    def test_a_gateway_is_told_little_of_each_request(self) -> None:
        ends = tuple(f"i-{number:010x}@1768712629029" for number in range(CRASHES_HELD))
        told = Suspicion("f" * 32, "organisation", "host.example/path/x", ends, (), 1.0)
        empty = WatchAnswer("e", 1, (), "", 1, None, (), {}, None, 1)
        size = len(encode(replace(empty, suspicions=(told,)))) - len(encode(empty))
        self.assertLess(size, ENTRY_BYTES)
