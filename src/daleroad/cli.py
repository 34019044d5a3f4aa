"""The command line.

Exit codes: 0 done, 1 refused or failed, 2 wrong usage. Errors are one line on standard error.
"""

import logging as standard_logging
import sys
import warnings
from collections.abc import Callable
from pathlib import Path

import anyio
import fire
import httpx
from absl import flags, logging
from fire.core import FireExit
from fire.decorators import SetParseFn

from daleroad.bench import run_matrix
from daleroad.caller import Caller, Token, Whole
from daleroad.clock import run_on_clock
from daleroad.coldmodel import CASES as COLD_CASES
from daleroad.coldmodel import format_cases as format_cold_cases
from daleroad.control import initialise_data_folder
from daleroad.demo import run_demo
from daleroad.detection import compare_detectors
from daleroad.engine import Engine, EngineOptions
from daleroad.enginemodel import EngineParameters
from daleroad.errors import DaleroadError, Failure
from daleroad.evacuationcommands import EvacuationCommands
from daleroad.events import Event, log_event
from daleroad.explain import explain, parse_lines
from daleroad.guardedmodel import CASES as GUARDED_CASES
from daleroad.guardedmodel import format_cases as format_guarded_cases
from daleroad.links import OWN_ANSWER_BYTES, read_body_now
from daleroad.operating import OperatorClient
from daleroad.pacecommands import PaceCommands
from daleroad.placing import CASES, format_cases
from daleroad.plain import PlainOptions, PlainService
from daleroad.process import move_damaged, run_process, serve
from daleroad.queuecommands import QueueCommands
from daleroad.report import format_rows, make_rows, write_json, write_plot
from daleroad.roommodel import CASES as ROOM_CASES
from daleroad.roommodel import format_cases as format_room_cases
from daleroad.security import hash_token
from daleroad.settings import load_settings, parse_settings
from daleroad.suspectcommands import SuspectCommands

_FAILED = 1


class Standin:
    """Stand-in upstreams, for trials."""

    def engine(
        self,
        name: str,
        service: str,
        address: str,
        entries: str,
        token: str,
        models: str,
        zone: str = "",
        capacity: int = 16_000,
        slots: int = 32,
        speed: float = 1.0,
        checks_fencing: bool = True,
        advertise: str = "",
    ) -> None:
        """Run a stand-in engine until stopped.

        Args:
            name: its name, unique for each start.
            service: the service it belongs to.
            address: IP:PORT to listen on.
            entries: base URLs of entries, separated by commas.
            token: the upstream token.
            models: loaded model versions, separated by commas.
            zone: its availability zone.
            capacity: memory in tokens.
            slots: largest batch.
            speed: how many times faster than usual it decodes.
            checks_fencing: whether it refuses orders with an old fencing number.
            advertise: IP:PORT to announce, if not the address.
        """
        options = EngineOptions(
            name,
            service,
            zone,
            address,
            tuple(_split(entries)),
            token,
            tuple(_split(models)),
            EngineParameters(capacity=capacity, slots=slots),
            checks_fencing,
            speed,
            advertise=advertise,
        )
        engine = Engine(options)
        anyio.run(run_process, engine.run, engine.drain, engine.stop)

    def plain(
        self,
        name: str,
        service: str,
        address: str,
        entries: str,
        token: str,
        zone: str = "",
        advertise: str = "",
    ) -> None:
        """Run a stand-in plain service until stopped.

        Args:
            name: its name, unique for each start.
            service: the service it belongs to.
            address: IP:PORT to listen on.
            entries: base URLs of entries, separated by commas.
            token: the upstream token.
            zone: its availability zone.
            advertise: IP:PORT to announce, if not the address.
        """
        service_options = PlainOptions(
            name, service, zone, address, tuple(_split(entries)), token, advertise=advertise
        )
        plain = PlainService(service_options)

        async def drain() -> None:
            plain.stop()

        anyio.run(run_process, plain.run, drain, plain.stop)


