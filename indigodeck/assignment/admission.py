"""Admission levels: which share of each class's requests is admitted, and when proxies may retry.

`AdmissionLevels` keeps one `AdmissionController` for the whole fleet and one for each zone with
zone-bound classes, and derives the admission level of each class from them.
"""

from collections.abc import Mapping
from statistics import median

from ..settings import AdmissionMode
from .admission_controller import CUT_LATENCY_RATIO, AdmissionController, LoadMeasurement
from .interface import RetryPolicy, Server
from .load_reports import LatencySample, ReportSummary, weighted_quantile
from .slow_start import warm_up_factor
from .state import AssignerState
from .tables import Table

# Retries after any failure would double the work and could execute a request twice, so a proxy
# retries only when the first attempt is proven not to have been executed.
RETRY_POLICY = RetryPolicy.ONCE_IF_NOT_EXECUTED

NO_ANSWER_LATENCY_RATIO = 2.0  # assumed when no request completes: the deepest overload
# If at least two in five samples have a high latency it is an overload, not a few outliers.
OVERLOAD_QUANTILE = 0.6
# Latency of a zone over that of the fleet, above which the zone is cut although the fleet is too.
ZONE_CUT_RATIO = 1.5
MAX_REFUSED_CLASS_SHARE = 0.95
UNLIMITED_RATE = 1e6  # requests per second for each proxy
MIN_RATE = 0.1  # requests per second for each proxy


class AdmissionLevels:
    """The admission levels of all classes.

    Attributes
    ----------
    controllers
        The controllers by zone; the one for the whole fleet is under None.
    class_levels
        The share of each class's requests that the controller of the fleet admits.
    demand_shares
        The share of each class in the demand, measured while everything was admitted.
    """

    def __init__(self, state: AssignerState) -> None:
        self.state = state
        self.fleet = AdmissionController()
        self.controllers: dict[int | None, AdmissionController] = {None: self.fleet}
        for table in state.tables:
            zone = table.zone if table.zone_bound else None
            self.controllers.setdefault(zone, AdmissionController())
        class_order = state.class_order
        self.class_levels = dict.fromkeys(class_order, 1.0)
        self.demand_shares = dict.fromkeys(class_order, 1 / len(class_order))

    def level(self, table: Table) -> float:
        """Return the share of a table's demand that is admitted."""
        level = self.class_levels[table.class_index]
        if table.zone_bound:
            return level * self.controllers[table.zone].admitted_share
        return level

    def admitted_rate(self, table: Table, rates: Mapping[int, float]) -> float:
        """Return the admitted requests per second of a table; `rates` is demand by table number."""
        return self.level(table) * rates[table.number]

    def proxy_level(self, table: Table, level: float) -> float:
        """Convert a level to what the proxies expect: a share, or a request rate for each proxy."""
        if self.state.settings.admission_mode != AdmissionMode.RATE:
            return level
        rates = self.state.proxies.table_rates(self.state.host.now())
        rate = self.admitted_rate(table, rates) * level / self.level(table)
        return UNLIMITED_RATE if level >= 1 else max(MIN_RATE, rate / max(1, len(table.proxies)))

    def record_demand(self, rates: Mapping[int, float]) -> None:
        """Update the demand shares from rates by table number.

        Rates are ignored while admission is cut, because they include retries then.
        """
        total = sum(rates.values())
        if self.fleet.admitted_share != 1 or not total:
            return
        self.demand_shares = {
            class_index: sum(
                rates[table.number]
                for table in self.state.tables
                if table.class_index == class_index
            )
            / total
            for class_index in self.state.class_order
        }

    def update(self, summary: ReportSummary) -> None:
        """Update all controllers from the reports of one evaluation."""
        for zone, controller in self.controllers.items():
            self._update_controller(zone, controller, summary)

    def _update_controller(
        self, zone: int | None, controller: AdmissionController, summary: ReportSummary
    ) -> None:
        ready = self.state.ready_servers(zone)
        failure_shares = [
            share for index, share in summary.failure_shares.items() if index in ready
        ]
        attempt_rate, completion_rate = self._request_rates(ready)
        weight = sum(
            server.weight * warm_up_factor(self.state, server) for server in ready.values()
        )
        # Without joined proxies this planner admits nothing. Cutting its levels because of load
        # from the proxies of other planners would refuse requests of proxies that join later.
        if not (weight and attempt_rate and failure_shares and self.state.proxies.joined()):
            return
        samples = [sample for sample in summary.samples if sample.server in ready]
        current = self._samples_after_last_change(controller, samples)
        enough_current = 2 * len(current) >= len(samples)
        latency_ratio = NO_ANSWER_LATENCY_RATIO
        if samples:
            considered = current if enough_current else samples
            latency_ratio = (
                weighted_quantile(OVERLOAD_QUANTILE, considered) / summary.latency_objective
            )
        may_cut = (enough_current or controller.admitted_share == 1) and (
            zone is None
            or 2 * len(failure_shares) >= len(ready)
            and self._may_cut_zone(latency_ratio, summary.latency_ratio)
        )
        lowest = min(other.lowest_latency_ratio for other in self.controllers.values())
        measured = LoadMeasurement(
            latency_ratio, median(failure_shares), attempt_rate, completion_rate, weight
        )
        now = self.state.host.now()
        if controller.update(now, self.state.feedback_delay(), measured, lowest, may_cut):
            self._shed_lowest_priority_first()
            self.state.host.log(
                f"admission_changed zone={zone} admitted_share={controller.admitted_share:.2f}"
                f" latency_ratio={latency_ratio:.2f} attempts_per_second={attempt_rate:.0f}"
            )

    def _request_rates(self, ready: dict[int, Server]) -> tuple[float, float]:
        now = self.state.host.now()
        period = self.state.settings.report_period
        rates = [self.state.health[index].request_rates(now, period) for index in ready]
        return sum(attempt_rate for attempt_rate, _ in rates), sum(
            completion_rate for _, completion_rate in rates
        )

    def _samples_after_last_change(
        self, controller: AdmissionController, samples: list[LatencySample]
    ) -> list[LatencySample]:
        # A report whose period began before the last change reached the proxies describes the time
        # before that change. Using such reports cut levels twice for the same overload.
        arrived_at = (
            controller.changed_at
            + self.state.settings.channel.max_delivery_delay
            + self.state.channel.lateness(self.state.host.now())
        )
        return [sample for sample in samples if sample.started_at > arrived_at]

    def _may_cut_zone(self, latency_ratio: float, fleet_latency_ratio: float) -> bool:
        # While the fleet is cut its controller decides, unless a zone is far worse than the fleet.
        return self.fleet.admitted_share == 1 or (
            fleet_latency_ratio < CUT_LATENCY_RATIO
            and latency_ratio > ZONE_CUT_RATIO * fleet_latency_ratio
        )

    def _shed_lowest_priority_first(self) -> None:
        """Refuse what exceeds the fleet's admitted share, lowest priority weight first."""
        classes = self.state.settings.classes
        remaining_refusal = 1 - self.fleet.admitted_share
        for class_index in sorted(
            self.state.class_order, key=lambda index: (classes[index].priority_weight, index)
        ):
            share = self.demand_shares[class_index]
            refused = min(remaining_refusal, share * MAX_REFUSED_CLASS_SHARE)
            remaining_refusal -= refused
            self.class_levels[class_index] = 1 - refused / share if share else 1.0
