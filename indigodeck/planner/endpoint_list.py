"""The current endpoint list, built from full and incremental updates; free of I/O.

Updates come from a file or a discovery service and may arrive late, repeated or out of order. A
list older than the current one is ignored. If changes do not directly follow the current version,
the full list is fetched again.
"""

from collections.abc import Iterable, Sequence
from typing import Any, Protocol

from ..assignment.interface import Server, ServerState, UpdateKind
from ..clock import MILLISECOND
from ..id_registry import IdRegistry
from ..json_documents import InvalidDocumentError, load_schema, parse_document

SCHEMA = load_schema(__file__, "endpoint_list.schema.json")
SERVER_STATES = {
    "ready": ServerState.READY,
    "draining": ServerState.DRAINING,
    "gone": ServerState.GONE,
}

HostEntry = dict[str, Any]  # a host in the format of `endpoint_list.schema.json`


def parse_endpoint_list(text: str | bytes) -> dict[str, Any]:
    """Parse and validate an endpoint list document, {"version", "kind", "hosts": [..]}.

    Raises
    ------
    InvalidDocumentError
        If the document violates its schema or names a host twice; the message names the place.
    """
    document = parse_document(text, SCHEMA, "roster")
    seen = set()
    for index, entry in enumerate(document["hosts"]):
        if entry["id"] in seen:
            raise InvalidDocumentError(f"roster: hosts/{index}/id: duplicate id {entry['id']!r}")
        seen.add(entry["id"])
    return document


class Listener(Protocol):
    """The receiver of notifications about the endpoint list."""

    def on_endpoint_update(self, kind: UpdateKind, servers: Sequence[Server]) -> None:
        """Process a full or incremental update of the endpoint list."""

    def on_stale_list(self, entries: dict[str, HostEntry]) -> None:
        """Process a list older than the current one; `entries` are by host id."""

    def fetch_endpoint_list(self) -> None:
        """Fetch the full list, because changes are missing."""

    def log_event(self, event: str, **fields: Any) -> None:
        """Write an event to the log."""


