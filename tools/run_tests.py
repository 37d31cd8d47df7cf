"""Run all test suites and scenarios, and print one total.

Each suite runs in its own process, since their ``builders`` modules have the
same name. Files of suites that are not about a disk lie in memory, since a
disk that stalls delays each deletion and sync. Tests listed in
``KNOWN-RED.txt`` are skipped and printed.
"""

from __future__ import annotations

import concurrent.futures
import io
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
import unittest
from typing import NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "tests"))
import suite_files  # noqa: E402

# Tests with processes of earlier builds.
UPGRADES = ROOT / "platform" / "tests" / "upgrades"
# Tests with callers that ignore all limits; they run beside no other suite.
CALLERS = ROOT / "platform" / "tests" / "callers"
SUITE_TIMEOUT_S = 270
PARALLEL_SUITES = 4
# Processes among which the modules of a large suite are divided.
SHARDS = {"gateway": 2}


class Shard(NamedTuple):
    """Part of a suite: every ``total``-th module, from ``number`` on."""

    number: int
    total: int


WHOLE = Shard(0, 1)


class SuiteResult(NamedTuple):
    """Counts and output of one suite."""

    name: str
    passed: int
    failed: int
    output: str
    duration_s: float


def load_known_failures() -> set[str]:
    """Return the ids on the ``test:`` lines of ``KNOWN-RED.txt``."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix("test:").strip()
        for line in lines
        if line.startswith("test:")
    }


def suite_name(directory: pathlib.Path) -> str:
    """Return the name of the suite in a directory of tests.

    :param directory: ``tests`` of a package, the adapter or the root.
    """
    if directory.parent == ROOT:
        return "repository"
    if directory in (UPGRADES, CALLERS):
        return directory.name
    if directory.parent == ROOT / "platform":
        return "adapter"
    return directory.parent.name


def run_package(directory: pathlib.Path, shard: Shard = WHOLE) -> int:
    """Run one suite in this process and print JSON counts last.

    :param directory: ``tests`` directory of the suite.
    :param shard: part of the suite to run.
    :return: exit status, 1 if a test failed.
    """
    sys.path.insert(0, str(directory))
    known_failures = load_known_failures()
    package = suite_name(directory)
    suite = unittest.TestSuite()
    for test in _select(directory, shard):
        if f"{package}:{test.id()}" in known_failures:
            print(f"passed over (KNOWN-RED.txt): {package}:{test.id()}")
        else:
            suite.addTest(test)
    stream = io.StringIO()
    result = unittest.TextTestRunner(
        stream=stream, verbosity=1, buffer=True
    ).run(suite)
    failures = (
        result.failures
        + result.errors
        + [(test, "unexpected success") for test in result.unexpectedSuccesses]
    )
    print(stream.getvalue())
    failed = len(failures)
    print(json.dumps({"passed": result.testsRun - failed, "failed": failed}))
    return 1 if failed else 0


def _select(directory: pathlib.Path, shard: Shard) -> list[unittest.TestCase]:
    """Return the tests of the modules in a part of a suite."""
    tests = _flatten(unittest.defaultTestLoader.discover(str(directory)))
    # A module that cannot be imported is a test of the loader's.
    modules = sorted({test.id().partition(".")[0] for test in tests})
    chosen = set(modules[shard.number :: shard.total])
    return [test for test in tests if test.id().partition(".")[0] in chosen]


def _flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    tests: list[unittest.TestCase] = []
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            tests.extend(_flatten(item))
        else:
            tests.append(item)
    return tests


def _run_suite(
    name: str, command: list[str], directory: pathlib.Path | None
) -> SuiteResult:
    start_s = time.monotonic()
    try:
        completed = subprocess.run(
            command,
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=SUITE_TIMEOUT_S,
            env=suite_files.environment(name, directory),
        )
    except subprocess.TimeoutExpired:
        return SuiteResult(
            name, 0, 1, f"timed out after {SUITE_TIMEOUT_S} s", SUITE_TIMEOUT_S
        )
    output = completed.stdout + completed.stderr
    duration_s = time.monotonic() - start_s
    try:
        counts = json.loads(completed.stdout.strip().splitlines()[-1])
    except (ValueError, IndexError):
        return SuiteResult(name, 0, 1, output, duration_s)
    return SuiteResult(
        name, counts["passed"], counts["failed"], output, duration_s
    )


def _package_command(
    directory: pathlib.Path, shard: Shard = WHOLE
) -> list[str]:
    command = [sys.executable, __file__, "--package", str(directory)]
    return [*command, str(shard.number), str(shard.total)]


def _package_commands(directory: pathlib.Path) -> dict[str, list[str]]:
    """Return the command of each part of a suite."""
    name = suite_name(directory)
    count = SHARDS.get(name, 1)
    if count == 1:
        return {name: _package_command(directory)}
    return {
        f"{name} {number + 1} of {count}": _package_command(
            directory, Shard(number, count)
        )
        for number in range(count)
    }


def _suites() -> dict[str, list[str]]:
    """Return the command of each suite that may run beside others."""
    suites = {}
    directories = sorted(ROOT.glob("packages/*/tests"))
    directories += [ROOT / "platform" / "tests", UPGRADES, ROOT / "tests"]
    for directory in directories:
        if any(directory.glob("test_*.py")):
            suites.update(_package_commands(directory))
    if any((ROOT / "scenarios").glob("*.feature")):
        suites["scenarios"] = [sys.executable, __file__, "--scenarios"]
    return suites


def run_scenarios() -> int:
    """Run the Gherkin scenarios and print JSON counts last."""
    environment = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}
    command = [
        sys.executable,
        "-m",
        "behave",
        "--format",
        "json",
        "--no-summary",
        "scenarios",
    ]
    completed = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, env=environment
    )
    start = completed.stdout.find("[")
    try:
        features, _ = json.JSONDecoder().raw_decode(completed.stdout[start:])
    except ValueError:
        print(completed.stdout, completed.stderr)
        print(json.dumps({"passed": 0, "failed": 1}))
        return 1
    known_failures = load_known_failures()
    passed, failed = 0, 0
    for feature in features:
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            test_id = f"scenarios:{element['name']}"
            if test_id in known_failures:
                print(f"passed over (KNOWN-RED.txt): {test_id}")
            elif element.get("status") == "passed":
                passed += 1
            else:
                failed += 1
                print(f"FAILED {feature['name']}: {element['name']}")
                for step in element["steps"]:
                    result = step.get("result", {})
                    if result.get("status") not in ("passed", None):
                        print(
                            "  ",
                            step["keyword"],
                            step["name"],
                            f"{result['status']} after",
                            f"{result.get('duration', 0.0):.1f} s:",
                            result.get("error_message"),
                        )
    print(completed.stderr)
    print(json.dumps({"passed": passed, "failed": failed}))
    return 1 if failed else 0


def _run_suites(directory: pathlib.Path | None) -> list[SuiteResult]:
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_SUITES) as executor:
        results = list(
            executor.map(
                lambda suite: _run_suite(suite[0], suite[1], directory),
                _suites().items(),
            )
        )
    callers = suite_name(CALLERS)
    results.append(_run_suite(callers, _package_command(CALLERS), directory))
    return results


def main() -> int:
    """Run all suites, a few at a time, and print the total last."""
    memory = suite_files.find_memory_directory()
    with tempfile.TemporaryDirectory(dir=memory) as name:
        results = _run_suites(pathlib.Path(name) if memory else None)
    for result in results:
        if result.failed or "passed over" in result.output:
            print(f"--- {result.name}\n{result.output}")
    for result in results:
        counts = f"{result.passed} passed, {result.failed} failed"
        print(f"suite {result.name} in {result.duration_s:.1f} s: {counts}")
    passed = sum(result.passed for result in results)
    failed = sum(result.failed for result in results)
    if passed == 0:
        failed = max(failed, 1)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    if sys.argv[1:2] == ["--package"]:
        part = Shard(*map(int, sys.argv[3:5])) if sys.argv[4:] else WHOLE
        sys.exit(run_package(pathlib.Path(sys.argv[2]).resolve(), part))
    if sys.argv[1:2] == ["--scenarios"]:
        sys.exit(run_scenarios())
    sys.exit(main())
