"""The endpoint list as a planner is given it, free of I/O: which list counts, and what it says.

Lists come from a file or a service, whole or as changes, late, twice or out of order. A list older
than the one held is left aside; changes that don't follow on it are asked for again as a whole.
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

Entry = dict[str, Any]  # a host as the document states it (`endpoint_list.schema.json`)


def parse_endpoint_list(text: str | bytes) -> dict[str, Any]:
    """Read a list's document, {"version", "kind", "hosts": [..]}.

    Raises
    ------
    InvalidDocumentError
        If it does not follow its schema, or names a host twice; the message names the place.
    """
    document = parse_document(text, SCHEMA, "roster")
    seen = set()
    for index, entry in enumerate(document["hosts"]):
        if entry["id"] in seen:
            raise InvalidDocumentError(f"roster: hosts/{index}/id: {entry['id']!r} stands twice")
        seen.add(entry["id"])
    return document


class Listener(Protocol):
    """What is told of the endpoint list."""

    def on_endpoint_update(self, kind: UpdateKind, servers: Sequence[Server]) -> None:
        """Take in what the list says now, or what changed in it."""

    def on_stale_list(self, entries: dict[str, Entry]) -> None:
        """Take note of a list that is older than the one that counts, by ids."""

    def fetch_endpoint_list(self) -> None:
        """Fetch the whole list: changes are missing."""

    def log_event(self, event: str, **facts: Any) -> None:
        """Write a line to the log."""


class EndpointList:
    """Holds the newest list and tells its listener what it says.

    `zone_names` and `machine_type_names` are in the order of the settings. `wall_clock_offset` is
    from the planner's own clock to the wall clock, in which lists state starts (microseconds).
    `oldest_accepted` is the version and epoch of a list that was cached: an older one is no first
    list either. `quiesced_ids` are hosts that say of themselves that they take no new work.
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
        self.entries: dict[str, Entry] = {}
        self.quiesced_ids: set[str] = set()
        self._zone_indices = {name: index for index, name in enumerate(zone_names)}
        self._machine_types = {name: index for index, name in enumerate(machine_type_names)}

    def apply(self, document: dict[str, Any]) -> None:
        """Take in a document of either kind."""
        if document.get("kind") == "changes":
            self.apply_changes(document)
        else:
            self.apply_whole(document)

    def apply_whole(self, document: dict[str, Any]) -> None:
        """Take in a list of all hosts, unless it is older than what is held."""
        version = document["version"]
        epoch = document.get("epoch", 0)
        held_version, held_epoch = self._held()
        # A service that starts again may count from the start again; its epoch says so.
        if version < held_version and epoch <= held_epoch:
            self.listener.on_stale_list({entry["id"]: entry for entry in document["hosts"]})
            self.listener.log_event(
                "endpoint_list_stale", version=version, held_version=held_version
            )
            return
        # The first list after a start says nothing of what changed: processes in it may be long up.
        kind = UpdateKind.CACHED if self.version is None else UpdateKind.FULL
        self.version = version
        self.epoch = epoch
        self.entries = {
            entry["id"]: entry for entry in document["hosts"] if entry["state"] != "gone"
        }
        self.quiesced_ids &= self.entries.keys()
        self.listener.on_endpoint_update(kind, self._servers(self.entries.values()))

    def apply_changes(self, document: dict[str, Any]) -> None:
        """Take in changes that follow on the version held; others have the list fetched."""
        version = document["version"]
        if self.version is None or version > self.version + 1:
            self.listener.fetch_endpoint_list()
            return
        if version <= self.version:
            return  # sent twice
        self.version = version
        for entry in document["hosts"]:
            if entry["state"] == "gone":
                self.entries.pop(entry["id"], None)
            else:
                self.entries[entry["id"]] = entry
        self.listener.on_endpoint_update(UpdateKind.INCREMENTAL, self._servers(document["hosts"]))

    def _held(self) -> tuple[int, int]:
        if self.version is not None:
            return self.version, self.epoch
        return self.oldest_accepted or (-1, 0)

    def to_record(self) -> dict[str, Any]:
        """Return what of the list outlasts a restart, as it is stored."""
        return {
            "version": self.version,
            "epoch": self.epoch,
            "hosts": list(self.entries.values()),
            "quiet": sorted(self.quiesced_ids),
        }

    def restore(self, record: dict[str, Any], entries: Sequence[Entry], is_first: bool) -> None:
        """Go by these entries of a stored record: all there are (`is_first`), or more of them.

        Lists older than the record are left aside as ever.
        """
        self.version = record["version"]
        self.epoch = record["epoch"]
        restored = {entry["id"]: entry for entry in entries}
        self.entries = restored if is_first else {**self.entries, **restored}
        self.quiesced_ids = set(record["quiet"]) & self.entries.keys()
        kind = UpdateKind.CACHED if is_first else UpdateKind.INCREMENTAL
        self.listener.on_endpoint_update(kind, self._servers(entries))

    def set_quiesced(self, address: str, port: int, quiesced: bool) -> bool:
        """Take a host's own word, sooner than any list, whether it takes new work.

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

    def _servers(self, entries: Iterable[Entry]) -> list[Server]:
        return [self._server(entry) for entry in entries]

    def _server(self, entry: Entry) -> Server:
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

    def _started(self, entry: Entry) -> int:
        """Return when a host's process started, on the planner's clock; 0: before that began."""
        started = entry.get("started_ms", 0) * MILLISECOND
        return max(0, started - self.wall_clock_offset) if started else 0

    def _state(self, entry: Entry) -> ServerState:
        state = SERVER_STATES[entry["state"]]
        if state == ServerState.READY and entry["id"] in self.quiesced_ids:
            return ServerState.DRAINING
        return state
