"""A key-value store as a segmented write-ahead log. All I/O goes through `StoreFiles`.

This is a log of records with an in-memory index, as in J. Sheehy and D. Smith, "Bitcask", 2010. A
batch of changes is written as one frame, so it is applied completely or not at all. The files are
described in `segments`.

- Recovery never modifies existing files. The log continues in a new segment, whose header states
  the last valid sequence number of the earlier ones. A crash during recovery is therefore the same
  as a crash before it.
- A base is written under a temporary name, synced, and renamed. The folder is synced before
  anything that the base replaces is removed. The previous base and the segments since it are kept
  until the next compaction, so damage to a single file, be it a base or a segment that a base
  covers, loses no data.
- After any disk error, writing stops, because a failed sync may have discarded the data that it did
  not write (A. Rebello and others, "Can Applications Recover from fsync Failures?", ATC 2020). It
  resumes only in a new segment, without the records that were not acknowledged.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

from ..errors import IndigodeckError
from . import framing, segments
from .compaction import Compaction
from .files import StoreFiles
from .index import Changes, RecordIndex
from .recovery import Damage, recover
from .segments import FileType

MAX_SEGMENT_BYTES = 1 << 20  # a new segment is started once one is longer
MIN_COMPACTED_BYTES = 256 << 10  # no compaction for fewer bytes since the last base
COMPACTION_RATIO = 2  # compact above this ratio of bytes since the last base to live bytes
MAX_SEGMENTS = 24  # compact above this number, as each start adds a segment, however short
COMPACTION_STEP_BYTES = 64 << 10  # limits how long a compaction step delays a commit
MAX_KEY_LENGTH = 512  # characters


class StoreStoppedError(IndigodeckError):
    """The store can't be written to; the message names the cause and, if there is one, the file."""


