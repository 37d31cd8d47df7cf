"""Tests of answers that are slow, stalled or without end."""

import socket
import time
import unittest

import builders

from balsamloom_core import outcomes, results
from balsamloom_platform import engine_client, engines, response_limits, tools

CALL_MS = 600
# A call may take its own time and the time of one more reading.
LATEST_S = 2.0
PIECE = b"x" * 65_536


def endless(start, piece, pause_s=0.0):
    """Return a script that sends pieces until its caller closes."""

    def script(connection):
        builders.read_request(connection)
        try:
            connection.sendall(start)
            while True:
                connection.sendall(piece)
                time.sleep(pause_s)
        except OSError:
            return

    return script


class ToolAnswerTest(unittest.TestCase):
    """Guards against calls that never end and memory that is used up."""

    def check_ends(self, script):
        server = builders.ScriptedServer(self, script)
        service = tools.ToolService(
            server.address, response_limits.limited_pool(1, 1)
        )
        started_s = time.monotonic()
        found = service.call("desk", "charge", {}, "k1", CALL_MS)
        self.assertIsInstance(found, outcomes.Unknown)
        self.assertLess(time.monotonic() - started_s, LATEST_S)

    def test_dripping_head(self):
        self.check_ends(endless(b"HTTP/1.1 200 OK\r\nA: ", b"b", 0.05))

    def test_dripping_body(self):
        start = b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"
        self.check_ends(endless(start, b"1", 0.05))

    def test_heads_without_end(self):
        self.check_ends(endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n"))

    def test_body_without_end(self):
        self.check_ends(endless(b"HTTP/1.1 200 OK\r\n\r\n", PIECE, 0.001))

    def test_sound_answer_of_some_size(self):
        body = b'{"text": "' + b"y" * 1_000_000 + b'"}'
        script = builders.reply_with(builders.response(200, body))
        server = builders.ScriptedServer(self, script)
        service = tools.ToolService(
            server.address, response_limits.limited_pool(1, 1)
        )
        found = service.call("desk", "charge", {}, "k1", 5_000)
        self.assertIsInstance(found, outcomes.Completed)


class LimitTest(unittest.TestCase):
    """Guards against an answer that is cut off too early or too late."""

    def reader(self, limits):
        near, far = socket.socketpair()
        self.addCleanup(near.close)
        self.addCleanup(far.close)
        near.settimeout(5.0)
        return response_limits.LimitedReader(near, limits), far

    def test_bytes_over_the_limit(self):
        reader, far = self.reader(response_limits.Limits(10, 5_000.0))
        far.sendall(b"0123456789ab")
        buffer = bytearray(10)
        self.assertEqual(reader.readinto(buffer), 10)
        with self.assertRaises(response_limits.ResponseTooLargeError):
            reader.readinto(buffer)

    def test_lifted_limits(self):
        reader, far = self.reader(response_limits.Limits(4, 5_000.0))
        far.sendall(b"0123")
        buffer = bytearray(4)
        reader.readinto(buffer)
        reader.remove_limits()
        far.sendall(b"4567")
        self.assertEqual(reader.readinto(buffer), 4)

    def test_time_is_one_for_all_reads(self):
        reader, far = self.reader(response_limits.Limits(1_000, 300.0))
        started_s = time.monotonic()
        buffer = bytearray(1)
        with self.assertRaises(TimeoutError):
            while True:
                far.sendall(b"x")
                reader.readinto(buffer)
                time.sleep(0.02)
        self.assertLess(time.monotonic() - started_s, LATEST_S)


class StreamTest(unittest.TestCase):
    """Guards against stalled streams, and against cutting sound ones."""

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
        self.assertLess(time.monotonic() - started_s, LATEST_S)

    def test_dripping_head(self):
        script = endless(b"HTTP/1.1 200 OK\r\nA: ", b"b", 0.05)
        self.check_ends(script, results.ResultCode.BACKEND_TIMEOUT)

    def test_head_without_end(self):
        script = endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000)
        self.check_ends(script, results.ResultCode.BACKEND_ERROR)

    def test_refusal_whose_body_drips_or_has_no_end(self):
        start = b"HTTP/1.1 500 No\r\n\r\n"
        for piece, pause_s in ((b"x", 0.05), (PIECE, 0.0)):
            with self.subTest(len(piece)):
                script = endless(start, piece, pause_s)
                self.check_ends(script, results.ResultCode.BACKEND_ERROR)

    def test_stream_that_sends_only_signs_of_life(self):
        start = b"HTTP/1.1 200 OK\r\n\r\n" + builders.event("a")
        script = endless(start, b": here\n\n", 0.05)
        self.check_ends(script, results.ResultCode.BACKEND_TIMEOUT)

    def test_stream_that_drips_an_event(self):
        start = b"HTTP/1.1 200 OK\r\n\r\n" + builders.event("a") + b"data: "
        script = endless(start, b"x", 0.05)
        self.check_ends(script, results.ResultCode.BACKEND_TIMEOUT)

    def test_event_without_end(self):
        script = endless(b"HTTP/1.1 200 OK\r\n\r\ndata: ", PIECE)
        self.check_ends(script, results.ResultCode.DAMAGED_MESSAGE)

    def test_slow_but_sound_stream_is_whole(self):
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
