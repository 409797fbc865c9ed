"""Recovery: reads the contents of a store from its files at start-up.

Recovery never modifies the files. It reads the newest complete base and the segments that this base
does not cover. Damage is reported, and the readable records around it are still used.
"""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from . import framing, segments
from .files import StoreFiles
from .framing import ByteRange, Frame
from .index import RecordIndex
from .segments import FileType


class Damage(NamedTuple):
    """Damage that was found: the file, the offset where it starts, and a description."""

    file_name: str
    offset: int
    reason: str


@dataclass(slots=True)
class RecoveredStore:
    """The result of recovery.

    `segments` and `bases` map file numbers to file names, and `last_file_number` is the highest of
    these numbers. `sequence` is the number of the last record. `segment_bytes` is the size of the
    segments that no base covers. `data_lost` is true if acknowledged data may be missing, so that
    values may be older than those that other processes have seen. `read_only_reason` says why this
    store must not be written to; it is None if writing is allowed.
    """

    store_id: bytes
    segments: dict[int, str]
    bases: dict[int, str]
    last_file_number: int
    index: RecordIndex = field(default_factory=RecordIndex)
    sequence: int = 0
    segment_bytes: int = 0
    damage: list[Damage] = field(default_factory=list)
    data_lost: bool = False
    read_only_reason: str | None = None


def recover(files: StoreFiles) -> RecoveredStore:
    """Read a store; return an empty one with a new id if no file has a complete header."""
    return _Recovery(files).run()


@dataclass(slots=True)
class _ScannedSegment:
    """A segment's frames.

    Its valid records are numbered after `previous_sequence`, up to and including `last_sequence`.
    Either is None if it is not known.
    """

    name: str
    frames: list[Frame]
    bad_ranges: list[ByteRange]
    previous_sequence: int | None
    last_sequence: int | None = None


