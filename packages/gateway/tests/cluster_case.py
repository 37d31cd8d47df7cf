"""Storage hosts and an edge process that reads and writes, for tests."""

import unittest

import storage_nodes

from balsamloom_core import clock as clocks
from balsamloom_gateway import conversations

LONG_MS = 5_000.0


def soon(duration_ms=LONG_MS, clock=None):
    """Return a time that lies ahead."""
    return (clock or clocks.Clock()).now_ms() + duration_ms


class ClusterCase(unittest.TestCase):
    """Test case with three storage hosts and a reader."""

    NAMES = "a1 b1 c1"
    IS_NETWORKED = False

    def setUp(self):
        self.cluster = storage_nodes.StorageCluster(
            self.NAMES, self.IS_NETWORKED
        )
        self.addCleanup(self.cluster.close)
        self.reader = self.edge()

    def edge(self, clock=None):
        """Return the view of an edge process that knows of no failure."""
        clock = clock or clocks.Clock()
        return conversations.Conversations(
            self.cluster.hosts,
            self.cluster.clients(),
            clock,
            "a",
            storage_nodes.COPIES,
        )

    def keep(self, *found):
        for turn in found:
            self.assertTrue(self.reader.keep(turn, soon()), turn)

    def read(self, turn_id, hint="g", reader=None):
        return (reader or self.reader).read(turn_id, hint, soon())
