"""Tests of what a process believes of configuration, servers and members."""

import base64
import json
import random
import threading
import unittest
import zlib

import builders

from balsamloom_gateway import feed, fleet, follower, interfaces, peers


def record(is_draining=False, sequence=0, incarnation=1):
    """Build a server's record; ``sequence`` changes nothing of meaning."""
    return json.dumps(
        {
            "is_draining": is_draining,
            "sequence": sequence,
            "incarnation": incarnation,
        }
    ).encode()


class FleetTest(unittest.TestCase):
    """Guards against old configurations and calls to servers that left."""

    def setUp(self):
        self.clock = builders.manual_clock()
        self.fleet = fleet.Fleet(builders.Records(), self.clock)
        self.fleet.update_age(0.0)

    def put(self, key, value, revision):
        self.fleet.apply([interfaces.Item(key, value, revision)])

    def server_ids(self):
        return [server.server_id for server in self.fleet.servers()]

    def test_configuration_never_goes_back(self):
        self.put("config", b"7", 1)
        self.put("config", b"6", 2)
        self.assertEqual(
            self.fleet.active_configuration.configuration.version, 7
        )

    def test_server_that_says_it_leaves_gets_no_calls_until_it_restarts(self):
        told = []
        self.fleet.on_servers_changed = told.append
        self.put("server/s1", record(), 1)
        self.fleet.mark_server_leaving("s1")
        self.assertEqual(told[-1], [])
        # It may go on registering as ready, and lapse and come back.
        self.put("server/s1", record(sequence=5), 2)
        self.fleet.apply([interfaces.Deletion("server/s1", 3)])
        self.put("server/s1", record(), 4)
        self.assertEqual(self.server_ids(), [])
        self.put("server/s1", record(incarnation=2), 5)
        self.assertEqual(self.server_ids(), ["s1"])

    def test_word_of_a_server_that_is_not_known_changes_nothing(self):
        self.fleet.mark_server_leaving("s1")
        self.put("server/s1", record(), 1)
        self.assertEqual(self.server_ids(), ["s1"])

    def test_listener_of_a_loss_may_ask_for_the_members(self):
        # Two locks were taken in both orders: a thread that recorded budgets
        # asked for the members while the view told it of a loss.
        seen = []
        self.fleet.on_member_lost = lambda name: seen.append(
            (name, self.fleet.members())
        )
        encoded = fleet.encode_member(builders.member("m1"))
        self.put("member/m1", encoded, 1)
        thread = threading.Thread(
            target=self.fleet.apply,
            args=([interfaces.Deletion("member/m1", 2)],),
            daemon=True,
        )
        thread.start()
        thread.join(5)
        self.assertEqual(seen, [("m1", [])])

    def test_unreadable_configuration_keeps_the_last_good_one(self):
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

    def test_unreadable_record_names_no_server(self):
        self.put("server/s1", record(), 1)
        self.put("server/s1", b"\xff\x00", 2)
        self.assertEqual(self.server_ids(), [])

    def test_deleted_server_is_gone_at_once(self):
        self.put("server/s1", record(), 1)
        self.fleet.apply([interfaces.Deletion("server/s1", 2)])
        self.assertEqual(self.server_ids(), [])

    def test_server_that_lapsed_in_an_outage_is_held_for_a_while(self):
        self.put("server/s1", record(), 1)
        self.fleet.update_age(3_000.0)
        self.fleet.update_age(0.0)
        self.fleet.apply([interfaces.Deletion("server/s1", 2)])
        self.assertEqual(self.server_ids(), ["s1"])
        self.clock.advance(fleet.OUTAGE_GRACE_MS)
        self.fleet.update_age(0.0)
        self.assertEqual(self.server_ids(), [])

    def test_age_that_the_way_through_the_tree_explains_is_no_outage(self):
        # Members on the third level held servers that had left for 2.5 s more.
        self.put("server/s1", record(), 1)
        self.fleet.update_age(fleet.MAX_COPY_AGE_MS + 1_000.0, 1_200.0)
        self.fleet.update_age(0.0)
        self.fleet.apply([interfaces.Deletion("server/s1", 2)])
        self.assertEqual(self.server_ids(), [])

    def test_server_that_returns_after_an_outage_stays(self):
        self.put("server/s1", record(), 1)
        self.fleet.update_age(3_000.0)
        self.fleet.update_age(0.0)
        self.fleet.apply([interfaces.Deletion("server/s1", 2)])
        self.put("server/s1", record(), 3)
        self.clock.advance(fleet.OUTAGE_GRACE_MS * 2)
        self.fleet.update_age(0.0)
        self.assertEqual(self.server_ids(), ["s1"])

    def test_loss_of_a_member_is_told(self):
        lost = []
        self.fleet.on_member_lost = lost.append
        first = fleet.encode_member(builders.member("m1", "1"))
        second = fleet.encode_member(builders.member("m1", "2"))
        self.put("member/m1", first, 1)
        self.put("member/m1", second, 2)
        self.fleet.apply([interfaces.Deletion("member/m1", 3)])
        self.assertEqual(lost, ["m1", "m1"])


