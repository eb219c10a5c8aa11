"""Plot the credit that callers lost in each second."""

from datetime import datetime

import matplotlib
from matplotlib.figure import Figure

from geraniumlead_client.loss_report import LossReport

matplotlib.use("Agg")

SIZE_INCHES = (10.0, 4.0)


def draw_losses(report: LossReport, path: str) -> None:
    """Write a PNG that shows the requests and the lost credit of each second."""
    rows = sorted(report.seconds.values(), key=lambda row: row.name)
    start = datetime.fromisoformat(rows[0].name)
    seconds = [(datetime.fromisoformat(row.name) - start).total_seconds() for row in rows]
    figure = Figure(figsize=SIZE_INCHES, layout="constrained")
    axes = figure.add_subplot()
    axes.bar(seconds, [row.asked for row in rows], color="0.8", label="requests")
    axes.bar(seconds, [row.lost for row in rows], color="tab:red", label="credit lost")
    axes.set_xlabel(f"seconds after {rows[0].name}")
    axes.set_ylabel("requests a second")
    axes.legend()
    figure.savefig(path, format="png")
