"""Quantiles, the table of measures and text histograms."""

import math

# Upper bounds in ms of the rows of a histogram.
BOUNDS = (5, 10, 20, 35, 50, 75, 100, 150, 200, 300, 500, 1000, 2000, math.inf)
BAR = 24


def quantile(values, share):
    """Returns the smallest value that at least share of values do not exceed;
    NaN without values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


class Table:
    """Rows of measure, target, figure and baseline."""

    def __init__(self):
        self.rows = []
        self.missed = []

    def add(self, measure, target, figure, baseline="-", met=None):
        """met: whether the target is met; None if there is no target."""
        verdict = {None: "", True: "met", False: "MISSED"}[met]
        self.rows.append((measure, target, str(figure), str(baseline), verdict))
        if met is False:
            self.missed.append(measure)

    def text(self):
        head = ("measure", "target", "figure", "baseline in this run", "")
        rows = [head] + self.rows
        widths = [max(len(row[i]) for row in rows) for i in range(len(head))]
        lines = ["  ".join(cell.ljust(width) for cell, width in zip(row, widths)).rstrip()
                 for row in rows]
        lines.insert(1, "  ".join("-" * width for width in widths))
        return "\n".join(lines)


def histogram(title, phases):
    """Returns a text histogram; phases maps a name to times in ms."""
    lines = [title]
    counts = {}
    for name, values in phases.items():
        rows = [0] * len(BOUNDS)
        for value in values:
            rows[next(i for i, bound in enumerate(BOUNDS) if value <= bound)] += 1
        counts[name] = rows
    used = [i for i in range(len(BOUNDS)) if any(rows[i] for rows in counts.values())]
    lines.append(" " * 10 + "".join(
        f"{name} (n={len(phases[name])})".ljust(BAR + 10) for name in phases))
    for i in range(min(used, default=0), max(used, default=-1) + 1):
        bound = "more" if math.isinf(BOUNDS[i]) else f"<={BOUNDS[i]} ms"
        line = bound.rjust(9) + " "
        for name, rows in counts.items():
            share = rows[i] / max(1, len(phases[name]))
            bar = "#" * math.ceil(share * BAR)
            line += f"{bar:<{BAR}} {100 * share:5.1f}%   "
        lines.append(line.rstrip())
    return "\n".join(lines)
