"""Admission control: how much of the demand is admitted, and when proxies may retry.

`AdmissionController` decides it for servers that share load; `AdmissionLevels` keeps one of these
for the fleet and one for each zone with zone-bound classes, and turns them into levels of classes.
"""

from collections import deque
from collections.abc import Mapping
from statistics import median
from typing import NamedTuple

from ..settings import AdmissionMode
from .interface import RetryPolicy, Server
from .load_reports import LatencySample, ReportSummary, weighted_quantile
from .slow_start import warm_up_factor
from .state import AssignerState
from .tables import Table

# After any failure, retries would double the work, and take effect twice: so only on proof.
RETRY_POLICY = RetryPolicy.ONCE_IF_NOT_EXECUTED

BUSY = 0.5  # latency over its objective, above which admission is cut
CALM = 0.4  # below which it is raised
FULL_FLEET_RATIO = 1.2  # latency over the lowest seen, above which classes are not kept apart
NO_ANSWER_LATENCY_RATIO = 2.0  # no answer at all is the deepest overload
SUSTAINABLE_PART = 0.9  # of the rate that servers have shown: a little less, to let queues drain
RATES_KEPT = 32
LATENCY_RATIOS_KEPT = 3
UNKNOWN_LATENCY_RATIO = 9.0  # before any is seen: above any that matters
HIGHEST_FAILURE_CUT = 0.15  # of all: cut by all that failed, levels stayed low after an overload
DEMAND_FLOOR = 0.6  # of the target rate over the demand before: a cut goes no lower
WORSE_FAILURE_SHARE = 0.15  # above that at the last cut, to cut again before reports can show it
FAILURE_FACTOR = 4  # how much failures beside higher latencies raise the pressure
MOST_FAILURE_SHARE = 0.1  # that counts for the pressure
MOST_EXTRAPOLATED = 0.15  # of the latency ratio
SLOWER_RATIO = 1.25  # latency over the lowest seen, that is no chance
NOTABLE_FAILURE_SHARE = 0.02
HIGH_LATENCY_RATIO = 0.6  # high, whatever the lowest was
LEAST_RAISE = 1.06  # of the target rate and of the admitted share
BEYOND_DEMAND_RAISE = 1.15  # of the admitted share, where demand is met already
MOST_RAISE = 1.5  # of the admitted share
OVERLOAD_QUANTILE = 0.6  # two of five high latencies tell an overload from a few outliers
WORSE_ZONE = 1.5  # a zone's latency over the fleet's, to cut the zone while the fleet is cut
LEAST_ADMITTED_SHARE = 0.1
MOST_REFUSED_OF_A_CLASS = 0.95
UNLIMITED_RATE = 1e6  # requests a second for each proxy
LEAST_RATE = 0.1  # requests a second for each proxy


class LoadMeasurement(NamedTuple):
    """What reports say of servers that share load.

    `latency_ratio` is their latency over its objective; `attempted` and `completed` are requests a
    second; `weight` is what the servers may have of their listed weight.
    """

    latency_ratio: float
    failure_share: float
    attempted: float
    completed: float
    weight: float


