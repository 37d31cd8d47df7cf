"""Tests of the order, keys and claims of a program's calls."""

import threading
import unittest

import builders
import call_case

from balsamloom_core import clock as clocks
from balsamloom_core import outcomes, results
from balsamloom_state import budgets, journal, lifecycles, locks

Code = results.ResultCode


class KeyTest(call_case.CallTestCase):
    def test_same_key_returns_the_recorded_result(self):
        """Guards against running a retried request twice."""
        program = builders.start(self.member)
        first = builders.model_call(self.member, program, "c1", "one")
        self.assertIs(
            builders.model_call(self.member, program, "c1", "two"), first
        )
        self.assertEqual(len(program.messages), 1)
        self.assert_code(
            Code.KEY_REUSED_WITH_OTHER_BODY,
            self.begin,
            program,
            "c1",
            digest=b"other",
        )

    def test_result_of_ended_program_is_retained(self):
        """Guards against callers that cannot read their last result."""
        program = builders.start(self.member)
        builders.model_call(self.member, program, "c1")
        self.member.end_program(program, Code.ACCEPTED)
        self.assert_code(Code.PROGRAM_ENDED, self.begin, program, "c2")
        self.assertEqual(program.messages, [])
        self.clock.sleep(self.world.settings.result_retention_ms - 1_000)
        self.member.maintain()
        found = self.member.result(program.program_id, "c1")
        self.assertEqual(found.answer, {"text": "hi"})
        self.clock.sleep(2_000)
        self.member.maintain()
        self.assert_code(
            Code.UNKNOWN_PROGRAM, self.member.program, program.program_id
        )

    def test_ending_a_program_ends_its_sub_agents(self):
        """Guards against sub-agents that keep running without their root."""
        root = builders.start(self.member)
        child = self.member.start_program(
            builders.spec(parent_id=root.program_id), 1_000
        )
        grandchild = self.member.start_program(
            builders.spec(parent_id=child.program_id), 1_000
        )
        self.assertEqual(grandchild.root_id, root.program_id)
        self.member.end_program(root, Code.ACCEPTED)
        self.assertTrue(child.is_ended and grandchild.is_ended)

    def test_oversize_answer_is_recorded_as_having_run(self):
        """Guards against a call that stays unfinished after a large answer."""
        program = builders.start(self.member)
        with self.member.call_lock(program, 1_000):
            builders.claim(self.member, program, "c1")
            large = outcomes.Completed({"x": "y" * journal.MAX_BATCH_BYTES})
            call = builders.finish(self.member, program, "c1", large)
        self.assertEqual(call.code, Code.ANSWER_TOO_LARGE)
        self.assertFalse(results.info(call.code).not_run)

    def test_long_history_is_refused_before_the_call(self):
        """Guards against histories that do not fit into a journal segment."""
        self.world.settings = self.world.settings._replace(
            max_history_bytes=50
        )
        member = self.world.create()
        self.member.leave(1_000)
        member.join()
        member.take_over(self.member.member.member_id)
        program = builders.start(member)
        builders.model_call(member, program, "c1", "x" * 60)
        self.assert_code(
            Code.HISTORY_TOO_LONG, builders.model_call, member, program, "c2"
        )


