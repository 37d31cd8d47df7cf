"""Stand-in for the key-value service: a subset of the etcd v3 JSON gateway.

Serves range, txn, watch and leases from memory. ``POST /faults`` injects
faults and ``GET /stats`` returns counts of calls.
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
MAX_EVENTS = 100_000
# Hung requests occupy threads, and /faults must still be served.
THREADS = 512

_READ_MODES = ("refuse", "hang", "slow", "stale_reads")
_WRITE_MODES = ("refuse", "hang", "slow", "lose_answers")
_WATCH_MODES = ("refuse", "hang", "slow")


@dataclasses.dataclass
class Entry:
    """Value, revisions and lease of a key."""

    value: bytes
    create_revision: int
    mod_revision: int
    lease_id: int


class KeyTable:
    """Keys, revisions and leases.

    Callers hold ``changed``, and notify it after writes to wake watches.
    """

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.revision = 1
        self.compact_revision = 0
        self._entries: dict[bytes, Entry] = {}
        self._keys: list[bytes] = []
        self._events: list[tuple[int, str, bytes, Entry | None]] = []
        self._lease_ids = itertools.count(1000)
        self._leases: dict[int, tuple[float, float]] = {}

    def snapshot(self) -> KeyTable:
        """Return a copy for reading, as of the current revision."""
        copied = copy.copy(self)
        copied._entries = dict(self._entries)
        copied._keys = list(self._keys)
        return copied

    def range(
        self, key: bytes, end: bytes | None, limit: int
    ) -> tuple[list[bytes], bool]:
        """Return the keys of a range and whether the limit truncated them."""
        if end is None:
            return ([key] if key in self._entries else []), False
        first = bisect.bisect_left(self._keys, key)
        last = bisect.bisect_left(self._keys, end)
        found = self._keys[first:last]
        if limit and len(found) > limit:
            return found[:limit], True
        return found, False

    def entry(self, key: bytes) -> Entry | None:
        """Return the entry of a key, or None."""
        return self._entries.get(key)

    def put(self, key: bytes, value: bytes, lease_id: int) -> None:
        """Write one key at the current revision."""
        old = self._entries.get(key)
        created = old.create_revision if old else self.revision
        entry = Entry(value, created, self.revision, lease_id)
        if old is None:
            bisect.insort(self._keys, key)
        self._entries[key] = entry
        self._record("PUT", key, entry)

    def delete(self, key: bytes) -> None:
        """Remove one key at the current revision."""
        if self._entries.pop(key, None) is not None:
            del self._keys[bisect.bisect_left(self._keys, key)]
            self._record("DELETE", key, None)

    def events_from(
        self, revision: int
    ) -> list[tuple[int, str, bytes, Entry | None]]:
        """Return the changes at or after a revision."""
        first = bisect.bisect_left(
            self._events, revision, key=lambda event: event[0]
        )
        return self._events[first:]

    def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its identifier."""
        lease_id = next(self._lease_ids)
        self._leases[lease_id] = (ttl_s, time.monotonic() + ttl_s)
        return lease_id

    def renew_lease(self, lease_id: int) -> float:
        """Renew a lease and return its TTL, or zero if it has expired."""
        if lease_id not in self._leases:
            return 0
        ttl_s = self._leases[lease_id][0]
        self._leases[lease_id] = (ttl_s, time.monotonic() + ttl_s)
        return ttl_s

    def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys."""
        self._leases.pop(lease_id, None)
        attached_keys = [
            key
            for key, entry in self._entries.items()
            if entry.lease_id == lease_id
        ]
        if attached_keys:
            self.revision += 1
        for key in attached_keys:
            self.delete(key)

    def expire_leases(self) -> None:
        """Revoke the leases whose TTL has passed."""
        now_s = time.monotonic()
        for lease_id in [
            key for key, (_, end_s) in self._leases.items() if end_s < now_s
        ]:
            self.revoke_lease(lease_id)

    def _record(self, kind: str, key: bytes, entry: Entry | None) -> None:
        self._events.append((self.revision, kind, key, entry))
        if len(self._events) > MAX_EVENTS:
            del self._events[: MAX_EVENTS // 2]
            # Some changes of the first kept revision may have been deleted.
            self.compact_revision = self._events[0][0] + 1


class StoreStandin:
    """CherryPy handlers of the JSON gateway."""

    def __init__(self) -> None:
        self._table = KeyTable()
        self._stale_table = self._table
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
                return self._write(self._renew, body)
            case ("v3", "lease", "revoke"):
                return self._write(self._revoke, body)
            case ("v3", "watch"):
                self._counts.add("watches")
                if self._faults.apply_to_request(_WATCH_MODES) == "refuse":
                    return _unavailable_response()
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
                self._stale_table = self._table.snapshot()
            error = self._faults.set(body)
            if error:
                return _serving.write_json({"error": error}, 400)
        return _serving.write_json(self._faults.describe())

    def _read(self, body: dict[str, Any]) -> bytes:
        self._counts.add("reads")
        mode = self._faults.apply_to_request(_READ_MODES)
        if mode == "refuse":
            return _unavailable_response()
        with self._table.changed:
            self._table.expire_leases()
            table = self._stale_table if mode == "stale_reads" else self._table
            answer = self._range(body, table)
            answer["header"] = {"revision": str(table.revision)}
        return _serving.write_json(answer)

    def _write(
        self, handler: _serving.JsonHandler, body: dict[str, Any]
    ) -> bytes:
        self._counts.add("writes")
        mode = self._faults.apply_to_request(_WRITE_MODES)
        if mode == "refuse":
            return _unavailable_response()
        with self._table.changed:
            self._table.expire_leases()
            answer = handler(body)
            answer["header"] = {"revision": str(self._table.revision)}
            self._table.changed.notify_all()
        if mode == "lose_answers":
            return _serving.drop_connection()
        return _serving.write_json(answer)

    def _range(self, body: dict[str, Any], table: KeyTable) -> dict[str, Any]:
        end = (
            base64.b64decode(body["range_end"])
            if body.get("range_end")
            else None
        )
        limit = int(body.get("limit", 0))
        keys, more = table.range(base64.b64decode(body["key"]), end, limit)
        return {"kvs": [_encode_key(table, key) for key in keys], "more": more}

    def _txn(self, body: dict[str, Any]) -> dict[str, Any]:
        succeeds = all(
            self._is_true(comparison) for comparison in body.get("compare", [])
        )
        operations = body.get("success" if succeeds else "failure", [])
        if any("request_range" not in operation for operation in operations):
            self._table.revision += 1
        responses = [self._apply(operation) for operation in operations]
        return {"succeeded": succeeds, "responses": responses}

    def _is_true(self, comparison: dict[str, Any]) -> bool:
        entry = self._table.entry(base64.b64decode(comparison["key"]))
        if comparison["target"] == "CREATE":
            found = entry.create_revision if entry else 0
            return found == int(comparison["create_revision"])
        found = entry.mod_revision if entry else 0
        return found == int(comparison["mod_revision"])

    def _apply(self, operation: dict[str, Any]) -> dict[str, Any]:
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
        return {
            "ID": str(self._table.grant_lease(ttl_s)),
            "TTL": str(int(ttl_s)),
        }

    def _renew(self, body: dict[str, Any]) -> dict[str, Any]:
        ttl_s = self._table.renew_lease(int(body["ID"]))
        return {"result": {"ID": body["ID"], "TTL": str(int(ttl_s))}}

    def _revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        self._table.revoke_lease(int(body["ID"]))
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
                _encode_event(event)
                for event in found
                if key <= event[2] < end
            ]
            if events:
                yield (
                    json.dumps({"result": {"events": events}}).encode() + b"\n"
                )


def _unavailable_response() -> bytes:
    return _serving.write_json({"error": "unavailable", "code": 14}, 503)


def _encode_key(table: KeyTable, key: bytes) -> dict[str, Any]:
    entry = table.entry(key)
    assert entry is not None
    return _encode_entry(key, entry)


def _encode_entry(key: bytes, entry: Entry) -> dict[str, Any]:
    return {
        "key": base64.b64encode(key).decode(),
        "value": base64.b64encode(entry.value).decode(),
        "create_revision": str(entry.create_revision),
        "mod_revision": str(entry.mod_revision),
    }


def _encode_event(
    event: tuple[int, str, bytes, Entry | None],
) -> dict[str, Any]:
    revision, kind, key, entry = event
    if entry is None:
        stored = {
            "key": base64.b64encode(key).decode(),
            "mod_revision": str(revision),
        }
    else:
        stored = _encode_entry(key, entry)
    return {"type": kind, "kv": stored}
