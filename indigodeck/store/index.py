"""The in-memory index of the record that holds each key's newest value. No I/O."""

from collections.abc import Sequence
from typing import Any, NamedTuple, TypeAlias

# A key and its new value, of any type that MessagePack can encode; None removes the key.
Change: TypeAlias = tuple[str, Any]
Changes: TypeAlias = Sequence[Change]


class IndexEntry(NamedTuple):
    """The location of the record with a key's newest value.

    `start` and `end` are offsets in the file. A record may hold several keys: `byte_share` is its
    size divided by the number of its changes.
    """

    file_name: str
    start: int
    end: int
    sequence: int
    byte_share: float


class RecordIndex(dict[str, IndexEntry]):
    """The index entry of each key that has a value; `live_bytes` is the sum of `byte_share`."""

    def __init__(self) -> None:
        super().__init__()
        self.live_bytes = 0.0

    def apply(self, file_name: str, start: int, end: int, sequence: int, changes: Changes) -> None:
        """Index the changes of the record at these offsets, except where a newer one is indexed."""
        for key, value in changes:
            current = self.get(key)
            if current is not None and current.sequence > sequence:
                continue
            if current is not None:
                self.live_bytes -= current.byte_share
                del self[key]
            if value is not None:
                entry = IndexEntry(file_name, start, end, sequence, (end - start) / len(changes))
                self[key] = entry
                self.live_bytes += entry.byte_share

    def relocate(self, key: str, entry: IndexEntry) -> None:
        """Point a key at a copy of its record, unless the key has changed since the copy."""
        current = self.get(key)
        if current is not None and current.sequence == entry.sequence:
            self.live_bytes += entry.byte_share - current.byte_share
            self[key] = entry
