"""Parsing of JSON that other programs wrote."""

from __future__ import annotations

import json
from typing import Any


def parse(data: bytes) -> Any:
    """Parse a JSON document.

    :raises ValueError: it is malformed or nested too deeply.
    """
    try:
        return json.loads(data)
    except RecursionError as error:
        raise ValueError("the document is nested too deeply") from error


def parse_object(data: bytes) -> dict[str, Any]:
    """Parse a JSON object.

    :raises ValueError: it is malformed, nested too deeply or no object.
    """
    document = parse(data)
    if not isinstance(document, dict):
        raise ValueError("the document is not a JSON object")
    return document
