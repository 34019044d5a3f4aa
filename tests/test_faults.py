"""Tests of faults at each step of a request, with real processes and the engines' run records."""

import threading
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import replace

import anyio
import httpx

from daleroad.caller import CallerPart, Token, Whole
from daleroad.engine import EngineOptions
from daleroad.errors import Failure, Ran
from daleroad.loopback import Site, get_token
from tests.harness import SiteTest, generate, get_failure, get_json, wait_for


class FaultTest(SiteTest):
    """A site whose engines are reached through fault-injecting relays."""

    SPEED = 4.0
    STALL = 1.5

    def change_site(self, site: Site) -> Site:
        site = super().change_site(site)
        self.relays = {}
        engines = []
        for options in site.engines:
            relay, address = self.start_relay(options.address)
            self.relays[options.name] = relay
            engines.append(replace(options, advertise=address))
        entries = tuple(replace(s, stall=self.STALL) for s in site.entries)
        return replace(site, engines=tuple(engines), entries=entries)

    def setUp(self) -> None:
        super().setUp()
        self.pool = self.enterContext(ThreadPoolExecutor(8))

    def submit(
        self, organisation: str, route: str, prompt: str, key: str = "", entry: int = 0
    ) -> "Future[list[CallerPart]]":
        """Generate in the background through one entry only."""
        return self.pool.submit(self.generate_at_entry, organisation, route, prompt, key, entry)

    def generate_at_entry(
        self, organisation: str, route: str, prompt: str, key: str, entry: int
    ) -> list[CallerPart]:
        caller = self.make_caller(organisation, entry)
        caller._addresses = [self.site.entries[entry].url]
        caller._keep_until = float("inf")
        return generate(caller, route, prompt, key)

    def post_check_in(self, entry: int, key: str, prompt: str = "#tokens=6") -> httpx.Response:
        """Request a gate check-in once, without retries."""
        headers = {
            "authorization": f"Bearer {get_token('herders')}",
            "idempotency-key": key,
        }
        body = {"route": "gate-check-in", "prompt": prompt, "max_tokens": 0}
        url = f"{self.site.entries[entry].url}/v1/completions"
        return httpx.post(url, json=body, headers=headers, timeout=60, trust_env=False)

    def list_runs(self) -> list[str]:
        """Return the generations that the running engines have executed."""
        runs: list[str] = []
        for options in self.site.engines:
            if options.name in self.processes.running:
                record = get_json(f"http://{options.address}/record")
                runs += [run[0] for run in record["runs"]]
        return runs


