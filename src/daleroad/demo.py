"""The demo: a mixed slice of both partners' day on a whole site in one process."""

import logging as standard_logging
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

import anyio
from absl import logging
from anyio.abc import TaskGroup
from hdrh.histogram import HdrHistogram

from daleroad.caller import Caller, Token, Whole
from daleroad.control import Control, initialise_data_folder
from daleroad.engine import Engine
from daleroad.entry import Entry
from daleroad.errors import DaleroadError, Failure, FailureKind
from daleroad.loopback import (
    KINDS,
    OPERATOR_TOKENS,
    Kind,
    Site,
    get_token,
    list_records,
    make_site,
)
from daleroad.operating import OperatorClient
from daleroad.plain import PlainService

_MICROSECONDS = 1_000_000
_MOST_MICROSECONDS = 600 * _MICROSECONDS
_STALL_SECONDS = 0.5
_PROGRESS_SECONDS = 2.0


def make_histogram() -> HdrHistogram:
    """Return a histogram of microseconds up to ten minutes."""
    return HdrHistogram(1, _MOST_MICROSECONDS, 3)


@dataclass
class Tally:
    """What became of one kind of work. Times are recorded in microseconds."""

    asked: int = 0
    whole: int = 0
    tokens: int = 0
    stalls: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    first: HdrHistogram = field(default_factory=make_histogram)
    gaps: HdrHistogram = field(default_factory=make_histogram)

    def note_gap(self, seconds: float) -> None:
        """Note the time between two tokens.

        :param seconds: the time.
        """
        self.gaps.record_value(max(1, int(seconds * _MICROSECONDS)))
        if seconds > _STALL_SECONDS:
            self.stalls += 1


class RunningSite:
    """All processes of a site as tasks of this one.

    :param site: their settings.
    :param random: source of randomness.
    """

    def __init__(self, site: Site, random: Random) -> None:
        for settings in site.control:
            initialise_data_folder(settings)
        self.site = site
        self.controls = [Control(settings, random) for settings in site.control]
        self.entries = [Entry(settings, random) for settings in site.entries]
        self.engines = [Engine(options) for options in site.engines]
        self.plain = [PlainService(options) for options in site.plain]

    async def start(self, tasks: TaskGroup) -> None:
        """Start all, write the records, and wait until the site can serve.

        :param tasks: runs the processes' tasks.
        """
        for part in self._list_parts():
            tasks.start_soon(part.run)
        await anyio.to_thread.run_sync(write_records, self.site)
        upstreams = len(self.engines) + len(self.plain)
        with anyio.fail_after(30):
            while not all(self._is_ready(entry, upstreams) for entry in self.entries):
                await anyio.sleep(0.05)

    def stop(self) -> None:
        """Stop all processes."""
        for part in self._list_parts():
            part.stop()

    def _list_parts(self) -> list[Control | Entry | Engine | PlainService]:
        return [*self.controls, *self.entries, *self.engines, *self.plain]

    def _is_ready(self, entry: Entry, upstreams: int) -> bool:
        known = entry.env.catalog
        return entry.env.follower.has_lease() and len(known.upstreams) == upstreams


def write_records(site: Site) -> None:
    """Write the demo's records as the partners' operators.

    :param site: the site.
    """
    urls = [settings.url for settings in site.control]
    clients = {p: OperatorClient(urls, token, 30.0) for p, token in OPERATOR_TOKENS.items()}
    for record in list_records():
        answer = clients[record.partner].put(record, 0, wait=0.0)
        if isinstance(answer, Failure):
            raise DaleroadError(answer)
        if not answer.accepted:
            raise DaleroadError(Failure(FailureKind.INVALID, answer.reason))
    for client in clients.values():
        client.close()


def _plan(random: Random, seconds: float, rate: float) -> Iterator[tuple[float, Kind, str]]:
    """Yield when to ask for what, with Poisson arrivals and heavy-tailed lengths."""
    now = 0.0
    number = 0
    while (now := now + random.expovariate(rate)) < seconds:
        kind = random.choice(KINDS)
        length = max(1, int(kind.median * random.lognormvariate(0.0, 0.8)))
        number += 1
        yield now, kind, f"{kind.prompt}, case {number} #tokens={length}"


