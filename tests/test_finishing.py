"""Tests of the latest start at which a generation finishes before its entry shuts down."""

import unittest
from collections.abc import Awaitable, Callable
from random import Random

import anyio
import anyio.lowlevel
import orjson
from hypothesis import given
from hypothesis import strategies as st

from daleroad.catalog import SetUpstream
from daleroad.defaults import DRAIN_SECONDS_PER_TOKEN, FIRST_TOKEN_ALLOWANCE_SECONDS
from daleroad.environment import Environment
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.finishing import compute_latest_start, estimate_max_tokens
from daleroad.generations import GenerationHandler
from daleroad.lengths import OutputLengths
from daleroad.links import Links
from daleroad.loopback import make_site
from daleroad.messages import PermitAnswer, PermitEnd, Work
from daleroad.organisationlimits import OrganisationLimits
from daleroad.records import Organisation, Route, Split, Upstream
from daleroad.requestholds import RequestHolds
from daleroad.security import hash_token
from daleroad.serving import Answer, Request
from daleroad.settings import Tls

MAX_TOKENS = 900


def make_lengths(*seen: int) -> OutputLengths:
    lengths = OutputLengths()
    for length in seen:
        lengths.add("route", "model", length)
    return lengths


class ExpectTokensTest(unittest.TestCase):
    def test_table(self) -> None:
        table = (
            ("no lengths recorded", make_lengths(), MAX_TOKENS),
            ("too few lengths", make_lengths(*[20] * 7), MAX_TOKENS),
            ("enough lengths", make_lengths(*[20] * 8), 20),
            ("one outlier in forty is ignored", make_lengths(*[20] * 39, 700), 20),
            ("one outlier in ten counts", make_lengths(*[20] * 9, 700), 700),
            ("longer than the limit", make_lengths(*[2000] * 8), MAX_TOKENS),
        )
        for name, lengths, expected in table:
            with self.subTest(name):
                self.assertEqual(
                    estimate_max_tokens(lengths, "route", "model", MAX_TOKENS), expected
                )

    def test_a_new_model_uses_its_routes_lengths_and_another_route_does_not(self) -> None:
        lengths = make_lengths(*[20] * 8)
        self.assertEqual(estimate_max_tokens(lengths, "route", "new", MAX_TOKENS), 20)
        self.assertEqual(estimate_max_tokens(lengths, "other", "model", MAX_TOKENS), MAX_TOKENS)


class LatestStartTest(unittest.TestCase):
    def test_table(self) -> None:
        table = (
            ("no shutdown in progress", float("inf"), 120.0, MAX_TOKENS, float("inf")),
            ("long output", 100.0, 120.0, 1000, 100.0 - FIRST_TOKEN_ALLOWANCE_SECONDS - 18.0),
            ("short output", 100.0, 120.0, 10, 100.0 - FIRST_TOKEN_ALLOWANCE_SECONDS - 0.18),
            (
                "deadline shorter than the usual time to first token",
                100.0,
                0.2,
                10,
                100.0 - 0.2 - 0.18,
            ),
        )
        for name, ends_at, allowed, tokens, expected in table:
            with self.subTest(name):
                self.assertAlmostEqual(compute_latest_start(ends_at, allowed, tokens), expected)

    @given(st.floats(0, 1000), st.floats(0, 200), st.integers(1, 10_000))
    def test_a_generation_that_starts_by_then_finishes_in_time(
        self, ends_at: float, allowed: float, tokens: int
    ) -> None:
        begins_at = compute_latest_start(ends_at, allowed, tokens) + min(
            allowed, FIRST_TOKEN_ALLOWANCE_SECONDS
        )
        self.assertAlmostEqual(begins_at + tokens * DRAIN_SECONDS_PER_TOKEN, ends_at)


