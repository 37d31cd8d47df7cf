"""Tests of the etcd client against scripted servers."""

import threading
import unittest

import builders

from balsamloom_platform import etcd_gateway, store

RANGE_RESPONSE = builders.response(200, b'{"header": {"revision": "7"}}')


class BrokenConnectionTest(unittest.TestCase):
    def test_a_read_is_retried_when_the_server_closes_its_connection(self):
        """Guards against reads that fail on closed idle connections."""

        def closing(connection):
            builders.read_request(connection)
            connection.sendall(RANGE_RESPONSE)
            # The connection is closed once the second request has arrived.
            builders.read_request(connection)

        server = builders.ScriptedServer(
            self, closing, builders.reply_with(RANGE_RESPONSE)
        )
        gateway = etcd_gateway.EtcdGateway(server.address)
        self.assertEqual(gateway.list_keys("/a").revision, 7)
        self.assertEqual(gateway.list_keys("/a").revision, 7)
        self.assertEqual(server.accepted, 2)

    def test_a_write_is_not_retried_and_may_have_applied(self):
        """Guards against a write applied twice or reported as failed."""

        def closing(connection):
            builders.read_request(connection)

        server = builders.ScriptedServer(self, closing, closing)
        gateway = etcd_gateway.EtcdGateway(server.address)
        with self.assertRaises(store.StoreUnavailable) as caught:
            gateway.commit([], [store.Put("/a", b"1")])
        self.assertTrue(caught.exception.may_have_applied)
        self.assertEqual(server.accepted, 1)

    def test_a_write_may_have_applied_after_a_status_that_http_lacks(self):
        """Guards against a write reported as failed that was applied."""
        for status in ("000", "103", "600", "777"):
            with self.subTest(status):
                raw = builders.response(status, b"{}")
                server = builders.ScriptedServer(
                    self, builders.reply_with(raw)
                )
                gateway = etcd_gateway.EtcdGateway(server.address)
                with self.assertRaises(store.StoreUnavailable) as caught:
                    gateway.commit([], [store.Put("/a", b"1")])
                self.assertTrue(caught.exception.may_have_applied)

    def test_a_refused_connection_applied_nothing(self):
        """Guards against needless checks of writes during an outage."""
        gateway = etcd_gateway.EtcdGateway(builders.unused_address())
        with self.assertRaises(store.StoreUnavailable) as caught:
            gateway.commit([], [store.Put("/a", b"1")])
        self.assertFalse(caught.exception.may_have_applied)

    def test_a_timeout_of_a_write_may_have_applied(self):
        """Guards against a delayed write reported as not applied."""
        ended = threading.Event()
        self.addCleanup(ended.set)

        def silent(connection):
            builders.read_request(connection)
            ended.wait(10)

        server = builders.ScriptedServer(self, silent)
        gateway = etcd_gateway.EtcdGateway(server.address)
        with self.assertRaises(store.StoreUnavailable) as caught:
            gateway.commit([], [store.Put("/a", b"1")], timeout_ms=100)
        self.assertTrue(caught.exception.may_have_applied)


class WatchTest(unittest.TestCase):
    def test_a_watch_of_compacted_revisions_is_an_error(self):
        """Guards against changes that are lost without an error."""
        line = b'{"result": {"canceled": true, "compact_revision": "9"}}\n'
        raw = builders.CHUNKED + builders.chunk(line) + b"0\r\n\r\n"
        server = builders.ScriptedServer(self, builders.reply_with(raw))
        gateway = etcd_gateway.EtcdGateway(server.address)
        with self.assertRaises(store.StoreUnavailable):
            list(gateway.watch("/a", 3, 5_000))
