"""Tests of the holding of suspected poison requests at entries."""

import time
import unittest
from collections.abc import Callable, Coroutine
from dataclasses import replace
from random import Random
from typing import Any
from unittest.mock import patch

import anyio
import httpx
import trio
import trio.testing

from daleroad.blame import JOINT_CRASH_SECONDS
from daleroad.defaults import LEASE_REMOVAL_DELAY_SECONDS
from daleroad.entry import Entry
from daleroad.errors import FailureKind, Ran
from daleroad.loopback import Site, get_token, make_site
from daleroad.messages import Suspicions
from daleroad.onsets import Progress
from daleroad.promptparts import make_shared_part
from daleroad.records import Organisation, Route, State, Upstream
from daleroad.suspects import Standing
from daleroad.suspicions import HOLD_BACKOFF_SECONDS
from tests.harness import SiteTest, generate, wait_for

FINGERPRINT = "f" * 32
ORGANISATION = Organisation("org", "stoyanov", "hash")
CALLER = "danube-barges"
ROUTE = Route("bulletin", "stoyanov", "narrator")


class HoldingTest(unittest.TestCase):
    """One entry on a mock clock."""

    def run_entry(self, body: Callable[[Entry], Coroutine[Any, Any, None]]) -> None:
        settings = make_site("/nowhere", 1, 1).entries[0]

        async def main() -> None:
            entry = Entry(settings, Random(1))
            async with anyio.create_task_group() as tasks:
                entry.env.tasks = tasks
                await body(entry)
                tasks.cancel_scope.cancel()

        with patch("daleroad.entry.Links"):
            trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def record_crashes(self, entry: Entry, *names: str) -> None:
        for name in names:
            entry.holding.record_lost(FINGERPRINT, ORGANISATION, ROUTE, name)

    def get(self, entry: Entry) -> Standing:
        return entry.env.suspects.get_standing(FINGERPRINT, anyio.current_time())

    def test_crashes_recorded_here_and_at_other_entries_add_up(self) -> None:
        async def body(entry: Entry) -> None:
            self.record_crashes(entry, "u1")
            self.assertIsNone(entry.holding.find_refusal(FINGERPRINT))
            other = Entry(entry.env.settings, Random(1))
            self.record_crashes(other, "u2", "u3")
            reports = other.env.suspects.list_changed(anyio.current_time())
            entry.holding.merge_reports(Suspicions(reports))
            self.assertIsNotNone(entry.holding.find_refusal(FINGERPRINT))

        self.run_entry(body)

    def test_a_draining_upstream_has_not_crashed(self) -> None:
        async def body(entry: Entry) -> None:
            leaving = Upstream("u3", "a", "narrator", "z", state=State.DRAINING)
            entry.env.catalog.upstreams["u3"] = leaving
            self.record_crashes(entry, "u1", "u2", "u3")
            self.assertIs(self.get(entry), Standing.LAST_TRY)

        self.run_entry(body)

    def test_an_upstream_still_a_member_after_its_lease_has_not_crashed(self) -> None:
        async def body(entry: Entry) -> None:
            entry.env.catalog.upstreams["u2"] = Upstream("u2", "a", "narrator", "z")
            self.record_crashes(entry, "u1", "u2", "u3")
            self.assertIs(self.get(entry), Standing.HELD)
            await anyio.sleep(entry.env.settings.upstream_lease + LEASE_REMOVAL_DELAY_SECONDS + 0.1)
            self.assertIs(self.get(entry), Standing.LAST_TRY)

        self.run_entry(body)

    def test_a_complete_response_cancels_a_crash(self) -> None:
        async def body(entry: Entry) -> None:
            self.record_crashes(entry, "u1", "u2", "u3")
            entry.holding.record_success(FINGERPRINT)
            self.assertIs(self.get(entry), Standing.LAST_TRY)

        self.run_entry(body)

    def test_the_beginning_of_prompts_is_held_whatever_follows(self) -> None:
        async def body(entry: Entry) -> None:
            part = make_shared_part("narrator", "narrator-v1", "beginning", 0)
            other = make_shared_part("narrator", "narrator-v1", "another", 0)
            for number in range(3):
                entry.holding.record_lost(
                    f"request {number}", ORGANISATION, ROUTE, f"u{number}", part, Progress.BEGUN
                )
                await anyio.sleep(JOINT_CRASH_SECONDS)
            caller = ORGANISATION.name
            refusal = entry.holding.find_refusal("request 4", caller, part)
            assert refusal is not None
            self.assertEqual((refusal.kind, refusal.ran), (FailureKind.HELD, Ran.NO))
            self.assertIsNone(entry.holding.find_refusal("request 4", caller, other))
            entry.holding.record_far(part, caller)
            self.assertIsNone(entry.holding.find_refusal("request 4", caller, part))

        self.run_entry(body)

    def test_after_the_hold_one_request_at_a_time_tries_the_part_again(self) -> None:
        async def body(entry: Entry) -> None:
            part = make_shared_part("narrator", "narrator-v1", "beginning", 0)
            for number in range(3):
                entry.holding.record_lost(
                    f"request {number}", ORGANISATION, ROUTE, f"u{number}", part, Progress.BEGUN
                )
                await anyio.sleep(JOINT_CRASH_SECONDS)
            for _ in range(2):
                await anyio.sleep(HOLD_BACKOFF_SECONDS[0])
                tries = [
                    entry.holding.find_refusal(f"request {number}", ORGANISATION.name, part)
                    for number in range(5)
                ]
                self.assertEqual([held is None for held in tries], [True] + [False] * 4)

        self.run_entry(body)


