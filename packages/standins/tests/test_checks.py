"""Tests of the checks of calls against recorded histories."""

import unittest

from balsamloom_standins import callers, checks


def call(key, start_s, end_s, text="", code=callers.COMPLETED):
    return callers.Call(
        "p",
        key,
        text,
        1,
        code,
        False,
        "",
        callers.StreamStats(),
        start_s,
        end_s,
    )


def messages(*keys):
    """Build a history; keys that start with ``ask`` are model calls."""
    history = []
    for key in keys:
        if key.startswith("ask"):
            history.append({"role": "user", "content": key})
            history.append({"role": "assistant", "content": "t0 "})
        else:
            history.append({"role": "tool", "tool_call_id": key})
    return history


class FinalCodeTest(unittest.TestCase):
    """Guards against checks of a call whose record is not durable yet.

    The history check found unexpected messages once, in CI: the response to
    the last write to the store was lost, and its retry was not complete.
    """

    def test_waits_for_result_that_is_not_durable_yet(self):
        codes = iter((callers.ACCEPTED, callers.COMPLETED))
        code = callers.final_code(lambda: next(codes))
        self.assertEqual(code, callers.COMPLETED)

    def test_last_code_is_returned_after_timeout(self):
        code = callers.final_code(lambda: callers.ACCEPTED, 0.1)
        self.assertEqual(code, callers.ACCEPTED)


class HistoryTest(unittest.TestCase):
    """Guards against histories that differ from the calls of the caller."""

    def findings(self, history, *calls, recorded=()):
        def code_of(call):
            return callers.COMPLETED if call.key in recorded else 0

        return checks.check_history(history, calls, code_of)

    def test_sequential_calls_are_in_order(self):
        calls = call("a", 0, 1), call("k", 2, 3, "ask"), call("b", 4, 5)
        self.assertEqual(self.findings(messages("a", "ask", "b"), *calls), [])
        for wrong in (("ask", "a", "b"), ("a", "b", "ask"), ("b", "a", "ask")):
            self.assertTrue(self.findings(messages(*wrong), *calls), wrong)

    def test_overlapping_calls_may_be_in_either_order(self):
        # A call whose owner was paused runs at the next owner, after calls
        # that were sent later (scenario "A paused entry process wakes").
        calls = call("release", 0, 9), call("k", 2, 3, "ask")
        for order in (("release", "ask"), ("ask", "release")):
            self.assertEqual(self.findings(messages(*order), *calls), [])

    def test_overlap_does_not_relax_order_of_other_calls(self):
        calls = call("r", 0, 9), call("k", 2, 3, "ask"), call("b", 4, 5)
        self.assertEqual(self.findings(messages("ask", "r", "b"), *calls), [])
        self.assertTrue(self.findings(messages("b", "r", "ask"), *calls))

    def test_missing_and_added_calls_are_found(self):
        calls = call("a", 0, 1), call("b", 2, 3)
        self.assertTrue(self.findings(messages("a"), *calls))
        self.assertTrue(self.findings(messages("a", "b", "c"), *calls))
        self.assertTrue(self.findings(messages("a", "a", "b"), *calls))

    def test_messages_of_a_call_are_adjacent(self):
        calls = call("k", 0, 9, "ask"), call("b", 0, 9)
        mixed = messages("ask")
        mixed.insert(1, messages("b")[0])
        self.assertTrue(self.findings(mixed, *calls))

    def test_unfinished_call_counts_if_it_was_recorded(self):
        lost = call("a", 0, 1, code=14)
        later = call("b", 2, 3)
        self.assertEqual(self.findings(messages("b"), lost, later), [])
        for order in (("a", "b"), ("b", "a")):
            found = self.findings(
                messages(*order), lost, later, recorded=("a",)
            )
            self.assertEqual(found, [])
        self.assertTrue(
            self.findings(messages("b"), lost, later, recorded=("a",))
        )


if __name__ == "__main__":
    unittest.main()
