"""A proxy's traffic tables, one for each class, and the choice of servers by them, without I/O.

A table stays in use after the connection to the planner that sent it is lost; only its age grows.
Servers are picked in proportion to their weights by stride scheduling (C. Waldspurger and W. Weihl,
"Stride Scheduling", MIT/LCS/TM-528, 1995), in which a new server starts at the current pass and so
gets no burst of requests.
"""

from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from ..errors import IndigodeckError, MalformedMessageError, RejectedError

Address = tuple[str, int]  # a server's host and port
# When a pass exceeds this, all passes of the class are reduced, so that sums keep their precision.
MAX_PASS = 1e9


class ClientError(IndigodeckError):
    """The base class of the errors that a client of a planner reports."""


class NoServerError(ClientError):
    """The table of a class has no server to pick."""


class RequestRejectedError(ClientError, RejectedError):
    """The planner rejects this proxy or its request; `code` is the protocol's return code."""

    def __init__(self, text: str, code: int | None = None) -> None:
        super().__init__(text)
        self.code = code


class UnreachableError(ClientError):
    """No planner can be reached, or the connected one stopped answering."""


class MalformedResponseError(ClientError, MalformedMessageError):
    """A planner sent something that its protocol does not allow."""


class TableEntry(NamedTuple):
    """One server in the table of a class, as stated by a planner.

    A server that is `quiesced` gets no new requests, whatever its weight. If `confident` is false,
    the planner has no opinion on the server yet.
    """

    address: Address
    weight: int
    confident: bool
    quiesced: bool


class Tables:
    """The tables of a proxy, held in `lines` as `{class: {address: weight}}`.

    Parameters
    ----------
    classes
        The names of the classes.
    now
        The clock, in microseconds.
    initial
        The servers that each table holds, with equal weights, until a planner sends a table.
    changed
        Called with the name of a class after its table has changed.
    """

    def __init__(
        self,
        classes: Iterable[str],
        now: Callable[[], int],
        initial: Iterable[Address] = (),
        changed: Callable[[str], object] | None = None,
    ) -> None:
        names = list(classes)
        servers = list(initial)
        self.now = now
        self.changed = changed
        self.lines: dict[str, dict[Address, int]] = {
            name: dict.fromkeys(servers, 1) for name in names
        }
        # When a planner last sent entries of a class; None while the table is the initial one.
        self.updated_at: dict[str, int | None] = dict.fromkeys(names)
        self.confirmed: set[str] = set()  # classes whose table came over the current connection
        self.admitted_share = dict.fromkeys(names, 1.0)
        self.versions: dict[str, str] = {}
        self.epoch = 0  # the highest epoch of an order, in protocols whose orders carry one
        self._passes: dict[str, dict[Address, float]] = {name: {} for name in names}
        self._base_pass = dict.fromkeys(names, 0.0)

    def connection_opened(self) -> None:
        """Begin a connection: the first confident entries of a class replace its whole table."""
        self.confirmed.clear()

    def age(self, name: str) -> int | None:
        """Return the microseconds since a planner last sent entries of the class, or None."""
        updated_at = self.updated_at[name]
        return None if updated_at is None else self.now() - updated_at

    def update(self, name: str, entries: Collection[TableEntry]) -> None:
        """Apply entries of one class.

        Quiesced servers are removed from the table. Entries that are not confident are added to an
        empty table, and otherwise ignored.
        """
        # Entries of quiesced servers alone are not a whole table: that also has confident entries
        # of servers that are not quiesced, possibly with weight 0.
        confirms = any(confident and not quiesced for _, _, confident, quiesced in entries)
        self._apply(name, entries, confirms)

    def replace(self, name: str, entries: Collection[TableEntry]) -> None:
        """Replace the table of one class: servers that are not among the entries are removed."""
        self.confirmed.discard(name)
        self._apply(name, entries, True)

    def _apply(self, name: str, entries: Collection[TableEntry], confirms: bool) -> None:
        before = self.lines[name]
        lines = dict(before)
        if confirms and name not in self.confirmed:
            lines = {}
            self.confirmed.add(name)
        accepts_unconfident = not before and name not in self.confirmed
        for address, weight, confident, quiesced in entries:
            if weight and not quiesced and (confident or accepts_unconfident):
                lines[address] = weight
            elif quiesced or confident:
                lines.pop(address, None)
        self.updated_at[name] = self.now()
        if lines != before:
            self._set_lines(name, lines)

    def _set_lines(self, name: str, lines: dict[Address, int]) -> None:
        passes = self._passes[name]
        base = self._base_pass[name]
        self.lines[name] = lines
        self._passes[name] = {address: max(passes.get(address, 0.0), base) for address in lines}
        if self.changed:
            self.changed(name)

    def set_admitted_share(self, name: str, share: float) -> None:
        """Set the share of a class's requests that is admitted, for protocols that carry it."""
        self.admitted_share[name] = share

    def admits(self, name: str, point: float) -> bool:
        """Return whether a request is admitted.

        `point` is the request's position between 0 and 1, random or a hash of the request.
        """
        return point < self.admitted_share[name]

    def shares(self, name: str) -> dict[Address, float]:
        """Return the share of the class's requests that each server gets."""
        lines = self.lines[name]
        total = sum(lines.values())
        return {address: weight / total for address, weight in lines.items()}

    def pick(self, name: str, avoid: Collection[Address] = ()) -> Address:
        """Return the next server of a class.

        Servers in `avoid` are picked only if the table has no others.

        Raises
        ------
        NoServerError
            If the table of the class is empty.
        """
        lines = self.lines[name]
        if not lines:
            raise NoServerError(f"the table of class {name} has no servers")
        passes = self._passes[name]
        for address in lines.keys() - passes.keys():
            passes[address] = self._base_pass[name]
        candidates = [address for address in lines if address not in avoid] or list(lines)
        total = sum(lines.values())
        # Ties are broken by address, so that the same calls give the same picks.
        picked = min(
            candidates,
            key=lambda address: (passes[address] + total / lines[address] / 2, address),
        )
        self._base_pass[name] = max(self._base_pass[name], passes[picked])
        passes[picked] += total / lines[picked]
        if passes[picked] > MAX_PASS:
            self._rebase_passes(name)
        return picked

    def _rebase_passes(self, name: str) -> None:
        base = self._base_pass[name]
        self._passes[name] = {
            address: server_pass - base for address, server_pass in self._passes[name].items()
        }
        self._base_pass[name] = 0.0
