"""Tests of attempts of model calls and of relaying their answers."""

import threading
import unittest

import builders

from balsamloom_core import clock as clocks
from balsamloom_core import errors, results
from balsamloom_entry import feeds, model_calls


class AttemptsTest(unittest.TestCase):
    def test_failed_attempt_is_retried_on_another_engine(self):
        """Guards against a call that fails because one of two engines does."""
        whole = builders.ScriptedStream([builders.chunk("a")])
        scripted = {
            "s1": builders.ScriptedEngine(builders.failure(was_sent=True)),
            "s2": builders.ScriptedEngine(whole),
        }
        for _ in range(4):
            call, _ = builders.model_attempts(
                builders.sender(scripted, self, retry_delay_ms=0)
            )
            self.assertEqual(
                call.wait_for_first_tokens().first_batch, [builders.chunk("a")]
            )

    def test_attempt_that_may_have_generated_tokens_is_counted(self):
        """Guards against exceeding the budget: 121 of 120 tokens were used."""
        for was_sent in (True, False):
            with self.subTest(was_sent=was_sent):
                failing = builders.ScriptedEngine(builders.failure(was_sent))
                whole = builders.ScriptedStream([builders.chunk("a")])
                scripted = {"s1": failing, "s2": failing}
                sender = builders.sender(
                    scripted, self, retry_delay_ms=0, retry_max=1
                )
                call, _ = builders.model_attempts(sender, 500)
                with self.assertRaises(errors.BalsamloomError):
                    call.wait_for_first_tokens()
                self.assertEqual(call.uncertain_count, 2 if was_sent else 0)
                scripted["s1"] = scripted["s2"] = builders.ScriptedEngine(
                    whole
                )
                retried, _ = builders.model_attempts(sender)
                retried.wait_for_first_tokens()
                self.assertEqual(retried.uncertain_count, 0)

    def test_attempt_is_not_retried_without_budget(self):
        """Guards against a retry whose tokens exceed the budget."""
        engine = builders.ScriptedEngine(builders.failure(was_sent=True))
        call, _ = builders.model_attempts(
            builders.sender({"s1": engine, "s2": engine}, self),
            has_budget=False,
        )
        with self.assertRaises(errors.BalsamloomError):
            call.wait_for_first_tokens()
        self.assertEqual(call.uncertain_count, 1)

    def test_refusal_after_a_sent_attempt_is_not_reported_as_not_run(self):
        """Guards against "not run" for a call that reached an engine."""
        for was_sent in (True, False):
            with self.subTest(was_sent=was_sent):
                engine = builders.ScriptedEngine(builders.failure(was_sent))
                call, _ = builders.model_attempts(
                    builders.sender({"s1": engine}, self, retry_max=1), 500
                )
                with self.assertRaises(errors.BalsamloomError) as caught:
                    call.wait_for_first_tokens()
                info = results.info(caught.exception.code)
                self.assertFalse(was_sent and info.not_run)

    def test_call_to_a_hung_engine_ends_at_the_deadline(self):
        """Guards against a caller that waits forever for a hung engine."""
        hang = threading.Event()
        self.addCleanup(hang.set)

        class HungEngine(builders.ScriptedEngine):
            def chat(self, *_):
                hang.wait(20)
                raise builders.failure(was_sent=True)

        engine = HungEngine(None)
        call, _ = builders.model_attempts(
            builders.sender({"s1": engine}, self), 200
        )
        with self.assertRaises(errors.BalsamloomError) as caught:
            call.wait_for_first_tokens()
        code = results.ResultCode.BACKEND_TIMEOUT
        self.assertEqual(caught.exception.code, code)


class RelayTest(unittest.TestCase):
    def relay(self, *batches, is_whole=True):
        stream = builders.ScriptedStream(*batches, is_whole=is_whole)
        engine = builders.ScriptedEngine(stream)
        sender = builders.sender({"s1": engine}, self)
        call, feed = builders.model_attempts(sender)
        end_ms = sender.clock.now_ms() + 5_000
        started = call.wait_for_first_tokens()
        return model_calls.Relay(started, sender.clock, end_ms), feed

    def content(self, relay):
        return relay.answer()["choices"][0]["message"]["content"]

    def test_call_reads_the_rest_when_its_caller_disconnects(self):
        """Guards against a history truncated where a connection broke."""
        batches = [[builders.chunk(text)] for text in "abc"]
        relay, feed = self.relay(*batches)
        feed.put(feeds.StreamStarted(relay))
        response = feeds.stream_response(feed, 1_000)
        next(response.chunks)
        response.chunks.close()
        relay.wait()
        self.assertEqual(self.content(relay), "abc")

    def test_call_reads_everything_when_its_caller_never_read(self):
        """Guards against a task that waits for a disconnected reader."""
        relay, feed = self.relay([builders.chunk("a")], [builders.chunk("b")])
        feed.close()
        feed.put(feeds.StreamStarted(relay))
        relay.wait()
        self.assertEqual(self.content(relay), "ab")

    def test_incomplete_answer_is_an_error(self):
        """Guards against recording a partial answer as complete."""
        for incomplete in (
            self.relay([builders.chunk("a")], is_whole=False),
            self.relay([builders.chunk("a")], builders.failure(True)),
        ):
            relay, _ = incomplete
            relay.abandon()
            with self.assertRaises(errors.BalsamloomError):
                relay.wait()

    def test_damaged_chunk_is_an_error(self):
        """Guards against a history that lacks a chunk."""
        damaged = builders.chunk("a")._replace(text='{"choices": [')
        relay, _ = self.relay([damaged])
        relay.abandon()
        relay.wait()
        with self.assertRaises(errors.BalsamloomError) as caught:
            relay.answer()
        code = results.ResultCode.DAMAGED_MESSAGE
        self.assertEqual(caught.exception.code, code)


class FeedTest(unittest.TestCase):
    def test_waiting_caller_gets_progress_with_the_reason(self):
        """Guards against a caller that waits without progress events."""
        feed = feeds.Feed(clocks.Clock())
        feed.set_wait_reason("backend server", 3)
        response = feeds.stream_response(feed, 10)
        event = next(response.chunks).decode()
        self.assertIn("event: progress", event)
        self.assertIn('"reason":"backend server"', event)
        self.assertIn('"position":3', event)
        feed.put(feeds.CallCompleted(1000, {"x": 1}, True))
        events = b"".join(response.chunks).decode()
        last = events[events.index("event: done") :]
        self.assertIn('"committed":true', last)
        self.assertTrue(last.endswith("data: [DONE]\n\n"))

    def test_error_before_other_items_has_its_http_status(self):
        """Guards against a refusal within a stream of status 200."""
        feed = feeds.Feed(clocks.Clock())
        code = results.ResultCode.OVERLOADED
        error = errors.BalsamloomError(code, "full", 1_200)
        feed.put(feeds.CallFailed(error))
        response = feeds.stream_response(feed, 1_000)
        self.assertEqual(response.status, 503)
        self.assertEqual(response.headers["Retry-After"], "2")
