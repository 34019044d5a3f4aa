"""Tests of gateways that clients reach and that reach no upstream themselves."""

import gc
import unittest
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any

import anyio
import httpx
from anyio.abc import SocketStream

from daleroad.dialing import Target, Tunnel
from daleroad.errors import Failure
from daleroad.tunnelpeers import TunnelPeers
from daleroad.tunnels import TunnelClient, TunnelLostError, TunnelStream
from daleroad.tunnelserver import MAX_TUNNELS, TunnelServer
from tests.cutsite import CONTACT_SECONDS, Answers, Site
from tools.cutnetwork import Cut
from tools.faultylink import reset_connection

REQUESTS = 45
MIN_SERVED_SHARE = 0.9
PROMPT_REFUSAL_SECONDS = 0.3
"""A refusal that takes longer does not come at once."""


class SiteCase(unittest.TestCase):
    """Plays a site and checks its promises at the end."""

    def assert_served(self, answers: Answers) -> None:
        least = MIN_SERVED_SHARE * len(answers.statuses)
        self.assertGreaterEqual(answers.count(200), least, answers.statuses)

    def assert_once(self, site: Site) -> None:
        """No request ran twice, and none that was refused as not run has run."""
        ledger = site.ledger
        self.assertFalse([r for r, runs in ledger.runs.items() if runs > 1 and r in site.once])
        self.assertFalse(ledger.promised_not_run & set(ledger.runs))

    def play(self, network: str, body: Callable[[Site], Coroutine[Any, Any, None]]) -> None:
        async def main() -> None:
            site = Site(network)
            async with site.run():
                await site.ask_many("gateway-0", 12)
                await body(site)
            self.assert_once(site)

        anyio.run(main)