class OnceTest(FaultTest):
    """Requests that may not be repeated; gate check-ins run on the drafting engine."""

    ENGINE = "drafting-models-0"

    def hold_new_connections(self, direction: str) -> None:
        self.relays[self.ENGINE].holding[direction] = True

    def wait_for_held_connection(self) -> None:
        """Wait for a held connection, then stop holding new ones."""
        relay = self.relays[self.ENGINE]
        wait_for(lambda: relay.held > 0, "a held connection")
        relay.holding = {"to": False, "from": False}

    def test_entry_killed_between_claim_and_dispatch(self) -> None:
        self.hold_new_connections("to")
        self.submit("herders", "gate-check-in", "#tokens=6", "key", 0)
        self.wait_for_held_connection()
        self.processes.kill(self.site.entries[0].name)
        parts = self.submit("herders", "gate-check-in", "#tokens=6", "key", 1).result(60)
        self.check_whole(parts, 6)
        self.relays[self.ENGINE].release()
        time.sleep(0.5)
        self.assertEqual(len(self.list_runs()), 1)

    def test_entry_frozen_between_claim_and_dispatch_then_thawed(self) -> None:
        self.hold_new_connections("to")
        first = self.submit("herders", "gate-check-in", "#tokens=6", "key", 0)
        self.wait_for_held_connection()
        self.processes.freeze(self.site.entries[0].name)
        parts = self.submit("herders", "gate-check-in", "#tokens=6", "key", 1).result(60)
        generation = self.check_whole(parts, 6)
        self.relays[self.ENGINE].release()
        time.sleep(0.5)
        self.processes.thaw(self.site.entries[0].name)
        self.assertEqual(self.check_whole(first.result(60), 6), generation)
        self.assertEqual(self.list_runs(), [generation])

    def test_entry_killed_between_dispatch_and_first_byte(self) -> None:
        self.hold_new_connections("from")
        self.submit("herders", "gate-check-in", "#tokens=6", "key", 0)
        self.wait_for_held_connection()
        self.processes.kill(self.site.entries[0].name)
        parts = self.submit("herders", "gate-check-in", "#tokens=6", "key", 1).result(60)
        generation = self.check_whole(parts, 6)
        self.assertEqual(self.list_runs(), [generation])

    def test_engine_killed_before_the_first_token(self) -> None:
        self.hold_new_connections("from")
        first = self.pool.submit(self.post_check_in, 0, "key")
        self.wait_for_held_connection()
        self.processes.kill(self.ENGINE)
        self.relays[self.ENGINE].drop()
        problem = first.result(60).json()
        self.assertEqual(problem["ran"], "unknown")
        again = self.post_check_in(1, "key").json()
        self.assertEqual((again["title"], again["ran"]), ("already-ran", "unknown"))

    def test_engine_that_cannot_be_reached_never_ran_it(self) -> None:
        self.processes.kill(self.ENGINE)
        self.relays[self.ENGINE].refusing = True
        problem = self.post_check_in(0, "key").json()
        self.assertIn(problem["ran"], ("no", "unknown"))
        self.assertEqual(self.list_runs(), [])

    def test_link_cut_one_way_after_dispatch(self) -> None:
        self.hold_new_connections("from")
        parts = self.submit("herders", "gate-check-in", "#tokens=6", "key", 0)
        self.wait_for_held_connection()
        self.check_whole(parts.result(60), 6)
        self.assertEqual(len(self.list_runs()), 1)

    def test_without_a_majority_nothing_that_may_not_repeat_runs(self) -> None:
        leader = self.find_leader()
        for settings in self.site.control:
            if settings.name != leader.name:
                self.processes.kill(settings.name)
        response = self.post_check_in(0, "key")
        problem = response.json()
        # Without the journal, an earlier attempt with this key may have run.
        self.assertEqual(problem["ran"], "unknown")
        self.assertIn("not sent", problem["detail"])
        self.assertIn("retry-after", response.headers)
        self.assertEqual(self.list_runs(), [])

    def test_a_done_answer_is_given_again_after_its_engine_is_gone(self) -> None:
        first = self.submit("herders", "gate-check-in", "#tokens=6", "key", 0).result(60)
        generation = self.check_whole(first, 6)

        def is_settled() -> bool:
            again = self.submit("herders", "gate-check-in", "#tokens=6", "key", 1).result(60)
            return isinstance(again[-1], Whole) and again[-1].generation == generation

        wait_for(is_settled, "the recorded answer")
        time.sleep(0.5)
        self.processes.kill(self.ENGINE)
        again = self.submit("herders", "gate-check-in", "#tokens=6", "key", 2).result(60)
        self.assertEqual(self.check_whole(again, 6), generation)

    def test_journal_leader_killed_under_load_runs_each_key_once(self) -> None:
        results: list[list[CallerPart]] = []

        def ask(number: int) -> None:
            prompt, key = "#tokens=4", f"key-{number}"
            results.append(generate(self.make_caller("herders"), "gate-check-in", prompt, key))

        futures = [self.pool.submit(ask, n) for n in range(12)]
        time.sleep(0.3)
        self.processes.kill(self.find_leader().name)
        futures += [self.pool.submit(ask, n) for n in range(12, 24)]
        for future in futures:
            future.result(120)
        generations = [self.check_whole(parts, 4) for parts in results]
        self.assertEqual(len(set(generations)), 24)
        self.assertEqual(sorted(self.list_runs()), sorted(generations))


