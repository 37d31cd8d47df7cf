"""Tests of the revision in force under stale, invalid and absent sources."""

import logging
import unittest

import builders

from balsamloom_configuration import distribution, keys
from balsamloom_configuration import document as documents
from balsamloom_core import clock as clocks
from balsamloom_core import errors, results

TIMEOUT_MS = 5_000


def document(revision, **fields):
    content = builders.models("a", **fields)
    return documents.assemble({"models": documents.Section(content, revision)})


class InForceTest(unittest.TestCase):
    """Guards against a process that goes back or falls behind (R10)."""

    def setUp(self):
        self.store = builders.FakeStore()
        self.editor = builders.editor(self.store)
        self.rejections = builders.Rejections()
        logging.getLogger("balsamloom").addHandler(self.rejections)
        self.addCleanup(
            logging.getLogger("balsamloom").removeHandler, self.rejections
        )

    def started(self, **options):
        held = builders.active_configuration(self.store, **options)
        self.addCleanup(held.stop)
        held.start()
        return held

    def edit(self, base_revision, **fields):
        content = builders.models("a", **fields)
        wanted = builders.edit("models", content, base_revision)
        return self.editor.apply(wanted, 1_000).revision

    def test_watcher_takes_each_edit(self):
        held = self.started(is_watcher=True)
        self.edit(0)
        self.assertTrue(held.wait_for(1, TIMEOUT_MS))
        self.edit(1, max_tokens=10)
        self.assertTrue(held.wait_for(2, TIMEOUT_MS))
        self.assertEqual(
            held.document.content("models")["a"]["max_tokens"], 10
        )

    def test_older_document_never_comes_into_force(self):
        held = builders.active_configuration(self.store)
        newer = document(7, max_tokens=70)
        self.assertTrue(held.activate(newer, "peer"))
        for source in ("store", "peer"):
            self.assertFalse(held.activate(document(6), source))
            self.assertFalse(held.activate(document(7), source))
        self.assertEqual(held.document, newer)

    def test_stale_head_of_the_store_is_refused(self):
        self.edit(0)
        stale = dict(self.store.items)
        self.edit(1, max_tokens=10)
        held = self.started(is_watcher=True)
        self.assertTrue(held.wait_for(2, TIMEOUT_MS))
        newest = held.document
        self.store.items = stale
        self.store.changes.append(
            self.store.changes[0]._replace(
                key=keys.HEAD_KEY, item=stale[keys.HEAD_KEY], revision=10
            )
        )
        with self.store.changed:
            self.store.changed.notify_all()
        self.assertTrue(self.rejections.seen.wait(TIMEOUT_MS / 1000))
        self.assertEqual(held.revision, 2)
        self.assertEqual(held.document, newest)

    def test_stale_offer_of_a_peer_is_refused(self):
        held = self.started()
        self.assertTrue(held.activate(document(7), "peer"))
        self.assertFalse(held.offer(6, self.fail))
        # This peer promises more than it holds.
        older = documents.encode(document(5))
        self.assertTrue(held.offer(8, lambda since: older))
        self.assertTrue(self.rejections.seen.wait(TIMEOUT_MS / 1000))
        self.assertEqual(held.document, document(7))
        held.offer(9, lambda since: documents.encode(document(9)))
        self.assertTrue(held.wait_for(9, TIMEOUT_MS))

    def test_peer_gets_the_document_in_force_and_not_an_earlier_one(self):
        held = builders.active_configuration(self.store)
        for found in (document(1), document(2, max_tokens=5)):
            held.activate(found, "store")
            for _ in range(2):
                value = held.encoded()
                self.assertEqual(
                    documents.decode(value, documents.EMPTY), found
                )

    def test_process_behind_asks_only_for_what_changed(self):
        held = self.started()
        first = document(1)
        second = first.replace(
            "customers", documents.Section(builders.customers(), 2)
        )
        asked = []

        def fetch(since):
            asked.append(since)
            return documents.encode(second, since)

        held.activate(first, "store")
        held.offer(2, fetch)
        self.assertTrue(held.wait_for(2, TIMEOUT_MS))
        self.assertEqual(held.document, second)
        self.assertEqual(asked, [1])

    def test_restart_with_the_store_down_takes_the_highest_of_peers(self):
        self.store.is_down = True
        offers = [
            (number, lambda since, n=number: documents.encode(document(n)))
            for number in (3, 5, 4)
        ]
        found = [distribution.PeerOffer(*offer) for offer in offers]
        held = self.started(peer_offers=lambda: found)
        self.assertTrue(held.wait_for(5, TIMEOUT_MS))

    def test_watch_comes_back_after_the_store_was_down(self):
        held = self.started(is_watcher=True)
        self.edit(0)
        self.assertTrue(held.wait_for(1, TIMEOUT_MS))
        self.store.is_down = True
        self.assertFalse(held.wait_for(2, 100))
        self.store.is_down = False
        self.edit(1)
        self.assertTrue(held.wait_for(2, TIMEOUT_MS))

    def test_watches_that_end_at_once_do_not_load_the_store(self):
        manual = clocks.ManualClock()
        self.store.ends_watches = True
        self.started(is_watcher=True, clock=manual)
        self.assertTrue(self.store.watches.acquire(timeout=5))
        self.assertFalse(self.store.watches.acquire(timeout=0.2))
        manual.advance(distribution.MIN_BACKOFF_MS)
        self.assertTrue(self.store.watches.acquire(timeout=5))

    def test_step_from_another_history_is_not_mixed_with_it(self):
        self.edit(0)
        wanted = builders.edit("customers", builders.customers())
        self.editor.apply(wanted, 1_000)
        held = builders.active_configuration(self.store, is_watcher=True)
        self.addCleanup(held.stop)
        held.activate(document(1, max_tokens=5), "peer")
        held.start()
        self.assertTrue(held.wait_for(2, TIMEOUT_MS))
        self.assertEqual(held.document, self.editor.get())

    def test_invalid_document_is_refused_and_the_old_one_kept(self):
        held = builders.active_configuration(self.store)
        held.activate(document(1), "store")
        self.assertFalse(held.activate(document(2, max_tokens=0), "peer"))
        unknown = documents.assemble({"x": documents.Section({}, 3)})
        self.assertFalse(held.activate(unknown, "peer"))
        self.assertEqual(held.document, document(1))
        self.assertTrue(held.activate(document(4), "peer"))

    def test_peer_with_another_history_is_asked_for_everything(self):
        held = self.started()
        held.activate(document(1, max_tokens=5), "store")
        other = document(1).replace("customers", documents.Section({}, 2))
        held.offer(2, lambda since: documents.encode(other, since))
        self.assertTrue(held.wait_for(2, TIMEOUT_MS))
        self.assertEqual(held.document, other)

    def test_failed_fetch_is_repeated_by_the_next_offer(self):
        held = self.started()

        def fails(since):
            raise errors.BalsamloomError(results.ResultCode.OWNER_UNREACHABLE)

        held.offer(1, fails)
        self.assertFalse(held.wait_for(1, 100))
        held.offer(1, lambda since: documents.encode(document(1)))
        self.assertTrue(held.wait_for(1, TIMEOUT_MS))

    def test_callback_sees_each_document_before_it_counts(self):
        held = builders.active_configuration(self.store)
        seen = []

        def broken(found):
            raise ValueError("broken part")

        held.on_change(broken)
        held.on_change(
            lambda found: seen.append((found.revision, held.revision))
        )
        held.activate(document(1), "store")
        held.activate(document(2), "store")
        self.assertEqual(seen, [(1, 0), (2, 1)])
