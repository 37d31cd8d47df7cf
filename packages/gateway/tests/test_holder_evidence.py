"""Tests of the evidence that a holder is slow and not lost."""

import unittest

import builders

from balsamloom_gateway import holder_evidence

TIMEOUT_MS = 350.0


class HolderEvidenceTest(unittest.TestCase):
    """Guards against slow holders taken for lost ones, and the reverse."""

    def setUp(self):
        self.clock = builders.manual_clock()
        self.evidence = holder_evidence.HolderEvidence(self.clock)
        self.holder = builders.member("m1")

    def answer(self, holder):
        self.evidence.record_answered(self.evidence.record_sent(holder))

    def test_silent_holder_is_not_slow(self):
        call = self.evidence.record_sent(self.holder)
        self.clock.advance(TIMEOUT_MS)
        self.assertFalse(self.evidence.is_slow(call))

    def test_holder_that_answers_a_later_call_is_slow(self):
        call = self.evidence.record_sent(self.holder)
        self.clock.advance(TIMEOUT_MS / 2)
        self.answer(self.holder)
        self.clock.advance(TIMEOUT_MS / 2)
        self.assertTrue(self.evidence.is_slow(call))

    def test_holder_that_answers_an_earlier_call_late_is_slow(self):
        earlier = self.evidence.record_sent(self.holder)
        call = self.evidence.record_sent(self.holder)
        self.clock.advance(TIMEOUT_MS - 1)
        self.evidence.record_answered(earlier)
        self.clock.advance(1)
        self.assertTrue(self.evidence.is_slow(call))

    def test_answer_before_the_call_says_nothing(self):
        self.answer(self.holder)
        self.clock.advance(1)
        call = self.evidence.record_sent(self.holder)
        self.clock.advance(TIMEOUT_MS)
        self.assertFalse(self.evidence.is_slow(call))

    def test_holder_frozen_just_after_the_call_was_sent_is_not_slow(self):
        call = self.evidence.record_sent(self.holder)
        for _ in range(9):
            self.clock.advance(holder_evidence.MIN_LATER_MS / 10)
            self.answer(self.holder)
        self.clock.advance(TIMEOUT_MS)
        self.assertFalse(self.evidence.is_slow(call))

    def test_answer_of_another_holder_says_nothing(self):
        call = self.evidence.record_sent(self.holder)
        self.clock.advance(TIMEOUT_MS)
        self.answer(builders.member("m2"))
        self.assertFalse(self.evidence.is_slow(call))

    def test_answer_of_the_next_process_of_the_host_says_nothing(self):
        call = self.evidence.record_sent(self.holder)
        self.clock.advance(TIMEOUT_MS)
        self.answer(builders.member("m1", "2"))
        self.assertFalse(self.evidence.is_slow(call))


if __name__ == "__main__":
    unittest.main()