class _Recovery:
    """One run of recovery."""

    def __init__(self, files: StoreFiles) -> None:
        self._files = files
        self._file_contents: dict[str, bytes] = {}
        names = files.names()
        segment_names = segments.numbered_files(names, FileType.SEGMENT)
        base_names = segments.numbered_files(names, FileType.BASE)
        self._store = RecoveredStore(
            store_id=b"",
            segments=segment_names,
            bases=base_names,
            last_file_number=max([0, *segment_names, *base_names]),
        )

    def run(self) -> RecoveredStore:
        store = self._store
        if not self._find_store_id():
            store.store_id = self._files.new_store_id()
            return store
        covered = self._load_base()
        uncovered = [name for number, name in store.segments.items() if number > covered]
        self._load_segments(uncovered)
        self._sync_segments(uncovered)
        return store

    def _find_store_id(self) -> bool:
        """Take the store's id from the first file with a complete header; False if none has one."""
        store = self._store
        names = [*reversed(store.bases.values()), *store.segments.values()]
        for name in names:
            store_id = segments.read_store_id(name, self._read_file(name))
            if store_id:
                store.store_id = store_id
                return True
        for name in names:
            data = self._read_file(name)
            if data:
                self._report_damage(name, 0, "no file of this store has a complete header")
                # Records are appended only after the header is synced, so a file with a torn
                # header never held records that could be lost.
                store.data_lost = store.data_lost or len(data) > segments.HEADER_BYTES
        return False

    def _load_base(self) -> int:
        """Load the newest complete base and return the number of the last segment it covers.

        If no base is complete, load the readable records of all bases and return 0.
        """
        store = self._store
        scans = {}
        for number, name in reversed(store.bases.items()):
            scanned = segments.scan_file(store.store_id, name, self._read_file(name))
            scans[name] = scanned
            if self._is_complete_base(name, scanned):
                self._load_base_frames(name, scanned.frames[:-1])
                return number
            bad = scanned.bad_ranges
            self._report_damage(
                name,
                bad[0].start if bad else len(self._read_file(name)),
                "the base file is incomplete",
            )
        # A checksum proves that a record is valid, but nothing tells which records are missing.
        store.data_lost = store.data_lost or bool(scans)
        for name in store.bases.values():
            self._load_base_frames(name, scans[name].frames)
        return 0

    def _is_complete_base(self, name: str, scanned: framing.ScannedFrames) -> bool:
        """Whether the file has all records between its header and a footer with their number."""
        frames = scanned.frames
        footer = self._decode(name, frames[-1]) if frames else None
        return (
            not scanned.bad_ranges
            and len(frames) > 1
            and isinstance(footer, dict)
            and footer.get("count") == len(frames) - 2
        )

    def _load_base_frames(self, name: str, frames: list[Frame]) -> None:
        store = self._store
        for frame in frames:
            self._apply(name, frame)
            # The header of a base states the last sequence number that the base covers.
            store.sequence = max(store.sequence, frame.sequence, frame.synced_sequence)

    def _load_segments(self, names: list[str]) -> None:
        """Load segments in order.

        A segment's valid records start after the sequence number in its header and end at the
        sequence number in the header of the next segment.
        """
        scanned = [self._scan_segment(name) for name in names]
        last_sequence = None
        for segment in reversed(scanned):
            segment.last_sequence = last_sequence
            if segment.previous_sequence is not None:
                last_sequence = segment.previous_sequence
        # Records up to this number had been acknowledged, so a missing one is lost data.
        acknowledged_sequence = max(
            (frame.synced_sequence for segment in scanned for frame in segment.frames), default=0
        )
        for segment in scanned:
            self._store.segment_bytes += len(self._read_file(segment.name))
            self._load_segment(segment, acknowledged_sequence)

    def _scan_segment(self, name: str) -> _ScannedSegment:
        frames, bad_ranges = segments.scan_file(self._store.store_id, name, self._read_file(name))
        previous_sequence = None
        if frames:
            first = frames[0]
            # Without the header frame, this is derived from the first record.
            previous_sequence = first.synced_sequence if first.sequence == 0 else first.sequence - 1
        return _ScannedSegment(name, frames, bad_ranges, previous_sequence)

    def _load_segment(self, segment: _ScannedSegment, acknowledged_sequence: int) -> None:
        store = self._store
        if not segment.frames or segment.frames[0].sequence:
            self._report_damage(segment.name, 0, "the header of the segment is incomplete")
        if segment.previous_sequence is not None and segment.previous_sequence > store.sequence:
            self._report_gap(segment, segment.previous_sequence, segment.previous_sequence)
            store.sequence = segment.previous_sequence
        self._load_segment_records(segment, acknowledged_sequence)
        if segment.last_sequence is None:
            if segment.bad_ranges and acknowledged_sequence <= store.sequence:
                offset = segment.bad_ranges[-1].start
                self._report_damage(
                    segment.name,
                    offset,
                    "truncated here: the bytes that follow are not a complete record",
                )
        elif segment.last_sequence > store.sequence:
            self._report_gap(segment, segment.last_sequence, segment.last_sequence)
            store.sequence = segment.last_sequence

    def _load_segment_records(self, segment: _ScannedSegment, acknowledged_sequence: int) -> None:
        store = self._store
        if segment.last_sequence is not None:
            acknowledged_sequence = segment.last_sequence
        for frame in segment.frames:
            if frame.sequence <= store.sequence:
                continue
            if segment.last_sequence is not None and frame.sequence > segment.last_sequence:
                continue
            if frame.sequence > store.sequence + 1:
                is_damage = self._report_gap(segment, frame.sequence - 1, acknowledged_sequence)
                if not is_damage:
                    break
            self._apply(segment.name, frame)
            store.sequence = frame.sequence

    def _report_gap(
        self, segment: _ScannedSegment, last_missing: int, acknowledged_sequence: int
    ) -> bool:
        """Report missing records, from the next one up to `last_missing`, if they are damage.

        `acknowledged_sequence` is the highest sequence number that is known to have been synced.
        Returns True if the gap is damage: then the records after it are valid. Otherwise the
        missing records had not been synced when the power was lost, and records after the gap,
        which happened to reach the disk earlier, are not valid either.
        """
        first = self._store.sequence + 1
        if acknowledged_sequence < first:
            return False
        self._store.data_lost = True
        offset = segment.bad_ranges[0].start if segment.bad_ranges else 0
        self._report_damage(
            segment.name, offset, f"records {first} to {last_missing} are damaged or missing"
        )
        return True

    def _sync_segments(self, names: list[str]) -> None:
        """Make the segments that were read durable.

        If only the previous process ended and the machine kept running, bytes that were read here
        may still be in the page cache and not on the disk.
        """
        for name in names:
            try:
                self._files.sync(name)
            except OSError as error:
                self._store.read_only_reason = f"{name}: {error}"

    def _apply(self, name: str, frame: Frame) -> None:
        changes = self._decode(name, frame)
        if isinstance(changes, list):
            self._store.index.apply(name, frame.start, frame.end, frame.sequence, changes)

    def _decode(self, name: str, frame: Frame) -> Any:
        """Return a frame's value; if it can't be decoded, return None and make the store read-only.

        A newer version of the program may have written the frame.
        """
        try:
            return framing.unpack_value(frame.body)
        except framing.UnreadableRecordError as error:
            self._report_damage(name, frame.start, str(error))
            self._store.read_only_reason = f"{name}: {error}"
            return None

    def _read_file(self, name: str) -> bytes:
        """Return a file's contents; each file is read at most once, when it is first needed."""
        if name not in self._file_contents:
            try:
                self._file_contents[name] = self._files.read(name)
            except OSError as error:
                self._file_contents[name] = b""
                self._store.data_lost = True
                self._report_damage(name, 0, f"file can't be read: {error}")
        return self._file_contents[name]

    def _report_damage(self, name: str, offset: int, reason: str) -> None:
        self._store.damage.append(Damage(name, offset, reason))
