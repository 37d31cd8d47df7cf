"""Tests of address resolution."""

import collections
import unittest

import builders

from balsamloom_core import clock as clocks
from balsamloom_core import errors, identifiers
from balsamloom_membership import addresses
from balsamloom_peers import messages
from balsamloom_state import partitions


class AddressResolverTest(unittest.TestCase):
    """Guards against directing callers to members that cannot serve them."""

    def resolver(self, current, suspected=()):
        return addresses.AddressResolver(
            lambda: current,
            current.members["m0"],
            clocks.ManualClock(),
            lambda: set(suspected),
        )

    def test_program_resolves_to_its_owner(self):
        resolver = self.resolver(builders.partition_map())
        for partition in range(64):
            program_id = identifiers.new_program_id(partition)
            answer = resolver.for_program(program_id)
            self.assertEqual(
                answer.address.rpartition(":")[2], str(8000 + partition % 4)
            )
            self.assertGreaterEqual(answer.valid_ms, 24_000)

    def test_leaving_and_suspected_members_are_never_returned(self):
        current = builders.partition_map(5, leaving=("m1",))
        resolver = self.resolver(current, suspected=("m2",))
        resolver.record_heartbeat(messages.Heartbeat("m3", is_leaving=True))
        for number in range(80):
            found = [
                resolver.for_program(identifiers.new_program_id(number)),
                resolver.for_new_program(f"c{number}", f"fd{number % 2}"),
            ]
            for answer in found:
                returned = {answer.address, *answer.alternatives}
                ports = {int(name.rpartition(":")[2]) for name in returned}
                self.assertLessEqual(ports, {8000, 8004})
            if number % 5 in (1, 2, 3):
                self.assertLessEqual(found[0].valid_ms, 1_200)

    def test_validity_is_short_while_the_partition_is_imported(self):
        current = builders.partition_map()
        entry = partitions.Import("gone-1", "m0", (4,))
        resolver = self.resolver(current._replace(imports=(entry,)))
        answer = resolver.for_program(identifiers.new_program_id(4))
        self.assertLessEqual(answer.valid_ms, 1_200)

    def test_no_usable_member_is_an_error_with_a_retry_time(self):
        current = builders.partition_map(1, leaving=("m0",))
        resolver = self.resolver(current)
        for resolve in (
            lambda: resolver.for_new_program("c"),
            lambda: resolver.for_program(identifiers.new_program_id(0)),
        ):
            with self.assertRaises(errors.BalsamloomError) as caught:
                resolve()
            self.assertGreater(caught.exception.retry_after_ms, 0)

    def test_customer_is_distributed_over_eight_hosts_in_all_domains(self):
        current = builders.partition_map(60, hosts=30, domains=3)
        resolver = self.resolver(current)
        used = collections.Counter(
            resolver.for_new_program("indus").address.partition(":")[0]
            for _ in range(2_000)
        )
        self.assertEqual(len(used), 8)
        domains = {int(host[4:]) % 3 for host in used}
        self.assertEqual(domains, {0, 1, 2})
        self.assertLess(max(used.values()) / min(used.values()), 2.5)

    def test_caller_gets_its_own_domain_and_alternatives_in_others(self):
        current = builders.partition_map(6, domains=3)
        resolver = self.resolver(current)
        for _ in range(50):
            answer = resolver.for_new_program("indus", "fd1")
            host = int(answer.address.partition(":")[0][4:])
            self.assertEqual(host % 3, 1)
            others = {
                int(name.partition(":")[0][4:]) % 3
                for name in answer.alternatives[:2]
            }
            self.assertEqual(others, {0, 2})

    def test_overloaded_domain_is_avoided(self):
        current = builders.partition_map(4, domains=2)
        resolver = self.resolver(current)
        for number, load in enumerate((2, 500, 2, 500)):
            resolver.record_heartbeat(
                messages.Heartbeat(f"m{number}", calls_in_progress=load)
            )
        chosen = collections.Counter(
            resolver.for_new_program("indus", "fd1").address
            for _ in range(400)
        )
        other_domain = chosen["host0:8000"] + chosen["host2:8002"]
        self.assertGreater(other_domain / 400, 0.6)
