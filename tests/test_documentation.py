"""Compares the tables under docs/ with the code, both ways."""

import importlib
import json
import pathlib
import re
import unittest
from importlib import util

from balsamloom_cli import entry_settings
from balsamloom_configuration import schemas
from balsamloom_core import events, metric_names, results

DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"
UNITS = {"_ms": "ms", "_tokens": "tokens", "_bytes": "bytes"}


def table(name, heading=None):
    """Return the cells of a page's tables, below a heading if one is given."""
    text = (DOCS / name).read_text(encoding="utf-8")
    if heading is not None:
        text = text.split(f"\n## {heading}\n", 1)[1].split("\n## ", 1)[0]
    rows = [
        [cell.strip().strip("`") for cell in line.strip("|").split("|")]
        for line in text.splitlines()
        if line.startswith("|") and not line.startswith("|--")
    ]
    return rows[1:]


def result_rows():
    for code in results.ResultCode:
        info = results.info(code)
        not_run = "yes" if info.not_run else "no"
        name = code.name.lower()
        yield [str(int(code)), name, str(info.http_status), not_run] + [
            info.meaning
        ]


def event_rows():
    for event in events.Event:
        yield [str(int(event)), event.name.lower(), events.meaning(event)]


def metric_rows():
    for metric in metric_names.ALL:
        labels = [f"<{label}>" for label in metric.labels]
        key = ".".join([metric_names.PREFIX, metric.name, *labels])
        yield [key, metric.kind.value, metric.unit, metric.meaning]


def setting_rows(schema, path, is_required=False):
    """Yield path, unit, default and accepted values of each setting."""
    if schema.get("type") == "array" and "properties" in schema["items"]:
        yield from setting_rows(schema["items"], f"{path}[]")
    elif schema.get("properties"):
        for name, part in schema["properties"].items():
            below = f"{path}.{name}" if path else name
            needed = name in schema.get("required", [])
            yield from setting_rows(part, below, needed)
    elif schema.get("type") == "object" and schema.get("additionalProperties"):
        yield from setting_rows(schema["additionalProperties"], f"{path}.*")
    else:
        default = "required" if is_required else "none"
        if "default" in schema:
            default = json.dumps(schema["default"])
        yield [path, unit(path), default, accepted(schema)]


def unit(path):
    for suffix, found in UNITS.items():
        if path.endswith(suffix):
            return found
    return "-"


def accepted(schema):
    """Return the accepted values of a setting in words."""
    if "enum" in schema:
        return ", ".join(map(json.dumps, schema["enum"]))
    if "description" in schema:
        return schema["description"]
    kind = schema.get("type", "any")
    text = kind if isinstance(kind, str) else " or ".join(kind)
    if kind == "array":
        text = f"array of {accepted(schema['items'])}"
    words = {
        "minimum": "at least",
        "exclusiveMinimum": "above",
        "maximum": "at most",
        "exclusiveMaximum": "below",
        "minLength": "length at least",
        "maxLength": "length at most",
    }
    limits = [
        f"{words[name]} {schema[name]}" for name in words if name in schema
    ]
    return ", ".join([text, *limits])


class DocumentationTest(unittest.TestCase):
    """Guards against pages that say something else than the code does."""

    def compare(self, documented, expected):
        lines = [" | ".join(row) for row in expected]
        found = [" | ".join(row) for row in documented]
        self.assertTrue(lines)
        missing = sorted(set(lines) - set(found))
        extra = sorted(set(found) - set(lines))
        self.assertEqual(
            (missing, extra), ([], []), "rows (missing, not in the code)"
        )
        self.assertEqual(len(found), len(lines), "a row is there twice")

    def test_result_codes(self):
        self.compare(table("result-codes.md"), result_rows())

    def test_log_events(self):
        self.compare(table("log-events.md"), event_rows())

    def test_metrics(self):
        self.compare(table("metrics.md"), metric_rows())

    def test_each_metric_is_sent(self):
        """Guards against names on the page that no process ever sends."""
        sources = "".join(
            path.read_text(encoding="utf-8")
            for path in pathlib.Path(__file__).parent.parent.glob(
                "packages/*/src/*/*.py"
            )
        )
        names = [
            name
            for name, value in vars(metric_names).items()
            if isinstance(value, metric_names.Metric)
        ]
        unsent = [n for n in names if f"metric_names.{n}" not in sources]
        self.assertTrue(names)
        self.assertEqual(unsent, [])

    def test_settings_of_the_entry_process(self):
        rows = table("settings.md", "Entry process")
        self.check_meanings(rows)
        expected = setting_rows(entry_settings.schema(), "")
        self.compare([row[:4] for row in rows], expected)

    def test_settings_of_the_configuration_sections(self):
        rows = table("settings.md", "Configuration sections")
        self.check_meanings(rows)
        expected = [
            row
            for name, schema in schemas.SECTIONS.items()
            for row in setting_rows(schema, name)
        ]
        self.compare([row[:4] for row in rows], expected)

    def check_meanings(self, rows):
        for row in rows:
            self.assertEqual(len(row), 5, row)
            self.assertTrue(row[4], f"{row[0]} has no meaning")


class PlatformPageTest(unittest.TestCase):
    """Guards against answers that name code which is no longer there."""

    PACKAGES = (
        "balsamloom_gateway",
        "balsamloom_conversations",
        "balsamloom_storage",
    )

    def package_of(self, module):
        """Return the full name of a module that exactly one package has."""
        names = [f"{package}.{module}" for package in self.PACKAGES]
        (found,) = [name for name in names if util.find_spec(name)]
        return found

    def test_named_functions_exist(self):
        names = re.findall(
            r"`([a-z_]+)\.([A-Za-z_.]+)`",
            "".join(row[1] for row in self.rows()),
        )
        self.assertGreater(len(names), 5)
        for module, path in names:
            with self.subTest(f"{module}.{path}"):
                found = importlib.import_module(self.package_of(module))
                for part in path.split("."):
                    found = getattr(found, part)

    @staticmethod
    def rows():
        text = (DOCS / "platform.md").read_text(encoding="utf-8")
        section = text.split("\n## Where to look\n", 1)[1].split("\n## ")[0]
        return [
            line.strip("|").split("|")
            for line in section.splitlines()
            if line.startswith("|") and "---" not in line
        ]
