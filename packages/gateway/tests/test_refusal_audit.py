"""Tests of the judging of refusals by logs."""

import unittest

import log_builders

from balsamloom_gateway import (
    budget_refusals,
    explain,
    refusal_audit,
    refusal_report,
)

# The answer 402 that the tests judge comes at this time.
REFUSED_S = 10.0


def audit(*lines, settle_ms=budget_refusals.DEFAULT_SETTLE_MS):
    """Judge the refusals in lines of text."""
    return refusal_audit.audit(explain.parse("", lines), settle_ms)


class BudgetRefusalTest(unittest.TestCase):
    """Guards against answers 402 within the budget that nobody notices.

    The budget is 100 tokens, each turn may use 30.
    """

    def judge(self, *lines, **options):
        """Return the only answer 402 after some lines."""
        refusal = log_builders.exhausted(REFUSED_S, "last")
        found = audit(*lines, *refusal, **options)
        self.assertEqual(len(found.budget.refusals), 1)
        self.assertEqual(found.has_findings, found.budget.refusals[0].is_wrong)
        return found.budget.refusals[0]

    def test_program_with_tokens_for_a_turn_is_found(self):
        refusal = self.judge(
            *log_builders.turn(1, 2, "r1", 30),
            *log_builders.turn(3, 4, "r2", 40),
        )
        self.assertTrue(refusal.is_wrong)
        self.assertEqual(refusal.spent, (70, 0))
        self.assertEqual(refusal.program_id, "p")
        self.assertEqual(refusal.request_id, "last")
        self.assertEqual(refusal.time_s, REFUSED_S)
        self.assertEqual(refusal.holder, "edge-2")

    def test_program_without_tokens_for_a_turn_is_right(self):
        refusal = self.judge(
            *log_builders.turn(1, 2, "r1", 30),
            *log_builders.turn(3, 4, "r2", 41),
        )
        self.assertFalse(refusal.is_wrong)
        self.assertEqual(refusal.spent, (71, 0))

    def test_turn_longer_than_the_budget_is_right(self):
        found = audit(*log_builders.exhausted(1, "r1", turn_tokens=101))
        self.assertFalse(found.has_findings)
        found = audit(*log_builders.exhausted(1, "r1", turn_tokens=100))
        self.assertTrue(found.has_findings)

    def test_broken_off_turn_counts_at_its_most(self):
        whole = log_builders.turn(1, 2, "r1", 41)
        for reason in ("cut off: closed", "the caller disconnected"):
            with self.subTest(reason):
                broken = log_builders.turn(3, 4, "r2", 1, reason=reason)
                refusal = self.judge(*whole, *broken)
                self.assertFalse(refusal.is_wrong)
                self.assertEqual(refusal.spent, (41, 30))

    def test_broken_off_turns_leave_the_rest_of_the_budget(self):
        broken = [
            log_builders.turn(3, 4, name, 1, reason="cut off: closed")
            for name in ("r1", "r2")
        ]
        refusal = self.judge(*broken[0], *broken[1])
        self.assertTrue(refusal.is_wrong)
        self.assertEqual(refusal.spent, (0, 60))

    def test_turn_that_a_server_failed_counts_at_its_most(self):
        refusal = self.judge(
            *log_builders.turn(1, 2, "r1", 41),
            *log_builders.turn(3, 4, "r2", 0, status=500),
        )
        self.assertEqual(refusal.spent, (41, 30))

    def test_turn_of_a_killed_process_counts_at_its_most(self):
        whole = log_builders.turn(1, 2, "r1", 41)
        placed = log_builders.placed(3, "r2")
        lost = [log_builders.decided(3, "r2"), placed]
        self.assertEqual(self.judge(*whole, *lost).spent, (41, 30))
        resent = log_builders.failed(
            3.1, "r2", is_sent=False, is_kept_channel=True
        )
        self.assertEqual(self.judge(*whole, *lost, resent).spent, (41, 30))
        failed = log_builders.failed(3.1, "r2", is_sent=True)
        self.assertEqual(self.judge(*whole, *lost, failed).spent, (41, 30))

    def test_turn_in_progress_counts_at_its_most(self):
        for begun_s, ended_s in ((9, 12), (9.9999, 10.1)):
            with self.subTest(begun_s):
                refusal = self.judge(
                    *log_builders.turn(1, 2, "r1", 41),
                    *log_builders.turn(begun_s, ended_s, "r2", 1),
                )
                self.assertEqual(refusal.spent, (41, 30))

    def test_later_turn_does_not_count(self):
        refusal = self.judge(*log_builders.turn(10.1, 10.2, "r1", 80))
        self.assertTrue(refusal.is_wrong)

    def test_turn_whose_grant_is_logged_a_call_later_counts(self):
        for begun_s, spent in ((10.1, (0, 30)), (10.3, (0, 0))):
            with self.subTest(begun_s=begun_s):
                turn = log_builders.turn(begun_s, 10.4, "r1", 80)
                self.assertEqual(self.judge(*turn).spent, spent)

    def test_turn_that_arrived_before_the_refusal_counts(self):
        late = log_builders.turn(10.1, 10.4, "r1", 80, duration_ms=500.0)
        self.assertEqual(self.judge(*late).spent, (0, 30))

    def test_turn_that_just_ended_counts_at_its_most(self):
        whole = log_builders.turn(1, 2, "r1", 41)
        for ended_s, spent in ((9.001, (41, 30)), (8.999, (42, 0))):
            with self.subTest(ended_s):
                turn = log_builders.turn(8, ended_s, "r2", 1)
                self.assertEqual(self.judge(*whole, *turn).spent, spent)

    def test_time_to_settle_is_a_parameter(self):
        turn = log_builders.turn(8, 9.5, "r1", 1)
        self.assertEqual(self.judge(*turn, settle_ms=400.0).spent, (1, 0))
        self.assertEqual(self.judge(*turn, settle_ms=600.0).spent, (0, 30))

    def test_turn_that_a_server_refused_counts_only_until_it_settles(self):
        for status in (400, 429, 503):
            with self.subTest(status):
                old = log_builders.turn(1, 2, "r1", 0, status=status)
                self.assertEqual(self.judge(*old).spent, (0, 0))
                new = log_builders.turn(9, 9.5, "r1", 0, status=status)
                self.assertEqual(self.judge(*new).spent, (0, 30))

    def test_turn_that_never_reached_a_server_counts_nothing(self):
        decided = log_builders.decided(9.5, "r1")
        unsent = [
            log_builders.placed(9.6, "r1"),
            log_builders.failed(9.7, "r1", is_sent=False),
        ]
        for name, lines in {
            "not recorded": [
                log_builders.decided(9.5, "r1", "not recorded: slow"),
                log_builders.refused(9.6, "r1"),
            ],
            "refused": [decided, *unsent, log_builders.refused(9.7, "r1")],
            "timed out": [
                decided,
                *unsent,
                log_builders.ended(9.8, "r1", 504, "no server"),
            ],
            "lost before it was sent": [decided],
            "lost after a failure": [decided, *unsent],
        }.items():
            with self.subTest(name):
                refusal = self.judge(*lines)
                self.assertEqual(refusal.spent, (0, 0))
                self.assertTrue(refusal.is_wrong)

    def test_turn_that_reached_its_second_server_counts_once(self):
        turn = log_builders.turn(1, 2, "r1", 41)
        failed = log_builders.failed(1.5, "r1", is_sent=True)
        self.assertEqual(self.judge(*turn, failed).spent, (41, 0))

    def test_calls_of_tools_and_other_programs_count_nothing(self):
        call = [
            log_builders.placed(1, "r1"),
            log_builders.ended(2, "r1", server_id="s1", tokens=0),
        ]
        other = [
            log_builders.decided(3, "r2", program_id="q"),
            log_builders.placed(3, "r2", program_id="q"),
        ]
        self.assertEqual(self.judge(*call, *other).spent, (0, 0))

    def test_402_of_a_server_is_not_judged(self):
        found = audit(*log_builders.turn(1, 2, "r1", 0, status=402))
        self.assertEqual(found.budget.refusals, [])

    def test_402_whose_decision_is_not_logged_is_counted_apart(self):
        decision, answer = log_builders.exhausted(REFUSED_S, "r1")
        self.assertEqual(audit(decision, answer).budget.unjudged_count, 0)
        found = audit(answer, *log_builders.exhausted(REFUSED_S, "r2"))
        self.assertEqual(
            refusal_report.summarize(found),
            "1 answers 402, 1 wrong, of 1 programs, and 1 not judged",
        )

    def test_lines_of_several_processes_may_come_in_any_order(self):
        lines = [
            *log_builders.turn(1, 2, "r1", 30),
            *log_builders.exhausted(REFUSED_S, "r2"),
        ]
        self.assertEqual(audit(*lines), audit(*reversed(lines)))

    def test_report_shows_the_way_of_a_program(self):
        lines = [
            *log_builders.turn(1, 2, "r1", 30),
            log_builders.line(
                3,
                "budget_record_changed",
                "edge-2",
                program_id="p",
                recorded_tokens=100,
                own_tokens=0,
                revision=7,
            ),
            *log_builders.exhausted(REFUSED_S, "r2"),
            *log_builders.exhausted(REFUSED_S, "r3", program_id="q"),
        ]
        found = audit(*lines)
        self.assertEqual(
            refusal_report.summarize(found),
            "2 answers 402, 2 wrong, of 2 programs",
        )
        texts = refusal_report.describe(found)
        self.assertEqual(len(texts), 2)
        for text in (
            "10.000 edge-1 request r2: budget 100, used 30, at most 0 more",
            "edge-2 said: exhausted, 100 recorded",
            "1.000 edge-1 turn r1: 30 tokens, ended at 2.000: 200 answered",
            "3.000 edge-2 budget_record_changed: 100 recorded, 0 of them own",
            "1.000 edge-1 budget_decided for r1: 30 of 100 at edge-2: res",
        ):
            self.assertIn(text, texts[0])


