"""Tests of the gRPC server and clients, over real connections."""

import threading
import time
import unittest

import builders
import grpc

from balsamloom_peers import (
    _checks,
    _convert,
    client,
    links,
    messages,
    peer_pb2,
)

TIMEOUT_MS = 5_000


def sealed_heartbeat(sequence):
    return _checks.add_checksum(
        _convert.heartbeat_to_protobuf(
            peer_pb2.HeartbeatRequest, builders.heartbeat(), sequence
        )
    )


class ExchangeTest(unittest.TestCase):
    """Guards against fields that are lost between members."""

    def setUp(self):
        self.pair = builders.Pair()
        self.addCleanup(self.pair.close)

    def test_heartbeat_arrives_whole(self):
        sent = builders.heartbeat(
            map_version=3,
            configuration_revision=8,
            calls_in_progress=2,
            server_states=(messages.ServerState("s1", 4, True, 3),),
            server_shares=(messages.ServerShare("s1", 5, 6),),
            is_leaving=True,
        )
        answer = self.pair.client.heartbeat(sent, TIMEOUT_MS)
        self.assertEqual(self.pair.handlers.heartbeats, [sent])
        self.assertEqual(answer, messages.Heartbeat("b-1", map_version=9))

    def test_other_messages_arrive_whole(self):
        sent = builders.transfer()
        result = self.pair.client.transfer_partition(sent, TIMEOUT_MS)
        found = self.pair.client.get_configuration(5, TIMEOUT_MS)
        self.assertEqual(result, messages.TransferResult(True))
        self.assertEqual(self.pair.handlers.transfers, [sent])
        self.assertEqual(found, messages.Configuration(6, b"{}"))
        self.assertEqual(
            self.pair.client.get_map(TIMEOUT_MS),
            messages.MapDocument(4, b"[]"),
        )
        for name in ("alive", "dead"):
            answer = self.pair.client.probe(
                messages.Probe("127.0.0.1:2", name), TIMEOUT_MS
            )
            self.assertEqual(answer, name == "alive")


class DamageTest(unittest.TestCase):
    """Guards against acting on damaged or replayed messages."""

    def setUp(self):
        self.pair = builders.Pair()
        self.addCleanup(self.pair.close)

    def assert_dropped(self, method, raw, count):
        with self.assertLogs("balsamloom", "WARNING") as logs:
            code = self.pair.send_raw(method, raw)
        self.assertIs(code, grpc.StatusCode.DATA_LOSS)
        self.assertEqual(self.pair.server.damaged_messages, count)
        self.assertEqual(logs.records[0].event, 3003)

    def test_each_truncation_is_dropped(self):
        raw = sealed_heartbeat(1_000).SerializeToString()
        for count, size in enumerate(range(len(raw)), 1):
            self.assert_dropped("Heartbeat", raw[:size], count)
        self.assertEqual(self.pair.handlers.heartbeats, [])

    def test_each_altered_byte_is_dropped(self):
        request = peer_pb2.TransferRequest(
            **builders.transfer()._asdict(), sequence=1
        )
        raw = _checks.add_checksum(request).SerializeToString()
        for position in range(len(raw)):
            altered = bytearray(raw)
            altered[position] ^= 0x10
            self.assert_dropped(
                "TransferPartition", bytes(altered), position + 1
            )
        self.assertEqual(self.pair.handlers.transfers, [])

    def test_replayed_message_is_dropped_and_the_next_one_accepted(self):
        first = sealed_heartbeat(10**9).SerializeToString()
        self.pair.send_raw("Heartbeat", first)
        self.assert_dropped("Heartbeat", first, 1)
        following = sealed_heartbeat(10**9 + 1).SerializeToString()
        code = self.pair.send_raw("Heartbeat", following)
        self.assertIs(code, grpc.StatusCode.OK)
        self.assertEqual(len(self.pair.handlers.heartbeats), 2)

    def test_sender_gets_an_error_for_a_damaged_message(self):
        self.pair.send_raw(
            "Heartbeat", sealed_heartbeat(2**62).SerializeToString()
        )
        with self.assertRaises(client.PeerMessageDamaged):
            self.pair.client.heartbeat(builders.heartbeat(), TIMEOUT_MS)

    def test_damaged_and_replayed_replies_are_dropped(self):
        def truncated(request):
            return replayed(request)[:-1]

        def replayed(request):
            reply = peer_pb2.ConfigurationReply(
                revision=9, document_json=b"{}", sequence=1
            )
            return _checks.add_checksum(reply).SerializeToString()

        _checks.next_sequence()
        for answer in (truncated, replayed):
            with builders.raw_server({"GetConfiguration": answer}) as address:
                peer = client.PeerClient(address)
                self.addCleanup(peer.close)
                with self.assertRaises(client.PeerMessageDamaged):
                    peer.get_configuration(1, TIMEOUT_MS)
                self.assertEqual(peer.damaged_messages, 1)


