"""Tests of the commands' results, messages and exit statuses."""

import json
import tempfile
import unittest

import builders

from balsamloom_cli import caller, operator, status
from balsamloom_core import clock as clocks
from balsamloom_core import results
from balsamloom_platform import etcd_gateway
from balsamloom_standins import fleet
from balsamloom_state import partitions


class OperatorTest(unittest.TestCase):
    """Guards against edits lost between operators and silent failures."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = fleet.Fleet()
        cls.addClassCleanup(cls.fleet.stop)

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.store = self.fleet.standin("store")
        self.addCleanup(self.store.stop)
        self.asha, self.ben = (
            builders.OperatorSession(directory.name, self.store.address, name)
            for name in ("asha", "ben")
        )

    def apply(self, session, revision, content, *options):
        file = session.file("models", revision, content)
        return session.run("config", "apply", file, *options)

    def test_conflict_shows_both_sides_and_writes_nothing(self):
        self.apply(self.asha, 0, builders.models())
        theirs = self.apply(self.ben, 1, builders.models(max_tokens=10))
        self.assertEqual(theirs.exit_code, 0, theirs.output)
        yours = self.apply(self.asha, 1, builders.models(max_tokens=20))
        self.assertEqual(yours.exit_code, 1)
        for text in (
            "theirs (ben), against the base:",
            "m.max_tokens: (none) -> 10",
            "yours (asha), against the base:",
            "m.max_tokens: (none) -> 20",
            "configuration_conflict (6000)",
        ):
            self.assertIn(text, yours.output)
        shown = json.loads(self.asha.run("config", "get", "models").output)
        self.assertEqual(shown["revision"], 2)
        self.assertEqual(shown["content"]["m"]["max_tokens"], 10)

    def test_printed_section_is_a_file_for_apply(self):
        self.apply(self.asha, 0, builders.models(), "--comment", "first")
        shown = json.loads(self.asha.run("config", "get", "models").output)
        shown["content"]["m"]["max_tokens"] = 7
        file = self.asha.file("models", shown["revision"], shown["content"])
        diff = self.asha.run("config", "diff", file)
        self.assertEqual(diff.output, "  m.max_tokens: (none) -> 7\n")
        applied = self.asha.run("config", "apply", file)
        self.assertEqual(applied.output, "applied as 2\n")
        undone = self.asha.run("config", "undo", "2")
        self.assertEqual(undone.output, "applied as 3\n")
        history = self.asha.run("--output", "json", "config", "history")
        self.assertEqual(
            [change["comment"] for change in json.loads(history.output)],
            ["undo of revision 2", "", "first"],
        )

    def test_same_edit_id_is_applied_once(self):
        for _ in range(2):
            result = self.apply(
                self.asha, 0, builders.models(), "--edit-id", "e1"
            )
            self.assertEqual(result.output, "applied as 1\n")

    def test_invalid_file_is_reported_with_path_and_status(self):
        result = self.apply(self.asha, 0, builders.models(max_tokens=-1))
        self.assertEqual(result.exit_code, 1)
        self.assertIn("models.m.max_tokens: value -1 is not", result.output)

    def test_status_waits_for_members_that_are_behind(self):
        entry = builders.ScriptedEntry(
            *(
                builders.ok({"member_id": "e1", "configuration_revision": n})
                for n in (1, 2, 2)
            )
        )
        self.addCleanup(entry.stop)
        member = partitions.Member("e1", entry.address, "", "a")
        partitions.update(
            etcd_gateway.EtcdGateway(self.store.address),
            lambda current: current._replace(members={"e1": member}),
        )
        result = self.asha.run("config", "status", "--wait", "2")
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertEqual(len(entry.received), 2)
        entry.replies = [builders.ok({"member_id": "e2"})] * 20
        late = self.asha.run(
            "config", "status", "--wait", "3", "--timeout-ms", "300"
        )
        self.assertEqual(late.exit_code, 1)
        self.assertIn("another member answers here: e2", late.output)
        self.assertIn("revision 3 is not in force after 300 ms", late.output)

    def test_wait_without_any_live_member_fails(self):
        result = self.asha.run(
            "config", "status", "--wait", "1", "--timeout-ms", "1"
        )
        self.assertEqual(result.exit_code, 1)

    def test_unreachable_member_is_shown_as_unknown(self):
        reader = status.StatusReader(clocks.Clock())
        member = partitions.Member("e1", "127.0.0.1:1", "", "a")
        (member_status,) = reader.read([member])
        self.assertIsNone(member_status.configuration_revision)
        self.assertIn("Connection refused", member_status.problem)


class ExitStatusTest(unittest.TestCase):
    """Guards against tracebacks and failures with exit status 0."""

    def test_usage_error_names_option_value_and_accepted_values(self):
        operate, call = operator.main, caller.main
        cases = [
            (operate, "config get modelz", "'modelz'; accepted: models,"),
            (operate, "config history --limit 0", "'--limit': 0 is not in"),
            (operate, "config apply /none", "'/none': No such file"),
            (operate, "config apply /none", "FILE: "),
            (operate, "config apply /none", "accepted: a JSON file"),
            (operate, "dump x", "'ADDRESS': 'x'; accepted: host:port"),
            (call, "--address x show p", "'--address': 'x'; accepted: host"),
            (call, "tool p s o --body []", "--body: '[]'; accepted: a JSON"),
            (call, "start", "--customer: '' is not accepted; accepted: the"),
        ]
        for command, arguments, text in cases:
            with self.subTest(arguments):
                result = builders.run(command, *arguments.split())
                self.assertEqual(result.exit_code, 2, result.output)
                self.assertIn(text, result.output)

    def test_failure_has_status_1_and_no_traceback(self):
        operate, call = operator.main, caller.main
        for command, arguments in (
            (operate, "--store 127.0.0.1:1 config get"),
            (operate, "dump 127.0.0.1:1"),
            (operate, "settings check /none"),
            (call, "--address 127.0.0.1:1 --timeout-ms 50 show p"),
        ):
            with self.subTest(arguments):
                result = builders.run(command, *arguments.split())
                self.assertEqual(result.exit_code, 1, result.output)
                self.assertTrue(result.output.startswith("Error: "))
                self.assertNotIn("Traceback", result.output)

    def test_call_that_may_have_run_names_the_key_to_repeat(self):
        code = results.ResultCode.OUTCOME_UNKNOWN
        entry = builders.ScriptedEntry(builders.refusal(code))
        self.addCleanup(entry.stop)
        arguments = ("--address", entry.address, "tool", "p", "s", "o")
        result = builders.run(caller.main, *arguments)
        self.assertEqual(result.exit_code, 1)
        self.assertIn(f"(--key {entry.keys()[0]})", result.output)

    def test_defaults_come_from_the_settings_file(self):
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write('{"store": "127.0.0.1:2", "output": "xml"}')
            file.flush()
            result = builders.run(
                operator.main, "--settings", file.name, "members"
            )
            self.assertEqual(result.exit_code, 2)
            self.assertIn('output: value "xml"', result.output)
            file.seek(0)
            file.truncate()
            file.write('{"store": "127.0.0.1:2"}')
            file.flush()
            result = builders.run(
                operator.main, "--settings", file.name, "members"
            )
            self.assertIn("127.0.0.1:2", result.output)
