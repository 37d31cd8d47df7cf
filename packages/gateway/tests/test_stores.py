"""Tests of the in-memory store that stands in for the platform's."""

import unittest

import stores

from balsamloom_gateway import interfaces

KEYS = ("p/1", "p/2", "p/3")


def write_all(store, revisions=(0, 0, 0)):
    conditions = [
        interfaces.Condition(key, revision)
        for key, revision in zip(KEYS, revisions, strict=True)
    ]
    writes = [interfaces.Write(key, b"{}") for key in KEYS]
    return store.transact(conditions, writes)


class TransactionTest(unittest.TestCase):
    """Guards against revisions that the platform's store does not give."""

    def setUp(self):
        self.store = stores.Store()
        self.store.put("p/0", b"{}")

    def test_all_writes_carry_the_revision_of_the_answer(self):
        self.assertEqual(write_all(self.store), interfaces.Committed(2))
        found = {key: self.store.items[key].revision for key in KEYS}
        self.assertEqual(found, dict.fromkeys(KEYS, 2))

    def test_next_write_on_the_revision_of_the_answer_is_no_conflict(self):
        revision = write_all(self.store).revision
        result = write_all(self.store, (revision,) * len(KEYS))
        self.assertEqual(result, interfaces.Committed(3))

    def test_deletes_carry_the_revision_of_the_writes(self):
        write_all(self.store)
        write = interfaces.Write("p/4", b"{}")
        result = self.store.transact([], [write], ["p/absent", *KEYS])
        self.assertEqual(result, interfaces.Committed(3))
        found = self.store.watch("p/", 2, 0)
        self.assertEqual(len(found.changes), 1 + len(KEYS))
        self.assertEqual({change.revision for change in found.changes}, {3})

    def test_transaction_that_changes_nothing_raises_no_revision(self):
        result = self.store.transact([], [], ["p/absent"])
        self.assertEqual(result, interfaces.Committed(1))

    def test_watch_that_ends_early_ends_after_a_whole_transaction(self):
        write_all(self.store)
        self.store.put("p/4", b"{}")
        for most in range(1, 6):
            with self.subTest(most=most):
                self.store.max_changes = most
                seen, after = [], 0
                while after < self.store.revision:
                    found = self.store.watch("p/", after, 0)
                    seen += [change.key for change in found.changes]
                    self.assertGreater(found.store_revision, after)
                    after = found.store_revision
                self.assertEqual(seen, ["p/0", *KEYS, "p/4"])


if __name__ == "__main__":
    unittest.main()
