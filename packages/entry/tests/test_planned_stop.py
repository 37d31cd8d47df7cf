"""Tests of an entry process's planned stop."""

import http.client
import json
import threading
import time
import types
import unittest
from unittest import mock

import builders

from balsamloom_core import results
from balsamloom_entry import process

TIMEOUT_S = 10
SHORT_WAIT_S = 0.4
POLL_INTERVAL_S = 0.01
THREADS = 8
BODY = b'{"customer": "c"}'


def connect(entry):
    host, port = entry.address.split(":")
    return http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)


def begin_request(entry):
    """Send a request up to the middle of its body."""
    connection = connect(entry)
    connection.putrequest("POST", "/v1/programs")
    connection.putheader("Content-Length", str(len(BODY)))
    connection.endheaders(BODY[:5])
    return connection


def wait_until(condition):
    end_s = time.monotonic() + TIMEOUT_S
    while not condition() and time.monotonic() < end_s:
        time.sleep(POLL_INTERVAL_S)


class PlannedStopTest(unittest.TestCase):
    def start(self, **changes):
        entry = process.EntryProcess(builders.entry_settings(**changes))
        entry.start()
        self.addCleanup(entry.stop)
        return entry

    def stop(self, entry):
        """Begin a stop; return its thread and when the session has ended."""
        session_ended = threading.Event()
        stop_session = entry.session.stop

        def record():
            session_ended.set()
            stop_session()

        patch = mock.patch.object(entry.session, "stop", record)
        patch.start()
        self.addCleanup(patch.stop)
        self.outcomes = []
        thread = threading.Thread(
            target=lambda: self.outcomes.append(entry.stop())
        )
        thread.start()
        self.addCleanup(thread.join)
        return thread, session_ended

    def test_session_goes_on_while_a_request_is_being_read(self):
        entry = self.start()
        connection = begin_request(entry)
        self.addCleanup(connection.close)
        time.sleep(SHORT_WAIT_S)
        thread, session_ended = self.stop(entry)
        self.assertFalse(session_ended.wait(SHORT_WAIT_S))
        connection.send(BODY[5:])
        response = connection.getresponse()
        self.assertEqual(response.headers["Connection"], "close")
        self.assertNotEqual(
            json.load(response)["error"]["code"], results.ResultCode.LEAVING
        )
        thread.join()
        self.assertEqual(self.outcomes, [True])

    def test_session_goes_on_while_a_former_one_has_a_request(self):
        entry = self.start()
        router = types.SimpleNamespace(in_progress=1)
        former = types.SimpleNamespace(router=router, peers=mock.Mock())
        entry._former_sessions.append(former)
        thread, session_ended = self.stop(entry)
        self.assertFalse(session_ended.wait(SHORT_WAIT_S))
        router.in_progress = 0
        thread.join()
        self.assertEqual(self.outcomes, [True])

    def test_request_on_a_kept_connection_is_not_cut(self):
        entry = self.start()
        server = entry._http
        kept, other = connect(entry), connect(entry)
        self.addCleanup(kept.close)
        self.addCleanup(other.close)
        kept.request("GET", "/v1/status")
        kept.getresponse().read()
        is_held, release = threading.Event(), threading.Event()
        self.addCleanup(release.set)
        queue = server.process_conn

        def hold(connection):
            is_held.set()
            release.wait(TIMEOUT_S)
            queue(connection)

        # The server's loop reads no other connection meanwhile.
        with mock.patch.object(server, "process_conn", hold):
            other.request("GET", "/v1/status")
            self.assertTrue(is_held.wait(TIMEOUT_S))
            thread, session_ended = self.stop(entry)
            session_ended.wait(SHORT_WAIT_S)
            time.sleep(SHORT_WAIT_S)
            kept.request("GET", "/v1/status")
            release.set()
            response = kept.getresponse()
        self.assertEqual(response.status, 200)
        self.assertEqual(response.headers["Connection"], "close")
        thread.join()

    def test_nothing_is_accepted_and_idle_connections_are_closed(self):
        entry = self.start()
        begun, idle = begin_request(entry), connect(entry)
        self.addCleanup(begun.close)
        self.addCleanup(idle.close)
        idle.connect()
        time.sleep(SHORT_WAIT_S)
        thread, session_ended = self.stop(entry)
        self.assertEqual(idle.sock.recv(1), b"")
        with self.assertRaises(ConnectionRefusedError):
            connect(entry).connect()
        self.assertFalse(session_ended.is_set())
        begun.send(BODY[5:])
        begun.getresponse().read()
        thread.join()

    def test_request_read_too_late_is_refused_as_not_run(self):
        entry = self.start(stop_timeout_ms=0)
        connection = begin_request(entry)
        self.addCleanup(connection.close)
        time.sleep(SHORT_WAIT_S)
        thread, _ = self.stop(entry)
        wait_until(lambda: entry._is_refusing)
        connection.send(BODY[5:])
        error = json.load(connection.getresponse())["error"]
        self.assertEqual(error["code"], results.ResultCode.LEAVING)
        self.assertTrue(error["not_run"])
        thread.join()

    def test_request_queued_behind_long_ones_is_refused_as_not_run(self):
        entry = self.start(stop_timeout_ms=0, http_threads=THREADS)
        long_ones = [begin_request(entry) for _ in range(THREADS)]
        wait_until(lambda: entry._http.requests.idle == 0)
        queued = connect(entry)
        self.addCleanup(queued.close)
        queued.request("GET", "/v1/status")
        thread, _ = self.stop(entry)
        error = json.load(queued.getresponse())["error"]
        self.assertEqual(error["code"], results.ResultCode.LEAVING)
        for connection in long_ones:
            connection.close()
        thread.join()
