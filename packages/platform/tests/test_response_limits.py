"""Tests of responses that are slow, stalled or endless."""

import socket
import time
import unittest

import builders

from balsamloom_core import outcomes, results
from balsamloom_platform import engine_client, engines, response_limits, tools

CALL_TIMEOUT_MS = 600
# A call may take its timeout and the duration of one more read.
MAX_DURATION_S = 2.0
BLOCK = b"x" * 65_536


def endless(start, block, pause_s=0.0):
    """Return a script that sends blocks until the client disconnects."""

    def script(connection):
        builders.read_request(connection)
        try:
            connection.sendall(start)
            while True:
                connection.sendall(block)
                time.sleep(pause_s)
        except OSError:
            return

    return script


class ToolResponseTest(unittest.TestCase):
    """Guards against tool calls that never end or exhaust memory."""

    def check_ends(self, script):
        server = builders.ScriptedServer(self, script)
        service = tools.ToolService(
            server.address, response_limits.limited_pool(1, 1)
        )
        started_s = time.monotonic()
        found = service.call("desk", "charge", {}, "k1", CALL_TIMEOUT_MS)
        self.assertIsInstance(found, outcomes.UnknownOutcome)
        self.assertLess(time.monotonic() - started_s, MAX_DURATION_S)

    def test_slow_headers(self):
        self.check_ends(endless(b"HTTP/1.1 200 OK\r\nA: ", b"b", 0.05))

    def test_slow_body(self):
        start = b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"
        self.check_ends(endless(start, b"1", 0.05))

    def test_endless_interim_responses(self):
        self.check_ends(endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n"))

    def test_endless_body(self):
        self.check_ends(endless(b"HTTP/1.1 200 OK\r\n\r\n", BLOCK, 0.001))

    def test_status_that_answers_no_request(self):
        for status in ("000", "101", "103", "600", "777"):
            with self.subTest(status):
                raw = builders.response(status, b'{"error": "no"}')
                self.check_ends(builders.reply_with(raw))

    def test_valid_response_of_one_megabyte(self):
        body = b'{"text": "' + b"y" * 1_000_000 + b'"}'
        script = builders.reply_with(builders.response(200, body))
        server = builders.ScriptedServer(self, script)
        service = tools.ToolService(
            server.address, response_limits.limited_pool(1, 1)
        )
        found = service.call("desk", "charge", {}, "k1", 5_000)
        self.assertIsInstance(found, outcomes.Completed)


class LimitTest(unittest.TestCase):
    """Guards against limits that apply too early or too late."""

    def reader(self, limits):
        local, remote = socket.socketpair()
        self.addCleanup(local.close)
        self.addCleanup(remote.close)
        local.settimeout(5.0)
        return response_limits.LimitedReader(local, limits), remote

    def test_read_beyond_the_size_limit(self):
        reader, remote = self.reader(response_limits.Limits(10, 5_000.0))
        remote.sendall(b"0123456789ab")
        buffer = bytearray(10)
        self.assertEqual(reader.readinto(buffer), 10)
        with self.assertRaises(response_limits.ResponseTooLargeError):
            reader.readinto(buffer)

    def test_removed_limits(self):
        reader, remote = self.reader(response_limits.Limits(4, 5_000.0))
        remote.sendall(b"0123")
        buffer = bytearray(4)
        reader.readinto(buffer)
        reader.remove_limits()
        remote.sendall(b"4567")
        self.assertEqual(reader.readinto(buffer), 4)

    def test_all_reads_share_one_timeout(self):
        reader, remote = self.reader(response_limits.Limits(1_000, 300.0))
        started_s = time.monotonic()
        buffer = bytearray(1)
        with self.assertRaises(TimeoutError):
            while True:
                remote.sendall(b"x")
                reader.readinto(buffer)
                time.sleep(0.02)
        self.assertLess(time.monotonic() - started_s, MAX_DURATION_S)


class StreamTest(unittest.TestCase):
    """Guards against stalled streams and against aborting valid ones."""

    SILENCE_MS = 400

    def stream(self, script):
        server = builders.ScriptedServer(self, script)
        pool = engine_client.stream_pool(1, 1)
        engine = engine_client.Engine(server.address, pool, pool)
        return engine.chat({"messages": []}, "p/1/c", 1_000, self.SILENCE_MS)

    def check_ends(self, script, code):
        started_s = time.monotonic()
        with self.assertRaises(engines.EngineError) as caught:
            list(self.stream(script).batches())
        self.assertIs(caught.exception.code, code)
        self.assertTrue(caught.exception.was_sent)
        self.assertLess(time.monotonic() - started_s, MAX_DURATION_S)

    def test_slow_headers(self):
        script = endless(b"HTTP/1.1 200 OK\r\nA: ", b"b", 0.05)
        self.check_ends(script, results.ResultCode.BACKEND_TIMEOUT)

    def test_endless_headers(self):
        script = endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000)
        self.check_ends(script, results.ResultCode.BACKEND_ERROR)

    def test_error_response_with_slow_or_endless_body(self):
        start = b"HTTP/1.1 500 No\r\n\r\n"
        for block, pause_s in ((b"x", 0.05), (BLOCK, 0.0)):
            with self.subTest(len(block)):
                script = endless(start, block, pause_s)
                self.check_ends(script, results.ResultCode.BACKEND_ERROR)

    def test_status_that_answers_no_request(self):
        for status in ("000", "101", "103", "600", "777"):
            with self.subTest(status):
                raw = builders.response(status, b"")
                script = builders.reply_with(raw)
                self.check_ends(script, results.ResultCode.BACKEND_ERROR)

    def test_stream_that_sends_only_comments(self):
        start = b"HTTP/1.1 200 OK\r\n\r\n" + builders.event("a")
        script = endless(start, b": here\n\n", 0.05)
        self.check_ends(script, results.ResultCode.BACKEND_TIMEOUT)

    def test_stream_that_sends_an_event_slowly(self):
        start = b"HTTP/1.1 200 OK\r\n\r\n" + builders.event("a") + b"data: "
        script = endless(start, b"x", 0.05)
        self.check_ends(script, results.ResultCode.BACKEND_TIMEOUT)

    def test_endless_event(self):
        script = endless(b"HTTP/1.1 200 OK\r\n\r\ndata: ", BLOCK)
        self.check_ends(script, results.ResultCode.DAMAGED_MESSAGE)

    def test_slow_but_valid_stream_is_whole(self):
        def script(connection):
            builders.read_request(connection)
            connection.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
            for _ in range(6):
                time.sleep(0.25)
                connection.sendall(builders.event("a"))
            connection.sendall(b"data: [DONE]\n\n")

        stream = self.stream(script)
        self.assertEqual(sum(map(len, stream.batches())), 6)
        self.assertTrue(stream.is_whole)


if __name__ == "__main__":
    unittest.main()
