"""An in-memory disk that can lose unsynced data when its power is cut.

Of each unsynced write, either all of it, a prefix or any subset of its sectors may survive,
independently of other writes. Where a later part survives and an earlier one does not, the gap is
filled with zeros. Creating, renaming and removing files becomes durable when the folder is synced;
until then each such change may survive or not, independently of the others.
"""

import copy
import errno
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol, TypeAlias

from ..errors import IndigodeckError
from ..store.files import STORE_ID_BYTES
from ..store.framing import ByteRange


class RandomSource(Protocol):
    """The disk's source of random numbers, such as `assignment.seeded_random.SeededRandom`."""

    def randbelow(self, bound: int) -> int:
        """Return a random integer from 0 up to, but not including, `bound`."""


class PowerCutError(IndigodeckError):
    """The power is cut; every further change to the disk fails."""


@dataclass(slots=True, eq=False)
class DiskFile:
    """A file: its bytes as a running process sees them, the synced size, and unsynced writes."""

    data: bytearray = field(default_factory=bytearray)
    synced_size: int = 0
    unsynced_writes: list[ByteRange] = field(default_factory=list)


FilesByName: TypeAlias = dict[str, DiskFile]


class _Created(NamedTuple):
    name: str
    file: DiskFile

    def apply(self, files: FilesByName) -> None:
        files.setdefault(self.name, self.file)


class _Renamed(NamedTuple):
    name: str
    new_name: str

    def apply(self, files: FilesByName) -> None:
        if self.name in files:
            files[self.new_name] = files.pop(self.name)


class _Removed(NamedTuple):
    name: str

    def apply(self, files: FilesByName) -> None:
        files.pop(self.name, None)


class FaultyDisk:
    """An in-memory implementation of `StoreFiles` whose operations may fail.

    Operations that change something are numbered from 0. The power is cut during operation
    `cut_at`: that operation and all later ones raise PowerCutError. The operations in `errors`
    raise OSError with the given error number. An interrupted or failed operation may have been
    carried out in part.
    """

    def __init__(
        self,
        random: RandomSource,
        cut_at: int | None = None,
        errors: Mapping[int, int] | None = None,
    ) -> None:
        self.random = random
        self.cut_at = cut_at
        self.errors = dict(errors or {})
        self.operation_count = 0
        self.files: FilesByName = {}  # as a running process sees them
        self._synced_files: FilesByName = {}  # by names as of the last sync of the folder
        self._unsynced_changes: list[_Created | _Renamed | _Removed] = []

    # The methods of `StoreFiles`.

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return bytes(self._file(name).data)

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Return at most `size` bytes of a file, starting at an offset."""
        return bytes(self._file(name).data[offset : offset + size])

    def append(self, name: str, data: bytes) -> None:
        """Append to a file; create the file if it does not exist."""

        def write(size: int) -> None:
            if name not in self.files:
                self.files[name] = DiskFile()
                self._unsynced_changes.append(_Created(name, self.files[name]))
            file = self.files[name]
            start = len(file.data)
            file.data += data[:size]
            file.unsynced_writes.append(ByteRange(start, len(file.data)))

        self._perform(lambda: write(len(data)), lambda: write(self.random.randbelow(len(data) + 1)))

    def sync(self, name: str) -> None:
        """Make the content of a file survive a power cut."""
        file = self._file(name)

        def mark_synced() -> None:
            file.synced_size = len(file.data)
            file.unsynced_writes = []

        self._perform(mark_synced)

    def sync_folder(self) -> None:
        """Make the creation, renaming and removal of files survive a power cut."""

        def mark_synced() -> None:
            self._synced_files = dict(self.files)
            self._unsynced_changes = []

        self._perform(mark_synced)

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file; it replaces any existing file of the new name."""
        self._file(name)
        self._change_names(_Renamed(name, new_name))

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._file(name)
        self._change_names(_Removed(name))

    def new_store_id(self) -> bytes:
        """Return random bytes that identify a store."""
        return bytes(self.random.randbelow(256) for _ in range(STORE_ID_BYTES))

    def close(self) -> None:
        """Do nothing; the disk can be opened again."""

    def _file(self, name: str) -> DiskFile:
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return self.files[name]

    def _change_names(self, change: _Renamed | _Removed) -> None:
        def apply() -> None:
            change.apply(self.files)
            self._unsynced_changes.append(change)

        self._perform(apply, apply)

    def _perform(
        self, apply: Callable[[], None], apply_partly: Callable[[], None] | None = None
    ) -> None:
        """Count one operation and carry it out, perhaps in part if it is interrupted or fails."""
        number = self.operation_count
        self.operation_count += 1
        if self.cut_at is not None and number >= self.cut_at:
            if apply_partly and number == self.cut_at and self.random.randbelow(2):
                apply_partly()
            raise PowerCutError
        if number in self.errors:
            if apply_partly and self.random.randbelow(2):
                apply_partly()
            raise OSError(self.errors[number], "simulated disk error")
        apply()

    def after_power_cut(
        self, cut_at: int | None = None, errors: Mapping[int, int] | None = None
    ) -> "FaultyDisk":
        """Return the disk after a power cut; it has its own `cut_at` and `errors`."""
        files = dict(self._synced_files)
        for change in self._unsynced_changes:
            if not self.random.randbelow(2):
                change.apply(files)
        disk = FaultyDisk(self.random, cut_at, errors)
        for name, file in files.items():
            disk.put(name, self._surviving_bytes(file))
        return disk

    def after_process_end(
        self, cut_at: int | None = None, errors: Mapping[int, int] | None = None
    ) -> "FaultyDisk":
        """Return the disk after the process ended: data is kept, unsynced data as unsynced."""
        disk = FaultyDisk(self.random, cut_at, errors)
        # Copied in one call, so that references between these objects are preserved.
        disk.files, disk._synced_files, disk._unsynced_changes = copy.deepcopy(
            (self.files, self._synced_files, self._unsynced_changes)
        )
        return disk

    def put(self, name: str, data: bytes | bytearray) -> None:
        """Set a file's content, synced; tests use this to truncate files or flip bits."""
        file = DiskFile(bytearray(data), synced_size=len(data))
        self.files[name] = file
        self._synced_files[name] = file

    def _surviving_bytes(self, file: DiskFile) -> bytearray:
        data = file.data[: file.synced_size]
        for write in file.unsynced_writes:
            for start, end in self._surviving_ranges(write):
                data += bytes(max(0, start - len(data)))
                data[start:end] = file.data[start:end]
        return data

    def _surviving_ranges(self, write: ByteRange) -> Iterator[ByteRange]:
        """Choose at random which part of a write survives: all, a prefix, or some sectors."""
        length = write.end - write.start
        outcome = self.random.randbelow(3)
        if outcome == 0:
            yield write
        elif outcome == 1:
            yield ByteRange(write.start, write.start + self.random.randbelow(length + 1))
        else:
            sector_size = 1 + self.random.randbelow(1 + length // 2)
            for start in range(write.start, write.end, sector_size):
                if self.random.randbelow(2):
                    yield ByteRange(start, min(write.end, start + sector_size))
