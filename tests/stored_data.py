"""Data stored by commit bb80827 (tests/data/README.md), for tests that it stays readable."""

import json
import pathlib
import shutil
import tempfile
import unittest

from versions.support import StubStore

from indigodeck.store.files import StoreFolder
from indigodeck.store.write_ahead_log import WriteAheadLog
from indigodeck.store.writer import StoreWriter

DATA_FOLDER = pathlib.Path(__file__).parent / "data"
STORE_CONTENT = json.loads((DATA_FOLDER / "store.json").read_text(encoding="utf-8"))
STORED_MESSAGES = json.loads((DATA_FOLDER / "messages.json").read_text(encoding="utf-8"))
FIRST_PUBLISHED_AT = 1_750_000_000_000_000  # of the first version, in microseconds since 1970
DAY_US = 86_400_000_000

VERSION_NUMBERS = [
    *((3, serial) for serial in range(1, 37)),
    (17, 1),
    (17, 2),
    (33, 1),
    (33, 2),
    (33, 3),
]
NON_VERSION_KEYS = ["charge", "refused", "relays", "roster", "starts", "wishes"]


def json_round_trip(value):
    """Return a value as encoded to JSON and decoded again, with lists in place of tuples."""
    return json.loads(json.dumps(value))


class FolderBackedStore(StubStore):
    """A `StubStore` on top of a real store, which is opened as a controller opens it."""

    def __init__(self, folder):
        self.folder = folder
        self.wall_time_us = FIRST_PUBLISHED_AT + DAY_US
        self.events = []
        self.open()

    def open(self):
        """Open the store and read all its values."""
        self.store = StoreWriter(StoreFolder(self.folder), self._record_event)
        self.values = self.store.query(WriteAheadLog.read_all).result()

    def save(self, changes):
        """Write changes. Raises AssertionError if the write fails."""
        if not self.store.put_and_wait(changes):
            raise AssertionError("could not write to the store")

    def reopen(self):
        """Close the store and open it again."""
        self.store.close()
        self.open()

    def _record_event(self, event, **facts):
        self.events.append((event, facts))


class StoredFolderCase(unittest.TestCase):
    """Test case with its own copy of the stored folder, which it may change."""

    def setUp(self):
        """Copy the stored folder."""
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = pathlib.Path(temporary.name) / "store"
        shutil.copytree(DATA_FOLDER / "store", self.folder)

    def open_store(self):
        """Open the store, and close it at the end of the test."""
        store = FolderBackedStore(self.folder)
        self.addCleanup(lambda: store.store.close())
        return store
