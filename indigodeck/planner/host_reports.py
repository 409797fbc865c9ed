"""Load reports of hosts, in the format of ORCA.

ORCA is Open Request Cost Aggregation, the load report standard of Envoy and gRPC.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

from ..clock import MILLISECOND

CLASS_RATE_PREFIX = "rps."  # prefix of the named metrics that hold request rates by class
MAX_VALUE = 1e9


class HostReport(NamedTuple):
    """The load that a host reports.

    `cores_busy` is CPU utilization as a fraction, `work_time` the time per request in microseconds.
    `completed` (None if not reported), `failed` and `completed_by_class` are requests per second.
    """

    cores_busy: float
    in_flight: float
    work_time: int
    completed: float | None = None
    failed: float = 0.0
    completed_by_class: Mapping[Any, float] = {}

    def load(self) -> dict[str, float]:
        """Return the columns that are passed to the assigner with a load report."""
        return {
            "cores_busy": self.cores_busy,
            "in_flight": self.in_flight,
            "work_time": self.work_time,
        }


def read_host_report(fields: Mapping[str, Any], named_metrics: Mapping[str, Any]) -> HostReport:
    """Parse the fields of an ORCA load report and its named metrics.

    Raises
    ------
    ValueError
        If a value is not a number, or out of range. TypeError, AttributeError or OverflowError is
        raised if a field has the wrong type.
    """
    by_class = {
        name.removeprefix(CLASS_RATE_PREFIX): float(value)
        for name, value in named_metrics.items()
        if name.startswith(CLASS_RATE_PREFIX)
    }
    failed = float(fields.get("eps", 0.0))
    reported_rate = fields.get("rps_fractional")
    rate = 0.0 if reported_rate is None else float(reported_rate)
    cores_busy = float(fields.get("cpu_utilization", 0.0))
    in_flight = float(named_metrics.get("inflight", 0.0))
    latency_ms = float(named_metrics.get("latency_ms", 0.0))
    values = (cores_busy, in_flight, latency_ms, failed, rate, *by_class.values())
    if not all(0 <= value < MAX_VALUE for value in values):
        raise ValueError(f"load report value out of range 0 to {MAX_VALUE:g}")
    return HostReport(
        cores_busy=cores_busy,
        in_flight=in_flight,
        work_time=round(latency_ms * MILLISECOND),
        completed=None if reported_rate is None else max(0.0, rate - failed),
        failed=failed,
        completed_by_class=by_class,
    )
