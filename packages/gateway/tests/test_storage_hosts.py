"""Tests of storage hosts: repair, losses, being emptied, registration."""

import random
import unittest

import builders
import cluster_case
import storage_nodes

from balsamloom_conversations import turns
from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    evacuation,
    fleet,
    interfaces,
    storage_evacuation,
    storage_registration,
)


class RepairTest(cluster_case.ClusterCase):
    """Guards against a second loss that takes the last copy."""

    def test_oldest_hosts_replaced_one_after_another(self):
        kept = [
            storage_nodes.turn(f"t{number}", group_id=f"g{number}")
            for number in range(30)
        ]
        self.keep(*kept)
        for old, new in (("a1", "a2"), ("b1", "b2"), ("c1", "c2")):
            self.cluster.node(old).stop()
            node = storage_nodes.StorageNode(new, self.cluster)
            node.copies.is_whole = False
            self.cluster.nodes.append(node)
            self.cluster.run_rounds(3)
            for turn in kept:
                self.assertGreaterEqual(len(self.cluster.holders(turn)), 2)
        for turn in kept:
            found = self.read(turn.turn_id, turn.group_id, self.new_reader())
            self.assertIsInstance(found, turns.Chain)

    def test_wiped_host_gets_its_copies_back(self):
        kept = [
            storage_nodes.turn(f"t{number}", group_id=f"g{number}")
            for number in range(20)
        ]
        self.keep(*kept)
        node = self.cluster.node("b1")
        before = [turn for turn in kept if node.has(turn)]
        node.wipe()
        node.start()
        self.cluster.run_rounds(2)
        self.assertTrue(before)
        for turn in before:
            self.assertTrue(node.has(turn))
        self.assertTrue(node.copies.is_whole)

    def test_host_that_missed_writes_fetches_them(self):
        node = self.cluster.node("c1")
        node.stop()
        kept = [
            storage_nodes.turn(f"t{number}", group_id=f"g{number}")
            for number in range(10)
        ]
        self.keep(*kept)
        node.start()
        self.cluster.run_rounds(2)
        self.assertGreater(sum(node.has(turn) for turn in kept), 3)

    def test_damaged_turn_is_fetched_again(self):
        turn = storage_nodes.turn("t")
        self.keep(turn)
        name = self.cluster.holders(turn)[0]
        node = self.cluster.node(name)
        node.copies.run_round()
        node.database._connection.execute("UPDATE turns SET output = x'00'")
        self.assertIsInstance(node.database.chain("t"), turns.Unsure)
        self.assertEqual(node.database.delete_damaged(), ["t"])
        node.copies.handle_damage()
        node.copies.run_round()
        self.assertEqual(node.database.chain("t"), turns.Chain("g", b"<tt>\n"))

    def test_nothing_is_fetched_twice(self):
        self.keep(storage_nodes.turn("t"))
        self.cluster.run_rounds(3)
        fetched = [node.copies.fetched_turns for node in self.cluster.nodes]
        self.cluster.run_rounds(3)
        self.assertEqual(
            fetched, [node.copies.fetched_turns for node in self.cluster.nodes]
        )


