"""Tests of the propagation of held requests to all gateways, over coordinators on loopback."""

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
from daleroad.defaults import PERSIST_INTERVAL_SECONDS
from daleroad.dispatch import Attempt, ClientRequest
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
from daleroad.onsets import Progress
from daleroad.suspectcommands import SuspectCommands
from daleroad.suspects import MIN_CRASHES_HELD, Standing
from daleroad.suspicions import Suspicion
from daleroad.watching import Watcher
from tests.fakes import FakeDispatcher, make_instance, make_job
from tests.test_coordinator import Site, make_document, parse, run_site, wait_for

GATEWAYS = 12

MAX_PROPAGATION_SECONDS = 1.0
"""Bound on the median time from a request's crash reports until all gateways hold it."""

MAX_SUSPICION_BYTES = 600
"""Largest encoding of what a gateway is told of one suspected request."""


class WatchedSite:
    """A site's coordinators and the gateways that watch them.

    :param site: the coordinators.
    """

    def __init__(self, site: Site) -> None:
        self.site = site
        self.gateways: list[Gateway] = []
        self._scopes: list[anyio.CancelScope] = []

    def add(self, count: int) -> list[Gateway]:
        """Start gateways and return them."""
        return [self._start() for _ in range(count)]

    def _start(self) -> Gateway:
        number = len(self.gateways)
        address = f"10.0.1.{number}:80"
        options = GatewayOptions(address, "z", "r", self.site.seeds, 1.0, 0.2, 30, 10.0)
        gateway = Gateway(options, FakeDispatcher(), Random(number))
        watcher = Watcher(gateway, ChannelCalls("secret"), parse)
        gateway.on_update = watcher.send_report_now
        scope = anyio.CancelScope()

        async def run() -> None:
            with scope:
                await watcher.run()

        self.site.tasks.start_soon(run)
        self.gateways.append(gateway)
        self._scopes.append(scope)
        return gateway

    def end_all(self) -> None:
        """Stop all gateways."""
        for scope in self._scopes:
            scope.cancel()

    def report_crash(self, gateway: Gateway, number: int) -> None:
        """Report to a gateway that an upstream crashed during the request of these tests."""
        job = make_job(anyio.current_time())
        attempt = Attempt(job, make_instance(number), "", 1.0)
        gateway.guard.evidence.record_lost(attempt, Progress.UNBEGUN)


def get_standing(gateway: Gateway) -> Standing:
    return gateway.guard.evidence.find_verdict(make_job(0.0), "", "s").standing


def all_hold(gateways: list[Gateway], job: ClientRequest | None = None) -> bool:
    asked = job or make_job(0.0)
    return all(
        g.guard.evidence.find_verdict(asked, "", "s").standing is Standing.HELD for g in gateways
    )


def run_watched_site(body: Callable) -> None:
    """Run a test body with coordinators that have a configuration for gateways."""

    async def main(site: Site, names: list[str]) -> None:
        await site.get(names[0]).log.save(make_document(1))
        await body(WatchedSite(site), names)

    run_site(main)


