"""Stand-in for the key-value service: a subset of the etcd v3 JSON gateway.

Serves range, txn, watch and leases from memory, counts calls, and injects
faults: ``POST /faults`` sets them, ``GET /stats`` gives the counts.
"""

from __future__ import annotations

import base64
import bisect
import copy
import dataclasses
import itertools
import json
import threading
import time
from collections.abc import Iterator
from typing import Any

import cherrypy

from balsamloom_standins import _faults, _serving

WATCH_HEARTBEAT_S = 1.0
MAX_EVENTS_KEPT = 100_000
# Hung requests keep their threads, and /faults must still be served.
THREADS = 512

_READ_MODES = ("refuse", "hang", "slow", "stale_reads")
_WRITE_MODES = ("refuse", "hang", "slow", "lose_answers")
_WATCH_MODES = ("refuse", "hang", "slow")


@dataclasses.dataclass
class Entry:
    """A stored key."""

    value: bytes
    create_revision: int
    mod_revision: int
    lease_id: int


class Table:
    """Keys, revisions and leases, under one lock."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.revision = 1
        self.compact_revision = 0
        self._entries: dict[bytes, Entry] = {}
        self._keys: list[bytes] = []
        self._events: list[tuple[int, str, bytes, Entry | None]] = []
        self._lease_ids = itertools.count(1000)
        self._leases: dict[int, tuple[float, float]] = {}

    def snapshot(self) -> Table:
        """Return a copy for reading, as of the current revision."""
        copied = copy.copy(self)
        copied._entries = dict(self._entries)
        copied._keys = list(self._keys)
        return copied

    def range(
        self, key: bytes, end: bytes | None, limit: int
    ) -> tuple[list[bytes], bool]:
        """Return the keys of a range and whether the limit cut them."""
        if end is None:
            return ([key] if key in self._entries else []), False
        first = bisect.bisect_left(self._keys, key)
        last = bisect.bisect_left(self._keys, end)
        found = self._keys[first:last]
        if limit and len(found) > limit:
            return found[:limit], True
        return found, False

    def entry(self, key: bytes) -> Entry | None:
        """Return one entry."""
        return self._entries.get(key)

    def put(self, key: bytes, value: bytes, lease_id: int) -> None:
        """Write one key at the current revision."""
        old = self._entries.get(key)
        created = old.create_revision if old else self.revision
        entry = Entry(value, created, self.revision, lease_id)
        if old is None:
            bisect.insort(self._keys, key)
        self._entries[key] = entry
        self._note("PUT", key, entry)

    def delete(self, key: bytes) -> None:
        """Remove one key at the current revision."""
        if self._entries.pop(key, None) is not None:
            del self._keys[bisect.bisect_left(self._keys, key)]
            self._note("DELETE", key, None)

    def events_from(
        self, revision: int
    ) -> list[tuple[int, str, bytes, Entry | None]]:
        """Return the changes at or after a revision."""
        first = bisect.bisect_left(
            self._events, revision, key=lambda event: event[0]
        )
        return self._events[first:]

    def grant(self, ttl_s: float) -> int:
        """Return a new lease."""
        lease_id = next(self._lease_ids)
        self._leases[lease_id] = (ttl_s, time.monotonic() + ttl_s)
        return lease_id

    def keep(self, lease_id: int) -> float:
        """Renew a lease; zero if it has lapsed."""
        if lease_id not in self._leases:
            return 0
        ttl_s = self._leases[lease_id][0]
        self._leases[lease_id] = (ttl_s, time.monotonic() + ttl_s)
        return ttl_s

    def revoke(self, lease_id: int) -> None:
        """End a lease and remove its keys."""
        self._leases.pop(lease_id, None)
        owned = [
            key
            for key, entry in self._entries.items()
            if entry.lease_id == lease_id
        ]
        if owned:
            self.revision += 1
        for key in owned:
            self.delete(key)

    def expire(self) -> None:
        """End the leases whose time has passed."""
        now_s = time.monotonic()
        for lease_id in [
            key for key, (_, end_s) in self._leases.items() if end_s < now_s
        ]:
            self.revoke(lease_id)

    def _note(self, kind: str, key: bytes, entry: Entry | None) -> None:
        self._events.append((self.revision, kind, key, entry))
        if len(self._events) > MAX_EVENTS_KEPT:
            del self._events[: MAX_EVENTS_KEPT // 2]
            # Changes of one revision may have been cut apart.
            self.compact_revision = self._events[0][0] + 1


class StoreStandin:
    """CherryPy handlers of the gateway."""

    def __init__(self) -> None:
        self._table = Table()
        self._stale = self._table
        self._faults = _faults.Faults()
        self._counts = _serving.EventCounts("reads", "writes", "watches")

    @cherrypy.expose
    def default(self, *path: str, **_: str) -> Any:
        """Serve ``/v3/...``, ``/faults`` and ``/stats``."""
        body = _serving.read_json()
        match path:
            case ("v3", "kv", "range"):
                return self._read(body)
            case ("v3", "kv", "txn"):
                return self._write(self._txn, body)
            case ("v3", "lease", "grant"):
                return self._write(self._grant, body)
            case ("v3", "lease", "keepalive"):
                return self._write(self._keep, body)
            case ("v3", "lease", "revoke"):
                return self._write(self._revoke, body)
            case ("v3", "watch"):
                self._counts.add("watches")
                if self._faults.apply_to_request(_WATCH_MODES) == "refuse":
                    return _refusal()
                return self._watch(body["create_request"])
            case ("faults",):
                return self._set_faults(body)
            case ("stats",):
                return _serving.write_json(self._counts.describe())
            case _:
                return _serving.write_json({"error": "not found"}, 404)

    default._cp_config = {"response.stream": True}

    def _set_faults(self, body: dict[str, Any]) -> bytes:
        if cherrypy.request.method == "POST":
            with self._table.changed:
                self._stale = self._table.snapshot()
            cause = self._faults.set(body)
            if cause:
                return _serving.write_json({"error": cause}, 400)
        return _serving.write_json(self._faults.describe())

    def _read(self, body: dict[str, Any]) -> bytes:
        self._counts.add("reads")
        mode = self._faults.apply_to_request(_READ_MODES)
        if mode == "refuse":
            return _refusal()
        with self._table.changed:
            self._table.expire()
            table = self._stale if mode == "stale_reads" else self._table
            answer = self._range(body, table)
            answer["header"] = {"revision": str(table.revision)}
        return _serving.write_json(answer)

    def _write(
        self, handler: _serving.JsonHandler, body: dict[str, Any]
    ) -> bytes:
        self._counts.add("writes")
        mode = self._faults.apply_to_request(_WRITE_MODES)
        if mode == "refuse":
            return _refusal()
        with self._table.changed:
            self._table.expire()
            answer = handler(body)
            answer["header"] = {"revision": str(self._table.revision)}
            self._table.changed.notify_all()
        if mode == "lose_answers":
            return _serving.drop_connection()
        return _serving.write_json(answer)

    def _range(self, body: dict[str, Any], table: Table) -> dict[str, Any]:
        end = (
            base64.b64decode(body["range_end"])
            if body.get("range_end")
            else None
        )
        limit = int(body.get("limit", 0))
        keys, more = table.range(base64.b64decode(body["key"]), end, limit)
        return {"kvs": [_encoded(table, key) for key in keys], "more": more}

    def _txn(self, body: dict[str, Any]) -> dict[str, Any]:
        holds = all(
            self._holds(comparison) for comparison in body.get("compare", [])
        )
        operations = body.get("success" if holds else "failure", [])
        if any("request_range" not in operation for operation in operations):
            self._table.revision += 1
        responses = [self._operate(operation) for operation in operations]
        return {"succeeded": holds, "responses": responses}

    def _holds(self, comparison: dict[str, Any]) -> bool:
        entry = self._table.entry(base64.b64decode(comparison["key"]))
        if comparison["target"] == "CREATE":
            found = entry.create_revision if entry else 0
            return found == int(comparison["create_revision"])
        found = entry.mod_revision if entry else 0
        return found == int(comparison["mod_revision"])

    def _operate(self, operation: dict[str, Any]) -> dict[str, Any]:
        if "request_put" in operation:
            put = operation["request_put"]
            value = base64.b64decode(put.get("value", ""))
            self._table.put(
                base64.b64decode(put["key"]), value, int(put.get("lease", 0))
            )
            return {"response_put": {}}
        if "request_delete_range" in operation:
            self._table.delete(
                base64.b64decode(operation["request_delete_range"]["key"])
            )
            return {"response_delete_range": {}}
        return {
            "response_range": self._range(
                operation["request_range"], self._table
            )
        }

    def _grant(self, body: dict[str, Any]) -> dict[str, Any]:
        ttl_s = float(body["TTL"])
        return {"ID": str(self._table.grant(ttl_s)), "TTL": str(int(ttl_s))}

    def _keep(self, body: dict[str, Any]) -> dict[str, Any]:
        ttl_s = self._table.keep(int(body["ID"]))
        return {"result": {"ID": body["ID"], "TTL": str(int(ttl_s))}}

    def _revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        self._table.revoke(int(body["ID"]))
        return {}

    def _watch(self, request: dict[str, Any]) -> Iterator[bytes]:
        key = base64.b64decode(request["key"])
        end = base64.b64decode(request.get("range_end", "")) or key + b"\0"
        revision = (
            int(request.get("start_revision", 0)) or self._table.revision + 1
        )
        yield json.dumps({"result": {"created": True}}).encode() + b"\n"
        connection = _serving.request_socket()
        while self._faults.mode != "refuse":
            if _serving.is_closed_by_peer(connection):
                return
            with self._table.changed:
                found = self._table.events_from(revision)
                if not found:
                    self._table.changed.wait(WATCH_HEARTBEAT_S)
                    found = self._table.events_from(revision)
                oldest = self._table.compact_revision
            self._faults.wait_while_hung()
            if revision < oldest:
                cancelled = {"canceled": True, "compact_revision": str(oldest)}
                yield json.dumps({"result": cancelled}).encode() + b"\n"
                return
            if found:
                revision = found[-1][0] + 1
            events = [
                _encoded_event(event)
                for event in found
                if key <= event[2] < end
            ]
            if events:
                yield (
                    json.dumps({"result": {"events": events}}).encode() + b"\n"
                )


def _refusal() -> bytes:
    return _serving.write_json({"error": "unavailable", "code": 14}, 503)


def _encoded(table: Table, key: bytes) -> dict[str, Any]:
    entry = table.entry(key)
    assert entry is not None
    return _encoded_entry(key, entry)


def _encoded_entry(key: bytes, entry: Entry) -> dict[str, Any]:
    return {
        "key": base64.b64encode(key).decode(),
        "value": base64.b64encode(entry.value).decode(),
        "create_revision": str(entry.create_revision),
        "mod_revision": str(entry.mod_revision),
    }


def _encoded_event(
    event: tuple[int, str, bytes, Entry | None],
) -> dict[str, Any]:
    revision, kind, key, entry = event
    if entry is None:
        stored = {
            "key": base64.b64encode(key).decode(),
            "mod_revision": str(revision),
        }
    else:
        stored = _encoded_entry(key, entry)
    return {"type": kind, "kv": stored}
