"""Tests of a process's view and of the replication of its records."""

import base64
import json
import random
import threading
import unittest
import zlib

import builders

from balsamloom_gateway import (
    feed,
    fleet,
    follower,
    interfaces,
    peers,
    registration_records,
)

# Deeper than a parser's stack.
NESTED = b"[" * 100_000


def record(is_draining=False, sequence=0, incarnation=1):
    """Build a server's record; decoding it ignores ``sequence``."""
    return json.dumps(
        {
            "is_draining": is_draining,
            "sequence": sequence,
            "incarnation": incarnation,
        }
    ).encode()


class FleetTest(unittest.TestCase):
    """Guards against old configurations and calls to stopped servers."""

    def setUp(self):
        self.clock = builders.manual_clock()
        self.fleet = fleet.Fleet(builders.Records(), self.clock)
        self.fleet.update_age(0.0)

    def put(self, key, value, revision):
        self.fleet.apply([interfaces.Item(key, value, revision)])

    def server_ids(self):
        return [server.server_id for server in self.fleet.servers()]

    def test_older_configuration_is_rejected(self):
        self.put("config", b"7", 1)
        self.put("config", b"6", 2)
        self.assertEqual(
            self.fleet.active_configuration.configuration.version, 7
        )

    def test_server_that_announces_shutdown_gets_no_calls_until_restart(self):
        notified = []
        self.fleet.on_servers_changed = (notified.append,)
        self.put("server/s1", record(), 1)
        self.fleet.mark_server_leaving("s1")
        self.assertEqual(notified[-1], [])
        # It may still renew its record as ready, expire and register again.
        self.put("server/s1", record(sequence=5), 2)
        self.fleet.apply([interfaces.Deletion("server/s1", 3)])
        self.put("server/s1", record(), 4)
        self.assertEqual(self.server_ids(), [])
        self.put("server/s1", record(incarnation=2), 5)
        self.assertEqual(self.server_ids(), ["s1"])

    def test_shutdown_notice_of_an_unknown_server_is_ignored(self):
        self.fleet.mark_server_leaving("s1")
        self.put("server/s1", record(), 1)
        self.assertEqual(self.server_ids(), ["s1"])

    def test_loss_callback_may_read_the_members(self):
        # Two locks were taken in opposite orders: a thread that recorded
        # budgets read the members while the view notified it of a loss.
        seen = []
        self.fleet.on_member_lost = lambda name: seen.append(
            (name, self.fleet.members())
        )
        encoded = registration_records.encode_member(builders.member("m1"))
        self.put("member/m1", encoded, 1)
        thread = threading.Thread(
            target=self.fleet.apply,
            args=([interfaces.Deletion("member/m1", 2)],),
            daemon=True,
        )
        thread.start()
        thread.join(5)
        self.assertEqual(seen, [("m1", [])])

    def test_unreadable_configuration_keeps_the_last_valid_one(self):
        self.put("config", b"7", 1)
        self.put("config", b"{", 2)
        self.assertEqual(
            self.fleet.active_configuration.configuration.version, 7
        )

    def test_draining_server_gets_no_calls(self):
        self.put("server/s1", record(), 1)
        self.put("server/s2", record(), 2)
        self.put("server/s1", record(is_draining=True), 3)
        self.assertEqual(self.server_ids(), ["s2"])

    def test_unreadable_record_removes_the_server(self):
        self.put("server/s1", record(), 1)
        self.put("server/s1", b"\xff\x00", 2)
        self.assertEqual(self.server_ids(), [])

    def test_deleted_server_is_removed_at_once(self):
        self.put("server/s1", record(), 1)
        self.fleet.apply([interfaces.Deletion("server/s1", 2)])
        self.assertEqual(self.server_ids(), [])

    def test_server_that_expired_in_an_outage_is_held_for_a_while(self):
        self.put("server/s1", record(), 1)
        self.fleet.update_age(3_000.0)
        self.fleet.update_age(0.0)
        self.fleet.apply([interfaces.Deletion("server/s1", 2)])
        self.assertEqual(self.server_ids(), ["s1"])
        self.clock.advance(fleet.OUTAGE_GRACE_MS)
        self.fleet.update_age(0.0)
        self.assertEqual(self.server_ids(), [])

    def test_age_that_propagation_through_the_tree_explains_is_no_outage(self):
        # Members on the third level kept removed servers for 2.5 s too long.
        self.put("server/s1", record(), 1)
        self.fleet.update_age(fleet.MAX_COPY_AGE_MS + 1_000.0, 1_200.0)
        self.fleet.update_age(0.0)
        self.fleet.apply([interfaces.Deletion("server/s1", 2)])
        self.assertEqual(self.server_ids(), [])

    def test_server_that_registers_again_after_an_outage_stays(self):
        self.put("server/s1", record(), 1)
        self.fleet.update_age(3_000.0)
        self.fleet.update_age(0.0)
        self.fleet.apply([interfaces.Deletion("server/s1", 2)])
        self.put("server/s1", record(), 3)
        self.clock.advance(fleet.OUTAGE_GRACE_MS * 2)
        self.fleet.update_age(0.0)
        self.assertEqual(self.server_ids(), ["s1"])

    def test_loss_of_a_member_is_reported(self):
        lost = []
        self.fleet.on_member_lost = lost.append
        first = registration_records.encode_member(builders.member("m1", "1"))
        second = registration_records.encode_member(builders.member("m1", "2"))
        self.put("member/m1", first, 1)
        self.put("member/m1", second, 2)
        self.fleet.apply([interfaces.Deletion("member/m1", 3)])
        self.assertEqual(lost, ["m1", "m1"])


