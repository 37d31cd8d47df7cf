"""Tests of a member's registration and of its clients of other members."""

import unittest

import builders
import stores

from balsamloom_core import clock as clocks
from balsamloom_gateway import http_client, interfaces, peers, registrar

LEASE_MS = 4_000


class RegistrarTest(unittest.TestCase):
    """Guards against a member that overloads a failing store with retries."""

    def setUp(self):
        self.store = stores.Store()
        self.registrar = registrar.Registrar(
            self.store,
            "member/m1",
            builders.member("m1"),
            LEASE_MS,
            lambda: "member/m1" in self.store.items,
            builders.manual_clock(),
        )

    def test_refused_registration_is_retried_with_growing_pauses(self):
        # Rejected calls count against the store's rate limit too.
        self.store.error = interfaces.StoreUnavailableError("rejected")
        pauses = [self.registrar.renew_once() for _ in range(5)]
        self.assertEqual(pauses[0], registrar.MIN_RETRY_MS)
        self.assertEqual(pauses, sorted(pauses))
        self.assertEqual(pauses[-1], registrar.MAX_RETRY_MS)

    def test_registration_that_went_with_an_older_lease_is_written_again(self):
        # A write of an earlier try was done after the newer one, so the key
        # was deleted with the older lease while renewals succeeded.
        self.registrar.renew_once()
        self.store.delete("member/m1")
        for _ in range(registrar.MAX_MISSING_RENEWALS):
            self.assertNotIn("member/m1", self.store.items)
            self.registrar.renew_once()
        self.assertIn("member/m1", self.store.items)
        calls = len(self.store.calls)
        self.registrar.renew_once()
        self.assertEqual(self.store.calls[calls:], ["keep"])

    def test_success_resets_the_retry_pause(self):
        self.store.error = interfaces.StoreUnavailableError("rejected")
        for _ in range(4):
            self.registrar.renew_once()
        self.store.error = None
        self.assertEqual(
            self.registrar.renew_once(), LEASE_MS * registrar.RENEWAL_FRACTION
        )
        self.store.error = interfaces.StoreUnavailableError("rejected")
        self.assertEqual(self.registrar.renew_once(), registrar.MIN_RETRY_MS)


class PeerClientsTest(unittest.TestCase):
    """Guards against connections that stay open to removed members."""

    def test_clients_of_removed_members_are_closed(self):
        closed = []
        clients = peers.PeerClients(clocks.Clock())

        class Client(http_client.HttpClient):
            def close(self):
                closed.append(self)

        for address in ("a:1", "b:1"):
            clients._clients[address] = Client(address, clocks.Clock())
        clients.keep_only(["a:1", "c:1"])
        self.assertEqual(list(clients._clients), ["a:1"])
        self.assertEqual(len(closed), 1)


if __name__ == "__main__":
    unittest.main()
