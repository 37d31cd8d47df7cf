"""Write the report of ``make measure``: JSON, Markdown and SVG plots."""

from __future__ import annotations

import json
import pathlib
import statistics
from typing import Any
from xml.sax import saxutils

import measured_runs
import measured_scenarios as scenarios
import psutil

Run = dict[str, Any]
PLOT_WIDTH = 560
PLOT_HEIGHT = 220
MARGIN = 40
# Above this share of all cores, processes wait for a core.
BUSY_CPU_SHARE = 0.8
COLOURS = {"policy": "#1b6ca8", "baseline": "#b8502a"}


def summarize(runs: list[Run]) -> dict[str, dict[str, Any]]:
    """Return the contents of ``latest.json``.

    A ratio is the median of the seeds' ratios; policy and baseline are the
    medians of the seeds' figures.

    :param runs: both variants on each seed.
    """
    found = {}
    for scenario in scenarios.SCENARIOS:
        for figure in scenario.figures:
            entry = _summarize_figure(runs, scenario.name, figure)
            if entry is not None:
                found[figure.name] = entry
    return found


def _summarize_figure(
    runs: list[Run], scenario: str, figure: scenarios.Figure
) -> dict[str, Any] | None:
    values: dict[str, dict[int, float]] = {"policy": {}, "baseline": {}}
    for run in runs:
        if run["scenario"] == scenario:
            value = run["figures"][figure.name]
            values[run["variant"]][run["seed"]] = value
    seeds = sorted(set(values["policy"]) & set(values["baseline"]))
    if not seeds:
        return None
    # A baseline of 0 counts as one unit, to avoid a division by zero.
    ratios = [
        values["policy"][seed] / (values["baseline"][seed] or 1.0)
        for seed in seeds
    ]
    return {
        "figure": figure.description,
        "unit": figure.unit,
        "policy": round(statistics.median(values["policy"].values()), 3),
        "baseline": round(statistics.median(values["baseline"].values()), 3),
        "ratio": round(statistics.median(ratios), 3),
        "ratio_min": round(min(ratios), 3),
        "ratio_max": round(max(ratios), 3),
        "seeds": seeds,
    }


def find_figure(name: str) -> scenarios.Figure:
    """Return the figure with a name."""
    return next(
        figure
        for scenario in scenarios.SCENARIOS
        for figure in scenario.figures
        if figure.name == name
    )


def write(
    runs: list[Run], duration_s: float, root: pathlib.Path, lanes: int
) -> dict[str, dict[str, Any]]:
    """Write all files of the report and return the summary.

    :param runs: both variants on each seed.
    :param duration_s: duration of all runs.
    :param root: root directory of the repository.
    :param lanes: scenarios that ran at the same time.
    """
    summary = summarize(runs)
    directory = root / "measurements"
    directory.mkdir(exist_ok=True)
    text = json.dumps(summary, indent=2) + "\n"
    (directory / "latest.json").write_text(text, encoding="utf-8")
    text = json.dumps([_compact(run) for run in runs], indent=1) + "\n"
    (directory / "runs.json").write_text(text, encoding="utf-8")
    for scenario in scenarios.SCENARIOS:
        scenario_runs = [
            run for run in runs if run["scenario"] == scenario.name
        ]
        if scenario_runs:
            path = directory / f"{scenario.name}.svg"
            path.write_text(
                _plot(scenario_runs, scenario.name), encoding="utf-8"
            )
    page = _page(summary, runs, duration_s, lanes, root)
    (root / "docs" / "measurements.md").write_text(page, encoding="utf-8")
    return summary


def _compact(run: Run) -> Run:
    """Return a run without the latencies, which only plots need."""
    return {
        name: value for name, value in run.items() if name != "latencies_ms"
    }