class Operate:
    """Calls of an operator. Each prints its answer as JSON."""

    def __init__(self, control: str, token: str) -> None:
        """Connect to the control processes.

        Args:
            control: their base URLs, separated by commas.
            token: the operator's token.
        """
        self._client = OperatorClient(_split(control), token)

    # Taken as they stand: fire would read JSON as a literal, and "true" as a text.
    @SetParseFn(str, "body", "operation")
    def change(
        self, kind: str, body: str, base: int = 0, operation: str = "", wait: float = 8.0
    ) -> None:
        """Make a change, for example ``change PutOrganisation '{"name": ...}'``.

        Args:
            kind: Put or Remove before a kind of record.
            body: the record, or its name, as JSON.
            base: the version the change is based on; 0 creates.
            operation: idempotency key, to send the same change again.
            wait: seconds to wait until it is in force.
        """
        answer = self._client.change(kind, body, base, operation, wait)
        if isinstance(answer, Failure):
            _fail(answer)
            return
        print(answer.to_json())
        if not answer.accepted:
            sys.exit(_FAILED)

    def read(self, kind: str) -> None:
        """Read the records of a kind, ``entries`` or ``upstreams``.

        Args:
            kind: a kind of record, for example Route.
        """
        answer = self._client.read(kind)
        if isinstance(answer, Failure):
            _fail(answer)
            return
        print(answer.body)

    def audit(self, after: int = 0) -> None:
        """Print the audit trail, a row a line.

        Args:
            after: log index to start after.
        """
        answer = self._client.audit(after)
        if isinstance(answer, Failure):
            _fail(answer)
            return
        for row in answer.rows:
            print(row)


class Commands:
    """daleroad serves generations of unknown length on crowded engines."""

    def __init__(self) -> None:
        self.standin = Standin()
        self.operate = Operate
        self.suspects = SuspectCommands()
        self.paces = PaceCommands()
        self.queue = QueueCommands()
        self.evacuations = EvacuationCommands()

    def serve(self, settings: str) -> None:
        """Run the process that a settings file describes.

        Args:
            settings: path of the INI file.
        """
        run_on_clock(serve, load_settings(settings))

    def check(self, settings: str) -> None:
        """Check a settings file and print each fault.

        Args:
            settings: path of the INI file.
        """
        try:
            with open(settings, encoding="utf-8") as file:
                faults = parse_settings(file.read())
        except OSError as error:
            print(error, file=sys.stderr)
            sys.exit(_FAILED)
        if isinstance(faults, list):
            for fault in faults:
                print(fault, file=sys.stderr)
            sys.exit(_FAILED)
        print(f"{settings}: no fault")

    def found(self, settings: str) -> None:
        """Write the founding state of a new site; once for each control process.

        Args:
            settings: path of a control process's INI file.
        """
        initialise_data_folder(load_settings(settings))
        print("founded")

    def repair(self, settings: str) -> None:
        """Move a damaged data folder's files aside; the leader then fills the disk anew.

        Args:
            settings: path of a control process's INI file.
        """
        for name in move_damaged(load_settings(settings)):
            print(name)

    @SetParseFn(str, "token")
    def hash(self, token: str) -> None:
        """Print a token's hash, as records and settings hold it.

        Args:
            token: the token.
        """
        print(hash_token(token))

    def explain(self, request: str, *files: str) -> None:
        """Print a request's story in order, from the logs of several processes.

        Args:
            request: its id.
            files: the logs.
        """
        texts = ((file, Path(file).read_text(errors="replace")) for file in files)
        lines = [line for file, text in texts for line in parse_lines(file, text.splitlines())]
        for told in explain(str(request), lines):
            print(told)

    def locate(self, entries: str, zone: str = "") -> None:
        """Print the addresses that a caller should use.

        Args:
            entries: base URLs of entries, separated by commas.
            zone: the caller's availability zone.
        """
        caller = Caller(_split(entries), "", zone)
        addresses = anyio.run(caller.locate)
        if isinstance(addresses, Failure):
            _fail(addresses)
            return
        print("\n".join(addresses))

    @SetParseFn(str, "token", "prompt", "key")
    def generate(
        self, entries: str, token: str, route: str, prompt: str, key: str = "", most: int = 0
    ) -> None:
        """Ask for a generation and print its tokens as they come.

        Args:
            entries: base URLs of entries, separated by commas.
            token: the organisation's token.
            route: the route.
            prompt: the prompt.
            key: idempotency key, to send the same request again.
            most: limit of the output in tokens.
        """
        caller = Caller(_split(entries), token)
        failure = anyio.run(_print_answer, caller, route, prompt, key, most)
        if failure is not None:
            _fail(failure)

    def status(self, url: str) -> None:
        """Print the status of a process as JSON.

        Args:
            url: its base URL.
        """
        try:
            with httpx.stream("GET", f"{url}/status", timeout=5.0, trust_env=False) as response:
                print(read_body_now(response, OWN_ANSWER_BYTES).decode(errors="replace"))
        except httpx.HTTPError as error:
            print(repr(error), file=sys.stderr)
            sys.exit(_FAILED)

    def bench(
        self,
        seconds: float = 120.0,
        engines: int = 4,
        seed: int = 1,
        loads: str = "0.7,1.0,1.3,2.0",
        json: str = "",
        plot: str = "",
    ) -> None:
        """Compare admission policies on engine models in virtual time.

        Args:
            seconds: virtual time of each run.
            engines: engines in the pool.
            seed: seed of arrivals and lengths; the same seed gives the same figures.
            loads: offered loads over capacity, separated by commas.
            json: file for the figures.
            plot: PNG file for a plot.
        """
        wanted = tuple(float(part) for part in _split(loads))
        rows = list(make_rows(run_matrix(wanted, seconds, engines, seed)))
        print("\n".join(format_rows(rows)))
        if json:
            write_json(rows, Path(json))
        if plot:
            write_plot(rows, Path(plot))

    def detectors(self, rates: str = "0.02,0.05,0.1,0.3,0.5,0.8,1.0", seed: int = 1) -> None:
        """Compare the detectors of bad upstreams on the same traces.

        Args:
            rates: failure rates of the traces, separated by commas.
            seed: seed of the traces.
        """
        wanted = tuple(float(part) for part in _split(rates))
        print(f"{'detector':<15}{'rate':>6}{'ejected':>9}{'after':>9}")
        for row in compare_detectors(wanted, seed):
            print(f"{row.detector:<15}{row.failure_rate:>6}{row.ejected:>9.3f}{row.delay:>9.1f}")

    def placing(self, seeds: int = 5, seconds: float = 60.0) -> None:
        """Compare how many gateways place prompts, without and with an order of each one's own.

        Args:
            seeds: runs of each case, of which the mean is shown.
            seconds: virtual time of each run.
        """
        print("\n".join(format_cases(CASES, seeds, seconds)))

    def cold(self, seed: int = 1) -> None:
        """Compare ways to bound what a cold upstream gets: its fullest second, share refused.

        Args:
            seed: seed of arrivals and choices.
        """
        print("\n".join(format_cold_cases(COLD_CASES, seed)))

    def room(self, seed: int = 1) -> None:
        """Compare how prompts are placed on engines whose memory is scarce, in virtual time.

        Args:
            seed: seed of arrivals and lengths.
        """
        print("\n".join(format_room_cases(ROOM_CASES, seed)))

    def guarded(self, seeds: int = 2) -> None:
        """Compare placement by load with guarded streams, on engines of two speeds.

        Args:
            seeds: paired runs of each case, of which the means are shown.
        """
        print("\n".join(format_guarded_cases(GUARDED_CASES, seeds)))

    def demo(self, seconds: float = 15.0, rate: float = 8.0, seed: int = 1) -> None:
        """Serve a slice of both partners' day on a whole site in this process.

        Args:
            seconds: how long to ask for work.
            rate: requests a second.
            seed: seed of arrivals, kinds and lengths.
        """
        if not anyio.run(run_demo, seconds, rate, seed):
            sys.exit(_FAILED)


