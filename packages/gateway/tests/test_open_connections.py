"""Tests of connections that callers keep open, also while a process stops."""

import http.client
import threading
import time
import unittest

import listener_case


class OpenConnectionTest(listener_case.ListenerCase):
    """Guards against a stop that overlooks open connections."""

    def test_process_is_not_idle_while_a_head_is_being_read(self):
        self.listener.start()
        caller = self.connect()
        caller.sendall(listener_case.REQUEST[:20])
        self.wait_for("reading")
        self.listener.stop_accepting()
        self.assertFalse(self.listener.is_idle)
        caller.sendall(listener_case.REQUEST[20:])
        self.assertIn(b"200", caller.recv(1_000))
        self.wait_until_idle()

    def test_connection_without_a_request_holds_no_thread(self):
        self.listener.start()
        for _ in range(listener_case.LIMITS.threads + 1):
            self.connect()
        self.wait_for("waiting", listener_case.LIMITS.threads + 1)
        caller = self.connect()
        caller.sendall(listener_case.REQUEST)
        self.assertIn(b"200", caller.recv(1_000))

    def test_connection_without_a_request_is_closed_at_the_end(self):
        self.listener.start()
        caller = self.connect()
        self.wait_for("waiting")
        started_s = time.monotonic()
        self.listener.stop_accepting()
        self.assertEqual(caller.recv(1_000), b"")
        self.assertTrue(self.listener.is_idle)
        self.assertLess(time.monotonic() - started_s, 0.3)

    def test_request_in_the_backlog_is_served_at_the_end(self):
        caller = self.connect()
        caller.sendall(listener_case.REQUEST)
        self.listener.stop_accepting()
        self.assertIn(b"200", caller.recv(1_000))
        self.wait_until_idle()

    def test_request_that_arrived_on_an_idle_connection_is_served(self):
        self.listener.start()
        caller = self.connect()
        caller.sendall(listener_case.REQUEST)
        self.assertIn(b"200", caller.recv(1_000))
        self.wait_for("waiting")
        with self.listener._connections._entries:
            caller.sendall(listener_case.REQUEST)
            stop = threading.Thread(target=self.listener.stop_accepting)
            stop.start()
            time.sleep(0.02)
        self.assertIn(b"200", caller.recv(1_000))
        stop.join()
        self.wait_until_idle()

    def test_open_connections_are_served_when_new_ones_are_refused(self):
        self.listener.start()
        caller = self.connect()
        self.listener.refuse_connections()
        with self.assertRaises(ConnectionRefusedError):
            self.connect()
        caller.sendall(listener_case.REQUEST)
        self.assertIn(b"200", caller.recv(1_000))

    def test_connection_kept_by_an_answer_after_the_end_is_closed(self):
        self.listener.start()
        self.work_s = 0.1
        caller = self.connect()
        caller.sendall(listener_case.REQUEST)
        self.wait_for("in_progress")
        self.listener.stop_accepting()
        self.assertIn(b"200", caller.recv(1_000))
        self.assertEqual(caller.recv(1_000), b"")
        self.wait_until_idle()


class IdleTimeoutTest(listener_case.ListenerCase):
    """Guards against an idle timeout that drops a request that arrived."""

    def test_request_that_arrived_at_the_idle_timeout_is_served(self):
        caller = self.connect()
        self.listener._connections._accept()
        caller.sendall(listener_case.REQUEST)
        time.sleep(0.02)
        self.listener.set_limits(
            listener_case.LIMITS._replace(idle_timeout_ms=1.0)
        )
        self.listener._connections._close_expired()
        self.listener.set_limits(listener_case.LIMITS)
        self.assertIn(b"200", caller.recv(1_000))


class ConnectionErrorTest(listener_case.ListenerCase):
    """Guards against one connection's error that ends the whole listener."""

    def fail_once(self, name, error):
        """Let a method of the next connection fail after its request."""
        connection_class = self.listener._server.ConnectionClass
        replaced = getattr(connection_class, name)
        self.addCleanup(setattr, connection_class, name, replaced)

        def fail(connection, *arguments):
            setattr(connection_class, name, replaced)
            raise error

        setattr(connection_class, name, fail)

    def test_error_of_a_close_does_not_end_the_listener(self):
        self.listener.start()
        self.fail_once("_close_kernel_socket", OSError(5, "failed"))
        for _ in range(listener_case.LIMITS.threads):
            connection = http.client.HTTPConnection(self.address, timeout=2)
            connection.request("GET", "/", headers={"Connection": "close"})
            self.assertEqual(connection.getresponse().status, 200)
            connection.close()
        self.wait_until_idle()

    def test_error_of_a_kept_connection_does_not_end_the_listener(self):
        self.listener.start()
        waiting = self.listener._connections
        register = waiting._register
        errors = [ValueError("closed"), KeyError("registered")]

        def fail(connection):
            if errors and connection.state.value == "waiting":
                raise errors.pop()
            return register(connection)

        waiting._register = fail
        for _ in range(2):
            with self.assertRaises(OSError):
                caller = self.connect()
                caller.sendall(listener_case.REQUEST)
                if not caller.recv(1_000):
                    raise ConnectionResetError
        caller = self.connect()
        caller.sendall(listener_case.REQUEST)
        self.assertIn(b"200", caller.recv(1_000))


if __name__ == "__main__":
    unittest.main()
