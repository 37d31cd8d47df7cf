"""Tests of settings files."""

import pathlib
import tempfile
import unittest

import builders

from balsamloom_core import results, settings


class CheckTest(unittest.TestCase):
    """Guards against an error that leaves an operator guessing."""

    def test_message_names_path_value_and_accepted(self):
        accepted = "integer at least 1 and at most 60000"
        cases = [
            (
                builders.settings(nmae="x"),
                'nmae: unknown key with value "x"; accepted: keys engines, '
                "name, rate, store",
            ),
            (
                builders.settings(store={"timeout_ms": "2s"}),
                f'store.timeout_ms: value "2s" is not accepted; accepted: '
                f"{accepted}",
            ),
            (
                builders.settings(store={"timeout_ms": 0}),
                f"store.timeout_ms: value 0 is not accepted; accepted: "
                f"{accepted}",
            ),
            (
                builders.settings(store={"timeout_ms": 2.0}),
                f"store.timeout_ms: value 2.0 is not accepted; accepted: "
                f"{accepted}",
            ),
            (
                builders.settings(rate=0),
                "rate: value 0 is not accepted; accepted: number above 0",
            ),
            (
                builders.settings(store={"mode": "c"}),
                'store.mode: value "c" is not accepted; accepted: one of '
                '"a", "b"',
            ),
            (
                builders.settings(engines=["a", 7]),
                "engines[1]: value 7 is not accepted; accepted: string",
            ),
            ({}, "name: is missing; accepted: a value"),
            (
                [],
                "document: value [] is not accepted; accepted: object",
            ),
        ]
        for document, message in cases:
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

    def test_long_value_is_cut_in_the_message(self):
        shown = settings.shown("x" * 500)
        self.assertEqual(len(shown), settings.MAX_SHOWN_LENGTH)


class LoadTest(unittest.TestCase):
    """Guards against starting with values that nobody has written."""

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

    def test_text_that_is_not_strict_json_is_refused(self):
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

    def test_unreadable_file_is_named(self):
        with self.assertRaises(settings.SettingsError) as caught:
            settings.load(self.path, builders.SCHEMA)
        self.assertIn("cannot be read", caught.exception.message)
        self.assertEqual(caught.exception.path, str(self.path))
