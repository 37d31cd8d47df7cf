"""Wrong usage and dead services, as a person at a terminal meets them."""

import json
import pathlib
import re
import socket
import subprocess
import sys
import tempfile
import unittest

import click
from click import testing

from balsamloom_cli import caller, operator
from balsamloom_core import events, metric_names
from balsamloom_entry import main as entry
from balsamloom_standins import main as standins

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "OPERATIONS.md"
# Nothing listens on this port.
DEAD = "127.0.0.1:1"
ENTRY = pathlib.Path(sys.executable).with_name("balsamloom-entry")
START_TIMEOUT_S = 30.0
COMMANDS = {
    "balsamloom": operator.main,
    "balsamloom-call": caller.main,
    "balsamloom-entry": entry.main,
    "balsamloom-standin": standins.main,
}
# Each command line with three texts that its error message must contain: the
# option, the bad value and what is accepted.
WRONG_USAGE = [
    ("balsamloom --store desk members", "--store", "desk", "host:port"),
    ("balsamloom --store a:99999 members", "--store", "99999", "host:port"),
    ("balsamloom --output yaml members", "--output", "yaml", "json"),
    ("balsamloom dump desk", "ADDRESS", "desk", "host:port"),
    ("balsamloom dump 127.0.0.1:x", "ADDRESS", "127.0.0.1:x", "host:port"),
    ("balsamloom config status --member a", "--member", "a", "host:port"),
    ("balsamloom config apply none.json", "FILE", "none.json", "JSON file"),
    ("balsamloom config undo x", "REVISION", "x", "integer"),
    ("balsamloom-call --address desk address", "--address", "desk", "host"),
    ("balsamloom-call start", "--customer", "''", "name of a customer"),
    (
        "balsamloom-call --customer a start --budget x",
        "--budget",
        "x",
        "JSON object",
    ),
    ("balsamloom-entry --settings none.json", "none.json", "accepted"),
    ("balsamloom-standin store --address desk", "--address", "desk", "host"),
    ("balsamloom-standin engine --slots 0", "--slots", "0", "x>=1"),
    ("balsamloom-standin engine --token-ms 0", "--token-ms", "0", "x>0"),
    ("balsamloom-standin tools --duration-ms -5", "--duration-ms", "-5.0"),
    ("balsamloom-standin load --entry desk", "--entry", "desk", "host:port"),
    ("balsamloom-standin load --entry a:1 --rate x", "--rate", "x", "5x10"),
    ("balsamloom-standin load --entry a:1 --rate=-1x1", "--rate", "-1x1"),
    ("balsamloom-standin load --entry a:1 --rate=infx1", "--rate", "infx1"),
]
DEAD_SERVICES = [
    f"balsamloom --store {DEAD} config get",
    f"balsamloom --store {DEAD} config history",
    f"balsamloom --store {DEAD} config undo 1",
    f"balsamloom --store {DEAD} config status",
    f"balsamloom --store {DEAD} members",
    f"balsamloom dump {DEAD}",
    f"balsamloom-call --address {DEAD} --timeout-ms 200 address",
    f"balsamloom-call --address {DEAD} --timeout-ms 200 show p001-0",
    f"balsamloom-call --address {DEAD} --timeout-ms 200 --customer a start",
]


def run(line):
    """Run a command line in this process."""
    name, *arguments = line.split()
    runner = testing.CliRunner()
    return runner.invoke(COMMANDS[name], arguments)


def leaves(command, path):
    """Yield every command below a group with its path."""
    yield path, command
    for name, part in getattr(command, "commands", {}).items():
        yield from leaves(part, f"{path} {name}")


