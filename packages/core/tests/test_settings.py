"""Tests of settings files."""

import pathlib
import tempfile
import unittest

import builders

from balsamloom_core import results, settings


def store(**fields):
    return {"store": fields}


class CheckTest(unittest.TestCase):
    """Guards against errors that do not say what an operator must fix."""

    def test_message_names_path_value_and_accepted(self):
        whole = "integer at least 1 and at most 60000"
        known = "keys engines, name, rate, store"
        no = "is not accepted"
        cases = [
            ({"nmae": "x"}, 'nmae: unknown key with value "x"', known),
            (
                store(timeout_ms="2"),
                f'store.timeout_ms: value "2" {no}',
                whole,
            ),
            (store(timeout_ms=0), f"store.timeout_ms: value 0 {no}", whole),
            (
                store(timeout_ms=2.0),
                f"store.timeout_ms: value 2.0 {no}",
                whole,
            ),
            (
                store(mode="c"),
                f'store.mode: value "c" {no}',
                'one of "a", "b"',
            ),
            ({"rate": 0}, f"rate: value 0 {no}", "number above 0"),
            ({"engines": ["a", 7]}, f"engines[1]: value 7 {no}", "string"),
            ({"name": ""}, f'name: value "" {no}', "at least 1 characters"),
        ]
        for fields, found, accepted in cases:
            document = builders.settings(**fields)
            message = f"{found}; accepted: {accepted}"
            with self.subTest(message):
                with self.assertRaises(settings.SettingsError) as caught:
                    settings.check(document, builders.SCHEMA)
                self.assertEqual(caught.exception.message, message)
                self.assertEqual(
                    caught.exception.code, results.ResultCode.SETTINGS_INVALID
                )

    def test_all_problems_are_found(self):
        found = settings.problems({"rate": -1, "x": 1}, builders.SCHEMA)
        self.assertEqual(
            [problem.path for problem in found], ["name", "rate", "x"]
        )
        self.assertEqual(str(found[0]), "name: is missing; accepted: a value")

    def test_document_that_is_not_an_object_is_rejected(self):
        (found,) = settings.problems([], builders.SCHEMA)
        self.assertEqual(found.path, "document")
        self.assertEqual(found.accepted, "object")

    def test_long_value_is_truncated_in_the_message(self):
        shown = settings.format_value("x" * 500)
        self.assertEqual(len(shown), settings.MAX_SHOWN_LENGTH)


class LoadTest(unittest.TestCase):
    """Guards against starting with values that are not in the file."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "settings.json"

    def test_defaults_are_filled_in_and_not_shared(self):
        self.path.write_text('{"name": "e1"}', encoding="utf-8")
        first = settings.load(self.path, builders.SCHEMA)
        self.assertEqual(first["store"], {"timeout_ms": 2000})
        first["engines"].append("x")
        first["store"]["timeout_ms"] = 1
        second = settings.load(self.path, builders.SCHEMA)
        self.assertEqual(second["engines"], [])
        self.assertEqual(second["store"], {"timeout_ms": 2000})

    def test_text_that_is_not_strict_json_is_rejected(self):
        texts = {
            "{": "is not JSON",
            '{"name": "a", "name": "b"}': "occurs twice",
            '{"name": "a", "rate": NaN}': "NaN is not finite",
            '{"name": "a", "rate": 1e999}': "1e999 is not finite",
        }
        for text, reason in texts.items():
            with self.subTest(text):
                self.path.write_text(text, encoding="utf-8")
                with self.assertRaises(settings.SettingsError) as caught:
                    settings.load(self.path, builders.SCHEMA)
                self.assertIn(reason, caught.exception.message)
                self.assertEqual(caught.exception.path, str(self.path))

    def test_unreadable_file_is_named_in_the_error(self):
        with self.assertRaises(settings.SettingsError) as caught:
            settings.load(self.path, builders.SCHEMA)
        self.assertIn("cannot be read", caught.exception.message)
        self.assertEqual(caught.exception.path, str(self.path))
