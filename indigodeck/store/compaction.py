"""Compaction: copies live records from old segments into a new base file, in small steps.

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
    """A compaction in progress. Its base file is valid only once it has its final name.

    `base_number` is the number of the last segment that the base covers, and `covered_sequence` is
    the last sequence number that it covers. `read_value` returns a key's value, or None if the
    value can't be read. `segment_bytes` is the size of the segments that this base covers and the
    previous base does not.
    Every method, including the constructor, may raise OSError; discard the compaction in that case.
    """

    def __init__(
        self,
        files: StoreFiles,
        store_id: bytes,
        index: RecordIndex,
        read_value: Callable[[str], Any],
        base_number: int,
        covered_sequence: int,
        segment_bytes: int,
    ) -> None:
        self.base_number = base_number
        self.base_name = segments.file_name(base_number, FileType.BASE)
        self.unfinished_name = segments.file_name(base_number, FileType.UNFINISHED_BASE)
        self.segment_bytes = segment_bytes
        self.copied_entries: dict[str, IndexEntry] = {}
        self._files = files
        self._salt = framing.frame_salt(store_id, self.base_name)
        self._index = index
        self._read_value = read_value
        self._covered_sequence = covered_sequence
        self._remaining_keys = deque(sorted(index, key=lambda key: index[key].sequence))
        header = segments.encode_header(store_id, self.base_name, covered_sequence)
        if self.unfinished_name in files.names():
            files.remove(self.unfinished_name)
        files.append(self.unfinished_name, header)
        self._size = len(header)

    @property
    def all_copied(self) -> bool:
        """Whether every live record has been copied."""
        return not self._remaining_keys

    def copy(self, max_bytes: int) -> int:
        """Copy records until `max_bytes` are reached or none is left; return the bytes written."""
        frames: list[bytes] = []
        copied_bytes = 0
        while self._remaining_keys and copied_bytes < max_bytes:
            key = self._remaining_keys.popleft()
            entry = self._index.get(key)
            if entry is None or entry.sequence > self._covered_sequence:
                continue  # removed or changed since: newer segments hold the change
            value = self._read_value(key)
            if value is None:
                raise OSError(f"{entry.file_name}: the record of key {key!r} can't be read")
            data = framing.encode_frame(
                self._salt, entry.sequence, self._covered_sequence, [[key, value]]
            )
            end = self._size + len(data)
            self.copied_entries[key] = IndexEntry(
                self.base_name, self._size, end, entry.sequence, len(data)
            )
            self._size = end
            frames.append(data)
            copied_bytes += len(data)
        if frames:
            self._files.append(self.unfinished_name, b"".join(frames))
        return copied_bytes

    def finish(self) -> None:
        """Write the footer, which holds the number of records, and sync the file.

        The caller then renames the file to its final name.
        """
        footer = framing.encode_frame(
            self._salt,
            self._covered_sequence,
            self._covered_sequence,
            {"count": len(self.copied_entries)},
        )
        self._files.append(self.unfinished_name, footer)
        self._files.sync(self.unfinished_name)
