"""Tests of replica placement, reads, writes, outputs and messages."""

import random
import unittest

import builders
import hypothesis
from hypothesis import strategies

from balsamloom_conversations import (
    messages,
    replicas,
    stream_output,
    turns,
)

HOSTS = [builders.host(f"{domain}{n}") for domain in "abc" for n in range(2)]


class RankTest(unittest.TestCase):
    """Guards against losing several replicas to one fault."""

    def test_first_hosts_are_in_different_failure_domains(self):
        for number in range(200):
            ranked = replicas.rank(f"g{number}", HOSTS)
            self.assertEqual(set(ranked), set(HOSTS))
            domains = {host.failure_domain for host in ranked[:3]}
            self.assertEqual(len(domains), 3)

    def test_rank_does_not_depend_on_the_order_of_hosts(self):
        shuffled = random.Random(1).sample(HOSTS, len(HOSTS))
        self.assertEqual(
            replicas.rank("g", HOSTS), replicas.rank("g", shuffled)
        )

    def test_groups_are_distributed_evenly(self):
        counts = dict.fromkeys((host.name for host in HOSTS), 0)
        for number in range(3_000):
            for host in replicas.rank(f"g{number}", HOSTS)[:3]:
                counts[host.name] += 1
        self.assertLess(max(counts.values()) / min(counts.values()), 1.2)

    def test_reading_order_starts_with_a_target_in_the_same_domain(self):
        for number in range(50):
            group = f"g{number}"
            order = replicas.reading_order(group, HOSTS, 3, "b")
            self.assertEqual(order[0].failure_domain, "b")
            self.assertEqual(
                set(order[:3]), set(replicas.rank(group, HOSTS)[:3])
            )

    def test_each_group_has_three_targets_after_the_loss_of_a_host(self):
        remaining = HOSTS[1:]
        for number in range(200):
            group = f"g{number}"
            targets = [
                host.name
                for host in remaining
                if replicas.is_target(host.name, group, remaining, 3)
            ]
            self.assertEqual(len(targets), 3)


class WritePlanTest(unittest.TestCase):
    """Guards against completing a turn before it has enough replicas."""

    def test_complete_only_with_enough_replicas(self):
        plan = replicas.WritePlan(HOSTS, 3)
        started = plan.start()
        self.assertEqual(len(started), 3)
        for host in started[:2]:
            plan.record_written(host.name)
            self.assertFalse(plan.is_complete)
        plan.record_written(started[2].name)
        self.assertTrue(plan.is_complete)

    def test_failed_and_slow_writes_add_other_hosts(self):
        plan = replicas.WritePlan(HOSTS[:4], 2)
        first, second = plan.start()
        self.assertEqual(plan.handle_failure(first), [HOSTS[2]])
        self.assertEqual(plan.hedge(), [HOSTS[3]])
        self.assertEqual(plan.hedge(), [first])
        self.assertEqual(plan.hedge(), [])
        plan.record_written(second.name)
        plan.record_written(HOSTS[3].name)
        self.assertTrue(plan.is_complete)

    def test_failed_hosts_are_tried_again_after_the_others(self):
        plan = replicas.WritePlan(HOSTS[:3], 2)
        first, second = plan.start()
        self.assertEqual(plan.handle_failure(first), [HOSTS[2]])
        self.assertEqual(plan.handle_failure(second), [])
        self.assertTrue(plan.is_possible)
        self.assertEqual(plan.hedge(), [first])
        plan.record_written(first.name)
        plan.record_written(HOSTS[2].name)
        self.assertTrue(plan.is_complete)

    def test_fenced_host_is_replaced_by_another(self):
        plan = replicas.WritePlan(HOSTS[:3], 2)
        first, second = plan.start()
        self.assertEqual(plan.record_written(first.name), [])
        (third,) = plan.record_written(second.name, [first.name])
        self.assertFalse(plan.is_complete)
        self.assertTrue(plan.is_possible)
        plan.record_written(third.name)
        self.assertTrue(plan.is_complete)
        self.assertIn(first.name, plan.written_hosts)

    def test_impossible_with_too_few_hosts(self):
        plan = replicas.WritePlan(HOSTS[:1], 2)
        plan.start()
        self.assertFalse(plan.is_possible)

    def test_without_hosts(self):
        plan = replicas.WritePlan([], 2)
        self.assertEqual(plan.start(), [])
        self.assertFalse(plan.is_possible)


