"""Tests of the versions of a service, and of where streams began."""

import json
import unittest

import builders
import stores

from balsamloom_gateway import (
    fleet,
    interfaces,
    stream_registry,
    traffic,
    version_history,
)


class VersionHistoryTest(unittest.TestCase):
    """Guards against versions that a started process does not know of."""

    def setUp(self):
        self.store = stores.Store()
        self.clock = builders.manual_clock()
        self.view, self.history = self.process()

    def process(self):
        view = fleet.Fleet(builders.Records(), self.clock)
        route = builders.route(traffic.RouteKind.STREAMING)
        builders.activate_configuration(
            view, (route._replace(is_resumable=True),)
        )
        history = version_history.VersionHistory(
            self.store, builders.Records(), view, lambda: 0, self.clock
        )
        view.on_changes = (history.apply,)
        view.apply(list(self.store.items.values()))
        return view, history

    def possible(self, history=None):
        return (history or self.history).possible(builders.SERVICE)

    def register(self, *versions):
        for version in versions:
            server = builders.server(version=version)._asdict()
            value = json.dumps(server).encode()
            self.store.put(f"server/s-{version}", value)
        self.follow()

    def remove(self, version):
        self.store.delete(f"server/s-{version}")
        self.follow()

    def follow(self):
        self.view.apply(self.store.changes)
        self.history.write_due()

    def outlast_streams(self):
        self.clock.advance(version_history.STREAM_RETENTION_MS + 1)
        self.follow()

    def test_step_of_the_time_of_day_forgets_no_version(self):
        # Streams of the version that has just left went on at the other one.
        self.register("v1")
        self.register("v2")
        self.remove("v1")
        for step_ms in (2_400_000.0, -2_400_000.0):
            with self.subTest(step_ms=step_ms):
                wall_ms = self.clock.now_ms() + step_ms
                self.clock.wall_ms = lambda wall_ms=wall_ms: wall_ms
                self.assertEqual(self.possible(), {"v1", "v2"})
                self.register("v1")
                self.remove("v1")
                self.assertEqual(self.possible(), {"v1", "v2"})
                del self.clock.wall_ms
                self.assertEqual(self.possible(), {"v1", "v2"})
        self.outlast_streams()
        self.assertEqual(self.possible(), {"v2"})

    def test_started_process_knows_the_version_that_has_just_left(self):
        self.register("v1")
        self.register("v2")
        self.remove("v1")
        _, started = self.process()
        self.assertEqual(self.possible(started), {"v1", "v2"})

    def test_version_that_left_while_no_process_ran_is_possible(self):
        self.register("v1", "v2")
        self.store.delete("server/s-v1")
        _, started = self.process()
        self.assertEqual(self.possible(started), {"v1", "v2"})

    def test_version_is_forgotten_when_no_stream_of_it_can_last(self):
        self.register("v1", "v2")
        self.remove("v1")
        self.outlast_streams()
        self.assertEqual(self.possible(), {"v2"})
        self.assertEqual(self.possible(self.process()[1]), {"v2"})

    def test_version_that_drains_is_possible(self):
        self.register("v1", "v2")
        server = builders.server(version="v1", is_draining=True)._asdict()
        self.store.put("server/s-v1", json.dumps(server).encode())
        self.follow()
        self.assertEqual(self.possible(), {"v1", "v2"})

    def test_unchanged_versions_cost_one_write(self):
        self.register("v1")
        for _ in range(5):
            self.follow()
        self.assertEqual(self.store.calls, ["transact"])

    def test_writer_that_lost_a_race_follows_the_record(self):
        self.register("v1", "v2")
        other = json.dumps({"v1": None, "v2": None, "v0": 999_999.0})
        self.store.put(f"versions/{builders.SERVICE}", other.encode())
        self.remove("v2")
        self.assertIn("v0", self.possible())

    def test_server_without_a_version_makes_no_second_one(self):
        self.register("v1", "")
        self.assertEqual(self.possible(), {"v1"})
        self.remove("v1")
        self.assertEqual(self.possible(), {"v1", ""})

    def test_unreadable_record_is_ignored(self):
        for value in (b"x", b"[]", b'{"v1": []}', b'{"v1": "x"}'):
            with self.subTest(value):
                key = f"versions/{builders.SERVICE}"
                self.view.apply([interfaces.Item(key, value, 100)])
                self.assertEqual(self.possible(), frozenset())

    def test_version_that_returns_late_is_not_the_elder(self):
        # Streams that nobody recorded began while the other one was alone.
        self.register("v1")
        self.register("v2")
        self.remove("v1")
        self.outlast_streams()
        self.register("v1")
        for history in (self.history, self.process()[1]):
            self.assertEqual(history.elder(builders.SERVICE), "v2")

    def test_oldest_version_stays_the_elder_until_it_is_forgotten(self):
        self.register("v2")
        self.register("v1")
        self.assertEqual(self.history.elder(builders.SERVICE), "v2")
        _, started = self.process()
        self.assertEqual(started.elder(builders.SERVICE), "v2")
        self.remove("v2")
        self.assertEqual(self.history.elder(builders.SERVICE), "v2")
        self.outlast_streams()
        self.assertEqual(self.history.elder(builders.SERVICE), "v1")