class FakeStewardship:
    """Awaits a hook before granting each permit; records requested work and returned permits."""

    def __init__(self, before_grant: Callable[[], Awaitable[None]]) -> None:
        self._before_grant = before_grant
        self.requested: list[Work] = []
        self.returned: list[PermitEnd] = []

    async def request_permit(
        self, upstream: Upstream, work: Work, wait: bool
    ) -> PermitAnswer | Failure:
        self.requested.append(work)
        await self._before_grant()
        return PermitAnswer(0.5)

    async def return_permit(self, end: PermitEnd) -> None:
        self.returned.append(end)


class EntryShutdownTest(unittest.TestCase):
    """A generation of 100 tokens on an entry that shuts down; it needs 2.3 s."""

    def make_generations(self, before_grant: Callable[[], Awaitable[None]]) -> None:
        settings = make_site("data").entries[0]
        self.env = Environment(settings, Links(Tls(), settings.cluster_secret), Random(1))
        catalog = self.env.catalog
        catalog.store(1, "Organisation", "o", Organisation("o", "p", hash_token("token")))
        route = Route("r", "p", "s", (Split("m", 1.0),), repeatable=True)
        catalog.store(2, "Route", "r", route)
        upstream = Upstream("u", "http://127.0.0.1:1", "s", "z", 1000, 8, ("m",))
        catalog.apply_accepted(3, SetUpstream(upstream))
        self.steward = FakeStewardship(before_grant)
        limits = OrganisationLimits(self.env)
        self.generations = GenerationHandler(self.env, self.steward, limits, RequestHolds(self.env))

    async def serve(self) -> Answer:
        body = orjson.dumps({"route": "r", "prompt": "p", "max_tokens": 100, "stream": True})
        headers = {"authorization": "Bearer token"}
        with anyio.fail_after(10):
            return await self.generations.serve(Request("POST", "/", "", "", headers, body))

    def check_refused(self, answer: Answer) -> None:
        self.assertIsInstance(answer, Failure)
        self.assertEqual((answer.kind, answer.ran), (FailureKind.DRAINING, Ran.NO), answer)
        self.assertEqual(answer.retry_after, 0.1)

    def test_a_generation_that_cannot_finish_is_not_started(self) -> None:
        async def run() -> Answer:
            self.make_generations(anyio.lowlevel.checkpoint)
            self.env.ends_at = anyio.current_time() + 2.2
            return await self.serve()

        self.check_refused(anyio.run(run))
        self.assertEqual(self.steward.requested, [])

    def test_a_generation_that_can_finish_requests_a_permit_with_a_shorter_deadline(self) -> None:
        async def run() -> Answer:
            self.make_generations(anyio.lowlevel.checkpoint)
            self.env.ends_at = anyio.current_time() + 4.3
            return await self.serve()

        # No upstream listens; only the permit request matters.
        self.assertEqual(anyio.run(run).ran, Ran.NO)
        self.assertGreater(self.steward.requested[0].deadline, 1.5)
        self.assertLessEqual(self.steward.requested[0].deadline, 2.0)

    def test_a_wait_for_a_permit_is_cancelled_at_the_latest_start(self) -> None:
        async def run() -> Answer:
            self.make_generations(anyio.sleep_forever)
            self.env.ends_at = anyio.current_time() + 2.5
            return await self.serve()

        self.check_refused(anyio.run(run))

    def test_a_wait_that_began_before_shutdown_is_cancelled(self) -> None:
        async def run() -> Answer:
            async def stop() -> None:
                await anyio.sleep(0.1)
                self.env.ends_at = anyio.current_time() + 2.5
                self.generations.apply_shutdown_deadline()

            self.make_generations(anyio.sleep_forever)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(stop)
                return await self.serve()

        self.check_refused(anyio.run(run))

    def test_a_permit_granted_too_late_is_returned(self) -> None:
        async def before_grant() -> None:
            # Set as the permit is granted, so that no pending wait is cancelled.
            self.env.ends_at = anyio.current_time() + 1.0

        async def run() -> Answer:
            self.make_generations(before_grant)
            return await self.serve()

        self.check_refused(anyio.run(run))
        (work,) = self.steward.requested
        (end,) = self.steward.returned
        self.assertEqual((end.generation, end.started, end.ok), (work.generation, False, False))
