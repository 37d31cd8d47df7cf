"""Client of the key-value service, over the JSON gateway of etcd v3."""

from __future__ import annotations

import base64
import json
import time
from collections.abc import Iterator, Sequence
from typing import Any

import urllib3

from balsamloom_platform import http_errors, response_limits
from balsamloom_platform import store as stores

MAX_READ_ATTEMPTS = 3
MIN_TIMEOUT_S = 0.001


class EtcdGateway:
    """Client of the etcd v3 JSON gateway.

    :param address: ``host:port`` of the service.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._base = f"http://{address}"
        self._pool = response_limits.checked_pool(2, 16, retries=False)

    def get(
        self, key: str, timeout_ms: int = stores.DEFAULT_TIMEOUT_MS
    ) -> stores.Item | None:
        """Return the item of a key, ``None`` if the key does not exist.

        :param key: key to read.
        :param timeout_ms: maximum wait for the response.
        :raises StoreUnavailable: if the service does not respond in time.
        """
        payload = self._call(
            "kv/range", {"key": _encode(key)}, timeout_ms, writes=False
        )
        items = [_item(entry) for entry in payload.get("kvs", [])]
        return items[0] if items else None

    def list_keys(
        self,
        prefix: str,
        limit: int = 0,
        start: str = "",
        timeout_ms: int = stores.DEFAULT_TIMEOUT_MS,
    ) -> stores.Page:
        """Return the items whose keys have a prefix, in key order.

        :param prefix: prefix of the keys.
        :param limit: maximum number of items, zero for all.
        :param start: first key to return, the prefix by default.
        :param timeout_ms: maximum wait for the response.
        :raises StoreUnavailable: if the service does not respond in time.
        """
        body = {
            "key": _encode(start or prefix),
            "range_end": _encode_bytes(_prefix_end(prefix)),
            "limit": str(limit),
        }
        payload = self._call("kv/range", body, timeout_ms, writes=False)
        items = [_item(entry) for entry in payload.get("kvs", [])]
        revision = int(payload["header"]["revision"])
        return stores.Page(items, bool(payload.get("more", False)), revision)

    def commit(
        self,
        comparisons: Sequence[stores.Comparison],
        operations: Sequence[stores.Operation],
        timeout_ms: int = stores.DEFAULT_TIMEOUT_MS,
    ) -> stores.Committed | stores.Conflict:
        """Apply all operations if all comparisons hold.

        :param comparisons: conditions on keys.
        :param operations: writes and deletions.
        :param timeout_ms: maximum wait for the response.
        :raises StoreUnavailable: if the request fails; the write may have been
            applied if ``may_have_applied`` is set.
        """
        body = {
            "compare": [_compare(comparison) for comparison in comparisons],
            "success": [_operation(operation) for operation in operations],
            "failure": [
                {"request_range": {"key": _encode(comparison.key)}}
                for comparison in comparisons
            ],
        }
        payload = self._call("kv/txn", body, timeout_ms, writes=True)
        revision = int(payload["header"]["revision"])
        if payload.get("succeeded", False):
            return stores.Committed(revision)
        current: dict[str, stores.Item] = {}
        for response in payload.get("responses", []):
            for entry in response.get("response_range", {}).get("kvs", []):
                item = _item(entry)
                current[item.key] = item
        return stores.Conflict(revision, current)

    def watch(
        self, prefix: str, from_revision: int, timeout_ms: int
    ) -> Iterator[list[stores.Change]]:
        """Yield changes as they arrive, until none does within a timeout.

        :param prefix: prefix of the keys.
        :param from_revision: first revision to return.
        :param timeout_ms: maximum time without data.
        :raises StoreUnavailable: if the service cannot be reached or cancels
            the watch.
        """
        body = {
            "create_request": {
                "key": _encode(prefix),
                "range_end": _encode_bytes(_prefix_end(prefix)),
                "start_revision": str(from_revision),
            }
        }
        timeout = urllib3.Timeout(
            connect=stores.DEFAULT_TIMEOUT_MS / 1000, read=timeout_ms / 1000
        )
        response: urllib3.BaseHTTPResponse | None = None
        try:
            response = self._pool.request(
                "POST",
                f"{self._base}/v3/watch",
                json=body,
                timeout=timeout,
                preload_content=False,
            )
            if response.status != 200:
                message = f"watch: status {response.status}"
                raise stores.StoreUnavailable(message, False)
            yield from _iter_changes(response)
        except urllib3.exceptions.ReadTimeoutError:
            return
        except (urllib3.exceptions.HTTPError, ValueError, KeyError) as error:
            raise stores.StoreUnavailable(
                f"watch: {error!r}", False
            ) from error
        finally:
            # An unfinished watch must not return to the pool: the next
            # request on its connection would read events as its response.
            if response is not None:
                response.close()

    def grant_lease(self, ttl_ms: int) -> int:
        """Grant a lease and return its identifier.

        :param ttl_ms: time to live, rounded up to whole seconds.
        """
        body = {"TTL": str(-(-ttl_ms // 1000))}
        return int(
            self._call(
                "lease/grant", body, stores.DEFAULT_TIMEOUT_MS, writes=True
            )["ID"]
        )

    def renew_lease(self, lease_id: int) -> bool:
        """Renew a lease; return false if it has expired.

        :param lease_id: identifier from :meth:`grant_lease`.
        """
        body = {"ID": str(lease_id)}
        payload = self._call(
            "lease/keepalive", body, stores.DEFAULT_TIMEOUT_MS, writes=True
        )
        return int(payload.get("result", {}).get("TTL", "0")) > 0

    def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease, which deletes its keys.

        :param lease_id: identifier from :meth:`grant_lease`.
        """
        self._call(
            "lease/revoke",
            {"ID": str(lease_id)},
            stores.DEFAULT_TIMEOUT_MS,
            writes=True,
        )

    def _call(
        self, path: str, body: dict[str, Any], timeout_ms: int, writes: bool
    ) -> dict[str, Any]:
        response = self._send(path, body, timeout_ms, writes)
        if response.status != 200:
            message = f"{path}: status {response.status}"
            raise stores.StoreUnavailable(
                message, writes and response.status >= 500
            )
        try:
            payload: dict[str, Any] = response.json()
        except ValueError as error:
            raise stores.StoreUnavailable(
                f"{path}: invalid response", writes
            ) from error
        return payload

    def _error_message(self, path: str, error: Exception) -> str:
        return f"{path} at {self._address}: {http_errors.describe(error)}"

    def _send(
        self, path: str, body: dict[str, Any], timeout_ms: int, writes: bool
    ) -> urllib3.BaseHTTPResponse:
        """Send a request; retry a read if its connection is lost.

        The service may close an idle connection just as a request is sent on
        it. A read is then retried; a write is not, as it may have been
        applied.
        """
        deadline_s = time.monotonic() + timeout_ms / 1000
        attempts_left = 1 if writes else MAX_READ_ATTEMPTS
        while True:
            attempts_left -= 1
            remaining_s = max(deadline_s - time.monotonic(), MIN_TIMEOUT_S)
            try:
                return self._pool.request(
                    "POST",
                    f"{self._base}/v3/{path}",
                    json=body,
                    timeout=urllib3.Timeout(total=remaining_s),
                )
            except (
                urllib3.exceptions.NewConnectionError,
                urllib3.exceptions.ConnectTimeoutError,
            ) as error:
                raise stores.StoreUnavailable(
                    self._error_message(path, error), False
                ) from error
            except urllib3.exceptions.ProtocolError as error:
                if attempts_left == 0 or time.monotonic() >= deadline_s:
                    raise stores.StoreUnavailable(
                        self._error_message(path, error), writes
                    ) from error
            except urllib3.exceptions.HTTPError as error:
                raise stores.StoreUnavailable(
                    self._error_message(path, error), writes
                ) from error


