"""A disk in memory that loses what was not synced when its power is cut.

Of each write that was not synced any prefix or any of its sectors may have reached the disk,
whichever others have: where something later did and something earlier did not, zeros stand between.
Files are made, renamed and removed on the disk with the folder's sync; before it each of these may
have happened or not, by itself.
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
    """What the disk draws from, such as `assignment.seeded_random.SeededRandom`."""

    def randbelow(self, bound: int) -> int:
        """Return a whole number from 0 up to `bound`, exclusive."""


class PowerCutError(IndigodeckError):
    """The power is gone; the disk answers nothing more."""


@dataclass(slots=True, eq=False)
class DiskFile:
    """A file's bytes as a running process sees them, how many are synced, and unsynced writes."""

    data: bytearray = field(default_factory=bytearray)
    synced_size: int = 0
    unsynced_writes: list[ByteRange] = field(default_factory=list)


FilesByName: TypeAlias = dict[str, DiskFile]


class _Made(NamedTuple):
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
    """`StoreFiles` in memory, whose operations may fail.

    Operations that change something are counted from 0. During operation `cut_at` the power is
    cut, and PowerCutError raised from then on. The operations in `errors` raise OSError with the
    error number given there. What is cut or fails may have done a part of its work.
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
        self._synced_files: FilesByName = {}  # names as they are on the disk
        self._unsynced_changes: list[_Made | _Renamed | _Removed] = []

    # `StoreFiles`.

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        """Return all bytes of a file."""
        return bytes(self._file(name).data)

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Return at most `size` bytes of a file from an offset on."""
        return bytes(self._file(name).data[offset : offset + size])

    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file, which is made if there is none."""

        def write(size: int) -> None:
            if name not in self.files:
                self.files[name] = DiskFile()
                self._unsynced_changes.append(_Made(name, self.files[name]))
            file = self.files[name]
            start = len(file.data)
            file.data += data[:size]
            file.unsynced_writes.append(ByteRange(start, len(file.data)))

        self._operate(lambda: write(len(data)), lambda: write(self.random.randbelow(len(data) + 1)))

    def sync(self, name: str) -> None:
        """Make the bytes of a file outlast a power cut."""
        file = self._file(name)

        def settle() -> None:
            file.synced_size = len(file.data)
            file.unsynced_writes = []

        self._operate(settle)

    def sync_folder(self) -> None:
        """Make the files' names outlast a power cut."""

        def settle() -> None:
            self._synced_files = dict(self.files)
            self._unsynced_changes = []

        self._operate(settle)

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file; it takes the place of any that had the new name."""
        self._file(name)
        self._change_names(_Renamed(name, new_name))

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._file(name)
        self._change_names(_Removed(name))

    def new_store_id(self) -> bytes:
        """Return random bytes for a store's identity."""
        return bytes(self.random.randbelow(256) for _ in range(STORE_ID_BYTES))

    def close(self) -> None:
        """Do nothing: the disk may be opened again."""

    def _file(self, name: str) -> DiskFile:
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return self.files[name]

    def _change_names(self, change: _Renamed | _Removed) -> None:
        def apply() -> None:
            change.apply(self.files)
            self._unsynced_changes.append(change)

        self._operate(apply, apply)

    def _operate(
        self, complete: Callable[[], None], partly: Callable[[], None] | None = None
    ) -> None:
        """Count one operation, and do it; if it is cut or fails, perhaps a part of it."""
        number = self.operation_count
        self.operation_count += 1
        if self.cut_at is not None and number >= self.cut_at:
            if partly and number == self.cut_at and self.random.randbelow(2):
                partly()
            raise PowerCutError
        if number in self.errors:
            if partly and self.random.randbelow(2):
                partly()
            raise OSError(self.errors[number], "as the test says")
        complete()

    # What a next start finds.

    def after_power_cut(
        self, cut_at: int | None = None, errors: Mapping[int, int] | None = None
    ) -> "FaultyDisk":
        """Return the disk after a power cut, with faults of its own."""
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
        """Return the disk when only the process ended: all is there, synced or not as before."""
        disk = FaultyDisk(self.random, cut_at, errors)
        # Copied at once, so that the copies refer to one another as the originals do.
        disk.files, disk._synced_files, disk._unsynced_changes = copy.deepcopy(
            (self.files, self._synced_files, self._unsynced_changes)
        )
        return disk

    def put(self, name: str, data: bytes | bytearray) -> None:
        """Make a file hold these bytes, synced: for tests that truncate files or flip bits."""
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
        """Draw what of one write has reached the disk: all of it, a prefix, or some sectors."""
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
