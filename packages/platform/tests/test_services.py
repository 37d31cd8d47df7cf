"""Tests of the clients of tools, hosts, weights and metrics."""

import socket
import unittest

import builders
import urllib3

from balsamloom_core import outcomes, results
from balsamloom_platform import hosts, metrics, tools, weights


class ToolServiceTest(unittest.TestCase):
    """Guards against a call reported as not run that may have run."""

    def outcome(self, *scripts):
        server = builders.ScriptedServer(self, *scripts)
        service = tools.ToolService(server.address, urllib3.PoolManager())
        return service.call("desk", "charge", {}, "k1", 2_000)

    def test_a_missing_response_is_unknown(self):
        found = self.outcome(builders.read_request)
        self.assertIsInstance(found, outcomes.UnknownOutcome)

    def test_a_truncated_response_is_unknown(self):
        raw = builders.response(200, b'{"a": 1}')[:-3]
        found = self.outcome(builders.reply_with(raw))
        self.assertIsInstance(found, outcomes.UnknownOutcome)

    def test_a_gateway_error_is_unknown(self):
        found = self.outcome(builders.reply_with(builders.response(503, b"")))
        self.assertIsInstance(found, outcomes.UnknownOutcome)

    def test_an_error_of_the_service_is_failed(self):
        found = self.outcome(builders.reply_with(builders.response(500, b"")))
        self.assertIsInstance(found, outcomes.Failed)

    def test_not_run_reported_by_the_service(self):
        body = b'{"not_run": true, "retry_after_ms": 40}'
        found = self.outcome(builders.reply_with(builders.response(503, body)))
        self.assertIsInstance(found, outcomes.NotRun)
        self.assertEqual(found.retry_after_ms, 40)

    def test_a_refused_connection_is_not_run(self):
        service = tools.ToolService(
            builders.unused_address(), urllib3.PoolManager()
        )
        found = service.call("desk", "charge", {}, "k1", 2_000)
        self.assertIsInstance(found, outcomes.NotRun)
        self.assertIs(found.code, results.ResultCode.NOT_SENT)


class PlatformClientsTest(unittest.TestCase):
    def test_an_invalid_host_list_is_an_error(self):
        """Guards against hosts removed because of a partial list."""
        raw = builders.response(200, b'{"hosts": [{"host_id": "h1"}]}')
        server = builders.ScriptedServer(self, builders.reply_with(raw))
        client = hosts.HttpHostList(server.address, urllib3.PoolManager())
        with self.assertRaises(hosts.HostListUnavailable):
            client.hosts()

    def test_rate_limit_error_has_the_retry_delay(self):
        """Guards against immediate retries of rate-limited fetches."""
        raw = builders.response(429, b"", "Retry-After: 1.5")
        server = builders.ScriptedServer(self, builders.reply_with(raw))
        client = weights.HttpWeightStore(server.address, urllib3.PoolManager())
        with self.assertRaises(weights.RateLimited) as caught:
            client.fetch("rota")
        self.assertEqual(caught.exception.retry_after_ms, 1_500)


class MetricsTest(unittest.TestCase):
    def test_packets_have_the_statsd_format(self):
        """Guards against metrics that statsd discards."""
        receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(receiver.close)
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(5)
        port = receiver.getsockname()[1]
        sender = metrics.StatsdMetrics(f"127.0.0.1:{port}")
        sender.count("calls")
        sender.timing("latency", 2.5)
        packets = [receiver.recv(1024) for _ in range(2)]
        self.assertEqual(packets[0], b"balsamloom.calls:1|c")
        self.assertTrue(packets[1].startswith(b"balsamloom.latency:2.5"))

    def test_errors_of_the_receiver_are_ignored(self):
        """Guards against calls that fail because statsd is down."""
        for address in (
            builders.unused_address(),
            "127.0.0.1:99999",
            "127.0.0.1:x",
        ):
            sender = metrics.StatsdMetrics(address)
            for _ in range(3):
                self.assertIsNone(sender.count("calls"))
                self.assertIsNone(sender.gauge("waiting", 3))
