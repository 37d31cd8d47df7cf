"""Builders of test data for the commands, and a scripted entry process."""

import http.server
import json
import pathlib
import threading
from typing import NamedTuple

from click import testing

from balsamloom_cli import operator
from balsamloom_core import clock as clocks
from balsamloom_core import results


class RecordedRequest(NamedTuple):
    """Request that the scripted entry process received."""

    method: str
    path: str
    key: str


class Reply(NamedTuple):
    """Response to send; a body of ``None`` closes the connection."""

    status: int
    body: bytes | None
    headers: tuple = ()


class ScriptedEntry:
    """Entry process that sends prepared replies in order.

    Address lookups are answered from ``addresses`` (owner, valid_ms,
    alternatives) and counted in ``address_lookups``.
    """

    def __init__(self, *replies):
        self.replies = list(replies)
        self.received = []
        self.address_lookups = 0
        handler = type("Handler", (_Handler,), {"script": self})
        self._server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", 0), handler
        )
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        self.addresses = (self.address, 60_000, [])
        threading.Thread(
            target=self._server.serve_forever, args=(0.01,), daemon=True
        ).start()

    def stop(self):
        self._server.shutdown()
        self._server.server_close()

    def keys(self):
        return [request.key for request in self.received]


class _Handler(http.server.BaseHTTPRequestHandler):
    script: ScriptedEntry

    def do_GET(self):  # noqa: N802
        if self.path.startswith("/v1/address"):
            self.script.address_lookups += 1
            owner, valid_ms, others = self.script.addresses
            body = {
                "address": owner,
                "valid_ms": valid_ms,
                "alternatives": [{"address": other} for other in others],
            }
            self.send_reply(ok(body))
        else:
            self.do_POST()

    def do_POST(self):  # noqa: N802
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        key = self.headers.get("Idempotency-Key", "")
        self.script.received.append(
            RecordedRequest(self.command, self.path, key)
        )
        self.send_reply(self.script.replies.pop(0))

    def send_reply(self, reply):
        if reply.body is None:
            self.close_connection = True
            return
        self.send_response(reply.status)
        for name, value in reply.headers:
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(reply.body)

    def log_message(self, *_):
        pass


def ok(body):
    return Reply(200, json.dumps(body).encode())


DISCONNECT = Reply(0, None)


def refusal(code, retry_after_ms=None, headers=()):
    info = results.info(code)
    body = {
        "error": {
            "code": int(code),
            "name": code.name.lower(),
            "message": info.meaning,
            "not_run": info.not_run,
            "retry_after_ms": retry_after_ms,
        }
    }
    return Reply(info.http_status, json.dumps(body).encode(), headers)


def stream(*events, is_whole=True):
    """Build a stream of (number, name, body) events."""
    lines = [
        f"id: {number}\nevent: {name}\ndata: {json.dumps(body)}\n\n"
        for number, name, body in events
    ]
    end = ["data: [DONE]\n\n"] if is_whole else []
    return Reply(200, "".join(lines + end).encode())


def token(number):
    delta = {"choices": [{"delta": {"content": f"t{number} "}}]}
    return (number, "message", delta)


def done(number, code=1000):
    return (number, "done", {"code": code})


class FakeClock(clocks.Clock):
    """Clock that records its sleeps and advances without waiting."""

    def __init__(self):
        self.time_ms = 0.0
        self.sleeps_ms = []

    def now_ms(self):
        return self.time_ms

    def sleep(self, duration_ms):
        self.sleeps_ms.append(duration_ms)
        self.time_ms += duration_ms


def run(command, *arguments):
    return testing.CliRunner().invoke(command, list(arguments))


class OperatorSession:
    """Runner of operator commands, with a directory and a store."""

    def __init__(self, directory, store_address, author):
        self.directory = pathlib.Path(directory)
        self.options = ("--store", store_address, "--author", author)

    def run(self, *arguments):
        return run(operator.main, *self.options, *arguments)

    def file(self, section, revision, content, name="edit.json"):
        path = self.directory / name
        document = {
            "section": section,
            "revision": revision,
            "content": content,
        }
        path.write_text(json.dumps(document), encoding="utf-8")
        return str(path)


def models(**fields):
    server = {"id": "m-1", "address": "127.0.0.1:9001"}
    return {"m": {"servers": [server], **fields}}
