"""Tests of the client of model engines."""

import json
import threading
import unittest

import builders
import urllib3

from balsamloom_core import results
from balsamloom_platform import engine_client, engines


def chat(address, read_timeout_ms=5_000):
    pool = urllib3.PoolManager()
    engine = engine_client.Engine(address, pool)
    return engine.chat({"messages": []}, "p1/1/c", 1_000, read_timeout_ms)


class ChatStreamTest(unittest.TestCase):
    def test_a_chunk_is_yielded_before_the_next_one_is_sent(self):
        """Guards against a client that waits for a full buffer."""
        first_seen = threading.Event()
        was_seen = []

        def script(connection):
            builders.read_request(connection)
            event = builders.event("a")
            connection.sendall(builders.CHUNKED + builders.chunk(event))
            was_seen.append(first_seen.wait(5))
            rest = builders.event("b") + b"data: [DONE]\n\n"
            connection.sendall(builders.chunk(rest) + b"0\r\n\r\n")

        stream = chat(builders.ScriptedServer(self, script).address)
        batches = stream.batches()
        self.assertEqual(len(next(batches)), 1)
        first_seen.set()
        self.assertEqual(len(next(batches)), 1)
        self.assertEqual(list(batches), [])
        self.assertEqual(was_seen, [True])
        self.assertTrue(stream.is_whole)

    def test_an_event_split_over_two_chunks_is_read_whole(self):
        """Guards against losing tokens at boundaries of network reads."""
        event = builders.event("ab")
        raw = builders.CHUNKED + builders.chunk(event[:9])
        raw += builders.chunk(event[9:] + b"data: [DONE]\n\n") + b"0\r\n\r\n"
        server = builders.ScriptedServer(self, builders.reply_with(raw))
        batches = list(chat(server.address).batches())
        chunk = json.loads(batches[0][0].text)
        content = chunk["choices"][0]["delta"]["content"]
        self.assertEqual(content, "ab")

    def test_a_truncated_stream_is_not_whole(self):
        """Guards against a partial response reported as complete."""
        raw = builders.CHUNKED + builders.chunk(builders.event("a"))
        server = builders.ScriptedServer(self, builders.reply_with(raw))
        stream = chat(server.address)
        with self.assertRaises(engines.EngineError) as caught:
            list(stream.batches())
        self.assertFalse(stream.is_whole)
        self.assertTrue(caught.exception.was_sent)
        self.assertIs(caught.exception.code, results.ResultCode.BACKEND_ERROR)

    def test_a_silent_engine_is_a_timeout(self):
        """Guards against a hung engine reported as an engine error."""
        ended = threading.Event()
        self.addCleanup(ended.set)

        def script(connection):
            builders.read_request(connection)
            connection.sendall(builders.CHUNKED)
            ended.wait(10)

        stream = chat(builders.ScriptedServer(self, script).address, 100)
        with self.assertRaises(engines.EngineError) as caught:
            list(stream.batches())
        self.assertIs(
            caught.exception.code, results.ResultCode.BACKEND_TIMEOUT
        )


class ErrorResponseTest(unittest.TestCase):
    """Guards against error responses mapped to the wrong result code."""

    def error_of(self, raw):
        server = builders.ScriptedServer(self, builders.reply_with(raw))
        with self.assertRaises(engines.EngineError) as caught:
            chat(server.address)
        error = caught.exception
        return error.code, error.was_sent, error.retry_after_ms

    def test_status_is_mapped_to_result_code(self):
        codes = results.ResultCode
        draining = b'{"error": {"code": "draining"}}'
        for raw, expected in (
            (
                builders.response(503, draining),
                (codes.NO_BACKEND_SERVER, False, None),
            ),
            (
                builders.response(429, b"", "Retry-After: 2"),
                (codes.OVERLOADED, False, 2_000),
            ),
            (builders.response(503, b"[]"), (codes.OVERLOADED, False, None)),
            (builders.response(500, b""), (codes.BACKEND_ERROR, True, None)),
        ):
            with self.subTest(raw=raw):
                self.assertEqual(self.error_of(raw), expected)

    def test_a_refused_connection_was_not_sent(self):
        with self.assertRaises(engines.EngineError) as caught:
            chat(builders.unused_address())
        self.assertIs(caught.exception.code, results.ResultCode.NOT_SENT)
        self.assertFalse(caught.exception.was_sent)