class ForwardTest(unittest.TestCase):
    """Guards against chunks that are delayed, lost or sent after a cancel."""

    def setUp(self):
        self.pair = builders.Pair()
        self.addCleanup(self.pair.close)
        self.request = messages.ForwardRequest("POST", "/v1/x", body=b"body")

    def test_each_chunk_arrives_before_the_next_is_produced(self):
        stream = iter(self.pair.client.forward(self.request, 20_000))
        sent = [
            messages.ForwardChunk(200, (("A", "b"),), b"1"),
            messages.ForwardChunk(body=b"2"),
            messages.ForwardChunk(body=b"3"),
        ]
        for chunk in sent:
            self.pair.handlers.chunks.put(chunk)
            self.assertEqual(next(stream), chunk)
        self.pair.handlers.chunks.put(messages.ForwardChunk(body=b"END"))
        self.assertEqual(list(stream), [])

    def test_cancelling_at_the_caller_cancels_at_the_owner(self):
        stream = self.pair.client.forward(self.request, 20_000)
        self.assertEqual(
            self.pair.handlers.started.get(timeout=5), self.request
        )
        stream.cancel()
        self.assertTrue(self.pair.handlers.forward_closed.wait(5))

    def test_leaving_the_iteration_cancels_at_the_owner(self):
        chunks = iter(self.pair.client.forward(self.request, 20_000))
        self.pair.handlers.chunks.put(messages.ForwardChunk(200))
        next(chunks)
        chunks.close()
        self.assertTrue(self.pair.handlers.forward_closed.wait(5))

    def test_stop_finishes_calls_in_progress(self):
        stream = iter(self.pair.client.forward(self.request, 20_000))
        self.pair.handlers.chunks.put(messages.ForwardChunk(200))
        next(stream)
        stopper = threading.Thread(
            target=self.pair.server.stop, args=(20_000,)
        )
        stopper.start()
        self.assertFalse(self.pair.handlers.forward_closed.wait(0.2))
        last = messages.ForwardChunk(body=b"last")
        self.pair.handlers.chunks.put(last)
        self.pair.handlers.chunks.put(messages.ForwardChunk(body=b"END"))
        self.assertEqual(list(stream), [last])
        stopper.join(10)
        self.assertFalse(stopper.is_alive())


class UnreachableTest(unittest.TestCase):
    """Guards against slow detection and a wrong report of what was sent.

    A request that is reported as not sent must not have run.
    """

    def test_refused_connection_was_not_sent(self):
        pair = builders.Pair()
        pair.server.stop(0)
        self.addCleanup(pair.close)
        for _ in range(2):
            with self.assertRaises(client.PeerUnreachable) as caught:
                pair.client.heartbeat(builders.heartbeat(), TIMEOUT_MS)
            self.assertFalse(caught.exception.was_sent)
            self.assertTrue(caught.exception.was_refused)

    def test_broken_stream_was_sent(self):
        pair = builders.Pair()
        self.addCleanup(pair.close)
        request = messages.ForwardRequest("POST", "/v1/x")
        stream = iter(pair.client.forward(request, 20_000))
        pair.handlers.chunks.put(messages.ForwardChunk(200))
        next(stream)
        pair.server.stop(0)
        with self.assertRaises(client.PeerUnreachable) as caught:
            next(stream)
        self.assertTrue(caught.exception.was_sent)
        self.assertFalse(caught.exception.was_refused)

    def test_full_owner_refuses_unsent_and_still_answers_heartbeats(self):
        pair = builders.Pair(max_forwards=2)
        self.addCleanup(pair.close)
        request = messages.ForwardRequest("POST", "/v1/x")
        held = []
        for _ in range(2):
            held.append(pair.client.forward(request, 20_000))
            pair.handlers.started.get(timeout=5)
        with self.assertRaises(client.PeerUnreachable) as caught:
            next(iter(pair.client.forward(request, 20_000)))
        self.assertFalse(caught.exception.was_sent)
        pair.client.heartbeat(builders.heartbeat(), TIMEOUT_MS)
        held[0].cancel()
        self.assertTrue(pair.handlers.forward_closed.wait(5))

    def test_deadline_ends_the_wait_and_was_sent(self):
        pair = builders.Pair()
        self.addCleanup(pair.close)
        request = messages.ForwardRequest("POST", "/v1/x")
        start = time.monotonic()
        with self.assertRaises(client.PeerUnreachable) as caught:
            list(pair.client.forward(request, 200))
        self.assertLess(time.monotonic() - start, 5)
        self.assertTrue(caught.exception.was_sent)

    def test_each_direction_of_a_link_is_blocked_separately(self):
        at_server, at_client = links.BlockedLinks(), links.BlockedLinks()
        pair = builders.Pair(at_server, at_client)
        self.addCleanup(pair.close)
        content = builders.heartbeat()
        for blocked_links, name, flags in (
            (at_client, pair.server.address, {"incoming": False}),
            (at_client, "b-1", {"incoming": False}),
            (at_server, "a-1", {"outgoing": False}),
            (at_server, "127.0.0.1:1", {"outgoing": False}),
        ):
            blocked_links.block(name, **flags)
            with self.assertRaises(client.PeerUnreachable):
                pair.client.heartbeat(content, TIMEOUT_MS, "b-1")
            blocked_links.unblock(name)
            pair.client.heartbeat(content, TIMEOUT_MS, "b-1")
        at_client.block("b-1", outgoing=False)
        at_server.block("a-1", incoming=False)
        pair.client.heartbeat(content, TIMEOUT_MS, "b-1")
        self.assertEqual(len(pair.handlers.heartbeats), 5)
