"""Play days on a bench and judge the refusals in the logs of each play.

A line a play tells the day, the seed, the rules that the bench found broken,
the answers 402, how many of them are wrong and of how many programs, and what
else the audit found. The output of a play with findings is kept, for
``balsamloom audit`` and ``balsamloom explain``; that of a clean one is not.
Run it in the sources to play: the bench builds those.
"""

from __future__ import annotations

import pathlib
import subprocess
import sys
from collections.abc import Iterable, Iterator
from typing import NamedTuple, TextIO

import click

from balsamloom_gateway import (
    budget_refusals,
    refusal_audit,
    refusal_report,
)
from balsamloom_testbed import play_logs


class Play(NamedTuple):
    """One play of a day; without a seed, the bench takes the day's own."""

    day: str
    seed: int | None

    @property
    def name(self) -> str:
        """Return a name for files."""
        return f"{pathlib.PurePath(self.day).stem}-{self.seed_text}"

    @property
    def seed_text(self) -> str:
        """Return the seed as text."""
        return "own" if self.seed is None else str(self.seed)


class Options(NamedTuple):
    """What all plays have in common."""

    bench: pathlib.Path
    site: str
    is_replay: bool
    arguments: tuple[str, ...]
    reason: str
    settle_ms: float

    def command(self, play: Play) -> list[str]:
        """Return the command that plays a day with logs."""
        seed = [] if play.seed is None else ["--seed", str(play.seed)]
        return [
            str(self.bench),
            "replay" if self.is_replay else "run",
            self.site,
            play.day,
            *seed,
            *self.arguments,
            *("--log", "all", "--jobs", "1", "--why", self.reason),
        ]


class Result(NamedTuple):
    """What a play broke by the bench, and what the audit found."""

    play: Play
    broken_rules: str
    snapshot_id: str
    refusals: refusal_audit.RefusalAudit

    @property
    def has_findings(self) -> bool:
        """Return whether the play was cut short or something was wrong."""
        return bool(
            self.broken_rules
            or not self.snapshot_id
            or self.refusals.has_findings
        )

    def describe(self) -> str:
        """Return a line of text."""
        return (
            f"{self.play.day} seed {self.play.seed_text}:"
            f" rules broken: {self.broken_rules or 'none'};"
            f" {refusal_report.summarize(self.refusals)};"
            f" {len(self.refusals.denied_turns)} wrong 404,"
            f" {len(self.refusals.contradicted_refusals)} refused but run;"
            f" snapshot {self.snapshot_id or 'none, not finished'}"
        )


def run_play(play: Play, options: Options, folder: pathlib.Path) -> Result:
    """Play a day, judge its refusals and keep its output if they are wrong."""
    path = folder / f"{play.name}.part"
    reader = play_logs.PlayReader(refusal_audit.EVENT_NAMES)
    with path.open("w", encoding="utf-8") as copy:
        lines = reader.read(_copied(output(options.command(play)), copy))
        found = refusal_audit.audit(lines, options.settle_ms)
    result = Result(play, reader.broken_rules, reader.snapshot_id, found)
    if result.has_findings:
        end = reader.snapshot_id or "unfinished"
        path.rename(folder / f"{play.name}-{end}.log")
    else:
        path.unlink()
    return result


def output(command: list[str]) -> Iterator[str]:
    """Run a command and yield its lines; end it if they are not read."""
    with subprocess.Popen(
        command,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        encoding="utf-8",
        errors="replace",
    ) as process:
        assert process.stdout is not None
        try:
            yield from process.stdout
        except BaseException:
            process.terminate()
            raise


def _copied(lines: Iterable[str], copy: TextIO) -> Iterator[str]:
    for line in lines:
        copy.write(line)
        yield line


@click.command()
@click.argument("site")
@click.argument("days", nargs=-1, required=True)
@click.option(
    "--bench",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    required=True,
    help="Program that plays days.",
)
@click.option(
    "--keep",
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    required=True,
    help="Folder for the output of plays with findings.",
)
@click.option(
    "--seed", "seeds", type=int, multiple=True, help="Seed of each day."
)
@click.option("--replay", is_flag=True, help="DAYS are of an earlier hunt.")
@click.option("--vary", is_flag=True, help="Vary times and figures.")
@click.option("--no-cpu", is_flag=True, help="Charge no processor time.")
@click.option("--why", default="audited hunt", help="Reason, for the journal.")
@click.option(
    "--settle-ms",
    type=click.FloatRange(min=0),
    default=budget_refusals.DEFAULT_SETTLE_MS,
    show_default=True,
    help="Turns that ended so shortly before a 402 count at their most.",
)
def main(
    site: str,
    days: tuple[str, ...],
    bench: pathlib.Path,
    keep: pathlib.Path,
    seeds: tuple[int, ...],
    replay: bool,
    vary: bool,
    no_cpu: bool,
    why: str,
    settle_ms: float,
) -> None:
    """Play DAYS of SITE one after the other, and audit each play.

    Exits with 1 if a play has findings.
    """
    keep.mkdir(parents=True, exist_ok=True)
    chosen = {"--vary": vary, "--no-cpu": no_cpu}
    arguments = tuple(name for name, is_set in chosen.items() if is_set)
    options = Options(bench, site, replay, arguments, why, settle_ms)
    has_findings = False
    for day in days:
        for seed in seeds or (None,):
            result = run_play(Play(day, seed), options, keep)
            click.echo(result.describe())
            has_findings = has_findings or result.has_findings
    sys.exit(1 if has_findings else 0)


if __name__ == "__main__":
    main()
