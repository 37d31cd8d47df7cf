"""Test case with one member that runs the calls of programs."""

import unittest

import builders

from balsamloom_core import errors
from balsamloom_state import budgets


class CallTestCase(unittest.TestCase):
    def setUp(self):
        self.world = builders.Cluster()
        self.clock = self.world.clock
        self.member = self.world.join()
        self.store = self.world.store_of(self.member)

    def assert_code(self, code, function, *arguments, **fields):
        with self.assertRaises(errors.BalsamloomError) as caught:
            function(*arguments, **fields)
        self.assertEqual(caught.exception.code, code)
        return caught.exception

    def begin(self, program, key, tokens=100, digest=builders.DIGEST):
        return self.member.begin_call(
            program, key, digest, budgets.MaxUse(tokens)
        )

    def start_outage(self):
        self.is_down = True
        builders.outage(self.store, lambda: self.is_down)

    def take_over(self):
        """Kill the member; return a successor that imported its programs."""
        successor = self.world.join()
        self.world.kill(self.member)
        successor.take_over(self.member.member.member_id)
        return successor
