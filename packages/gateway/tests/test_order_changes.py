"""Tests of a change of the order of holders by a member that restarts."""

import itertools
import unittest
from unittest import mock

import builders

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    budgets,
    fleet,
    incarnations,
    interfaces,
    membership,
    registration_records,
)

SMALL_MILLICORES = 387
LARGE_MILLICORES = 2_150
# The large hosts are the last ones by name.
SMALL_HOSTS = ["01a", "02b", "03c", "04d", "05e"]
LARGE_HOSTS = ["06a", "07b", "08c", "09d"]
LAST_HOST = "05e"
EARLIER_BUILD = "run"
PROGRAM = "p"
# Longer than arrivals count as recent.
LONG_MS = 300_000.0


class OrderChangeTest(unittest.TestCase):
    """Guards against holders that are not asked since they have restarted."""

    def setUp(self):
        self.clock = clocks.ManualClock()
        self.fleet = fleet.Fleet(builders.Records(), self.clock)
        self.revisions = itertools.count(1)

    def register(self, *members):
        self.fleet.apply(
            [
                interfaces.Item(
                    builders.Records().member_key(one.name),
                    registration_records.encode_member(one),
                    next(self.revisions),
                )
                for one in members
            ]
        )

    def register_all(self):
        """Register members of this build, but for one of an earlier build."""
        self.register(
            *(
                self.member(name, is_earlier=name == LAST_HOST)
                for name in [*SMALL_HOSTS, *LARGE_HOSTS]
            )
        )
        self.fleet.update_age(0.0)
        self.clock.advance(LONG_MS)

    def member(self, name, run="a", is_earlier=False):
        if is_earlier:
            return builders.member(name, EARLIER_BUILD)
        capacity = (
            LARGE_MILLICORES if name in LARGE_HOSTS else SMALL_MILLICORES
        )
        return builders.member(name, incarnations.build(run, capacity))

    def primary(self, members):
        return membership.budget_holders(PROGRAM, members)[0].name

    def test_holder_before_the_last_restart_of_an_upgrade_is_asked(self):
        self.register_all()
        former = self.primary(self.fleet.members())
        self.register(self.member(LAST_HOST))
        present = self.primary(self.fleet.members())
        self.assertNotEqual(former, present)
        asked = [
            one.name
            for one in membership.budget_holders(
                PROGRAM, self.fleet.earlier_members()
            )
        ]
        # It lives, and its account of the program as well.
        self.assertIn(former, asked)

    def test_new_primary_is_cautious_if_the_last_member_restarts_twice(self):
        self.register_all()
        (present,) = membership.primaries(
            sorted(map(self.member, [*SMALL_HOSTS, *LARGE_HOSTS]))
        )
        book = mock.Mock()
        holder = budgets.Budgets(
            present, book, mock.Mock(), mock.Mock(), self.fleet, self.clock
        )
        self.fleet.on_member_lost = holder.handle_member_loss
        # Both in one read of the records.
        self.register(self.member(LAST_HOST), self.member(LAST_HOST, "b"))
        self.assertEqual(self.primary(self.fleet.members()), present)
        book.start_caution_period.assert_called()


if __name__ == "__main__":
    unittest.main()
