"""The record of what was granted, on a disk: in the planner's store, or in a file of its own where there is none.

The file is written whole to a new one, synced, and put in place of the old one. It is one line, `crc32c` in hex before JSON: a
torn or flipped one is no record at all, and is treated as a lost disk.
"""

import json
import os
import pathlib

from crc32c import crc32c

from .election import LeaseRecord


def told(record):
    """A record as plain values."""
    said = {"serial": record.serial, "wards": record.wards}
    # Left out while nothing was decided: programs from before that could read this record go on reading it.
    said.update(
        {name: value for name, value in (("fleet", record.fleet), ("plan", record.plan)) if value}
    )
    return said


def read(given):
    """The record in plain values, or None if they are none."""
    try:
        fleet, plan = given.get("fleet"), given.get("plan")
        return LeaseRecord(
            int(given["serial"]),
            {str(ward): (int(epoch), holder) for ward, (epoch, holder) in given["wards"].items()},
            fleet and (int(fleet[0]), dict(fleet[1])),
            plan and (int(plan[0]), int(plan[1]), dict(plan[2])),
        )
    except (ValueError, TypeError, KeyError, AttributeError):
        return None


def pack(record):
    return sealed(json.dumps(told(record), sort_keys=True).encode())


def unpack(data):
    """The record in these bytes, or None if they are not one whole record."""
    body = opened(data)
    try:
        return None if body is None else read(json.loads(body))
    except ValueError:
        return None


def sealed(body):
    return b"%08x %s\n" % (crc32c(body), body)


def opened(data):
    """What was sealed in these bytes, or None if that is not whole."""
    mark, _, body = data.partition(b" ")
    return body[:-1] if body.endswith(b"\n") and mark == b"%08x" % crc32c(body[:-1]) else None


def pack_entries(entries):
    return sealed(json.dumps(entries).encode())


def unpack_entries(data):
    """[(relay, class, content)] as `pack_entries` was given them; none where they are not whole."""
    body = opened(data)
    try:
        return [] if body is None else entries_of(json.loads(body))
    except ValueError:
        return []


def entries_of(given):
    try:
        return [(str(relay), str(name), str(content)) for relay, name, content in given]
    except (ValueError, TypeError):
        return []


class RecordFile:
    """`pack` and `unpack` as above, or others for another record."""

    def __init__(self, path, pack=pack, unpack=unpack):
        self.path, self.pack, self.unpack = pathlib.Path(path), pack, unpack

    def read(self):
        """The record, or None: lost, torn or never written."""
        try:
            return self.unpack(self.path.read_bytes())
        except OSError:
            return None

    def keep(self, record):
        """True once it would outlast a power cut: the file, its name and the folder's entry are synced."""
        fresh = self.path.with_name(self.path.name + ".new")
        try:
            with open(fresh, "wb") as file:
                file.write(self.pack(record))
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


class InStore:
    """The same two calls on a planner's store: what stands under one key. `store`: store.writer.StoreWriter; `held`: what it held at
    the start; `file`: where it lay before there was a store, read if the store has none.
    """

    def __init__(self, store, held, key, file, told=told, read=read):
        self.store, self.held, self.key, self.file, self.told, self.of = (
            store,
            held,
            key,
            file,
            told,
            read,
        )

    def read(self):
        found = self.held.get(self.key)
        return self.file.read() if found is None else self.of(found)

    def keep(self, record):
        return self.store.put_and_wait([(self.key, self.told(record))])