class RandomLossTest(cluster_case.ClusterCase):
    """Guards against losses within the tolerance that take a turn."""

    NAMES = "a1 b1 c1 a2"
    STEPS = 40

    def test_nothing_acknowledged_is_lost(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                self.play(random.Random(seed))

    def play(self, generator):
        expected = {"": b""}
        groups = {"": ""}
        for step in range(self.STEPS):
            self.fail_one(generator)
            previous = generator.choice(list(expected))
            name = f"{generator.random()}-{step}"
            group = groups[previous] or name
            turn = storage_nodes.turn(name, previous, group)
            if self.reader.write(turn, cluster_case.deadline()):
                expected[name] = expected[previous] + turn.input + turn.output
                groups[name] = group
            self.check(generator, expected)
        for node in self.cluster.nodes:
            if not node.is_up:
                node.start()
        self.cluster.run_rounds(3)

    def fail_one(self, generator):
        """Let all copies stand again, then lose one disk or process."""
        node = generator.choice(self.cluster.nodes)
        if not all(other.is_up for other in self.cluster.nodes):
            for other in self.cluster.nodes:
                if not other.is_up:
                    other.start()
            self.cluster.run_rounds(3)
        match generator.randrange(4):
            case 0:
                node.stop()
            case 1:
                node.wipe()
            case 2:
                node.stop()
                node.start()
            case _:
                pass

    def check(self, generator, expected):
        name = generator.choice([name for name in expected if name] or [""])
        if not name:
            return
        found = self.read(name, str(generator.random()), self.new_reader())
        self.assertIsInstance(found, turns.Chain, found)
        self.assertEqual(found.data, expected[name])


class EvacuationTest(cluster_case.ClusterCase):
    """Guards against hosts that are taken away with the last copy."""

    def setUp(self):
        super().setUp()
        self.store = builders.Store()
        self.records = builders.Records()
        self.is_registered = True

    def order(self, name="b1", needed=storage_nodes.COPIES):
        node = self.cluster.node(name)
        found = storage_evacuation.StorageEvacuation(
            node.host,
            node.copies,
            node.clients,
            self.store,
            self.records,
            clocks.Clock(),
            needed,
            lambda: self.is_registered,
        )
        found.apply([interfaces.Item(f"order/{name}", b"", 7)])
        return found

    def status(self, name="b1"):
        item = self.store.items.get(f"status/{name}")
        return item.value if item else None

    def test_all_turns_have_their_copies_elsewhere(self):
        kept = [
            storage_nodes.turn(f"t{number}", group_id=f"g{number}")
            for number in range(30)
        ]
        self.keep(*kept)
        self.store.put("storage/b1", b"")
        self.cluster.run_rounds()
        self.assertTrue(self.order().try_once())
        self.assertEqual(self.status(), b"empty")
        self.assertNotIn("storage/b1", self.store.items)
        self.cluster.node("b1").stop()
        for turn in kept:
            self.assertEqual(self.cluster.holders(turn), ["a1", "c1"])

    def test_leaving_host_takes_nothing_new(self):
        self.order()
        for number in range(6):
            turn = storage_nodes.turn(f"t{number}", group_id=f"g{number}")
            self.keep(turn)
            self.assertEqual(self.cluster.holders(turn), ["a1", "c1"])

    def test_not_complete_while_another_host_is_down(self):
        self.cluster.run_rounds()
        self.cluster.node("c1").stop()
        order = self.order()
        self.assertFalse(order.try_once())
        self.assertEqual(self.status(), b"begun")
        self.cluster.node("c1").start()
        self.assertTrue(order.try_once())

    def test_not_complete_with_too_few_other_hosts(self):
        self.cluster.run_rounds()
        self.assertFalse(self.order(needed=3).try_once())

    def test_status_that_is_not_written_is_tried_again(self):
        self.cluster.run_rounds()
        order = self.order()
        self.store.error = interfaces.StoreUnavailableError("down")
        self.assertFalse(order.try_once())
        self.store.error = None
        self.assertTrue(order.try_once())

    def test_order_that_is_withdrawn(self):
        order = self.order()
        order.apply([interfaces.Deletion("order/b1", 8)])
        self.assertFalse(self.cluster.node("b1").copies.is_leaving)

    def test_host_that_keeps_nothing_is_answered_for(self):
        self.is_registered = False
        self.assertFalse(self.order().try_once())
        self.assertIsNone(self.status())
        for is_registered, expected in ((True, None), (False, b"empty")):
            found = evacuation.Evacuations(
                self.store,
                self.records,
                lambda: 0,
                lambda _, known=is_registered: known,
                builders.manual_clock(),
            )
            found.apply([interfaces.Item("order/b1", b"", 7)])
            found.answer_due()
            self.assertEqual(self.status(), expected)


class RegistrationTest(unittest.TestCase):
    """Guards against storage hosts that are not known, or cost calls."""

    def setUp(self):
        self.store = builders.Store()
        self.is_leaving = False
        self.view = builders.fleet_view()
        self.host = builders.storage_host("a1")
        self.registration = storage_registration.StorageRegistration(
            self.host,
            self.store,
            builders.Records(),
            self.view,
            lambda: self.is_leaving,
            builders.manual_clock(),
        )

    def configure(self, is_stateful):
        route = builders.route(is_stateful=is_stateful)
        builders.activate_configuration(self.view, (route,))

    def test_registered_once_where_turns_are_kept(self):
        self.registration.check_once()
        self.assertEqual(self.store.calls, [])
        self.configure(is_stateful=True)
        for _ in range(3):
            self.registration.check_once()
        self.assertEqual(self.store.calls, ["transact"])
        self.assertIn("storage/a1", self.store.items)

    def test_no_call_without_stateful_routes(self):
        self.configure(is_stateful=False)
        self.registration.check_once()
        self.assertEqual(self.store.calls, [])

    def test_no_call_after_a_restart_with_the_same_disk(self):
        self.configure(is_stateful=True)
        self.view.apply(
            [
                interfaces.Item(
                    "storage/a1", fleet.encode_storage_host(self.host), 3
                )
            ]
        )
        self.registration.check_once()
        self.assertEqual(self.store.calls, [])

    def test_store_that_is_away_is_asked_again(self):
        self.configure(is_stateful=True)
        self.store.error = interfaces.StoreUnavailableError("down")
        self.registration.check_once()
        self.store.error = None
        self.registration.check_once()
        self.assertIn("storage/a1", self.store.items)

    def test_leaving_host_does_not_register(self):
        self.configure(is_stateful=True)
        self.is_leaving = True
        self.registration.check_once()
        self.assertEqual(self.store.calls, [])


if __name__ == "__main__":
    unittest.main()
