"""Tests of orders to engines and of permits to load weights."""

import unittest

import builders

from balsamloom_core import clock as clocks
from balsamloom_core import errors
from balsamloom_entry import orders, permits
from balsamloom_platform import store as stores

IN_FLIGHT_MS = orders.OrderSettings().order_in_flight_ms
READ_BACK_MS = orders.OrderSettings().read_back_interval_ms


class ControlTest(unittest.TestCase):
    """Guards against an engine left in an outdated desired state."""

    def test_engine_reaches_the_desired_state_model_first(self):
        for enforces_fence in (True, False):
            fleet = builders.Fleet(enforces_fence)
            fleet.desired["m1"] = builders.NEW
            fleet.run("m1", IN_FLIGHT_MS + 4_000)
            self.assertEqual(fleet.engine.state, builders.NEW)
            kinds = [order.kind for _, order in fleet.engine.received]
            self.assertEqual(kinds, list(orders.OrderKind))

    def test_late_order_of_a_paused_controller_is_corrected(self):
        for enforces_fence in (True, False):
            state = builders.OLD._replace(model="model-0")
            fleet = builders.Fleet(enforces_fence, state)

            def pause(fleet=fleet):
                fleet.set_owner("m2")
                fleet.publish_map_to("m2")
                fleet.run("m2", IN_FLIGHT_MS + 4_000)
                self.assertEqual(fleet.engine.state, builders.NEW)

            fleet.engine.before_apply = pause
            fleet.run("m1", IN_FLIGHT_MS + 1_000)
            # The late order of m1 takes effect only if the engine does not
            # enforce fencing.
            late = fleet.engine.state.model
            self.assertEqual(late == "model-a", not enforces_fence)
            fleet.run("m1", 4_000)
            fleet.run("m2", READ_BACK_MS + 1_000)
            self.assertEqual(fleet.engine.state, builders.NEW)
            fleet.publish_map_to("m1")
            fleet.run("m1", 30_000)
            self.assertEqual(fleet.engine.state, builders.NEW)

    def test_order_in_flight_takes_effect_before_the_successor_sends(self):
        state = builders.OLD._replace(model="model-0")
        fleet = builders.Fleet(False, state)

        def delay():
            fleet.set_owner("m2")
            fleet.publish_map_to("m2")
            fleet.run("m2", orders.ORDER_TIMEOUT_MS)
            self.assertEqual(fleet.engine.received, [])

        fleet.engine.before_apply = delay
        fleet.run("m1", IN_FLIGHT_MS + 500)
        self.assertEqual(fleet.engine.state.model, "model-a")
        fleet.run("m2", IN_FLIGHT_MS)
        self.assertEqual(fleet.engine.state, builders.NEW)

    def test_controller_with_an_old_map_neither_claims_nor_sends(self):
        for enforces_fence in (True, False):
            fleet = builders.Fleet(enforces_fence)
            fleet.run("m1", IN_FLIGHT_MS + 1_000)
            fleet.set_owner("m2")
            fleet.publish_map_to("m2")
            fleet.run("m2", IN_FLIGHT_MS + 4_000)
            fleet.run("m1", 60_000)
            self.assertEqual(fleet.engine.state, builders.NEW)
            fences = {fence for fence, _ in fleet.engine.received}
            self.assertEqual(fences, {2})

    def test_no_order_without_the_store(self):
        fleet = builders.Fleet(True)
        fleet.run("m1", 1_000)
        fleet.desired["m1"] = builders.NEW
        fleet.clock.advance(READ_BACK_MS)
        fleet.store.is_down = True
        with self.assertRaises(stores.StoreUnavailable):
            fleet.controls["m1"].reconcile(builders.ENGINE)
        self.assertEqual(fleet.engine.received, [])
        fleet.store.is_down = False
        fleet.run("m1", 4_000)
        self.assertEqual(fleet.engine.state, builders.NEW)

    def test_claim_with_a_lost_response_is_repeated(self):
        fleet = builders.Fleet(True)
        fleet.desired["m1"] = builders.NEW
        fleet.store.responses_to_lose = 1
        with self.assertRaises(stores.StoreUnavailable):
            fleet.controls["m1"].reconcile(builders.ENGINE)
        fleet.run("m1", 4_000)
        self.assertEqual(fleet.engine.state, builders.NEW)

    def test_fence_is_raised_above_the_number_that_the_engine_saw(self):
        fleet = builders.Fleet(True)
        fleet.desired["m1"] = builders.NEW
        fleet.engine.fence = 40
        fleet.run("m1", 4_000)
        self.assertEqual(fleet.engine.state, builders.NEW)
        self.assertEqual(fleet.engine.fence, 41)

    def test_wait_shorter_than_an_order_may_take_is_rejected(self):
        settings = orders.OrderSettings(order_in_flight_ms=6_000)
        with self.assertRaisesRegex(errors.BalsamloomError, "order_in_flight"):
            orders.OrderController(
                "m1", None, None, None, None, None, None, settings
            )


class PermitTest(unittest.TestCase):
    """Guards against exceeding the load limit and against lost permits."""

    def setUp(self):
        self.clock = clocks.ManualClock()
        self.store = builders.MemoryStore()

    def table(self, member_id):
        return permits.PermitTable(
            self.store, member_id, self.clock, 2, 10_000
        )

    def test_capacity_is_shared_and_released(self):
        tables = [self.table(f"m{number}") for number in range(3)]
        held = [table.acquire("e") for table in tables]
        self.assertIsNone(held[2])
        tables[0].release(held[0])
        self.assertIsNotNone(tables[2].acquire("e"))
        self.assertIsNone(tables[0].acquire("e"))

    def test_permit_of_a_dead_holder_expires_only_after_its_duration(self):
        for number in range(2):
            self.table(f"dead{number}").acquire("e")
        table = self.table("m1")
        for _ in range(10):
            self.assertIsNone(table.acquire("e"))
            self.clock.advance(1_000)
        self.assertIsNotNone(table.acquire("e"))

    def test_holder_stops_before_others_consider_it_expired(self):
        holder, other = self.table("m1"), self.table("m2")
        permit = holder.acquire("e")
        self.table("m3").acquire("e")
        while holder.is_valid(permit):
            self.assertIsNone(other.acquire("e"))
            self.clock.advance(500)
        self.assertIsNone(other.acquire("e"))

    def test_renewed_permit_does_not_expire(self):
        holder, other = self.table("m1"), self.table("m2")
        self.table("m3").acquire("e")
        for _ in range(30):
            permit = holder.acquire("e")
            self.assertTrue(holder.is_valid(permit))
            other.acquire("e")
            self.clock.advance(1_000)
        holders = self.store.items[permits.KEY].value
        self.assertIn(permit.nonce.encode(), holders)

    def test_lost_response_does_not_use_up_two_permits(self):
        self.store.responses_to_lose = 1
        holder = self.table("m1")
        with self.assertRaises(stores.StoreUnavailable):
            holder.acquire("e")
        self.assertIsNotNone(holder.acquire("e"))
        self.assertIsNotNone(self.table("m2").acquire("e"))
