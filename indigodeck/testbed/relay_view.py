"""Rebuilds a relay's tables from the recorded messages that a planner sent to it."""

from collections.abc import Callable, Iterable
from typing import Any

from ..client.sasp import table_entry
from ..client.tables import TableEntry, Tables
from ..frontends.sasp import codec
from .recording_proxy import StreamEvent, StreamEventType

Groups = list[tuple[tuple[bytes, bytes], list[codec.Entry]]]  # ((relay, class), entries)


class RelayView:
    """The tables of one relay, according to the messages sent to it."""

    def __init__(self, class_names: Iterable[str], now: Callable[[], int]) -> None:
        self.is_joined = False
        self.tables = Tables(class_names, now)

    def apply(self, event: StreamEvent) -> None:
        """Apply an event on the relay's stream."""
        if event.type == StreamEventType.JOINED:
            self.is_joined = True
            self.tables.connection_opened()
        elif event.type == StreamEventType.LEFT:
            self.is_joined = False
        elif isinstance(event.data, bytes):
            codec.dispatch(event.data, self)
        else:
            self._apply_reported(event.data)

    def has_empty_table(self, class_name: str) -> bool:
        """Return whether the relay is joined and has received a table without servers."""
        return (
            self.is_joined
            and self.tables.updated_at[class_name] is not None
            and not self.tables.lines[class_name]
        )

    def answered(self, number: int, message_type: int, code: int) -> None:
        """Ignore an answer without weights (called by the codec)."""

    def weights(self, number: int, code: int, interval: int, groups: Groups) -> None:
        """Apply an answer with weights (called by the codec)."""
        self.sent_weights(number, groups)

    def sent_weights(self, number: int, groups: Groups) -> None:
        """Apply pushed weights (called by the codec)."""
        for (_, name), entries in groups:
            self.tables.update(name.decode(), [table_entry(entry) for entry in entries])

    def _apply_reported(self, tables: Any) -> None:
        """Apply whole tables as reported by a relay whose stream the proxy cannot read."""
        for name, entries in tables:
            reported = [TableEntry(tuple(address), *rest) for address, *rest in entries]
            self.tables.replace(name, reported)


class _EntryCounter:
    """Counts the table entries in a SASP message; an answer to a rejected relay has none."""

    def __init__(self) -> None:
        self.count = 0

    def answered(self, number: int, message_type: int, code: int) -> None:
        pass

    def weights(self, number: int, code: int, interval: int, groups: Groups) -> None:
        self.sent_weights(number, groups)

    def sent_weights(self, number: int, groups: Groups) -> None:
        self.count += sum(len(entries) for _, entries in groups)


def count_entries(data: Any) -> int:
    """Return the number of table entries in a message to a relay, of either protocol."""
    if not isinstance(data, bytes):
        return sum(len(entries) for _, entries in data)
    counter = _EntryCounter()
    codec.dispatch(data, counter)
    return counter.count
