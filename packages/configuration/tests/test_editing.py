"""Tests of concurrent edits and of edits during store failures."""

import unittest

import builders

from balsamloom_configuration import editing
from balsamloom_platform import store as stores

TIMEOUT_MS = 300


class EditingTest(unittest.TestCase):
    """Guards against edits lost, applied twice or reported wrongly."""

    def setUp(self):
        self.store = builders.FakeStore()
        self.editor = builders.editor(self.store)
        self.first = builders.models("a")
        self.assertEqual(self.apply("models", self.first), applied(1))

    def apply(self, section, content, base_revision=0, author="asha"):
        wanted = builders.edit(section, content, base_revision, author)
        return self.editor.apply(wanted, TIMEOUT_MS)

    def contents(self):
        document = self.editor.get()
        return {name: document.content(name) for name in document.sections}

    def test_conflict_shows_both_sides_and_the_base(self):
        theirs = builders.models("a", max_tokens=10)
        yours = builders.models("a", max_tokens=20)
        self.assertEqual(self.apply("models", theirs, 1, "ben"), applied(2))
        outcome = self.apply("models", yours, 1, "asha")
        self.assertIsInstance(outcome, editing.Conflict)
        self.assertEqual(
            [
                (side.revision, side.content, side.author)
                for side in (outcome.base, outcome.theirs, outcome.yours)
            ],
            [(1, self.first, "asha"), (2, theirs, "ben"), (1, yours, "asha")],
        )
        self.assertEqual(self.contents(), {"models": theirs})

    def test_concurrent_edit_of_the_section_is_a_conflict(self):
        theirs = builders.models("a", max_tokens=10)
        self.store.before_commit = lambda: self.apply("models", theirs, 1)
        yours = builders.models("a", max_tokens=20)
        outcome = self.apply("models", yours, 1)
        self.assertIsInstance(outcome, editing.Conflict)
        self.assertEqual(self.contents(), {"models": theirs})

    def test_concurrent_edits_of_different_sections_are_applied(self):
        theirs = builders.customers(2)
        self.store.before_commit = lambda: self.apply("customers", theirs)
        yours = builders.models("b")
        self.assertEqual(self.apply("models", yours, 1), applied(3))
        self.assertEqual(
            self.contents(), {"models": yours, "customers": theirs}
        )

    def test_concurrent_edit_that_invalidates_this_one_is_detected(self):
        order = {"a-1": {"model": "a"}}
        self.store.before_commit = lambda: self.apply("engines", order)
        outcome = self.apply("models", builders.models("b"), 1)
        self.assertIsInstance(outcome, editing.InvalidEdit)
        self.assertEqual(
            self.contents(), {"models": self.first, "engines": order}
        )

    def test_edit_with_a_lost_answer_is_applied_once(self):
        self.store.lost_answers = 1
        wanted = builders.models("a", max_tokens=10)
        self.assertEqual(self.apply("models", wanted, 1), applied(2))
        self.assertEqual(self.editor.get().revision, 2)

    def test_edit_with_a_lost_answer_is_found_after_a_later_edit(self):
        self.store.lost_answers = 1
        mine = builders.models("a", max_tokens=10)
        later = builders.models("a", max_tokens=20)
        wanted = builders.edit("models", mine, 1)

        class InterleavingEditor(editing.Editor):
            # Applies the later edit between the lost answer and the retry.
            def _attempt(inner, edit):  # noqa: N805
                try:
                    return super()._attempt(edit)
                except stores.StoreUnavailable:
                    self.assertEqual(
                        self.apply("models", later, 2), applied(3)
                    )
                    raise

        editor = InterleavingEditor(self.store, self.editor._clock)
        self.assertEqual(editor.apply(wanted, TIMEOUT_MS), applied(2))
        self.assertEqual(self.contents(), {"models": later})

    def test_lost_request_is_retried(self):
        self.store.lost_requests = 1
        wanted = builders.models("a", max_tokens=10)
        self.assertEqual(self.apply("models", wanted, 1), applied(2))

    def test_unresolved_edit_is_resolved_by_its_id(self):
        wanted = builders.edit("models", builders.models("b"), 1)
        self.store.lost_answers = 1
        real_get = self.store.list_keys
        reads = []

        def fails_after_the_first(*arguments, **options):
            reads.append(arguments)
            if len(reads) > 1:
                raise stores.StoreUnavailable("down", False)
            return real_get(*arguments, **options)

        self.store.list_keys = fails_after_the_first
        outcome = self.editor.apply(wanted, TIMEOUT_MS)
        self.assertIsInstance(outcome, editing.UnresolvedEdit)
        self.store.list_keys = real_get
        again = self.editor.apply(wanted, TIMEOUT_MS)
        self.assertEqual(again, applied(2))
        self.assertEqual(self.editor.get().revision, 2)

    def test_store_down_before_the_write_is_reported_as_not_written(self):
        self.store.is_down = True
        with self.assertRaises(stores.StoreUnavailable) as caught:
            self.apply("models", builders.models("b"), 1)
        self.assertFalse(caught.exception.may_have_applied)

    def test_stale_read_is_not_a_conflict(self):
        stale = dict(self.store.items)
        self.apply("models", builders.models("b"), 1)
        self.store.stale_items, self.store.stale_reads = stale, 1
        self.assertEqual(
            self.apply("models", builders.models("c"), 2), applied(3)
        )

    def test_invalid_edit_writes_nothing(self):
        before = dict(self.store.items)
        outcome = self.apply("models", {"a": {"servers": []}}, 1)
        self.assertIsInstance(outcome, editing.InvalidEdit)
        self.assertEqual(self.store.items, before)

    def test_undo_is_a_new_revision_with_the_old_content(self):
        self.apply("models", builders.models("b"), 1)
        undo = self.editor.build_undo(2, "ben", "")
        self.assertEqual(self.editor.apply(undo, TIMEOUT_MS), applied(3))
        self.assertEqual(self.contents(), {"models": self.first})
        history = self.editor.history()
        self.assertEqual(
            [(change.revision, change.author) for change in history],
            [(3, "ben"), (2, "asha"), (1, "asha")],
        )

    def test_undo_of_a_change_before_the_latest_is_a_conflict(self):
        self.apply("models", builders.models("b"), 1)
        self.apply("models", builders.models("c"), 2)
        undo = self.editor.build_undo(2, "ben", "")
        outcome = self.editor.apply(undo, TIMEOUT_MS)
        self.assertIsInstance(outcome, editing.Conflict)

    def test_section_is_removed_and_recreated(self):
        undo = self.editor.build_undo(1, "ben", "")
        self.assertEqual(self.editor.apply(undo, TIMEOUT_MS), applied(2))
        self.assertEqual(self.contents(), {"models": {}})
        self.assertEqual(self.apply("models", self.first, 2), applied(3))

    def test_history_of_a_section_omits_others(self):
        self.apply("customers", builders.customers())
        found = self.editor.history("models")
        self.assertEqual([change.revision for change in found], [1])


class DifferenceTest(unittest.TestCase):
    """Guards against a diff that omits changes or shows unchanged parts."""

    def test_servers_are_compared_by_id(self):
        old = builders.models("a", "s1", "s2")
        new = builders.models("a", "s0", "s1", "s2")
        new["a"]["servers"][2]["draining"] = True
        self.assertEqual(
            editing.differences(old, new),
            [
                ("a.servers.s0", None, builders.server("s0")),
                ("a.servers.s2.draining", None, True),
            ],
        )


def applied(revision):
    return editing.AppliedEdit(revision)
