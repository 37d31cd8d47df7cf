"""Tests of the check against replayed messages."""

import unittest

from balsamloom_peers import _checks


class SequenceTableTest(unittest.TestCase):
    """Guards against refusing messages that overtook each other.

    Partitions are transferred by several threads; with a check for rising
    numbers only, half of the transfers were refused as replayed.
    """

    def setUp(self):
        self.table = _checks.SequenceTable()

    def test_overtaken_message_is_new_once(self):
        self.assertTrue(self.table.is_new("a", 2))
        self.assertTrue(self.table.is_new("a", 1))
        self.assertFalse(self.table.is_new("a", 1))

    def test_number_below_the_window_is_refused(self):
        self.table.is_new("a", _checks.SEQUENCE_WINDOW + 1)
        self.assertFalse(self.table.is_new("a", 1))

    def test_replay_is_refused_after_many_messages(self):
        for number in range(1, 1000):
            self.assertTrue(self.table.is_new("a", number))
        for number in range(1, 1000):
            self.assertFalse(self.table.is_new("a", number))
