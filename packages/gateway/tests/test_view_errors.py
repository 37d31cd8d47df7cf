"""Tests of a view in which a decoder or a callback raises an error once."""

import unittest
from unittest import mock

import builders
import stores

from balsamloom_gateway import (
    feed,
    fleet,
    follower,
    interfaces,
    read_schedule,
    registration_records,
    store_revisions,
)

INTERVALS = read_schedule.Intervals(600.0, 400.0)


class Raising:
    """Calls another function; the next ``errors_left`` calls raise."""

    def __init__(self, function):
        self.function = function
        self.errors_left = 0

    def __call__(self, *arguments):
        if self.errors_left:
            self.errors_left -= 1
            raise RuntimeError("once")
        return self.function(*arguments)


class ViewErrorTest(unittest.TestCase):
    """Guards against changes that are known here but were never applied.

    Real processes kept an old configuration and a draining server for as long
    as the records stayed the same.
    """

    def setUp(self):
        self.clock = builders.manual_clock()
        self.store = stores.Store()
        self.records = builders.Records()
        for name in ("configuration", "server"):
            setattr(self.records, name, Raising(getattr(self.records, name)))
        self.view = fleet.Fleet(self.records, self.clock)
        # What the last call of each callback got.
        self.seen = {}
        self.view.on_changes = (self.recorder("changes"),)
        self.view.on_servers_changed = (self.recorder("servers"),)
        self.view.on_configuration_changed = self.recorder("configuration")
        self.view.on_member_lost = self.recorder("lost")
        self.view.on_member_added = self.recorder("added")
        copy = feed.Feed(self.clock, self.view.decode_or_raw)
        self.reader = follower.Follower(
            "m1",
            store_revisions.ObservedStore(self.store, self.clock),
            self.records,
            copy,
            self.view,
            None,
            self.clock,
            INTERVALS,
        )

    def recorder(self, name):
        def record(*arguments):
            self.seen[name] = arguments[0] if arguments else "called"

        return Raising(record)

    def read(self):
        """Run the reader for long enough to apply a change again."""
        for _ in range(4):
            self.reader.read_once()
            self.view.update_age(0.0)
            self.reader.reapply_due()
            self.clock.advance(follower.MIN_REAPPLY_MS)

    def put_member(self, name, incarnation):
        member = builders.member(name, incarnation)
        self.store.put(
            f"member/{name}", registration_records.encode_member(member)
        )

    def put_storage_host(self, name):
        self.store.put(
            f"storage/{name}",
            registration_records.encode_storage_host(
                builders.storage_host(name)
            ),
        )

    def check(self, raising, errors=1):
        """Change each kind of record while ``raising`` raises errors."""
        self.store.put("config", b"1")
        self.store.put("server/s1", b'{"is_draining": false}')
        self.put_member("m2", "1")
        self.read()
        raising.errors_left = errors
        self.store.put("config", b"2")
        self.store.put("server/s1", b'{"is_draining": true}')
        self.store.put("server/s2", b'{"is_draining": false}')
        self.put_member("m2", "2")
        self.put_member("m3", "1")
        self.put_storage_host("h1")
        self.read()
        self.assertEqual(raising.errors_left, 0)
        self.assertFalse(self.view.must_reapply)
        servers = [server.server_id for server in self.view.servers()]
        self.assertEqual(servers, ["s2"])
        active = self.view.active_configuration
        self.assertEqual(active.configuration.version, 2)
        names = [member.name for member in self.view.members()]
        self.assertEqual(names, ["m2", "m3"])
        hosts = [host.name for host in self.view.storage_hosts()]
        self.assertEqual(hosts, ["h1"])
        self.assertEqual(self.seen["servers"], self.view.servers())
        self.assertIs(self.seen["configuration"], active)
        self.assertEqual(self.seen["lost"], "m2")
        self.assertEqual(self.seen["added"], "called")
        keys = {change.key for change in self.seen["changes"]}
        self.assertIn("config", keys)

    def test_each_decoder_may_raise_once(self):
        for name in ("configuration", "server"):
            with self.subTest(name):
                self.setUp()
                # The copy and the view decode each record.
                self.check(getattr(self.records, name), errors=2)

    def test_each_decoder_of_registrations_may_raise(self):
        for name in ("decode_member", "decode_storage_host"):
            decode = Raising(getattr(registration_records, name))
            for errors in (1, 2, 3):
                self.setUp()
                with (
                    self.subTest(name, errors=errors),
                    mock.patch.object(registration_records, name, decode),
                ):
                    self.check(decode, errors)

    def test_each_callback_may_raise_once(self):
        for select in (
            lambda: self.view.on_changes[0],
            lambda: self.view.on_servers_changed[0],
            lambda: self.view.on_configuration_changed,
            lambda: self.view.on_member_lost,
            lambda: self.view.on_member_added,
        ):
            self.setUp()
            with self.subTest():
                self.check(select())

    def test_a_callback_that_always_raises_keeps_nothing_from_others(self):
        def fail(_):
            raise RuntimeError("always")

        self.view.on_changes = (fail, self.recorder("changes"))
        self.store.put("config", b"1")
        self.read()
        self.store.put("config", b"2")
        self.read()
        self.assertEqual(self.seen["configuration"].configuration.version, 2)
        self.assertIn(interfaces.Item("config", b"2", 2), self.seen["changes"])
        self.assertTrue(self.view.must_reapply)


if __name__ == "__main__":
    unittest.main()
