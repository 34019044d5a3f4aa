"""Compares ejection detectors on the same traces: detection delay and false ejections."""

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from daleroad.health import Consecutive, Detector, Evidence, Sequential

TRACES = 400
LENGTH = 5_000
DETECTORS: dict[str, Detector] = {
    "consecutive 3": Consecutive(3),
    "consecutive 5": Consecutive(5),
    "sequential": Sequential(),
}


@dataclass(frozen=True)
class Detection:
    """How a detector did on traces of one failure rate.

    :param ejected: share of traces that led to an ejection.
    :param delay: mean number of requests until then, over those that did.
    """

    detector: str
    failure_rate: float
    ejected: float
    delay: float


def compare_detectors(rates: tuple[float, ...], seed: int) -> Iterator[Detection]:
    """Yield how each detector does on traces of each failure rate.

    :param rates: probability that a request fails; above 0.2 an upstream is bad.
    :param seed: seed of the traces.
    """
    for rate in rates:
        random = Random(seed)
        traces = [[random.random() >= rate for _ in range(LENGTH)] for _ in range(TRACES)]
        for name, detector in DETECTORS.items():
            delays = [delay for trace in traces if (delay := _detect(detector, trace))]
            mean = sum(delays) / len(delays) if delays else 0.0
            yield Detection(name, rate, len(delays) / TRACES, mean)


def _detect(detector: Detector, trace: list[bool]) -> int:
    """Return after how many results a trace leads to an ejection, or 0."""
    evidence = Evidence(detector)
    for count, ok in enumerate(trace, start=1):
        if evidence.note(ok):
            return count
    return 0
