"""Run formatter, linter, type checker and tests, and print one total.

Each static check counts as one test, so a formatting error is a failure too.
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
TOTAL_LINE = re.compile(r"(\d+) passed, (\d+) failed")


def _checks() -> dict[str, list[str]]:
    packages = [str(path) for path in sorted(ROOT.glob("packages/*/src"))]
    packages.append(str(ROOT / "platform" / "src"))
    return {
        "formatter": [str(BIN / "ruff"), "format", "--check", *SOURCES],
        "linter": [str(BIN / "ruff"), "check", *SOURCES],
        "types": [str(BIN / "mypy"), *packages, "tools"],
    }


def main() -> int:
    """Run all checks and print ``N passed, N failed`` as the last line."""
    passed, failed = 0, 0
    for name, command in _checks().items():
        completed = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True
        )
        if completed.returncode == 0:
            passed += 1
            print(f"{name}: clean")
        else:
            failed += 1
            print(f"{name}: FAILED\n{completed.stdout}{completed.stderr}")
    tests = subprocess.run(
        [sys.executable, str(ROOT / "tools" / "run_tests.py")],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    *lines, last = tests.stdout.rstrip().splitlines() or [""]
    print("\n".join(lines))
    total = TOTAL_LINE.fullmatch(last)
    if total is None:
        print(last)
        failed += 1
    else:
        passed += int(total.group(1))
        failed += int(total.group(2))
    print(f"{passed} passed, {failed} failed", flush=True)
    return 1 if failed or tests.returncode else 0


if __name__ == "__main__":
    sys.exit(main())
