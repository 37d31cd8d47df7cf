"""The configuration over the store stand-in, as a process of its own."""

import threading
import unittest

from balsamloom_configuration import distribution, editing
from balsamloom_core import clock as clocks
from balsamloom_platform import etcd_gateway
from balsamloom_standins import fleet

IN_FORCE_LIMIT_MS = 9_000
HEARTBEAT_MS = 500


def content(max_tokens):
    server = {"id": "a-1", "address": "127.0.0.1:9001"}
    return {"a": {"servers": [server], "max_tokens": max_tokens}}


def edit(base_revision, max_tokens, author="asha"):
    return editing.Edit(
        "models",
        content(max_tokens),
        base_revision,
        author,
        "",
        editing.new_edit_id(),
    )


class ConfigurationStoreTest(unittest.TestCase):
    """Guards against an accepted edit that is late, lost or reverted."""

    def setUp(self):
        self.fleet = fleet.Fleet()
        self.addCleanup(self.fleet.stop)
        self.running = self.fleet.standin("store")
        # Waiting watches would hold up its graceful shutdown.
        self.addCleanup(self.running.kill)
        self.clock = clocks.Clock()
        self.store = etcd_gateway.EtcdGateway(self.running.address)
        self.editor = editing.Editor(self.store, self.clock)
        self.ended = threading.Event()
        self.addCleanup(self.ended.set)

    def started(self, is_watcher, peers=()):
        held = distribution.ActiveConfiguration(
            etcd_gateway.EtcdGateway(self.running.address),
            self.clock,
            lambda: is_watcher,
            lambda: [
                distribution.PeerOffer(peer.revision, peer.encoded)
                for peer in peers
            ],
        )
        self.addCleanup(held.stop)
        held.start()
        return held

    def beat(self, sender, *receivers):
        def run():
            while not self.clock.wait(self.ended, HEARTBEAT_MS):
                for receiver in receivers:
                    receiver.offer(sender.revision, sender.encoded)

        threading.Thread(target=run, daemon=True).start()

    def test_edit_reaches_watchers_and_their_peers(self):
        watcher = self.started(is_watcher=True)
        other = self.started(is_watcher=False)
        self.beat(watcher, other)
        for revision in range(1, 6):
            wanted = edit(revision - 1, revision)
            outcome = self.editor.apply(wanted, 2_000)
            self.assertEqual(outcome, editing.AppliedEdit(revision))
            self.assertTrue(watcher.wait_for(revision, IN_FORCE_LIMIT_MS))
            self.assertTrue(other.wait_for(revision, IN_FORCE_LIMIT_MS))
            self.assertEqual(other.document, watcher.document)

    def test_restart_with_the_store_down_takes_the_peers_document(self):
        watcher = self.started(is_watcher=True)
        self.editor.apply(edit(0, 1), 2_000)
        self.assertTrue(watcher.wait_for(1, IN_FORCE_LIMIT_MS))
        self.running.kill()
        restarted = self.started(is_watcher=True, peers=[watcher])
        self.assertTrue(restarted.wait_for(1, IN_FORCE_LIMIT_MS))
        self.assertEqual(restarted.document, watcher.document)

    def test_answer_lost_by_a_paused_store_is_resolved(self):
        running = self.running

        class PausedAtCommit(etcd_gateway.EtcdGateway):
            pauses = 0

            def commit(self, *arguments, **options):
                if self.pauses:
                    return super().commit(*arguments, **options)
                self.pauses += 1
                running.pause()
                try:
                    return super().commit(*arguments, **options)
                finally:
                    running.resume()

        store = PausedAtCommit(running.address)
        editor = editing.Editor(store, self.clock)
        outcome = editor.apply(edit(0, 1), 8_000)
        self.assertEqual(store.pauses, 1)
        self.assertEqual(outcome, editing.AppliedEdit(1))
        self.assertEqual(len(self.editor.history()), 1)

    def test_operators_racing_give_one_winner_and_lose_nothing(self):
        self.editor.apply(edit(0, 1), 2_000)
        barrier = threading.Barrier(8)
        outcomes = {}

        def run(number):
            editor = editing.Editor(
                etcd_gateway.EtcdGateway(self.running.address), self.clock
            )
            wanted = edit(1, 10 + number, f"operator-{number}")
            barrier.wait(10)
            outcomes[number] = editor.apply(wanted, 5_000)

        threads = [
            threading.Thread(target=run, args=(number,)) for number in range(8)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(10)
        winners = [
            number
            for number, outcome in outcomes.items()
            if outcome == editing.AppliedEdit(2)
        ]
        self.assertEqual(len(winners), 1, outcomes)
        held = content(10 + winners[0])
        self.assertEqual(self.editor.get().content("models"), held)
        for number, outcome in outcomes.items():
            if number not in winners:
                self.assertIsInstance(outcome, editing.Conflict)
                self.assertEqual(outcome.yours.content, content(10 + number))
                self.assertEqual(outcome.theirs.content, held)
                self.assertEqual(outcome.base.content, content(1))
