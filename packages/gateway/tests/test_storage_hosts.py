"""Tests of storage hosts: repair, loss, evacuation and registration."""

import concurrent.futures
import random
import threading
import unittest

import builders
import cluster_case
import storage_nodes
import stores

from balsamloom_conversations import completeness, messages, turns
from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    evacuation,
    interfaces,
    peer_calls,
    peers,
    registration_records,
    traffic,
)
from balsamloom_storage import host_evacuation, registration, turn_fetcher


class RepairTest(cluster_case.ClusterCase):
    """Guards against a second loss that destroys the last replica."""

    def test_turns_survive_replacing_all_hosts_one_by_one(self):
        stored = storage_nodes.numbered_turns(30)
        self.keep(*stored)
        for old, new in (("a1", "a2"), ("b1", "b2"), ("c1", "c2")):
            self.cluster.node(old).stop()
            self.cluster.add(new)
            self.cluster.run_rounds(3)
            for turn in stored:
                self.assertGreaterEqual(len(self.cluster.holders(turn)), 2)
        for turn in stored:
            found = self.read(turn.turn_id, turn.group_id, self.new_reader())
            self.assertIsInstance(found, turns.Chain)

    def test_wiped_host_recovers_its_replicas(self):
        stored = storage_nodes.numbered_turns(20)
        self.keep(*stored)
        node = self.cluster.node("b1")
        placed = self.placed_at(node, stored)
        node.wipe()
        node.start()
        self.cluster.run_rounds(2)
        self.assertTrue(placed)
        for turn in placed:
            self.assertTrue(node.has(turn))
        self.assertTrue(node.database.claim.has_turns)

    def test_host_that_missed_writes_fetches_them(self):
        node = self.cluster.node("c1")
        node.stop()
        stored = storage_nodes.numbered_turns(10)
        self.keep(*stored)
        node.start()
        self.cluster.run_rounds(2)
        self.assertGreater(sum(node.has(turn) for turn in stored), 3)

    def test_damaged_turn_is_fetched_again(self):
        turn = storage_nodes.turn("t")
        self.keep(turn)
        name = self.cluster.holders(turn)[0]
        node = self.cluster.node(name)
        node.copies.run_round()
        node.database._connection.execute("UPDATE turns SET output = x'00'")
        self.assertIsInstance(node.database.chain("t"), turns.Unsure)
        self.assertEqual(node.database.delete_damaged(), ["t"])
        node.copies.run_round()
        self.assertEqual(node.database.chain("t"), turns.Chain("g", b"<tt>\n"))

    def test_turns_are_not_fetched_twice(self):
        self.keep(storage_nodes.turn("t"))
        self.cluster.run_rounds(3)
        fetched = [node.copies.fetched_turns for node in self.cluster.nodes]
        self.cluster.run_rounds(3)
        self.assertEqual(
            fetched, [node.copies.fetched_turns for node in self.cluster.nodes]
        )


class LargeTurnRepairTest(cluster_case.ClusterCase):
    """Guards against repair calls whose answers are too large to arrive."""

    TURN_BYTES = 300_000

    def setUp(self):
        super().setUp()
        self.stored = storage_nodes.large_turns(20, self.TURN_BYTES)
        for node in self.cluster.nodes:
            node.database.add(self.placed_at(node, self.stored))
        self.node = self.cluster.node("b1")
        self.placed = self.placed_at(self.node, self.stored)
        self.node.wipe()

    def repair(self, clients):
        self.cluster.clients = lambda caller: clients
        self.node.start()
        self.node.copies.run_round()

    def test_answers_are_bounded_in_bytes(self):
        clients = storage_nodes.MeasuringClients(self.cluster)
        self.repair(clients)
        self.assertTrue(all(self.node.has(turn) for turn in self.placed))
        self.assertGreater(len(self.placed), 3)
        bound = turn_fetcher.MAX_PART_BYTES + self.TURN_BYTES
        self.assertLess(clients.longest_answer_bytes, bound)

    def test_parts_that_arrived_are_not_fetched_again(self):
        clients = storage_nodes.CutClients(self.cluster, answers=1)
        self.repair(clients)
        arrived = [turn for turn in self.placed if self.node.has(turn)]
        missing_bytes = self.node.copies.missing_bytes()
        clients.answers_left = None
        self.node.copies.run_round()
        self.assertTrue(arrived)
        self.assertGreaterEqual(missing_bytes, self.TURN_BYTES)
        self.assertEqual(self.node.copies.missing_bytes(), 0)
        self.assertTrue(all(self.node.has(turn) for turn in self.placed))
        self.assertEqual(clients.turns_read, len(self.placed))

    def test_hosts_of_a_former_release_are_asked_for_single_turns(self):
        for node in self.cluster.nodes:
            node.service.handlers.pop(peers.READ_TURNS_PATH, None)
        clients = storage_nodes.MeasuringClients(self.cluster)
        self.repair(clients)
        self.assertTrue(all(self.node.has(turn) for turn in self.placed))
        bound = turn_fetcher.MAX_PART_BYTES + self.TURN_BYTES
        self.assertLess(clients.longest_answer_bytes, bound)


