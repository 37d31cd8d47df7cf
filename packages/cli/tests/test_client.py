"""Tests of the caller's client against scripted entry processes."""

import unittest

import builders

from balsamloom_cli import client, responses
from balsamloom_core import results

REFUSED_ADDRESS = "127.0.0.1:1"


class ClientTest(unittest.TestCase):
    """Guards against calls run twice, lost responses and needless waits."""

    def entry(self, *replies):
        entry = builders.ScriptedEntry(*replies)
        self.addCleanup(entry.stop)
        return entry

    def caller(self, *addresses):
        self.clock = builders.FakeClock()
        return client.Caller(addresses, clock=self.clock, timeout_ms=20_000)

    def chat(self, entry):
        caller = self.caller(entry.address)
        return [
            (event.name, event.number)
            for event in caller.chat("p1", {"messages": []}, "k1")
        ]

    def test_address_is_looked_up_again_only_after_valid_ms(self):
        entry = self.entry(*[builders.ok({})] * 3)
        caller = self.caller(entry.address)
        caller.show("p1")
        caller.show("p1")
        self.assertEqual(entry.address_lookups, 1)
        self.clock.time_ms += 60_000
        caller.show("p1")
        self.assertEqual(entry.address_lookups, 2)

    def test_alternative_is_used_when_the_owner_is_unreachable(self):
        entry = self.entry(builders.ok({"runs": 1}))
        entry.addresses = (REFUSED_ADDRESS, 60_000, [entry.address])
        caller = self.caller(REFUSED_ADDRESS, entry.address)
        self.assertEqual(caller.tool("p1", "s", "o", {}, "k1"), {"runs": 1})
        self.assertEqual(entry.keys(), ["k1"])

    def test_unknown_program_at_an_alternative_is_retried(self):
        unknown = builders.refusal(results.ResultCode.UNKNOWN_PROGRAM)
        entry = self.entry(unknown, builders.ok({"runs": 1}))
        entry.addresses = (REFUSED_ADDRESS, 60_000, [entry.address])
        caller = self.caller(entry.address)
        self.assertEqual(caller.tool("p1", "s", "o", {}, "k1"), {"runs": 1})

    def test_refusal_with_a_status_that_http_lacks_promises_nothing(self):
        refusal = builders.refusal(results.ResultCode.OVERLOADED)
        entry = self.entry(
            refusal._replace(status=777), builders.ok({"program_id": "p2"})
        )
        with self.assertRaises(responses.CallError) as caught:
            self.caller(entry.address).start({})
        unknown = results.ResultCode.OUTCOME_UNKNOWN
        self.assertEqual(caught.exception.code, unknown)

    def test_retry_after_is_respected_and_the_key_kept(self):
        busy = results.ResultCode.OVERLOADED
        entry = self.entry(
            builders.refusal(busy, retry_after_ms=700),
            builders.refusal(busy, headers=(("Retry-After", "3"),)),
            builders.ok({"runs": 1}),
        )
        caller = self.caller(entry.address)
        self.assertEqual(caller.tool("p1", "s", "o", {}, "k1"), {"runs": 1})
        self.assertEqual(self.clock.sleeps_ms, [700, 3_000])
        self.assertEqual(entry.keys(), ["k1"] * 3)

    def test_retry_after_beyond_the_deadline_ends_the_call_at_once(self):
        busy = builders.refusal(results.ResultCode.OVERLOADED, 30_000)
        entry = self.entry(busy)
        with self.assertRaises(responses.CallError) as caught:
            self.caller(entry.address).tool("p1", "s", "o", {}, "k1")
        self.assertTrue(caught.exception.not_run)
        self.assertEqual(self.clock.sleeps_ms, [])

    def test_interrupted_tool_call_is_retried_with_the_same_key(self):
        entry = self.entry(builders.DISCONNECT, builders.ok({"runs": 1}))
        caller = self.caller(entry.address)
        self.assertEqual(caller.tool("p1", "s", "o", {}, "k1"), {"runs": 1})
        self.assertEqual(entry.keys(), ["k1", "k1"])

    def test_refusal_after_an_interrupted_attempt_may_have_run(self):
        entry = self.entry(
            builders.DISCONNECT,
            builders.refusal(results.ResultCode.BUDGET_EXHAUSTED),
        )
        with self.assertRaises(responses.CallError) as caught:
            self.caller(entry.address).tool("p1", "s", "o", {}, "k1")
        self.assertFalse(caught.exception.not_run)

    def test_interrupted_start_is_not_retried(self):
        entry = self.entry(builders.DISCONNECT)
        with self.assertRaises(responses.CallError) as caught:
            self.caller(entry.address).start({"customer": "c"})
        self.assertEqual(
            caught.exception.code, results.ResultCode.OUTCOME_UNKNOWN
        )
        self.assertFalse(caught.exception.not_run)
        self.assertEqual(len(entry.received), 1)

    def test_final_errors_are_not_retried(self):
        for code in (
            results.ResultCode.OUTCOME_UNKNOWN,
            results.ResultCode.KEY_REUSED_WITH_OTHER_BODY,
            results.ResultCode.BUDGET_EXHAUSTED,
            results.ResultCode.BACKEND_ERROR,
        ):
            with self.subTest(code.name):
                entry = self.entry(builders.refusal(code))
                with self.assertRaises(responses.CallError) as caught:
                    self.caller(entry.address).tool("p1", "s", "o", {}, "k1")
                self.assertEqual(caught.exception.code, code)
                self.assertEqual(len(entry.received), 1)

    def test_complete_stream_is_passed_on(self):
        entry = self.entry(
            builders.stream(
                builders.token(1), (2, "progress", {}), builders.done(3)
            )
        )
        self.assertEqual(
            self.chat(entry), [("message", 1), ("progress", 2), ("done", 3)]
        )

    def test_damaged_stream_is_retried_with_the_same_key(self):
        damaged = {
            "interrupted": builders.stream(builders.token(1), is_whole=False),
            "no done": builders.stream(builders.token(1)),
            "gap": builders.stream(builders.token(1), builders.done(3)),
            "repeated": builders.stream(builders.token(1), builders.token(1)),
        }
        whole = builders.stream(builders.token(1), builders.done(2))
        for name, reply in damaged.items():
            with self.subTest(name):
                entry = self.entry(reply, whole)
                self.assertEqual(
                    self.chat(entry),
                    [
                        ("message", 1),
                        ("restart", 1),
                        ("message", 1),
                        ("done", 2),
                    ],
                )
                self.assertEqual(entry.keys(), ["k1", "k1"])

    def test_error_in_the_final_event_is_raised(self):
        for last in (
            builders.done(1, int(results.ResultCode.BUDGET_EXHAUSTED)),
            (1, "done", {"error": {"code": 2007, "not_run": True}}),
        ):
            entry = self.entry(builders.stream(last))
            with self.assertRaises(responses.CallError) as caught:
                self.chat(entry)
            self.assertEqual(caught.exception.code, 2007)