class FeedTest(unittest.TestCase):
    """Guards against lost changes and needless transfers between members."""

    def setUp(self):
        self.clock = builders.manual_clock()
        self.view = fleet.Fleet(builders.Records(), self.clock)
        self.feed = feed.Feed(self.clock, self.view.decode_or_raw)

    def item(self, key, value, revision):
        return interfaces.Item(key, value, revision)

    def test_heartbeat_is_not_sent_to_readers(self):
        self.feed.apply([self.item("server/s1", record(), 1)])
        self.feed.record_read(1, self.clock.now_ms())
        first = self.feed.answer(feed.FeedQuery("", 0, 0))
        changed = self.feed.apply(
            [self.item("server/s1", record(sequence=5), 2)]
        )
        self.assertEqual(changed, [])
        answer = self.feed.answer(
            feed.FeedQuery(first["epoch"], first["cursor"], 1)
        )
        self.assertEqual(answer["changes"], [])

    def test_copy_is_known_up_to_the_start_of_its_last_read(self):
        now_ms = self.clock.now_ms()
        self.assertFalse(self.feed.wait_until_known(now_ms, now_ms))
        self.feed.record_read(1, now_ms)
        self.assertTrue(self.feed.wait_until_known(now_ms, now_ms))
        self.assertFalse(self.feed.wait_until_known(now_ms + 1.0, now_ms))

    def test_wait_for_a_recent_copy_ends_with_the_read_that_makes_it(self):
        now_ms = self.clock.now_ms()
        found = []
        thread = threading.Thread(
            target=lambda: found.append(
                self.feed.wait_until_known(now_ms, now_ms + 1_000.0)
            ),
            daemon=True,
        )
        thread.start()
        self.feed.record_read(1, now_ms)
        thread.join(5)
        self.assertEqual(found, [True])

    def test_older_change_is_ignored(self):
        self.feed.apply([interfaces.Deletion("server/s1", 5)])
        changed = self.feed.apply([self.item("server/s1", record(), 4)])
        self.assertEqual(changed, [])

    def test_listing_deletes_missing_keys(self):
        self.feed.apply([self.item("server/s1", record(), 1)])
        changed = self.feed.replace([], 9)
        self.assertEqual(changed, [interfaces.Deletion("server/s1", 9)])

    def test_listing_keeps_newer_keys(self):
        self.feed.apply([self.item("server/s1", record(), 10)])
        self.assertEqual(self.feed.replace([], 9), [])

    def test_reader_with_another_epoch_gets_all_keys(self):
        self.feed.apply([self.item("server/s1", record(), 1)])
        self.feed.record_read(1, self.clock.now_ms())
        answer = self.feed.answer(feed.FeedQuery("other", 99, 0))
        self.assertEqual(
            feed.decode_changes(answer), [self.item("server/s1", record(), 1)]
        )

    def test_value_that_the_reader_has_is_not_sent_again(self):
        # The reader may have it from the store or from a former source.
        self.feed.apply([self.item("config", b"1", 4)])
        self.feed.record_read(9, self.clock.now_ms())
        other = self.feed.answer(feed.FeedQuery("other", 99, 4))
        self.assertEqual(other["changes"], [])
        self.assertEqual(other["unchanged"], ["config"])
        behind = feed.FeedQuery(other["epoch"], 0, 4)
        self.assertEqual(self.feed.answer(behind)["changes"], [])
        self.feed.apply([self.item("config", b"2", 10)])
        self.assertEqual(
            feed.decode_changes(self.feed.answer(behind)),
            [self.item("config", b"2", 10)],
        )

    def test_large_configuration_is_compressed(self):
        routes = [f'{{"route": "r{n}", "host": "h"}}' for n in range(2_000)]
        value = ",".join(routes).encode()
        self.feed.apply([self.item("config", value, 4)])
        self.feed.record_read(9, self.clock.now_ms())
        answer = self.feed.answer(feed.FeedQuery("", 0, 0))
        self.assertLess(len(json.dumps(answer)), len(value) // 3)
        self.assertEqual(
            feed.decode_changes(answer), [self.item("config", value, 4)]
        )

    def test_malformed_answer_is_an_error(self):
        cut = base64.b64encode(zlib.compress(b"x")[:-2]).decode()
        for answer in (
            {},
            {"changes": [1]},
            {"changes": [["k", "*", 1]]},
            {"changes": [["k", "AAAA", 1]]},
            {"changes": [["k", cut, 1]]},
        ):
            with self.subTest(answer), self.assertRaises(ValueError):
                feed.decode_changes(answer)


class PeerStub:
    """Client that reads members' feeds by address, without a network."""

    def __init__(self):
        self.feeds = {}
        self.answered_bytes = 0
        # Longer answers time out.
        self.max_bytes = 1_000_000

    def call(self, address, path, body, timeout_ms):
        found = self.feeds.get(address)
        answer = None
        if found is not None:
            query = feed.FeedQuery(
                body["epoch"], body["cursor"], body["revision"]
            )
            answer = found.answer(query)
        self.answered_bytes = len(json.dumps(answer))
        if answer is None or self.answered_bytes > self.max_bytes:
            raise peers.PeerUnavailableError(address)
        return json.loads(json.dumps(answer))


class FollowerTest(unittest.TestCase):
    """Guards against a view that is stale while the store can be read."""

    INTERVALS = follower.Intervals(600.0, 400.0)

    def setUp(self):
        self.clock = builders.manual_clock()
        self.store = builders.Store()
        self.peers = PeerStub()
        self.store.put("config", b"1")
        for name in ("m1", "m2"):
            member = registration_records.encode_member(builders.member(name))
            self.store.put(f"member/{name}", member)

    def start(self, name):
        records = builders.Records()
        view = fleet.Fleet(records, self.clock)
        copy = feed.Feed(self.clock, view.decode_or_raw)
        self.peers.feeds[f"{name}:2"] = copy
        return view, follower.Follower(
            name,
            self.store,
            records,
            copy,
            view,
            self.peers,
            self.clock,
            self.INTERVALS,
        )

    def test_first_member_reads_the_store(self):
        view, reader = self.start("m1")
        reader.read_once()
        self.store.put("server/s1", record())
        self.assertLessEqual(reader.read_once(), 600.0)
        self.assertEqual(len(view.servers()), 1)

    def test_second_member_reads_from_the_first_without_store_calls(self):
        _, first = self.start("m1")
        view, second = self.start("m2")
        first.read_once()
        second.read_once()
        self.store.put("server/s1", record())
        first.read_once()
        calls = len(self.store.calls)
        self.assertEqual(second.read_once(), 400.0)
        self.assertEqual(len(self.store.calls), calls)
        self.assertEqual(len(view.servers()), 1)

    def test_member_that_starts_with_a_current_source_does_not_watch(self):
        _, first = self.start("m1")
        first.read_once()
        calls = len(self.store.calls)
        view, second = self.start("m2")
        second.read_once()
        self.assertEqual(set(self.store.calls[calls:]), {"list"})
        self.assertEqual(view.active_configuration.configuration.version, 1)

    def test_member_that_starts_without_a_current_source_watches(self):
        self.start("m1")
        _, second = self.start("m2")
        second.read_once()
        self.assertEqual(self.store.calls[-1], "watch")

    def test_member_whose_source_is_unreachable_reads_the_store(self):
        _, first = self.start("m1")
        view, second = self.start("m2")
        first.read_once()
        second.read_once()
        del self.peers.feeds["m1:2"]
        self.store.put("server/s1", record())
        second.read_once()
        self.assertEqual(len(view.servers()), 1)

    def test_answer_too_long_for_the_timeout_is_not_requested_again(self):
        # After many routes were added, each read over a slow network path
        # timed out and the same bytes were sent again.
        _, first = self.start("m1")
        view, second = self.start("m2")
        first.read_once()
        second.read_once()
        self.peers.max_bytes = 5_000
        self.store.put("config", random.Random(1).randbytes(9_000))
        first.read_once()
        second.read_once()
        self.assertGreater(self.peers.answered_bytes, 5_000)
        self.clock.advance(follower.SOURCE_RETRY_INTERVAL_MS)
        first.read_once()
        calls = len(self.store.calls)
        second.read_once()
        self.assertLess(self.peers.answered_bytes, 1_000)
        self.assertEqual(len(self.store.calls), calls)

    def test_member_keeps_its_records_when_its_source_restarts(self):
        _, first = self.start("m1")
        view, second = self.start("m2")
        self.store.put("server/s1", record())
        self.store.put("server/s2", record())
        first.read_once()
        second.read_once()
        self.store.delete("server/s2")
        _, restarted = self.start("m1")
        restarted.read_once()
        second.read_once()
        known = [server.server_id for server in view.servers()]
        self.assertEqual(known, ["s1"])

    def test_member_whose_source_is_stale_reads_the_store(self):
        _, first = self.start("m1")
        view, second = self.start("m2")
        first.read_once()
        second.read_once()
        self.clock.advance(2_000.0)
        self.store.put("server/s1", record())
        second.read_once()
        self.assertEqual(len(view.servers()), 1)

    def test_entry_that_no_parser_accepts_does_not_stop_the_reader(self):
        # One entry of 5,000 brackets under servers/ made every read fail, so
        # that no later configuration came into force anywhere.
        view, reader = self.start("m1")
        reader.read_once()
        for folder in ("member", "storage", "server"):
            self.store.put(f"{folder}/x", NESTED)
        self.store.put("config", b"2")
        reader.read_once()
        self.assertEqual(view.active_configuration.configuration.version, 2)
        self.assertEqual(len(view.members()), 2)

    def test_compacted_history_is_replaced_by_a_listing(self):
        view, reader = self.start("m1")
        self.store.put("server/s1", record())
        reader.read_once()
        self.store.has_history = False
        self.store.delete("server/s1")
        reader.read_once()
        reader.read_once()
        self.assertEqual(view.servers(), [])

    def test_restarted_source_does_not_restore_deleted_records(self):
        self.store.put("server/s1", record())
        _, first = self.start("m1")
        view, second = self.start("m2")
        first.read_once()
        second.read_once()
        self.store.delete("server/s1")
        _, first = self.start("m1")
        first.read_once()
        second.read_once()
        self.assertEqual(view.servers(), [])

    def test_absence_is_certain_once_a_later_read_has_ended(self):
        _, reader = self.start("m1")
        now_ms = self.clock.now_ms()
        self.assertFalse(reader.await_records(now_ms, now_ms))
        reader.read_once()
        self.assertTrue(reader.await_records(now_ms, now_ms))

    def test_nobody_waits_for_records_that_cannot_be_followed(self):
        # The clock stands still, so a wait would not end.
        view, reader = self.start("m1")
        reader.read_once()
        self.clock.advance(fleet.MAX_COPY_AGE_MS + 1_000.0)
        view.update_age(fleet.MAX_COPY_AGE_MS + 1_000.0)
        now_ms = self.clock.now_ms()
        self.assertFalse(reader.await_records(now_ms, now_ms + 5_000.0))

    def test_outage_is_one_at_start_only_before_the_first_read(self):
        _, reader = self.start("m1")
        calls = []
        reader.on_outage_at_start = lambda: calls.append("called")
        self.store.error = interfaces.StoreUnavailableError("down")
        for _ in range(3):
            reader.read_once()
            self.clock.advance(2_000.0)
        self.assertEqual(len(calls), 1)
        self.store.error = None
        reader.read_once()
        self.clock.advance(2_000.0)
        self.store.error = interfaces.StoreUnavailableError("down")
        reader.read_once()
        self.assertEqual(len(calls), 1)

    def test_member_that_the_store_rejects_reads_from_other_members(self):
        # The store rejects the first member's calls but not the second's.
        view, first = self.start("m1")
        _, second = self.start("m2")
        first.read_once()
        second.read_once()
        self.clock.advance(2_000.0)
        self.store.put("server/s1", record())
        second.read_once()
        self.store.error = interfaces.StoreUnavailableError("rejected")
        self.assertEqual(first.read_once(), self.INTERVALS.peer_ms)
        self.assertEqual(len(view.servers()), 1)

    def test_recovered_store_is_read_within_two_seconds(self):
        _, reader = self.start("m1")
        self.store.error = interfaces.StoreUnavailableError("down")
        for _ in range(8):
            self.clock.advance(reader.read_once())
        self.store.error = None
        waited_ms = 0.0
        while self.store.calls[-1] != "watch":
            pause_ms = reader.read_once()
            self.clock.advance(pause_ms)
            waited_ms += pause_ms
        self.assertLessEqual(waited_ms, 2_000.0)

    def test_unavailable_store_is_called_less_often(self):
        _, reader = self.start("m1")
        self.store.error = interfaces.StoreUnavailableError("down")
        calls = []
        for _ in range(40):
            self.clock.advance(reader.read_once())
            calls.append(len(self.store.calls))
        spent_ms = self.clock.now_ms() - 1_000_000.0
        self.assertLess(calls[-1], spent_ms / follower.MAX_RETRY_MS + 6)


if __name__ == "__main__":
    unittest.main()