async def _ask(callers: dict[str, Caller], kind: Kind, prompt: str, tally: Tally) -> None:
    tally.asked += 1
    last = anyio.current_time()
    async for part in callers[kind.organisation].generate(kind.route, prompt):
        now = anyio.current_time()
        match part:
            case Token(index, _):
                waited = max(1, int((now - last) * _MICROSECONDS))
                if index == 0:
                    tally.first.record_value(waited)
                else:
                    tally.note_gap(now - last)
                tally.tokens += 1
                last = now
            case Whole():
                tally.whole += 1
            case Failure(failed):
                tally.refused[failed.value] += 1


async def _show_progress(tallies: dict[str, Tally], seconds: float) -> None:
    began = time.monotonic()
    while True:
        await anyio.sleep(_PROGRESS_SECONDS)
        asked = sum(t.asked for t in tallies.values())
        whole = sum(t.whole for t in tallies.values())
        tokens = sum(t.tokens for t in tallies.values())
        spent = time.monotonic() - began
        print(f"  {spent:5.1f} s: {asked} asked, {whole} whole, {tokens} tokens", flush=True)


def format_table(tallies: dict[str, Tally]) -> Iterator[str]:
    """Yield the lines of a table, a row a kind. Times are in milliseconds.

    :param tallies: what became of each kind.
    """
    yield (
        f"{'kind':<16}{'asked':>6}{'whole':>6}{'first p50':>10}{'p95':>8}"
        f"{'gap p50':>9}{'p95':>8}{'p99':>8}{'stalls':>7}  refused"
    )
    for name, tally in tallies.items():
        first = [tally.first.get_value_at_percentile(p) / 1000 for p in (50, 95)]
        gaps = [tally.gaps.get_value_at_percentile(p) / 1000 for p in (50, 95, 99)]
        refused = ", ".join(f"{k} {n}" for k, n in tally.refused.items()) or "-"
        yield (
            f"{name:<16}{tally.asked:>6}{tally.whole:>6}{first[0]:>10.1f}{first[1]:>8.1f}"
            f"{gaps[0]:>9.1f}{gaps[1]:>8.1f}{gaps[2]:>8.1f}{tally.stalls:>7}  {refused}"
        )


async def run_demo(seconds: float, rate: float, seed: int) -> bool:
    """Run the demo and print its table; return whether every request had its end.

    :param seconds: how long to ask for work.
    :param rate: requests a second.
    :param seed: seed of arrivals, kinds and lengths.
    """
    logging.set_verbosity(logging.ERROR)
    standard_logging.getLogger("httpx").setLevel(standard_logging.WARNING)
    random = Random(seed)
    tallies = {kind.route: Tally() for kind in KINDS}
    with tempfile.TemporaryDirectory(prefix="daleroad-demo-") as folder:
        running = RunningSite(make_site(folder), random)
        async with anyio.create_task_group() as tasks:
            print("starting 3 control processes, 3 entries, 2 engines, 2 plain services ...")
            await running.start(tasks)
            print(f"serving a slice of both partners' day for {seconds:g} s:")
            await _drive(running, tallies, random, seconds, rate)
            running.stop()
            tasks.cancel_scope.cancel()
        preemptions = sum(engine.batch.preemptions for engine in running.engines)
    print("\n".join(format_table(tallies)))
    print(f"preemptions: {preemptions}; times in milliseconds; a stall is a gap above 500 ms")
    return all(t.asked == t.whole + sum(t.refused.values()) for t in tallies.values())


async def _drive(
    running: RunningSite,
    tallies: dict[str, Tally],
    random: Random,
    seconds: float,
    rate: float,
) -> None:
    seeds = [settings.url for settings in running.site.entries]
    names = {kind.organisation for kind in KINDS}
    callers = {name: Caller(seeds, get_token(name), random=random) for name in names}
    async with anyio.create_task_group() as progress:
        progress.start_soon(_show_progress, tallies, seconds)
        began = anyio.current_time()
        async with anyio.create_task_group() as asking:
            for at, kind, prompt in _plan(random, seconds, rate):
                await anyio.sleep_until(began + at)
                asking.start_soon(_ask, callers, kind, prompt, tallies[kind.route])
        progress.cancel_scope.cancel()
    for caller in callers.values():
        await caller.close()
