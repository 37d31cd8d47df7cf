"""Tests of the search for exceeded limits in logs."""

import json
import unittest

from balsamloom_gateway import explain, log_audit

TIME = "2026-12-04 10:00:00,000"


def line(name, **fields):
    """Build one log line as text."""
    return json.dumps({"asctime": TIME, "name_of_event": name, **fields})


def placed(max_attempts):
    """Build the line of a placement of request r1."""
    return line("request_placed", request_id="r1", max_attempts=max_attempts)


def failed(server_id, is_sent=True):
    """Build the line of a failed attempt of request r1."""
    return line(
        "attempt_failed", request_id="r1", server_id=server_id, is_sent=is_sent
    )


def decided(budget_tokens=20, turn_tokens=10):
    """Build the line of a reservation of program p."""
    return line(
        "budget_decided",
        request_id="r1",
        program_id="p",
        budget_tokens=budget_tokens,
        turn_tokens=turn_tokens,
    )


def ended(server_id="s2", tokens=0):
    """Build the line of a final response to request r1."""
    return line(
        "request_ended",
        request_id="r1",
        program_id="p",
        server_id=server_id,
        tokens=tokens,
    )


class AuditTest(unittest.TestCase):
    """Guards against breaches of limits that logs do not show."""

    def audit(self, *lines):
        return log_audit.audit(explain.parse("edge", lines))

    def test_request_on_too_many_servers_is_found(self):
        found = self.audit(placed(1), failed("s1"), placed(1), ended("s2"))
        self.assertEqual(
            found.excess_attempts,
            [log_audit.ExcessAttempts("r1", ("s1", "s2"), 1)],
        )

    def test_refusals_and_repeats_on_one_server_do_not_count(self):
        lines = (placed(1), failed("s1", is_sent=False), failed("s2"))
        found = self.audit(*lines, ended("s2"))
        self.assertEqual(found.excess_attempts, [])

    def test_program_beyond_its_budget_is_found(self):
        turns = [ended(tokens=10), ended(tokens=10), ended(tokens=10)]
        self.assertEqual(self.audit(decided(), *turns).exceeded_budgets, [])
        found = self.audit(decided(), *turns, ended(tokens=1))
        self.assertEqual(
            found.exceeded_budgets,
            [log_audit.ExceededBudget("p", 31, 20, 10)],
        )

    def test_target_that_crashed_a_fourth_server_is_found(self):
        lines = [
            line("server_crashed", target_id="t", server_id=f"s{number}")
            for number in (1, 2, 3, 3, 4)
        ]
        self.assertEqual(self.audit(*lines[:4]).repeated_crashes, [])
        self.assertEqual(
            self.audit(*lines).repeated_crashes,
            [log_audit.RepeatedCrash("t", ("s1", "s2", "s3", "s4"))],
        )

    def test_stream_of_two_versions_is_found(self):
        def part(request_id, server_id, version, resumed_id=None):
            return (
                line(
                    "request_placed",
                    request_id=request_id,
                    max_attempts=1,
                    server_id=server_id,
                    server_version=version,
                    resumed_id=resumed_id,
                ),
                line(
                    "request_ended",
                    request_id=request_id,
                    server_id=server_id,
                    events_relayed=2,
                ),
            )

        same = (*part("r1", "s1", "v1"), *part("r2", "s2", "v1", "r1"))
        self.assertEqual(self.audit(*same).mixed_streams, [])
        found = self.audit(*same, *part("r3", "s3", "v2", "r1"))
        self.assertEqual(
            found.mixed_streams, [log_audit.MixedStream("r1", ("v1", "v2"))]
        )

    def test_dropped_lines_are_counted(self):
        found = self.audit(line("lines_dropped", lines=3))
        self.assertEqual(found.dropped_lines, 3)


if __name__ == "__main__":
    unittest.main()
