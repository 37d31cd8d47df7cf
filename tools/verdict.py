"""Run formatter, linter, types and tests, and end with one count.

Each check counts as one test, so that a formatting fault fails the verdict
too.
"""

from __future__ import annotations

import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(sys.executable).parent
SOURCES = [
    name
    for name in ("packages", "platform", "tools", "tests", "scenarios")
    if (ROOT / name).is_dir()
]
COUNT_LINE = re.compile(r"(\d+) passed, (\d+) failed")


def _checks() -> dict[str, list[str]]:
    packages = [str(path) for path in sorted(ROOT.glob("packages/*/src"))]
    packages.append(str(ROOT / "platform" / "src"))
    return {
        "formatter": [str(BIN / "ruff"), "format", "--check", *SOURCES],
        "linter": [str(BIN / "ruff"), "check", *SOURCES],
        "types": [str(BIN / "mypy"), *packages, "tools"],
    }


def main() -> int:
    """Run everything and print ``N passed, N failed`` last."""
    passed, failed = 0, 0
    for name, command in _checks().items():
        done = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True
        )
        if done.returncode == 0:
            passed += 1
            print(f"{name}: clean")
        else:
            failed += 1
            print(f"{name}: FAILED\n{done.stdout}{done.stderr}")
    tests = subprocess.run(
        [sys.executable, str(ROOT / "tools" / "run_tests.py")],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    *lines, last = tests.stdout.rstrip().splitlines() or [""]
    print("\n".join(lines))
    count = COUNT_LINE.fullmatch(last)
    if count is None:
        print(last)
        failed += 1
    else:
        passed += int(count.group(1))
        failed += int(count.group(2))
    print(f"{passed} passed, {failed} failed", flush=True)
    return 1 if failed or tests.returncode else 0


if __name__ == "__main__":
    sys.exit(main())
