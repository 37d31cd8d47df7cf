"""Measure slopes and regenerate the tables of docs/CAPACITY.md.

With ``--tables`` nothing is measured: the tables are regenerated from
``measurements/capacity.json``. With ``--work`` only the load runs are
repeated.
"""

from __future__ import annotations

import json
import platform
import sys
import time
from typing import Any

import capacity_fleet
import capacity_page
import capacity_process
import psutil


def _host_info() -> dict[str, Any]:
    return {
        "cores": psutil.cpu_count(),
        "memory": f"{psutil.virtual_memory().total / 2**30:.0f} GiB",
        "Python": platform.python_version(),
        "load average at the start": round(psutil.getloadavg()[0], 1),
    }


def measure() -> dict[str, Any]:
    """Run all measurements and return the content of the JSON file."""
    machine = _host_info()
    start_s = time.monotonic()
    slopes = capacity_process.measure()
    growth = capacity_fleet.measure_growth()
    slopes += capacity_fleet.growth_slopes(growth["stages"])
    work = capacity_fleet.measure_load()
    machine["duration"] = f"{time.monotonic() - start_s:.0f} s"
    return {
        "machine": machine,
        "slopes": [slope._asdict() for slope in slopes],
        "growth": growth,
        "work": work,
    }


def main() -> None:
    """Measure, write the JSON file and regenerate the page."""
    path = capacity_page.RESULTS
    if sys.argv[1:]:
        results = json.loads(path.read_text(encoding="utf-8"))
    else:
        results = measure()
    if sys.argv[1:] == ["--work"]:
        results["work"] = capacity_fleet.measure_load()
    text = json.dumps(results, indent=1) + "\n"
    path.write_text(text, encoding="utf-8")
    results = json.loads(text)
    capacity_page.rewrite_page(results)
    print(f"{capacity_page.PAGE.name}: tables rewritten")


if __name__ == "__main__":
    main()