class CutGatewayTest(SiteCase):
    def test_gateway_that_reaches_no_upstream_serves_through_another(self) -> None:
        for number, cut in enumerate(Cut):
            with self.subTest(cut):
                anyio.run(self.check, f"127.{40 + number}", cut)

    async def check(self, network: str, cut: Cut) -> None:
        site = Site(network)
        async with site.run():
            await site.ask_many("gateway-0", 12)
            await site.cut_off(["gateway-0", "gateway-1"], cut)
            await anyio.sleep(CONTACT_SECONDS)
            answers = await site.ask_many("gateway-0", REQUESTS)
            others = await site.ask_many("gateway-2", 9)
        self.assert_served(answers)
        self.assertEqual(others.count(200), 9)
        self.assert_once(site)

    def test_gateway_serves_through_others_without_a_coordinator(self) -> None:
        async def body(site: Site) -> None:
            site.coordinator_scope.cancel()
            await site.cut_off(["gateway-0"], Cut.HANG)
            await anyio.sleep(CONTACT_SECONDS)
            self.assert_served(await site.ask_many("gateway-0", REQUESTS))

        self.play("127.45", body)

    def test_gateway_that_reaches_some_upstreams_tunnels_to_the_others(self) -> None:
        async def body(site: Site) -> None:
            near, other = site.upstreams[0], site.upstreams[1]
            site.links.spared = {other.address}
            await site.cut_off(["gateway-0"], Cut.REFUSE)
            await anyio.sleep(CONTACT_SECONDS)
            began = len(near.arrivals)
            self.assert_served(await site.ask_many("gateway-0", REQUESTS))
            # The upstream in the gateway's zone is preferred as if nothing were cut.
            self.assertGreater(len(near.arrivals), began)

        self.play("127.46", body)

    async def stream_through_cut(self, site: Site, size: str, names: list[str], heal: float) -> int:
        """Return the status of a stream that a cut hits after a second and that heals later."""
        found: list[int] = []

        async def ask() -> None:
            found.append((await site.ask("gateway-0", "/stream/x", size))[0])

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await anyio.sleep(1.0)
            await site.cut_off(names, Cut.HANG)
            await anyio.sleep(heal)
            for name in names:
                site.links.heal(name)
        return found[0]

    def test_stream_that_a_cut_silences_goes_on_through_another_gateway(self) -> None:
        async def body(site: Site) -> None:
            status = await self.stream_through_cut(site, "100,0.05", ["gateway-0"], 9.0)
            self.assertEqual(status, 200)
            self.assertTrue(any(engine.moved for engine in site.engines))

        self.play("127.47", body)

    def test_stream_whose_run_ended_behind_a_cut_is_whole_after_it(self) -> None:
        async def body(site: Site) -> None:
            status = await self.stream_through_cut(site, "24,0.05", ["gateway-0"], 3.0)
            self.assertEqual(status, 200)
            self.assertFalse(any(engine.moved for engine in site.engines))

        self.play("127.54", body)

    def test_upstreams_that_are_silent_for_a_second_are_not_taken_as_cut(self) -> None:
        async def body(site: Site) -> None:
            status = await self.stream_through_cut(site, "60,0.05", site.names, 1.1)
            self.assertEqual(status, 200)
            self.assertFalse(any(engine.moved for engine in site.engines))
            counts = [g.connector.count_tunneled() for g in site.gateways.values()]
            self.assertEqual(counts, [0, 0, 0])

        self.play("127.55", body)

    def test_gateways_that_reach_no_upstream_by_any_path_refuse_at_once(self) -> None:
        async def body(site: Site) -> None:
            await site.cut_off(site.names, Cut.HANG)
            await site.ask_many("gateway-0", REQUESTS, CONTACT_SECONDS / REQUESTS)
            answers = await site.ask_many("gateway-0", REQUESTS)
            prompt = [s for s in answers.seconds if s <= PROMPT_REFUSAL_SECONDS]
            self.assertGreaterEqual(len(prompt), MIN_SERVED_SHARE * REQUESTS, answers.seconds)
            self.assertEqual(answers.count(503), REQUESTS, answers.statuses)

        self.play("127.48", body)

    def test_requests_go_straight_again_after_a_cut(self) -> None:
        async def body(site: Site) -> None:
            for _ in range(2):
                await site.cut_off(["gateway-0"], Cut.REFUSE)
                self.assert_served(await site.ask_many("gateway-0", 18))
                site.links.heal("gateway-0")
                await anyio.sleep(2.0)
                connector = site.gateways["gateway-0"].connector
                self.assertEqual((connector.count_tunneled(), connector.count_blocked()), (0, 0))
                await site.ask_many("gateway-0", 9)
                carried = sum(g.tunnels.count_busy() for g in site.gateways.values())
                self.assertEqual(carried, 0)

        self.play("127.49", body)

    def test_cut_gateways_do_not_keep_others_from_sound_upstreams(self) -> None:
        async def body(site: Site) -> None:
            await site.cut_off(["gateway-0", "gateway-1"], Cut.REFUSE)
            for name in ("gateway-0", "gateway-1"):
                await site.ask_many(name, 9)
            unreachable = [
                gateway.gateway.selector.count_unreachable() for gateway in site.gateways.values()
            ]
            self.assertEqual(unreachable, [0, 0, 0])

        self.play("127.50", body)


