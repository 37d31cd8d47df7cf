"""Stand-in for a model engine: streamed chat completions at a set speed."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Iterator
from typing import Any

import cherrypy

from balsamloom_standins import _serving

DEFAULT_MAX_TOKENS = 16


class EngineStandin:
    """CherryPy handlers of a model engine.

    :param token_ms: time to generate one token.
    :param slots: requests served at a time.
    """

    def __init__(self, token_ms: float = 5.0, slots: int = 8) -> None:
        self._token_ms = token_ms
        self._slots = threading.Semaphore(slots)
        self._running = 0

    @cherrypy.expose
    def default(self, *path: str, **_: str) -> Any:
        """Serve the engine's paths."""
        body = _serving.read_json()
        match path:
            case ("v1", "chat", "completions"):
                cherrypy.response.headers["Content-Type"] = "text/event-stream"
                return self._stream(body)
            case ("load",):
                return _serving.write_json(
                    {"running": self._running, "state": "serving"}
                )
            case _:
                return _serving.write_json({"error": "not found"}, 404)

    default._cp_config = {"response.stream": True}

    def _stream(self, body: dict[str, Any]) -> Iterator[bytes]:
        tokens = int(body.get("max_tokens", DEFAULT_MAX_TOKENS))
        with self._slots:
            self._running += 1
            try:
                for number in range(tokens):
                    time.sleep(self._token_ms / 1000)
                    yield _event(
                        {
                            "choices": [
                                {
                                    "index": 0,
                                    "delta": {"content": f"t{number} "},
                                }
                            ]
                        }
                    )
                usage = {"completion_tokens": tokens}
                last = {
                    "choices": [
                        {"index": 0, "delta": {}, "finish_reason": "length"}
                    ]
                }
                yield _event({**last, "usage": usage})
                yield b"data: [DONE]\n\n"
            finally:
                self._running -= 1


def _event(body: dict[str, Any]) -> bytes:
    document = {"object": "chat.completion.chunk", **body}
    return b"data: " + json.dumps(document).encode() + b"\n\n"
