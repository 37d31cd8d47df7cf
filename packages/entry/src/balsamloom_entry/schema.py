"""Settings of an entry process."""

from __future__ import annotations

from typing import Any, TypedDict

_PORT = r"(\d{1,4}|[1-5]\d{4}|6[0-4]\d{3}|65[0-4]\d{2}|655[0-2]\d|6553[0-5])"
ADDRESS_PATTERN = rf"^[^:\s]+:{_PORT}$"


class EntrySettings(TypedDict):
    """Checked settings with defaults filled in."""

    name: str
    http_address: str
    peer_address: str
    seed_peers: list[str]
    failure_domain: str
    store_address: str
    host_list_address: str
    statsd_address: str
    http_threads: int
    max_body_bytes: int
    commits_per_s: float
    commit_burst: int
    address_valid_ms: int
    stop_timeout_ms: int
    linger_ms: int
    log_level: str
    fault_injection: bool
    seed: int


def _address(default: str | None = None) -> dict[str, Any]:
    empty = "^$|" if default == "" else ""
    pattern = empty + ADDRESS_PATTERN
    schema: dict[str, Any] = {"type": "string", "pattern": pattern}
    return schema if default is None else {**schema, "default": default}


def _integer(default: int, low: int, high: int) -> dict[str, Any]:
    return {
        "type": "integer",
        "minimum": low,
        "maximum": high,
        "default": default,
    }


SCHEMA: dict[str, Any] = {
    "$schema": "https://json-schema.org/draft/2020-12/schema",
    "type": "object",
    "additionalProperties": False,
    "required": ["name", "http_address", "failure_domain", "store_address"],
    "properties": {
        "name": {"type": "string", "pattern": "^[A-Za-z0-9_.-]{1,64}$"},
        "http_address": _address(),
        "peer_address": _address("127.0.0.1:0"),
        "seed_peers": {
            "type": "array",
            "items": _address(),
            "default": [],
        },
        "failure_domain": {"type": "string", "minLength": 1},
        "store_address": _address(),
        "host_list_address": _address(""),
        "statsd_address": _address(""),
        "http_threads": _integer(256, 8, 2_000),
        "max_body_bytes": _integer(1_000_000, 1_000, 4_000_000),
        "commits_per_s": {
            "type": "number",
            "exclusiveMinimum": 0,
            "maximum": 1_000,
            "default": 3.5,
        },
        "commit_burst": _integer(8, 1, 1_000),
        "address_valid_ms": _integer(5_000, 100, 60_000),
        "stop_timeout_ms": _integer(120_000, 0, 3_600_000),
        "linger_ms": _integer(5_000, 0, 60_000),
        "log_level": {
            "enum": ["DEBUG", "INFO", "WARNING", "ERROR"],
            "default": "INFO",
        },
        "fault_injection": {"type": "boolean", "default": False},
        "seed": _integer(0, 0, 2**31),
    },
}
