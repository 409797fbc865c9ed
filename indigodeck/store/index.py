"""The index in memory: in which record the newest value of each key stands. No I/O."""

from collections.abc import Sequence
from typing import Any, NamedTuple, TypeAlias

# A key, and its new value as MessagePack allows it, or None to drop the key.
Change: TypeAlias = tuple[str, Any]
Changes: TypeAlias = Sequence[Change]


class IndexEntry(NamedTuple):
    """Where the newest value of a key stands; `byte_share` is its part of the record's bytes."""

    file_name: str
    start: int
    end: int
    sequence: int
    byte_share: float


class RecordIndex(dict[str, IndexEntry]):
    """The index entry of each key that has a value; `live_bytes` is the sum of their shares."""

    def __init__(self) -> None:
        super().__init__()
        self.live_bytes = 0.0

    def apply(self, file_name: str, start: int, end: int, sequence: int, changes: Changes) -> None:
        """Enter the changes of the record at these offsets, unless newer ones are known."""
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
        """Point to a copy of the record of a key, unless the key has changed since."""
        current = self.get(key)
        if current is not None and current.sequence == entry.sequence:
            self.live_bytes += entry.byte_share - current.byte_share
            self[key] = entry
