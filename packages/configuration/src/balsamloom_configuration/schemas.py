"""JSON Schemas of the section kinds. ``docs/settings.md`` lists the values."""

from __future__ import annotations

from typing import Any

MAX_TOKENS = 1_000_000
MAX_MS = 86_400_000
MAX_CONCURRENCY = 10_000
MAX_SERVERS = 8_000

Schema = dict[str, Any]

NAME: Schema = {
    "type": "string",
    "pattern": r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$",
    "description": "1 to 128 letters, digits, dots, hyphens or underscores",
}
ADDRESS: Schema = {
    "type": "string",
    "pattern": r"^[A-Za-z0-9.\-\[\]:]+:[0-9]{1,5}$",
    "description": "host:port",
}


def _whole(minimum: int, maximum: int, default: int | None = None) -> Schema:
    schema: Schema = {
        "type": "integer",
        "minimum": minimum,
        "maximum": maximum,
    }
    return schema if default is None else {**schema, "default": default}


def _share(minimum: float, maximum: float, default: float) -> Schema:
    return {
        "type": "number",
        "minimum": minimum,
        "maximum": maximum,
        "default": default,
    }


def _flag() -> Schema:
    return {"type": "boolean", "default": False}


def _closed(required: list[str], **properties: Schema) -> Schema:
    return {
        "type": "object",
        "additionalProperties": False,
        "required": required,
        "properties": properties,
    }


def _named(entry: Schema) -> Schema:
    return {
        "type": "object",
        "propertyNames": NAME,
        "additionalProperties": entry,
    }


SERVER = _closed(
    ["id", "address"],
    id=NAME,
    address=ADDRESS,
    concurrency=_whole(1, MAX_CONCURRENCY, 8),
    draining=_flag(),
    incarnation=_whole(0, 2**53, 0),
)
SERVERS: Schema = {
    "type": "array",
    "items": SERVER,
    "minItems": 1,
    "maxItems": MAX_SERVERS,
}
MODEL = _closed(
    ["servers"],
    servers=SERVERS,
    max_tokens=_whole(1, MAX_TOKENS, 4_096),
    history_tokens=_whole(1, MAX_TOKENS, 130_000),
)
OPERATION = _closed(
    [],
    idempotent=_flag(),
    timeout_ms=_whole(1, MAX_MS, 30_000),
)
SERVICE = _closed(
    ["servers"],
    servers=SERVERS,
    operations={**_named(OPERATION), "default": {}},
)
BUDGET = _closed(
    [],
    generated_tokens=_whole(1, 10**12, 200_000),
    calls=_whole(1, 10**9, 200),
    wall_ms=_whole(1, 30 * MAX_MS, 3_600_000),
)
CUSTOMER = _closed(
    [],
    share=_share(0.001, 1_000, 1),
    entry_hosts={"type": "array", "items": ADDRESS, "default": []},
    default_budget={**BUDGET, "default": {}},
    urgent_share=_share(0, 1, 0.2),
)
ENGINE = _closed(
    ["model"],
    model=NAME,
    adapter={"type": "string", "maxLength": 128, "default": ""},
    role={**NAME, "default": "mixed"},
    version=_whole(0, 2**53, 0),
    ignores_fence=_flag(),
)
# The policies define their settings; until their schemas are passed in, any
# number, text or flag is taken, one level of groups deep.
_VALUE: Schema = {"type": ["number", "string", "boolean"]}
PERMISSIVE: Schema = {
    "type": "object",
    "propertyNames": NAME,
    "additionalProperties": {
        "type": ["number", "string", "boolean", "object"],
        "propertyNames": NAME,
        "additionalProperties": _VALUE,
    },
}

SECTIONS: dict[str, Schema] = {
    "models": _named(MODEL),
    "services": _named(SERVICE),
    "customers": _named(CUSTOMER),
    "routing": PERMISSIVE,
    "limits": PERMISSIVE,
    "engines": _named(ENGINE),
}