class LongRepairTest(cluster_case.ClusterCase):
    """Guards against a repair that keeps the rest of the host waiting."""

    def setUp(self):
        super().setUp()
        self.keep(*storage_nodes.numbered_turns(9))
        self.node = self.cluster.node("b1")
        self.node.wipe()
        self.clients = storage_nodes.HeldClients(self.cluster)
        self.cluster.clients = lambda caller: self.clients
        self.node.start()
        self.round = threading.Thread(target=self.node.copies.run_round)
        self.round.start()
        self.addCleanup(self.round.join)
        self.addCleanup(self.clients.may_answer.set)
        self.assertTrue(self.clients.is_reading.wait(5))

    def run_beside_round(self, function):
        """Run a function in a thread; return its result, if it ends."""
        results = []
        thread = threading.Thread(target=lambda: results.append(function()))
        thread.start()
        thread.join(1)
        self.assertTrue(results, "it waits for the repair")
        return results[0]

    def test_active_hosts_are_known_meanwhile(self):
        # Metrics and the follower of the records ask for them.
        hosts = self.run_beside_round(self.node.copies.other_active_hosts)
        self.assertEqual({host.name for host in hosts}, {"a1", "c1"})

    def test_damage_that_is_found_meanwhile_is_known_at_once(self):
        # Until then the host said that a damaged turn did not exist.
        store = self.node.database
        turn = storage_nodes.turn("damaged")
        store.add([turn])
        store.set_claim(completeness.EVERYTHING)
        store._connection.execute("UPDATE turns SET output = x'00'")
        self.assertIsInstance(store.chain("damaged"), turns.Unsure)
        self.assertEqual(
            self.run_beside_round(store.delete_damaged), ["damaged"]
        )
        self.assertFalse(store.claim.has_turns)
        self.clients.may_answer.set()
        self.round.join()
        # The round may have passed the turns that were damaged.
        self.assertFalse(store.claim.has_turns)
        self.node.copies.run_round()
        self.assertTrue(store.claim.has_turns)


