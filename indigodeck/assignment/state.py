"""The state shared by all components of one assigner.

It holds servers and their health, proxies, tables and the channel. The components (endpoints,
admission, outlier detection, shards, weights, delivery, key ranges) keep private state themselves;
what several of them read or change is kept here.
"""

from collections import defaultdict, deque
from itertools import product
from statistics import median

from ..clock import SECOND
from ..settings import DeploymentSettings
from .channel_account import ChannelAccount
from .demand import Locality, ProxyRegistry
from .interface import AssignerHost, Server, ServerState
from .server_health import ServerHealth
from .tables import Table

TICK_INTERVAL = SECOND // 4  # between two updates from reports, shards and the channel
# For the demand of a departed proxy, the ejection of a removed server, and an unanswered request
# for acknowledgement.
DEPARTED_RETENTION = 20 * SECOND
PROXIES_PER_GROUP = 10  # proxies of a zone that share a table, where there are that many
REPORT_SPANS_KEPT = 64


class AssignerState:
    """The state that the components of one assigner share.

    Attributes
    ----------
    class_order
        Class indices sorted by class name. Shards are drawn in this order, which is the same at
        every planner.
    servers
        The servers by index that are ready, draining, or suspected to be gone.
    health
        The health of each server, including some that are no longer listed.
    ejected
        The servers that joined proxies are ordered not to use.
    grouped
        Whether the proxies of a zone are divided into `group_count` groups with separate tables.
        With many proxies, one table for all of them would mean too many connections.
    report_spans
        The lengths of the periods covered by the latest load reports, in microseconds.
    """

    def __init__(self, host: AssignerHost, settings: DeploymentSettings) -> None:
        self.host = host
        self.settings = settings
        classes = settings.classes
        self.class_order = sorted(range(len(classes)), key=lambda index: classes[index].name)
        self.servers: dict[int, Server] = {}
        self.health: defaultdict[int, ServerHealth] = defaultdict(ServerHealth)
        self.ejected: set[int] = set()
        self.proxies = ProxyRegistry(settings, DEPARTED_RETENTION)
        self.channel = ChannelAccount(settings, host.now(), DEPARTED_RETENTION)
        self.report_spans: deque[int] = deque(maxlen=REPORT_SPANS_KEPT)
        group_size = settings.zone_count * PROXIES_PER_GROUP
        self.grouped = settings.proxy_count >= group_size
        self.group_count = max(1, settings.proxy_count // group_size)
        self.tables: list[Table] = []
        if not settings.key_range_count:
            for class_index in self.class_order:
                self._add_tables_of(class_index)

    def _add_tables_of(self, class_index: int) -> None:
        class_settings = self.settings.classes[class_index]
        all_zones = range(self.settings.zone_count)
        table_zones: list[int | None] = [None]
        if class_settings.zone_bound or self.grouped:
            table_zones = list(all_zones)
        for zone, group in product(table_zones, range(self.group_count)):
            name = class_settings.name
            if self.grouped:
                name = f"{name} {zone} {group}"
            number = self._table_number(class_index, zone, group)
            table = Table(number, class_index, zone, class_settings.zone_bound, name)
            self.tables.append(table)
            for proxy_zone in all_zones if zone is None else [zone]:
                self.proxies.tables_by_locality[Locality(proxy_zone, group)].append(table)

    def _table_number(self, class_index: int, zone: int | None, group: int) -> int:
        zone_digit = 0 if zone is None else 1 + zone
        class_digit = group * len(self.class_order) + class_index
        return class_digit * (self.settings.zone_count + 1) + zone_digit

    def ready_servers(self, zone: int | None = None) -> dict[int, Server]:
        """Return the servers listed as ready, in one zone or in all."""
        return {
            index: server
            for index, server in self.servers.items()
            if server.state == ServerState.READY and zone in (None, server.zone)
        }

    def report_interval(self) -> int:
        """Return how many microseconds a report covers.

        This is several report periods where more reports are sent than the rate limit admits.
        """
        report_coverage = round(median(self.report_spans)) if self.report_spans else 0
        return max(self.settings.report_period, report_coverage)

    def feedback_delay(self) -> float:
        """Return how many microseconds pass until reports can show the effect of an order.

        Without this wait, levels were cut again before the last cut had reached the proxies, and
        half of all requests were refused.
        """
        delivery_delay = self.settings.channel.max_delivery_delay + self.channel.lateness(
            self.host.now()
        )
        return delivery_delay + self.settings.report_period + self.report_interval()
