"""A site of real processes on loopback, a fault-injecting relay, and what tests ask of them."""

import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from pathlib import Path

import anyio
import httpx
from anyio.from_thread import start_blocking_portal

from daleroad.caller import Caller, CallerPart, Token, Whole
from daleroad.control import initialise_data_folder
from daleroad.demo import write_records
from daleroad.engine import EngineOptions, make_token
from daleroad.errors import Failure
from daleroad.loopback import Site, find_ports, format_settings, get_token, make_site
from daleroad.operating import OperatorClient
from daleroad.plain import PlainOptions
from daleroad.settings import Settings
from tests.relay import Relay

PATIENCE_SECONDS = 60.0


def wait_for(condition: Callable[[], object], what: str) -> object:
    """Poll until a condition gives something true; fail after a generous bound."""
    deadline = time.monotonic() + PATIENCE_SECONDS
    while time.monotonic() < deadline:
        with contextlib.suppress(httpx.HTTPError):
            found = condition()
            if found:
                return found
        time.sleep(0.05)
    raise AssertionError(f"waited in vain for {what}")


def get_json(url: str) -> dict:
    response = httpx.get(url, timeout=5.0, trust_env=False)
    response.raise_for_status()
    return response.json()


class Processes:
    """Starts and ends the processes of a site; ends only what it started."""

    def __init__(self, site: Site, folder: str) -> None:
        self.site = site
        self.folder = Path(folder)
        self.running: dict[str, subprocess.Popen] = {}

    def found(self) -> None:
        for settings in self.site.control:
            initialise_data_folder(settings)

    def start_all(self) -> None:
        for settings in (*self.site.control, *self.site.entries):
            self.start(settings)
        for options in self.site.engines:
            self.start_engine(options)
        for options in self.site.plain:
            self.start_plain(options)

    def start(self, settings: Settings) -> None:
        self._spawn(settings.name, self._make_command("serve", settings))

    def start_engine(self, options: EngineOptions) -> None:
        command = [
            *("standin", "engine", options.name, options.service, options.address),
            *(",".join(options.entries), options.token, ",".join(options.models)),
            *("--zone", options.zone, "--capacity", str(options.shape.capacity)),
            *("--speed", str(options.speed), "--checks_fencing", str(options.checks_fencing)),
            *("--advertise", options.advertise),
        ]
        self._spawn(options.name, [sys.executable, "-m", "daleroad", *command])

    def start_plain(self, options: PlainOptions) -> None:
        command = [
            *("standin", "plain", options.name, options.service, options.address),
            *(",".join(options.entries), options.token, "--zone", options.zone),
            *("--advertise", options.advertise),
        ]
        self._spawn(options.name, [sys.executable, "-m", "daleroad", *command])

    def kill(self, name: str) -> None:
        process = self.running.pop(name)
        process.kill()
        process.wait()

    def freeze(self, name: str) -> None:
        os.kill(self.running[name].pid, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        os.kill(self.running[name].pid, signal.SIGCONT)

    def terminate(self, name: str) -> subprocess.Popen:
        process = self.running.pop(name)
        process.terminate()
        return process

    def stop_all(self) -> None:
        for name in list(self.running):
            self.kill(name)

    def run_command(self, command: str, settings: Settings) -> str:
        made = self._make_command(command, settings)
        return subprocess.run(made, check=True, capture_output=True, text=True).stdout

    def read_log(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text()

    def describe_ended(self) -> str:
        """Return how processes ended that should run, with the last lines of their logs."""
        ended = [(n, p.poll()) for n, p in self.running.items() if p.poll() is not None]
        return "".join(f"; {n} ended with {code}: {self.read_log(n)[-600:]}" for n, code in ended)

    def _make_command(self, command: str, settings: Settings) -> list[str]:
        path = self.folder / f"{settings.name}.ini"
        path.write_text(format_settings(settings))
        return [sys.executable, "-m", "daleroad", command, str(path)]

    def _spawn(self, name: str, command: list[str]) -> None:
        with open(self.folder / f"{name}.log", "ab") as log:
            process = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.running[name] = process


class SiteTest(unittest.TestCase):
    """A test on a site of real processes: 3 control, 3 entries, engines, plain services."""

    ENGINES = 1
    ENTRIES = 3
    SPEED = 1.0
    portal = None

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="daleroad-test-")
        self.addCleanup(folder.cleanup)
        site = self.change_site(make_site(folder.name, self.ENTRIES, self.ENGINES))
        self.site = site
        self.processes = Processes(site, folder.name)
        self.addCleanup(self.processes.stop_all)
        self.processes.found()
        self.processes.start_all()
        write_records(site)
        self.wait_ready()

    def change_site(self, site: Site) -> Site:
        engines = tuple(replace(e, speed=self.SPEED) for e in site.engines)
        return replace(site, engines=engines)

    def start_relay(self, target: str) -> tuple[Relay, str]:
        """Start a relay to an address; return it with the address it listens on."""
        if self.portal is None:
            self.portal = self.enterContext(start_blocking_portal())
        relay = Relay(target)
        (port,) = find_ports(1)
        address = f"127.0.0.1:{port}"
        future, _ = self.portal.start_task(relay.run, address)
        self.addCleanup(future.cancel)
        return relay, address

    def wait_ready(self) -> None:
        names = {e.name for e in self.site.engines} | {p.name for p in self.site.plain}
        for settings in self.site.entries:
            if settings.name in self.processes.running:
                try:
                    wait_for(lambda s=settings: self.is_ready(s, names), f"{settings.name} ready")
                except AssertionError as error:
                    raise AssertionError(f"{error}{self.processes.describe_ended()}") from error

    def is_ready(self, settings: Settings, upstreams: set[str]) -> bool:
        status = get_json(f"{settings.url}/status")
        return status["lease"] and upstreams <= set(status["upstreams"])

    def make_caller(self, organisation: str, *entries: int) -> Caller:
        chosen = [self.site.entries[i] for i in entries] or list(self.site.entries)
        return Caller([settings.url for settings in chosen], get_token(organisation))

    def make_operator(self, partner: str) -> OperatorClient:
        tokens = {"stoyanov": "operator-stoyanov-token", "tamarack": "operator-tamarack-token"}
        client = OperatorClient([s.url for s in self.site.control], tokens[partner], 40.0)
        self.addCleanup(client.close)
        return client

    def get_record(self, upstream: int = 0) -> dict:
        return get_json(f"http://{self.site.engines[upstream].address}/record")

    def set_faults(self, upstream: int, **faults: object) -> None:
        url = f"http://{self.site.engines[upstream].address}/faults"
        httpx.post(url, json=faults, trust_env=False).raise_for_status()

    def find_leader(self) -> Settings:
        def find() -> Settings | None:
            for settings in self.site.control:
                if settings.name not in self.processes.running:
                    continue
                with contextlib.suppress(httpx.HTTPError):
                    if get_json(f"{settings.url}/status")["leading"]:
                        return settings
            return None

        return wait_for(find, "a leader")

    def check_whole(self, parts: list[CallerPart], length: int) -> str:
        """Check that an answer is whole, in order and of one generation; return that."""
        end = parts[-1]
        self.assertIsInstance(end, Whole, parts[-1])
        self.assertEqual(end.tokens, length)
        texts = [part.text for part in parts[:-1] if isinstance(part, Token)]
        self.assertEqual(texts, [make_token(end.generation, i) for i in range(length)])
        return end.generation


async def collect(parts: AsyncIterator[CallerPart]) -> list[CallerPart]:
    return [part async for part in parts]


def generate(caller: Caller, route: str, prompt: str, key: str = "") -> list[CallerPart]:
    """Ask for a generation and return all its parts."""

    async def ask() -> list[CallerPart]:
        try:
            return await collect(caller.generate(route, prompt, key))
        finally:
            await caller.close()

    return anyio.run(ask)


def get_failure(parts: list[CallerPart]) -> Failure:
    failures = [part for part in parts if isinstance(part, Failure)]
    assert failures, f"no failure in {parts[-1]}"
    return failures[-1]