class EndpointList:
    """Holds the newest list and notifies its listener of updates.

    `zone_names` and `machine_type_names` are in the order of the settings. `wall_clock_offset`
    (microseconds) converts the planner's monotonic clock to the wall clock, in which lists state
    start times. `oldest_accepted` is the (version, epoch) of a cached list: even a first list that
    is older is ignored. `quiesced_ids` are the hosts that have reported that they accept no new
    work.
    """

    def __init__(
        self,
        listener: Listener,
        server_ids: IdRegistry,
        zone_names: Sequence[str],
        machine_type_names: Sequence[str],
        wall_clock_offset: int,
    ) -> None:
        self.listener = listener
        self.server_ids = server_ids
        self.wall_clock_offset = wall_clock_offset
        self.version: int | None = None
        self.epoch = 0
        self.oldest_accepted: tuple[int, int] | None = None
        self.entries: dict[str, HostEntry] = {}
        self.quiesced_ids: set[str] = set()
        self._zone_indices = {name: index for index, name in enumerate(zone_names)}
        self._machine_types = {name: index for index, name in enumerate(machine_type_names)}

    def apply(self, document: dict[str, Any]) -> None:
        """Apply a document of either kind."""
        if document.get("kind") == "changes":
            self.apply_incremental(document)
        else:
            self.apply_full(document)

    def apply_full(self, document: dict[str, Any]) -> None:
        """Replace the current list, unless the given one is older."""
        version = document["version"]
        epoch = document.get("epoch", 0)
        known_version, known_epoch = self._newest_known()
        # A discovery service that restarts may number versions from the start again, with a higher
        # epoch.
        if version < known_version and epoch <= known_epoch:
            self.listener.on_stale_list({entry["id"]: entry for entry in document["hosts"]})
            self.listener.log_event(
                "endpoint_list_stale", version=version, held_version=known_version
            )
            return
        # After a planner starts, its first list does not show what changed: listed processes may
        # have been running for long.
        kind = UpdateKind.CACHED if self.version is None else UpdateKind.FULL
        self.version = version
        self.epoch = epoch
        self.entries = {
            entry["id"]: entry for entry in document["hosts"] if entry["state"] != "gone"
        }
        self.quiesced_ids &= self.entries.keys()
        self.listener.on_endpoint_update(kind, self._servers(self.entries.values()))

    def apply_incremental(self, document: dict[str, Any]) -> None:
        """Apply changes that directly follow the current version; after a gap, fetch the list."""
        version = document["version"]
        if self.version is None or version > self.version + 1:
            self.listener.fetch_endpoint_list()
            return
        if version <= self.version:
            return  # a repeated document
        self.version = version
        for entry in document["hosts"]:
            if entry["state"] == "gone":
                self.entries.pop(entry["id"], None)
            else:
                self.entries[entry["id"]] = entry
        self.listener.on_endpoint_update(UpdateKind.INCREMENTAL, self._servers(document["hosts"]))

    def _newest_known(self) -> tuple[int, int]:
        if self.version is not None:
            return self.version, self.epoch
        return self.oldest_accepted or (-1, 0)

    def to_record(self) -> dict[str, Any]:
        """Return the part of the list that is stored for the next start."""
        return {
            "version": self.version,
            "epoch": self.epoch,
            "hosts": list(self.entries.values()),
            "quiet": sorted(self.quiesced_ids),
        }

    def restore(self, record: dict[str, Any], entries: Sequence[HostEntry], is_first: bool) -> None:
        """Use entries of a stored record: these alone if `is_first`, otherwise in addition.

        Lists older than the record are still ignored.
        """
        self.version = record["version"]
        self.epoch = record["epoch"]
        restored = {entry["id"]: entry for entry in entries}
        self.entries = restored if is_first else {**self.entries, **restored}
        self.quiesced_ids = set(record["quiet"]) & self.entries.keys()
        kind = UpdateKind.CACHED if is_first else UpdateKind.INCREMENTAL
        self.listener.on_endpoint_update(kind, self._servers(entries))

    def set_quiesced(self, address: str, port: int, quiesced: bool) -> bool:
        """Apply a host's own statement on whether it accepts new work, ahead of any list.

        Returns
        -------
        Whether the list names a host at this address.
        """
        for host_id, entry in self.entries.items():
            if (entry["address"], entry["port"]) == (address, port):
                if quiesced:
                    self.quiesced_ids.add(host_id)
                else:
                    self.quiesced_ids.discard(host_id)
                self.listener.on_endpoint_update(UpdateKind.INCREMENTAL, self._servers([entry]))
                return True
        return False

    def _servers(self, entries: Iterable[HostEntry]) -> list[Server]:
        return [self._server(entry) for entry in entries]

    def _server(self, entry: HostEntry) -> Server:
        host_id = entry["id"]
        return Server(
            index=self.server_ids.index(host_id),
            stable_id=host_id.encode(),
            cell=entry.get("cell", 0),
            machine_type=self._machine_types.get(entry.get("kind", ""), len(self._machine_types)),
            zone=self._zone_indices.get(entry.get("hall", ""), 0),
            weight=float(entry.get("weight", 1.0)),
            started=self._started(entry),
            state=self._state(entry),
        )

    def _started(self, entry: HostEntry) -> int:
        """Return a host's start time on the planner's clock, or 0 if that clock started later."""
        started = entry.get("started_ms", 0) * MILLISECOND
        return max(0, started - self.wall_clock_offset) if started else 0

    def _state(self, entry: HostEntry) -> ServerState:
        state = SERVER_STATES[entry["state"]]
        if state == ServerState.READY and entry["id"] in self.quiesced_ids:
            return ServerState.DRAINING
        return state
