"""Tests of the budgets that calls of a program use."""

import threading
import time
import unittest

import builders
import call_case

from balsamloom_core import clock as clocks
from balsamloom_core import errors, results
from balsamloom_state import budgets, owner

Code = results.ResultCode


class BudgetTest(call_case.CallTestCase):
    def finish(self, program, tokens, key="c"):
        outcome = builders.completed(tokens=tokens)
        builders.finish(self.member, program, key, outcome)

    def test_second_attempt_reserves_its_own_budget(self):
        """Guards against a hedged call that exceeds the budget.

        Seen on real processes: the losing attempt generated a token that was
        not counted, so a program with 120 tokens used 121.
        """
        max_use = budgets.MaxUse(100)
        small = builders.start(self.member, generated_tokens=150, calls=16)
        large = builders.start(self.member, generated_tokens=4_800, calls=160)
        for program, expected in ((small, [False]), (large, [True, True])):
            with self.member.call_lock(program, 1_000):
                self.begin(program, "c1", 100)
                found = [
                    self.member.reserve_again(program, "c1", max_use)
                    for _ in expected
                ]
                self.assertEqual(found, expected)
                self.assertFalse(
                    self.member.reserve_again(program, "c1", max_use)
                )

    def test_endless_loop_ends_at_the_limit_of_calls(self):
        """Guards against programs that run forever."""
        program = builders.start(
            self.member, generated_tokens=100_000, calls=20
        )
        for number in range(20):
            builders.model_call(self.member, program, f"c{number}")
        self.assert_code(
            Code.BUDGET_EXHAUSTED,
            builders.model_call,
            self.member,
            program,
            "c20",
        )
        self.assertTrue(program.is_ended)

    def test_wall_time_ends_programs_without_calls(self):
        """Guards against idle programs that never end."""
        program = builders.start(self.member, wall_ms=60_000)
        self.clock.sleep(30_000)
        successor = self.take_over()
        program = successor.program(program.program_id)
        self.clock.sleep(20_000)
        successor.maintain()
        self.assertFalse(program.is_ended)
        self.clock.sleep(40_000)
        successor.maintain()
        self.assertEqual(program.end_code, Code.BUDGET_EXHAUSTED)

    def test_calls_do_not_wait_for_commits_of_their_budget(self):
        """Guards against a commit before every call."""
        program = builders.start(
            self.member, generated_tokens=16_000, calls=160
        )
        waits = 0
        for number in range(40):
            with self.member.call_lock(program, 1_000):
                before = self.store.calls
                self.begin(program, f"c{number}")
                waits += self.store.calls - before
                builders.finish(
                    self.member, program, f"c{number}", builders.completed()
                )
        self.assertEqual(waits, 0)

    def test_parallel_sub_agents_share_one_budget(self):
        """Guards against sub-agents that each spend the whole budget."""
        root = builders.start(self.member, generated_tokens=1_000, calls=100)
        children = [
            self.member.start_program(
                builders.spec(parent_id=root.program_id), 1_000
            )
            for _ in range(4)
        ]
        for child in children[:3]:
            self.begin(child, "c", 300)
        error = self.assert_code(
            Code.OVERLOADED, self.begin, children[3], "c", 300
        )
        self.assertGreater(error.retry_after_ms, 0)
        self.member.release_call(children[0], "c")
        self.assertIsInstance(self.begin(children[3], "c", 300), owner.NewCall)

    def test_running_calls_prove_no_exhaustion(self):
        """Guards against a final refusal while calls may use little."""
        root = builders.start(self.member, generated_tokens=560, calls=100)
        children = [
            self.member.start_program(
                builders.spec(parent_id=root.program_id), 1_000
            )
            for _ in range(2)
        ]
        for child in children:
            self.begin(child, "c", 280)
        self.assert_code(Code.OVERLOADED, self.begin, root, "c1", 280)
        self.finish(children[0], 20)
        self.assertIsInstance(self.begin(root, "c1", 260), owner.NewCall)
        self.finish(root, 250, "c1")
        # 10 tokens are free, and 280 more if the running call uses none.
        self.assert_code(Code.OVERLOADED, self.begin, root, "c2", 290)
        self.assert_code(Code.BUDGET_EXHAUSTED, self.begin, root, "c2", 291)
        self.finish(children[1], 280)
        self.assert_code(Code.BUDGET_EXHAUSTED, self.begin, root, "c2", 11)
        self.assertIsInstance(self.begin(root, "c2", 10), owner.NewCall)
        self.assertFalse(root.is_ended)

    def test_running_calls_do_not_use_up_the_number_of_calls(self):
        """Guards against an end by the limit of calls before it is used."""
        root = builders.start(self.member, generated_tokens=1_000, calls=1)
        child = self.member.start_program(
            builders.spec(parent_id=root.program_id), 1_000
        )
        self.begin(child, "c", 100)
        self.assert_code(Code.OVERLOADED, self.begin, root, "c1", 100)
        self.assertFalse(root.is_ended)
        self.finish(child, 20)
        self.assert_code(Code.BUDGET_EXHAUSTED, self.begin, root, "c1", 100)
        self.assertTrue(root.is_ended)

    def test_outstanding_block_counts_as_spent_after_a_crash(self):
        """Guards against a successor that ignores calls in progress."""
        program = builders.start(self.member, generated_tokens=1_000)
        self.begin(program, "c1", 600)
        successor = self.take_over()
        found = successor.program(program.program_id)
        self.assert_code(
            Code.BUDGET_EXHAUSTED,
            successor.begin_call,
            found,
            "c2",
            builders.DIGEST,
            budgets.MaxUse(600),
        )

    def test_program_outlives_several_owner_changes(self):
        """Guards against counting blocks that no call has used."""
        program = builders.start(self.member, generated_tokens=1_600)
        for number in range(20):
            with self.subTest(number=number):
                builders.model_call(
                    self.member, program, f"c{number}", tokens=1
                )
            self.member = self.take_over()
            program = self.member.program(program.program_id)

    def test_block_of_a_paused_owner_counts_as_spent(self):
        """Guards against a successor that trusts a former owner's silence."""
        program = builders.start(self.member, generated_tokens=1_600)
        builders.model_call(self.member, program, "c1", tokens=10)
        successor = self.world.join()
        successor.take_over(self.member.member.member_id)
        found = successor.program(program.program_id)
        self.assertIsInstance(self.begin(program, "late", 100), owner.NewCall)
        former_use = 10 + 100
        for tokens, is_covered in (
            (1_600 - former_use + 1, False),
            (1_600 - former_use, True),
        ):
            with self.subTest(tokens=tokens):
                need = budgets.MaxUse(tokens)
                arguments = (found, "c2", builders.DIGEST, need)
                if is_covered:
                    successor.begin_call(*arguments)
                else:
                    self.assert_code(
                        Code.BUDGET_EXHAUSTED, successor.begin_call, *arguments
                    )

    def test_block_is_unused_until_it_is_durable(self):
        """Guards against using a block that a crash would lose."""
        program = builders.start(self.member, generated_tokens=1_000)
        self.start_outage()
        self.assert_code(
            Code.STORE_UNAVAILABLE, self.begin, program, "c1", 600
        )
        self.assertEqual(program.account.held, budgets.ZERO)


