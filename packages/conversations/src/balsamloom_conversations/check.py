"""Command that checks the data directory of a storage host."""

from __future__ import annotations

import pathlib
import sys

import click

from balsamloom_conversations import database, turns
from balsamloom_core import clock as clocks

LIST_PAGE_TURNS = 1_000


@click.command()
@click.argument(
    "directory",
    type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
)
def main(directory: pathlib.Path) -> None:
    """Check the turns in DIRECTORY, which no process may have open.

    The exit status is 1 if a turn is damaged or a chain has a gap.
    """
    if not (directory / database.FILE_NAME).is_file():
        raise click.BadParameter(
            f"{directory} has no {database.FILE_NAME}",
            param_hint="DIRECTORY",
        )
    try:
        store = database.TurnDatabase(directory, clocks.Clock())
        counts = store.counts()
        damaged = store.find_damaged()
        gaps = _find_gaps(store)
        store.close()
    except database.DatabaseError as error:
        raise click.ClickException(str(error)) from error
    click.echo(
        f"{counts.turns} turns of {counts.groups} groups, "
        f"{counts.size_bytes} bytes"
    )
    for turn_id in damaged:
        click.echo(f"damaged: {turn_id}")
    for turn_id, reason in gaps:
        click.echo(f"gap: {turn_id}: {reason}")
    click.echo(f"{len(damaged)} damaged, {len(gaps)} chains with a gap")
    sys.exit(1 if damaged or gaps else 0)


def _find_gaps(store: database.TurnDatabase) -> list[tuple[str, str]]:
    """Return the turns with an incomplete chain, and the reasons."""
    found = []
    sequence = 0
    while entries := store.list_after(sequence, LIST_PAGE_TURNS):
        for entry in entries:
            sequence = entry.sequence
            match store.chain(entry.turn_id):
                case turns.Unsure(reason):
                    found.append((entry.turn_id, reason))
                case turns.ChainEnd(missing_id=missing_id):
                    reason = f"turn {missing_id} is missing"
                    found.append((entry.turn_id, reason))
    return found
