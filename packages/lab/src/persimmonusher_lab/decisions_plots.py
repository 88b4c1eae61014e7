"""Plots of the measured decisions, as PNG files."""

from pathlib import Path
from typing import Any, Final

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

POLICY_COLOURS: Final = ("#1f6f8b", "#b0b0b0", "#d9a441", "#a3485a")
DETECTION_CASES: Final = (
    "failing 10%",
    "failing 50%",
    "failing 100%",
    "fail-fast 100%",
    "slow 8x",
    "slow 50x",
    "one-way cut",
)
LATENCY_CASES: Final = (
    "well",
    "slow 2x",
    "slow 8x",
    "slow 50x",
    "failing 50%",
    "one-way cut",
    "cold third",
)
GOODPUT_CASES: Final = ("burst to 1.6", "overload 1.5x", "overload 3x", "all report load 0")
FAILED_REQUEST_CASES: Final = (
    "failing 50%",
    "fail-fast 100%",
    "slow 50x",
    "one-way cut",
    "flapping 2 s",
)


def plot_all(document: dict[str, Any], folder: Path) -> list[Path]:
    """Draw every plot and return the files."""
    return [
        _plot_detection(document, folder / "detection.png"),
        _plot_policies(
            document, folder / "latency.png", LATENCY_CASES, "p99_ms", "callers' p99 (ms)", True
        ),
        _plot_policies(
            document,
            folder / "goodput.png",
            GOODPUT_CASES,
            "goodput",
            "answered successfully, as a share of capacity",
            False,
        ),
        _plot_policies(
            document,
            folder / "failed.png",
            FAILED_REQUEST_CASES,
            "failed_share",
            "share of requests that failed",
            False,
        ),
    ]


def _plot_detection(document: dict[str, Any], path: Path) -> Path:
    """Draw each case's time until the faulty server receives no work.

    Bars show the median with a span from least to p95, triangles the worst.
    """
    figure, axes = pyplot.subplots(figsize=(9, 4.5))
    width = 0.8 / max(1, len(document["cases"]))
    for index, (site, cases) in enumerate(document["cases"].items()):
        spreads = [
            cases.get(case, {}).get("usher", {}).get("detection_ms") for case in DETECTION_CASES
        ]
        positions = [position + index * width for position in range(len(DETECTION_CASES))]
        medians = [spread["p50"] / 1000 if spread else 0.0 for spread in spreads]
        high = [(spread["p95"] - spread["p50"]) / 1000 if spread else 0.0 for spread in spreads]
        low = [(spread["p50"] - spread["least"]) / 1000 if spread else 0.0 for spread in spreads]
        axes.bar(positions, medians, width, label=site, color=POLICY_COLOURS[2 * index])
        axes.errorbar(positions, medians, yerr=[low, high], fmt="none", ecolor="black", capsize=3)
        worst = [spread["worst"] / 1000 if spread else 0.0 for spread in spreads]
        axes.plot(positions, worst, "kv", markersize=4)
    axes.axhline(1.0, color=POLICY_COLOURS[0], linestyle=":", label="goal, detection-first, 50%")
    axes.axhline(3.0, color=POLICY_COLOURS[2], linestyle=":", label="goal, ejection-averse, 50%")
    _label(axes, DETECTION_CASES, "seconds until it gets no work")
    axes.set_title("Detection: median, least to p95 (bars), worst (triangles)")
    return _save(figure, path)


def _plot_policies(
    document: dict[str, Any],
    path: Path,
    wanted: tuple[str, ...],
    name: str,
    title: str,
    logarithmic: bool,
) -> Path:
    sites = document["cases"]
    figure, rows = pyplot.subplots(1, len(sites), figsize=(12, 4.5), sharey=True, squeeze=False)
    for axes, (site, cases) in zip(rows[0], sites.items(), strict=True):
        present = [case for prefix in wanted for case in cases if case.split(",")[0] == prefix]
        present = [case for case in present if case in wanted or case.startswith("all report")]
        policies = list(dict.fromkeys(policy for case in present for policy in cases[case]))
        for index, policy in enumerate(policies):
            positions = [position + index * 0.2 for position in range(len(present))]
            spreads = [cases[case].get(policy, {}).get(name) for case in present]
            values = [spread["p50"] if spread else 0.0 for spread in spreads]
            worst = [spread["worst"] if spread else 0.0 for spread in spreads]
            least = [spread["least"] if spread else 0.0 for spread in spreads]
            axes.bar(positions, values, 0.2, label=policy, color=POLICY_COLOURS[index % 4])
            axes.vlines(positions, least, worst, color="black", linewidth=1)
        if logarithmic:
            axes.set_yscale("log")
        else:
            axes.margins(y=0.25)
        _label(axes, tuple(present), title)
        axes.set_title(f"{site}: median over seeds, least to worst")
    return _save(figure, path)


def _label(axes: Any, names: tuple[str, ...], title: str) -> None:
    axes.set_xticks([position + 0.3 for position in range(len(names))])
    axes.set_xticklabels([name.split(",")[0] for name in names], rotation=25, ha="right")
    axes.set_ylabel(title)
    axes.legend(fontsize=8)
    axes.grid(axis="y", alpha=0.3)


def _save(figure: Any, path: Path) -> Path:
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
    return path
