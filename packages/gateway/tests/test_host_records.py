"""Tests of the evacuation and the registration of storage hosts."""

import concurrent.futures
import threading
import unittest

import builders
import cluster_case
import storage_nodes
import stores

from balsamloom_conversations import messages
from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    evacuation,
    interfaces,
    peer_calls,
    peers,
    registration_records,
    traffic,
)
from balsamloom_storage import host_evacuation, registration


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
