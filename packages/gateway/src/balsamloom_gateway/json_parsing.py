"""Parsing of JSON that other programs wrote."""

from __future__ import annotations

import json
import math
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


def finite(value: Any) -> float:
    """Return a parsed value as a finite number.

    :raises ValueError: it is too large or not finite.
    :raises TypeError: it is no number.
    """
    try:
        number = float(value)
    except OverflowError as error:
        raise ValueError(str(error)) from error
    if not math.isfinite(number):
        raise ValueError("not a finite number")
    return number
