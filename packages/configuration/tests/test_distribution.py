"""Tests of the configuration in force with failing or stale sources."""

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


class ActiveConfigurationTest(unittest.TestCase):
    """Guards against a process that reverts or misses a revision (R10)."""

    def setUp(self):
        self.store = builders.FakeStore()
        self.editor = builders.editor(self.store)
        self.rejections = builders.RejectionHandler()
        logging.getLogger("balsamloom").addHandler(self.rejections)
        self.addCleanup(
            logging.getLogger("balsamloom").removeHandler, self.rejections
        )

    def started(self, **options):
        configuration = builders.active_configuration(self.store, **options)
        self.addCleanup(configuration.stop)
        configuration.start()
        return configuration

    def edit(self, base_revision, **fields):
        content = builders.models("a", **fields)
        edit = builders.edit("models", content, base_revision)
        return self.editor.apply(edit, 1_000).revision

    def test_watcher_activates_each_edit(self):
        configuration = self.started(is_watcher=True)
        self.edit(0)
        self.assertTrue(configuration.wait_for(1, TIMEOUT_MS))
        self.edit(1, max_tokens=10)
        self.assertTrue(configuration.wait_for(2, TIMEOUT_MS))
        self.assertEqual(
            configuration.document.content("models")["a"]["max_tokens"], 10
        )

    def test_older_document_never_comes_into_force(self):
        configuration = builders.active_configuration(self.store)
        newer = document(7, max_tokens=70)
        self.assertTrue(configuration.activate(newer, "peer"))
        for source in ("store", "peer"):
            self.assertFalse(configuration.activate(document(6), source))
            self.assertFalse(configuration.activate(document(7), source))
        self.assertEqual(configuration.document, newer)

    def test_stale_head_of_the_store_is_rejected(self):
        self.edit(0)
        stale = dict(self.store.items)
        self.edit(1, max_tokens=10)
        configuration = self.started(is_watcher=True)
        self.assertTrue(configuration.wait_for(2, TIMEOUT_MS))
        newest = configuration.document
        self.store.items = stale
        self.store.changes.append(
            self.store.changes[0]._replace(
                key=keys.HEAD_KEY, item=stale[keys.HEAD_KEY], revision=10
            )
        )
        with self.store.changed:
            self.store.changed.notify_all()
        self.assertTrue(self.rejections.seen.wait(TIMEOUT_MS / 1000))
        self.assertEqual(configuration.revision, 2)
        self.assertEqual(configuration.document, newest)

    def test_stale_document_of_a_peer_is_rejected(self):
        configuration = self.started()
        self.assertTrue(configuration.activate(document(7), "peer"))
        self.assertFalse(configuration.offer(6, self.fail))
        # The peer offers a newer revision than it returns.
        older = documents.encode(document(5))
        self.assertTrue(configuration.offer(8, lambda since: older))
        self.assertTrue(self.rejections.seen.wait(TIMEOUT_MS / 1000))
        self.assertEqual(configuration.document, document(7))
        configuration.offer(9, lambda since: documents.encode(document(9)))
        self.assertTrue(configuration.wait_for(9, TIMEOUT_MS))

    def test_peer_gets_the_current_document_and_not_an_earlier_one(self):
        configuration = builders.active_configuration(self.store)
        for found in (document(1), document(2, max_tokens=5)):
            configuration.activate(found, "store")
            for _ in range(2):
                value = configuration.encoded()
                self.assertEqual(
                    documents.decode(value, documents.EMPTY), found
                )

    def test_outdated_process_fetches_only_the_changes(self):
        configuration = self.started()
        first = document(1)
        second = first.replace(
            "customers", documents.Section(builders.customers(), 2)
        )
        fetched = []

        def fetch(since):
            fetched.append(since)
            return documents.encode(second, since)

        configuration.activate(first, "store")
        configuration.offer(2, fetch)
        self.assertTrue(configuration.wait_for(2, TIMEOUT_MS))
        self.assertEqual(configuration.document, second)
        self.assertEqual(fetched, [1])

    def test_restart_without_the_store_uses_the_newest_peer(self):
        self.store.is_down = True
        offers = [
            (number, lambda since, n=number: documents.encode(document(n)))
            for number in (3, 5, 4)
        ]
        found = [distribution.PeerOffer(*offer) for offer in offers]
        configuration = self.started(peer_offers=lambda: found)
        self.assertTrue(configuration.wait_for(5, TIMEOUT_MS))

    def test_watch_resumes_after_the_store_was_down(self):
        configuration = self.started(is_watcher=True)
        self.edit(0)
        self.assertTrue(configuration.wait_for(1, TIMEOUT_MS))
        self.store.is_down = True
        self.assertFalse(configuration.wait_for(2, 100))
        self.store.is_down = False
        self.edit(1)
        self.assertTrue(configuration.wait_for(2, TIMEOUT_MS))

    def test_watches_that_end_at_once_do_not_load_the_store(self):
        manual = clocks.ManualClock()
        self.store.ends_watches = True
        self.started(is_watcher=True, clock=manual)
        self.assertTrue(self.store.watches.acquire(timeout=5))
        self.assertFalse(self.store.watches.acquire(timeout=0.2))
        manual.advance(distribution.MIN_BACKOFF_MS)
        self.assertTrue(self.store.watches.acquire(timeout=5))

    def test_section_of_another_history_is_not_merged(self):
        self.edit(0)
        edit = builders.edit("customers", builders.customers())
        self.editor.apply(edit, 1_000)
        configuration = builders.active_configuration(
            self.store, is_watcher=True
        )
        self.addCleanup(configuration.stop)
        configuration.activate(document(1, max_tokens=5), "peer")
        configuration.start()
        self.assertTrue(configuration.wait_for(2, TIMEOUT_MS))
        self.assertEqual(configuration.document, self.editor.get())

    def test_invalid_document_is_rejected_and_the_old_one_kept(self):
        configuration = builders.active_configuration(self.store)
        configuration.activate(document(1), "store")
        self.assertFalse(
            configuration.activate(document(2, max_tokens=0), "peer")
        )
        unknown = documents.assemble({"x": documents.Section({}, 3)})
        self.assertFalse(configuration.activate(unknown, "peer"))
        self.assertEqual(configuration.document, document(1))
        self.assertTrue(configuration.activate(document(4), "peer"))

    def test_whole_document_is_fetched_from_another_history(self):
        configuration = self.started()
        configuration.activate(document(1, max_tokens=5), "store")
        other = document(1).replace("customers", documents.Section({}, 2))
        configuration.offer(2, lambda since: documents.encode(other, since))
        self.assertTrue(configuration.wait_for(2, TIMEOUT_MS))
        self.assertEqual(configuration.document, other)

    def test_failed_fetch_is_repeated_by_the_next_offer(self):
        configuration = self.started()

        def fails(since):
            raise errors.BalsamloomError(results.ResultCode.OWNER_UNREACHABLE)

        configuration.offer(1, fails)
        self.assertFalse(configuration.wait_for(1, 100))
        configuration.offer(1, lambda since: documents.encode(document(1)))
        self.assertTrue(configuration.wait_for(1, TIMEOUT_MS))

    def test_callback_is_called_before_a_document_is_in_force(self):
        configuration = builders.active_configuration(self.store)
        seen = []

        def broken(found):
            raise ValueError("broken part")

        configuration.on_change(broken)
        configuration.on_change(
            lambda found: seen.append((found.revision, configuration.revision))
        )
        configuration.activate(document(1), "store")
        configuration.activate(document(2), "store")
        self.assertEqual(seen, [(1, 0), (2, 1)])