def _page(
    summary: dict[str, dict[str, Any]],
    runs: list[Run],
    duration_s: float,
    lanes: int,
    root: pathlib.Path,
) -> str:
    lines = [
        "# Measurements",
        "",
        "`make measure` writes this page, `measurements/latest.json`,",
        "`measurements/runs.json` (each run with its trace) and the plots.",
        "",
        "## Figures",
        "",
        "The ratio is policy over baseline: the median of the seeds' ratios,",
        "with the smallest and the largest.",
        "",
        "| scenario | figure | policy | baseline | ratio | spread | target |"
        " met |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for name, entry in summary.items():
        figure = find_figure(name)
        relation = "at most" if figure.is_max else "at least"
        met = "yes" if figure.is_met(entry["ratio"]) else "**missed**"
        lines.append(
            f"| `{name}` | {entry['figure']} | {entry['policy']:g} "
            f"{entry['unit']} | {entry['baseline']:g} {entry['unit']} "
            f"| {entry['ratio']} | {entry['ratio_min']} to "
            f"{entry['ratio_max']} | {relation} {figure.target} | {met} |"
        )
    lines += ["", *_read_notes(root, "causes"), *_trace_section(summary, runs)]
    for name in ("repair", "latency", "soak"):
        lines += _read_notes(root, name)
    lines += _method_section(duration_s, lanes)
    lines += [*_machine_section(runs), "## Plots", ""]
    for scenario in dict.fromkeys(run["scenario"] for run in runs):
        lines.append(f"![{scenario}](../measurements/{scenario}.svg)")
    return "\n".join(lines) + "\n"


def _read_notes(root: pathlib.Path, name: str) -> list[str]:
    """Return the lines of a hand-written section, if there is one."""
    path = root / "measurements" / f"{name}.md"
    if not path.exists():
        return []
    return [path.read_text(encoding="utf-8").rstrip(), ""]


def _trace_section(
    summary: dict[str, dict[str, Any]], runs: list[Run]
) -> list[str]:
    """Return the section with traces of runs that missed a target."""
    missed = {
        scenario.name: figure.name
        for scenario in scenarios.SCENARIOS
        for figure in scenario.figures
        if figure.name in summary
        and not figure.is_met(summary[figure.name]["ratio"])
    }
    if not missed:
        return []
    lines = ["## Traces of missed targets", ""]
    for scenario, name in missed.items():
        lines.append(f"`{name}`:")
        lines.append("")
        for run in runs:
            if run["scenario"] == scenario:
                lines.append(_trace_line(run))
        lines.append("")
    return lines


def _trace_line(run: Run) -> str:
    trace = run["trace"]
    late = sum(trace["late"].values())
    samples = trace["samples"]
    waiting = max((sample["waiting"] for sample in samples), default=0)
    ejected = sum(len(sample["ejected"]) for sample in samples)
    slowest = trace["slowest"][-1]
    return (
        f"* seed {run['seed']}, {run['variant']}: {late} of "
        f"{trace['programs']} programs late or failed {trace['late']}, "
        f"{run['retries']} retries of callers, at most {waiting} calls "
        f"waiting, {ejected} ejected servers summed over {len(samples)} "
        f"dumps, slowest {slowest['kind']} {slowest['latency_ms']} ms with "
        f"first tokens after {slowest['first_token_ms']} ms"
    )


def _method_section(duration_s: float, lanes: int) -> list[str]:
    rows = [
        f"| `{scenario.name}` | {scenario.entry_count} | {scenario.slots} "
        f"| {scenario.token_ms:g} to {4 * scenario.token_ms:g} | "
        + ", ".join(
            f"{step.programs_per_s:g} for {step.duration_ms / 1000:g} s"
            for step in scenario.rate_steps
        )
        + " |"
        for scenario in scenarios.SCENARIOS
    ]
    return [
        "## Method",
        "",
        "Real entry processes serve the load tool's programs over loopback",
        "against ten stand-in engines, three tool services and the store",
        "stand-in. The baseline has random routing, first come first served,",
        "no admission control, limits, health checks or prefix affinity; both",
        "variants run on the same processes, one after the other, and the",
        "order alternates. A warm-up comes first (10 s of arrivals in",
        "`slowdown`, 3 s elsewhere). For `node_loss` both",
        "runs have the policy, and the baseline is the run without the kill.",
        "",
        "A program that fails counts as the slowest of its run.",
        "One engine at a time is slowed 3 times for 0.4 s each 2.5 s. In",
        "`slowdown` two engines are slowed 5 to 10 times; programs that",
        "arrive meanwhile count. Engines keep at most "
        f"{scenarios.SCENARIOS[0].cache_tokens} prompt tokens.",
        "",
        f"Entry processes commit {measured_runs.COMMITS_PER_S:g} times a",
        "second, where 3.5 is shipped: the wait for the commit is part of",
        "each program's latency in both variants and would hide the policy.",
        "",
        "| scenario | entry processes | slots of an engine | ms per token |"
        " programs/s |",
        "|---|---|---|---|---|",
        *rows,
        "",
        f"The runs took {duration_s:.0f} s in all, {lanes} scenarios at a",
        "time.",
        "",
    ]


def _machine_section(runs: list[Run]) -> list[str]:
    memory_gib = psutil.virtual_memory().total / 2**30
    lines = [
        "## Machine",
        "",
        f"{psutil.cpu_count()} cores, {memory_gib:.0f} GiB. Processor use as",
        "shares of one core, the largest of a scenario's runs; `machine` is",
        "the share of all cores, other work on the machine included.",
        "",
        "| scenario | busiest entry process | busiest engine | store |"
        " load tool | machine |",
        "|---|---|---|---|---|---|",
    ]
    keys = ("entry_max", "engine_max", "store_max", "load_tool_max", "machine")
    for scenario in dict.fromkeys(run["scenario"] for run in runs):
        usages = [run["cpu"] for run in runs if run["scenario"] == scenario]
        cells = [f"{max(cpu[key] for cpu in usages):.2f}" for key in keys]
        lines.append(f"| `{scenario}` | {' | '.join(cells)} |")
    busiest = max(run["cpu"]["machine"] for run in runs)
    if busiest > BUSY_CPU_SHARE:
        lines += [
            "",
            f"The machine was up to {100 * busiest:.0f}% busy, so other work",
            "disturbed these figures.",
        ]
    return [*lines, ""]


def _plot(runs: list[Run], title: str) -> str:
    """Return an SVG plot of the latency distribution of each variant."""
    largest = max(max(run["latencies_ms"], default=1) for run in runs)
    shapes = []
    for variant, colour in COLOURS.items():
        values = sorted(
            value
            for run in runs
            if run["variant"] == variant
            for value in run["latencies_ms"]
        )
        shapes.append(_curve(values, largest, colour))
    shapes += _legend(title, largest)
    body = "\n".join(shapes)
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{PLOT_WIDTH}" '
        f'height="{PLOT_HEIGHT}" font-family="sans-serif" font-size="11">\n'
        f'<rect width="100%" height="100%" fill="white"/>\n{body}\n</svg>\n'
    )


