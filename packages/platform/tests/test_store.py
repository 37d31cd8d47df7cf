"""Tests of the key-value service's client against scripted servers."""

import threading
import unittest

import builders

from balsamloom_platform import etcd_gateway, store

RANGE = builders.response(200, b'{"header": {"revision": "7"}}')


class BrokenConnectionTest(unittest.TestCase):
    def test_a_read_survives_a_connection_closed_by_the_server(self):
        """Guards against reads that fail on idle connections."""

        def closing(connection):
            builders.read_request(connection)
            connection.sendall(RANGE)
            # The second request arrives, but its connection is closed.
            builders.read_request(connection)

        server = builders.ScriptedServer(
            self, closing, builders.reply_with(RANGE)
        )
        gateway = etcd_gateway.EtcdGateway(server.address)
        self.assertEqual(gateway.list_keys("/a").revision, 7)
        self.assertEqual(gateway.list_keys("/a").revision, 7)
        self.assertEqual(server.accepted, 2)

    def test_a_write_is_not_repeated_and_may_have_applied(self):
        """Guards against a write applied twice or reported as not done."""

        def closing(connection):
            builders.read_request(connection)

        server = builders.ScriptedServer(self, closing, closing)
        gateway = etcd_gateway.EtcdGateway(server.address)
        with self.assertRaises(store.StoreUnavailable) as caught:
            gateway.commit([], [store.Put("/a", b"1")])
        self.assertTrue(caught.exception.may_have_applied)
        self.assertEqual(server.accepted, 1)

    def test_a_refused_connection_applied_nothing(self):
        """Guards against needless read-backs while the service is down."""
        gateway = etcd_gateway.EtcdGateway(builders.unused_address())
        with self.assertRaises(store.StoreUnavailable) as caught:
            gateway.commit([], [store.Put("/a", b"1")])
        self.assertFalse(caught.exception.may_have_applied)

    def test_a_timeout_of_a_write_may_have_applied(self):
        """Guards against a late write taken for a lost one."""
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
    def test_a_compacted_watch_is_an_error(self):
        """Guards against changes that were dropped without notice."""
        line = b'{"result": {"canceled": true, "compact_revision": "9"}}\n'
        raw = builders.CHUNKED + builders.chunk(line) + b"0\r\n\r\n"
        server = builders.ScriptedServer(self, builders.reply_with(raw))
        gateway = etcd_gateway.EtcdGateway(server.address)
        with self.assertRaises(store.StoreUnavailable):
            list(gateway.watch("/a", 3, 5_000))
