"""Tests of the rate limits that backend servers announce."""

import random
import unittest

import builders
import gateway_case
import scripted

from balsamloom_gateway import balancer as balancers
from balsamloom_gateway import (
    candidates,
    estimates,
    fleet,
    interfaces,
    limited_placement,
    peers,
    rate_quota,
    registration_records,
    send_permits,
)

LIMIT_PER_S = 4.0
NAMES = tuple(f"m{number:02}" for number in range(20))


class RateQuotaTest(unittest.TestCase):
    """Guards against more requests than a server takes."""

    def taken(self, rate_per_s, gap_ms, duration_ms):
        quota = rate_quota.RateQuota(0.0)
        return sum(
            isinstance(quota.take(rate_per_s, now_ms), rate_quota.Granted)
            for now_ms in range(0, duration_ms, gap_ms)
        )

    def test_rate_is_kept_at_any_demand(self):
        for rate_per_s in (0.5, 1.0, 3.7, 40.0):
            with self.subTest(rate_per_s):
                expected = rate_per_s * 20
                taken = self.taken(rate_per_s, 5, 20_000)
                self.assertAlmostEqual(taken, expected, delta=2)

    def test_quiet_period_allows_only_a_short_burst(self):
        quota = rate_quota.RateQuota(0.0)
        taken = sum(
            isinstance(quota.take(40.0, 60_000.0), rate_quota.Granted)
            for _ in range(100)
        )
        self.assertEqual(taken, 40.0 * rate_quota.BURST_S)

    def test_denial_says_when_the_next_request_may_be_sent(self):
        quota = rate_quota.RateQuota(0.0)
        quota.take(2.0, 0.0)
        denied = quota.take(2.0, 0.0)
        self.assertEqual(denied, rate_quota.Denied(500.0))
        self.assertEqual(quota.take(2.0, 500.0), rate_quota.Granted())


class Network:
    """In-process calls between members, of which some can be cut off."""

    def __init__(self):
        self.members = {}
        self.cut = set()

    def call(self, address, path, body, timeout_ms):
        name = address.partition(":")[0]
        if name in self.cut or path != peers.PERMIT_PATH:
            raise peers.PeerUnavailableError(address)
        request = send_permits.decode_request(builders.as_json(body))
        reply = self.members[name].grant(request)._asdict()
        return builders.as_json(reply)


class SendPermitsTest(unittest.TestCase):
    """Guards against members that each use the whole limit of a server."""

    def setUp(self):
        self.clock = builders.manual_clock()
        self.network = Network()
        self.server = builders.server()
        self.random = random.Random(4)
        for name in NAMES:
            view = fleet.Fleet(builders.Records(), self.clock)
            for other in NAMES:
                encoded = registration_records.encode_member(
                    builders.member(other)
                )
                view.apply([interfaces.Item(f"member/{other}", encoded, 1)])
            self.network.members[name] = builders.permits(
                name, view, self.clock, self.network
            )

    def name_limit(self, limit_per_s, names=NAMES):
        for name in names:
            self.network.members[name].record(
                self.server, rate_quota.LimitReport(limit_per_s, 0.0)
            )

    def send(self, duration_ms, names=NAMES):
        """Return the times of the requests that random members send."""
        sent_ms = []
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            member = self.network.members[self.random.choice(names)]
            permit = member.acquire(self.server)
            if isinstance(permit, rate_quota.Granted):
                sent_ms.append(self.clock.now_ms())
            self.clock.advance(20.0)
        return sent_ms

    def most_in(self, window_ms, sent_ms):
        return max(
            sum(0 <= other - start < window_ms for other in sent_ms)
            for start in sent_ms
        )

    def test_members_together_keep_to_the_limit(self):
        self.name_limit(LIMIT_PER_S)
        sent_ms = self.send(20_000.0)
        self.assertLessEqual(self.most_in(4_000.0, sent_ms), 17)
        self.assertGreaterEqual(len(sent_ms), 75)

    def test_loss_of_the_counting_member_does_not_renew_the_limit(self):
        self.name_limit(LIMIT_PER_S)
        sent_ms = self.send(4_000.0)
        members = [builders.member(name) for name in NAMES]
        counting = send_permits.granters(self.server.server_id, members)[0]
        rest = [name for name in NAMES if name != counting.name]
        self.network.cut.add(counting.name)
        sent_ms += self.send(4_000.0, rest)
        self.network.cut.clear()
        sent_ms += self.send(4_000.0)
        self.assertLessEqual(self.most_in(4_000.0, sent_ms), 1.5 * 16 + 5)
        self.assertGreaterEqual(len(sent_ms), 45)

    def test_member_without_others_uses_its_share_only(self):
        self.name_limit(40.0)
        self.network.cut.update(NAMES)
        alone = next(
            name
            for name in NAMES
            if name
            not in {
                one.name
                for one in send_permits.granters(
                    self.server.server_id,
                    [builders.member(name) for name in NAMES],
                )
            }
        )
        sent_ms = self.send(4_000.0, (alone,))
        self.assertAlmostEqual(len(sent_ms), 4 * 40 / len(NAMES), delta=2)

    def test_end_of_a_limit_reaches_members_that_did_not_see_it(self):
        self.name_limit(LIMIT_PER_S)
        self.send(1_000.0)
        self.name_limit(None, NAMES[:10])
        sent = len(self.send(4_000.0))
        self.assertGreater(sent, 150)

    def test_older_answer_does_not_end_a_limit(self):
        member = self.network.members["m01"]
        self.name_limit(LIMIT_PER_S)
        member.record(self.server, rate_quota.LimitReport(None, 100.0))
        self.assertTrue(member.limits.is_limited(self.server))

    def test_server_that_started_again_has_no_limit(self):
        self.name_limit(LIMIT_PER_S)
        again = self.server._replace(incarnation=2)
        member = self.network.members["m01"]
        self.assertFalse(member.limits.is_limited(again))

    def test_malformed_message_is_an_invalid_value(self):
        request = send_permits.PermitRequest("s1", 1, 4.0, 0.0, 0.0)
        reply = send_permits.PermitReply(True, 0.0, 4.0, 0.0)
        for message, decode in (
            (request._asdict(), send_permits.decode_request),
            (reply._asdict(), send_permits.decode_reply),
        ):
            self.assertEqual(decode(message)._asdict(), message)
            damaged = [{}]
            for value in (-1.0, float("nan"), "x"):
                damaged += [
                    {**message, "limit_per_s": value},
                    {**message, "age_ms": value},
                ]
            for body in damaged:
                with self.subTest(body), self.assertRaises(ValueError):
                    decode(body)