class RepeatableTest(FaultTest):
    """Requests that may be repeated, with two engines per service."""

    ENGINES = 2

    def ask(self, length: int = 40, entry: int = 0, prefix: str = "") -> list[CallerPart]:
        prompt = f"{prefix}#tokens={length}"
        return self.submit("danube-barges", "bulletin", prompt, entry=entry).result(90)

    def test_engine_killed_before_the_first_token_moves_the_request(self) -> None:
        names = [e.name for e in self.site.engines if e.service == "narrator"]
        for name in names:
            self.relays[name].holding["from"] = True
        future = self.submit("danube-barges", "bulletin", "#tokens=40")
        held = wait_for(lambda: next((n for n in names if self.relays[n].held), None), "held")
        self.processes.kill(held)
        self.relays[held].drop()
        for name in names:
            if name != held:
                self.relays[name].release()
        self.check_whole(future.result(90), 40)

    def kill_engine_at(self, count: int) -> list[CallerPart]:
        """Generate, and kill the serving engine after ``count`` tokens."""
        caller = self.make_caller("danube-barges")

        async def ask() -> list[CallerPart]:
            parts: list[CallerPart] = []
            async for part in caller.generate("bulletin", "#tokens=400"):
                parts.append(part)
                if len(parts) == count and isinstance(part, Token):
                    self.processes.kill(self.find_busy_engine().name)
            await caller.close()
            return parts

        return anyio.run(ask)

    def find_busy_engine(self) -> EngineOptions | None:
        for options in self.site.engines:
            record = get_json(f"http://{options.address}/record")
            if any(g["state"] == "running" for g in record["generations"].values()):
                return options
        return None

    def test_engine_killed_after_the_first_token_ends_the_answer_typed(self) -> None:
        for count in (1, 100):
            parts = self.kill_engine_at(count)
            failure = get_failure(parts)
            self.assertIs(failure.ran, Ran.PARTIAL)
            prefixes = {p.text.rpartition("-")[0] for p in parts if isinstance(p, Token)}
            self.assertEqual(len(prefixes), 1)
            indexes = [p.index for p in parts if isinstance(p, Token)]
            self.assertEqual(indexes, list(range(len(indexes))))
            self.restart_engines()

    def restart_engines(self) -> None:
        for options in self.site.engines:
            if options.name not in self.processes.running:
                self.processes.start_engine(options)
        self.wait_ready()

    def test_a_link_that_stalls_in_the_middle_is_resumed(self) -> None:
        caller = self.make_caller("danube-barges")

        async def ask() -> list[CallerPart]:
            parts: list[CallerPart] = []
            async for part in caller.generate("bulletin", "#tokens=400"):
                parts.append(part)
                if len(parts) == 50:
                    for relay in self.relays.values():
                        relay.stalled["from"] = True
                    threading.Timer(3.0, self.clear_stalls).start()
            await caller.close()
            return parts

        self.check_whole(anyio.run(ask), 400)
        self.assertEqual(len(self.list_runs()), 1)

    def clear_stalls(self) -> None:
        for relay in self.relays.values():
            relay.stalled = {"to": False, "from": False}

    def test_a_leaving_engine_gets_no_new_work_and_finishes_what_runs(self) -> None:
        futures = [self.submit("danube-barges", "bulletin", "#tokens=300") for _ in range(6)]
        draining = wait_for(self.find_busy_engine, "work on an engine")
        url = f"http://{draining.address}"
        httpx.post(f"{url}/drain", trust_env=False)
        time.sleep(3.0)
        before = get_json(f"{url}/record")
        # Various prefixes, so that prefix affinity would select the draining engine for some.
        later = [self.ask(20, number % 3, f"{number} ") for number in range(12)]
        after = get_json(f"{url}/record")
        self.assertEqual(after["runs"], before["runs"])
        self.assertEqual(after["late_asks"], before["late_asks"])
        for parts in later:
            self.check_whole(parts, 20)
        for future in futures:
            self.check_whole(future.result(90), 300)

    def test_a_frozen_engine_is_left_out_after_its_lease(self) -> None:
        frozen = self.site.engines[0]
        self.processes.freeze(frozen.name)
        entry = self.site.entries[0]

        def is_gone() -> bool:
            return frozen.name not in get_json(f"{entry.url}/status")["upstreams"]

        wait_for(is_gone, "the removal of the frozen engine")
        self.check_whole(self.ask(20), 20)
        self.processes.thaw(frozen.name)
        wait_for(lambda: not is_gone(), "the return of the thawed engine")

    def test_a_killed_steward_is_replaced_and_long_work_is_admitted_again(self) -> None:
        steward = self.find_steward()
        self.processes.kill(steward)
        parts = generate(self.make_caller("danube-barges"), "bulletin", "#tokens=20")
        self.check_whole(parts, 20)

    def find_steward(self) -> str:
        def find() -> str | None:
            for settings in self.site.entries:
                text = httpx.get(f"{settings.url}/metrics", trust_env=False).text
                if 'daleroad_upstream_preemptions{upstream="narrator-0"}' in text:
                    return settings.name
            return None

        return wait_for(find, "a steward")