class DeniedTurnTest(unittest.TestCase):
    """Guards against answers 404 for stored turns that nobody notices."""

    def test_stored_turn_that_is_denied_is_found(self):
        kept = log_builders.kept(1, "r1", source="edge-2")
        found = audit(kept, *log_builders.denied(5, "r2", "r1"))
        self.assertTrue(found.has_findings)
        self.assertEqual(
            found.denied_turns,
            [
                refusal_audit.DeniedTurn(
                    "r2", "r1", "edge-1", 5.0, 1.0, ("storage-1", "storage-2")
                )
            ],
        )
        self.assertIn(
            "5.000 edge-1 request r2: 404 for the previous turn r1, stored"
            " at 1.000 by storage-1, storage-2",
            refusal_report.describe(found),
        )

    def test_turn_whose_line_lacks_its_retention_counts_as_stored(self):
        kept = log_builders.line(
            1, "turn_kept", request_id="r1", hosts=["storage-1"]
        )
        found = audit(kept, *log_builders.denied(500, "r2", "r1"))
        self.assertEqual(len(found.denied_turns), 1)

    def test_404_for_an_expired_or_unknown_turn_is_right(self):
        kept = log_builders.kept(1, "r1", retention_ms=3_000.0)
        for name, lines in {
            "expired": log_builders.denied(4, "r2", "r1"),
            "unknown": log_builders.denied(2, "r2", "r0"),
            "stored since": log_builders.denied(0.9, "r2", "r1"),
            "stored meanwhile": log_builders.denied(1.005, "r2", "r1"),
        }.items():
            with self.subTest(name):
                self.assertFalse(audit(kept, *lines).has_findings)

    def test_turn_that_was_not_stored_may_be_denied(self):
        cut = log_builders.line(1, "turn_not_kept", request_id="r1")
        found = audit(cut, *log_builders.denied(2, "r2", "r1"))
        self.assertFalse(found.has_findings)

    def test_404_for_a_turn_of_another_workspace_is_right(self):
        denied = log_builders.denied(5, "r2", "r1", workspace="second")
        for owner, count in (("first", 0), (None, 0), ("second", 1)):
            fields = {} if owner is None else {"workspace": owner}
            kept = log_builders.kept(1, "r1", **fields)
            found = audit(kept, *denied)
            self.assertEqual(len(found.denied_turns), count, owner)

    def test_404_for_another_reason_is_right(self):
        kept = log_builders.kept(1, "r1")
        found = log_builders.denied(2, "r2", "r1", outcome="30 bytes")
        self.assertFalse(audit(kept, *found).has_findings)


