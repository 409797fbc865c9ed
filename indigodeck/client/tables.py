"""The tables that a proxy holds and goes by, free of I/O: one for each class, and picks from it.

Tables outlive the planner that gave them: a broken connection changes nothing but their age. Picks
are even by weight: stride scheduling (C. Waldspurger and W. Weihl, "Stride Scheduling",
MIT/LCS/TM-528, 1995), in which a new server starts level with the others and so gets no burst.
"""

from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from ..errors import IndigodeckError, MalformedMessageError, RejectedError

Address = tuple[str, int]  # a server's host and port
# Passes above this are counted from zero again, so that sums keep their precision.
MAX_PASS = 1e9


class ClientError(IndigodeckError):
    """Whatever a client of a planner may meet."""


class NoServerError(ClientError):
    """The table of a class has no server to pick."""


class RequestRejectedError(ClientError, RejectedError):
    """The planner rejects this proxy or what it asked; `code` is the protocol's own."""

    def __init__(self, text: str, code: int | None = None) -> None:
        super().__init__(text)
        self.code = code


class UnreachableError(ClientError):
    """No planner answers, or one stopped answering."""


class MalformedResponseError(ClientError, MalformedMessageError):
    """A planner sent what its protocol does not allow."""


class TableEntry(NamedTuple):
    """What a planner says of one server in the table of a class.

    A server that is `quiesced` takes no new requests, in any case. An entry that is not
    `confident` says that the planner has no opinion yet.
    """

    address: Address
    weight: int
    confident: bool
    quiesced: bool


class Tables:
    """Tables by class, as `lines`: `{class: {address: weight}}`.

    Parameters
    ----------
    classes
        The names of the classes.
    now
        The clock, in microseconds.
    initial
        The servers that each table holds, alike, until a planner gives one.
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
        # When a planner last spoke of a class; None while the table is the initial one.
        self.updated_at: dict[str, int | None] = dict.fromkeys(names)
        self.confirmed: set[str] = set()  # classes whose table this connection has given
        self.admitted_share = dict.fromkeys(names, 1.0)
        self.versions: dict[str, str] = {}
        self.epoch = 0  # the highest under which an order came, where orders say
        self._passes: dict[str, dict[Address, float]] = {name: {} for name in names}
        self._base_pass = dict.fromkeys(names, 0.0)

    def connection_opened(self) -> None:
        """Begin a connection: what it first says of a class replaces the whole table."""
        self.confirmed.clear()

    def age(self, name: str) -> int | None:
        """Return microseconds since a planner last spoke of the class, or None if none ever did."""
        updated_at = self.updated_at[name]
        return None if updated_at is None else self.now() - updated_at

    def update(self, name: str, entries: Collection[TableEntry]) -> None:
        """Apply entries of one class.

        A quiesced server leaves the table. Entries that are not confident fill an empty table and
        change nothing of another.
        """
        # That a server is quiesced is no table: a whole one names who is in, or has weight 0.
        confirms = any(confident and not quiesced for _, _, confident, quiesced in entries)
        self._apply(name, entries, confirms)

    def replace(self, name: str, entries: Collection[TableEntry]) -> None:
        """Replace the table of one class: a server that is not among the entries leaves it."""
        self.confirmed.discard(name)
        self._apply(name, entries, True)

    def _apply(self, name: str, entries: Collection[TableEntry], confirms: bool) -> None:
        before = self.lines[name]
        lines = dict(before)
        if confirms and name not in self.confirmed:
            lines = {}
            self.confirmed.add(name)
        takes_any = not before and name not in self.confirmed
        for address, weight, confident, quiesced in entries:
            if weight and not quiesced and (confident or takes_any):
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
        """Set which part of a class's requests is admitted, where a protocol can say so."""
        self.admitted_share[name] = share

    def admits(self, name: str, point: float) -> bool:
        """Return whether a request is admitted; `point`, 0 to 1, is its own, drawn or hashed."""
        return point < self.admitted_share[name]

    def shares(self, name: str) -> dict[Address, float]:
        """Return the part of the class's requests that each server gets."""
        lines = self.lines[name]
        total = sum(lines.values())
        return {address: weight / total for address, weight in lines.items()}

    def pick(self, name: str, avoid: Collection[Address] = ()) -> Address:
        """Return the next server of a class, one not to avoid while there is any.

        Raises
        ------
        NoServerError
            If the table of the class is empty.
        """
        lines = self.lines[name]
        if not lines:
            raise NoServerError(f"no server for {name}")
        passes = self._passes[name]
        for address in lines.keys() - passes.keys():
            passes[address] = self._base_pass[name]
        candidates = [address for address in lines if address not in avoid] or list(lines)
        total = sum(lines.values())
        # By address where passes are equal, so that the same calls give the same picks.
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
            address: reached - base for address, reached in self._passes[name].items()
        }
        self._base_pass[name] = 0.0
