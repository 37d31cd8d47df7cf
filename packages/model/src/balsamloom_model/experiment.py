"""Command line: simulate days by policy, seed and load."""

from __future__ import annotations

import concurrent.futures
import itertools
import json
import pathlib
import statistics
import sys
from typing import NamedTuple, TypedDict

import click

from balsamloom_model import day, deployments, figures, plots, policies

DEFAULT_SEEDS = 5
DEFAULT_LOADS = (0.6, 0.8, 1.0, 1.2, 1.4)


class DayConfig(NamedTuple):
    """Deployment file, policy, seed and load factor of a day."""

    path: str
    policy: str
    seed: int
    load: float


class Row(TypedDict):
    """Result of one simulated day; a row of ``result.json``."""

    deployment: str
    policy: str
    seed: int
    load: float
    figures: figures.Figures


class Summary(TypedDict):
    """Mean and standard deviation of a figure over seeds."""

    mean: float
    deviation: float


def simulate_day(config: DayConfig) -> Row:
    """Simulate one day."""
    deployment = deployments.load(pathlib.Path(config.path))
    policy = policies.POLICIES[config.policy]
    result = day.Day(deployment, policy, config.seed, config.load).run()
    return Row(
        deployment=deployment.name,
        policy=config.policy,
        seed=config.seed,
        load=config.load,
        figures=figures.compute(result, deployment.duration_ms),
    )


def summarize(rows: list[Row], figure: str) -> Summary:
    """Return the mean and standard deviation of one figure."""
    values = [_figure_value(row, figure) for row in rows]
    deviation = statistics.stdev(values) if len(values) > 1 else 0.0
    return Summary(mean=statistics.fmean(values), deviation=deviation)


def _figure_value(row: Row, name: str) -> float:
    return float(dict(row["figures"])[name])  # type: ignore[arg-type]


def _print_table(rows: list[Row]) -> None:
    names = ("worth", "mean_stretch", "p99_ms", "first_p99_ms")
    click.echo("policy          load  " + "  ".join(f"{n:>18}" for n in names))
    key = _policy_and_load
    for (policy, load), group in itertools.groupby(sorted(rows, key=key), key):
        group_rows = list(group)
        cells = []
        for name in names:
            summary = summarize(group_rows, name)
            cells.append(
                f"{summary['mean']:11.3f} ±{summary['deviation']:6.3f}"
            )
        click.echo(f"{policy:15} {load:4.1f}  " + "  ".join(cells))


def _policy_and_load(row: Row) -> tuple[str, float]:
    return row["policy"], row["load"]


def _simulate_all(days: list[DayConfig], jobs: int) -> list[Row]:
    """Simulate days in parallel, with a progress bar on stderr."""
    rows: list[Row] = []
    with (
        concurrent.futures.ProcessPoolExecutor(jobs) as executor,
        click.progressbar(
            executor.map(simulate_day, days),
            length=len(days),
            label="days",
            file=sys.stderr,
        ) as results,
    ):
        rows.extend(results)
    return rows


@click.group()
def main() -> None:
    """Simulate days and compare placement policies."""


@main.command()
@click.argument(
    "deployment", type=click.Path(exists=True, dir_okay=False, path_type=str)
)
@click.option(
    "--policy",
    "names",
    multiple=True,
    type=click.Choice(sorted(policies.POLICIES)),
    help="Placement policy; may be repeated. All by default.",
)
@click.option(
    "--seeds",
    type=click.IntRange(min=1),
    default=DEFAULT_SEEDS,
    show_default=True,
    help="Number of days, each with its own seed, per policy and load.",
)
@click.option(
    "--load",
    "loads",
    multiple=True,
    type=click.FloatRange(min=0.1, max=10.0),
    help="Multiplier of the deployment's program rates; may be repeated.",
)
@click.option(
    "--jobs",
    type=click.IntRange(min=1),
    default=2,
    show_default=True,
    help="Number of days simulated in parallel.",
)
@click.option(
    "--output",
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    help="Directory for result.json and one SVG plot for each figure.",
)
def run(
    deployment: str,
    names: tuple[str, ...],
    seeds: int,
    loads: tuple[float, ...],
    jobs: int,
    output: pathlib.Path | None,
) -> None:
    """Simulate DEPLOYMENT, a JSON file, and print the figures."""
    try:
        deployments.load(pathlib.Path(deployment))
    except deployments.InvalidDeploymentError as error:
        raise click.ClickException(str(error)) from error
    days = [
        DayConfig(deployment, name, seed, load)
        for name in names or sorted(policies.POLICIES)
        for load in loads or DEFAULT_LOADS
        for seed in range(seeds)
    ]
    rows = _simulate_all(days, jobs)
    _print_table(rows)
    if output is not None:
        _write_results(rows, output)


def _write_results(rows: list[Row], output: pathlib.Path) -> None:
    output.mkdir(parents=True, exist_ok=True)
    content = json.dumps(rows, indent=1) + "\n"
    (output / "result.json").write_text(content, encoding="utf-8")
    for figure in ("worth", "mean_stretch", "p99_ms", "failed"):
        lines = []
        for policy in sorted({row["policy"] for row in rows}):
            points = []
            for load in sorted({row["load"] for row in rows}):
                matching = [
                    row
                    for row in rows
                    if (row["policy"], row["load"]) == (policy, load)
                ]
                if matching:
                    points.append((load, summarize(matching, figure)["mean"]))
            lines.append(plots.Line(policy, tuple(points)))
        chart = plots.Chart(figure, "load", figure, tuple(lines))
        path = output / f"{figure}.svg"
        path.write_text(plots.render_svg(chart), encoding="utf-8")


@main.command()
@click.argument("before", type=click.Path(exists=True, path_type=pathlib.Path))
@click.argument("after", type=click.Path(exists=True, path_type=pathlib.Path))
def compare(before: pathlib.Path, after: pathlib.Path) -> None:
    """Compare the figures of the days that two result.json files share."""
    try:
        old = _by_day(json.loads(before.read_text(encoding="utf-8")))
        new = _by_day(json.loads(after.read_text(encoding="utf-8")))
    except (ValueError, KeyError, TypeError) as error:
        raise click.ClickException(f"not a result file: {error!r}") from error
    common = sorted(set(old) & set(new))
    if not common:
        raise click.ClickException("the files have no day in common")
    for figure in ("worth", "mean_stretch", "p99_ms", "first_p99_ms"):
        changes = [
            _figure_value(new[key], figure) - _figure_value(old[key], figure)
            for key in common
        ]
        higher = sum(change > 0 for change in changes)
        click.echo(
            f"{figure:14} mean change {statistics.fmean(changes):+.4f}, "
            f"higher on {higher} of {len(common)} days"
        )


def _by_day(rows: list[Row]) -> dict[tuple[str, str, int, float], Row]:
    return {
        (row["deployment"], row["policy"], row["seed"], row["load"]): row
        for row in rows
    }


if __name__ == "__main__":
    main()
