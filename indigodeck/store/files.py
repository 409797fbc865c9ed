"""The folder of a store on a real disk. One process holds it at a time, by a lock that ends with it."""

import fcntl
import os
import pathlib


class Folder:
    """`log.Files` on a folder, which is made if there is none. OSError if another process holds it."""

    def __init__(self, path):
        self.path = pathlib.Path(path)
        self.path.mkdir(parents=True, exist_ok=True)
        self.lock = os.open(self.path / "lock", os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self.lock)
            raise OSError(error.errno, "another process holds it", str(self.path)) from error
        self.open = None  # (name, file) that was appended to last

    def names(self):
        return sorted(entry.name for entry in self.path.iterdir())

    def read(self, name):
        return (self.path / name).read_bytes()

    def read_at(self, name, start, size):
        with open(self.path / name, "rb") as file:
            file.seek(start)
            return file.read(size)

    def append(self, name, data):
        file, left = self._file(name), memoryview(data)
        while left:
            # A short write is no error of its own; the next one says why.
            left = left[os.write(file, left) :]

    def _file(self, name):
        if self.open is None or self.open[0] != name:
            self._close()
            self.open = (
                name,
                os.open(self.path / name, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644),
            )
        return self.open[1]

    def _close(self):
        if self.open is not None:
            os.close(self.open[1])
            self.open = None

    def sync(self, name):
        if self.open is not None and self.open[0] == name:
            return os.fsync(self.open[1])
        file = os.open(self.path / name, os.O_RDONLY)
        try:
            os.fsync(file)
        finally:
            os.close(file)

    def sync_folder(self):
        folder = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def rename(self, name, new):
        self._close()
        os.replace(self.path / name, self.path / new)

    def remove(self, name):
        (self.path / name).unlink()

    def fresh(self):
        return os.urandom(16)

    def close(self):
        self._close()
        os.close(self.lock)
