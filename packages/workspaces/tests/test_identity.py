"""Tests of the decision whose request it is."""

import threading
import unittest

import builders

from balsamloom_workspaces import (
    credentials,
    identity,
    key_tables,
    priorities,
    revocation,
    scopes,
)


class CredentialsTest(unittest.TestCase):
    """Guards against headers that two readers understand differently."""

    def test_scheme_may_be_in_any_case(self):
        expected = credentials.KeyDigest(credentials.digest_key(b"abc"))
        for value in (b"Bearer abc", b"bearer  abc", b" BEARER abc "):
            self.assertEqual(credentials.from_field(value), expected)

    def test_what_is_no_key_is_malformed(self):
        long = b"x" * (credentials.MAX_KEY_BYTES + 1)
        for value in (
            b"",
            b"abc",
            b"Bearer",
            b"Bearer ",
            b"Basic abc",
            b"Bearer a b",
            b"Bearer a, Bearer b",
            b"Bearer " + long,
        ):
            with self.subTest(value[:20]):
                found = credentials.from_field(value)
                self.assertIsInstance(found, credentials.MalformedKey)

    def test_digest_survives_the_way_to_another_member(self):
        for credential in (
            builders.presented(b"abc"),
            credentials.MissingKey(),
        ):
            proof = credentials.encode_proof(credential)
            self.assertNotIn(b"abc", proof)
            self.assertEqual(credentials.decode_proof(proof), credential)

    def test_proof_that_is_no_digest_is_an_error(self):
        for value in (b"zz", b"00", b"\xff"):
            with self.subTest(value), self.assertRaises(ValueError):
                credentials.decode_proof(value)

    def test_key_and_digest_are_not_shown(self):
        credential = builders.presented(b"abc")
        digest = credentials.digest_key(b"abc")
        self.assertNotIn(repr(digest), repr(credential))


class DecisionTest(unittest.TestCase):
    """Guards against requests that run for the wrong workspace."""

    def setUp(self):
        self.first = builders.holder("first", b"k1", b"k2")
        self.second = builders.holder("second", b"k3")
        self.table = builders.table(self.first, self.second)

    def decide(self, key=None, **changes):
        credential = credentials.MissingKey()
        if key is not None:
            credential = builders.presented(key)
        arguments = {"table": self.table, "is_public": False, **changes}
        return identity.decide(credential, **arguments)

    def test_key_names_its_workspace(self):
        for key, holder in (
            (b"k1", self.first),
            (b"k2", self.first),
            (b"k3", self.second),
        ):
            self.assertEqual(self.decide(key), identity.Identified(holder))

    def test_unknown_key_is_unauthorized_and_may_be_newer(self):
        for key in (b"k4", b"k", b"K1"):
            found = self.decide(key)
            self.assertIsInstance(found, identity.Unauthorized)
            self.assertTrue(found.may_be_newer)

    def test_missing_or_malformed_key_is_unauthorized_for_good(self):
        missing = self.decide()
        malformed = identity.decide(
            credentials.from_field(b"Basic x"), self.table, is_public=False
        )
        for found in (missing, malformed):
            self.assertIsInstance(found, identity.Unauthorized)
            self.assertFalse(found.may_be_newer)

    def test_public_route_belongs_to_no_workspace_whatever_the_key(self):
        for key in (None, b"k1", b"k4"):
            found = self.decide(key, is_public=True, may_be_revoked=True)
            self.assertEqual(found, identity.Anonymous())

    def test_configuration_without_workspaces_asks_for_no_key(self):
        for key in (None, b"k1"):
            found = self.decide(key, table=None, may_be_revoked=True)
            self.assertEqual(found, identity.Anonymous())

    def test_strict_host_that_lacks_revocations_is_unsure_of_any_key(self):
        for key in (b"k1", b"k4"):
            found = self.decide(key, may_be_revoked=True)
            self.assertIsInstance(found, identity.Unsure)
        found = self.decide(None, may_be_revoked=True)
        self.assertIsInstance(found, identity.Unauthorized)

    def test_dropped_or_moved_key_follows_the_configuration_in_force(self):
        moved = builders.holder("second", b"k1", b"k3")
        newer = builders.table(builders.holder("first", b"k5"), moved)
        self.assertEqual(
            self.decide(b"k1", table=newer), identity.Identified(moved)
        )
        self.assertIsInstance(
            self.decide(b"k2", table=newer), identity.Unauthorized
        )


class KeyTableTest(unittest.TestCase):
    """Guards against tables that are built for nothing, or twice."""

    def test_table_is_built_once_by_the_first_look_up(self):
        builds = []

        def holders():
            builds.append(1)
            yield builders.holder("first", b"k1")

        class Holders:
            def __iter__(self):
                return holders()

        table = key_tables.KeyTable(Holders())
        self.assertEqual(builds, [])
        barrier = threading.Barrier(8)
        found = []

        def look_up():
            barrier.wait()
            found.append(table.find(credentials.digest_key(b"k1")))

        threads = [threading.Thread(target=look_up) for _ in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(builds, [1])
        self.assertEqual({one.name for one in found}, {"first"})


class ScopeTest(unittest.TestCase):
    """Guards against identifiers that reach into another workspace."""

    def test_no_two_owners_share_an_identifier(self):
        names = ("", "a", "a/b", "a%2Fb", "b", "%")
        sent = ("x", "b/x", "/x", "a/x", "%2Fb/x")
        found = [
            scopes.Scope(name).identifier(identifier)
            for name in names
            for identifier in sent
        ]
        self.assertEqual(len(set(found)), len(found))

    def test_identifiers_stay_without_workspaces(self):
        for sent in ("", "x", "a/x"):
            self.assertEqual(scopes.UNSCOPED.identifier(sent), sent)

    def test_absent_identifier_stays_absent(self):
        self.assertEqual(scopes.Scope("a").identifier(""), "")


class PolicyTest(unittest.TestCase):
    """Guards against lenient hosts that refuse, and the reverse."""

    def test_only_a_strict_host_lacks_revocations(self):
        strict = revocation.RevocationPolicy(True, 5_000.0)
        for age_ms, expected in ((None, True), (5_000, False), (5_001, True)):
            self.assertEqual(strict.may_lack_revocations(age_ms), expected)
            self.assertFalse(revocation.LENIENT.may_lack_revocations(age_ms))

    def test_priority_of_the_workspace_goes_first(self):
        self.assertEqual(priorities.call_priority(None, 4), 4)
        self.assertEqual(priorities.call_priority(0, 4), 0)
        self.assertEqual(priorities.call_priority(7, 4), 7)


if __name__ == "__main__":
    unittest.main()
