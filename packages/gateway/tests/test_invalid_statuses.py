"""Tests of servers that answer with a status that HTTP lacks."""

import unittest

import gateway_case
import scripted


class InvalidStatusTest(gateway_case.GatewayCase):
    """Guards against such statuses reaching callers, or stalling them."""

    def test_status_that_http_lacks_is_never_relayed(self):
        for status in ("000", "099", "600", "999"):
            invalid = scripted.answer(status=f"{status} Odd")
            for path in ("/once/", "/stream/"):
                with self.subTest(status=status, path=path):
                    self.start(*[self.answering(invalid)] * 2)
                    self.assertEqual(self.ended_with(path), 502)
                    self.assertEqual(self.runs(), 1)

    def test_caller_of_a_server_that_switches_protocols_gets_an_error(self):
        for fields in ("", "Connection: Upgrade\r\nUpgrade: other\r\n"):
            switch = scripted.answer(b"", "r1", "101 Other", fields)
            with self.subTest(fields):
                self.start(self.answering(switch))
                self.assertEqual(self.ended_with("/once/"), 502)

    def test_repeatable_call_is_retried_after_a_status_that_http_lacks(self):
        for status in ("000", "999"):
            invalid = scripted.answer(status=f"{status} Odd")
            with self.subTest(status):
                self.start(*[self.answering(invalid)] * 3)
                self.assertEqual(self.ended_with("/idempotent/"), 502)
                self.assertEqual(self.runs(), 2)

    def test_connection_with_a_status_that_http_lacks_is_not_reused(self):
        connections = set()

        def script(connection, number):
            connections.add(number)
            owner = self.owner(connection)
            while owner.read_request(connection):
                status = "200 OK" if number else "999 Odd"
                connection.sendall(scripted.answer(status=status) * 2)

        self.start(script)
        self.assertEqual(self.ended_with("/once/"), 502)
        self.assertEqual(self.ended_with("/once/"), 200)
        self.assertEqual(connections, {0, 1})

    def ended_with(self, path):
        """Return the status that a caller gets before its deadline."""
        return self.request(path, {"Deadline": "1500"}, b"x")[0].status


if __name__ == "__main__":
    unittest.main()