class AdmissionController:
    """How much is admitted to servers that share load.

    Latencies tell: they rise before failures do.

    Attributes
    ----------
    admitted_share
        The part of demand that is admitted, from 0.1 to 1.
    target_rate
        The requests a second that the last change aimed at.
    demand_before_cut
        The requests a second that came while all were admitted.
    failure_share_at_cut
        The part of attempts that failed at the last cut; 0 after a raise.
    lost_share
        The part of attempts that failed lately.
    changed_at
        When the share was changed last, in microseconds.
    last_was_cut
        The last change was a cut.
    lowest_latency_ratio
        The lowest latency over its objective that lasted for some updates.
    completion_rates
        Requests completed a second for each unit of weight, of the last updates.
    latency_ratios
        Latencies over their objective, of the last updates.
    """

    def __init__(self) -> None:
        self.admitted_share = 1.0
        self.target_rate = 0.0
        self.demand_before_cut = 0.0
        self.failure_share_at_cut = 0.0
        self.lost_share = 0.0
        self.changed_at = 0
        self.last_was_cut = False
        self.lowest_latency_ratio = UNKNOWN_LATENCY_RATIO
        self.completion_rates: deque[float] = deque(maxlen=RATES_KEPT)
        self.latency_ratios: deque[float] = deque(maxlen=LATENCY_RATIOS_KEPT)

    def update(
        self,
        now: int,
        feedback_delay: float,
        measured: LoadMeasurement,
        lowest_latency_ratio: float,
        may_cut: bool,
    ) -> bool:
        """Take in a measurement, and return whether the admitted share has changed.

        `lowest_latency_ratio` is the lowest that any controller has seen, `feedback_delay` the
        microseconds until reports can show a change.
        """
        latency_ratio = measured.latency_ratio
        before = self.admitted_share
        self.completion_rates.append(measured.completed / measured.weight)
        self.lost_share = 1 - measured.completed / measured.attempted
        sustainable_rate = self.shown_rate() * measured.weight
        self.latency_ratios.append(latency_ratio)
        self.lowest_latency_ratio = min(self.lowest_latency_ratio, max(self.latency_ratios))
        pressure = self._pressure(measured, lowest_latency_ratio)
        if self.admitted_share == 1 and (pressure < CALM or not self.demand_before_cut):
            self.demand_before_cut = measured.attempted  # later, retries would count as demand
        # One period ahead: what is ordered now takes effect only then.
        pressure += min(MOST_EXTRAPOLATED, max(0.0, latency_ratio - self.latency_ratios[0]))
        settled = now >= self.changed_at + feedback_delay
        much_worse = measured.failure_share > self.failure_share_at_cut + WORSE_FAILURE_SHARE
        may_raise = self.last_was_cut or now >= self.changed_at + feedback_delay // 2
        if pressure > BUSY and self._is_slower(measured) and may_cut and (settled or much_worse):
            self._cut(measured, sustainable_rate)
        elif self.admitted_share < 1 and latency_ratio < CALM and may_raise:
            self._raise(measured, sustainable_rate)
        if self.admitted_share == before:
            return False
        self.changed_at = now
        return True

    def shown_rate(self) -> float:
        """Return the completions a second for each unit of weight that were surely shown.

        The best lately but for two: in an overload less is completed, and levels cut to that would
        never end it.
        """
        return sorted(self.completion_rates)[-min(3, len(self.completion_rates))]

    def is_full(self) -> bool:
        """Whether less than all is admitted, or latencies stay well above the lowest."""
        return self.admitted_share < 1 or (
            len(self.latency_ratios) > 2
            and min(self.latency_ratios) > FULL_FLEET_RATIO * self.lowest_latency_ratio
        )

    def _pressure(self, measured: LoadMeasurement, lowest_latency_ratio: float) -> float:
        # Failures tell of overload only beside higher latencies: clients that cancel early, and
        # servers that fail quickly, leave the latencies of the rest as they are.
        lowest = min(lowest_latency_ratio, self.lowest_latency_ratio)
        slowdown = min(1.0, max(0.0, measured.latency_ratio / lowest - 1))
        failures = FAILURE_FACTOR * min(measured.failure_share, MOST_FAILURE_SHARE)
        return measured.latency_ratio + failures * slowdown

    def _is_slower(self, measured: LoadMeasurement) -> bool:
        return (
            measured.latency_ratio > SLOWER_RATIO * self.lowest_latency_ratio
            or measured.failure_share > NOTABLE_FAILURE_SHARE
            or measured.latency_ratio > HIGH_LATENCY_RATIO
        )

    def _cut(self, measured: LoadMeasurement, sustainable_rate: float) -> None:
        part = SUSTAINABLE_PART - min(HIGHEST_FAILURE_CUT, measured.failure_share)
        self.target_rate = part * sustainable_rate
        self.failure_share_at_cut = measured.failure_share
        self.last_was_cut = True
        share = max(
            self.admitted_share * self.target_rate / measured.attempted,
            DEMAND_FLOOR * self.target_rate / self.demand_before_cut,
        )
        self.admitted_share = max(LEAST_ADMITTED_SHARE, min(self.admitted_share, share))

    def _raise(self, measured: LoadMeasurement, sustainable_rate: float) -> None:
        # A step, no further than demand: while proxies recover few accept, and twice the rate is
        # too much for these.
        self.target_rate = max(self.target_rate * LEAST_RAISE, SUSTAINABLE_PART * sustainable_rate)
        self.failure_share_at_cut = 0.0
        self.last_was_cut = False
        share = min(
            self.admitted_share * self.target_rate / measured.attempted,
            max(
                self.admitted_share * BEYOND_DEMAND_RAISE, self.target_rate / self.demand_before_cut
            ),
        )
        share = max(self.admitted_share * LEAST_RAISE, share)
        self.admitted_share = min(1.0, MOST_RAISE * self.admitted_share, share)


