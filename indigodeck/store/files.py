"""The files of a store: the interface through which the log accesses them, and a disk folder."""

import fcntl
import os
import pathlib
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple, Protocol

STORE_ID_BYTES = 16
LOCK_FILE = "lock"
FILE_MODE = 0o644


class StoreFiles(Protocol):
    """The files of one store, by name. Every call may raise OSError.

    Appended bytes are durable (survive a power loss) only after `sync` of their file. Creating,
    renaming or removing a file is durable only after `sync_folder`.
    """

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""

    def read(self, name: str) -> bytes:
        """Return the entire contents of a file."""

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Return at most `size` bytes of a file, starting at `offset`."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if it does not exist."""

    def sync(self, name: str) -> None:
        """Make the bytes of a file durable."""

    def sync_folder(self) -> None:
        """Make created, renamed and removed file names durable."""

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, replacing any file that already has the new name."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def new_store_id(self) -> bytes:
        """Return `STORE_ID_BYTES` bytes that identify this store alone."""

    def close(self) -> None:
        """Release the files, so that another process can open the store."""


class StoreFolder:
    """`StoreFiles` in a folder on disk, which is created if it does not exist.

    Only one process can use the folder at a time: it holds a file lock, which the operating system
    releases when the process ends. Raises OSError if another process holds the lock.
    """

    def __init__(self, path: str | os.PathLike[str]) -> None:
        self._path = pathlib.Path(path)
        self._path.mkdir(parents=True, exist_ok=True)
        self._lock_descriptor = os.open(self._path / LOCK_FILE, os.O_RDWR | os.O_CREAT, FILE_MODE)
        try:
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock_descriptor)
            raise OSError(
                error.errno, "another process has locked the store folder", str(self._path)
            ) from error
        # Kept open because most appends go to the same file.
        self._append_file: _OpenFile | None = None

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(entry.name for entry in self._path.iterdir())

    def read(self, name: str) -> bytes:
        """Return the entire contents of a file."""
        return (self._path / name).read_bytes()

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Return at most `size` bytes of a file, starting at `offset`."""
        with open(self._path / name, "rb") as file:
            file.seek(offset)
            return file.read(size)

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if it does not exist."""
        descriptor = self._append_descriptor(name)
        remaining = memoryview(data)
        while remaining:
            # A short write reports no error; the write of the remaining bytes raises the cause.
            written = os.write(descriptor, remaining)
            remaining = remaining[written:]

    def sync(self, name: str) -> None:
        """Make the bytes of a file durable."""
        if self._append_file is not None and self._append_file.name == name:
            os.fsync(self._append_file.descriptor)
            return
        with _open_descriptor(self._path / name, os.O_RDONLY) as descriptor:
            os.fsync(descriptor)

    def sync_folder(self) -> None:
        """Make created, renamed and removed file names durable."""
        with _open_descriptor(self._path, os.O_RDONLY | os.O_DIRECTORY) as descriptor:
            os.fsync(descriptor)

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, replacing any file that already has the new name."""
        self._close_append_file()
        os.replace(self._path / name, self._path / new_name)

    def remove(self, name: str) -> None:
        """Remove a file."""
        (self._path / name).unlink()

    def new_store_id(self) -> bytes:
        """Return random bytes, which identify this store alone."""
        return os.urandom(STORE_ID_BYTES)

    def close(self) -> None:
        """Release the folder, so that another process can open the store."""
        self._close_append_file()
        os.close(self._lock_descriptor)

    def _append_descriptor(self, name: str) -> int:
        if self._append_file is None or self._append_file.name != name:
            self._close_append_file()
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            self._append_file = _OpenFile(name, os.open(self._path / name, flags, FILE_MODE))
        return self._append_file.descriptor

    def _close_append_file(self) -> None:
        if self._append_file is not None:
            os.close(self._append_file.descriptor)
            self._append_file = None


class _OpenFile(NamedTuple):
    name: str
    descriptor: int


@contextmanager
def _open_descriptor(path: pathlib.Path, flags: int) -> Iterator[int]:
    descriptor = os.open(path, flags)
    try:
        yield descriptor
    finally:
        os.close(descriptor)
