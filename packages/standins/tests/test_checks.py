"""Tests of the checks of what callers were told."""

import unittest

from balsamloom_standins import checks, observations


def told(key, start_s, end_s, text="", code=observations.COMPLETED):
    return observations.Call(
        "p",
        key,
        text,
        1,
        code,
        False,
        "",
        observations.StreamStats(),
        start_s,
        end_s,
    )


def messages(*keys):
    """Build a history of tool calls, or of model calls with their text."""
    found = []
    for key in keys:
        if key.startswith("ask"):
            found.append({"role": "user", "content": key})
            found.append({"role": "assistant", "content": "t0 "})
        else:
            found.append({"role": "tool", "tool_call_id": key})
    return found


class SettledCodeTest(unittest.TestCase):
    """Guards against checks of a call whose record is still under way.

    "has more than the caller was told" was seen once, in CI: the store had
    lost the answer to the last write, and its repetition was not through.
    """

    def test_a_result_that_is_not_durable_yet_is_waited_for(self):
        codes = iter((observations.ACCEPTED, observations.COMPLETED))
        code = observations.final_code(lambda: next(codes))
        self.assertEqual(code, observations.COMPLETED)

    def test_a_result_that_never_comes_is_reported(self):
        code = observations.final_code(lambda: observations.ACCEPTED, 0.1)
        self.assertEqual(code, observations.ACCEPTED)


class HistoryTest(unittest.TestCase):
    """Guards against histories that differ from what callers were told."""

    def findings(self, history, *calls, recorded=()):
        def code_of(call):
            return observations.COMPLETED if call.key in recorded else 0

        return checks.check_history(history, calls, code_of)

    def test_calls_one_after_another_stand_in_their_order(self):
        calls = told("a", 0, 1), told("k", 2, 3, "ask"), told("b", 4, 5)
        self.assertEqual(self.findings(messages("a", "ask", "b"), *calls), [])
        for wrong in (("ask", "a", "b"), ("a", "b", "ask"), ("b", "a", "ask")):
            self.assertTrue(self.findings(messages(*wrong), *calls), wrong)

    def test_calls_that_overlap_may_stand_in_either_order(self):
        # A call whose owner was paused runs at the next owner, after calls
        # that were sent later (scenario "A paused entry process wakes").
        calls = told("release", 0, 9), told("k", 2, 3, "ask")
        for order in (("release", "ask"), ("ask", "release")):
            self.assertEqual(self.findings(messages(*order), *calls), [])

    def test_order_between_others_holds_beside_an_overlap(self):
        calls = told("r", 0, 9), told("k", 2, 3, "ask"), told("b", 4, 5)
        self.assertEqual(self.findings(messages("ask", "r", "b"), *calls), [])
        self.assertTrue(self.findings(messages("b", "r", "ask"), *calls))

    def test_missing_and_added_calls_are_found(self):
        calls = told("a", 0, 1), told("b", 2, 3)
        self.assertTrue(self.findings(messages("a"), *calls))
        self.assertTrue(self.findings(messages("a", "b", "c"), *calls))
        self.assertTrue(self.findings(messages("a", "a", "b"), *calls))

    def test_messages_of_a_call_stand_together(self):
        calls = told("k", 0, 9, "ask"), told("b", 0, 9)
        mixed = messages("ask")
        mixed.insert(1, messages("b")[0])
        self.assertTrue(self.findings(mixed, *calls))

    def test_unfinished_call_counts_if_it_was_recorded(self):
        lost = told("a", 0, 1, code=14)
        later = told("b", 2, 3)
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
