"""Settings files: JSON, checked against a schema before anything starts."""

from __future__ import annotations

import json
import pathlib
from typing import Any

import jsonschema

from balsamloom_core import errors, results


class SettingsError(errors.BalsamloomError):
    """The settings are not valid.

    :param path: place in the document, as ``a.b.c``.
    :param message: what was found and what is accepted.
    """

    def __init__(self, path: str, message: str) -> None:
        super().__init__(
            results.ResultCode.SETTINGS_INVALID, f"{path}: {message}"
        )
        self.path = path


def check(document: Any, schema: dict[str, Any]) -> None:
    """Check a document.

    :param document: decoded JSON.
    :param schema: JSON Schema, draft 2020-12.
    :raises SettingsError: with the path, the value and what is accepted.
    """
    validator = jsonschema.Draft202012Validator(schema)
    found = sorted(
        validator.iter_errors(document), key=lambda error: error.json_path
    )
    if found:
        first = found[0]
        path = (
            first.json_path.removeprefix("$").removeprefix(".") or "document"
        )
        raise SettingsError(path, first.message)


def with_defaults(
    document: dict[str, Any], schema: dict[str, Any]
) -> dict[str, Any]:
    """Return the document with the schema's defaults filled in.

    :param document: checked document; it is not changed.
    :param schema: schema whose ``default`` values are used, in nested objects
        too.
    """
    result = dict(document)
    for name, part in schema.get("properties", {}).items():
        if name not in result and "default" in part:
            result[name] = part["default"]
        if isinstance(result.get(name), dict) and part.get("type") == "object":
            result[name] = with_defaults(result[name], part)
    return result


def load(path: pathlib.Path, schema: dict[str, Any]) -> dict[str, Any]:
    """Read and check a settings file.

    :param path: JSON file.
    :param schema: JSON Schema of the file.
    :return: the document with defaults filled in.
    :raises SettingsError: if the file cannot be read, is no JSON or fails the
        schema.
    """
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(
            str(path), f"cannot be read: {error.strerror}"
        ) from error
    except ValueError as error:
        raise SettingsError(str(path), f"is not JSON: {error}") from error
    check(document, schema)
    return with_defaults(document, schema)
