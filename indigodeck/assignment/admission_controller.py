"""Admission control of one set of servers that share load: which share of requests is admitted."""

from collections import deque
from typing import NamedTuple

# A latency ratio is a latency divided by the latency objective.
CUT_LATENCY_RATIO = 0.5  # above it, admission is cut
RAISE_LATENCY_RATIO = 0.4  # below it, admission is raised
# Latency over the lowest seen above which classes are no longer kept on separate servers.
SATURATION_RATIO = 1.2
# Of the highest rate that servers have sustained: slightly less, so that queues drain.
SUSTAINABLE_RATE_FACTOR = 0.9
COMPLETION_RATES_KEPT = 32
PROVEN_RATE_RANK = 3  # among the completion rates kept, from the highest
LATENCY_RATIOS_KEPT = 3
UNKNOWN_LATENCY_RATIO = 9.0  # initial lowest ratio, above every ratio that occurs
MAX_FAILURE_CUT = 0.15  # of the sustainable rate; more would last beyond the overload
DEMAND_FLOOR = 0.6  # a cut admits at least this share of the target rate over the earlier demand
# Rise of the failure share since the last cut that allows another cut before reports can show the
# effect of the last one.
FAILURE_SHARE_RISE = 0.15
FAILURE_PRESSURE_FACTOR = 4  # weight of failures in the pressure, when latencies rise as well
MAX_COUNTED_FAILURE_SHARE = 0.1  # a higher failure share adds no more pressure
MAX_EXTRAPOLATION = 0.15  # of the latency ratio
SLOWDOWN_RATIO = 1.25  # latency over the lowest seen that is more than random variation
SIGNIFICANT_FAILURE_SHARE = 0.02
HIGH_LATENCY_RATIO = 0.6  # high whatever the lowest ratio seen was
MIN_RAISE = 1.06  # factor on the target rate and on the admitted share
MAX_RAISE_ABOVE_DEMAND = 1.15  # factor on the admitted share once it covers the demand
MAX_RAISE = 1.5  # factor on the admitted share
MIN_ADMITTED_SHARE = 0.1


class LoadMeasurement(NamedTuple):
    """What load reports say about a set of servers that share load.

    `latency_ratio` is their latency over the latency objective. `attempt_rate` and
    `completion_rate` are in requests per second. `weight` is the sum of their listed weights, each
    reduced during slow start.
    """

    latency_ratio: float
    failure_share: float
    attempt_rate: float
    completion_rate: float
    weight: float