async def _print_answer(
    caller: Caller, route: str, prompt: str, key: str, most: int
) -> Failure | None:
    async for part in caller.generate(route, prompt, key, most):
        match part:
            case Token(_, text):
                print(text, end="", flush=True)
            case Whole(generation, tokens):
                print(f"\n[whole: {tokens} tokens, generation {generation}]")
            case Failure():
                print()
                return part
    return None


def _split(text: object) -> list[str]:
    """Return the parts of a list on the command line; fire may have split it already."""
    parts = list(text) if isinstance(text, tuple | list) else str(text).split(",")
    return [str(part).strip() for part in parts if str(part).strip()]


def _fail(failure: Failure) -> None:
    log_event(Event.COMMAND_FAILED, kind=failure.kind.value, reason=failure.reason)
    sys.exit(_FAILED)


def _run(command: Callable[[], object]) -> int:
    try:
        command()
    except FireExit as stop:
        return int(stop.code or 0)
    except DaleroadError as error:
        _report(error)
        return _FAILED
    return 0


def _report(error: DaleroadError) -> None:
    storage = type(error).__name__ == "StorageError"
    event = Event.STORAGE_REFUSED if storage else Event.SETTINGS_REFUSED
    log_event(event, kind=error.failure.kind.value, reason=error.failure.reason)


def main() -> None:
    """Run the command line."""
    # fire reads arguments as literals where it can, and warns of those that only look like one.
    warnings.filterwarnings("ignore", category=SyntaxWarning)
    # The command line is fire's; absl only has to know that there are no flags of its own.
    flags.FLAGS(["daleroad"])
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    for noisy in ("httpx", "httpcore", "hypercorn.error", "matplotlib"):
        standard_logging.getLogger(noisy).setLevel(standard_logging.WARNING)
    sys.exit(_run(lambda: fire.Fire(Commands, name="daleroad")))
