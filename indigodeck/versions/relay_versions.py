"""Which version each relay holds, free of I/O.

A relay holds the version that was the newest when its message was made, once the transport says
that it took that message; what changed since concerns it only as far as its own tables did.
Proxies are the indices of connected relays; relays that left are remembered by their ids.
"""

from collections.abc import Iterable, Mapping
from typing import Any, Protocol

from . import codec
from .model import RelayStatus, VersionNumber

MAX_STORED_RELAYS = 65_536


class RelayVersionsHost(Protocol):
    """What this module asks of the program around it."""

    def save(self, changes: list[tuple[str, Any]]) -> None:
        """Store values by key, all or none and soon; None removes a key."""

    def load(self, key: str) -> Any:
        """Return the value stored under a key, or None."""

    def relay_id(self, proxy: int) -> str:
        """Return the id of the relay that a proxy index stands for."""

    def tables_of(self, proxy: int) -> Mapping[int, int]:
        """Return the table of each class, by class index, that a proxy is on."""


class RelayVersions:
    """The versions that connected relays hold, and those that relays held before.

    `last_known` is by relay id, as it is stored.
    """

    def __init__(self, host: RelayVersionsHost):
        self.last_known = codec.decode_relay_versions(host.load(codec.RELAYS_KEY))
        self._host = host
        self._delivered: dict[int, VersionNumber] = {}  # by proxy
        self._confirmed: dict[int, VersionNumber] = {}  # by proxy: what its program has taken
        self._table_changed_in: dict[str, VersionNumber] = {}

    def on_published(self, number: VersionNumber, changed_tables: Iterable[str]) -> None:
        """Take note of a version that is published and changes these tables."""
        self._table_changed_in.update((table, number) for table in changed_tables)

    def on_delivered(
        self, proxy: int, number: VersionNumber | None, confirmed: bool = True
    ) -> None:
        """Take note that a relay took a message, which brings it to a version if it was of one.

        `confirmed` is False if so far as is known only its machine took it.
        """
        if number is not None and number >= self._delivered.get(proxy, number):
            self._delivered[proxy] = number
            if confirmed:
                self.on_proxy_request(proxy)

    def on_proxy_request(self, proxy: int) -> None:
        """Take note that a relay's program asked something, so it ran after taking what it has."""
        if proxy in self._delivered:
            self._confirmed[proxy] = self._delivered[proxy]

    def on_proxy_left(self, proxy: int) -> None:
        """Take note that a relay's connection ended."""
        number = self._delivered.pop(proxy, None)
        self._confirmed.pop(proxy, None)
        if number is not None:
            self.last_known[self._host.relay_id(proxy)] = number

    def clear(self) -> None:
        """Forget what connected relays hold: another controller serves them now."""
        self._delivered.clear()
        self._confirmed.clear()

    def statuses(self) -> list[RelayStatus]:
        """Return what each connected relay holds, in the order of proxy indices."""
        return [
            RelayStatus(
                self._host.relay_id(proxy),
                number,
                all(
                    self._table_changed_in.get(str(table), number) <= number
                    for table in self._host.tables_of(proxy).values()
                ),
                self._confirmed.get(proxy) == number,
            )
            for proxy, number in sorted(self._delivered.items())
        ]

    def held_versions(self) -> set[VersionNumber]:
        """Return the versions that a relay holds, or held before."""
        return {*self._delivered.values(), *self.last_known.values()}

    def save(self) -> None:
        """Store what relays hold, if it has changed."""
        versions = {
            **self.last_known,
            **{self._host.relay_id(proxy): number for proxy, number in self._delivered.items()},
        }
        kept = dict(list(versions.items())[-MAX_STORED_RELAYS:])
        if kept != self.last_known:
            self.last_known = kept
            self._host.save([(codec.RELAYS_KEY, codec.encode_relay_versions(kept))])
