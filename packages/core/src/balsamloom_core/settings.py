"""JSON settings files, validated against a JSON Schema."""

from __future__ import annotations

import copy
import json
import math
import pathlib
from collections.abc import Iterable
from typing import Any, NamedTuple

import jsonschema
from jsonschema import validators

from balsamloom_core import errors, results

MAX_SHOWN_LENGTH = 80
ROOT_PATH = "document"


class SettingsError(errors.BalsamloomError):
    """The settings are invalid.

    :param path: path in the document, as ``a.b[0].c``.
    :param message: the value found and the values accepted.
    """

    def __init__(self, path: str, message: str) -> None:
        super().__init__(
            results.ResultCode.SETTINGS_INVALID, f"{path}: {message}"
        )
        self.path = path


class Problem(NamedTuple):
    """Invalid value of a document."""

    path: str
    found: str
    accepted: str

    def __str__(self) -> str:
        return f"{self.path}: {self.found}; accepted: {self.accepted}"


def _is_integer(_: Any, value: Any) -> bool:
    # JSON Schema accepts 1.0 as an integer; range() and slices do not.
    return isinstance(value, int) and not isinstance(value, bool)


_VALIDATOR = validators.extend(  # type: ignore[no-untyped-call]
    jsonschema.Draft202012Validator,
    type_checker=jsonschema.Draft202012Validator.TYPE_CHECKER.redefine(
        "integer", _is_integer
    ),
)


def problems(document: Any, schema: dict[str, Any]) -> list[Problem]:
    """Return all problems of a document.

    :param document: decoded JSON.
    :param schema: JSON Schema, draft 2020-12.
    :return: problems sorted by path.
    """
    found: list[Problem] = []
    for error in _VALIDATOR(schema).iter_errors(document):
        found.extend(_problems_of(error))
    return sorted(found)


def check(document: Any, schema: dict[str, Any]) -> None:
    """Validate a document.

    :param document: decoded JSON.
    :param schema: JSON Schema, draft 2020-12.
    :raises SettingsError: with the path, found value and accepted values of
        the first problem.
    """
    found = problems(document, schema)
    if found:
        first = found[0]
        raise SettingsError(
            first.path, f"{first.found}; accepted: {first.accepted}"
        )


def with_defaults(
    document: dict[str, Any], schema: dict[str, Any]
) -> dict[str, Any]:
    """Return a copy of the document with the schema's defaults filled in.

    :param document: valid document.
    :param schema: schema whose ``default`` values are used, also in nested
        objects and lists.
    """
    filled: dict[str, Any] = _fill_defaults(document, schema)
    return filled


def _fill_defaults(value: Any, schema: dict[str, Any]) -> Any:
    if isinstance(value, list):
        return [
            _fill_defaults(entry, schema.get("items", {})) for entry in value
        ]
    if not isinstance(value, dict):
        return value
    parts = schema.get("properties", {})
    other = schema.get("additionalProperties")
    result = {
        name: _fill_defaults(
            part, parts.get(name, other if isinstance(other, dict) else {})
        )
        for name, part in value.items()
    }
    for name, part in parts.items():
        if name not in result and "default" in part:
            # Callers may change the result, which must not change the schema.
            result[name] = _fill_defaults(copy.deepcopy(part["default"]), part)
    return result


def parse(text: str | bytes) -> Any:
    """Decode JSON strictly.

    Non-finite numbers and duplicate keys are rejected: a range check does not
    catch NaN, and ``json`` would silently drop one of two equal keys.

    :param text: JSON text.
    :raises ValueError: if the text is not strict JSON.
    """
    return json.loads(
        text,
        parse_constant=_parse_finite,
        parse_float=_parse_finite,
        object_pairs_hook=_reject_duplicate_keys,
    )


def load(path: pathlib.Path, schema: dict[str, Any]) -> dict[str, Any]:
    """Read and validate a settings file.

    :param path: JSON file.
    :param schema: JSON Schema of the file.
    :return: the document with defaults filled in.
    :raises SettingsError: if the file cannot be read, is not JSON or violates
        the schema.
    """
    try:
        document = parse(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(
            str(path),
            f"cannot be read: {error.strerror}; accepted: a readable file",
        ) from error
    except ValueError as error:
        raise SettingsError(
            str(path), f"is not JSON: {error}; accepted: a JSON object"
        ) from error
    check(document, schema)
    return with_defaults(document, schema)


def format_value(value: Any) -> str:
    """Return a value as JSON, truncated for use in a message.

    :param value: JSON-compatible value.
    """
    text = json.dumps(value, ensure_ascii=False)
    if len(text) > MAX_SHOWN_LENGTH:
        return text[: MAX_SHOWN_LENGTH - 3] + "..."
    return text


def format_path(parts: Iterable[str | int]) -> str:
    """Return a path as ``a.b[0].c``, or ``document`` for the root.

    :param parts: keys and list indices from the root.
    """
    path = ""
    for part in parts:
        if isinstance(part, int):
            path += f"[{part}]"
        else:
            path += f".{part}" if path else part
    return path or ROOT_PATH


def _parse_finite(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"number {text} is not finite")
    return value


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result: dict[str, Any] = {}
    for key, value in pairs:
        if key in result:
            raise ValueError(f"key {key!r} occurs twice in one object")
        result[key] = value
    return result


def _problems_of(error: Any) -> list[Problem]:
    parts = list(error.absolute_path)
    rule: Any = error.validator_value
    match error.validator:
        case "required":
            return [
                Problem(format_path([*parts, name]), "is missing", "a value")
                for name in rule
                if name not in error.instance
            ][:1]
        case "additionalProperties" if rule is False:
            return _unknown_keys(error, parts)
    value = f"value {format_value(error.instance)} is not accepted"
    return [
        Problem(format_path(parts), value, _describe_accepted(error, rule))
    ]


def _unknown_keys(error: Any, parts: list[str | int]) -> list[Problem]:
    known = sorted(error.schema.get("properties", {}))
    accepted = "keys " + ", ".join(known) if known else "no keys"
    return [
        Problem(
            format_path([*parts, name]),
            f"unknown key with value {format_value(value)}",
            accepted,
        )
        for name, value in error.instance.items()
        if name not in known
    ]


def _describe_accepted(error: Any, rule: Any) -> str:
    schema: dict[str, Any] = error.schema
    match error.validator:
        case "type":
            kinds = [rule] if isinstance(rule, str) else rule
            return " or ".join(kinds) + _describe_range(schema)
        case "minimum" | "maximum" | "exclusiveMinimum" | "exclusiveMaximum":
            return f"{schema.get('type', 'number')}{_describe_range(schema)}"
        case "enum":
            return "one of " + ", ".join(format_value(value) for value in rule)
        case "pattern":
            return str(schema.get("description", f"text matching {rule}"))
        case "minLength" | "minItems" | "minProperties":
            return f"at least {rule} {_length_unit(error.validator)}"
        case "maxLength" | "maxItems" | "maxProperties":
            return f"at most {rule} {_length_unit(error.validator)}"
        case _:
            return f"{error.validator} {format_value(rule)}"


def _length_unit(rule: str) -> str:
    units = {"Length": "characters", "Items": "entries", "Properties": "keys"}
    return units[rule[3:]]


def _describe_range(schema: dict[str, Any]) -> str:
    limits = {
        "minimum": "at least",
        "exclusiveMinimum": "above",
        "maximum": "at most",
        "exclusiveMaximum": "below",
    }
    texts = [
        f"{words} {schema[name]}"
        for name, words in limits.items()
        if name in schema
    ]
    return " " + " and ".join(texts) if texts else ""
