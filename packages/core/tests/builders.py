"""Builders of test data."""

TIMEOUT = {"type": "integer", "minimum": 1, "maximum": 60000, "default": 2000}
STORE = {"timeout_ms": TIMEOUT, "mode": {"enum": ["a", "b"]}}
ENGINES = {"type": "array", "items": {"type": "string"}, "default": []}
SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["name"],
    "properties": {
        "name": {"type": "string", "minLength": 1},
        "rate": {"type": "number", "exclusiveMinimum": 0, "default": 3.5},
        "engines": ENGINES,
        "store": {"type": "object", "properties": STORE, "default": {}},
    },
}


def settings(**fields):
    return {"name": "e1", **fields}
