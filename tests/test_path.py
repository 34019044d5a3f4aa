"""End-to-end tests of requests through separate processes, and of faulty engines."""

import anyio
import httpx

from daleroad.caller import CallerPart, Token
from daleroad.loopback import get_token
from daleroad.records import Organisation
from daleroad.security import hash_token
from tests.harness import SiteTest, generate, get_failure, get_json, wait_for


class PathTest(SiteTest):
    SPEED = 4.0

    def test_tokens_are_delivered_once_and_in_order(self) -> None:
        parts = generate(self.make_caller("danube-barges"), "bulletin", "a #tokens=200")
        generation = self.check_whole(parts, 200)
        record = self.get_record()["generations"][generation]
        texts = [part.text for part in parts if isinstance(part, Token)]
        self.assertEqual(texts, record["tokens"])

    def test_a_caller_resumes_elsewhere_when_its_entry_is_killed(self) -> None:
        caller = self.make_caller("danube-barges")
        killed_entries: list[str] = []

        async def ask() -> list[CallerPart]:
            parts: list[CallerPart] = []
            async for part in caller.generate("bulletin", "a #tokens=300"):
                parts.append(part)
                if len(parts) == 50 and not killed_entries:
                    killed_entries.append(self.kill_serving_entry())
            await caller.close()
            return parts

        self.check_whole(anyio.run(ask), 300)
        self.assertGreaterEqual(caller.resumes, 1)
        self.assertEqual(len(killed_entries), 1)
        self.assertEqual(len(self.get_record()["runs"]), 1)

    def kill_serving_entry(self) -> str:
        for settings in self.site.entries:
            if get_json(f"{settings.url}/status")["inflight"]:
                self.processes.kill(settings.name)
                return settings.name
        raise AssertionError("no entry serves the stream")

    def test_invalid_requests_get_typed_problems_and_the_entry_keeps_serving(self) -> None:
        url = f"{self.site.entries[0].url}/v1/completions"
        token = {"authorization": f"Bearer {get_token('danube-barges')}"}
        valid_body = {"route": "bulletin", "prompt": "x"}
        cases = (
            ("bad-request", {"content": b"{", "headers": token}),
            ("bad-request", {"json": {"route": 1, "prompt": "x"}, "headers": token}),
            ("bad-request", {"json": {"route": "bulletin", "prompt": ""}, "headers": token}),
            ("bad-request", {"json": {**valid_body, "colour": 1}, "headers": token}),
            ("too-large", {"content": b"x" * 1_200_000, "headers": token}),
            ("unauthenticated", {"json": valid_body}),
            ("unauthenticated", {"json": valid_body, "headers": {"authorization": "Bearer wrong"}}),
            ("unknown-route", {"json": {**valid_body, "route": "nowhere"}, "headers": token}),
            ("unknown-route", {"json": {**valid_body, "route": "ledger-draft"}, "headers": token}),
            (
                "deadline-passed",
                {"json": valid_body, "headers": {**token, "x-deadline-seconds": "0"}},
            ),
            ("bad-request", {"json": valid_body, "headers": {**token, "last-event-id": "a.b.c:1"}}),
        )
        for title, arguments in cases:
            response = httpx.post(url, trust_env=False, timeout=10, **arguments)
            problem = response.json()
            self.assertEqual(response.headers["content-type"], "application/problem+json")
            self.assertEqual((problem["title"], problem["ran"]), (title, "no"), arguments)
        self.assertEqual(self.get_record()["runs"], [])
        self.check_whole(generate(self.make_caller("danube-barges"), "bulletin", "#tokens=5"), 5)

    def test_non_repeatable_route_requires_an_idempotency_key(self) -> None:
        url = f"{self.site.entries[0].url}/v1/completions"
        token = {"authorization": f"Bearer {get_token('herders')}"}
        body = {"route": "gate-check-in", "prompt": "x"}
        response = httpx.post(url, trust_env=False, json=body, headers=token)
        self.assertEqual(response.json()["title"], "bad-request")

    def test_organisation_cannot_resume_a_generation_of_another(self) -> None:
        parts = generate(self.make_caller("danube-barges"), "bulletin", "#tokens=5")
        generation = self.check_whole(parts, 5)
        url = f"{self.site.entries[0].url}/v1/completions"
        headers = {
            "authorization": f"Bearer {get_token('thracian-orchards')}",
            "last-event-id": f"{generation}:2",
        }
        response = httpx.post(url, trust_env=False, json={}, headers=headers)
        self.assertEqual(response.json()["title"], "bad-request")

    def test_plain_service_gets_the_path_below_its_prefix(self) -> None:
        url = f"{self.site.entries[0].url}/services/weather/stations/7?full=1"
        token = {"authorization": f"Bearer {get_token('pass-depots')}"}
        answer = httpx.get(url, trust_env=False, headers=token).json()
        self.assertEqual(answer["path"], "/stations/7")

    def test_non_repeatable_call_runs_once_per_idempotency_key(self) -> None:
        token = {"authorization": f"Bearer {get_token('herders')}", "idempotency-key": "k1"}
        answers = [
            httpx.post(
                f"{settings.url}/services/check-in/gate", trust_env=False, headers=token, json={}
            )
            for settings in self.site.entries
        ]
        self.assertEqual(len({answer.text for answer in answers}), 1)
        plain = next(p for p in self.site.plain if p.service == "herder-app")
        self.assertEqual(get_json(f"http://{plain.address}/record")["calls"], ["k1"])

    def test_concurrent_requests_with_one_key_at_three_entries_run_once(self) -> None:
        async def ask_all() -> list[list[CallerPart]]:
            results: list[list[CallerPart]] = []

            async def ask(entry_number: int) -> None:
                caller = self.make_caller("herders", entry_number)
                parts = [p async for p in caller.generate("gate-check-in", "#tokens=9", "key-1")]
                await caller.close()
                results.append(parts)

            async with anyio.create_task_group() as tasks:
                for entry_number in range(3):
                    tasks.start_soon(ask, entry_number)
            return results

        generations = {self.check_whole(parts, 9) for parts in anyio.run(ask_all)}
        self.assertEqual(len(generations), 1)
        runs = self.get_record(1)["runs"]
        self.assertEqual(len(runs), 1)

    def test_organisation_limit_holds_across_entries(self) -> None:
        operator = self.make_operator("stoyanov")
        token = hash_token("limited-token")
        record = Organisation("limited", "stoyanov", token, most_running=2)
        self.assertTrue(operator.put(record, 0).in_force)
        headers = {"authorization": "Bearer limited-token"}

        async def ask_all() -> list[int]:
            statuses: list[int] = []

            async def ask(number: int) -> None:
                url = f"{self.site.entries[number % 3].url}/v1/completions"
                body = {"route": "bulletin", "prompt": f"{number} #tokens=300", "stream": False}
                async with httpx.AsyncClient(timeout=60, trust_env=False) as client:
                    response = await client.post(url, json=body, headers=headers)
                statuses.append(response.status_code)

            async with anyio.create_task_group() as tasks:
                for number in range(9):
                    tasks.start_soon(ask, number)
            return statuses

        def ask_in_parallel() -> bool:
            statuses = anyio.run(ask_all)
            self.assertLessEqual(set(statuses), {200, 429})
            self.assertLessEqual(statuses.count(200), 2)
            return statuses.count(200) == 2

        # A new counter grants no slot while it waits for reports of the slots that are held.
        wait_for(ask_in_parallel, "two slots")
        wait_for(ask_in_parallel, "the slots to be released")

    def test_key_reused_for_another_request_conflicts(self) -> None:
        caller = self.make_caller("herders")
        self.check_whole(generate(caller, "gate-check-in", "#tokens=4", "key-2"), 4)
        parts = generate(self.make_caller("herders"), "gate-check-in", "#tokens=5", "key-2")
        self.assertEqual(get_failure(parts).kind.value, "key-conflict")


class FaultyEngineTest(SiteTest):
    SPEED = 4.0

    def ask(self, length: int = 60) -> None:
        parts = generate(self.make_caller("danube-barges"), "bulletin", f"#tokens={length}")
        self.check_whole(parts, length)

    def test_duplicate_frames_and_frames_of_another_generation(self) -> None:
        self.set_faults(0, double=True, cross=True)
        self.ask()

    def test_missing_frame(self) -> None:
        self.set_faults(0, skip=20)
        self.ask()

    def test_a_cut_stream(self) -> None:
        self.set_faults(0, cut=0)
        self.ask()
        self.set_faults(0, cut=30)
        self.ask()
        self.assertEqual(len(self.get_record()["runs"]), 2)

    def test_engine_that_loses_its_state_mid_stream_ends_it_as_partial(self) -> None:
        self.set_faults(0, die=20)
        parts = generate(self.make_caller("danube-barges"), "bulletin", "#tokens=60")
        failure = get_failure(parts)
        self.assertEqual(failure.ran.value, "partial")