class AdmissionController:
    """Controls which share of the demand is admitted to a set of servers that share load.

    The main signal is latency, because it rises before requests fail.

    Attributes
    ----------
    admitted_share
        The share of the demand that is admitted, from 0.1 to 1.
    target_rate
        The rate, in requests per second, that the last change aimed at.
    demand_before_cut
        The request rate while everything was admitted, in requests per second.
    failure_share_at_cut
        The share of attempts that failed at the last cut; 0 after a raise.
    overall_failure_share
        The share of attempts that failed at the last update, over all servers.
    changed_at
        When the admitted share was last changed, in microseconds.
    last_was_cut
        Whether the last change was a cut.
    lowest_latency_ratio
        The lowest latency ratio that held for several updates.
    completion_rates
        Completed requests per second and unit of weight, one entry for each recent update.
    latency_ratios
        Latency ratios, one for each recent update.
    """

    def __init__(self) -> None:
        self.admitted_share = 1.0
        self.target_rate = 0.0
        self.demand_before_cut = 0.0
        self.failure_share_at_cut = 0.0
        self.overall_failure_share = 0.0
        self.changed_at = 0
        self.last_was_cut = False
        self.lowest_latency_ratio = UNKNOWN_LATENCY_RATIO
        self.completion_rates: deque[float] = deque(maxlen=COMPLETION_RATES_KEPT)
        self.latency_ratios: deque[float] = deque(maxlen=LATENCY_RATIOS_KEPT)

    def update(
        self,
        now: int,
        feedback_delay: float,
        measured: LoadMeasurement,
        lowest_latency_ratio: float,
        may_cut: bool,
    ) -> bool:
        """Process a measurement and return whether the admitted share has changed.

        `lowest_latency_ratio` is the lowest of all controllers. `feedback_delay` is how many
        microseconds pass until reports can show the effect of a change.
        """
        latency_ratio = measured.latency_ratio
        before = self.admitted_share
        self.completion_rates.append(measured.completion_rate / measured.weight)
        self.overall_failure_share = 1 - measured.completion_rate / measured.attempt_rate
        sustainable_rate = self.sustained_rate() * measured.weight
        self.latency_ratios.append(latency_ratio)
        self.lowest_latency_ratio = min(self.lowest_latency_ratio, max(self.latency_ratios))
        pressure = self._pressure(measured, lowest_latency_ratio)
        if self.admitted_share == 1 and (
            pressure < RAISE_LATENCY_RATIO or not self.demand_before_cut
        ):
            # Only without a cut: once admission is cut, attempts also include retries.
            self.demand_before_cut = measured.attempt_rate
        # Extrapolate by one period, because an order given now takes effect only then.
        pressure += min(MAX_EXTRAPOLATION, max(0.0, latency_ratio - self.latency_ratios[0]))
        settled = now >= self.changed_at + feedback_delay
        much_worse = measured.failure_share > self.failure_share_at_cut + FAILURE_SHARE_RISE
        may_raise = self.last_was_cut or now >= self.changed_at + feedback_delay // 2
        if (
            pressure > CUT_LATENCY_RATIO
            and self._is_slower(measured)
            and may_cut
            and (settled or much_worse)
        ):
            self._cut(measured, sustainable_rate)
        elif self.admitted_share < 1 and latency_ratio < RAISE_LATENCY_RATIO and may_raise:
            self._raise(measured, sustainable_rate)
        if self.admitted_share == before:
            return False
        self.changed_at = now
        return True

    def sustained_rate(self) -> float:
        """Return a rate, per second and unit of weight, that the servers have proven to complete.

        This is the third highest of the recent rates. The latest rate would be wrong: an
        overloaded fleet completes less than it can, and cutting admission to that would never end
        the overload. It is 0 while nothing is proven.
        """
        highest = sorted(self.completion_rates, reverse=True)[:PROVEN_RATE_RANK]
        return highest[-1] if highest else 0.0

    def is_saturated(self) -> bool:
        """Return whether admission is cut, or latencies stay well above the lowest seen."""
        return self.admitted_share < 1 or (
            len(self.latency_ratios) > 2
            and min(self.latency_ratios) > SATURATION_RATIO * self.lowest_latency_ratio
        )

    def _pressure(self, measured: LoadMeasurement, lowest_latency_ratio: float) -> float:
        # Failures indicate overload only together with higher latencies: clients that cancel early
        # and servers that fail quickly do not slow down the remaining requests.
        lowest = min(lowest_latency_ratio, self.lowest_latency_ratio)
        slowdown = min(1.0, max(0.0, measured.latency_ratio / lowest - 1))
        failures = FAILURE_PRESSURE_FACTOR * min(measured.failure_share, MAX_COUNTED_FAILURE_SHARE)
        return measured.latency_ratio + failures * slowdown

    def _is_slower(self, measured: LoadMeasurement) -> bool:
        return (
            measured.latency_ratio > SLOWDOWN_RATIO * self.lowest_latency_ratio
            or measured.failure_share > SIGNIFICANT_FAILURE_SHARE
            or measured.latency_ratio > HIGH_LATENCY_RATIO
        )

    def _cut(self, measured: LoadMeasurement, sustainable_rate: float) -> None:
        factor = SUSTAINABLE_RATE_FACTOR - min(MAX_FAILURE_CUT, measured.failure_share)
        self.target_rate = factor * sustainable_rate
        self.failure_share_at_cut = measured.failure_share
        self.last_was_cut = True
        share = max(
            self.admitted_share * self.target_rate / measured.attempt_rate,
            DEMAND_FLOOR * self.target_rate / self.demand_before_cut,
        )
        self.admitted_share = max(MIN_ADMITTED_SHARE, min(self.admitted_share, share))

    def _raise(self, measured: LoadMeasurement, sustainable_rate: float) -> None:
        # Raise in limited steps and not beyond the demand: while proxies recover, only few servers
        # accept requests, and twice the rate would be too much for these.
        self.target_rate = max(
            self.target_rate * MIN_RAISE, SUSTAINABLE_RATE_FACTOR * sustainable_rate
        )
        self.failure_share_at_cut = 0.0
        self.last_was_cut = False
        share = min(
            self.admitted_share * self.target_rate / measured.attempt_rate,
            max(
                self.admitted_share * MAX_RAISE_ABOVE_DEMAND,
                self.target_rate / self.demand_before_cut,
            ),
        )
        share = max(self.admitted_share * MIN_RAISE, share)
        self.admitted_share = min(1.0, MAX_RAISE * self.admitted_share, share)
