"""What commit bb80827 stored (tests/data/README.md), for the tests that read it."""

import json
import pathlib
import shutil
import tempfile
import unittest

from versions.support import StubStore

from indigodeck.store.files import StoreFolder
from indigodeck.store.write_ahead_log import WriteAheadLog
from indigodeck.store.writer import StoreWriter

DATA = pathlib.Path(__file__).parent / "data"
STORED = json.loads((DATA / "store.json").read_text(encoding="utf-8"))
MESSAGES = json.loads((DATA / "messages.json").read_text(encoding="utf-8"))
STARTED_AT = 1_750_000_000_000_000  # wall clock of the first version, in microseconds
DAY = 86_400_000_000  # microseconds

NUMBERS = [*((3, serial) for serial in range(1, 37)), (17, 1), (17, 2), (33, 1), (33, 2), (33, 3)]
OTHER_KEYS = ["charge", "refused", "relays", "roster", "starts", "wishes"]


def plain(value):
    """Return a value as it comes back from JSON: lists in place of tuples."""
    return json.loads(json.dumps(value))


class FolderStore(StubStore):
    """A stub of a planner's store over a real one, opened as a controller opens it."""

    def __init__(self, folder):
        self.folder = folder
        self.wall_time_us = STARTED_AT + DAY
        self.notes = []
        self.open()

    def open(self):
        """Open the store and read all that it holds."""
        self.store = StoreWriter(StoreFolder(self.folder), self._note)
        self.values = self.store.query(WriteAheadLog.read_all).result()

    def save(self, changes):
        """Write changes; raises AssertionError if the store cannot be written."""
        if not self.store.put_and_wait(changes):
            raise AssertionError("the store can't be written")

    def reopen(self):
        """Close the store and open it again."""
        self.store.close()
        self.open()

    def _note(self, event, **facts):
        self.notes.append((event, facts))


class StoredFolder(unittest.TestCase):
    """A test with a copy of the store's folder that it may change."""

    def setUp(self):
        """Copy the folder."""
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = pathlib.Path(temporary.name) / "store"
        shutil.copytree(DATA / "store", self.folder)

    def opened(self):
        """Return the store, open until the test ends."""
        store = FolderStore(self.folder)
        self.addCleanup(lambda: store.store.close())
        return store