class ThreadsTest(unittest.TestCase):
    def test_parallel_sub_agents_with_a_writer_thread(self):
        """Guards against deadlocks and overspending with real threads."""
        world = builders.Cluster(
            clocks.Clock(),
            writes_in_background=True,
            compaction_min_bytes=1_000,
        )
        member = world.join()
        root = builders.start(member, generated_tokens=2_000, calls=1_000)
        tokens, codes = [], []

        def run_call(child, key):
            while True:
                try:
                    return builders.model_call(member, child, key)
                except errors.BalsamloomError as error:
                    if error.code != Code.OVERLOADED:
                        raise
                    time.sleep(0.001)

        def run_agent():
            child = member.start_program(
                builders.spec(parent_id=root.program_id), 10_000
            )
            for number in range(50):
                try:
                    run_call(child, f"c{number}")
                except errors.BalsamloomError as error:
                    codes.append(error.code)
                    return
                tokens.append(10)

        threads = [threading.Thread(target=run_agent) for _ in range(8)]
        for thread in threads:
            thread.start()
        while any(thread.is_alive() for thread in threads):
            member.maintain()
            threads[0].join(0.01)
        for thread in threads:
            thread.join(20)
        self.assertEqual(set(codes), {Code.BUDGET_EXHAUSTED})
        self.assertLessEqual(sum(tokens), 2_000)
        self.assertGreater(sum(tokens) + builders.NEED.generated_tokens, 2_000)
        self.assertEqual(root.account.used, (sum(tokens), len(tokens)))
        self.assertEqual(root.account.held, budgets.ZERO)
        self.assertTrue(member.journal.close(5_000))


if __name__ == "__main__":
    unittest.main()
