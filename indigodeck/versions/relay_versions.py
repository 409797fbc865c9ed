"""The version that each relay holds, without I/O.

A relay holds the version that was the newest when a message to it was built, once the transport
reports that the message was delivered. It is up to date as long as later versions do not change
its own tables. Proxies are indices of connected relays; disconnected relays are recorded by id.
"""

from collections.abc import Iterable, Mapping
from typing import Any, Protocol

from . import codec
from .model import RelayStatus, VersionNumber

MAX_STORED_RELAYS = 65_536


class RelayVersionsHost(Protocol):
    """The environment of `RelayVersions`."""

    def save(self, changes: list[tuple[str, Any]]) -> None:
        """Store values by key, soon and all or none of them; None removes a key."""

    def load(self, key: str) -> Any:
        """Return the value stored under a key, or None."""

    def relay_id(self, proxy: int) -> str:
        """Return the id of the relay with a proxy index."""

    def tables_of(self, proxy: int) -> Mapping[int, int]:
        """Return the tables that a proxy is assigned to, by class index."""


class RelayVersions:
    """The versions that connected relays hold, and the last ones of disconnected relays.

    `last_known` has versions by relay id, in the form that is stored. A relay's entry is updated
    when it disconnects, and all entries whenever they are saved.
    """

    def __init__(self, host: RelayVersionsHost):
        self.last_known = codec.decode_relay_versions(host.load(codec.RELAYS_KEY))
        self._host = host
        self._delivered: dict[int, VersionNumber] = {}  # by proxy
        self._confirmed: dict[int, VersionNumber] = {}  # by proxy: received by its process
        self._table_changed_in: dict[str, VersionNumber] = {}

    def on_published(self, number: VersionNumber, changed_tables: Iterable[str]) -> None:
        """Record that a version was published and changes these tables."""
        self._table_changed_in.update((table, number) for table in changed_tables)

    def on_delivered(
        self, proxy: int, number: VersionNumber | None, confirmed: bool = True
    ) -> None:
        """Record that a message was delivered to a relay, and its version, if it has one.

        `confirmed` is False if only the relay's machine, not its process, is known to have it.
        """
        if number is not None and number >= self._delivered.get(proxy, number):
            self._delivered[proxy] = number
            if confirmed:
                self.on_proxy_request(proxy)

    def on_proxy_request(self, proxy: int) -> None:
        """Record a request from a relay: its process has received what was delivered before."""
        if proxy in self._delivered:
            self._confirmed[proxy] = self._delivered[proxy]

    def on_proxy_left(self, proxy: int) -> None:
        """Record that a relay disconnected."""
        number = self._delivered.pop(proxy, None)
        self._confirmed.pop(proxy, None)
        if number is not None:
            self.last_known[self._host.relay_id(proxy)] = number

    def clear(self) -> None:
        """Discard the versions of connected relays: another controller serves them now."""
        self._delivered.clear()
        self._confirmed.clear()

    def statuses(self) -> list[RelayStatus]:
        """Return the status of connected relays whose version is known, ordered by proxy index."""
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
        """Return the versions that connected relays hold, and the last known ones of others."""
        return {*self._delivered.values(), *self.last_known.values()}

    def save(self) -> None:
        """Store the versions that relays hold, if they have changed."""
        versions = {
            **self.last_known,
            **{self._host.relay_id(proxy): number for proxy, number in self._delivered.items()},
        }
        kept = dict(list(versions.items())[-MAX_STORED_RELAYS:])
        if kept != self.last_known:
            self.last_known = kept
            self._host.save([(codec.RELAYS_KEY, codec.encode_relay_versions(kept))])