def _iter_changes(
    response: urllib3.BaseHTTPResponse,
) -> Iterator[list[stores.Change]]:
    pending = b""
    for chunk in response.stream(65536):
        *lines, pending = (pending + chunk).split(b"\n")
        for line in lines:
            result = json.loads(line)["result"]
            if result.get("canceled"):
                revision = result.get("compact_revision", "unknown")
                message = f"watch: cancelled, oldest revision is {revision}"
                raise stores.StoreUnavailable(message, False)
            changes = [_change(entry) for entry in result.get("events", [])]
            if changes:
                yield changes


def _change(entry: dict[str, Any]) -> stores.Change:
    item = _item(entry["kv"])
    if entry.get("type", "PUT") == "DELETE":
        return stores.Change(item.key, None, item.mod_revision)
    return stores.Change(item.key, item, item.mod_revision)


def _item(entry: dict[str, Any]) -> stores.Item:
    return stores.Item(
        base64.b64decode(entry["key"]).decode(),
        base64.b64decode(entry.get("value", "")),
        int(entry.get("create_revision", "0")),
        int(entry.get("mod_revision", "0")),
    )


def _compare(comparison: stores.Comparison) -> dict[str, Any]:
    match comparison:
        case stores.KeyAbsent(key):
            return {
                "key": _encode(key),
                "target": "CREATE",
                "result": "EQUAL",
                "create_revision": "0",
            }
        case stores.RevisionIs(key, mod_revision):
            return {
                "key": _encode(key),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(mod_revision),
            }


def _operation(operation: stores.Operation) -> dict[str, Any]:
    match operation:
        case stores.Put(key, value, lease_id):
            return {
                "request_put": {
                    "key": _encode(key),
                    "value": _encode_bytes(value),
                    "lease": str(lease_id),
                }
            }
        case stores.Delete(key):
            return {"request_delete_range": {"key": _encode(key)}}


def _prefix_end(prefix: str) -> bytes:
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1])


def _encode(text: str) -> str:
    return _encode_bytes(text.encode())


def _encode_bytes(raw: bytes) -> str:
    return base64.b64encode(raw).decode()