class LimitedPlacementTest(unittest.TestCase):
    """Guards against calls that wait for a server at its limit."""

    def setUp(self):
        self.clock = builders.manual_clock()
        view = fleet.Fleet(builders.Records(), self.clock)
        self.permits = builders.permits("m1", view, self.clock)
        self.balancer = balancers.Balancer(self.clock, "a", random.Random(1))
        self.servers = [builders.server(f"s{number}") for number in range(4)]
        self.balancer.set_servers(self.servers)

    def place(self, left_ms=4_000.0):
        return limited_placement.choose_permitted(
            self.balancer,
            self.permits,
            lambda avoid: self.balancer.choose(
                builders.SERVICE, estimates.CallProfile(), avoid
            ),
            left_ms,
        )

    def limit(self, *servers):
        for server in servers:
            report = rate_quota.LimitReport(1.0, 0.0)
            self.permits.record(server, report)

    def test_calls_beyond_the_limits_go_to_the_other_servers(self):
        self.limit(*self.servers[1:])
        used = [self.place().choice.server.server_id for _ in range(40)]
        self.assertEqual(sorted(used)[-3:], ["s1", "s2", "s3"])
        self.assertEqual(used.count("s0"), 37)

    def test_call_is_refused_at_once_if_all_servers_are_at_their_limits(self):
        self.limit(*self.servers)
        found = [self.place() for _ in range(6)]
        self.assertIsInstance(found[3], limited_placement.PermittedChoice)
        for refused in found[4:]:
            self.assertIsInstance(refused, candidates.NoServer)
            self.assertAlmostEqual(refused.retry_after_ms, 1_000.0, delta=1)

    def test_short_call_is_refused_rather_than_kept_waiting(self):
        self.limit(*self.servers)
        for _ in self.servers:
            self.place()
        self.clock.advance(700.0)
        self.assertIsInstance(self.place(400.0), candidates.NoServer)

    def test_long_call_waits_if_all_servers_have_limits(self):
        self.limit(*self.servers)
        for _ in self.servers:
            self.place()
        self.clock.advance(700.0)
        self.assertEqual(round(self.place(4_000.0).wait_ms), 300)

    def test_denied_server_is_used_again_after_the_wait(self):
        self.limit(*self.servers)
        for _ in range(6):
            self.place()
        self.clock.advance(1_001.0)
        self.assertIsInstance(self.place(), limited_placement.PermittedChoice)


class LimitedServerTest(gateway_case.GatewayCase):
    """Guards against requests beyond the limit that a server names."""

    def test_server_gets_no_more_than_it_named(self):
        limited = scripted.answer(fields="Limit: 2.0\r\n")
        gateway = self.start(
            self.answering(limited), self.answering(scripted.answer())
        )
        encoded = registration_records.encode_member(builders.member("m1"))
        gateway.fleet.apply([interfaces.Item("member/m1", encoded, 1)])
        started_ms = gateway.clock.now_ms()
        statuses = [
            self.request("/once/", body=b"x")[0].status for _ in range(60)
        ]
        elapsed_s = (gateway.clock.now_ms() - started_ms) / 1_000
        self.assertEqual(set(statuses), {200})
        got = len(self.servers[0].received)
        # The first answer names the limit, and one token is there at once.
        self.assertLessEqual(got, 2 + 2.0 * elapsed_s)

    def test_all_servers_at_their_limits_is_503_with_retry_after(self):
        limited = scripted.answer(fields="Limit: 0.5\r\n")
        self.start(self.answering(limited))
        statuses = [
            self.request("/once/", body=b"x")[0].status for _ in range(4)
        ]
        self.assertEqual(statuses, [200, 200, 503, 503])
        response, _ = self.request("/once/", body=b"x")
        self.assertGreater(float(response.headers["Retry-After"]), 0.5)
        self.assertEqual(self.runs(), 2)


if __name__ == "__main__":
    unittest.main()
