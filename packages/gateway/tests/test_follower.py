"""Tests of reading the records from the store and from other members."""

import json
import random
import unittest

import builders
import stores

from balsamloom_gateway import (
    feed,
    fleet,
    follower,
    interfaces,
    peers,
    read_schedule,
    registration_records,
    store_revisions,
)

START_MS = builders.manual_clock().now_ms()
# Deeper than a parser's stack.
NESTED = b"[" * 100_000


class PeerStub:
    """Client that reads members' feeds by address, without a network."""

    def __init__(self):
        self.feeds = {}
        self.answered_bytes = 0
        # Wait that each call asked for.
        self.waits_ms = []
        # Longer answers time out.
        self.max_bytes = 1_000_000

    def call(self, address, path, body, timeout_ms):
        self.waits_ms.append(body["wait_ms"])
        found = self.feeds.get(address)
        answer = None
        if found is not None:
            query = feed.FeedQuery(
                body["epoch"],
                body["cursor"],
                body["revision"],
                body["reads"],
            )
            answer = found.answer(query)
        self.answered_bytes = len(json.dumps(answer))
        if answer is None or self.answered_bytes > self.max_bytes:
            raise peers.PeerUnavailableError(address)
        return json.loads(json.dumps(answer))


class FollowerTest(unittest.TestCase):
    """Guards against a view that is stale while the store can be read."""

    INTERVALS = read_schedule.Intervals(600.0, 400.0)

    def setUp(self):
        self.clock = builders.manual_clock()
        self.store = stores.Store()
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
            store_revisions.ObservedStore(self.store, self.clock),
            records,
            copy,
            view,
            self.peers,
            self.clock,
            self.INTERVALS,
        )

    def start_two(self):
        """Start the first member and one that has read from it."""
        _, first = self.start("m1")
        view, second = self.start("m2")
        first.read_once()
        second.read_once()
        return first, view, second

    def test_first_member_reads_the_store(self):
        view, reader = self.start("m1")
        reader.read_once()
        self.store.put("server/s1", builders.server_record())
        self.assertLessEqual(reader.read_once(), 600.0)
        self.assertEqual(len(view.servers()), 1)

    def test_second_member_reads_from_the_first_without_store_calls(self):
        first, view, second = self.start_two()
        self.store.put("server/s1", builders.server_record())
        first.read_once()
        calls = len(self.store.calls)
        # The next call waits for news, so it is made at once.
        self.assertEqual(second.read_once(), 0.0)
        self.assertEqual(second.read_once(), 400.0)
        self.assertGreater(self.peers.waits_ms[-1], 400.0)
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

    def test_member_waits_for_news_of_its_source_right_after_its_start(self):
        _, first = self.start("m1")
        first.read_once()
        _, second = self.start("m2")
        self.assertEqual(second.read_once(), 0.0)
        second.read_once()
        self.assertGreater(self.peers.waits_ms[-1], 400.0)

    def test_member_that_starts_without_a_current_source_watches(self):
        self.start("m1")
        _, second = self.start("m2")
        second.read_once()
        self.assertEqual(self.store.calls[-1], "watch")

    def test_member_whose_source_is_unreachable_reads_the_store(self):
        _, view, second = self.start_two()
        del self.peers.feeds["m1:2"]
        self.store.put("server/s1", builders.server_record())
        second.read_once()
        self.assertEqual(len(view.servers()), 1)

    def test_answer_too_long_for_the_timeout_is_not_requested_again(self):
        # After many routes were added, each read over a slow network path
        # timed out and the same bytes were sent again.
        first, _, second = self.start_two()
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
        self.store.put("server/s1", builders.server_record())
        self.store.put("server/s2", builders.server_record())
        first.read_once()
        second.read_once()
        self.store.delete("server/s2")
        _, restarted = self.start("m1")
        restarted.read_once()
        second.read_once()
        known = [server.server_id for server in view.servers()]
        self.assertEqual(known, ["s1"])

    def test_member_whose_source_is_stale_reads_the_store(self):
        _, view, second = self.start_two()
        self.clock.advance(2_000.0)
        self.store.put("server/s1", builders.server_record())
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

    def test_source_that_waited_in_vain_is_not_waited_for_again(self):
        _, view, second = self.start_two()
        self.store.put("config", b"2")
        answer = self.peers.call

        def wait_in_vain(address, path, body, timeout_ms):
            self.clock.advance(body["wait_ms"])
            return {
                **answer(address, path, body, timeout_ms),
                "held_ms": body["wait_ms"],
            }

        self.peers.call = wait_in_vain
        second.read_once()
        version = view.active_configuration.configuration.version
        self.assertEqual(version, 2)
        self.assertLess(self.clock.now_ms() - START_MS, 2 * 600.0)

    def test_copy_is_not_from_the_future_after_the_clock_stood_still(self):
        # The steady clock of a suspended host does not count that time.
        first, _, second = self.start_two()
        answer = self.peers.call
        self.peers.call = lambda *arguments: {
            **answer(*arguments),
            "held_ms": 1_000.0,
        }
        first.read_once()
        second.read_once()
        now_ms = self.clock.now_ms()
        self.assertFalse(second.await_records(now_ms + 1.0, now_ms))

    def test_source_that_was_stale_is_asked_again_without_a_wait(self):
        # While this process waited there, it did not read the store.
        _, _, second = self.start_two()
        self.clock.advance(2_000.0)
        second.read_once()
        self.peers.waits_ms.clear()
        for _ in range(6):
            self.clock.advance(600.0)
            second.read_once()
        self.assertEqual(self.peers.waits_ms, [0.0])
        self.assertEqual(self.store.calls[-1], "watch")

    def test_source_that_recovered_is_waited_for_again(self):
        first, _, second = self.start_two()
        self.clock.advance(2_000.0)
        second.read_once()
        self.clock.advance(follower.SOURCE_RETRY_INTERVAL_MS)
        first.read_once()
        for _ in range(2):
            second.read_once()
        self.assertGreater(self.peers.waits_ms[-1], 0.0)

    def test_source_of_a_former_release_is_read_after_a_pause(self):
        _, first = self.start("m1")
        view, second = self.start("m2")
        first.read_once()
        answer = self.peers.call

        def answer_at_once(address, path, body, timeout_ms):
            found = answer(address, path, body, timeout_ms)
            return {
                name: value
                for name, value in found.items()
                if name not in ("reads", "held_ms")
            }

        self.peers.call = answer_at_once
        second.read_once()
        self.assertEqual(second.read_once(), 400.0)
        self.store.put("config", b"2")
        first.read_once()
        second.read_once()
        version = view.active_configuration.configuration.version
        self.assertEqual(version, 2)

    def test_compacted_history_is_replaced_by_a_listing(self):
        view, reader = self.start("m1")
        self.store.put("server/s1", builders.server_record())
        reader.read_once()
        self.store.has_history = False
        self.store.delete("server/s1")
        reader.read_once()
        reader.read_once()
        self.assertEqual(view.servers(), [])

    def test_restarted_source_does_not_restore_deleted_records(self):
        self.store.put("server/s1", builders.server_record())
        _, view, second = self.start_two()
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
        self.store.put("server/s1", builders.server_record())
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

    def put_budget_records(self, count):
        for number in range(count):
            self.store.put(f"ledger/p{number}", b"{}")

    def test_copy_that_lacks_changes_does_not_call_itself_fresh(self):
        view, reader = self.start("m1")
        reader.read_once()
        self.store.max_changes = 500
        self.put_budget_records(1_300)
        self.store.put("config", b"2")
        self.clock.advance(600.0)
        now_ms = self.clock.now_ms()
        reader.read_once()
        is_known = reader.await_records(now_ms, now_ms)
        version = view.active_configuration.configuration.version
        self.assertTrue(version == 2 or not is_known)

    def test_change_behind_more_than_one_answer_is_read_in_the_same_read(self):
        view, reader = self.start("m1")
        reader.read_once()
        self.store.max_changes = 500
        self.put_budget_records(1_300)
        self.store.put("config", b"2")
        reader.read_once()
        version = view.active_configuration.configuration.version
        self.assertEqual(version, 2)


if __name__ == "__main__":
    unittest.main()
