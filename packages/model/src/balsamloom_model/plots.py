"""Line charts as SVG text."""

from __future__ import annotations

from typing import NamedTuple
from xml.sax import saxutils

WIDTH, HEIGHT = 640, 400
LEFT, RIGHT, TOP, BOTTOM = 70, 150, 30, 50
TICKS = 5
COLOURS = ("#1b6ca8", "#c8553d", "#3a7d44", "#7d5ba6", "#b8860b", "#555555")


class Line(NamedTuple):
    """Line of a chart; its points are sorted by x."""

    name: str
    points: tuple[tuple[float, float], ...]


class Chart(NamedTuple):
    """Line chart with its title and axis labels."""

    title: str
    x_name: str
    y_name: str
    lines: tuple[Line, ...]


class _Scale(NamedTuple):
    """Linear scale from values to pixel positions along an axis."""

    low: float
    high: float
    start: float
    end: float

    def position(self, value: float) -> float:
        share = (value - self.low) / (self.high - self.low)
        return self.start + share * (self.end - self.start)

    def ticks(self) -> list[float]:
        step = (self.high - self.low) / TICKS
        return [self.low + number * step for number in range(TICKS + 1)]


def render_svg(chart: Chart) -> str:
    """Return a chart as a complete SVG document."""
    points = [point for line in chart.lines for point in line.points]
    x_scale = _scale([x for x, _ in points], LEFT, WIDTH - RIGHT)
    y_scale = _scale([0.0, *(y for _, y in points)], HEIGHT - BOTTOM, TOP)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
        f'height="{HEIGHT}" font-family="sans-serif" font-size="12">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        _text(WIDTH / 2, 18, chart.title, "middle"),
        _text((LEFT + WIDTH - RIGHT) / 2, HEIGHT - 10, chart.x_name, "middle"),
        _text(8, TOP - 8, chart.y_name, "start"),
        *_axes(x_scale, y_scale),
    ]
    for number, line in enumerate(chart.lines):
        parts.extend(_draw_line(line, number, x_scale, y_scale))
    return "\n".join([*parts, "</svg>", ""])


def _scale(values: list[float], start: float, end: float) -> _Scale:
    low = min(values, default=0.0)
    high = max(values, default=1.0)
    return _Scale(low, high if high > low else low + 1.0, start, end)


def _axes(x_scale: _Scale, y_scale: _Scale) -> list[str]:
    parts = []
    for value in x_scale.ticks():
        x = x_scale.position(value)
        parts.append(
            f'<line x1="{x:.1f}" y1="{TOP}" x2="{x:.1f}" '
            f'y2="{HEIGHT - BOTTOM}" stroke="#dddddd"/>'
        )
        parts.append(_text(x, HEIGHT - BOTTOM + 16, f"{value:g}", "middle"))
    for value in y_scale.ticks():
        y = y_scale.position(value)
        parts.append(
            f'<line x1="{LEFT}" y1="{y:.1f}" x2="{WIDTH - RIGHT}" '
            f'y2="{y:.1f}" stroke="#dddddd"/>'
        )
        parts.append(_text(LEFT - 6, y + 4, f"{value:.4g}", "end"))
    return parts


def _draw_line(
    line: Line, number: int, x_scale: _Scale, y_scale: _Scale
) -> list[str]:
    colour = COLOURS[number % len(COLOURS)]
    path = " ".join(
        f"{x_scale.position(x):.1f},{y_scale.position(y):.1f}"
        for x, y in line.points
    )
    legend_y = TOP + 10 + 18 * number
    legend_x = WIDTH - RIGHT + 12
    return [
        f'<polyline points="{path}" fill="none" stroke="{colour}" '
        'stroke-width="2"/>',
        f'<rect x="{legend_x}" y="{legend_y - 9}" width="10" height="10" '
        f'fill="{colour}"/>',
        _text(legend_x + 16, legend_y, line.name, "start"),
    ]


def _text(x: float, y: float, text: str, anchor: str) -> str:
    return (
        f'<text x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}">'
        f"{saxutils.escape(text)}</text>"
    )
