"""Demand: the requests per second of each table, as reported and as planned for."""

from collections import Counter, defaultdict, deque
from typing import NamedTuple

from ..clock import SECOND
from ..settings import DeploymentSettings
from .seeded_random import SeededRandom
from .tables import EPSILON, Table

DEMAND_REPORTS_KEPT = 3  # per class and proxy; with more, rates would follow changes too slowly
MESSAGE_TIMES_KEPT = 256  # per proxy; above every message limit that deployments configure


class Locality(NamedTuple):
    """The zone and proxy group that determine which tables serve a proxy."""

    zone: int
    group: int


class DemandSample(NamedTuple):
    """The number of requests received over `span` microseconds."""

    requests: int
    span: int


Demand = dict[int, deque[DemandSample]]  # the latest samples by class index


class Proxy:
    """The state of one proxy.

    `declared_rate` is the number of requests per second that it declares to receive usually.
    `joined_at` is when its present stream was established.
    `message_times` are the times of the latest messages to it.
    """

    def __init__(
        self, locality: Locality, declared_rate: float, demand: Demand, joined_at: int = 0
    ) -> None:
        self.locality = locality
        self.declared_rate = declared_rate
        self.demand = demand
        self.joined_at = joined_at
        self.joined = True
        self.left_at = 0
        self.message_times: deque[int] = deque(maxlen=MESSAGE_TIMES_KEPT)

    def record_demand(self, class_index: int, requests: int, span: int) -> None:
        """Record the number of requests of a class received over `span` microseconds."""
        samples = self.demand.setdefault(class_index, deque(maxlen=DEMAND_REPORTS_KEPT))
        samples.append(DemandSample(requests, span))

    def demand_rates(self, class_index: int, class_count: int) -> tuple[float, float]:
        """Return the mean and the peak requests per second of a class over the latest reports.

        Before the first report, the declared rate counts, divided evenly among the classes.
        """
        samples = self.demand.get(class_index)
        if not samples:
            declared = 0.0 if self.demand else self.declared_rate / class_count
            return declared, declared
        mean = sum(requests for requests, _ in samples) * SECOND / sum(span for _, span in samples)
        return mean, max(requests * SECOND / span for requests, span in samples)


class ProxyRegistry(dict[int, Proxy]):
    """The proxies by number, with their demand, and the tables that serve each locality.

    The demand of a proxy counts until `departed_retention` microseconds after it has left.
    """

    def __init__(self, settings: DeploymentSettings, departed_retention: int) -> None:
        super().__init__()
        self.settings = settings
        self.departed_retention = departed_retention
        self.tables_by_locality: defaultdict[Locality, list[Table]] = defaultdict(list)

    def tables_of(self, number: int) -> list[Table]:
        """Return the tables that serve a proxy."""
        return self.tables_by_locality[self[number].locality]

    def join(
        self, number: int, zone: int, declared_rate: float, group_count: int, now: int
    ) -> None:
        """Add a proxy; if it was known before, its earlier demand is kept."""
        demand = self[number].demand if number in self else {}
        # A seeded draw gives the same group at every planner. The remainder of the number would
        # not do, because proxy numbers may correlate with zones.
        group = SeededRandom(number).randbelow(group_count)
        self[number] = Proxy(Locality(zone, group), declared_rate, demand, now)

    def leave(self, number: int, now: int) -> None:
        """Mark a proxy as departed."""
        if number in self:
            self[number].joined = False
            self[number].left_at = now

    def joined(self) -> set[int]:
        """Return the numbers of the proxies that are currently joined."""
        return {number for number, proxy in self.items() if proxy.joined}

    def table_rates(self, now: int, peak: bool = False) -> defaultdict[int, float]:
        """Return requests per second by table number, including recently departed proxies.

        With `peak`, zone-bound classes count with their peak over the latest reports.
        """
        rates: defaultdict[int, float] = defaultdict(float)
        squared_peak_excess: defaultdict[int, float] = defaultdict(float)
        class_count = len(self.settings.classes)
        for number, proxy in self.items():
            if not proxy.joined and now - proxy.left_at > self.departed_retention:
                continue
            for table in self.tables_of(number):
                mean, peak_rate = proxy.demand_rates(table.class_index, class_count)
                rates[table.number] += mean
                if peak and table.zone_bound:
                    # Summed as squares, because peaks of many proxies seldom coincide.
                    squared_peak_excess[table.number] += (peak_rate - mean) ** 2
        for number, squares in squared_peak_excess.items():
            rates[number] += squares**0.5
        return rates

    def planned_rates(self, now: int) -> defaultdict[int, float]:
        """Return the rates including proxies that have not joined, or joined another planner.

        Each of these counts with the average demand of the known proxies.
        """
        rates = self.table_rates(now)
        known_counts = Counter(proxy.locality for proxy in self.values())
        mean_rates: defaultdict[int, float] = defaultdict(float)
        proxies_per_locality = self.settings.proxy_count / len(self.tables_by_locality)
        missing_counts = {
            locality: max(0.0, proxies_per_locality - known_counts[locality])
            for locality in self.tables_by_locality
        }
        scale = max(0, self.settings.proxy_count - len(self)) / max(
            EPSILON, sum(missing_counts.values())
        )
        every_table = (table for tables in self.tables_by_locality.values() for table in tables)
        for table in dict.fromkeys(every_table):
            mean_rates[table.class_index] += rates[table.number] / len(self)
        for locality, tables in self.tables_by_locality.items():
            for table in tables:
                rates[table.number] += (
                    mean_rates[table.class_index] * missing_counts[locality] * scale
                )
        return rates
