"""Tests of which path a gateway takes to an upstream, and how it finds out that one is cut."""

import unittest
from collections.abc import Callable

import anyio
import trio
import trio.testing

from daleroad.dialing import Dialed, Dialer, DialError, Target, Tunnel
from daleroad.errors import Failure, FailureKind
from daleroad.notices import GatewayNotice
from daleroad.paths import (
    CHECK_SECONDS,
    MIN_BLOCKED_SECONDS,
    PROBE_SECONDS,
    TUNNEL_DELAY_SECONDS,
    DialPlan,
    PathState,
    PathTable,
    Reach,
)
from daleroad.silences import SILENT_SECONDS, SilenceWatch, Wait
from daleroad.tunneloffers import MAX_FAR_TUNNELS, MAX_NEAR_TUNNELS, make_offers
from daleroad.tunnelpeers import PEER_RETRY_SECONDS, REFUSED_RETRY_SECONDS, TunnelPeers

UPSTREAM = Target("u:1", 3.0)
REFUSED = Failure(FailureKind.UNREACHABLE, "refused")
DIAL_SECONDS = 0.4


class PathTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.paths = PathTable()

    def test_path_without_failures_gives_a_direct_connection_a_head_start(self) -> None:
        self.assertEqual(self.paths.plan_dial("a"), DialPlan(False, TUNNEL_DELAY_SECONDS))

    def test_tunneled_path_is_dialed_directly_only_if_the_tunnel_fails(self) -> None:
        self.paths.record_tunnel("a", 1.0)
        self.assertEqual(self.paths.plan_dial("a"), DialPlan(True, float("inf")))

    def test_path_is_direct_again_after_two_probes_in_a_row(self) -> None:
        self.paths.record_tunnel("a", 1.0)
        found = [self.paths.record_probe("a", ok, 2.0) for ok in (True, False, True, True)]
        self.assertEqual([change is not None for change in found], [False, False, False, True])
        self.assertIs(self.paths.get_state("a"), PathState.DIRECT)

    def test_path_is_blocked_once_all_connections_failed_for_a_while(self) -> None:
        self.assertIsNone(self.paths.record_failure("a", 0.0))
        self.assertIsNone(self.paths.record_failure("a", 0.9))
        change = self.paths.record_failure("a", 1.0)
        assert change is not None
        self.assertEqual((change.before, change.after), (PathState.DIRECT, PathState.BLOCKED))
        self.assertIsNone(self.paths.plan_dial("a"))

    def test_gateway_without_any_direct_path_dials_both_ways_at_once(self) -> None:
        self.paths.record_direct("c", 0.5)
        for address in ("a", "b"):
            self.paths.record_tunnel(address, 1.0)
        self.assertEqual(self.paths.plan_dial("c"), DialPlan(False, 0.0))
        self.paths.record_received("c", 3.0)
        self.assertEqual(self.paths.plan_dial("c"), DialPlan(False, TUNNEL_DELAY_SECONDS))

    def test_reach_tells_a_cut_gateway_from_one_whose_upstreams_crash(self) -> None:
        self.paths.record_direct("c", 0.5)
        for address in ("a", "b"):
            self.paths.record_failure(address, 1.0)
            self.paths.record_failure(address, 1.0 + MIN_BLOCKED_SECONDS)
        self.assertIs(self.paths.get_reach(), Reach.FULL)
        self.paths.forget("c")
        self.assertIs(self.paths.get_reach(), Reach.NONE)
        self.paths.record_tunnel("a", 2.0)
        self.assertIs(self.paths.get_reach(), Reach.PARTIAL)

    def test_upstream_that_left_is_forgotten_though_a_connection_still_carries(self) -> None:
        self.paths.record_direct("a", 1.0)
        self.paths.forget("a")
        self.paths.record_received("a", 2.0)
        self.assertEqual(self.paths.count(PathState.DIRECT), 0)

    def test_silent_path_is_checked_rarely_and_only_if_nothing_came(self) -> None:
        self.paths.record_direct("a", 1.0)
        self.assertFalse(self.paths.should_check("a", 0.5, 2.0))
        self.assertTrue(self.paths.should_check("a", 1.5, 2.0))
        self.assertFalse(self.paths.should_check("a", 1.5, 2.0 + CHECK_SECONDS / 2))
        self.assertTrue(self.paths.should_check("a", 1.5, 2.0 + CHECK_SECONDS))


class Connection:
    def __init__(self, log: list[str]) -> None:
        self._log = log

    async def aclose(self) -> None:
        self._log.append("closed")


