"""Command line of the entry process."""

from __future__ import annotations

import json
import pathlib
import sys
import threading
from typing import Any

import click

from balsamloom_core import errors, events, settings, signals
from balsamloom_entry import process, schema

# Hundreds of threads wait for responses; small stacks limit their memory.
THREAD_STACK_BYTES = 256 * 1024


@click.command()
@click.option(
    "--settings",
    "settings_path",
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help="Settings file (JSON).",
)
@click.version_option(package_name="balsamloom-entry")
def main(settings_path: pathlib.Path) -> None:
    """Run an entry process until SIGTERM or SIGINT.

    Prints its address as JSON once it serves. A signal begins a graceful
    shutdown; the exit status is 0 if it finished everything, else 1.
    """
    try:
        document = settings.load(settings_path, schema.SCHEMA)
    except settings.SettingsError as error:
        raise click.UsageError(error.message) from error
    sys.exit(0 if run(document) else 1)


def run(document: dict[str, Any]) -> bool:
    """Serve until SIGTERM or SIGINT.

    :param document: checked settings.
    :return: whether the shutdown finished everything.
    """
    threading.stack_size(THREAD_STACK_BYTES)
    events.configure(document["name"], document["log_level"])
    stop_signals = signals.SignalReceiver()
    try:
        entry = process.EntryProcess(
            schema.EntrySettings(**document)  # type: ignore[typeddict-item]
        )
    except (
        errors.BalsamloomError,
        OSError,
        OverflowError,
        RuntimeError,
    ) as error:
        raise click.ClickException(
            f"http_address {document['http_address']!r} or peer_address"
            f" {document['peer_address']!r} is not accepted: {error};"
            " accepted: a free host:port of this host"
        ) from error
    entry.start()
    print(json.dumps({"address": entry.address}), flush=True)
    stop_signals.wait()
    return entry.stop()
