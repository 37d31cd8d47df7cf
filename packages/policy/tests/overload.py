"""Programs that compete for the slots of one engine, for tests."""

import collections
import dataclasses
import heapq
import itertools
import random

SLOTS = 8
TURN_MS = 100.0
MEAN_TURNS = 4
DURATION_MS = 20_000.0
DEADLINE_FACTOR = 2.2
DEADLINE_MARGIN_MS = 200.0


@dataclasses.dataclass
class Program:
    """A program of equal turns, which are run one after the other."""

    program_id: str
    rank: int
    turns: int
    start_ms: float
    left: int = 0
    is_in_time: bool = False

    @property
    def deadline_ms(self):
        idle_ms = self.turns * TURN_MS
        return self.start_ms + DEADLINE_FACTOR * idle_ms + DEADLINE_MARGIN_MS


def arrivals(capacity_factor, seed):
    """Return programs of two ranks; most are short, a few are long."""
    generator = random.Random(seed)
    programs_per_ms = capacity_factor * SLOTS / (MEAN_TURNS * TURN_MS)
    found = []
    now_ms = 0.0
    while now_ms < DURATION_MS:
        now_ms += generator.expovariate(programs_per_ms)
        turns = min(max(round(generator.lognormvariate(1.25, 0.5)), 1), 8)
        rank = generator.random() >= 1 / 3
        name = f"{seed}-{len(found)}"
        found.append(Program(name, int(rank), turns, now_ms, turns))
    return found


def play(programs, priority):
    """Run programs; those past twice their time are given up.

    :param priority: returns a turn's priority, by its program and the time.
    """
    generator = random.Random(0)
    order = itertools.count()
    events = [(one.start_ms, next(order), one, False) for one in programs]
    heapq.heapify(events)
    waiting = []
    free = SLOTS
    while events:
        now_ms, _, one, has_run = heapq.heappop(events)
        if has_run:
            free += 1
            one.left -= 1
            one.is_in_time = not one.left and now_ms <= one.deadline_ms
        given_up_ms = 2 * one.deadline_ms - one.start_ms
        if one.left and now_ms <= given_up_ms:
            heapq.heappush(waiting, (priority(one, now_ms), next(order), one))
        while free and waiting:
            free -= 1
            one = heapq.heappop(waiting)[2]
            end_ms = now_ms + TURN_MS * generator.uniform(0.7, 1.3)
            heapq.heappush(events, (end_ms, next(order), one, True))


def shares_in_time(programs, rank):
    """Return shares of a rank in time: all, largest tenth, fifth below."""
    ordered = sorted(
        (one for one in programs if one.rank == rank),
        key=lambda one: (one.turns, one.start_ms),
    )
    tenth = len(ordered) // 10
    groups = (ordered, ordered[-tenth:], ordered[-3 * tenth : -tenth])
    counts = [collections.Counter(one.is_in_time for one in g) for g in groups]
    return [count[True] / count.total() for count in counts]