class DialerTest(unittest.TestCase):
    """The links answer after a time, refuse at once, or hang."""

    def setUp(self) -> None:
        self.log: list[str] = []
        self.direct: float | Failure | None = 0.002
        self.tunnel: float | Failure | None = 0.01
        self.alive = True
        self.paths = PathTable()
        self.dialer: Dialer[Connection] = Dialer(
            self.paths,
            self.dial_direct,
            self.open_tunnel,
            lambda address: self.alive,
            lambda change: self.log.append(change.after.value),
        )

    async def take(self, link: float | Failure | None) -> Connection | Failure:
        if isinstance(link, Failure):
            return link
        await anyio.sleep(float("inf") if link is None else link)
        return Connection(self.log)

    async def dial_direct(self, target: Target) -> Connection | Failure:
        self.log.append("direct dial")
        return await self.take(self.direct)

    async def open_tunnel(self, target: Target) -> Tunnel[Connection] | Failure:
        self.log.append("tunnel dial")
        found = await self.take(self.tunnel)
        return found if isinstance(found, Failure) else Tunnel(found, "peer")

    def play(self, body: Callable) -> None:
        trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))

    async def time_dial(self) -> tuple[Dialed[Connection] | None, float]:
        begun = anyio.current_time()
        try:
            dialed = await self.dialer.dial(UPSTREAM, DIAL_SECONDS)
        except DialError:
            dialed = None
        return dialed, round(anyio.current_time() - begun, 3)

    def test_well_path_opens_no_tunnel(self) -> None:
        async def main() -> None:
            dialed, _ = await self.time_dial()
            assert dialed is not None
            self.assertEqual((dialed.peer, self.log), ("", ["direct dial"]))

        self.play(main)

    def test_hanging_path_costs_the_head_start_once(self) -> None:
        async def main() -> None:
            self.direct = None
            first, first_seconds = await self.time_dial()
            second, second_seconds = await self.time_dial()
            assert first is not None and second is not None
            self.assertEqual((first.peer, second.peer), ("peer", "peer"))
            self.assertEqual((first_seconds, second_seconds), (0.11, 0.01))

        self.play(main)

    def test_refused_connection_is_tunneled_at_once(self) -> None:
        async def main() -> None:
            self.direct = REFUSED
            dialed, seconds = await self.time_dial()
            assert dialed is not None
            self.assertEqual((dialed.peer, seconds), ("peer", 0.01))

        self.play(main)

    def test_tunnel_to_a_dead_upstream_is_not_opened(self) -> None:
        async def main() -> None:
            self.direct, self.alive = REFUSED, False
            dialed, _ = await self.time_dial()
            self.assertIsNone(dialed)
            self.assertNotIn("tunnel dial", self.log)

        self.play(main)

    def test_dial_without_any_path_fails_at_once_after_a_second(self) -> None:
        async def main() -> None:
            self.direct = self.tunnel = None
            times = [(await self.time_dial())[1] for _ in range(5)]
            self.assertEqual(times, [DIAL_SECONDS] * 4 + [0.0])

        self.play(main)

    def test_tunnel_that_fails_falls_back_to_a_direct_connection(self) -> None:
        async def main() -> None:
            self.paths.record_tunnel(UPSTREAM.address, 0.0)
            self.tunnel = REFUSED
            dialed, _ = await self.time_dial()
            assert dialed is not None
            self.assertEqual(dialed.peer, "")
            self.assertIs(self.paths.get_state(UPSTREAM.address), PathState.DIRECT)

        self.play(main)

    def test_path_goes_direct_within_two_probes_of_the_end_of_a_cut(self) -> None:
        async def main() -> None:
            self.direct = None
            await self.time_dial()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.dialer.probe_paths, 3.0, DIAL_SECONDS)
                await anyio.sleep(5.0)
                self.assertIs(self.paths.get_state(UPSTREAM.address), PathState.TUNNELED)
                self.direct = 0.002
                await anyio.sleep(2 * (PROBE_SECONDS + DIAL_SECONDS))
                self.assertIs(self.paths.get_state(UPSTREAM.address), PathState.DIRECT)
                tasks.cancel_scope.cancel()

        self.play(main)

    def test_blocked_path_is_found_open_without_a_request(self) -> None:
        async def main() -> None:
            self.direct = self.tunnel = None
            while self.paths.get_state(UPSTREAM.address) is not PathState.BLOCKED:
                await self.time_dial()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.dialer.probe_paths, 3.0, DIAL_SECONDS)
                await anyio.sleep(5.0)
                self.assertIs(self.paths.get_state(UPSTREAM.address), PathState.BLOCKED)
                self.tunnel = 0.01
                await anyio.sleep(PROBE_SECONDS + DIAL_SECONDS)
                self.assertIs(self.paths.get_state(UPSTREAM.address), PathState.TUNNELED)
                tasks.cancel_scope.cancel()

        self.play(main)

    def test_silence_counts_as_a_cut_only_if_another_gateway_gets_through(self) -> None:
        async def main() -> None:
            self.direct = self.tunnel = None
            await self.dialer.check(UPSTREAM, DIAL_SECONDS)
            self.assertIs(self.paths.get_state(UPSTREAM.address), PathState.DIRECT)
            self.tunnel = 0.01
            await self.dialer.check(UPSTREAM, DIAL_SECONDS)
            self.assertIs(self.paths.get_state(UPSTREAM.address), PathState.TUNNELED)

        self.play(main)