class HeldRequestTest(unittest.TestCase):
    async def hold_request(self, sites: WatchedSite, gateways: list[Gateway]) -> None:
        """Report each crash to another gateway and wait until all gateways hold the request."""
        await wait_for(lambda: all(g.get_version() for g in gateways))
        for number in range(MIN_CRASHES_HELD):
            sites.report_crash(gateways[number], number + 1)
        await wait_for(lambda: all_hold(gateways))

    def test_crashes_reported_to_different_gateways_add_up_at_all_of_them(self) -> None:
        async def body(sites: WatchedSite, names: list[str]) -> None:
            gateways = sites.add(GATEWAYS)
            began = anyio.current_time()
            await self.hold_request(sites, gateways)
            durations = []
            for round_number in range(5):
                began = anyio.current_time()
                for number in range(MIN_CRASHES_HELD):
                    job = replace(make_job(began), body=f"body {round_number}".encode())
                    attempt = Attempt(job, make_instance(number + 1), "", 1.0)
                    gateways[number].guard.evidence.record_lost(attempt, Progress.UNBEGUN)
                await wait_for(partial(all_hold, gateways, job))
                durations.append(anyio.current_time() - began)
            self.assertLess(median(durations), MAX_PROPAGATION_SECONDS)

        run_watched_site(body)

    def test_new_gateway_knows_held_requests_once_it_is_configured(self) -> None:
        async def body(sites: WatchedSite, names: list[str]) -> None:
            await self.hold_request(sites, sites.add(3))
            (new_gateway,) = sites.add(1)
            await new_gateway.configured.wait()
            await wait_for(lambda: new_gateway.get_version())
            self.assertIs(get_standing(new_gateway), Standing.HELD)

        run_watched_site(body)

    def test_hold_survives_the_loss_of_the_leader(self) -> None:
        async def body(sites: WatchedSite, names: list[str]) -> None:
            await self.hold_request(sites, sites.add(3))
            leader = await sites.site.wait_for_leader()
            await sites.site.kill(leader.options.name)
            await wait_for(sites.site.get_leader)
            (new_gateway,) = sites.add(1)
            await wait_for(lambda: all_hold([new_gateway]))

        run_watched_site(body)

    def test_hold_survives_a_restart_of_all_processes(self) -> None:
        async def body(sites: WatchedSite, names: list[str]) -> None:
            await self.hold_request(sites, sites.add(3))
            await anyio.sleep(3 * PERSIST_INTERVAL_SECONDS)
            sites.end_all()
            for name in names[:3]:
                await sites.site.kill(name)
            for name in names[:3]:
                await sites.site.start(name, founding=False)
            await wait_for(sites.site.get_leader)
            new_gateways = sites.add(2)
            await wait_for(lambda: all_hold(new_gateways))

        run_watched_site(body)

    def test_restarted_coordinator_learns_of_a_request_held_without_a_leader(self) -> None:
        async def body(sites: WatchedSite, names: list[str]) -> None:
            for name in names[1:3]:
                await sites.site.kill(name)
            gateways = sites.add(3)
            await wait_for(lambda: all(g.last_heard_at > 0 for g in gateways))
            # Without a majority there is no leader; holding a request needs neither.
            for number in range(MIN_CRASHES_HELD):
                sites.report_crash(gateways[number], number + 1)
            await wait_for(lambda: all_hold(gateways))
            restarted = await sites.site.start(names[1], founding=False)
            await wait_for(lambda: restarted.presence.suspects.count_held(anyio.current_time()))

        run_watched_site(body)

    def test_heartbeat_retracts_an_assumed_crash_at_all_gateways(self) -> None:
        async def body(sites: WatchedSite, names: list[str]) -> None:
            gateways = sites.add(3)
            await self.hold_request(sites, gateways)

            async def send_heartbeats() -> None:
                sequence = 1
                while True:
                    sequence += 1
                    alive = replace(make_instance(2), sequence=sequence)
                    await sites.site.get(names[0]).presence.handle_heartbeat(Sighting(alive, 0.0))
                    await anyio.sleep(0.3)

            sites.site.tasks.start_soon(send_heartbeats)
            await wait_for(lambda: all(get_standing(g) is Standing.LAST_TRY for g in gateways))

        run_watched_site(body)

    def test_operator_calls_list_and_release_a_held_request(self) -> None:
        async def body(sites: WatchedSite, names: list[str]) -> None:
            gateways = sites.add(3)
            await self.hold_request(sites, gateways)
            calls = ChannelCalls("secret")
            base_url = make_url(names[1])
            listed = await calls.call(f"{base_url}/site/suspects", b"{}", SuspectsAnswer)
            (name,) = listed.held
            (suspicion,) = listed.suspicions
            self.assertEqual((suspicion.fingerprint, suspicion.route), (name, "h/x"))
            self.assertEqual(set(suspicion.crashes), {"i1", "i2", "i3"})
            unknown = encode(ReleaseRequest("0" * 32, ("i1",)))
            refused = await calls.call(f"{base_url}/site/release", unknown, type(None))
            assert isinstance(refused, Failure)
            self.assertIs(refused.kind, FailureKind.NOT_FOUND)
            released = await calls.call(
                f"{base_url}/site/release",
                encode(ReleaseRequest(name, suspicion.crashes)),
                type(None),
            )
            self.assertIsNone(released)
            await wait_for(lambda: all(get_standing(g) is Standing.CLEAR for g in gateways))

        run_watched_site(body)

    def test_commands_list_and_release_a_held_request(self) -> None:
        async def body(sites: WatchedSite, names: list[str]) -> None:
            gateways = sites.add(3)
            await self.hold_request(sites, gateways)
            commands = SuspectCommands()
            output = io.StringIO()
            with patch.dict(os.environ, {SECRET_VARIABLE: "secret"}), redirect_stdout(output):
                await anyio.to_thread.run_sync(commands.list, names[0])
                row = json.loads(output.getvalue())
                await anyio.to_thread.run_sync(commands.release, names[0], row["fingerprint"])
            self.assertEqual((row["held"], len(row["ended"])), (True, MIN_CRASHES_HELD))
            await wait_for(lambda: all(get_standing(g) is Standing.CLEAR for g in gateways))

        run_watched_site(body)

    def test_only_the_leader_grants_trials_and_one_for_each_request(self) -> None:
        async def body(sites: WatchedSite, names: list[str]) -> None:
            await self.hold_request(sites, sites.add(3))
            leader = await sites.site.wait_for_leader()
            await wait_for(lambda: leader.presence.shared_suspects.list_all().held)
            calls = ChannelCalls("secret")
            (name,) = leader.presence.shared_suspects.list_all().held

            async def request_trial(address: str, fingerprint: str) -> TrialAnswer | Failure:
                request = encode(TrialRequest(fingerprint))
                return await calls.call(f"{make_url(address)}/site/trial", request, TrialAnswer)

            self.assertEqual(await request_trial(leader.options.name, name), TrialAnswer(False))
            self.assertEqual(await request_trial(leader.options.name, "unknown"), TrialAnswer(True))
            self.assertEqual(
                await request_trial(leader.options.name, "unknown"), TrialAnswer(False)
            )
            other = next(n for n in names[:3] if n != leader.options.name)
            refused = await request_trial(other, name)
            assert isinstance(refused, Failure)
            self.assertIs(refused.kind, FailureKind.NOT_LEADER)

        run_watched_site(body)

    def test_encoded_suspicion_is_small(self) -> None:
        crashes = tuple(f"i-{number:010x}@1768712629029" for number in range(MIN_CRASHES_HELD))
        suspicion = Suspicion("f" * 32, "organisation", "host.example/path/x", crashes, (), 1.0)
        empty = WatchAnswer("e", 1, (), "", 1, None, (), {}, None, 1)
        size = len(encode(replace(empty, suspicions=(suspicion,)))) - len(encode(empty))
        self.assertLess(size, MAX_SUSPICION_BYTES)
