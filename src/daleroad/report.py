"""Reports of bench runs: a table, JSON and a plot."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

import orjson
from hdrh.histogram import HdrHistogram

from daleroad.bench import MICROSECONDS, PolicyName, RunResult
from daleroad.workload import PARTNERS

_BASELINE = PolicyName.ROUND_ROBIN


@dataclass(frozen=True)
class Weights:
    """What a partner's score is made of; the less, the better."""

    stall: float
    gap: float
    preemptions: float


WEIGHTS = {"stoyanov": Weights(0.6, 0.2, 0.2), "tamarack": Weights(0.2, 0.6, 0.2)}


@dataclass(frozen=True)
class Row:
    """The figures of one run. Times in seconds, preemptions for 1,000 whole answers.

    :param scores: each partner's weighted score relative to round robin at the same load.
    """

    policy: str
    load: float
    asked: int
    whole_rate: float
    tokens_rate: float
    preemptions: float
    stall_p99: float
    gap_p99: float
    urgent_first_p95: float
    long_first_p95: float
    refused: dict[str, int]
    share: dict[str, float]
    scores: dict[str, float]


def make_rows(results: Iterable[RunResult]) -> Iterator[Row]:
    """Yield a row for each result; a load's round robin run comes first.

    :param results: the results.
    """
    baseline: Row | None = None
    for result in results:
        if result.options.policy is _BASELINE:
            baseline = None
        row = _make_row(result, baseline)
        baseline = baseline or row
        yield row


def _make_row(result: RunResult, baseline: Row | None) -> Row:
    seconds = result.counted_seconds
    tokens = sum(result.tokens.values())
    row = Row(
        result.options.policy.value,
        result.options.load,
        result.asked,
        result.whole / seconds,
        tokens / seconds,
        1000 * result.preemptions / max(1, result.whole),
        _get_seconds(result.stall, 99),
        _get_seconds(result.gap, 99),
        _get_seconds(result.urgent_first, 95),
        _get_seconds(result.long_first, 95),
        dict(result.refused),
        {p: result.tokens[p] / max(1, tokens) for p in PARTNERS},
        {},
    )
    row.scores.update(_make_scores(row, baseline or row))
    return row


def _get_seconds(histogram: HdrHistogram, percentile: float) -> float:
    return histogram.get_value_at_percentile(percentile) / MICROSECONDS


def _make_scores(row: Row, baseline: Row) -> dict[str, float]:
    def compare(own: float, other: float) -> float:
        return own / other if other > 0 else float(own > 0)

    stall = compare(row.stall_p99, baseline.stall_p99)
    gap = compare(row.gap_p99, baseline.gap_p99)
    preemptions = compare(row.preemptions, baseline.preemptions)
    return {
        partner: w.stall * stall + w.gap * gap + w.preemptions * preemptions
        for partner, w in WEIGHTS.items()
    }


def format_rows(rows: Iterable[Row]) -> Iterator[str]:
    """Yield the lines of a table.

    :param rows: the rows.
    """
    yield (
        f"{'load':>4} {'policy':<18}{'whole/s':>8}{'tok/s':>7}{'preempt':>9}{'stall99':>9}"
        f"{'gap99':>8}{'urgent95':>9}{'long95':>8}{'stoy.':>7}{'tam.':>6}  refused"
    )
    for row in rows:
        refused = ", ".join(f"{k} {n}" for k, n in row.refused.items()) or "-"
        yield (
            f"{row.load:>4} {row.policy:<18}{row.whole_rate:>8.2f}{row.tokens_rate:>7.0f}"
            f"{row.preemptions:>9.1f}{row.stall_p99:>9.3f}{row.gap_p99:>8.4f}"
            f"{row.urgent_first_p95:>9.3f}{row.long_first_p95:>8.2f}"
            f"{row.scores['stoyanov']:>7.2f}{row.scores['tamarack']:>6.2f}  {refused}"
        )


def write_json(rows: Iterable[Row], path: Path) -> None:
    """Write rows as JSON.

    :param rows: the rows.
    :param path: the file.
    """
    path.write_bytes(orjson.dumps(list(rows), option=orjson.OPT_INDENT_2))


def write_plot(rows: Iterable[Row], path: Path) -> None:
    """Write a plot of the main figures over load.

    :param rows: the rows.
    :param path: the PNG file.
    """
    import matplotlib  # Slow to import, and only needed here.

    matplotlib.use("Agg")
    from matplotlib import pyplot

    columns = (
        ("whole answers a second", "whole_rate", "linear"),
        ("preemptions per 1,000", "preemptions", "symlog"),
        ("stall time p99, s", "stall_p99", "symlog"),
        ("urgent first token p95, s", "urgent_first_p95", "log"),
    )
    found = list(rows)
    figure, axes = pyplot.subplots(1, len(columns), figsize=(18, 4))
    for axis, (title, name, scale) in zip(axes, columns, strict=True):
        for policy in PolicyName:
            own = [row for row in found if row.policy == policy.value]
            loads = [row.load for row in own]
            axis.plot(loads, [getattr(row, name) for row in own], "o-", label=policy.value)
        axis.set_title(title)
        axis.set_xlabel("offered load over capacity")
        axis.set_yscale(scale)
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)
