"""Tests of the detection of replayed messages."""

import unittest

from balsamloom_peers import _checks


class SequenceTableTest(unittest.TestCase):
    """Guards against refusing messages that arrive out of order.

    Several threads transfer partitions. A check that accepted only increasing
    numbers refused half of the transfers as replayed.
    """

    def setUp(self):
        self.table = _checks.SequenceTable()

    def test_message_out_of_order_is_new_once(self):
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
