"""Tests of by when a generation must have begun to be over before its entry ends."""

import unittest
from collections.abc import Awaitable, Callable
from random import Random

import anyio
import anyio.lowlevel
import orjson
from hypothesis import given
from hypothesis import strategies as st

from daleroad.catalog import SetUpstream
from daleroad.defaults import DRAIN_TOKEN_SECONDS, STOP_BEGIN_SECONDS
from daleroad.environment import Environment
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.finishing import expect_tokens, find_latest_start
from daleroad.generations import Generations
from daleroad.holding import Holding
from daleroad.lengths import Lengths
from daleroad.limiting import Limits
from daleroad.links import Links
from daleroad.loopback import make_site
from daleroad.messages import PermitAnswer, PermitEnd, Work
from daleroad.records import Organisation, Route, Split, Upstream
from daleroad.security import hash_token
from daleroad.serving import Answer, Request
from daleroad.settings import Tls

MOST = 900


def make_lengths(*seen: int) -> Lengths:
    lengths = Lengths()
    for length in seen:
        lengths.add("route", "model", length)
    return lengths


class ExpectTokensTest(unittest.TestCase):
    def test_table(self) -> None:
        table = (
            ("nothing seen", make_lengths(), MOST),
            ("too few seen", make_lengths(*[20] * 7), MOST),
            ("enough seen", make_lengths(*[20] * 8), 20),
            ("one long one of forty counts as chance", make_lengths(*[20] * 39, 700), 20),
            ("one long one of ten counts", make_lengths(*[20] * 9, 700), 700),
            ("longer than the limit", make_lengths(*[2000] * 8), MOST),
        )
        for name, lengths, expected in table:
            with self.subTest(name):
                self.assertEqual(expect_tokens(lengths, "route", "model", MOST), expected)

    def test_a_new_version_is_judged_by_its_route_and_another_route_is_not(self) -> None:
        lengths = make_lengths(*[20] * 8)
        self.assertEqual(expect_tokens(lengths, "route", "new", MOST), 20)
        self.assertEqual(expect_tokens(lengths, "other", "model", MOST), MOST)


class LatestStartTest(unittest.TestCase):
    def test_table(self) -> None:
        table = (
            ("an entry that serves", float("inf"), 120.0, MOST, float("inf")),
            ("a long one", 100.0, 120.0, 1000, 100.0 - STOP_BEGIN_SECONDS - 18.0),
            ("a short one", 100.0, 120.0, 10, 100.0 - STOP_BEGIN_SECONDS - 0.18),
            ("an urgent one that begins at once or never", 100.0, 0.2, 10, 100.0 - 0.2 - 0.18),
        )
        for name, ends_at, allowed, tokens, expected in table:
            with self.subTest(name):
                self.assertAlmostEqual(find_latest_start(ends_at, allowed, tokens), expected)

    @given(st.floats(0, 1000), st.floats(0, 200), st.integers(1, 10_000))
    def test_it_is_over_in_time(self, ends_at: float, allowed: float, tokens: int) -> None:
        begins_at = find_latest_start(ends_at, allowed, tokens) + min(allowed, STOP_BEGIN_SECONDS)
        self.assertAlmostEqual(begins_at + tokens * DRAIN_TOKEN_SECONDS, ends_at)


class FakeStewardship:
    """Gives each permit late, and notes what was asked and given back."""

    def __init__(self, give: Callable[[], Awaitable[None]]) -> None:
        self._give = give
        self.asked: list[Work] = []
        self.ended: list[PermitEnd] = []

    async def ask(self, upstream: Upstream, work: Work, wait: bool) -> PermitAnswer | Failure:
        self.asked.append(work)
        await self._give()
        return PermitAnswer(0.5)

    async def end(self, end: PermitEnd) -> None:
        self.ended.append(end)


class LeavingEntryTest(unittest.TestCase):
    """A generation of 100 tokens at an entry that ends; it takes 2.3 s."""

    def make_generations(self, give: Callable[[], Awaitable[None]]) -> None:
        settings = make_site("data").entries[0]
        self.env = Environment(settings, Links(Tls(), settings.cluster_secret), Random(1))
        catalog = self.env.catalog
        catalog.store(1, "Organisation", "o", Organisation("o", "p", hash_token("token")))
        route = Route("r", "p", "s", (Split("m", 1.0),), repeatable=True)
        catalog.store(2, "Route", "r", route)
        upstream = Upstream("u", "http://127.0.0.1:1", "s", "z", 1000, 8, ("m",))
        catalog.follow(3, SetUpstream(upstream))
        self.steward = FakeStewardship(give)
        limits = Limits(self.env)
        self.generations = Generations(self.env, self.steward, limits, Holding(self.env))

    async def serve(self) -> Answer:
        body = orjson.dumps({"route": "r", "prompt": "p", "max_tokens": 100, "stream": True})
        headers = {"authorization": "Bearer token"}
        with anyio.fail_after(10):
            return await self.generations.serve(Request("POST", "/", "", "", headers, body))

    def check_leaving(self, answer: Answer) -> None:
        self.assertIsInstance(answer, Failure)
        self.assertEqual((answer.kind, answer.ran), (FailureKind.DRAINING, Ran.NO), answer)
        self.assertEqual(answer.retry_after, 0.1)

    def test_what_cannot_be_over_is_not_begun(self) -> None:
        async def run() -> Answer:
            self.make_generations(anyio.lowlevel.checkpoint)
            self.env.ends_at = anyio.current_time() + 2.2
            return await self.serve()

        self.check_leaving(anyio.run(run))
        self.assertEqual(self.steward.asked, [])

    def test_what_can_be_over_gets_a_permit_that_is_in_time(self) -> None:
        async def run() -> Answer:
            self.make_generations(anyio.lowlevel.checkpoint)
            self.env.ends_at = anyio.current_time() + 4.3
            return await self.serve()

        # The upstream is not there; that a permit was asked for is enough.
        self.assertEqual(anyio.run(run).ran, Ran.NO)
        self.assertGreater(self.steward.asked[0].deadline, 1.5)
        self.assertLessEqual(self.steward.asked[0].deadline, 2.0)

    def test_a_wait_for_a_permit_ends_when_it_would_be_too_late(self) -> None:
        async def run() -> Answer:
            self.make_generations(anyio.sleep_forever)
            self.env.ends_at = anyio.current_time() + 2.5
            return await self.serve()

        self.check_leaving(anyio.run(run))

    def test_a_wait_from_before_the_signal_ends_too(self) -> None:
        async def run() -> Answer:
            async def stop() -> None:
                await anyio.sleep(0.1)
                self.env.ends_at = anyio.current_time() + 2.5
                self.generations.note_end()

            self.make_generations(anyio.sleep_forever)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(stop)
                return await self.serve()

        self.check_leaving(anyio.run(run))

    def test_a_permit_that_comes_too_late_is_given_back(self) -> None:
        async def give() -> None:
            # Told in the turn in which the permit comes, so that no wait is cut off.
            self.env.ends_at = anyio.current_time() + 1.0

        async def run() -> Answer:
            self.make_generations(give)
            return await self.serve()

        self.check_leaving(anyio.run(run))
        (work,) = self.steward.asked
        (end,) = self.steward.ended
        self.assertEqual((end.generation, end.started, end.ok), (work.generation, False, False))