class ContradictedRefusalTest(unittest.TestCase):
    """Guards against refusals as not run of requests that have run."""

    def test_refused_request_that_has_run_is_found(self):
        for status in (429, 503):
            for sent in (
                log_builders.failed(1, "r1", is_sent=True),
                log_builders.ended(1, "r1", server_id="s1"),
            ):
                with self.subTest(status=status, sent=sent):
                    refusal = log_builders.refused(2, "r1", status)
                    found = audit(sent, refusal)
                    self.assertTrue(found.has_findings)
                    self.assertEqual(
                        found.contradicted_refusals,
                        [
                            refusal_audit.ContradictedRefusal(
                                "r1", "edge-1", 2.0, status, ("s1",)
                            )
                        ],
                    )

    def test_refused_request_that_runs_later_is_found(self):
        refusal = log_builders.refused(1, "r1")
        run = log_builders.ended(
            2, "r1", source="edge-2", server_id="s2", tokens=1
        )
        found = audit(refusal, run)
        self.assertEqual(len(found.contradicted_refusals), 1)
        self.assertIn(
            "1.000 edge-1 request r1: 503 says not run, but it may have run"
            " at s2",
            refusal_report.describe(found),
        )

    def test_exhausted_turn_that_has_run_is_found(self):
        lines = log_builders.turn(1, 2, "r1", 10)
        found = audit(*lines, *log_builders.exhausted(3, "r1"))
        statuses = [one.status for one in found.contradicted_refusals]
        self.assertEqual(statuses, [402])

    def test_refusal_of_a_request_that_no_server_ran_is_right(self):
        for name, lines in {
            "never sent": [],
            "refused by a server": [
                log_builders.placed(1, "r1"),
                log_builders.failed(2, "r1", is_sent=False),
            ],
            "another request ran": log_builders.turn(1, 2, "r2", 1),
        }.items():
            with self.subTest(name):
                refusal = log_builders.refused(3, "r1")
                found = audit(*lines, refusal)
                self.assertEqual(found.contradicted_refusals, [])

    def test_refusal_that_a_member_passed_back_is_no_answer_to_the_caller(
        self,
    ):
        lines = [
            log_builders.line(0, "process_started", "b.log", member="edge-2"),
            log_builders.failed(1, "r1", is_sent=True),
            log_builders.refused(2, "r1", source="b.log"),
            log_builders.line(
                2.1, "handover_failed", request_id="r1", member="edge-2"
            ),
        ]
        end = log_builders.ended(3, "r1", 502, "no answer")
        self.assertFalse(audit(*lines, end).has_findings)
        # The sender's own answer counts, whatever the member's was.
        found = audit(*lines, log_builders.refused(3, "r1"))
        self.assertEqual(
            [one.source for one in found.contradicted_refusals], ["edge-1"]
        )

    def test_refusal_of_a_member_that_reached_the_caller_is_found(self):
        lines = [
            log_builders.failed(1, "r1", is_sent=True),
            log_builders.refused(2, "r1", source="edge-2"),
            log_builders.line(
                2.1,
                "request_handed_over",
                request_id="r1",
                member="edge-2",
                status=503,
            ),
        ]
        found = audit(*lines)
        self.assertEqual(
            [one.source for one in found.contradicted_refusals], ["edge-2"]
        )

    def test_answers_that_promise_nothing_are_right(self):
        sent = log_builders.failed(1, "r1", is_sent=True)
        for status in (502, 504):
            with self.subTest(status):
                end = log_builders.ended(2, "r1", status, "no answer")
                self.assertFalse(audit(sent, end).has_findings)
        rejected = log_builders.refused(2, "r1", 413)
        self.assertFalse(audit(sent, rejected).has_findings)

    def test_answer_of_a_server_is_no_refusal_of_ours(self):
        run = log_builders.ended(1, "r1", 429, server_id="s1")
        self.assertFalse(audit(run).has_findings)


if __name__ == "__main__":
    unittest.main()
