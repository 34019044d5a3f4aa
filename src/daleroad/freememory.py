"""Returns the memory that a process no longer uses to the operating system.

The C library keeps what is freed below memory that is still in use. After a crowd of clients a
process would stay as large as it was with them.
"""

import gc
import resource
from collections.abc import Callable
from importlib import import_module
from pathlib import Path

import anyio

CHECK_SECONDS = 5.0
REPEAT_SECONDS = 30.0
"""Pause after which a process that is larger than it once was looks for free memory again."""

GROWTH_BYTES = 8_000_000
"""Growth from which on it looks for free memory."""

_STATM = Path("/proc/self/statm")
_RESIDENT_FIELD = 1


def read_resident_bytes() -> int:
    """Return the resident memory of this process in bytes, 0 if the system does not tell it."""
    try:
        return int(_STATM.read_text().split()[_RESIDENT_FIELD]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return 0


def trim_memory() -> None:
    """Collect garbage, and return free memory to the system; only the GNU C library can."""
    gc.collect()
    # Not needed before; its import takes part of the start-up time.
    trim = getattr(import_module("ctypes").CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)


class MemoryTrimmer:
    """Returns free memory when the process has grown.

    :param read_bytes: returns the resident memory in bytes.
    :param trim: returns free memory to the system.
    """

    def __init__(
        self,
        read_bytes: Callable[[], int] = read_resident_bytes,
        trim: Callable[[], None] = trim_memory,
    ) -> None:
        self._read_bytes = read_bytes
        self._trim = trim
        self._least = self._trimmed = read_bytes()
        self._trimmed_at = float("-inf")

    async def run(self) -> None:
        """Check from time to time until cancelled."""
        while True:
            await anyio.sleep(CHECK_SECONDS)
            self.check(anyio.current_time())

    def check(self, now: float) -> None:
        """Return free memory if the process is larger than after the last time, or than ever.

        :param now: the current time.
        """
        found = self._read_bytes()
        has_grown = found >= self._trimmed + GROWTH_BYTES
        is_large = found >= self._least + GROWTH_BYTES
        if has_grown or (is_large and now >= self._trimmed_at + REPEAT_SECONDS):
            self._trim()
            self._trimmed_at = now
            self._trimmed = found = self._read_bytes()
        self._least = min(self._least, found)