class TurnTest(call_case.CallTestCase):
    def test_turns_are_granted_in_order_of_arrival(self):
        """Guards against calls of a program that run out of order."""
        lock = locks.FifoLock(clocks.Clock())
        granted, threads = [], []
        lock.acquire(0)
        for number in range(8):
            queued = threading.Event()

            def wait(number=number, queued=queued):
                queued.set()
                self.assertTrue(lock.acquire(5_000))
                granted.append(number)
                lock.release()

            threads.append(threading.Thread(target=wait))
            threads[-1].start()
            queued.wait()
            while len(lock._queue) < number + 2:
                clocks.Clock().sleep(1)
        lock.release()
        for thread in threads:
            thread.join()
        self.assertEqual(granted, list(range(8)))
        self.assertTrue(lock.is_idle())

    def test_timed_out_waiter_leaves_the_queue(self):
        """Guards against a turn that is granted to a waiter that left."""
        program = builders.start(self.member)
        with self.member.call_lock(program, 1_000):
            self.assert_code(
                Code.DEADLINE_CANNOT_BE_MET,
                self.member.call_lock(program, 100).__enter__,
            )
        with self.member.call_lock(program, 0):
            pass
        self.assertTrue(program.call_lock.is_idle())

    def test_waiter_for_a_running_key_does_not_get_not_run(self):
        """Guards against answering "not run" for a call that is running."""
        program = builders.start(self.member)
        with self.member.call_lock(program, 1_000, "c1"):
            self.begin(program, "c1")
            self.assert_code(
                Code.INTERRUPTED,
                self.member.call_lock(program, 100, "c1").__enter__,
            )
            builders.claim(self.member, program, "c1")
            self.assert_code(
                Code.OUTCOME_UNKNOWN,
                self.member.call_lock(program, 100, "c1").__enter__,
            )

    def test_unknown_outcome_blocks_later_calls_until_its_timeout(self):
        """Guards against a call that starts while another may still run."""
        program = builders.start(self.member)
        with self.member.call_lock(program, 1_000):
            builders.claim(self.member, program, "c1")
            self.clock.sleep(5_000)
            builders.finish(
                self.member, program, "c1", outcomes.UnknownOutcome()
            )
        error = self.assert_code(
            Code.PREVIOUS_CALL_UNRESOLVED,
            self.member.call_lock(program, 2_000).__enter__,
        )
        # The call may be sent at the end of the send window.
        window_ms = self.world.settings.claim_send_window_ms
        remaining_ms = builders.TOOL_TIMEOUT_MS + window_ms - 5_000
        self.assertAlmostEqual(error.retry_after_ms, remaining_ms, delta=100)
        with self.member.call_lock(program, 100, "c1"):
            found = self.begin(program, "c1")
        self.assertEqual(found.call.code, Code.OUTCOME_UNKNOWN)
        start_ms = self.clock.now_ms()
        with self.member.call_lock(program, 60_000):
            waited_ms = self.clock.now_ms() - start_ms
        self.assertAlmostEqual(waited_ms, remaining_ms, delta=100)

    def test_claim_without_a_result_becomes_unknown(self):
        """Guards against sending a call again after its sender failed."""
        program = builders.start(self.member)
        with self.member.call_lock(program, 1_000):
            builders.claim(self.member, program, "c1")
        with self.member.call_lock(program, 1_000):
            found = self.begin(program, "c1")
        self.assertEqual(found.call.code, Code.OUTCOME_UNKNOWN)
        self.assert_code(
            Code.PREVIOUS_CALL_UNRESOLVED,
            self.member.call_lock(program, 1_000).__enter__,
        )


