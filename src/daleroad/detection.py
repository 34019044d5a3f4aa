"""Simulation that compares ejection detectors by detection delay and false ejections."""

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from daleroad.health import Consecutive, Detector, Evidence, Sequential

_TRACE_COUNT = 400
_TRACE_REQUESTS = 5_000
_DETECTORS: dict[str, Detector] = {
    "consecutive 3": Consecutive(3),
    "consecutive 5": Consecutive(5),
    "sequential": Sequential(),
}


@dataclass(frozen=True)
class Detection:
    """Result of a detector on traces with one failure rate.

    :param ejected: share of traces that led to an ejection.
    :param delay: mean number of requests before the ejection, over these traces.
    """

    detector: str
    failure_rate: float
    ejected: float
    delay: float


def compare_detectors(rates: tuple[float, ...], seed: int) -> Iterator[Detection]:
    """Yield the result of each detector at each failure rate; all detectors get the same traces.

    :param rates: probabilities that a request fails.
    :param seed: seed of the random traces.
    """
    for rate in rates:
        random = Random(seed)
        traces = [
            [random.random() >= rate for _ in range(_TRACE_REQUESTS)] for _ in range(_TRACE_COUNT)
        ]
        for name, detector in _DETECTORS.items():
            delays = [delay for trace in traces if (delay := _detect(detector, trace))]
            mean = sum(delays) / len(delays) if delays else 0.0
            yield Detection(name, rate, len(delays) / _TRACE_COUNT, mean)


def _detect(detector: Detector, trace: list[bool]) -> int:
    """Return the number of results after which a trace leads to an ejection, or 0 if none does."""
    evidence = Evidence(detector)
    for count, ok in enumerate(trace, start=1):
        if evidence.note(ok):
            return count
    return 0
