"""Command of the entry process."""

from __future__ import annotations

import json
import pathlib
import signal
import threading
from typing import Any

import cherrypy
import click
from cheroot import wsgi

from balsamloom_core import events, settings
from balsamloom_entry import http
from balsamloom_entry import process as processes

HTTP_THREADS = 64

SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["name", "http_address", "failure_domain", "store_address"],
    "properties": {
        "name": {"type": "string", "minLength": 1},
        "http_address": {"type": "string"},
        "peer_address": {"type": "string", "default": ""},
        "failure_domain": {"type": "string", "minLength": 1},
        "store_address": {"type": "string"},
        "engines": {
            "type": "array",
            "items": {"type": "string"},
            "default": [],
        },
        "tools": {"type": "object", "default": {}},
    },
}


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
    """Run an entry process until SIGTERM or SIGINT."""
    try:
        document = settings.load(settings_path, SCHEMA)
    except settings.SettingsError as error:
        raise click.UsageError(error.message) from error
    run(document)


def run(document: dict[str, Any]) -> None:
    """Serve until a signal comes.

    :param document: checked settings.
    """
    events.configure(document["name"])
    host, _, port = document["http_address"].rpartition(":")
    server = wsgi.Server((host, int(port)), None, numthreads=HTTP_THREADS)
    server.prepare()
    address = f"{host}:{server.bind_addr[1]}"
    process = processes.EntryProcess(
        processes.EntrySettings(**document),  # type: ignore[typeddict-item]
        address,
    )
    application = cherrypy.Application(http.CallerInterface(process), "")
    application.log.screen = False
    server.wsgi_app = application
    process.start()
    threading.Thread(target=server.serve, daemon=True).start()
    ended = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: ended.set())
    print(json.dumps({"address": address}), flush=True)
    ended.wait()
    server.stop()
    process.stop()