class AdmissionLevels:
    """The admission levels of all classes.

    Attributes
    ----------
    controllers
        By zone; None is the fleet's.
    class_levels
        The part of each class that the fleet's controller admits.
    demand_shares
        The part of each class in demand, while all was admitted.
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
        """Return the part of a table's demand that is admitted."""
        level = self.class_levels[table.class_index]
        if table.zone_bound:
            return level * self.controllers[table.zone].admitted_share
        return level

    def admitted_rate(self, table: Table, rates: Mapping[int, float]) -> float:
        """Return the requests a second that a table's servers get, of the rates by table number."""
        return self.level(table) * rates[table.number]

    def stated_level(self, table: Table, level: float) -> float:
        """Return a level as the deployment's proxies understand it: a share, or a rate for each."""
        if self.state.settings.admission_mode != AdmissionMode.RATE:
            return level
        rates = self.state.proxies.table_rates(self.state.host.now())
        rate = self.admitted_rate(table, rates) * level / self.level(table)
        return UNLIMITED_RATE if level >= 1 else max(LEAST_RATE, rate / max(1, len(table.proxies)))

    def record_demand(self, rates: Mapping[int, float]) -> None:
        """Take in the rates by table number; while less than all is admitted they hold retries."""
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
        """Let all controllers take in the reports of one evaluation."""
        for zone, controller in self.controllers.items():
            self._update_controller(zone, controller, summary)

    def _update_controller(
        self, zone: int | None, controller: AdmissionController, summary: ReportSummary
    ) -> None:
        ready = self.state.ready_servers(zone)
        failure_shares = [
            share for index, share in summary.failure_shares.items() if index in ready
        ]
        attempted, completed = self._request_rates(ready)
        weight = sum(
            server.weight * warm_up_factor(self.state, server) for server in ready.values()
        )
        # Without proxies nothing is admitted: cut by what other planners' proxies bring, levels
        # would refuse those who join later.
        if not (weight and attempted and failure_shares and self.state.proxies.joined()):
            return
        samples = [sample for sample in summary.samples if sample.server in ready]
        current = self._begun_after_last_change(controller, samples)
        enough_current = 2 * len(current) >= len(samples)
        latency_ratio = NO_ANSWER_LATENCY_RATIO
        if samples:
            told = current if enough_current else samples
            latency_ratio = weighted_quantile(OVERLOAD_QUANTILE, told) / summary.latency_objective
        may_cut = (enough_current or controller.admitted_share == 1) and (
            zone is None
            or 2 * len(failure_shares) >= len(ready)
            and self._may_cut_zone(latency_ratio, summary.latency_ratio)
        )
        lowest = min(other.lowest_latency_ratio for other in self.controllers.values())
        measured = LoadMeasurement(
            latency_ratio, median(failure_shares), attempted, completed, weight
        )
        now = self.state.host.now()
        if controller.update(now, self.state.feedback_delay(), measured, lowest, may_cut):
            self._shed_cheapest_first()
            self.state.host.log(
                f"admission_changed zone={zone} admitted_share={controller.admitted_share:.2f}"
                f" latency_ratio={latency_ratio:.2f} attempts_per_second={attempted:.0f}"
            )

    def _request_rates(self, ready: dict[int, Server]) -> tuple[float, float]:
        now = self.state.host.now()
        period = self.state.settings.report_period
        rates = [self.state.health[index].request_rates(now, period) for index in ready]
        return sum(attempted for attempted, _ in rates), sum(completed for _, completed in rates)

    def _begun_after_last_change(
        self, controller: AdmissionController, samples: list[LatencySample]
    ) -> list[LatencySample]:
        # Reports begun before the last change arrived tell of the time before it: levels that were
        # cut by them fell twice.
        arrived_at = (
            controller.changed_at
            + self.state.settings.channel.max_delivery_delay
            + self.state.channel.lateness(self.state.host.now())
        )
        return [sample for sample in samples if sample.begun_at > arrived_at]

    def _may_cut_zone(self, latency_ratio: float, fleet_latency_ratio: float) -> bool:
        # In an overload the fleet's controller decides, unless a zone is far worse.
        return self.fleet.admitted_share == 1 or (
            fleet_latency_ratio < BUSY and latency_ratio > WORSE_ZONE * fleet_latency_ratio
        )

    def _shed_cheapest_first(self) -> None:
        """Refuse what the fleet does not admit, of the lowest priority weight first."""
        classes = self.state.settings.classes
        to_refuse = 1 - self.fleet.admitted_share
        for class_index in sorted(
            self.state.class_order, key=lambda index: (classes[index].priority_weight, index)
        ):
            share = self.demand_shares[class_index]
            refused = min(to_refuse, share * MOST_REFUSED_OF_A_CLASS)
            to_refuse -= refused
            self.class_levels[class_index] = 1 - refused / share if share else 1.0