def _curve(values: list[float], largest: float, colour: str) -> str:
    width = PLOT_WIDTH - 2 * MARGIN
    height = PLOT_HEIGHT - 2 * MARGIN
    step = max(len(values) // 200, 1)
    points = [
        f"{MARGIN + width * value / largest:.1f},"
        f"{PLOT_HEIGHT - MARGIN - height * (index + 1) / len(values):.1f}"
        for index, value in enumerate(values)
        if index % step == 0 or index == len(values) - 1
    ]
    return (
        f'<polyline fill="none" stroke="{colour}" stroke-width="2" '
        f'points="{" ".join(points)}"/>'
    )


def _legend(title: str, largest: float) -> list[str]:
    bottom = PLOT_HEIGHT - MARGIN
    right = PLOT_WIDTH - MARGIN
    found = [
        f'<path d="M{MARGIN} {MARGIN}V{bottom}H{right}" fill="none" '
        'stroke="black"/>',
        f'<text x="{MARGIN}" y="16">{saxutils.escape(title)}: share of '
        "programs by latency</text>",
        f'<text x="{MARGIN}" y="{bottom + 16}">0 ms</text>',
        f'<text x="{right}" y="{bottom + 16}" text-anchor="end">'
        f"{largest:.0f} ms</text>",
        f'<text x="{MARGIN - 4}" y="{MARGIN + 8}" text-anchor="end">1</text>',
    ]
    for index, (variant, colour) in enumerate(COLOURS.items()):
        found.append(
            f'<text x="{right}" y="{bottom - 8 - 16 * index}" '
            f'text-anchor="end" fill="{colour}">{variant}</text>'
        )
    return found
