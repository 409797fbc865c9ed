"""The admin API for versions, without I/O: operator requests as JSON, and the answers to them.

The JSON keys of requests and answers are defined only here and in `operator_request.schema.json`.
Each answer fits in one message; longer ones are paginated.
"""

import json
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from ..errors import RejectedError
from ..json_documents import load_schema, schema_errors
from . import codec
from .model import Snapshot, TableDelta, TableSnapshot, Version, VersionNumber
from .operator_commands import OperatorClock, OperatorCommands
from .publisher import TablePublisher

REQUEST_SCHEMA = load_schema(__file__, "operator_request.schema.json")
MAX_PAGE_ENTRIES = 100  # versions or relays in one answer
MAX_PAGE_BYTES = 24 << 10  # of JSON for the tables in one answer
MAX_SHOWN_CAUSE_LENGTH = 200  # characters of a version's cause in an answer
MAX_ERROR_LENGTH = 500  # characters of the schema's error message in an answer

Answer = dict[str, Any]


class AdminApi:
    """Carries out operator requests on a publisher, and answers them."""

    def __init__(self, publisher: TablePublisher, clock: OperatorClock):
        self._publisher = publisher
        self._commands = OperatorCommands(publisher, clock)
        self._handlers: dict[str, Callable[..., Answer]] = {
            "list": self._list,
            "show": self._show,
            "diff": self._diff,
            "relays": self._relays,
            "rollback": self._roll_back,
            "release": self._release,
            "pin": self._pin,
        }

    def answer(self, request: dict[str, Any]) -> Answer:
        """Return the answer to a request; {"why_not": text} if it is rejected."""
        errors = schema_errors(request, REQUEST_SCHEMA)
        if errors:
            return {"why_not": errors[0][:MAX_ERROR_LENGTH]}
        arguments = {name: value for name, value in request.items() if name != "what"}
        try:
            return self._handlers[request["what"]](**arguments)
        except RejectedError as error:
            return {"why_not": str(error)}

    def _list(self, before: str | None = None) -> Answer:
        """Answer with a page of versions, the newest first, and the active rollbacks."""
        log = self._publisher.version_log
        last = VersionNumber.parse(before) if before else None
        numbers = [
            number for number in sorted(log.versions, reverse=True) if last is None or number < last
        ]
        rollbacks = self._publisher.requests.rollbacks
        return {
            "versions": [
                self._version_fields(log.versions[number]) for number in numbers[:MAX_PAGE_ENTRIES]
            ],
            "more": len(numbers) > MAX_PAGE_ENTRIES,
            "newest": str(log.newest) if log.newest else None,
            "holds": {
                class_name: {
                    "number": str(pin.version),
                    "author": pin.author,
                    "reason": pin.reason,
                    "at": pin.requested_at,
                }
                for class_name, pin in rollbacks.items()
            },
            "in_charge": self._publisher.is_leader,
            "overruled": self._commands.describe_overrides(rollbacks),
        }

    def _show(self, number: str, after: str | None = None) -> Answer:
        parsed = VersionNumber.parse(number)
        snapshot = self._publisher.version_log.snapshot_of(parsed)
        if snapshot is None:
            raise RejectedError(f"version {parsed} is not kept")
        return {
            "version": self._version_fields(self._publisher.version_log.versions[parsed]),
            **_page(codec.encode_snapshot(snapshot), after),
        }

    def _diff(self, old: str, new: str, after: str | None = None) -> Answer:
        """Answer with the old and the new weight of each line that differs."""
        log = self._publisher.version_log
        before = log.snapshot_of(VersionNumber.parse(old))
        delta = log.delta_between(VersionNumber.parse(old), VersionNumber.parse(new))
        if before is None or delta is None:
            raise RejectedError(f"{old} or {new} is not kept")
        return _page(
            {table: _table_diff(before, table, change) for table, change in delta.items()}, after
        )

    def _relays(self, after: str = "") -> Answer:
        statuses = sorted(
            status for status in self._publisher.relay_versions.statuses() if status.relay > after
        )
        return {
            "relays": [
                (status.relay, str(status.version), status.up_to_date, status.confirmed)
                for status in statuses[:MAX_PAGE_ENTRIES]
            ],
            "more": len(statuses) > MAX_PAGE_ENTRIES,
        }

    def _roll_back(
        self, number: str, author: str, reason: str, classes: Sequence[str] = ()
    ) -> Answer:
        return self._success(
            self._commands.roll_back(VersionNumber.parse(number), classes, author, reason)
        )

    def _release(self, author: str, reason: str, classes: Sequence[str] = ()) -> Answer:
        return self._success(self._commands.release(classes, author, reason))

    def _pin(self, number: str, on: bool) -> Answer:
        return self._success(self._commands.set_version_pinned(VersionNumber.parse(number), on))

    def _success(self, text: str) -> Answer:
        return {"done": text, "serial": list(self._publisher.requests.serial)}

    def _version_fields(self, version: Version) -> Answer:
        return {
            "number": str(version.number),
            "parent": str(version.parent) if version.parent else None,
            "at": version.published_at,
            "cause": version.cause[:MAX_SHOWN_CAUSE_LENGTH],
            "author": version.author,
            "content": version.content_hash,
            "pinned": version.number in self._publisher.requests.pinned_versions,
        }


def _page(tables: Mapping[str, Any], after: str | None) -> Answer:
    """Return the tables that sort after `after`, as many as fit in one answer."""
    page: dict[str, Any] = {}
    size = 0
    for table in sorted(tables):
        if after is not None and table <= after:
            continue
        size += len(json.dumps(tables[table])) + len(table)
        if page and size > MAX_PAGE_BYTES:
            return {"tables": page, "more": True}
        page[table] = tables[table]
    return {"tables": page, "more": False}


def _table_diff(before: Snapshot, table: str, change: TableSnapshot | TableDelta | None) -> Answer:
    """Return the change of one table for operators: [before, after] for each changed line."""
    old = before.get(table)
    old_weights: Mapping[str, float] = {} if old is None else old.weights
    weights: dict[str, float | None] = {}
    if not isinstance(change, TableDelta):
        weights.update((server, None) for server in old_weights)
    if change is not None:
        weights.update(change.weights)
    return {
        "class": _class_name(old, change),
        "level": [_admission(old), _admission(change)],
        "lines": {
            server: [old_weights.get(server), weight]
            for server, weight in weights.items()
            if old_weights.get(server) != weight
        },
    }


def _class_name(old: TableSnapshot | None, change: TableSnapshot | TableDelta | None) -> str | None:
    if old is not None:
        return old.class_name
    return change.class_name if isinstance(change, TableSnapshot) else None


def _admission(table: TableSnapshot | TableDelta | None) -> list[float] | None:
    return None if table is None else [table.admitted_share, table.retry_policy]
