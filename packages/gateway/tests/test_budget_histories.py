"""Tests of budgets over generated histories of their holders.

Examples are derandomized, so every run draws the same ones. More of them::

    BUDGET_HISTORIES=20000 python -m unittest test_budget_histories
"""

import os
import unittest

import budget_model as model
import hypothesis
from hypothesis import strategies

from balsamloom_gateway import budgets, ledger

EXAMPLES = int(os.environ.get("BUDGET_HISTORIES", "0"))
SETTINGS = hypothesis.settings(
    derandomize=not EXAMPLES,
    max_examples=EXAMPLES or 150,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
NAMES = strategies.sampled_from(model.NAMES)
# The first is the program's primary holder while it is registered.
# The first is the program's primary holder while it is registered.
CALLED = strategies.sampled_from(["m1", "m1", "m2", "m3"])
TURN = 280
MIXED = strategies.sampled_from([TURN, TURN, TURN // 2, TURN // 4])
EQUAL = strategies.just(TURN)
BUDGETS = strategies.sampled_from([300, 500, 855, 1_300])
PERCENTS = strategies.sampled_from([0, 10, 50, 100])
MAX_STEPS = 25
MAX_LOSSES = 5

SETTLES = strategies.builds(
    model.Settle,
    strategies.integers(0, 2),
    PERCENTS,
    strategies.sampled_from(
        [model.End.WHOLE, model.End.WHOLE, model.End.BROKEN_OFF]
        + [model.End.NEVER_RAN]
    ),
)
UNTOLD = strategies.just(model.Settle(end=model.End.NOT_TOLD))
WAITS = strategies.builds(
    model.Wait, strategies.sampled_from([10.0, 400.0, 1_100.0])
)
STORE_MODES = strategies.sampled_from(model.StoreMode)
KILLS = strategies.builds(
    model.Kill, strategies.lists(NAMES, min_size=1).map(tuple)
) | strategies.just(model.Kill(model.NAMES))
LOSSES = strategies.one_of(
    KILLS,
    strategies.just(model.Expire()),
    strategies.builds(model.Start, NAMES),
    strategies.builds(model.Stop, NAMES),
    strategies.builds(model.Freeze, NAMES),
    strategies.builds(model.Thaw, NAMES),
    strategies.builds(model.LoseLease, NAMES),
    strategies.builds(model.Register, NAMES),
)


def reserves(sizes, is_timely=strategies.booleans()):
    """Return calls of turns."""
    return strategies.builds(model.Reserve, CALLED, sizes, is_timely)


def traffic(sizes, is_timely=strategies.booleans()):
    """Return steps of a program without trouble."""
    return strategies.one_of(reserves(sizes, is_timely), SETTLES, WAITS)


def store_trouble(during):
    """Return steps of a store that does not answer well.

    :param during: steps during its calls.
    """
    return strategies.one_of(
        strategies.builds(model.SetStore, STORE_MODES),
        strategies.just(model.SetStore(model.StoreMode.UP)),
        strategies.just(model.ApplyLate()),
        strategies.builds(
            model.Record,
            CALLED,
            STORE_MODES,
            strategies.lists(during, max_size=3).map(tuple),
        ),
    )


def programs(sizes, steps):
    """Return budgets, histories and the size of the turn after them."""
    return strategies.tuples(BUDGETS, steps, sizes)


def without_losses(sizes):
    """Return programs whose store has trouble, while no process is lost."""
    steps = traffic(sizes) | store_trouble(reserves(sizes) | SETTLES)
    return programs(sizes, strategies.lists(steps, max_size=MAX_STEPS))


def any_histories():
    """Return programs that meet any trouble."""
    rewrites = strategies.builds(model.RewriteAsFormer, MIXED)
    steps = strategies.one_of(
        traffic(MIXED),
        store_trouble(traffic(MIXED) | LOSSES),
        LOSSES,
        UNTOLD | rewrites,
    )
    return programs(MIXED, strategies.lists(steps, max_size=MAX_STEPS))


def with_losses(sizes, running):
    """Return programs whose holders are lost, while the store answers.

    All that has ended is recorded before each loss.

    :param running: turns that run at a loss, which breaks them off.
    """
    phase = strategies.tuples(
        strategies.lists(traffic(sizes, strategies.just(True)), max_size=6),
        PERCENTS.map(lambda percent: [model.EndTurns(percent)]),
        strategies.just([model.Wait(), model.Wait(model.SETTLE_MS)]),
        running,
        KILLS.map(lambda kill: [kill]),
        strategies.just([model.EndTurns(50, model.End.BROKEN_OFF)]),
        strategies.sampled_from([[], [model.Expire()]]),
        strategies.lists(NAMES.map(model.Start), max_size=6),
    ).map(_concatenated)
    phases = strategies.lists(phase, max_size=MAX_LOSSES)
    return programs(sizes, phases.map(_concatenated))


def between_turns(sizes):
    """Return programs whose holders are lost while no turn runs."""
    return with_losses(sizes, strategies.just([]))


def in_turns(sizes):
    """Return programs whose holders are lost while turns run."""
    turns = reserves(sizes, strategies.just(True))
    return with_losses(sizes, strategies.lists(turns, min_size=1, max_size=2))


def _concatenated(lists):
    return [step for steps in lists for step in steps]


class HistoriesCase(unittest.TestCase):
    """Test case with the budget of one program at four holders."""

    def setUp(self):
        self.enterContext(model.scripted_background())

    def run_history(self, budget_tokens, steps):
        world = model.World(budget_tokens)
        for step in steps:
            world.apply(step)
            self.assertLessEqual(
                world.handed_out_tokens,
                budget_tokens + world.max_turn_tokens,
                step,
            )
        return world

    def check_refusals(self, world):
        self.assertEqual(world.wrong_refusals, [])


class OverspendingTest(HistoriesCase):
    """Guards against more tokens than the budget and one turn."""

    @SETTINGS
    @hypothesis.given(any_histories())
    def test_no_history_exceeds_the_budget_and_one_turn(self, program):
        self.run_history(*program[:2])


class RefusalTest(HistoriesCase):
    """Guards against 402 for turns that the budget holds.

    Once the trouble is over, such turns are granted soon.
    """

    def check(self, program, ends):
        budget_tokens, steps, tokens = program
        world = self.run_history(budget_tokens, steps)
        self.assertEqual(world.wrong_refusals, [])
        world.calm_down()
        if ends:
            world.apply(model.EndTurns())
            world.apply(model.Wait(model.SETTLE_MS))
        is_held = world.holds(tokens)
        answer = world.retry(tokens)
        self.assertEqual(world.wrong_refusals, [])
        if is_held:
            self.assertIsInstance(answer, budgets.Grant)

    @SETTINGS
    @hypothesis.given(without_losses(EQUAL), strategies.booleans())
    def test_store_trouble_costs_no_turn(self, program, ends):
        self.check(program, ends)

    @SETTINGS
    @hypothesis.given(between_turns(EQUAL), strategies.booleans())
    def test_losses_between_turns_cost_no_turn(self, program, ends):
        self.check(program, ends)

    @SETTINGS
    @hypothesis.given(in_turns(EQUAL), strategies.booleans())
    def test_losses_in_turns_cost_no_other_turn(self, program, ends):
        self.check(program, ends)


class LivenessTest(HistoriesCase):
    """Guards against turns that are never decided."""

    @SETTINGS
    @hypothesis.given(any_histories())
    def test_turn_is_decided_soon_after_any_trouble(self, program):
        budget_tokens, steps, tokens = program
        world = self.run_history(budget_tokens, steps)
        world.calm_down()
        world.apply(model.EndTurns())
        world.apply(model.Wait(model.SETTLE_MS))
        answer = world.retry(tokens)
        self.assertIsInstance(answer, ledger.Exhaustion | budgets.Grant)


if __name__ == "__main__":
    unittest.main()