class ClaimTest(call_case.CallTestCase):
    def test_claim_is_durable_before_it_returns(self):
        """Guards against sending a call that a successor does not know."""
        program = builders.start(self.member)
        with self.member.call_lock(program, 1_000):
            builders.claim(self.member, program, "c1").check_age()
        successor = self.take_over()
        found = successor.result(program.program_id, "c1")
        self.assertEqual(found.code, Code.OUTCOME_UNKNOWN)

    def test_expired_claim_is_recorded_as_not_run(self):
        """Guards against a paused process that sends an expired claim."""
        program = builders.start(self.member)
        with self.member.call_lock(program, 1_000):
            claim = builders.claim(self.member, program, "c1")
            claim.check_age()
            self.clock.sleep(self.world.settings.claim_send_window_ms + 1)
            self.assert_code(Code.CLAIM_EXPIRED, claim.check_age)
        found = self.take_over().result(program.program_id, "c1")
        self.assertEqual(found.code, Code.CLAIM_EXPIRED)

    def test_claim_age_includes_the_write(self):
        """Guards against ignoring a pause between write and confirmation."""
        program = builders.start(self.member)
        commit = self.store.commit

        def slow_commit(*arguments, **fields):
            answer = commit(*arguments, **fields)
            self.clock.sleep(1_500)
            return answer

        with self.member.call_lock(program, 1_000):
            self.begin(program, "c1", 0)
            self.store.commit = slow_commit
            claim = builders.claim(self.member, program, "c1")
            self.store.commit = commit
            self.assert_code(Code.CLAIM_EXPIRED, claim.check_age)

    def test_unconfirmed_claim_stays_not_run(self):
        """Guards against answering "not run" and recording another outcome."""
        program = builders.start(self.member)
        with self.member.call_lock(program, 1_000):
            self.begin(program, "c1", 0)
            self.start_outage()
            self.assert_code(
                Code.STORE_UNAVAILABLE,
                builders.claim,
                self.member,
                program,
                "c1",
            )
        self.is_down = False
        self.assertTrue(self.member.journal.flush(10_000))
        with self.member.call_lock(program, 1_000, "c1"):
            found = self.begin(program, "c1")
        self.assertEqual(found.call.code, Code.STORE_UNAVAILABLE)
        later = self.take_over().result(program.program_id, "c1")
        self.assertEqual(later.code, Code.STORE_UNAVAILABLE)

    def test_pending_result_becomes_durable_later(self):
        """Guards against losing or repeating a call that finished."""
        program = builders.start(self.member)
        with self.member.call_lock(program, 1_000):
            builders.claim(self.member, program, "c1")
            self.start_outage()
            call = builders.finish(
                self.member, program, "c1", builders.completed("done")
            )
        self.assertFalse(call.is_durable)
        self.is_down = False
        self.assertTrue(self.member.wait_durable(call, 10_000))
        with self.member.call_lock(program, 1_000):
            found = self.begin(program, "c1")
        self.assertEqual(found.call.answer, {"text": "done"})

    def test_deposed_owner_reports_a_call_that_ran_as_unknown(self):
        """Guards against a false "not run" after a takeover."""
        program = builders.start(self.member)
        other = self.world.join()
        with self.member.call_lock(program, 1_000):
            builders.claim(self.member, program, "c1")
            other.take_over(self.member.member.member_id)
            self.assert_code(
                Code.OUTCOME_UNKNOWN,
                builders.finish,
                self.member,
                program,
                "c1",
                builders.completed(),
            )
        self.assertTrue(self.member.is_deposed)
        self.assertEqual(self.member.owned_partitions(), [])
        self.assert_code(
            Code.WRONG_OWNER, self.member.program, program.program_id
        )

    def test_new_work_is_refused_while_the_store_is_down(self):
        """Guards against calls that wait during a long outage of the store."""
        program = builders.start(self.member)
        self.start_outage()
        self.assert_code(Code.STORE_UNAVAILABLE, builders.start, self.member)
        with self.member.call_lock(program, 1_000):
            before = self.store.calls
            error = self.assert_code(
                Code.STORE_UNAVAILABLE, self.begin, program, "c1"
            )
        self.assertEqual(self.store.calls, before)
        self.assertGreater(error.retry_after_ms, 0)


class StartTest(call_case.CallTestCase):
    def test_unconfirmed_start_leaves_no_running_program(self):
        """Guards against a program that runs although its start failed."""
        self.start_outage()
        self.assert_code(Code.STORE_UNAVAILABLE, builders.start, self.member)
        self.is_down = False
        self.member.journal.flush(10_000)
        found = self.member._state.table.all()
        self.assertEqual([one.is_ended for one in found], [True])

    def test_zero_quantities_come_from_the_settings(self):
        """Guards against a program without limits."""
        program = self.member.start_program(
            lifecycles.StartSpec("restwell", budget=budgets.Limits(50)), 1_000
        )
        default = self.world.settings.default_budget
        self.assertEqual(
            program.account.limits, default._replace(generated_tokens=50)
        )

    def test_gone_tags(self):
        """Guards against leaking memory or freeing that of a live program.

        The next call of a program reuses the memory of a finished call.
        """
        program = builders.start(self.member)
        ended = builders.start(self.member)
        self.member.end_program(ended, 1000)
        name = program.program_id
        unknown = f"{name[:5]}{'0' * 16}"
        gone = [f"{name}/0/c1", f"{unknown}/1/c", f"{ended.program_id}/1/c"]
        kept = [
            f"{name}/1/c1",
            f"{name}/2/c1",
            f"{unknown}/2/c",
            f"{name}/x/c1",
            name,
            "other",
            "",
            "p0ff-0123456789abcdef/1/c",
        ]
        self.assertEqual(self.member.stale_tags(gone + kept), gone)


if __name__ == "__main__":
    unittest.main()