class RandomLossTest(cluster_case.ClusterCase):
    """Guards against losing turns to failures within the tolerance."""

    NAMES = "a1 b1 c1 a2"
    STEPS = 40
    # With seeds 4, 6, 7, 9 and 10, no host had the whole chain of a turn.
    SEEDS = (1, 2, 3, 4, 6, 7, 9, 10)

    def test_nothing_acknowledged_is_lost(self):
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                self.run_steps(random.Random(seed))

    def run_steps(self, generator):
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
        """Repair all replicas, then lose one disk or process."""
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
    """Guards against removing a host that holds the last replica."""

    def setUp(self):
        super().setUp()
        self.store = stores.Store()
        self.records = builders.Records()
        self.is_registered = True

    def order(self, name="b1", copies=storage_nodes.COPIES):
        node = self.cluster.node(name)
        found = host_evacuation.StorageEvacuation(
            node.host,
            node.copies,
            node.clients,
            self.store,
            self.records,
            clocks.Clock(),
            copies,
            lambda: self.is_registered,
        )
        found.apply([interfaces.Item(f"order/{name}", b"", 7)])
        return found

    def status(self, name="b1"):
        item = self.store.items.get(f"status/{name}")
        return item.value if item else None

    def test_all_turns_have_replicas_on_other_hosts(self):
        stored = storage_nodes.numbered_turns(30)
        self.keep(*stored)
        self.store.put("storage/b1", b"")
        self.cluster.run_rounds()
        self.assertTrue(self.order().try_once())
        self.assertEqual(self.status(), b"empty")
        self.assertNotIn("storage/b1", self.store.items)
        self.cluster.node("b1").stop()
        for turn in stored:
            self.assertEqual(self.cluster.holders(turn), ["a1", "c1"])

    def test_leaving_host_refuses_new_turns(self):
        self.order()
        for number in range(6):
            turn = storage_nodes.turn(f"t{number}", group_id=f"g{number}")
            self.keep(turn)
            self.assertEqual(self.cluster.holders(turn), ["a1", "c1"])

    def test_turns_are_stored_while_the_last_hosts_but_one_leave(self):
        # Of three hosts, one had left when a second one was to leave. Each
        # turn ran, and its answer was cut off since only one host took it.
        self.cluster.run_rounds()
        gone = self.cluster.node("a1")
        self.addCleanup(gone.close)
        self.cluster.nodes.remove(gone)
        self.cluster.run_rounds()
        order = self.order()
        self.assertFalse(order.try_once())
        reader = self.new_reader()
        turns_kept = storage_nodes.numbered_turns(6)
        for turn in turns_kept:
            self.assertTrue(
                reader.can_write(turn.group_id, cluster_case.deadline())
            )
            self.assertTrue(reader.write(turn, cluster_case.deadline()))
            self.assertEqual(self.cluster.holders(turn), ["b1", "c1"])
        self.assertNotEqual(self.status(), b"empty")
        # Another host comes: the leaving one refuses turns and is emptied.
        node = storage_nodes.StorageNode("a2", self.cluster)
        self.cluster.nodes.append(node)
        self.cluster.run_rounds()
        self.assertTrue(order.try_once())
        for turn in turns_kept:
            self.assertEqual(self.cluster.holders(turn), ["b1", "c1", "a2"])
        last = storage_nodes.turn("last")
        self.assertTrue(reader.write(last, cluster_case.deadline()))
        self.assertEqual(self.cluster.holders(last), ["c1", "a2"])

    def test_turn_stored_after_the_others_copied_is_not_acknowledged(self):
        # The host had accepted the turn when the order came. Its disk is
        # erased once the order is complete.
        self.cluster.run_rounds()
        node = self.cluster.node("b1")
        has_begun, may_store = threading.Event(), threading.Event()
        add = node.database.add

        def add_late(found):
            has_begun.set()
            may_store.wait(5)
            add(found)

        node.commits._add = add_late
        body = messages.encode_turn(storage_nodes.turn("t"))
        with concurrent.futures.ThreadPoolExecutor() as pool:
            write = pool.submit(
                node.service.handlers[peers.KEEP_TURN_PATH], body
            )
            self.assertTrue(has_begun.wait(5))
            is_complete = self.order().try_once()
            may_store.set()
            with self.assertRaises(peer_calls.UnavailableError):
                write.result(5)
        self.assertTrue(is_complete)

    def test_not_complete_while_another_host_is_down(self):
        self.cluster.run_rounds()
        self.cluster.node("c1").stop()
        order = self.order()
        self.assertFalse(order.try_once())
        self.assertEqual(self.status(), b"begun")
        self.cluster.node("c1").start()
        self.assertTrue(order.try_once())

    def test_not_complete_while_a_successor_knows_no_hosts(self):
        # review/11: it had copied nothing, and its answer counted.
        self.cluster.run_rounds()
        self.cluster.kill("c1")
        self.cluster.start("c1")
        successor = self.cluster.node("c1").copies
        known = successor._hosts
        successor._hosts = list
        order = self.order()
        self.assertFalse(order.try_once())
        successor._hosts = known
        self.assertTrue(order.try_once())

    def test_not_complete_by_a_successor_that_leaves_as_well(self):
        # review/12: both counted each other as a place for their turns.
        self.cluster.add("a2")
        self.cluster.run_rounds()
        stored = storage_nodes.numbered_turns(30)
        self.keep(*stored)
        orders = [self.order("a1"), self.order("b1")]
        self.assertFalse(any(order.try_once() for order in orders))
        self.cluster.run_rounds()
        for order in orders:
            self.assertTrue(order.try_once())
        for turn in stored:
            self.assertLessEqual({"c1", "a2"}, set(self.cluster.holders(turn)))

    def test_not_complete_while_a_turn_cannot_be_copied(self):
        turn = storage_nodes.turn("t")
        self.keep(turn)
        node = self.cluster.node(self.cluster.holders(turn)[0])
        node.database._connection.execute("UPDATE turns SET output = x'00'")
        order = self.order(node.name)
        self.assertFalse(order.try_once())
        node.database.delete_damaged()
        self.assertTrue(order.try_once())

    def test_not_complete_with_too_few_other_hosts(self):
        self.cluster.run_rounds()
        self.assertFalse(self.order(copies=3).try_once())

    def test_failed_status_write_is_retried(self):
        self.cluster.run_rounds()
        order = self.order()
        self.store.error = interfaces.StoreUnavailableError("down")
        self.assertFalse(order.try_once())
        self.store.error = None
        self.assertTrue(order.try_once())

    def test_cancelled_order(self):
        order = self.order()
        order.apply([interfaces.Deletion("order/b1", 8)])
        self.assertFalse(self.cluster.node("b1").copies.is_leaving)

    def test_edge_process_answers_for_an_unregistered_host(self):
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
    """Guards against missing registrations and needless store calls."""

    def setUp(self):
        self.store = stores.Store()
        self.is_leaving = False
        self.clock = builders.manual_clock()
        # Time of which the view shows the store.
        self.fresh_at_ms = 0.0
        self.view = builders.fleet_view()
        self.host = builders.storage_host("a1")
        self.registration = registration.StorageRegistration(
            self.host,
            self.store,
            builders.Records(),
            self.view,
            lambda: self.is_leaving,
            lambda since_ms: self.fresh_at_ms >= since_ms,
            self.clock,
        )

    def configure(self, is_stateful, is_resumable=False):
        route = builders.route(
            kind=traffic.RouteKind.STREAMING, is_stateful=is_stateful
        )._replace(is_resumable=is_resumable)
        builders.activate_configuration(self.view, (route,))

    def test_registered_once_with_streams_that_can_be_resumed(self):
        # Before a second version comes, or its first streams are recorded
        # nowhere.
        self.configure(is_stateful=False, is_resumable=True)
        for _ in range(3):
            self.registration.check_once()
        self.assertEqual(self.store.calls, ["transact"])

    def test_registered_once_with_a_stateful_route(self):
        self.registration.check_once()
        self.assertEqual(self.store.calls, [])
        self.configure(is_stateful=True)
        for _ in range(3):
            self.registration.check_once()
        self.assertEqual(self.store.calls, ["transact"])
        self.assertIn("storage/a1", self.store.items)

    def test_registration_that_the_store_has_lost_is_written_again(self):
        # Its host was not asked for turns any more.
        self.configure(is_stateful=True)
        self.registration.check_once()
        self.store.items.clear()
        self.registration.check_once()
        self.assertNotIn("storage/a1", self.store.items)
        self.fresh_at_ms = self.clock.now_ms()
        self.registration.check_once()
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
                    "storage/a1",
                    registration_records.encode_storage_host(self.host),
                    3,
                )
            ]
        )
        self.registration.check_once()
        self.assertEqual(self.store.calls, [])

    def test_registration_is_retried_when_the_store_is_unavailable(self):
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
