"""Tests of the command that explains the outcome of a request."""

import contextlib
import io
import json
import logging
import time
import unittest

import gateway_case
import scripted

from balsamloom_core import events
from balsamloom_gateway import explain

FINAL_EVENTS = ("request_ended", "request_refused")


class ExplainTest(unittest.TestCase):
    """Guards against log lines that lack the causes in docs/OPERATIONS.md."""

    def setUp(self):
        self.stream = io.StringIO()
        logger = logging.getLogger("balsamloom")
        previous = (logger.handlers[:], logger.level, logger.propagate)
        self.addCleanup(self.restore, logger, *previous)
        events.configure("edge", stream=self.stream)

    @staticmethod
    def restore(logger, handlers, level, propagate):
        logger.handlers[:] = handlers
        logger.setLevel(level)
        logger.propagate = propagate

    def explain(self, path, script, body=b"x"):
        """Run one request and return the log lines that explain it."""
        case = gateway_case.GatewayCase()
        self.addCleanup(case.doCleanups)
        case.start(script(case))
        with contextlib.suppress(Exception):
            case.request(path, body=body)
        # The caller may receive the response before the last line is logged.
        end_s = time.monotonic() + 5
        while time.monotonic() < end_s:
            lines = explain.parse("edge", self.stream.getvalue().splitlines())
            found = explain.select_related(lines, "r1")
            if found and found[-1].name in FINAL_EVENTS:
                return found
        raise AssertionError("the request has no final log line")

    def test_refused_request_shows_the_full_servers(self):
        full = scripted.answer(status="503 Full", fields="Not-Executed: 1\r\n")
        lines = self.explain("/once/", lambda case: case.answering(full))
        names = [line.name for line in lines]
        self.assertEqual(names[-1], "request_refused")
        self.assertIn("attempt_failed", names)
        self.assertIn("retry_after_ms", lines[-1].fields)

    def test_lost_response_shows_the_server_and_that_it_was_sent(self):
        lines = self.explain(
            "/once/",
            lambda case: case.answering(then=lambda one: one.close()),
        )
        failed = next(line for line in lines if line.name == "attempt_failed")
        self.assertEqual(failed.fields["server_id"], "s0")
        self.assertTrue(failed.fields["is_sent"])
        self.assertEqual(lines[-1].fields["status"], 502)

    def test_broken_stream_shows_the_number_of_relayed_events(self):
        head = scripted.chunked_head()
        event = b"id: 1\ndata: a\n\n"
        chunk = b"%x\r\n%s\r\n" % (len(event), event)
        lines = self.explain(
            "/stream/",
            lambda case: case.answering(
                head, chunk, then=lambda one: one.close()
            ),
        )
        ended = lines[-1]
        self.assertTrue(ended.fields["reason"].startswith("cut off"))
        self.assertEqual(ended.fields["events_relayed"], 1)

    def test_failed_chain_read_shows_the_failed_hosts(self):
        text = [
            {"name_of_event": "storage_call_failed", "host": "storage-a-1"},
            {"name_of_event": "chain_read", "request_id": "r1"},
            {"name_of_event": "request_refused", "request_id": "r1"},
            {"name_of_event": "turn_kept", "request_id": "r2"},
        ]
        lines = explain.parse(
            "edge",
            [
                json.dumps({"asctime": "2026-12-04 10:00:00,000", **fields})
                for fields in text
            ],
        )
        names = [line.name for line in explain.select_related(lines, "r1")]
        self.assertEqual(
            names, ["storage_call_failed", "chain_read", "request_refused"]
        )

    def test_other_requests_and_other_output_are_omitted(self):
        line = {"asctime": "2026-12-04 05:00:00,000", "name_of_event": "x"}
        text = [json.dumps({**line, "request_id": "r2"}), "no json", "[]"]
        self.assertEqual(
            explain.select_related(explain.parse("e", text), "r1"), []
        )


if __name__ == "__main__":
    unittest.main()
