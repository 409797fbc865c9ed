"""Compaction: live records are copied out of old segments into a new base, a step at a time.

(As in M. Rosenblum and J. Ousterhout, "The Log-Structured File System", TOCS 1992.)
"""

from collections import deque
from collections.abc import Callable
from typing import Any

from . import framing, segments
from .files import StoreFiles
from .index import IndexEntry, RecordIndex
from .segments import FileType


class Compaction:
    """A compaction under way. The base that it writes counts only once it has its final name.

    `number` is that of the last segment that the base covers, `covers` the last sequence number,
    and `read_value` reads a key's value, or None if it can't be read. `segment_bytes` is the size
    of the segments that the base covers and the base before does not.
    Every method, construction included, may raise OSError; the compaction is then of no use.
    """

    def __init__(
        self,
        files: StoreFiles,
        store_id: bytes,
        index: RecordIndex,
        read_value: Callable[[str], Any],
        number: int,
        covers: int,
        segment_bytes: int,
    ) -> None:
        self.number = number
        self.base_name = segments.file_name(number, FileType.BASE)
        self.unfinished_name = segments.file_name(number, FileType.UNFINISHED_BASE)
        self.segment_bytes = segment_bytes
        self.copies: dict[str, IndexEntry] = {}
        self._files = files
        self._salt = framing.frame_salt(store_id, self.base_name)
        self._index = index
        self._read_value = read_value
        self._covers = covers
        self._remaining = deque(sorted(index, key=lambda key: index[key].sequence))
        head = segments.encode_head(store_id, self.base_name, covers)
        if self.unfinished_name in files.names():
            files.remove(self.unfinished_name)
        files.append(self.unfinished_name, head)
        self._size = len(head)

    @property
    def all_copied(self) -> bool:
        """Whether nothing is left to copy."""
        return not self._remaining

    def copy(self, max_bytes: int) -> int:
        """Copy records until `max_bytes` are exceeded, and return how many bytes were written."""
        parts: list[bytes] = []
        copied_bytes = 0
        while self._remaining and copied_bytes < max_bytes:
            key = self._remaining.popleft()
            entry = self._index.get(key)
            if entry is None or entry.sequence > self._covers:
                continue  # changed since: the segments that stay have it
            value = self._read_value(key)
            if value is None:
                raise OSError(f"{entry.file_name}: the record of {key!r} can't be read")
            data = framing.encode_frame(self._salt, entry.sequence, self._covers, [[key, value]])
            end = self._size + len(data)
            self.copies[key] = IndexEntry(
                self.base_name, self._size, end, entry.sequence, len(data)
            )
            self._size = end
            parts.append(data)
            copied_bytes += len(data)
        if parts:
            self._files.append(self.unfinished_name, b"".join(parts))
        return copied_bytes

    def finish(self) -> None:
        """Write the foot, which counts the records, and sync; the base has not its name yet."""
        foot = framing.encode_frame(
            self._salt, self._covers, self._covers, {"count": len(self.copies)}
        )
        self._files.append(self.unfinished_name, foot)
        self._files.sync(self.unfinished_name)
