"""Random losses of storage hosts, within what the deployment tolerates.

Disks are lost one at a time; further kills and cuts overlap with them. After
each step, no read may say that something acknowledged does not exist.
"""

from __future__ import annotations

import random
from typing import NamedTuple

import cluster_case
import storage_nodes

from balsamloom_conversations import turns
from balsamloom_core import clock as clocks
from balsamloom_gateway import storage_calls, storage_journal

COPIES = storage_nodes.COPIES
# Rounds within which all is available again after the last loss.
RECOVERY_ROUNDS = 4
GROUPS = 4


class Wrong(NamedTuple):
    """Answer that denies what was acknowledged, after some steps."""

    steps: tuple[str, ...]
    answer: object


class RandomLosses:
    """Storage hosts and the edge processes that use them.

    :param case: test case whose cluster, reader and journal are used.
    :param seed: seed of the steps.
    """

    def __init__(self, case, seed: int) -> None:
        self._case = case
        self._cluster = case.cluster
        self._random = random.Random(seed)
        self._clock = clocks.ManualClock(1_000_000.0)
        self._reader = case.new_reader(self._clock)
        self._writer = case.new_reader()
        self._journal = self._new_journal()
        self._kept: list[turns.Turn] = []
        self._entries: dict[str, int] = {}
        self._numbers = 0
        self._is_disk_lost = False
        self.steps: list[str] = []

    def run(self, count: int) -> Wrong | None:
        """Take steps and recover; return the first wrong answer."""
        for _ in range(count):
            self.steps.append(self._step())
            wrong = self._find_wrong(is_recovered=False)
            if wrong is not None:
                return wrong
        self.steps.append(self._recover())
        return self._find_wrong(is_recovered=True)

    def _step(self) -> str:
        cluster = self._cluster
        node = self._random.choice(cluster.nodes)
        name = node.name
        match self._random.randrange(10):
            case 0 if node.is_up:
                cluster.kill(name)
                return f"kill {name}"
            case 0 | 1 if not node.is_up:
                cluster.start(name)
                return f"start {name}"
            case 2 if not self._is_disk_lost:
                self._is_disk_lost = True
                cluster.wipe(name)
                return f"wipe {name}"
            case 3:
                others = [one.name for one in cluster.nodes if one is not node]
                other = self._random.choice(others)
                cluster.cut(name, other)
                return f"cut {name} {other}"
            case 4:
                cluster.cuts.clear()
                return "heal"
            case 5 if node.is_up:
                node.copies.run_round()
                return f"a round of {name}"
            case 6 | 7:
                cluster.run_rounds(3)
                return "rounds"
            case 8 if self._random.random() < 0.3:
                self._clock.advance(storage_calls.LOST_HOST_TIMEOUT_MS)
                return "10 s pass"
        return self._write()

    def _write(self) -> str:
        if sum(node.is_up for node in self._cluster.nodes) < COPIES:
            return "no write"
        self._numbers += 1
        number = self._numbers
        group_id = f"g{number % GROUPS}"
        turn = storage_nodes.turn(f"t{number}", group_id=group_id)
        is_kept = self._writer.write(turn, cluster_case.deadline())
        if is_kept:
            self._kept.append(turn)
        holder_id = f"h{number % GROUPS}"
        entry = storage_nodes.usage_entry(holder_id, number)
        is_written = self._journal.write([entry])
        if is_written:
            self._entries[holder_id] = number
        return f"write {number}: {is_kept} {is_written}"

    def _recover(self) -> str:
        for node in self._cluster.nodes:
            if not node.is_up:
                node.start()
        self._cluster.cuts.clear()
        self._cluster.run_rounds(RECOVERY_ROUNDS)
        return "recover"

    def _find_wrong(self, is_recovered: bool) -> Wrong | None:
        """Return an answer that denies something that was acknowledged.

        After a recovery, one that can't tell is wrong, too.
        """
        reader = self._case.new_reader(self._clock)
        if not is_recovered:
            reader = self._reader
        for turn in self._kept:
            until_ms = cluster_case.deadline(clock=self._clock)
            found = reader.read(turn.turn_id, turn.group_id, until_ms)
            is_served = isinstance(found, turns.Chain)
            if found == turns.Absent() or (is_recovered and not is_served):
                return Wrong(tuple(self.steps), (turn.turn_id, found))
        answer = self._new_journal().read("p")
        newest = {entry.holder_id: entry.sequence for entry in answer.entries}
        has_all = all(
            newest.get(holder_id, 0) >= sequence
            for holder_id, sequence in self._entries.items()
        )
        if answer.is_complete and not has_all:
            return Wrong(tuple(self.steps), (self._entries, newest))
        if is_recovered and not answer.is_complete:
            return Wrong(tuple(self.steps), answer)
        return None

    def _new_journal(self) -> storage_journal.StorageJournal:
        return storage_journal.StorageJournal(
            self._cluster.hosts,
            storage_calls.StorageCalls(
                self._cluster.clients(), clocks.Clock()
            ),
            clocks.Clock(),
            COPIES,
            lambda: True,
        )