class CrashedEnginesTest(SiteTest):
    """Three engines are killed while running one request, sent through different entries."""

    ENGINES = 5

    def change_site(self, site: Site) -> Site:
        return replace(
            super().change_site(site),
            entries=tuple(replace(s, stall=1.0) for s in site.entries),
        )

    def test_the_request_is_refused_at_each_entry_and_others_are_served(self) -> None:
        prompt = "Narrate the Danube #tokens=4000"
        self.check_refused([prompt] * 3, prompt)

    def test_prompts_with_a_poison_beginning_are_refused_at_each_entry(self) -> None:
        beginning = "Narrate the Danube from its springs to its mouth, with all the towns beside it"
        prompts = [f"{beginning}, part {number} #tokens=4000" for number in range(4)]
        self.check_refused(prompts[:3], prompts[3])

    def check_refused(self, prompts: list[str], prompt: str) -> None:
        """Kill an engine for each prompt; check that another is refused, and others are served."""
        for number, crashing in enumerate(prompts):
            self.kill_engine_running(crashing, number % len(self.site.entries))
        wait_for(self.is_held_everywhere, "the request held at all entries")
        for entry in range(len(self.site.entries)):
            began = time.monotonic()
            answer = self.post(entry, prompt)
            self.assertLess(time.monotonic() - began, 1.0)
            self.assertEqual(answer.status_code, 503, answer.text)
            self.assertEqual((answer.json()["title"], answer.json()["ran"]), ("held-back", "no"))
            self.assertGreater(float(answer.headers["retry-after"]), 5.0)
        caller = self.make_caller(CALLER)
        self.check_whole(generate(caller, "bulletin", "Another prompt #tokens=4"), 4)

    def post(self, entry: int, prompt: str) -> httpx.Response:
        headers = {"authorization": f"Bearer {get_token(CALLER)}"}
        body = {"route": "bulletin", "prompt": prompt, "max_tokens": 0, "stream": True}
        url = f"{self.site.entries[entry].url}/v1/completions"
        return httpx.post(url, json=body, headers=headers, timeout=60, trust_env=False)

    def kill_engine_running(self, prompt: str, entry: int) -> None:
        """Start a stream and kill its engine after the first piece."""
        headers = {"authorization": f"Bearer {get_token(CALLER)}"}
        body = {"route": "bulletin", "prompt": prompt, "max_tokens": 0, "stream": True}
        url = f"{self.site.entries[entry].url}/v1/completions"
        with httpx.stream(
            "POST", url, json=body, headers=headers, timeout=60, trust_env=False
        ) as s:
            self.assertEqual(s.status_code, 200)
            engine = s.headers["x-generation"].partition(".")[0]
            pieces = s.iter_bytes()
            next(pieces)
            self.processes.kill(engine)
            rest = b"".join(pieces)
        self.assertIn(b"event: error", rest)

    def is_held_everywhere(self) -> bool:
        states = [httpx.get(f"{s.url}/status", trust_env=False).json() for s in self.site.entries]
        return all(state["held"] for state in states)
