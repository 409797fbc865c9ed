"""A store as a write-ahead log in segments: what is written when. No I/O but by `StoreFiles`.

Values stand under keys. A commit is one frame with all its changes, so that either all of them are
there or none. (A log of records with an index in memory, as in J. Sheehy and D. Smith, "Bitcask",
2010.) What the files are is told in `segments`.

- Recovery changes nothing of what it finds: the log goes on in a new segment, whose head says up to
  which sequence number the others count. So a crash during recovery is a crash before it.
- A base is written beside, synced, and renamed; the folder is synced before anything that the base
  replaces is removed. The base before it, and the segments since that one, stay until the next
  compaction: a single bad file, whichever it is, loses nothing.
- After any error of the disk writing stops (a failed sync may have dropped what it did not write:
  A. Rebello and others, "Can Applications Recover from fsync Failures?", ATC 2020); it goes on only
  in a new segment, without what was not acknowledged.
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

MAX_SEGMENT_BYTES = 1 << 20  # a longer segment is followed by a new one
MIN_COMPACTED_BYTES = 256 << 10  # fewer bytes since the base are not worth a compaction
COMPACTION_RATIO = 2  # bytes since the base over live bytes that are worth a compaction
MAX_SEGMENTS = 24  # each start leaves a segment behind, however short
COMPACTION_STEP_BYTES = 64 << 10  # bounds how long a step of a compaction delays a commit
MAX_KEY_LENGTH = 512  # characters


class StoreStoppedError(IndigodeckError):
    """Nothing can be written; the message says why, and to which file."""


class WriteAheadLog:
    """Opens the store in these files, or begins one.

    `damage` is what was found wrong, at the start or since. `data_lost`: some of what was damaged
    at the start had been acknowledged, so that values may be older than what others were told.
    `compaction_error`: why there will be no compaction until the next start, or None.
    `committed_bytes` counts the bytes of commits, `copied_bytes` those written by compactions.

    Opening raises OSError if the files' names can't be listed. Not safe for threads.
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
        self._segment_name = ""  # none is begun yet
        self._segment_size = 0
        self._sequence: int = recovered.sequence  # of the last record in the log
        self._synced_sequence: int = recovered.sequence  # of the last record that is acknowledged
        self._bytes_since_base: int = recovered.segment_bytes
        self._read_only_reason: str | None = recovered.read_only_reason  # for good
        self._stop_reason: str | None = None  # until a new segment can be begun
        self._compaction: Compaction | None = None
        self._begin_segment()

    # Reading.

    def keys(self) -> list[str]:
        """Return the keys that have a value, sorted."""
        return sorted(self.index)

    def read_all(self) -> dict[str, Any]:
        """Return the newest value of each key, as `get` does, in the order of the keys."""
        return {key: self.get(key) for key in sorted(self.index)}

    def get(self, key: str) -> Any:
        """Return the newest value of a key, or None.

        Each reading proves the record by its checksum: one that is damaged on the disk is reported
        in `damage` and never served.
        """
        entry = self.index.get(key)
        if entry is None:
            return None
        try:
            data = self.files.read_at(entry.file_name, entry.start, entry.end - entry.start)
        except OSError as error:
            self._report_damage(entry.file_name, entry.start, f"not readable: {error}")
            return None
        salt = framing.frame_salt(self.store_id, entry.file_name)
        frame = framing.decode_frame(salt, data)
        if frame is None or frame.sequence != entry.sequence:
            self._report_damage(entry.file_name, entry.start, f"the record of {key!r} is damaged")
            return None
        return dict(map(tuple, framing.unpack_value(frame.body))).get(key)

    def _report_damage(self, name: str, offset: int, reason: str) -> None:
        self.damage.append(Damage(name, offset, reason))

    # Writing.

    def commit(self, batches: Iterable[Changes]) -> None:
        """Write each batch of changes as one record, and sync once.

        The batches are acknowledged when this returns. Raises StoreStoppedError if they may be
        there or not, and ValueError if nothing was written because a key or record is not allowed.
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
            reason = self._stop(self._segment_name, error)
            raise StoreStoppedError(reason) from error
        self._acknowledge(records)
        if self._segment_size > MAX_SEGMENT_BYTES:
            self._begin_segment()

    def _encode(self, batches: Iterable[Changes]) -> list["_EncodedRecord"]:
        """Return the records as they will stand at the end of the segment."""
        salt = framing.frame_salt(self.store_id, self._segment_name)
        sequence = self._sequence
        records: list[_EncodedRecord] = []
        for changes in batches:
            for key, _ in changes:
                if not isinstance(key, str) or len(key) > MAX_KEY_LENGTH:
                    raise ValueError(f"a key is a text of {MAX_KEY_LENGTH} characters at most")
            sequence += 1
            value = [list(change) for change in changes]
            data = framing.encode_frame(salt, sequence, self._synced_sequence, value)
            records.append(_EncodedRecord(sequence, data, changes))
        return records

    def _acknowledge(self, records: list["_EncodedRecord"]) -> None:
        """Take into account the records that were written and synced."""
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
        """Begin a new segment. It follows what recovery took, or what was acknowledged."""
        if self._read_only_reason is not None:
            self._stop_reason = self._read_only_reason
            return
        self._last_file_number += 1  # never used again, whether the file comes to be or not
        name = segments.file_name(self._last_file_number, FileType.SEGMENT)
        header = segments.encode_header(self.store_id, name, self._synced_sequence)
        try:
            self.files.append(name, header)
            self.files.sync(name)
            self.files.sync_folder()
        except OSError as error:
            self._stop(name, error)
            return
        self._segments[self._last_file_number] = name
        self._segment_name = name
        self._segment_size = len(header)
        self._sequence = self._synced_sequence
        self._stop_reason = None

    def _stop(self, name: str, error: OSError) -> str:
        reason = f"{name}: {error}"
        self._stop_reason = reason
        self._compaction = None
        return reason

    # Compaction, a little at a time, between commits.

    def compaction_due(self) -> bool:
        """Whether a compaction is under way or worth its cost."""
        if self._stop_reason is not None or self.compaction_error is not None:
            return False
        if self._compaction is not None or len(self._segments) > MAX_SEGMENTS:
            return True
        threshold = max(MIN_COMPACTED_BYTES, COMPACTION_RATIO * self.index.live_bytes)
        return self._bytes_since_base > threshold

    def compact(self, max_bytes: int = COMPACTION_STEP_BYTES) -> bool:
        """Begin a compaction or go on with one, for about `max_bytes`.

        Returns True once its base is complete and in place.
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
            # The segments hold everything; what can't be copied, or written beside them, is left
            # until the next start.
            self.compaction_error = str(error)
            self._compaction = None
            return False

    def _begin_compaction(self) -> None:
        self._begin_segment()
        if self._stop_reason is not None:
            return
        # All that is live now stands in the segments before the new one, or in the base.
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
        """Put the new base in place, and remove what has become superfluous.

        The base counts once the folder is synced; only then anything that it replaces is removed.
        """
        self.files.rename(compaction.unfinished_name, compaction.base_name)
        self.files.sync_folder()
        for key, entry in compaction.copied_entries.items():
            self.index.relocate(key, entry)
        previous_base = max(self._bases, default=0)
        self._bases[compaction.base_number] = compaction.base_name
        self._bytes_since_base -= compaction.segment_bytes
        self._compaction = None
        # The base before and the segments since are kept: should this base go bad, nothing is lost.
        self._remove_files(self._bases, below=previous_base)
        self._remove_files(self._segments, below=previous_base + 1)

    def _remove_files(self, names: dict[int, str], below: int) -> None:
        """Remove the files of lower numbers."""
        for number in [number for number in names if number < below]:
            self.files.remove(names[number])
            del names[number]


class _EncodedRecord(NamedTuple):
    sequence: int
    data: bytes
    changes: Changes
