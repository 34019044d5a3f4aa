"""Runs all tests, some classes at a time, and ends with a line that counts them.

Tests listed in KNOWN-RED.txt may fail; they are printed and counted apart. A listed test that
passes fails the run, so that the list stays true. With names as arguments only these run.

Tests that measure the memory of processes run after all others, one at a time.
"""

import json
import subprocess
import sys
import unittest
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from tests.proof import RESULTS, is_current  # noqa: E402

KNOWN_RED = ROOT / "KNOWN-RED.txt"
MOST_KNOWN_RED = 3
SERIAL = ("tests.test_crowds.",)
"""Modules whose tests run one at a time; their entries in KNOWN-RED.txt have no cap."""

WORKERS = 3
ALONE = "--alone"
MARK = "results: "


@dataclass
class Results:
    """Names of tests by how they ended."""

    passed: list[str] = field(default_factory=list)
    failed: list[str] = field(default_factory=list)
    skipped: list[str] = field(default_factory=list)

    def add(self, other: "Results") -> None:
        """Add another run's results."""
        self.passed += other.passed
        self.failed += other.failed
        self.skipped += other.skipped


class Keeper(unittest.TextTestResult):
    """Keeps the names of the tests that passed."""

    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self.passed: list[str] = []

    def addSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Note a test that passed."""
        super().addSuccess(test)
        self.passed.append(test.id())


def read_known_red() -> list[str]:
    """Return the names of tests that are known to fail."""
    if not KNOWN_RED.exists():
        return []
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    return [line.split()[0].rstrip(":,") for line in lines]


def run_here(names: list[str]) -> Results:
    """Run tests in this process."""
    suite = unittest.TestLoader().loadTestsFromNames(names)
    keeper = unittest.TextTestRunner(verbosity=2, resultclass=Keeper).run(suite)
    broken = [test for test, _ in keeper.failures + keeper.errors]
    # A failed part of a test is named after its test.
    failed = sorted({getattr(test, "test_case", test).id() for test in broken})
    passed = [name for name in keeper.passed if name not in failed]
    return Results(passed, failed, [test.id() for test, _ in keeper.skipped])


def run_apart(name: str) -> Results:
    """Run one class of tests in a process of its own; print its output only if a test failed.

    Servers that are ended with their connections open write tracebacks by the dozen.
    """
    command = [sys.executable, __file__, ALONE, name]
    done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, check=False)
    results = Results(failed=[f"{name} ended without results"])
    for line in done.stdout.splitlines():
        if line.startswith(MARK):
            results = Results(**json.loads(line.removeprefix(MARK)))
    if results.failed:
        sys.stderr.write(done.stderr)
    print(f"{name}: {len(results.passed)} passed, {len(results.failed)} failed", flush=True)
    return results


def list_classes() -> Iterator[str]:
    """Yield the names of all classes with tests."""
    found: set[str] = set()
    pending: list[unittest.TestSuite | unittest.TestCase] = [
        unittest.TestLoader().discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    ]
    while pending:
        item = pending.pop(0)
        if isinstance(item, unittest.TestSuite):
            pending.extend(item)
            continue
        # What can't be imported is kept by its test's name, and so fails the run.
        name = item.id().rpartition(".")[0]
        found.add(item.id() if name.startswith("unittest.loader") else name)
    yield from sorted(found)


def report(results: Results) -> int:
    """Print the verdict; return the exit code."""
    known = read_known_red()
    wrong = [name for name in results.failed if name not in known]
    wrong += [f"{name} (in KNOWN-RED.txt but passes)" for name in known if name in results.passed]
    if len([name for name in known if not name.startswith(SERIAL)]) > MOST_KNOWN_RED:
        wrong.append("KNOWN-RED.txt has too many lines")
    red = [name for name in results.failed if name in known]
    for name in red:
        print(f"known red: {name}")
    for name in wrong:
        print(f"failed: {name}")
    skipped = len(results.skipped) + len(red)
    print(f"{len(results.passed)} passed, {len(wrong)} failed, {skipped} skipped", flush=True)
    return 1 if wrong or not results.passed else 0


def main() -> int:
    """Run the tests; return the exit code."""
    arguments = sys.argv[1:]
    if arguments[:1] == [ALONE]:
        results = run_here(arguments[1:])
        print(MARK + json.dumps(asdict(results)))
        return 0
    if arguments:
        return report(run_here(arguments))
    results = Results()
    classes = list(list_classes())
    with ThreadPoolExecutor(WORKERS) as pool:
        for part in pool.map(run_apart, (c for c in classes if not c.startswith(SERIAL))):
            results.add(part)
    for name in (c for c in classes if c.startswith(SERIAL)):
        results.add(run_apart(name))
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(asdict(results), indent=1))
    if not is_current():
        results.failed.append("docs/PROOF.md is stale: run python tests/proof.py after a whole run")
    return report(results)


if __name__ == "__main__":
    sys.exit(main())
