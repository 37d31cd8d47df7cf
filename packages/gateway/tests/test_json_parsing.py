"""Tests of what happens to stored values and messages that are no JSON."""

import unittest

import builders
import stores

from balsamloom_gateway import (
    crash_reports,
    fleet,
    interfaces,
    json_parsing,
    ledger_records,
    peer_service,
    registration_records,
    stream_registry,
    version_history,
)

MALFORMED = (
    b"",
    b"\xff\xfe",
    b"not JSON",
    b"[" * 100_000,
    b'{"a":' * 100_000,
    b'{"wall_ms": ' + b"9" * 5_000 + b"}",
)


class MalformedValueTest(unittest.TestCase):
    """Guards against values that end the thread that reads them."""

    def test_each_malformed_value_is_a_value_error(self):
        for value in MALFORMED:
            with self.subTest(value[:20]), self.assertRaises(ValueError):
                json_parsing.parse_object(value)

    def test_a_document_of_another_type_is_no_object(self):
        with self.assertRaises(ValueError):
            json_parsing.parse_object(b"[]")

    def test_registrations_are_invalid(self):
        for decode in (
            registration_records.decode_member,
            registration_records.decode_storage_host,
        ):
            for value in MALFORMED:
                with (
                    self.subTest(value[:20]),
                    self.assertRaises(interfaces.InvalidRecordError),
                ):
                    decode("m1", value)

    def test_registration_under_another_name_is_invalid(self):
        member = builders.member("m1")
        encoded = registration_records.encode_member(member)
        self.assertEqual(
            registration_records.decode_member("m1", encoded), member
        )
        with self.assertRaises(interfaces.InvalidRecordError):
            registration_records.decode_member("m2", encoded)

    def test_budget_record_is_unreadable(self):
        for value in MALFORMED:
            item = interfaces.Item("ledger/p", value, 1)
            self.assertIsNone(ledger_records.decode(item))

    def test_records_of_crashes_and_versions_are_passed_over(self):
        clock = builders.manual_clock()
        records, store = builders.Records(), stores.Store()
        crashes = crash_reports.CrashReports(store, records, int, clock)
        view = fleet.Fleet(records, clock)
        history = version_history.VersionHistory(
            store, records, view, int, clock
        )
        for value in MALFORMED:
            crash = interfaces.Item("crash/t/b/s", value, 1)
            crashes.apply([crash])
            history.apply([interfaces.Item("versions/s", value, 1)])

    def test_messages_of_other_processes_are_malformed(self):
        for value in MALFORMED:
            for decode in (
                stream_registry.decode_starts,
                stream_registry.decode_lookup,
                peer_service._json_call(dict),
            ):
                with self.subTest(value[:20]), self.assertRaises(ValueError):
                    decode(value)


if __name__ == "__main__":
    unittest.main()
