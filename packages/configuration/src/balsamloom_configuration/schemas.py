"""JSON Schemas of the section kinds, listed in ``docs/settings.md``."""

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


def _integer(minimum: int, maximum: int, default: int | None = None) -> Schema:
    schema: Schema = {
        "type": "integer",
        "minimum": minimum,
        "maximum": maximum,
    }
    return schema if default is None else {**schema, "default": default}


def _number(minimum: float, maximum: float, default: float) -> Schema:
    return {
        "type": "number",
        "minimum": minimum,
        "maximum": maximum,
        "default": default,
    }


def _boolean() -> Schema:
    return {"type": "boolean", "default": False}


def _object(required: list[str], **properties: Schema) -> Schema:
    return {
        "type": "object",
        "additionalProperties": False,
        "required": required,
        "properties": properties,
    }


def _map_of(entry: Schema) -> Schema:
    return {
        "type": "object",
        "propertyNames": NAME,
        "additionalProperties": entry,
    }


SERVER = _object(
    ["id", "address"],
    id=NAME,
    address=ADDRESS,
    concurrency=_integer(1, MAX_CONCURRENCY, 8),
    draining=_boolean(),
    incarnation=_integer(0, 2**53, 0),
)
SERVERS: Schema = {
    "type": "array",
    "items": SERVER,
    "minItems": 1,
    "maxItems": MAX_SERVERS,
}
MODEL = _object(
    ["servers"],
    servers=SERVERS,
    max_tokens=_integer(1, MAX_TOKENS, 4_096),
    history_tokens=_integer(1, MAX_TOKENS, 130_000),
)
OPERATION = _object(
    [],
    idempotent=_boolean(),
    timeout_ms=_integer(1, MAX_MS, 30_000),
)
SERVICE = _object(
    ["servers"],
    servers=SERVERS,
    operations={**_map_of(OPERATION), "default": {}},
)
BUDGET = _object(
    [],
    generated_tokens=_integer(1, 10**12, 200_000),
    calls=_integer(1, 10**9, 200),
    wall_ms=_integer(1, 30 * MAX_MS, 3_600_000),
)
CUSTOMER = _object(
    [],
    share=_number(0.001, 1_000, 1),
    entry_hosts={"type": "array", "items": ADDRESS, "default": []},
    default_budget={**BUDGET, "default": {}},
    urgent_share=_number(0, 1, 0.2),
)
ENGINE = _object(
    ["model"],
    model=NAME,
    adapter={"type": "string", "maxLength": 128, "default": ""},
    role={**NAME, "default": "mixed"},
    version=_integer(0, 2**53, 0),
    ignores_fence=_boolean(),
)
# The policies define the schemas of their settings. Without those schemas, any
# number, string or boolean is accepted, with at most one level of nesting.
_SCALAR: Schema = {"type": ["number", "string", "boolean"]}
PERMISSIVE: Schema = {
    "type": "object",
    "propertyNames": NAME,
    "additionalProperties": {
        "type": ["number", "string", "boolean", "object"],
        "propertyNames": NAME,
        "additionalProperties": _SCALAR,
    },
}

SECTIONS: dict[str, Schema] = {
    "models": _map_of(MODEL),
    "services": _map_of(SERVICE),
    "customers": _map_of(CUSTOMER),
    "routing": PERMISSIVE,
    "limits": PERMISSIVE,
    "engines": _map_of(ENGINE),
}
