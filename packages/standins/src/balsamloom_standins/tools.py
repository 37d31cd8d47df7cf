"""Stand-in for a tool service; counts the runs per idempotency key."""

from __future__ import annotations

import collections
import dataclasses
import threading
import time
from typing import Any

import cherrypy

from balsamloom_standins import _serving

MODES = ("none", "hang", "error", "refuse")
# Hung operations occupy threads, and /control must still be served.
THREADS = 512


@dataclasses.dataclass
class Behaviour:
    """Behaviour of operations; ``POST /control`` changes it.

    :param mode: one of :data:`MODES`. ``hang`` runs an operation and answers
        when the mode changes, ``error`` fails it after the run and ``refuse``
        before the run.
    :param duration_ms: duration of an operation.
    :param left: number of operations that ``error`` or ``refuse`` still
        affects, zero for all; ``hang`` affects all until the mode changes.
    """

    mode: str = "none"
    duration_ms: float = 5.0
    left: int = 0


class ToolStandin:
    """CherryPy handlers of a tool service.

    :param duration_ms: duration of an operation.
    """

    def __init__(self, duration_ms: float = 5.0) -> None:
        self._behaviour = Behaviour(duration_ms=duration_ms)
        self._changed = threading.Condition()
        self._run_counts: collections.Counter[str] = collections.Counter()
        self._order: dict[str, list[list[str]]] = {}
        self._records: list[dict[str, Any]] = []

    @cherrypy.expose
    def default(self, *path: str, **_: str) -> Any:
        """Run an operation, or serve records or ``/control``.

        Keys are returned without the prefix of the program, as callers know
        them. ``/runs`` returns the number of runs per key, ``/order`` the
        starts and ends of operations per program, in order, and ``/records``
        the times of all runs on the monotonic clock of the host.
        """
        body = _serving.read_json()
        match (cherrypy.request.method, *path):
            case ("GET", "runs"):
                with self._changed:
                    return _serving.write_json(dict(self._run_counts))
            case ("GET", "order"):
                with self._changed:
                    return _serving.write_json(self._order)
            case ("GET", "records"):
                with self._changed:
                    return _serving.write_json({"records": self._records})
            case ("POST", "control"):
                return self._control(body)
            case ("POST", *_):
                return self._run_operation("/".join(path), body)
            case _:
                return _serving.write_json({"error": "not found"}, 404)

    def _control(self, body: dict[str, Any]) -> bytes:
        known = dataclasses.asdict(self._behaviour)
        unknown = sorted(set(body) - set(known))
        if unknown or body.get("mode", "none") not in MODES:
            message = f"use {sorted(known)}; mode is one of {MODES}"
            return _serving.write_json({"error": message}, 400)
        with self._changed:
            self._behaviour = dataclasses.replace(self._behaviour, **body)
            self._changed.notify_all()
            return _serving.write_json(dataclasses.asdict(self._behaviour))

    def _run_operation(self, operation: str, body: dict[str, Any]) -> bytes:
        headers = cherrypy.request.headers
        program_id = headers.get("X-Program-Id", "")
        sent_key = headers.get("Idempotency-Key", "")
        key = sent_key.removeprefix(f"{program_id}/")
        with self._changed:
            mode, duration_ms = self._next_mode()
            if mode == "refuse":
                document = {"not_run": True, "retry_after_ms": 100}
                return _serving.write_json(document, 503, 100)
            self._run_counts[key] += 1
            runs = self._run_counts[key]
            self._record_order(program_id, "start", key)
            record: dict[str, Any] = {
                "program_id": program_id,
                "key": key,
                "sent_key": sent_key,
            }
            record.update(start_s=time.monotonic(), end_s=None)
            self._records.append(record)
            if mode == "hang":
                self._changed.wait_for(lambda: self._behaviour.mode != "hang")
        time.sleep(duration_ms / 1000)
        with self._changed:
            self._record_order(program_id, "end", key)
            record["end_s"] = time.monotonic()
        if mode == "error":
            return _serving.write_json({"error": "failed"}, 500)
        return _serving.write_json(
            {"operation": operation, "input": body, "runs": runs}
        )

    def _next_mode(self) -> tuple[str, float]:
        behaviour = self._behaviour
        mode = behaviour.mode
        if mode in ("error", "refuse") and behaviour.left:
            behaviour.left -= 1
            if behaviour.left == 0:
                behaviour.mode = "none"
        return mode, behaviour.duration_ms

    def _record_order(self, program_id: str, event: str, key: str) -> None:
        if program_id:
            self._order.setdefault(program_id, []).append([event, key])
