"""Builders of core test data."""

SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["name"],
    "properties": {
        "name": {"type": "string", "minLength": 1},
        "rate": {"type": "number", "exclusiveMinimum": 0, "default": 3.5},
        "engines": {
            "type": "array",
            "items": {"type": "string"},
            "default": [],
        },
        "store": {
            "type": "object",
            "properties": {
                "timeout_ms": {
                    "type": "integer",
                    "minimum": 1,
                    "maximum": 60000,
                    "default": 2000,
                },
                "mode": {"enum": ["a", "b"]},
            },
            "default": {},
        },
    },
}


def settings(**fields):
    return {"name": "e1", **fields}
