"""Test case with members that hold budgets for each other."""

import queue
import random
import threading
import time
import unittest

import builders
import stores

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    balancer,
    budget_ledger,
    budgets,
    fleet,
    interfaces,
    peer_service,
    peers,
    planner,
    registration_records,
    standbys,
)

BUDGET = 600
TURN = 60
NAMES = ("m1", "m2", "m3", "m4")


class Network:
    """In-process replacement of the calls between members."""

    def __init__(self):
        self.services = {}
        self.cut = set()
        self.timeout_ms = None
        # Callers give up after the timeout of their call.
        self.has_call_timeouts = False
        # Answers of these members take so long; their calls are executed.
        self.answer_ms = {}
        # Members and paths of calls that do not arrive.
        self.lost_calls = set()
        # Delays of calls before they are executed, by member and path.
        self.arrival_ms = {}

    def call(self, address, path, body, timeout_ms):
        name = address.partition(":")[0]
        if name in self.cut or name not in self.services:
            raise peers.PeerUnavailableError(address)
        if (name, path) in self.lost_calls:
            raise peers.PeerUnavailableError(address)
        call = self.services[name].calls[path]
        if self.has_call_timeouts:
            limit_ms = timeout_ms
        elif self.timeout_ms is not None:
            limit_ms = self.timeout_ms
        else:
            return dict(call(body) or {})
        answers = queue.Queue()

        def answer():
            time.sleep(self.arrival_ms.get((name, path), 0.0) / 1_000)
            result = dict(call(body) or {})
            time.sleep(self.answer_ms.get(name, 0.0) / 1_000)
            answers.put(result)

        threading.Thread(target=answer, daemon=True).start()
        try:
            return answers.get(timeout=limit_ms / 1_000)
        except queue.Empty:
            raise peers.PeerTimeoutError(f"{address}: slow") from None


class HoldersCase(unittest.TestCase):
    """Test case with members that hold budgets for each other."""

    NAMES = NAMES

    def setUp(self):
        self.program_id = "p"
        self.clock = clocks.Clock()
        self.records = builders.Records()
        self.network = Network()
        # Members share these records, but each can lose its own store.
        self.store = stores.Store()
        self.journal = builders.Journal()
        self.members = {}
        self.planned = {}
        for name in self.NAMES:
            self.start(name)

    def start(self, name, is_restart=False, has_read=True):
        store = stores.Store()
        store.items = self.store.items
        store.transact = self.with_own_failures(store)
        local_ledger = budget_ledger.BudgetLedger(
            store, self.records, self.clock, is_restart
        )
        local_ledger.journal = self.journal
        view = fleet.Fleet(self.records, self.clock)
        if has_read:
            self.read_members(view)
        local_ledger.standbys = standbys.PeerStandbys(
            name, str(is_restart), self.network, view, self.clock
        )
        servers = balancer.Balancer(self.clock, "a", random.Random(1))
        servers.set_servers([builders.server()])
        self.planned[name] = servers
        permits = builders.permits(name, view, self.clock, self.network)
        turn_planner = planner.TurnPlanner(
            name, servers, view, permits, self.clock
        )
        accounts = budgets.Budgets(
            name, local_ledger, turn_planner, self.network, view, self.clock
        )
        view.on_member_lost = accounts.handle_member_loss
        view.on_member_added = accounts.handle_member_arrival
        self.network.services[name] = peer_service.PeerService(
            accounts, local_ledger, None, None, permits, None, None
        )
        for loop in (local_ledger, accounts.pending_settlements):
            thread = threading.Thread(target=loop.run, daemon=True)
            thread.start()
            self.addCleanup(thread.join, 5)
            self.addCleanup(loop.stop)
        self.members[name] = (store, local_ledger, view, accounts)

    def read_members(self, view):
        """Let a view read the members' registrations."""
        for member in self.NAMES:
            encoded = registration_records.encode_member(
                builders.member(member)
            )
            view.apply([interfaces.Item(f"member/{member}", encoded, 1)])
        view.update_age(0.0)

    def with_own_failures(self, store):
        def transact(conditions, writes, deletes=()):
            if store.error is not None:
                raise store.error
            return self.store.transact(conditions, writes, deletes)

        return transact

    def turn(self, name):
        """Run one turn with maximum use; return its tokens, 0 if refused."""
        accounts = self.members[name][3]
        grant = self.reserve(name)
        if isinstance(grant, budgets.Grant):
            accounts.settle(grant, TURN, builders.turn_report())
            return TURN
        self.last = grant
        return 0

    def cut_off_store(self, *names):
        for name in names:
            self.members[name][0].error = interfaces.StoreUnavailableError(
                "refused"
            )

    def end_outage(self, *names):
        """Let the store answer some members or all, and callers notice it."""
        for name in names or self.members:
            self.members[name][0].error = None
        self.clock.sleep(budgets.OUTAGE_PAUSE_MS)

    def reserve(self, name):
        call = builders.turn_call(BUDGET, TURN)
        call = call._replace(program_id=self.program_id)
        return self.members[name][3].reserve(call, builders.turn_request())