class FailingPeerTest(SiteCase):
    """What happens when the gateway that carries the tunnels fails."""

    def check_after(self, network: str, fail: Callable[[Site, str], Coroutine]) -> None:
        async def body(site: Site) -> None:
            await site.cut_off(["gateway-0"], Cut.REFUSE)
            self.assert_served(await site.ask_many("gateway-0", 18))
            peer = max(("gateway-1", "gateway-2"), key=lambda n: site.gateways[n].tunnels.count())
            await fail(site, peer)
            await anyio.sleep(CONTACT_SECONDS)
            self.assert_served(await site.ask_many("gateway-0", REQUESTS))

        self.play(network, body)

    def test_requests_go_through_another_gateway_when_one_crashes(self) -> None:
        async def crash(site: Site, peer: str) -> None:
            site.gateway_scopes[peer].cancel()

        self.check_after("127.51", crash)

    def test_requests_under_way_when_their_gateway_crashes_run_once(self) -> None:
        async def body(site: Site) -> None:
            await site.cut_off(["gateway-0"], Cut.REFUSE)
            self.assert_served(await site.ask_many("gateway-0", 18))
            peer = max(("gateway-1", "gateway-2"), key=lambda n: site.gateways[n].tunnels.count())
            answers = Answers()
            async with anyio.create_task_group() as tasks:

                async def ask() -> None:
                    found = await site.ask_many("gateway-0", REQUESTS, 0.01)
                    answers.statuses.extend(found.statuses)

                tasks.start_soon(ask)
                await anyio.sleep(0.2)
                self.assertGreater(site.gateways[peer].tunnels.count_busy(), 0)
                site.gateway_scopes[peer].cancel()
            self.assertGreater(answers.count(200), 0)

        self.play("127.57", body)

    def test_requests_go_through_another_gateway_when_one_is_cut_off_too(self) -> None:
        async def cut(site: Site, peer: str) -> None:
            await site.cut_off([peer], Cut.HANG)

        self.check_after("127.52", cut)

    def test_requests_go_through_another_gateway_when_one_freezes(self) -> None:
        async def freeze(site: Site, peer: str) -> None:
            site.links.frozen.add(site.get_tunnel_address(peer))
            # Its open tunnels hang; those that wait on them find out.
            await site.ask_many("gateway-0", 9)

        self.check_after("127.56", freeze)

    def test_requests_go_through_another_gateway_when_one_drains(self) -> None:
        async def drain(site: Site, peer: str) -> None:
            site.gateways[peer].gateway.begin_drain(anyio.current_time() + 30.0)
            site.gateways[peer].watcher.send_report_now()

        self.check_after("127.53", drain)