class StreamRegistryTest(unittest.TestCase):
    """Guards against registries that grow or answer nonsense."""

    def test_start_is_forgotten_after_its_retention(self):
        clock = builders.manual_clock()
        registry = stream_registry.StreamRegistry(clock)
        registry.record([stream_registry.StreamStart("r1", "v2")])
        registry.record([stream_registry.StreamStart("r1", "v2")])
        self.assertEqual(registry.find("r1"), stream_registry.Recorded("v2"))
        self.assertEqual(registry.find("r2"), stream_registry.Unsure())
        clock.advance(stream_registry.RETENTION_MS)
        self.assertEqual(registry.find("r1"), stream_registry.NotRecorded())
        registry.record([])
        self.assertEqual(len(registry._entries), 0)

    def test_order_of_arrival_decides_nothing(self):
        registry = stream_registry.StreamRegistry(builders.manual_clock())
        for version in ("v1", "v2", "v2"):
            registry.record([stream_registry.StreamStart("r1", version)])
        found = registry.find("r1")
        self.assertEqual(found, stream_registry.Ambiguous())
        encoded = stream_registry.encode_lookup(found)
        self.assertEqual(stream_registry.decode_lookup(encoded), found)

    def test_malformed_messages_are_errors(self):
        for body in (b"", b"{", b"[1]", b"[[1]]", b"1"):
            with self.subTest(body), self.assertRaises(ValueError):
                stream_registry.decode_starts(body)
        for body in (b"", b"1", b"[]", b"true"):
            with self.subTest(body), self.assertRaises(ValueError):
                stream_registry.decode_lookup(body)

    def test_what_a_host_knows_survives_the_message(self):
        for found in (
            stream_registry.Recorded("v1"),
            stream_registry.NotRecorded(),
            stream_registry.Unsure(),
        ):
            encoded = stream_registry.encode_lookup(found)
            self.assertEqual(stream_registry.decode_lookup(encoded), found)

    def test_host_that_forgot_streams_is_unsure_for_a_while(self):
        clock = builders.manual_clock()
        registry = stream_registry.StreamRegistry(clock, is_whole=True)
        self.assertEqual(registry.find("r1"), stream_registry.NotRecorded())
        count = stream_registry.MAX_STREAMS + 1
        registry.record(
            stream_registry.StreamStart(str(number), "v1")
            for number in range(count)
        )
        self.assertEqual(registry.find("0"), stream_registry.Unsure())


if __name__ == "__main__":
    unittest.main()