class SilenceWatchTest(unittest.TestCase):
    def setUp(self) -> None:
        self.paths = PathTable()
        self.watch = SilenceWatch(self.paths)
        self.given_up: list[str] = []

    def make_wait(self, begun_at: float, repeatable: bool = True) -> Wait:
        def give_up() -> None:
            self.given_up.append(f"from {begun_at}")

        return Wait("a", begun_at, SILENT_SECONDS, begun_at, give_up if repeatable else None)

    def test_silent_upstream_is_checked_and_not_given_up(self) -> None:
        with self.watch.watch(self.make_wait(1.0)):
            self.assertEqual(list(self.watch.sweep(1.4)), [])
            self.assertEqual(list(self.watch.sweep(1.5)), ["a"])
        self.assertEqual(self.given_up, [])

    def test_only_repeatable_requests_from_before_the_cut_are_given_up(self) -> None:
        once, before, after = self.make_wait(0.9, False), self.make_wait(1.0), self.make_wait(2.1)
        with self.watch.watch(once), self.watch.watch(before), self.watch.watch(after):
            self.paths.record_tunnel("a", 2.0)
            # The tunnel of the last one is checked.
            self.assertEqual(list(self.watch.sweep(3.0)), ["a"])
        self.assertEqual(self.given_up, ["from 1.0"])

    def test_stream_that_is_not_read_is_not_silent(self) -> None:
        wait = self.make_wait(1.0)
        wait.since = float("inf")
        with self.watch.watch(wait):
            self.paths.record_tunnel("a", 2.0)
            self.assertEqual(list(self.watch.sweep(9.0)), [])
        self.assertEqual(self.given_up, [])


class TunnelPeersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.peers = TunnelPeers(("p", "q", "r"))

    def choose(self, now: float, address: str = "a") -> str | None:
        return self.peers.choose(address, (), now)

    def test_tunnels_spread_over_the_listed_gateways(self) -> None:
        chosen = []
        for _ in range(6):
            peer = self.choose(0.0)
            assert peer is not None
            self.peers.change_open(peer, 1)
            chosen.append(peer)
        self.assertEqual(sorted(chosen), ["p", "p", "q", "q", "r", "r"])

    def test_gateway_that_failed_is_left_alone_for_a_while(self) -> None:
        self.peers.record_silent("p", 1.0)
        self.peers.record_refused("q", "a", 1.0)
        self.assertEqual(self.choose(1.1), "r")
        # One that is cut off from one upstream may be from another.
        self.assertEqual(self.choose(1.1, "b"), "r")
        self.assertEqual(self.choose(1.1 + REFUSED_RETRY_SECONDS), "q")
        self.assertEqual(self.choose(1.1 + PEER_RETRY_SECONDS), "p")

    def test_empty_list_of_a_coordinator_that_just_started_changes_nothing(self) -> None:
        self.assertEqual(self.peers.replace(()), ())
        self.assertEqual(self.peers.replace(("q", "r", "s")), ("p",))


class TunnelOffersTest(unittest.TestCase):
    def make_notices(self, cut: Callable[[int], Reach]) -> list[GatewayNotice]:
        return [
            GatewayNotice(f"g{n}", f"z{n % 3}", "r", True, tunnel=f"t{n}", reach=cut(n))
            for n in range(30)
        ]

    def test_cut_gateways_are_not_offered_and_their_load_spreads(self) -> None:
        offers = make_offers(self.make_notices(lambda n: Reach.FULL if n < 9 else Reach.PARTIAL))
        counts: dict[str, int] = {}
        for number in range(9, 30):
            listed = offers.choose(f"g{number}", f"z{number % 3}")
            self.assertEqual(len(listed), MAX_NEAR_TUNNELS + MAX_FAR_TUNNELS)
            for tunnel in listed:
                counts[tunnel] = counts.get(tunnel, 0) + 1
        self.assertEqual(set(counts), {f"t{n}" for n in range(9)})
        self.assertLess(max(counts.values()), 3 * 4 * 21 / 9)

    def test_zone_that_is_cut_off_gets_tunnels_of_others(self) -> None:
        offers = make_offers(
            self.make_notices(lambda n: Reach.PARTIAL if n % 3 == 0 else Reach.FULL)
        )
        listed = offers.choose("g0", "z0")
        self.assertEqual(len(listed), MAX_FAR_TUNNELS)
        self.assertTrue(all(int(tunnel[1:]) % 3 for tunnel in listed))

    def test_gateways_that_reach_some_upstreams_are_offered_where_none_reaches_all(self) -> None:
        cut = make_offers(self.make_notices(lambda n: Reach.NONE if n else Reach.PARTIAL))
        self.assertEqual(cut.choose("g5", "z2"), ("t0",))
        self.assertEqual(cut.choose("g0", "z0"), ())


if __name__ == "__main__":
    unittest.main()
