"""Measure policies against baselines on real processes.

Writes ``measurements/latest.json``, ``measurements/runs.json``, plots and
``docs/measurements.md``.
"""

from __future__ import annotations

import concurrent.futures
import json
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import Any

import click
import measured_report
import measured_runs
import measured_scenarios as scenarios

ROOT = pathlib.Path(__file__).resolve().parent.parent
FIRST_SEED = 1
SCENARIO_TIMEOUT_S = 280
NAMES = [scenario.name for scenario in scenarios.SCENARIOS]


def _run_in_subprocess(
    name: str, seeds: int, directory: str
) -> list[dict[str, Any]]:
    """Run one scenario in a subprocess with its own load tool."""
    path = pathlib.Path(directory) / f"{name}.json"
    command = [sys.executable, __file__, "--scenario", name]
    command += ["--seeds", str(seeds), "--runs-to", str(path)]
    subprocess.run(command, check=True, timeout=SCENARIO_TIMEOUT_S)
    runs: list[dict[str, Any]] = json.loads(path.read_text("utf-8"))
    return runs


@click.command()
@click.option(
    "--scenario",
    "names",
    multiple=True,
    type=click.Choice(NAMES),
    envvar="MEASURE_SCENARIO",
    help="Scenario to run; all by default.",
)
@click.option(
    "--seeds",
    default=3,
    show_default=True,
    envvar="MEASURE_SEEDS",
    help="Number of seeds per scenario.",
)
@click.option(
    "--lanes",
    default=3,
    show_default=True,
    envvar="MEASURE_LANES",
    help="Number of scenarios that run concurrently.",
)
@click.option(
    "--runs-to",
    type=click.Path(path_type=pathlib.Path),
    help="Run one scenario in this process and write only its runs.",
)
def main(
    names: tuple[str, ...],
    seeds: int,
    lanes: int,
    runs_to: pathlib.Path | None,
) -> None:
    """Measure policies against baselines."""
    if runs_to is not None:
        chosen = next(s for s in scenarios.SCENARIOS if s.name == names[0])
        numbers = list(range(FIRST_SEED, FIRST_SEED + seeds))
        measured_runs.run_scenario(chosen, numbers, runs_to)
        return
    start_s = time.monotonic()
    selected = [name for name in NAMES if not names or name in names]
    runs = []
    with (
        tempfile.TemporaryDirectory() as directory,
        concurrent.futures.ThreadPoolExecutor(lanes) as pool,
    ):
        jobs = [
            pool.submit(_run_in_subprocess, name, seeds, directory)
            for name in selected
        ]
        for name, job in zip(selected, jobs, strict=True):
            try:
                runs += job.result()
            except (subprocess.SubprocessError, OSError) as error:
                print(f"{name} was not measured: {error}", file=sys.stderr)
    duration_s = time.monotonic() - start_s
    summary = measured_report.write(runs, duration_s, ROOT, lanes)
    for name, entry in summary.items():
        figure = measured_report.find_figure(name)
        verdict = "met" if figure.is_met(entry["ratio"]) else "MISSED"
        print(
            f"{name}: {entry['ratio']} ({entry['ratio_min']} to "
            f"{entry['ratio_max']}), target {figure.target}: {verdict}"
        )
    print(f"{duration_s:.0f} s")


if __name__ == "__main__":
    main()