class RollingTest(FaultTest):
    """Rolling restart of all processes under load."""

    ENGINES = 2
    SPEED = 2.0

    def setUp(self) -> None:
        super().setUp()
        self.stopping = threading.Event()
        self.results: list[tuple[str, list[CallerPart]]] = []
        self.resumes = Counter()
        self.addCleanup(self.stopping.set)

    def generate_load(self, organisation: str, route: str, length: int, number: int) -> None:
        turn = 0
        while not self.stopping.is_set():
            turn += 1
            caller = self.make_caller(organisation)
            key = f"{route}-{number}-{turn}"
            parts = generate(caller, route, f"#tokens={length}", key)
            self.resumes[route] += caller.resumes
            self.results.append((key, parts))

    def test_rolling_restart_of_every_process_cuts_off_no_request(self) -> None:
        for number in range(2):
            self.pool.submit(self.generate_load, "danube-barges", "bulletin", 150, number)
            self.pool.submit(self.generate_load, "pasture-cooperative", "ledger-draft", 100, number)
            self.pool.submit(self.generate_load, "herders", "gate-check-in", 5, number)
        for settings in self.site.entries:
            self.restart(settings.name, lambda s=settings: self.processes.start(s))
        for settings in self.site.control:
            self.restart(settings.name, lambda s=settings: self.processes.start(s))
            self.find_leader()
            time.sleep(1.0)
        for index, options in enumerate(self.site.engines):
            replacement = replace(options, name=f"{options.name}-again{index}")
            self.restart(options.name, lambda o=replacement: self.processes.start_engine(o))
            self.wait_upstream(replacement.name)
        self.stopping.set()
        self.pool.shutdown(wait=True)
        self.check_results()

    def wait_upstream(self, name: str) -> None:
        url = f"{self.site.entries[0].url}/status"
        wait_for(lambda: name in get_json(url)["upstreams"], f"{name} known")

    def restart(self, name: str, start: Callable[[], None]) -> None:
        process = self.processes.terminate(name)
        self.assertEqual(process.wait(90), 0, name)
        start()
        self.wait_entries()

    def wait_entries(self) -> None:
        for settings in self.site.entries:
            wait_for(lambda s=settings: get_json(f"{s.url}/status")["lease"], "a lease")

    def check_results(self) -> None:
        self.assertGreater(len(self.results), 30)
        ends = Counter(
            part.kind.value if isinstance(part, Failure) else "whole"
            for _, parts in self.results
            for part in parts
            if isinstance(part, Whole | Failure)
        )
        self.assertEqual(set(ends), {"whole"}, ends)
        self.assertEqual(sum(self.resumes.values()), 0)
        generations = [parts[-1].generation for _, parts in self.results]
        self.assertEqual(len(set(generations)), len(generations))
