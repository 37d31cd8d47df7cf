"""Generate the tables of docs/CAPACITY.md from measurements/capacity.json."""

from __future__ import annotations

import pathlib
import re
from typing import Any

import capacity_fit
import capacity_sizes as sizes

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
RESULTS = ROOT / "measurements" / "capacity.json"
Cells = list[list[str]]
_TABLE_BLOCK = r"(<!-- table: {name} -->\n).*?(<!-- end -->)"


def tables(results: dict[str, Any]) -> dict[str, str]:
    """Return the Markdown of each table by its name.

    :param results: content of ``measurements/capacity.json``.
    """
    slopes = [
        capacity_fit.from_json(document) for document in results["slopes"]
    ]
    by_name = {slope.name: slope for slope in slopes}
    return {
        "machine": _markdown(
            ["quantity", "value"],
            [[name, str(value)] for name, value in results["machine"].items()],
        ),
        "sizes": _markdown(
            ["quantity", "figure"], [list(row) for row in sizes.SIZES]
        ),
        "slopes": _markdown(
            ["slope", "against", "unit", "points", "fit", "residual"],
            [_slope_cells(slope) for slope in slopes],
        ),
        "stages": _markdown(
            ["quantity"]
            + [
                f"{stage['processes']} processes"
                for stage in results["growth"]["stages"]
            ],
            _stage_cells(results["growth"]["stages"]),
        ),
        "loss": _markdown(
            ["quantity", "value"],
            [
                [name, _format(value)]
                for name, value in results["growth"]["loss"].items()
            ],
        ),
        "node": _node_table(by_name),
        "store": _store_table(by_name),
        "roles": _markdown(
            ["role", "state", "messages", "processor time", "memory"],
            sizes.role_rows(by_name, results["work"]),
        ),
        "budget": _load_table(results["work"]),
    }


def rewrite_page(results: dict[str, Any]) -> None:
    """Replace the tables in the page.

    :param results: content of ``measurements/capacity.json``.
    :raises ValueError: if the page lacks a table or has it twice.
    """
    text = PAGE.read_text(encoding="utf-8")
    for name, table in tables(results).items():
        pattern = re.compile(_TABLE_BLOCK.format(name=name), re.DOTALL)
        matches = pattern.findall(text)
        if len(matches) != 1:
            raise ValueError(
                f"{PAGE.name}: expected one block for table {name!r}, "
                f"found {len(matches)}"
            )
        begin, end = matches[0]
        text = pattern.sub((begin + table + end).replace("\\", "\\\\"), text)
    PAGE.write_text(text, encoding="utf-8")


def _markdown(heading: list[str], rows: Cells) -> str:
    lines = [heading, ["---"] * len(heading), *rows]
    return "".join(f"| {' | '.join(cells)} |\n" for cells in lines)


def _format(value: float) -> str:
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _slope_cells(slope: capacity_fit.Slope) -> list[str]:
    points = "; ".join(f"{_format(x)}: {_format(y)}" for x, y in slope.points)
    sign = "-" if slope.start < 0 else "+"
    line = f"{_format(slope.slope)} x {sign} {_format(abs(slope.start))}"
    return [
        f"`{slope.name}`",
        slope.x,
        slope.y,
        points,
        line,
        f"{100 * slope.residual:.1f}%",
    ]


def _stage_cells(stages: list[dict[str, Any]]) -> Cells:
    return [
        [f"{part}: {key}"] + [_format(stage[part][key]) for stage in stages]
        for part in ("idle", "join", "edit", "lookup")
        for key in stages[0][part]
    ]


def _node_table(slopes: sizes.Slopes) -> str:
    loads = sizes.node_loads(slopes)
    rows = [
        [
            load.name,
            load.mechanism,
            f"{load.cpu_percent:.2f}",
            f"{load.traffic_kb_per_s:.2f}",
            f"{load.memory_mb:.1f}",
            load.change,
            f"{load.cpu_percent_after:.2f}",
            f"{load.traffic_kb_per_s_after:.2f}",
            f"{load.memory_mb_after:.1f}",
        ]
        for load in loads
    ]
    rows.append(
        [
            "**sum**",
            "",
            f"{sum(load.cpu_percent for load in loads):.2f}",
            f"{sum(load.traffic_kb_per_s for load in loads):.2f}",
            f"{sum(load.memory_mb for load in loads):.1f}",
            "",
            f"{sum(load.cpu_percent_after for load in loads):.2f}",
            f"{sum(load.traffic_kb_per_s_after for load in loads):.2f}",
            f"{sum(load.memory_mb_after for load in loads):.1f}",
        ]
    )
    limits = [
        f"{sizes.MAX_CPU_PERCENT}",
        f"{sizes.MAX_TRAFFIC_KB_PER_S:.0f}",
        f"{sizes.MAX_MEMORY_MB:.0f}",
    ]
    rows.append(["**limit**", "", *limits, "", *limits])
    heading = ["term", "mechanism", "CPU %", "KB/s", "MB", "change"]
    return _markdown([*heading, "CPU % after", "KB/s after", "MB after"], rows)


def _store_table(slopes: sizes.Slopes) -> str:
    loads = sizes.store_loads(slopes)
    rows = [
        [
            row.name,
            f"{row.writes:.1f}",
            f"{row.reads:.1f}",
            row.change,
            f"{row.writes_after:.1f}",
            f"{row.reads_after:.1f}",
        ]
        for row in loads
    ]
    rows.append(
        [
            "**sum**",
            f"{sum(row.writes for row in loads):.1f}",
            f"{sum(row.reads for row in loads):.1f}",
            "",
            f"{sum(row.writes_after for row in loads):.1f}",
            f"{sum(row.reads_after for row in loads):.1f}",
        ]
    )
    limits = [
        f"{sizes.MAX_STORE_WRITES_PER_S:.0f}",
        f"{sizes.MAX_STORE_READS_PER_S:.0f}",
    ]
    rows.append(["**limit**", *limits, "", *limits])
    return _markdown(
        ["term", "writes/s", "reads/s", "change", "writes/s after"]
        + ["reads/s after"],
        rows,
    )


def _load_table(work: dict[str, Any]) -> str:
    cases = [
        (f"{kind}, {level}", case)
        for kind in ("grouped", "ungrouped")
        for level, case in work[kind].items()
    ]
    rows = [
        [
            key.replace("_", " "),
            *(_format(case[key]) for _, case in cases),
        ]
        for key, value in cases[0][1].items()
        if not isinstance(value, dict)
    ]
    for kind in ("writes", "reads", "watches"):
        for stat in ("mean", "max"):
            rows.append(
                [f"store {kind} a second, {stat}"]
                + [_format(case["store"][kind][stat]) for _, case in cases]
            )
    rows.append(
        ["outcomes"]
        + [
            ", ".join(
                f"{name} {count}"
                for name, count in sorted(case["outcomes"].items())
            )
            for _, case in cases
        ]
    )
    return _markdown(["quantity", *(name for name, _ in cases)], rows)
