"""Tests of a process's view and of the replication of its records."""

import base64
import json
import threading
import unittest
import zlib

import builders

from balsamloom_gateway import (
    feed,
    fleet,
    interfaces,
    registration_records,
)


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
        self.put("server/s1", builders.server_record(), 1)
        self.fleet.mark_server_leaving("s1")
        self.assertEqual(notified[-1], [])
        # It may still renew its record as ready, expire and register again.
        self.put("server/s1", builders.server_record(sequence=5), 2)
        self.fleet.apply([interfaces.Deletion("server/s1", 3)])
        self.put("server/s1", builders.server_record(), 4)
        self.assertEqual(self.server_ids(), [])
        self.put("server/s1", builders.server_record(incarnation=2), 5)
        self.assertEqual(self.server_ids(), ["s1"])

    def test_shutdown_notice_counts_while_the_registration_has_lapsed(self):
        self.put("server/s1", builders.server_record(), 1)
        self.fleet.apply([interfaces.Deletion("server/s1", 2)])
        self.fleet.mark_server_leaving("s1")
        self.put("server/s1", builders.server_record(), 3)
        self.assertEqual(self.server_ids(), [])
        self.put("server/s1", builders.server_record(incarnation=2), 4)
        self.assertEqual(self.server_ids(), ["s1"])

    def test_shutdown_notice_of_an_unknown_server_is_ignored(self):
        self.fleet.mark_server_leaving("s1")
        self.put("server/s1", builders.server_record(), 1)
        self.assertEqual(self.server_ids(), ["s1"])

    def test_older_server_list_is_not_reported_after_a_newer_one(self):
        self.put("server/s1", builders.server_record(), 1)
        notified = []
        self.fleet.on_servers_changed = (notified.append,)
        # An answer of s1 arrives while a change is applied.
        self.fleet.on_changes = (
            lambda _: self.fleet.mark_server_leaving("s1"),
        )
        self.put("server/s2", builders.server_record(), 2)
        self.assertEqual([one.server_id for one in notified[-1]], ["s2"])

    def test_callbacks_get_server_lists_in_the_same_order(self):
        self.put("server/s1", builders.server_record(), 1)
        is_first, is_second = threading.Event(), threading.Event()
        notified = []

        def delay_first(_):
            if not is_first.is_set():
                is_first.set()
                is_second.wait(0.1)

        def mark():
            is_first.wait(5)
            self.fleet.mark_server_leaving("s1")
            is_second.set()

        self.fleet.on_servers_changed = (delay_first, notified.append)
        thread = threading.Thread(target=mark, daemon=True)
        thread.start()
        self.put("server/s2", builders.server_record(), 2)
        thread.join(5)
        self.assertEqual([one.server_id for one in notified[-1]], ["s2"])

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
        self.put("server/s1", builders.server_record(), 1)
        self.put("server/s2", builders.server_record(), 2)
        self.put("server/s1", builders.server_record(is_draining=True), 3)
        self.assertEqual(self.server_ids(), ["s2"])

    def test_unreadable_record_removes_the_server(self):
        self.put("server/s1", builders.server_record(), 1)
        self.put("server/s1", b"\xff\x00", 2)
        self.assertEqual(self.server_ids(), [])

    def test_deleted_server_is_removed_at_once(self):
        self.put("server/s1", builders.server_record(), 1)
        self.fleet.apply([interfaces.Deletion("server/s1", 2)])
        self.assertEqual(self.server_ids(), [])

    def test_server_that_expired_in_an_outage_is_held_for_a_while(self):
        self.put("server/s1", builders.server_record(), 1)
        self.fleet.update_age(3_000.0)
        self.fleet.update_age(0.0)
        self.fleet.apply([interfaces.Deletion("server/s1", 2)])
        self.assertEqual(self.server_ids(), ["s1"])
        self.clock.advance(fleet.OUTAGE_GRACE_MS)
        self.fleet.update_age(0.0)
        self.assertEqual(self.server_ids(), [])

    def test_age_that_propagation_through_the_tree_explains_is_no_outage(self):
        # Members on the third level kept removed servers for 2.5 s too long.
        self.put("server/s1", builders.server_record(), 1)
        self.fleet.update_age(fleet.MAX_COPY_AGE_MS + 1_000.0, 1_200.0)
        self.fleet.update_age(0.0)
        self.fleet.apply([interfaces.Deletion("server/s1", 2)])
        self.assertEqual(self.server_ids(), [])

    def test_server_that_registers_again_after_an_outage_stays(self):
        self.put("server/s1", builders.server_record(), 1)
        self.fleet.update_age(3_000.0)
        self.fleet.update_age(0.0)
        self.fleet.apply([interfaces.Deletion("server/s1", 2)])
        self.put("server/s1", builders.server_record(), 3)
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
        self.feed.apply([self.item("server/s1", builders.server_record(), 1)])
        self.feed.record_read(1, self.clock.now_ms())
        first = self.feed.answer(feed.FeedQuery("", 0, 0))
        changed = self.feed.apply(
            [self.item("server/s1", builders.server_record(sequence=5), 2)]
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

    def held_answer(self, wait_ms):
        """Ask, on another thread, for more than the copy has now."""
        known = self.feed.answer(feed.FeedQuery("", 0, 0))
        query = feed.FeedQuery(
            known["epoch"], known["cursor"], 1, known["reads"], wait_ms
        )
        found = []
        thread = threading.Thread(
            target=lambda: found.append(self.feed.answer(query)), daemon=True
        )
        thread.start()
        return thread, found

    def test_answer_waits_until_the_copy_is_renewed(self):
        self.feed.record_read(1, self.clock.now_ms())
        thread, found = self.held_answer(5_000.0)
        self.clock.advance(1_000.0)
        self.feed.apply([self.item("config", b"2", 4)])
        self.feed.record_read(4, self.clock.now_ms())
        thread.join(5)
        (answer,) = found
        self.assertEqual(len(answer["changes"]), 1)
        self.assertEqual(answer["age_ms"], 0.0)
        self.assertLessEqual(answer["held_ms"], 1_000.0)

    def test_answer_without_news_ends_with_the_wait(self):
        self.feed.record_read(1, self.clock.now_ms())
        thread, found = self.held_answer(500.0)
        while thread.is_alive():
            self.clock.advance(100.0)
            thread.join(0.02)
        self.assertEqual(found[0]["changes"], [])
        self.assertGreaterEqual(found[0]["age_ms"], 500.0)

    def test_process_that_leaves_holds_no_reader(self):
        self.feed.record_read(1, self.clock.now_ms())
        thread, found = self.held_answer(5_000.0)
        self.feed.stop_waiting()
        thread.join(5)
        self.assertEqual(len(found), 1)

    def test_change_is_news_also_if_the_copy_is_no_more_recent(self):
        # A source that the store rejects may still learn of changes.
        now_ms = self.clock.now_ms()
        self.feed.record_read(1, now_ms)
        thread, found = self.held_answer(5_000.0)
        self.feed.apply([self.item("config", b"2", 4)])
        self.feed.record_read(4, now_ms - 1.0)
        thread.join(5)
        self.assertEqual(len(found[0]["changes"]), 1)

    def test_older_change_is_ignored(self):
        self.feed.apply([interfaces.Deletion("server/s1", 5)])
        changed = self.feed.apply(
            [self.item("server/s1", builders.server_record(), 4)]
        )
        self.assertEqual(changed, [])

    def test_listing_deletes_missing_keys(self):
        self.feed.apply([self.item("server/s1", builders.server_record(), 1)])
        changed = self.feed.replace([], 9)
        self.assertEqual(changed, [interfaces.Deletion("server/s1", 9)])

    def test_listing_keeps_newer_keys(self):
        self.feed.apply([self.item("server/s1", builders.server_record(), 10)])
        self.assertEqual(self.feed.replace([], 9), [])

    def test_reader_with_another_epoch_gets_all_keys(self):
        self.feed.apply([self.item("server/s1", builders.server_record(), 1)])
        self.feed.record_read(1, self.clock.now_ms())
        answer = self.feed.answer(feed.FeedQuery("other", 99, 0))
        self.assertEqual(
            feed.decode_changes(answer),
            [self.item("server/s1", builders.server_record(), 1)],
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


if __name__ == "__main__":
    unittest.main()
