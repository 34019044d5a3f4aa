"""Runs all tests and ends with a line that counts them.

Tests listed in KNOWN-RED.txt may fail; they are printed and counted apart. A listed test that
passes fails the run, so that the list stays true.
"""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MOST_KNOWN_RED = 3


def read_known_red() -> list[str]:
    """Return the names of tests that are known to fail."""
    if not KNOWN_RED.exists():
        return []
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    return [line.split()[0].rstrip(":,") for line in lines]


class Result(unittest.TextTestResult):
    """Keeps the names of the tests that passed."""

    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self.passed: list[str] = []

    def addSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Note a test that passed."""
        super().addSuccess(test)
        self.passed.append(test.id())


def list_failed(result: Result) -> list[str]:
    """Return the names of the tests that failed, each once."""
    found = [test.id() for test, _ in result.failures + result.errors]
    return sorted({name.split(" ")[0] for name in found})


def main() -> int:
    """Run the tests; return the exit code."""
    sys.path.insert(0, str(ROOT))
    names = sys.argv[1:]
    loader = unittest.TestLoader()
    if names:
        suite = loader.loadTestsFromNames(names)
    else:
        suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    runner = unittest.TextTestRunner(verbosity=2, resultclass=Result)
    result = runner.run(suite)
    known = read_known_red()
    failed = list_failed(result)
    red = [name for name in failed if name in known]
    wrong = [name for name in failed if name not in known]
    wrong += [
        f"{name} (listed in KNOWN-RED.txt but passes)" for name in known if name in result.passed
    ]
    if len(known) > MOST_KNOWN_RED:
        wrong.append("KNOWN-RED.txt has too many lines")
    for name in red:
        print(f"known red: {name}")
    for name in wrong:
        print(f"failed: {name}")
    skipped = len(result.skipped) + len(red)
    passed = len(result.passed)
    print(f"{passed} passed, {len(wrong)} failed, {skipped} skipped")
    return 1 if wrong or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