class WriteAheadLog:
    """Opens the store in these files, or creates one if there is none.

    `damage` lists the damage found at start-up or later. `data_lost` is true if acknowledged data
    may have been missing at start-up, so that values may be older than those that other processes
    have seen. `compaction_error` says why there will be no compaction until the next start; it is
    None if there was no error. `committed_bytes` counts the bytes written by commits and
    `copied_bytes` those written by compactions.

    Opening raises OSError if the files can't be listed. Not thread-safe.
    """

    def __init__(self, files: StoreFiles) -> None:
        recovered = recover(files)
        self.files = files
        self.store_id: bytes = recovered.store_id
        self.index: RecordIndex = recovered.index
        self.damage: list[Damage] = recovered.damage
        self.data_lost: bool = recovered.data_lost
        self.compaction_error: str | None = None
        self.committed_bytes = 0
        self.copied_bytes = 0
        self._segments: dict[int, str] = recovered.segments
        self._bases: dict[int, str] = recovered.bases
        self._last_file_number: int = recovered.last_file_number
        self._segment_name = ""  # no segment has been started yet
        self._segment_size = 0
        self._sequence: int = recovered.sequence  # of the last record in the log
        self._synced_sequence: int = recovered.sequence  # of the last acknowledged record
        self._bytes_since_base: int = recovered.segment_bytes
        self._read_only_reason: str | None = recovered.read_only_reason  # permanent
        self._stop_reason: str | None = None  # until a new segment is started
        self._compaction: Compaction | None = None
        self._begin_segment()

    def keys(self) -> list[str]:
        """Return the keys that have a value, sorted."""
        return sorted(self.index)

    def read_all(self) -> dict[str, Any]:
        """Return the newest value of each key, as `get` does, sorted by key."""
        return {key: self.get(key) for key in sorted(self.index)}

    def get(self, key: str) -> Any:
        """Return the newest value of a key, or None.

        Every read verifies the record's checksum. A record that is damaged on disk is reported in
        `damage`, and None is returned for it.
        """
        entry = self.index.get(key)
        if entry is None:
            return None
        try:
            data = self.files.read_at(entry.file_name, entry.start, entry.end - entry.start)
        except OSError as error:
            self._report_damage(entry.file_name, entry.start, f"file can't be read: {error}")
            return None
        salt = framing.frame_salt(self.store_id, entry.file_name)
        frame = framing.decode_frame(salt, data)
        if frame is None or frame.sequence != entry.sequence:
            self._report_damage(
                entry.file_name, entry.start, f"the record of key {key!r} is damaged"
            )
            return None
        return dict(map(tuple, framing.unpack_value(frame.body))).get(key)

    def _report_damage(self, name: str, offset: int, reason: str) -> None:
        self.damage.append(Damage(name, offset, reason))

    def commit(self, batches: Iterable[Changes]) -> None:
        """Write each batch of changes as one record, then sync once.

        The batches are durable (acknowledged) when this returns. Raises StoreStoppedError if
        writing has stopped; a restart may or may not find the batches then. Raises ValueError,
        without writing anything, if a key or record is not allowed.
        """
        if self._stop_reason is not None:
            self._begin_segment()
        if self._stop_reason is not None:
            raise StoreStoppedError(self._stop_reason)
        records = self._encode(batches)
        try:
            self.files.append(self._segment_name, b"".join(record.data for record in records))
            self.files.sync(self._segment_name)
        except OSError as error:
            reason = self._stop_writing(self._segment_name, error)
            raise StoreStoppedError(reason) from error
        self._acknowledge(records)
        if self._segment_size > MAX_SEGMENT_BYTES:
            self._begin_segment()

    def _encode(self, batches: Iterable[Changes]) -> list["_EncodedRecord"]:
        """Encode the batches as records to append to the current segment."""
        salt = framing.frame_salt(self.store_id, self._segment_name)
        sequence = self._sequence
        records: list[_EncodedRecord] = []
        for changes in batches:
            for key, _ in changes:
                if not isinstance(key, str) or len(key) > MAX_KEY_LENGTH:
                    raise ValueError(
                        f"a key must be a string of at most {MAX_KEY_LENGTH} characters"
                    )
            sequence += 1
            value = [list(change) for change in changes]
            data = framing.encode_frame(salt, sequence, self._synced_sequence, value)
            records.append(_EncodedRecord(sequence, data, changes))
        return records

    def _acknowledge(self, records: list["_EncodedRecord"]) -> None:
        """Update the index and the counters for records that were written and synced."""
        start = self._segment_size
        for record in records:
            end = start + len(record.data)
            self.index.apply(self._segment_name, start, end, record.sequence, record.changes)
            self._sequence = record.sequence
            start = end
        appended_bytes = start - self._segment_size
        self._segment_size = start
        self.committed_bytes += appended_bytes
        self._bytes_since_base += appended_bytes
        self._synced_sequence = self._sequence

    def _begin_segment(self) -> None:
        """Start a new segment, which follows the last recovered or acknowledged record.

        If that fails, `_stop_reason` says why.
        """
        if self._read_only_reason is not None:
            self._stop_reason = self._read_only_reason
            return
        self._last_file_number += 1  # never reused, even if creating the file fails
        name = segments.file_name(self._last_file_number, FileType.SEGMENT)
        header = segments.encode_header(self.store_id, name, self._synced_sequence)
        try:
            self.files.append(name, header)
            self.files.sync(name)
            self.files.sync_folder()
        except OSError as error:
            self._stop_writing(name, error)
            return
        self._segments[self._last_file_number] = name
        self._segment_name = name
        self._segment_size = len(header)
        self._sequence = self._synced_sequence
        self._stop_reason = None

    def _stop_writing(self, name: str, error: OSError) -> str:
        reason = f"{name}: {error}"
        self._stop_reason = reason
        self._compaction = None
        return reason

    # Compaction is done in small steps between commits.

    def compaction_due(self) -> bool:
        """Whether a compaction is in progress or is worth its cost."""
        if self._stop_reason is not None or self.compaction_error is not None:
            return False
        if self._compaction is not None or len(self._segments) > MAX_SEGMENTS:
            return True
        threshold = max(MIN_COMPACTED_BYTES, COMPACTION_RATIO * self.index.live_bytes)
        return self._bytes_since_base > threshold

    def compact(self, max_bytes: int = COMPACTION_STEP_BYTES) -> bool:
        """Start a compaction or continue one, and copy about `max_bytes`.

        Returns True once the new base is complete and has replaced the previous one.
        """
        try:
            if self._compaction is None:
                self._begin_compaction()
            if self._compaction is None:
                return False
            self.copied_bytes += self._compaction.copy(max_bytes)
            if not self._compaction.all_copied:
                return False
            self._compaction.finish()
            self._install_base(self._compaction)
            return True
        except OSError as error:
            # No data is at risk, as the existing segments still hold all records. Compaction is
            # not tried again until the next start.
            self.compaction_error = str(error)
            self._compaction = None
            return False

    def _begin_compaction(self) -> None:
        self._begin_segment()
        if self._stop_reason is not None:
            return
        # All live records are now in the base or in segments before the new one.
        self._compaction = Compaction(
            files=self.files,
            store_id=self.store_id,
            index=self.index,
            read_value=self.get,
            base_number=self._last_file_number - 1,
            covered_sequence=self._synced_sequence,
            segment_bytes=self._bytes_since_base,
        )

    def _install_base(self, compaction: Compaction) -> None:
        """Rename the new base to its final name, and remove files that are no longer needed.

        The base is valid once the folder is synced, so files are removed only after that.
        """
        self.files.rename(compaction.unfinished_name, compaction.base_name)
        self.files.sync_folder()
        for key, entry in compaction.copied_entries.items():
            self.index.relocate(key, entry)
        previous_base = max(self._bases, default=0)
        self._bases[compaction.base_number] = compaction.base_name
        self._bytes_since_base -= compaction.segment_bytes
        self._compaction = None
        # The previous base and the segments since it are kept in case this base gets damaged.
        self._remove_files(self._bases, below=previous_base)
        self._remove_files(self._segments, below=previous_base + 1)

    def _remove_files(self, names: dict[int, str], below: int) -> None:
        """Remove the files with numbers lower than `below`."""
        for number in [number for number in names if number < below]:
            self.files.remove(names[number])
            del names[number]


class _EncodedRecord(NamedTuple):
    sequence: int
    data: bytes
    changes: Changes
