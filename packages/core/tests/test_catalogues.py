"""Tests of result codes, log events, metric names, dumps and identifiers."""

import io
import json
import logging
import unittest

from balsamloom_core import (
    dumps,
    errors,
    events,
    identifiers,
    metric_names,
    results,
)


class ResultsTest(unittest.TestCase):
    """Guards against a result code without HTTP status or description."""

    def test_every_code_has_description_and_matching_http_status(self):
        for code in results.ResultCode:
            with self.subTest(code.name):
                info = results.info(code)
                self.assertTrue(info.meaning)
                self.assertIn(info.http_status, range(200, 600))
                is_success = code < 2000
                self.assertEqual(info.http_status < 300, is_success)

    def test_only_rejections_are_marked_not_run(self):
        # R6: ``not_run`` may only be set where it is certain.
        for code in results.ResultCode:
            with self.subTest(code.name):
                not_run = results.info(code).not_run
                if code // 1000 in (2, 4, 6):
                    self.assertTrue(not_run)
                else:
                    self.assertFalse(not_run)


class EventsTest(unittest.TestCase):
    """Guards against log lines that are lost or unreadable."""

    def setUp(self):
        self.stream = io.StringIO()
        logger = logging.getLogger("balsamloom")
        old = (logger.handlers[:], logger.level, logger.propagate)
        self.addCleanup(self.restore, logger, *old)
        events.configure("e1", stream=self.stream)

    @staticmethod
    def restore(logger, handlers, level, propagate):
        logger.handlers[:] = handlers
        logger.setLevel(level)
        logger.propagate = propagate

    def test_every_event_has_a_meaning(self):
        for event in events.Event:
            with self.subTest(event.name):
                self.assertTrue(events.meaning(event))

    def test_line_has_number_name_process_and_fields(self):
        events.log(events.Event.DUMP_WRITTEN, size_bytes=7)
        line = json.loads(self.stream.getvalue())
        self.assertEqual(line["event"], 1004)
        self.assertEqual(line["name_of_event"], "dump_written")
        self.assertEqual(line["process"], "e1")
        self.assertEqual(line["size_bytes"], 7)

    def test_field_with_a_reserved_name_does_not_raise(self):
        events.log(events.Event.DUMP_WRITTEN, name="x", message="y")
        line = json.loads(self.stream.getvalue())
        self.assertEqual((line["name_"], line["message_"]), ("x", "y"))


class MetricNamesTest(unittest.TestCase):
    """Guards against metrics that overwrite each other."""

    def test_names_are_unique(self):
        names = [metric.name for metric in metric_names.ALL]
        self.assertEqual(len(names), len(set(names)))

    def test_label_cannot_break_the_statsd_line(self):
        key = metric_names.CALLS_WAITING.key("a.b:1|c")
        self.assertEqual(key, "balsamloom.calls.waiting.a_b_1_c")

    def test_missing_label_is_rejected(self):
        with self.assertRaises(ValueError):
            metric_names.CALLS_WAITING.key()


class DumpsTest(unittest.TestCase):
    """Guards against one failing component hiding the whole dump."""

    def test_failing_component_shows_its_error_beside_the_others(self):
        def broken():
            raise ValueError("gone")

        registry = dumps.DumpRegistry()
        registry.register("good", lambda: {"size": 1})
        registry.register("broken", broken)
        self.assertEqual(
            registry.dump(),
            {"good": {"size": 1}, "broken": {"error": "ValueError: gone"}},
        )


class IdentifiersTest(unittest.TestCase):
    """Guards against a program looked up in the wrong partition."""

    def test_partition_is_read_back(self):
        for partition in (0, 255, 4095):
            found = identifiers.new_program_id(partition)
            self.assertEqual(identifiers.partition_of(found), partition)

    def test_partition_out_of_range_is_rejected(self):
        for partition in (-1, 4096):
            with self.assertRaises(ValueError):
                identifiers.new_program_id(partition)

    def test_malformed_identifiers_are_rejected(self):
        for text in ("", "p00-0", "p0ff-XYZ", "p0ff-0123456789abcdef\n"):
            with self.subTest(text):
                with self.assertRaises(errors.BalsamloomError) as caught:
                    identifiers.partition_of(text)
                self.assertEqual(
                    caught.exception.code, results.ResultCode.UNKNOWN_PROGRAM
                )

    def test_member_ids_of_two_runs_differ(self):
        self.assertNotEqual(
            identifiers.new_member_id("e1"), identifiers.new_member_id("e1")
        )
