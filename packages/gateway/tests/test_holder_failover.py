"""Tests of the order in which holders of budgets are asked."""

import unittest

import builders

from balsamloom_gateway import budget_ledger, holder_failover

NONE = budget_ledger.UnrecordedPolicy.NONE
OUTAGE = budget_ledger.UnrecordedPolicy.OUTAGE
LAST_RESORT = budget_ledger.UnrecordedPolicy.LAST_RESORT


class HolderFailoverTest(unittest.TestCase):
    """Guards against two holders that expose, and against lost order.

    The load: turns while the store is slow, or while holders are gone.
    """

    def setUp(self):
        self.holders = [builders.member(name) for name in "abc"]
        self.avoided = set()

    def failover(self, answers, max_pending_holders=2, is_outage=False):
        """Return the questions and their exposures.

        :param answers: per holder, whether it answers and records in vain.
        """
        failover = holder_failover.HolderFailover(
            self.holders,
            max_pending_holders,
            lambda member: member.name not in self.avoided,
            is_outage,
        )
        asked = []
        for attempt in failover.attempts():
            name = attempt.holder.name
            asked.append((name, attempt.policy))
            has_answered, is_pending = answers.get(name, (True, False))
            if not has_answered:
                self.avoided.add(name)
            failover.record_failure(attempt.holder, has_answered, is_pending)
        self.has_answer = failover.has_answer
        return asked

    def test_all_are_asked_before_the_first_one_exposes(self):
        expected = [("a", NONE), ("b", NONE), ("c", NONE), ("a", OUTAGE)]
        self.assertEqual(self.failover({}), expected)

    def test_first_holder_that_waits_for_the_store_is_not_passed_over(self):
        expected = [("a", NONE), ("a", OUTAGE)]
        self.assertEqual(self.failover({"a": (True, True)}), expected)

    def test_one_standby_exposes_when_the_first_holder_is_gone(self):
        expected = [("a", NONE), ("b", NONE), ("c", NONE), ("b", LAST_RESORT)]
        self.assertEqual(self.failover({"a": (False, False)}), expected)

    def test_blocks_recorded_in_vain_are_bounded(self):
        answers = dict.fromkeys("abc", (False, True))
        expected = [("a", NONE), ("b", NONE), ("c", LAST_RESORT)]
        self.assertEqual(self.failover(answers), expected)

    def test_outage_is_not_asked_through_again(self):
        self.assertEqual(self.failover({}, is_outage=True), [("a", OUTAGE)])

    def test_nobody_reached(self):
        self.avoided = set("abc")
        self.assertEqual(self.failover({}), [])
        self.assertFalse(self.has_answer)
