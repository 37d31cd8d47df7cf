"""Tests of calls that the rate quota of their workspace admits or refuses."""

import threading
import unittest

import builders
import gateway_case
import scripted

from balsamloom_core import clock as clocks
from balsamloom_gateway import (
    feed,
    fleet,
    listeners,
    peer_service,
    peers,
    quota_link,
    traffic,
)
from balsamloom_quotas import limits, messages, service
from balsamloom_workspaces import credentials

KEY = "k-1"
LIMIT = traffic.RateLimit(10.0, 10.0)
BOUNDS = limits.Bounds(5_000.0, 0.1, 20.0)
FULL = scripted.answer(status="503 Full", fields="Not-Executed: 1\r\n")


class Quotas:
    """Quotas that admit a number of requests and record what ends."""

    def __init__(self, tokens):
        self.tokens = tokens
        self.settled = threading.Event()
        self.returned = 0
        self.charged = 0
        self.programs = set()

    def admit(self, workspace, program_id):
        self.programs.add(program_id)
        if not self.tokens:
            return service.Refused(250.0)
        self.tokens -= 1
        return service.Admitted(workspace, "m1")

    def give_back(self, admitted):
        self.returned += 1
        self.settled.set()

    def charge(self, admitted, runs):
        self.charged += max(runs, 0)
        self.settled.set()


class AdmissionTest(gateway_case.GatewayCase):
    def serve(self, tokens, *scripts, rate_limit=LIMIT):
        """Start a gateway whose workspace has some tokens."""
        gateway = self.start(*scripts)
        digest = credentials.digest_key(KEY.encode())
        workspace = traffic.Workspace("w", (digest,), None, rate_limit)
        routes = gateway_case.routes_of_all_kinds()
        configuration = builders.configuration(1, routes)
        gateway.fleet._active_configuration = fleet.ActiveConfiguration(
            configuration._replace(workspaces=(workspace,))
        )
        quotas = Quotas(tokens)
        gateway.proxy.admissions = quota_link.Admissions(
            quotas, gateway.proxy._responder
        )
        return quotas

    def ask(self, path="/idempotent/x"):
        return self.request(path, {"Authorization": f"Bearer {KEY}"})[0]

    def test_a_call_beyond_the_quota_is_429_and_says_when_to_return(self):
        quotas = self.serve(1, self.answering(scripted.answer()))
        self.assertEqual(self.ask().status, 200)
        response = self.ask()
        self.assertEqual(response.status, 429)
        self.assertGreater(float(response.headers["Retry-After"]), 0)
        self.assertEqual(self.runs(), 1)
        self.assertEqual((quotas.returned, quotas.charged), (0, 0))

    def test_a_call_is_admitted_as_a_part_of_its_program(self):
        quotas = self.serve(1, self.answering(scripted.answer()))
        fields = {"Authorization": f"Bearer {KEY}", "Program": "p"}
        self.request("/idempotent/x", fields)
        self.assertEqual(quotas.programs, {"w/p"})

    def test_a_call_that_did_not_run_gives_its_token_back(self):
        quotas = self.serve(1, self.answering(FULL))
        self.assertEqual(self.ask().status, 503)
        quotas.settled.wait(5.0)
        self.assertEqual(quotas.returned, 1)

    def test_a_second_run_is_charged(self):
        reset = self.answering(then=lambda connection: connection.close())
        quotas = self.serve(9, reset, reset)
        self.assertEqual(self.ask().status, 502)
        quotas.settled.wait(5.0)
        self.assertEqual((quotas.returned, quotas.charged), (0, 1))

    def test_a_call_without_a_limit_needs_no_token(self):
        answers = self.answering(scripted.answer())
        self.serve(0, answers, rate_limit=None)
        self.assertEqual(self.ask().status, 200)


class MemberTest(unittest.TestCase):
    """Two members, of which one asks the other for tokens over HTTP."""

    def setUp(self):
        clock = clocks.Clock()
        self.view = fleet.Fleet(builders.Records(), clock)
        self.records = feed.Feed(clock, self.view.decode_or_raw)
        self.members = quota_link.QuotaMembers(
            self.view, self.records, peers.PeerClients(clock), clock
        )
        quotas = quota_link.build("m1", "r1", BOUNDS, self.members, clock)
        others = [None] * 7
        handler = peer_service.PeerService(*others, quotas).handle
        limits_ = gateway_case.LIMITS
        listener = listeners.Listener("127.0.0.1:0", handler, limits_)
        listener.start()
        self.addCleanup(listener.stop_accepting)
        member = builders.member("m1")._replace(peer_address=listener.address)
        self.view.members = lambda: [member]

    def test_a_member_that_does_not_grant_says_so(self):
        request = messages.LeaseRequest("m2", "r2", 1, 0, ("m1",), ())
        body = self.members.send(
            "m1", messages.encode_request(request), 5_000.0
        )
        self.assertEqual(messages.decode_answer(body), messages.INACTIVE)

    def test_damaged_messages_and_lost_members_are_typed_errors(self):
        for name, body in (("m1", {"host": 7}), ("m9", {})):
            with (
                self.subTest(name),
                self.assertRaises(service.UnreachableError),
            ):
                self.members.send(name, body, 5_000.0)

    def test_view_tells_when_the_members_were_read(self):
        self.assertEqual(self.members.read_view().granters, ("m1",))
        self.assertLess(self.members.read_view().read_ms, 0)
        self.records.record_read(1, self.records._clock.now_ms())
        self.assertGreater(self.members.read_view().read_ms, 0)

    def test_granters_are_in_different_failure_domains(self):
        members = [
            builders.member(f"m{number}")._replace(failure_domain=domain)
            for number, domain in enumerate("aaabbc")
        ]
        found = quota_link.granters(members)
        self.assertEqual([one.name for one in found], ["m0", "m3", "m5"])
        self.assertEqual(len(quota_link.granters(members[:2])), 2)


if __name__ == "__main__":
    unittest.main()
