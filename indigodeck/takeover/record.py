"""The record of what was granted, on a disk: written whole to a new file, synced, and put in place of the old one.

A record is one line, `crc32c` in hex before JSON: a torn or flipped one is no record at all, and is treated as a lost disk.
"""
import json
import os
import pathlib

from crc32c import crc32c

from .charge import Record


def pack(record):
    body = json.dumps({"serial": record.serial, "wards": record.wards}, sort_keys=True).encode()
    return b"%08x %s\n" % (crc32c(body), body)


def unpack(data):
    """The record in these bytes, or None if they are not one whole record."""
    mark, _, body = data.partition(b" ")
    if not body.endswith(b"\n") or mark != b"%08x" % crc32c(body[:-1]):
        return None
    try:
        given = json.loads(body)
        return Record(int(given["serial"]), {str(ward): (int(epoch), str(holder))
                                             for ward, (epoch, holder) in given["wards"].items()})
    except (ValueError, TypeError, KeyError, AttributeError):
        return None


class RecordFile:
    def __init__(self, path):
        self.path = pathlib.Path(path)

    def read(self):
        """The record, or None: lost, torn or never written."""
        try:
            return unpack(self.path.read_bytes())
        except OSError:
            return None

    def keep(self, record):
        """True once it would outlast a power cut: the file, its name and the folder's entry are synced."""
        fresh = self.path.with_name(self.path.name + ".new")
        try:
            with open(fresh, "wb") as file:
                file.write(pack(record))
                file.flush()
                os.fsync(file.fileno())
            os.replace(fresh, self.path)
            folder = os.open(self.path.parent, os.O_RDONLY | os.O_DIRECTORY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
            return True
        except OSError:
            return False