class ReadTallyTest(unittest.TestCase):
    """Guards against reporting an existing turn as absent."""

    def test_absent_only_if_no_host_is_unsure(self):
        tally = replicas.ReadTally(3, 2)
        self.assertEqual(tally.result(), turns.Absent())
        tally = replicas.ReadTally(3, 2)
        tally.record_unsure("c0", "no answer")
        self.assertIsInstance(tally.result(), turns.Unsure)

    def test_unsure_when_lost_hosts_could_form_a_replica_set(self):
        for lost, copies, expected in (
            (1, 2, turns.Absent),
            (2, 2, turns.Unsure),
            (2, 3, turns.Absent),
            (3, 3, turns.Unsure),
        ):
            with self.subTest(lost=lost, copies=copies):
                tally = replicas.ReadTally(6, copies)
                for number in range(lost):
                    tally.record_lost(f"c{number}")
                self.assertIsInstance(tally.result(), expected)

    def test_unsure_with_one_lost_and_one_unsure_host(self):
        tally = replicas.ReadTally(6, 3)
        tally.record_lost("c0")
        tally.record_unsure("c1", "catching up")
        self.assertIsInstance(tally.result(), turns.Unsure)

    def test_unsure_with_fewer_registered_hosts_than_replicas(self):
        for hosts in (0, 1):
            tally = replicas.ReadTally(hosts, 2)
            self.assertIsInstance(tally.result(), turns.Unsure)


class StreamOutputTest(unittest.TestCase):
    """Guards against outputs that differ from the event data."""

    def collect(self, stream, size=1):
        output = stream_output.StreamOutput(1_000)
        for start in range(0, len(stream), size):
            output.add(stream[start : start + size])
        return output.data()

    def test_output_holds_event_data_only(self):
        stream = (
            b"x-weight-versions: 7\nid: 1\ndata: one\n\n"
            b"id: 2\r\ndata:two\r\n\r\n: comment\n\n"
            b"data: a: b \ndata:  c\n\n"
        )
        for size in (1, 3, 100):
            self.assertEqual(
                self.collect(stream, size), b"one\ntwo\na: b \n c\n"
            )

    def test_lines_may_end_in_each_way(self):
        # With CR, turns were kept with an empty output, and the turns that
        # went on from them lacked all earlier answers.
        for line_end in (b"\n", b"\r", b"\r\n"):
            stream = b"id: 1\ndata: one\n\ndata: two\ndata: 3\n\ndata: 4\n"
            stream = stream.replace(b"\n", line_end)
            for size in (1, 2, 100):
                with self.subTest(line_end=line_end, size=size):
                    found = self.collect(stream, size)
                    self.assertEqual(found, b"one\ntwo\n3\n")

    def test_incomplete_event_is_left_out(self):
        self.assertEqual(self.collect(b"data: a\n\ndata: b\n"), b"a\n")

    def test_stream_over_the_limit_is_rejected(self):
        with self.assertRaises(stream_output.OutputTooLongError):
            self.collect(b"data: " + b"x" * 1_000, 100)


class MessagesTest(unittest.TestCase):
    """Guards against malformed messages that stop a background thread."""

    DECODERS = (
        messages.decode_turn,
        messages.decode_turns,
        messages.decode_names,
        messages.decode_lookup,
        messages.decode_query,
        messages.decode_listing,
    )

    def test_messages_survive_encoding_and_decoding(self):
        turn = builders.turn(turn_input=b"\xff\x00", turn_output=b"\r\n")
        self.assertEqual(
            messages.decode_turn(messages.encode_turn(turn)), turn
        )
        self.assertEqual(
            messages.decode_turns(messages.encode_turns([turn])), [turn]
        )
        for lookup in (
            turns.Chain("g", b"\xff"),
            turns.Absent(),
            turns.Unsure("r"),
        ):
            body = messages.encode_lookup(lookup)
            self.assertEqual(messages.decode_lookup(body), lookup)
        listing = messages.Listing(
            "d", True, False, (turns.ListingEntry(1, "t", "g"),)
        )
        body = messages.encode_listing(listing)
        self.assertEqual(messages.decode_listing(body), listing)
        query = messages.ListQuery(4, 10)
        body = messages.encode_query(query)
        self.assertEqual(messages.decode_query(body), query)

    @hypothesis.given(strategies.binary(max_size=60))
    def test_any_bytes_are_decoded_or_rejected(self, body):
        for decode in self.DECODERS:
            try:
                decode(body)
            except messages.InvalidMessageError:
                pass


if __name__ == "__main__":
    unittest.main()
