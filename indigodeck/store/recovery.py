"""Recovery: what a store holds, as its files are found at a start.

Recovery changes nothing of what it finds. It reads the newest base that is complete and the
segments that this base does not cover. Whatever is damaged is reported; records around it are used.
"""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from . import framing, segments
from .files import StoreFiles
from .framing import ByteRange, Frame
from .index import RecordIndex
from .segments import FileType


class Damage(NamedTuple):
    """Something that was found wrong: the file, from which offset on, and what it means."""

    file_name: str
    offset: int
    reason: str


@dataclass(slots=True)
class RecoveredStore:
    """What recovery found.

    `segments` and `bases` are the names of the files under their numbers, `last_file_number` the
    highest of these. `segment_bytes` is the size of the segments that no base covers. `data_lost`:
    some of what is damaged had been acknowledged, so that the values may be older than others know.
    `read_only_reason`: why this store must not be written to, or None.
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
    """Read a store; an empty one with a new identity if no file says whose it is."""
    return _Recovery(files).run()


@dataclass(slots=True)
class _ScannedSegment:
    """A segment's frames. They count from after `follows` up to `last`, where these are known."""

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
        if not self._identify():
            store.store_id = self._files.new_store_id()
            return store
        covered = self._load_base()
        uncovered = [name for number, name in store.segments.items() if number > covered]
        self._load_segments(uncovered)
        self._sync(uncovered)
        return store

    def _identify(self) -> bool:
        """Take the store's identity from the first file that has a complete head."""
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
                self._report_damage(name, 0, "no file here says whose store it is")
                # Nothing is appended to a head before it is synced: a torn head had nothing behind
                # it that could be lost.
                store.data_lost = store.data_lost or len(data) > segments.HEADER_BYTES
        return False

    def _load_base(self) -> int:
        """Load the newest complete base and return the number of the last segment it covers.

        If none is complete, load what can be read of all bases and return 0.
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
                "the base is not complete",
            )
        # Each record that can be read is proved by its checksum, but not which ones are missing.
        store.data_lost = store.data_lost or bool(scans)
        for name in store.bases.values():
            self._load_base_frames(name, scans[name].frames)
        return 0

    def _is_complete_base(self, name: str, scanned: framing.ScannedFrames) -> bool:
        """Whether all is there between the head and a foot that counts the records."""
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
            # The head of a base says up to which sequence number the base counts.
            store.sequence = max(store.sequence, frame.sequence, frame.synced_sequence)

    def _load_segments(self, names: list[str]) -> None:
        """Load segments in order.

        Each one counts from what its head says that it follows up to what the next one follows.
        """
        scanned = [self._scan_segment(name) for name in names]
        last_sequence = None
        for segment in reversed(scanned):
            segment.last_sequence = last_sequence
            if segment.previous_sequence is not None:
                last_sequence = segment.previous_sequence
        # A record up to this number that is missing had been acknowledged.
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
            # Without its head, as far as its first record can tell.
            previous_sequence = first.synced_sequence if first.sequence == 0 else first.sequence - 1
        return _ScannedSegment(name, frames, bad_ranges, previous_sequence)

    def _load_segment(self, segment: _ScannedSegment, acknowledged_sequence: int) -> None:
        store = self._store
        if not segment.frames or segment.frames[0].sequence:
            self._report_damage(segment.name, 0, "the head of the segment is not complete")
        if segment.previous_sequence is not None and segment.previous_sequence > store.sequence:
            self._report_gap(segment, segment.previous_sequence, segment.previous_sequence)
            store.sequence = segment.previous_sequence
        self._load_segment_records(segment, acknowledged_sequence)
        if segment.last_sequence is None:
            if segment.bad_ranges and acknowledged_sequence <= store.sequence:
                offset = segment.bad_ranges[-1].start
                self._report_damage(
                    segment.name, offset, "truncated: bytes that are no complete record"
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
        """Judge the records that are missing, from the next one up to number `last`.

        `acknowledged`: the highest number that is known to have been synced. Returns whether the
        gap is damage, so that what comes after it counts. Otherwise the records were not synced
        when the power went, and later ones that reached the disk before them don't count either.
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

    def _sync(self, names: list[str]) -> None:
        """Make the segments that were read outlast a power cut.

        A process that ended while the machine ran on leaves bytes that are read here and may not
        be on the disk yet.
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
        """Return what a frame holds, or None and allow no writing if a newer program wrote it."""
        try:
            return framing.unpack_value(frame.body)
        except framing.UnreadableRecordError as error:
            self._report_damage(name, frame.start, str(error))
            self._store.read_only_reason = f"{name}: {error}"
            return None

    def _read_file(self, name: str) -> bytes:
        """Return a file's bytes; each file is read once, and only when it is needed."""
        if name not in self._file_contents:
            try:
                self._file_contents[name] = self._files.read(name)
            except OSError as error:
                self._file_contents[name] = b""
                self._store.data_lost = True
                self._report_damage(name, 0, f"not readable: {error}")
        return self._file_contents[name]

    def _report_damage(self, name: str, offset: int, reason: str) -> None:
        self._store.damage.append(Damage(name, offset, reason))
