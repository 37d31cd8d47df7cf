"""Tests of what an answer 402 rests on, by the logs."""

import json
import threading
import unittest

import builders
import log_builders
import stores

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    budget_ledger,
    explain,
    ledger,
    outage_policy,
    refusal_audit,
    refusal_parts,
    refusal_report,
)


def audit(*lines):
    """Judge the refusals in lines of text."""
    return refusal_audit.audit(explain.parse("", lines))


class RefusalPartsTest(unittest.TestCase):
    """Guards against wrong answers 402 whose sum the logs do not tell.

    The budget is 100 tokens, each turn may use 30. Process edge-2 holds it
    and starts again at 5 s.
    """

    STARTS = (
        log_builders.started(0, "edge-2", "old"),
        log_builders.started(5, "edge-2", "new"),
    )
    CUT_OFF = (log_builders.decided(3, "r2"), log_builders.placed(3, "r2"))

    def parts(self, *lines, **fields):
        """Return what the only answer 402 rests on."""
        found = audit(
            *self.STARTS,
            *lines,
            log_builders.holder_refused(9.99, **fields),
            *log_builders.exhausted(10, "last"),
        )
        return found.budget_parts.get("last")

    def test_tokens_that_are_assumed_lost_are_told(self):
        parts = self.parts(lost_tokens=25)
        self.assertEqual(parts, refusal_parts.RefusalParts(0, 0, 25, ()))

    def test_share_of_a_lost_holder_is_split_by_its_turns(self):
        parts = self.parts(
            *log_builders.turn(1, 2, "r1", 12),
            *self.CUT_OFF,
            *log_builders.turn(6, 7, "r3", 8),
            other_shares={"edge-2/old": [80, 5, 3]},
            used_tokens=8,
        )
        self.assertEqual(parts.used_tokens, 13)
        self.assertEqual(
            parts.open_shares,
            (refusal_parts.OpenShare("edge-2/old", True, 7, 30, 38),),
        )

    def test_turns_that_never_ran_leave_the_share_unused(self):
        parts = self.parts(
            log_builders.decided(1, "r1"),
            log_builders.refused(1.1, "r1"),
            other_shares={"edge-2/old": [60, 0, 3]},
        )
        self.assertEqual(
            parts.open_shares,
            (refusal_parts.OpenShare("edge-2/old", True, 0, 0, 60),),
        )

    def test_holder_that_did_not_start_again_is_not_gone(self):
        for holder_id in ("edge-2/new", "edge-3/1"):
            with self.subTest(holder_id):
                parts = self.parts(other_shares={holder_id: [60, 0, 3]})
                self.assertFalse(parts.open_shares[0].is_gone)

    def test_refusal_whose_holder_logged_no_shares_has_no_parts(self):
        self.assertIsNone(self.parts(other_shares=None))
        self.assertIsNone(self.parts(result="Unconfirmed()"))
        self.assertIsNone(self.parts(source="edge-3"))

    def test_report_tells_the_parts(self):
        share = {"edge-2/old": [60, 0, 3]}
        found = audit(
            *self.STARTS,
            *self.CUT_OFF,
            log_builders.holder_refused(
                9.99, lost_tokens=25, used_tokens=31, other_shares=share
            ),
            *log_builders.exhausted(10, "last"),
        )
        self.assertIn(
            "counted: 31 used (more than in these logs), 0 running, 25"
            " assumed lost; edge-2/old (gone): 0 used but not recorded, 30 in"
            " doubt, 30 unused",
            refusal_report.describe(found)[0],
        )


class RefusalLogTest(unittest.TestCase):
    """Guards against holders that do not log what a refusal rests on."""

    def setUp(self):
        self.store = stores.Store()
        self.holder = budget_ledger.BudgetLedger(
            self.store, builders.Records(), clocks.Clock(), holder_id="h/2"
        )
        thread = threading.Thread(target=self.holder.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, 5)
        self.addCleanup(self.holder.stop)

    def test_refusal_and_record_tell_shares_and_lost_tokens(self):
        record = {
            "tokens": 60,
            "block": "x.1",
            "shares": {"h/1": [60, 10, 1]},
            "lost": 40,
        }
        self.store.put("ledger/p", json.dumps(record).encode())
        with self.assertLogs("balsamloom", "INFO") as logs:
            results = [
                self.holder.reserve(
                    "p", 30, 100, outage_policy.OutagePolicy.NONE
                )[0]
                for _ in range(2)
            ]
        self.assertIsInstance(results[1], ledger.Exhaustion)
        by_name = {line.name_of_event: line for line in logs.records}
        refused = by_name["budget_refused"]
        self.assertEqual(refused.other_shares, {"h/1": (60, 10, 1, {"": 50})})
        self.assertEqual(refused.used_tokens, 0)
        self.assertEqual(refused.lost_tokens, 40)
        for name in ("budget_record_changed", "budget_allocated"):
            self.assertEqual(by_name[name].recorded_lost_tokens, 40)


if __name__ == "__main__":
    unittest.main()
