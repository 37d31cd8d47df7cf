"""Tests of which members hold budgets."""

import itertools
import json
import random
import unittest

import builders

from balsamloom_gateway import (
    holder_order,
    incarnations,
    membership,
    registration_records,
)

SMALL_MILLICORES = 387
LARGE_MILLICORES = 2_150
# By name, the first hosts are small and all in one failure domain.
SMALL_HOSTS = [f"{number:02}a" for number in range(40)]
LARGE_HOSTS = ["50a", "51a", "52b", "53b", "54c", "55c"]


def member(name, capacity_millicores):
    """Build a member that tells its capacity."""
    return builders.member(
        name, incarnations.build("run", capacity_millicores)
    )


def grown_members():
    """Build many small hosts and a few large ones, sorted by name."""
    small = [member(name, SMALL_MILLICORES) for name in SMALL_HOSTS]
    return small + [member(name, LARGE_MILLICORES) for name in LARGE_HOSTS]


class HolderOrderTest(unittest.TestCase):
    """Guards against holders that are chosen by the names of their hosts."""

    def test_holders_are_the_hosts_with_the_most_capacity(self):
        members = grown_members()
        for number in range(200):
            holders = membership.budget_holders(f"p{number}", members)
            names = {holder.name for holder in holders}
            self.assertLessEqual(names, set(LARGE_HOSTS))

    def test_primary_holders_are_in_all_failure_domains(self):
        members = grown_members()
        primaries = membership.primaries(members)
        self.assertEqual(len(primaries), membership.holder_count(members))
        self.assertEqual({name[-1] for name in primaries}, {"a", "b", "c"})

    def test_only_primary_holders_have_a_group_of_servers(self):
        members = grown_members()
        servers = [builders.server(f"s{number}") for number in range(12)]
        grouped = {
            one.name
            for one in members
            if membership.preferred_servers(one.name, members, servers)
        }
        self.assertEqual(grouped, membership.primaries(members))

    def test_members_agree_with_an_earlier_build_beside_them(self):
        members = grown_members()
        mixed = sorted([*members, builders.member("99z", "run")])
        self.assertEqual(list(holder_order.sort(mixed)), mixed)

    def test_registration_has_the_fields_that_earlier_builds_accept(self):
        found = member("m1", LARGE_MILLICORES)
        encoded = registration_records.encode_member(found)
        self.assertEqual(
            set(json.loads(encoded)),
            {
                "name",
                "caller_address",
                "peer_address",
                "failure_domain",
                "incarnation",
            },
        )
        decoded = registration_records.decode_member("m1", encoded)
        self.assertEqual(decoded, found)

    def test_each_successor_of_a_primary_may_inherit_its_programs(self):
        # A successor that takes a program for new does not ask who knows it.
        drawn = random.Random(61)
        for size, tells in itertools.product((2, 16, 17, 33), (1.0, 0.97)):
            members = sorted(
                self.draw_member(drawn, number, tells)
                for number in range(size)
            )
            for lost in members:
                self.check_successors(lost, members)

    def draw_member(self, drawn, number, tells):
        """Build a member that tells its capacity with a probability."""
        name = f"{number:02}{drawn.choice('abc')}"
        if drawn.random() > tells:
            return builders.member(name, "run")
        return member(name, drawn.choice([387, 1_290, 2_150]))

    def check_successors(self, lost, members):
        rest = [one for one in members if one != lost]
        for number in range(40):
            before = membership.budget_holders(f"{number}", members)[0]
            after = membership.budget_holders(f"{number}", rest)[0]
            if before != after:
                self.assertTrue(
                    membership.may_inherit(after.name, lost, rest),
                    (len(members), lost, after.name),
                )


class IncarnationTest(unittest.TestCase):
    """Guards against capacities that are misread."""

    def test_capacity_of_a_run_is_read_back(self):
        found = incarnations.build("0f3a", 2_150)
        self.assertEqual(incarnations.capacity_millicores(found), 2_150)

    def test_incarnation_of_another_form_tells_no_capacity(self):
        for found in ("", "1", "0f3a", "x.", "x.-5", "x.1e3", "x.٣", "x.y"):
            with self.subTest(found):
                self.assertIsNone(incarnations.capacity_millicores(found))
        absurd = "x." + "9" * 5_000
        self.assertIsNone(incarnations.capacity_millicores(absurd))


if __name__ == "__main__":
    unittest.main()
