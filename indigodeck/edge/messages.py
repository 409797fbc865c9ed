"""The messages that a planner exchanges with the platform, independent of their encoding.

Servers are identified by their ids in the endpoint list, classes by their names, and proxies,
zones, cells and machine types by small numbers. Times are whole microseconds.
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
    """The attempts that the proxies of a zone sent to one server during `span`.

    `mean_latency` covers the attempts that did not fail; `load` is the server's own load report,
    if it sent one.
    """

    zone: int
    server: str
    attempts: int
    failures: int
    mean_latency: int
    span: int
    load: dict[str, float] | None


class ProxyJoined(NamedTuple):
    """A proxy has connected to the relay; `fresh`: it has just started and has no table."""

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
    """One server of the endpoint list; `started` is Unix time, or 0 for long ago."""

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

    `unusable_names` holds the server names of invalid entries, and "" for an entry without a name.
    """

    version: int
    complete: bool
    endpoints: list[Endpoint]
    unusable_names: set[str]

    @property
    def is_empty(self) -> bool:
        """Whether the list has no entries, not even invalid ones."""
        return not (self.endpoints or self.unusable_names)


class SetWeight(NamedTuple):
    """Set one line of a table; weight 0 removes it."""

    table: int
    server: str
    weight: float


class ClearTable(NamedTuple):
    """Remove all lines and admission levels of a table."""

    table: int


class AssignTable(NamedTuple):
    """Assign a table to a proxy for the named classes, or for all if none is named."""

    proxy: int
    table: int
    class_names: tuple[str, ...]


class SetEjected(NamedTuple):
    """Stop all proxies from using a server, or let them use it again."""

    server: str
    ejected: bool


class SetAdmission(NamedTuple):
    """Set the share of the named classes that a table's proxies admit; None means all tables."""

    table: int | None
    class_names: tuple[str, ...]
    level: float
    retry_policy: RetryPolicy


class RequestAck(NamedTuple):
    """Request an `Ack` from the proxies that earlier orders of the same call reach, or from all."""

    number: int
    all_proxies: bool


Order: TypeAlias = SetWeight | ClearTable | AssignTable | SetEjected | SetAdmission | RequestAck
OrderKey: TypeAlias = tuple


def order_key(order: Order) -> OrderKey:
    """Return the key of what an order sets; a newer order replaces an older one of the same key."""
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
