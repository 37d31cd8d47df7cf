"""Tests of the failover between the holders of a budget."""

import unittest

import builders

from balsamloom_gateway import holder_failover, outage_policy

NONE = outage_policy.OutagePolicy.NONE
OUTAGE = outage_policy.OutagePolicy.OUTAGE
LAST_RESORT = outage_policy.OutagePolicy.LAST_RESORT


class HolderFailoverTest(unittest.TestCase):
    """Guards against unrecorded tokens at two holders, and a wrong order.

    Both can occur while the store is slow or holders are lost.
    """

    def setUp(self):
        self.holders = [builders.member(name) for name in "abc"]
        self.unavailable = set()

    def run_failover(self, answers, max_pending_holders=2, is_outage=False):
        """Return the holder and policy of each attempt.

        :param answers: per holder, whether it answers and is pending.
        """
        failover = holder_failover.HolderFailover(
            self.holders,
            max_pending_holders,
            lambda member: member.name not in self.unavailable,
            is_outage,
        )
        attempts = []
        for attempt in failover.attempts():
            name = attempt.holder.name
            attempts.append((name, attempt.policy))
            has_answered, is_pending = answers.get(name, (True, False))
            if not has_answered:
                self.unavailable.add(name)
            failover.record_failure(attempt.holder, has_answered, is_pending)
        self.has_answer = failover.has_answer
        return attempts

    def test_all_are_tried_before_one_grants_unrecorded_tokens(self):
        expected = [("a", NONE), ("b", NONE), ("c", NONE), ("a", OUTAGE)]
        self.assertEqual(self.run_failover({}), expected)

    def test_primary_that_waits_for_the_store_is_not_skipped(self):
        expected = [("a", NONE), ("a", OUTAGE)]
        self.assertEqual(self.run_failover({"a": (True, True)}), expected)

    def test_one_standby_grants_unrecorded_tokens_without_primary(self):
        expected = [("a", NONE), ("b", NONE), ("c", NONE), ("b", LAST_RESORT)]
        self.assertEqual(self.run_failover({"a": (False, False)}), expected)

    def test_unused_allocations_are_bounded(self):
        answers = dict.fromkeys("abc", (False, True))
        expected = [("a", NONE), ("b", NONE), ("c", LAST_RESORT)]
        self.assertEqual(self.run_failover(answers), expected)

    def test_recorded_tokens_are_not_requested_again_in_an_outage(self):
        self.assertEqual(
            self.run_failover({}, is_outage=True), [("a", OUTAGE)]
        )

    def test_no_holder_is_available(self):
        self.unavailable = set("abc")
        self.assertEqual(self.run_failover({}), [])
        self.assertFalse(self.has_answer)
