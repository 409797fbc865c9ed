"""The messages that a planner exchanges with the platform, apart from how they are written.

Servers are named by their ids in the endpoint list, classes by their names; proxies, zones, cells
and machine types are small numbers. Times are whole microseconds.
"""

from typing import NamedTuple, TypeAlias

from ..assignment.interface import RetryPolicy, ServerState


class Address(NamedTuple):
    """A numeric IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return HOST:PORT."""
        return f"{self.host}:{self.port}"


class OutcomeReport(NamedTuple):
    """What the proxies of a zone met at one server over `span`.

    `mean_latency` is of the attempts that did not fail; `load` is the server's own load report
    where it sent one.
    """

    zone: int
    server: str
    attempts: int
    failures: int
    mean_latency: int
    span: int
    load: dict[str, float] | None


class ProxyJoined(NamedTuple):
    """A proxy has connected to the relay; `fresh`: it has just started and has no table at all."""

    proxy: int
    zone: int
    request_rate: float
    fresh: bool


class Ack(NamedTuple):
    """A proxy has applied the orders up to the acknowledgement request `number`."""

    proxy: int
    number: int
    delay: int


class Endpoint(NamedTuple):
    """One server of the endpoint list; `started` is Unix time, 0 for long ago."""

    name: str
    address: Address
    zone: int
    machine_type: int
    cell: int
    weight: float
    started: int
    state: ServerState


class EndpointList(NamedTuple):
    """An answer of discovery: all servers if `complete`, else only those that changed.

    `unusable_names` are those of entries that could not be read, "" for one without a name.
    """

    version: int
    complete: bool
    endpoints: list[Endpoint]
    unusable_names: set[str]

    @property
    def is_empty(self) -> bool:
        """Whether the list names no server, not even in an entry that could not be read."""
        return not (self.endpoints or self.unusable_names)


class SetWeight(NamedTuple):
    """Set one line of a table; weight 0 removes it."""

    table: int
    server: str
    weight: float


class ClearTable(NamedTuple):
    """Remove all lines of a table, and its admission levels."""

    table: int


class AssignTable(NamedTuple):
    """Put a proxy on a table for the named classes, or for all if none is named."""

    proxy: int
    table: int
    class_names: tuple[str, ...]


class SetEjected(NamedTuple):
    """Keep all proxies off a server, or let them return to it."""

    server: str
    ejected: bool


class SetAdmission(NamedTuple):
    """Set which share of the named classes a table's proxies admit; table None means all tables."""

    table: int | None
    class_names: tuple[str, ...]
    level: float
    retry_policy: RetryPolicy


class RequestAck(NamedTuple):
    """Ask the proxies that earlier orders of the same call reach, or everyone, for an `Ack`."""

    number: int
    everyone: bool


Order: TypeAlias = SetWeight | ClearTable | AssignTable | SetEjected | SetAdmission | RequestAck
OrderKey: TypeAlias = tuple


def order_key(order: Order) -> OrderKey:
    """Return what an order sets: only the newest order for a key matters."""
    match order:
        case SetWeight(table, server):
            return SetWeight, table, server
        case AssignTable(proxy, _, class_names):
            return AssignTable, proxy, *class_names
        case SetAdmission(table, class_names):
            return SetAdmission, table, *class_names
        case SetEjected(server):
            return SetEjected, server
        case ClearTable(table):
            return ClearTable, table
        case RequestAck():
            return (RequestAck,)
