"""Tests of document validation and encoding."""

import unittest

import builders

from balsamloom_configuration import document as documents
from balsamloom_core import errors, results


def document(**sections):
    return documents.assemble(
        {
            name.replace("__", "/"): documents.Section(content, number)
            for number, (name, content) in enumerate(sections.items(), 1)
        }
    )


class CheckTest(unittest.TestCase):
    """Guards against putting an unusable document into force."""

    def problems(self, **sections):
        return [str(found) for found in documents.check(document(**sections))]

    def test_valid_document_has_no_problems(self):
        valid = {
            "models": builders.models("a"),
            "models__restwell-desk": builders.models("b"),
            "engines": {"b-1": {"model": "a", "role": "prefill"}},
            "customers": builders.customers(),
            "routing": {"trial": {"interval_ms": 200}},
        }
        self.assertEqual(self.problems(**valid), [])

    def test_problem_names_path_value_and_accepted_values(self):
        cases = [
            (
                {"models": builders.models("a", max_tokens=0)},
                "models.a.max_tokens: value 0 is not accepted; accepted: "
                "integer at least 1 and at most 1000000",
            ),
            (
                {"models": {"a": {"servers": []}}},
                "models.a.servers: value [] is not accepted; accepted: "
                "at least 1 entries",
            ),
            (
                {"services__desk": {"s": {"servers": [], "kind": 1}}},
                "services/desk.s.kind: unknown key with value 1; accepted: "
                "keys operations, servers",
            ),
            (
                {"limits": {"share": None}},
                "limits.share: value null is not accepted; accepted: "
                "number or string or boolean or object",
            ),
        ]
        for sections, expected in cases:
            with self.subTest(expected):
                self.assertIn(expected, self.problems(**sections))

    def test_known_section_is_still_checked_against_the_others(self):
        known = document(models=builders.models("a"))
        for name, content in (
            ("models/desk", builders.models("b", "a-1")),
            ("customers", {"c": {"share": 0}}),
            ("models", builders.models("a", max_tokens=0)),
        ):
            changed = known.replace(name, documents.Section(content, 2))
            with self.subTest(name):
                found = documents.check(changed, known=known)
                self.assertEqual(found, documents.check(changed))
                self.assertEqual(len(found), 1)

    def test_names_and_servers_are_unique_across_sections(self):
        found = self.problems(
            models=builders.models("a", "s1"),
            models__desk=builders.models("a", "s2"),
            services=builders.models("b", "s1"),
        )
        self.assertEqual(
            [text.partition(":")[0] for text in found],
            ["models/desk.a", "services.b.servers[0].id"],
        )

    def test_unresolved_references_are_problems(self):
        found = self.problems(
            models=builders.models("a"),
            engines={"a-2": {"model": "c"}},
        )
        self.assertEqual(
            [text.partition(":")[0] for text in found],
            ["engines.a-2", "engines.a-2.model"],
        )

    def test_merged_entries_have_defaults_that_the_schema_accepts(self):
        found = document(
            models=builders.models("a"),
            models__desk=builders.models("b"),
            customers={"c": {}},
            services={"s": {"servers": [builders.server("s1")]}},
            engines={"a-1": {"model": "a"}},
        )
        self.assertEqual(sorted(found.merged("models")), ["a", "b"])
        server = found.merged("models")["a"]["servers"][0]
        self.assertIs(server["draining"], False)
        customer = found.merged("customers")["c"]
        self.assertEqual(customer["default_budget"]["calls"], 200)
        kinds = ("models", "customers", "services", "engines")
        filled = {kind: found.merged(kind) for kind in kinds}
        self.assertEqual(self.problems(**filled), [])

    def test_section_of_an_unknown_kind_is_rejected(self):
        for name in ("model", "routing/desk", "models/", "models/../x"):
            with self.subTest(name):
                with self.assertRaises(errors.BalsamloomError) as caught:
                    documents.kind_of(name)
                self.assertEqual(
                    caught.exception.code, results.ResultCode.UNKNOWN_SECTION
                )
                self.assertIn("models/<team>", caught.exception.message)


class EncodingTest(unittest.TestCase):
    """Guards against merging two different documents."""

    def test_changes_turn_the_known_document_into_the_newer(self):
        old = document(models=builders.models("a"))
        new = old.replace("customers", documents.Section({}, 2))
        value = documents.encode(new, since=1)
        self.assertEqual(documents.decode(value, old), new)

    def test_changes_to_another_document_are_rejected(self):
        old = document(models=builders.models("a"))
        new = old.replace("customers", documents.Section({}, 2))
        other = document(models=builders.models("b"))
        with self.assertRaises(errors.BalsamloomError):
            documents.decode(documents.encode(new, since=1), other)

    def test_any_damaged_byte_is_detected(self):
        value = documents.encode(document(models=builders.models("a")))
        for position in range(len(value)):
            damaged = bytearray(value)
            damaged[position] ^= 1
            with self.assertRaises(errors.BalsamloomError):
                documents.decode(bytes(damaged), documents.EMPTY)