class TunnelTest(unittest.TestCase):
    """One tunnel, to an upstream that answers as a test says."""

    def play(
        self,
        body: Callable[[TunnelClient, str, str], Coroutine[Any, Any, None]],
        handle: Callable[[SocketStream], Coroutine[Any, Any, None]],
        refusal: str = "",
    ) -> None:
        async def main() -> None:
            upstream = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = upstream.extra(anyio.abc.SocketAttribute.local_port)
            self.server = TunnelServer("secret", lambda address: refusal)
            self.scope = anyio.CancelScope()
            peer = "127.0.0.1:29999"

            async def serve() -> None:
                with self.scope:
                    await self.server.run(peer)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(upstream.serve, handle)
                tasks.start_soon(serve)
                await anyio.sleep(0.05)
                client = TunnelClient(TunnelPeers((peer,)), "secret")
                await body(client, f"127.0.0.1:{port}", peer)
                tasks.cancel_scope.cancel()

        anyio.run(main)

    async def open(self, client: TunnelClient, address: str) -> TunnelStream:
        found = await client.open(Target(address, 3.0))
        assert isinstance(found, Tunnel), found
        return found.connection

    def test_bytes_go_both_ways_and_the_end_of_the_connection_is_told(self) -> None:
        async def handle(stream: SocketStream) -> None:
            async with stream:
                await stream.send(b"got " + await stream.receive())

        async def body(client: TunnelClient, address: str, peer: str) -> None:
            stream = await self.open(client, address)
            await stream.send(b"x" * 1000)
            self.assertEqual(await stream.receive(4), b"got ")
            self.assertEqual(await stream.receive(), b"x" * 1000)
            with self.assertRaises(anyio.EndOfStream):
                await stream.receive()

        self.play(body, handle)

    def test_reset_upstream_does_not_look_like_one_that_ended_its_answer(self) -> None:
        async def handle(stream: SocketStream) -> None:
            await stream.receive()
            await stream.send(b"half an answer")
            await anyio.sleep(0.05)
            await reset_connection(stream)

        async def body(client: TunnelClient, address: str, peer: str) -> None:
            stream = await self.open(client, address)
            await stream.send(b"x")
            self.assertEqual(await stream.receive(), b"half an answer")
            with self.assertRaises(anyio.BrokenResourceError) as found:
                await stream.receive()
            self.assertNotIsInstance(found.exception, TunnelLostError)

        self.play(body, handle)

    def test_tunnel_that_is_cut_is_told_from_a_lost_upstream(self) -> None:
        async def handle(stream: SocketStream) -> None:
            await stream.receive()
            await stream.send(b"half an answer")
            await anyio.sleep_forever()

        async def body(client: TunnelClient, address: str, peer: str) -> None:
            stream = await self.open(client, address)
            await stream.send(b"x")
            self.assertEqual(await stream.receive(), b"half an answer")
            self.scope.cancel()
            with self.assertRaises(TunnelLostError):
                await stream.receive()

        self.play(body, handle)

    def test_end_of_a_tunnel_reaches_the_upstream(self) -> None:
        ended = anyio.Event()

        async def handle(stream: SocketStream) -> None:
            with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while True:
                    await stream.receive()
            ended.set()

        async def body(client: TunnelClient, address: str, peer: str) -> None:
            stream = await self.open(client, address)
            await stream.send(b"x")
            await stream.aclose()
            with anyio.fail_after(0.5):
                await ended.wait()
            self.assertEqual(client.peers.count_open(), 0)

        self.play(body, handle)

    def test_tunnel_that_is_dropped_is_not_counted(self) -> None:
        async def handle(stream: SocketStream) -> None:
            await anyio.sleep_forever()

        async def body(client: TunnelClient, address: str, peer: str) -> None:
            stream = await self.open(client, address)
            self.assertEqual(client.peers.count_open(), 1)
            del stream
            gc.collect()
            self.assertEqual(client.peers.count_open(), 0)

        self.play(body, handle)

    def test_tunnel_is_open_only_once_the_upstream_is_connected(self) -> None:
        async def handle(stream: SocketStream) -> None:
            await stream.aclose()

        async def body(client: TunnelClient, address: str, peer: str) -> None:
            found = await client.open(Target("127.0.0.1:1", 3.0))
            self.assertIsInstance(found, Failure)

        self.play(body, handle)

    def test_gateway_is_silent_only_if_it_had_the_time_to_answer(self) -> None:
        async def handle(stream: SocketStream) -> None:
            await anyio.sleep_forever()

        async def body(client: TunnelClient, address: str, peer: str) -> None:
            silent: list[str] = []
            client.on_silent = silent.append
            async with await anyio.create_tcp_listener(local_host="127.0.0.1") as deaf:
                port = deaf.extra(anyio.abc.SocketAttribute.local_port)
                client.peers.listed = (f"127.0.0.1:{port}",)
                for seconds, expected in ((0.1, 0), (0.3, 1)):
                    with anyio.move_on_after(seconds):
                        await client.open(Target(address, 3.0))
                    self.assertEqual(len(silent), expected)

        self.play(body, handle)

    def test_callers_and_unknown_addresses_are_refused(self) -> None:
        async def handle(stream: SocketStream) -> None:
            self.fail("the upstream was connected to")

        async def body(client: TunnelClient, address: str, peer: str) -> None:
            found = await client.open(Target(address, 3.0))
            assert isinstance(found, Failure)
            self.assertIn("no such upstream", found.reason)
            async with httpx.AsyncClient(trust_env=False) as caller:
                for headers in ({}, {"authorization": "Bearer guess"}):
                    answer = await caller.post(f"http://{peer}/tunnel/{address}", headers=headers)
                    self.assertEqual(answer.status_code, 503)

        self.play(body, handle, "no such upstream")

    def test_tunnels_are_bounded(self) -> None:
        async def handle(stream: SocketStream) -> None:
            await anyio.sleep_forever()

        async def body(client: TunnelClient, address: str, peer: str) -> None:
            streams = [await self.open(client, address) for _ in range(MAX_TUNNELS)]
            self.assertIsInstance(await client.open(Target(address, 3.0)), Failure)
            await streams[0].aclose()
            await anyio.sleep(0.05)
            await self.open(client, address)

        self.play(body, handle)


if __name__ == "__main__":
    unittest.main()