class FeedTest(unittest.TestCase):
    """Guards against changes that are lost or heartbeats passed on."""

    def setUp(self):
        self.clock = builders.manual_clock()
        self.view = fleet.Fleet(builders.Records(), self.clock)
        self.feed = feed.Feed(self.clock, self.view.decode_or_raw)

    def item(self, key, value, revision):
        return interfaces.Item(key, value, revision)

    def test_heartbeat_is_not_passed_on(self):
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

    def test_older_change_is_dropped(self):
        self.feed.apply([interfaces.Deletion("server/s1", 5)])
        changed = self.feed.apply([self.item("server/s1", record(), 4)])
        self.assertEqual(changed, [])

    def test_listing_deletes_what_is_gone(self):
        self.feed.apply([self.item("server/s1", record(), 1)])
        changed = self.feed.replace([], 9)
        self.assertEqual(changed, [interfaces.Deletion("server/s1", 9)])

    def test_listing_keeps_what_is_newer(self):
        self.feed.apply([self.item("server/s1", record(), 10)])
        self.assertEqual(self.feed.replace([], 9), [])

    def test_other_epoch_gets_everything(self):
        self.feed.apply([self.item("server/s1", record(), 1)])
        self.feed.record_read(1, self.clock.now_ms())
        answer = self.feed.answer(feed.FeedQuery("other", 99, 0))
        self.assertEqual(
            feed.decode_changes(answer), [self.item("server/s1", record(), 1)]
        )

    def test_value_that_the_reader_has_is_not_sent_again(self):
        # It may know it from the store, or from a member that it followed.
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

    def test_many_routes_are_passed_on_in_few_bytes(self):
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
    """Members' feeds by address, without a network."""

    def __init__(self):
        self.feeds = {}
        self.answered_bytes = 0
        # Longer answers do not arrive in time.
        self.bytes_max = 1_000_000

    def call(self, address, path, body, timeout_ms):
        found = self.feeds.get(address)
        answer = None
        if found is not None:
            query = feed.FeedQuery(
                body["epoch"], body["cursor"], body["revision"]
            )
            answer = found.answer(query)
        self.answered_bytes = len(json.dumps(answer))
        if answer is None or self.answered_bytes > self.bytes_max:
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
            member = fleet.encode_member(builders.member(name))
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

    def test_second_member_follows_the_first_without_store_calls(self):
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

    def test_member_that_starts_beside_a_fresh_one_does_not_watch(self):
        _, first = self.start("m1")
        first.read_once()
        calls = len(self.store.calls)
        view, second = self.start("m2")
        second.read_once()
        self.assertEqual(set(self.store.calls[calls:]), {"list"})
        self.assertEqual(view.active_configuration.configuration.version, 1)

    def test_member_that_starts_without_a_fresh_one_watches(self):
        self.start("m1")
        _, second = self.start("m2")
        second.read_once()
        self.assertEqual(self.store.calls[-1], "watch")

    def test_member_whose_source_is_gone_reads_the_store(self):
        _, first = self.start("m1")
        view, second = self.start("m2")
        first.read_once()
        second.read_once()
        del self.peers.feeds["m1:2"]
        self.store.put("server/s1", record())
        second.read_once()
        self.assertEqual(len(view.servers()), 1)

    def test_long_answer_that_came_too_late_is_not_asked_for_again(self):
        # After "the configuration grows by many routes" each reading of a
        # thin link's member was cut, and the same bytes were sent again.
        _, first = self.start("m1")
        view, second = self.start("m2")
        first.read_once()
        second.read_once()
        self.peers.bytes_max = 5_000
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

    def test_member_that_changes_its_source_keeps_what_it_knows(self):
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

    def test_dropped_history_is_read_anew(self):
        view, reader = self.start("m1")
        self.store.put("server/s1", record())
        reader.read_once()
        self.store.has_history = False
        self.store.delete("server/s1")
        reader.read_once()
        reader.read_once()
        self.assertEqual(view.servers(), [])

    def test_restarted_source_does_not_bring_back_what_is_gone(self):
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

    def test_outage_counts_as_one_at_start_before_the_first_reading(self):
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

    def test_member_that_the_store_turns_away_reads_from_others(self):
        # The first member of the order is turned away, the second is not.
        view, first = self.start("m1")
        _, second = self.start("m2")
        first.read_once()
        second.read_once()
        self.clock.advance(2_000.0)
        self.store.put("server/s1", record())
        second.read_once()
        self.store.error = interfaces.StoreUnavailableError("turned away")
        self.assertEqual(first.read_once(), self.INTERVALS.peer_ms)
        self.assertEqual(len(view.servers()), 1)

    def test_store_that_is_back_is_read_within_a_second(self):
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

    def test_store_that_is_away_is_asked_less_often(self):
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