class UsageTest(unittest.TestCase):
    """Guards against messages that leave a person without a next step."""

    def test_wrong_usage_names_option_value_and_what_is_accepted(self):
        for line, *texts in WRONG_USAGE:
            with self.subTest(line):
                done = run(line)
                self.assertEqual(done.exit_code, 2, done.output)
                for text in texts:
                    self.assertIn(text, done.output)

    def test_dead_service_is_reported_without_a_traceback(self):
        for line in DEAD_SERVICES:
            with self.subTest(line):
                done = run(line)
                self.assertEqual(done.exit_code, 1, done.output)
                self.assertIsInstance(done.exception, SystemExit)
                self.assertIn("Connection refused", done.output)
                self.assertNotIn("HTTPConnection", done.output)

    def test_logs_and_data_folders_are_read_by_the_same_command(self):
        with tempfile.TemporaryDirectory() as directory:
            log = pathlib.Path(directory) / "edge.log"
            fields = {
                "asctime": "2026-12-04 10:00:00,000",
                "name_of_event": "request_ended",
                "request_id": "r1",
                "status": 200,
            }
            log.write_text(json.dumps(fields) + "\n", encoding="utf-8")
            for line, status, text in (
                (f"balsamloom explain r1 {log}", 0, "request_ended"),
                (
                    f"balsamloom explain r2 {log}",
                    1,
                    "no line names request r2",
                ),
                (f"balsamloom audit {log}", 0, ""),
                (f"balsamloom data check {directory}", 2, "DIRECTORY"),
            ):
                with self.subTest(line):
                    done = run(line)
                    self.assertEqual(done.exit_code, status, done.output)
                    self.assertIn(text, done.output)

    def test_address_that_cannot_be_listened_on_is_named(self):
        settings = {
            "name": "a",
            # An address for documentation, which no host has.
            "http_address": "192.0.2.1:8080",
            "failure_domain": "a",
            "store_address": DEAD,
        }
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(settings, file)
            file.flush()
            done = run(f"balsamloom-entry --settings {file.name}")
        self.assertEqual(done.exit_code, 1, done.output)
        self.assertIsInstance(done.exception, SystemExit)
        self.assertIn("http_address '192.0.2.1:8080'", done.output)

    def test_busy_port_ends_the_process(self):
        # The threads of a server that had already started kept the process
        # alive after another server failed to start.
        taken = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(taken.close)
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        for field in ("http_address", "peer_address"):
            with self.subTest(field):
                settings = {
                    "name": "a",
                    "http_address": "127.0.0.1:0",
                    "failure_domain": "a",
                    "store_address": DEAD,
                    field: address,
                }
                with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
                    json.dump(settings, file)
                    file.flush()
                    command = [ENTRY, "--settings", file.name]
                    done = subprocess.run(
                        command,
                        capture_output=True,
                        text=True,
                        timeout=START_TIMEOUT_S,
                        check=False,
                    )
                self.assertEqual(done.returncode, 1, done.stderr)
                self.assertIn(f"{field} '{address}'", done.stderr)

    def test_help_shows_the_default_of_every_option(self):
        for name, main in COMMANDS.items():
            for path, command in leaves(main, name):
                for option in command.params:
                    is_option = isinstance(option, click.Option)
                    # The settings file and --version have no default.
                    if (
                        is_option
                        and not option.is_eager
                        and not option.required
                    ):
                        self.assertTrue(
                            option.show_default, f"{path} {option.name}"
                        )

    def test_names_on_the_operations_page_exist(self):
        text = PAGE.read_text(encoding="utf-8")
        known = {
            f"{metric_names.PREFIX}.{metric.name}"
            for metric in metric_names.ALL
        }
        used = set(re.findall(r"`(balsamloom(?:\.[a-z_]+)+)", text))
        self.assertGreater(len(used), 5)
        self.assertEqual(used - known, set())
        numbers = re.findall(
            r"events? (\d{4})(?:(?:,| and|,? then) (\d{4}))*", text.lower()
        )
        mentioned = {int(part) for found in numbers for part in found if part}
        self.assertGreater(len(mentioned), 8)
        self.assertEqual(mentioned - {int(e) for e in events.Event}, set())


if __name__ == "__main__":
    unittest.main()
