"""Demand: the requests a second that each table has to serve, as known and as planned for."""

from collections import Counter, defaultdict, deque
from typing import NamedTuple

from ..clock import SECOND
from ..settings import DeploymentSettings
from .seeded_random import SeededRandom
from .tables import TINY, Table

DEMAND_REPORTS_KEPT = 3  # of each class and proxy; more would follow a change too slowly
MESSAGE_TIMES_KEPT = 256  # of each proxy; above any limit that is stated


class Locality(NamedTuple):
    """What decides by which tables a proxy is served."""

    zone: int
    group: int


class DemandSample(NamedTuple):
    """Requests that came over `span` microseconds."""

    requests: int
    span: int


Demand = dict[int, deque[DemandSample]]  # by class index, the last few samples


class Proxy:
    """What is known of one proxy.

    `stated_rate` is the requests a second that it says it usually gets. `message_times` are when
    it was last written to.
    """

    def __init__(self, locality: Locality, stated_rate: float, demand: Demand) -> None:
        self.locality = locality
        self.stated_rate = stated_rate
        self.demand = demand
        self.joined = True
        self.left_at = 0
        self.message_times: deque[int] = deque(maxlen=MESSAGE_TIMES_KEPT)

    def record_demand(self, class_index: int, requests: int, span: int) -> None:
        """Take in how many requests of a class came over `span` microseconds."""
        samples = self.demand.setdefault(class_index, deque(maxlen=DEMAND_REPORTS_KEPT))
        samples.append(DemandSample(requests, span))

    def demand_rates(self, class_index: int, class_count: int) -> tuple[float, float]:
        """Return a class's requests a second: their mean and their peak over the last reports.

        Before any report the stated rate counts, parted evenly between the classes.
        """
        samples = self.demand.get(class_index)
        if not samples:
            stated = 0.0 if self.demand else self.stated_rate / class_count
            return stated, stated
        mean = sum(many for many, _ in samples) * SECOND / sum(span for _, span in samples)
        return mean, max(many * SECOND / span for many, span in samples)


class ProxyRegistry(dict[int, Proxy]):
    """Proxies by number, the tables that each locality is served by, and their demand.

    The demand of a proxy counts until `remember_for` microseconds after it has left.
    """

    def __init__(self, settings: DeploymentSettings, remember_for: int) -> None:
        super().__init__()
        self.settings = settings
        self.remember_for = remember_for
        self.tables_by_locality: defaultdict[Locality, list[Table]] = defaultdict(list)

    def tables_of(self, number: int) -> list[Table]:
        """Return the tables that serve a proxy."""
        return self.tables_by_locality[self[number].locality]

    def join(self, number: int, zone: int, stated_rate: float, group_count: int) -> None:
        """Enter a proxy; the demand of one that was known before is kept."""
        demand = self[number].demand if number in self else {}
        # The same group at every planner; not by remainder, for numbers may go with zones.
        group = SeededRandom(number).randbelow(group_count)
        self[number] = Proxy(Locality(zone, group), stated_rate, demand)

    def leave(self, number: int, now: int) -> None:
        """Enter that a proxy has left."""
        if number in self:
            self[number].joined = False
            self[number].left_at = now

    def joined(self) -> set[int]:
        """Return the numbers of the proxies that are joined now."""
        return {number for number, proxy in self.items() if proxy.joined}

    def table_rates(self, now: int, peak: bool = False) -> defaultdict[int, float]:
        """Return requests a second by table number, those of proxies lately out of reach too.

        With `peak`, zone-bound classes count at the peak of their last reports.
        """
        rates: defaultdict[int, float] = defaultdict(float)
        squared_rises: defaultdict[int, float] = defaultdict(float)
        class_count = len(self.settings.classes)
        for number, proxy in self.items():
            if not proxy.joined and now - proxy.left_at > self.remember_for:
                continue
            for table in self.tables_of(number):
                mean, top = proxy.demand_rates(table.class_index, class_count)
                rates[table.number] += mean
                if peak and table.zone_bound:
                    # Summed as squares, for the peaks of many proxies seldom meet.
                    squared_rises[table.number] += (top - mean) ** 2
        for number, squares in squared_rises.items():
            rates[number] += squares**0.5
        return rates

    def planned_rates(self, now: int) -> defaultdict[int, float]:
        """Return the rates with those of proxies not joined yet, or joined to another planner.

        Each of these is taken to bring as much as a known proxy does on average.
        """
        rates = self.table_rates(now)
        known = Counter(proxy.locality for proxy in self.values())
        usual: defaultdict[int, float] = defaultdict(float)
        even_count = self.settings.proxy_count / len(self.tables_by_locality)
        missing = {
            locality: max(0.0, even_count - known[locality]) for locality in self.tables_by_locality
        }
        scale = max(0, self.settings.proxy_count - len(self)) / max(TINY, sum(missing.values()))
        every_table = (table for tables in self.tables_by_locality.values() for table in tables)
        for table in dict.fromkeys(every_table):
            usual[table.class_index] += rates[table.number] / len(self)
        for locality, tables in self.tables_by_locality.items():
            for table in tables:
                rates[table.number] += usual[table.class_index] * missing[locality] * scale
        return rates
