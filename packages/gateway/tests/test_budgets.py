"""Tests of budgets that several members hold over faults."""

import threading
import unittest

import builders

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    budgets,
    fleet,
    interfaces,
    ledger,
    ledger_book,
    peer_service,
    peers,
    standbys,
    traffic,
)

BUDGET = 600
TURN = 60
NAMES = ("m1", "m2", "m3", "m4")


class Network:
    """Passes calls between members in this process."""

    def __init__(self):
        self.services = {}
        self.cut = set()

    def call(self, address, path, body, timeout_ms):
        name = address.partition(":")[0]
        if name in self.cut or name not in self.services:
            raise peers.PeerUnavailableError(address)
        found = self.services[name]._calls[path](body)
        return {} if found is None else dict(found)


class HoldersTest(unittest.TestCase):
    """Guards against holders that do not know of each other."""

    def setUp(self):
        self.clock = clocks.Clock()
        self.records = builders.Records()
        self.network = Network()
        # A store for each member, which the first two may lose.
        self.store = builders.Store()
        self.members = {}
        for name in NAMES:
            self.start(name)

    def start(self, name, is_restart=False):
        store = builders.Store()
        store.items = self.store.items
        store.transact = self.guarded(store)
        book = ledger_book.LedgerBook(
            store, self.records, self.clock, is_restart
        )
        view = fleet.Fleet(self.records, self.clock)
        for member in NAMES:
            encoded = fleet.encode_member(builders.member(member))
            view.apply([interfaces.Item(f"member/{member}", encoded, 1)])
        book.standbys = standbys.PeerStandbys(
            name, str(is_restart), self.network, view, self.clock
        )
        self.network.services[name] = peer_service.PeerService(book, None)
        accounts = budgets.Budgets(name, book, self.network, view, self.clock)
        thread = threading.Thread(target=book.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, 5)
        self.addCleanup(book.stop)
        self.members[name] = (store, book, view, accounts)

    def guarded(self, store):
        def transact(conditions, writes, deletes=()):
            if store.error is not None:
                raise store.error
            return self.store.transact(conditions, writes, deletes)

        return transact

    def turn(self, name):
        """Run one turn that uses all it may; return whether it ran."""
        call = traffic.CallMetadata(
            "r", None, "p", "", None, BUDGET, 100, TURN, 0, (), ""
        )
        accounts = self.members[name][3]
        grant = accounts.reserve(call)
        if isinstance(grant, budgets.Grant):
            accounts.settle(grant, TURN, "s1")
            return TURN
        self.last = grant
        return 0

    def lose_store(self, *names):
        for name in names:
            self.members[name][0].error = interfaces.StoreUnavailableError(
                "turned away"
            )

    def test_budget_is_shared_by_all_members(self):
        spent = sum(self.turn(NAMES[n % 4]) for n in range(30))
        self.assertLessEqual(spent, BUDGET + TURN)
        self.assertGreaterEqual(spent, BUDGET - TURN)
        self.assertIsInstance(self.last, ledger.Exhausted)

    def test_only_one_holder_exposes_in_an_outage(self):
        self.lose_store(*NAMES)
        spent = sum(self.turn(NAMES[n % 4]) for n in range(40))
        self.assertGreater(spent, TURN)
        self.assertLessEqual(spent, BUDGET // 2)

    def test_holder_that_ends_in_an_outage_costs_no_overspending(self):
        spent = sum(self.turn("m3") for _ in range(2))
        self.lose_store(*NAMES)
        spent += sum(self.turn("m3") for _ in range(3))
        self.network.cut.add("m1")
        spent += sum(self.turn("m3") for _ in range(6))
        for store, *_ in self.members.values():
            store.error = None
        spent += sum(self.turn("m3") for _ in range(30))
        self.assertLessEqual(spent, BUDGET + TURN)

    def test_standby_records_when_the_holder_is_turned_away(self):
        self.lose_store("m1")
        spent = sum(self.turn("m3") for _ in range(30))
        self.assertLessEqual(spent, BUDGET + TURN)
        self.assertGreaterEqual(spent, BUDGET - TURN)

    def test_restarted_holder_asks_its_standby(self):
        self.lose_store(*NAMES)
        spent = sum(self.turn("m3") for _ in range(4))
        self.start("m1", is_restart=True)
        self.lose_store("m1")
        spent += sum(self.turn("m3") for _ in range(20))
        for store, *_ in self.members.values():
            store.error = None
        spent += sum(self.turn("m3") for _ in range(30))
        self.assertLessEqual(spent, BUDGET + TURN)

    def test_new_holder_asks_members_that_only_lost_the_store(self):
        self.lose_store("m1", "m2")
        spent = 0
        for _ in range(3):
            spent += self.turn("m1")
        # The registrations of the two lapse for those that see the store.
        for name in ("m3", "m4"):
            view, book = self.members[name][2], self.members[name][1]
            for lost in ("m1", "m2"):
                view.apply([interfaces.Deleted(f"member/{lost}", 9)])
            book.note_loss("m1 ended")
        spent += sum(self.turn("m4") for _ in range(30))
        self.assertLessEqual(spent, BUDGET + TURN)


if __name__ == "__main__":
    unittest.main()
